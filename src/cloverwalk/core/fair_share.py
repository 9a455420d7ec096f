"""Weighted fair share between classes of work, by virtual time.

Start-time fair queueing: serving a class advances its virtual time by cost / weight, and
the class that is furthest behind goes next. A class that was idle starts at the virtual
time of the system, so idle time is not saved up as credit beyond a bound.
"""

from collections.abc import Hashable, Iterable
from typing import Generic, TypeVar

ClassKey = TypeVar("ClassKey", bound=Hashable)


class FairShare(Generic[ClassKey]):
    """Chooses which class is served next.

    >>> share: FairShare[str] = FairShare()
    >>> weights = {"subtitles": 3.0, "archive": 1.0}
    >>> served = []
    >>> for _ in range(8):
    ...     chosen = share.choose(weights, weights)
    ...     share.charge(chosen, cost=1.0, weight=weights[chosen])
    ...     served.append(chosen)
    >>> served.count("subtitles"), served.count("archive")
    (6, 2)
    """

    def __init__(self, most_ahead: float = 0.0) -> None:
        """``most_ahead`` is the cost by which one class may be ahead of others, see ``charge``."""
        self._most_ahead = most_ahead
        self._finish: dict[ClassKey, float] = {}
        self._system_time = 0.0

    def _start_time(self, key: ClassKey) -> float:
        return max(self._system_time, self._finish.get(key, 0.0))

    def ahead(self, key: ClassKey) -> float:
        """Return how far a class is ahead of one that was idle for long."""
        return self._start_time(key) - self._system_time

    def ahead_of(self, keys: Iterable[ClassKey]) -> dict[ClassKey, float]:
        """Return how far several classes are ahead."""
        system_time, finish = self._system_time, self._finish
        return {key: max(0.0, finish.get(key, 0.0) - system_time) for key in keys}

    def all_ahead(self) -> dict[ClassKey, float]:
        """Return the classes that are ahead, and by how much."""
        ahead = {key: finish - self._system_time for key, finish in self._finish.items()}
        return {key: by for key, by in ahead.items() if by > 0}

    def choose(self, candidates: Iterable[ClassKey], weights: dict[ClassKey, float]) -> ClassKey:
        """Return the candidate that is furthest behind; ties go to the heavier weight."""
        return min(
            candidates, key=lambda key: (self._start_time(key), -weights.get(key, 1.0), str(key))
        )

    def charge(
        self, key: ClassKey, cost: float, weight: float, waiting: Iterable[ClassKey] = ()
    ) -> None:
        """Count ``cost`` of service to ``key``. Weights must be above zero.

        ``waiting`` are the classes that have work waiting. One that waits keeps its place; all
        others move up to the least of these less ``most_ahead``, so that is what an idle class
        saves up. What a class is served out of turn is held against it up to ``most_ahead``.
        """
        start = self._start_time(key)
        reached = start - self._most_ahead
        if reached <= self._system_time and self._most_ahead > 0:
            # Nobody moves up, and the class is not beyond what is held against it.
            self._finish[key] = start + cost / weight
            self._forget_idle()
            return
        finish = self._finish
        least = min([finish.get(one, 0.0) for one in waiting], default=start)
        behind = max(self._system_time, least)
        self._system_time = max(self._system_time, min(reached, behind))
        if start <= behind + self._most_ahead:
            self._finish[key] = start + cost / weight
        self._forget_idle()

    def correct(self, key: ClassKey, cost: float, weight: float) -> None:
        """Count ``cost`` more, or less if it is negative, than was charged before."""
        if key in self._finish:
            self._finish[key] += cost / weight

    def put_ahead(self, key: ClassKey, by: float) -> None:
        """Take how far a class is ahead from one who counted before; ``most_ahead`` at most."""
        self._finish[key] = self._system_time + min(self._most_ahead, max(0.0, by))

    def _forget_idle(self) -> None:
        if len(self._finish) > 4096:
            self._finish = {k: v for k, v in self._finish.items() if v > self._system_time}
