"""Which online requests go to a replica while there are more of them than slots. A pure policy.

Replicas serve in order of arrival. If everything were sent at once, a burst would make nearly all
requests late. So a request is sent only where it is expected to be in time, or where a slot is
free. Another one is told at once to come back when the crowd is expected to be over; if it can't
be, since it came back already, it waits here for a free slot, behind those that can be in time.
"""

import enum
from collections.abc import Sequence
from random import Random

import attrs

from cloverwalk.gateway.configuration import Route, RouteKind
from cloverwalk.scheduling.service_times import ServiceTimes

MARGIN_FRACTION = 0.15
"""Share of the latency objective kept for what nodes have not heard of each other."""

MIN_RETRY_AFTER_S = 0.4
"""A shorter wait is waited here: coming back would take as long."""

MAX_RETRY_AFTER_FRACTION = 0.3
"""Share of a caller's time that it may be told to stay away for."""

RETRY_AFTER_JITTER = 0.3
"""Return times are spread by this share, so that callers do not come back all at once."""

INITIAL_OVERLOAD_S = 1.2
OVERLOAD_LEARNING_WEIGHT = 0.3
LONG_OVERLOAD_FRACTION = 0.5
"""A crowd that lasts longer than usual is expected to go on for this share of its time so far."""

OVERLOAD_END_DELAY_S = 0.5
"""A crowd is over when no request has met it for so long."""

MIN_RETRY_ELAPSED_S = 0.2
"""A request with this much less time than others of its route was sent before."""

AHEAD_QUEUE_FRACTION = 0.5
"""Share of the queue that requests of a tenant ahead of its share may join while others
wait: the other half is for these. Free slots are for everybody."""

MAX_QUEUE_WAIT_S = 1.5
"""A request that waits here is sent after this time at the latest, to whatever replica is best."""


class PlacementVerdict(enum.Enum):
    """What to do with a request."""

    SEND = "send"
    QUEUE = "hold"
    RETRY_LATER = "return"
    NO_REPLICA = "none"
    """There is no replica that it could be sent to."""

    OVER_QUOTA = "over_quota"
    """Its tenant has sent what it may."""

    QUOTA_UNKNOWN = "quota_unknown"
    """This node can't tell whether its tenant may send it; another one can."""

    TOO_LARGE = "too_large"
    """No replica has the memory for it."""

    CONTAINED = "contained"
    """Replicas have ended under it."""


def slot_wait_ms(slots: int, online: int, hold_ms: float) -> float:
    """Return how long one more online request is expected to wait for a slot of a replica.

    Batch work does not count: it gives way.

    >>> slot_wait_ms(8, 7, 800.0), slot_wait_ms(8, 9, 800.0)
    (0.0, 200.0)
    """
    return max(0, online + 1 - slots) * hold_ms / slots


@attrs.frozen
class Prospect:
    """What a request can expect at its best replica."""

    wait_ms: float
    """Expected wait for a slot there."""

    first_event_ms: float
    """Expected time from a slot to its first event."""

    remaining_ms: float
    """What is left of its latency objective."""

    objective_ms: float

    max_wait_ms: float
    """The longest queue that requests of its route may make, for the sake of more urgent ones."""

    @property
    def is_in_time(self) -> bool:
        """Whether the first event is expected within the objective."""
        margin_ms = MARGIN_FRACTION * self.objective_ms
        needed_ms = self.wait_ms + self.first_event_ms + margin_ms
        return needed_ms <= self.remaining_ms and self.wait_ms <= self.max_wait_ms


def decide(prospect: Prospect, may_retry_later: bool, is_first: bool) -> PlacementVerdict:
    """Return what to do; ``is_first`` tells that no other request waits here before it.

    >>> late = Prospect(
    ...     300.0, first_event_ms=80.0, remaining_ms=300.0, objective_ms=300.0, max_wait_ms=200.0
    ... )
    >>> decide(late, may_retry_later=True, is_first=True), decide(
    ...     late, may_retry_later=False, is_first=True
    ... )
    (<PlacementVerdict.RETRY_LATER: 'return'>, <PlacementVerdict.QUEUE: 'hold'>)
    """
    if prospect.is_in_time or (is_first and prospect.wait_ms == 0.0):
        return PlacementVerdict.SEND
    return PlacementVerdict.RETRY_LATER if may_retry_later else PlacementVerdict.QUEUE


