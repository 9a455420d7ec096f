"""Hashes the content of requests, to recognize a repetition under another id."""

import hashlib

from cloverwalk.gateway.messages import ClientRequest

CONTENT_BYTES = 10
"""Length of a content hash, enough to rule out chance collisions. The hash is cryptographic, so
that no caller can craft a request which is taken for another one."""


def hash_request(request: ClientRequest) -> str:
    """Return the content hash of a request: of its caller, host, method, target and body.

    It reveals neither the body nor a key.
    """
    return hash_content(
        request.tenant, request.host, request.method, request.target, body=request.body
    )


def hash_content(*parts: str, body: bytes) -> str:
    """Return the content hash of some texts and a body.

    >>> hash_content("t", "h", body=b"") == hash_content("th", "", body=b"")
    False
    >>> len(hash_content("t", "h", body=b"12"))
    20
    """
    digest = hashlib.blake2b(digest_size=CONTENT_BYTES)
    for part in parts:
        raw = part.encode()
        digest.update(b"%d:" % len(raw))
        digest.update(raw)
    digest.update(body)
    return digest.hexdigest()
