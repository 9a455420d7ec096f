"""Runs the items of this node's jobs in the slots that the coordinator grants them."""

from collections.abc import Awaitable, Callable
from typing import Any

import attrs
import curio

from cloverwalk.core import catalogue
from cloverwalk.fleet.coordinator_client import BatchOrderHandler, CoordinatorClient
from cloverwalk.fleet.in_flight import InFlightEntry, InFlightTracker
from cloverwalk.fleet.messages import ItemTiming
from cloverwalk.gateway.configuration import ConfigurationHolder, Route
from cloverwalk.gateway.errors import TIMED_OUT, ReplicaError
from cloverwalk.gateway.replicas import Replica, ReplicaDirectory
from cloverwalk.gateway.software_versions import Software, software_of
from cloverwalk.jobs.evidence import Impossible, ItemEnd, RouteMonitor, past_retention
from cloverwalk.jobs.item_call import ItemCaller, ItemFailedError, ItemImpossibleError
from cloverwalk.jobs.item_containment import ItemContainment
from cloverwalk.jobs.item_time import ItemTimeEstimator
from cloverwalk.jobs.run import ItemRun, JobRun, Phase
from cloverwalk.jobs.wait_log import ItemWait, WaitLog, WaitReason
from cloverwalk.jobs.waiting_items import ANY_SOFTWARE, WaitingItem, group_items, pick_items
from cloverwalk.scheduling.replica_memory import memory_limit_tokens
from cloverwalk.scheduling.selection import prefill_ms
from cloverwalk.store.clock import StoreTime
from cloverwalk.telemetry.lateness import ItemTimes, item_cause
from cloverwalk.telemetry.log import ServingLog
from cloverwalk.telemetry.metrics import ServingMetrics

CHECK_INTERVAL_S = 0.5
"""Interval between checks of the waiting items when nothing else happens: some become late."""

RETRY_DELAY_S = 0.3
MAX_VERSION_WAIT_S = 2.0
"""An item waits this long for a replica of the software version that produced its output. After
that it runs at any replica, from its first event on."""


class _RunningItem:
    """An item that is running at a replica."""

    def __init__(
        self,
        job: JobRun,
        item_run: ItemRun,
        work: InFlightEntry,
        software: Software,
        started_at: float,
    ) -> None:
        self.job = job
        self.item_run = item_run
        self.work = work
        self.replica_id = work.replica_id
        self.software = software
        self.started_at = started_at
        self.task: Any = None
        self.expected_ms = 0.0
        """Slot time that the item was expected to take when it got its slot."""

        self.is_preempted = False
        """Whether it was ordered to free its slot: it no longer counts as work at the replica."""

    def record_output(self) -> None:
        """Record that the replica has produced output in this run."""
        self.work.has_output = True


