"""Fleet parts of many nodes with an in-memory store, manual time and manual datagram delivery."""

import os
from collections import Counter
from collections.abc import Callable
from random import Random

from cloverwalk.core.clock import Clock
from cloverwalk.core.warmup_limit import WarmupBounds
from cloverwalk.emulator.memory_store import MemoryStore
from cloverwalk.fleet.coordinator import Coordinator
from cloverwalk.fleet.coordinator_client import CoordinatorClient
from cloverwalk.fleet.crash_record_store import CrashRecordStore
from cloverwalk.fleet.crash_record_sync import CrashRecordSync
from cloverwalk.fleet.election import Election
from cloverwalk.fleet.identity import Identity
from cloverwalk.fleet.in_flight import InFlightTracker
from cloverwalk.fleet.leader import LeaderView
from cloverwalk.fleet.messages import (
    Datagram,
    DirectoryUpdate,
    Orders,
    Report,
    Snapshot,
    StreamVersionQuery,
    StreamVersions,
    decode_datagram,
    encode_datagram,
)
from cloverwalk.fleet.stream_version_sync import StreamVersionSync, history_copy
from cloverwalk.fleet.version_registry import VersionRegistry
from cloverwalk.gateway.configuration import (
    ClientLimits,
    Configuration,
    ConfigurationHolder,
    Route,
    RouteKind,
    RoutePart,
    Service,
)
from cloverwalk.gateway.crash_ledger import CrashLedger
from cloverwalk.gateway.draining_replicas import DrainingReplicas
from cloverwalk.gateway.registered_versions import RegisteredVersions
from cloverwalk.gateway.replicas import Replica, ReplicaDirectory
from cloverwalk.gateway.software_versions import SoftwareVersions
from cloverwalk.gateway.stream_versions import StreamVersionTable
from cloverwalk.gateway.warmup_gate import WarmupGate
from cloverwalk.gateway.warmups import Warmups
from cloverwalk.gateway.zone_drains import ZoneDrains
from cloverwalk.scheduling.features import Features
from cloverwalk.scheduling.quotas import QuotaBounds
from cloverwalk.scheduling.resumptions import Resumptions
from cloverwalk.scheduling.scheduler import Scheduler
from cloverwalk.scheduling.service_times import ServiceTimes
from cloverwalk.store.clock import StoreClock
from cloverwalk.store.health import MonitoredStore, StoreHealth
from cloverwalk.telemetry.log import ServingLog
from cloverwalk.tenants.directory import Tenant

ZONES = ("z1", "z2", "z3")
SEEDS = 3
WARMUP_BOUNDS = WarmupBounds(1.5, 5.0)


class Wire:
    """Carries datagrams, except from and to hosts that are cut off and between zones that are."""

    def __init__(self) -> None:
        self.in_transit: list[tuple[str, str, Datagram]] = []
        self.cut_hosts: set[str] = set()
        """Hosts that neither send nor receive any datagrams."""

        self.cut_zones: set[str] = set()
        """Zones that are cut off from each other zone."""

        self.dropped_kinds: set[type] = set()
        self.sent = 0
        self.placement_requests = 0
        self.bytes_by_kind: Counter[type] = Counter()
        self.longest_datagram_bytes = 0
        self.directory_updates_to_drop = 0
        """Number of the next directory updates to drop."""

    def sender(self, host: str) -> "WireEnd":
        return WireEnd(self, host)

    def carry(self, source: str, host: str, message: Datagram) -> None:
        self.sent += 1
        self.placement_requests += (
            len(message.placement_requests) if isinstance(message, Report) else 0
        )
        if (
            source in self.cut_hosts
            or host in self.cut_hosts
            or type(message) in self.dropped_kinds
        ):
            return
        zones = {_zone_of(source), _zone_of(host)}
        if len(zones) > 1 and zones & self.cut_zones:
            return
        data = encode_datagram(message)
        self.bytes_by_kind[type(message)] += len(data)
        self.longest_datagram_bytes = max(self.longest_datagram_bytes, len(data))
        if self.directory_updates_to_drop and isinstance(message, DirectoryUpdate):
            self.directory_updates_to_drop -= 1
            return
        # Receivers get the message as it is after encoding and decoding.
        self.in_transit.append((source, host, decode_datagram(data)))


