"""Replicas of several software versions side by side: a stream stays at the one that began it."""

from typing import Any

import curio
import h11
import pytest
from fleet_world import HOST, Answer, FleetWorld, in_world

from cloverwalk.emulator.platform_replica import PlatformReplica
from cloverwalk.emulator.replica_runs import Arrival, Misdeed
from cloverwalk.gateway import software_versions
from cloverwalk.platform import names

EVENTS = 12
NO_HISTORY = software_versions.VersionHistory(0.0, {})


async def add_replica(world: FleetWorld, version: str, event_s: float = 0.002) -> PlatformReplica:
    """Add a replica whose events show the version of its software."""
    replica = await world.add_replica(events=EVENTS, event_s=event_s)
    replica.software_version = version
    replica.shows_software_version = True
    write_entry(world, replica)
    return replica


def write_entry(world: FleetWorld, replica: PlatformReplica, state: str = "ready") -> None:
    document = replica.document("model", "z1", state)
    world.store.put(names.REPLICA_TABLE, replica.replica_id, document)


def knows_versions(world: FleetWorld, versions: list[str]) -> bool:
    """Whether all nodes list replicas of exactly these software versions."""
    return all(
        sorted(replica.software_version for replica in node._directory.all()) == sorted(versions)
        for node in world.nodes
    )


async def start(
    world: FleetWorld, versions: list[str], nodes: int = 1, event_s: float = 0.002
) -> None:
    await world.start(replicas=0, nodes=0)
    for version in versions:
        await add_replica(world, version, event_s)
    for _ in range(nodes):
        await world.add_node()
    await world.wait_until(lambda: all(node.is_ready for node in world.nodes))
    await world.wait_until(lambda: knows_versions(world, versions))
    await world.wait_until(lambda: len(world.coordinator_registry()) >= nodes)


def versions_of(body: bytes) -> list[str]:
    """Return the software versions that the events of an answer show, without repetitions."""
    lines = [line for line in body.decode().split("\n") if line.startswith("data: ")]
    return sorted({line.rpartition(":")[2] for line in lines})


def break_off_first_run(arrival: Arrival) -> Misdeed | None:
    """Break off a run that starts with the first event."""
    is_resumed = names.LAST_EVENT_ID.decode().lower() in arrival.headers
    return None if is_resumed else Misdeed.RESET_MIDWAY


# Guards against a guess: a node that does not know the version of a stream sends it nowhere.
def test_stream_that_no_node_knows_is_refused_and_not_run() -> None:
    async def scenario(world: FleetWorld) -> None:
        await start(world, ["v1", "v2"])
        answer = await resume(world, "nobody-knows-it", 3, 0)
        assert (answer.status, answer.body.split(b":")[0]) == (503, b"software_version_unknown")
        assert not any(replica.arrivals for replica in world.replicas)

    in_world(scenario)


# Guards against a wait for a version that is gone, and against its stream at another one.
def test_stream_whose_version_is_gone_is_refused_at_once() -> None:
    async def scenario(world: FleetWorld) -> None:
        await start(world, ["v1"], event_s=0.05)
        stream = await OpenStream.begin(world, 0, 2)
        await add_replica(world, "v2")
        await world.wait_until(lambda: knows_versions(world, ["v1", "v2"]))
        world.store.remove(names.REPLICA_TABLE, world.replicas[0].replica_id)
        await world.wait_until(lambda: knows_versions(world, ["v2"]))
        await stream.break_off()
        answer = await resume(world, stream.request_id, stream.last_event, 0)
        assert (answer.status, answer.body.split(b":")[0]) == (503, b"no_replica_of_version")
        assert "retry-after" not in answer.headers
        assert not world.replicas[1].arrivals

    in_world(scenario)


# Guards against the loss of streams whose version drains: its replicas serve on for a while.
def test_stream_goes_on_at_replica_that_has_just_begun_to_drain() -> None:
    async def scenario(world: FleetWorld) -> None:
        await start(world, ["v1", "v2"], event_s=0.05)
        streams = [await OpenStream.begin(world, 0, 1) for _ in range(4)]
        draining = world.replicas[0]
        write_entry(world, draining, "draining")
        (node,) = world.nodes
        await world.wait_until(lambda: node._directory.find(draining.replica_id) is None)
        found = await resume_all(world, streams, 0)
        assert ["v1"] in found and all(len(versions) == 1 for versions in found), found
        assert (await world.ask("/chat/x")).body.count(b":v2") == EVENTS

    in_world(scenario)


