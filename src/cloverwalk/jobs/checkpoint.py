"""Saves the output of running items now and then, so that a lost node loses little work."""

from cloverwalk.jobs.commit import Committer
from cloverwalk.jobs.records import PartialOutput, partial_put
from cloverwalk.jobs.run import JobRun
from cloverwalk.jobs.runner import BatchRunner
from cloverwalk.store.health import StoreHealth
from cloverwalk.store.types import CommitStatus, Transaction

SAVE_EVERY_MS = 1000.0
MAX_SEGMENTS = 80
MAX_CHARACTERS = 400_000


def take_within(segments: list[PartialOutput]) -> list[PartialOutput]:
    """Return the first segments that fit into one transaction."""
    taken: list[PartialOutput] = []
    size = 0
    for segment in segments:
        size += sum(len(text) for text in segment.texts)
        if len(taken) >= MAX_SEGMENTS or size > MAX_CHARACTERS:
            break
        taken.append(segment)
    return taken


class Checkpointer:
    """Writes unsaved output without conditions: a segment's content never depends on its writer."""

    def __init__(self, runner: BatchRunner, committer: Committer, health: StoreHealth) -> None:
        self._runner = runner
        self._committer = committer
        self._health = health

    async def run(self) -> None:
        """Save until cancelled; at once when the store is back after an outage."""
        while True:
            await self._health.pause(SAVE_EVERY_MS)
            await self.save()

    async def save(self) -> None:
        """Save what is new in one transaction; what does not fit waits for the next."""
        chosen: list[tuple[JobRun, PartialOutput]] = []
        for job in list(self._runner.jobs.values()):
            chosen += [(job, segment) for segment in job.unsaved()]
        fitting = take_within([segment for _, segment in chosen])
        chosen = chosen[: len(fitting)]
        if not chosen:
            return
        puts = [partial_put(job.job_id, segment) for job, segment in chosen]
        outcome = await self._committer.once(Transaction(puts=puts))
        if outcome.status is CommitStatus.COMMITTED:
            for job, segment in chosen:
                job.mark_saved([segment])
