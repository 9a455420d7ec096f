"""Quota tokens that nodes grant by themselves while no coordinator answers: reported and counted.

Reports contain counts that only increase, so a lost or repeated report does no harm.
"""

from collections import Counter

import attrs

from cloverwalk.fleet.messages import LocalGrants

GRANT_REPORT_TTL_S = 10.0
"""Local grants are reported for this time after the last one: twice the window of a quota."""


class GrantLog:
    """Tokens that this node has granted locally.

    >>> log = GrantLog()
    >>> log.record("quiz", 1.0)
    >>> log.report(2.0), log.report(20.0)
    (LocalGrants(series=0, counts={'quiz': 1}), None)
    """

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()
        self._granted_at = float("-inf")
        self._series = 0

    def record(self, tenant: str, now: float) -> None:
        """Record a granted token."""
        self._counts[tenant] += 1
        self._granted_at = now

    def report(self, now: float) -> LocalGrants | None:
        """Return the counts to report; None if nothing was granted for ``GRANT_REPORT_TTL_S``."""
        if self._counts and now - self._granted_at > GRANT_REPORT_TTL_S:
            self._counts = Counter()
            self._series += 1
        return LocalGrants(self._series, dict(self._counts)) if self._counts else None


@attrs.define
class _NodeReport:
    """Last report of a node."""

    run: str
    grants: LocalGrants


class LocalGrantsTracker:
    """Local grants of the other nodes, at the coordinator."""

    def __init__(self, since: float = 0.0) -> None:
        self._since = since
        self._by_node: dict[str, _NodeReport] = {}

    def new_grants(
        self, node: str, run: str, grants: LocalGrants | None, now: float
    ) -> dict[str, int]:
        """Return what a node has granted since its previous report, by tenant.

        The first report after a takeover only sets the starting point of the counts: earlier grants
        are covered by the reduced bucket levels that a new coordinator starts with.
        """
        previous = self._by_node.get(node)
        if grants is not None or previous is None or previous.run != run:
            self._by_node[node] = _NodeReport(run, grants or LocalGrants(0, {}))
        is_first = previous is None and now - self._since < GRANT_REPORT_TTL_S
        if grants is None or is_first:
            return {}
        before: dict[str, int] = {}
        if previous is not None and (previous.run, previous.grants.series) == (run, grants.series):
            before = previous.grants.counts
        new_counts = {name: count - before.get(name, 0) for name, count in grants.counts.items()}
        return {name: count for name, count in new_counts.items() if count > 0}
