"""Fair shares of slot time between tenants of one rank, by virtual time. A policy without I/O.

Quotas alone do not divide a shortage of slots: in order of arrival, a tenant that sends five times
as much gets five times the slots, and the requests of small tenants become late. Each tenant
therefore has a virtual time, which increases by the slot time that its work is expected to take and
is corrected when the work has ended. Among tenants with waiting work, the one with the lowest
virtual time goes first. Ranks are strictly ordered, so each has virtual times of its own. Online
work and items are counted separately: items run in the slots that online work leaves, and their use
must not count against the tenant's requests.

Tenants are ordered in steps, so that lateness decides between those with about equal usage.
"""

import math
from collections import Counter
from collections.abc import Iterable, Mapping

from cloverwalk.core.fair_share import FairShare

MAX_AHEAD_MS = 4000.0
"""Largest lead in slot time that counts, about ten requests. It bounds what an idle tenant saves
up, what a busy one is charged, and the error after a takeover."""

STEP_MS = 500.0
"""Tenants whose usage differs by less slot time than this, about one request, are equal."""

AHEAD_THRESHOLD_MS = MAX_AHEAD_MS / 2
"""Slot time from which a tenant is ahead of its fair share, and leaves part of the queues to others
that wait."""

MAX_REPLICATED_TENANTS = 64
"""Tenants in a snapshot for the standbys, those furthest ahead; bounds the size of the message."""

MAX_WORK_MS = 3_600_000.0
"""A longer slot time of one request or item is invalid."""

EQUAL_WEIGHT = 1.0
"""Weight of every tenant; configurations set none."""


class FairShares:
    """Usage of slot time by tenant and rank.

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
        """Granted slot time, by whether the tenant was ahead of its share ("ahead" or "within")."""

        self.throttled: Counter[str] = Counter()
        """Requests throttled for their tenant's share, by tenant, until ``pop_throttled``."""

        self.invalid_count = 0
        """Invalid slot times that were ignored."""

    def _for_rank(self, rank: int) -> FairShare[str]:
        shares = self._by_rank.get(rank)
        if shares is None:
            shares = self._by_rank[rank] = FairShare(MAX_AHEAD_MS)
            for tenant, ahead_ms in self._replicated_usage.items():
                shares.put_ahead(tenant, ahead_ms)
        return shares

    # --- order ---

    def ahead_ms(self, rank: int, tenant: str) -> float:
        """Return the slot time by which a tenant is ahead of one that has been idle."""
        return self._for_rank(rank).ahead(tenant)

    def step(self, rank: int, tenant: str) -> int:
        """Return the step of a tenant's usage; the lowest goes first."""
        return int(self._for_rank(rank).ahead(tenant) / STEP_MS)

    def start_step(self, rank: int, tenant: str) -> int:
        """Return the step of a tenant's virtual start time; the lowest of its rank goes first.

        Unlike ``step`` it does not change when other tenants are charged, so it may be kept in a
        sorted order.
        """
        return int(self._for_rank(rank).start_time(tenant) / STEP_MS)

    def start_steps(self, rank: int, tenants: Iterable[str]) -> dict[str, int]:
        """Return the start steps of several tenants."""
        starts = self._for_rank(rank).start_times(tenants)
        return {tenant: int(start_ms / STEP_MS) for tenant, start_ms in starts.items()}

    def steps(self, rank: int, tenants: Iterable[str]) -> dict[str, int]:
        """Return the steps of several tenants."""
        ahead = self._for_rank(rank).ahead_of(tenants)
        return {tenant: int(ahead_ms / STEP_MS) for tenant, ahead_ms in ahead.items()}

    def is_ahead(self, rank: int, tenant: str) -> bool:
        """Whether a tenant is ahead of its fair share by at least ``AHEAD_THRESHOLD_MS``."""
        return self.ahead_ms(rank, tenant) >= AHEAD_THRESHOLD_MS

    # --- charges ---

    def charge(self, rank: int, tenant: str, work_ms: float, waiting: Iterable[str]) -> None:
        """Charge a tenant for the expected time of a slot; ``waiting`` are tenants that wait."""
        work_ms = self._valid_ms(work_ms)
        self.slot_ms["ahead" if self.is_ahead(rank, tenant) else "within"] += round(work_ms)
        self._for_rank(rank).charge(tenant, work_ms, EQUAL_WEIGHT, waiting)

    def correct(self, rank: int, tenant: str, extra_ms: float) -> None:
        """Charge a tenant for extra slot time; a negative time is credited."""
        sign = -1 if extra_ms < 0 else 1
        self._for_rank(rank).correct(tenant, sign * self._valid_ms(abs(extra_ms)), EQUAL_WEIGHT)

    def _valid_ms(self, duration_ms: float) -> float:
        if math.isfinite(duration_ms) and 0 <= duration_ms <= MAX_WORK_MS:
            return duration_ms
        self.invalid_count += 1
        return 0.0

    def pop_throttled(self) -> Counter[str]:
        """Return and clear the counts of throttled requests, by tenant."""
        popped, self.throttled = self.throttled, Counter()
        return popped

    # --- takeover ---

    def usage(self) -> dict[str, float]:
        """Return the tenants that are ahead and by how many ms, for a standby."""
        ahead: dict[str, float] = {}
        for shares in self._by_rank.values():
            for tenant, ahead_ms in shares.all_ahead().items():
                ahead[tenant] = max(ahead_ms, ahead.get(tenant, 0.0))
        largest = sorted(ahead.items(), key=lambda item: (-item[1], item[0]))[
            :MAX_REPLICATED_TENANTS
        ]
        return {tenant: round(ahead_ms) for tenant, ahead_ms in largest if ahead_ms >= STEP_MS}

    def apply_usage(self, used: Mapping[str, float]) -> None:
        """Replace the usage by that of the coordinator."""
        self._replicated_usage = {
            tenant: self._valid_ms(ahead_ms) for tenant, ahead_ms in used.items()
        }
        self._by_rank.clear()
