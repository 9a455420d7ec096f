"""Replicas of a soak behind proxies: they come, misbehave, drain, crash and come again."""

import hashlib
from collections.abc import Callable, Iterator
from itertools import count
from random import Random
from typing import Any

import attrs
import curio

from cloverwalk.emulator.platform_replica import PlatformReplica
from cloverwalk.emulator.platform_store_server import PlatformStoreServer
from cloverwalk.emulator.replica_runs import Arrival, Misdeed
from cloverwalk.platform import names
from cloverwalk.soak.addresses import SoakNetwork
from cloverwalk.soak.deployment import SERVICES, SLOTS
from cloverwalk.soak.events import RunBegan, RunEnded
from cloverwalk.soak.history import History
from cloverwalk.soak.proxy import FaultProxy

EVENT_S = 0.02
MAX_WAITING = 4
DRAIN_S = 2.0
"""A draining replica serves on for so long."""

DEFAULT_EVENTS = 5
FAILING = "fails"
"""Name of the folder of items' paths that are answered with 500, always."""

IMPOSSIBLE = "impossible"
"""The same with 422."""


CRASHING_BODY = b"ends whoever runs it"
"""A request with this body ends its replica, always."""

CRASHING_AWAY_S = 2.0
"""A replica that ended under a request is back after this time."""

FIRST_BORN_MS = 1_790_000_000_000
ODD_FIELDS: tuple[dict[str, object], ...] = (
    {"state": "resting"},
    {"slots": 0},
    {"address": "nowhere"},
    {"zone": 7},
    {"born": 1.5},
    {"service": None},
)
"""What another writer makes of an entry."""

LOOK_S = 0.005
"""How often replicas are looked at that have to end: so long they run the request."""


def digest(body: bytes) -> str:
    """Return a short name for a body's bytes."""
    return hashlib.blake2b(body, digest_size=8).hexdigest()


def events_of(arrival: Arrival) -> int:
    """Return how many events a request asks for; its header tells prompt and output tokens."""
    usage = arrival.headers.get(names.TOKEN_USAGE.decode().lower(), "")
    tokens = usage.partition(",")[2]
    return int(tokens) if tokens.isdecimal() else DEFAULT_EVENTS


class RunNotes:
    """Writes what replicas run into the history."""

    def __init__(self, history: History) -> None:
        self._history = history
        self._numbers: Iterator[int] = count(1)
        self.running: dict[int, Arrival] = {}
        self.services: dict[str, str] = {}

    def began(self, replica_id: str, arrival: Arrival) -> None:
        """A replica works on a request from now on."""
        arrival.run = next(self._numbers)
        self.running[arrival.run] = arrival
        last = arrival.headers.get(names.LAST_EVENT_ID.decode().lower())
        self._history.note(
            RunBegan(
                run=arrival.run,
                replica=replica_id,
                service=self.services[replica_id],
                request=arrival.request_id,
                method=arrival.method,
                target=arrival.target,
                body=digest(arrival.body),
                tenant=arrival.headers.get(names.TENANT.decode().lower()),
                has_key=names.AUTHORIZATION.decode().lower() in arrival.headers,
                last_event=None if last is None else int(last),
            )
        )

    def ended(self, replica_id: str, arrival: Arrival) -> None:
        """It does not any more."""
        self.running.pop(arrival.run, None)
        assert arrival.end is not None
        self._history.note(
            RunEnded(run=arrival.run, request=arrival.request_id, end=arrival.end.value)
        )


@attrs.define
class _Place:
    """Where one replica after the other runs."""

    number: int
    service: str
    address: tuple[str, int]
    proxy: FaultProxy
    replica: PlatformReplica | None = None
    task: Any = None
    carrying: Any = None
    is_busy: bool = False
    """A crash or a drain is under way."""


