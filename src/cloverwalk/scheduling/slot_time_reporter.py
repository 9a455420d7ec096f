"""Looks at the replicas for ``slot_time``, and tells each second what slots were used for."""

from collections.abc import Callable

from cloverwalk.scheduling.scheduler import Scheduler
from cloverwalk.scheduling.slot_time import SlotTime, SlotUse

REPORT_INTERVAL_S = 1.0
"""An operator reads a fleet's story by second; one node writes one line in that time."""

ReportUses = Callable[[dict[SlotUse, float]], None]


class SlotTimeReporter:
    """Counts slot time at the node that coordinates."""

    def __init__(self, scheduler: Scheduler, report: ReportUses) -> None:
        self._scheduler = scheduler
        self._report = report
        self._reported_at = float("-inf")
        self._reported: dict[SlotUse, float] = {}
        self.slot_time = SlotTime()

    def tick(self, now: float) -> None:
        """Look if it is time to; tell what came since it was last told."""
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
