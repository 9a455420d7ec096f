"""Overloaded machines and slow readers, with real nodes on loopback and with simulated fleets."""

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
EVENT_PADDING_BYTES = 60_000
"""Bytes per event; an answer of ``EVENTS`` such events exceeds the socket buffers by far."""


class FixedOverloadState:
    """Sets the overload state of the first node to a fixed value."""

    def __init__(self, world: FleetWorld, state: OverloadState, is_ready: bool) -> None:
        resource_monitor = world.nodes[0]._resource_monitor
        assert resource_monitor is not None
        overload_monitor = resource_monitor.overload_monitor
        overload_monitor.update = lambda usage, now: True  # type: ignore[method-assign]
        overload_monitor.state, overload_monitor.is_ready = state, is_ready


async def start_with_long_answers(
    world: FleetWorld, replicas: int, events: int = EVENTS, event_s: float = 0.001
) -> None:
    await world.start(replicas=replicas, events=events, event_s=event_s)
    for replica in world.replicas:
        replica.event_padding = EVENT_PADDING_BYTES
    # Connections inherit the small send buffer, so the node has to buffer the remainder.
    world.nodes[0]._clients._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 16384)


async def slow_client(world: FleetWorld, path: str) -> Any:
    """Request a stream and read nothing of the answer."""
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


