"""Who runs a job: takeover from owners without a lease, and handing over at a planned stop."""

from collections.abc import Callable, Set
from random import Random

import curio

from cloverwalk.core import catalogue
from cloverwalk.core.hashing import rendezvous_owner
from cloverwalk.fleet.follower import TableFollower
from cloverwalk.fleet.members import LEASE_S, LeaseRenewal, MemberBook
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

LOOK_EVERY_S = 0.3
SETTLE_S = 3.0
HAND_OVER_S = 2.0
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
        has_replaced: Callable[[str], bool],
        in_hand: Set[str],
    ) -> None:
        self._has_replaced = has_replaced
        self._in_hand = in_hand
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
                if not self._is_run_here(record.job_id):
                    await self._spawn_take(known)
                continue
            if not self._is_gone(record.owner, watched_since):
                continue
            heirs = [
                one for one in self._members.live(watched_since) if not self._has_replaced(one)
            ]
            if rendezvous_owner(record.job_id, heirs) == own:
                await self._spawn_take(known)

    def _is_run_here(self, job_id: str) -> bool:
        return job_id in self._runner.jobs or job_id in self._in_hand

    def _is_gone(self, owner: str, watched_since: float) -> bool:
        if not owner or self._has_replaced(owner):
            return True
        if self._members.holds_lease(owner, watched_since):
            return False
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
        pieces = join_pieces(await self._rows(RESULT_TABLE, record.job_id))
        results = [decode_result(value) for value in pieces.values()]
        if len(results) < record.listed:
            raise JobError(503, "results_not_read", "listed results are not there yet")
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
        """Store the output so far of every own job, then give up the lease."""
        self.is_leaving = True
        jobs = list(self._runner.jobs.values())
        await self._runner.stop_all()
        until = self._clock() + HAND_OVER_S
        async with curio.TaskGroup() as tasks:
            for job in jobs:
                await tasks.spawn(self._give_up, job, until)
        for _ in range(3):
            if await self._renewal.leave():
                return

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
