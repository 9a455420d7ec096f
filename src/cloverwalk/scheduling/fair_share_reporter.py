"""Tells each second which tenants' requests were sent away for shares, for an operator."""

from collections import Counter
from collections.abc import Callable

import attrs

from cloverwalk.scheduling.fair_shares import FairShares

REPORT_INTERVAL_S = 1.0
"""One node writes one line in that time at most."""

MAX_NAMED_TENANTS = 5
"""Tenants that a line names, those with the most requests sent away; the others count as one."""


@attrs.frozen
class ThrottledRequests:
    """Requests that were sent away for shares since the last look."""

    by_tenant: dict[str, int]
    others: int
    """Those of tenants that are not named."""

    invalid_count: int
    """Figures of slot time that were left out since they can't be true."""


class FairShareReporter:
    """Looks at the counts of online requests and of items at the node that coordinates."""

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
        """Tell what came since it was last told, if it is time to."""
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
        """Return the slot time that was given, by work and by whether its tenant was ahead."""
        totals: Counter[tuple[str, str]] = Counter()
        for work, shares in (("online", self._shares), ("items", self._item_shares)):
            for share, slot_ms in shares.slot_ms.items():
                totals[work, share] += slot_ms
        return dict(totals)
