"""Store health and the store clock: waiting work continues as soon as the store recovers."""

import contextlib

import curio
from fleet_world import FleetWorld, in_world
from hypothesis import given
from hypothesis import strategies as st
from job_world import ManualClock, OwnerNode, batch_route, exactly, submission

from cloverwalk.core.clock import Clock
from cloverwalk.emulator.memory_store import MemoryStore
from cloverwalk.fleet import election, follower
from cloverwalk.jobs import checkpoint, commit
from cloverwalk.jobs.checkpoint import Checkpointer
from cloverwalk.jobs.records import PARTIAL_TABLE
from cloverwalk.jobs.run import JobRun
from cloverwalk.serving import store_probe
from cloverwalk.serving.node import ServingNode
from cloverwalk.store.clock import StoreClock
from cloverwalk.store.health import KEPT_ROUND_TRIPS, MonitoredStore, StoreHealth
from cloverwalk.store.types import CommitStatus, Put, RowKey, RowPage, StoreError, Transaction

HOUR_MS = 3_600_000.0
TEST_TIMEOUT_S = 5.0


def run_with_timeout(test: object) -> None:
    async def main() -> None:
        async with curio.timeout_after(TEST_TIMEOUT_S):
            await test()  # type: ignore[operator]

    curio.run(main)


def test_backoff_ends_when_the_store_recovers() -> None:
    async def test() -> None:
        health = StoreHealth(Clock(ManualClock()))
        await health.record_failure()
        task = await curio.spawn(health.backoff, HOUR_MS)
        await curio.sleep(0)
        assert health.is_unavailable
        await health.record_answer()
        await task.join()
        assert not health.is_unavailable

    run_with_timeout(test)


def all_feeds_failed(node: ServingNode) -> bool:
    """Whether the last call for each table that the node follows was refused."""
    feeds = (node._configuration_follower, node._replica_follower, node._batch.follower)
    followed = [feed for feed in feeds if feed.confirmed_at > float("-inf")]
    return all(feed._failing_since is not None for feed in followed)


def test_a_node_that_sees_the_store_recover_notifies_its_peers(monkeypatch: object) -> None:
    async def test(world: FleetWorld) -> None:
        monkeypatch.setattr(store_probe, "COORDINATOR_PROBE_INTERVAL_MS", HOUR_MS)  # type: ignore[attr-defined]
        monkeypatch.setattr(store_probe, "NODE_PROBE_INTERVAL_MS", HOUR_MS)  # type: ignore[attr-defined]
        monkeypatch.setattr(follower, "MIN_RETRY_DELAY_S", HOUR_MS)  # type: ignore[attr-defined]
        monkeypatch.setattr(follower, "MAX_RETRY_DELAY_S", HOUR_MS)  # type: ignore[attr-defined]
        monkeypatch.setattr(election, "VERIFY_INTERVAL_S", HOUR_MS)  # type: ignore[attr-defined]
        await world.start(replicas=1, nodes=3)
        await world.wait_until(lambda: len(world.coordinator_registry()) == 3)
        world.store.is_busy = True
        healths = [node._health for node in world.nodes]
        # A pending feed call may still be answered after another feed of the node has failed.
        await world.wait_until(lambda: all(all_feeds_failed(node) for node in world.nodes))
        assert all(health.is_unavailable for health in healths)
        world.store.is_busy = False
        # A node other than the coordinator sees it first; the others learn it through that node.
        first = next(node for node in world.nodes if not node._fleet.coordinator.is_active)
        await first._health.hint_recovery()
        await world.wait_until(lambda: not any(health.is_unavailable for health in healths))

    in_world(test)


