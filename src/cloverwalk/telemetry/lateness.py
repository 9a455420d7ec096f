"""Why an online request or an item was late, as its own node saw it. Figures in, a cause out."""

import enum

import attrs

SLOW_START_FACTOR = 2.0
"""A replica that takes over twice the usual time to its first event counts as slow: half of that is
what queues and reading before it explain."""


class LateCause(enum.Enum):
    """What took the most of a late request's time."""

    CAME_LATE = "came_late"
    """It came with less time than its kind of request usually takes."""

    REPLICA_FAILED = "replica_failed"
    """A replica failed or refused it before."""

    COORDINATOR = "coordinator"
    """The answer to its ask took long, though no slot was missing."""

    NO_SLOT = "no_slot"
    """It was held for a slot, or queued at its replica for one."""

    SLOW_REPLICA = "slow_replica"
    """Its replica took longer than usual."""

    PREEMPTED = "gave_way"
    """An item: its runs were suspended for online requests."""

    OTHER = "other"
    """None of these: this node itself, or the network."""


@attrs.frozen
class RequestTimes:
    """Times of an online request, in ms."""

    objective_ms: float
    took_ms: float
    """From its arrival to its first event."""

    placed_after_ms: float
    """From its arrival to the place that it was sent to in the end."""

    expected_wait_ms: float
    """What it was expected to wait at its replica for a slot."""

    baseline_start_ms: float
    """What requests of its route usually take from sending to their first event."""

    was_queued: bool = False
    """Whether the coordinator held it for a slot."""

    failures: int = 0
    """Replicas that failed or refused it."""


def request_cause(times: RequestTimes) -> LateCause | None:
    """Return why a request was late, None for one that was in time.

    >>> held = RequestTimes(300.0, 420.0, 350.0, 0.0, 60.0, was_queued=True)
    >>> request_cause(held).value, request_cause(RequestTimes(300.0, 80.0, 2.0, 0.0, 60.0))
    ('no_slot', None)
    """
    if times.took_ms <= times.objective_ms:
        return None
    if times.failures:
        return LateCause.REPLICA_FAILED
    if times.objective_ms < times.baseline_start_ms:
        return LateCause.CAME_LATE
    if times.was_queued or times.expected_wait_ms > 0:
        return LateCause.NO_SLOT
    start_ms = times.took_ms - times.placed_after_ms
    if times.placed_after_ms > start_ms:
        return LateCause.COORDINATOR
    if start_ms > SLOW_START_FACTOR * times.baseline_start_ms:
        return LateCause.SLOW_REPLICA
    return LateCause.OTHER


@attrs.frozen
class ItemTimes:
    """Times of an item, in ms."""

    late_ms: float
    """How long after it was due its result was ready; below zero: in time."""

    available_ms: float
    """From its hand-in to its due time."""

    ran_ms: float
    """What its runs took."""

    last_run_ms: float
    failures: int = 0
    suspensions: int = 0


def item_cause(times: ItemTimes) -> LateCause | None:
    """Return why an item was late, None for one that was in time.

    >>> item_cause(ItemTimes(500.0, 18_000.0, 9_000.0, 4_000.0, suspensions=2)).value
    'gave_way'
    >>> item_cause(ItemTimes(500.0, 18_000.0, 4_000.0, 4_000.0)).value
    'no_slot'
    """
    if times.late_ms <= 0:
        return None
    if times.available_ms < times.last_run_ms:
        return LateCause.CAME_LATE
    if times.failures:
        return LateCause.REPLICA_FAILED
    if times.suspensions and times.ran_ms > times.last_run_ms:
        return LateCause.PREEMPTED
    if times.last_run_ms > times.available_ms / 2:
        return LateCause.SLOW_REPLICA
    return LateCause.NO_SLOT
