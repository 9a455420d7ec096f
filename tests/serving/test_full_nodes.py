"""Full machines and slow readers, with real nodes on loopback and with a fleet by hand."""

import socket
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path
from typing import Any

import curio
import h11
import pytest
from coordination_world import CoordinationWorld
from fleet_world import HOST, FleetWorld, in_world, read_answer

from cloverwalk.core import catalogue
from cloverwalk.core.hashing import rendezvous_owner
from cloverwalk.fleet.messages import FULL_PERCENT
from cloverwalk.gateway import send_buffer
from cloverwalk.gateway.memory_budget import BUDGET_SHARE, MemoryBudget
from cloverwalk.gateway.overload_monitor import OverloadState
from cloverwalk.jobs.assigner import JobAssigner
from cloverwalk.platform import names
from cloverwalk.serving.resource_monitor import HAND_OVER_AFTER_S
from cloverwalk.telemetry.request_history import parse_line

MEMORY_BYTES = 20_000_000
LIMIT_BYTES = int(BUDGET_SHARE * MEMORY_BYTES)
SLOW_CLIENTS = 200
EVENTS = 12
PADDING = 60_000
"""An answer of so many such events is far more than the kernel takes for a client that does not
read."""


class NoRoom:
    """Room of a node that is as the test says."""

    def __init__(self, world: FleetWorld, verdict: OverloadState, is_ready: bool) -> None:
        watch = world.nodes[0]._room
        assert watch is not None
        room = watch.overload_monitor
        room.update = lambda usage, now: True  # type: ignore[method-assign]
        room.state, room.is_ready = verdict, is_ready


async def start_with_long_answers(
    world: FleetWorld, replicas: int, events: int = EVENTS, event_s: float = 0.001
) -> None:
    await world.start(replicas=replicas, events=events, event_s=event_s)
    for replica in world.replicas:
        replica.event_padding = PADDING
    # Connections inherit it: the kernel takes little, so that the node has to hold the rest.
    world.nodes[0]._clients._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 16384)


async def slow_client(world: FleetWorld, path: str) -> Any:
    """Ask for a stream and read nothing."""
    sock = curio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    await sock.connect(world.nodes[0]._settings.client_address)
    head = f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 0\r\n"
    head += f"{names.REQUEST_ID.decode()}: {world.new_id()}\r\n\r\n"
    await sock.sendall(head.encode())
    return sock


async def is_ready(world: FleetWorld) -> bool:
    address = world.nodes[0]._settings.ready_address
    return (await world.call("GET", names.READY_PATH, address=address)).status == 200


