"""A zone that is cut off from the others, or lost: who serves it, and where its work goes."""

from collections.abc import Awaitable, Callable

import curio
import msgspec
import pytest
from coordination_world import CoordinationWorld, FleetNode
from hypothesis import given
from hypothesis import strategies as st
from test_coordination import Recorder
from test_scheduler import Fleet

from cloverwalk.fleet.identity import Identity
from cloverwalk.fleet.leader import LeaderView
from cloverwalk.fleet.messages import Contact, Leadership, Orders, WaitingGroup
from cloverwalk.gateway.configuration import Configuration, RouteKind
from cloverwalk.gateway.replicas import Replica
from cloverwalk.scheduling.features import Feature, Features
from cloverwalk.scheduling.zone_reachability import (
    FAILED_REPLICAS,
    JUDGED_S,
    LEAST_FAILED_REPLICAS,
    PROBE_EVERY_S,
    SILENT_S,
    WINDOW_S,
    Evidence,
    ReachabilityChange,
    ZoneReachability,
)
from cloverwalk.tenants.directory import Tenant

NODES = 12
SERVED_WITHIN_S = 2.0
"""A report each second, half a second without its answer, and a step of the world."""

HEALED_WITHIN_S = 4.0


def in_zones(test: Callable[[CoordinationWorld], Awaitable[None]], lost_zones: int = 1) -> None:
    async def main() -> None:
        world = CoordinationWorld(
            NODES, tenants=(Tenant("quiz", (), None, 10.0, 10.0),), lost_zones=lost_zones
        )
        world.replicas = [
            Replica(f"r{number}", "model", "h", number, f"z{1 + number % 3}", 8, False, version=1)
            for number in range(12)
        ]
        await world.start()
        await world.run(3.0)
        await test(world)

    curio.run(main)


def zone_nodes(world: CoordinationWorld, zone: str) -> list[FleetNode]:
    return [one for one in world.nodes if one.identity.zone == zone]


def leadership_of(world: CoordinationWorld) -> Leadership:
    current = world.coordinator.leader.current
    assert current is not None
    return current


def other_zone(world: CoordinationWorld) -> str:
    """The last zone that the coordinator doesn't stand in."""
    return max({"z1", "z2", "z3"} - {world.coordinator.identity.zone})


def record(nodes: list[FleetNode]) -> list[Recorder]:
    """Give nodes waiting items and note what they are granted."""
    recorders = []
    for node in nodes:
        node.link.waiting = {"model": [WaitingGroup(1, 2)]}
        recorders.append(Recorder())
        node.link.batch_handler = recorders[-1]
    return recorders


def granted(recorders: list[Recorder]) -> set[str]:
    return {key for one in recorders for grants in one.grants for key in grants}


# --- who serves a zone ---


def test_each_other_zone_has_a_standby_and_its_place_is_filled_again() -> None:
    async def test(world: CoordinationWorld) -> None:
        own = world.coordinator.identity.zone
        standbys = leadership_of(world).standbys
        others = {"z1", "z2", "z3"} - {own}
        assert {one.zone for one in standbys} == others
        gone = next(one for one in world.nodes if one.name == standbys[1].node)
        world.kill(gone)
        await world.run(5.0)
        again = leadership_of(world).standbys
        assert {one.zone for one in again} == others
        assert gone.name not in {one.node for one in again}

    in_zones(test)


@pytest.mark.parametrize("is_store_down", [True, False])
def test_a_zone_that_is_cut_off_gets_slots_within_it_and_turns_back(is_store_down: bool) -> None:
    async def test(world: CoordinationWorld) -> None:
        zone = other_zone(world)
        cut = zone_nodes(world, zone)
        world.store.is_down = is_store_down
        world.wire.cut_zones.add(zone)
        await world.run(SERVED_WITHIN_S)
        recorders = record(cut)
        await world.run(1.0)
        assert all(one.grants for one in recorders)
        near = {one.replica_id for one in world.replicas if one.zone == zone}
        assert granted(recorders) <= near if is_store_down else granted(recorders) & near
        assert len({one.follows for one in cut}) == 1
        # What both sides give out of a quota is not more than the whole.
        shares = [one.scheduler.quotas._share for one in world.nodes if one.coordinator.is_active]
        serving = [one for one in cut if one.leader.serves_zone]
        shares += [one.scheduler.quotas._share for one in serving]
        assert len(shares) == 2
        assert sum(shares) <= 1.0
        world.wire.cut_zones.clear()
        world.store.is_down = False
        await world.run(HEALED_WITHIN_S)
        assert {one.follows for one in world.nodes} == {world.coordinator.name}

    in_zones(test)


