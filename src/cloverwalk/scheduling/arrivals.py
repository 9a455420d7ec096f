"""Arrival rate of online requests."""

import math

AVERAGING_WINDOW_S = 0.5
"""Time constant of the average, short enough to notice a burst of a few seconds within a second."""


class ArrivalRate:
    """Arrivals per second, as an exponentially decaying average.

    >>> rate = ArrivalRate()
    >>> for tenth in range(50):
    ...     rate.record(tenth / 10)
    >>> round(rate.per_s(4.95))
    10
    >>> rate.per_s(9.0) < 0.1
    True
    """

    def __init__(self) -> None:
        self._per_s = 0.0
        self._updated_at = 0.0

    def record(self, now: float) -> None:
        """Record the arrival of a request."""
        self._per_s = self.per_s(now) + 1 / AVERAGING_WINDOW_S
        self._updated_at = now

    def per_s(self, now: float) -> float:
        """Return the current rate."""
        return self._per_s * math.exp(-max(0.0, now - self._updated_at) / AVERAGING_WINDOW_S)
