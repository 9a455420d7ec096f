"""How long requests of a route take at a replica, learnt from those that were served."""

import attrs

LEARNING_WEIGHT = 0.05
"""Share of a new measurement in a running average: about the last 20 requests count."""

WAIT_LEARNING_WEIGHT = 0.1
"""The same for waits, of which there are few."""

INITIAL_HOLD_MS = 500.0
"""Time in a slot before any was measured; too long a guess only makes a new node cautious."""

INITIAL_START_MS = 80.0
"""Time to the first event at a replica with a free slot before any was measured."""

MIN_WAIT_FACTOR = 0.5
MAX_WAIT_FACTOR = 4.0
"""Bounds of the correction: one odd moment must not turn requests away for long."""


@attrs.define
class RunningAverage:
    """An average in which older measurements fade; the first one replaces the guess.

    >>> average = RunningAverage(500.0, weight=0.5)
    >>> average.add(100.0), average.add(200.0), average.value
    (None, None, 150.0)
    """

    value: float
    weight: float
    _count: int = 0

    def add(self, measured: float) -> None:
        """Take a measurement."""
        self._count += 1
        self.value += max(self.weight, 1 / self._count) * (measured - self.value)

    def replace(self, value: float) -> None:
        """Take an average that was made elsewhere; it counts as long established."""
        self.value = value
        self._count = round(1 / self.weight)


def _hold() -> RunningAverage:
    return RunningAverage(INITIAL_HOLD_MS, LEARNING_WEIGHT)


def _start() -> RunningAverage:
    return RunningAverage(INITIAL_START_MS, LEARNING_WEIGHT)


@attrs.define
class _RouteTimes:
    hold: RunningAverage = attrs.Factory(_hold)
    start: RunningAverage = attrs.Factory(_start)
    wait_factor: float = 1.0


class ServiceTimes:
    """Times by route.

    >>> times = ServiceTimes()
    >>> times.record_start("r", 100.0)
    >>> times.first_event_ms("r"), times.hold_ms("r")
    (100.0, 500.0)
    """

    def __init__(self) -> None:
        self._by_route: dict[str, _RouteTimes] = {}

    def _of(self, route: str) -> _RouteTimes:
        times = self._by_route.get(route)
        if times is None:
            times = self._by_route[route] = _RouteTimes()
        return times

    def hold_ms(self, route: str) -> float:
        """Return the time from the first event to the end: a request keeps its slot so long."""
        return self._of(route).hold.value

    def first_event_ms(self, route: str) -> float:
        """Return the time from sending to the first event, where a slot is free."""
        return self._of(route).start.value

    def wait_factor(self, route: str) -> float:
        """Return how much longer requests waited for a slot than was expected.

        Running requests do not end one after the other, and what a replica runs is known late.
        """
        return self._of(route).wait_factor

    def estimates(self) -> dict[str, tuple[float, float, float]]:
        """Return start and hold in ms and the wait factor, by route."""
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
        """Take what another node has learnt of a route."""
        times = self._of(route)
        times.start.replace(start_ms)
        times.hold.replace(hold_ms)
        times.wait_factor = wait_factor

    def record_start(self, route: str, took_ms: float) -> None:
        """A request that found a free slot had its first event after so long."""
        self._of(route).start.add(took_ms)

    def record_hold(self, route: str, took_ms: float) -> None:
        """A request was served; its events took so long."""
        self._of(route).hold.add(took_ms)

    def record_wait(self, route: str, expected_ms: float, took_ms: float) -> None:
        """A request that was expected to wait for a slot had its first event after so long.

        ``expected_ms`` is the expected wait without the correction.
        """
        times = self._of(route)
        factor = max(0.0, took_ms - times.start.value) / expected_ms
        factor = min(MAX_WAIT_FACTOR, max(MIN_WAIT_FACTOR, factor))
        times.wait_factor += WAIT_LEARNING_WEIGHT * (factor - times.wait_factor)
