"""A restart of all processes at once: nodes serve soon, even if the store refuses many of them."""

from random import Random

import curio
import pytest
from returning_world import (
    NO_ANSWER,
    RESET,
    ReturningWorld,
    SimulatedTime,
    in_simulated_time,
    node_host,
)

from cloverwalk.fleet.coordinator import MIN_STORE_RETURNED_INTERVAL_S

SERVES_WITHIN_S = 1.0
"""Maximum simulated time from the first start until all nodes serve."""

REFUSED_SERVES_WITHIN_S = 3.0
"""The same if the store refuses or throttles many nodes."""

READS_PER_S = 6000.0
WRITES_PER_S = 1200.0
MEDIUM_FLEET_NODES, LARGE_FLEET_NODES = 30, 100
REFUSED_FRACTION = 0.7
REFUSAL_DURATION_S = 6.0


async def restart_all_nodes(
    time: SimulatedTime,
    nodes: int,
    reads_per_s: float = READS_PER_S,
    refusal: int | None = None,
    within_s: float = SERVES_WITHIN_S,
    is_leadership_refused: bool = False,
) -> ReturningWorld:
    """Restart all nodes of a running fleet; with ``refusal`` the store refuses each third node."""
    world = ReturningWorld(time, nodes, 10 * nodes, reads_per_s, WRITES_PER_S)
    await world.start_all()
    await world.wait_until(lambda node: node.serves, 30.0)
    await curio.sleep(5.0)
    leadership_hosts = world.leadership_hosts() if is_leadership_refused else set()
    await world.kill_all()
    if refusal is not None:
        refused = leadership_hosts | {node_host(number) for number in range(0, nodes, 3)}
        world.store.refuses = lambda host: refusal if host in refused else None
    world.store.reset_counts()
    began_at = time.now
    await world.start_all()
    await world.wait_until(lambda node: node.serves, began_at + within_s - time.now)
    return world


@pytest.mark.parametrize("nodes", [MEDIUM_FLEET_NODES, LARGE_FLEET_NODES])
def test_all_nodes_serve_soon_after_restart_of_all_nodes(nodes: int) -> None:
    async def test(time: SimulatedTime) -> None:
        await restart_all_nodes(time, nodes)

    in_simulated_time(test)


@pytest.mark.parametrize("refusal", [429, 503, RESET, NO_ANSWER])
def test_nodes_that_the_store_refuses_serve_soon_after_restart(refusal: int) -> None:
    async def test(time: SimulatedTime) -> None:
        await restart_all_nodes(
            time, MEDIUM_FLEET_NODES, refusal=refusal, within_s=REFUSED_SERVES_WITHIN_S
        )

    in_simulated_time(test)


@pytest.mark.parametrize("refusal", [503, NO_ANSWER])
def test_fleet_serves_soon_if_store_refuses_coordinator_and_standbys(refusal: int) -> None:
    async def test(time: SimulatedTime) -> None:
        await restart_all_nodes(
            time,
            MEDIUM_FLEET_NODES,
            refusal=refusal,
            within_s=REFUSED_SERVES_WITHIN_S,
            is_leadership_refused=True,
        )

    in_simulated_time(test)


def test_store_recovery_broadcasts_are_rate_limited() -> None:
    async def test(time: SimulatedTime) -> None:
        world = ReturningWorld(
            time, MEDIUM_FLEET_NODES, MEDIUM_FLEET_NODES, READS_PER_S, WRITES_PER_S
        )
        random = Random("refusals")
        throttled = {node_host(number) for number in range(0, MEDIUM_FLEET_NODES, 3)}
        world.store.refuses = lambda host: (
            429 if host in throttled and random.random() < REFUSED_FRACTION else None
        )
        await world.start_all()
        await curio.sleep(REFUSAL_DURATION_S)
        broadcasts = world.wire.sent["StoreReturned"]
        by_nodes = sum(world.store.calls.values())
        by_coordinator = MEDIUM_FLEET_NODES * (
            1 + REFUSAL_DURATION_S / MIN_STORE_RETURNED_INTERVAL_S
        )
        assert 0 < broadcasts <= by_nodes + by_coordinator

    in_simulated_time(test)
