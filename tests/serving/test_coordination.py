"""Election of the coordinator, failover to standbys, and the messages between nodes."""

from collections.abc import Awaitable, Callable

import curio
import msgspec
import pytest
from coordination_world import CoordinationWorld, FleetNode
from hypothesis import given
from hypothesis import strategies as st

from cloverwalk.fleet.coordinator_client import BatchOrderHandler
from cloverwalk.fleet.datagrams import MAX_DATAGRAM_BYTES
from cloverwalk.fleet.election import LEADER_TIMEOUT_S, ROLE_KEY, RoleRow
from cloverwalk.fleet.messages import (
    ConfigurationCopy,
    Contact,
    Datagram,
    DatagramError,
    DirectoryUpdate,
    Leadership,
    NodeLoad,
    Orders,
    PlacementRequest,
    Report,
    Snapshot,
    WaitingGroup,
    decode_datagram,
    encode_datagram,
)
from cloverwalk.fleet.node_registry import NODE_TIMEOUT_S
from cloverwalk.fleet.placement_client import (
    MAX_PLACEMENT_ATTEMPTS,
    MAX_PLACEMENT_TIMEOUT_S,
    PlacementResult,
)
from cloverwalk.scheduling.admission import PlacementVerdict
from cloverwalk.store.types import Expectation, Put, Transaction

LARGE_FLEET_NODES = 195
SMALL_FLEET_NODES = 9


def in_fleet(nodes: int, test: Callable[[CoordinationWorld], Awaitable[None]]) -> None:
    async def main() -> None:
        world = CoordinationWorld(nodes)
        await world.start()
        await test(world)

    curio.run(main)


REQUEST = PlacementRequest(
    0, "chat", "model", objective_left_ms=300, deadline_ms=5000, time_left_ms=5000
)


def follower_node(world: CoordinationWorld) -> FleetNode:
    """Return a node that is neither coordinator nor standby."""
    return next(
        node
        for node in world.nodes
        if node.leader.standby_rank is None and not node.coordinator.is_active
    )


async def request_placement(world: CoordinationWorld, node: FleetNode) -> PlacementResult:
    """Request a placement; datagrams are delivered at once and time stands still."""
    task = await curio.spawn(node.client.request_placement, REQUEST, world.now + 1.5)
    while not task.terminated:
        await world.deliver()
        await curio.sleep(0.001)
    result: PlacementResult = await task.join()
    return result


@pytest.mark.parametrize("count", [1, 2, SMALL_FLEET_NODES, LARGE_FLEET_NODES])
def test_starting_fleet_elects_one_coordinator_that_all_nodes_follow(count: int) -> None:
    async def test(world: CoordinationWorld) -> None:
        name = world.coordinator.name
        assert {node.follows for node in world.nodes} == {name}
        assert len(world.coordinator.coordinator.registry.live()) == count

    in_fleet(count, test)


def test_idle_node_of_large_fleet_exchanges_at_most_four_messages_per_second() -> None:
    async def test(world: CoordinationWorld) -> None:
        await world.run(2.0)
        sent_before = world.wire.sent
        await world.run(10.0)
        assert (world.wire.sent - sent_before) / 10.0 / LARGE_FLEET_NODES <= 4.0

    in_fleet(LARGE_FLEET_NODES, test)


def test_first_standby_takes_over_from_killed_coordinator() -> None:
    async def test(world: CoordinationWorld) -> None:
        await world.run(2.0)
        old = world.coordinator
        term = old.leader.term
        standbys = (
            [standby.node for standby in old.leader.current.standbys] if old.leader.current else []
        )
        assert len(standbys) == 3
        world.kill(old)
        await world.run(2.5)
        assert world.coordinator.name == standbys[0]
        assert {node.follows for node in world.nodes} == {standbys[0]}
        assert world.coordinator.leader.term > term

    in_fleet(SMALL_FLEET_NODES, test)


