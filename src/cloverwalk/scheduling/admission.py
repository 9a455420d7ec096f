"""Admission of online requests while there are more of them than slots. A pure policy.

Replicas serve in order of arrival, so sending everything at once would make nearly all requests of
a burst late. A request is therefore sent only where it is expected to meet its latency objective or
where a slot is free. Any other is refused with the time after which the overload is expected to be
over. A request that is a retry already is queued here for a free slot instead, behind those that
can still meet their objective.
"""

import enum
from random import Random

import attrs

MARGIN_FRACTION = 0.15
"""Fraction of the latency objective that is kept for load which nodes have not reported yet."""

MIN_RETRY_AFTER_S = 0.4
"""A shorter wait is spent in the queue, since a retry would take as long."""

MAX_RETRY_AFTER_FRACTION = 0.3
"""Upper bound of a retry-after time, as a fraction of the caller's remaining time."""

RETRY_AFTER_JITTER = 0.3
"""Relative random spread of retry-after times, so that callers do not retry all at once."""

INITIAL_OVERLOAD_S = 1.2
OVERLOAD_LEARNING_WEIGHT = 0.3
LONG_OVERLOAD_FRACTION = 0.5
"""Lower bound of the remaining time of an overload, as a fraction of its elapsed time; it applies
when the overload has lasted for nearly the average time or longer."""

OVERLOAD_END_DELAY_S = 0.5
"""An overload ends when all requests could be placed in time for this long."""

MIN_RETRY_ELAPSED_S = 0.2
"""A request counts as a retry if its remaining time is shorter by more than this than the longest
that was seen on its route."""

AHEAD_QUEUE_FRACTION = 0.5
"""Fraction of the queue that a tenant ahead of its fair share may fill while others wait. Free
slots are not restricted."""

MAX_QUEUE_WAIT_S = 1.5
"""A request that is queued for this time is sent to the best replica, whatever its load, or refused
if no replica has enough memory for it."""


class PlacementVerdict(enum.Enum):
    """Outcome of a placement request."""

    SEND = "send"
    QUEUE = "hold"
    RETRY_LATER = "return"
    NO_REPLICA = "none"
    """No usable replica."""

    OVER_QUOTA = "over_quota"
    """The tenant's quota is used up."""

    QUOTA_UNKNOWN = "quota_unknown"
    """This node can't count the tenant's quota; another node can."""

    TOO_LARGE = "too_large"
    """No replica has enough memory, even when idle."""

    CONTAINED = "contained"
    """Replicas ended under this request."""


def slot_wait_ms(slots: int, online: int, hold_ms: float) -> float:
    """Return the expected wait of one more online request for a slot of a replica.

    Batch items do not count, since they are preempted.

    >>> slot_wait_ms(8, 7, 800.0), slot_wait_ms(8, 9, 800.0)
    (0.0, 200.0)
    """
    return max(0, online + 1 - slots) * hold_ms / slots


@attrs.frozen
class Prospect:
    """Expected times of a request at its best replica."""

    wait_ms: float
    """Expected wait for a slot."""

    first_event_ms: float
    """Expected time from getting a slot to the first event."""

    remaining_ms: float
    """Remaining time of its latency objective."""

    objective_ms: float

    max_wait_ms: float
    """Longest wait that its route may build up, so that more urgent routes stay in time."""

    @property
    def is_in_time(self) -> bool:
        """Whether the first event is expected within the objective, with a margin."""
        margin_ms = MARGIN_FRACTION * self.objective_ms
        needed_ms = self.wait_ms + self.first_event_ms + margin_ms
        return needed_ms <= self.remaining_ms and self.wait_ms <= self.max_wait_ms


def decide(prospect: Prospect, may_retry_later: bool, is_first: bool) -> PlacementVerdict:
    """Return the verdict; ``is_first`` means that no queued request goes before this one.

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


class OverloadDurationEstimator:
    """Estimates how long overloads last, from the requests that could not be placed in time.

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
        """Record a request that can't be placed in time."""
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
        """Return for how much longer the current overload is expected to last."""
        self._end_if_over(now)
        if self._started_at is None:
            return 0.0
        lasted_s = now - self._started_at
        return max(self._average_s - lasted_s, LONG_OVERLOAD_FRACTION * lasted_s)


def retry_after_s(
    wait_s: float, remaining_s: float, time_left_s: float, random: Random
) -> float | None:
    """Return the delay before a retry; None if the request should be queued instead.

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
    """Distinguishes first attempts from retries.

    The remaining time of a caller is longest at its first attempt.

    >>> detector = RetryDetector()
    >>> detector.is_retry("r", 5.0), detector.is_retry("r", 3.9), detector.is_retry("r", 5.0)
    (False, True, False)
    """

    def __init__(self) -> None:
        self._max_time_left_s: dict[str, float] = {}

    def is_retry(self, route: str, time_left_s: float | None) -> bool:
        """Whether a request with this remaining time is a retry; an unknown time counts as one."""
        if time_left_s is None:
            return True
        max_time_left_s = self._max_time_left_s.get(route)
        if max_time_left_s is None or time_left_s > max_time_left_s:
            self._max_time_left_s[route] = time_left_s
            return False
        return time_left_s < max_time_left_s - MIN_RETRY_ELAPSED_S
