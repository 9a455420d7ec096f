"""Determines why an online request or an item was late, from the times that its node measured."""

import enum

import attrs

SLOW_START_FACTOR = 2.0
"""A replica counts as slow if its first event takes longer than this multiple of the baseline.
Smaller delays are explained by queueing and prefill of earlier requests."""


class LateCause(enum.Enum):
    """The main cause of a late request or item."""

    CAME_LATE = "came_late"
    """It arrived with less remaining time than such requests usually take."""

    REPLICA_FAILED = "replica_failed"
    """An earlier attempt failed or was refused by a replica."""

    COORDINATOR = "coordinator"
    """Its placement took long although slots were free."""

    NO_SLOT = "no_slot"
    """It was queued for a slot, by the coordinator or at its replica."""

    SLOW_REPLICA = "slow_replica"
    """Its replica took longer than the baseline."""

    PREEMPTED = "gave_way"
    """Runs of the item were preempted by online requests."""

    OTHER = "other"
    """None of the above, such as delays in this node or the network."""


@attrs.frozen
class RequestTimes:
    """Times of an online request, in ms."""

    objective_ms: float
    took_ms: float
    """From arrival to the first event."""

    placed_after_ms: float
    """From arrival to its last placement."""

    expected_wait_ms: float
    """Expected wait for a slot at its replica."""

    baseline_start_ms: float
    """Baseline of the time from sending to the first event, for requests of its route."""

    was_queued: bool = False
    """Whether the coordinator queued it for a slot."""

    failures: int = 0
    """Number of attempts that failed or were refused by a replica."""


def request_cause(times: RequestTimes) -> LateCause | None:
    """Return why a request was late, None if it was in time.

    >>> queued = RequestTimes(300.0, 420.0, 350.0, 0.0, 60.0, was_queued=True)
    >>> request_cause(queued).value, request_cause(RequestTimes(300.0, 80.0, 2.0, 0.0, 60.0))
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
    """From the due time to the result; negative if the item was in time."""

    available_ms: float
    """From its submission to its due time."""

    ran_ms: float
    """Total time of its runs."""

    last_run_ms: float
    failures: int = 0
    suspensions: int = 0


def item_cause(times: ItemTimes) -> LateCause | None:
    """Return why an item was late, None if it was in time.

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
