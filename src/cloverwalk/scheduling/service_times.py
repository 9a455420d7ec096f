"""Service times of requests by route, averaged over those that were served."""

from collections.abc import Iterable

import attrs

LEARNING_WEIGHT = 0.05
"""Weight of a new measurement in a running average: about the last 20 requests count."""

WAIT_LEARNING_WEIGHT = 0.1
"""The same for waits, which are rarer."""

INITIAL_HOLD_MS = 500.0
"""Time in a slot before any measurement; a long guess only makes a new node cautious."""

INITIAL_START_MS = 80.0
"""Time to the first event at a free slot before any measurement."""

MIN_WAIT_FACTOR = 0.5
MAX_WAIT_FACTOR = 4.0
"""Bounds of the correction, so that one outlier does not refuse requests for long."""


@attrs.define
class RunningAverage:
    """An exponential moving average; the first measurement replaces the initial value.

    >>> average = RunningAverage(500.0, weight=0.5)
    >>> average.add(100.0), average.add(200.0), average.value
    (None, None, 150.0)
    """

    value: float
    weight: float
    _count: int = 0

    def add(self, measured: float) -> None:
        """Add a measurement."""
        self._count += 1
        self.value += max(self.weight, 1 / self._count) * (measured - self.value)

    def replace(self, value: float) -> None:
        """Replace the average by one of another node, with the weight of an average of many."""
        self.value = value
        self._count = round(1 / self.weight)


def _initial_hold_average() -> RunningAverage:
    return RunningAverage(INITIAL_HOLD_MS, LEARNING_WEIGHT)


def _initial_start_average() -> RunningAverage:
    return RunningAverage(INITIAL_START_MS, LEARNING_WEIGHT)


@attrs.define
class _RouteTimes:
    hold: RunningAverage = attrs.Factory(_initial_hold_average)
    start: RunningAverage = attrs.Factory(_initial_start_average)
    wait_factor: float = 1.0


_INITIAL_TIMES = _RouteTimes()
"""Times of a route before any measurement; must not be modified."""


class ServiceTimes:
    """Service times by route.

    >>> times = ServiceTimes()
    >>> times.record_start("r", 100.0)
    >>> times.first_event_ms("r"), times.hold_ms("r")
    (100.0, 500.0)
    """

    def __init__(self) -> None:
        self._by_route: dict[str, _RouteTimes] = {}
        self._changed: set[str] = set()

    def is_measured(self, route: str) -> bool:
        """Whether the times of a route differ, or may differ, from the initial ones."""
        return route in self._by_route

    def measured_routes(self) -> Iterable[str]:
        """Return the names of the routes that have been measured."""
        return self._by_route

    @property
    def measured_count(self) -> int:
        """The number of routes that have been measured."""
        return len(self._by_route)

    def take_changed(self) -> set[str]:
        """Return the names of the routes whose times have changed since the last call."""
        changed, self._changed = self._changed, set()
        return changed

    def _get(self, route: str) -> _RouteTimes:
        """Return the times of a route for reading."""
        return self._by_route.get(route, _INITIAL_TIMES)

    def _of(self, route: str) -> _RouteTimes:
        """Return the times of a route for an update, creating them if needed."""
        self._changed.add(route)
        times = self._by_route.get(route)
        if times is None:
            times = self._by_route[route] = _RouteTimes()
        return times

    def hold_ms(self, route: str) -> float:
        """Return how long a request occupies its slot: from the first event to the end."""
        return self._get(route).hold.value

    def first_event_ms(self, route: str) -> float:
        """Return the expected time from sending to the first event at a free slot."""
        return self._get(route).start.value

    def wait_factor(self, route: str) -> float:
        """Return the ratio of actual to expected waits for a slot.

        It differs from 1 since running requests do not end evenly, and the load of a replica is
        known with a delay.
        """
        return self._get(route).wait_factor

    def estimates(self) -> dict[str, tuple[float, float, float]]:
        """Return start and hold times in ms and the wait factor, by route."""
        return {
            name: (
                round(times.start.value, 1),
                round(times.hold.value, 1),
                round(times.wait_factor, 3),
            )
            for name, times in self._by_route.items()
        }

    def apply_estimate(
        self, route: str, start_ms: float, hold_ms: float, wait_factor: float
    ) -> None:
        """Apply the estimates of another node for a route."""
        times = self._of(route)
        times.start.replace(start_ms)
        times.hold.replace(hold_ms)
        times.wait_factor = wait_factor

    def record_start(self, route: str, took_ms: float) -> None:
        """Record the time to the first event of a request that found a free slot."""
        self._of(route).start.add(took_ms)

    def record_hold(self, route: str, took_ms: float) -> None:
        """Record the time from the first event to the end of a request."""
        self._of(route).hold.add(took_ms)

    def record_wait(self, route: str, expected_ms: float, took_ms: float) -> None:
        """Record the time to the first event of a request that was expected to wait for a slot.

        ``expected_ms`` is the expected wait without the correction.
        """
        times = self._of(route)
        factor = max(0.0, took_ms - times.start.value) / expected_ms
        factor = min(MAX_WAIT_FACTOR, max(MIN_WAIT_FACTOR, factor))
        times.wait_factor += WAIT_LEARNING_WEIGHT * (factor - times.wait_factor)
