"""The process of a serving node: its components and its lifecycle from start to stop."""

import gc
import signal
import time
from collections.abc import Awaitable, Callable
from random import Random, SystemRandom

import curio

from cloverwalk.core import catalogue
from cloverwalk.core.clock import Clock, SuspensionWatch, monotonic_s
from cloverwalk.core.error_response import ErrorResponse
from cloverwalk.core.kernel import run_until_ended
from cloverwalk.core.signals import SignalEvent
from cloverwalk.fleet.crash_record_store import CrashRecordStore
from cloverwalk.fleet.follower import TableFollower
from cloverwalk.fleet.in_flight import InFlightTracker
from cloverwalk.fleet.stream_version_store import StreamVersionStore
from cloverwalk.fleet.version_registry import VersionRegistry
from cloverwalk.gateway.configuration import ClientLimits
from cloverwalk.gateway.containment import ContainmentGate
from cloverwalk.gateway.crash_detector import CrashDetector
from cloverwalk.gateway.messages import ClientRequest
from cloverwalk.gateway.relay import OnlineRelay
from cloverwalk.gateway.replica_connection import ReplicaPool
from cloverwalk.gateway.replicas import Replica
from cloverwalk.gateway.reply import Reply
from cloverwalk.gateway.restarts import RestartHandler
from cloverwalk.gateway.resumption_gate import ResumptionGate
from cloverwalk.gateway.server import GatewayServer
from cloverwalk.gateway.stop_admission import StopAdmission
from cloverwalk.scheduling.features import Feature
from cloverwalk.serving.adapter import Adapter
from cloverwalk.serving.batch_parts import BatchParts
from cloverwalk.serving.configuration_parts import create_configuration_follower
from cloverwalk.serving.fleet_parts import DIRECTORY_FOLLOW_DELAY_S, FleetParts
from cloverwalk.serving.fleet_state import FleetState
from cloverwalk.serving.request_handler import RequestHandler
from cloverwalk.serving.resource_monitor import ResourceMonitor
from cloverwalk.serving.settings import ServingSettings
from cloverwalk.serving.store_probe import StoreProbe
from cloverwalk.store.clock import StoreClock
from cloverwalk.store.health import MonitoredStore, StoreHealth
from cloverwalk.telemetry.log import ServingLog
from cloverwalk.telemetry.metrics import ServingMetrics
from cloverwalk.telemetry.startup import Stage, StartupLog
from cloverwalk.tenants.quota_refusals import QuotaRefusalCache

HOUSEKEEPING_INTERVAL_S = 2.0
STOP_PROPAGATION_S = 2.6
"""New connections still arrive for about this long after a planned stop began."""

STOP_STEP_S = 0.1
"""Interval of the checks during a planned stop, and the time for the last answers to be sent."""

RESERVED_DESCRIPTORS = 800
"""File descriptors that are kept for other uses than connections of clients."""

MAX_INTERNAL_CONNECTIONS = 32


