"""The order of waiting items over the whole fleet. A pure policy over figures of all nodes.

Each node tells its peers how many of its items wait and when they are due. A node leaves the room
at the replicas to items of its peers that are due sooner, so that the fleet works as if it had one
queue. Items that can't be in time any more come last and are not told.
"""

from collections import Counter
from collections.abc import Iterable

import attrs

from cloverwalk.core.hashing import rendezvous_score
from cloverwalk.fleet.digest import Waiting, WaitingGroup, first_groups

DUE_STEP_MS = 500
"""Due times are told in steps of this length."""


def due_step(due_ms: float) -> int:
    """Return the step that a due time falls into."""
    return int(due_ms // DUE_STEP_MS)


def summarise(due_ms: Iterable[float]) -> list[WaitingGroup]:
    """Return what a node tells of its waiting items, those due first in front.

    >>> summarise([10_200.0, 10_300.0, 4_000.0])
    [(8, 1), (20, 2)]
    """
    return first_groups(Counter(due_step(one) for one in due_ms))


@attrs.frozen
class PeerGroup:
    """Items of one peer that are due at about the same time."""

    node: str
    step: int
    items: int


@attrs.frozen
class PeersQueue:
    """What waits at the peers, in one pool, as a node sees it."""

    own_node: str
    groups: tuple[PeerGroup, ...]

    @classmethod
    def of(cls, pool: str, own_node: str, told_by_node: dict[str, Waiting]) -> "PeersQueue":
        """Return the queue of a pool out of what each peer told."""
        groups = [
            PeerGroup(node, step, items)
            for node, waiting in told_by_node.items()
            for step, items in waiting.get(pool, [])
        ]
        return cls(own_node, tuple(groups))

    def ahead_of(self, due_ms: float, can_be_in_time: bool) -> int:
        """Return how many items of peers come before an item of this node.

        Of items due at about the same time, one node's come first, at all nodes the same.

        >>> queue = PeersQueue("n1", (PeerGroup("n2", 8, 3), PeerGroup("n2", 20, 2)))
        >>> queue.ahead_of(9_000.0, True), queue.ahead_of(9_000.0, False)
        (3, 5)
        """
        if not can_be_in_time:
            return sum(group.items for group in self.groups)
        step = due_step(due_ms)
        return sum(group.items for group in self.groups if self._is_before(group, step))

    def _is_before(self, group: PeerGroup, step: int) -> bool:
        if group.step != step:
            return group.step < step
        key = str(step)
        return rendezvous_score(key, group.node) > rendezvous_score(key, self.own_node)


class FreeSlots:
    """Free slots of the replicas that take the same items, in an order that all nodes share.

    The fleet's waiting items take them one after the other, so that two nodes that see the same
    free slots do not both send to one replica.

    >>> slots = FreeSlots({"r1": 2, "r2": 1, "r3": 0})
    >>> slots.total
    3
    >>> [slots.take(0, ""), slots.take(1, "r1"), slots.take(2, "r1"), slots.take(3, "")]
    ['r1', 'r1', 'r2', None]
    """

    def __init__(self, room_by_replica: dict[str, int]) -> None:
        self._order = _interleaved(room_by_replica)
        self._left = dict(room_by_replica)
        self.total = len(self._order)

    def take(self, position: int, preferred: str) -> str | None:
        """Return the replica for the item at a position of the fleet's queue, None without any.

        ``preferred`` keeps the item's prompt; it is taken while it has a free slot.
        """
        if position >= self.total:
            return None
        chosen = preferred if self._left.get(preferred, 0) > 0 else self._order[position]
        if self._left[chosen] <= 0:
            chosen = max(self._left, key=lambda key: (self._left[key], key))
        if self._left[chosen] <= 0:
            return None
        self._left[chosen] -= 1
        return chosen


def _interleaved(room_by_replica: dict[str, int]) -> list[str]:
    """Return each replica once for each of its free slots, the emptiest replicas in front."""
    slots = [
        (number - room, key) for key, room in room_by_replica.items() for number in range(room)
    ]
    return [key for _, key in sorted(slots)]