# Guards against a second resumption that counts the first one as the beginning of its stream.
def test_stream_resumed_twice_stays_at_its_software_version() -> None:
    async def scenario(world: FleetWorld) -> None:
        await start(world, ["v1", "v2", "v1", "v2"], nodes=2, event_s=0.05)
        stream = await OpenStream.begin(world, 0, 2)
        await stream.break_off()
        for replica in world.replicas:
            replica.misdeeds.append(Misdeed.RESET_MIDWAY)
        second = await resume(world, stream.request_id, stream.last_event, 1)
        last_event = stream.last_event + len(second.event_ids())
        if last_event == EVENTS:
            return
        for replica in world.replicas:
            replica.misdeeds.clear()
        third = await resume(world, stream.request_id, last_event, 0)
        assert third.event_ids()[-1] == EVENTS
        assert len(versions_of(stream.body + second.body + third.body)) == 1

    in_world(scenario)


# Guards against refusals where all replicas have one version: clients may not name the stream.
def test_stream_is_resumed_without_a_record_if_only_one_version_serves() -> None:
    async def scenario(world: FleetWorld) -> None:
        await start(world, ["v1", "v1"], nodes=2)
        await world.wait_until(lambda: all_know_single_version(world))
        for resumed_id in ("", "nobody-knows-it"):
            answer = await resume(world, resumed_id, 3, 1)
            assert answer.event_ids() == list(range(4, EVENTS + 1))
        assert not world.store.rows.values("stream")

    in_world(scenario)


# Guards against refusals, and against a guess, after all processes of a fleet have restarted.
@pytest.mark.parametrize("is_replaced", [False, True])
def test_restarted_fleet_knows_whether_another_version_served_before(is_replaced: bool) -> None:
    async def scenario(world: FleetWorld) -> None:
        await start(world, ["v1"])
        await world.wait_until(lambda: all_know_single_version(world))
        await world.wait_until(lambda: bool(world.store.rows.values("software")))
        await world.kill_node(0)
        killed = world.nodes.pop(0)
        if is_replaced:
            world.store.remove(names.REPLICA_TABLE, world.replicas[0].replica_id)
            await add_replica(world, "v2")
        world.nodes.append(killed)
        node = await world.add_node()
        await world.wait_until(lambda: node._fleet.coordinator.is_active and node.is_ready)
        versions = node._fleet_state.software_versions
        await world.wait_until(lambda: (versions.history() or NO_HISTORY).known_s > 60.0)
        answer = await resume(world, "from-before", 3, 1)
        assert answer.status == (503 if is_replaced else 200), answer

    in_world(scenario)


def all_know_single_version(world: FleetWorld) -> bool:
    """Whether all nodes have known a single version for longer than streams last here."""
    lifetime_s = software_versions.stream_lifetime_s(3.0)
    return all(
        node._fleet_state.software_versions.single("model", lifetime_s) == "v1"
        for node in world.nodes
    )


def versions_of_item(text: str) -> list[str]:
    return sorted({line.rpartition(":")[2] for line in text.split("\n")})


async def resume(
    world: FleetWorld, resumed_id: str, last_event: int, node: int, request_id: str = ""
) -> Answer:
    headers = [
        (names.REQUEST_ID.decode(), request_id or world.new_id()),
        (names.DEADLINE_MS.decode(), "3000"),
        (names.LAST_EVENT_ID.decode(), str(last_event)),
        (names.RESUMES.decode(), resumed_id),
    ]
    return await world.call("POST", "/chat/x", b"prompt", headers, node)


