"""One serving node as a process: what it is made of, and its life from start to stop."""

import gc
import signal
import time
from collections.abc import Awaitable, Callable
from random import Random, SystemRandom

import curio

from cloverwalk.core import catalogue
from cloverwalk.core.clock import Clock, SuspensionWatch, steady_s
from cloverwalk.core.error_response import ErrorResponse
from cloverwalk.core.once_flag import OnceFlag
from cloverwalk.fleet.crash_record_store import CrashRecordStore
from cloverwalk.fleet.follower import TableFollower
from cloverwalk.fleet.in_flight import InFlightTracker
from cloverwalk.gateway.configuration import ClientLimits
from cloverwalk.gateway.containment import ContainmentGate
from cloverwalk.gateway.crash_detector import CrashDetector
from cloverwalk.gateway.messages import ClientRequest
from cloverwalk.gateway.relay import OnlineRelay
from cloverwalk.gateway.replica_connection import ReplicaPool
from cloverwalk.gateway.reply import Reply
from cloverwalk.gateway.restarts import RestartHandler
from cloverwalk.gateway.server import GatewayServer
from cloverwalk.scheduling.features import Feature
from cloverwalk.serving.adapter import Adapter
from cloverwalk.serving.batch_parts import BatchParts
from cloverwalk.serving.fleet_parts import DIRECTORY_PAUSE_S, FleetParts
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

CONFIGURATION_PAUSE_S = 0.05
HOUSEKEEPING_S = 2.0
LEAVE_VISIBLE_S = 2.6
"""After an order to stop, new connections come for about this long."""

STOP_MARGIN_S = 0.7
LAST_BEGIN_SHARE = 0.35
"""Share of the grace time, before the end, in which nothing new begins: 2.8 of 8 s, more than most
requests take. The platform sends requests to leaving nodes where few of a zone are ready."""

RESERVED_DESCRIPTORS = 800
SIDE_CONNECTIONS = 32


