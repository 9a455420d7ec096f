"""How fast online requests arrive."""

import math

WINDOW_S = 0.5
"""Time over which arrivals are averaged: bursts last some seconds, and must be seen within one."""


class ArrivalRate:
    """Arrivals a second, in which older ones fade.

    >>> rate = ArrivalRate()
    >>> for tenth in range(50):
    ...     rate.note(tenth / 10)
    >>> round(rate.per_s(4.95))
    10
    >>> rate.per_s(9.0) < 0.1
    True
    """

    def __init__(self) -> None:
        self._per_s = 0.0
        self._at = 0.0

    def note(self, now: float) -> None:
        """A request arrived."""
        self._per_s = self.per_s(now) + 1 / WINDOW_S
        self._at = now

    def per_s(self, now: float) -> float:
        """Return the present rate."""
        return self._per_s * math.exp(-max(0.0, now - self._at) / WINDOW_S)