def test_clients_that_do_not_read_hold_a_bounded_part_of_the_memory_and_no_slots(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Load: 200 clients read nothing of answers of 0.7 MB each, beside one that reads.
    most_held = 0
    note_waiting = MemoryBudget.note_waiting

    def watched(held: MemoryBudget, *args: Any) -> None:
        nonlocal most_held
        note_waiting(held, *args)
        most_held = max(most_held, held.total_bytes)

    monkeypatch.setattr(MemoryBudget, "note_waiting", watched)

    async def test(world: FleetWorld) -> None:
        world.scarce_memory_bytes = MEMORY_BYTES
        await start_with_long_answers(world, replicas=4)
        socks = []
        for number in range(SLOW_CLIENTS):
            socks.append(await slow_client(world, "/chat/a"))
            if number % 20 == 19:
                answer = await world.ask("/once/a")
                assert (answer.status, answer.is_whole) == (200, True)
        node = world.nodes[0]
        await world.until(lambda: not any(one.running for one in world.replicas))
        await world.until(lambda: not node._loads.by_replica)
        assert node._room is not None
        held = node._room.memory_budget
        assert 0 < held.answers <= most_held <= LIMIT_BYTES
        # The answers together are many times the limit.
        assert held.dropped_readers_total > 10
        for sock in socks:
            await sock.close()
        await world.until(lambda: held.total_bytes == 0)

    in_world(test)


def test_a_slow_clients_replica_is_read_to_its_end_and_the_answer_waits_whole() -> None:
    async def test(world: FleetWorld) -> None:
        world.scarce_memory_bytes = MEMORY_BYTES
        await start_with_long_answers(world, replicas=1)
        replica = world.replicas[0]
        sock = await slow_client(world, "/chat/a")
        await world.until(lambda: bool(replica.arrivals) and replica.arrivals[0].is_finished)
        # The slot is free for the next before the client has read a byte.
        await world.until(lambda: not world.nodes[0]._loads.by_replica)
        assert (await world.ask("/chat/a")).is_whole
        http = h11.Connection(h11.CLIENT)
        http.send(h11.Request(method="POST", target="/chat/a", headers=[("Host", HOST)]))
        http.send(h11.EndOfMessage())
        answer = await read_answer(sock, http)
        assert answer.is_whole
        assert answer.event_ids() == list(range(1, EVENTS + 1))
        await sock.close()

    in_world(test)


def test_a_client_that_takes_nothing_for_long_is_given_up(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    log = tmp_path / "log"
    log.touch()

    async def test(world: FleetWorld) -> None:
        world.log_path = str(log)
        monkeypatch.setattr(send_buffer, "SEND_STALL_S", 0.2)
        world.scarce_memory_bytes = MEMORY_BYTES
        # The stream goes on for much longer than the client is waited for.
        await start_with_long_answers(world, replicas=1, events=400, event_s=0.05)
        replica, node = world.replicas[0], world.nodes[0]
        assert node._room is not None
        held = node._room.memory_budget
        sock = await slow_client(world, "/chat/a")
        await world.until(lambda: held.dropped_readers_total == 1)
        await world.until(lambda: node._clients.connection_count == 0)
        assert held.total_bytes == 0
        await sock.close()
        address = node._settings.metrics_address
        told = (await world.call("GET", "/metrics", address=address)).body.decode()
        assert 'cloverwalk_machine_fullness{resource="memory"}' in told
        assert "cloverwalk_readers_given_up 1.0" in told
        lines = [line for text in log.read_text().splitlines() if (line := parse_line(text))]
        ends = [one for one in lines if one.number == catalogue.REQUEST_ENDED]
        assert [one.fields["outcome"] for one in ends] == ["client_stalled"]
        assert not replica.arrivals[0].is_finished
        assert replica.running == 0
        await world.until(lambda: str(catalogue.READERS_GIVEN_UP) in log.read_text())

    in_world(test)


def test_a_node_that_is_over_refuses_what_is_new_and_goes_on_with_what_is_not() -> None:
    async def test(world: FleetWorld) -> None:
        world.scarce_memory_bytes = MEMORY_BYTES
        await world.start(replicas=2, events=10, event_s=0.05)
        task = await curio.spawn(world.ask, "/once/a")
        assert (await world.hand_in("j")).status == 202
        await world.until(lambda: any(one.running for one in world.replicas))
        NoRoom(world, OverloadState.OVERLOADED, is_ready=False)
        assert not await is_ready(world)
        for refused in (await world.ask("/once/a", "new"), await world.hand_in("k")):
            assert refused.status == 503
            assert "retry-after" in refused.headers
            # On the same connection its client would come back to this node.
            assert refused.headers["connection"] == "close"
        assert sum(one.runs("new") for one in world.replicas) == 0
        assert (await task.join()).is_whole
        assert {one["state"] for one in await world.until_done("j", 3)} == {"succeeded"}
        NoRoom(world, OverloadState.FULL, is_ready=False)
        # It asks for no new clients, and serves those that come.
        assert not await is_ready(world)
        assert (await world.ask("/once/a")).status == 200

    in_world(test)


def test_a_body_that_does_not_fit_is_refused_before_it_is_read() -> None:
    async def test(world: FleetWorld) -> None:
        world.scarce_memory_bytes = MEMORY_BYTES
        await world.start(replicas=1)
        node = world.nodes[0]
        assert node._room is not None
        node._room.memory_budget.bodies = LIMIT_BYTES // 2
        sock = await world.connect()
        head = f"POST /chat/a HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 100000\r\n\r\n"
        await sock.sendall(head.encode())
        http = h11.Connection(h11.CLIENT)
        http.send(h11.Request(method="GET", target="/", headers=[("Host", HOST)]))
        http.send(h11.EndOfMessage())
        answer = await read_answer(sock, http)
        assert answer.status == 503
        assert "retry-after" in answer.headers
        await sock.close()
        node._room.memory_budget.bodies = 0
        node._room.memory_budget.job_bytes = LIMIT_BYTES
        node._room.check = lambda late_s: None  # type: ignore[method-assign]
        assert (await world.hand_in("j")).status == 503
        assert not world.replicas[0].arrivals

    in_world(test)


def test_where_memory_is_not_scarce_nothing_is_measured_or_told() -> None:
    async def test(world: FleetWorld) -> None:
        await world.start(replicas=1, nodes=2)
        await world.until(lambda: len(world.coordinator_roster()) == 2)
        for node in world.nodes:
            assert node._room is None
            assert node._clients.memory_budget is None
        coordinator = world.coordinator()
        assert coordinator is not None
        roster = coordinator._fleet.coordinator.registry
        assert {one.report.utilization_percent for one in roster.live()} == {0}
        assert coordinator._fleet.coordinator._utilization_by_zone == {}
        assert (await world.ask("/chat/a")).is_whole

    in_world(test)


# --- the fleet ---


def in_fleet(nodes: int, test: Callable[[CoordinationWorld], Awaitable[None]]) -> None:
    async def main() -> None:
        world = CoordinationWorld(nodes)
        await world.start()
        await test(world)

    curio.run(main)


def test_nodes_are_told_how_full_their_zone_is() -> None:
    async def test(world: CoordinationWorld) -> None:
        told: dict[str, int] = {}

        def note(name: str, percent: int) -> None:
            told[name] = percent

        for node in world.nodes:
            node.client.on_zone_utilization = partial(note, node.name)
        full_zone = world.nodes[0].identity.zone
        for node in world.nodes:
            node.client.utilization_percent = 90 if node.identity.zone == full_zone else 20
        await world.run(3.0)
        for node in world.nodes:
            if node is not world.coordinator:
                expected = 90 if node.identity.zone == full_zone else 20
                assert told[node.name] == expected

    in_fleet(9, test)


def test_a_coordinator_that_is_over_its_machine_gives_the_role_to_a_standby_with_room() -> None:
    async def test(world: CoordinationWorld) -> None:
        old = world.coordinator
        await world.run(2.0)
        assert old.leader.current is not None
        first = old.leader.current.standbys[0].node
        standby = next(one for one in world.nodes if one.name == first)
        old.client.utilization_percent = 100
        standby.client.utilization_percent = FULL_PERCENT
        await world.run(1.5)
        old.coordinator.must_hand_over = lambda: True
        await world.run(HAND_OVER_AFTER_S)
        assert world.coordinator is old
        standby.client.utilization_percent = FULL_PERCENT - 1
        await world.run(2.0)
        assert world.coordinator is standby
        assert {one.follows for one in world.nodes} == {first}
        # It stays there.
        await world.run(5.0)
        assert world.coordinator is standby

    in_fleet(7, test)


def test_a_full_node_is_the_last_to_stand_by_and_to_get_a_job_without_owner() -> None:
    async def test(world: CoordinationWorld) -> None:
        coordinator = world.coordinator
        roster = coordinator.coordinator.registry
        names_before = [
            one.node for one in roster.choose_standbys(coordinator.name, coordinator.identity.zone)
        ]
        heirs = roster.live_incarnations()
        heir = rendezvous_owner("job", heirs)
        assert heir is not None
        for node in world.nodes:
            if node.name in (names_before[0], heir.partition(".")[0]):
                node.client.utilization_percent = FULL_PERCENT
        await world.run(1.5)
        standbys = roster.choose_standbys(coordinator.name, coordinator.identity.zone)
        assert names_before[0] not in [one.node for one in standbys]
        assigner = JobAssigner(coordinator.coordinator, None, None, None, None)  # type: ignore[arg-type]
        assert assigner._heirs() == [one for one in heirs if not is_full(world, one)]
        for node in world.nodes:
            node.client.utilization_percent = 99
        await world.run(1.5)
        assert assigner._heirs() == heirs

    in_fleet(7, test)


def is_full(world: CoordinationWorld, incarnation: str) -> bool:
    name = incarnation.partition(".")[0]
    return any(one.name == name and one.client.utilization_percent > 0 for one in world.nodes)
