"""Shares of slot time between tenants of one rank, by virtual time. A policy without I/O.

Quotas do not share what room there is: in order of arrival a tenant that sends five times as much
as others takes five times their room, and small ones are late for it. So each tenant's virtual time
goes up by the slot time that its work is expected to take, and by the difference once it was
served; among those that wait, the tenant that is furthest behind comes first. Ranks stay strict:
each has a virtual time of its own. Online work and items are counted apart, since items run in what
online work leaves, and what a tenant's items got there costs its requests nothing.

The order is by steps, so that among tenants that are about equal it is lateness that decides.
"""

import math
from collections import Counter
from collections.abc import Iterable, Mapping

from cloverwalk.core.fair_share import FairShare

MAX_AHEAD_MS = 4000.0
"""Slot time by which a tenant may be ahead of others that wait, in ms. It is what an idle tenant
saves up, what is held against a busy one, and what a takeover may get wrong: some ten requests."""

STEP_MS = 500.0
"""Tenants that differ by less slot time than this, in ms, count as equal: about one request."""

AHEAD_THRESHOLD_MS = MAX_AHEAD_MS / 2
"""From so much slot time on, in ms, a tenant counts as ahead of its share: it leaves part of the
replicas' queues to the others while some of these wait. Half: those below it stay untouched."""

MAX_REPLICATED_TENANTS = 64
"""Tenants that a standby is told of, those furthest ahead: 2 KB in a message each 0.25 s."""

MAX_WORK_MS = 3_600_000.0
"""No request or item holds a slot for longer than an hour; a larger figure is a fault."""

EQUAL_WEIGHT = 1.0
"""Each tenant's weight: configurations name none."""


class FairShares:
    """Counts the slot time of tenants by rank; ranks are those of the waiting work.

    >>> shares = FairShares()
    >>> for _ in range(8):
    ...     shares.charge(0, "large", 400.0, waiting=["large", "small"])
    >>> shares.charge(0, "small", 400.0, waiting=["large", "small"])
    >>> shares.step(0, "large") > shares.step(0, "small"), shares.is_ahead(0, "large")
    (True, True)
    """

    def __init__(self) -> None:
        self._by_rank: dict[int, FairShare[str]] = {}
        self._replicated_usage: dict[str, float] = {}
        self.slot_ms: Counter[str] = Counter()
        """Slot time that was given, by whether the tenant was ahead of its share then."""

        self.throttled: Counter[str] = Counter()
        """Requests that were sent away for shares, by tenant, until ``pop_throttled``."""

        self.invalid_count = 0
        """Bad figures that were left out."""

    def _for_rank(self, rank: int) -> FairShare[str]:
        shares = self._by_rank.get(rank)
        if shares is None:
            shares = self._by_rank[rank] = FairShare(MAX_AHEAD_MS)
            for tenant, ahead_ms in self._replicated_usage.items():
                shares.put_ahead(tenant, ahead_ms)
        return shares

    # --- the order ---

    def ahead_ms(self, rank: int, tenant: str) -> float:
        """Return the slot time by which a tenant is ahead of one that was idle for long."""
        return self._for_rank(rank).ahead(tenant)

    def step(self, rank: int, tenant: str) -> int:
        """Return the place of a tenant's work: a lower step comes first."""
        return int(self._for_rank(rank).ahead(tenant) / STEP_MS)

    def start_step(self, rank: int, tenant: str) -> int:
        """Return the place of a tenant's work among others of its rank: a lower one comes first.

        Unlike its step, it is not changed by what others are charged, so an order may keep it.
        """
        return int(self._for_rank(rank).start_time(tenant) / STEP_MS)

    def start_steps(self, rank: int, tenants: Iterable[str]) -> dict[str, int]:
        """Return the same of several tenants' work."""
        starts = self._for_rank(rank).start_times(tenants)
        return {tenant: int(start_ms / STEP_MS) for tenant, start_ms in starts.items()}

    def steps(self, rank: int, tenants: Iterable[str]) -> dict[str, int]:
        """Return the places of several tenants' work."""
        ahead = self._for_rank(rank).ahead_of(tenants)
        return {tenant: int(ahead_ms / STEP_MS) for tenant, ahead_ms in ahead.items()}

    def is_ahead(self, rank: int, tenant: str) -> bool:
        """Whether a tenant has had clearly more than its share lately."""
        return self.ahead_ms(rank, tenant) >= AHEAD_THRESHOLD_MS

    # --- what was given ---

    def charge(self, rank: int, tenant: str, work_ms: float, waiting: Iterable[str]) -> None:
        """A tenant's work gets a slot for an expected time; ``waiting`` are tenants that wait."""
        work_ms = self._valid_ms(work_ms)
        self.slot_ms["ahead" if self.is_ahead(rank, tenant) else "within"] += round(work_ms)
        self._for_rank(rank).charge(tenant, work_ms, EQUAL_WEIGHT, waiting)

    def correct(self, rank: int, tenant: str, extra_ms: float) -> None:
        """A tenant's work took so much more than was expected; a negative figure is less."""
        sign = -1 if extra_ms < 0 else 1
        self._for_rank(rank).correct(tenant, sign * self._valid_ms(abs(extra_ms)), EQUAL_WEIGHT)

    def _valid_ms(self, duration_ms: float) -> float:
        if math.isfinite(duration_ms) and 0 <= duration_ms <= MAX_WORK_MS:
            return duration_ms
        self.invalid_count += 1
        return 0.0

    def pop_throttled(self) -> Counter[str]:
        """Return the requests that were sent away for shares since the last call, by tenant."""
        popped, self.throttled = self.throttled, Counter()
        return popped

    # --- takeover ---

    def usage(self) -> dict[str, float]:
        """Return the tenants that are ahead, in ms, for a node that may have to take over."""
        ahead: dict[str, float] = {}
        for shares in self._by_rank.values():
            for tenant, ahead_ms in shares.all_ahead().items():
                ahead[tenant] = max(ahead_ms, ahead.get(tenant, 0.0))
        largest = sorted(ahead.items(), key=lambda item: (-item[1], item[0]))[
            :MAX_REPLICATED_TENANTS
        ]
        return {tenant: round(ahead_ms) for tenant, ahead_ms in largest if ahead_ms >= STEP_MS}

    def apply_usage(self, used: Mapping[str, float]) -> None:
        """Take the coordinator's count in place of an own one."""
        self._replicated_usage = {
            tenant: self._valid_ms(ahead_ms) for tenant, ahead_ms in used.items()
        }
        self._by_rank.clear()
