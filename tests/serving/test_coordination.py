"""One node coordinates; the others find it, and go on when it is gone, silent or cut off."""

from collections.abc import Awaitable, Callable

import curio
import msgspec
import pytest
from coordination_world import CoordinationWorld, FleetNode
from hypothesis import given
from hypothesis import strategies as st

from cloverwalk.fleet.coordinator_client import BatchOrderHandler
from cloverwalk.fleet.election import ORPHAN_AFTER_S, ROLE_KEY, RoleRow
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
from cloverwalk.fleet.placement_client import ASK_TIMEOUT_MAX_S, MOST_ASKED, PlacementResult
from cloverwalk.fleet.transport import MAX_DATAGRAM_BYTES
from cloverwalk.scheduling.admission import PlacementVerdict
from cloverwalk.store.types import Expectation, Put, Transaction

LARGE = 195
SMALL = 9


def in_fleet(nodes: int, test: Callable[[CoordinationWorld], Awaitable[None]]) -> None:
    async def main() -> None:
        world = CoordinationWorld(nodes)
        await world.start()
        await test(world)

    curio.run(main)


ASK = PlacementRequest(
    0, "chat", "model", objective_left_ms=300, deadline_ms=5000, time_left_ms=5000
)


def plain_node(world: CoordinationWorld) -> FleetNode:
    """Return a node that neither coordinates nor stands by."""
    return next(
        one
        for one in world.nodes
        if one.leader.standby_rank is None and not one.coordinator.is_active
    )


async def place(world: CoordinationWorld, node: FleetNode) -> PlacementResult:
    """Ask for a place, while datagrams are carried at once and time stands still."""
    task = await curio.spawn(node.link.request_placement, ASK, world.now + 1.5)
    while not task.terminated:
        await world.deliver()
        await curio.sleep(0.001)
    found: PlacementResult = await task.join()
    return found


@pytest.mark.parametrize("count", [1, 2, SMALL, LARGE])
def test_a_fleet_that_starts_has_one_coordinator_that_all_nodes_follow(count: int) -> None:
    async def test(world: CoordinationWorld) -> None:
        name = world.coordinator.name
        assert {one.follows for one in world.nodes} == {name}
        assert len(world.coordinator.coordinator.registry.live()) == count

    in_fleet(count, test)


def test_an_idle_node_of_a_large_fleet_sends_and_hears_little() -> None:
    async def test(world: CoordinationWorld) -> None:
        await world.run(2.0)
        sent = world.wire.sent
        await world.run(10.0)
        assert (world.wire.sent - sent) / 10.0 / LARGE <= 4.0

    in_fleet(LARGE, test)


def test_a_standby_takes_over_from_a_coordinator_that_is_gone() -> None:
    async def test(world: CoordinationWorld) -> None:
        await world.run(2.0)
        old = world.coordinator
        term = old.leader.term
        standbys = [one.node for one in old.leader.current.standbys] if old.leader.current else []
        assert len(standbys) == 3
        world.kill(old)
        await world.run(2.5)
        assert world.coordinator.name == standbys[0]
        assert {one.follows for one in world.nodes} == {standbys[0]}
        assert world.coordinator.leader.term > term

    in_fleet(SMALL, test)


def test_any_node_takes_over_when_the_standbys_are_gone_too() -> None:
    async def test(world: CoordinationWorld) -> None:
        await world.run(2.0)
        assert world.coordinator.leader.current is not None
        leadership = world.coordinator.leader.current
        gone = {leadership.holder.node, *(one.node for one in leadership.standbys)}
        for node in [one for one in world.nodes if one.name in gone]:
            world.kill(node)
        await world.run(ORPHAN_AFTER_S + 4.0)
        name = world.coordinator.name
        assert name not in gone
        assert {one.follows for one in world.nodes} == {name}

    in_fleet(SMALL, test)


def test_after_a_restart_of_all_processes_there_is_one_coordinator() -> None:
    async def test(world: CoordinationWorld) -> None:
        await world.run(2.0)
        for node in list(world.nodes):
            again = world.replace(node)
            world.know_replicas(again)
        for node in world.nodes:
            await node.election._start()
        await world.run(4.0)
        name = world.coordinator.name
        assert {one.follows for one in world.nodes} == {name}
        assert len(world.coordinator.coordinator.registry.live()) == SMALL

    in_fleet(SMALL, test)


def test_a_coordinator_that_starts_anew_takes_its_role_though_others_name_its_earlier_process() -> (
    None
):
    async def test(world: CoordinationWorld) -> None:
        old = world.coordinator
        told = old.leader.current
        assert told is not None
        again = world.replace(old)
        # Nodes that have read the row before tell it who coordinates, as they believe.
        await again.link.offer(told)
        await again.election._start()
        assert [one.identity.run for one in world.active] == [again.identity.run]
        assert again.leader.term > told.term

    in_fleet(SMALL, test)


