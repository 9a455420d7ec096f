"""Loss or isolation of a zone: which node serves it, and where its requests and items go."""

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
    FAILURE_WINDOW_S,
    MIN_FAILED_REPLICAS,
    PROBE_INTERVAL_S,
    PROBE_SUCCESS_S,
    UNRESPONSIVE_TIMEOUT_S,
    Evidence,
    ReachabilityChange,
    ZoneReachability,
)
from cloverwalk.tenants.directory import Tenant

NODES = 12
FAILOVER_TIMEOUT_S = 2.0
"""One second between reports, half a second until their timeout, and steps of the world."""

RECOVERY_TIMEOUT_S = 4.0


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
    return [node for node in world.nodes if node.identity.zone == zone]


def leadership_of(world: CoordinationWorld) -> Leadership:
    current = world.coordinator.leader.current
    assert current is not None
    return current


def other_zone(world: CoordinationWorld) -> str:
    """Return the last zone other than the coordinator's."""
    return max({"z1", "z2", "z3"} - {world.coordinator.identity.zone})


def attach_recorders(nodes: list[FleetNode]) -> list[Recorder]:
    """Give nodes waiting items and record the grants that they get."""
    recorders = []
    for node in nodes:
        node.client.waiting = {"model": [WaitingGroup(1, 2)]}
        recorders.append(Recorder())
        node.client.batch_handler = recorders[-1]
    return recorders


def granted(recorders: list[Recorder]) -> set[str]:
    return {key for recorder in recorders for grants in recorder.grants for key in grants}


# --- standbys of zones ---


def test_each_other_zone_has_a_standby_that_is_replaced_if_killed() -> None:
    async def test(world: CoordinationWorld) -> None:
        coordinator_zone = world.coordinator.identity.zone
        standbys = leadership_of(world).standbys
        other_zones = {"z1", "z2", "z3"} - {coordinator_zone}
        assert {standby.zone for standby in standbys} == other_zones
        killed = next(node for node in world.nodes if node.name == standbys[1].node)
        world.kill(killed)
        await world.run(5.0)
        replacements = leadership_of(world).standbys
        assert {standby.zone for standby in replacements} == other_zones
        assert killed.name not in {standby.node for standby in replacements}

    in_zones(test)


@pytest.mark.parametrize("is_store_down", [True, False])
def test_zone_that_is_cut_off_is_granted_its_own_slots_and_rejoins(is_store_down: bool) -> None:
    async def test(world: CoordinationWorld) -> None:
        zone = other_zone(world)
        cut = zone_nodes(world, zone)
        world.store.is_down = is_store_down
        world.wire.cut_zones.add(zone)
        await world.run(FAILOVER_TIMEOUT_S)
        recorders = attach_recorders(cut)
        await world.run(1.0)
        assert all(recorder.grants for recorder in recorders)
        zone_replicas = {replica.replica_id for replica in world.replicas if replica.zone == zone}
        assert (
            granted(recorders) <= zone_replicas
            if is_store_down
            else granted(recorders) & zone_replicas
        )
        assert len({node.follows for node in cut}) == 1
        # Both sides together grant at most the whole quota.
        fractions = [
            node.scheduler.quotas._fleet_fraction
            for node in world.nodes
            if node.coordinator.is_active
        ]
        serving = [node for node in cut if node.leader.serves_zone]
        fractions += [node.scheduler.quotas._fleet_fraction for node in serving]
        assert len(fractions) == 2
        assert sum(fractions) <= 1.0
        world.wire.cut_zones.clear()
        world.store.is_down = False
        await world.run(RECOVERY_TIMEOUT_S)
        assert {node.follows for node in world.nodes} == {world.coordinator.name}

    in_zones(test)


def test_all_nodes_are_granted_slots_while_coordinator_zone_is_cut_off() -> None:
    async def test(world: CoordinationWorld) -> None:
        zone = world.coordinator.identity.zone
        world.wire.cut_zones.add(zone)
        await world.run(FAILOVER_TIMEOUT_S)
        recorders = attach_recorders(world.nodes)
        await world.run(1.0)
        assert all(recorder.grants for recorder in recorders)
        world.wire.cut_zones.clear()
        await world.run(RECOVERY_TIMEOUT_S)
        assert {node.follows for node in world.nodes} == {world.coordinator.name}

    in_zones(test)


