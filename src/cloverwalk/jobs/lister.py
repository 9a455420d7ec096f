"""Gives finished items their positions: each group in one transaction under the job's version."""

from collections.abc import Awaitable, Callable

import curio

from cloverwalk.core import catalogue
from cloverwalk.jobs.commit import Committer
from cloverwalk.jobs.records import (
    JobRecord,
    decode_record,
    encode,
    job_key,
    result_puts,
)
from cloverwalk.jobs.result_cache import ResultCache
from cloverwalk.jobs.run import ItemRun, JobRun
from cloverwalk.jobs.view import JobView
from cloverwalk.store.types import CommitOutcome, CommitStatus, Expectation, Put, Transaction
from cloverwalk.telemetry.log import ServingLog

LINGER_S = 0.12
"""Results that finish within this time share a transaction."""

SETTLE_S = 4.0

DropJob = Callable[[str], Awaitable[None]]


class ResultLister:
    """Lists the results of this node's jobs."""

    def __init__(
        self,
        committer: Committer,
        view: JobView,
        cache: ResultCache,
        drop_job: DropJob,
        log: ServingLog,
        clock: Callable[[], float],
    ) -> None:
        self._committer = committer
        self._view = view
        self._cache = cache
        self._drop_job = drop_job
        self._log = log
        self._clock = clock
        self._due: dict[str, JobRun] = {}
        self._busy: set[str] = set()
        self._wake = curio.Event()

    async def notify_finished(self, job: JobRun) -> None:
        """A job has finished items."""
        self._due[job.job_id] = job
        await self._wake.set()

    async def run(self) -> None:
        """List results until cancelled."""
        while True:
            await self._wake.wait()
            await curio.sleep(LINGER_S)
            self._wake.clear()
            for job_id, job in list(self._due.items()):
                if job_id in self._busy:
                    continue
                del self._due[job_id]
                self._busy.add(job_id)
                await curio.spawn(self._list_job, job, daemon=True)

    async def _list_job(self, job: JobRun) -> None:
        try:
            await self.list_finished(job)
        finally:
            self._busy.discard(job.job_id)
            if self._due:
                await self._wake.set()

    async def list_finished(self, job: JobRun) -> None:
        """List every finished item of a job."""
        while not job.is_dropped and (group := job.next_group()):
            await self._list_group(job, group)
        if not job.is_dropped and job.is_done():
            await self._drop_job(job.job_id)

    async def _list_group(self, job: JobRun, group: list[ItemRun]) -> None:
        # One and the same transaction until its outcome is known: an unanswered one may have
        # been done, and another group in its place would list its results again.
        record = job.record_after(group)
        transaction = self._transaction(job, group, record)
        while not job.is_dropped:
            outcome = await self._committer.settle(transaction, self._clock() + SETTLE_S)
            if outcome.status is CommitStatus.COMMITTED:
                await self._listed(job, group, record, outcome.version)
                return
            if outcome.status is CommitStatus.CONFLICT:
                await self._resolve(job, group, record, outcome)
                return

    def _transaction(self, job: JobRun, group: list[ItemRun], record: JobRecord) -> Transaction:
        key = job_key(job.job_id)
        puts = [Put(key, encode(record))]
        for offset, one in enumerate(group):
            assert one.result is not None
            puts += result_puts(job.job_id, job.record.listed + offset, one.result)
        return Transaction([Expectation(key, job.version)], puts)

    async def _listed(
        self, job: JobRun, group: list[ItemRun], record: JobRecord, version: int
    ) -> None:
        first = job.record.listed
        for offset, one in enumerate(group):
            assert one.result is not None
            self._cache.put(job.job_id, first + offset, one.result)
            self._log.write(
                catalogue.ITEM_LISTED,
                request=one.item.item_id,
                job=job.job_id,
                position=first + offset,
                state=one.result.state.value,
                version=version,
            )
        job.mark_listed(group, record, version)
        await self._view.put(record, version)

    async def _resolve(
        self, job: JobRun, group: list[ItemRun], record: JobRecord, outcome: CommitOutcome
    ) -> None:
        """Somebody changed the record: this node with a lost answer, an end, or a new owner."""
        row = outcome.conflict(job_key(job.job_id))
        if row is None or row.value is None:
            await self._drop_job(job.job_id)
            return
        present = decode_record(row.value)
        await self._view.put(present, row.version)
        is_owner = (present.owner, present.epoch) == (job.record.owner, job.record.epoch)
        if not is_owner or (present.is_ended and present.listed == job.record.listed):
            self._log.write(
                catalogue.JOB_DROPPED,
                job=job.job_id,
                owner=present.owner,
                epoch=present.epoch,
                is_ended=present.is_ended,
            )
            await self._drop_job(job.job_id)
        elif present.listed == record.listed:
            await self._listed(job, group, present, row.version)
        else:
            job.record = present
            job.version = row.version
