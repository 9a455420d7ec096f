"""Looks at the replicas for ``slot_time``, and tells each second what slots were used for."""

from collections.abc import Callable

from cloverwalk.scheduling.scheduler import Scheduler
from cloverwalk.scheduling.slot_time import SlotTime, SlotUse

TELL_EVERY_S = 1.0
"""An operator reads a fleet's story by second; one node writes one line in that time."""

TellUses = Callable[[dict[SlotUse, float]], None]


class SlotTimeReporter:
    """Counts slot time at the node that coordinates."""

    def __init__(self, scheduler: Scheduler, tell: TellUses) -> None:
        self._scheduler = scheduler
        self._tell = tell
        self._told_at = float("-inf")
        self._told: dict[SlotUse, float] = {}
        self.slot_time = SlotTime()

    def tick(self, now: float) -> None:
        """Look if it is time to; tell what came since it was last told."""
        uses = self._scheduler.replica_uses
        if self.slot_time.is_due(now, self._scheduler.replica_count):
            waiting, kept = self._scheduler.waiting_items(now)
            self.slot_time.sample(uses(now), waiting, kept, now)
        if now - self._told_at < TELL_EVERY_S:
            return
        self._told_at = now
        news = {
            use: seconds - self._told.get(use, 0.0)
            for use, seconds in self.slot_time.seconds.items()
        }
        self._told = dict(self.slot_time.seconds)
        if any(news.values()):
            self._tell(news)
