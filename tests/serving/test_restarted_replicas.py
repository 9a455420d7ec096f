"""Replicas that start again under the id that they had."""

import os
from collections.abc import Sequence
from typing import Any

import curio
import msgspec
import pytest
import xxhash
from fleet_world import FleetWorld, configuration, free_port, in_world, route
from hypothesis import given
from hypothesis import strategies as st
from job_world import HandClock
from test_scheduler import Fleet

from cloverwalk.core.clock import monotonic_s
from cloverwalk.emulator.replica_runs import Misdeed
from cloverwalk.fleet.messages import DirectoryUpdate, decode_datagram, encode_datagram
from cloverwalk.gateway import restarts
from cloverwalk.gateway.crash_detector import CrashDetector, Delivery
from cloverwalk.gateway.crash_ledger import CrashLedger
from cloverwalk.gateway.errors import RESTARTED, ReplicaError
from cloverwalk.gateway.replica_connection import Reachability, ReplicaPool
from cloverwalk.gateway.replicas import LATE_ENTRIES, Replica, ReplicaDirectory
from cloverwalk.jobs.runner import BatchRunner
from cloverwalk.platform import names
from cloverwalk.telemetry.log import ServingLog
from cloverwalk.telemetry.metrics import ServingMetrics

PATIENT_MS = 60_000
CONTENT = "c" * 20


def start(version: int, born_ms: int, **more: Any) -> Replica:
    one = Replica("r1", "model", "10.0.0.1", 80, "z1", 8, False, version, born_ms)
    return msgspec.structs.replace(one, **more)


class Starts:
    """A directory, and the new starts that it told."""

    def __init__(self, *entries: Replica) -> None:
        self.directory = ReplicaDirectory()
        self.told: list[tuple[int, int]] = []
        self.directory.restart_listeners.append(
            lambda before, after: self.told.append((before.started_ms, after.started_ms))
        )
        for one in entries:
            self.directory.put(one)


# --- which start is known ---


def test_another_time_of_start_is_told_once() -> None:
    starts = Starts(start(1, 0), start(2, 5), start(3, 5), start(4, 9), start(5, 9))
    assert starts.told == [(5, 9)]


def test_a_start_is_new_also_after_its_entry_was_gone() -> None:
    starts = Starts(start(1, 5))
    starts.directory.remove("r1", 2)
    starts.directory.put(start(3, 9))
    assert starts.told == [(5, 9)]


def test_an_entry_without_a_time_of_start_tells_of_none() -> None:
    assert Starts(start(1, 5), start(2, 0), start(3, 5)).told == []


def test_late_news_does_not_bring_the_earlier_start_back() -> None:
    """By a peer with an older version, or by a write that the store did late."""
    starts = Starts(start(1, 5), start(3, 9))
    assert not starts.directory.put(start(2, 5))
    assert not starts.directory.put(start(4, 5))
    starts.directory.replace([start(4, 5)], 4)
    assert [one.started_ms for one in starts.directory.all()] == [9]
    starts.directory.put(start(5, 9))
    assert starts.told == [(5, 9)]


def test_a_replica_whose_clock_was_set_back_is_used() -> None:
    """A process that has ended does not write on and on."""
    starts = Starts(start(1, 9))
    for number in range(LATE_ENTRIES + 1):
        starts.directory.put(start(2 + number, 5))
    assert [one.started_ms for one in starts.directory.all()] == [5]
    assert starts.told == [(9, 5)]


@given(st.permutations([start(1, 5), start(2, 5), start(3, 9), start(4, 9), start(5, 12)]))
def test_starts_are_never_told_back_and_forth(entries: list[Replica]) -> None:
    starts = Starts(*entries)
    assert [one.started_ms for one in starts.directory.all()] == [12]
    assert all(before < after for before, after in starts.told)


def test_a_new_start_is_under_no_suspicion() -> None:
    directory = Starts(start(1, 5)).directory
    directory.suspect("r1", 10.0)
    directory.add_peer_suspects(["r1"], 10.0)
    directory.put(start(2, 9))
    assert not directory.is_suspect("r1", 10.1) and not directory.is_peer_suspect("r1", 10.1)


