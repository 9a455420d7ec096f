"""Distribution of the configuration to nodes, and its age on each node."""

import curio
import pytest
from returning_world import ReturningWorld, SimulatedTime, in_simulated_time

NODES = 12
READS_PER_S, WRITES_PER_S = 2000.0, 800.0
CONFIGURATION_TIMEOUT_S = 2.0
START_TIMEOUT_S = 30.0


async def start_fleet(time: SimulatedTime, nodes: int) -> ReturningWorld:
    world = ReturningWorld(time, nodes, 2 * nodes, READS_PER_S, WRITES_PER_S)
    await world.start_all()
    await world.wait_until(lambda node: node.serves, START_TIMEOUT_S)
    await curio.sleep(5.0)
    return world


async def wait_for_configuration(world: ReturningWorld, version: int) -> None:
    """Wait until all nodes use this version or a later one; fail after the timeout."""
    await world.wait_until(
        lambda node: node.fleet_state.configuration.version >= version, CONFIGURATION_TIMEOUT_S
    )


# Guards against an unanswered feed call delaying a change beyond CONFIGURATION_TIMEOUT_S.
@pytest.mark.parametrize("step", range(13))
def test_configuration_change_is_in_force_in_time_after_unanswered_call(step: int) -> None:
    async def test(time: SimulatedTime) -> None:
        world = await start_fleet(time, 1)
        await curio.sleep(0.2 * step)
        world.store.drop_pending_answers()
        await curio.sleep(0.05)
        await world.change_configuration(2)
        await wait_for_configuration(world, 2)

    in_simulated_time(test)


# Guards against a wrong configuration age on nodes that the store refuses.
def test_age_of_configuration_is_known_from_store_and_from_coordinator() -> None:
    async def test(time: SimulatedTime) -> None:
        world = await start_fleet(time, NODES)
        ages = [node.fleet_state.configuration.age_ms(time.now) for node in world.nodes]
        assert max(ages) <= 4000, ages
        refused_node = world.nodes[-1]
        world.store.refuses = lambda host: 503 if host == refused_node.host else None
        await curio.sleep(10.0)
        assert refused_node.fleet_state.configuration.age_ms(time.now) <= 6000
        world.store.refuses = lambda host: 503
        await curio.sleep(10.0)
        ages = [node.fleet_state.configuration.age_ms(time.now) for node in world.nodes]
        assert min(ages) >= 10_000, ages

    in_simulated_time(test)
