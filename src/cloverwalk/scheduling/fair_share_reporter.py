"""Reports once a second which tenants' requests were throttled for their fair share."""

from collections import Counter
from collections.abc import Callable

import attrs

from cloverwalk.scheduling.fair_shares import FairShares

REPORT_INTERVAL_S = 1.0
"""Shortest time between two reports of a node."""

MAX_NAMED_TENANTS = 5
"""A report names the tenants with the most throttled requests; all others are counted together."""


@attrs.frozen
class ThrottledRequests:
    """Requests that were throttled since the last report."""

    by_tenant: dict[str, int]
    unnamed_count: int
    """Throttled requests of tenants that are not named."""

    invalid_count: int
    """Slot times that were ignored since they are out of range."""


class FairShareReporter:
    """Reports the fair shares of online requests and of items at the coordinator."""

    def __init__(
        self,
        shares: FairShares,
        item_shares: FairShares,
        report: Callable[[ThrottledRequests], None],
    ) -> None:
        self._shares = shares
        self._item_shares = item_shares
        self._report = report
        self._reported_at = float("-inf")
        self._reported_invalid_count = 0

    def tick(self, now: float) -> None:
        """Report the counts since the last report, if a report is due."""
        if now - self._reported_at < REPORT_INTERVAL_S:
            return
        self._reported_at = now
        counts = self._shares.pop_throttled()
        invalid_count = self._shares.invalid_count + self._item_shares.invalid_count
        new_invalid_count, self._reported_invalid_count = (
            invalid_count - self._reported_invalid_count,
            invalid_count,
        )
        if counts or new_invalid_count:
            named = dict(counts.most_common(MAX_NAMED_TENANTS))
            self._report(
                ThrottledRequests(named, counts.total() - sum(named.values()), new_invalid_count)
            )

    def slot_ms(self) -> dict[tuple[str, str], int]:
        """Return the granted slot time by kind of work and by whether its tenant was ahead."""
        totals: Counter[tuple[str, str]] = Counter()
        for work, shares in (("online", self._shares), ("items", self._item_shares)):
            for share, slot_ms in shares.slot_ms.items():
                totals[work, share] += slot_ms
        return dict(totals)