def test_any_node_takes_over_if_coordinator_and_standbys_are_killed() -> None:
    async def test(world: CoordinationWorld) -> None:
        await world.run(2.0)
        assert world.coordinator.leader.current is not None
        leadership = world.coordinator.leader.current
        killed = {leadership.holder.node, *(standby.node for standby in leadership.standbys)}
        for node in [member for member in world.nodes if member.name in killed]:
            world.kill(node)
        await world.run(LEADER_TIMEOUT_S + 4.0)
        name = world.coordinator.name
        assert name not in killed
        assert {member.follows for member in world.nodes} == {name}

    in_fleet(SMALL_FLEET_NODES, test)


def test_restart_of_all_processes_elects_one_coordinator() -> None:
    async def test(world: CoordinationWorld) -> None:
        await world.run(2.0)
        for node in list(world.nodes):
            restarted = world.replace(node)
            world.load_replicas(restarted)
        for node in world.nodes:
            await node.election._start()
        await world.run(4.0)
        name = world.coordinator.name
        assert {member.follows for member in world.nodes} == {name}
        assert len(world.coordinator.coordinator.registry.live()) == SMALL_FLEET_NODES

    in_fleet(SMALL_FLEET_NODES, test)


def test_restarted_coordinator_claims_role_despite_leadership_of_its_earlier_process() -> None:
    async def test(world: CoordinationWorld) -> None:
        old = world.coordinator
        leadership = old.leader.current
        assert leadership is not None
        restarted = world.replace(old)
        # Other nodes still send the leadership that names the earlier process.
        await restarted.client.update_leadership(leadership)
        await restarted.election._start()
        assert [node.identity.run for node in world.active] == [restarted.identity.run]
        assert restarted.leader.term > leadership.term

    in_fleet(SMALL_FLEET_NODES, test)


def test_starting_node_is_sent_copies_only_if_store_refuses_it() -> None:
    async def test(world: CoordinationWorld) -> None:
        starting = FleetNode(SMALL_FLEET_NODES, world)
        starting.configuration.current = None
        world.nodes.append(starting)
        leadership = world.coordinator.leader.current
        assert leadership is not None
        await starting.client.update_leadership(leadership)
        world.wire.bytes_by_kind.clear()
        for _ in range(2):
            world.now += 0.1
            await starting.client._report()
            await world.deliver()
        assert world.wire.bytes_by_kind[ConfigurationCopy] == 0
        assert world.wire.bytes_by_kind[DirectoryUpdate] == 0
        await starting.health.record_failure()
        await starting.client._report()
        await world.deliver()
        assert world.wire.bytes_by_kind[ConfigurationCopy] > 0
        assert world.wire.bytes_by_kind[DirectoryUpdate] > 0

    in_fleet(SMALL_FLEET_NODES, test)


def test_first_replica_list_of_new_coordinator_is_not_broadcast() -> None:
    async def test(world: CoordinationWorld) -> None:
        restarted = world.replace(world.coordinator)
        await restarted.election._start()
        world.wire.bytes_by_kind.clear()
        for node in world.nodes:
            await node.client._report()
        await world.deliver()
        world.load_replicas(restarted)
        await restarted.coordinator.tick()
        assert restarted.coordinator.is_active
        assert len(restarted.coordinator.registry.live()) == SMALL_FLEET_NODES
        assert world.wire.bytes_by_kind[DirectoryUpdate] == 0

    in_fleet(SMALL_FLEET_NODES, test)


def test_coordinator_that_was_cut_off_follows_its_successor() -> None:
    async def test(world: CoordinationWorld) -> None:
        await world.run(2.0)
        old = world.coordinator
        world.wire.cut_hosts.add(old.host)
        await world.run(3.0)
        assert len(world.active) == 2
        world.wire.cut_hosts.clear()
        await world.run(3.0)
        assert world.coordinator is not old
        assert {node.follows for node in world.nodes} == {world.coordinator.name}

    in_fleet(SMALL_FLEET_NODES, test)


