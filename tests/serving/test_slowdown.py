"""Slowdown estimates of replicas, and the placement of work by them."""

import math
from random import Random

import curio
import msgspec
from coordination_world import CoordinationWorld
from fleet_world import FleetWorld, in_world
from hypothesis import example, given
from hypothesis import strategies as st

from cloverwalk.fleet.in_flight import InFlight
from cloverwalk.fleet.messages import (
    Datagram,
    ItemTiming,
    PlacementRequest,
    Report,
    RequestTiming,
    SlowdownEstimate,
    Snapshot,
    WaitingGroup,
)
from cloverwalk.gateway.configuration import (
    ClientLimits,
    Configuration,
    ConfigurationHolder,
    Route,
    RouteKind,
    RoutePart,
)
from cloverwalk.gateway.crash_ledger import CrashLedger
from cloverwalk.gateway.replicas import Replica, ReplicaDirectory
from cloverwalk.scheduling import selection, slowdown
from cloverwalk.scheduling.admission import PlacementVerdict
from cloverwalk.scheduling.decisions import Decisions
from cloverwalk.scheduling.features import Feature
from cloverwalk.scheduling.quotas import QuotaBounds
from cloverwalk.scheduling.scheduler import Scheduler
from cloverwalk.scheduling.selection import Candidate, Demand, choose
from cloverwalk.scheduling.service_times import ServiceTimes
from cloverwalk.scheduling.slowdown import MAX_SLOWDOWN, MIN_SLOWDOWN, Measurement, ReplicaSlowdowns
from cloverwalk.scheduling.slowdown_replication import (
    COPIES,
    MAX_REPLICAS_PER_SNAPSHOT,
    RESEND_INTERVAL_S,
    SlowdownReplicator,
)

SLOTS = 8
EVENTS = 17
EVENT_MS = 6.0
STORE_MS = 1_000_000.0


