"""One serving node as a process: what it is made of, and its life from start to stop."""

import contextlib
import gc
import signal
import time
from collections.abc import Awaitable, Callable
from random import Random, SystemRandom

import curio

from cloverwalk.core import catalogue
from cloverwalk.core.clock import Clock
from cloverwalk.fleet.digest import YieldSlots
from cloverwalk.fleet.follower import TableFollower
from cloverwalk.fleet.load import LoadBook
from cloverwalk.fleet.members import (
    MEMBER_TABLE,
    RENEW_EVERY_S,
    LeaseRenewal,
    MemberBook,
    MemberRow,
)
from cloverwalk.fleet.peers import PeerCodec, PeerNetwork
from cloverwalk.gateway.configuration import ClientLimits
from cloverwalk.gateway.errors import GatewayError
from cloverwalk.gateway.messages import ClientRequest
from cloverwalk.gateway.relay import OnlineRelay
from cloverwalk.gateway.replica_connection import ReplicaPool
from cloverwalk.gateway.reply import Reply
from cloverwalk.gateway.server import GatewayServer
from cloverwalk.gateway.service_times import ServiceTimes
from cloverwalk.jobs.checkpoint import Checkpointer
from cloverwalk.jobs.commit import Committer
from cloverwalk.jobs.intake import JobIntake
from cloverwalk.jobs.item_call import ItemCaller
from cloverwalk.jobs.lister import ResultLister
from cloverwalk.jobs.ownership import JobOwnership
from cloverwalk.jobs.reader import JobReader
from cloverwalk.jobs.records import JOB_TABLE
from cloverwalk.jobs.result_cache import ResultCache
from cloverwalk.jobs.run import JobRun
from cloverwalk.jobs.runner import BatchRunner
from cloverwalk.jobs.service import JobService
from cloverwalk.jobs.sweeper import JobSweeper
from cloverwalk.jobs.view import JobView
from cloverwalk.serving.adapter import Adapter
from cloverwalk.serving.calls import CallHandler
from cloverwalk.serving.knowledge import FleetKnowledge
from cloverwalk.serving.settings import ServingSettings
from cloverwalk.store.health import StoreHealth, WatchedStore
from cloverwalk.store.types import RowPage, StoreError
from cloverwalk.telemetry.log import ServingLog
from cloverwalk.telemetry.metrics import ServingMetrics

CONFIGURATION_PAUSE_S = 0.05
REPLICAS_PAUSE_S = 0.4
JOBS_PAUSE_S = 0.1
MEMBERS_PAUSE_S = 0.5
HOUSEKEEPING_S = 0.5
LEAVE_VISIBLE_S = 2.6
"""After an order to stop, new connections come for about this long."""

STOP_MARGIN_S = 0.7
PROBE_EVERY_MS = 100.0
PROBE_TIMEOUT_S = 0.3
RESERVED_DESCRIPTORS = 800
SIDE_CONNECTIONS = 32