class ReplicaFleet:
    """All replicas."""

    def __init__(
        self,
        total: int,
        network: SoakNetwork,
        store: PlatformStoreServer,
        history: History,
        random: Random,
    ) -> None:
        self._store = store
        self._random = random
        self._starts = count(1)
        self._dying: list[int] = []
        """Numbers of replicas that run a request which ends them."""

        self._burying: Any = None
        self._misdeeds: dict[int, tuple[frozenset[str], Misdeed, float]] = {}
        self.notes = RunNotes(history)
        self.places = [self._place(number, network) for number in range(total)]

    def _place(self, number: int, network: SoakNetwork) -> _Place:
        host = network.replica(number)
        address = (host, network.port)
        proxy = FaultProxy((host, network.port + 1), address)
        return _Place(number, SERVICES[number % len(SERVICES)], address, proxy)

    async def start(self) -> None:
        """Start proxies and replicas."""
        for place in self.places:
            place.carrying = await curio.spawn(place.proxy.run, daemon=True)
            await self._come(place)
        self._burying = await curio.spawn(self._bury, daemon=True)

    async def _bury(self) -> None:
        """End replicas that run a request which ends them."""
        while True:
            await curio.sleep(LOOK_S)
            while self._dying:
                await curio.spawn(self.crash, self._dying.pop(), CRASHING_AWAY_S, daemon=True)

    async def close(self) -> None:
        """End proxies and replicas."""
        if self._burying is not None:
            await self._burying.cancel()
        for place in self.places:
            for task in (place.carrying, place.task):
                if task is not None:
                    await task.cancel()

    async def _come(self, place: _Place, known_id: str = "") -> None:
        """Start a replica, under a new id or a known one, and register it."""
        if place.carrying.terminated:
            place.proxy.listen()
            place.carrying = await curio.spawn(place.proxy.run, daemon=True)
        start = next(self._starts)
        name = known_id or f"i-{place.number}-{start}"
        replica = PlatformReplica(name, place.address, event_s=EVENT_S)
        replica.born_ms = FIRST_BORN_MS + start
        replica.slots = SLOTS
        replica.max_waiting = MAX_WAITING
        replica.observer = self.notes
        replica.events_of = events_of
        replica.choose_misdeed = self._chooser(name, place.number)
        self.notes.services[name] = place.service
        place.replica = replica
        place.task = await curio.spawn(replica.run, daemon=True)
        self._register(place, "ready")

    def _register(self, place: _Place, state: str) -> None:
        assert place.replica is not None
        document = self._document(place, state)
        self._store.put(names.REPLICA_TABLE, place.replica.replica_id, document)

    def _document(self, place: _Place, state: str) -> dict[str, Any]:
        assert place.replica is not None
        document = place.replica.document(place.service, f"z{place.number % 3 + 1}", state)
        host, port = place.proxy.address
        return {**document, "address": f"{host}:{port}"}

    async def _go(self, place: _Place) -> None:
        assert place.replica is not None
        # The port closes before the connections, as at the end of a process: on a busy machine
        # the steps here are more than 0.1 s apart.
        await place.carrying.cancel()
        await place.task.cancel()
        await place.replica.crash()
        await place.proxy.reset()

    # --- faults ---

    async def crash(self, number: int, away_s: float) -> None:
        """End a replica without a word; its entry lapses, and another one takes its place."""
        place = self.places[number]
        if place.is_busy or place.replica is None:
            return
        place.is_busy = True
        await self._go(place)
        await curio.sleep(away_s / 2)
        self._store.remove(names.REPLICA_TABLE, place.replica.replica_id)
        await curio.sleep(away_s / 2)
        await self._come(place)
        place.is_busy = False

    async def restart(self, number: int, away_s: float) -> None:
        """End a replica behind silent connections; it starts again under its id."""
        place = self.places[number]
        if place.is_busy or place.replica is None:
            return
        place.is_busy = True
        place.proxy.silence()
        await place.carrying.cancel()
        await place.task.cancel()
        await place.replica.crash()
        await curio.sleep(away_s)
        await self._come(place, place.replica.replica_id)
        place.is_busy = False

    async def spoil_entry(self, number: int, duration_s: float) -> None:
        """Let another writer change a replica's entry; it is good again later."""
        place = self.places[number]
        if place.is_busy or place.replica is None:
            return
        place.is_busy = True
        odd = {**self._document(place, "ready"), **self._random.choice(ODD_FIELDS)}
        self._store.put(names.REPLICA_TABLE, place.replica.replica_id, odd)
        await curio.sleep(duration_s)
        self._register(place, "ready")
        place.is_busy = False

    async def drain(self, number: int, away_s: float) -> None:
        """End a replica as planned; another one takes its place."""
        place = self.places[number]
        if place.is_busy or place.replica is None:
            return
        place.is_busy = True
        self._register(place, "draining")
        await curio.sleep(DRAIN_S)
        self._store.remove(names.REPLICA_TABLE, place.replica.replica_id)
        await curio.sleep(DRAIN_S)
        await self._go(place)
        await curio.sleep(away_s)
        await self._come(place)
        place.is_busy = False

    def misbehave(self, fault: int, numbers: list[int], misdeed: Misdeed, share: float) -> None:
        """Let replicas do something wrong with a share of their requests."""
        ids = [self.places[one].replica for one in numbers]
        names_of = frozenset(one.replica_id for one in ids if one is not None)
        self._misdeeds[fault] = (names_of, misdeed, share)

    def behave(self, fault: int) -> None:
        """End that."""
        self._misdeeds.pop(fault, None)

    def _chooser(self, replica_id: str, number: int) -> Callable[[Arrival], Misdeed | None]:
        def choose(arrival: Arrival) -> Misdeed | None:
            if arrival.body == CRASHING_BODY:
                self._dying.append(number)
                return Misdeed.RUN_SILENTLY
            if f"/{FAILING}/" in arrival.target:
                return Misdeed.FAIL
            if f"/{IMPOSSIBLE}/" in arrival.target:
                return Misdeed.IMPOSSIBLE
            for replicas, misdeed, share in self._misdeeds.values():
                if replica_id in replicas and self._random.random() < share:
                    return misdeed
            return None

        return choose
