"""Replicas that differ in pace: what is learnt of them, and which work goes where."""

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
from cloverwalk.scheduling.slowdown import LEAST_FACTOR, MOST_FACTOR, Measurement, ReplicaSlowdowns
from cloverwalk.scheduling.slowdown_replication import (
    COPIES,
    MOST_TOLD,
    TELL_AGAIN_S,
    SlowdownReplicator,
)

SLOTS = 8
EVENTS = 17
EVENT_MS = 6.0
STORE_MS = 1_000_000.0


class PacedFleet:
    """A coordinator's scheduler and one node, with answers of the replicas by hand."""

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

    def hear(self, **more: object) -> Decisions | None:
        """Have the node report; return what was decided for it, with which it does nothing."""
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

    def answered(self, replica_id: str, factor: float, told: int = 100, count: int = 1) -> None:
        """Have a replica answer requests at a pace, while it tells one."""
        took_ms = round(factor * EVENT_MS * (EVENTS - 1))
        served = RequestTiming("chat", replica_id, 40, took_ms, 0, EVENTS, told)
        for _ in range(count):
            self.now += 0.01
            self.hear(request_timings=[served])

    def learn(self, factors: dict[str, float], rounds: int = 60) -> None:
        """Have all replicas answer in turn, each at its pace."""
        for _ in range(rounds):
            for replica_id in self.ids:
                self.answered(replica_id, factors.get(replica_id, 1.0))

    def place(self, count: int) -> list[str]:
        """Ask for requests that stay; return where they were sent."""
        asks = [
            PlacementRequest(
                10_000 + number, "chat", "model", objective_left_ms=300, time_left_ms=5000
            )
            for number in range(count)
        ]
        decided = self.hear(placement_requests=asks)
        assert decided is not None
        return [
            one.replica_id for one in decided.placements if one.verdict is PlacementVerdict.SEND
        ]

    def grants(self, rest_ms: int, left_ms: float, items: int, replica_id: str = "") -> set[str]:
        """Return where waiting items are granted slots, that are due in ``left_ms``."""
        step = int((STORE_MS + left_ms) // 250)
        group = WaitingGroup(step, items, replica_id, remaining_ms=rest_ms)
        decided = self.hear(waiting={"model": [group]})
        return set() if decided is None else set(decided.grants)

    def pace(self, replica_id: str) -> float:
        self.scheduler.tick(self.now)
        return self.scheduler.slowdowns.pace(replica_id)


# --- under load ---


def test_where_a_third_of_the_replicas_is_fast_they_get_more_and_the_others_some() -> None:
    """A service on two kinds of machines, half full: work goes where it starts soonest."""
    fleet = PacedFleet(replicas=9)
    fast = fleet.ids[:3]
    fleet.learn(dict.fromkeys(fast, 0.6))
    usual = [fleet.scheduler.slowdowns.usual(one) for one in fleet.ids]
    ratios = [one / usual[8] for one in usual[:3]]
    assert all(0.5 < one < 0.75 for one in ratios)
    fleet.now += 2.0
    sent = fleet.place(36)
    by_id = [sent.count(one) for one in fleet.ids]
    assert len(sent) == 36
    assert min(by_id[:3]) > max(by_id[3:])
    assert min(by_id) > 0
    assert max(by_id) <= SLOTS


def test_a_slow_replica_gets_work_while_the_others_are_full() -> None:
    fleet = PacedFleet(replicas=3)
    fleet.learn({"r2": 2.5})
    fleet.now += 2.0
    sent = fleet.place(3 * SLOTS)
    assert [sent.count(one) for one in fleet.ids] == [SLOTS] * 3


def test_a_neighbour_for_half_a_second_sends_work_elsewhere_for_so_long() -> None:
    fleet = PacedFleet(replicas=2)
    fleet.learn({})
    fleet.now += 2.0
    fleet.answered("r0", 2.0, told=200)
    fleet.answered("r1", 1.0)
    assert set(fleet.place(3)) == {"r1"}
    assert fleet.pace("r0") > 1.6
    fleet.now += 1.0
    assert 0.9 < fleet.pace("r0") < 1.15


def test_an_item_that_is_due_soon_gets_the_fast_replica_and_one_with_time_leaves_it() -> None:
    fleet = PacedFleet(replicas=3)
    fleet.learn({"r0": 0.6, "r2": 2.0})
    fleet.now += 2.0
    assert fleet.grants(rest_ms=1000, left_ms=1500, items=1) == {"r0"}
    assert "r0" not in fleet.grants(rest_ms=1000, left_ms=60_000, items=1)


def test_an_item_that_would_be_late_at_a_slow_replica_goes_elsewhere_while_there_is_room() -> None:
    fleet = PacedFleet(replicas=2)
    fleet.learn({"r1": 2.5})
    fleet.now += 2.0
    assert fleet.grants(rest_ms=2000, left_ms=2500, items=1, replica_id="r1") == {"r0"}
    assert fleet.grants(rest_ms=2000, left_ms=60_000, items=1, replica_id="r1") == {"r1"}
    # Late is better than not at all.
    assert fleet.grants(rest_ms=2000, left_ms=2500, items=2 * SLOTS) == {"r0", "r1"}


def test_items_tell_the_pace_of_replicas_that_serve_no_requests() -> None:
    fleet = PacedFleet(replicas=2)
    for _ in range(60):
        fleet.now += 0.1
        timings = [ItemTiming("r0", 115, 700, 100), ItemTiming("r1", 115, 1120, 100)]
        fleet.hear(item_timings=timings)
    paces = fleet.scheduler.slowdowns
    assert paces.usual("r1") / paces.usual("r0") > 1.4


# --- under failure ---


def test_what_a_replica_told_long_ago_does_not_count() -> None:
    """An answer that took 5 s tells what was told as it began."""
    fleet = PacedFleet(replicas=1)
    fleet.learn({})
    before = fleet.pace("r0")
    fleet.hear(request_timings=[RequestTiming("chat", "r0", 40, 5000, 0, 0, 400)])
    assert math.isclose(fleet.pace("r0"), before, rel_tol=0.1)


def test_a_replica_that_starts_again_elsewhere_begins_as_the_usual_one() -> None:
    fleet = PacedFleet(replicas=2)
    fleet.learn({"r0": 2.5})
    fleet.directory.put(Replica("r0", "model", "h2", 7, "z1", SLOTS, False, 2))
    assert fleet.pace("r0") == 1.0
    # An answer of the earlier process says nothing of this one.
    fleet.hear(request_timings=[RequestTiming("chat", "r0", 40, 300, 0, EVENTS, 400)])
    assert fleet.pace("r0") == 1.0


def test_a_replica_that_starts_again_at_its_address_begins_as_the_usual_one() -> None:
    fleet = PacedFleet(replicas=2)
    known = fleet.directory.find("r0")
    assert known is not None
    fleet.directory.put(msgspec.structs.replace(known, version=2, started_ms=1_000))
    fleet.learn({"r0": 2.5})
    assert fleet.pace("r0") > 1.2
    fleet.directory.put(msgspec.structs.replace(known, version=3, started_ms=2_000))
    assert fleet.pace("r0") == 1.0


def test_a_replica_that_tells_nothing_unusual_and_is_slow_counts_as_slow() -> None:
    """It tells 100 while its neighbours take half of its machine for a while."""
    fleet = PacedFleet(replicas=3)
    fleet.learn({}, rounds=40)
    for _ in range(slowdown.TRUSTED_ANSWERS):
        for factor in (3.0, 1.0):
            fleet.answered("r0", factor, told=100, count=3)
            fleet.answered("r1", 1.0)
    fleet.answered("r0", 3.0, told=100, count=3)
    assert fleet.pace("r0") > 1.2


def test_a_replica_that_tells_of_slowness_and_is_quick_is_believed_for_some_answers_only() -> None:
    """It tells a hundredfold now and then, and answers as fast as ever."""
    fleet = PacedFleet(replicas=2)
    fleet.learn({})
    paces = []
    for _ in range(4 * slowdown.TRUSTED_ANSWERS):
        fleet.answered("r0", 1.0, told=10_000)
        paces.append(fleet.pace("r0"))
        fleet.answered("r0", 1.0, told=100)
        fleet.now += 1.0
    assert max(paces) <= MOST_FACTOR
    assert all(one < 1.3 for one in paces[2 * slowdown.TRUSTED_ANSWERS :])
    # What it calls usual does not matter, as long as it calls it so all the time.
    fleet.answered("r1", 1.0, told=10_000, count=100)
    assert fleet.pace("r1") < 1.5


def test_a_replica_that_just_told_that_it_is_quick_draws_no_more_than_others_that_are_free() -> (
    None
):
    """It may have ended since, or lie; the others have been quiet for a while."""
    fleet = PacedFleet(replicas=2)
    fleet.learn({})
    fleet.now += 2.0
    before = fleet.pace("r0")
    fleet.answered("r0", 0.6, told=25)
    assert math.isclose(fleet.pace("r0"), before, rel_tol=0.05)


def test_some_odd_answers_do_not_move_a_pace_far() -> None:
    fleet = PacedFleet(replicas=2)
    fleet.learn({})
    before = fleet.scheduler.slowdowns.usual("r0")
    fleet.answered("r0", 100.0, count=3)
    assert fleet.scheduler.slowdowns.usual("r0") / before < 1.1


def test_a_coordinator_that_takes_over_knows_the_paces() -> None:
    async def test() -> None:
        world = CoordinationWorld(5)
        await world.start()
        before = world.coordinator
        figures = {"r1": SlowdownEstimate(1.6, 1.6, 0), "r2": SlowdownEstimate(0.6, 0.6, 0)}
        before.scheduler.apply_slowdowns(figures, world.now)
        await world.run(3.0)
        world.kill(before)
        await world.run(3.0)
        after = world.coordinator.scheduler
        assert after.features.is_on(Feature.REPLICA_PACE)
        assert [after.slowdowns.usual(key) for key in ("r0", "r1", "r2")] == [1.0, 1.6, 0.6]

    curio.run(test)


def test_figures_of_another_coordinator_that_cannot_be_are_dropped() -> None:
    paces = ReplicaSlowdowns()
    odd = [(math.nan, 1.0, 0), (1.0, math.inf, 0), (-1.0, 1.0, 0), (99.0, 1.0, 0), (1.0, 1.0, -5)]
    paces.apply({f"r{i}": SlowdownEstimate(*one) for i, one in enumerate(odd)}, now=10.0)
    assert paces.invalid_count == len(odd)
    assert paces.present == {}


# --- what nodes tell ---


def test_nodes_tell_the_coordinator_how_fast_requests_and_items_ran() -> None:
    async def test(world: FleetWorld) -> None:
        await world.start(replicas=1, nodes=2, events=10)
        await world.until(lambda: len(world.coordinator_roster()) == 2)
        coordinator = world.coordinator()
        assert coordinator is not None
        fleet = coordinator._fleet
        served: list[RequestTiming] = []
        timings: list[ItemTiming] = []
        hear = fleet.scheduler.handle_report

        def watch(report: Report, now: float) -> None:
            served.extend(report.request_timings)
            timings.extend(report.item_timings)
            hear(report, now)

        fleet.scheduler.handle_report = watch  # type: ignore[method-assign]
        assert not fleet.features.is_on(Feature.REPLICA_PACE)
        world.replicas[0].slowdown_percent = 250
        for number in range(2):
            assert (await world.ask("/chat/a", node=number)).status == 200
        await world.until(lambda: len(served) == 2)
        assert fleet.features.is_on(Feature.REPLICA_PACE)
        assert {(one.replica_id, one.slowdown_percent) for one in served} == {("i-0", 250)}
        assert {one.events for one in served} == {10}
        await world.hand_in("j-1", count=2, node=1)
        await world.until_done("j-1", 2, node=1)
        await world.until(lambda: len(timings) == 2)
        told = {(one.replica_id, one.events, one.slowdown_percent) for one in timings}
        assert told == {("i-0", 10, 250)}

    in_world(test)


def test_nodes_tell_no_runs_of_items_while_no_replica_tells_its_pace() -> None:
    async def test(world: FleetWorld) -> None:
        await world.start(replicas=1, nodes=1, events=10)
        link = world.nodes[0]._fleet.coordinator_client
        timings: list[ItemTiming] = []
        link.record_item_timing = timings.append  # type: ignore[method-assign, assignment]
        await world.hand_in("j-1", count=2)
        await world.until_done("j-1", 2)
        assert timings == []
        world.replicas[0].slowdown_percent = 250
        await world.hand_in("j-2", count=2)
        await world.until_done("j-2", 2)
        assert len(timings) == 2

    in_world(test)


def test_a_figure_that_cannot_be_a_pace_is_counted_and_not_told() -> None:
    async def test(world: FleetWorld) -> None:
        await world.start(replicas=1, nodes=1)
        world.replicas[0].slowdown_percent = -5
        assert (await world.ask("/chat/a")).status == 200
        node = world.nodes[0]
        assert not node._fleet.features.is_on(Feature.REPLICA_PACE)
        assert b'cloverwalk_odd_figures_total{figure="slowdown"} 1.0' in node._metrics.render()

    in_world(test)


# --- bytes ---


def test_paces_cost_standbys_nothing_while_they_do_not_change() -> None:
    async def test() -> None:
        world = CoordinationWorld(5)
        await world.start()
        figures = {f"r{number}": SlowdownEstimate(1.6, 1.6, 0) for number in range(4)}
        world.coordinator.scheduler.apply_slowdowns(figures, world.now)
        await world.run(3.0)
        told: list[Snapshot] = []
        put = world.wire.put

        def watch(source: str, host: str, message: Datagram) -> None:
            if isinstance(message, Snapshot):
                told.append(message)
            put(source, host, message)

        world.wire.put = watch  # type: ignore[method-assign]
        await world.run(10.0)
        assert told
        assert not any(one.slowdowns for one in told)

    curio.run(test)


@given(st.lists(st.floats(LEAST_FACTOR, MOST_FACTOR), min_size=1, max_size=60))
def test_a_replica_is_told_at_most_so_often(factors: list[float]) -> None:
    teller = SlowdownReplicator()
    told = 0
    for step, factor in enumerate(factors):
        known = {f"r{number}": math.log(factor) for number in range(2 * MOST_TOLD)}
        due = teller.due(known, ["n1", "n2", "n3"], 0.25 * step)
        assert len(due) <= MOST_TOLD
        told += "r0" in due
    seconds = 0.25 * len(factors)
    assert told <= COPIES * math.ceil(seconds / TELL_AGAIN_S)


# --- bounds ---

whole = st.integers(-(10**9), 10**9)
answers = st.tuples(
    st.sampled_from(["r0", "r1"]), st.booleans(), whole, whole, whole, st.floats(), st.floats(0, 3)
)


@given(st.lists(answers, max_size=80))
@example([("r0", False, 8, 1, 0, 2.247116418577895e307, 0.0)])
@example([("r0", False, 8, 1, 0, -2.2e307, 0.0)])
def test_whatever_is_told_paces_stay_in_their_bounds(
    history: list[tuple[str, bool, int, int, int, float, float]],
) -> None:
    paces, now = ReplicaSlowdowns(), 100.0
    for replica_id, is_item, events, took_ms, told, fill, passed in history:
        now += passed
        paces.note(Measurement(replica_id, "s", is_item, events, took_ms, told, fill), now)
        paces.refresh(now)
        figures = [*paces.present.values(), paces.usual("r0"), paces.usual("r1")]
        assert all(LEAST_FACTOR <= one <= MOST_FACTOR for one in figures)


# --- switched off ---

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


def cost_without_pace(one: Candidate, demand: Demand, homes: set[str]) -> float:
    """The cost that decides where no replica tells its pace."""
    slots, load = one.replica.slots, one.in_flight
    used = load.online / slots
    cost = selection.SUSPECT_COST_MS if one.is_suspect else 0.0
    cost += selection.DOUBT_COST_MS if one.is_doubted else 0.0
    cost += one.prefill_ms
    cost += selection.COMPANY_COST_MS * one.other_suspects
    cost += selection.LOAD_COST_MS * used
    crowded_from = selection.CROWDED_FROM
    cost += selection.CROWDED_COST_MS * max(0.0, used - crowded_from) / (1 - crowded_from)
    cost += selection.BATCH_COST_MS * load.batch / slots
    cost += selection.CUT_COST_MS if load.batch and load.total >= slots else 0.0
    cost += selection.FULL_COST_MS * max(0, load.online + 1 - slots)
    if homes and one.replica.replica_id not in homes:
        cost += demand.shared_tokens / selection.READ_TOKENS_PER_MS
    if one.replica.zone != demand.zone:
        other = selection.OTHER_ZONE_MS_PER_KB * demand.size_bytes / 1024
        cost += selection.OTHER_ZONE_MS + other
    return cost


@given(candidates, demands)
def test_replicas_of_one_pace_are_chosen_as_if_pace_did_not_count(
    among: list[Candidate], demand: Demand
) -> None:
    homes = selection._home_by_zone(among, demand)
    best = min(
        among, key=lambda one: (cost_without_pace(one, demand, homes), one.replica.replica_id)
    )
    assert choose(among, demand) is best


steps = st.lists(
    st.tuples(st.sampled_from(["r0", "r1", "r2"]), st.integers(0, 900), st.integers(0, 6)),
    max_size=25,
)


@given(steps)
def test_decisions_are_the_same_while_no_replica_tells_its_pace(
    history: list[tuple[str, int, int]],
) -> None:
    """Times of items and events of answers change nothing, nor does how long items still run."""
    plain, fed = PacedFleet(replicas=3), PacedFleet(replicas=3)
    for number, (replica_id, took_ms, items) in enumerate(history):
        ask = PlacementRequest(number, "chat", "model", objective_left_ms=300, time_left_ms=5000)
        asks, served = [ask], RequestTiming("chat", replica_id, 40, took_ms, 0)
        group = WaitingGroup(4004, items)
        one = plain.hear(
            placement_requests=asks, request_timings=[served], waiting={"model": [group]}
        )
        told = RequestTiming("chat", replica_id, 40, took_ms, 0, EVENTS)
        timing = ItemTiming(replica_id, 115, took_ms)
        group = WaitingGroup(4004, items, remaining_ms=900)
        waiting = {"model": [group]}
        other = fed.hear(
            placement_requests=asks, request_timings=[told], waiting=waiting, item_timings=[timing]
        )
        assert one == other
        plain.now += 0.05
        fed.now += 0.05
    assert not fed.scheduler.features.is_on(Feature.REPLICA_PACE)
    assert fed.scheduler.slowdowns.present == {}


def test_a_standby_forgets_the_paces_of_replicas_that_are_gone_or_have_started_again() -> None:
    """Replicas come and go for months at a standby that nobody reports to."""
    fleet = PacedFleet(2)
    figures = {key: SlowdownEstimate(1.6, 1.6, 0) for key in (*fleet.ids, "gone")}
    fleet.scheduler.apply_slowdowns(figures, fleet.now)
    assert fleet.scheduler.slowdowns.usual("r0") == 1.6
    fleet.directory.put(Replica("r0", "model", "h", 99, "z1", SLOTS, False, 2))
    fleet.directory.remove("r1", 2)
    fleet.scheduler.apply_slowdowns({}, fleet.now)
    assert fleet.scheduler.slowdowns.baselines() == {}
