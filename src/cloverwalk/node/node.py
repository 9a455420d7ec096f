"""One node as a state machine: ``handle(event, now)`` returns instructions.

It wires the roles together and holds no decision of its own beyond start and stop.
States: starting (no table yet) > serving > leaving (planned stop) > stopped.
"""

from random import Random

from msgspec import json

from cloverwalk.config.settings import NodeSettings
from cloverwalk.control.batch_puller import BatchPuller
from cloverwalk.control.cancel_coordinator import CancelCoordinator
from cloverwalk.control.context import Context
from cloverwalk.control.gossip import GossipRole
from cloverwalk.control.job_owner import JobOwner, shard_of
from cloverwalk.control.leases import LIVENESS_PREFIX, LeaseKeeper, LeaseListener
from cloverwalk.control.machine_directory import MachineDirectory
from cloverwalk.control.model_placer import ModelPlacer
from cloverwalk.control.outage import OutageView
from cloverwalk.control.replica_owner import ReplicaOwner
from cloverwalk.control.results import ResultStore
from cloverwalk.control.sessions import SessionDirectory
from cloverwalk.control.store_port import StorePort
from cloverwalk.control.table_sync import TableSync
from cloverwalk.core import catalogue
from cloverwalk.core import events as ev
from cloverwalk.core import peer_messages as pm
from cloverwalk.core.membership import NodeDigest
from cloverwalk.core.store_types import ReadReply
from cloverwalk.core.types import LivenessRow, Result
from cloverwalk.pipeline.admission import IdentifyFilter, SessionFilter
from cloverwalk.pipeline.batches import BatchCalls
from cloverwalk.pipeline.claim import ClaimFilter
from cloverwalk.pipeline.dispatch import DispatchFilter
from cloverwalk.pipeline.join import JoinFilter
from cloverwalk.pipeline.limits import LimitFilter
from cloverwalk.pipeline.operators import OperatorCalls
from cloverwalk.pipeline.parse import parse_online
from cloverwalk.pipeline.problem import PipelineError, json_reply, problem_reply, unavailable
from cloverwalk.pipeline.reply import (
    RecordFilter,
    ReplyFilter,
    completion_of,
    result_problem,
)
from cloverwalk.pipeline.request import OnlineRequest
from cloverwalk.pipeline.router import Route, Router

RECORDED_ANSWERS = "/v1/requests/"
OPERATOR_PATHS = ("/healthz", "/readyz", "/metrics", "/v1/fleet")


def _is_answered_while_starting(path: str) -> bool:
    """Whether a call needs no weight table: operators' calls, and reads of recorded answers."""
    return path in OPERATOR_PATHS or path.startswith(RECORDED_ANSWERS)