def test_nodes_tell_each_other_which_start_it_is() -> None:
    """Older nodes leave it out; a list in which none is told has the fingerprint that it had."""
    update = DirectoryUpdate(None, 1, 2, 0, [start(2, 9)])
    assert decode_datagram(encode_datagram(update)) == update
    short = msgspec.json.encode(msgspec.structs.astuple(start(2, 9))[:-1])
    assert msgspec.json.decode(short, type=Replica) == start(2, 0)
    prints = {Starts(start(1, born)).directory.fingerprint for born in (0, 5, 9)}
    assert len(prints) == 3


# --- what was counted there ---


def test_prompts_of_the_start_before_are_not_read_any_more() -> None:
    fleet = Fleet()
    entry = msgspec.structs.replace(fleet.directory.all()[0], version=2, started_ms=5)
    fleet.directory.put(entry)
    replicas = fleet.scheduler._replicas
    replicas.note_reading(entry.replica_id, 500.0, fleet.now)
    replicas.note_sent_suspect(entry.replica_id, CONTENT, fleet.now)
    fleet.directory.put(msgspec.structs.replace(entry, version=3, started_ms=9))
    assert replicas.prefill_ms(entry.replica_id, fleet.now) == 0
    assert replicas._other_suspects(entry.replica_id, "d" * 20, fleet.now) == 0


# --- requests and items that were there ---


