"""Accepts jobs: all that an acceptance promises is in the store before the response is sent."""

from collections.abc import Awaitable, Callable
from random import Random

from msgspec import Struct

from cloverwalk.core import catalogue
from cloverwalk.core.decoding import InvalidContentError
from cloverwalk.core.error_response import Reason
from cloverwalk.gateway.configuration import Route
from cloverwalk.jobs.commit import Committer
from cloverwalk.jobs.errors import InvalidRecordError, JobError, unresolved_error
from cloverwalk.jobs.quota import admit, waiting_tokens
from cloverwalk.jobs.reader import JobReader
from cloverwalk.jobs.records import (
    JobItem,
    JobRecord,
    JobWrite,
    QuotaRow,
    StoredJob,
    decode_quota,
    job_key,
    payload_puts,
    quota_key,
)
from cloverwalk.jobs.run import JobRun
from cloverwalk.jobs.view import JobView
from cloverwalk.jobs.writes import JobWriteTracker
from cloverwalk.store.clock import StoreTime
from cloverwalk.store.stored import Stored, Write, create, transaction
from cloverwalk.store.types import (
    CommitOutcome,
    CommitStatus,
    Put,
    Row,
    RowKey,
    Store,
    StoreError,
    Transaction,
)
from cloverwalk.telemetry.log import ServingLog

MAX_OLD_JOBS_READ = 3
"""Old jobs of the quota row whose records are read at each admission: more than the one job that it
adds, so that the row stays short."""

MIN_OLD_JOB_AGE_MS = 3000.0
"""Younger jobs are rarely closed, so their records are not read."""

QUOTA_RETRY_AFTER_S = 0.7
STORE_RETRY_AFTER_S = 0.3
REFUSE_TIMEOUT_S = 0.6
"""A submission is refused when the store accepts no write for this long: the client retries
sooner."""

REFUSE_TIMEOUT_SERVED_ELSEWHERE_S = 0.1
"""The same while the store serves other nodes: there the client gets its response in time."""

ELSEWHERE_RETRY_AFTER_S = 0.02
"""Retry-after time while the store serves other nodes: the retry reaches one of them, so it need
not wait."""

MAX_CONFLICTS = 40
MAX_PAYLOAD_ROWS = 12
"""Rows of items in one transaction."""

OnAccepted = Callable[[JobRun], Awaitable[None]]


class Submission(Struct):
    """A job as a client submits it."""

    job_id: str
    host: str
    path: str
    items: list[JobItem]
    tenant: str = ""
    """Tenant that submits it; empty for callers without a key."""

    configuration: int = -1
    """Version of the configuration whose route received it."""