def test_node_returns_to_zone_standby_after_one_missed_answer() -> None:
    async def test(world: CoordinationWorld) -> None:
        zone = other_zone(world)
        world.store.is_down = True
        world.wire.cut_zones.add(zone)
        await world.run(FAILOVER_TIMEOUT_S)
        first = next(
            candidate for candidate in zone_nodes(world, zone) if candidate.leader.serves_zone
        )
        node = next(candidate for candidate in zone_nodes(world, zone) if candidate is not first)
        assert node.follows == first.name
        node.leader.mark_unresponsive(first.host)
        assert node.follows != first.name
        node.client._report_to_unresponsive_nodes()
        await world.deliver()
        assert node.follows == first.name

    in_zones(test)


def test_unacknowledged_report_right_after_an_answer_is_no_timeout() -> None:
    async def test(world: CoordinationWorld) -> None:
        node = next(
            candidate for candidate in zone_nodes(world, other_zone(world)) if candidate.follows
        )
        holder = world.coordinator
        await node.client._report()
        await world.deliver()
        # The coordinator acknowledged a report just now, so it does not answer these.
        for pause_s in (0.1, 0.1, 0.15):
            world.now += pause_s
            await node.client._report()
            await world.deliver()
        world.now += 0.3
        await node.client._report()
        assert node.follows == holder.name
        await world.deliver()
        assert not node.leader.has_lost_coordinator

    in_zones(test)


def test_nodes_of_new_coordinator_know_the_size_of_the_whole_fleet() -> None:
    """A node that decides by itself later grants its fraction of the quotas of the whole fleet."""

    async def test(world: CoordinationWorld) -> None:
        cut = zone_nodes(world, other_zone(world))
        world.wire.cut_zones.add(other_zone(world))
        await world.run(2 * FAILOVER_TIMEOUT_S)
        assert any(node.coordinator.is_active for node in cut)
        followers = [node for node in cut if not node.coordinator.is_active]
        assert {node.coordinator._fleet_size for node in followers} == {NODES}

    in_zones(test)


def test_one_lost_answer_does_not_mark_coordinator_unresponsive() -> None:
    """The coordinator counts the node as acknowledged and doesn't answer again at once."""

    async def test(world: CoordinationWorld) -> None:
        node = next(
            candidate for candidate in zone_nodes(world, other_zone(world)) if candidate.follows
        )
        await node.client._report()
        await world.deliver()
        world.now += 1.0
        world.wire.dropped_kinds.add(Orders)
        await node.client._report()
        await world.deliver()
        world.wire.dropped_kinds.clear()
        for _ in range(3):
            world.now = max(world.now, node.client.report_due_at())
            await node.client._report()
            await world.deliver()
            assert not node.leader.has_lost_coordinator

    in_zones(test)


def test_no_early_report_is_due_for_a_former_receiver() -> None:
    async def test(world: CoordinationWorld) -> None:
        node = next(
            candidate for candidate in zone_nodes(world, other_zone(world)) if candidate.follows
        )
        world.wire.cut_hosts.add(node.host)
        world.now += 1.0
        await node.client._report()
        assert node.client._unanswered_report is not None
        for contact in node.leader.contacts():
            node.leader.mark_unresponsive(contact.host)
        for _ in range(3):
            world.now += 1.0
            await node.client._report()
            assert node.client._unanswered_report is None
            assert node.client.report_due_at() > world.now

    in_zones(test)


def test_orders_to_itself_are_no_contact_with_the_leadership() -> None:
    """A process that the store refuses keeps reporting to the seed hosts."""
    view = LeaderView(Identity("n3", "0a", "h3", "z1"), now=0.0)
    view.update_leadership(
        Leadership(Contact("n1", "h1"), "0b", 7, (Contact("n3", "h3", "z1"),)), now=1.0
    )
    view.mark_unresponsive("h1")
    assert view.serves_zone
    view.mark_responsive("h3", now=2.0)
    assert view.has_never_contacted_leader and view.last_seen_at == 1.0


def test_orders_from_the_other_side_of_a_cut_are_ignored() -> None:
    async def test(world: CoordinationWorld) -> None:
        zone = other_zone(world)
        old = world.coordinator
        world.store.is_down = True
        world.wire.cut_zones.add(zone)
        await world.run(FAILOVER_TIMEOUT_S)
        node = next(
            candidate for candidate in zone_nodes(world, zone) if not candidate.leader.serves_zone
        )
        (recorder,) = attach_recorders([node])
        orders = old.coordinator._make_orders(node.name, None, world.now)
        orders.sender, orders.number, orders.grants = "other.0c", 9, {"r0": 2}
        await node.client.handle_orders(orders, "h-other")
        assert recorder.grants == []

    in_zones(test)


