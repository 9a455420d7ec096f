"""Emulated replicas behind proxies that misbehave, drain, crash and restart."""

import hashlib
from collections.abc import Callable, Iterator
from itertools import count, cycle
from random import Random
from typing import Any

import attrs
import curio

from cloverwalk.emulator.platform_replica import PlatformReplica
from cloverwalk.emulator.platform_store_server import PlatformStoreServer
from cloverwalk.emulator.replica_runs import Arrival, Misdeed
from cloverwalk.platform import names
from cloverwalk.soak.addresses import SoakNetwork
from cloverwalk.soak.deployment import (
    PAUSED_ROUTE,
    ROUTES,
    SERVICES,
    SLOTS_PER_REPLICA,
    SOFTWARE_VERSIONS,
    ZONES,
)
from cloverwalk.soak.events import ReplicaStarted, ReplicaStopped, RunBegan, RunEnded
from cloverwalk.soak.history import History
from cloverwalk.soak.proxy import FaultProxy

EVENT_INTERVAL_S = 0.02
PAUSED_EVENT_INTERVAL_S = 0.27
"""Pause between the events of streams that last for seconds."""

MAX_QUEUED_REQUESTS = 4
FIRST_JOIN_NUMBER = 36
"""Lowest number of replicas that join later, which are all of the first service."""

MAX_NUMBER = 100
"""Numbers of replicas are below this; see ``SoakNetwork``."""

DRAIN_PHASE_S = 2.0
"""How long a draining replica serves before, and again after, its entry is removed."""

DEFAULT_EVENTS = 5
STREAM = "streaming"
"""Kind of the routes whose answers are event streams."""

FAILING_FOLDER = "fails"
"""Path segment of items that are always answered 500."""

IMPOSSIBLE_FOLDER = "impossible"
"""Path segment of items that are always answered 422."""


CRASHING_BODY = b"ends whoever runs it"
"""A request with this body always crashes its replica."""

GUILTY_PREFIX = "bad"
"""Begin of the ids of parts that crash each replica which begins to answer a request with them."""

CRASH_DOWNTIME_S = 2.0
"""Downtime after a request crashed a replica."""

UNLUCKY_ITEMS = 2
"""Items under which the replicas of one series of crashes end."""

FIRST_STARTED_AT_MS = 1_790_000_000_000
INVALID_FIELDS: tuple[dict[str, object], ...] = (
    {"state": "resting"},
    {"slots": 0},
    {"address": "nowhere"},
    {"zone": 7},
    {"born": 1.5},
    {"service": None},
)
"""Changes to a replica's entry that make it invalid."""

CRASH_POLL_INTERVAL_S = 0.005
"""Interval of the crashes of marked replicas; the crashing request runs for about this long."""


def digest(body: bytes) -> str:
    """Return a short hash of a body."""
    return hashlib.blake2b(body, digest_size=8).hexdigest()


def requested_events(arrival: Arrival) -> int:
    """Return how many events a request asks for: the output tokens in its header."""
    token_usage = arrival.headers.get(names.TOKEN_USAGE.decode().lower(), "")
    output_tokens = token_usage.partition(",")[2]
    return int(output_tokens) if output_tokens.isdecimal() else DEFAULT_EVENTS


def _event_interval_s(arrival: Arrival) -> float:
    is_paused = arrival.target.startswith(PAUSED_ROUTE.prefix)
    return PAUSED_EVENT_INTERVAL_S if is_paused else EVENT_INTERVAL_S


def guilty_part(arrival: Arrival) -> str:
    """Return the part of a request's prompt that crashes replicas; empty if there is none."""
    prompt = arrival.headers.get(names.PREFIX_HASH.decode().lower(), "")
    part_ids = [part.partition(":")[0] for part in prompt.split(",")[:-1]]
    return next((part_id for part_id in part_ids if part_id.startswith(GUILTY_PREFIX)), "")


def _is_sound_item(arrival: Arrival) -> bool:
    """Whether a request is an item that a replica can do."""
    is_item = any(arrival.target.startswith(route.prefix) for route in ROUTES if route.is_batch)
    folders = (f"/{FAILING_FOLDER}/", f"/{IMPOSSIBLE_FOLDER}/")
    return is_item and not any(folder in arrival.target for folder in folders)