def test_isolated_node_does_not_keep_the_role_from_the_coordinator() -> None:
    """A node that reaches the store but no other node claims the role without effect."""

    async def test(world: CoordinationWorld) -> None:
        await world.run(2.0)
        old = world.coordinator
        isolated = follower_node(world)
        world.wire.cut_hosts.add(isolated.host)
        await world.run(8.0)
        peers = [node for node in world.nodes if node is not isolated]
        assert {node.follows for node in peers} == {old.name}
        assert old.coordinator.is_active
        world.wire.cut_hosts.clear()
        await world.run(4.0)
        assert world.coordinator.name == old.name
        assert {node.follows for node in world.nodes} == {old.name}

    in_fleet(SMALL_FLEET_NODES, test)


def test_claim_with_lost_answer_is_recognized_in_the_role_row() -> None:
    async def main() -> None:
        world = CoordinationWorld(1)
        node = world.nodes[0]
        world.load_replicas(node)
        role = RoleRow(node.identity.contact, node.identity.run)
        world.store.apply(Transaction([], [Put(ROLE_KEY, msgspec.json.encode(role))]))
        await node.election._claim()
        assert node.coordinator.is_active
        assert node.leader.is_holder

    curio.run(main)


def test_invalid_role_row_is_replaced() -> None:
    async def main() -> None:
        world = CoordinationWorld(2)
        world.store.apply(Transaction([Expectation(ROLE_KEY, 0)], [Put(ROLE_KEY, b"{")]))
        await world.start()
        assert len(world.active) == 1

    curio.run(main)


def test_standby_answers_placement_requests_while_coordinator_is_unresponsive() -> None:
    async def test(world: CoordinationWorld) -> None:
        await world.run(2.0)
        old = world.coordinator
        leadership = old.leader.current
        assert leadership is not None
        standby = leadership.standbys[0].node
        requester = follower_node(world)
        assert (await request_placement(world, requester)).verdict is PlacementVerdict.SEND
        world.wire.cut_hosts.add(old.host)
        world.now += 1.0
        result = await request_placement(world, requester)
        assert result.verdict is PlacementVerdict.SEND
        assert requester.follows == standby
        node = next(candidate for candidate in world.nodes if candidate.name == standby)
        assert requester.name in node.coordinator.registry.by_name

    in_fleet(SMALL_FLEET_NODES, test)


def test_node_without_any_answer_decides_by_itself() -> None:
    async def test(world: CoordinationWorld) -> None:
        await world.run(2.0)
        requester = follower_node(world)
        world.wire.cut_hosts.add(requester.host)
        world.now += 1.0
        results = [await request_placement(world, requester) for _ in range(6)]
        assert {result.verdict for result in results} == {PlacementVerdict.SEND}
        assert len({result.replica_id for result in results}) > 1
        assert sum(load.online for load in requester.loads.by_replica.values()) == 6

    in_fleet(SMALL_FLEET_NODES, test)


def test_node_that_was_cut_off_follows_the_coordinator_again() -> None:
    async def test(world: CoordinationWorld) -> None:
        await world.run(2.0)
        node = follower_node(world)
        world.wire.cut_hosts.add(node.host)
        for host in {peer.host for peer in world.nodes} - {node.host}:
            node.leader.mark_unresponsive(host)
        assert node.follows == ""
        world.wire.cut_hosts.clear()
        node.client._report_to_unresponsive_nodes()
        await world.deliver()
        assert node.follows == world.coordinator.name

    in_fleet(SMALL_FLEET_NODES, test)


def test_standby_has_the_replica_loads_of_the_fleet() -> None:
    async def test(world: CoordinationWorld) -> None:
        requester = next(
            candidate for candidate in world.nodes if not candidate.coordinator.is_active
        )
        for _ in range(5):
            await request_placement(world, requester)
        await world.run(2.0)
        leadership = world.coordinator.leader.current
        assert leadership is not None
        standby = next(node for node in world.nodes if node.name == leadership.standbys[0].node)
        totals = [standby.scheduler.load_tracker.total(f"r{n}", world.now).online for n in range(4)]
        assert sum(totals) == 5

    in_fleet(SMALL_FLEET_NODES, test)


