"""A call on a job that is answered as not run has had no effect, and never will have one."""

from collections import deque
from enum import Enum
from types import SimpleNamespace
from typing import Any

import curio
import pytest
from fleet_world import FleetWorld, in_world
from hypothesis import given
from hypothesis import strategies as st
from job_world import ManualClock, OwnerNode, RefusedError, batch_route, submission

from cloverwalk.core.error_response import NOT_RUN_STATUSES, error_response
from cloverwalk.emulator.memory_store import CommitFault, MemoryStore
from cloverwalk.jobs.errors import JobError
from cloverwalk.jobs.records import (
    JOB_TABLE,
    QUOTA_TABLE,
    QuotaRow,
    decode_record,
    encode,
    job_key,
    quota_key,
)
from cloverwalk.jobs.service import MAX_END_CONFLICTS, JobService
from cloverwalk.jobs.writes import JobWriteTracker
from cloverwalk.store.types import CommitOutcome, Put, RowKey, Transaction


class Interference(Enum):
    """What happens just before a commit."""

    ROWS_CHANGE = "other writers change the job's record and the quota row"
    LATE_WRITES = "transactions without an answer are done now, if they still hold"


class InterferingStore(MemoryStore):
    """A store that other writers change between the commits of a call."""

    def __init__(self) -> None:
        super().__init__()
        self.interferences: deque[Interference | None] = deque()

    async def commit(self, transaction: Transaction, timeout_s: float) -> CommitOutcome:
        match self.interferences.popleft() if self.interferences else None:
            case Interference.ROWS_CHANGE:
                self._rewrite(job_key("j"))
                self._rewrite(quota_key("jobs"))
            case Interference.LATE_WRITES:
                self.run_late()
        return await super().commit(transaction, timeout_s)

    def _rewrite(self, key: RowKey) -> None:
        value = self.values(key.table).get(key.key)
        if value is None and key.table == QUOTA_TABLE:
            value = encode(QuotaRow())
        if value is not None:
            self.apply(Transaction(puts=[Put(key, value)]))


def create_service(node: OwnerNode) -> JobService:
    async def drop(job_id: str) -> None:
        node.jobs.pop(job_id, None)

    runner: Any = SimpleNamespace(jobs=node.jobs, drop=drop)
    log = node.intake._log
    return JobService(node.intake, node.reader, runner, node.view, node.committer, log, node.clock)


async def submit_status(node: OwnerNode, max_queued_tokens: int) -> int:
    """Return the status of the response to a submission of the job "j"."""
    try:
        await node.submit(submission("j"), batch_route(max_queued_tokens))
    except RefusedError as refused:
        return refused.status
    return 202


def without_retry_delays(node: OwnerNode) -> OwnerNode:
    """Let a node retry its transactions without delays; its clock advances all the same."""

    async def pause(delay_ms: float) -> None:
        await curio.sleep(0)

    node.health.backoff = pause  # type: ignore[method-assign]
    return node


async def end_status(node: OwnerNode) -> int:
    """Return the status of the response to an end of the job "j"."""
    writes = JobWriteTracker()
    try:
        await create_service(node).end("j", "", writes)
    except JobError as error:
        return error_response(error, writes).status
    return 200


def test_committed_end_is_not_answered_as_not_run_after_conflicts() -> None:
    async def main() -> None:
        store = InterferingStore()
        node = OwnerNode("n1", store, ManualClock(0.0001))
        await node.submit(submission("j"), batch_route())
        conflicts = MAX_END_CONFLICTS - 1
        store.interferences.extend([Interference.ROWS_CHANGE] * conflicts)
        store.commit_faults.extend([None] * conflicts + [CommitFault.LOST_ANSWER])
        status = await end_status(node)
        is_ended = decode_record(store.values(JOB_TABLE)["j"]).is_ended
        assert is_ended
        assert status not in NOT_RUN_STATUSES

    curio.run(main)


def test_store_error_is_not_answered_as_not_run() -> None:
    """Only some failures of the store prove that nothing was done."""

    async def test(world: FleetWorld) -> None:
        await world.start(replicas=1)
        for status in (500, 502, 504):
            world.store.applied_error_status = status
            answer = await world.submit_job(f"j{status}", count=1)
            world.store.applied_error_status = 0
            is_accepted = f"j{status}" in world.store.rows.values(JOB_TABLE)
            assert is_accepted
            assert answer.status not in NOT_RUN_STATUSES, status
            assert (await world.submit_job(f"j{status}", count=1)).status == 202

    in_world(test)


faults = st.sampled_from(
    [None, None, CommitFault.LOST_ANSWER, CommitFault.LATE, CommitFault.NOT_DONE]
)
interferences = st.sampled_from([None, Interference.ROWS_CHANGE, Interference.LATE_WRITES])
courses = st.lists(st.tuples(faults, interferences), max_size=30)
MAX_COMMITS = 300
"""More commits than a call has time for."""

Course = list[tuple[CommitFault | None, Interference | None]]
"""The fault and the interference of each commit, in order."""


def schedule(store: InterferingStore, course: Course, final_fault: CommitFault | None) -> None:
    """Schedule the events of ``course`` for the next commits, and ``final_fault`` for all later."""
    store.commit_faults.extend(fault for fault, _ in course)
    store.commit_faults.extend([final_fault] * MAX_COMMITS)
    store.interferences.extend(interference for _, interference in course)


@pytest.mark.parametrize("max_queued_tokens", [0, 25, 1000])
@given(course=courses, final_fault=faults)
def test_refused_submission_is_never_stored(
    max_queued_tokens: int, course: Course, final_fault: CommitFault | None
) -> None:
    """This holds whatever is lost, late, refused or changed between the attempts to submit."""

    async def main() -> None:
        store = InterferingStore()
        schedule(store, course, final_fault)
        node = without_retry_delays(OwnerNode("n1", store, ManualClock(0.05)))
        status = await submit_status(node, max_queued_tokens)
        store.run_late()
        is_accepted = "j" in store.values(JOB_TABLE)
        assert not (is_accepted and status in NOT_RUN_STATUSES)
        assert is_accepted or status != 202

    curio.run(main)


@given(course=courses, final_fault=faults)
def test_refused_end_never_takes_effect(course: Course, final_fault: CommitFault | None) -> None:
    async def main() -> None:
        store = InterferingStore()
        node = without_retry_delays(OwnerNode("n1", store, ManualClock(0.05)))
        await node.submit(submission("j"), batch_route())
        schedule(store, course, final_fault)
        status = await end_status(node)
        store.run_late()
        is_ended = decode_record(store.values(JOB_TABLE)["j"]).is_ended
        assert not (is_ended and status in NOT_RUN_STATUSES)
        assert is_ended or status != 200

    curio.run(main)


def test_conflict_proves_unanswered_submission_void() -> None:
    """The first transaction has no answer, then the quota row has changed, then the store fails."""

    async def main() -> None:
        store = InterferingStore()
        store.interferences.extend([None, Interference.ROWS_CHANGE])
        store.commit_faults.extend([CommitFault.LATE, None, *[CommitFault.NOT_DONE] * 300])
        node = without_retry_delays(OwnerNode("n1", store, ManualClock(0.01)))
        assert await submit_status(node, 1000) == 503
        assert store.late
        store.run_late()
        assert store.values(JOB_TABLE) == {}

    curio.run(main)