class SlowdownFleet:
    """A coordinator's scheduler and one node; a test supplies the answers of the replicas."""

    def __init__(self, replicas: int) -> None:
        self.now = 100.0
        self.directory = ReplicaDirectory()
        self.ids = [f"r{number}" for number in range(replicas)]
        for number, replica_id in enumerate(self.ids):
            self.directory.put(Replica(replica_id, "model", "h", number, "z1", SLOTS, False, 1))
        holder = ConfigurationHolder()
        parts = (RoutePart("model", 1.0),)
        route = Route("chat", "h", "/chat/", RouteKind.STREAM, parts, 5.0, 0.3, 1)
        holder.update_if_newer(Configuration(1, (route,), {}, ClientLimits()))
        quotas, random = QuotaBounds(slack=20.0), Random(1)
        self.scheduler = Scheduler(
            self.directory, holder, ServiceTimes(), quotas, CrashLedger(), random
        )
        self.scheduler.set_store_time(lambda: STORE_MS)
        self.sequence = 0

    def report(self, **more: object) -> Decisions | None:
        """Have the node report; return the decisions for it, which it does not carry out."""
        self.sequence += 1
        fields = {
            "last_applied_order": self.sequence - 1,
            "configuration_version": 1,
            "directory": 1,
        }
        fields |= {"store_age_ms": 0, **more}  # type: ignore[dict-item]
        report = Report("n0", "0a", "z1", self.sequence, **fields)  # type: ignore[arg-type]
        self.scheduler.handle_report(report, self.now)
        return self.scheduler.pop_decisions().get("n0")

    def answer(self, replica_id: str, factor: float, reported: int = 100, count: int = 1) -> None:
        """Have a replica answer requests at a slowdown, and report one."""
        took_ms = round(factor * EVENT_MS * (EVENTS - 1))
        timing = RequestTiming("chat", replica_id, 40, took_ms, 0, EVENTS, reported)
        for _ in range(count):
            self.now += 0.01
            self.report(request_timings=[timing])

    def answer_in_turn(self, factors: dict[str, float], rounds: int = 60) -> None:
        """Have all replicas answer in turn, each at its slowdown."""
        for _ in range(rounds):
            for replica_id in self.ids:
                self.answer(replica_id, factors.get(replica_id, 1.0))

    def place(self, count: int) -> list[str]:
        """Request places for requests that do not end; return where they were sent."""
        requests = [
            PlacementRequest(
                10_000 + number, "chat", "model", objective_left_ms=300, time_left_ms=5000
            )
            for number in range(count)
        ]
        decided = self.report(placement_requests=requests)
        assert decided is not None
        return [
            placement.replica_id
            for placement in decided.placements
            if placement.verdict is PlacementVerdict.SEND
        ]

    def grants(
        self, remaining_ms: int, left_ms: float, items: int, replica_id: str = ""
    ) -> set[str]:
        """Return where items that are due in ``left_ms`` are granted slots."""
        step = int((STORE_MS + left_ms) // 250)
        group = WaitingGroup(step, items, replica_id, remaining_ms=remaining_ms)
        decided = self.report(waiting={"model": [group]})
        return set() if decided is None else set(decided.grants)

    def slowdown(self, replica_id: str) -> float:
        self.scheduler.tick(self.now)
        return self.scheduler.slowdowns.slowdown(replica_id)


# --- under load ---


def test_fast_replicas_get_more_requests_and_slow_ones_still_get_some() -> None:
    """A third of the replicas is fast, at half load."""
    fleet = SlowdownFleet(replicas=9)
    fast = fleet.ids[:3]
    fleet.answer_in_turn(dict.fromkeys(fast, 0.6))
    baselines = [fleet.scheduler.slowdowns.baseline(replica_id) for replica_id in fleet.ids]
    ratios = [baseline / baselines[8] for baseline in baselines[:3]]
    assert all(0.5 < ratio < 0.75 for ratio in ratios)
    fleet.now += 2.0
    sent = fleet.place(36)
    sent_counts = [sent.count(replica_id) for replica_id in fleet.ids]
    assert len(sent) == 36
    assert min(sent_counts[:3]) > max(sent_counts[3:])
    assert min(sent_counts) > 0
    assert max(sent_counts) <= SLOTS


def test_slow_replica_gets_requests_while_the_others_are_full() -> None:
    fleet = SlowdownFleet(replicas=3)
    fleet.answer_in_turn({"r2": 2.5})
    fleet.now += 2.0
    sent = fleet.place(3 * SLOTS)
    assert [sent.count(replica_id) for replica_id in fleet.ids] == [SLOTS] * 3


def test_short_slowdown_moves_requests_elsewhere_until_it_ends() -> None:
    fleet = SlowdownFleet(replicas=2)
    fleet.answer_in_turn({})
    fleet.now += 2.0
    fleet.answer("r0", 2.0, reported=200)
    fleet.answer("r1", 1.0)
    assert set(fleet.place(3)) == {"r1"}
    assert fleet.slowdown("r0") > 1.6
    fleet.now += 1.0
    assert 0.9 < fleet.slowdown("r0") < 1.15


def test_item_due_soon_gets_the_fast_replica_and_any_other_leaves_it_free() -> None:
    fleet = SlowdownFleet(replicas=3)
    fleet.answer_in_turn({"r0": 0.6, "r2": 2.0})
    fleet.now += 2.0
    assert fleet.grants(remaining_ms=1000, left_ms=1500, items=1) == {"r0"}
    assert "r0" not in fleet.grants(remaining_ms=1000, left_ms=60_000, items=1)


def test_item_that_would_be_late_at_a_slow_replica_goes_elsewhere_while_slots_are_free() -> None:
    fleet = SlowdownFleet(replicas=2)
    fleet.answer_in_turn({"r1": 2.5})
    fleet.now += 2.0
    assert fleet.grants(remaining_ms=2000, left_ms=2500, items=1, replica_id="r1") == {"r0"}
    assert fleet.grants(remaining_ms=2000, left_ms=60_000, items=1, replica_id="r1") == {"r1"}
    # An item runs late rather than not at all.
    assert fleet.grants(remaining_ms=2000, left_ms=2500, items=2 * SLOTS) == {"r0", "r1"}


def test_slowdown_is_estimated_from_items_where_no_requests_are_served() -> None:
    fleet = SlowdownFleet(replicas=2)
    for _ in range(60):
        fleet.now += 0.1
        timings = [ItemTiming("r0", 115, 700, 100), ItemTiming("r1", 115, 1120, 100)]
        fleet.report(item_timings=timings)
    slowdowns = fleet.scheduler.slowdowns
    assert slowdowns.baseline("r1") / slowdowns.baseline("r0") > 1.4


# --- under failure ---


def test_old_slowdown_report_does_not_count() -> None:
    """An answer that took 5 s carries a report from its start."""
    fleet = SlowdownFleet(replicas=1)
    fleet.answer_in_turn({})
    before = fleet.slowdown("r0")
    fleet.report(request_timings=[RequestTiming("chat", "r0", 40, 5000, 0, 0, 400)])
    assert math.isclose(fleet.slowdown("r0"), before, rel_tol=0.1)


def test_replica_restarted_at_another_address_starts_without_slowdown() -> None:
    fleet = SlowdownFleet(replicas=2)
    fleet.answer_in_turn({"r0": 2.5})
    fleet.directory.put(Replica("r0", "model", "h2", 7, "z1", SLOTS, False, 2))
    assert fleet.slowdown("r0") == 1.0
    # An answer of the earlier incarnation does not count.
    fleet.report(request_timings=[RequestTiming("chat", "r0", 40, 300, 0, EVENTS, 400)])
    assert fleet.slowdown("r0") == 1.0


def test_replica_restarted_at_its_address_starts_without_slowdown() -> None:
    fleet = SlowdownFleet(replicas=2)
    replica = fleet.directory.find("r0")
    assert replica is not None
    fleet.directory.put(msgspec.structs.replace(replica, version=2, started_ms=1_000))
    fleet.answer_in_turn({"r0": 2.5})
    assert fleet.slowdown("r0") > 1.2
    fleet.directory.put(msgspec.structs.replace(replica, version=3, started_ms=2_000))
    assert fleet.slowdown("r0") == 1.0


def test_slow_replica_that_reports_no_slowdown_is_estimated_as_slow() -> None:
    """It reports 100 while other work on its machine makes it slow at times."""
    fleet = SlowdownFleet(replicas=3)
    fleet.answer_in_turn({}, rounds=40)
    for _ in range(slowdown.MIN_TRUST_ANSWERS):
        for factor in (3.0, 1.0):
            fleet.answer("r0", factor, reported=100, count=3)
            fleet.answer("r1", 1.0)
    fleet.answer("r0", 3.0, reported=100, count=3)
    assert fleet.slowdown("r0") > 1.2


def test_false_slowdown_reports_are_trusted_for_some_answers_only() -> None:
    """It sometimes reports a hundredfold slowdown, but answers as fast as ever."""
    fleet = SlowdownFleet(replicas=2)
    fleet.answer_in_turn({})
    slowdowns = []
    for _ in range(4 * slowdown.MIN_TRUST_ANSWERS):
        fleet.answer("r0", 1.0, reported=10_000)
        slowdowns.append(fleet.slowdown("r0"))
        fleet.answer("r0", 1.0, reported=100)
        fleet.now += 1.0
    assert max(slowdowns) <= MAX_SLOWDOWN
    assert all(value < 1.3 for value in slowdowns[2 * slowdown.MIN_TRUST_ANSWERS :])
    # A constant report does not matter, whatever its value.
    fleet.answer("r1", 1.0, reported=10_000, count=100)
    assert fleet.slowdown("r1") < 1.5


def test_report_of_high_speed_does_not_lower_the_slowdown() -> None:
    """The replica may have ended since, or the report may be false; others are free as well."""
    fleet = SlowdownFleet(replicas=2)
    fleet.answer_in_turn({})
    fleet.now += 2.0
    before = fleet.slowdown("r0")
    fleet.answer("r0", 0.6, reported=25)
    assert math.isclose(fleet.slowdown("r0"), before, rel_tol=0.05)


def test_outlier_answers_hardly_change_the_baseline() -> None:
    fleet = SlowdownFleet(replicas=2)
    fleet.answer_in_turn({})
    before = fleet.scheduler.slowdowns.baseline("r0")
    fleet.answer("r0", 100.0, count=3)
    assert fleet.scheduler.slowdowns.baseline("r0") / before < 1.1


def test_new_coordinator_has_the_slowdown_estimates() -> None:
    async def test() -> None:
        world = CoordinationWorld(5)
        await world.start()
        before = world.coordinator
        estimates = {"r1": SlowdownEstimate(1.6, 1.6, 0), "r2": SlowdownEstimate(0.6, 0.6, 0)}
        before.scheduler.apply_slowdowns(estimates, world.now)
        await world.run(3.0)
        world.kill(before)
        await world.run(3.0)
        after = world.coordinator.scheduler
        assert after.features.is_on(Feature.REPLICA_PACE)
        assert [after.slowdowns.baseline(key) for key in ("r0", "r1", "r2")] == [1.0, 1.6, 0.6]

    curio.run(test)


def test_invalid_estimates_of_another_coordinator_are_ignored() -> None:
    slowdowns = ReplicaSlowdowns()
    invalid = [
        (math.nan, 1.0, 0),
        (1.0, math.inf, 0),
        (-1.0, 1.0, 0),
        (99.0, 1.0, 0),
        (1.0, 1.0, -5),
    ]
    slowdowns.apply(
        {f"r{i}": SlowdownEstimate(*values) for i, values in enumerate(invalid)}, now=10.0
    )
    assert slowdowns.invalid_count == len(invalid)
    assert slowdowns.current == {}


# --- reports of nodes ---


def test_nodes_report_timings_of_requests_and_items_to_the_coordinator() -> None:
    async def test(world: FleetWorld) -> None:
        await world.start(replicas=1, nodes=2, events=10)
        await world.wait_until(lambda: len(world.coordinator_registry()) == 2)
        coordinator = world.coordinator()
        assert coordinator is not None
        fleet = coordinator._fleet
        request_timings: list[RequestTiming] = []
        item_timings: list[ItemTiming] = []
        handle_report = fleet.scheduler.handle_report

        def watch(report: Report, now: float) -> None:
            request_timings.extend(report.request_timings)
            item_timings.extend(report.item_timings)
            handle_report(report, now)

        fleet.scheduler.handle_report = watch  # type: ignore[method-assign]
        assert not fleet.features.is_on(Feature.REPLICA_PACE)
        world.replicas[0].slowdown_percent = 250
        for number in range(2):
            assert (await world.ask("/chat/a", node=number)).status == 200
        await world.wait_until(lambda: len(request_timings) == 2)
        assert fleet.features.is_on(Feature.REPLICA_PACE)
        assert {(timing.replica_id, timing.slowdown_percent) for timing in request_timings} == {
            ("i-0", 250)
        }
        assert {timing.events for timing in request_timings} == {10}
        await world.submit_job("j-1", count=2, node=1)
        await world.until_done("j-1", 2, node=1)
        await world.wait_until(lambda: len(item_timings) == 2)
        reported = {
            (timing.replica_id, timing.events, timing.slowdown_percent) for timing in item_timings
        }
        assert reported == {("i-0", 10, 250)}

    in_world(test)


def test_nodes_report_no_item_timings_while_no_replica_reports_its_slowdown() -> None:
    async def test(world: FleetWorld) -> None:
        await world.start(replicas=1, nodes=1, events=10)
        client = world.nodes[0]._fleet.coordinator_client
        item_timings: list[ItemTiming] = []
        client.reports.record_item_timing = (  # type: ignore[method-assign]
            item_timings.append  # type: ignore[assignment]
        )
        await world.submit_job("j-1", count=2)
        await world.until_done("j-1", 2)
        assert item_timings == []
        world.replicas[0].slowdown_percent = 250
        await world.submit_job("j-2", count=2)
        await world.until_done("j-2", 2)
        assert len(item_timings) == 2

    in_world(test)


def test_invalid_slowdown_report_is_counted_and_not_forwarded() -> None:
    async def test(world: FleetWorld) -> None:
        await world.start(replicas=1, nodes=1)
        world.replicas[0].slowdown_percent = -5
        assert (await world.ask("/chat/a")).status == 200
        node = world.nodes[0]
        assert not node._fleet.features.is_on(Feature.REPLICA_PACE)
        assert b'cloverwalk_odd_figures_total{figure="slowdown"} 1.0' in node._metrics.render()

    in_world(test)


# --- replication ---


def test_unchanged_slowdowns_are_not_sent_to_standbys() -> None:
    async def test() -> None:
        world = CoordinationWorld(5)
        await world.start()
        estimates = {f"r{number}": SlowdownEstimate(1.6, 1.6, 0) for number in range(4)}
        world.coordinator.scheduler.apply_slowdowns(estimates, world.now)
        await world.run(3.0)
        snapshots: list[Snapshot] = []
        put = world.wire.carry

        def watch(source: str, host: str, message: Datagram) -> None:
            if isinstance(message, Snapshot):
                snapshots.append(message)
            put(source, host, message)

        world.wire.carry = watch  # type: ignore[method-assign]
        await world.run(10.0)
        assert snapshots
        assert not any(snapshot.slowdowns for snapshot in snapshots)

    curio.run(test)


@given(st.lists(st.floats(MIN_SLOWDOWN, MAX_SLOWDOWN), min_size=1, max_size=60))
def test_changes_of_a_replica_are_sent_at_a_limited_rate(factors: list[float]) -> None:
    replicator = SlowdownReplicator()
    sent = 0
    for step, factor in enumerate(factors):
        baselines = {
            f"r{number}": math.log(factor) for number in range(2 * MAX_REPLICAS_PER_SNAPSHOT)
        }
        due = replicator.due(baselines, ["n1", "n2", "n3"], 0.25 * step)
        assert len(due) <= MAX_REPLICAS_PER_SNAPSHOT
        sent += "r0" in due
    seconds = 0.25 * len(factors)
    assert sent <= COPIES * math.ceil(seconds / RESEND_INTERVAL_S)


# --- bounds ---

whole = st.integers(-(10**9), 10**9)
answers = st.tuples(
    st.sampled_from(["r0", "r1"]), st.booleans(), whole, whole, whole, st.floats(), st.floats(0, 3)
)


@given(st.lists(answers, max_size=80))
@example([("r0", False, 8, 1, 0, 2.247116418577895e307, 0.0)])
@example([("r0", False, 8, 1, 0, -2.2e307, 0.0)])
def test_slowdowns_stay_within_bounds_for_any_report(
    history: list[tuple[str, bool, int, int, int, float, float]],
) -> None:
    slowdowns, now = ReplicaSlowdowns(), 100.0
    for replica_id, is_item, events, took_ms, reported, utilization, passed in history:
        now += passed
        slowdowns.record(
            Measurement(replica_id, "s", is_item, events, took_ms, reported, utilization), now
        )
        slowdowns.refresh(now)
        values = [*slowdowns.current.values(), slowdowns.baseline("r0"), slowdowns.baseline("r1")]
        assert all(MIN_SLOWDOWN <= value <= MAX_SLOWDOWN for value in values)


# --- feature off ---

loads = st.builds(InFlight, st.integers(0, 20), st.integers(0, 9))
candidates = st.lists(
    st.builds(
        Candidate,
        st.builds(
            Replica,
            st.uuids().map(str),
            st.just("s"),
            st.just("h"),
            st.just(1),
            st.sampled_from(["z1", "z2"]),
            st.integers(1, 12),
            st.just(False),
            st.just(1),
        ),
        loads,
        st.booleans(),
        st.booleans(),
        st.floats(0, 500),
        st.integers(0, 3),
    ),
    min_size=1,
    max_size=12,
)
demands = st.builds(
    Demand,
    st.just("z1"),
    st.integers(0, 9000),
    st.sampled_from(["", "p"]),
    st.integers(0, 900),
    st.integers(0, 900),
    start_ms=st.floats(0, 900),
)


def cost_without_slowdown(candidate: Candidate, demand: Demand, affinity_ids: set[str]) -> float:
    """Cost of a replica while no replica reports its slowdown."""
    slots, load = candidate.replica.slots, candidate.in_flight
    used = load.online / slots
    cost = selection.SUSPECT_COST_MS if candidate.is_suspect else 0.0
    cost += selection.PEER_SUSPECT_COST_MS if candidate.is_peer_suspect else 0.0
    cost += candidate.prefill_ms
    cost += selection.OTHER_CRASH_SUSPECT_COST_MS * candidate.other_crash_suspects
    cost += selection.LOAD_COST_MS * used
    threshold = selection.HIGH_LOAD_THRESHOLD
    cost += selection.HIGH_LOAD_COST_MS * max(0.0, used - threshold) / (1 - threshold)
    cost += selection.BATCH_COST_MS * load.batch / slots
    cost += selection.PREEMPTION_COST_MS if load.batch and load.total >= slots else 0.0
    cost += selection.QUEUED_REQUEST_COST_MS * max(0, load.online + 1 - slots)
    if affinity_ids and candidate.replica.replica_id not in affinity_ids:
        cost += demand.shared_tokens / selection.PREFILL_TOKENS_PER_MS
    if candidate.replica.zone != demand.zone:
        zone_cost = selection.OTHER_ZONE_COST_MS_PER_KB * demand.size_bytes / 1024
        cost += selection.OTHER_ZONE_COST_MS + zone_cost
    return cost


@given(candidates, demands)
def test_equal_slowdowns_do_not_affect_the_choice_of_a_replica(
    available: list[Candidate], demand: Demand
) -> None:
    affinity_ids = selection._prefix_affinity_ids(available, demand)
    best = min(
        available,
        key=lambda candidate: (
            cost_without_slowdown(candidate, demand, affinity_ids),
            candidate.replica.replica_id,
        ),
    )
    assert choose(available, demand) is best


steps = st.lists(
    st.tuples(st.sampled_from(["r0", "r1", "r2"]), st.integers(0, 900), st.integers(0, 6)),
    max_size=25,
)


@given(steps)
def test_timings_change_no_decision_while_no_replica_reports_its_slowdown(
    history: list[tuple[str, int, int]],
) -> None:
    """Event counts and the remaining run time of items change no decision either."""
    without_timings, with_timings = SlowdownFleet(replicas=3), SlowdownFleet(replicas=3)
    for number, (replica_id, took_ms, items) in enumerate(history):
        request = PlacementRequest(
            number, "chat", "model", objective_left_ms=300, time_left_ms=5000
        )
        requests, bare_timing = [request], RequestTiming("chat", replica_id, 40, took_ms, 0)
        group = WaitingGroup(4004, items)
        expected = without_timings.report(
            placement_requests=requests, request_timings=[bare_timing], waiting={"model": [group]}
        )
        full_timing = RequestTiming("chat", replica_id, 40, took_ms, 0, EVENTS)
        item_timing = ItemTiming(replica_id, 115, took_ms)
        group = WaitingGroup(4004, items, remaining_ms=900)
        waiting = {"model": [group]}
        decisions = with_timings.report(
            placement_requests=requests,
            request_timings=[full_timing],
            waiting=waiting,
            item_timings=[item_timing],
        )
        assert expected == decisions
        without_timings.now += 0.05
        with_timings.now += 0.05
    assert not with_timings.scheduler.features.is_on(Feature.REPLICA_PACE)
    assert with_timings.scheduler.slowdowns.current == {}


def test_standby_removes_the_slowdowns_of_removed_and_restarted_replicas() -> None:
    """Estimates must not accumulate at a standby, to which no node reports."""
    fleet = SlowdownFleet(2)
    estimates = {key: SlowdownEstimate(1.6, 1.6, 0) for key in (*fleet.ids, "gone")}
    fleet.scheduler.apply_slowdowns(estimates, fleet.now)
    assert fleet.scheduler.slowdowns.baseline("r0") == 1.6
    fleet.directory.put(Replica("r0", "model", "h", 99, "z1", SLOTS, False, 2))
    fleet.directory.remove("r1", 2)
    fleet.scheduler.apply_slowdowns({}, fleet.now)
    assert fleet.scheduler.slowdowns.baselines() == {}