def test_the_zone_of_the_coordinator_may_be_cut_off() -> None:
    async def test(world: CoordinationWorld) -> None:
        zone = world.coordinator.identity.zone
        world.wire.cut_zones.add(zone)
        await world.run(SERVED_WITHIN_S)
        recorders = record(world.nodes)
        await world.run(1.0)
        assert all(one.grants for one in recorders)
        world.wire.cut_zones.clear()
        await world.run(HEALED_WITHIN_S)
        assert {one.follows for one in world.nodes} == {world.coordinator.name}

    in_zones(test)


def test_a_standby_that_missed_one_answer_is_turned_to_again() -> None:
    async def test(world: CoordinationWorld) -> None:
        zone = other_zone(world)
        world.store.is_down = True
        world.wire.cut_zones.add(zone)
        await world.run(SERVED_WITHIN_S)
        first = next(one for one in zone_nodes(world, zone) if one.leader.serves_zone)
        node = next(one for one in zone_nodes(world, zone) if one is not first)
        assert node.follows == first.name
        node.leader.note_silent(first.host)
        assert node.follows != first.name
        node.link._try_silent()
        await world.deliver()
        assert node.follows == first.name

    in_zones(test)


def test_reports_that_need_no_word_back_tell_no_silence() -> None:
    async def test(world: CoordinationWorld) -> None:
        node = next(one for one in zone_nodes(world, other_zone(world)) if one.follows)
        holder = world.coordinator
        await node.link._report()
        await world.deliver()
        # It was heard just now, so these are not acknowledged.
        for pause_s in (0.1, 0.1, 0.15):
            world.now += pause_s
            await node.link._report()
            await world.deliver()
        world.now += 0.3
        await node.link._report()
        assert node.follows == holder.name
        await world.deliver()
        assert not node.leader.has_lost_coordinator

    in_zones(test)


def test_nodes_that_a_new_coordinator_serves_know_how_large_the_whole_fleet_is() -> None:
    """Deciding alone after it, each gives out its part of quotas, and not that of a zone's node."""

    async def test(world: CoordinationWorld) -> None:
        cut = zone_nodes(world, other_zone(world))
        world.wire.cut_zones.add(other_zone(world))
        await world.run(2 * SERVED_WITHIN_S)
        assert any(one.coordinator.is_active for one in cut)
        others = [one for one in cut if not one.coordinator.is_active]
        assert {one.coordinator._fleet_size for one in others} == {NODES}

    in_zones(test)


def test_one_lost_answer_tells_no_silence() -> None:
    """The coordinator takes it that it was told, and does not say so again at once."""

    async def test(world: CoordinationWorld) -> None:
        node = next(one for one in zone_nodes(world, other_zone(world)) if one.follows)
        await node.link._report()
        await world.deliver()
        world.now += 1.0
        world.wire.lost_kinds.add(Orders)
        await node.link._report()
        await world.deliver()
        world.wire.lost_kinds.clear()
        for _ in range(3):
            world.now = max(world.now, node.link.report_due_at())
            await node.link._report()
            await world.deliver()
            assert not node.leader.has_lost_coordinator

    in_zones(test)


def test_a_node_that_is_not_reported_to_any_more_hurries_no_report() -> None:
    async def test(world: CoordinationWorld) -> None:
        node = next(one for one in zone_nodes(world, other_zone(world)) if one.follows)
        world.wire.silent.add(node.host)
        world.now += 1.0
        await node.link._report()
        assert node.link._unanswered is not None
        for one in node.leader._contacts():
            node.leader.note_silent(one.host)
        for _ in range(3):
            world.now += 1.0
            await node.link._report()
            assert node.link._unanswered is None
            assert node.link.report_due_at() > world.now

    in_zones(test)


def test_a_standby_that_serves_itself_has_heard_nobody_by_that() -> None:
    """A process that the store refuses goes on to look for others at the known hosts."""
    view = LeaderView(Identity("n3", "0a", "h3", "z1"), now=0.0)
    view.offer(Leadership(Contact("n1", "h1"), "0b", 7, (Contact("n3", "h3", "z1"),)), now=1.0)
    view.note_silent("h1")
    assert view.serves_zone
    view.note_heard("h3", now=2.0)
    assert view.is_unheard and view.heard_at == 1.0


def test_orders_of_the_other_side_of_a_cut_change_no_items() -> None:
    async def test(world: CoordinationWorld) -> None:
        zone = other_zone(world)
        old = world.coordinator
        world.store.is_down = True
        world.wire.cut_zones.add(zone)
        await world.run(SERVED_WITHIN_S)
        node = next(one for one in zone_nodes(world, zone) if not one.leader.serves_zone)
        (recorder,) = record([node])
        orders = old.coordinator._orders(node.name, None, world.now)
        orders.sender, orders.number, orders.grants = "other.0c", 9, {"r0": 2}
        await node.link.handle_orders(orders, "h-other")
        assert recorder.grants == []

    in_zones(test)


