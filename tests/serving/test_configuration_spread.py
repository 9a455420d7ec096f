"""Distribution of the configuration to nodes, and its age on each node."""

import curio
from returning_world import ReturningWorld, SimulatedTime, in_simulated_time

NODES = 12
READS_PER_S, WRITES_PER_S = 2000.0, 800.0
START_TIMEOUT_S = 30.0


async def start_fleet(time: SimulatedTime, nodes: int) -> ReturningWorld:
    world = ReturningWorld(time, nodes, 2 * nodes, READS_PER_S, WRITES_PER_S)
    await world.start_all()
    await world.wait_until(lambda node: node.serves, START_TIMEOUT_S)
    await curio.sleep(5.0)
    return world


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
