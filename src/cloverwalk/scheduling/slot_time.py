"""Use of the replicas' slots over time, in slot-seconds.

The coordinator samples all replicas and adds the time since the last sample to the current use of
each slot. This shows an operator whether online requests, items or nothing occupied the fleet, and
why slots were idle while items waited. The sum over all uses is slots times time.
"""

import enum
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping

import attrs

SAMPLE_INTERVAL_S = 0.25
"""Shortest time between two samples; a sample of thousands of replicas takes some milliseconds."""

MAX_SAMPLE_INTERVAL_S = 1.0
"""A longer time between samples counts as this: the node was not coordinating or was paused."""


class SlotUse(enum.Enum):
    """Use of a slot."""

    ONLINE = "online"
    ITEMS = "items"
    IDLE = "idle"
    """No item waits that could run there."""

    KEPT_FREE = "kept_free"
    """Items wait, but the slot is reserved for online requests."""

    READING = "reading"
    """Items wait, but the replica is busy with prefills."""

    SUSPECTED = "suspected"
    """Items wait, but the replica is suspected of a failure."""

    DRAINING = "draining"
    """The replica takes no new work."""

    NOT_GRANTED = "not_granted"
    """Items wait and the slot could be granted; an order is due or on its way."""


@attrs.frozen
class ReplicaUse:
    """Use of a replica's slots in one sample."""

    service: str
    slots: int
    online: int
    batch: int
    is_draining: bool = False
    is_suspected: bool = False
    may_prefill: bool = True
    """Whether it may get the prompt of another item now."""


class SlotTime:
    """Slot-seconds by use.

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
        """Whether a sample is due; the more replicas, the longer the interval."""
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
        """Count the time since the last sample; waiting items and reserved slots are by service.

        The first sample only starts the count.
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
    """Return a replica's slots by use, and deduct its share of the unassigned counts."""
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
    """Return why a free slot of a replica has no item."""
    if replica.is_suspected:
        return SlotUse.SUSPECTED
    if not replica.may_prefill:
        return SlotUse.READING
    return SlotUse.NOT_GRANTED