def test_a_node_that_starts_and_is_not_refused_by_the_store_is_sent_no_copies() -> None:
    async def test(world: CoordinationWorld) -> None:
        new = FleetNode(SMALL, world)
        new.configuration.current = None
        world.nodes.append(new)
        told = world.coordinator.leader.current
        assert told is not None
        await new.link.offer(told)
        world.wire.bytes_by_kind.clear()
        for _ in range(2):
            world.now += 0.1
            await new.link._report()
            await world.deliver()
        assert world.wire.bytes_by_kind[ConfigurationCopy] == 0
        assert world.wire.bytes_by_kind[DirectoryUpdate] == 0
        await new.health.record_failure()
        await new.link._report()
        await world.deliver()
        assert world.wire.bytes_by_kind[ConfigurationCopy] > 0
        assert world.wire.bytes_by_kind[DirectoryUpdate] > 0

    in_fleet(SMALL, test)


def test_the_first_list_of_a_new_coordinator_is_not_sent_to_all_nodes() -> None:
    async def test(world: CoordinationWorld) -> None:
        again = world.replace(world.coordinator)
        await again.election._start()
        world.wire.bytes_by_kind.clear()
        for node in world.nodes:
            await node.link._report()
        await world.deliver()
        world.know_replicas(again)
        await again.coordinator.tick()
        assert again.coordinator.is_active
        assert len(again.coordinator.registry.live()) == SMALL
        assert world.wire.bytes_by_kind[DirectoryUpdate] == 0

    in_fleet(SMALL, test)


def test_a_silent_coordinator_that_comes_back_follows_its_successor() -> None:
    async def test(world: CoordinationWorld) -> None:
        await world.run(2.0)
        old = world.coordinator
        world.wire.silent.add(old.host)
        await world.run(3.0)
        assert len(world.active) == 2
        world.wire.silent.clear()
        await world.run(3.0)
        assert world.coordinator is not old
        assert {one.follows for one in world.nodes} == {world.coordinator.name}

    in_fleet(SMALL, test)


def test_a_node_that_nobody_hears_does_not_keep_the_role_from_the_others() -> None:
    """A node that is cut off from the others, and not from the store, takes the role in vain."""

    async def test(world: CoordinationWorld) -> None:
        await world.run(2.0)
        old = world.coordinator
        lone = plain_node(world)
        world.wire.silent.add(lone.host)
        await world.run(8.0)
        others = [one for one in world.nodes if one is not lone]
        assert {one.follows for one in others} == {old.name}
        assert old.coordinator.is_active
        world.wire.silent.clear()
        await world.run(4.0)
        assert world.coordinator.name == old.name
        assert {one.follows for one in world.nodes} == {old.name}

    in_fleet(SMALL, test)


def test_a_claim_whose_answer_was_lost_is_found_in_the_row() -> None:
    async def main() -> None:
        world = CoordinationWorld(1)
        node = world.nodes[0]
        world.know_replicas(node)
        role = RoleRow(node.identity.contact, node.identity.run)
        world.store.apply(Transaction([], [Put(ROLE_KEY, msgspec.json.encode(role))]))
        await node.election._claim()
        assert node.coordinator.is_active
        assert node.leader.is_own

    curio.run(main)


def test_a_row_that_can_not_be_read_is_replaced() -> None:
    async def main() -> None:
        world = CoordinationWorld(2)
        world.store.apply(Transaction([Expectation(ROLE_KEY, 0)], [Put(ROLE_KEY, b"{")]))
        await world.start()
        assert len(world.active) == 1

    curio.run(main)


def test_requests_go_on_with_a_standby_while_the_coordinator_is_silent() -> None:
    async def test(world: CoordinationWorld) -> None:
        await world.run(2.0)
        old = world.coordinator
        leadership = old.leader.current
        assert leadership is not None
        standby = leadership.standbys[0].node
        asking = plain_node(world)
        assert (await place(world, asking)).verdict is PlacementVerdict.SEND
        world.wire.silent.add(old.host)
        world.now += 1.0
        found = await place(world, asking)
        assert found.verdict is PlacementVerdict.SEND
        assert asking.follows == standby
        node = next(one for one in world.nodes if one.name == standby)
        assert asking.name in node.coordinator.registry.by_name

    in_fleet(SMALL, test)


def test_a_node_that_nobody_answers_decides_alone() -> None:
    async def test(world: CoordinationWorld) -> None:
        await world.run(2.0)
        asking = plain_node(world)
        world.wire.silent.add(asking.host)
        world.now += 1.0
        places = [await place(world, asking) for _ in range(6)]
        assert {one.verdict for one in places} == {PlacementVerdict.SEND}
        assert len({one.replica_id for one in places}) > 1
        assert sum(one.online for one in asking.loads.by_replica.values()) == 6

    in_fleet(SMALL, test)


