"""Takes over jobs that have no owner, and releases this node's jobs at a planned stop."""

from collections.abc import Callable, Set

import curio
import msgspec

from cloverwalk.core import catalogue
from cloverwalk.core.decoding import InvalidContentError
from cloverwalk.core.error_response import Reason
from cloverwalk.jobs.checkpoint import fitting_segments
from cloverwalk.jobs.commit import Committer
from cloverwalk.jobs.errors import JobError
from cloverwalk.jobs.reader import JobReader, Payload
from cloverwalk.jobs.records import (
    PARTIAL_TABLE,
    RESULT_TABLE,
    ItemResult,
    JobRecord,
    JobWrite,
    PartialOutput,
    StoredJob,
    change_job,
    decode_partial,
    decode_result,
    join_pieces,
    keys_end,
    part_of,
    partial_put,
)
from cloverwalk.jobs.repair import RecordRepairer
from cloverwalk.jobs.run import JobRun
from cloverwalk.jobs.runner import BatchRunner
from cloverwalk.jobs.view import JobView
from cloverwalk.store.stored import transaction
from cloverwalk.store.types import CommitOutcome, CommitStatus, Row, RowKey, Store, StoreError
from cloverwalk.telemetry.log import ServingLog

TAKEOVER_TIMEOUT_S = 3.0
HAND_OVER_TIMEOUT_S = 2.0