class Node:
    """All roles of one node."""

    def __init__(
        self,
        settings: NodeSettings,
        random: Random,
        now: float,
        wall_offset_s: float = 0.0,
    ) -> None:
        context = Context(settings, random, now, wall_offset_s)
        self.context = context
        self._started = False
        self._stopped = False
        self._stop_began_at = 0.0
        self.store = StorePort(context)
        self.outage = OutageView(context, self.store)
        self.leases = LeaseKeeper(context, self.store, self.outage)
        self.table = TableSync(context, self.store, self.outage)
        self.sessions = SessionDirectory(context, self.store)
        self.results = ResultStore(context, self.store)
        self.puller = BatchPuller(context, lambda: self.jobs.demand())
        self.replicas = ReplicaOwner(
            context, self.leases, self.table, self.puller, self._shard_owner
        )
        self.machines = MachineDirectory(
            context, self._zone_owners, self.replicas.note_leaving, self.replicas.note_returned
        )
        self.gossip = GossipRole(context, self._own_digest, self._on_digest, self._on_node_lost)
        self.cancels = CancelCoordinator(context, self.machines)
        self.jobs = JobOwner(context, self.store, self.leases, self.cancels, self._announce)
        self.leases.listen(
            "replica",
            LeaseListener(self.replicas.on_held, self.replicas.on_lost, self.replicas.on_drain),
        )
        self.leases.listen(
            "shard", LeaseListener(self.jobs.on_held, self.jobs.on_lost, self.jobs.on_drain)
        )
        self.placer = ModelPlacer(context, self.machines)
        self.leases.listen(
            "models",
            LeaseListener(self.placer.on_held, self.placer.on_lost, self._on_placer_drain),
        )
        self._build_pipeline()
        self.router = Router(self._routes())

    def _build_pipeline(self) -> None:
        context = self.context
        self.reply = ReplyFilter(context, self._on_request_ended)
        answer, give_up = self.reply.answer, self.reply.give_up
        record = RecordFilter(self.results, answer, give_up)
        own_reports = self.replicas.reports
        self.claims = ClaimFilter(context, self.store, self.results, own_reports, answer, give_up)
        self.dispatch = DispatchFilter(
            context,
            self.claims,
            own_reports,
            lambda replica: replica in self.replicas.leaving_replicas,
            self.reply.text,
            record,
            give_up,
        )
        self.join = JoinFilter(context, self.results, self.dispatch, answer, give_up)
        self.limits = LimitFilter(context, self.join, give_up)
        session = SessionFilter(self.sessions, self.limits, give_up)
        self.identify = IdentifyFilter(context, session)
        self.batches = BatchCalls(context, self.store, self.sessions, self._shard_owner)
        self.operators = OperatorCalls(context, self.store, self.table, self.sessions)

    def _routes(self) -> list[Route]:
        operators, batches = self.operators, self.batches
        return [
            Route("POST", "/v1/chat/completions", self._online),
            Route("GET", "/v1/requests/{id}", self._show_result),
            Route("POST", "/v1/batches", lambda request, _: batches.submit(request)),
            Route("GET", "/v1/batches/{id}", lambda r, job: batches.status(r.connection, job)),
            Route(
                "GET",
                "/v1/batches/{id}/results",
                lambda r, job: batches.results(r.connection, job),
            ),
            Route(
                "POST", "/v1/batches/{id}/cancel", lambda r, job: batches.cancel(r.connection, job)
            ),
            Route("POST", "/v1/sessions", lambda request, _: operators.open_session(request)),
            Route("GET", "/v1/sessions", lambda request, _: operators.list_sessions(request)),
            Route("DELETE", "/v1/sessions/{id}", operators.close_session),
            Route("GET", "/v1/table", lambda request, _: operators.show_table(request)),
            Route("PUT", "/v1/table", lambda request, _: operators.put_table(request)),
            Route("PATCH", "/v1/table", lambda request, _: operators.patch_table(request)),
            Route("GET", "/v1/table/history", lambda r, _: operators.table_history(r)),
            Route("GET", "/v1/fleet", self._show_fleet),
            Route("GET", "/healthz", self._health),
            Route("GET", "/readyz", self._ready),
            Route("GET", "/metrics", self._metrics),
        ]

    # --- the one way in ---

    def handle(self, event: ev.Event, now: float) -> list[ev.Instruction]:
        """Take an event; return what is to be done about it."""
        context = self.context
        context.now = now
        self.leases.watch()
        self._route(event)
        while context.loopback:
            message = context.loopback.pop(0)
            self._on_peer(context.node_id, message)
        return self.take_outbox()

    def take_outbox(self) -> list[ev.Instruction]:
        """Return the instructions made so far; only needed after a fault in ``handle``."""
        out = self.context.outbox
        self.context.outbox = []
        return out

    def _route(self, event: ev.Event) -> None:
        match event:
            case ev.ClientRequest():
                self._on_client(event.request)
            case ev.ClientGone():
                self.reply.client_gone(event.connection)
            case ev.PeerReceived():
                if event.address:
                    self.context.note_address(event.sender, event.address)
                self._on_peer(event.sender, event.message)
            case ev.PeerUnreachable():
                self._on_node_lost(event.node)
            case ev.EngineChunk():
                self.replicas.on_chunk(event)
            case ev.EngineRefused():
                self.replicas.on_refused(event)
            case ev.EngineCut():
                self.replicas.on_cut(event)
            case ev.EngineStatus():
                self.replicas.on_status(event)
            case ev.EngineAdopted():
                self.replicas.on_adopted(event)
            case ev.ModelLoaded():
                self.replicas.on_model_loaded(event)
            case ev.CacheChanged():
                self.dispatch.prefixes.apply(
                    event.replica, event.number, event.added, event.removed
                )
            case ev.EngineLoad():
                self.replicas.on_load(event)
            case ev.StoreCommitted() | ev.StoreRead() | ev.ObjectDone():
                self.store.on_reply(event)
            case ev.MachinesListed():
                self.machines.on_listed(event)
            case ev.Tick():
                self._tick()
            case ev.StopRequested():
                self._begin_stop()

    # --- time ---

    def _tick(self) -> None:
        context = self.context
        if self._stopped:
            return
        self.machines.tick()
        self.store.tick()
        self.table.tick()
        if not self._started:
            self._try_start()
        self.gossip.tick()
        if self._started:
            self.leases.tick(self._wanted(), self._covered())
        self.jobs.tick()
        self.replicas.tick()
        self.placer.tick(self._all_digests)
        self.results.tick()
        self.join.tick()
        self.claims.tick()
        self.dispatch.tick()
        self.limits.tick()
        self.batches.tick()
        if context.leaving:
            self._continue_stop()

    def _try_start(self) -> None:
        if not self.table.is_loaded:
            return
        if not self.sessions.is_loaded:
            self.sessions.load()
        self._started = True
        self.store.read(LIVENESS_PREFIX, self._on_nodes_read)
        self.context.log(
            catalogue.NODE_STARTED, zone=self.context.zone, table=self.context.table.version
        )

    def _on_nodes_read(self, reply: ReadReply) -> None:
        self.gossip.greet([json.decode(row.value, type=LivenessRow) for row in reply.rows])

    # --- who owns what ---

    def _zone_owners(self, zone: str) -> list[str]:
        """Return who may own a zone's resources: its own nodes, or all when it has none."""
        return self.context.live_node_names(zone) or self.context.live_node_names()

    def _wanted(self) -> dict[str, list[str]]:
        """Return what this node may have to own, with who else may.

        That is its own zone's resources, those of zones without a live node, and what it
        holds, which may be due to go back.
        """
        wanted: dict[str, list[str]] = {}
        for zone in sorted(self._zones_to_mind()):
            owners = self._zone_owners(zone)
            for machine in self.machines.zone_machines(zone):
                wanted[f"replica/{machine.machine_id}"] = owners
            wanted[f"models/{zone}"] = owners
            for number in range(self.context.settings.lease.shards_per_zone):
                wanted[f"shard/{zone}/{number}"] = owners
        return wanted

    def _zones_to_mind(self) -> set[str]:
        context = self.context
        with_nodes = {digest.zone for digest in context.membership.live(context.now)}
        known = {digest.zone for digest in context.membership.known()}
        known |= self.machines.zone_names()
        orphaned = known - with_nodes
        for zone in orphaned - {context.zone}:
            self.machines.keep_zone(zone)
        held = {self._zone_of(lease.resource) for lease in self.leases.held("")}
        return {context.zone} | orphaned | held

    def _zone_of(self, resource: str) -> str:
        kind, name, *_ = resource.split("/")
        if kind in ("shard", "models"):
            return name
        machine = self.machines.find(name)
        return machine.zone if machine else self.context.zone

    def _on_placer_drain(self, resource: str) -> None:
        self.placer.on_lost(resource)
        self.leases.release(resource)

    def _covered(self) -> set[str]:
        covered: set[str] = set()
        for digest in self.context.membership.live(self.context.now):
            covered.update(digest.shards)
            covered.update(f"replica/{report.replica}" for report in digest.replicas)
        return covered

    def _shard_owner(self, job_id: str) -> str | None:
        shard = shard_of(job_id)
        if shard in self.jobs.shards:
            return self.context.node_id
        for digest in self.context.membership.live(self.context.now):
            if shard in digest.shards:
                return digest.node
        return None

    # --- gossip ---

    def _own_digest(self, beat: int) -> NodeDigest:
        context = self.context
        return NodeDigest(
            context.node_id,
            context.zone,
            context.address,
            context.incarnation,
            context.started_at,
            beat,
            context.leaving,
            context.table.version,
            round(min(self.store.contact_age_s, 1e9), 2),
            self.replicas.reports(),
            self.jobs.shards,
            self.jobs.demand(),
            self.limits.rates(),
            self.dispatch.unserved(),
        )

    def _all_digests(self) -> list[NodeDigest]:
        live = self.context.membership.live(self.context.now)
        return [self._own_digest(0), *live]

    def _announce(self) -> None:
        self.gossip.announce()
        self.replicas.demand_changed()

    def _on_digest(self, digest: NodeDigest) -> None:
        self.table.on_digest(digest)
        if digest.demand:
            self.replicas.demand_changed()

    def _on_node_lost(self, node: str) -> None:
        self.dispatch.on_node_lost(node)
        self.join.on_node_lost(node)
        self.jobs.on_node_lost(node)

    def hello(self) -> pm.Gossip:
        """Return a round of gossip for a peer that does not know this node yet."""
        return self.gossip.hello()

    # --- callers ---

    def _on_client(self, request: ev.HttpRequest) -> None:
        try:
            handler, path_id = self.router.find(request)
            if not _is_answered_while_starting(request.path):
                self._check_serving()
            handler(request, path_id)
        except PipelineError as error:
            self.context.metrics.refused.labels(error.code).inc()
            self.context.emit(problem_reply(request.connection, error))

    def _check_serving(self) -> None:
        if self.context.leaving:
            detail = "this node is stopping; ask another"
            raise PipelineError(503, "node_leaving", detail, retry_after_s=1)
        if not self._started:
            detail = "this node has not read the weight table yet"
            raise PipelineError(503, "node_starting", detail, retry_after_s=1)

    def _online(self, request: ev.HttpRequest, _: str) -> None:
        settings = self.context.settings
        if len(request.body) > settings.http.max_online_body_bytes:
            message = f"more than {settings.http.max_online_body_bytes} bytes"
            raise PipelineError(413, "too_large", message, "body")
        call = parse_online(request, settings.online.max_deadline_s)
        self.reply.opened(self.identify.accept_call(request.connection, call))

    def _show_result(self, request: ev.HttpRequest, request_id: str) -> None:
        def was_read(result: Result | None, is_certain: bool) -> None:
            if result is None:
                error = unavailable()
                if is_certain:
                    detail = f"no result of request {request_id} is recorded"
                    error = PipelineError(404, "unknown_request", detail, "id")
                self.context.emit(problem_reply(request.connection, error))
                return
            problem = result_problem(result)
            if problem is not None:
                self.context.emit(problem_reply(request.connection, problem, request_id))
                return
            self.context.emit(json_reply(request.connection, 200, completion_of(result)))

        self.results.read(request_id, was_read)

    def _on_request_ended(self, request: OnlineRequest, result: Result | None) -> None:
        self.join.ended(request, result)

    def _show_fleet(self, request: ev.HttpRequest, _: str) -> None:
        own = self._own_digest(0)
        self.operators.show_fleet(request, own, self.results.held_count)

    def _health(self, request: ev.HttpRequest, _: str) -> None:
        self.context.emit(json_reply(request.connection, 200, {"status": "ok"}))

    def _ready(self, request: ev.HttpRequest, _: str) -> None:
        is_ready = self._started and not self.context.leaving
        body = {"ready": is_ready, "stale": self.table.is_stale}
        self.context.emit(json_reply(request.connection, 200 if is_ready else 503, body))

    def _metrics(self, request: ev.HttpRequest, _: str) -> None:
        body = self.context.metrics.exposition()
        headers = [ev.Header("Content-Type", "text/plain; version=0.0.4")]
        self.context.emit(ev.SendReply(request.connection, 200, headers, body))

    # --- peers ---

    def _on_peer(self, sender: str, message: pm.PeerMessage) -> None:
        match message:
            case pm.Gossip():
                self.gossip.on_gossip(message)
            case pm.Offer():
                self.replicas.on_offer(sender, message)
            case pm.OfferRefused():
                self.dispatch.on_refused(message)
            case pm.ChunkMessage():
                self.dispatch.on_chunk(message)
            case pm.AttemptLost():
                self.dispatch.on_lost(message)
            case pm.CancelWork():
                self.replicas.on_cancel(message)
            case pm.Join():
                self.join.on_join(sender, message)
            case pm.JoinReply():
                self.join.on_join_reply(message)
            case pm.RunFinished():
                self.join.on_run_finished(message)
            case pm.QueryWork():
                self.replicas.on_query(sender, message)
            case pm.WorkStatus():
                self.claims.on_status(message)
            case pm.QueryHolder():
                in_flight = self.dispatch.has(message.request_id)
                self.claims.on_query_holder(sender, message, in_flight)
            case pm.HolderStatus():
                self.claims.on_holder_status(message)
            case pm.ChangeModel():
                self.replicas.on_change_model(sender, message)
            case pm.ModelChanged():
                self.placer.on_changed(message)
            case pm.MachinesPush():
                self.machines.on_push(message)
            case pm.LeavingNotice():
                self.replicas.note_leaving(message.replica)
            case pm.LeaseReleased():
                self.context.membership.note_release(sender, message.resource)
                self.leases.on_released_by_peer(message.resource)
            case pm.TablePush():
                self.table.on_push(message)
            case pm.TablePatch():
                self.table.on_patch(sender, message)
            case pm.TableFetch():
                self.table.on_fetch(sender)
            case pm.SessionPush():
                self.sessions.on_push(message)
            case _:
                self._on_batch_or_hold(sender, message)

    def _on_batch_or_hold(self, sender: str, message: pm.PeerMessage) -> None:
        match message:
            case pm.JobChanged():
                self.jobs.on_job_changed(message)
            case pm.Pull():
                self.jobs.on_pull(sender, message)
            case pm.PullReply():
                self.replicas.on_pull_reply(sender, message)
            case pm.ItemDone():
                self.jobs.on_item_done(message)
            case pm.ItemReturned():
                self.jobs.on_item_returned(sender, message)
            case pm.ItemsHeld():
                self.jobs.on_items_held(sender, message)
            case pm.CancelJob():
                self.replicas.on_cancel_job(message)
            case pm.CancelJobAck():
                self.cancels.on_ack(message)
            case pm.JobCancelRequest():
                self.jobs.on_cancel_request(sender, message)
            case pm.JobCancelReply():
                self.batches.on_cancel_reply(message)
            case pm.HoldResult():
                self.results.on_hold(sender, message)
            case pm.HoldAck():
                self.results.on_hold_ack(message)
            case pm.HoldDrained():
                self.results.on_drained(message)
            case pm.FetchHeld():
                self.results.on_fetch(sender, message)
            case pm.FetchHeldReply():
                self.results.on_fetch_reply(message)

    # --- planned stop ---

    def _begin_stop(self) -> None:
        if self.context.leaving:
            return
        self.context.leaving = True
        self._stop_began_at = self.context.now
        self.context.log(catalogue.NODE_STOPPING)
        self.gossip.announce()
        for lease in self.leases.held(""):
            self.leases.drain(lease.resource)

    def _continue_stop(self) -> None:
        overdue = self.context.now - self._stop_began_at > self.context.settings.drain_timeout_s
        for lease in self.leases.held(""):
            self.leases.drain(lease.resource)
        is_idle = (
            self.replicas.is_idle
            and self.jobs.is_idle
            and self.leases.count == 0
            and self.reply.open_count == 0
            and self.batches.open_count == 0
            and (self.results.held_count == 0 or self.store.is_down)
        )
        if not (is_idle or overdue) or self._stopped:
            return
        self._stopped = True
        self.leases.deregister(self._finish_stop)

    def _finish_stop(self) -> None:
        self.context.log(catalogue.NODE_STOPPED)
        self.context.emit(ev.Stopped())