def test_zones_are_ignored_if_zone_loss_is_not_tolerated() -> None:
    async def test(world: CoordinationWorld) -> None:
        standbys = leadership_of(world).standbys
        coordinator_zone = world.coordinator.identity.zone
        candidates = [member for member in world.nodes if member.identity.zone != coordinator_zone]
        assert len(standbys) == 3
        assert {standby.zone for standby in standbys} == {""}
        chosen = world.coordinator.coordinator.registry.choose_standbys(
            world.coordinator.name, coordinator_zone
        )
        assert [standby.node for standby in chosen] == sorted(member.name for member in candidates)[
            :3
        ]
        node = next(candidate for candidate in candidates if candidate.leader.standby_rank is None)
        world.store.is_down = True
        world.wire.cut_zones.add(node.identity.zone)
        await world.run(FAILOVER_TIMEOUT_S)
        assert not node.leader.has_lost_coordinator

    in_zones(test, lost_zones=0)


def test_contact_of_earlier_version_has_no_zone() -> None:
    assert msgspec.json.decode(b'["n1","h1"]', type=Contact) == Contact("n1", "h1")


# --- reachability of zones ---


def record_failures(
    reachability: ZoneReachability, count: int, now: float, replicas: int = 30
) -> None:
    for number in range(count):
        reachability.record_failure("a", "b", f"r{number}", replicas, now)


def test_failed_replicas_make_zone_unreachable_and_an_answer_reachable() -> None:
    reachability = ZoneReachability()
    changes: list[ReachabilityChange] = []
    reachability.on_change = changes.append
    record_failures(reachability, FAILED_REPLICAS, 1.0)
    assert not reachability.may_send("a", "b", 1.1)
    assert reachability.may_send("c", "b", 1.1) and reachability.may_send("b", "a", 1.1)
    reachability.record_sent("a", "b", 1.0 + PROBE_INTERVAL_S)
    assert not reachability.may_send("a", "b", 1.1 + PROBE_INTERVAL_S)
    reachability.record_answer("a", "b", 2.0)
    assert changes == [
        ReachabilityChange("a", "b", False, Evidence.FAILURES),
        ReachabilityChange("a", "b", True, Evidence.ANSWER),
    ]


def test_successful_probe_makes_zone_reachable_and_failed_probe_does_not() -> None:
    reachability = ZoneReachability()
    record_failures(reachability, FAILED_REPLICAS, 1.0)
    reachability.record_sent("a", "b", 2.0)
    reachability.record_failure("a", "b", "r9", 30, 2.4)
    reachability.tick(2.0 + PROBE_SUCCESS_S)
    assert reachability.has_unreachable_zone("a")
    reachability.record_sent("a", "b", 5.0)
    reachability.tick(5.0 + PROBE_SUCCESS_S)
    assert not reachability.has_unreachable_zone("a")


def test_zone_without_reports_is_unreachable_until_a_node_reports() -> None:
    reachability = ZoneReachability()
    last_seen = [10.0, 10.2, 10.4]
    reachability.record_last_seen("a", "b", last_seen[:2], 20.0)
    reachability.record_last_seen("a", "b", last_seen, 10.3 + UNRESPONSIVE_TIMEOUT_S)
    assert not reachability.has_unreachable_zone("a")
    reachability.record_last_seen("a", "b", last_seen, 12.0)
    assert reachability.has_unreachable_zone("a")
    reachability.record_answer("a", "b", 12.1)
    reachability.record_last_seen("a", "b", last_seen, 12.2)
    assert not reachability.has_unreachable_zone("a")
    reachability.record_last_seen("a", "b", [*last_seen, 12.3], 12.3)
    reachability.record_last_seen("a", "b", [*last_seen, 12.3], 14.0)
    assert reachability.has_unreachable_zone("a")
    reachability.record_last_seen("a", "b", [*last_seen, 14.1], 14.1)
    assert not reachability.has_unreachable_zone("a")


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
def test_few_failures_or_an_answer_between_them_keep_zone_reachable(
    events: list[tuple[str, str, int, bool, float]], replicas: int
) -> None:
    reachability = ZoneReachability()
    now = 0.0
    failed: dict[tuple[str, str], dict[int, float]] = {}
    needed = max(MIN_FAILED_REPLICAS, min(FAILED_REPLICAS, replicas))
    for source, zone, number, is_answer, pause_s in events:
        now += pause_s
        failed_at = failed.setdefault((source, zone), {})
        was_open = reachability.may_send(
            source, zone, now
        ) and not reachability.has_unreachable_zone(source)
        if is_answer:
            failed_at.clear()
            reachability.record_answer(source, zone, now)
            assert reachability.may_send(source, zone, now)
            continue
        failed_at[number] = now
        reachability.record_failure(source, zone, f"r{number}", replicas, now)
        recent = [at for at in failed_at.values() if now - at <= FAILURE_WINDOW_S]
        if was_open and (len(recent) < needed or source == zone):
            assert not reachability.has_unreachable_zone(source)
    assert reachability.may_send("a", "a", now) and reachability.may_send("b", "b", now)


