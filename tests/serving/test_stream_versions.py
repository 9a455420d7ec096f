"""Records of streams: shared between nodes, kept through the loss of nodes, and bounded."""

import curio
import msgspec
import pytest
from coordination_world import CoordinationWorld, FleetNode

from cloverwalk.fleet.messages import (
    Orders,
    Placement,
    PlacementRequest,
    StreamVersions,
)
from cloverwalk.gateway.replicas import Replica
from cloverwalk.gateway.software_versions import Software
from cloverwalk.gateway.stream_versions import StreamVersion
from cloverwalk.scheduling.admission import PlacementVerdict

LIFETIME_S = 60.0


def listed(number: int, software_version: str, version: int = 1) -> Replica:
    return Replica(
        f"r{number}",
        "model",
        "h",
        number,
        "z1",
        8,
        False,
        version,
        software_version=software_version,
    )


class MixedFleet(CoordinationWorld):
    """A fleet whose replicas have two software versions."""

    def __init__(self, nodes: int = 6, versions: tuple[str, ...] = ("v1", "v2", "v1", "v2")):
        super().__init__(nodes)
        self.replicas = [listed(number, version) for number, version in enumerate(versions)]

    def begin_stream(self, node: FleetNode, stream: str, version: str = "v1") -> None:
        """Let a node relay the first event of a stream."""
        software = Software("model", version)
        record = StreamVersion(stream, software, self.now + 5.0, "r0", self.now)
        node.stream_sync.share(node.streams.record(record))

    async def ask(self, node: FleetNode, stream: str) -> Software | None:
        """Ask other nodes for a stream, while datagrams are delivered."""

        async def deliver_soon() -> None:
            await curio.sleep(0)
            await self.deliver()

        delivery = await curio.spawn(deliver_soon)
        found = await node.stream_sync.ask(stream)
        await delivery.join()
        return found

    async def place(self, node: FleetNode, request: PlacementRequest) -> Placement:
        """Let a node decide a placement request."""
        client = self.nodes[0] if self.nodes[0] is not node else self.nodes[1]
        report = client.client.reports.make(self.now, [request])
        report.has_lost_coordinator = True
        await node.coordinator.handle_report(report, client.host)
        return next(
            placement
            for _, host, message in self.wire.in_transit
            if host == client.host and isinstance(message, Orders)
            for placement in message.placements
            if placement.number == request.number
        )


def resumption(stream: str, number: int = 1, version: str = "") -> PlacementRequest:
    return PlacementRequest(
        number, "chat", "model", is_resumption=True, stream=stream, software_version=version
    )


def in_mixed_fleet(test: object, *args: object) -> None:
    async def main() -> None:
        world = MixedFleet()
        await world.start()
        await test(world, *args)  # type: ignore[operator]

    curio.run(main)


async def survives(world: MixedFleet, lost: list[str]) -> None:
    coordinator = world.coordinator
    standbys = [world_node(world, c.node) for c in coordinator.leader.contacts()[1:]]
    others = [node for node in world.nodes if node is not coordinator and node not in standbys]
    origin, asking = others[0], others[1]
    world.begin_stream(origin, "s1")
    await world.deliver()
    nodes = {"coordinator": coordinator, "first standby": standbys[0], "origin": origin}
    for name in lost:
        world.kill(nodes[name])
    assert await world.ask(asking, "s1") == Software("model", "v1")


def world_node(world: CoordinationWorld, name: str) -> FleetNode:
    return next(node for node in world.nodes if node.name == name)


# Guards against a stream whose version is lost with the node that began it, or with a keeper.
@pytest.mark.parametrize(
    "lost",
    [["origin"], ["coordinator"], ["origin", "coordinator"], ["origin", "first standby"], []],
)
def test_record_survives_the_loss_of_nodes(lost: list[str]) -> None:
    in_mixed_fleet(survives, lost)


