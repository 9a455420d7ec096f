"""Who runs a job: takeover from owners without a lease, and handing over at a planned stop."""

from collections.abc import Callable
from random import Random

import curio

from cloverwalk.core import catalogue
from cloverwalk.fleet.follower import TableFollower
from cloverwalk.fleet.members import LEASE_S, LeaseRenewal, MemberBook
from cloverwalk.jobs.commit import Committer
from cloverwalk.jobs.errors import JobError
from cloverwalk.jobs.reader import JobReader
from cloverwalk.jobs.records import (
    PARTIAL_TABLE,
    RESULT_TABLE,
    ItemResult,
    JobRecord,
    PartialOutput,
    decode_partial,
    decode_record,
    decode_result,
    encode,
    job_key,
    join_pieces,
    keys_end,
    part_of,
    partial_puts,
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

LOOK_EVERY_S = 0.3
SETTLE_S = 3.0
HAND_OVER_S = 2.0
MAX_PARTIAL_BYTES = 400_000
MEMBERS_FRESH_S = 2.0


class JobOwnership:
    """Takes over jobs whose owners are gone, and gives up this node's at a stop."""

    def __init__(
        self,
        renewal: LeaseRenewal,
        members: MemberBook,
        member_follower: TableFollower,
        job_follower: TableFollower,
        view: JobView,
        runner: BatchRunner,
        reader: JobReader,
        store: Store,
        committer: Committer,
        log: ServingLog,
        clock: Callable[[], float],
        random: Random,
    ) -> None:
        self._renewal = renewal
        self._members = members
        self._member_follower = member_follower
        self._job_follower = job_follower
        self._view = view
        self._runner = runner
        self._reader = reader
        self._store = store
        self._committer = committer
        self._log = log
        self._clock = clock
        self._random = random
        self.is_leaving = False
        self._taking: set[str] = set()

    async def run(self) -> None:
        """Look for jobs without an owner until cancelled."""
        while True:
            await curio.sleep(LOOK_EVERY_S * (0.7 + 0.6 * self._random.random()))
            await self._check_own()
            if not self.is_leaving and self._can_judge():
                await self._take_orphans()

    def _can_judge(self) -> bool:
        now = self._clock()
        return (
            self._renewal.is_valid()
            and self._member_follower.is_fresh(now, MEMBERS_FRESH_S)
            and self._job_follower.is_fresh(now, MEMBERS_FRESH_S)
        )

    async def _check_own(self) -> None:
        """Drop runs whose records say that they ended or belong to others."""
        changed, self._view.changed = self._view.changed, []
        for job_id in dict.fromkeys(changed):
            job = self._runner.jobs.get(job_id)
            known = self._view.find(job_id)
            if job is None or known is None or known.version <= job.version:
                continue
            record = known.record
            is_owner = (record.owner, record.epoch) == (job.record.owner, job.record.epoch)
            if not is_owner or record.is_ended:
                self._log.write(
                    catalogue.JOB_DROPPED,
                    job=job_id,
                    owner=record.owner,
                    epoch=record.epoch,
                    is_ended=record.is_ended,
                )
                await self._runner.drop(job_id)

    async def _take_orphans(self) -> None:
        watched_since = self._member_follower.healthy_since
        own = self._renewal.incarnation
        for known in self._view.all():
            record = known.record
            if not record.is_open or record.job_id in self._taking:
                continue
            if record.owner == own:
                if record.job_id not in self._runner.jobs:
                    await self._spawn_take(known)
                continue
            if self._members.holds_lease(record.owner, watched_since):
                continue
            if not self._is_watched_long_enough(watched_since):
                continue
            if self._members.owner_of(record.job_id, watched_since) == own:
                await self._spawn_take(known)

    def _is_watched_long_enough(self, watched_since: float) -> bool:
        # An owner whose row was never seen may have written it while this node saw nothing.
        return self._clock() - watched_since > LEASE_S / 2

    async def _spawn_take(self, known: KnownJob) -> None:
        self._taking.add(known.record.job_id)
        await curio.spawn(self._take, known, daemon=True)

    async def _take(self, known: KnownJob) -> None:
        try:
            await self._take_over(known)
        except (StoreError, JobError) as error:
            self._log.write(catalogue.JOB_NOT_TAKEN_OVER, job=known.record.job_id, code=error.code)
        finally:
            self._taking.discard(known.record.job_id)

    async def _take_over(self, known: KnownJob) -> None:
        old = known.record
        own = self._renewal.incarnation
        record = replace_record(old, owner=own, epoch=old.epoch + 1)
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
        results = await self._decoded(RESULT_TABLE, record.job_id, decode_result)
        partials = await self._decoded(PARTIAL_TABLE, record.job_id, decode_partial)
        if len(results) < record.listed:
            raise JobError(503, "results_not_read", "listed results are not there yet")
        listed = {one.item_id for one in results if isinstance(one, ItemResult)}
        job.restore(listed, [one for one in partials if isinstance(one, PartialOutput)])
        return job

    async def _decoded(
        self, table: str, job_id: str, decode: Callable[[bytes], object]
    ) -> list[object]:
        rows: list[tuple[str, bytes]] = []
        start = f"{job_id}/"
        while True:
            page = await self._store.read(table, part_of(job_id), start, keys_end(job_id))
            rows += [(row.row_key.key, row.value) for row in page.rows if row.value is not None]
            if not page.has_more or not page.rows:
                break
            start = page.rows[-1].row_key.key + "\x01"
        return [decode(value) for value in join_pieces(rows).values()]

    # --- planned stop ---

    async def hand_over(self) -> None:
        """Store the output so far of every own job, then give up the lease."""
        self.is_leaving = True
        jobs = list(self._runner.jobs.values())
        await self._runner.stop_all()
        until = self._clock() + HAND_OVER_S
        async with curio.TaskGroup() as tasks:
            for job in jobs:
                await tasks.spawn(self._save_partials, job, until)
        for _ in range(3):
            if await self._renewal.leave():
                return

    async def _save_partials(self, job: JobRun, until: float) -> None:
        puts: list[Put] = []
        size = 0
        for partial in job.partials():
            rows = partial_puts(job.job_id, partial)
            size += sum(len(row.value) for row in rows)
            if size > MAX_PARTIAL_BYTES:
                break
            puts += rows
        key = job_key(job.job_id)
        record = replace_record(job.record, owner="")
        transaction = Transaction(
            [Expectation(key, job.version)], [Put(key, encode(record)), *puts]
        )
        outcome = await self._committer.settle(transaction, until)
        self._log.write(
            catalogue.JOB_HANDED_OVER,
            job=job.job_id,
            outcome=outcome.status.value,
            partial_rows=len(puts),
        )
        await self._runner.drop(job.job_id)
