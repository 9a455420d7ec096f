"""The components of a node that accept, run and read batch jobs."""

from collections.abc import Awaitable, Callable
from random import Random

import curio

from cloverwalk.core import catalogue
from cloverwalk.fleet.follower import TableFollower
from cloverwalk.fleet.in_flight import InFlightTracker
from cloverwalk.fleet.messages import JobEnded
from cloverwalk.gateway.crash_detector import CrashDetector
from cloverwalk.gateway.replica_connection import ReplicaPool
from cloverwalk.jobs.assigner import JobAssigner
from cloverwalk.jobs.checkpoint import Checkpointer
from cloverwalk.jobs.commit import Committer
from cloverwalk.jobs.intake import JobIntake
from cloverwalk.jobs.item_call import ItemCaller
from cloverwalk.jobs.item_containment import ItemContainment
from cloverwalk.jobs.lister import ResultLister
from cloverwalk.jobs.reader import JobReader
from cloverwalk.jobs.records import JOB_TABLE, JobRecord
from cloverwalk.jobs.repair import RecordRepairer
from cloverwalk.jobs.result_cache import ResultCache
from cloverwalk.jobs.run import JobRun
from cloverwalk.jobs.runner import BatchRunner
from cloverwalk.jobs.service import JobService
from cloverwalk.jobs.sweeper import JobSweeper
from cloverwalk.jobs.takeover import JobTakeover
from cloverwalk.jobs.verifier import JobVerifier
from cloverwalk.jobs.view import JobView
from cloverwalk.serving.adapter import Adapter
from cloverwalk.serving.fleet_parts import FleetParts
from cloverwalk.serving.fleet_state import FleetState
from cloverwalk.serving.settings import ServingSettings
from cloverwalk.store.clock import StoreClock
from cloverwalk.store.health import StoreHealth
from cloverwalk.store.row_decoder import InvalidRows
from cloverwalk.store.types import RowPage, Store
from cloverwalk.telemetry.log import ServingLog
from cloverwalk.telemetry.metrics import ServingMetrics

JOBS_FOLLOW_DELAY_S = 0.1
"""Delay between two reads of changes of the job table."""

STORE_REFUSAL_THRESHOLD_MS = 500.0
"""If the store has not answered this node for this time, but answers other nodes, it refuses this
node; callers are then sent to other nodes with their jobs. A single lost answer is not enough."""


class BatchParts:
    """Creates and connects these components."""

    def __init__(
        self,
        adapter: Adapter,
        settings: ServingSettings,
        fleet: FleetParts,
        fleet_state: FleetState,
        in_flight: InFlightTracker,
        pool: ReplicaPool,
        crash_detector: CrashDetector,
        store: Store,
        health: StoreHealth,
        store_clock: StoreClock,
        configuration_confirmed_at: Callable[[], float],
        log: ServingLog,
        metrics: ServingMetrics,
        clock: Callable[[], float],
        random: Random,
    ) -> None:
        self._fleet = fleet
        incarnation = fleet.identity.incarnation
        self.view = JobView()
        self.view.on_invalid = InvalidRows(log, catalogue.JOB_ROW_INVALID).record
        cache = ResultCache()
        committer = Committer(store, health, clock)
        caller = ItemCaller(
            adapter.codec, pool, fleet_state.directory, clock, fleet_state.warmup_gate
        )
        self.runner = BatchRunner(
            fleet_state.configuration,
            fleet_state.directory,
            in_flight,
            caller,
            ItemContainment(crash_detector, caller, fleet_state.directory, clock),
            fleet.coordinator_client,
            self._on_finished,
            self._on_orphans,
            store_clock.now,
            configuration_confirmed_at,
            log,
            metrics,
            clock,
        )
        fleet.coordinator_client.batch_handler = self.runner
        self._store_time = store_clock.now
        fleet.scheduler.set_store_time(self._earliest_store_ms)
        self.lister = ResultLister(committer, self.view, cache, self.runner.drop, log, clock)
        self.reader = JobReader(store, self.view, self._runs_job, cache, clock)
        self.verifier = JobVerifier(self.runner, self.reader, log, clock)
        fleet.job_end_sync.on_ended = self._on_ended_elsewhere
        self.checkpointer = Checkpointer(self.runner, committer, health, self.verifier.verify)
        self._intake = intake = JobIntake(
            incarnation,
            store,
            committer,
            self.view,
            self.reader,
            store_clock.now,
            clock,
            log,
            self._on_accepted,
            fleet.coordinator_client.is_store_available_elsewhere,
            lambda: health.unavailable_for_ms() > STORE_REFUSAL_THRESHOLD_MS,
            random,
        )
        self.service = JobService(
            intake, self.reader, self.runner, self.view, committer, log, clock
        )
        self.service.on_ended = self._tell_owner
        self.repairer = RecordRepairer(self.view, committer, health, log, clock)
        self.takeover = JobTakeover(
            incarnation,
            self.view,
            self.runner,
            self.reader,
            store,
            committer,
            log,
            clock,
            intake.submitting_ids,
            self.repairer,
        )
        self.follower = TableFollower(
            JOB_TABLE,
            store,
            health,
            self._apply_job_rows,
            self._apply_job_rows,
            JOBS_FOLLOW_DELAY_S,
            log,
            clock,
            random,
            fleet.coordinator.wait_until_active,
        )
        self.assigner = JobAssigner(fleet.coordinator, self.follower, self.view, log, clock)
        self.sweeper = JobSweeper(
            incarnation,
            lambda: [incarnation] if fleet.coordinator.is_active else [],
            self.view,
            store,
            committer,
            store_clock.now,
            settings.status_s,
            log,
        )

    def loops(self) -> list[Callable[[], Awaitable[None]]]:
        """Return the loops that run during the whole life of the node."""
        return [
            self.runner.run,
            self.lister.run,
            self.checkpointer.run,
            self.verifier.run,
            self.follower.run,
            self.assigner.run,
            self.sweeper.run,
            self.repairer.run,
        ]

    def _earliest_store_ms(self) -> float | None:
        time = self._store_time()
        return None if time is None else time.earliest_ms

    def _runs_job(self, job_id: str) -> bool:
        return job_id in self.runner.jobs

    async def _apply_job_rows(self, page: RowPage) -> None:
        await self.view.apply_page(page)

    async def _on_accepted(self, job: JobRun) -> None:
        if job.job_id in self.runner.jobs:
            return
        if not self._intake.is_leaving:
            await self.runner.add(job)
        elif job.record.owner:
            await curio.spawn(self.takeover.release_accepted, job, daemon=True)

    async def hand_over(self) -> None:
        """Let other nodes run the jobs of this node, and those that it still accepts."""
        self._intake.is_leaving = True
        await self.takeover.hand_over()

    async def _on_orphans(self, job_ids: list[str]) -> None:
        await self.takeover.take_over(job_ids)

    def _tell_owner(self, record: JobRecord) -> None:
        message = JobEnded(record.job_id, record.accepted_ms, record.owner)
        self._fleet.job_end_sync.announce(message)

    async def _on_ended_elsewhere(self, message: JobEnded) -> None:
        await self.verifier.drop_ended(message.job, message.accepted_ms)

    async def _on_finished(self, job: JobRun) -> None:
        await self.lister.notify_finished(job)
