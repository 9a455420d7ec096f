"""The order of waiting items over the whole fleet. A pure policy over figures of all nodes.

Each node tells its peers how many of its items wait and when they are due. A node leaves the room
at the replicas to items of its peers that are due sooner, so that the fleet works as if it had one
queue. Items that can't be in time any more come last and are not told.
"""

from collections import Counter
from collections.abc import Iterable

import attrs

DUE_STEP_MS = 500
"""Due times are told in steps of this length."""

MAX_GROUPS = 8
"""Groups of one pool that a node tells; what is due later joins the last of them."""

WaitingGroup = tuple[int, int]
"""A due time, in steps of the store's clock, and how many items wait for it."""

Waiting = dict[str, list[WaitingGroup]]
"""Waiting items by pool; a pool is a set of services that take the same items."""


def due_step(due_ms: float) -> int:
    """Return the step that a due time falls into."""
    return int(due_ms // DUE_STEP_MS)


def summarise(due_ms: Iterable[float]) -> list[WaitingGroup]:
    """Return what a node tells of its waiting items, those due first in front.

    >>> summarise([10_200.0, 10_300.0, 4_000.0])
    [(8, 1), (20, 2)]
    """
    groups = sorted(Counter(due_step(one) for one in due_ms).items())
    told, rest = groups[:MAX_GROUPS], groups[MAX_GROUPS:]
    if rest:
        step, count = told[-1]
        told[-1] = (step, count + sum(count for _, count in rest))
    return told


@attrs.frozen
class PeersQueue:
    """What waits at the peers, in one pool."""

    groups: tuple[WaitingGroup, ...]

    @classmethod
    def of(cls, pool: str, told: Iterable[Waiting]) -> "PeersQueue":
        """Return the queue of a pool out of what each peer told."""
        return cls(tuple(group for waiting in told for group in waiting.get(pool, [])))

    def ahead_of(self, due_ms: float, can_be_in_time: bool) -> int:
        """Return how many items of peers come before an item.

        >>> queue = PeersQueue(((8, 3), (20, 2)))
        >>> queue.ahead_of(9_000.0, True), queue.ahead_of(9_000.0, False)
        (3, 5)
        """
        if not can_be_in_time:
            return sum(count for _, count in self.groups)
        step = due_step(due_ms)
        return sum(count for due, count in self.groups if due < step)


def may_start(room: int, ahead: int) -> bool:
    """Whether an item may take one of ``room`` free slots with ``ahead`` items before it.

    >>> may_start(room=4, ahead=3), may_start(room=3, ahead=3)
    (True, False)
    """
    return room > ahead
