"""What a node tells of its waiting items. A pure policy.

The coordinator gives free slots to the items of the fleet that are due first, those of higher
priority in front. Items that can't be in time any more come last.
"""

from collections.abc import Iterable

import attrs

from cloverwalk.fleet.messages import WaitingGroup
from cloverwalk.scheduling.due_steps import DUE_STEP_MS, LATE_STEP, PRIORITY_STEP

REST_STEP_MS = 100
"""What items still run is told in steps of this length; an estimate that moves less is no news."""

MAX_GROUPS = 12
"""Groups of one pool that are told; items that are due later join the last of them."""


@attrs.frozen
class WaitingItem:
    """What matters of an item for its place in the order."""

    due_ms: float
    can_be_in_time: bool
    replica_id: str
    reading_ms: float
    priority: int = 0
    rest_ms: float = 0.0
    """How long it still runs at a replica of the usual pace; 0: not told."""

    @property
    def due_step(self) -> int:
        """The step that it is told in."""
        rank = self.priority * PRIORITY_STEP + (0 if self.can_be_in_time else LATE_STEP)
        return int(self.due_ms // DUE_STEP_MS) + rank


def summarise(items: Iterable[WaitingItem]) -> list[WaitingGroup]:
    """Return waiting items as they are told, those due first in front.

    >>> items = [WaitingItem(8_200.0, True, "", 5.0), WaitingItem(8_100.0, True, "", 7.0)]
    >>> summarise(items) == [WaitingGroup(32, 2, reading_ms=6)]
    True
    """
    by_key: dict[tuple[int, str], list[WaitingItem]] = {}
    for one in items:
        by_key.setdefault((one.due_step, one.replica_id), []).append(one)
    groups = [
        _group(step, replica_id, by_key[step, replica_id]) for step, replica_id in sorted(by_key)
    ]
    if len(groups) <= MAX_GROUPS:
        return groups
    told, rest = groups[: MAX_GROUPS - 1], groups[MAX_GROUPS - 1 :]
    count = sum(one.items for one in rest)
    first = rest[0]
    last = WaitingGroup(first.due_step, count, "", first.reading_ms, rest_ms=first.rest_ms)
    return [*told, last]


def _group(due_step: int, replica_id: str, items: list[WaitingItem]) -> WaitingGroup:
    reading_ms = round(sum(one.reading_ms for one in items) / len(items))
    rest_ms = sum(one.rest_ms for one in items) / len(items)
    rest_ms = round(rest_ms / REST_STEP_MS) * REST_STEP_MS
    return WaitingGroup(due_step, len(items), replica_id, reading_ms, rest_ms=rest_ms)
