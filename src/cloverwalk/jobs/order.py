"""What a node tells of its waiting items. A pure policy.

The coordinator gives free slots to the items of the fleet that are due first, those of higher
priority in front. Items that can't be in time any more come last.
"""

from collections.abc import Iterable

import attrs

from cloverwalk.fleet.messages import WaitingGroup

DUE_STEP_MS = 250
"""Due times are told in steps of this length."""

LATE_STEP = 1 << 50
"""Step of items that can't be in time any more: behind all others."""

PRIORITY_STEP = 1 << 40
"""Step between items of tenants of one rank and the next; due times are far below it."""

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
    tokens: int = 0
    """Memory that it may take at a replica; 0 where nobody asks."""

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
    groups = [_group(step, replica_id, told) for (step, replica_id), told in sorted(by_key.items())]
    if len(groups) <= MAX_GROUPS:
        return groups
    told, rest = groups[: MAX_GROUPS - 1], groups[MAX_GROUPS - 1 :]
    count = sum(one.items for one in rest)
    tokens = max(one.tokens for one in rest)
    last = WaitingGroup(rest[0].due_step, count, "", rest[0].reading_ms, tokens=tokens)
    return [*told, last]


def _group(step: int, replica_id: str, items: list[WaitingItem]) -> WaitingGroup:
    """Return items of one step as they are told; the largest one's memory stands for each."""
    reading_ms = sum(one.reading_ms for one in items) / len(items)
    tokens = max(one.tokens for one in items)
    return WaitingGroup(step, len(items), replica_id, round(reading_ms), tokens=tokens)
