"""Saves the output of running items periodically, so that a lost node loses little work.

Each job's output is saved under the version of its record, so a node learns from its next save that
another node has ended the job or runs it now.
"""

from collections.abc import Awaitable, Callable

from cloverwalk.core.byte_lists import encoded_bytes
from cloverwalk.jobs.commit import Committer
from cloverwalk.jobs.records import PartialOutput, partial_put
from cloverwalk.jobs.run import JobRun
from cloverwalk.jobs.runner import BatchRunner
from cloverwalk.store.health import StoreHealth
from cloverwalk.store.stored import transaction
from cloverwalk.store.types import CommitStatus

SAVE_INTERVAL_MS = 1000.0
MAX_SEGMENTS = 80
"""Segments saved in one transaction."""

MAX_BYTES = 400_000
"""Encoded output saved in one transaction."""

OnConflict = Callable[[JobRun], Awaitable[None]]


def fitting_segments(segments: list[PartialOutput]) -> list[PartialOutput]:
    """Return the first segments that fit into one transaction."""
    fitting: list[PartialOutput] = []
    size = 0
    for segment in segments:
        size += encoded_bytes(segment)
        if len(fitting) >= MAX_SEGMENTS or size > MAX_BYTES:
            break
        fitting.append(segment)
    return fitting


class Checkpointer:
    """Saves the unsaved output of this node's jobs."""

    def __init__(
        self,
        runner: BatchRunner,
        committer: Committer,
        health: StoreHealth,
        on_conflict: OnConflict,
    ) -> None:
        self._runner = runner
        self._committer = committer
        self._health = health
        self._on_conflict = on_conflict

    async def run(self) -> None:
        """Save periodically until cancelled, and at once when the store is back after an outage."""
        while True:
            await self._runner.wait_until_jobs()
            await self._health.backoff(SAVE_INTERVAL_MS)
            await self.save()

    async def save(self) -> None:
        """Save new output, one transaction per job; what does not fit is saved the next time."""
        for job in list(self._runner.jobs.values()):
            segments = fitting_segments(job.unsaved())
            if segments and not job.is_dropped:
                await self._save(job, segments)

    async def _save(self, job: JobRun, segments: list[PartialOutput]) -> None:
        stored = job.stored
        puts = [partial_put(job.job_id, segment) for segment in segments]
        outcome = await self._committer.once(transaction(unchanged=[stored], puts=puts))
        if outcome.status is CommitStatus.COMMITTED:
            job.mark_saved(segments)
        elif outcome.status is CommitStatus.CONFLICT and job.stored is stored:
            await self._on_conflict(job)