class ServingNode:
    """Wires the parts of a node together and runs them on one loop."""

    def __init__(
        self, adapter: Adapter, settings: ServingSettings, log_descriptor: int | None = None
    ) -> None:
        self._adapter = adapter
        self._settings = settings
        self._clock: Callable[[], float] = steady_s
        self._suspensions = SuspensionWatch()
        self._random = Random(SystemRandom().getrandbits(64))
        self._log = ServingLog(settings.node, self._clock, log_descriptor)
        self._metrics = ServingMetrics()
        # Loading the program takes processor time, and nothing else yet.
        began_at = self._clock() - time.process_time()
        self._startup = StartupLog(self._log, self._clock, began_at)
        self._stop = curio.UniversalEvent()
        self._reload = curio.UniversalEvent()
        self._stop_flag = OnceFlag()
        self._reload_flag = OnceFlag()
        self.is_leaving = False
        self._last_begin_at = float("inf")
        self._build_state()
        self._build_fleet()
        self._build_gateway()

    # --- parts ---

    def _build_state(self) -> None:
        self._knowledge = FleetState(self._adapter, self._log, self._clock, self._startup)
        self._knowledge.metrics = self._metrics
        self._configuration = self._knowledge.configuration
        self._directory = self._knowledge.directory
        self._loads = InFlightTracker(counts_tokens=self._settings.is_memory_scarce)
        self._health = StoreHealth(Clock(self._clock))
        self._health.on_call = self._note_store_call
        self._store_clock = StoreClock(Clock(self._clock), self._note_store_clock)
        self._store = MonitoredStore(
            self._adapter.create_store(self._settings), self._health, self._store_clock
        )
        self._pool = ReplicaPool(self._adapter.codec, self._clock)
        self._witness = CrashDetector(
            self._knowledge.crash_ledger,
            self._directory,
            self._pool,
            self._log,
            self._metrics,
            self._clock,
        )

        self._restarts = RestartHandler(
            self._directory, self._pool, self._witness, self._log, self._metrics, self._clock
        )

    def _note_store_clock(self, jump_ms: float) -> None:
        self._log.write(catalogue.STORE_CLOCK_JUMPED, jump_ms=round(jump_ms, 1))

    def _build_fleet(self) -> None:
        self._fleet = FleetParts(
            self._settings,
            f"{self._random.getrandbits(40):010x}",
            self._knowledge,
            self._loads,
            self._store,
            self._health,
            self._log,
            self._clock,
            self._random,
        )
        self._fleet.cases.on_contained = self._witness.record_contained
        self._witness.on_crash = self._fleet.link.trigger_report
        self._store_watch = StoreProbe(self._store, self._health, self._fleet)
        self._batch = BatchParts(
            self._adapter,
            self._settings,
            self._fleet,
            self._knowledge,
            self._loads,
            self._pool,
            self._witness,
            self._store,
            self._health,
            self._store_clock,
            lambda: self._configuration_follower.confirmed_at,
            self._log,
            self._metrics,
            self._clock,
            self._random,
        )
        self._case_keeper = CrashRecordStore(
            self._fleet.cases,
            self._fleet.coordinator,
            self._store,
            self._health,
            self._store_clock,
            self._log,
            self._clock,
        )
        self._configuration_follower = TableFollower(
            self._adapter.configuration_table,
            self._store,
            self._health,
            self._knowledge.on_configuration,
            self._knowledge.on_configuration,
            CONFIGURATION_PAUSE_S,
            self._log,
            self._clock,
            self._random,
        )
        self._replica_follower = TableFollower(
            self._adapter.replica_table,
            self._store,
            self._health,
            self._knowledge.on_all_replicas,
            self._knowledge.on_replicas,
            DIRECTORY_PAUSE_S,
            self._log,
            self._clock,
            self._random,
            self._fleet.wait_until_directory_needed,
        )

    def _build_gateway(self) -> None:
        settings = self._settings
        self._refusals = QuotaRefusalCache(self._log, self._clock)
        relay = OnlineRelay(
            self._adapter.codec,
            self._directory,
            self._loads,
            self._pool,
            self._log,
            self._metrics,
            self._clock,
            self._fleet.link,
            self._refusals,
            ContainmentGate(self._witness, self._metrics),
        )
        most = max(64, settings.max_descriptors - RESERVED_DESCRIPTORS)
        self._clients = self._server(settings.client_address, self._handle, most)
        self._room = self._watch_room(most)
        self._calls = RequestHandler(
            self._adapter,
            self._configuration,
            relay,
            self._batch.service,
            self._log,
            self._metrics,
            lambda: self._clock() < self._last_begin_at,
            self._room,
        )
        self._ready = self._server(settings.ready_address, self._answer_ready, SIDE_CONNECTIONS)
        self._metrics_server: GatewayServer | None = None
        if settings.metrics_address is not None:
            self._metrics_server = self._server(
                settings.metrics_address, self._answer_metrics, SIDE_CONNECTIONS
            )

    def _watch_room(self, most_connections: int) -> ResourceMonitor | None:
        """Return what watches this machine's room, where the settings call for it."""
        if not self._fleet.features.is_on(Feature.NODE_CAPACITY):
            return None
        room = ResourceMonitor(
            self._settings,
            most_connections,
            self._clients,
            self._batch.runner,
            self._fleet.link,
            self._log,
            self._clock,
            time.process_time,
        )
        self._fleet.coordinator.must_hand_over = room.must_hand_over
        return room

    async def _handle(self, request: ClientRequest, reply: Reply) -> None:
        await self._calls.handle(request, reply)

    def _server(
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

    # --- life ---

    async def run(self) -> None:
        """Serve until a planned stop is complete."""
        incarnation = self._fleet.identity.incarnation
        self._log.write(catalogue.SERVING_STARTED, incarnation=incarnation)
        async with curio.TaskGroup(wait=None) as tasks:
            for loop in self._loops():
                await tasks.spawn(self._guarded, loop)
            await tasks.spawn(self._reload_loop)
            await self._stop.wait()
            await self._leave()
        self._log.write(catalogue.SERVING_STOPPED, serving=self._clients.serving_count)

    def _loops(self) -> list[Callable[[], Awaitable[None]]]:
        loops: list[Callable[[], Awaitable[None]]] = [
            self._clients.serve,
            self._ready.serve,
            self._fleet.receive,
            self._fleet.link.run,
            self._fleet.coordinator.run,
            self._fleet.election.run,
            self._configuration_follower.run,
            self._replica_follower.run,
            self._store_watch.run,
            self._case_keeper.run,
            self._housekeeping,
            *self._batch.loops(),
        ]
        if self._room is not None:
            loops.append(self._room.run)
        if self._metrics_server is not None:
            loops.append(self._metrics_server.serve)
        return loops

    async def _guarded(self, loop: Callable[[], Awaitable[None]]) -> None:
        """Start a loop again when it fails: no single fault ends the process."""
        while True:
            try:
                await loop()
            except Exception as error:
                self._log.write(catalogue.UNEXPECTED, error=repr(error)[:300])
            await curio.sleep(0.1)

    def request_stop(self) -> None:
        """Begin a planned stop; safe to call from a signal handler."""
        if self._stop_flag.take():
            self._stop.set()

    def request_reload(self) -> None:
        """Have the settings read again; safe to call from a signal handler."""
        if self._reload_flag.take():
            self._reload.set()

    def install_signals(self) -> None:
        """Stop on SIGTERM and SIGINT, read the settings again on SIGHUP."""
        signal.signal(signal.SIGTERM, lambda *_: self.request_stop())
        signal.signal(signal.SIGINT, lambda *_: self.request_stop())
        signal.signal(signal.SIGHUP, lambda *_: self.request_reload())

    async def _reload_loop(self) -> None:
        """On SIGHUP the settings are checked; addresses hold until the next start."""
        while True:
            await self._reload.wait()
            self._reload.clear()
            self._reload_flag.reset()
            try:
                settings = self._adapter.load_settings()
            except Exception as error:
                self._log.write(catalogue.SETTINGS_REFUSED, error=str(error)[:300])
                continue
            self._fleet.link.use_seeds(list(settings.seeds))
            self._log.write(catalogue.SETTINGS_RELOADED, seeds=len(settings.seeds))

    async def _leave(self) -> None:
        """Planned stop: no longer ready, hand jobs over, finish what is in hand, go."""
        began_at = self._clock()
        until = began_at + self._settings.grace_s - STOP_MARGIN_S
        self._last_begin_at = until - LAST_BEGIN_SHARE * self._settings.grace_s
        self._log.write(catalogue.SERVING_STOPPING, serving=self._clients.serving_count)
        self.is_leaving = True
        self._fleet.leave()
        self._clients.is_stopping = True
        await self._fleet.link.trigger_report()
        handing_over = await curio.spawn(self._batch.takeover.hand_over)
        while self._clock() < until:
            await curio.sleep(0.1)
            await self._clients.close_idle()
            is_visible = self._clock() - began_at < LEAVE_VISIBLE_S
            if not is_visible and self._clients.serving_count == 0 and handing_over.terminated:
                break
        await handing_over.cancel()

    # --- readiness and metrics ---

    @property
    def is_ready(self) -> bool:
        """Whether clients should come here."""
        return (
            not self.is_leaving
            and self._configuration.current is not None
            and not self._directory.is_empty
            and (self._room is None or self._room.overload_monitor.is_ready)
        )

    async def _answer_ready(self, request: ClientRequest, reply: Reply) -> None:
        is_asked = self._adapter.is_readiness_probe(request.target)
        status = 404 if not is_asked else 200 if self.is_ready else 503
        await reply.respond(status, [], b"")

    async def _answer_metrics(self, request: ClientRequest, reply: Reply) -> None:
        metrics = self._metrics
        now = self._clock()
        metrics.tenant_directory = self._configuration.tenants
        metrics.gauge("cloverwalk_configuration_version", "In force", self._configuration.version)
        age_s = min(1e6, now - self._directory.confirmed_at)
        metrics.gauge("cloverwalk_replica_list_age_seconds", "Since confirmed", age_s)
        metrics.gauge("cloverwalk_log_lines_dropped", "Left out", self._log.lines_dropped)
        metrics.gauge("cloverwalk_replica_connections_opened", "Opened", self._pool.opened)
        metrics.gauge("cloverwalk_jobs_owned", "Jobs run here", len(self._batch.runner.jobs))
        metrics.gauge("cloverwalk_client_connections", "Open", self._clients.connection_count)
        coordinator = self._fleet.coordinator
        known = len(coordinator.registry.live()) if coordinator.is_active else 0
        uses = self._fleet.slots.slot_time.seconds
        paces = self._fleet.scheduler.slowdowns
        metrics.replica_slowdowns = paces.counts_by_class()
        metrics.gauge("cloverwalk_pace_figures_dropped", "Left out as odd", paces.invalid_count)
        metrics.slot_seconds = {use.value: seconds for use, seconds in uses.items()}
        metrics.share_ms = self._fleet.shares.slot_ms()
        metrics.gauge("cloverwalk_coordinator_term", "Term followed", self._fleet.leader.term)
        shut = self._fleet.scheduler.reachability.unreachable_count
        metrics.gauge("cloverwalk_zones_unreachable", "Pairs of zones, as seen here", shut)
        metrics.gauge("cloverwalk_coordinated_nodes", "Nodes that report here", known)
        if self._room is not None:
            self._room.update_metrics(metrics)
        content_type = (b"Content-Type", b"text/plain; version=0.0.4")
        await reply.respond(200, [content_type], metrics.render())

    def _on_refused(self, answer: ErrorResponse) -> None:
        self._log.write(
            catalogue.CALL_REFUSED, status=answer.status, code=answer.code, work=answer.work.value
        )

    def _limits(self) -> ClientLimits:
        current = self._configuration.current
        return ClientLimits() if current is None else current.limits

    # --- housekeeping ---

    def _note_store_call(self, is_answered: bool) -> None:
        stage = Stage.STORE_ANSWER if is_answered else Stage.STORE_REFUSAL
        self._startup.record_stage(stage)

    async def _housekeeping(self) -> None:
        while True:
            await curio.sleep(HOUSEKEEPING_S)
            self._fleet.features.notify_changes()
            self._restarts.abort_stale()
            await self._pool.close_expired()
            self._refusals.expire()
            self._witness.expire()
            slept_s = self._suspensions.check()
            if slept_s > 0:
                # Ages and leases have gone on: the node is as one that stood still for so long.
                self._log.write(catalogue.MACHINE_SUSPENDED, slept_s=round(slept_s, 3))


def run_node(adapter: Adapter) -> None:
    """Run one node until it is stopped."""
    settings = adapter.load_settings()
    node = ServingNode(adapter, settings)
    node.install_signals()
    gc.freeze()
    curio.run(node.run)