def test_each_store_answer_and_failure_updates_the_health() -> None:
    async def test() -> None:
        inner = MemoryStore()
        health = StoreHealth(Clock(ManualClock()))
        store = MonitoredStore(inner, health, StoreClock(Clock(ManualClock())))
        put = Transaction(puts=[Put(RowKey("t", "", "k"), b"v")])
        for call in (
            lambda: store.commit(put, 1.0),
            lambda: store.read("t", ""),
            lambda: store.read_table("t"),
            lambda: store.changes("t", 0, 0.01),
        ):
            inner.is_down = True
            with contextlib.suppress(StoreError):
                await call()
            assert health.is_unavailable
            inner.is_down = False
            await call()
            assert not health.is_unavailable

    run_with_timeout(test)


def test_every_store_answer_sets_the_store_clock() -> None:
    async def test() -> None:
        inner = MemoryStore()
        put = Transaction(puts=[Put(RowKey("t", "", "k"), b"v")])
        times = []
        for call in ("commit", "read", "read_table", "changes"):
            inner.now_ms += 5000.0
            store_clock = StoreClock(Clock(lambda: 1.0))
            store = MonitoredStore(inner, StoreHealth(Clock(ManualClock())), store_clock)
            assert store_clock.now() is None
            arguments = {
                "commit": (put, 1.0),
                "read": ("t", ""),
                "read_table": ("t",),
                "changes": ("t", 0, 0.01),
            }
            await getattr(store, call)(*arguments[call])
            times.append(store_clock.now())
        assert times == [exactly(at_ms) for at_ms in (5000.0, 10000.0, 15000.0, 20000.0)]

    run_with_timeout(test)


def test_an_unanswered_call_does_not_set_the_store_clock() -> None:
    async def test() -> None:
        inner = MemoryStore()
        inner.is_down = True
        store_clock = StoreClock(Clock(ManualClock()))
        store = MonitoredStore(inner, StoreHealth(Clock(ManualClock())), store_clock)
        put = Transaction(puts=[Put(RowKey("t", "", "k"), b"v")])
        await store.commit(put, 1.0)
        assert store_clock.now() is None

    run_with_timeout(test)


def test_an_answer_read_late_does_not_set_the_store_clock_back() -> None:
    now = ManualClock(step_s=0.0)
    store_clock = StoreClock(Clock(now))
    store_clock.record_answer(1000.0, sent_at_ms=store_clock.monotonic_ms())
    now.now += 4.0
    store_clock.record_answer(1100.0, sent_at_ms=store_clock.monotonic_ms() - 3900.0)
    estimate = store_clock.now()
    assert estimate is not None and 4990.0 < estimate.earliest_ms <= 5000.0
    assert 5000.0 <= estimate.latest_ms < 5010.0


def test_the_store_clock_recovers_after_a_machine_suspension() -> None:
    """The monotonic clock stopped during the suspension, so the answer contradicts the bounds."""
    now = ManualClock(step_s=0.0)
    store_clock = StoreClock(Clock(now))
    store_clock.record_answer(1000.0, sent_at_ms=store_clock.monotonic_ms())
    now.now += 1.0
    store_clock.record_answer(32_000.0, sent_at_ms=store_clock.monotonic_ms() - 4.0)
    estimate = store_clock.now()
    assert estimate is not None
    assert (estimate.earliest_ms, estimate.latest_ms) == (32_000.0, 32_004.0)
    now.now += 1.0
    store_clock.record_answer(1_000.0, sent_at_ms=store_clock.monotonic_ms())
    assert store_clock.now() == exactly(1_000.0)


@given(
    zero_ms=st.floats(-1e6, 1e6),
    calls=st.lists(
        st.tuples(st.floats(0, 5), st.floats(0, 5), st.floats(0, 60), st.floats(-1e-4, 1e-4)),
        min_size=1,
        max_size=8,
    ),
)
def test_the_store_time_lies_within_the_estimated_bounds(
    zero_ms: float, calls: list[tuple[float, float, float, float]]
) -> None:
    """For any delay of answers, any delay in reading them, and any clock drift in between."""
    now = ManualClock(step_s=0.0)
    store_clock = StoreClock(Clock(now))
    store_ms = zero_ms
    for request_delay_s, answer_delay_s, idle_s, drift in calls:
        sent_at_ms = store_clock.monotonic_ms()
        now.now += request_delay_s
        store_ms += request_delay_s * 1000
        reported_ms = store_ms
        now.now += answer_delay_s
        store_ms += answer_delay_s * 1000
        store_clock.record_answer(reported_ms, sent_at_ms)
        now.now += idle_s
        store_ms += idle_s * 1000 * (1 + drift)
        estimate = store_clock.now()
        assert estimate is not None
        assert estimate.earliest_ms - 0.01 <= store_ms <= estimate.latest_ms + 0.01


