"""How fast items get done, and what follows for their order. Figures in, figures out.

While there is more work than slots, the order by due time makes everything late: items that are
due soon take slots from items that were begun, and none comes to its end in time. So an item that
was begun counts as due sooner, by the time that an item usually takes; and one that was not begun
is taken to be too late when it has less than that time left.
"""

from cloverwalk.jobs.run import ItemRun

SMOOTHING_FACTOR = 0.1
"""Share of a new measurement in a running average: about the last 10 items count."""

INITIAL_EVENTS = 200.0
INITIAL_EVENT_S = 0.025
MIN_REMAINING_EVENTS = 20.0
MAX_STRETCH = 4.0
"""Longest time from begin to end that is expected, in times at replicas."""


class ItemTimeEstimator:
    """Running averages of what an item takes.

    >>> estimator = ItemTimeEstimator()
    >>> estimator.record_run(events=200, earlier_events=0, run_s=5.0)
    >>> fresh = _example_item()
    >>> round(estimator.remaining_s(fresh), 2), estimator.can_be_in_time(fresh, 5_100.0)
    (5.0, True)
    """

    def __init__(self) -> None:
        self._events = INITIAL_EVENTS
        self._event_s = INITIAL_EVENT_S
        self._stretch = 1.0

    def record_run(self, events: int, earlier_events: int, run_s: float) -> None:
        """A last run ended with so many events, ``earlier_events`` of them of earlier runs."""
        self._events += SMOOTHING_FACTOR * (events - self._events)
        if events > earlier_events:
            self._event_s += SMOOTHING_FACTOR * (run_s / (events - earlier_events) - self._event_s)

    def record_item(self, item_run: ItemRun, now: float, last_run_s: float) -> None:
        """An item was done; its earlier runs stand in ``one``."""
        if item_run.first_started_at is None:
            return
        ran_s = item_run.ran_s + last_run_s
        stretch = min(MAX_STRETCH, max(1.0, (now - item_run.first_started_at) / max(ran_s, 1e-3)))
        self._stretch += SMOOTHING_FACTOR * (stretch - self._stretch)

    def remaining_s(self, item_run: ItemRun) -> float:
        """Return the time that an item is expected to need still at a replica."""
        return max(MIN_REMAINING_EVENTS, self._events - len(item_run.texts)) * self._event_s

    def can_be_in_time(self, item_run: ItemRun, time_left_ms: float) -> bool:
        """Whether an item that is due in ``left_ms`` can still be done by then.

        One that was begun may run on without a pause; another must expect the usual ones.
        """
        stretch = 1.0 if item_run.texts else self._stretch
        return self.remaining_s(item_run) * stretch * 1000 <= time_left_ms

    def effective_due_ms(self, item_run: ItemRun, due_ms: float) -> float:
        """Return the time by which waiting items are ordered."""
        if not item_run.texts:
            return due_ms
        return due_ms - self._events * self._event_s * self._stretch * 1000


def _example_item() -> ItemRun:
    from cloverwalk.jobs.records import JobItem

    return ItemRun(0, JobItem("a", "/", [], b"", 1))