# --- placement with an unreachable zone ---


def cut_fleet(lost_zones: int = 1, replicas: int = 20) -> Fleet:
    """Return a fleet of two zones in which replicas of the other zone failed at node 0."""
    fleet = Fleet(replicas=replicas, zones=2)
    features = fleet.scheduler.features = Features(
        fleet.scheduler._online._configuration, lost_zones=lost_zones
    )
    fleet.scheduler._replicas._features = features
    fleet.scheduler._online._features = features
    fleet.report_state(0)
    other_zone_replicas = [f"r{number}" for number in range(replicas) if number % 2]
    fleet.nodes[0].suspects = other_zone_replicas[:FAILED_REPLICAS]
    fleet.report_state(0)
    return fleet


def sent_to(fleet: Fleet, node: int, number: int) -> int:
    return int(fleet.nodes[node].placements[number].replica_id[1:])


def test_requests_and_items_avoid_unreachable_zone_while_others_have_free_slots() -> None:
    fleet = cut_fleet()
    chosen = [sent_to(fleet, 0, fleet.request_placement(0)) for _ in range(60)]
    assert all(number % 2 == 0 for number in chosen)
    fleet.nodes[0].waiting = [WaitingGroup(1, 3, "r15")]
    fleet.report_state(0)
    assert fleet.nodes[0].batch
    assert all(int(key[1:]) % 2 == 0 for key in fleet.nodes[0].batch)
    # Nodes of the other zone still use its replicas.
    assert sent_to(fleet, 1, fleet.request_placement(1)) % 2 == 1


def test_failures_of_returning_node_keep_zone_reachable() -> None:
    fleet = cut_fleet(replicas=20)
    assert fleet.scheduler.reachability.unreachable_count == 1
    fleet.scheduler.remove_node("n0", fleet.now)
    fleet.scheduler.reachability.record_answer("z1", "z2", fleet.now)
    fleet.nodes[0].suspects = [f"r{number}" for number in range(11, 20, 2)]
    fleet.report_state(0)
    assert fleet.scheduler.reachability.unreachable_count == 0


def test_unreachable_zone_is_tried_if_no_other_has_free_slots() -> None:
    fleet = cut_fleet()
    fleet.nodes[0].online = {f"r{number}": 8 for number in range(0, 20, 2)}
    number = fleet.request_placement(0, must_place=True)
    assert sent_to(fleet, 0, number) % 2 == 1


def test_zone_is_not_avoided_if_zone_loss_is_not_tolerated() -> None:
    fleet = cut_fleet(lost_zones=0)
    chosen = [sent_to(fleet, 0, fleet.request_placement(0)) for _ in range(60)]
    assert any(number % 2 for number in chosen)


def stream_fleet(is_resumable: bool, lost_zones: int = 1) -> Fleet:
    """Return a fleet of two zones with one replica each; 6 of 8 slots of the nearer are busy."""
    fleet = cut_fleet(lost_zones, replicas=2)
    fleet.nodes[0].suspects = []
    fleet.report_state(0)
    fleet.scheduler._replicas._directory.clear_suspicion("r1")
    fleet.scheduler._replicas._directory._peer_suspected_until.clear()
    holder = fleet.scheduler._online._configuration
    before = holder.current
    assert before is not None
    routes = tuple(
        msgspec.structs.replace(route, is_resumable=is_resumable) for route in before.routes
    )
    assert routes[0].kind is RouteKind.STREAM
    holder.update_if_newer(Configuration(2, routes, {}, before.limits))
    fleet.nodes[0].online = {"r0": 6}
    return fleet


@pytest.mark.parametrize(
    ("is_resumable", "lost_zones", "left_ms", "expected"),
    [(False, 1, 300, 0), (True, 1, 300, 1), (False, 0, 300, 1), (False, 1, 60, 1)],
)
def test_stream_that_is_not_resumable_stays_in_its_zone_unless_late(
    is_resumable: bool, lost_zones: int, left_ms: int, expected: int
) -> None:
    fleet = stream_fleet(is_resumable, lost_zones)
    number = fleet.request_placement(0, objective_left_ms=left_ms, must_place=True)
    assert sent_to(fleet, 0, number) == expected


def test_zone_loss_feature_follows_lost_zones_setting() -> None:
    fleet = cut_fleet(lost_zones=0)
    assert not fleet.scheduler.features.is_on(Feature.ZONE_LOSS)
    assert cut_fleet().scheduler.features.is_on(Feature.ZONE_LOSS)
