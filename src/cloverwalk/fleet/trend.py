"""The online work of a group of replicas over the last moments."""

from collections import deque

TREND_S = 0.25
"""Time over which online work is averaged: some of the pauses between a node's looks at it."""


class OnlineTrend:
    """Online work of a group of replicas, noted some times a second.

    >>> trend = OnlineTrend()
    >>> trend.note(10, now=1.0), trend.note(16, now=1.2)
    (None, None)
    >>> trend.mean()
    13.0
    >>> trend.note(9, now=2.0)
    >>> trend.mean()
    9.0
    """

    def __init__(self) -> None:
        self._lately: deque[tuple[float, int]] = deque()

    def note(self, online: int, now: float) -> None:
        """Take the online work of this moment."""
        self._lately.append((now, online))
        while now - self._lately[0][0] > TREND_S:
            self._lately.popleft()

    def mean(self) -> float:
        """Return the mean online work of the last moments."""
        return sum(online for _, online in self._lately) / len(self._lately)