class ServingNode:
    """Wires the parts of a node together and runs them on one loop."""

    def __init__(
        self, adapter: Adapter, settings: ServingSettings, log_descriptor: int | None = None
    ) -> None:
        self._adapter = adapter
        self._settings = settings
        self._clock: Callable[[], float] = time.monotonic
        self._random = Random(SystemRandom().getrandbits(64))
        incarnation = f"{settings.node}.{self._random.getrandbits(40):010x}"
        self._log = ServingLog(settings.node, self._clock, log_descriptor)
        self._metrics = ServingMetrics()
        self._stop = curio.UniversalEvent()
        self._reload = curio.UniversalEvent()
        self.is_leaving = False
        self._build_state(incarnation)
        self._build_fleet(incarnation)
        self._build_jobs()
        self._build_gateway()

    # --- parts ---

    def _build_state(self, incarnation: str) -> None:
        self._incarnation = incarnation
        self._knowledge = FleetKnowledge(self._adapter, self._log, self._clock)
        self._configuration = self._knowledge.configuration
        self._directory = self._knowledge.directory
        self._loads = LoadBook()
        self._view = JobView()
        self._members = MemberBook(self._clock)
        self._health = StoreHealth(Clock(self._clock))
        self._store = WatchedStore(self._adapter.store(self._settings), self._health)
        self._times = ServiceTimes()
        self._pool = ReplicaPool(self._adapter.codec, self._clock)

    def _build_fleet(self, incarnation: str) -> None:
        settings = self._settings
        adapter = self._adapter
        self._peers = PeerNetwork(
            settings.node,
            incarnation,
            settings.zone,
            settings.peer_address,
            list(settings.seeds),
            self._loads,
            self._configuration,
            self._directory,
            self._knowledge.raw_replicas,
            PeerCodec(self._knowledge.take_configuration, self._knowledge.take_replica),
            self._log,
            self._clock,
            self._on_yield,
            self._health.note_hint,
            self._random,
        )
        row = MemberRow(settings.node, incarnation, settings.peer_address[0], settings.zone, 0)
        self._renewal = LeaseRenewal(row, self._store, self._clock)
        self._configuration_follower = self._follower(
            adapter.configuration_table,
            self._knowledge.on_configuration,
            self._knowledge.on_configuration,
            CONFIGURATION_PAUSE_S,
        )
        self._replica_follower = self._follower(
            adapter.replica_table,
            self._knowledge.on_all_replicas,
            self._knowledge.on_replicas,
            REPLICAS_PAUSE_S,
        )
        self._member_follower = self._follower(
            MEMBER_TABLE, self._on_members, self._on_members, MEMBERS_PAUSE_S
        )
        self._job_follower = self._follower(JOB_TABLE, self._on_jobs, self._on_jobs, JOBS_PAUSE_S)

    def _follower(
        self,
        table: str,
        on_whole: Callable[[RowPage], Awaitable[None]],
        on_changes: Callable[[RowPage], Awaitable[None]],
        pause_s: float,
    ) -> TableFollower:
        return TableFollower(
            table,
            self._store,
            self._health,
            on_whole,
            on_changes,
            pause_s,
            self._log,
            self._clock,
            self._random,
        )

    def _build_jobs(self) -> None:
        cache = ResultCache()
        committer = Committer(self._store, self._health, self._clock)
        caller = ItemCaller(self._adapter.codec, self._pool, self._directory, self._clock)
        self._runner = BatchRunner(
            self._configuration,
            self._directory,
            self._loads,
            caller,
            self._peers,
            self._may_start_batch,
            self._on_item_finished,
            self._knowledge.store_now_ms,
            lambda: self._times.mean_hold_ms,
            self._log,
            self._metrics,
            self._clock,
        )
        self._lister = ResultLister(
            committer, self._view, cache, self._runner.drop, self._log, self._clock
        )
        self._checkpointer = Checkpointer(self._runner, committer, self._health)
        reader = JobReader(self._store, self._view, self._job_follower, cache, self._clock)
        intake = JobIntake(
            self._incarnation,
            self._store,
            committer,
            self._view,
            self._job_follower,
            self._knowledge.store_now_ms,
            self._clock,
            self._log,
            self._on_job_taken,
            self._peers.store_serves_a_peer,
            lambda: self._health.is_lost,
        )
        self._jobs = JobService(
            intake, reader, self._runner, self._view, committer, self._log, self._clock
        )
        self._sweeper = JobSweeper(
            self._incarnation,
            lambda: self._members.live(self._member_follower.healthy_since),
            self._view,
            self._store,
            committer,
            self._knowledge.store_now_ms,
            self._settings.status_s,
            self._log,
        )
        self._ownership = JobOwnership(
            self._renewal,
            self._members,
            self._member_follower,
            self._job_follower,
            self._view,
            self._runner,
            reader,
            self._store,
            committer,
            self._log,
            self._clock,
            self._random,
            self._peers.has_replaced,
            intake.in_hand,
        )

    def _build_gateway(self) -> None:
        settings = self._settings
        relay = OnlineRelay(
            settings.zone,
            self._adapter.codec,
            self._configuration,
            self._directory,
            self._loads,
            self._pool,
            self._log,
            self._metrics,
            self._clock,
            self._runner.make_room,
            self._times,
            self._random,
        )
        calls = CallHandler(
            self._adapter, self._configuration, relay, self._jobs, self._log, self._metrics
        )
        most = max(64, settings.max_descriptors - RESERVED_DESCRIPTORS)
        self._clients = self._server(settings.client_address, calls.handle, most)
        self._ready = self._server(settings.ready_address, self._answer_ready, SIDE_CONNECTIONS)
        self._metrics_server: GatewayServer | None = None
        if settings.metrics_address is not None:
            self._metrics_server = self._server(
                settings.metrics_address, self._answer_metrics, SIDE_CONNECTIONS
            )

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
        self._log.write(catalogue.SERVING_STARTED, incarnation=self._incarnation)
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
            self._peers.send_loop,
            self._peers.receive_loop,
            self._configuration_follower.run,
            self._replica_follower.run,
            self._member_follower.run,
            self._job_follower.run,
            self._renew_loop,
            self._probe_loop,
            self._runner.run,
            self._lister.run,
            self._checkpointer.run,
            self._sweeper.run,
            self._ownership.run,
            self._housekeeping,
        ]
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
        self._stop.set()

    def install_signals(self) -> None:
        """Stop on SIGTERM and SIGINT, read the settings again on SIGHUP."""
        signal.signal(signal.SIGTERM, lambda *_: self.request_stop())
        signal.signal(signal.SIGINT, lambda *_: self.request_stop())
        signal.signal(signal.SIGHUP, lambda *_: self._reload.set())

    async def _reload_loop(self) -> None:
        """On SIGHUP the settings are checked; addresses hold until the next start."""
        while True:
            await self._reload.wait()
            self._reload.clear()
            try:
                settings = self._adapter.load_settings()
            except Exception as error:
                self._log.write(catalogue.SETTINGS_REFUSED, error=str(error)[:300])
                continue
            for seed in settings.seeds:
                self._peers.add_host(seed)
            self._log.write(catalogue.SETTINGS_RELOADED, seeds=len(settings.seeds))

    async def _leave(self) -> None:
        """Planned stop: no longer ready, hand jobs over, finish what is in hand, go."""
        began_at = self._clock()
        until = began_at + self._settings.grace_s - STOP_MARGIN_S
        self._log.write(catalogue.SERVING_STOPPING, serving=self._clients.serving_count)
        self.is_leaving = True
        self._peers.is_leaving = True
        self._clients.is_stopping = True
        handing_over = await curio.spawn(self._ownership.hand_over)
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
            and bool(self._directory.all())
        )

    async def _answer_ready(self, request: ClientRequest, reply: Reply) -> None:
        is_asked = self._adapter.is_ready_call(request.target)
        status = 404 if not is_asked else 200 if self.is_ready else 503
        await reply.respond(status, [], b"")

    async def _answer_metrics(self, request: ClientRequest, reply: Reply) -> None:
        metrics = self._metrics
        now = self._clock()
        metrics.gauge("cloverwalk_configuration_version", "In force", self._configuration.version)
        age_s = min(1e6, now - self._directory.confirmed_at)
        metrics.gauge("cloverwalk_replica_list_age_seconds", "Since confirmed", age_s)
        metrics.gauge("cloverwalk_log_lines_dropped", "Left out", self._log.lines_dropped)
        metrics.gauge("cloverwalk_replica_connections_opened", "Opened", self._pool.opened)
        metrics.gauge("cloverwalk_jobs_owned", "Jobs run here", len(self._runner.jobs))
        metrics.gauge("cloverwalk_client_connections", "Open", self._clients.connection_count)
        content_type = (b"Content-Type", b"text/plain; version=0.0.4")
        await reply.respond(200, [content_type], metrics.render())

    def _on_refused(self, error: GatewayError) -> None:
        self._log.write(catalogue.CALL_REFUSED, status=error.status, code=error.code)

    def _limits(self) -> ClientLimits:
        current = self._configuration.current
        return ClientLimits() if current is None else current.limits

    # --- what the store says ---

    async def _on_members(self, page: RowPage) -> None:
        for member in self._members.take(page):
            self._peers.add_host(member.host, member.zone)

    async def _on_jobs(self, page: RowPage) -> None:
        self._knowledge.note_clock(page)
        await self._view.take(page)

    # --- lease and batch ---

    async def _renew_loop(self) -> None:
        had_lease = True
        while not self.is_leaving:
            has_lease = await self._renewal.renew() or self._renewal.is_valid()
            if has_lease != had_lease:
                number = catalogue.MEMBER_LEASE_BACK if has_lease else catalogue.MEMBER_LEASE_LOST
                self._log.write(number, incarnation=self._incarnation)
            had_lease = has_lease
            pause_s = RENEW_EVERY_S * (0.9 + 0.2 * self._random.random())
            await self._health.pause(pause_s * 1000)
        while True:
            await curio.sleep(3600)

    async def _probe_loop(self) -> None:
        """While the store is lost, ask for a small row often: its return must be known at once."""
        while True:
            await self._health.wait_until_lost()
            while self._health.is_lost:
                await self._health.wait_for_hint(PROBE_EVERY_MS)
                await self._probe_store()
            await self._peers.tell_store_returned()

    async def _probe_store(self) -> None:
        name = self._settings.node
        async with curio.ignore_after(PROBE_TIMEOUT_S):
            with contextlib.suppress(StoreError):
                await self._store.read(MEMBER_TABLE, "", name, name + "\x01", 1)

    def _may_start_batch(self) -> bool:
        """With a lease, or while no peer reaches the store either: then nobody takes over."""
        if self._renewal.is_valid():
            return True
        return not self._peers.store_serves_a_peer()

    async def _on_job_taken(self, job: JobRun) -> None:
        if not self.is_leaving and job.job_id not in self._runner.jobs:
            await self._runner.add(job)

    def _on_item_finished(self, job: JobRun) -> None:
        self._lister.note(job)

    async def _on_yield(self, asked: YieldSlots) -> None:
        if asked.is_for_zone:
            await self._runner.give_zone_slots(asked.replica_id, asked.count)
        else:
            await self._runner.give_slots(asked.replica_id, asked.count, asked.hops)

    async def _housekeeping(self) -> None:
        while True:
            await curio.sleep(HOUSEKEEPING_S)
            await self._pool.close_expired()


def run_node(adapter: Adapter) -> None:
    """Run one node until it is stopped."""
    settings = adapter.load_settings()
    node = ServingNode(adapter, settings)
    node.install_signals()
    gc.freeze()
    curio.run(node.run)