def test_cancelled_placement_request_leaves_no_load() -> None:
    async def test(world: CoordinationWorld) -> None:
        requester = next(
            candidate for candidate in world.nodes if not candidate.coordinator.is_active
        )
        task = await curio.spawn(requester.client.request_placement, REQUEST, world.now + 1.5)
        await curio.sleep(0)
        await task.cancel()
        await world.deliver()
        await world.run(1.0)
        assert requester.loads.by_replica == {}
        totals = [
            world.coordinator.scheduler.load_tracker.total(f"r{n}", world.now) for n in range(4)
        ]
        assert sum(load.total for load in totals) == 0

    in_fleet(SMALL_FLEET_NODES, test)


class Recorder(BatchOrderHandler):
    """Records the batch orders of a node."""

    def __init__(self) -> None:
        self.grants: list[dict[str, int]] = []
        self.revokes: list[dict[str, int]] = []
        self.jobs: list[str] = []

    async def apply_grants(self, grants: dict[str, int]) -> None:
        self.grants.append(grants)

    async def apply_revokes(self, revokes: dict[str, int]) -> None:
        self.revokes.append(revokes)

    async def take_over_jobs(self, job_ids: list[str]) -> None:
        self.jobs += job_ids


def test_orders_are_applied_once_and_only_from_the_followed_node() -> None:
    async def test(world: CoordinationWorld) -> None:
        node = next(candidate for candidate in world.nodes if not candidate.coordinator.is_active)
        recorder = node.client.batch_handler = Recorder()
        holder = world.coordinator
        leadership = holder.leader.current
        assert leadership is not None
        sender = holder.identity.incarnation
        orders = Orders(leadership, sender, 50, 1, 0, 0, 0, True, grants={"r0": 2})
        await node.client.handle_orders(orders, holder.host)
        await node.client.handle_orders(orders, holder.host)
        earlier = Orders(leadership, sender, 49, 1, 0, 0, 0, True, grants={"r1": 1})
        await node.client.handle_orders(earlier, holder.host)
        assert recorder.grants == [{"r0": 2}]
        foreign = Orders(leadership, "other.0c", 70, 1, 0, 0, 0, True, grants={"r2": 1})
        await node.client.handle_orders(foreign, "h-other")
        assert recorder.grants == [{"r0": 2}]

    in_fleet(SMALL_FLEET_NODES, test)


def test_isolated_node_starts_no_items() -> None:
    async def test(world: CoordinationWorld) -> None:
        await world.run(2.0)
        node = follower_node(world)
        recorder = node.client.batch_handler = Recorder()
        world.wire.cut_hosts.add(node.host)
        for host in {peer.host for peer in world.nodes} - {node.host}:
            node.leader.mark_unresponsive(host)
        node.client.waiting = {"model": [WaitingGroup(1, 5)]}
        await node.client._report()
        assert recorder.grants == []
        assert all(load.batch == 0 for load in node.scheduler.replica_loads().values())

    in_fleet(SMALL_FLEET_NODES, test)


def test_takeover_orders_reach_only_the_named_process() -> None:
    async def test(world: CoordinationWorld) -> None:
        node = next(candidate for candidate in world.nodes if not candidate.coordinator.is_active)
        recorder = node.client.batch_handler = Recorder()
        world.coordinator.coordinator.send_takeover(node.identity.incarnation, ["j1", "j2"])
        world.coordinator.coordinator.send_takeover(f"{node.name}.0z", ["j3"])
        await world.deliver()
        assert recorder.jobs == ["j1", "j2"]

    in_fleet(SMALL_FLEET_NODES, test)


