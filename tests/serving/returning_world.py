"""A whole fleet that starts at once, over a limited store, in simulated time.

Nodes are the fleet parts, followers and store client of the program; only sockets are replaced. The
loop's clock is simulated: when no task can run, time moves to the next deadline.
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
from cloverwalk.core.token_bucket import TokenBucket
from cloverwalk.emulator.memory_store import MemoryStore
from cloverwalk.emulator.platform_store_server import transaction_of, wire_rows
from cloverwalk.fleet.follower import TableFollower
from cloverwalk.fleet.in_flight import InFlightTracker
from cloverwalk.fleet.messages import Datagram, decode_datagram, encode_datagram
from cloverwalk.fleet.transport import MAX_DATAGRAM_BYTES, OnDatagram
from cloverwalk.http.client import HttpResponse
from cloverwalk.http.errors import LostAnswerError
from cloverwalk.platform import names
from cloverwalk.platform.adapter import PlatformAdapter
from cloverwalk.platform.store_client import PlatformStore
from cloverwalk.serving import fleet_parts
from cloverwalk.serving.fleet_parts import DIRECTORY_PAUSE_S, FleetParts
from cloverwalk.serving.fleet_state import FleetState
from cloverwalk.serving.node import CONFIGURATION_PAUSE_S
from cloverwalk.serving.settings import ServingSettings
from cloverwalk.serving.store_probe import StoreProbe
from cloverwalk.store.clock import StoreClock
from cloverwalk.store.health import MonitoredStore, StoreHealth
from cloverwalk.store.types import CommitStatus, Put, RowKey, Transaction
from cloverwalk.telemetry.log import ServingLog
from cloverwalk.telemetry.startup import StartupLog

STORE_TIME_S = 0.002
"""A call's time at the store and on the way."""

DATAGRAM_TIME_S = 0.001
START_SPREAD_S = 0.3
"""Machines start within this time of each other."""

REPLICA_BYTES = 250
"""Of an entry as an answer carries it."""

ZONES = ("z1", "z2", "z3")
SEEDS = 3
RESET, SILENT = 0, -1
"""Stand for a status where a call is refused without an answer."""

LINK_BYTES_PER_S = 3_750_000
"""A node's own link: 30 Mbit/s."""

STORE_LINK_BYTES_PER_S = 500_000_000
"""The store's link: 4,000 Mbit/s."""


class SimulatedTime:
    """Seconds that pass only while everything waits."""

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
    """Run a test in a loop whose clock is simulated."""
    time = SimulatedTime()
    with mock.patch.object(curio.kernel, "time", SimpleNamespace(monotonic=time)):
        curio.run(test, time, selector=_TimeSelector(time))


