"""A whole fleet that starts at once with a rate limited store, in simulated time.

Nodes consist of the real fleet parts, followers and store client; only sockets are replaced. The
clock of the event loop is simulated: if no task can run, time advances to the next deadline.
"""

import contextlib
import json
import math
import os
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator
from random import Random
from selectors import DefaultSelector, SelectorKey
from types import SimpleNamespace
from typing import Any
from unittest import mock
from urllib.parse import parse_qs, urlsplit

import curio
import curio.kernel
from fleet_world import configuration

from cloverwalk.core.clock import Clock
from cloverwalk.core.kernel import run_until_ended
from cloverwalk.core.token_bucket import TokenBucket
from cloverwalk.emulator.memory_store import MemoryStore
from cloverwalk.emulator.platform_store_calls import transaction_of, wire_rows
from cloverwalk.fleet.datagrams import MAX_DATAGRAM_BYTES
from cloverwalk.fleet.follower import TableFollower
from cloverwalk.fleet.in_flight import InFlightTracker
from cloverwalk.fleet.messages import Datagram, decode_datagram, encode_datagram
from cloverwalk.fleet.transport import OnDatagram
from cloverwalk.http.client import BodyTimeout, HttpResponse
from cloverwalk.http.errors import LostAnswerError
from cloverwalk.platform import names
from cloverwalk.platform.adapter import PlatformAdapter
from cloverwalk.platform.store_client import PlatformStore
from cloverwalk.serving import fleet_parts
from cloverwalk.serving.configuration_parts import create_configuration_follower
from cloverwalk.serving.fleet_parts import DIRECTORY_FOLLOW_DELAY_S, FleetParts
from cloverwalk.serving.fleet_state import FleetState
from cloverwalk.serving.settings import (
    DEFAULT_CONFIGURATION_APPLY_S,
    MachineLimits,
    ServingSettings,
)
from cloverwalk.serving.store_probe import StoreProbe
from cloverwalk.store.clock import StoreClock
from cloverwalk.store.health import MonitoredStore, StoreHealth
from cloverwalk.store.types import CommitOutcome, CommitStatus, Put, RowKey, Transaction
from cloverwalk.telemetry.log import ServingLog
from cloverwalk.telemetry.startup import StartupLog

STORE_TIME_S = 0.002
"""Time of a store call, transit included."""

DATAGRAM_TIME_S = 0.001
STORE_HOST = "store"
HTTP_HEADER_BYTES = 200
START_SPREAD_S = 0.3
"""All machines start within this time."""

REPLICA_BYTES = 250
"""Size of a replica's entry in an answer."""

ZONES = ("z1", "z2", "z3")
SEEDS = 3
RESET, NO_ANSWER = 0, -1
"""Pseudo statuses of refusals: the connection is reset, or no answer is sent."""

LINK_BYTES_PER_S = 3_750_000
"""Bandwidth of a node's link: 30 Mbit/s."""

STORE_LINK_BYTES_PER_S = 500_000_000
"""Bandwidth of the store's link: 4,000 Mbit/s."""


class SimulatedTime:
    """Clock in seconds that advances only while all tasks wait."""

    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> float:
        return self.now


class _TimeSelector(DefaultSelector):
    def __init__(self, time: SimulatedTime) -> None:
        super().__init__()
        self._time = time

    def select(self, timeout: float | None = None) -> list[tuple[SelectorKey, int]]:
        events = super().select(0)
        if not events and timeout is not None and timeout > 0:
            self._time.now += timeout
        return events


def in_simulated_time(test: Callable[[SimulatedTime], Awaitable[None]]) -> None:
    """Run a test in an event loop with a simulated clock."""
    time = SimulatedTime()
    with mock.patch.object(curio.kernel, "time", SimpleNamespace(monotonic=time)):
        run_until_ended(test, time, selector=_TimeSelector(time))


