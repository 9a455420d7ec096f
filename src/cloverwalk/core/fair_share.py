"""Weighted fair share between classes of work, by virtual time.

Start-time fair queueing: serving a class advances its virtual time by cost / weight, and
the class with the lowest virtual time goes next. A class that was idle starts at the virtual
time of the system, so an idle class accumulates no more than a bounded credit.
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

    def __init__(self, max_lead: float = 0.0) -> None:
        """Set ``max_lead``, the virtual-time lead up to which ``charge`` counts service."""
        self._max_lead = max_lead
        self._finish: dict[ClassKey, float] = {}
        self._system_time = 0.0

    def _start_time(self, key: ClassKey) -> float:
        return max(self._system_time, self._finish.get(key, 0.0))

    def start_time(self, key: ClassKey) -> float:
        """Return the virtual start time of a class; charges to other classes keep its order."""
        return self._start_time(key)

    def start_times(self, keys: Iterable[ClassKey]) -> dict[ClassKey, float]:
        """Return the virtual start times of several classes."""
        system_time, finish = self._system_time, self._finish
        return {key: max(system_time, finish.get(key, 0.0)) for key in keys}

    def ahead(self, key: ClassKey) -> float:
        """Return the virtual-time lead of a class over one that was idle for long."""
        return self._start_time(key) - self._system_time

    def ahead_of(self, keys: Iterable[ClassKey]) -> dict[ClassKey, float]:
        """Return the leads of several classes over the virtual time of the system."""
        system_time, finish = self._system_time, self._finish
        return {key: max(0.0, finish.get(key, 0.0) - system_time) for key in keys}

    def all_ahead(self) -> dict[ClassKey, float]:
        """Return the leads of all classes that are ahead of the virtual time of the system."""
        leads = {key: finish - self._system_time for key, finish in self._finish.items()}
        return {key: lead for key, lead in leads.items() if lead > 0}

    def choose(self, candidates: Iterable[ClassKey], weights: dict[ClassKey, float]) -> ClassKey:
        """Return the candidate with the lowest start time; ties go to the higher weight."""
        return min(
            candidates, key=lambda key: (self._start_time(key), -weights.get(key, 1.0), str(key))
        )

    def charge(
        self, key: ClassKey, cost: float, weight: float, waiting: Iterable[ClassKey] = ()
    ) -> None:
        """Charge ``cost`` of service to ``key``. Weights must be above zero.

        ``waiting`` are the classes with queued work. The virtual time of the system does not
        pass the lowest finish time of these, so they keep their order, and it follows ``key``
        at a distance of ``max_lead``, which bounds the credit of an idle class. A class that is
        more than ``max_lead`` ahead of the lowest is not charged for service out of turn.
        """
        start = self._start_time(key)
        lead_floor = start - self._max_lead
        if lead_floor <= self._system_time and self._max_lead > 0:
            # The virtual time of the system stays, and the class is within the allowed lead.
            self._finish[key] = start + cost / weight
            self._remove_idle()
            return
        finish = self._finish
        min_waiting_finish = min(
            [finish.get(waiting_key, 0.0) for waiting_key in waiting], default=start
        )
        furthest_behind = max(self._system_time, min_waiting_finish)
        self._system_time = max(self._system_time, min(lead_floor, furthest_behind))
        if start <= furthest_behind + self._max_lead:
            self._finish[key] = start + cost / weight
        self._remove_idle()

    def correct(self, key: ClassKey, cost: float, weight: float) -> None:
        """Adjust an earlier charge by ``cost``, which may be negative.

        An increase puts a class ahead by at most twice ``max_lead``, because waiting classes may
        be ahead by ``max_lead`` themselves.
        """
        if key not in self._finish:
            return
        finish = self._finish[key]
        bound = max(finish, self._system_time + 2 * self._max_lead)
        self._finish[key] = min(bound, finish + cost / weight)

    def put_ahead(self, key: ClassKey, lead: float) -> None:
        """Set the lead of a class, for instance from replicated usage; ``max_lead`` at most."""
        self._finish[key] = self._system_time + min(self._max_lead, max(0.0, lead))

    def _remove_idle(self) -> None:
        if len(self._finish) > 4096:
            self._finish = {k: v for k, v in self._finish.items() if v > self._system_time}