def _is_stream(arrival: Arrival) -> bool:
    """Whether a crash shows in an answer that has neither a length nor chunks: the answers of all
    routes are events here, and only streams are checked for events that are cut off."""
    return any(arrival.target.startswith(route.prefix) for route in ROUTES if route.kind == STREAM)


@attrs.define
class _UnluckyItems:
    """Items whose replicas crash, though the items are sound."""

    crashes_left: int
    items: set[str] = attrs.Factory(set)

    def is_hit(self, arrival: Arrival) -> bool:
        """Whether the replica of a request crashes now; the first items to come are chosen."""
        if self.crashes_left <= 0 or not _is_sound_item(arrival):
            return False
        if len(self.items) < UNLUCKY_ITEMS:
            self.items.add(arrival.request_id)
        if arrival.request_id not in self.items:
            return False
        self.crashes_left -= 1
        return True


class RunRecorder:
    """Records the runs of replicas in the history."""

    def __init__(self, history: History) -> None:
        self._history = history
        self._run_numbers: Iterator[int] = count(1)
        self.running: dict[int, Arrival] = {}
        self.service_by_replica: dict[str, str] = {}
        self.zone_by_replica: dict[str, str] = {}

    def began(self, replica_id: str, arrival: Arrival) -> None:
        """Record that a replica started to run a request."""
        arrival.run = next(self._run_numbers)
        self.running[arrival.run] = arrival
        last_event = arrival.headers.get(names.LAST_EVENT_ID.decode().lower())
        self._history.record(
            RunBegan(
                run=arrival.run,
                replica=replica_id,
                service=self.service_by_replica[replica_id],
                request=arrival.request_id,
                method=arrival.method,
                target=arrival.target,
                body=digest(arrival.body),
                tenant=arrival.headers.get(names.TENANT.decode().lower()),
                has_key=names.AUTHORIZATION.decode().lower() in arrival.headers,
                last_event=None if last_event is None else int(last_event),
                zone=self.zone_by_replica[replica_id],
            )
        )

    def ended(self, replica_id: str, arrival: Arrival) -> None:
        """Record that the run ended."""
        self.running.pop(arrival.run, None)
        assert arrival.end is not None
        self._history.record(
            RunEnded(run=arrival.run, request=arrival.request_id, end=arrival.end.value)
        )


@attrs.define
class _ReplicaHost:
    """An address where one replica after another runs, and its proxy."""

    number: int
    service: str
    address: tuple[str, int]
    proxy: FaultProxy
    software_version: str
    """Software version of the next replica."""

    replica: PlatformReplica | None = None
    replica_task: Any = None
    proxy_task: Any = None
    is_changing: bool = False
    """Whether the replica is being crashed, drained, restarted or its entry is corrupted."""

    @property
    def zone(self) -> str:
        """The zone of the address."""
        return ZONES[self.number % len(ZONES)]