@pytest.fixture
def no_quiet_time(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(restarts, "QUIET_S", 0.0)


async def begin(world: FleetWorld, replicas: int) -> None:
    """Start a fleet whose routes leave requests much time, and whose replicas tell their start."""
    await world.start(replicas=0, nodes=0)
    routes = [
        route("chat", "/chat/", "streaming", resumable=True, timeout_ms=PATIENT_MS),
        route("once", "/once/", "unsafe", max_attempts=1, timeout_ms=PATIENT_MS),
        route("jobs", "/jobs/", "batch", completion_target_ms=20000, retention_s=60),
    ]
    world.store.put(names.OPERATOR_TABLE, names.CONFIGURATION_KEY, configuration(2, routes))
    for number in range(replicas):
        replica = await world.add_replica()
        replica.born_ms = 1000 + number
        world.store.put(names.REPLICA_TABLE, replica.replica_id, replica.document("model", "z1"))
    await world.add_node()
    await world.until(lambda: world.nodes[0].is_ready)
    await world.until(lambda: len(world.nodes[0]._directory.usable("model")) == replicas)


async def restart(world: FleetWorld, number: int) -> None:
    """Let a replica write on, and then start again without a word to its callers."""
    replica, directory = world.replicas[number], world.nodes[0]._directory
    asked_at = monotonic_s()
    while directory.confirmed_at <= asked_at:
        document = replica.document("model", "z1")
        world.store.put(names.REPLICA_TABLE, replica.replica_id, document)
        await curio.sleep(0.01)
    replica.always = None
    replica.born_ms += 5000
    world.store.put(names.REPLICA_TABLE, replica.replica_id, replica.document("model", "z1"))


@pytest.mark.usefixtures("no_quiet_time")
def test_a_request_goes_on_elsewhere_when_its_replica_has_started_again() -> None:
    async def test(world: FleetWorld) -> None:
        await begin(world, 1)
        (first,) = world.replicas
        first.always = Misdeed.RUN_SILENTLY
        asking = await curio.spawn(world.ask, "/chat/a", "q1", PATIENT_MS)
        await world.until(lambda: first.running == 1)
        await world.add_replica()
        await world.until(lambda: len(world.nodes[0]._directory.usable("model")) == 2)
        await restart(world, 0)
        answer = await asking.join()
        assert answer.is_whole and answer.event_ids() == [1, 2, 3, 4]

    in_world(test)


@pytest.mark.usefixtures("no_quiet_time")
def test_a_request_that_may_not_be_repeated_gets_its_failure_at_once() -> None:
    async def test(world: FleetWorld) -> None:
        await begin(world, 2)
        for replica in world.replicas:
            replica.always = Misdeed.RUN_SILENTLY
        asking = await curio.spawn(world.ask, "/once/a", "q1", PATIENT_MS)
        await world.until(lambda: any(one.running for one in world.replicas))
        await restart(world, 0 if world.replicas[0].running else 1)
        answer = await asking.join()
        assert answer.status == 502
        assert sum(one.runs("q1") for one in world.replicas) == 1

    in_world(test)


@pytest.mark.usefixtures("no_quiet_time")
def test_items_go_on_elsewhere_and_forget_the_prompt_that_was_kept(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    kept_at: list[str] = []
    waiting_item = BatchRunner._waiting_item

    def note(runner: BatchRunner, job: Any, one: Any) -> Any:
        told = waiting_item(runner, job, one)
        if one.replica_id == "i-0":
            kept_at.append(told.replica_id)
        return told

    async def test(world: FleetWorld) -> None:
        await begin(world, 1)
        (first,) = world.replicas
        first.always = Misdeed.RUN_SILENTLY
        await world.hand_in("j", 1)
        await world.until(lambda: first.running == 1)
        monkeypatch.setattr(BatchRunner, "_waiting_item", note)
        await restart(world, 0)
        results = await world.until_done("j", 1)
        assert results[0]["state"] == "succeeded"
        assert kept_at and set(kept_at) == {""}

    in_world(test)


@pytest.mark.usefixtures("no_quiet_time")
def test_kept_connections_to_the_start_before_are_not_used() -> None:
    async def test(world: FleetWorld) -> None:
        await begin(world, 1)
        pool = world.nodes[0]._pool
        assert (await world.ask("/chat/a")).is_whole
        assert (await world.ask("/chat/a")).is_whole
        assert pool.opened == 1
        await restart(world, 0)
        start_known = lambda: world.nodes[0]._directory.all()[0].started_ms > 5000  # noqa: E731
        await world.until(start_known)
        assert (await world.ask("/chat/a")).is_whole
        assert pool.opened == 2

    in_world(test)


class Connection:
    """A connection to a replica, and whether it was broken off."""

    can_be_broken_off = True
    address = ("10.0.0.1", 80)

    def __init__(self, opened_at: float, quiet_since: float) -> None:
        self.opened_at, self.quiet_since = opened_at, quiet_since
        self.is_broken_off = False

    def break_off(self) -> None:
        self.is_broken_off = True


def broken_off(*connections: Connection, refused_at: float | None = None) -> list[bool]:
    """Return which are broken off at 100.0, when a list that was confirmed at 99.0 is outdated."""
    clock = HandClock(step_s=0.0)
    none: Any = None
    pool, directory = ReplicaPool(none, clock), ReplicaDirectory()
    log = ServingLog("n1", clock, os.open(os.devnull, os.O_WRONLY))
    watch = restarts.RestartHandler(directory, pool, none, log, ServingMetrics(), clock)
    known: Any = pool._all
    known.update(connections)
    if refused_at is not None:
        pool._refused_at[Connection.address] = refused_at
    directory.put(start(1, 5))
    directory.confirmed_at = 99.0
    directory.put(start(2, 9))
    found = [one.is_broken_off for one in connections]
    clock.now += restarts.QUIET_S
    watch.abort_stale()
    assert all(one.is_broken_off for one, before in zip(connections, found, strict=True) if before)
    return found + [one.is_broken_off for one in connections]


def test_what_was_sent_since_the_list_was_confirmed_is_left_alone() -> None:
    """It may be at the new start already: nothing tells which one it reached."""
    old, moving, young = Connection(90, 91), Connection(90, 99.9), Connection(99.5, 99.5)
    assert broken_off(old, moving, young) == [True, False, False, True, True, False]


def test_what_was_sent_after_its_address_had_refused_is_left_alone() -> None:
    """It is at the new start, whose entry came late."""
    old, new = Connection(90, 91), Connection(97, 98)
    assert broken_off(old, new) == [True, True] * 2
    assert broken_off(Connection(90, 91), Connection(97, 98), refused_at=95.0) == [True, False] * 2


def test_an_address_that_refuses_is_remembered_until_the_next_start() -> None:
    async def main() -> None:
        codec: Any = None
        pool, address = ReplicaPool(codec, HandClock()), ("127.0.0.1", free_port())
        assert await pool.probe(address) is Reachability.REFUSES
        probed_at = pool.take_refusal(address)
        assert probed_at < float("inf") == pool.take_refusal(address)
        with pytest.raises(ReplicaError):
            await pool.acquire(address, "q1")
        assert probed_at < pool.take_refusal(address) < float("inf")

    curio.run(main)


def test_a_list_in_which_no_start_is_told_says_what_it_said_before() -> None:
    told = ("r1", "model", "10.0.0.1", 80, "z1", 8, False, 0)
    expected = xxhash.xxh64_intdigest(repr(told).encode()) >> 16
    assert Starts(start(3, 0)).directory.fingerprint == expected


# --- evidence against requests ---


def crashes(
    *failures: tuple[Replica, bool],
    answered_at: float | None = None,
    entries: Sequence[Replica] = (),
) -> int:
    """Return how many replicas ended under a request, by what was broken off."""
    clock = HandClock(step_s=0.0)
    ledger = CrashLedger()
    log = ServingLog("n1", clock, os.open(os.devnull, os.O_WRONLY))
    pool: Any = None
    directory = Starts(*entries).directory
    witness = CrashDetector(ledger, directory, pool, log, ServingMetrics(), clock)

    async def main() -> None:
        if answered_at is not None:
            ledger.note_answer(CONTENT, answered_at)
        for replica, is_new in failures:
            delivery = Delivery(is_new, clock.now - 1.0)
            await witness.record_failure("q1", CONTENT, replica, RESTARTED, delivery)

    curio.run(main)
    return ledger.crashes(CONTENT)


def test_a_new_start_proves_that_the_one_before_ended_under_a_request() -> None:
    first, second = start(1, 5), start(2, 9)
    assert crashes((first, True)) == 1
    assert crashes((first, True), (first, True)) == 1
    assert crashes((first, True), (second, True)) == 2


def test_a_start_that_refuses_counts_for_itself() -> None:
    """A replica that ends, comes back under its id and ends again has ended twice."""
    clock = HandClock(step_s=0.0)
    ledger, directory = CrashLedger(), ReplicaDirectory()
    log = ServingLog("n1", clock, os.open(os.devnull, os.O_WRONLY))
    pool: Any = Refusing()
    witness = CrashDetector(ledger, directory, pool, log, ServingMetrics(), clock)

    async def main() -> None:
        for replica in (start(1, 5), start(2, 9)):
            directory.put(replica)
            delivery = Delivery(True, clock.now)
            await witness.record_failure("q1", CONTENT, replica, "reset", delivery)
            while witness._looks:
                await curio.sleep(0)

    curio.run(main)
    assert ledger.crashes(CONTENT) == 2


class Refusing:
    """An address at which nobody listens."""

    async def probe(self, address: tuple[str, int]) -> Reachability:
        return Reachability.REFUSES


def test_a_start_that_was_about_to_leave_is_no_evidence() -> None:
    """It was told to end: that a request was still there says nothing."""
    leaving = start(2, 5, is_draining=True)
    assert crashes((start(1, 5), True), entries=[start(1, 5), leaving, start(3, 9)]) == 0
    renewed = [start(1, 5), leaving, start(3, 9), start(4, 9)]
    assert crashes((start(1, 5), True), entries=renewed) == 0
    assert crashes((start(4, 9), True), entries=[*renewed, start(5, 12)]) == 1


def test_a_request_that_may_not_have_arrived_is_no_suspect() -> None:
    assert crashes((start(1, 5), False)) == 0


def test_a_request_that_was_answered_meanwhile_is_no_suspect() -> None:
    assert crashes((start(1, 5), True), answered_at=99.5) == 0
    assert crashes((start(1, 5), True), answered_at=98.5) == 1
