"""A release in every order of events: real classes, and a store and messages that a test delays.

Each node has the classes that decide at which software version a stream begins and goes on.
Stand-ins are only the roles (any node may believe that it coordinates), the store and the network.
"""

import os
from collections.abc import Awaitable, Callable
from random import Random
from typing import Any

import attrs
import curio

from cloverwalk.emulator.memory_store import MemoryStore
from cloverwalk.fleet.identity import Identity
from cloverwalk.fleet.messages import (
    Contact,
    Datagram,
    Placement,
    PlacementRequest,
    StreamVersionQuery,
    StreamVersions,
)
from cloverwalk.fleet.stream_version_store import StreamVersionStore
from cloverwalk.fleet.stream_version_sync import StreamVersionSync
from cloverwalk.fleet.version_registry import VersionRegistry
from cloverwalk.gateway.configuration import (
    ClientLimits,
    Configuration,
    ConfigurationHolder,
    Route,
    RouteKind,
    RoutePart,
)
from cloverwalk.gateway.draining_replicas import DrainingReplicas
from cloverwalk.gateway.errors import GatewayError, ReplicaError
from cloverwalk.gateway.messages import ClientRequest, RequestFields
from cloverwalk.gateway.progress import RequestProgress
from cloverwalk.gateway.registered_versions import RegisteredVersions
from cloverwalk.gateway.replicas import Replica, ReplicaDirectory
from cloverwalk.gateway.resumption_gate import ResumptionGate
from cloverwalk.gateway.software_versions import SoftwareVersions
from cloverwalk.gateway.stream_versions import StreamVersionTable
from cloverwalk.scheduling.admission import PlacementVerdict
from cloverwalk.scheduling.resumptions import Resumptions
from cloverwalk.store.clock import StoreTime
from cloverwalk.store.types import CommitOutcome, CommitStatus, RowPage, StoreError, Transaction
from cloverwalk.telemetry.log import ServingLog
from cloverwalk.telemetry.metrics import ServingMetrics

NODES = 3
ROUTE = Route(
    "chat",
    "h",
    "/",
    RouteKind.STREAM,
    (RoutePart("model", 1.0),),
    30.0,
    0.3,
    2,
    is_resumable=True,
)
LOG = os.open(os.devnull, os.O_WRONLY)


@attrs.define
class Attempt:
    """A request that a node has sent to a replica, before the first event."""

    node: "ModelNode"
    request: ClientRequest
    progress: RequestProgress
    replica: Replica


class CutStore:
    """The store as one node reaches it."""

    def __init__(self, store: MemoryStore) -> None:
        self._store = store
        self.is_cut = False

    async def read_table(self, table: str) -> RowPage:
        if self.is_cut:
            raise StoreError("cut off", "store_silent")
        return await self._store.read_table(table)

    async def commit(self, transaction: Transaction, timeout_s: float) -> CommitOutcome:
        if self.is_cut:
            return CommitOutcome(CommitStatus.NOT_DONE)
        return await self._store.commit(transaction, timeout_s)


class ExactStoreClock:
    """Tells the time of the store exactly."""

    def __init__(self, model: "ReleaseModel") -> None:
        self._model = model

    def now(self) -> StoreTime:
        return StoreTime(self._model.now * 1000, self._model.now * 1000)


class Roles:
    """Whether a node believes that it coordinates, and whom it takes for keepers of records."""

    def __init__(self, node: "ModelNode") -> None:
        self._node = node
        self.is_active = False

    @property
    def registry(self) -> "Roles":
        return self

    def live(self) -> list[Any]:
        @attrs.frozen
        class Entry:
            contact: Contact

        return [Entry(contact) for contact in self._all()] if self.is_active else []

    def contacts(self) -> list[Contact]:
        """Return the nodes that keep records: two, of which one may not answer."""
        return self._all()[:2]

    def _all(self) -> list[Contact]:
        return [Contact(node.name, node.name) for node in self._node.model.nodes]

    async def backoff(self, delay_ms: float) -> None:
        return


