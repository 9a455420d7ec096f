"""What the replicas' slots were used for, in slot-seconds. Figures in, figures out.

The coordinator looks at all replicas now and then and adds the time since its last look, by use. So
an operator sees whether online work, items or nothing filled the fleet, and why a slot stood idle
while items waited. The sum over all uses is slots times time.
"""

import enum
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping

import attrs

SAMPLE_INTERVAL_S = 0.25
"""Time between two looks: a fifth of the time that short requests hold a slot would be finer, but a
look at 3,000 replicas costs some milliseconds."""

MAX_SAMPLE_INTERVAL_S = 1.0
"""A longer time without a look counts as this: the node was not coordinating, or stood still."""


class SlotUse(enum.Enum):
    """What a slot is used for."""

    ONLINE = "online"
    ITEMS = "items"
    IDLE = "idle"
    """No item waits that could run there."""

    KEPT_FREE = "kept_free"
    """Items wait; it is one of those kept free for the online requests of the next moments."""

    READING = "reading"
    """Items wait, and the replica still reads prompts."""

    SUSPECTED = "suspected"
    """Items wait, and the replica failed lately."""

    DRAINING = "draining"
    """The replica takes no new work."""

    NOT_GRANTED = "not_granted"
    """Items wait, and nothing speaks against the slot: an order is due or under way."""


@attrs.frozen
class ReplicaUse:
    """A replica as it is at one look."""

    service: str
    slots: int
    online: int
    batch: int
    is_draining: bool = False
    is_suspected: bool = False
    may_prefill: bool = True
    """Whether it may be sent the prompt of an item now."""


class SlotTime:
    """Adds slot-seconds by use.

    >>> time = SlotTime()
    >>> time.sample([], {}, {}, now=10.0)
    >>> time.sample([ReplicaUse("s", 8, online=3, batch=4)], {"s": 2}, {"s": 1}, now=10.25)
    >>> {use.value: seconds for use, seconds in time.seconds.items()}
    {'online': 0.75, 'items': 1.0, 'kept_free': 0.25}
    """

    def __init__(self) -> None:
        self.seconds: dict[SlotUse, float] = defaultdict(float)
        self._sampled_at: float | None = None

    def is_due(self, now: float, replicas: int) -> bool:
        """Whether it is time for a look; the more replicas, the rarer."""
        if self._sampled_at is None:
            return True
        interval_s = min(MAX_SAMPLE_INTERVAL_S, SAMPLE_INTERVAL_S * (1 + replicas / 1000))
        return now - self._sampled_at >= interval_s

    def sample(
        self,
        replicas: Iterable[ReplicaUse],
        waiting: Mapping[str, int],
        reserved: Mapping[str, int],
        now: float,
    ) -> None:
        """Count the time since the last look; items that wait and slots kept free are by service.

        The first look only begins the count.
        """
        since, self._sampled_at = self._sampled_at, now
        if since is None:
            return
        passed_s = min(MAX_SAMPLE_INTERVAL_S, max(0.0, now - since))
        unassigned_items = Counter(waiting)
        unassigned_reserved = Counter(reserved)
        for replica in replicas:
            for use, slots in _uses(replica, unassigned_items, unassigned_reserved).items():
                self.seconds[use] += slots * passed_s


def _uses(
    replica: ReplicaUse, unassigned_items: Counter[str], unassigned_reserved: Counter[str]
) -> Counter[SlotUse]:
    """Return a replica's slots by use; takes the items and kept slots that it accounts for."""
    online = min(replica.slots, replica.online)
    items = min(replica.slots - online, replica.batch)
    uses = Counter({SlotUse.ONLINE: online, SlotUse.ITEMS: items})
    free = replica.slots - online - items
    if replica.is_draining:
        uses[SlotUse.DRAINING] = free
        return +uses
    idle_use = _unused_slot_use(replica)
    wanted = min(free, unassigned_items[replica.service])
    unassigned_items[replica.service] -= wanted
    if idle_use is SlotUse.NOT_GRANTED:
        reserved = min(wanted, unassigned_reserved[replica.service])
        unassigned_reserved[replica.service] -= reserved
        uses[SlotUse.KEPT_FREE] = reserved
        wanted -= reserved
        free -= reserved
    uses[idle_use] += wanted
    uses[SlotUse.IDLE] = free - wanted
    return +uses


def _unused_slot_use(replica: ReplicaUse) -> SlotUse:
    """Return what keeps items from a free slot of a replica."""
    if replica.is_suspected:
        return SlotUse.SUSPECTED
    if not replica.may_prefill:
        return SlotUse.READING
    return SlotUse.NOT_GRANTED
