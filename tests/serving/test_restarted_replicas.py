"""Replicas that restart under the same id."""

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
from job_world import ManualClock
from test_scheduler import Fleet

from cloverwalk.core.clock import monotonic_s
from cloverwalk.emulator.replica_runs import Misdeed
from cloverwalk.fleet.messages import DirectoryUpdate, decode_datagram, encode_datagram
from cloverwalk.gateway import restarts
from cloverwalk.gateway.crash_detector import CrashDetector, Delivery
from cloverwalk.gateway.crash_keys import RequestKeys
from cloverwalk.gateway.crash_ledger import CrashLedger
from cloverwalk.gateway.errors import RESTARTED, ReplicaError
from cloverwalk.gateway.replica_connection import Reachability, ReplicaPool
from cloverwalk.gateway.replicas import MAX_LATE_ENTRIES, Replica, ReplicaDirectory
from cloverwalk.jobs.runner import BatchRunner
from cloverwalk.platform import names
from cloverwalk.telemetry.log import ServingLog
from cloverwalk.telemetry.metrics import ServingMetrics

PATIENT_MS = 60_000
CONTENT = "c" * 20


def start(version: int, started_ms: int, **more: Any) -> Replica:
    replica = Replica("r1", "model", "10.0.0.1", 80, "z1", 8, False, version, started_ms)
    return msgspec.structs.replace(replica, **more)


class RestartRecorder:
    """A directory, and the restarts that it reported."""

    def __init__(self, *entries: Replica) -> None:
        self.directory = ReplicaDirectory()
        self.restarts: list[tuple[int, int]] = []
        self.directory.restart_listeners.append(
            lambda before, after: self.restarts.append((before.started_ms, after.started_ms))
        )
        for entry in entries:
            self.directory.put(entry)


# --- detection of restarts ---


def test_changed_start_time_is_reported_once() -> None:
    recorder = RestartRecorder(start(1, 0), start(2, 5), start(3, 5), start(4, 9), start(5, 9))
    assert recorder.restarts == [(5, 9)]


def test_restart_is_reported_after_entry_was_removed() -> None:
    recorder = RestartRecorder(start(1, 5))
    recorder.directory.remove("r1", 2)
    recorder.directory.put(start(3, 9))
    assert recorder.restarts == [(5, 9)]


def test_entry_without_start_time_reports_no_restart() -> None:
    assert RestartRecorder(start(1, 5), start(2, 0), start(3, 5)).restarts == []


def test_late_entry_does_not_restore_earlier_incarnation() -> None:
    """Such an entry comes from a peer with an older version, or from a late write to the store."""
    recorder = RestartRecorder(start(1, 5), start(3, 9))
    assert not recorder.directory.put(start(2, 5))
    assert not recorder.directory.put(start(4, 5))
    recorder.directory.replace([start(4, 5)], 4)
    assert [replica.started_ms for replica in recorder.directory.all()] == [9]
    recorder.directory.put(start(5, 9))
    assert recorder.restarts == [(5, 9)]


def test_replica_with_clock_set_back_is_used() -> None:
    """More entries than an ended process can write late come from a running one."""
    recorder = RestartRecorder(start(1, 9))
    for number in range(MAX_LATE_ENTRIES + 1):
        recorder.directory.put(start(2 + number, 5))
    assert [replica.started_ms for replica in recorder.directory.all()] == [5]
    assert recorder.restarts == [(9, 5)]


@given(st.permutations([start(1, 5), start(2, 5), start(3, 9), start(4, 9), start(5, 12)]))
def test_restarts_are_reported_in_order(entries: list[Replica]) -> None:
    recorder = RestartRecorder(*entries)
    assert [replica.started_ms for replica in recorder.directory.all()] == [12]
    assert all(before < after for before, after in recorder.restarts)


def test_new_incarnation_is_no_suspect() -> None:
    directory = RestartRecorder(start(1, 5)).directory
    directory.suspect("r1", 10.0)
    directory.add_peer_suspects(["r1"], 10.0)
    directory.put(start(2, 9))
    assert not directory.is_suspect("r1", 10.1) and not directory.is_peer_suspect("r1", 10.1)