class ModelNode:
    """One process."""

    def __init__(self, model: "ReleaseModel", number: int, clock_rate: float) -> None:
        self.model = model
        self.name = f"n{number}"
        self.is_cut = False
        self.is_frozen = False
        roles: Any = Roles(self)
        self.roles = roles
        clock = lambda: model.now * clock_rate  # noqa: E731
        log = ServingLog(self.name, clock, LOG)
        self.directory = ReplicaDirectory()
        self.versions = SoftwareVersions(self.directory, clock)
        self.registered = RegisteredVersions()
        self.streams = StreamVersionTable(clock)
        draining = DrainingReplicas(self.directory, clock)
        identity = Identity(self.name, "0a", self.name, "z1")
        self.resumptions = Resumptions(
            self.directory, model.configuration, self.streams, draining, self.registered
        )
        self.sync = StreamVersionSync(
            identity, roles, roles, self, self.versions, self.streams, clock
        )
        store: Any = CutStore(model.store)
        store_clock: Any = ExactStoreClock(model)
        self.store = store
        self.stored_streams = StreamVersionStore(
            self.sync, roles, store, roles, store_clock, identity.incarnation, log, clock
        )
        self.register = VersionRegistry(
            self.versions,
            self.registered,
            roles,
            store,
            roles,
            store_clock,
            log,
            clock,
            Random(number),
        )
        self.gate = ResumptionGate(
            self.directory,
            draining,
            self.streams,
            self.sync,
            self.registered,
            self.register,
            log,
            ServingMetrics(),
            clock,
        )

    def send(self, host: str, message: Datagram) -> None:
        """Send a message; part of the interface of a transport."""
        if not self.is_cut:
            self.model.in_transit.append((self.name, host, message))

    def read_list(self) -> None:
        """Read the replica list, if this node can."""
        if not self.is_cut and not self.is_frozen and not self.store.is_cut:
            listed = list(self.model.listed.values())
            self.directory.replace(listed, self.model.version)

    async def update(self) -> None:
        """Let the background tasks run once."""
        if not self.is_frozen:
            await self.register.update()
            await self.stored_streams.update()


