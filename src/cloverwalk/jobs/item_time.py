"""Estimates how long items take, and derives their order from it. Pure computation.

With more work than slots, the order by due time makes everything late: items due soon take slots
from items that were started, and none finishes in time. So a started item counts as due sooner, by
the time that an item usually takes, and an item that was not started counts as too late when it has
less than that time left.
"""

from cloverwalk.jobs.run import ItemRun

SMOOTHING_FACTOR = 0.1
"""Weight of a new measurement in a running average."""

INITIAL_EVENTS = 200.0
"""Estimated events of an item before any is measured."""

INITIAL_EVENT_S = 0.025
"""Estimated time per event before any is measured."""

MIN_REMAINING_EVENTS = 20.0
MAX_STRETCH = 4.0
"""Longest expected time from start to end, as a multiple of the time at replicas."""


class ItemTimeEstimator:
    """Running averages of the time that items take.

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
        """Record the run that completed an item.

        ``earlier_events`` of the item's ``events`` came from earlier runs.
        """
        self._events += SMOOTHING_FACTOR * (events - self._events)
        if events > earlier_events:
            self._event_s += SMOOTHING_FACTOR * (run_s / (events - earlier_events) - self._event_s)

    def record_item(self, item_run: ItemRun, now: float, last_run_s: float) -> None:
        """Record that an item is done; ``item_run`` has the times of its earlier runs."""
        if item_run.first_started_at is None:
            return
        ran_s = item_run.ran_s + last_run_s
        stretch = min(MAX_STRETCH, max(1.0, (now - item_run.first_started_at) / max(ran_s, 1e-3)))
        self._stretch += SMOOTHING_FACTOR * (stretch - self._stretch)

    def remaining_s(self, item_run: ItemRun) -> float:
        """Return the time that an item is still expected to need at a replica."""
        return max(MIN_REMAINING_EVENTS, self._events - len(item_run.texts)) * self._event_s

    def can_be_in_time(self, item_run: ItemRun, time_left_ms: float) -> bool:
        """Return whether an item that is due in ``time_left_ms`` can still be done by then.

        A started item may run on without a pause; for others the usual pauses are expected.
        """
        stretch = 1.0 if item_run.texts else self._stretch
        return self.remaining_s(item_run) * stretch * 1000 <= time_left_ms

    def effective_due_ms(self, item_run: ItemRun, due_ms: float) -> float:
        """Return the time by which waiting items are ordered, sooner than due for started ones."""
        if not item_run.texts:
            return due_ms
        return due_ms - self._events * self._event_s * self._stretch * 1000


def _example_item() -> ItemRun:
    from cloverwalk.jobs.records import JobItem

    return ItemRun(0, JobItem("a", "/", [], b"", 1))