def test_without_the_switch_standbys_and_silence_are_as_before() -> None:
    async def test(world: CoordinationWorld) -> None:
        standbys = leadership_of(world).standbys
        own = world.coordinator.identity.zone
        able = [one for one in world.nodes if one.identity.zone != own]
        assert len(standbys) == 3
        assert {one.zone for one in standbys} == {""}
        found = world.coordinator.coordinator.registry.choose_standbys(world.coordinator.name, own)
        assert [one.node for one in found] == sorted(one.name for one in able)[:3]
        node = next(one for one in able if one.leader.standby_rank is None)
        world.store.is_down = True
        world.wire.cut_zones.add(node.identity.zone)
        await world.run(SERVED_WITHIN_S)
        assert not node.leader.has_lost_coordinator

    in_zones(test, lost_zones=0)


def test_the_row_of_an_earlier_version_names_no_zones() -> None:
    assert msgspec.json.decode(b'["n1","h1"]', type=Contact) == Contact("n1", "h1")


# --- which zones can be reached ---


def fail(reach: ZoneReachability, count: int, now: float, replicas: int = 30) -> None:
    for number in range(count):
        reach.note_failure("a", "b", f"r{number}", replicas, now)


def test_a_cut_zone_is_found_by_its_replicas_and_its_return_by_an_answer() -> None:
    reach = ZoneReachability()
    told: list[ReachabilityChange] = []
    reach.on_change = told.append
    fail(reach, FAILED_REPLICAS, 1.0)
    assert not reach.may_send("a", "b", 1.1)
    assert reach.may_send("c", "b", 1.1) and reach.may_send("b", "a", 1.1)
    reach.note_sent("a", "b", 1.0 + PROBE_EVERY_S)
    assert not reach.may_send("a", "b", 1.1 + PROBE_EVERY_S)
    reach.note_answer("a", "b", 2.0)
    assert told == [
        ReachabilityChange("a", "b", False, Evidence.FAILURES),
        ReachabilityChange("a", "b", True, Evidence.ANSWER),
    ]


def test_a_probe_without_a_failure_opens_the_way_and_one_that_fails_does_not() -> None:
    reach = ZoneReachability()
    fail(reach, FAILED_REPLICAS, 1.0)
    reach.note_sent("a", "b", 2.0)
    reach.note_failure("a", "b", "r9", 30, 2.4)
    reach.tick(2.0 + JUDGED_S)
    assert reach.has_shut("a")
    reach.note_sent("a", "b", 5.0)
    reach.tick(5.0 + JUDGED_S)
    assert not reach.has_shut("a")


def test_silence_of_all_nodes_shuts_a_zone_once_until_one_is_heard() -> None:
    reach = ZoneReachability()
    heard = [10.0, 10.2, 10.4]
    reach.record_last_seen("a", "b", heard[:2], 20.0)
    reach.record_last_seen("a", "b", heard, 10.3 + SILENT_S)
    assert not reach.has_shut("a")
    reach.record_last_seen("a", "b", heard, 12.0)
    assert reach.has_shut("a")
    reach.note_answer("a", "b", 12.1)
    reach.record_last_seen("a", "b", heard, 12.2)
    assert not reach.has_shut("a")
    reach.record_last_seen("a", "b", [*heard, 12.3], 12.3)
    reach.record_last_seen("a", "b", [*heard, 12.3], 14.0)
    assert reach.has_shut("a")
    reach.record_last_seen("a", "b", [*heard, 14.1], 14.1)
    assert not reach.has_shut("a")


_events = st.lists(
    st.tuples(
        st.sampled_from(["a", "b"]),
        st.sampled_from(["a", "b"]),
        st.integers(0, 9),
        st.booleans(),
        st.floats(0.0, 0.5),
    ),
    max_size=60,
)


@given(_events, st.integers(0, 40))
def test_few_failures_or_one_answer_between_them_shut_no_zone(
    events: list[tuple[str, str, int, bool, float]], replicas: int
) -> None:
    reach = ZoneReachability()
    now = 0.0
    failed: dict[tuple[str, str], dict[int, float]] = {}
    needed = max(LEAST_FAILED_REPLICAS, min(FAILED_REPLICAS, replicas))
    for source, zone, number, is_answer, pause_s in events:
        now += pause_s
        way = failed.setdefault((source, zone), {})
        was_open = reach.may_send(source, zone, now) and not reach.has_shut(source)
        if is_answer:
            way.clear()
            reach.note_answer(source, zone, now)
            assert reach.may_send(source, zone, now)
            continue
        way[number] = now
        reach.note_failure(source, zone, f"r{number}", replicas, now)
        recent = [one for one in way.values() if now - one <= WINDOW_S]
        if was_open and (len(recent) < needed or source == zone):
            assert not reach.has_shut(source)
    assert reach.may_send("a", "a", now) and reach.may_send("b", "b", now)


