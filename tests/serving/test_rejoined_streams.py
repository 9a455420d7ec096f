"""Streams that clients resume after all node processes were killed at once.

Each goes on at the software version that began it. It is refused if no replica has that version,
and a refusal that says so is true.
"""

import enum
from collections.abc import Awaitable, Callable

import curio
import pytest
from fleet_world import Answer, FleetWorld, configuration, in_world
from node_processes import NodeProcess, node_processes
from test_fleet_processes import NODES, ProcessFleet
from test_software_versions import EVENTS, OpenStream, add_replica, versions_of

from cloverwalk.emulator.platform_replica import PlatformReplica
from cloverwalk.platform import names

EVENT_S = 0.1
STREAMS = 12
MAX_BEGINS = 10
LEFT_BEFORE_KILL_S = 0.3
STORED_S = 0.6
"""Time from the begin of a stream until its record is in the store."""


class EarlierVersion(enum.Enum):
    """What becomes of the replicas with the earlier software version."""

    SERVES = "serves"
    LEFT = "left"
    """They leave just before all nodes are killed."""

    LEAVES_MEANWHILE = "leaves meanwhile"
    """They leave while all nodes are down."""


def versions_begun(streams: list[OpenStream]) -> set[str]:
    return {version for stream in streams for version in versions_of(stream.body)}


class RejoinedStreams:
    """A fleet of processes before replicas with two software versions."""

    def __init__(self, world: FleetWorld, nodes: list[NodeProcess]) -> None:
        self.world = world
        self.nodes = nodes
        self.fleet = ProcessFleet(world, nodes)

    async def begin(self, number: int) -> OpenStream:
        address = self.nodes[number % NODES].client_address
        return await OpenStream.begin_on(
            await curio.open_connection(*address), self.world.new_id(), 1
        )

    async def begin_at_each_version(self, versions: set[str]) -> list[OpenStream]:
        """Begin streams at the same time; each version gets some.

        They are begun anew until a version that has just joined is registered.
        """
        begun: list[OpenStream] = []
        for _ in range(MAX_BEGINS):
            async with curio.TaskGroup() as tasks:
                for number in range(STREAMS):
                    await tasks.spawn(self.begin, number)
            begun = list(tasks.results)
            if versions_begun(begun) == versions:
                break
            for stream in begun:
                await stream.break_off()
        assert {tuple(versions_of(stream.body)) for stream in begun} == {
            (version,) for version in versions
        }
        return begun

    async def resume(self, stream: OpenStream, number: int) -> tuple[str, Answer]:
        """Resume a stream at a node; return the id of the request and its answer."""
        await stream.break_off()
        request_id = self.world.new_id()
        headers = [
            (names.REQUEST_ID.decode(), request_id),
            (names.DEADLINE_MS.decode(), "3000"),
            (names.LAST_EVENT_ID.decode(), str(stream.last_event)),
            (names.RESUMES.decode(), stream.request_id),
        ]
        address = self.nodes[number % NODES].client_address
        answer = await self.world.call("POST", "/chat/x", b"prompt", headers, address=address)
        return request_id, answer

    async def resume_all(self, streams: list[OpenStream]) -> list[tuple[OpenStream, str, Answer]]:
        """Resume streams at the same time, each at another node than that which began it."""
        async with curio.TaskGroup() as tasks:
            for number, stream in enumerate(streams):
                await tasks.spawn(self.resume, stream, number + 1)
        return [(stream, *outcome) for stream, outcome in zip(streams, tasks.results, strict=True)]

    async def retire(self, replicas: list[PlatformReplica]) -> None:
        for replica in replicas:
            self.world.store.remove(names.REPLICA_TABLE, replica.replica_id)
            await replica.crash()

    async def restart_all(self, while_down: Callable[[], Awaitable[None]]) -> None:
        for node in self.nodes:
            node.popen.kill()
        for node in self.nodes:
            node.kill()
        await while_down()
        for node in self.nodes:
            node.popen = node._start()
        for node in self.nodes:
            await self.fleet.wait_until_ready(node)

    def has_arrived(self, request_id: str) -> bool:
        header = names.REQUEST_ID.decode().lower()
        return any(
            arrival.headers.get(header) == request_id
            for replica in self.world.replicas
            for arrival in replica.arrivals
        )


