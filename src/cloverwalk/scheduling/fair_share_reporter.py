"""Tells each second which tenants' requests were sent away for shares, for an operator."""

from collections import Counter
from collections.abc import Callable

import attrs

from cloverwalk.scheduling.fair_shares import FairShares

TELL_EVERY_S = 1.0
"""One node writes one line in that time at most."""

MOST_NAMED = 5
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
        self, shares: FairShares, item_shares: FairShares, tell: Callable[[ThrottledRequests], None]
    ) -> None:
        self._shares = shares
        self._item_shares = item_shares
        self._tell = tell
        self._told_at = float("-inf")
        self._told_bad = 0

    def tick(self, now: float) -> None:
        """Tell what came since it was last told, if it is time to."""
        if now - self._told_at < TELL_EVERY_S:
            return
        self._told_at = now
        counts = self._shares.take_held_back()
        bad = self._shares.dropped + self._item_shares.dropped
        news, self._told_bad = bad - self._told_bad, bad
        if counts or news:
            named = dict(counts.most_common(MOST_NAMED))
            self._tell(ThrottledRequests(named, counts.total() - sum(named.values()), news))

    def slot_ms(self) -> dict[tuple[str, str], int]:
        """Return the slot time that was given, by work and by whether its tenant was ahead."""
        told: Counter[tuple[str, str]] = Counter()
        for work, shares in (("online", self._shares), ("items", self._item_shares)):
            for share, slot_ms in shares.slot_ms.items():
                told[work, share] += slot_ms
        return dict(told)