# --- where work goes ---


def cut_fleet(lost_zones: int = 1, replicas: int = 20) -> Fleet:
    """Return a fleet of two zones whose node 0 saw replicas of the other zone fail."""
    fleet = Fleet(replicas=replicas, zones=2)
    features = fleet.scheduler.features = Features(
        fleet.scheduler._online._configuration, lost_zones=lost_zones
    )
    fleet.scheduler._replicas._features = features
    fleet.scheduler._online._features = features
    fleet.tell(0)
    far = [f"r{number}" for number in range(replicas) if number % 2]
    fleet.nodes[0].suspects = far[:FAILED_REPLICAS]
    fleet.tell(0)
    return fleet


def sent_to(fleet: Fleet, node: int, number: int) -> int:
    return int(fleet.nodes[node].placements[number].replica_id[1:])


def test_requests_and_items_avoid_a_cut_zone_while_others_have_room() -> None:
    fleet = cut_fleet()
    chosen = [sent_to(fleet, 0, fleet.ask(0)) for _ in range(60)]
    assert all(number % 2 == 0 for number in chosen)
    fleet.nodes[0].waiting = [WaitingGroup(1, 3, "r15")]
    fleet.tell(0)
    assert fleet.nodes[0].batch
    assert all(int(key[1:]) % 2 == 0 for key in fleet.nodes[0].batch)
    # The nodes of the other zone reach its replicas.
    assert sent_to(fleet, 1, fleet.ask(1)) % 2 == 1


def test_failures_of_a_node_that_returns_shut_no_zone() -> None:
    fleet = cut_fleet(replicas=20)
    assert fleet.scheduler.reachability.unreachable_count == 1
    fleet.scheduler.remove_node("n0", fleet.now)
    fleet.scheduler.reachability.note_answer("z1", "z2", fleet.now)
    fleet.nodes[0].suspects = [f"r{number}" for number in range(11, 20, 2)]
    fleet.tell(0)
    assert fleet.scheduler.reachability.unreachable_count == 0


def test_where_no_other_zone_has_room_a_cut_one_is_tried() -> None:
    fleet = cut_fleet()
    fleet.nodes[0].online = {f"r{number}": 8 for number in range(0, 20, 2)}
    number = fleet.ask(0, must_place=True)
    assert sent_to(fleet, 0, number) % 2 == 1


def test_without_the_switch_a_zone_is_not_avoided() -> None:
    fleet = cut_fleet(lost_zones=0)
    chosen = [sent_to(fleet, 0, fleet.ask(0)) for _ in range(60)]
    assert any(number % 2 for number in chosen)


def stream_fleet(is_resumable: bool, lost_zones: int = 1) -> Fleet:
    """Return two zones with one replica each, the nearer one half full."""
    fleet = cut_fleet(lost_zones, replicas=2)
    fleet.nodes[0].suspects = []
    fleet.tell(0)
    fleet.scheduler._replicas._directory.clear_suspicion("r1")
    fleet.scheduler._replicas._directory._peer_suspected_until.clear()
    holder = fleet.scheduler._online._configuration
    before = holder.current
    assert before is not None
    routes = tuple(msgspec.structs.replace(one, is_resumable=is_resumable) for one in before.routes)
    assert routes[0].kind is RouteKind.STREAM
    holder.update_if_newer(Configuration(2, routes, {}, before.limits))
    fleet.nodes[0].online = {"r0": 6}
    return fleet


@pytest.mark.parametrize(
    ("is_resumable", "lost_zones", "left_ms", "expected"),
    [(False, 1, 300, 0), (True, 1, 300, 1), (False, 0, 300, 1), (False, 1, 60, 1)],
)
def test_a_stream_that_can_not_be_resumed_stays_near_unless_it_would_be_late(
    is_resumable: bool, lost_zones: int, left_ms: int, expected: int
) -> None:
    fleet = stream_fleet(is_resumable, lost_zones)
    number = fleet.ask(0, objective_left_ms=left_ms, must_place=True)
    assert sent_to(fleet, 0, number) == expected


def test_the_switch_is_on_where_a_zone_may_be_lost() -> None:
    fleet = cut_fleet(lost_zones=0)
    assert not fleet.scheduler.features.is_on(Feature.ZONE_LOSS)
    assert cut_fleet().scheduler.features.is_on(Feature.ZONE_LOSS)