def test_a_node_that_was_cut_off_finds_the_coordinator_again() -> None:
    async def test(world: CoordinationWorld) -> None:
        await world.run(2.0)
        node = plain_node(world)
        world.wire.silent.add(node.host)
        for host in {one.host for one in world.nodes} - {node.host}:
            node.leader.note_silent(host)
        assert node.follows == ""
        world.wire.silent.clear()
        node.link._try_silent()
        await world.deliver()
        assert node.follows == world.coordinator.name

    in_fleet(SMALL, test)


def test_a_standby_knows_the_fleets_work_when_it_takes_over() -> None:
    async def test(world: CoordinationWorld) -> None:
        asking = next(one for one in world.nodes if not one.coordinator.is_active)
        for _ in range(5):
            await place(world, asking)
        await world.run(2.0)
        leadership = world.coordinator.leader.current
        assert leadership is not None
        standby = next(one for one in world.nodes if one.name == leadership.standbys[0].node)
        totals = [standby.scheduler.load_tracker.total(f"r{n}", world.now).online for n in range(4)]
        assert sum(totals) == 5

    in_fleet(SMALL, test)


def test_a_request_that_leaves_while_it_asks_leaves_no_work_behind() -> None:
    async def test(world: CoordinationWorld) -> None:
        asking = next(one for one in world.nodes if not one.coordinator.is_active)
        task = await curio.spawn(asking.link.request_placement, ASK, world.now + 1.5)
        await curio.sleep(0)
        await task.cancel()
        await world.deliver()
        await world.run(1.0)
        assert asking.loads.by_replica == {}
        totals = [
            world.coordinator.scheduler.load_tracker.total(f"r{n}", world.now) for n in range(4)
        ]
        assert sum(one.total for one in totals) == 0

    in_fleet(SMALL, test)


class Recorder(BatchOrderHandler):
    """Notes what a node was told about its items."""

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


def test_orders_take_effect_once_and_only_those_of_the_node_that_is_followed() -> None:
    async def test(world: CoordinationWorld) -> None:
        node = next(one for one in world.nodes if not one.coordinator.is_active)
        recorder = node.link.batch_handler = Recorder()
        holder = world.coordinator
        leadership = holder.leader.current
        assert leadership is not None
        sender = holder.identity.incarnation
        orders = Orders(leadership, sender, 50, 1, 0, 0, 0, True, grants={"r0": 2})
        await node.link.handle_orders(orders, holder.host)
        await node.link.handle_orders(orders, holder.host)
        earlier = Orders(leadership, sender, 49, 1, 0, 0, 0, True, grants={"r1": 1})
        await node.link.handle_orders(earlier, holder.host)
        assert recorder.grants == [{"r0": 2}]
        foreign = Orders(leadership, "other.0c", 70, 1, 0, 0, 0, True, grants={"r2": 1})
        await node.link.handle_orders(foreign, "h-other")
        assert recorder.grants == [{"r0": 2}]

    in_fleet(SMALL, test)


def test_a_node_that_decides_alone_starts_no_items() -> None:
    async def test(world: CoordinationWorld) -> None:
        await world.run(2.0)
        node = plain_node(world)
        recorder = node.link.batch_handler = Recorder()
        world.wire.silent.add(node.host)
        for host in {one.host for one in world.nodes} - {node.host}:
            node.leader.note_silent(host)
        node.link.waiting = {"model": [WaitingGroup(1, 5)]}
        await node.link._report()
        assert recorder.grants == []
        assert all(one.batch == 0 for one in node.scheduler.replica_loads().values())

    in_fleet(SMALL, test)


def test_jobs_without_an_owner_are_given_to_the_process_that_was_meant() -> None:
    async def test(world: CoordinationWorld) -> None:
        node = next(one for one in world.nodes if not one.coordinator.is_active)
        recorder = node.link.batch_handler = Recorder()
        world.coordinator.coordinator.send_takeover(node.identity.incarnation, ["j1", "j2"])
        world.coordinator.coordinator.send_takeover(f"{node.name}.0z", ["j3"])
        await world.deliver()
        assert recorder.jobs == ["j1", "j2"]

    in_fleet(SMALL, test)


# --- what the coordinator passes on ---


def test_a_change_of_the_replicas_reaches_all_nodes_at_once() -> None:
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

    in_fleet(SMALL, test)