def _zone_of(host: str) -> str:
    number = host.removeprefix("h")
    return ZONES[int(number) % len(ZONES)] if number.isdecimal() else ""


class WireEnd:
    """Sends the datagrams of one host."""

    def __init__(self, wire: Wire, host: str) -> None:
        self._wire = wire
        self._host = host

    def send(self, host: str, message: Datagram) -> None:
        self._wire.carry(self._host, host, message)


class FleetNode:
    """The fleet parts of one process."""

    def __init__(
        self, number: int, world: "CoordinationWorld", run: str = "0a", cores: float = 2.0
    ) -> None:
        self.number = number
        self.name = f"n{number:03d}"
        self.host = f"h{number:03d}"
        zone = ZONES[number % len(ZONES)]
        self.identity = Identity(self.name, run, self.host, zone, cores)
        clock: Callable[[], float] = lambda: world.now  # noqa: E731
        log = ServingLog(self.name, clock, os.open(os.devnull, os.O_WRONLY))
        random = Random(number)
        self.loads = InFlightTracker()
        self.configuration = world.configuration()
        self.directory = ReplicaDirectory()
        self.zone_drains = ZoneDrains()
        self.zone_drains.listeners.append(
            lambda drained, lifted: self.directory.drain_zones(self.zone_drains.zones)
        )
        self.warmups = Warmups(self.directory, self.configuration, self.zone_drains, log, clock)
        self.warmup_gate = WarmupGate(self.warmups, log, clock)
        self.health = StoreHealth(Clock(clock))
        store_clock = StoreClock(Clock(clock))
        self.store = MonitoredStore(world.store, self.health, store_clock)
        self.leader = LeaderView(self.identity, world.now)
        transport = world.wire.sender(self.host)
        self.ledger = CrashLedger()
        self.versions = SoftwareVersions(self.directory, clock)
        self.registered = RegisteredVersions()
        self.streams = StreamVersionTable(clock)
        self.draining = DrainingReplicas(self.directory, clock)
        self.crash_records = CrashRecordSync(self.ledger, transport, log, clock)
        self.scheduler = Scheduler(
            self.directory,
            self.configuration,
            ServiceTimes(),
            QuotaBounds(slack=20.0),
            self.ledger,
            random,
            Features(self.configuration, lost_zones=world.lost_zones),
            self.warmups,
            WARMUP_BOUNDS,
            resumptions=Resumptions(
                self.directory, self.configuration, self.streams, self.draining, self.registered
            ),
        )
        self.coordinator = Coordinator(
            self.identity,
            self.leader,
            transport,
            self.scheduler,
            self.configuration,
            self.directory,
            self.health,
            self.crash_records,
            self.zone_drains,
            log,
            clock,
        )
        self.crash_record_store = CrashRecordStore(
            self.crash_records, self.coordinator, self.store, self.health, store_clock, log, clock
        )
        self.client = CoordinatorClient(
            self.identity,
            self.leader,
            self.coordinator,
            transport,
            self.loads,
            self.configuration,
            self.directory,
            self.health,
            self.crash_records,
            self.zone_drains,
            [f"h{seed:03d}" for seed in range(SEEDS)],
            log,
            clock,
        )
        self.coordinator.deliver_locally = self._deliver
        self.stream_sync = StreamVersionSync(
            self.identity,
            self.leader,
            self.coordinator,
            transport,
            self.versions,
            self.streams,
            clock,
        )
        self.coordinator.orders_maker.version_history = lambda: history_copy(self.versions)
        self.client.on_version_history = self.stream_sync.apply_history
        self.client.on_reconnected = self.stream_sync.share_all
        self.registry = VersionRegistry(
            self.versions,
            self.registered,
            self.coordinator,
            self.store,
            self.health,
            store_clock,
            log,
            clock,
            random,
        )
        self.election = Election(
            self.identity,
            self.leader,
            self.coordinator,
            self.client,
            self.scheduler,
            self.store,
            self.health,
            log,
            clock,
            random,
        )

    async def _deliver(self, orders: Orders) -> None:
        await self.client.handle_orders(orders, self.host)

    async def handle_message(self, message: Datagram, source: str) -> None:
        match message:
            case Report():
                await self.coordinator.handle_report(message, source)
            case Snapshot():
                await self.election.handle_snapshot(message, source)
            case StreamVersions():
                await self.stream_sync.handle_records(message)
            case StreamVersionQuery():
                self.stream_sync.handle_query(message, source)
            case _:
                await self.client.handle_message(message, source)

    @property
    def follows(self) -> str:
        """Name of the node that this one follows; empty if there is none."""
        target = self.leader.target()
        return "" if target is None else target.node