class ReleaseModel:
    """A fleet, its store and the replicas that serve."""

    def __init__(self, clock_rates: tuple[float, ...]) -> None:
        self.now = 1000.0
        self.version = 1
        self.store = MemoryStore()
        self.in_transit: list[tuple[str, str, Datagram]] = []
        self.listed: dict[str, Replica] = {}
        self.configuration = ConfigurationHolder()
        self.configuration.update_if_newer(Configuration(1, (ROUTE,), {}, ClientLimits(), None))
        self._rates = clock_rates
        self.nodes: list[ModelNode] = []
        self.nodes += [ModelNode(self, number, clock_rates[number]) for number in range(NODES)]
        self.begun: dict[str, str] = {}
        """Version that began each stream, as its replica knows."""

        self.resumed = 0
        self.refused = 0
        self._streams = 0

    # --- replicas ---

    def join(self, version: str, service: str = "model") -> None:
        """Let a replica join."""
        self.version += 1
        name = f"r{self.version}"
        self.listed[name] = Replica(
            name, service, "h", 1, "z1", 8, False, self.version, software_version=version
        )

    def leave(self, version: str) -> None:
        """Let all replicas of a version leave the list; they serve on for a while."""
        self.version += 1
        self.listed = {
            name: replica
            for name, replica in self.listed.items()
            if replica.software_version != version
        }

    # --- messages ---

    async def deliver(self, keep: Callable[[int], bool] = lambda number: True) -> None:
        """Deliver what is in transit, in order, without those that ``keep`` drops.

        What is for a frozen node waits.
        """
        arriving, self.in_transit = self.in_transit, []
        for number, (source, host, message) in enumerate(arriving):
            node = next(node for node in self.nodes if node.name == host)
            if node.is_frozen:
                self.in_transit.append((source, host, message))
            elif not node.is_cut and keep(number):
                await self._handle(node, source, message)

    async def _handle(self, node: ModelNode, source: str, message: Datagram) -> None:
        match message:
            case StreamVersions():
                await node.sync.handle_records(message)
            case StreamVersionQuery():
                node.sync.handle_query(message, source)

    # --- streams ---

    def send(self, node: ModelNode, decider: ModelNode, choice: int) -> Attempt | None:
        """Let a node send a request that begins a stream, placed by ``decider``."""
        self._streams += 1
        stream = f"s{self._streams}"
        request = self.request(stream, "", None)
        progress = RequestProgress(ROUTE, "model", node.gate._clock() + 30.0, None)
        node.gate.begin(request, progress)
        placement_request = PlacementRequest(1, "chat", "model")
        candidates = decider.resumptions.beginnable(placement_request)
        if not candidates:
            return None
        chosen = sorted(candidates, key=lambda replica: -replica.version)[choice % len(candidates)]
        placement = Placement(
            1,
            PlacementVerdict.SEND,
            chosen.replica_id,
            software_version=decider.resumptions.registered_version(chosen),
        )
        replica = node.gate.find(progress, placement)
        if replica is None:
            return None
        try:
            node.gate.check(progress, replica, node.gate._clock())
        except ReplicaError:
            return None
        return Attempt(node, request, progress, replica)

    def begin(self, attempt: Attempt) -> None:
        """Let the first event of an attempt arrive and reach the client."""
        stream = attempt.progress.stream
        attempt.node.gate.record_first_event(attempt.request, attempt.progress)
        self.begun[stream] = attempt.replica.software_version

    async def resume(self, node: ModelNode, decider: ModelNode, stream: str) -> None:
        """Let a client take a stream up at a node; check where it goes on."""
        request = self.request(f"t{self.resumed + self.refused}", stream, 3)
        progress = RequestProgress(ROUTE, "model", node.gate._clock() + 30.0, 3)
        node.gate.begin(request, progress)
        try:
            resolved = await self._resolve(node, decider, request, progress)
        except GatewayError:
            self.refused += 1
            return
        software = resolved.software_version
        assert software == self.begun[stream], (
            f"{stream} began at {self.begun[stream]}, goes on at {software}, "
            f"known by {progress.version_proof or 'placement'}"
        )
        self.resumed += 1

    async def _resolve(
        self,
        node: ModelNode,
        decider: ModelNode,
        request: ClientRequest,
        progress: RequestProgress,
    ) -> PlacementRequest:
        base = PlacementRequest(1, "chat", "model")
        resolved = decider.resumptions.resolve(node.gate.add_software(progress, base))
        if resolved is not None:
            return resolved
        delivery = await curio.spawn(self._deliver_while_asking, daemon=True)
        try:
            await node.gate.ask(request, progress)
        finally:
            await delivery.cancel()
        return node.gate.add_software(progress, base)

    async def _deliver_while_asking(self) -> None:
        while True:
            await curio.sleep(0)
            await self.deliver()

    def request(self, request_id: str, resumes: str, last_event: int | None) -> ClientRequest:
        """Return a client's request."""
        fields = RequestFields(
            request_id, 30.0, last_event_id=last_event, resumed_request_id=resumes
        )
        return ClientRequest("POST", "/x", [], b"", "h", fields, self.now)

    def restart(self, number: int) -> None:
        """Replace a node's process by a new one that knows nothing."""
        name = self.nodes[number].name
        self.in_transit = [sent for sent in self.in_transit if sent[1] != name]
        self.nodes[number] = ModelNode(self, number, self._rates[number])


Step = Callable[[ReleaseModel], Awaitable[None]]
