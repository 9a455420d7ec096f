"""A call on a job that is answered with a promise has done nothing, and never will."""

from types import SimpleNamespace
from typing import Any

import curio
from fleet_world import FleetWorld, in_world
from job_world import HandClock, OwnerNode, batch_route, submission

from cloverwalk.core.final_answer import PROMISING_STATUSES, final_answer
from cloverwalk.emulator.memory_store import CommitFault, MemoryStore
from cloverwalk.jobs.errors import JobError
from cloverwalk.jobs.records import JOB_TABLE, decode_record, job_key
from cloverwalk.jobs.service import MAX_END_CONFLICTS, JobService
from cloverwalk.jobs.writes import JobWrites
from cloverwalk.store.types import CommitOutcome, Put, Transaction


class BusyStore(MemoryStore):
    """Other writers change a job's record just before each of the coming commits."""

    def __init__(self) -> None:
        super().__init__()
        self.changes_ahead = 0

    async def commit(self, transaction: Transaction, timeout_s: float) -> CommitOutcome:
        if self.changes_ahead > 0:
            self.changes_ahead -= 1
            self.apply(Transaction(puts=[Put(job_key("j"), self.values(JOB_TABLE)["j"])]))
        return await super().commit(transaction, timeout_s)


def service_of(node: OwnerNode) -> JobService:
    async def drop(job_id: str) -> None:
        node.jobs.pop(job_id, None)

    runner: Any = SimpleNamespace(jobs=node.jobs, drop=drop)
    log = node.intake._log
    return JobService(node.intake, node.reader, runner, node.view, node.committer, log, node.clock)


async def end_status(node: OwnerNode) -> int:
    """Return the status of the answer to an end of the job "j"."""
    writes = JobWrites()
    try:
        await service_of(node).end("j", "", writes)
    except JobError as error:
        return final_answer(error, writes).status
    return 200


def test_an_end_that_was_done_is_not_called_not_done_after_many_conflicts() -> None:
    async def main() -> None:
        store = BusyStore()
        node = OwnerNode("n1", store, HandClock(0.0001))
        await node.submit(submission("j"), batch_route())
        store.changes_ahead = MAX_END_CONFLICTS - 1
        store.commit_faults.extend([None] * store.changes_ahead + [CommitFault.LOST_ANSWER])
        status = await end_status(node)
        is_ended = decode_record(store.values(JOB_TABLE)["j"]).is_ended
        assert is_ended
        assert status not in PROMISING_STATUSES

    curio.run(main)


def test_a_failure_of_the_store_does_not_say_that_nothing_was_done() -> None:
    """Of the store's failures only some say that nothing was done."""

    async def test(world: FleetWorld) -> None:
        await world.start(replicas=1)
        for status in (500, 502, 504):
            world.store.failing_status = status
            answer = await world.hand_in(f"j{status}", count=1)
            world.store.failing_status = 0
            is_taken = f"j{status}" in world.store.rows.values(JOB_TABLE)
            assert is_taken
            assert answer.status not in PROMISING_STATUSES, status
            assert (await world.hand_in(f"j{status}", count=1)).status == 202

    in_world(test)
