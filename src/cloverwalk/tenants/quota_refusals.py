"""What a node remembers of refusals by quota, so that an eager tenant costs little."""

from collections.abc import Callable

import attrs

from cloverwalk.core import catalogue
from cloverwalk.telemetry.log import ServingLog

LEAST_MEMORY_S = 0.1
"""A refusal holds at a node for so long at least. The tokens that come up meanwhile stay in the
tenant's bucket, so the tenant loses none; ten asks a second and node are left of any number."""

OVER_AFTER_S = 2.0
"""A tenant that was refused nothing for so long keeps to its quota again."""


@attrs.define
class _Refused:
    until: float
    last_at: float
    count: int = 0


class QuotaRefusalCache:
    """Tenants that the coordinator has refused a request lately, by name.

    There is one line in the log when a tenant is first refused, and one when that is over.
    """

    def __init__(self, log: ServingLog, clock: Callable[[], float]) -> None:
        self._log = log
        self._clock = clock
        self._by_name: dict[str, _Refused] = {}

    def remaining_s(self, tenant: str) -> float:
        """Return for how long requests of a tenant are refused without asking; 0 is not."""
        known = self._by_name.get(tenant)
        if known is None:
            return 0.0
        rest_s = known.until - self._clock()
        if rest_s <= 0:
            return 0.0
        self._note(known)
        return rest_s

    def record(self, tenant: str, retry_after_s: float) -> None:
        """The coordinator has refused a request."""
        now = self._clock()
        known = self._by_name.get(tenant)
        if known is None:
            known = self._by_name[tenant] = _Refused(now, now)
            self._log.write(
                catalogue.TENANT_REFUSED, tenant=tenant, retry_after_s=round(retry_after_s, 3)
            )
        known.until = now + max(LEAST_MEMORY_S, retry_after_s)
        self._note(known)

    def _note(self, known: _Refused) -> None:
        known.last_at = self._clock()
        known.count += 1

    def expire(self) -> None:
        """Forget tenants that were refused nothing lately."""
        now = self._clock()
        for name, known in list(self._by_name.items()):
            if now - known.last_at > OVER_AFTER_S:
                del self._by_name[name]
                self._log.write(catalogue.TENANT_WITHIN_QUOTA, tenant=name, refused=known.count)
