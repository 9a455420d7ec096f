"""Tokens of quotas that nodes gave out while the coordinator did not answer: told and counted.

Reports tell counts that only go up, so a lost or repeated report changes nothing.
"""

from collections import Counter

import attrs

from cloverwalk.fleet.messages import LocalGrants

GRANT_REPORT_TTL_S = 10.0
"""Grants of a deputy are reported for so long after the last one: twice a quota's window."""


class GrantLog:
    """What this node gave out as a deputy.

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
        """A token was given out."""
        self._counts[tenant] += 1
        self._granted_at = now

    def report(self, now: float) -> LocalGrants | None:
        """Return what reports tell; None where nothing was given out lately."""
        if self._counts and now - self._granted_at > GRANT_REPORT_TTL_S:
            self._counts = Counter()
            self._series += 1
        return LocalGrants(self._series, dict(self._counts)) if self._counts else None


@attrs.define
class _NodeReport:
    """What a node told last."""

    run: str
    grants: LocalGrants


class LocalGrantsTracker:
    """What other nodes have given out, at the coordinator."""

    def __init__(self, since: float = 0.0) -> None:
        self._since = since
        self._by_node: dict[str, _NodeReport] = {}

    def new_grants(
        self, node: str, run: str, grants: LocalGrants | None, now: float
    ) -> dict[str, int]:
        """Return what a node gave out since it last told, by tenant.

        The first report after a takeover tells where its counts stand; what it gave out before is
        within the care that a takeover takes.
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
