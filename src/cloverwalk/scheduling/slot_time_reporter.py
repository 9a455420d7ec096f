"""Samples the replicas for ``slot_time`` and reports once a second how slots were used."""

from collections.abc import Callable

from cloverwalk.scheduling.scheduler import Scheduler
from cloverwalk.scheduling.slot_time import SlotTime, SlotUse

REPORT_INTERVAL_S = 1.0
"""Shortest time between two reports of a node."""

ReportUses = Callable[[dict[SlotUse, float]], None]


class SlotTimeReporter:
    """Counts slot time at the coordinator."""

    def __init__(self, scheduler: Scheduler, report: ReportUses) -> None:
        self._scheduler = scheduler
        self._report = report
        self._reported_at = float("-inf")
        self._reported: dict[SlotUse, float] = {}
        self.slot_time = SlotTime()

    def tick(self, now: float) -> None:
        """Take a sample and report the slot time since the last report, if these are due."""
        uses = self._scheduler.replica_uses
        if self.slot_time.is_due(now, self._scheduler.replica_count):
            waiting, reserved = self._scheduler.waiting_items(now)
            self.slot_time.sample(uses(now), waiting, reserved, now)
        if now - self._reported_at < REPORT_INTERVAL_S:
            return
        self._reported_at = now
        new_seconds = {
            use: seconds - self._reported.get(use, 0.0)
            for use, seconds in self.slot_time.seconds.items()
        }
        self._reported = dict(self.slot_time.seconds)
        if any(new_seconds.values()):
            self._report(new_seconds)