# --- replica list and node registry ---


def test_replica_changes_are_sent_to_all_nodes_at_once() -> None:
    async def test(world: CoordinationWorld) -> None:
        draining = msgspec.structs.replace(world.replicas[0], is_draining=True, version=20)
        holder = world.coordinator
        holder.directory.put(draining)
        holder.directory.remove("r1", 21)
        holder.directory.version = 21
        await holder.coordinator.tick()
        await world.deliver()
        for node in world.nodes:
            assert node.directory.find("r0") is None
            assert node.directory.find("r1") is None
            assert node.directory.fingerprint == holder.directory.fingerprint

    in_fleet(SMALL_FLEET_NODES, test)


def test_lost_replica_change_is_repaired_after_the_next_report() -> None:
    async def test(world: CoordinationWorld) -> None:
        holder = world.coordinator
        world.wire.dropped_kinds.add(DirectoryUpdate)
        for replica_id in ("r0", "r1"):
            holder.directory.remove(replica_id, 20)
            holder.directory.version = 20
            await holder.coordinator.tick()
            await world.deliver()
        world.wire.dropped_kinds.clear()
        await world.run(1.5)
        assert all(node.directory.find("r0") is None for node in world.nodes)

    in_fleet(SMALL_FLEET_NODES, test)


def test_replica_list_that_differs_from_the_coordinators_is_not_confirmed() -> None:
    async def test(world: CoordinationWorld) -> None:
        node = next(candidate for candidate in world.nodes if not candidate.coordinator.is_active)
        node.directory.put(msgspec.structs.replace(world.replicas[0], slots=3, version=99))
        before = node.directory.confirmed_at
        world.wire.dropped_kinds.add(DirectoryUpdate)
        await world.run(2.0)
        assert node.directory.confirmed_at == before

    in_fleet(SMALL_FLEET_NODES, test)


def test_registry_detects_lost_node_and_its_restart() -> None:
    async def test(world: CoordinationWorld) -> None:
        node = next(candidate for candidate in world.nodes if not candidate.coordinator.is_active)
        incarnation = node.identity.incarnation
        registry = world.coordinator.coordinator.registry
        assert registry.is_reporting(incarnation)
        world.kill(node)
        await world.run(NODE_TIMEOUT_S + 1.0)
        assert not registry.is_reporting(incarnation)
        assert not registry.is_superseded(incarnation)
        restarted = FleetNode(node.number, world, run="0b")
        world.nodes.append(restarted)
        # It does not read the store; the coordinator sends the leadership to its former address.
        await world.run(2.5)
        assert restarted.follows == world.coordinator.name
        assert registry.is_superseded(incarnation)
        assert registry.is_reporting(restarted.identity.incarnation)

    in_fleet(SMALL_FLEET_NODES, test)


# --- messages ---


@given(st.binary(max_size=60))
def test_invalid_datagrams_raise_only_datagram_errors(data: bytes) -> None:
    try:
        decode_datagram(data)
    except DatagramError:
        return


def test_messages_survive_encoding_and_decoding() -> None:
    leadership = Leadership(Contact("n1", "h1"), "0a", 7, (Contact("n2", "h2"),))
    messages: list[Datagram] = [
        Report(
            "n1",
            "0a",
            "z1",
            3,
            2,
            7,
            9,
            40,
            1.5,
            {"r": NodeLoad(1, 2)},
            {"p": [WaitingGroup(3, 2, "r", 5)]},
            placement_requests=[msgspec.structs.replace(REQUEST, number=4, avoid=["r"])],
        ),
        Orders(leadership, "n1.0a", 4, 7, 9, 11, 40, True, replica_loads={"r": NodeLoad(1, 2)}),
        Snapshot(leadership, 40, {"r": NodeLoad(1, 2)}, {}, [Contact("n3", "h3")]),
    ]
    for message in messages:
        assert decode_datagram(encode_datagram(message)) == message
    assert isinstance(messages[0], Report)
    assert messages[0].incarnation == "n1.0a"