def test_clients_that_do_not_read_use_bounded_memory_and_no_slots(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # 200 clients read nothing of answers of 0.7 MB each, while another client reads its answers.
    max_buffered_bytes = 0
    original = MemoryBudget.record_waiting

    def recording(budget: MemoryBudget, *args: Any) -> None:
        nonlocal max_buffered_bytes
        original(budget, *args)
        max_buffered_bytes = max(max_buffered_bytes, budget.total_bytes)

    monkeypatch.setattr(MemoryBudget, "record_waiting", recording)

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
        await world.wait_until(lambda: not any(replica.running for replica in world.replicas))
        await world.wait_until(lambda: not node._in_flight.by_replica)
        assert node._resource_monitor is not None
        budget = node._resource_monitor.memory_budget
        assert 0 < budget.answer_bytes <= max_buffered_bytes <= LIMIT_BYTES
        # The answers together exceed the limit many times.
        assert budget.dropped_readers_total > 10
        for sock in socks:
            await sock.close()
        await world.wait_until(lambda: budget.total_bytes == 0)

    in_world(test)


def test_an_answer_for_a_slow_client_is_buffered_whole() -> None:
    async def test(world: FleetWorld) -> None:
        world.scarce_memory_bytes = MEMORY_BYTES
        await start_with_long_answers(world, replicas=1)
        replica = world.replicas[0]
        sock = await slow_client(world, "/chat/a")
        await world.wait_until(lambda: bool(replica.arrivals) and replica.arrivals[0].is_finished)
        # The slot is free for another request before the client has read a byte.
        await world.wait_until(lambda: not world.nodes[0]._in_flight.by_replica)
        assert (await world.ask("/chat/a")).is_whole
        http = h11.Connection(h11.CLIENT)
        http.send(h11.Request(method="POST", target="/chat/a", headers=[("Host", HOST)]))
        http.send(h11.EndOfMessage())
        answer = await read_answer(sock, http)
        assert answer.is_whole
        assert answer.event_ids() == list(range(1, EVENTS + 1))
        await sock.close()

    in_world(test)


def test_a_client_that_reads_nothing_is_dropped_after_the_stall_timeout(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    log = tmp_path / "log"
    log.touch()

    async def test(world: FleetWorld) -> None:
        world.log_path = str(log)
        monkeypatch.setattr(send_buffer, "SEND_TIMEOUT_S", 0.2)
        world.scarce_memory_bytes = MEMORY_BYTES
        # The stream lasts much longer than the stall timeout.
        await start_with_long_answers(world, replicas=1, events=400, event_s=0.05)
        replica, node = world.replicas[0], world.nodes[0]
        assert node._resource_monitor is not None
        budget = node._resource_monitor.memory_budget
        sock = await slow_client(world, "/chat/a")
        await world.wait_until(lambda: budget.dropped_readers_total == 1)
        await world.wait_until(lambda: node._clients.connection_count == 0)
        assert budget.total_bytes == 0
        await sock.close()
        address = node._settings.metrics_address
        metrics = (await world.call("GET", "/metrics", address=address)).body.decode()
        assert 'cloverwalk_machine_fullness{resource="memory"}' in metrics
        assert "cloverwalk_readers_given_up 1.0" in metrics
        lines = [line for text in log.read_text().splitlines() if (line := parse_line(text))]
        ends = [entry for entry in lines if entry.number == catalogue.REQUEST_ENDED]
        assert [end.fields["outcome"] for end in ends] == ["client_stalled"]
        assert not replica.arrivals[0].is_finished
        assert replica.running == 0
        await world.wait_until(lambda: str(catalogue.READERS_GIVEN_UP) in log.read_text())

    in_world(test)


def test_an_overloaded_node_refuses_new_work_and_finishes_running_work() -> None:
    async def test(world: FleetWorld) -> None:
        world.scarce_memory_bytes = MEMORY_BYTES
        await world.start(replicas=2, events=10, event_s=0.05)
        task = await curio.spawn(world.ask, "/once/a")
        assert (await world.submit_job("j")).status == 202
        await world.wait_until(lambda: any(replica.running for replica in world.replicas))
        FixedOverloadState(world, OverloadState.OVERLOADED, is_ready=False)
        assert not await is_ready(world)
        for refused in (await world.ask("/once/a", "new"), await world.submit_job("k")):
            assert refused.status == 503
            assert "retry-after" in refused.headers
            # A retry on the same connection would reach this node again.
            assert refused.headers["connection"] == "close"
        assert sum(replica.runs("new") for replica in world.replicas) == 0
        assert (await task.join()).is_whole
        assert {item["state"] for item in await world.until_done("j", 3)} == {"succeeded"}
        FixedOverloadState(world, OverloadState.FULL, is_ready=False)
        # A full node is not ready, but still serves requests that arrive.
        assert not await is_ready(world)
        assert (await world.ask("/once/a")).status == 200

    in_world(test)


def test_a_body_beyond_the_memory_budget_is_refused_before_it_is_read() -> None:
    async def test(world: FleetWorld) -> None:
        world.scarce_memory_bytes = MEMORY_BYTES
        await world.start(replicas=1)
        node = world.nodes[0]
        assert node._resource_monitor is not None
        node._resource_monitor.memory_budget.body_bytes = LIMIT_BYTES // 2
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
        node._resource_monitor.memory_budget.body_bytes = 0
        node._resource_monitor.memory_budget.job_bytes = LIMIT_BYTES
        node._resource_monitor.check = lambda late_s: None  # type: ignore[method-assign]
        assert (await world.submit_job("j")).status == 503
        assert not world.replicas[0].arrivals

    in_world(test)


def test_without_scarce_memory_utilization_is_not_measured() -> None:
    async def test(world: FleetWorld) -> None:
        await world.start(replicas=1, nodes=2)
        await world.wait_until(lambda: len(world.coordinator_registry()) == 2)
        for node in world.nodes:
            assert node._resource_monitor is None
            assert node._clients.memory_budget is None
        coordinator = world.coordinator()
        assert coordinator is not None
        registry = coordinator._fleet.coordinator.registry
        assert {node.report.utilization_percent for node in registry.live()} == {0}
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


def test_nodes_receive_the_utilization_of_their_zone() -> None:
    async def test(world: CoordinationWorld) -> None:
        percent_by_node: dict[str, int] = {}

        def record_percent(name: str, percent: int) -> None:
            percent_by_node[name] = percent

        for node in world.nodes:
            node.client.on_zone_utilization = partial(record_percent, node.name)
        full_zone = world.nodes[0].identity.zone
        for node in world.nodes:
            node.client.utilization_percent = 90 if node.identity.zone == full_zone else 20
        await world.run(3.0)
        for node in world.nodes:
            if node is not world.coordinator:
                expected = 90 if node.identity.zone == full_zone else 20
                assert percent_by_node[node.name] == expected

    in_fleet(9, test)


def test_an_overloaded_coordinator_hands_over_to_a_standby_with_capacity() -> None:
    async def test(world: CoordinationWorld) -> None:
        old_coordinator = world.coordinator
        await world.run(2.0)
        assert old_coordinator.leader.current is not None
        first_standby = old_coordinator.leader.current.standbys[0].node
        standby = next(node for node in world.nodes if node.name == first_standby)
        old_coordinator.client.utilization_percent = 100
        standby.client.utilization_percent = FULL_PERCENT
        await world.run(1.5)
        old_coordinator.coordinator.must_hand_over = lambda: True
        await world.run(HAND_OVER_AFTER_S)
        assert world.coordinator is old_coordinator
        standby.client.utilization_percent = FULL_PERCENT - 1
        await world.run(2.0)
        assert world.coordinator is standby
        assert {node.follows for node in world.nodes} == {first_standby}
        # The role does not move again.
        await world.run(5.0)
        assert world.coordinator is standby

    in_fleet(7, test)


def test_full_nodes_are_the_last_choice_for_standby_and_orphaned_jobs() -> None:
    async def test(world: CoordinationWorld) -> None:
        coordinator = world.coordinator
        registry = coordinator.coordinator.registry
        names_before = [
            node.node
            for node in registry.choose_standbys(coordinator.name, coordinator.identity.zone)
        ]
        incarnations = registry.live_incarnations()
        owner = rendezvous_owner("job", incarnations)
        assert owner is not None
        for node in world.nodes:
            if node.name in (names_before[0], owner.partition(".")[0]):
                node.client.utilization_percent = FULL_PERCENT
        await world.run(1.5)
        standbys = registry.choose_standbys(coordinator.name, coordinator.identity.zone)
        assert names_before[0] not in [node.node for node in standbys]
        assigner = JobAssigner(coordinator.coordinator, None, None, None, None)  # type: ignore[arg-type]
        assert assigner._owner_candidates() == [
            incarnation for incarnation in incarnations if not is_full(world, incarnation)
        ]
        for node in world.nodes:
            node.client.utilization_percent = 99
        await world.run(1.5)
        assert assigner._owner_candidates() == incarnations

    in_fleet(7, test)


def is_full(world: CoordinationWorld, incarnation: str) -> bool:
    name = incarnation.partition(".")[0]
    return any(node.name == name and node.client.utilization_percent > 0 for node in world.nodes)
