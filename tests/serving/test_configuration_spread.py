"""Distribution of the configuration to nodes, and its age on each node."""

import curio
import pytest
from fleet_world import route
from returning_world import NO_ANSWER, RESET, ReturningWorld, SimulatedTime, in_simulated_time

from cloverwalk.serving.settings import DEFAULT_CONFIGURATION_APPLY_S

NODES = 12
SERVED_NODES = 2
LONG_CONFIGURATION_ROUTES = 3000
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


# Guards against refused nodes keeping an older version while the store refuses the coordinator too.
@pytest.mark.parametrize("refusal", [429, 503, RESET, NO_ANSWER])
def test_configuration_reaches_refused_nodes_while_coordinator_is_refused(refusal: int) -> None:
    async def test(time: SimulatedTime) -> None:
        world = await start_fleet(time, NODES)
        refused = world.leadership_hosts()
        others = [node.host for node in world.nodes if node.host not in refused]
        refused |= set(others[SERVED_NODES:])
        world.store.refuses = lambda host: refusal if host in refused else None
        for version in (2, 3):
            await curio.sleep(3.0)
            await world.change_configuration(version)
            await wait_for_configuration(world, version)

    in_simulated_time(test)


# Guards against a request or copy that is not repeated after its datagram was lost.
@pytest.mark.parametrize("kind", ["ConfigurationRequest", "ConfigurationCopy"])
def test_lost_request_or_copy_of_configuration_is_repeated(kind: str) -> None:
    async def test(time: SimulatedTime) -> None:
        world = await start_fleet(time, NODES)
        served_node = world.nodes[-1]
        world.store.refuses = lambda host: None if host == served_node.host else 503
        await curio.sleep(3.0)
        world.wire.messages_to_drop[kind] = 1
        await world.change_configuration(2)
        await world.wait_until(
            lambda node: node.fleet_state.configuration.version == 2, 2 * CONFIGURATION_TIMEOUT_S
        )
        assert world.wire.messages_to_drop[kind] == 0

    in_simulated_time(test)


# Guards against dropping a configuration that is too long for one datagram.
def test_long_configuration_reaches_nodes_that_the_store_refuses() -> None:
    async def test(time: SimulatedTime) -> None:
        world = await start_fleet(time, NODES)
        served_node = world.nodes[-1]
        world.store.refuses = lambda host: None if host == served_node.host else 503
        await curio.sleep(3.0)
        routes = [
            route(f"r{number}", f"/r{number}/", "safe")
            for number in range(LONG_CONFIGURATION_ROUTES)
        ]
        await world.change_configuration(2, routes)
        await wait_for_configuration(world, 2)
        for node in world.nodes:
            configuration = node.fleet_state.configuration.current
            assert configuration is not None
            assert len(configuration.routes) == LONG_CONFIGURATION_ROUTES

    in_simulated_time(test)


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


# Guards against an unconfirmed configuration, and so 503s, on nodes that the store serves.
def test_age_of_followed_configuration_stays_within_apply_time() -> None:
    async def test(time: SimulatedTime) -> None:
        world = await start_fleet(time, NODES)
        for _ in range(200):
            await curio.sleep(0.05)
            ages = [node.fleet_state.configuration.age_ms(time.now) for node in world.nodes]
            assert max(ages) <= DEFAULT_CONFIGURATION_APPLY_S * 1000, ages

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
