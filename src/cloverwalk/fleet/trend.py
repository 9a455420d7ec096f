"""How the online work of a group of replicas grows: batch work must not start just before it."""

from collections import deque

RISE_S = 0.25
"""Time over which growth is looked at: about what an item needs to pay its start."""


class OnlineTrend:
    """Online work of a group of replicas, noted some times a second.

    >>> trend = OnlineTrend()
    >>> trend.note(10, now=1.0), trend.note(16, now=1.2)
    (None, None)
    >>> trend.rise()
    6
    >>> trend.note(9, now=2.0)
    >>> trend.rise()
    0
    """

    def __init__(self) -> None:
        self._lately: deque[tuple[float, int]] = deque()

    def note(self, online: int, now: float) -> None:
        """Take the online work of this moment."""
        self._lately.append((now, online))
        while now - self._lately[0][0] > RISE_S:
            self._lately.popleft()

    def rise(self) -> int:
        """Return how much more online work there is than at the least of the last moments."""
        return self._lately[-1][1] - min(online for _, online in self._lately)