class ServingNode:
    """Creates and connects the components of a node and runs them in one event loop."""

    def __init__(
        self, adapter: Adapter, settings: ServingSettings, log_descriptor: int | None = None
    ) -> None:
        self._adapter = adapter
        self._settings = settings
        self._clock: Callable[[], float] = monotonic_s
        self._suspensions = SuspensionWatch()
        self._random = Random(SystemRandom().getrandbits(64))
        self._log = ServingLog(settings.node, self._clock, log_descriptor)
        self._metrics = ServingMetrics()
        # So far the process has only loaded modules, so its age is about its processor time.
        started_at = self._clock() - time.process_time()
        self._startup = StartupLog(self._log, self._clock, started_at)
        self._stop = SignalEvent()
        self._reload = SignalEvent()
        self.is_leaving = False
        self._stop_admission = StopAdmission(self._clock)
        self._build_state()
        self._build_fleet()
        self._build_gateway()

    # --- components ---

    def _build_state(self) -> None:
        self._fleet_state = FleetState(
            self._adapter,
            self._log,
            self._clock,
            self._startup,
            self._settings.replica_drain_s,
        )
        self._fleet_state.metrics = self._metrics
        self._configuration = self._fleet_state.configuration
        self._directory = self._fleet_state.directory
        self._in_flight = InFlightTracker(counts_tokens=self._settings.is_memory_scarce)
        self._health = StoreHealth(Clock(self._clock))
        self._health.on_call = self._record_store_call
        self._store_clock = StoreClock(Clock(self._clock), self._log_store_clock_jump)
        self._store = MonitoredStore(
            self._adapter.create_store(self._settings), self._health, self._store_clock
        )
        self._pool = ReplicaPool(self._adapter.codec, self._clock)
        self._crash_detector = CrashDetector(
            self._fleet_state.crash_ledger,
            self._directory,
            self._pool,
            self._log,
            self._metrics,
            self._clock,
        )

        self._restart_handler = RestartHandler(
            self._directory, self._pool, self._crash_detector, self._log, self._metrics, self._clock
        )

    def _log_store_clock_jump(self, jump_ms: float) -> None:
        self._log.write(catalogue.STORE_CLOCK_JUMPED, jump_ms=round(jump_ms, 1))

    def _build_fleet(self) -> None:
        self._fleet = FleetParts(
            self._settings,
            f"{self._random.getrandbits(40):010x}",
            self._fleet_state,
            self._in_flight,
            self._store,
            self._health,
            self._log,
            self._clock,
            self._random,
        )
        self._fleet.crash_record_sync.on_contained = self._crash_detector.record_contained
        self._crash_detector.on_crash = self._fleet.coordinator_client.trigger_report
        self._store_probe = StoreProbe(self._store, self._health, self._fleet)
        self._batch = BatchParts(
            self._adapter,
            self._settings,
            self._fleet,
            self._fleet_state,
            self._in_flight,
            self._pool,
            self._crash_detector,
            self._store,
            self._health,
            self._store_clock,
            self._configuration_confirmed_at,
            self._log,
            self._metrics,
            self._clock,
            self._random,
        )
        self._crash_record_store = CrashRecordStore(
            self._fleet.crash_record_sync,
            self._fleet.coordinator,
            self._store,
            self._health,
            self._store_clock,
            self._log,
            self._clock,
        )
        self._version_registry = VersionRegistry(
            self._fleet_state.software_versions,
            self._fleet_state.registered_versions,
            self._fleet.coordinator,
            self._store,
            self._health,
            self._store_clock,
            self._log,
            self._clock,
            self._random,
        )
        self._stream_version_store = StreamVersionStore(
            self._fleet.stream_version_sync,
            self._fleet.coordinator,
            self._store,
            self._health,
            self._store_clock,
            self._fleet.identity.incarnation,
            self._log,
            self._clock,
        )
        self._configuration_follower = create_configuration_follower(
            self._adapter,
            self._fleet_state,
            self._fleet.configuration_exchange,
            self._store,
            self._health,
            self._log,
            self._clock,
            self._random,
        )
        self._replica_follower = TableFollower(
            self._adapter.replica_table,
            self._store,
            self._health,
            self._fleet_state.on_all_replicas,
            self._fleet_state.on_replicas,
            DIRECTORY_FOLLOW_DELAY_S,
            self._log,
            self._clock,
            self._random,
            self._fleet.wait_until_directory_needed,
        )

    def _configuration_confirmed_at(self) -> float:
        """Return when the configuration was last known to be the newest in the store."""
        if self._fleet.configuration_exchange is None:
            return self._configuration_follower.confirmed_at
        return self._configuration.confirmed_at

    def _build_gateway(self) -> None:
        settings = self._settings
        self._quota_refusals = QuotaRefusalCache(self._configuration, self._log, self._clock)
        self._relay = OnlineRelay(
            self._adapter.codec,
            self._directory,
            self._in_flight,
            self._pool,
            self._log,
            self._metrics,
            self._clock,
            self._fleet.coordinator_client,
            self._quota_refusals,
            ContainmentGate(self._crash_detector, self._metrics, self._clock),
            self._create_resumption_gate(),
            self._stop_admission,
            self._fleet_state.warmup_gate,
        )
        max_connections = max(64, settings.max_descriptors - RESERVED_DESCRIPTORS)
        self._clients = self._create_server(settings.client_address, self._handle, max_connections)
        self._clients.listener.on_change = self._log_accepting
        self._resource_monitor = self._create_resource_monitor(max_connections)
        self._request_handler = RequestHandler(
            self._adapter,
            self._configuration,
            self._relay,
            self._batch.service,
            self._log,
            self._metrics,
            self._stop_admission,
            self._resource_monitor,
            self._clock,
            settings.configuration_apply_s,
            lambda: self._fleet_state.zone_drains.is_known,
        )
        self._ready = self._create_server(
            settings.ready_address, self._answer_ready, MAX_INTERNAL_CONNECTIONS
        )
        self._metrics_server: GatewayServer | None = None
        if settings.metrics_address is not None:
            self._metrics_server = self._create_server(
                settings.metrics_address, self._answer_metrics, MAX_INTERNAL_CONNECTIONS
            )

    def _create_resumption_gate(self) -> ResumptionGate:
        self._fleet_state.software_versions.on_change = self._on_software_change
        self._restart_handler.on_restart = self._mark_streams_unknown
        return ResumptionGate(
            self._directory,
            self._fleet_state.draining_replicas,
            self._fleet_state.stream_versions,
            self._fleet.stream_version_sync,
            self._fleet_state.registered_versions,
            self._version_registry,
            self._log,
            self._metrics,
            self._clock,
        )

    def _on_software_change(self, replica: Replica) -> None:
        self._mark_streams_unknown(replica, self._directory.confirmed_at)

    def _mark_streams_unknown(self, replica: Replica, opened_before: float) -> None:
        """Record that a replica's new incarnation may have begun recent streams."""
        records = self._fleet_state.stream_versions.mark_unknown(replica, opened_before)
        self._fleet.stream_version_sync.share_changed(records)

    def _create_resource_monitor(self, max_connections: int) -> ResourceMonitor | None:
        """Return the monitor of this machine's resources, None if the feature is off."""
        if not self._fleet.features.is_on(Feature.NODE_CAPACITY):
            return None
        monitor = ResourceMonitor(
            self._settings,
            max_connections,
            self._clients,
            self._batch.runner,
            self._fleet.coordinator_client,
            self._log,
            self._clock,
            time.process_time,
        )
        self._fleet.coordinator.must_hand_over = monitor.must_hand_over
        return monitor

    async def _handle(self, request: ClientRequest, reply: Reply) -> None:
        await self._request_handler.handle(request, reply)

    def _create_server(
        self,
        address: tuple[str, int],
        on_request: Callable[[ClientRequest, Reply], Awaitable[None]],
        max_connections: int,
    ) -> GatewayServer:
        return GatewayServer(
            address,
            self._adapter.codec,
            self._limits,
            on_request,
            self._on_refused,
            self._clock,
            max_connections,
        )

    # --- lifecycle ---

    async def run(self) -> None:
        """Run the node until a planned stop is complete."""
        incarnation = self._fleet.identity.incarnation
        self._log.write(catalogue.SERVING_STARTED, incarnation=incarnation)
        async with curio.TaskGroup(wait=None) as tasks:
            for loop in self._loops():
                await tasks.spawn(self._run_restarting, loop)
            await tasks.spawn(self._reload_loop)
            await self._stop.wait()
            await self._shut_down()
        self._log.write(catalogue.SERVING_STOPPED, serving=self._clients.serving_count)

    def _loops(self) -> list[Callable[[], Awaitable[None]]]:
        loops: list[Callable[[], Awaitable[None]]] = [
            self._clients.serve,
            self._ready.serve,
            *self._fleet.loops(),
            self._configuration_follower.run,
            self._replica_follower.run,
            self._store_probe.run,
            self._crash_record_store.run,
            self._version_registry.run,
            self._stream_version_store.run,
            self._housekeeping,
            *self._batch.loops(),
        ]
        if self._resource_monitor is not None:
            loops.append(self._resource_monitor.run)
        if self._metrics_server is not None:
            loops.append(self._metrics_server.serve)
        return loops

    async def _run_restarting(self, loop: Callable[[], Awaitable[None]]) -> None:
        """Run a loop and restart it when it fails, so that no single error ends the process."""
        while True:
            try:
                await loop()
            except Exception as error:
                self._log.write(catalogue.UNEXPECTED, error=repr(error)[:300])
            await curio.sleep(0.1)

    def request_stop(self) -> None:
        """Begin a planned stop; may be called from a signal handler."""
        self._stop.set()

    def request_reload(self) -> None:
        """Reload the settings; may be called from a signal handler."""
        self._reload.set()

    def install_signals(self) -> None:
        """Stop on SIGTERM and SIGINT, reload the settings on SIGHUP."""
        signal.signal(signal.SIGTERM, lambda *_: self.request_stop())
        signal.signal(signal.SIGINT, lambda *_: self.request_stop())
        signal.signal(signal.SIGHUP, lambda *_: self.request_reload())

    async def _reload_loop(self) -> None:
        """Reload the settings on SIGHUP; only the seeds take effect before the next start."""
        while True:
            await self._reload.wait()
            try:
                settings = self._adapter.load_settings()
            except Exception as error:
                self._log.write(catalogue.SETTINGS_REFUSED, error=str(error)[:300])
                continue
            self._fleet.coordinator_client.use_seeds(list(settings.seeds))
            self._log.write(catalogue.SETTINGS_RELOADED, seeds=len(settings.seeds))

    async def _shut_down(self) -> None:
        """Stop as planned: become not ready, hand jobs over, finish running requests.

        What is accepted meanwhile, and until when it may run, is decided by ``StopAdmission``.
        """
        started_at = self._clock()
        self._stop_admission.begin(self._settings.grace_s)
        self._log.write(catalogue.SERVING_STOPPING, serving=self._clients.serving_count)
        self.is_leaving = True
        self._fleet.leave()
        self._clients.begin_stop()
        await self._fleet.coordinator_client.trigger_report()
        handover = await curio.spawn(self._batch.hand_over)
        while self._stop_admission.remaining_s > 0:
            await curio.sleep(STOP_STEP_S)
            await self._relay.refuse_unfinishable()
            await self._clients.close_idle()
            is_propagating = self._clock() - started_at < STOP_PROPAGATION_S
            if not is_propagating and self._clients.is_quiet and handover.terminated:
                break
        await self._clients.end_unanswered()
        if self._clients.serving_count > 0:
            await curio.sleep(STOP_STEP_S)
        await handover.cancel()

    # --- readiness and metrics ---

    def _log_accepting(self, error: OSError | None) -> None:
        if error is None:
            self._log.write(catalogue.CONNECTIONS_ACCEPTED)
        else:
            self._log.write(catalogue.CONNECTIONS_NOT_ACCEPTED, error=str(error))

    @property
    def is_ready(self) -> bool:
        """Whether the node answers readiness probes positively."""
        return (
            not self.is_leaving
            and not self._clients.listener.is_blocked
            and self._fleet_state.is_complete
            and self._can_begin_streams
            and (self._resource_monitor is None or self._resource_monitor.overload_monitor.is_ready)
        )

    @property
    def _can_begin_streams(self) -> bool:
        """Whether this node or the one that places its requests knows registered versions."""
        return self._version_registry.has_registered or self._fleet.leader.follows_other

    async def _answer_ready(self, request: ClientRequest, reply: Reply) -> None:
        is_probe = self._adapter.is_readiness_probe(request.target)
        status = 404 if not is_probe else 200 if self.is_ready else 503
        await reply.respond(status, [], b"")

    async def _answer_metrics(self, request: ClientRequest, reply: Reply) -> None:
        metrics = self._metrics
        now = self._clock()
        metrics.tenant_directory = self._configuration.tenants
        metrics.gauge(
            "cloverwalk_configuration_version", "Version in force", self._configuration.version
        )
        metrics.gauge(
            "cloverwalk_configuration_age_seconds",
            "Time since the version in force was last known to be the newest",
            self._configuration.age_ms(now) / 1000,
        )
        age_s = min(1e6, now - self._directory.confirmed_at)
        metrics.gauge(
            "cloverwalk_replica_list_age_seconds",
            "Time since the replica list was confirmed",
            age_s,
        )
        metrics.gauge("cloverwalk_log_lines_dropped", "Log lines dropped", self._log.lines_dropped)
        metrics.gauge("cloverwalk_replica_connections_opened", "Opened", self._pool.opened)
        metrics.gauge(
            "cloverwalk_jobs_owned", "Jobs that this node runs", len(self._batch.runner.jobs)
        )
        metrics.gauge("cloverwalk_client_connections", "Open", self._clients.connection_count)
        self._fleet.update_metrics(metrics)
        coordinator = self._fleet.coordinator
        node_count = len(coordinator.registry.live()) if coordinator.is_active else 0
        seconds_by_use = self._fleet.slot_time_reporter.slot_time.seconds
        slowdowns = self._fleet.scheduler.slowdowns
        metrics.replica_slowdowns = slowdowns.counts_by_class()
        metrics.gauge(
            "cloverwalk_pace_figures_dropped",
            "Invalid slowdown values ignored",
            slowdowns.invalid_count,
        )
        metrics.slot_seconds = {use.value: seconds for use, seconds in seconds_by_use.items()}
        metrics.slot_ms_by_share = self._fleet.fair_share_reporter.slot_ms()
        metrics.gauge("cloverwalk_coordinator_term", "Term followed", self._fleet.leader.term)
        unreachable_count = self._fleet.scheduler.reachability.unreachable_count
        metrics.gauge(
            "cloverwalk_zones_unreachable",
            "Unreachable pairs of zones, as seen by this node",
            unreachable_count,
        )
        metrics.gauge(
            "cloverwalk_coordinated_nodes", "Nodes that report to this coordinator", node_count
        )
        metrics.gauge(
            "cloverwalk_nodes_with_older_configuration",
            "Nodes that report an older configuration to this coordinator",
            coordinator.count_nodes_with_older_configuration() if coordinator.is_active else 0,
        )
        if self._resource_monitor is not None:
            self._resource_monitor.update_metrics(metrics)
        content_type = (b"Content-Type", b"text/plain; version=0.0.4")
        await reply.respond(200, [content_type], metrics.render())

    def _on_refused(self, response: ErrorResponse) -> None:
        self._log.write(
            catalogue.CALL_REFUSED,
            status=response.status,
            code=response.code,
            work=response.work.value,
        )

    def _limits(self) -> ClientLimits:
        current = self._configuration.current
        return ClientLimits() if current is None else current.limits

    # --- housekeeping ---

    def _record_store_call(self, is_answered: bool) -> None:
        stage = Stage.STORE_ANSWER if is_answered else Stage.STORE_REFUSAL
        self._startup.record_stage(stage)

    async def _housekeeping(self) -> None:
        while True:
            await curio.sleep(HOUSEKEEPING_INTERVAL_S)
            self._fleet.check()
            self._restart_handler.abort_stale()
            await self._pool.close_expired()
            self._quota_refusals.expire()
            self._crash_detector.expire()
            self._fleet_state.stream_versions.expire()
            self._fleet_state.software_versions.expire()
            suspended_s = self._suspensions.check()
            if suspended_s > 0:
                # The clock includes the suspension, so ages and leases went on meanwhile.
                self._log.write(catalogue.MACHINE_SUSPENDED, slept_s=round(suspended_s, 3))


def run_node(adapter: Adapter) -> None:
    """Run one node until it is stopped."""
    settings = adapter.load_settings()
    node = ServingNode(adapter, settings)
    node.install_signals()
    gc.freeze()
    run_until_ended(node.run)