def is_continuation(stream: OpenStream, answer: Answer) -> bool:
    """Whether an answer has the rest of a stream, made by the version that began it."""
    return (
        answer.is_whole
        and answer.event_ids() == list(range(stream.last_event + 1, EVENTS + 1))
        and len(versions_of(stream.body + answer.body)) == 1
    )


async def kill_and_resume(
    world: FleetWorld, earlier: EarlierVersion, nodes: list[NodeProcess], stored_s: float
) -> list[tuple[OpenStream, str, Answer]]:
    """Begin streams at two versions, kill all nodes after ``stored_s``, and resume the streams."""
    first = world.replicas[:]
    rejoined = RejoinedStreams(world, nodes)
    for node in nodes:
        await rejoined.fleet.wait_until_ready(node)
    for _ in range(2):
        await add_replica(world, "v2", EVENT_S)
    await world.wait_until(
        lambda: any(b"v2" in value for value in world.store.rows.values("software").values())
    )
    broken = await rejoined.begin_at_each_version({"v1", "v2"})
    await curio.sleep(stored_s)
    if earlier is EarlierVersion.LEFT:
        await rejoined.retire(first)
        await curio.sleep(LEFT_BEFORE_KILL_S)

    async def while_down() -> None:
        if earlier is EarlierVersion.LEAVES_MEANWHILE:
            await rejoined.retire(first)

    await rejoined.restart_all(while_down)
    outcomes = await rejoined.resume_all(broken)
    for stream, request_id, answer in outcomes:
        if answer.status == 200:
            assert is_continuation(stream, answer), (stream.body, answer)
        else:
            assert answer.status == 503, answer
            assert not rejoined.has_arrived(request_id)
    return outcomes


def in_fleet(test: Callable[[FleetWorld, list[NodeProcess]], Awaitable[None]]) -> None:
    """Run a test with node processes and two replicas of the earlier version."""

    async def scenario(world: FleetWorld) -> None:
        await world.spawn(world.store.run)
        world.store.put(names.OPERATOR_TABLE, names.CONFIGURATION_KEY, configuration(1))
        for _ in range(2):
            await add_replica(world, "v1", EVENT_S)
        with node_processes(NODES, world.store_port) as nodes:
            await test(world, nodes)

    in_world(scenario)


def serving_versions(earlier: EarlierVersion) -> set[str]:
    return {"v1", "v2"} if earlier is EarlierVersion.SERVES else {"v2"}


# Guards against answers joined from two versions, and against streams that end with their nodes.
@pytest.mark.parametrize("earlier", list(EarlierVersion), ids=lambda earlier: earlier.value)
def test_streams_of_killed_fleet_are_not_joined_from_two_versions(earlier: EarlierVersion) -> None:
    async def test(world: FleetWorld, nodes: list[NodeProcess]) -> None:
        await kill_and_resume(world, earlier, nodes, 0.0)
        rejoined = RejoinedStreams(world, nodes)
        begun = await rejoined.begin_at_each_version(serving_versions(earlier))
        for stream, _, answer in await rejoined.resume_all(begun):
            assert answer.status == 200, answer
            assert is_continuation(stream, answer), (stream.body, answer)

    in_fleet(test)


# Two of 20 resumed streams went on after a kill of all nodes, though their version was served.
@pytest.mark.parametrize("earlier", list(EarlierVersion), ids=lambda earlier: earlier.value)
def test_streams_of_killed_fleet_go_on_at_their_version(earlier: EarlierVersion) -> None:
    async def test(world: FleetWorld, nodes: list[NodeProcess]) -> None:
        for stream, _, answer in await kill_and_resume(world, earlier, nodes, STORED_S):
            is_served = versions_of(stream.body)[0] in serving_versions(earlier)
            assert answer.status == (200 if is_served else 503), (stream.body, answer)

    in_fleet(test)