# Guards against a stream that its living node knows and the coordinator does not find.
def test_record_that_reached_no_keeper_is_found_at_the_streams_node() -> None:
    async def test(world: MixedFleet) -> None:
        others = [node for node in world.nodes if node.leader.standby_rank is None]
        origin, asking = [node for node in others if node is not world.coordinator][:2]
        world.wire.dropped_kinds.add(StreamVersions)
        world.begin_stream(origin, "s1")
        await world.deliver()
        world.wire.dropped_kinds.clear()
        assert world.coordinator.streams.find("s1") is None
        assert await world.ask(asking, "s1") == Software("model", "v1")

    in_mixed_fleet(test)


# Guards against a coordinator that places a stream by load alone.
def test_coordinator_places_resumption_at_the_streams_version_only() -> None:
    async def test(world: MixedFleet) -> None:
        for number, version in enumerate(("v1", "v2")):
            world.begin_stream(world.nodes[number], f"s{version}", version)
        await world.deliver()
        for version in ("v1", "v2"):
            for number in range(12):
                request = resumption(f"s{version}", 100 + 20 * (version == "v2") + number)
                placement = await world.place(world.coordinator, request)
                assert placement.verdict is PlacementVerdict.SEND
                assert placement.software_version == version
                placed = world.coordinator.directory.find(placement.replica_id)
                assert placed is not None and placed.software_version == version

    in_mixed_fleet(test)


# Guards against a guess by a coordinator or standby that has no record.
def test_unknown_stream_gets_no_placement() -> None:
    async def test(world: MixedFleet) -> None:
        for node in world.nodes[:2]:
            placement = await world.place(node, resumption("unknown", 5))
            assert placement.verdict is PlacementVerdict.NO_REPLICA
            assert placement.is_version_unknown and not placement.replica_id

    in_mixed_fleet(test)


# Guards against a stream that goes on at a version which a lagging record names, after the replica
# restarted under its id with other software.
def test_record_that_became_unknown_is_unknown_at_all_keepers() -> None:
    async def test(world: MixedFleet) -> None:
        origin = next(node for node in world.nodes if node is not world.coordinator)
        world.begin_stream(origin, "s1")
        await world.deliver()
        restarted = listed(0, "v2", version=20)
        changed = origin.streams.mark_unknown(restarted, world.now)
        assert [record.stream for record in changed] == ["s1"]
        origin.stream_sync.share_changed(changed)
        await world.deliver()
        placement = await world.place(world.coordinator, resumption("s1", 7))
        assert placement.is_version_unknown
        assert await world.ask(world.nodes[-1], "s1") is None

    in_mixed_fleet(test)


# Guards against refusals after a second version has joined while the only node with a stream's
# record was cut off or stood still.
def test_record_made_before_a_second_version_joins_is_known_without_its_node() -> None:
    async def main() -> None:
        world = MixedFleet(versions=("v1", "v1"))
        await world.start()
        await world.run(LIFETIME_S + 1)
        coordinator = world.coordinator
        standbys = [world_node(world, c.node) for c in coordinator.leader.contacts()[1:]]
        others = [node for node in world.nodes if node not in [coordinator, *standbys]]
        origin, asking = others[:2]
        world.begin_stream(origin, "early")
        await world.deliver()
        world.wire.cut_hosts |= {origin.host, coordinator.host}
        for node in world.nodes:
            if node.host not in world.wire.cut_hosts:
                node.directory.put(listed(9, "v2", version=20))
        assert await world.ask(asking, "early") == Software("model", "v1")

    curio.run(main)


# Guards against writing calls for each stream where all replicas have one version.
def test_records_are_stored_only_while_several_versions_serve() -> None:
    async def main() -> None:
        world = MixedFleet(versions=("v1", "v1"))
        await world.start()
        await world.run(LIFETIME_S + 1)
        coordinator = world.coordinator
        origin = next(node for node in world.nodes if node is not coordinator)
        for number, node in enumerate((origin, coordinator)):
            world.begin_stream(node, f"early{number}")
        await world.deliver()
        assert coordinator.stream_sync.pop_unsaved(10) == []
        for node in world.nodes:
            node.directory.put(listed(9, "v2", version=20))
        await world.deliver()
        # Streams that began before the second version was known may be resumed after it.
        assert {record.stream for record in coordinator.stream_sync.pop_unsaved(10)} == {
            "early0",
            "early1",
        }
        for node in world.nodes:
            node.directory.remove("r9", 30)
        world.begin_stream(origin, "late")
        await world.deliver()
        assert [record.stream for record in coordinator.stream_sync.pop_unsaved(10)] == ["late"]

    curio.run(main)