def test_node_decides_by_itself_after_two_placement_attempts() -> None:
    """Both attempts take at most 0.25 s, as latency objectives can be as short as 0.2 s."""

    async def test(world: CoordinationWorld) -> None:
        await world.run(2.0)
        requester = follower_node(world)
        world.wire.cut_hosts.add(requester.host)
        world.now += 1.0
        assert (await request_placement(world, requester)).verdict is PlacementVerdict.SEND
        assert 1 <= world.wire.placement_requests <= MAX_PLACEMENT_ATTEMPTS

    assert MAX_PLACEMENT_ATTEMPTS * MAX_PLACEMENT_TIMEOUT_S <= 0.25
    in_fleet(SMALL_FLEET_NODES, test)


MANY_NODES, MANY_REPLICAS = 300, 3000


def in_large_fleet(test: Callable[[CoordinationWorld], Awaitable[None]]) -> None:
    async def main() -> None:
        world = CoordinationWorld(MANY_NODES, replicas=MANY_REPLICAS)
        await world.start()
        for index, node in enumerate(world.nodes):
            for number in range(index, MANY_REPLICAS, MANY_NODES):
                node.loads.begin(f"r{number}", is_batch=False)
        await world.run(2.0)
        world.wire.bytes_by_kind.clear()
        await test(world)

    curio.run(main)


def test_replica_totals_of_large_fleet_stay_within_bandwidth_limit() -> None:
    async def test(world: CoordinationWorld) -> None:
        await world.run(4.0)
        assert world.wire.bytes_by_kind[Orders] / 4.0 < 250_000

    in_large_fleet(test)


def test_long_replica_list_is_not_sent_to_nodes_that_the_store_serves() -> None:
    async def test(world: CoordinationWorld) -> None:
        for node in world.nodes:
            await node.store.read(ROLE_KEY.table, ROLE_KEY.part)
            if not node.coordinator.is_active:
                node.directory.remove("r0", 99)
        await world.run(2.0)
        assert world.wire.bytes_by_kind[DirectoryUpdate] == 0

    in_large_fleet(test)


@pytest.mark.parametrize("is_lost", [False, True])
def test_long_replica_list_is_sent_in_parts_to_node_that_the_store_refuses(is_lost: bool) -> None:
    async def test(world: CoordinationWorld) -> None:
        node = follower_node(world)
        await node.health.record_failure()
        node.directory.remove("r0", 99)
        world.replicas = [
            msgspec.structs.replace(replica, slots=9, version=120) for replica in world.replicas
        ]
        coordinator = world.coordinator
        coordinator.directory.replace(world.replicas, 130)
        coordinator.coordinator._state_sender.sent_fingerprint = coordinator.directory.fingerprint
        world.wire.directory_updates_to_drop = 1 if is_lost else 0
        await world.run(12.0)
        assert node.directory.fingerprint == coordinator.directory.fingerprint
        assert world.wire.longest_datagram_bytes <= MAX_DATAGRAM_BYTES

    in_large_fleet(test)


# Guards against a list that looks fresh because its confirmation waited while its node stood still.
def test_confirmation_that_waited_is_dated_by_the_report_that_it_answers() -> None:
    async def main() -> None:
        world = CoordinationWorld(4)
        await world.start()
        node = next(node for node in world.nodes if node is not world.coordinator)
        await node.client._report()
        asked_at = world.now
        world.now += 0.5
        await world.deliver_to(world.coordinator)
        await world.coordinator.coordinator.tick()
        answers, world.wire.in_transit = world.wire.in_transit, []
        orders = [sent for sent in answers if sent[1] == node.host and isinstance(sent[2], Orders)]
        assert orders
        world.now += 4.0
        for source, _, message in orders:
            await node.handle_message(message, source)
        assert node.directory.confirmed_at <= asked_at + 0.5

    curio.run(main)
