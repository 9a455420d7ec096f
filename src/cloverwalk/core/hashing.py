"""Rendezvous hashing: every node computes the same ranking without messages."""

from collections.abc import Iterable

import xxhash


def rendezvous_score(key: str, member: str) -> int:
    """Return the 64-bit weight of ``member`` for ``key``."""
    return int(xxhash.xxh64_intdigest(f"{key}\x00{member}".encode()))


def rendezvous_rank(key: str, members: Iterable[str]) -> list[str]:
    """Return ``members`` ordered from the best owner of ``key`` to the worst.

    >>> rank = rendezvous_rank("replica-1", ["a", "b", "c"])
    >>> survivors = rendezvous_rank("replica-1", [m for m in "abc" if m != rank[0]])
    >>> survivors == rank[1:]  # only the lost member's keys move
    True
    """
    return sorted(members, key=lambda member: (rendezvous_score(key, member), member), reverse=True)


def rendezvous_owner(key: str, members: Iterable[str]) -> str | None:
    """Return the best owner of ``key``, or None when there are no members."""
    return max(members, key=lambda member: (rendezvous_score(key, member), member), default=None)


def short_hash(*parts: str) -> str:
    """Return a 128-bit hash of the given parts as 32 hex digits."""
    return str(xxhash.xxh128_hexdigest("\x00".join(parts).encode()))