# Guards against records that are lost because their node, or those that keep them, were cut off.
def test_records_are_sent_again_after_a_node_was_cut_off() -> None:
    async def test(world: MixedFleet) -> None:
        others = [node for node in world.nodes if node.leader.standby_rank is None]
        origin, asking = [node for node in others if node is not world.coordinator][:2]
        world.wire.cut_hosts.add(origin.host)
        world.begin_stream(origin, "s1")
        await world.run(2.0)
        world.wire.cut_hosts.clear()
        await world.run(2.0)
        world.kill(origin)
        assert await world.ask(asking, "s1") == Software("model", "v1")

    in_mixed_fleet(test)


# Guards against a new coordinator that lacks records while the last streams of a version may go on.
def test_records_reach_a_new_coordinator_shortly_after_a_version_has_gone() -> None:
    async def test(world: MixedFleet) -> None:
        coordinator = world.coordinator
        origin = next(node for node in world.nodes if node is not coordinator)
        world.begin_stream(origin, "s1", "v2")
        for node in world.nodes:
            for replica_id in ("r0", "r2"):
                node.directory.remove(replica_id, 30)
        world.wire.in_transit.clear()
        assert coordinator.streams.find("s1") is None
        origin.stream_sync.share_all()
        await world.deliver()
        assert coordinator.streams.find("s1") == Software("model", "v2")

    in_mixed_fleet(test)


# Guards against refusals by processes that have just started in a fleet of one version.
def test_started_process_learns_for_how_long_a_version_was_the_only_one() -> None:
    async def main() -> None:
        world = MixedFleet(versions=("v1", "v1"))
        await world.start()
        await world.run(LIFETIME_S + 1)
        node = next(node for node in world.nodes if node is not world.coordinator)
        restarted = world.replace(node)
        world.load_replicas(restarted)
        assert restarted.versions.single("model", LIFETIME_S) is None
        await world.run(2.0)
        assert restarted.versions.single("model", LIFETIME_S) == "v1"

    curio.run(main)


# Guards against a version that a restarted process takes for the only one, though another one was
# listed shortly before.
def test_started_process_learns_of_a_version_that_has_just_gone() -> None:
    async def main() -> None:
        world = MixedFleet(versions=("v1", "v2"))
        await world.start()
        await world.run(LIFETIME_S + 1)
        for node in world.nodes:
            node.directory.remove("r0", 30)
        world.replicas = world.replicas[1:]
        node = next(node for node in world.nodes if node is not world.coordinator)
        restarted = world.replace(node)
        world.load_replicas(restarted)
        await world.run(2.0)
        assert restarted.versions.single("model", LIFETIME_S) is None
        await world.run(LIFETIME_S)
        assert restarted.versions.single("model", LIFETIME_S) == "v2"

    curio.run(main)


# Guards against a changed software version under the same id that reaches no other node.
def test_changed_software_version_alone_reaches_all_nodes() -> None:
    async def test(world: MixedFleet) -> None:
        before = world.coordinator.directory.fingerprint
        world.coordinator.directory.put(listed(0, "v3", version=20))
        assert world.coordinator.directory.fingerprint == before
        await world.run(1.0)
        for node in world.nodes:
            replica = node.directory.find("r0")
            assert replica is not None and replica.software_version == "v3"

    in_mixed_fleet(test)


# Guards against an entry that stays without its version after a coordinator of an earlier build
# passed it on.
def test_entry_without_software_version_is_completed_by_the_store() -> None:
    async def test(world: MixedFleet) -> None:
        directory = world.nodes[0].directory
        lacking = msgspec.structs.replace(listed(0, "v1"), software_version="", version=20)
        directory.put(lacking)
        assert world.nodes[0].versions.has_unknown
        assert world.nodes[0].versions.single("model", 0.0) is None
        directory.put(listed(0, "v1", version=20))
        assert not world.nodes[0].versions.has_unknown
        directory.put(lacking)
        assert not world.nodes[0].versions.has_unknown

    in_mixed_fleet(test)
