"""Looks up the tenants of a configuration by key or by name.

Keys are kept as digests only, so that neither the memory of a node nor the messages between nodes
contain a usable key.
"""

import hashlib
from collections.abc import Iterable

from msgspec import Struct

DIGEST_BYTES = 16
"""Among 2^32 keys, the probability of a collision is about 2^-64."""


def digest_of(key: str) -> str:
    """Return the digest by which a key is looked up.

    >>> digest_of("a-key") == digest_of("a-key"), "a-key" in digest_of("a-key")
    (True, False)
    """
    return hashlib.blake2b(key.encode(), digest_size=DIGEST_BYTES).hexdigest()


class Tenant(Struct, frozen=True, array_like=True):
    """A group of callers with common keys and a common request quota."""

    name: str
    key_digests: tuple[str, ...]
    priority: int | None = None
    """Rank of its requests, 0 is highest; None for the rank of the route."""

    rate_per_s: float = 0.0
    """Allowed requests per second over all nodes; 0 means no limit."""

    burst: float = 0.0
    """Requests that are allowed at once beyond the rate."""

    @property
    def has_limit(self) -> bool:
        """Whether the tenant has a quota."""
        return self.rate_per_s > 0

    @property
    def bucket_size(self) -> float:
        """Size of the token bucket: requests that are allowed at once."""
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
        """Return the rank of a tenant's requests, ``default`` if the tenant has none."""
        tenant = self.by_name.get(name)
        return default if tenant is None or tenant.priority is None else tenant.priority