class Link:
    """A link of limited bandwidth that transmits messages one after the other."""

    def __init__(self, bytes_per_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._free_at = 0.0

    def transmit_time_s(self, size: int, now: float) -> float:
        """Return how long a message of ``size`` bytes takes if it is sent now."""
        self._free_at = max(now, self._free_at) + size / self._bytes_per_s
        return self._free_at - now


class LimitedStore:
    """The platform's store with a rate limit for the calls of all nodes and paged answers."""

    def __init__(self, time: SimulatedTime, reads_per_s: float, writes_per_s: float) -> None:
        self.time = time
        self.rows = MemoryStore()
        self.link = Link(STORE_LINK_BYTES_PER_S)
        self._reads = TokenBucket(reads_per_s, reads_per_s, time.now)
        self._writes = TokenBucket(writes_per_s, writes_per_s, time.now)
        self._changed = curio.Event()
        self._bodies: dict[str, tuple[int, bytes]] = {}
        self.calls: Counter[str] = Counter()
        self.refused = 0
        self.bytes_sent = 0
        self.by_second: Counter[int] = Counter()
        self.refuses: Callable[[str], int | None] = lambda host: None
        """Returns the status with which calls of a host are refused; None if they are served."""

        self._answers_dropped_until = float("-inf")

    def drop_pending_answers(self) -> None:
        """Never answer the calls in flight, as if their connections failed without a reset."""
        self._answers_dropped_until = self.time.now

    def put(self, table: str, key: str, document: Any) -> None:
        put = Put(RowKey(table, "", key), json.dumps(document).encode())
        self.rows.apply(Transaction(puts=[put]))

    def reset_counts(self) -> None:
        """Reset all counters."""
        self.calls.clear()
        self.by_second.clear()
        self.refused = self.bytes_sent = 0

    async def serve(self, host: str, method: str, path: str, body: bytes) -> HttpResponse:
        """Answer one call."""
        url = urlsplit(path)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        self.calls[f"{url.path} {query.get('table', '')}".strip()] += 1
        self.by_second[math.floor(self.time.now)] += 1
        began_at = self.time.now
        await curio.sleep(STORE_TIME_S)
        refusal = self.refuses(host)
        if refusal == RESET:
            raise LostAnswerError("reset")
        if refusal == NO_ANSWER:
            await curio.sleep(3600)
        if refusal is not None:
            return HttpResponse(refusal, {}, b"")
        bucket = self._writes if method == "POST" else self._reads
        if not bucket.has(self.time.now, 1.0):
            self.refused += 1
            return HttpResponse(429, {}, b"")
        bucket.take(self.time.now)
        status, answer = await self._answer(url.path, path, query, body)
        if began_at <= self._answers_dropped_until:
            await curio.sleep(3600)
        self.bytes_sent += len(answer)
        await curio.sleep(self.link.transmit_time_s(len(answer), self.time.now))
        return HttpResponse(status, {}, answer)

    async def _answer(
        self, route: str, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, bytes]:
        if route == names.TRANSACTION_PATH:
            return await self._transaction(body)
        if route == names.PARTS_PATH:
            parts = sorted(self.rows.parts(query["table"]))
            return 200, json.dumps({"parts": parts, "more": False}).encode()
        if route == names.FEED_PATH:
            return 200, await self._feed(query)
        cached = self._bodies.get(path)
        if cached is None or cached[0] != self.rows.version:
            page = await self.rows.read(
                query["table"],
                query.get("part", ""),
                query.get("from", ""),
                query.get("target_version", ""),
                int(query["limit"]),
            )
            answer = {**self._stamp(), "rows": wire_rows(page.rows), "more": page.has_more}
            cached = self._bodies[path] = (self.rows.version, json.dumps(answer).encode())
        return 200, cached[1]

    async def _feed(self, query: dict[str, str]) -> bytes:
        async with curio.ignore_after(int(query["wait_ms"]) / 1000):
            while not (rows := self._since(query["table"], int(query["since_revision"]))):
                await self._changed.wait()
        return json.dumps({**self._stamp(), "rows": wire_rows(rows)}).encode()

    def _since(self, table: str, since: int) -> list[Any]:
        newest = self.rows._changes_by_table.get(table, [])[-100:]
        return [row for row in newest if row.version > since]

    async def _transaction(self, body: bytes) -> tuple[int, bytes]:
        outcome = await self.commit(transaction_of(json.loads(body)))
        if outcome.status is CommitStatus.COMMITTED:
            return 200, json.dumps(self._stamp()).encode()
        rows = wire_rows(outcome.conflicts)
        return 412, json.dumps({**self._stamp(), "rows": rows}).encode()

    async def commit(self, transaction: Transaction) -> CommitOutcome:
        """Apply a transaction and wake the feed calls that wait for changes."""
        outcome = self.rows.apply(transaction)
        if outcome.status is CommitStatus.COMMITTED:
            changed, self._changed = self._changed, curio.Event()
            await changed.set()
        return outcome

    def _stamp(self) -> dict[str, Any]:
        return {"ver": self.rows.version, "now_ms": self.time.now * 1000}


class Regions:
    """Maps hosts and zones to regions, and models the links between the regions.

    The store is in the first region. Store calls and datagrams share the links.
    """

    def __init__(self, names: tuple[str, ...] = (), delay_s: float = 0.03) -> None:
        self.names = names
        self.delay_s = delay_s
        self.links = {
            (source, target): Link(LINK_BYTES_PER_S) for source in names for target in names
        }
        self.bytes_between: Counter[str] = Counter()
        """Bytes sent between regions, by kind of message."""

        self.is_cut = False

    @property
    def by_zone(self) -> dict[str, str]:
        return {zone: region for region in self.names for zone in self.zones(region)}

    def zones(self, region: str) -> list[str]:
        return [f"{region}-{zone}" for zone in ZONES]

    def of(self, host: str) -> str:
        """Return the region of a host; the store, which has no number, is in the first one."""
        number = int(host[1:]) if host[1:].isdigit() else 0
        return self.names[number % len(self.names)] if self.names else ""

    def zone(self, number: int) -> str:
        """Return the zone of a node."""
        if not self.names:
            return ZONES[number % len(ZONES)]
        zones = self.zones(self.of(node_host(number)))
        return zones[number // len(self.names) % len(ZONES)]

    def transit_time_s(
        self, source: str, target: str, size: int, kind: str, now: float
    ) -> float | None:
        """Return the transit time of a message between two hosts; None if the link is cut."""
        ends = self.of(source), self.of(target)
        if ends[0] == ends[1]:
            return DATAGRAM_TIME_S
        if self.is_cut:
            return None
        self.bytes_between[kind] += size
        return self.delay_s + self.links[ends].transmit_time_s(size, now)


class StorePool:
    """Connection pool of a node to the store."""

    def __init__(self, store: LimitedStore, host: str, regions: Regions) -> None:
        self._store = store
        self._host = host
        self._regions = regions
        self._link = Link(LINK_BYTES_PER_S)

    async def call(
        self,
        method: str,
        path: str,
        body: bytes,
        headers: dict[str, str],
        timeout_s: float,
        body_timeout: BodyTimeout | None = None,
    ) -> HttpResponse:
        began_at = self._store.time.now
        kind = "store op" if f"table={names.OPERATOR_TABLE}" in path else "store"
        try:
            async with curio.timeout_after(timeout_s):
                await self._transit(self._host, STORE_HOST, len(path) + len(body), kind)
                response = await self._store.serve(self._host, method, path, body)
            limit_s = timeout_s if body_timeout is None else body_timeout.total_s
            remaining_s = began_at + limit_s - self._store.time.now
            async with curio.timeout_after(max(0.0, remaining_s)):
                await self._receive(response, kind)
        except curio.TaskTimeout as error:
            raise LostAnswerError("no answer in time") from error
        return response

    async def _receive(self, response: HttpResponse, kind: str) -> None:
        await self._transit(STORE_HOST, self._host, len(response.body), kind)
        await curio.sleep(self._link.transmit_time_s(len(response.body), self._store.time.now))

    async def _transit(self, source: str, target: str, size: int, kind: str) -> None:
        """Wait for the transit between the regions of two hosts, if these differ."""
        if self._regions.of(source) == self._regions.of(target):
            return
        size += HTTP_HEADER_BYTES
        now = self._store.time.now
        transit_s = self._regions.transit_time_s(source, target, size, kind, now)
        await curio.sleep(3600 if transit_s is None else transit_s)

    async def close(self) -> None:
        """Do nothing, since there are no connections."""


class Wire:
    """Carries datagrams between the nodes."""

    def __init__(self, time: SimulatedTime, regions: Regions) -> None:
        self._time = time
        self.regions = regions
        self.in_transit: list[tuple[float, str, str, bytes]] = []
        self.held_datagrams: dict[str, list[tuple[str, bytes]]] = {}
        """Pending datagrams by frozen host; frozen hosts send nothing."""

        self.cut_hosts: set[str] = set()
        self.alter: Callable[[Datagram], list[Datagram]] = lambda message: [message]
        """Returns the messages that are delivered instead of a sent one."""

        self.jitter_s: Callable[[], float] = lambda: 0.0
        """Returns an additional transit time of a datagram."""

        self.receivers: dict[str, OnDatagram] = {}
        self.sent: Counter[str] = Counter()
        self.bytes_by_kind: Counter[str] = Counter()
        self.messages_to_drop: Counter[str] = Counter()
        """How many of the next messages to drop, by kind."""

    async def run(self) -> None:
        while True:
            await curio.sleep(DATAGRAM_TIME_S)
            now = self._time.now
            arriving = [entry for entry in self.in_transit if entry[0] <= now]
            self.in_transit = [entry for entry in self.in_transit if entry[0] > now]
            for _, source, host, data in arriving:
                await self.deliver(source, host, data)

    async def deliver(self, source: str, host: str, data: bytes) -> None:
        """Pass a datagram to its receiver, or hold it while the receiver is frozen."""
        receiver = self.receivers.get(host)
        if host in self.held_datagrams:
            self.held_datagrams[host].append((source, data))
        elif receiver is not None:
            for message in self.alter(decode_datagram(data)):
                await receiver(message, source)

    def carry(self, source: str, host: str, data: bytes, kind: str) -> None:
        """Schedule the delivery of a datagram, unless its source or target is cut off or frozen."""
        now = self._time.now
        if {source, host} & self.cut_hosts and source != host or source in self.held_datagrams:
            return
        transit_s = self.regions.transit_time_s(source, host, len(data), kind, now)
        if transit_s is not None:
            arrives_at = now + transit_s - DATAGRAM_TIME_S + self.jitter_s()
            self.in_transit.append((arrives_at, source, host, data))


class WireTransport:
    """Datagram transport of one node."""

    def __init__(self, wire: Wire, host: str) -> None:
        self._wire = wire
        self._host = host

    def send(self, host: str, message: Datagram) -> None:
        data = encode_datagram(message)
        kind = type(message).__name__
        self._wire.sent[kind] += 1
        self._wire.bytes_by_kind[kind] += len(data)
        if self._wire.messages_to_drop[kind] > 0:
            self._wire.messages_to_drop[kind] -= 1
        elif len(data) <= MAX_DATAGRAM_BYTES:
            self._wire.carry(self._host, host, data, kind)

    async def receive(self, on_datagram: OnDatagram) -> None:
        self._wire.receivers[self._host] = on_datagram
        try:
            await curio.sleep(1e9)
        finally:
            del self._wire.receivers[self._host]


def node_host(number: int) -> str:
    return f"h{number:04d}"


class ReturningNode:
    """The parts of a node's process that it needs to become ready."""

    def __init__(self, number: int, world: "ReturningWorld", run: int) -> None:
        self.host = node_host(number)
        self.name = f"n{number:04d}"
        self._world = world
        time = self._time = world.time
        random = Random(f"{number}.{run}")
        settings = ServingSettings(
            self.name,
            world.regions.zone(number),
            (self.host, 1),
            (self.host, 2),
            (self.host, 3),
            None,
            tuple(node_host(seed) for seed in range(SEEDS)),
            "store:1",
            8.0,
            4000,
            120.0,
            cores=2.0 if number % 4 == 0 else 0.5,
            machine=MachineLimits(link_bytes_per_s=LINK_BYTES_PER_S),
            configuration_apply_s=world.configuration_apply_s,
            region_by_zone=world.regions.by_zone,
        )
        adapter = PlatformAdapter()
        log = ServingLog(self.name, time, world.log_descriptor)
        self.startup = StartupLog(log, time, time.now)
        self.fleet_state = FleetState(adapter, log, time, self.startup)
        self.health = StoreHealth(Clock(time))
        client = PlatformStore("store:1")
        client._pool = StorePool(world.store, self.host, world.regions)  # type: ignore[assignment]
        self.store = MonitoredStore(client, self.health, StoreClock(Clock(time)))
        self.fleet = FleetParts(
            settings,
            f"r{run}",
            self.fleet_state,
            InFlightTracker(),
            self.store,
            self.health,
            log,
            time,
            random,
        )
        self.configuration_follower = create_configuration_follower(
            adapter,
            self.fleet_state,
            self.fleet.configuration_exchange,
            self.store,
            self.health,
            log,
            time,
            random,
        )
        self._replica_follower = TableFollower(
            adapter.replica_table,
            self.store,
            self.health,
            self.fleet_state.on_all_replicas,
            self.fleet_state.on_replicas,
            DIRECTORY_FOLLOW_DELAY_S,
            log,
            time,
            random,
            self.fleet.wait_until_directory_needed,
        )
        self._store_probe = StoreProbe(self.store, self.health, self.fleet)
        self._tasks: list[Any] = []

    async def start(self) -> None:
        for loop in (
            *self.fleet.loops(),
            self.configuration_follower.run,
            self._replica_follower.run,
            self._store_probe.run,
        ):
            self._tasks.append(await curio.spawn(loop, daemon=True))

    async def kill(self) -> None:
        for task in self._tasks:
            await task.cancel()

    @property
    def is_ready(self) -> bool:
        return self.startup.is_ready

    @property
    def serves(self) -> bool:
        """Whether the node is ready and follows a node that coordinates."""
        target = self.fleet.leader.target()
        return self.is_ready and target is not None and self._world.coordinates(target.node)


class ReturningWorld:
    """A fleet with its store and the wire between its nodes."""

    def __init__(
        self,
        time: SimulatedTime,
        nodes: int,
        replicas: int,
        reads_per_s: float,
        writes_per_s: float,
        first_run: int = 0,
        regions: Regions | None = None,
        configuration_apply_s: float = DEFAULT_CONFIGURATION_APPLY_S,
    ) -> None:
        self.time = time
        self.log_descriptor = os.open(os.devnull, os.O_WRONLY)
        self.store = LimitedStore(time, reads_per_s, writes_per_s)
        self.store.put(names.OPERATOR_TABLE, names.CONFIGURATION_KEY, configuration(1))
        for number in range(replicas):
            self.store.put(names.REPLICA_TABLE, f"i-{number:05d}", _replica(number))
        self.regions = regions or Regions()
        self.configuration_apply_s = configuration_apply_s
        self.wire = Wire(time, self.regions)
        self.nodes: list[ReturningNode] = []
        self._count = nodes
        self._runs = first_run
        self._is_wired = False

    async def start_all(self) -> None:
        """Start all nodes within ``START_SPREAD_S``, as the platform does."""
        if not self._is_wired:
            self._is_wired = True
            await curio.spawn(self.wire.run, daemon=True)
        self._runs += 1
        random = Random(self._runs)
        began_at = self.time.now
        starts = sorted((random.random() * START_SPREAD_S, number) for number in range(self._count))
        for after_s, number in starts:
            await curio.sleep(max(0.0, began_at + after_s - self.time.now))
            await self.start_node(number)

    async def start_node(self, number: int) -> "ReturningNode":
        """Start one node."""
        with self._wired(node_host(number)):
            node = ReturningNode(number, self, self._runs)
        self.nodes.append(node)
        await node.start()
        return node

    async def kill_node(self, node: "ReturningNode") -> None:
        """Kill one process."""
        self.nodes.remove(node)
        await node.kill()

    async def change_configuration(
        self, version: int, routes: list[dict[str, Any]] | None = None
    ) -> None:
        """Commit a new version of the configuration, as an operator's edit does."""
        put = Put(
            RowKey(names.OPERATOR_TABLE, "", names.CONFIGURATION_KEY),
            json.dumps(configuration(version, routes)).encode(),
        )
        await self.store.commit(Transaction(puts=[put]))

    async def kill_all(self) -> None:
        """Kill all processes at once."""
        for node in self.nodes:
            await node.kill()
        self.nodes = []

    def coordinates(self, node: str) -> bool:
        """Whether a node is active as coordinator."""
        return any(entry.fleet.coordinator.is_active for entry in self.nodes if entry.name == node)

    def leadership_hosts(self) -> set[str]:
        """Return the hosts of the coordinator and its standbys."""
        (active,) = [node for node in self.nodes if node.fleet.coordinator.is_active]
        current = active.fleet.leader.current
        assert current is not None
        return {current.holder.host, *(standby.host for standby in current.standbys)}

    async def wait_until(
        self, condition: Callable[[ReturningNode], bool], timeout_s: float
    ) -> float:
        """Wait until a condition holds at every node; return the time that it took."""
        began_at = self.time.now
        while not all(condition(node) for node in self.nodes):
            if self.time.now - began_at > timeout_s:
                lacking = sum(not condition(node) for node in self.nodes)
                raise AssertionError(f"{lacking} nodes fail the condition after {timeout_s} s")
            await curio.sleep(0.02)
        return self.time.now - began_at

    @contextlib.contextmanager
    def _wired(self, host: str) -> Iterator[None]:
        make: Callable[..., Any] = lambda address, log: WireTransport(self.wire, host)  # noqa: E731
        with mock.patch.object(fleet_parts, "DatagramTransport", make):
            yield


def _replica(number: int) -> dict[str, Any]:
    return {
        "service": "model",
        "address": f"10.9.{number // 250}.{number % 250}:8000",
        "zone": ZONES[number % len(ZONES)],
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_left_ms": 0,
        "seq": 1,
    }