class Link:
    """Carries bytes one after the other."""

    def __init__(self, bytes_per_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._free_at = 0.0

    def pass_s(self, size: int, now: float) -> float:
        """Return how long a message takes to pass that comes now."""
        self._free_at = max(now, self._free_at) + size / self._bytes_per_s
        return self._free_at - now


class LimitedStore:
    """The platform's store: calls of all nodes together are limited, and answers have pages."""

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
        """Tells for a host the status that a call is refused with, None where it is served."""

    def put(self, table: str, key: str, document: Any) -> None:
        put = Put(RowKey(table, "", key), json.dumps(document).encode())
        self.rows.apply(Transaction(puts=[put]))

    def forget_counts(self) -> None:
        """Count anew from here."""
        self.calls.clear()
        self.by_second.clear()
        self.refused = self.bytes_sent = 0

    async def serve(self, host: str, method: str, path: str, body: bytes) -> HttpResponse:
        """Answer one call."""
        url = urlsplit(path)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        self.calls[f"{url.path} {query.get('table', '')}".strip()] += 1
        self.by_second[math.floor(self.time.now)] += 1
        await curio.sleep(STORE_TIME_S)
        refusal = self.refuses(host)
        if refusal == RESET:
            raise LostAnswerError("reset")
        if refusal == SILENT:
            await curio.sleep(3600)
        if refusal is not None:
            return HttpResponse(refusal, {}, b"")
        bucket = self._writes if method == "POST" else self._reads
        if not bucket.has(self.time.now, 1.0):
            self.refused += 1
            return HttpResponse(429, {}, b"")
        bucket.take(self.time.now)
        status, answer = await self._answer(url.path, path, query, body)
        self.bytes_sent += len(answer)
        await curio.sleep(self.link.pass_s(len(answer), self.time.now))
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
        kept = self._bodies.get(path)
        if kept is None or kept[0] != self.rows.version:
            page = await self.rows.read(
                query["table"],
                query.get("part", ""),
                query.get("from", ""),
                query.get("target_version", ""),
                int(query["limit"]),
            )
            answer = {**self._stamp(), "rows": wire_rows(page.rows), "more": page.has_more}
            kept = self._bodies[path] = (self.rows.version, json.dumps(answer).encode())
        return 200, kept[1]

    async def _feed(self, query: dict[str, str]) -> bytes:
        async with curio.ignore_after(int(query["wait_ms"]) / 1000):
            while not (rows := self._since(query["table"], int(query["since_revision"]))):
                await self._changed.wait()
        return json.dumps({**self._stamp(), "rows": wire_rows(rows)}).encode()

    def _since(self, table: str, since: int) -> list[Any]:
        newest = self.rows._changes_by_table.get(table, [])[-100:]
        return [row for row in newest if row.version > since]

    async def _transaction(self, body: bytes) -> tuple[int, bytes]:
        outcome = self.rows.apply(transaction_of(json.loads(body)))
        if outcome.status is CommitStatus.COMMITTED:
            changed, self._changed = self._changed, curio.Event()
            await changed.set()
            return 200, json.dumps(self._stamp()).encode()
        rows = wire_rows(outcome.conflicts)
        return 412, json.dumps({**self._stamp(), "rows": rows}).encode()

    def _stamp(self) -> dict[str, Any]:
        return {"ver": self.rows.version, "now_ms": self.time.now * 1000}


class _Pool:
    """A node's connections to the store."""

    def __init__(self, store: LimitedStore, host: str) -> None:
        self._store = store
        self._host = host
        self._link = Link(LINK_BYTES_PER_S)

    async def call(
        self, method: str, path: str, body: bytes, headers: dict[str, str], timeout_s: float
    ) -> HttpResponse:
        try:
            async with curio.timeout_after(timeout_s):
                response = await self._store.serve(self._host, method, path, body)
                await curio.sleep(self._link.pass_s(len(response.body), self._store.time.now))
        except curio.TaskTimeout as error:
            raise LostAnswerError("no answer in time") from error
        return response

    async def close(self) -> None:
        """Nothing is kept."""


class Wire:
    """Carries datagrams between the nodes."""

    def __init__(self) -> None:
        self.waiting: list[tuple[str, str, bytes]] = []
        self.takers: dict[str, OnDatagram] = {}
        self.sent: Counter[str] = Counter()
        self.bytes_by_kind: Counter[str] = Counter()

    async def run(self) -> None:
        while True:
            await curio.sleep(DATAGRAM_TIME_S)
            waiting, self.waiting = self.waiting, []
            for source, host, data in waiting:
                taker = self.takers.get(host)
                if taker is not None:
                    await taker(decode_datagram(data), source)


class WireTransport:
    """One node's end of the wire."""

    def __init__(self, wire: Wire, host: str) -> None:
        self._wire = wire
        self._host = host

    def send(self, host: str, message: Datagram) -> None:
        data = encode_datagram(message)
        kind = type(message).__name__
        self._wire.sent[kind] += 1
        self._wire.bytes_by_kind[kind] += len(data)
        if len(data) <= MAX_DATAGRAM_BYTES:
            self._wire.waiting.append((self._host, host, data))

    async def receive(self, on_datagram: OnDatagram) -> None:
        self._wire.takers[self._host] = on_datagram
        try:
            await curio.sleep(1e9)
        finally:
            del self._wire.takers[self._host]


def node_host(number: int) -> str:
    return f"h{number:04d}"


class ReturningNode:
    """What one process needs to become ready."""

    def __init__(self, number: int, world: "ReturningWorld", run: int) -> None:
        self.host = node_host(number)
        self.name = f"n{number:04d}"
        self._world = world
        time = self._time = world.time
        random = Random(f"{number}.{run}")
        settings = ServingSettings(
            self.name,
            ZONES[number % len(ZONES)],
            (self.host, 1),
            (self.host, 2),
            (self.host, 3),
            None,
            tuple(node_host(one) for one in range(SEEDS)),
            "store:1",
            8.0,
            4000,
            120.0,
            cores=2.0 if number % 4 == 0 else 0.5,
        )
        adapter = PlatformAdapter()
        log = ServingLog(self.name, time, world.log_descriptor)
        self.startup = StartupLog(log, time, time.now)
        self.knowledge = FleetState(adapter, log, time, self.startup)
        self.health = StoreHealth(Clock(time))
        client = PlatformStore("store:1")
        client._pool = _Pool(world.store, self.host)  # type: ignore[assignment]
        self.store = MonitoredStore(client, self.health, StoreClock(Clock(time)))
        self.fleet = FleetParts(
            settings,
            f"r{run}",
            self.knowledge,
            InFlightTracker(),
            self.store,
            self.health,
            log,
            time,
            random,
        )
        self._configuration_follower = TableFollower(
            adapter.configuration_table,
            self.store,
            self.health,
            self.knowledge.on_configuration,
            self.knowledge.on_configuration,
            CONFIGURATION_PAUSE_S,
            log,
            time,
            random,
        )
        self._replica_follower = TableFollower(
            adapter.replica_table,
            self.store,
            self.health,
            self.knowledge.on_all_replicas,
            self.knowledge.on_replicas,
            DIRECTORY_PAUSE_S,
            log,
            time,
            random,
            self.fleet.until_directory_needed,
        )
        self._watch = StoreProbe(self.store, self.health, self.fleet)
        self._tasks: list[Any] = []

    async def start(self) -> None:
        for loop in (
            self.fleet.receive,
            self.fleet.link.run,
            self.fleet.coordinator.run,
            self.fleet.election.run,
            self._configuration_follower.run,
            self._replica_follower.run,
            self._watch.run,
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
        """Whether it is ready, and the node that it turns to coordinates."""
        target = self.fleet.leader.target()
        return self.is_ready and target is not None and self._world.coordinates(target.node)


class ReturningWorld:
    """The fleet, its store, and the wire between its nodes."""

    def __init__(
        self,
        time: SimulatedTime,
        nodes: int,
        replicas: int,
        reads_per_s: float,
        writes_per_s: float,
        first_run: int = 0,
    ) -> None:
        self.time = time
        self.log_descriptor = os.open(os.devnull, os.O_WRONLY)
        self.store = LimitedStore(time, reads_per_s, writes_per_s)
        self.store.put(names.OPERATOR_TABLE, names.CONFIGURATION_KEY, configuration(1))
        for number in range(replicas):
            self.store.put(names.REPLICA_TABLE, f"i-{number:05d}", _replica(number))
        self.wire = Wire()
        self.nodes: list[ReturningNode] = []
        self._count = nodes
        self._runs = first_run
        self._is_wired = False

    async def start_all(self) -> None:
        """Start all nodes at once, as the platform does."""
        if not self._is_wired:
            self._is_wired = True
            await curio.spawn(self.wire.run, daemon=True)
        self._runs += 1
        random = Random(self._runs)
        began_at = self.time.now
        starts = sorted((random.random() * START_SPREAD_S, one) for one in range(self._count))
        for after_s, number in starts:
            await curio.sleep(max(0.0, began_at + after_s - self.time.now))
            with self._wired(node_host(number)):
                node = ReturningNode(number, self, self._runs)
            self.nodes.append(node)
            await node.start()

    async def kill_all(self) -> None:
        """End all processes at once."""
        for node in self.nodes:
            await node.kill()
        self.nodes = []

    def coordinates(self, node: str) -> bool:
        """Whether a node holds the role of the coordinator."""
        return any(one.fleet.coordinator.is_active for one in self.nodes if one.name == node)

    def core_hosts(self) -> set[str]:
        """Return the hosts of the coordinator and its standbys."""
        (active,) = [one for one in self.nodes if one.fleet.coordinator.is_active]
        current = active.fleet.leader.current
        assert current is not None
        return {current.holder.host, *(one.host for one in current.standbys)}

    async def until(self, condition: Callable[[ReturningNode], bool], longest_s: float) -> float:
        """Return the time until a condition holds at every node."""
        began_at = self.time.now
        while not all(condition(one) for one in self.nodes):
            if self.time.now - began_at > longest_s:
                lacking = sum(not condition(one) for one in self.nodes)
                raise AssertionError(f"{lacking} nodes lack it after {longest_s} s")
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
