"""How fast items get done, and what follows for their order. Figures in, figures out.

While there is more work than slots, the order by due time makes everything late: items that are
due soon take slots from items that were begun, and none comes to its end in time. So an item that
was begun counts as due sooner, by the time that an item usually takes; and one that was not begun
is taken to be too late when it has less than that time left.
"""

from cloverwalk.jobs.run import ItemRun

PACE_WEIGHT = 0.1
"""Share of a new measurement in a running average: about the last 10 items count."""

FIRST_GUESS_EVENTS = 200.0
FIRST_GUESS_EVENT_S = 0.025
LEAST_EVENTS_LEFT = 20.0
MOST_STRETCH = 4.0
"""Longest time from begin to end that is expected, in times at replicas."""


class ItemTimeEstimator:
    """Running averages of what an item takes.

    >>> pace = ItemTimeEstimator()
    >>> pace.note_run(events=200, began_with=0, took_s=5.0)
    >>> fresh = _example_item()
    >>> round(pace.remaining_s(fresh), 2), pace.can_be_in_time(fresh, 5_100.0)
    (5.0, True)
    """

    def __init__(self) -> None:
        self._events = FIRST_GUESS_EVENTS
        self._event_s = FIRST_GUESS_EVENT_S
        self._stretch = 1.0

    def note_run(self, events: int, began_with: int, took_s: float) -> None:
        """A last run ended with so many events, ``began_with`` of them of earlier runs."""
        self._events += PACE_WEIGHT * (events - self._events)
        if events > began_with:
            self._event_s += PACE_WEIGHT * (took_s / (events - began_with) - self._event_s)

    def note_item(self, one: ItemRun, now: float, last_run_s: float) -> None:
        """An item was done; its earlier runs stand in ``one``."""
        if one.first_began_at is None:
            return
        ran_s = one.ran_s + last_run_s
        stretch = min(MOST_STRETCH, max(1.0, (now - one.first_began_at) / max(ran_s, 1e-3)))
        self._stretch += PACE_WEIGHT * (stretch - self._stretch)

    def remaining_s(self, one: ItemRun) -> float:
        """Return the time that an item is expected to need still at a replica."""
        return max(LEAST_EVENTS_LEFT, self._events - len(one.texts)) * self._event_s

    def can_be_in_time(self, one: ItemRun, left_ms: float) -> bool:
        """Whether an item that is due in ``left_ms`` can still be done by then.

        One that was begun may run on without a pause; another must expect the usual ones.
        """
        stretch = 1.0 if one.texts else self._stretch
        return self.remaining_s(one) * stretch * 1000 <= left_ms

    def order_ms(self, one: ItemRun, due_ms: float) -> float:
        """Return the time by which waiting items are ordered."""
        if not one.texts:
            return due_ms
        return due_ms - self._events * self._event_s * self._stretch * 1000


def _example_item() -> ItemRun:
    from cloverwalk.jobs.records import JobItem

    return ItemRun(0, JobItem("a", "/", [], b"", 1))