def test_a_transaction_in_backoff_is_retried_when_the_store_recovers(monkeypatch: object) -> None:
    async def test() -> None:
        monkeypatch.setattr(commit, "INITIAL_RETRY_DELAY_S", HOUR_MS / 1000)  # type: ignore[attr-defined]
        inner = MemoryStore()
        inner.is_down = True
        health = StoreHealth(Clock(ManualClock()))
        store = MonitoredStore(inner, health, StoreClock(Clock(ManualClock())))
        committer = commit.Committer(store, health, lambda: 0.0)
        put = Transaction(puts=[Put(RowKey("t", "", "k"), b"v")])
        task = await curio.spawn(committer.commit_until_resolved, put, 2 * HOUR_MS)
        while not health.is_unavailable:
            await curio.sleep(0)
        inner.is_down = False
        await store.read("t", "")
        outcome = await task.join()
        assert outcome.status is CommitStatus.COMMITTED

    run_with_timeout(test)


def test_running_items_are_checkpointed_when_the_store_recovers(monkeypatch: object) -> None:
    async def test() -> None:
        monkeypatch.setattr(checkpoint, "SAVE_INTERVAL_MS", HOUR_MS)  # type: ignore[attr-defined]
        store = MemoryStore()
        node = OwnerNode("n1", store, ManualClock())
        await node.submit(submission("j"), batch_route())
        job = node.jobs["j"]
        job.begin(job.items[0], "r1", 0.0)
        assert job.add_event(job.items[0], 1, "word")

        class FakeRunner:
            jobs = node.jobs

            async def wait_until_jobs(self) -> None:
                return

        async def no_conflict(_job: JobRun) -> None:
            raise AssertionError("no other node has changed the job")

        health = StoreHealth(Clock(ManualClock()))
        await health.record_failure()
        checkpointer = Checkpointer(FakeRunner(), node.committer, health, no_conflict)  # type: ignore[arg-type]
        task = await curio.spawn(checkpointer.run, daemon=True)
        await curio.sleep(0.1)
        await health.record_answer()
        while not (await store.read_table(PARTIAL_TABLE)).rows:
            await curio.sleep(0)
        await task.cancel()

    run_with_timeout(test)


# Guards against long polls and table reads that count as round trips to the store.
def test_round_trip_is_the_shortest_recent_time_of_short_calls() -> None:
    async def test() -> None:
        clock = ManualClock(0.0)

        class SlowStore(MemoryStore):
            took_s = 0.0

            async def read(self, *args: object) -> RowPage:
                clock.now += self.took_s
                return RowPage([], 0, None)

            read_table = read  # type: ignore[assignment]
            changes = read  # type: ignore[assignment]

        inner, health = SlowStore(), StoreHealth(Clock(clock))
        store = MonitoredStore(inner, health, StoreClock(Clock(clock)))
        assert health.round_trip_ms == 0
        inner.took_s = 0.0001
        await store.read_table("t")
        await store.changes("t", 0, 0.0)
        assert health.round_trip_ms == 0
        for took_s, shortest_ms in ((0.03, 30), (0.005, 5), (0.04, 5), (0.0001, 1)):
            inner.took_s = took_s
            await store.read("t", "")
            assert health.round_trip_ms == shortest_ms
        inner.took_s = 0.06
        for _ in range(KEPT_ROUND_TRIPS):
            await store.read("t", "")
        assert health.round_trip_ms == 60

    run_with_timeout(test)
