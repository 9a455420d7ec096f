"""A seeded discrete-event simulation of nodes, engines, the platform and the network.

The nodes are the same state machines that the daemon runs. Faults: kills, restarts, pauses,
partitions between zones, outages, slow stores, lost answers, lost and reordered messages.
"""

import heapq
from collections.abc import Callable
from random import Random
from typing import NamedTuple

from msgspec import Struct

from cloverwalk.config.settings import (
    EngineEmulatorSettings,
    NodeSettings,
    PlatformEmulatorSettings,
)
from cloverwalk.core import events as ev
from cloverwalk.core.constants import STORE_TIMEOUT_S, TICK_S
from cloverwalk.core.store_types import (
    CommitReply,
    CommitStatus,
    ObjectReply,
    ReadReply,
)
from cloverwalk.core.types import Machine
from cloverwalk.emulator.engine_model import (
    MODEL_BYTES,
    Emission,
    EngineModel,
    StreamEnd,
)
from cloverwalk.emulator.platform_model import PlatformModel
from cloverwalk.node.node import Node

CUT_DETECTION_DELAY_S = 0.2
LOAD_REPORT_INTERVAL_S = 0.25


class NetworkSettings(Struct, frozen=True):
    """Delays and faults of messages.

    A message takes 0.5 to 1.5 times its delay in seconds, a response to a client exactly
    ``client_s``. ``loss`` is the fraction of the messages between nodes that are lost, and
    ``reorder_s`` the maximum extra delay of the others.
    """

    local_s: float = 0.0003
    between_zones_s: float = 0.001
    client_s: float = 0.004
    platform_s: float = 0.002
    loss: float = 0.0
    reorder_s: float = 0.0


class HttpAnswer(Struct):
    """A response at a simulated client; ``cut``: the connection was closed before its end.

    ``byte_times`` are the times at which parts of a stream arrived.
    """

    status: int = 0
    headers: dict[str, str] = {}
    body: bytes = b""
    cut: bool = False
    byte_times: list[float] = []

    @property
    def retry_after_s(self) -> float:
        """Value of the Retry-After header, 1 without one."""
        return float(self.headers.get("retry-after", "1"))


class _Connection(Struct):
    number: int
    node: str
    answer: HttpAnswer
    on_answer: Callable[[HttpAnswer], None]
    is_answered: bool = False  # the node has sent its answer to the end
    is_done: bool = False  # the client has received the whole answer or a cut


class _ScheduledAction(NamedTuple):
    at: float
    order: int
    action: Callable[[], None]


class SimulatedNode:
    """A node and the state of its process."""

    def __init__(self, settings: NodeSettings, node: Node) -> None:
        self.settings = settings
        self.node = node
        self.alive = True
        self.paused = False
        self.generation = 0  # a kill increases it, which ends the ticks scheduled before
        self.deferred: list[ev.Event] = []  # events that arrived during a pause
        self.stopped = False
        self.tick_scheduled = False


class SimulatedEngine:
    """An engine and its connections."""

    def __init__(self, model: EngineModel, zone: str) -> None:
        self.model = model
        self.zone = zone
        self.alive = True
        self.step_scheduled = False
        self.streams: dict[tuple[str, int], str] = {}  # node by (request id, attempt)
        self.cache_read: dict[str, int] = {}