def test_a_lost_change_of_the_replicas_is_made_good_within_a_report() -> None:
    async def test(world: CoordinationWorld) -> None:
        holder = world.coordinator
        world.wire.lost_kinds.add(DirectoryUpdate)
        for replica_id in ("r0", "r1"):
            holder.directory.remove(replica_id, 20)
            holder.directory.version = 20
            await holder.coordinator.tick()
            await world.deliver()
        world.wire.lost_kinds.clear()
        await world.run(1.5)
        assert all(one.directory.find("r0") is None for one in world.nodes)

    in_fleet(SMALL, test)


def test_a_list_that_is_not_the_coordinators_is_not_confirmed() -> None:
    async def test(world: CoordinationWorld) -> None:
        node = next(one for one in world.nodes if not one.coordinator.is_active)
        node.directory.put(msgspec.structs.replace(world.replicas[0], slots=3, version=99))
        before = node.directory.confirmed_at
        world.wire.lost_kinds.add(DirectoryUpdate)
        await world.run(2.0)
        assert node.directory.confirmed_at == before

    in_fleet(SMALL, test)


def test_a_lost_node_is_missed_and_its_restart_is_noticed() -> None:
    async def test(world: CoordinationWorld) -> None:
        node = next(one for one in world.nodes if not one.coordinator.is_active)
        incarnation = node.identity.incarnation
        roster = world.coordinator.coordinator.registry
        assert roster.is_reporting(incarnation)
        world.kill(node)
        await world.run(NODE_TIMEOUT_S + 1.0)
        assert not roster.is_reporting(incarnation)
        assert not roster.is_superseded(incarnation)
        again = FleetNode(node.number, world, run="0b")
        world.nodes.append(again)
        # It can't read the store; the coordinator finds it where it was.
        await world.run(2.5)
        assert again.follows == world.coordinator.name
        assert roster.is_superseded(incarnation)
        assert roster.is_reporting(again.identity.incarnation)

    in_fleet(SMALL, test)


# --- messages ---


@given(st.binary(max_size=60))
def test_any_datagram_is_a_message_or_an_error(data: bytes) -> None:
    try:
        decode_datagram(data)
    except DatagramError:
        return


def test_messages_come_back_whole() -> None:
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
            placement_requests=[msgspec.structs.replace(ASK, number=4, avoid=["r"])],
        ),
        Orders(leadership, "n1.0a", 4, 7, 9, 11, 40, True, replica_loads={"r": NodeLoad(1, 2)}),
        Snapshot(leadership, 40, {"r": NodeLoad(1, 2)}, {}, [Contact("n3", "h3")]),
    ]
    for message in messages:
        assert decode_datagram(encode_datagram(message)) == message
    assert isinstance(messages[0], Report)
    assert messages[0].incarnation == "n1.0a"


def test_a_request_asks_two_nodes_at_the_most_before_its_node_decides() -> None:
    """The shortest objective of the known deployments is 0.2 s."""

    async def test(world: CoordinationWorld) -> None:
        await world.run(2.0)
        asking = plain_node(world)
        world.wire.silent.add(asking.host)
        world.now += 1.0
        assert (await place(world, asking)).verdict is PlacementVerdict.SEND
        assert 1 <= world.wire.asks <= MOST_ASKED

    assert MOST_ASKED * ASK_TIMEOUT_MAX_S <= 0.25
    in_fleet(SMALL, test)


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


def test_totals_of_many_replicas_are_told_rarely() -> None:
    async def test(world: CoordinationWorld) -> None:
        await world.run(4.0)
        assert world.wire.bytes_by_kind[Orders] / 4.0 < 250_000

    in_large_fleet(test)


def test_a_long_list_of_replicas_is_left_to_the_store() -> None:
    async def test(world: CoordinationWorld) -> None:
        for node in world.nodes:
            await node.store.read(ROLE_KEY.table, ROLE_KEY.part)
            if not node.coordinator.is_active:
                node.directory.remove("r0", 99)
        await world.run(2.0)
        assert world.wire.bytes_by_kind[DirectoryUpdate] == 0

    in_large_fleet(test)


@pytest.mark.parametrize("is_lost", [False, True])
def test_a_long_list_reaches_a_node_that_the_store_refuses_in_parts(is_lost: bool) -> None:
    async def test(world: CoordinationWorld) -> None:
        node = plain_node(world)
        await node.health.record_failure()
        node.directory.remove("r0", 99)
        world.replicas = [
            msgspec.structs.replace(one, slots=9, version=120) for one in world.replicas
        ]
        coordinator = world.coordinator
        coordinator.directory.replace(world.replicas, 130)
        coordinator.coordinator._copies.told_fingerprint = coordinator.directory.fingerprint
        world.wire.lose_next = 1 if is_lost else 0
        await world.run(12.0)
        assert node.directory.fingerprint == coordinator.directory.fingerprint
        assert world.wire.longest <= MAX_DATAGRAM_BYTES

    in_large_fleet(test)