def test_start_time_is_sent_between_nodes() -> None:
    """Older nodes leave the start time out; without any, the list keeps its old fingerprint."""
    update = DirectoryUpdate(None, 1, 2, 0, [start(2, 9)])
    assert decode_datagram(encode_datagram(update)) == update
    short = msgspec.json.encode(msgspec.structs.astuple(start(2, 9))[:-3])
    assert msgspec.json.decode(short, type=Replica) == start(2, 0)
    fingerprints = {
        RestartRecorder(start(1, started_ms)).directory.fingerprint for started_ms in (0, 5, 9)
    }
    assert len(fingerprints) == 3


# --- work counted at the previous incarnation ---


def test_prefill_of_previous_incarnation_is_dropped() -> None:
    fleet = Fleet()
    entry = msgspec.structs.replace(fleet.directory.all()[0], version=2, started_ms=5)
    fleet.directory.put(entry)
    replicas = fleet.scheduler._replicas
    replicas.record_prefill(entry.replica_id, 500.0, fleet.now)
    replicas.record_sent_crash_suspect(entry.replica_id, CONTENT, fleet.now)
    fleet.directory.put(msgspec.structs.replace(entry, version=3, started_ms=9))
    assert replicas.prefill_ms(entry.replica_id, fleet.now) == 0
    assert replicas._other_crash_suspects(entry.replica_id, "d" * 20, fleet.now) == 0


# --- requests and items at the previous incarnation ---