class JobIntake:
    """Accepts jobs into the store."""

    def __init__(
        self,
        owner: str,
        store: Store,
        committer: Committer,
        view: JobView,
        reader: JobReader,
        store_time: Callable[[], StoreTime | None],
        clock: Callable[[], float],
        log: ServingLog,
        on_accepted: OnAccepted,
        is_served_elsewhere: Callable[[], bool],
        is_store_unavailable: Callable[[], bool],
        random: Random,
    ) -> None:
        self._owner = owner
        self._store = store
        self._committer = committer
        self._view = view
        self._reader = reader
        self._store_time = store_time
        self._clock = clock
        self._log = log
        self._on_accepted = on_accepted
        self._is_served_elsewhere = is_served_elsewhere
        self._is_store_unavailable = is_store_unavailable
        self._random = random
        self._quotas: dict[RowKey, Stored[QuotaRow]] = {}
        self.is_leaving = False
        """Whether this node is stopping: it accepts jobs, and another node runs them."""

        self.submitting_ids: set[str] = set()
        """Jobs that are being submitted: their records may exist before their runs."""

    async def submit(
        self, submission: Submission, route: Route, deadline: float, writes: JobWriteTracker
    ) -> None:
        """Accept a job, or find that it was accepted before; raise JobError otherwise.

        ``writes`` tracks whether the job's transactions may have taken effect.
        """
        known = await self._find_known(submission.job_id)
        if known is not None:
            _check_owner(known.content, submission)
            self._log_accepted(submission, "known", known.content)
            return
        if self._is_store_unavailable() and self._is_served_elsewhere():
            raise self._unresolved_error(submission, CommitOutcome(CommitStatus.NOT_DONE))
        self.submitting_ids.add(submission.job_id)
        try:
            await self._commit_submission(submission, route, deadline, writes)
        finally:
            self.submitting_ids.discard(submission.job_id)

    async def _find_known(self, job_id: str) -> StoredJob | None:
        """Return the record of a job that was accepted before, None if none is known.

        A cached record may have been removed since, so the store is asked; if it does not answer,
        the cached one counts, since records are kept for longer than clients repeat submissions.
        """
        cached = self._view.find(job_id)
        if cached is None:
            return None
        try:
            return await self._reader.find_stored(job_id)
        except JobError as error:
            return None if error.reason is Reason.NOT_FOUND else cached

    async def _commit_submission(
        self, submission: Submission, route: Route, deadline: float, writes: JobWriteTracker
    ) -> None:
        is_elsewhere = self._is_served_elsewhere()
        refuse_after_s = REFUSE_TIMEOUT_SERVED_ELSEWHERE_S if is_elsewhere else REFUSE_TIMEOUT_S
        refuse_at = self._clock() + refuse_after_s
        for _ in range(MAX_CONFLICTS):
            time = await self._read_store_time(submission)
            payload = payload_puts(submission.job_id, submission.items)
            record = self._new_record(submission, route, time, len(payload))
            payload = await self._write_payload_ahead(submission, payload, deadline)
            job_write = create(job_key(record.job_id), record)
            quota_writes = await self._quota_writes(record, route)
            committing = self._committer.commit_until_resolved(
                transaction(job_write, *quota_writes, puts=payload), deadline, refuse_at
            )
            outcome = await writes.track(committing)
            if outcome.status is CommitStatus.COMMITTED:
                await self._on_committed(submission, job_write, quota_writes, outcome)
                return
            if outcome.status is not CommitStatus.CONFLICT:
                raise self._unresolved_error(submission, outcome)
            existing = outcome.conflict(job_key(submission.job_id))
            if existing is not None:
                await self._on_existing_record(submission, existing)
                return
            # What was sent before can't take effect any more: the rows have newer versions.
            writes.mark_void()
            self._update_quota(quota_key(route.name, submission.tenant), outcome)
        message = "too many jobs are submitted at once"
        raise JobError(Reason.UNAVAILABLE, "quota_contended", message, STORE_RETRY_AFTER_S)

    # --- steps ---

    async def _read_store_time(self, submission: Submission) -> StoreTime:
        """Return the store's time; a process that has just started reads a record to learn it.

        The configuration may have come from a peer, so the store need not have answered yet. With a
        guessed time, the items would end too early.
        """
        if self._store_time() is None:
            await self._reader.read_stored(submission.job_id)
        time = self._store_time()
        if time is None:
            raise self._unresolved_error(submission, CommitOutcome(CommitStatus.NOT_DONE))
        return time

    def _new_record(
        self, submission: Submission, route: Route, time: StoreTime, payload_rows: int
    ) -> JobRecord:
        tokens = sum(item.tokens for item in submission.items)
        # The latest bound keeps items for their whole retention, however late the store's answer
        # was read. By the earliest bound they would end too early by that delay.
        accepted_ms = time.latest_ms
        return JobRecord(
            submission.job_id,
            submission.host,
            submission.path,
            accepted_ms=accepted_ms,
            due_ms=time.earliest_ms + route.completion_target_s * 1000,
            give_up_ms=accepted_ms + route.retention_s * 1000,
            max_attempts=route.max_attempts,
            total=len(submission.items),
            tokens=tokens,
            payload_rows=payload_rows,
            owner="" if self.is_leaving else self._owner,
            waiting_tokens=tokens,
            tenant=submission.tenant,
            configuration=submission.configuration,
        )

    async def _write_payload_ahead(
        self, submission: Submission, payload: list[Put], deadline: float
    ) -> list[Put]:
        """Write the rows that do not fit beside the record; return the remaining ones.

        Nothing refers to the written rows before the record exists.
        """
        while len(payload) > MAX_PAYLOAD_ROWS:
            batch, payload = payload[:MAX_PAYLOAD_ROWS], payload[MAX_PAYLOAD_ROWS:]
            outcome = await self._committer.commit_until_resolved(Transaction(puts=batch), deadline)
            if outcome.status is not CommitStatus.COMMITTED:
                raise self._unresolved_error(submission, CommitOutcome(CommitStatus.NOT_DONE))
        return payload

    async def _quota_writes(self, record: JobRecord, route: Route) -> list[Write[QuotaRow]]:
        """Return the write that admits a job; none on a route without a limit."""
        if route.max_queued_tokens <= 0:
            return []
        stored = await self._load_quota(quota_key(route.name, record.tenant))
        quota = stored.content
        closed_ids = await self._closed_jobs(quota, record)
        await self._check_quota(quota, closed_ids, record, route)
        admitted = admit(quota, closed_ids, record.job_id, record.tokens, record.accepted_ms)
        return [stored.replace(admitted)]

    async def _load_quota(self, key: RowKey) -> Stored[QuotaRow]:
        cached = self._quotas.get(key)
        if cached is not None:
            return cached
        try:
            page = await self._store.read(key.table, key.part, key.key, key.key + "\x01", 1)
        except StoreError as error:
            retry_after_s = STORE_RETRY_AFTER_S
            raise JobError(Reason.UNAVAILABLE, error.code, str(error), retry_after_s) from error
        row = page.rows[0] if page.rows else Row(key, None, 0)
        self._quotas[key] = self._stored_quota(row)
        return self._quotas[key]

    async def _closed_jobs(self, quota: QuotaRow, record: JobRecord) -> set[str]:
        """Return the jobs of the quota row that are closed by their records.

        The cached records are checked, and a few others are read from the store.
        """
        closed_ids = {job_id for job_id in quota.jobs if self._is_cached_job_closed(job_id)}
        old_ids = [
            job_id
            for job_id, (_, admitted_ms) in quota.jobs.items()
            if job_id not in closed_ids and record.accepted_ms - admitted_ms > MIN_OLD_JOB_AGE_MS
        ]
        for job_id in self._random.sample(old_ids, min(MAX_OLD_JOBS_READ, len(old_ids))):
            if await self._is_stored_job_closed(job_id):
                closed_ids.add(job_id)
        return closed_ids

    def _is_cached_job_closed(self, job_id: str) -> bool:
        cached = self._view.find(job_id)
        return cached is not None and not cached.content.is_open

    async def _is_stored_job_closed(self, job_id: str) -> bool:
        """Return whether a job is closed, by its record in the store.

        The record was written together with the quota row, so a missing one was removed since.
        """
        try:
            stored = await self._reader.read_stored(job_id)
        except InvalidRecordError:
            # The tokens of a job that can't be read stay counted.
            return False
        return stored is None or not stored.content.is_open

    async def _check_quota(
        self, quota: QuotaRow, closed_ids: set[str], record: JobRecord, route: Route
    ) -> None:
        """Raise JobError 429 if a job's tokens and the waiting ones exceed the route's limit."""
        other_jobs = {
            key: entry
            for key, entry in quota.jobs.items()
            if key != record.job_id and key not in closed_ids
        }
        max_other_tokens = route.max_queued_tokens - record.tokens
        if waiting_tokens(QuotaRow(other_jobs), self._view) <= max_other_tokens:
            return
        # Jobs of other nodes count in full until their records are read.
        for job_id in sorted(other_jobs):
            if await self._is_stored_job_closed(job_id):
                closed_ids.add(job_id)
        open_jobs = {key: entry for key, entry in other_jobs.items() if key not in closed_ids}
        waiting = waiting_tokens(QuotaRow(open_jobs), self._view)
        if waiting <= max_other_tokens:
            return
        if record.job_id in quota.jobs and await self._reader.read_stored(record.job_id):
            # The job was accepted before: the transaction will find its record.
            return
        self._log.write(
            catalogue.JOB_REFUSED,
            request=record.job_id,
            tenant=record.tenant,
            code="quota",
            waiting=waiting,
            tokens=record.tokens,
            limit=route.max_queued_tokens,
        )
        message = f"{waiting} tokens are waiting, {route.max_queued_tokens} are allowed"
        raise JobError(Reason.OVER_QUOTA, "quota", message, QUOTA_RETRY_AFTER_S)

    def _update_quota(self, key: RowKey, outcome: CommitOutcome) -> None:
        row = outcome.conflict(key) or Row(key, None, 0)
        self._quotas[key] = self._stored_quota(row)

    def _stored_quota(self, row: Row) -> Stored[QuotaRow]:
        """Return a quota row; an invalid one counts as empty, and is replaced by the next write."""

        def decode(value: bytes | None) -> QuotaRow:
            try:
                return decode_quota(value)
            except InvalidContentError as error:
                self._view.on_invalid(row, error)
                return QuotaRow()

        return Stored.from_row(row, decode)

    # --- outcomes ---

    async def _on_committed(
        self,
        submission: Submission,
        job_write: JobWrite,
        quota_writes: list[Write[QuotaRow]],
        outcome: CommitOutcome,
    ) -> None:
        for quota_write in quota_writes:
            self._quotas[quota_write.row_key] = quota_write.committed(outcome)
        stored = job_write.committed(outcome)
        await self._view.put(stored)
        self._log_accepted(submission, "taken", stored.content)
        await self._on_accepted(JobRun(stored, submission.items))

    async def _on_existing_record(self, submission: Submission, row: Row) -> None:
        stored = await self._view.put_row(row)
        record = stored.content
        _check_owner(record, submission)
        self._log_accepted(submission, "found", record)
        is_new = record.epoch == 1 and record.listed == 0
        if record.owner == self._owner and record.is_open and is_new:
            # The answer to a transaction of this node was lost. A job that was taken over is
            # started by the takeover, which reads what is listed: started here, its items would be
            # listed twice.
            await self._on_accepted(JobRun(stored, submission.items))

    def _unresolved_error(self, submission: Submission, outcome: CommitOutcome) -> JobError:
        is_elsewhere = self._is_served_elsewhere()
        retry_after_s = ELSEWHERE_RETRY_AFTER_S if is_elsewhere else STORE_RETRY_AFTER_S
        error = unresolved_error(outcome.status, retry_after_s)
        self._log.write(catalogue.JOB_REFUSED, request=submission.job_id, code=error.code)
        return error

    def _log_accepted(self, submission: Submission, outcome: str, record: JobRecord) -> None:
        time = self._store_time()
        self._log.write(
            catalogue.JOB_TAKEN,
            request=submission.job_id,
            tenant=submission.tenant,
            outcome=outcome,
            items=len(submission.items),
            owner=record.owner,
            accepted_ms=round(record.accepted_ms),
            due_ms=round(record.due_ms),
            give_up_ms=round(record.give_up_ms),
            store_ms=None if time is None else round(time.earliest_ms),
            unsure_ms=None if time is None else round(time.uncertainty_ms),
            configuration=record.configuration,
        )


def _check_owner(record: JobRecord, submission: Submission) -> None:
    """Raise JobError where the existing job belongs to another tenant."""
    if record.tenant != submission.tenant:
        message = "a job can't be submitted with this id"
        raise JobError(Reason.ID_TAKEN, "job_id_taken", message)