class JobTakeover:
    """Takes over jobs on orders of the coordinator; releases jobs at a planned stop."""

    def __init__(
        self,
        incarnation: str,
        view: JobView,
        runner: BatchRunner,
        reader: JobReader,
        store: Store,
        committer: Committer,
        log: ServingLog,
        clock: Callable[[], float],
        submitting_ids: Set[str],
        repairer: RecordRepairer,
    ) -> None:
        self._repairer = repairer
        self._incarnation = incarnation
        self._view = view
        self._runner = runner
        self._reader = reader
        self._store = store
        self._committer = committer
        self._log = log
        self._clock = clock
        self._submitting_ids = submitting_ids
        self.is_leaving = False
        self._taking_over: set[str] = set()

    async def take_over(self, job_ids: list[str]) -> None:
        """Start to take over the jobs that this node does not run, submit or take over yet."""
        for job_id in job_ids:
            is_handled = job_id in self._runner.jobs or job_id in self._submitting_ids
            if self.is_leaving or is_handled or job_id in self._taking_over:
                continue
            self._taking_over.add(job_id)
            await curio.spawn(self._try_take_over, job_id, daemon=True)

    async def _try_take_over(self, job_id: str) -> None:
        try:
            stored = await self._reader.read_stored(job_id)
            if stored is not None and stored.content.is_open:
                await self._take_over(stored)
        except (StoreError, JobError) as error:
            self._log.write(catalogue.JOB_NOT_TAKEN_OVER, job=job_id, code=error.code)
        finally:
            self._taking_over.discard(job_id)

    async def _take_over(self, previous: StoredJob) -> None:
        epoch = previous.content.epoch + 1
        write = change_job(previous, owner=self._incarnation, epoch=epoch)
        began_at = self._clock()
        outcome = await self._committer.commit_until_resolved(
            transaction(write), self._clock() + TAKEOVER_TIMEOUT_S
        )
        owned = await self._owned(write, outcome)
        if owned is None:
            return
        self._log.write(
            catalogue.JOB_TAKEN_OVER,
            job=owned.content.job_id,
            from_owner=previous.content.owner,
            epoch=epoch,
        )
        await self._view.put(owned)
        job = await self._restore(owned)
        cached = self._view.find(owned.content.job_id)
        if job is None:
            return
        job.confirmed_at = began_at
        if cached is not None and cached.version == owned.version and not self.is_leaving:
            await self._runner.add(job)

    async def _owned(self, write: JobWrite, outcome: CommitOutcome) -> StoredJob | None:
        """Return the record if this node owns the job now and may run it, otherwise None.

        After a lost answer the row may hold this takeover and also what was written after it, such
        as the end of the job, which changes neither owner nor epoch.
        """
        if outcome.status is CommitStatus.COMMITTED:
            return write.committed(outcome)
        row = outcome.conflict(write.row_key)
        if row is None or row.value is None:
            return None
        stored = await self._view.put_row(row)
        current, meant = stored.content, write.content
        is_owner = (current.owner, current.epoch) == (meant.owner, meant.epoch)
        return stored if is_owner and current.is_open else None

    async def _restore(self, owned: StoredJob) -> JobRun | None:
        """Return the job with what is stored of it.

        Returns None if the record lacks progress that other rows show. Then it is repaired, and the
        coordinator orders the next takeover.
        """
        record = owned.content
        payload = await self._reader.payload(record)
        job = JobRun(owned, payload.items)
        pieces = join_pieces(await self._rows(RESULT_TABLE, record.job_id))
        results = self._results(record.job_id, pieces)
        if len(results) < record.listed:
            message = "not all listed results could be read"
            raise JobError(Reason.UNAVAILABLE, "results_not_read", message)
        listed_ids = {result.item_id for result in results}
        amended = _with_stored_progress(owned, payload, listed_ids)
        if amended is not owned:
            await self._repairer.repair(amended)
            return None
        segments = await self._rows(PARTIAL_TABLE, record.job_id)
        job.restore(listed_ids, self._partials(record, segments))
        return job

    def _results(self, job_id: str, pieces: dict[str, bytes]) -> list[ItemResult]:
        """Return the results that are valid; the caller checks that none is missing."""
        results = []
        for name, value in pieces.items():
            try:
                results.append(decode_result(value))
            except InvalidContentError as error:
                self._record_invalid(RESULT_TABLE, job_id, name, error)
        return results

    def _partials(
        self, record: JobRecord, segments: list[tuple[str, bytes]]
    ) -> list[PartialOutput]:
        """Return the saved output without invalid segments, whose items go on from before them."""
        partials = []
        for key, value in segments:
            try:
                partial = decode_partial(value)
                if partial.index >= record.total:
                    raise InvalidContentError("index: the job has no such item")
                partials.append(partial)
            except InvalidContentError as error:
                self._record_invalid(PARTIAL_TABLE, record.job_id, key, error)
        return partials

    def _record_invalid(self, table: str, job_id: str, name: str, error: Exception) -> None:
        # These rows are written once, so one version stands for all.
        self._view.on_invalid(Row(RowKey(table, part_of(job_id), name), None, 1), error)

    async def _rows(self, table: str, job_id: str) -> list[tuple[str, bytes]]:
        rows: list[tuple[str, bytes]] = []
        start = f"{job_id}/"
        while True:
            page = await self._store.read(table, part_of(job_id), start, keys_end(job_id))
            rows += [(row.row_key.key, row.value) for row in page.rows if row.value is not None]
            if not page.has_more or not page.rows:
                break
            start = page.rows[-1].row_key.key + "\x01"
        return rows

    # --- planned stop ---

    async def hand_over(self) -> None:
        """Save the output of every job of this node, and leave the jobs without an owner."""
        self.is_leaving = True
        jobs = list(self._runner.jobs.values())
        await self._runner.stop_all()
        deadline = self._clock() + HAND_OVER_TIMEOUT_S
        async with curio.TaskGroup() as tasks:
            for job in jobs:
                await tasks.spawn(self._release, job, deadline)

    async def release_accepted(self, job: JobRun) -> None:
        """Leave a job that was accepted while this node began to stop without an owner."""
        await self._release(job, self._clock() + HAND_OVER_TIMEOUT_S)

    async def _release(self, job: JobRun, deadline: float) -> None:
        segments = fitting_segments(job.unsaved())
        puts = [partial_put(job.job_id, segment) for segment in segments]
        release = transaction(change_job(job.stored, owner=""), puts=puts)
        outcome = await self._committer.commit_until_resolved(release, deadline)
        self._log.write(
            catalogue.JOB_HANDED_OVER,
            job=job.job_id,
            outcome=outcome.status.value,
            segments=len(segments),
        )
        await self._runner.drop(job.job_id)


def _with_stored_progress(owned: StoredJob, payload: Payload, listed_ids: Set[str]) -> StoredJob:
    """Return a record with the progress that the rows of results and of the end show."""
    record = owned.content
    if payload.is_ended and not record.is_ended:
        record = msgspec.structs.replace(record, is_ended=True)
    if len(listed_ids) > record.listed:
        waiting = sum(item.tokens for item in payload.items if item.item_id not in listed_ids)
        record = msgspec.structs.replace(record, listed=len(listed_ids), waiting_tokens=waiting)
    return owned if record is owned.content else owned.amend(record)