@pytest.fixture
def no_quiet_time(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(restarts, "QUIET_TIME_S", 0.0)


async def begin(world: FleetWorld, replicas: int) -> None:
    """Start a fleet with long timeouts, whose replicas report their start times."""
    await world.start(replicas=0, nodes=0)
    routes = [
        route("chat", "/chat/", "streaming", resumable=True, timeout_ms=PATIENT_MS),
        route("once", "/once/", "unsafe", max_attempts=1, timeout_ms=PATIENT_MS),
        route("jobs", "/jobs/", "batch", completion_target_ms=20000, retention_s=60),
    ]
    world.store.put(names.OPERATOR_TABLE, names.CONFIGURATION_KEY, configuration(2, routes))
    for number in range(replicas):
        replica = await world.add_replica()
        replica.started_at_ms = 1000 + number
        world.store.put(names.REPLICA_TABLE, replica.replica_id, replica.document("model", "z1"))
    await world.add_node()
    await world.wait_until(lambda: world.nodes[0].is_ready)
    await world.wait_until(lambda: len(world.nodes[0]._directory.usable("model")) == replicas)


async def restart(world: FleetWorld, number: int) -> None:
    """Let a replica write its entry again, and then restart without closing its connections."""
    replica, directory = world.replicas[number], world.nodes[0]._directory
    began_at = monotonic_s()
    while directory.confirmed_at <= began_at:
        document = replica.document("model", "z1")
        world.store.put(names.REPLICA_TABLE, replica.replica_id, document)
        await curio.sleep(0.01)
    replica.default_misdeed = None
    replica.started_at_ms += 5000
    world.store.put(names.REPLICA_TABLE, replica.replica_id, replica.document("model", "z1"))


@pytest.mark.usefixtures("no_quiet_time")
def test_request_resumes_elsewhere_after_replica_restart() -> None:
    async def test(world: FleetWorld) -> None:
        await begin(world, 1)
        (first,) = world.replicas
        first.default_misdeed = Misdeed.RUN_SILENTLY
        request_task = await curio.spawn(world.ask, "/chat/a", "q1", PATIENT_MS)
        await world.wait_until(lambda: first.running == 1)
        await world.add_replica()
        await world.wait_until(lambda: len(world.nodes[0]._directory.usable("model")) == 2)
        await restart(world, 0)
        answer = await request_task.join()
        assert answer.is_whole and answer.event_ids() == [1, 2, 3, 4]

    in_world(test)


@pytest.mark.usefixtures("no_quiet_time")
def test_request_that_is_not_retryable_fails_at_once_after_restart() -> None:
    async def test(world: FleetWorld) -> None:
        await begin(world, 2)
        for replica in world.replicas:
            replica.default_misdeed = Misdeed.RUN_SILENTLY
        request_task = await curio.spawn(world.ask, "/once/a", "q1", PATIENT_MS)
        await world.wait_until(lambda: any(replica.running for replica in world.replicas))
        await restart(world, 0 if world.replicas[0].running else 1)
        answer = await request_task.join()
        assert answer.status == 502
        assert sum(replica.runs("q1") for replica in world.replicas) == 1

    in_world(test)


@pytest.mark.usefixtures("no_quiet_time")
def test_items_resume_and_drop_cached_prompt_after_restart(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    reported_replica_ids: list[str] = []
    original_waiting_item = BatchRunner._waiting_item

    def record_waiting_item(runner: BatchRunner, job: Any, item: Any) -> Any:
        waiting_item = original_waiting_item(runner, job, item)
        if item.replica_id == "i-0":
            reported_replica_ids.append(waiting_item.replica_id)
        return waiting_item

    async def test(world: FleetWorld) -> None:
        await begin(world, 1)
        (first,) = world.replicas
        first.default_misdeed = Misdeed.RUN_SILENTLY
        await world.submit_job("j", 1)
        await world.wait_until(lambda: first.running == 1)
        monkeypatch.setattr(BatchRunner, "_waiting_item", record_waiting_item)
        await restart(world, 0)
        results = await world.until_done("j", 1)
        assert results[0]["state"] == "succeeded"
        assert reported_replica_ids and set(reported_replica_ids) == {""}

    in_world(test)


@pytest.mark.usefixtures("no_quiet_time")
def test_idle_connections_to_previous_incarnation_are_not_reused() -> None:
    async def test(world: FleetWorld) -> None:
        await begin(world, 1)
        pool = world.nodes[0]._pool
        assert (await world.ask("/chat/a")).is_whole
        assert (await world.ask("/chat/a")).is_whole
        assert pool.opened == 1
        await restart(world, 0)
        has_restarted = lambda: world.nodes[0]._directory.all()[0].started_ms > 5000  # noqa: E731
        await world.wait_until(has_restarted)
        assert (await world.ask("/chat/a")).is_whole
        assert pool.opened == 2

    in_world(test)


class Connection:
    """A connection to a replica, and whether it was aborted."""

    is_abortable = True
    address = ("10.0.0.1", 80)

    def __init__(self, opened_at: float, last_activity_at: float) -> None:
        self.opened_at, self.last_activity_at = opened_at, last_activity_at
        self.is_aborted = False

    def abort(self) -> None:
        self.is_aborted = True


def aborted_connections(*connections: Connection, refused_at: float | None = None) -> list[bool]:
    """Return which are aborted at 100.0 after a restart, if the list was confirmed at 99.0."""
    clock = ManualClock(step_s=0.0)
    no_dependency: Any = None
    pool, directory = ReplicaPool(no_dependency, clock), ReplicaDirectory()
    log = ServingLog("n1", clock, os.open(os.devnull, os.O_WRONLY))
    handler = restarts.RestartHandler(directory, pool, no_dependency, log, ServingMetrics(), clock)
    pool_connections: Any = pool._connections
    pool_connections.update(connections)
    if refused_at is not None:
        pool._refused_at[Connection.address] = refused_at
    directory.put(start(1, 5))
    directory.confirmed_at = 99.0
    directory.put(start(2, 9))
    aborted = [connection.is_aborted for connection in connections]
    clock.now += restarts.QUIET_TIME_S
    handler.abort_stale()
    assert all(
        connection.is_aborted
        for connection, before in zip(connections, aborted, strict=True)
        if before
    )
    return aborted + [connection.is_aborted for connection in connections]


def test_exchange_opened_after_list_was_confirmed_is_not_aborted() -> None:
    """It may be with the new incarnation already; nothing shows which one it reached."""
    old, moving, young = Connection(90, 91), Connection(90, 99.9), Connection(99.5, 99.5)
    assert aborted_connections(old, moving, young) == [True, False, False, True, True, False]


def test_exchange_opened_after_refusal_is_not_aborted() -> None:
    """It is with the new incarnation, whose entry came late."""
    old, new = Connection(90, 91), Connection(97, 98)
    assert aborted_connections(old, new) == [True, True] * 2
    assert (
        aborted_connections(Connection(90, 91), Connection(97, 98), refused_at=95.0)
        == [True, False] * 2
    )


def test_refused_connection_is_remembered_until_restart() -> None:
    async def main() -> None:
        codec: Any = None
        pool, address = ReplicaPool(codec, ManualClock()), ("127.0.0.1", free_port())
        assert await pool.probe(address) is Reachability.REFUSES
        probed_at = pool.pop_refused_at(address)
        assert probed_at < float("inf") == pool.pop_refused_at(address)
        with pytest.raises(ReplicaError):
            await pool.acquire(address, "q1")
        assert probed_at < pool.pop_refused_at(address) < float("inf")

    curio.run(main)


def test_fingerprint_without_start_time_is_unchanged() -> None:
    fields = ("r1", "model", "10.0.0.1", 80, "z1", 8, False, 0)
    expected = xxhash.xxh64_intdigest(repr(fields).encode()) >> 16
    assert RestartRecorder(start(3, 0)).directory.fingerprint == expected


# --- evidence against requests ---


def crashes(
    *failures: tuple[Replica, bool],
    answered_at: float | None = None,
    entries: Sequence[Replica] = (),
) -> int:
    """Return how many crashes are counted for a request after aborted attempts."""
    clock = ManualClock(step_s=0.0)
    ledger = CrashLedger()
    log = ServingLog("n1", clock, os.open(os.devnull, os.O_WRONLY))
    pool: Any = None
    directory = RestartRecorder(*entries).directory
    detector = CrashDetector(ledger, directory, pool, log, ServingMetrics(), clock)

    async def main() -> None:
        if answered_at is not None:
            ledger.note_answer(CONTENT, answered_at)
        for replica, is_new in failures:
            delivery = Delivery(is_new, clock.now - 1.0)
            await detector.record_failure("q1", RequestKeys(CONTENT), replica, RESTARTED, delivery)

    curio.run(main)
    return ledger.crashes(CONTENT)


def test_restart_counts_crash_of_previous_incarnation() -> None:
    first, second = start(1, 5), start(2, 9)
    assert crashes((first, True)) == 1
    assert crashes((first, True), (first, True)) == 1
    assert crashes((first, True), (second, True)) == 2


def test_each_incarnation_counts_separately() -> None:
    """A replica that ends, restarts under its id and ends again has ended twice."""
    clock = ManualClock(step_s=0.0)
    ledger, directory = CrashLedger(), ReplicaDirectory()
    log = ServingLog("n1", clock, os.open(os.devnull, os.O_WRONLY))
    pool: Any = Refusing()
    detector = CrashDetector(ledger, directory, pool, log, ServingMetrics(), clock)

    async def main() -> None:
        for replica in (start(1, 5), start(2, 9)):
            directory.put(replica)
            delivery = Delivery(True, clock.now)
            await detector.record_failure("q1", RequestKeys(CONTENT), replica, "reset", delivery)
            while detector._probes:
                await curio.sleep(0)

    curio.run(main)
    assert ledger.crashes(CONTENT) == 2


class Refusing:
    """An address at which nothing listens."""

    async def probe(self, address: tuple[str, int]) -> Reachability:
        return Reachability.REFUSES


def test_draining_incarnation_is_no_evidence() -> None:
    """It was about to end, so a request that it still had is no evidence."""
    leaving = start(2, 5, is_draining=True)
    assert crashes((start(1, 5), True), entries=[start(1, 5), leaving, start(3, 9)]) == 0
    renewed = [start(1, 5), leaving, start(3, 9), start(4, 9)]
    assert crashes((start(1, 5), True), entries=renewed) == 0
    assert crashes((start(4, 9), True), entries=[*renewed, start(5, 12)]) == 1


def test_request_that_may_be_undelivered_is_no_suspect() -> None:
    assert crashes((start(1, 5), False)) == 0


def test_answered_request_is_no_suspect() -> None:
    assert crashes((start(1, 5), True), answered_at=99.5) == 0
    assert crashes((start(1, 5), True), answered_at=98.5) == 1
