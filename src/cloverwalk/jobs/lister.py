"""Lists finished items: stores their results at the next positions of their job.

Each group of items is listed in one transaction under the version of the job's record.
"""

from collections.abc import Awaitable, Callable

import curio

from cloverwalk.core import catalogue
from cloverwalk.jobs.commit import Committer
from cloverwalk.jobs.errors import InvalidRecordError
from cloverwalk.jobs.records import (
    JobWrite,
    StoredJob,
    job_key,
    result_puts,
    with_progress_of,
)
from cloverwalk.jobs.result_cache import ResultCache
from cloverwalk.jobs.run import ItemRun, JobRun
from cloverwalk.jobs.view import JobView
from cloverwalk.store.stored import transaction
from cloverwalk.store.types import CommitOutcome, CommitStatus, Put
from cloverwalk.telemetry.log import ServingLog

GROUPING_DELAY_S = 0.12
"""Results that finish within this time share a transaction."""

COMMIT_TIMEOUT_S = 4.0

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
        self._finished_jobs: dict[str, JobRun] = {}
        self._listing_ids: set[str] = set()
        self._wake = curio.Event()

    async def notify_finished(self, job: JobRun) -> None:
        """Wake the lister: a job has finished items."""
        self._finished_jobs[job.job_id] = job
        await self._wake.set()

    async def run(self) -> None:
        """List results until cancelled."""
        while True:
            await self._wake.wait()
            await curio.sleep(GROUPING_DELAY_S)
            self._wake.clear()
            for job_id, job in list(self._finished_jobs.items()):
                if job_id in self._listing_ids:
                    continue
                del self._finished_jobs[job_id]
                self._listing_ids.add(job_id)
                await curio.spawn(self._list_job, job, daemon=True)

    async def _list_job(self, job: JobRun) -> None:
        try:
            await self.list_finished(job)
        finally:
            self._listing_ids.discard(job.job_id)
            if self._finished_jobs:
                await self._wake.set()

    async def list_finished(self, job: JobRun) -> None:
        """List every finished item of a job."""
        while not job.is_dropped and (group := job.next_group()):
            await self._list_group(job, group)
        if not job.is_dropped and job.is_done():
            await self._drop_job(job.job_id)

    async def _list_group(self, job: JobRun, group: list[ItemRun]) -> None:
        # The same transaction is repeated until its outcome is known: one without an answer may
        # have been committed, and another group in its place would list its results again.
        write = job.listing_write(group)
        listing = transaction(write, puts=self._result_puts(job, group))
        while not job.is_dropped:
            outcome = await self._committer.commit_until_resolved(
                listing, self._clock() + COMMIT_TIMEOUT_S
            )
            if outcome.status is CommitStatus.COMMITTED:
                await self._on_listed(job, group, write.committed(outcome))
                return
            if outcome.status is CommitStatus.CONFLICT:
                await self._reconcile(job, group, write, outcome)
                return

    def _result_puts(self, job: JobRun, group: list[ItemRun]) -> list[Put]:
        puts: list[Put] = []
        for offset, item_run in enumerate(group):
            assert item_run.result is not None
            puts += result_puts(job.job_id, job.record.listed + offset, item_run.result)
        return puts

    async def _on_listed(self, job: JobRun, group: list[ItemRun], stored: StoredJob) -> None:
        first_position = job.record.listed
        for offset, item_run in enumerate(group):
            assert item_run.result is not None
            self._cache.put(job.job_id, first_position + offset, item_run.result)
            self._log.write(
                catalogue.ITEM_LISTED,
                request=item_run.item.item_id,
                job=job.job_id,
                position=first_position + offset,
                state=item_run.result.state.value,
                version=stored.version,
            )
        job.mark_listed(group, stored)
        await self._view.put(stored)

    async def _reconcile(
        self, job: JobRun, group: list[ItemRun], write: JobWrite, outcome: CommitOutcome
    ) -> None:
        """Handle a conflict with a change of the record.

        It was changed by this node (the answer was lost), by an end of the job or by a new owner.
        """
        row = outcome.conflict(job_key(job.job_id))
        if row is None or row.value is None:
            await self._drop_job(job.job_id)
            return
        try:
            newest = await self._view.put_row(row)
        except InvalidRecordError:
            # Its owner is unknown now, and no write can be made from it.
            await self._drop_job(job.job_id)
            return
        stored = with_progress_of(newest, job.stored)
        current = stored.content
        is_owner = (current.owner, current.epoch) == (job.record.owner, job.record.epoch)
        if not is_owner or (current.is_ended and current.listed == job.record.listed):
            self._log.write(
                catalogue.JOB_DROPPED,
                job=job.job_id,
                owner=current.owner,
                epoch=current.epoch,
                is_ended=current.is_ended,
            )
            await self._drop_job(job.job_id)
        elif current.listed == write.content.listed:
            await self._on_listed(job, group, stored)
        elif current.listed == job.record.listed:
            job.stored = stored
        else:
            # Other positions than this node's were listed: the next takeover reads them.
            self._log.write(
                catalogue.JOB_DROPPED, job=job.job_id, owner=current.owner, epoch=current.epoch
            )
            await self._drop_job(job.job_id)
