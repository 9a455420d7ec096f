"""Tokens of quotas that nodes gave out while the coordinator did not answer: told and counted.

Reports tell counts that only go up, so a lost or repeated report changes nothing.
"""

from collections import Counter

import attrs

from cloverwalk.fleet.messages import LocalGrants

REPORTED_S = 10.0
"""Grants of a deputy are reported for so long after the last one: twice a quota's window."""


class GrantLog:
    """What this node gave out as a deputy.

    >>> log = GrantLog()
    >>> log.note("quiz", 1.0)
    >>> log.report(2.0), log.report(20.0)
    (LocalGrants(series=0, counts={'quiz': 1}), None)
    """

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()
        self._noted_at = float("-inf")
        self._series = 0

    def note(self, tenant: str, now: float) -> None:
        """A token was given out."""
        self._counts[tenant] += 1
        self._noted_at = now

    def report(self, now: float) -> LocalGrants | None:
        """Return what reports tell; None where nothing was given out lately."""
        if self._counts and now - self._noted_at > REPORTED_S:
            self._counts = Counter()
            self._series += 1
        return LocalGrants(self._series, dict(self._counts)) if self._counts else None


@attrs.define
class _Told:
    """What a node told last."""

    run: str
    grants: LocalGrants


class DeputyBook:
    """What other nodes have given out, at the coordinator."""

    def __init__(self, since: float = 0.0) -> None:
        self._since = since
        self._by_node: dict[str, _Told] = {}

    def news(self, node: str, run: str, grants: LocalGrants | None, now: float) -> dict[str, int]:
        """Return what a node gave out since it last told, by tenant.

        The first report after a takeover tells where its counts stand; what it gave out before is
        within the care that a takeover takes.
        """
        known = self._by_node.get(node)
        if grants is not None or known is None or known.run != run:
            self._by_node[node] = _Told(run, grants or LocalGrants(0, {}))
        is_first = known is None and now - self._since < REPORTED_S
        if grants is None or is_first:
            return {}
        before: dict[str, int] = {}
        if known is not None and (known.run, known.grants.series) == (run, grants.series):
            before = known.grants.counts
        news = {name: count - before.get(name, 0) for name, count in grants.counts.items()}
        return {name: count for name, count in news.items() if count > 0}
