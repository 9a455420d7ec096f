"""Caches quota refusals at a node, so that a tenant over its quota causes little load."""

from collections.abc import Callable

import attrs

from cloverwalk.core import catalogue
from cloverwalk.gateway.configuration import ConfigurationHolder
from cloverwalk.telemetry.log import ServingLog

MIN_REFUSAL_S = 0.1
"""Minimum time for which a node refuses a tenant without a placement request. The tenant loses no
tokens by it, as they stay in its bucket; each node sends at most ten placement requests a second
for a tenant over its quota."""

REFUSAL_EXPIRY_S = 2.0
"""A tenant counts as within its quota again after this time without a refusal."""


@attrs.define
class _Refusal:
    quota: tuple[float, float]
    """Rate and burst of the tenant when it was refused."""

    ends_at: float
    last_refused_at: float
    count: int = 0


class QuotaRefusalCache:
    """Tenants whose requests the coordinator recently refused, by name.

    A refusal is ignored once the rate or burst of the tenant has changed; the coordinator then
    decides again.

    One log line is written when the refusals of a tenant begin, and one when they end.
    """

    def __init__(
        self, configuration: ConfigurationHolder, log: ServingLog, clock: Callable[[], float]
    ) -> None:
        self._configuration = configuration
        self._log = log
        self._clock = clock
        self._by_name: dict[str, _Refusal] = {}

    def remaining_s(self, tenant: str) -> float:
        """Return how long requests of a tenant are still refused locally, 0 if they are not."""
        refusal = self._by_name.get(tenant)
        if refusal is None or refusal.quota != self._quota(tenant):
            return 0.0
        remaining_s = refusal.ends_at - self._clock()
        if remaining_s <= 0:
            return 0.0
        self._record_refusal(refusal)
        return remaining_s

    def record(self, tenant: str, retry_after_s: float) -> None:
        """Record that the coordinator refused a request."""
        now = self._clock()
        refusal = self._by_name.get(tenant)
        if refusal is None:
            refusal = self._by_name[tenant] = _Refusal(self._quota(tenant), now, now)
            self._log.write(
                catalogue.TENANT_REFUSED, tenant=tenant, retry_after_s=round(retry_after_s, 3)
            )
        refusal.quota = self._quota(tenant)
        refusal.ends_at = now + max(MIN_REFUSAL_S, retry_after_s)
        self._record_refusal(refusal)

    def _quota(self, name: str) -> tuple[float, float]:
        tenant = self._configuration.tenants.by_name.get(name)
        return (0.0, 0.0) if tenant is None else (tenant.rate_per_s, tenant.burst)

    def _record_refusal(self, refusal: _Refusal) -> None:
        refusal.last_refused_at = self._clock()
        refusal.count += 1

    def expire(self) -> None:
        """Remove tenants without recent refusals."""
        now = self._clock()
        for name, refusal in list(self._by_name.items()):
            if now - refusal.last_refused_at > REFUSAL_EXPIRY_S:
                del self._by_name[name]
                self._log.write(catalogue.TENANT_WITHIN_QUOTA, tenant=name, refused=refusal.count)