def max_wait_ms(route: Route, priority: int, routes: Sequence[Route], times: ServiceTimes) -> float:
    """Return the longest queue that a request of a route, with this priority, may join.

    Less urgent requests may not fill queues in which those of more urgent routes would be late.
    """
    services = set(route.services)
    urgent = [
        other
        for other in routes
        if other.kind is not RouteKind.BATCH
        and (other.priority <= priority or other == route)
        and services.intersection(other.services)
    ]
    return max(
        0.0,
        min(
            1000 * other.target_latency_s * (1 - MARGIN_FRACTION) - times.first_event_ms(other.name)
            for other in urgent
        ),
    )


class OverloadDurationEstimator:
    """How long crowds last here, as seen from requests that met one.

    >>> estimator = OverloadDurationEstimator()
    >>> estimator.record_request(10.0)
    >>> round(estimator.remaining_s(10.3), 1)
    0.9
    """

    def __init__(self) -> None:
        self._average_s = INITIAL_OVERLOAD_S
        self._started_at: float | None = None
        self._last_request_at = float("-inf")

    def record_request(self, now: float) -> None:
        """A request finds no place in time."""
        self._end_if_over(now)
        if self._started_at is None:
            self._started_at = now
        self._last_request_at = now

    def _end_if_over(self, now: float) -> None:
        if self._started_at is None or now - self._last_request_at < OVERLOAD_END_DELAY_S:
            return
        lasted_s = self._last_request_at - self._started_at
        self._average_s += OVERLOAD_LEARNING_WEIGHT * (lasted_s - self._average_s)
        self._started_at = None

    def remaining_s(self, now: float) -> float:
        """Return for how much longer the present crowd is expected to last."""
        self._end_if_over(now)
        if self._started_at is None:
            return 0.0
        lasted_s = now - self._started_at
        return max(self._average_s - lasted_s, LONG_OVERLOAD_FRACTION * lasted_s)


def retry_after_s(
    wait_s: float, remaining_s: float, time_left_s: float, random: Random
) -> float | None:
    """Return when a request should come back; None when it had better wait here.

    >>> retry_after_s(0.1, 0.1, 5.0, Random(1)) is None
    True
    >>> 0.7 <= retry_after_s(0.5, 1.0, 5.0, Random(1)) <= 1.3
    True
    """
    max_delay_s = MAX_RETRY_AFTER_FRACTION * time_left_s
    expected_s = max(wait_s, remaining_s)
    if expected_s < MIN_RETRY_AFTER_S or max_delay_s < MIN_RETRY_AFTER_S:
        return None
    jittered_s = expected_s * (1 + RETRY_AFTER_JITTER * (2 * random.random() - 1))
    return min(max_delay_s, max(MIN_RETRY_AFTER_S, jittered_s))


class RetryDetector:
    """Tells requests that come for the first time from those that came back.

    A caller's remaining time is longest at its first attempt.

    >>> detector = RetryDetector()
    >>> detector.is_retry("r", 5.0), detector.is_retry("r", 3.9), detector.is_retry("r", 5.0)
    (False, True, False)
    """

    def __init__(self) -> None:
        self._max_time_left_s: dict[str, float] = {}

    def is_retry(self, route: str, time_left_s: float | None) -> bool:
        """Whether a request with so much time left was sent before; unknown counts as yes."""
        if time_left_s is None:
            return True
        max_time_left_s = self._max_time_left_s.get(route)
        if max_time_left_s is None or time_left_s > max_time_left_s:
            self._max_time_left_s[route] = time_left_s
            return False
        return time_left_s < max_time_left_s - MIN_RETRY_ELAPSED_S