class CoordinationWorld:
    """A fleet whose time advances step by step."""

    STEP_S = 0.25
    REPORT_STEPS = 4

    def __init__(
        self,
        nodes: int,
        replicas: int = 4,
        tenants: tuple[Tenant, ...] | None = None,
        lost_zones: int = 0,
        services: dict[str, Service] | None = None,
    ) -> None:
        self.services = services or {}
        self.lost_zones = lost_zones
        self.tenants = tenants
        self.now = 1000.0
        self.store = MemoryStore()
        self.wire = Wire()
        self.replicas = [
            Replica(f"r{number}", "model", "h", number, "z1", 8, False, version=1)
            for number in range(replicas)
        ]
        self.nodes = [FleetNode(number, self) for number in range(nodes)]
        self._steps = 0

    def configuration(self) -> ConfigurationHolder:
        holder = ConfigurationHolder()
        parts = (RoutePart("model", 1.0),)
        route = Route("chat", "h", "/chat/", RouteKind.STREAM, parts, 5.0, 0.3, 2)
        holder.update_if_newer(
            Configuration(1, (route,), self.services, ClientLimits(), self.tenants)
        )
        return holder

    def load_replicas(self, node: FleetNode) -> None:
        """Set a node's replica list as if read from the store."""
        node.directory.replace(self.replicas, version=10)
        node.directory.confirmed_at = self.now

    async def start(self) -> None:
        for node in self.nodes:
            self.load_replicas(node)
            await node.election._start()
            await node.crash_record_store.read()
        await self.run(4 * self.STEP_S)

    async def deliver(self) -> None:
        """Deliver datagrams until none is in transit."""
        while self.wire.in_transit:
            arriving, self.wire.in_transit = self.wire.in_transit, []
            for source, host, message in arriving:
                for node in self.nodes:
                    if node.host == host:
                        await node.handle_message(message, source)

    async def deliver_to(self, node: FleetNode) -> None:
        """Deliver to one node what is in transit to it; the rest stays."""
        arriving = [sent for sent in self.wire.in_transit if sent[1] == node.host]
        self.wire.in_transit = [sent for sent in self.wire.in_transit if sent[1] != node.host]
        for source, _, message in arriving:
            await node.handle_message(message, source)

    async def run(self, seconds: float) -> None:
        """Let time pass with reports, ticks, election checks and the messages that they cause."""
        for _ in range(round(seconds / self.STEP_S)):
            self._steps += 1
            self.now += self.STEP_S
            self.store.now_ms = self.now * 1000
            for node in list(self.nodes):
                is_due = bool(self.lost_zones) and self.now >= node.client.report_due_at()
                if is_due or (self._steps + node.number) % self.REPORT_STEPS == 0:
                    await node.client._report()
            await self.deliver()
            for node in list(self.nodes):
                if node.host in self.wire.cut_hosts and node.host.startswith("dead"):
                    continue
                await node.coordinator.tick()
                await node.election.check(self.STEP_S)
                await node.registry.update()
                if node.coordinator.is_active:
                    await node.crash_record_store.write_due()
            await self.deliver()

    def kill(self, node: FleetNode) -> None:
        self.nodes.remove(node)

    def replace(self, node: FleetNode) -> FleetNode:
        """Replace a node by a new process of it without any state."""
        restarted = FleetNode(node.number, self, run="0b")
        self.nodes[self.nodes.index(node)] = restarted
        return restarted

    @property
    def active(self) -> list[FleetNode]:
        """Nodes that hold the role according to their own state."""
        return [node for node in self.nodes if node.coordinator.is_active]

    @property
    def coordinator(self) -> FleetNode:
        (node,) = self.active
        return node
