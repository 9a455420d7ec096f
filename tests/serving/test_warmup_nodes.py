"""Nodes with sockets keep the rate limit of a warming replica, whatever their coordinator knows."""

import time
from typing import Any

import curio
import pytest
from fleet_world import Answer, FleetWorld, configuration, in_world

from cloverwalk.core.warmup_limit import WarmupBounds
from cloverwalk.emulator.replica_runs import Arrival
from cloverwalk.platform import names
from cloverwalk.serving.node import ServingNode

RATE = 8.0
LIMIT = WarmupBounds().limit_per_s(RATE)
LONG_MS = 60_000


def knows_warmup(node: ServingNode) -> bool:
    return bool(node._fleet_state.warmups.remaining_ms(node._clock()))


def put_warmup_entry(world: FleetWorld, warmup_ms: int) -> None:
    replica = world.replicas[-1]
    replica.warmup_ms = warmup_ms
    world.store.put(names.REPLICA_TABLE, replica.replica_id, replica.document("model", "z1"))


async def start(world: FleetWorld, nodes: int, replicas: int = 1) -> list[float]:
    """Start nodes and replicas, the last of which warms up; return its arrival times."""
    arrivals: list[float] = []

    def record(arrival: Arrival) -> None:
        arrivals.append(time.monotonic())

    await world.start(replicas=replicas, nodes=nodes)
    world.replicas[-1].choose_misdeed = record
    changed: dict[str, Any] = configuration(2)
    changed["services"][0].update(cold_start_s=3.0, cold_per_s=RATE)
    world.store.put(names.OPERATOR_TABLE, names.CONFIGURATION_KEY, changed)
    put_warmup_entry(world, LONG_MS)
    await world.wait_until(lambda: all(knows_warmup(node) for node in world.nodes))
    return arrivals


async def ask(world: FleetWorld, node: int) -> Answer:
    return await world.ask("/chat/x", node=node)


def may_grant(world: FleetWorld) -> bool:
    node = world.coordinator()
    return node is not None and node._fleet.election.lease.may_grant(node._clock())


# Guards against a replica that gets more than its limit when all nodes send to it.
def test_nodes_together_send_a_warming_replica_at_most_its_limit() -> None:
    async def test(world: FleetWorld) -> None:
        arrivals = await start(world, nodes=3)
        await world.wait_until(lambda: may_grant(world))
        tasks = []
        for number in range(90):
            tasks.append(await curio.spawn(ask, world, number % 3))
            await curio.sleep(0.02)
        answers = [await task.join() for task in tasks]
        assert arrivals
        assert max(sum(at <= one < at + 1.0 for one in arrivals) for at in arrivals) <= LIMIT
        assert {answer.status for answer in answers} <= {200, 429, 503}
        assert sum(answer.status == 200 for answer in answers) == len(arrivals)

    in_world(test)


# Guards against sends for which a coordinator unaware of the warm-up granted no token.
def test_node_sends_nothing_that_its_coordinator_placed_without_a_token() -> None:
    async def test(world: FleetWorld) -> None:
        arrivals = await start(world, nodes=1)
        (node,) = world.nodes
        node._fleet.scheduler.warmup_tokens._warmups = None
        answer = await world.ask("/chat/x")
        assert (answer.status, arrivals) == (503, [])
        await world.submit_job("job1", count=2)
        gate = node._fleet_state.warmup_gate
        asked = gate.refused
        await world.wait_until(lambda: gate.refused > asked)
        assert arrivals == []
        put_warmup_entry(world, 1)
        assert len(await world.until_done("job1", 2)) == 2
        metrics = await world.call("GET", "/metrics", address=node._settings.metrics_address)
        assert b"cloverwalk_warmup_sends_refused" in metrics.body

    in_world(test)


# Guards against a stream that is resumed at a warming replica without a token.
@pytest.mark.parametrize("has_lease", [False, True])
def test_stream_resumes_at_a_warming_replica_only_with_a_token(has_lease: bool) -> None:
    async def test(world: FleetWorld) -> None:
        arrivals = await start(world, nodes=1, replicas=2)
        warm = world.replicas[0]
        busy = world.nodes[0]._directory.all()[1]
        warm.events, warm.event_s = 200, 0.02
        world.replicas[1].events = 200
        if has_lease:
            tokens = world.nodes[0]._fleet.scheduler.warmup_tokens
            await world.wait_until(lambda: tokens.wait_s([busy], 0, world.nodes[0]._clock()) == 0)
        else:
            world.nodes[0]._fleet.election.lease.give_up()
        task = await curio.spawn(world.ask, "/chat/x")
        await world.wait_until(lambda: warm.running > 0)
        await warm.crash()
        answer = await task.join()
        assert (answer.is_whole, len(arrivals)) == (has_lease, int(has_lease))

    in_world(test)
