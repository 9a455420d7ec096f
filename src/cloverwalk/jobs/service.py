"""Calls on batch jobs: submit, read and end. ``JobService`` is the entry point."""

from collections.abc import Callable

from cloverwalk.core import catalogue
from cloverwalk.core.error_response import Reason
from cloverwalk.gateway.configuration import Route
from cloverwalk.jobs.commit import Committer
from cloverwalk.jobs.errors import JobError, unresolved_error
from cloverwalk.jobs.intake import JobIntake, Submission
from cloverwalk.jobs.reader import JobReader, ResultPage
from cloverwalk.jobs.records import (
    JobRecord,
    StoredJob,
    change_job,
    end_mark_put,
    job_key,
)
from cloverwalk.jobs.runner import BatchRunner
from cloverwalk.jobs.view import JobView
from cloverwalk.jobs.writes import JobWriteTracker
from cloverwalk.store.stored import transaction
from cloverwalk.store.types import CommitStatus
from cloverwalk.telemetry.log import ServingLog

SUBMIT_TIMEOUT_S = 3.2
"""A submission is resolved or given up within this time; callers wait a little longer."""

END_TIMEOUT_S = 3.2
MAX_END_CONFLICTS = 20
END_RETRY_AFTER_S = 0.2


def submission_timeout_s(deadline_s: float | None) -> float:
    """Return the time within which a submission with this deadline is accepted or given up."""
    return SUBMIT_TIMEOUT_S if deadline_s is None else min(SUBMIT_TIMEOUT_S, 0.8 * deadline_s)


class JobService:
    """Calls on jobs. Every method raises JobError for an error response."""

    def __init__(
        self,
        intake: JobIntake,
        reader: JobReader,
        runner: BatchRunner,
        view: JobView,
        committer: Committer,
        log: ServingLog,
        clock: Callable[[], float],
    ) -> None:
        self._intake = intake
        self._reader = reader
        self._runner = runner
        self._view = view
        self._committer = committer
        self._log = log
        self._clock = clock
        self.on_ended: Callable[[JobRecord], None] = _ignore_ended
        """Called when the store holds the end of a job, before the caller gets its answer."""

    async def submit(
        self,
        submission: Submission,
        route: Route,
        timeout_s: float,
        writes: JobWriteTracker,
    ) -> None:
        """Accept a job within ``timeout_s``; return once the store holds it."""
        await self._intake.submit(submission, route, self._clock() + timeout_s, writes)

    async def read(self, job_id: str, tenant: str, position: int, wait_s: float) -> ResultPage:
        """Return results of a tenant's job from a position on."""
        await self._find(job_id, tenant)
        return await self._reader.read(job_id, position, wait_s)

    async def _find(self, job_id: str, tenant: str) -> JobRecord:
        """Return the record of a tenant's job; for other tenants the job does not exist."""
        cached = self._view.find(job_id)
        # A job's tenant never changes, so any version of the record will do.
        record = await self._reader.find(job_id) if cached is None else cached.content
        if record.tenant != tenant:
            raise JobError(Reason.NOT_FOUND, "no_such_job", "no such job")
        return record

    async def item_body(self, job_id: str, tenant: str, item_id: str) -> bytes:
        """Return the body of an item of a tenant's job."""
        await self._find(job_id, tenant)
        job = self._runner.jobs.get(job_id)
        if job is not None:
            item_run = job.find(item_id)
            if item_run is not None:
                return item_run.item.body
            raise JobError(Reason.NOT_FOUND, "no_such_item", "no such item")
        record = await self._reader.find(job_id)
        for item in await self._reader.items(record):
            if item.item_id == item_id:
                return item.body
        raise JobError(Reason.NOT_FOUND, "no_such_item", "no such item")

    async def end(self, job_id: str, tenant: str, writes: JobWriteTracker) -> None:
        """End a tenant's job: none of its items starts any more."""
        deadline = self._clock() + END_TIMEOUT_S
        await self._find(job_id, tenant)
        stored = await self._reader.find_stored(job_id)
        for _ in range(MAX_END_CONFLICTS):
            if not stored.content.is_open:
                break
            write = change_job(stored, is_ended=True)
            outcome = await writes.track(
                self._committer.commit_until_resolved(
                    transaction(write, puts=[end_mark_put(job_id)]), deadline
                )
            )
            if outcome.status is CommitStatus.COMMITTED:
                await self._on_ended(write.committed(outcome))
                return
            row = outcome.conflict(job_key(job_id))
            if outcome.status is not CommitStatus.CONFLICT:
                raise unresolved_error(outcome.status, END_RETRY_AFTER_S)
            if row is None or row.value is None:
                raise JobError(Reason.NOT_FOUND, "no_such_job", "no such job")
            stored = await self._view.put_row(row)
            if stored.content.is_open:
                writes.mark_void()
        if stored.content.is_open:
            message = "the record of the job changes too often"
            raise JobError(Reason.UNAVAILABLE, "job_contended", message, END_RETRY_AFTER_S)
        # The job was closed before, or by a transaction of this call whose answer was lost.
        if stored.content.is_ended:
            self.on_ended(stored.content)
        await self._runner.drop(job_id)

    async def _on_ended(self, stored: StoredJob) -> None:
        record = stored.content
        self._log.write(catalogue.JOB_ENDED, request=record.job_id, listed=record.listed)
        self.on_ended(record)
        await self._view.put(stored)
        await self._runner.drop(record.job_id)


def _ignore_ended(_record: JobRecord) -> None:
    return None