class ReplicaFleet:
    """All replicas, and the faults that they are subject to."""

    def __init__(
        self,
        total: int,
        network: SoakNetwork,
        store: PlatformStoreServer,
        history: History,
        random: Random,
        software_versions: int = 1,
        closing_interval: int = 0,
    ) -> None:
        self._closing_interval = closing_interval
        self._history = history
        self._software_versions = SOFTWARE_VERSIONS[:software_versions]
        self._store = store
        self._random = random
        self._start_numbers = count(1)
        self._crashing: list[int] = []
        """Numbers of replicas that run the crashing request."""

        self._crash_task: Any = None
        self._misdeeds: dict[int, tuple[frozenset[str], Misdeed, float]] = {}
        self._unlucky: dict[int, _UnluckyItems] = {}
        """By fault."""

        self.run_recorder = RunRecorder(history)
        self._network = network
        self.hosts = [self._make_host(number) for number in range(total)]
        self._joined: dict[int, _ReplicaHost] = {}
        """Replicas beside ``hosts``, by number."""

        self._join_numbers = cycle(range(FIRST_JOIN_NUMBER, MAX_NUMBER, len(SERVICES)))

    def _make_host(self, number: int) -> _ReplicaHost:
        network = self._network
        ip = network.replica_host(number)
        address = (ip, network.port)
        proxy = FaultProxy((ip, network.port + 1), address)
        service = SERVICES[number % len(SERVICES)]
        versions = self._software_versions
        version = versions[number // len(SERVICES) % len(versions)]
        return _ReplicaHost(number, service, address, proxy, version)

    async def start(self) -> None:
        """Start proxies and replicas."""
        for host in self.hosts:
            host.proxy_task = await curio.spawn(host.proxy.run, daemon=True)
            await self._start_replica(host)
        self._crash_task = await curio.spawn(self._crash_marked_replicas, daemon=True)

    async def _crash_marked_replicas(self) -> None:
        """Crash the replicas that run the crashing request."""
        while True:
            await curio.sleep(CRASH_POLL_INTERVAL_S)
            while self._crashing:
                await curio.spawn(self.crash, self._crashing.pop(), CRASH_DOWNTIME_S, daemon=True)

    async def close(self) -> None:
        """Stop proxies and replicas."""
        if self._crash_task is not None:
            await self._crash_task.cancel()
        for host in (*self.hosts, *self._joined.values()):
            for task in (host.proxy_task, host.replica_task):
                if task is not None:
                    await task.cancel()

    async def _start_replica(self, host: _ReplicaHost, reused_id: str = "") -> None:
        """Start a replica with a new id, or with ``reused_id``, and register it."""
        if host.proxy_task.terminated:
            host.proxy.listen()
            host.proxy_task = await curio.spawn(host.proxy.run, daemon=True)
        start_number = next(self._start_numbers)
        replica_id = reused_id or f"i-{host.number}-{start_number}"
        replica = PlatformReplica(replica_id, host.address, event_s=EVENT_INTERVAL_S)
        replica.started_at_ms = FIRST_STARTED_AT_MS + start_number
        replica.software_version = host.software_version
        replica.shows_software_version = True
        replica.slots = SLOTS_PER_REPLICA
        replica.max_waiting = MAX_QUEUED_REQUESTS
        replica.observer = self.run_recorder
        replica.choose_event_count = requested_events
        replica.choose_event_interval_s = _event_interval_s
        interval = self._closing_interval
        if interval > 0 and host.number % interval == 0:
            replica.closes_after = _is_stream
        replica.choose_misdeed = self._misdeed_chooser(replica_id, host.number)
        self.run_recorder.service_by_replica[replica_id] = host.service
        self.run_recorder.zone_by_replica[replica_id] = host.zone
        host.replica = replica
        host.replica_task = await curio.spawn(replica.run, daemon=True)
        self._record_start(host)
        self._register(host, "ready")

    def _register(self, host: _ReplicaHost, state: str) -> None:
        assert host.replica is not None
        document = self._document(host, state)
        self._store.put(names.REPLICA_TABLE, host.replica.replica_id, document)

    def _document(self, host: _ReplicaHost, state: str) -> dict[str, Any]:
        assert host.replica is not None
        document = host.replica.document(host.service, host.zone, state)
        ip, port = host.proxy.address
        return {**document, "address": f"{ip}:{port}"}

    async def _stop_replica(self, host: _ReplicaHost) -> None:
        assert host.replica is not None
        # The port closes before the connections, as at the exit of a process: the order matters,
        # since on a busy machine these steps are more than 0.1 s apart.
        await host.proxy_task.cancel()
        await host.replica_task.cancel()
        await host.replica.crash()
        await host.proxy.reset()

    def _record_start(self, host: _ReplicaHost) -> None:
        assert host.replica is not None
        started = ReplicaStarted(
            replica=host.replica.replica_id,
            service=host.service,
            software_version=host.software_version,
            zone=host.zone,
        )
        self._history.record(started)

    def _record_stop(self, host: _ReplicaHost) -> None:
        assert host.replica is not None
        self._history.record(ReplicaStopped(replica=host.replica.replica_id))

    # --- faults ---

    async def join(self, software_version: str) -> int:
        """Start a replica of the first service at an address of its own; return its number."""
        number = next(number for number in self._join_numbers if number not in self._joined)
        host = self._make_host(number)
        host.software_version = software_version
        host.proxy_task = await curio.spawn(host.proxy.run, daemon=True)
        self._joined[number] = host
        await self._start_replica(host)
        return number

    async def leave(self, number: int) -> None:
        """Drain and stop a replica that joined."""
        host = self._joined[number]
        while host.is_changing:
            await curio.sleep(CRASH_POLL_INTERVAL_S)
        await self._drain(host)
        del self._joined[number]

    async def crash(self, number: int, downtime_s: float) -> None:
        """Crash a replica; its entry is removed later, and a replica with a new id replaces it."""
        host = self.hosts[number] if number < len(self.hosts) else self._joined.get(number)
        if host is None or host.is_changing or host.replica is None:
            return
        host.is_changing = True
        self._record_stop(host)
        await self._stop_replica(host)
        await curio.sleep(downtime_s / 2)
        self._store.remove(names.REPLICA_TABLE, host.replica.replica_id)
        await curio.sleep(downtime_s / 2)
        await self._start_replica(host)
        host.is_changing = False

    async def restart(self, number: int, downtime_s: float) -> None:
        """Restart a replica with the same id; its callers get neither bytes nor a reset."""
        host = self.hosts[number]
        if host.is_changing or host.replica is None:
            return
        host.is_changing = True
        self._record_stop(host)
        host.proxy.silence()
        await host.proxy_task.cancel()
        await host.replica_task.cancel()
        await host.replica.crash()
        await curio.sleep(downtime_s)
        await self._start_replica(host, host.replica.replica_id)
        host.is_changing = False

    async def corrupt_entry(self, number: int, duration_s: float) -> None:
        """Write an invalid entry for a replica; restore the valid one after a time."""
        host = self.hosts[number]
        if host.is_changing or host.replica is None:
            return
        host.is_changing = True
        self._record_stop(host)
        invalid = {**self._document(host, "ready"), **self._random.choice(INVALID_FIELDS)}
        self._store.put(names.REPLICA_TABLE, host.replica.replica_id, invalid)
        await curio.sleep(duration_s)
        self._register(host, "ready")
        self._record_start(host)
        host.is_changing = False

    async def drain(self, number: int, downtime_s: float, next_version: str = "") -> None:
        """Drain and stop a replica; one with a new id, and perhaps other software, replaces it."""
        host = self.hosts[number]
        if host.is_changing or host.replica is None:
            return
        await self._drain(host)
        await curio.sleep(downtime_s)
        host.software_version = next_version or host.software_version
        await self._start_replica(host)
        host.is_changing = False

    async def _drain(self, host: _ReplicaHost) -> None:
        """Drain and stop a replica, which is changing from then on."""
        assert host.replica is not None
        host.is_changing = True
        self._record_stop(host)
        self._register(host, "draining")
        await curio.sleep(DRAIN_PHASE_S)
        self._store.remove(names.REPLICA_TABLE, host.replica.replica_id)
        await curio.sleep(DRAIN_PHASE_S)
        await self._stop_replica(host)

    def begin_unlucky_items(self, fault: int, crashes: int) -> None:
        """Crash the replicas that begin to run the next items, so many times at the most."""
        self._unlucky[fault] = _UnluckyItems(crashes)

    def end_unlucky_items(self, fault: int) -> None:
        """End a series of such crashes."""
        self._unlucky.pop(fault, None)

    def begin_misdeed(self, fault: int, numbers: list[int], misdeed: Misdeed, share: float) -> None:
        """Let replicas mishandle a share of their requests until ``end_misdeed``."""
        replicas = [self.hosts[number].replica for number in numbers]
        replica_ids = frozenset(replica.replica_id for replica in replicas if replica is not None)
        self._misdeeds[fault] = (replica_ids, misdeed, share)

    def end_misdeed(self, fault: int) -> None:
        """End the misdeed of a fault."""
        self._misdeeds.pop(fault, None)

    def _misdeed_chooser(self, replica_id: str, number: int) -> Callable[[Arrival], Misdeed | None]:
        def choose(arrival: Arrival) -> Misdeed | None:
            if arrival.body == CRASHING_BODY:
                self._crashing.append(number)
                return Misdeed.RUN_SILENTLY
            if guilty_part(arrival):
                self._crashing.append(number)
                return Misdeed.BEGIN_SILENTLY
            if any(unlucky.is_hit(arrival) for unlucky in self._unlucky.values()):
                self._crashing.append(number)
                return Misdeed.RUN_SILENTLY
            if f"/{FAILING_FOLDER}/" in arrival.target:
                return Misdeed.FAIL
            if f"/{IMPOSSIBLE_FOLDER}/" in arrival.target:
                return Misdeed.IMPOSSIBLE
            for replica_ids, misdeed, share in self._misdeeds.values():
                if replica_id in replica_ids and self._random.random() < share:
                    return misdeed
            return None

        return choose
