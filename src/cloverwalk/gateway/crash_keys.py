"""Keys of crash records: the whole content of a request, and each part that others may share.

Requests that crash replicas need not be alike: a part of their prompts may be the cause, whatever
else they hold. A record of a part also names the software of the replicas, since the same part may
be harmless for another version.
"""

import hashlib
from base64 import urlsafe_b64encode
from collections.abc import Iterable
from functools import lru_cache

import attrs

from cloverwalk.gateway.content_hash import hash_request
from cloverwalk.gateway.messages import ClientRequest, PromptPart
from cloverwalk.gateway.software_versions import Software

KEY_CHARACTERS = 20
"""Length of each key; those of contents are hexadecimal."""

PART_MARK = "p"
"""First character of the keys of parts, which is no hexadecimal digit."""

PART_PREFIX_CHARACTERS = 16
"""The mark and 90 bits for the part; the other characters stand for the software."""

MAX_PARTS = 64
"""Shareable parts of a prompt that are looked at, the first ones."""

REQUEST_MARK_CHARACTERS = 6
"""Characters of a content hash that tell the requests at crashed replicas apart."""


def is_part_key(key: str) -> bool:
    """Whether a key stands for a part of prompts."""
    return key.startswith(PART_MARK)


@lru_cache(maxsize=8192)
def part_prefix(part_id: str) -> str:
    """Return what the keys of a part for all software begin with."""
    digest = hashlib.blake2b(part_id.encode(), digest_size=12).digest()
    return (PART_MARK + urlsafe_b64encode(digest).decode())[:PART_PREFIX_CHARACTERS]


@lru_cache(maxsize=256)
def _software_suffix(software: Software) -> str:
    raw = f"{len(software.service)}:{software.service}{software.version}".encode()
    return urlsafe_b64encode(hashlib.blake2b(raw, digest_size=3).digest()).decode()


def part_key(part_id: str, software: Software) -> str:
    """Return the key of a part at replicas with some software.

    >>> key = part_key("5c1e07a2", Software("model", "v1"))
    >>> len(key), is_part_key(key), key.startswith(part_prefix("5c1e07a2"))
    (20, True, True)
    """
    return part_prefix(part_id) + _software_suffix(software)


@attrs.frozen
class RequestKeys:
    """What identifies a request in crash records."""

    content: str
    """Its content hash."""

    part_ids: tuple[str, ...] = ()
    """Ids of the parts of its prompt that other requests may share."""

    def part_keys(self, software: Software) -> list[str]:
        """Return the keys of its parts at replicas with some software."""
        return [part_key(part_id, software) for part_id in self.part_ids]

    def part_id(self, key: str) -> str | None:
        """Return the id of the part that a key stands for; None if it stands for the content."""
        prefix = key[:PART_PREFIX_CHARACTERS]
        return next((part for part in self.part_ids if part_prefix(part) == prefix), None)


def shareable_part_ids(prompt: Iterable[PromptPart]) -> tuple[str, ...]:
    """Return the ids of a prompt's parts without the last one, which belongs to the request."""
    part_ids = [part.part_id for part in prompt][:-1]
    return tuple(dict.fromkeys(part_ids[:MAX_PARTS]))


def keys_of(request: ClientRequest) -> RequestKeys:
    """Return the keys of a request."""
    return RequestKeys(hash_request(request), shareable_part_ids(request.fields.prompt))
