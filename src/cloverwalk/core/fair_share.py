"""Weighted fair share between classes of work, by virtual time.

Start-time fair queueing: serving a class advances its virtual time by cost / weight, and
the class that is furthest behind goes next. A class that was idle starts at the virtual
time of the system, so idle time is not saved up as credit.
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

    def __init__(self) -> None:
        self._finish: dict[ClassKey, float] = {}
        self._system_time = 0.0

    def _start_time(self, key: ClassKey) -> float:
        return max(self._system_time, self._finish.get(key, 0.0))

    def choose(self, candidates: Iterable[ClassKey], weights: dict[ClassKey, float]) -> ClassKey:
        """Return the candidate that is furthest behind; ties go to the heavier weight."""
        return min(
            candidates, key=lambda key: (self._start_time(key), -weights.get(key, 1.0), str(key))
        )

    def charge(self, key: ClassKey, cost: float, weight: float) -> None:
        """Count ``cost`` of service to ``key``. Weights must be above zero."""
        start = self._start_time(key)
        self._system_time = max(self._system_time, start)
        self._finish[key] = start + cost / weight
        self._forget_idle()

    def _forget_idle(self) -> None:
        if len(self._finish) > 4096:
            self._finish = {k: v for k, v in self._finish.items() if v > self._system_time}
