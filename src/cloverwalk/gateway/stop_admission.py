"""Which requests a stopping node still accepts, so that none of them is cut when it ends.

A stopping node gets requests for some seconds: new connections until the platform's routing has
noticed the stop, and requests on kept connections until these are closed. A request is accepted if
it is sure to end in time: its deadline, or the timeout of its route, comes before the node ends.
Until the routing can have noticed, it is also accepted if recent requests of its route were short.
The others are refused at once and reach another node.
"""

from collections.abc import Callable

import attrs

ROUTING_DELAY_S = 3.0
"""Time after the start of a stop within which new connections still arrive."""

END_MARGIN_S = 0.5
"""A stopping node ends this long before the platform kills it."""

DURATION_WINDOW_S = 30.0
"""Durations are remembered for one to two windows."""

MIN_SAMPLES = 20
SAFETY_FACTOR = 2.0
MIN_BOUND_S = 0.5
"""A learnt bound is at least this: short requests may have to wait for a slot."""


@attrs.frozen
class ExpectedWork:
    """What is known about how long a request may last."""

    route: str
    latest_end: float
    """When its deadline or the timeout of its route is reached (monotonic clock, seconds)."""

    output_tokens: int = 0
    """Maximum tokens of its output; 0 if the caller did not say."""


@attrs.define
class _Window:
    """Largest values of a route in a window of time."""

    began_at: float
    samples: int = 0
    duration_s: float = 0.0
    output_tokens: int = 0


class RequestDurations:
    """Learns how long answered requests last at most, by route.

    >>> durations = RequestDurations()
    >>> for _ in range(20):
    ...     durations.record("chat", 0.4, 100, now=5.0)
    >>> durations.bound_s("chat", 100, now=6.0), durations.bound_s("chat", 300, now=6.0)
    (0.8, 2.4000000000000004)
    >>> durations.bound_s("other", 100, now=6.0) is None
    True
    """

    def __init__(self) -> None:
        self._windows: dict[str, list[_Window]] = {}

    def record(self, route: str, duration_s: float, output_tokens: int, now: float) -> None:
        """Record an answered request."""
        windows = self._windows.setdefault(route, [])
        if not windows or now - windows[-1].began_at >= DURATION_WINDOW_S:
            windows.append(_Window(now))
            del windows[:-2]
        window = windows[-1]
        window.samples += 1
        window.duration_s = max(window.duration_s, duration_s)
        window.output_tokens = max(window.output_tokens, output_tokens)

    def bound_s(self, route: str, output_tokens: int, now: float) -> float | None:
        """Return a time within which a request most likely ends; None if too few are known.

        A request with more output tokens than the recent ones had may last longer in proportion.
        """
        recent = [
            window
            for window in self._windows.get(route, [])
            if now - window.began_at < 2 * DURATION_WINDOW_S
        ]
        if sum(window.samples for window in recent) < MIN_SAMPLES:
            return None
        largest_tokens = max(window.output_tokens for window in recent)
        scale = max(1.0, output_tokens / largest_tokens) if largest_tokens else 1.0
        longest_s = max(window.duration_s for window in recent)
        return max(MIN_BOUND_S, SAFETY_FACTOR * scale * longest_s)


class StopAdmission:
    """Decides which requests a node accepts, and what it can still finish while it stops."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self.durations = RequestDurations()
        self._began_at = float("inf")
        self.ends_at = float("inf")
        """When a stopping node ends its work (monotonic clock, seconds)."""

    def begin(self, grace_s: float) -> None:
        """Begin a stop; the platform kills the process after ``grace_s``."""
        self._began_at = self._clock()
        self.ends_at = self._began_at + grace_s - END_MARGIN_S

    @property
    def remaining_s(self) -> float:
        """Time until the node ends its work; infinite while it does not stop."""
        return self.ends_at - self._clock()

    def accepts(self, work: ExpectedWork) -> bool:
        """Whether a request that has just been read is accepted."""
        if work.latest_end <= self.ends_at:
            return True
        return self._clock() < self._began_at + ROUTING_DELAY_S and self.can_finish(work)

    def can_finish(self, work: ExpectedWork) -> bool:
        """Whether a request that no replica has begun yet most likely ends in time."""
        if work.latest_end <= self.ends_at:
            return True
        now = self._clock()
        bound_s = self.durations.bound_s(work.route, work.output_tokens, now)
        return bound_s is not None and now + bound_s <= self.ends_at
