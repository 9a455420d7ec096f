"""Taking over jobs that have no owner, and giving up this node's at a planned stop."""

from collections.abc import Callable, Set

import curio

from cloverwalk.core import catalogue
from cloverwalk.core.error_response import Reason
from cloverwalk.jobs.checkpoint import take_within
from cloverwalk.jobs.commit import Committer
from cloverwalk.jobs.errors import JobError
from cloverwalk.jobs.reader import JobReader
from cloverwalk.jobs.records import (
    PARTIAL_TABLE,
    RESULT_TABLE,
    JobRecord,
    decode_partial,
    decode_record,
    decode_result,
    encode,
    job_key,
    join_pieces,
    keys_end,
    part_of,
    partial_put,
)
from cloverwalk.jobs.run import JobRun, replace_record
from cloverwalk.jobs.runner import BatchRunner
from cloverwalk.jobs.view import JobView, KnownJob
from cloverwalk.store.types import (
    CommitOutcome,
    CommitStatus,
    Expectation,
    Put,
    Store,
    StoreError,
    Transaction,
)
from cloverwalk.telemetry.log import ServingLog

SETTLE_S = 3.0
HAND_OVER_S = 2.0


class JobTakeover:
    """Takes over jobs when the coordinator says so; gives up own ones at a stop."""

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
        in_hand: Set[str],
    ) -> None:
        self._incarnation = incarnation
        self._view = view
        self._runner = runner
        self._reader = reader
        self._store = store
        self._committer = committer
        self._log = log
        self._clock = clock
        self._in_hand = in_hand
        self.is_leaving = False
        self._taking: set[str] = set()

    async def take_over(self, job_ids: list[str]) -> None:
        """Begin to take jobs over that this node neither runs nor is taking."""
        for job_id in job_ids:
            is_known = job_id in self._runner.jobs or job_id in self._in_hand
            if self.is_leaving or is_known or job_id in self._taking:
                continue
            self._taking.add(job_id)
            await curio.spawn(self._take, job_id, daemon=True)

    async def _take(self, job_id: str) -> None:
        try:
            await self._reader.read_record(job_id)
            known = self._view.find(job_id)
            if known is not None and known.record.is_open:
                await self._take_over(known)
        except (StoreError, JobError) as error:
            self._log.write(catalogue.JOB_NOT_TAKEN_OVER, job=job_id, code=error.code)
        finally:
            self._taking.discard(job_id)

    async def _take_over(self, known: KnownJob) -> None:
        old = known.record
        record = replace_record(old, owner=self._incarnation, epoch=old.epoch + 1)
        key = job_key(old.job_id)
        transaction = Transaction([Expectation(key, known.version)], [Put(key, encode(record))])
        outcome = await self._committer.settle(transaction, self._clock() + SETTLE_S)
        version = await self._version_taken(record, outcome)
        if version is None:
            return
        self._log.write(
            catalogue.JOB_TAKEN_OVER, job=old.job_id, from_owner=old.owner, epoch=record.epoch
        )
        await self._view.put(record, version)
        job = await self._restore(record, version)
        present = self._view.find(old.job_id)
        if present is not None and present.version == version and not self.is_leaving:
            await self._runner.add(job)

    async def _version_taken(self, record: JobRecord, outcome: CommitOutcome) -> int | None:
        """Return the version of the row if this node owns the job now."""
        if outcome.status is CommitStatus.COMMITTED:
            return outcome.version
        row = outcome.conflict(job_key(record.job_id))
        if row is None or row.value is None:
            return None
        present = decode_record(row.value)
        await self._view.put(present, row.version)
        if (present.owner, present.epoch) == (record.owner, record.epoch):
            return row.version
        return None

    async def _restore(self, record: JobRecord, version: int) -> JobRun:
        items = await self._reader.items(record)
        job = JobRun(record, version, items)
        pieces = join_pieces(await self._rows(RESULT_TABLE, record.job_id))
        results = [decode_result(value) for value in pieces.values()]
        if len(results) < record.listed:
            message = "listed results are not there yet"
            raise JobError(Reason.UNAVAILABLE, "results_not_read", message)
        segments = await self._rows(PARTIAL_TABLE, record.job_id)
        partials = [decode_partial(value) for _, value in segments]
        job.restore({one.item_id for one in results}, partials)
        return job

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
        """Store the output so far of every own job, and leave it without an owner."""
        self.is_leaving = True
        jobs = list(self._runner.jobs.values())
        await self._runner.stop_all()
        until = self._clock() + HAND_OVER_S
        async with curio.TaskGroup() as tasks:
            for job in jobs:
                await tasks.spawn(self._give_up, job, until)

    async def _give_up(self, job: JobRun, until: float) -> None:
        segments = take_within(job.unsaved())
        key = job_key(job.job_id)
        record = replace_record(job.record, owner="")
        puts = [partial_put(job.job_id, one) for one in segments]
        transaction = Transaction(
            [Expectation(key, job.version)], [Put(key, encode(record)), *puts]
        )
        outcome = await self._committer.settle(transaction, until)
        self._log.write(
            catalogue.JOB_HANDED_OVER,
            job=job.job_id,
            outcome=outcome.status.value,
            segments=len(segments),
        )
        await self._runner.drop(job.job_id)