class BatchRunner(BatchOrderHandler):
    """Starts, suspends and ends the runs of items."""

    def __init__(
        self,
        configuration: ConfigurationHolder,
        directory: ReplicaDirectory,
        loads: InFlightTracker,
        caller: ItemCaller,
        containment: ItemContainment,
        coordinator_client: CoordinatorClient,
        on_finished: Callable[[JobRun], Awaitable[None]],
        on_orphans: Callable[[list[str]], Awaitable[None]],
        store_time: Callable[[], StoreTime | None],
        configuration_confirmed_at: Callable[[], float],
        log: ServingLog,
        metrics: ServingMetrics,
        clock: Callable[[], float],
    ) -> None:
        self._configuration = configuration
        self._directory = directory
        self._loads = loads
        self._caller = caller
        self._containment = containment
        self._coordinator_client = coordinator_client
        self._on_finished = on_finished
        self._on_orphans = on_orphans
        self._store_time = store_time
        self._configuration_confirmed_at = configuration_confirmed_at
        self._log = log
        self._metrics = metrics
        self._clock = clock
        self.jobs: dict[str, JobRun] = {}
        self._running: dict[tuple[str, int], _RunningItem] = {}
        self._wake = curio.Event()
        self._has_jobs = curio.Event()
        self._time_estimator = ItemTimeEstimator()
        self._route_monitor = RouteMonitor()
        self._wait_log = WaitLog(log, clock)
        self._reports_item_timings = False
        """Whether a replica has reported its slowdown here: only then are item timings and
        remaining times reported."""

        self._has_ended_run = False
        """Whether a run has ended since the last report was triggered."""

        self._held_back_until = float("inf")
        """When containment next lets a waiting item start (monotonic clock, seconds)."""

        self.is_stopping = False

    # --- jobs ---

    async def add(self, job: JobRun) -> None:
        """Run a job that this node owns now, in place of an earlier run of it."""
        await self.drop(job.job_id)
        for item_run in job.items:
            item_run.pending_since = self._clock()
        self.jobs[job.job_id] = job
        await self._has_jobs.set()
        await self._wake.set()

    async def drop(self, job_id: str) -> None:
        """Stop running a job that is done, ended or owned by another node."""
        job = self.jobs.pop(job_id, None)
        self._route_monitor.remove(job_id)
        if job is None:
            return
        job.is_dropped = True
        if not self.jobs:
            self._has_jobs.clear()
        for running in [active for active in self._running.values() if active.job is job]:
            await running.task.cancel(blocking=False)
        await self._wake.set()

    @property
    def buffered_bytes(self) -> int:
        """Approximate memory that the jobs of this node use."""
        return sum(job.buffered_bytes for job in self.jobs.values())

    async def wait_until_jobs(self) -> None:
        """Wait until this node runs at least one job."""
        await self._has_jobs.wait()

    async def stop_all(self) -> None:
        """Cancel every run; the output so far stays in the runs."""
        self.is_stopping = True
        for running in list(self._running.values()):
            await running.task.cancel()
        await self._wake.set()

    # --- waiting items ---

    async def run(self) -> None:
        """Report the waiting items to the coordinator whenever they change, until cancelled."""
        while True:
            if self.jobs:
                async with curio.ignore_after(self._check_timeout_s()):
                    await self._wake.wait()
            else:
                await self._wake.wait()
            self._wake.clear()
            await self._end_expired_items()
            await self._report_waiting()
            if self._wait_log.is_due:
                self._wait_log.write(self._waits(), self._coordinator_client.coordinator_name)

    def _check_timeout_s(self) -> float:
        """Return the time until the next check, or until an item may start.

        That is when its retry delay is over, or when containment no longer holds it back.
        """
        now = self._clock()
        retry_delays_s = [
            item_run.not_before - now
            for job in self.jobs.values()
            for item_run in job.items
            if item_run.phase is Phase.PENDING and item_run.not_before > now
        ]
        containment_s = max(0.0, self._held_back_until - now)
        return min([CHECK_INTERVAL_S, containment_s, *retry_delays_s])

    async def _report_waiting(self) -> None:
        by_pool: dict[str, list[WaitingItem]] = {}
        self._held_back_until = float("inf")
        if not self.is_stopping:
            for job in self.jobs.values():
                services = self._services(job)
                if services:
                    pool = ",".join(services)
                    by_pool.setdefault(pool, []).extend(self._waiting_items(job))
        waiting = {pool: group_items(items) for pool, items in by_pool.items() if items}
        if waiting != self._coordinator_client.waiting or self._pop_has_ended_run():
            self._coordinator_client.waiting = waiting
            await self._coordinator_client.trigger_report()

    def _pop_has_ended_run(self) -> bool:
        """Return whether a run has ended since the last call: this changes the node's loads."""
        has_ended, self._has_ended_run = self._has_ended_run, False
        return has_ended

    def _waiting_items(self, job: JobRun) -> list[WaitingItem]:
        return [self._waiting_item(job, item_run) for item_run in self._startable_items(job)]

    def _startable_items(self, job: JobRun, software: Software | None = None) -> list[ItemRun]:
        """Return the items that may start now: at a replica with the software, else at any."""
        services = self._services(job)
        startable: list[ItemRun] = []
        for item_run in job.pending(self._clock()):
            held_back = self._containment.held_back(job, item_run, services, software)
            if held_back is None:
                startable.append(item_run)
            else:
                self._held_back_until = min(self._held_back_until, held_back.until)
        return startable

    def _waits(self) -> list[ItemWait]:
        return [
            self._wait(job, item_run)
            for job in self.jobs.values()
            for item_run in job.items
            if item_run.phase is Phase.PENDING
        ]

    def _wait(self, job: JobRun, item_run: ItemRun) -> ItemWait:
        """Return what an item waits for: the first of the reasons that apply to it."""
        now, services = self._clock(), self._services(job)
        key: str | None = None
        ends_at: float | None = None
        held_back = self._containment.held_back(job, item_run, services)
        if self.is_stopping:
            reason = WaitReason.STOPPING
        elif not services:
            reason = WaitReason.NO_ROUTE
        elif held_back is not None:
            is_behind_trial = held_back.is_behind_trial
            reason = WaitReason.BEHIND_TRIAL if is_behind_trial else WaitReason.CONTAINED
            key, ends_at = held_back.key, held_back.until
        elif item_run.not_before > now:
            reason, ends_at = WaitReason.RETRY_DELAY, item_run.not_before
        elif self._reported_software(job, item_run) != ANY_SOFTWARE:
            reason = WaitReason.SOFTWARE_VERSION
            ends_at = item_run.pending_since + MAX_VERSION_WAIT_S
        else:
            reason = WaitReason.SLOT
        ends_in_ms = None if ends_at is None else max(0, round((ends_at - now) * 1000))
        waited_s = now - item_run.pending_since
        return ItemWait(job.job_id, item_run.item.item_id, waited_s, reason, key, ends_in_ms)

    def _waiting_item(self, job: JobRun, item_run: ItemRun) -> WaitingItem:
        due_ms = job.record.due_ms
        can_be_in_time = self._time_estimator.can_be_in_time(item_run, self._time_left_ms(job))
        last_replica = self._directory.find(item_run.replica_id)
        replica_id = (
            item_run.replica_id
            if last_replica and last_replica.may_be_incarnation(item_run.replica_started_ms)
            else ""
        )
        effective_due_ms = self._time_estimator.effective_due_ms(item_run, due_ms)
        priority = self._priority(job)
        waiting = WaitingItem(
            effective_due_ms,
            can_be_in_time,
            replica_id,
            self._prefill_ms(item_run),
            priority,
            tokens=self._tokens(job, item_run),
            software=self._reported_software(job, item_run),
        )
        has_tenants = self._configuration.has_tenants
        if not has_tenants and not self._reports_item_timings:
            return waiting
        tenant = job.record.tenant if has_tenants else ""
        return attrs.evolve(
            waiting, tenant=tenant, remaining_ms=1000 * self._time_estimator.remaining_s(item_run)
        )

    def _needed_software(self, job: JobRun, item_run: ItemRun) -> Software | None:
        """Return the software at which an item has to go on; None if it may run anywhere.

        Its output is dropped if it then starts at a replica with other software.
        """
        software = item_run.software
        if software is None or not software.is_known or software.service not in self._services(job):
            return None
        has_replica = software.version in self._directory.usable_versions(software.service)
        waits_too_long = self._clock() - item_run.pending_since > MAX_VERSION_WAIT_S
        return software if has_replica and not waits_too_long else None

    def _reported_software(self, job: JobRun, item_run: ItemRun) -> Software:
        """Return the software that an item needs, if its service has replicas with another."""
        software = self._needed_software(job, item_run)
        if software is None:
            return ANY_SOFTWARE
        is_only_version = len(self._directory.usable_versions(software.service)) == 1
        is_only = is_only_version and len(self._services(job)) == 1
        return ANY_SOFTWARE if is_only else software

    def _tokens(self, job: JobRun, item_run: ItemRun) -> int:
        """Return the memory that an item may use at a replica, 0 where memory is not counted.

        An item that no replica can hold counts as 0: its replica rejects it, and other items do not
        wait for it.
        """
        current = self._configuration.current
        if not self._loads.counts_tokens or current is None:
            return 0
        services = [current.services.get(name) for name in self._services(job)]
        limits_tokens = [
            0 if service is None else memory_limit_tokens(service) for service in services
        ]
        can_fit = 0 in limits_tokens or item_run.item.tokens <= max(limits_tokens, default=0)
        return max(0, item_run.item.tokens) if can_fit else 0

    def _priority(self, job: JobRun) -> int:
        """Return the priority of a job: that of its tenant, otherwise that of its route."""
        route = self._route(job)
        route_priority = 0 if route is None else route.priority
        return self._configuration.tenants.priority(job.record.tenant, route_priority)

    def _time_left_ms(self, job: JobRun) -> float:
        """Return the time until a job is due, infinite while the store's time is unknown."""
        time = self._store_time()
        return float("inf") if time is None else job.record.due_ms - time.earliest_ms

    def _prefill_ms(self, item_run: ItemRun) -> float:
        prompt = self._caller.prompt(item_run)
        return prefill_ms(prompt[-1].tokens) if prompt else 0.0

    async def _end_expired_items(self) -> None:
        """End waiting items past their retention, and those whose route was removed permanently."""
        for job in list(self.jobs.values()):
            evidence = self._evidence_for_all_items(job)
            if evidence is None:
                continue
            waiting = [item_run for item_run in job.items if item_run.phase is Phase.PENDING]
            for item_run in waiting:
                job.end(item_run, evidence)
            if waiting:
                self._log_dead_items(job, waiting, evidence)
                await self._on_finished(job)

    def _evidence_for_all_items(self, job: JobRun) -> ItemEnd | None:
        """Return the evidence that ends every unfinished item of a job, if there is any."""
        retention_evidence = past_retention(job.record, self._route(job), self._store_time())
        return retention_evidence or self._evidence_of_route_end(job)

    def _evidence_of_route_end(self, job: JobRun) -> ItemEnd | None:
        if self._configuration.current is None or self._route(job) is not None:
            self._route_monitor.record_present(job.job_id)
            return None
        version, now_ms = self._configuration.version, self._clock() * 1000
        confirmed_ms = self._configuration_confirmed_at() * 1000
        return self._route_monitor.record_missing(job.record, version, now_ms, confirmed_ms)

    def _log_dead_items(self, job: JobRun, dead_items: list[ItemRun], evidence: ItemEnd) -> None:
        """Write one log line for all items that end together, so that each is logged."""
        self._log.write(
            catalogue.ITEMS_DEAD,
            requests=[item_run.item.item_id for item_run in dead_items],
            job=job.job_id,
            epoch=job.record.epoch,
            reason=evidence.reason,
            **attrs.asdict(evidence),
        )

    def _route(self, job: JobRun) -> Route | None:
        configuration = self._configuration.current
        if configuration is None:
            return None
        return configuration.find_batch_route(job.record.host, job.record.path)

    def _services(self, job: JobRun) -> list[str]:
        """Return the services that run a job's items, none when its route is missing."""
        route = self._route(job)
        return [] if route is None else route.services

    # --- orders ---

    async def take_over_jobs(self, job_ids: list[str]) -> None:
        """Take over jobs that have no owner."""
        await self._on_orphans(job_ids)

    async def apply_grants(self, grants: dict[str, int]) -> None:
        """Start as many items at each replica as slots were granted there."""
        await self.apply_tenant_grants(grants, {}, {})

    async def apply_tenant_grants(
        self,
        grants: dict[str, int],
        by_tenant: dict[str, dict[str, int]],
        tokens: dict[str, int],
    ) -> None:
        """Start items at replicas: first of the tenants that were granted slots, then any others.

        Where ``tokens`` limits the memory of a replica, the items that start there fit into it
        together.
        """
        if self.is_stopping:
            return
        for replica_id, count in grants.items():
            replica = self._directory.find(replica_id)
            if replica is None:
                continue
            waiting = self._waiting_for(replica)
            tenants = [job.record.tenant for job, _ in waiting]
            item_tokens = (
                [self._tokens(job, item_run) for job, item_run in waiting] if tokens else []
            )
            max_tokens = tokens.get(replica_id, 0) if tokens else None
            for index in pick_items(
                tenants, count, by_tenant.get(replica_id, {}), item_tokens, max_tokens
            ):
                job, item_run = waiting[index]
                # An item that has just started may be the trial that this one has to wait for.
                services, software = self._services(job), software_of(replica)
                if self._containment.held_back(job, item_run, services, software) is None:
                    await self._start(job, item_run, replica)
        await self._wake.set()

    def _waiting_for(self, replica: Replica) -> list[tuple[JobRun, ItemRun]]:
        """Return the waiting items that a replica can run, in the order in which they start.

        Of items with the same sort key, those that ran last at another replica come later: their
        prompt may still be cached there.
        """
        ranked: list[tuple[tuple[int, bool, float], JobRun, ItemRun]] = []
        software = software_of(replica)
        for job in self.jobs.values():
            if replica.service not in self._services(job):
                continue
            for item_run in self._startable_items(job, software):
                if self._needed_software(job, item_run) not in (None, software):
                    continue
                waiting = self._waiting_item(job, item_run)
                is_elsewhere = waiting.replica_id not in ("", replica.replica_id)
                ranked.append(((waiting.sort_key, is_elsewhere, waiting.due_ms), job, item_run))
        ranked.sort(key=lambda entry: entry[0])
        return [(job, item_run) for _, job, item_run in ranked]

    async def apply_revokes(self, revokes: dict[str, int]) -> None:
        """Suspend items at replicas where online requests need the slots."""
        preempted = [
            running
            for replica_id, count in revokes.items()
            for running in self._preempt(replica_id, count)
        ]
        for running in preempted:
            await running.task.cancel(blocking=False)
        await self._wake.set()

    async def _start(self, job: JobRun, item_run: ItemRun, replica: Replica) -> None:
        now = self._clock()
        if not item_run.fits(software_of(replica)):
            self._restart(job, item_run, replica)
        job.begin(item_run, replica.replica_id, now, replica.started_ms)
        item_run.timing = None
        self._containment.begin_run(job, item_run, replica)
        work = self._loads.begin(replica.replica_id, True, self._tokens(job, item_run))
        running = _RunningItem(job, item_run, work, software_of(replica), now)
        running.expected_ms = self._time_estimator.remaining_s(item_run) * 1000
        self._running[job.job_id, item_run.index] = running
        self._log.write(
            catalogue.ITEM_STARTED,
            request=item_run.item.item_id,
            job=job.job_id,
            replica=replica.replica_id,
            after_event=item_run.last_event_id,
            software_version=replica.software_version or None,
            configuration=self._configuration.version,
        )
        running.task = await curio.spawn(self._run_item, running, replica, daemon=True)

    def _restart(self, job: JobRun, item_run: ItemRun, replica: Replica) -> None:
        """Drop the output of an item, as it starts at a replica with other software."""
        software = item_run.software
        self._log.write(
            catalogue.ITEM_RESTARTED,
            request=item_run.item.item_id,
            job=job.job_id,
            events=len(item_run.texts),
            began=None if software is None else software.version or None,
            software_version=replica.software_version or None,
            waited_ms=round((self._clock() - item_run.pending_since) * 1000),
        )
        job.restart(item_run)

    # --- one run ---

    async def _run_item(self, running: _RunningItem, replica: Replica) -> None:
        job, item_run = running.job, running.item_run
        outcome = "suspended"
        earlier_events = len(item_run.texts)
        is_answered = False
        try:
            is_suspect = self._containment.is_suspect(job, item_run)
            await self._caller.run(job, item_run, replica, running.record_output, is_suspect)
            run_s = self._clock() - running.started_at
            self._time_estimator.record_run(len(item_run.texts), earlier_events, run_s)
            self._time_estimator.record_item(item_run, self._clock(), run_s)
            job.succeed(item_run)
            outcome = "succeeded"
            is_answered = True
        except ItemImpossibleError:
            job.end(item_run, Impossible(replica.replica_id))
            outcome = "impossible"
            is_answered = True
        except ItemFailedError:
            job.fail(item_run, self._clock() + RETRY_DELAY_S, self._route(job))
            outcome = "failed"
            is_answered = True
        except ReplicaError as error:
            outcome = error.code
            if len(item_run.texts) == earlier_events:
                # An item with output in this run did not crash its replica at the start.
                await self._containment.record_failure(job, item_run, replica, error)
            if error.code in ("reset", "unreachable", TIMED_OUT):
                self._directory.suspect(replica.replica_id, self._clock())
        finally:
            if is_answered:
                await self._containment.record_answer(job, item_run, replica)
            self._containment.end_run(job, item_run, is_answered=is_answered)
            await self._end_run(running, outcome)

    async def _end_run(self, running: _RunningItem, outcome: str) -> None:
        job, item_run = running.job, running.item_run
        if not running.is_preempted:
            self._loads.end(running.work)
        self._running.pop((job.job_id, item_run.index), None)
        item_run.last_run_s = self._clock() - running.started_at
        item_run.ran_s += item_run.last_run_s
        self._record_correction(running)
        item_run.suspensions += outcome == "suspended"
        self._check_software(item_run, running.software)
        if item_run.phase is Phase.RUNNING:
            retry_delay_s = 0.0 if outcome == "suspended" else RETRY_DELAY_S
            job.suspend(item_run, self._clock() + retry_delay_s)
        self._record_timing(running)
        self._metrics.item_ended(outcome)
        self._log.write(
            catalogue.ITEM_RUN_ENDED,
            request=item_run.item.item_id,
            job=job.job_id,
            replica=running.replica_id,
            outcome=outcome,
            failures=item_run.failures,
            last_event=item_run.last_event_id,
            ran_ms=round((self._clock() - running.started_at) * 1000),
            late=self._record_lateness(job, item_run),
        )
        if item_run.phase is Phase.FINISHED:
            if item_run.end is not None:
                self._log_dead_items(job, [item_run], item_run.end)
            await self._on_finished(job)
        self._has_ended_run = True
        await self._wake.set()

    def _check_software(self, item_run: ItemRun, software: Software) -> None:
        """Forget the software of an output if its replica's entry has changed during the run."""
        listed = self._directory.find_listed(item_run.replica_id)
        if item_run.software is not None and listed is not None and software_of(listed) != software:
            item_run.software = Software(software.service, "")

    def _record_correction(self, running: _RunningItem) -> None:
        """Report how far the run's slot time differs from what its tenant was charged."""
        if not self._configuration.has_tenants:
            return
        tenant, rank = running.job.record.tenant, self._priority(running.job)
        extra_ms = running.item_run.last_run_s * 1000 - running.expected_ms
        self._coordinator_client.reports.record_work_correction(tenant, rank, round(extra_ms))

    def _record_timing(self, running: _RunningItem) -> None:
        timing = running.item_run.timing
        if timing is None or timing.events == 0:
            return
        self._reports_item_timings |= timing.reported_slowdown_percent > 0
        if not self._reports_item_timings:
            # Without reported slowdowns, the timings are not used and would only enlarge reports.
            return
        took_ms = round((timing.last_at - timing.first_at) * 1000)
        item_timing = ItemTiming(
            running.replica_id, timing.events, took_ms, timing.reported_slowdown_percent
        )
        self._coordinator_client.reports.record_item_timing(item_timing)

    def _record_lateness(self, job: JobRun, item_run: ItemRun) -> str | None:
        """Count a late item and return the cause; None if it is in time, dead or not finished."""
        if item_run.phase is not Phase.FINISHED or item_run.end is not None:
            return None
        cause = item_cause(
            ItemTimes(
                -self._time_left_ms(job),
                job.record.due_ms - job.record.accepted_ms,
                item_run.ran_s * 1000,
                item_run.last_run_s * 1000,
                item_run.failures,
                item_run.suspensions,
            )
        )
        if cause is None:
            return None
        route = self._route(job)
        self._metrics.request_late("" if route is None else route.name, cause.value)
        return cause.value

    def _preempt(self, replica_id: str, count: int) -> list[_RunningItem]:
        """Return the items at a replica that free their slots; they no longer count as work there.

        Items without output in this run come first: they may still be in the replica's queue, ahead
        of the online request. Then follow items that can't be in time, then those of the lowest
        priority (the highest number), and among these the ones with the most time to spare.
        """
        candidates = [
            running_item
            for running_item in self._running.values()
            if running_item.replica_id == replica_id
        ]
        candidates = [
            running_item
            for running_item in candidates
            if not running_item.is_preempted and running_item.task is not None
        ]
        candidates.sort(key=self._preemption_rank)
        preempted = candidates[:count]
        for running in preempted:
            running.is_preempted = True
            self._loads.end(running.work)
        return preempted

    def _preemption_rank(self, running: _RunningItem) -> tuple[bool, bool, int, float]:
        time_left_ms = self._time_left_ms(running.job)
        spare_ms = time_left_ms - self._time_estimator.remaining_s(running.item_run) * 1000
        priority = self._priority(running.job)
        return (running.work.has_output, spare_ms >= 0, -priority, -spare_ms)