class Simulation:
    """The simulated fleet. ``now`` is in seconds and starts at 0."""

    def __init__(self, seed: int, network: NetworkSettings | None = None) -> None:
        self.random = Random(seed)
        self.now = 0.0
        self.network = network or NetworkSettings()
        self.nodes: dict[str, SimulatedNode] = {}
        self.engines: dict[str, SimulatedEngine] = {}
        self.platform = PlatformModel(PlatformEmulatorSettings(), Random(seed + 1))
        self.cuts: set[frozenset[str]] = set()  # pairs of partitioned zones
        self.store_cuts: set[str] = set()  # zones that cannot reach the platform
        self.logs: list[tuple[float, str, ev.WriteLog]] = []
        self.on_instruction: Callable[[str, ev.Instruction], None] | None = None
        self._queue: list[_ScheduledAction] = []
        self._scheduled_count = 0
        self._connections: dict[int, _Connection] = {}
        self._connection_count = 0
        self._last_arrival_at: dict[tuple[str, str], float] = {}
        self.introduces_all = True  # a new node exchanges hello messages with all others

    # --- time ---

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Schedule an action at a time, or now if that time has passed."""
        self._scheduled_count += 1
        heapq.heappush(
            self._queue, _ScheduledAction(max(when, self.now), self._scheduled_count, action)
        )

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay."""
        self.at(self.now + delay_s, action)

    def run_until(self, when: float) -> None:
        """Run all actions scheduled until ``when``."""
        while self._queue and self._queue[0].at <= when:
            scheduled = heapq.heappop(self._queue)
            self.now = scheduled.at
            scheduled.action()
        self.now = when

    def run_while(self, condition: Callable[[], bool], limit_s: float) -> bool:
        """Run actions while a condition holds; return False if it still holds at the limit."""
        end = self.now + limit_s
        while condition():
            if not self._queue or self._queue[0].at > end:
                return not condition()
            scheduled = heapq.heappop(self._queue)
            self.now = scheduled.at
            scheduled.action()
        return True

    # --- setup ---

    def add_node(self, settings: NodeSettings) -> SimulatedNode:
        """Add a node; its first tick comes within ``TICK_S``."""
        node = Node(settings, Random(self.random.getrandbits(64)), self.now)
        simulated = SimulatedNode(settings, node)
        self.nodes[settings.node_id] = simulated
        self._schedule_tick(settings.node_id, simulated, simulated.generation)
        if self.introduces_all:
            self._introduce_to_all(settings.node_id)
        return simulated

    def _introduce_to_all(self, node_id: str) -> None:
        # The daemon sends hello to the peers in its settings; a simulated node, to every node.
        for other in self.nodes:
            if other != node_id:
                self.introduce(node_id, other)

    def introduce(self, first: str, second: str) -> None:
        """Send hello messages between two nodes in both directions."""
        self._deliver_hello(first, second)
        self._deliver_hello(second, first)

    def _deliver_hello(self, sender: str, receiver: str) -> None:
        message = self.nodes[sender].node.hello()
        event = ev.PeerReceived(sender, "", message)
        self.after(
            self._random_delay_s(self._base_delay_s(sender, receiver)),
            lambda: self.feed(receiver, event),
        )

    def add_engine(self, settings: EngineEmulatorSettings) -> SimulatedEngine:
        """Add an engine, and its machine to the list of the platform."""
        model = EngineModel(settings, Random(self.random.getrandbits(64)))
        engine = SimulatedEngine(model, settings.zone)
        self.engines[settings.replica_id] = engine
        machine = Machine(settings.replica_id, settings.zone, "", settings.model)
        self.platform.set_machine(machine, self.now)
        self._report_load(settings.replica_id, engine)
        return engine

    # --- nodes ---

    def _schedule_tick(self, node_id: str, simulated: SimulatedNode, generation: int) -> None:
        def tick() -> None:
            if simulated.generation != generation or not simulated.alive:
                return
            if not simulated.paused:
                self.feed(node_id, ev.Tick())
            self.after(TICK_S * self.random.uniform(0.9, 1.1), tick)

        self.after(self.random.uniform(0.0, TICK_S), tick)

    def feed(self, node_id: str, event: ev.Event) -> None:
        """Pass an event to a node and execute its instructions."""
        simulated = self.nodes.get(node_id)
        if simulated is None or not simulated.alive or simulated.stopped:
            return
        if simulated.paused:
            simulated.deferred.append(event)
            return
        for instruction in simulated.node.handle(event, self.now):
            self._execute(node_id, simulated, instruction)

    def kill(self, node_id: str) -> None:
        """Stop a node abruptly, which closes its connections."""
        simulated = self.nodes[node_id]
        simulated.alive = False
        simulated.generation += 1
        self._cut_connections(node_id)
        for engine_id, engine in self.engines.items():
            for key, owner in list(engine.streams.items()):
                if owner == node_id:
                    self.after(
                        self.network.local_s,
                        lambda i=engine_id, k=key: self._connection_closed(i, k),  # type: ignore[misc]
                    )

    def _connection_closed(self, engine_id: str, key: tuple[str, int]) -> None:
        engine = self.engines[engine_id]
        engine.streams.pop(key, None)
        engine.model.cancel(*key)

    def _cut_connections(self, node_id: str, only_unanswered: bool = False) -> None:
        for connection in list(self._connections.values()):
            if connection.node != node_id or connection.is_done:
                continue
            if not (only_unanswered and connection.is_answered):
                self._finish(connection, cut=True)

    def restart(self, node_id: str) -> None:
        """Replace a node by a new one without state."""
        if self.nodes[node_id].alive:
            self.kill(node_id)
        self.add_node(self.nodes.pop(node_id).settings)

    def pause(self, node_id: str) -> None:
        """Pause a node as SIGSTOP does; its connections stay open."""
        self.nodes[node_id].paused = True

    def resume(self, node_id: str) -> None:
        """Resume a paused node and pass it the events deferred during the pause."""
        simulated = self.nodes[node_id]
        simulated.paused = False
        deferred, simulated.deferred = simulated.deferred, []
        for event in deferred:
            self.feed(node_id, event)

    def stop(self, node_id: str) -> None:
        """Request a planned stop, as SIGTERM does."""
        self.feed(node_id, ev.StopRequested())

    # --- instructions ---

    def _execute(self, node_id: str, simulated: SimulatedNode, instruction: ev.Instruction) -> None:
        if self.on_instruction is not None:
            self.on_instruction(node_id, instruction)
        match instruction:
            case ev.SendToPeer():
                self._send_peer(node_id, instruction)
            case ev.StartWork():
                self._start_work(node_id, instruction)
            case ev.StopWork():
                self._stop_work(node_id, instruction)
            case ev.AdoptEngine():
                self._adopt_engine(node_id, instruction)
            case ev.LoadModel():
                self._load_model(node_id, instruction)
            case ev.QueryEngine():
                self._query_engine(node_id, instruction)
            case ev.CommitToStore() | ev.ReadStore() | ev.PutObject() | ev.GetObject():
                self._call_store(node_id, instruction)
            case ev.ListMachines():
                self._list_machines(node_id, instruction.zone)
            case ev.WriteLog():
                self.logs.append((self.now, node_id, instruction))
            case ev.Stopped():
                simulated.stopped = True
                simulated.alive = False
                self._cut_connections(node_id, only_unanswered=True)
            case _:
                self._send_to_client(instruction)

    # --- network ---

    def zone_of(self, name: str) -> str:
        """Return the zone of a node or an engine."""
        if name in self.nodes:
            return self.nodes[name].settings.zone
        return self.engines[name].zone

    def cut(self, first_zone: str, second_zone: str) -> None:
        """Partition two zones from each other."""
        self.cuts.add(frozenset((first_zone, second_zone)))

    def heal(self) -> None:
        """End all partitions."""
        self.cuts.clear()
        self.store_cuts.clear()

    def reaches(self, first: str, second: str) -> bool:
        """Return whether two nodes or engines can exchange messages."""
        return frozenset((self.zone_of(first), self.zone_of(second))) not in self.cuts

    def _base_delay_s(self, first: str, second: str) -> float:
        is_same_zone = self.zone_of(first) == self.zone_of(second)
        return self.network.local_s if is_same_zone else self.network.between_zones_s

    def _random_delay_s(self, delay_s: float) -> float:
        return delay_s * self.random.uniform(0.5, 1.5)

    def _send_peer(self, sender: str, send: ev.SendToPeer) -> None:
        receiver = send.node
        target = self.nodes.get(receiver)
        if (
            target is None
            or not target.alive
            or target.stopped
            or not self.reaches(sender, receiver)
        ):
            event = ev.PeerUnreachable(receiver)
            self.after(CUT_DETECTION_DELAY_S, lambda: self.feed(sender, event))
            return
        if self.network.loss and self.random.random() < self.network.loss:
            return
        delay_s = self._random_delay_s(self._base_delay_s(sender, receiver))
        delay_s += self.random.uniform(0.0, self.network.reorder_s)
        received = ev.PeerReceived(sender, "", send.message)
        self.after(delay_s, lambda: self.feed(receiver, received))

    # --- engines ---

    def _send_to_node_in_order(self, replica: str, node_id: str, event: ev.Event) -> None:
        key = (replica, node_id)
        at = self.now + self._random_delay_s(self._base_delay_s(replica, node_id))
        at = max(at, self._last_arrival_at.get(key, 0.0))
        self._last_arrival_at[key] = at
        self.at(at, lambda: self.feed(node_id, event))

    def _call_engine(
        self, node_id: str, replica: str, call: Callable[[SimulatedEngine], None]
    ) -> bool:
        engine = self.engines.get(replica)
        if engine is None or not engine.alive or not self.reaches(node_id, replica):
            return False
        self.after(
            self._random_delay_s(self._base_delay_s(node_id, replica)),
            lambda: call(engine) if engine.alive else None,
        )
        return True

    def _start_work(self, node_id: str, start: ev.StartWork) -> None:
        work = start.work
        replica = start.replica

        def arrive(engine: SimulatedEngine) -> None:
            reason = engine.model.start(work, start.epoch, self.now)
            if reason is not None:
                event = ev.EngineRefused(replica, work.request_id, work.attempt, reason.value)
                self._send_to_node_in_order(replica, node_id, event)
                return
            engine.streams[(work.request_id, work.attempt)] = node_id
            if not self.nodes[node_id].alive:
                self._connection_closed(replica, (work.request_id, work.attempt))
            self._schedule_step(replica, engine)

        if not self._call_engine(node_id, replica, arrive):
            event = ev.EngineRefused(replica, work.request_id, work.attempt, "unreachable")
            self.after(CUT_DETECTION_DELAY_S, lambda: self.feed(node_id, event))

    def _schedule_step(self, replica: str, engine: SimulatedEngine) -> None:
        if engine.step_scheduled or not engine.alive:
            return
        at = engine.model.next_step_at(self.now)
        if at is None:
            return
        engine.step_scheduled = True

        def step() -> None:
            engine.step_scheduled = False
            if not engine.alive:
                return
            for emission in engine.model.step(self.now):
                self._send_chunk(replica, engine, emission)
            self._schedule_step(replica, engine)

        self.at(at, step)

    def _send_chunk(self, replica: str, engine: SimulatedEngine, emission: Emission) -> None:
        key = (emission.request_id, emission.attempt)
        node_id = engine.streams.get(key)
        if emission.finished:
            engine.streams.pop(key, None)
        if node_id is None:
            return
        if not self.reaches(replica, node_id):
            engine.streams.pop(key, None)
            engine.model.cancel(*key)
            self._report_lost_stream(replica, node_id, key)
            return
        event = ev.EngineChunk(
            replica,
            emission.request_id,
            emission.attempt,
            emission.first,
            emission.tokens,
            emission.text,
            emission.finished,
            emission.step_s,
        )
        self._send_to_node_in_order(replica, node_id, event)

    def _report_lost_stream(self, replica: str, node_id: str, key: tuple[str, int]) -> None:
        event = ev.EngineCut(replica, key[0], key[1], "lost")
        self.after(CUT_DETECTION_DELAY_S, lambda: self.feed(node_id, event))

    def _stop_work(self, node_id: str, stop: ev.StopWork) -> None:
        replica = stop.replica
        key = (stop.request_id, stop.attempt)

        def arrive(engine: SimulatedEngine) -> None:
            end = engine.model.cancel(*key)
            engine.streams.pop(key, None)
            if end is not None:
                self._send_to_node_in_order(replica, node_id, _cut_event(replica, end, "cancelled"))

        self._call_engine(node_id, replica, arrive)

    def _adopt_engine(self, node_id: str, adopt: ev.AdoptEngine) -> None:
        replica = adopt.replica

        def arrive(engine: SimulatedEngine) -> None:
            ended = engine.model.adopt(adopt.epoch)
            for end in ended or []:
                key = (end.request_id, end.attempt)
                owner = engine.streams.pop(key, None)
                if owner is not None:
                    event = _cut_event(replica, end, "aborted")
                    self._send_to_node_in_order(replica, owner, event)
            settings = engine.model.settings
            self._send_to_node_in_order(
                replica,
                node_id,
                ev.EngineAdopted(
                    replica, adopt.epoch, ended is not None, settings.slots, engine.model.model
                ),
            )

        if not self._call_engine(node_id, replica, arrive):
            event = ev.EngineAdopted(replica, adopt.epoch, False)
            self.after(CUT_DETECTION_DELAY_S, lambda: self.feed(node_id, event))

    def _load_model(self, node_id: str, load: ev.LoadModel) -> None:
        def answer(accepted: bool, model: str) -> None:
            event = ev.ModelLoaded(load.replica, load.epoch, accepted, model)
            self._send_to_node_in_order(load.replica, node_id, event)

        def arrive(engine: SimulatedEngine) -> None:
            if not engine.model.begin_load(load.epoch):
                answer(False, engine.model.model)
                return

            def loaded() -> None:
                if not engine.alive:
                    answer(False, "")
                    return
                engine.model.finish_load(load.model)
                answer(True, load.model)

            self.after(self.platform.weight_wait_s(MODEL_BYTES, self.now), loaded)

        if not self._call_engine(node_id, load.replica, arrive):
            event = ev.ModelLoaded(load.replica, load.epoch, False, "")
            self.after(CUT_DETECTION_DELAY_S, lambda: self.feed(node_id, event))

    def _query_engine(self, node_id: str, query: ev.QueryEngine) -> None:
        replica = query.replica

        def answer(state: str, text: str = "", tokens: int = 0) -> ev.EngineStatus:
            return ev.EngineStatus(replica, query.request_id, query.token, state, text, tokens)

        def arrive(engine: SimulatedEngine) -> None:
            status = engine.model.status(query.request_id)
            event = answer(status.state, status.text, status.tokens)
            self._send_to_node_in_order(replica, node_id, event)

        if not self._call_engine(node_id, replica, arrive):
            self.after(CUT_DETECTION_DELAY_S, lambda: self.feed(node_id, answer("unreachable")))

    def _report_load(self, replica: str, engine: SimulatedEngine) -> None:
        def report() -> None:
            if not engine.alive:
                return
            load = engine.model.load(self.now)
            event = ev.EngineLoad(replica, load.running, load.step_s, load.leaving)
            for node_id, simulated in self.nodes.items():
                if replica in simulated.node.replicas.owned and self.reaches(replica, node_id):
                    self._send_to_node_in_order(replica, node_id, event)
            self.after(LOAD_REPORT_INTERVAL_S, report)

        self.after(LOAD_REPORT_INTERVAL_S, report)

    def kill_engine(self, replica: str) -> None:
        """Stop an engine abruptly, which loses its streams."""
        engine = self.engines[replica]
        engine.alive = False
        for key, node_id in engine.streams.items():
            self._report_lost_stream(replica, node_id, key)
        engine.streams.clear()

    def restart_engine(self, replica: str) -> None:
        """Replace an engine by a new one that keeps only the start log."""
        previous = self.engines[replica]
        model = EngineModel(previous.model.settings, Random(self.random.getrandbits(64)))
        model.starts = previous.model.starts
        engine = SimulatedEngine(model, previous.zone)
        self.engines[replica] = engine
        self._report_load(replica, engine)

    # --- platform ---

    def _call_store(
        self,
        node_id: str,
        call: ev.CommitToStore | ev.ReadStore | ev.PutObject | ev.GetObject,
    ) -> None:
        is_reachable = self.zone_of(node_id) not in self.store_cuts
        delay_s = self._random_delay_s(self.network.platform_s)

        def arrive() -> None:
            faults = self.platform.faults
            if not is_reachable or not self.platform.admits(self.now):
                self.after(delay_s, lambda: self.feed(node_id, _store_failure(call, False)))
                return
            answer = self._apply_store_call(call)
            if self.platform.loses_answer() or faults.slow_s > STORE_TIMEOUT_S:
                event = _store_failure(call, True)
                self.after(STORE_TIMEOUT_S, lambda: self.feed(node_id, event))
                return
            self.after(delay_s + faults.slow_s, lambda: self.feed(node_id, answer))

        self.after(delay_s, arrive)

    def _apply_store_call(
        self, call: ev.CommitToStore | ev.ReadStore | ev.PutObject | ev.GetObject
    ) -> ev.Event:
        platform = self.platform
        match call:
            case ev.CommitToStore():
                return ev.StoreCommitted(call.op_id, platform.commit(call.transaction))
            case ev.ReadStore():
                return ev.StoreRead(call.op_id, platform.read(call.prefix, call.exact))
            case ev.PutObject():
                return ev.ObjectDone(call.op_id, platform.put_object(call.name, call.body))
            case ev.GetObject():
                return ev.ObjectDone(call.op_id, platform.get_object(call.name))

    def _list_machines(self, node_id: str, zone: str) -> None:
        down = self.platform.faults.down or self.zone_of(node_id) in self.store_cuts
        machines = None if down else self.platform.machines(self.now, zone)
        event = ev.MachinesListed(zone, machines)
        self.after(
            self._random_delay_s(2 * self.network.platform_s), lambda: self.feed(node_id, event)
        )

    # --- clients ---

    def request(
        self,
        node_id: str,
        method: str,
        path: str,
        on_answer: Callable[[HttpAnswer], None],
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        query: dict[str, str] | None = None,
    ) -> None:
        """Send a client's HTTP request; ``on_answer`` gets the complete answer or a cut one."""
        self._connection_count += 1
        number = self._connection_count
        answer = HttpAnswer(byte_times=[])
        connection = _Connection(number, node_id, answer, on_answer)
        self._connections[number] = connection
        request = ev.HttpRequest(number, method, path, query or {}, headers or {}, body)

        def arrive() -> None:
            simulated = self.nodes.get(node_id)
            if connection.is_done:
                return
            if simulated is None or not simulated.alive or simulated.stopped:
                self._finish(connection, cut=True)
                return
            self.feed(node_id, ev.ClientRequest(request))

        self.after(self._random_delay_s(self.network.client_s), arrive)

    def _send_to_client(self, instruction: ev.Instruction) -> None:
        if not isinstance(
            instruction, ev.SendReply | ev.BeginStream | ev.StreamData | ev.EndStream
        ):
            return
        connection = self._connections.get(instruction.connection)
        if connection is None or connection.is_done:
            return
        if isinstance(instruction, ev.SendReply | ev.EndStream):
            connection.is_answered = True
        delay_s = self.network.client_s
        self.after(delay_s, lambda: self._client_receives(connection, instruction))

    def _client_receives(
        self,
        connection: _Connection,
        instruction: ev.SendReply | ev.BeginStream | ev.StreamData | ev.EndStream,
    ) -> None:
        answer = connection.answer
        if connection.is_done:
            return
        match instruction:
            case ev.SendReply():
                answer.status = instruction.status
                answer.headers = {
                    header.name.lower(): header.value for header in instruction.headers
                }
                answer.body = instruction.body
                self._finish(connection, cut=False)
            case ev.BeginStream():
                answer.status = instruction.status
                answer.headers = {
                    header.name.lower(): header.value for header in instruction.headers
                }
            case ev.StreamData():
                answer.body += instruction.data
                answer.byte_times.append(self.now)
            case ev.EndStream():
                self._finish(connection, cut=not instruction.whole)

    def _finish(self, connection: _Connection, cut: bool) -> None:
        connection.is_done = True
        connection.answer.cut = cut
        self._connections.pop(connection.number, None)
        connection.on_answer(connection.answer)


def _cut_event(replica: str, end: StreamEnd, reason: str) -> ev.EngineCut:
    return ev.EngineCut(replica, end.request_id, end.attempt, reason, end.text, end.tokens)


def _store_failure(
    call: ev.CommitToStore | ev.ReadStore | ev.PutObject | ev.GetObject, may_be_applied: bool
) -> ev.Event:
    match call:
        case ev.CommitToStore():
            status = CommitStatus.UNKNOWN if may_be_applied else CommitStatus.UNAVAILABLE
            return ev.StoreCommitted(call.op_id, CommitReply(status))
        case ev.ReadStore():
            return ev.StoreRead(call.op_id, ReadReply(available=False))
        case _:
            return ev.ObjectDone(call.op_id, ObjectReply(found=None))
