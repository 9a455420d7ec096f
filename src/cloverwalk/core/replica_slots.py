"""The work on one replica, tracked by its owner: running, queued and suspended."""

from collections import deque

from msgspec import Struct

from cloverwalk.core.types import BatchItem, Work


class RunningWork(Struct):
    """A stream that runs on the engine."""

    work: Work
    started_at: float
    reply_to: str = ""  # node that the online caller is connected to
    job_id: str = ""  # set for batch
    index: int = 0
    item: BatchItem | None = None
    stopping: bool = False

    @property
    def is_batch(self) -> bool:
        """Whether this is an item of a job."""
        return bool(self.job_id)


class QueuedOffer(Struct, frozen=True):
    """Online work that is queued for a slot of its replica."""

    work: Work
    reply_to: str
    queued_at: float


class SuspendedItem(Struct, frozen=True):
    """A preempted batch item, with its output so far."""

    job_id: str
    index: int
    item: BatchItem
    resume_text: str
    suspended_at: float
    model: str


class ReplicaSlots:
    """Streams, the online queue and suspended items of one replica."""

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.running: dict[str, RunningWork] = {}
        self.queue: deque[QueuedOffer] = deque()
        self.suspended: deque[SuspendedItem] = deque()
        self.online_count = 0
        self.batch_count = 0
        self.stopping_count = 0

    @property
    def free(self) -> int:
        """Slots that no stream occupies."""
        return self.slots - self.online_count - self.batch_count

    def add(self, running: RunningWork) -> None:
        """Record a started stream."""
        self.running[running.work.request_id] = running
        if running.is_batch:
            self.batch_count += 1
        else:
            self.online_count += 1

    def remove(self, request_id: str, attempt: int) -> RunningWork | None:
        """Record the end of a stream; return None if this attempt does not run here."""
        running = self.running.get(request_id)
        if running is None or running.work.attempt != attempt:
            return None
        del self.running[request_id]
        if running.is_batch:
            self.batch_count -= 1
            self.stopping_count -= running.stopping
        else:
            self.online_count -= 1
        return running

    def mark_stopping(self, running: RunningWork) -> None:
        """Record that a stop was sent to a batch stream, which will free its slot."""
        running.stopping = True
        self.stopping_count += 1

    def youngest_batch(self) -> RunningWork | None:
        """Return the batch stream that has run for the shortest time and is not stopping.

        It has the least output, so its resume costs the least.
        """
        candidates = [
            running
            for running in self.running.values()
            if running.is_batch and not running.stopping
        ]
        return max(
            candidates, key=lambda running: (running.started_at, running.index), default=None
        )