class OpenStream:
    """A stream that a client reads event by event."""

    def __init__(self, sock: Any, request_id: str) -> None:
        self._sock = sock
        self._http = h11.Connection(h11.CLIENT)
        self.request_id = request_id
        self.body = b""

    @classmethod
    async def begin(cls, world: FleetWorld, node: int, events: int) -> "OpenStream":
        """Send a request to a node and read the first events of its answer."""
        return await cls.begin_on(await world.connect(node), world.new_id(), events)

    @classmethod
    async def begin_on(cls, sock: Any, request_id: str, events: int) -> "OpenStream":
        """Send a request over a connection and read the first events of its answer."""
        stream = cls(sock, request_id)
        head = h11.Request(
            method="POST",
            target="/chat/x",
            headers=[
                ("Host", HOST),
                (names.REQUEST_ID.decode(), stream.request_id),
                (names.DEADLINE_MS.decode(), "3000"),
                ("Content-Length", "0"),
            ],
        )
        data = (stream._http.send(head) or b"") + (stream._http.send(h11.EndOfMessage()) or b"")
        await stream._sock.sendall(data)
        while stream.last_event < events:
            await stream._read()
        return stream

    async def _read(self) -> None:
        event = self._http.next_event()
        if event is h11.NEED_DATA:
            self._http.receive_data(await self._sock.recv(65536))
        elif isinstance(event, h11.Data):
            self.body += bytes(event.data)
        else:
            assert isinstance(event, h11.Response), event

    @property
    def last_event(self) -> int:
        """Id of the last whole event."""
        return self.body.count(b"\n\n")

    async def break_off(self) -> None:
        await self._sock.close()


async def resume_all(world: FleetWorld, streams: list[OpenStream], node: int) -> list[list[str]]:
    """Resume streams at a node at once; return the software versions that each one shows."""

    async def resume_one(stream: OpenStream) -> list[str]:
        await stream.break_off()
        answer = await resume(world, stream.request_id, stream.last_event, node)
        assert answer.status == 200, answer
        assert answer.event_ids() == list(range(stream.last_event + 1, EVENTS + 1))
        return versions_of(stream.body + answer.body)

    async with curio.TaskGroup() as tasks:
        for stream in streams:
            await tasks.spawn(resume_one, stream)
    return list(tasks.results)


# Guards against a stream that goes on at another software version after its replica broke off.
def test_stream_resumed_within_its_answer_stays_at_its_software_version() -> None:
    async def scenario(world: FleetWorld) -> None:
        await start(world, ["v1", "v2", "v1", "v2"])
        found = []
        for replica in world.replicas:
            replica.choose_misdeed = break_off_first_run
        for _ in range(12):
            answer = await world.ask("/chat/x")
            assert answer.is_whole
            assert answer.event_ids() == list(range(1, EVENTS + 1))
            found.append(versions_of(answer.body))
        assert all(len(versions) == 1 for versions in found), found

    in_world(scenario)


# Guards against a client's resumption that goes on at another software version at a node that has
# never seen the stream, after its first node was killed.
def test_stream_resumed_at_another_node_stays_at_its_software_version() -> None:
    async def scenario(world: FleetWorld) -> None:
        await start(world, ["v1", "v2", "v1", "v2"], nodes=3, event_s=0.05)
        first = next(n for n, node in enumerate(world.nodes) if node is not world.coordinator())
        second = next(
            n
            for n, node in enumerate(world.nodes)
            if n != first and node is not world.coordinator()
        )
        streams = [await OpenStream.begin(world, first, 1) for _ in range(8)]
        await world.kill_node(first)
        found = await resume_all(world, streams, second)
        assert all(len(versions) == 1 for versions in found), found

    in_world(scenario)


# Guards against an item whose output goes on at another software version when its replica is gone.
def test_output_of_item_is_of_one_software_version() -> None:
    async def scenario(world: FleetWorld) -> None:
        await start(world, ["v1", "v2"], event_s=0.05)
        crashing = world.replicas[0]
        assert (await world.submit_job("job", 8)).status == 202
        await world.wait_until(lambda: crashing.running > 1)
        await curio.sleep(EVENTS / 2 * 0.05)
        crashing.default_misdeed = Misdeed.RESET_UNANSWERED
        await crashing.crash()
        world.store.remove(names.REPLICA_TABLE, crashing.replica_id)
        results = await world.until_done("job", 8)
        assert [result["state"] for result in results] == ["succeeded"] * 8
        found = [versions_of_item(result["message"]) for result in results]
        assert all(len(versions) == 1 for versions in found), found

    in_world(scenario)
