"""Tenants of a configuration, found by key or by name.

Keys are kept as digests only: neither the memory of a node nor what nodes tell each other holds a
key that somebody could use.
"""

import hashlib
from collections.abc import Iterable

from msgspec import Struct

DIGEST_BYTES = 16
"""Two keys have the same digest with a chance of 2^-64 among 2^32 keys."""


def digest_of(key: str) -> str:
    """Return the digest under which a key is looked up.

    >>> digest_of("a-key") == digest_of("a-key"), "a-key" in digest_of("a-key")
    (True, False)
    """
    return hashlib.blake2b(key.encode(), digest_size=DIGEST_BYTES).hexdigest()


class Tenant(Struct, frozen=True, array_like=True):
    """Callers that share keys and a quota of requests."""

    name: str
    key_digests: tuple[str, ...]
    priority: int | None = None
    """Rank of its requests in place of the route's; 0 is highest, None leaves the route's."""

    rate_per_s: float = 0.0
    """Requests a second that it may send, over all nodes together; 0 is no limit."""

    burst: float = 0.0
    """Requests that it may send at once beyond its rate."""

    @property
    def has_limit(self) -> bool:
        """Whether its requests are counted."""
        return self.rate_per_s > 0

    @property
    def bucket_size(self) -> float:
        """Requests that it may send at once."""
        return max(1.0, self.burst)


class TenantDirectory:
    """The tenants of one version of the configuration.

    >>> tenant = Tenant("quiz", (digest_of("k1"), digest_of("k2")))
    >>> directory = TenantDirectory([tenant])
    >>> directory.by_digest[digest_of("k2")].name, digest_of("k3") in directory.by_digest
    ('quiz', False)
    """

    def __init__(self, tenants: Iterable[Tenant] = ()) -> None:
        self.by_name = {tenant.name: tenant for tenant in tenants}
        self.by_digest = {
            digest: tenant for tenant in self.by_name.values() for digest in tenant.key_digests
        }

    def priority(self, name: str, default: int) -> int:
        """Return the rank of a tenant's requests; ``default`` where it has none of its own."""
        tenant = self.by_name.get(name)
        return default if tenant is None or tenant.priority is None else tenant.priority
