"""Few nodes of two regions read the configuration; the others poll them, in simulated time."""

from collections.abc import Awaitable, Callable, Iterator
from random import Random
from typing import Any
from unittest import mock

import curio
import msgspec
import pytest
from fleet_world import FleetWorld, configuration, in_world, route
from returning_world import (
    NO_ANSWER,
    RESET,
    Regions,
    ReturningNode,
    ReturningWorld,
    SimulatedTime,
    in_simulated_time,
)

from cloverwalk.fleet import configuration_copy
from cloverwalk.fleet.configuration_sources import ConfigurationSources
from cloverwalk.fleet.messages import (
    CompactConfigurationPart,
    ConfigurationPartRequest,
    ConfigurationPoll,
    ConfigurationStatus,
    Contact,
    Datagram,
    Report,
)
from cloverwalk.fleet.node_registry import NodeRegistry
from cloverwalk.gateway.configuration_encoding import encode_copy
from cloverwalk.gateway.steps import run_steps
from cloverwalk.platform import names

NODES = 14
ROUTES = 400
APPLY_S = 4.0
START_TIMEOUT_S = 30.0
SOURCE_SWITCH_TIMEOUT_S = 1.0
"""Simulated time within which nodes stop polling a lost source."""

SETTLE_S = 6.0
PART_BYTES = 2000
"""Small enough that the configuration has several parts."""

FULL_READ = f"{names.READ_PATH} {names.OPERATOR_TABLE}"


@pytest.fixture(autouse=True)
def small_parts() -> Iterator[None]:
    with mock.patch.object(configuration_copy, "MAX_PART_BYTES", PART_BYTES):
        yield


def long_routes(seed: int) -> list[dict[str, Any]]:
    """Return routes with random names, which compress badly."""
    random = Random(seed)
    return [route(f"{random.getrandbits(80):x}", f"/r{n}/", "safe") for n in range(ROUTES)]


class SourcesWorld:
    """A running fleet in two regions, with operations and counters for the tests."""

    def __init__(self, time: SimulatedTime, nodes: int = NODES) -> None:
        self.time = time
        self.regions = Regions(("near", "far"))
        self.world = ReturningWorld(time, nodes, 10, 6000.0, 1500.0, 0, self.regions, APPLY_S)
        self._version = 1

    async def start(self) -> None:
        await self.world.start_all()
        await self.world.wait_until(lambda node: node.serves, START_TIMEOUT_S)
        await curio.sleep(SETTLE_S)
        self.world.store.reset_counts()
        self.regions.bytes_between.clear()

    @property
    def coordinator(self) -> ReturningNode:
        return next(node for node in self.world.nodes if node.fleet.coordinator.is_active)

    def node(self, name: str) -> ReturningNode:
        return next(node for node in self.world.nodes if node.name == name)

    def source(self, region: str, kind: str = "primary") -> ReturningNode:
        exchange = self.coordinator.fleet.configuration_exchange
        assert exchange is not None
        return self.node(getattr(exchange.sources.by_region[region], kind))

    async def change(self) -> int:
        self._version += 1
        await self.world.change_configuration(self._version, long_routes(self._version))
        return self._version

    async def wait_for_change(self, without: ReturningNode | None = None) -> float:
        """Change the configuration; return the time until all nodes have applied it."""
        version = await self.change()
        return await self.world.wait_until(
            lambda node: node is without or node.fleet_state.configuration.version == version,
            APPLY_S,
        )

    def readers(self) -> list[str]:
        return [node.name for node in self.world.nodes if reads_store(node)]

    def body_transfers(self) -> float:
        """Return how many compressed bodies the parts sent between the regions amount to."""
        current = self.world.nodes[0].fleet_state.configuration.current
        assert current is not None
        body = len(run_steps(encode_copy(current)))
        return self.regions.bytes_between["CompactConfigurationPart"] / body

    def ages_ms(self) -> list[int]:
        return [node.fleet_state.configuration.age_ms(self.time.now) for node in self.world.nodes]


def reads_store(node: ReturningNode) -> bool:
    exchange = node.fleet.configuration_exchange
    return exchange is None or exchange.subscription.is_reader


def polled_node(node: ReturningNode) -> str:
    exchange = node.fleet.configuration_exchange
    return "" if exchange is None else exchange.subscription.source


def in_sources_world(test: Callable[[SourcesWorld], Awaitable[None]], nodes: int = NODES) -> None:
    async def run(time: SimulatedTime) -> None:
        world = SourcesWorld(time, nodes)
        await world.start()
        await test(world)

    in_simulated_time(run)


# Guards against each node of a region reading the configuration over the link between regions.
@pytest.mark.parametrize("nodes", [NODES, 60])
def test_change_reaches_both_regions_and_crosses_between_them_once(nodes: int) -> None:
    async def test(world: SourcesWorld) -> None:
        for _ in range(2):
            world.regions.bytes_between.clear()
            await world.wait_for_change()
            assert len(world.readers()) == 1
            assert 1.0 <= world.body_transfers() < 1.2
        assert world.world.store.calls[FULL_READ] == 0
        await curio.sleep(5.0)
        assert max(world.ages_ms()) < APPLY_S * 1000 / 2

    in_sources_world(test, nodes)


# Guards against a zone drain that is delayed by a poll interval at each hop.
def test_zone_drain_is_passed_on_at_once() -> None:
    async def test(world: SourcesWorld) -> None:
        drains = world.source("near").fleet_state.zone_drains
        drains.update(drains.version + 1, ["far-z1"], world.time.now)
        await world.world.wait_until(
            lambda node: node.fleet_state.zone_drains.zones == ("far-z1",), 0.2
        )

    in_sources_world(test, 40)


async def kill(world: SourcesWorld, node: ReturningNode) -> None:
    await world.world.kill_node(node)


async def cut_off(world: SourcesWorld, node: ReturningNode) -> None:
    world.world.wire.cut_hosts.add(node.host)
    world.world.store.refuses = lambda host: NO_ANSWER if host == node.host else None


async def freeze(world: SourcesWorld, node: ReturningNode) -> None:
    world.world.wire.held_datagrams[node.host] = []
    world.world.store.refuses = lambda host: NO_ANSWER if host == node.host else None


FAILURES = {"kill": kill, "cut_off": cut_off, "freeze": freeze}


# Guards against a region that waits for a lost source, and against a burst of full reads.
@pytest.mark.parametrize("kind", ["primary", "spare"])
@pytest.mark.parametrize("region", ["near", "far"])
@pytest.mark.parametrize("failure", sorted(FAILURES))
def test_lost_source_is_replaced_without_a_second_full_read(
    failure: str, region: str, kind: str
) -> None:
    async def test(world: SourcesWorld) -> None:
        lost = world.source(region, kind)
        await FAILURES[failure](world, lost)
        await world.world.wait_until(
            lambda node: node is lost or polled_node(node) != lost.name, SOURCE_SWITCH_TIMEOUT_S
        )
        for _ in range(3):
            await world.wait_for_change(without=lost)
            await curio.sleep(1.0)
        others = [name for name in world.readers() if name != lost.name]
        assert len(others) == 1
        assert world.world.store.calls[FULL_READ] == 0
        assert lost not in (world.source(region), world.source(region, "spare"))

    in_sources_world(test)


# Guards against nodes that keep polling a reader that the store refuses.
@pytest.mark.parametrize("refusal", [429, 503, RESET, NO_ANSWER])
def test_reader_that_the_store_refuses_is_left_and_polls_itself(refusal: int) -> None:
    async def test(world: SourcesWorld) -> None:
        refused = world.source("near")
        world.world.store.refuses = lambda host: refusal if host == refused.host else None
        for _ in range(3):
            await world.wait_for_change()
            await curio.sleep(1.0)
        assert len(world.readers()) == 1
        assert refused.name not in world.readers()
        assert max(world.ages_ms()) < APPLY_S * 1000 / 2

    in_sources_world(test)


# Guards against nodes that poll a refused reader until the coordinator replaces it.
def test_reader_that_the_store_refuses_tells_its_pollers_to_leave() -> None:
    async def test(world: SourcesWorld) -> None:
        refused = world.source("near")
        world.world.store.refuses = lambda host: 503 if host == refused.host else None
        with mock.patch.object(ConfigurationSources, "update", return_value=[]):
            for _ in range(3):
                await world.wait_for_change()
                await curio.sleep(1.0)
        assert refused.name not in world.readers()

    in_sources_world(test)


# Guards against sources that are lost with the coordinator that chose them.
def test_sources_serve_while_the_coordinator_is_lost_and_after_its_replacement() -> None:
    async def test(world: SourcesWorld) -> None:
        await world.world.kill_node(world.coordinator)
        for _ in range(6):
            await world.wait_for_change()
            await curio.sleep(0.5)
        assert len(world.readers()) == 1
        assert world.world.store.calls[FULL_READ] == 0

    in_sources_world(test)


# Guards against a coordinator that gets the configuration only from the store.
def test_coordinator_that_the_store_refuses_gets_changes_from_its_sources() -> None:
    async def test(world: SourcesWorld) -> None:
        refused = world.coordinator.host
        world.world.store.refuses = lambda host: 503 if host == refused else None
        for _ in range(3):
            await curio.sleep(1.0)
            await world.wait_for_change()

    in_sources_world(test)


# Guards against a region that confirms its version while it is cut off, and against a full read
# by each of its nodes after it is reconnected.
def test_region_that_was_cut_off_does_not_confirm_and_catches_up() -> None:
    async def test(world: SourcesWorld) -> None:
        world.regions.is_cut = True
        cut_at = world.time.now
        await curio.sleep(1.0)
        version = await world.change()
        await curio.sleep(12.0)
        far = [node for node in world.world.nodes if world.regions.of(node.host) == "far"]
        cut_ms = (world.time.now - cut_at) * 1000
        for node in far:
            assert node.fleet_state.configuration.version < version
            assert node.fleet_state.configuration.age_ms(world.time.now) >= cut_ms
        world.regions.is_cut = False
        await world.world.wait_until(
            lambda node: node.fleet_state.configuration.version == version, APPLY_S
        )
        assert world.body_transfers() < 4.0
        await curio.sleep(SETTLE_S)
        assert len(world.readers()) == 1

    in_sources_world(test)


def lose(message: CompactConfigurationPart, random: Random) -> list[Datagram]:
    return [] if random.random() < 0.3 else [message]


def double(message: CompactConfigurationPart, random: Random) -> list[Datagram]:
    return [message, message]


def corrupt(message: CompactConfigurationPart, random: Random) -> list[Datagram]:
    if random.random() < 0.9:
        return [message]
    return [msgspec.structs.replace(message, data=message.data[:-1] + b"\x00")]


def of_another_version(message: CompactConfigurationPart, random: Random) -> list[Datagram]:
    return [msgspec.structs.replace(message, version=message.version - 1), message]


def with_another_count(message: CompactConfigurationPart, random: Random) -> list[Datagram]:
    if random.random() < 0.9:
        return [message]
    return [msgspec.structs.replace(message, parts=message.parts + 1)]


# Guards against a version that never arrives because its parts are lost or damaged.
@pytest.mark.parametrize("fault", [lose, double, corrupt, of_another_version, with_another_count])
def test_version_arrives_in_spite_of_faulty_parts(fault: Callable[..., list[Datagram]]) -> None:
    async def test(world: SourcesWorld) -> None:
        random = Random(fault.__name__)
        world.world.wire.alter = lambda message: (
            fault(message, random) if isinstance(message, CompactConfigurationPart) else [message]
        )
        version = await world.change()
        await world.world.wait_until(
            lambda node: node.fleet_state.configuration.version == version, 3 * APPLY_S
        )

    in_sources_world(test)


# Guards against dependence on the order in which messages arrive.
def test_version_arrives_in_spite_of_messages_out_of_order() -> None:
    async def test(world: SourcesWorld) -> None:
        random = Random(1)
        world.world.wire.jitter_s = lambda: 0.2 * random.random()
        for _ in range(3):
            await world.wait_for_change()

    in_sources_world(test)


# Guards against full reads by a starting node whose sources have the configuration.
def test_starting_nodes_get_the_version_from_their_sources() -> None:
    async def test(world: SourcesWorld) -> None:
        await world.wait_for_change()
        for region in ("near", "far"):
            sources = (world.source(region), world.source(region, "spare"))
            node = next(
                node
                for node in world.world.nodes
                if world.regions.of(node.host) == region
                and node not in (*sources, world.coordinator)
            )
            await world.world.kill_node(node)
            world.world._runs += 1
            await world.world.start_node(int(node.name[1:]))
        await world.world.wait_until(lambda node: node.is_ready, 2.0)
        assert world.world.store.calls[FULL_READ] == 0

    in_sources_world(test)


# Guards against a burst of full reads when all nodes start at the same time.
def test_few_nodes_read_the_store_when_all_start_at_once() -> None:
    async def test(world: SourcesWorld) -> None:
        await world.wait_for_change()
        await world.world.kill_all()
        world.world.store.reset_counts()
        await world.world.start_all()
        await world.world.wait_until(lambda node: node.serves, 3.0)
        assert world.world.store.calls[FULL_READ] <= 2

    in_sources_world(test)


# Guards against nodes of an earlier build that get no copies from the coordinator.
def test_node_that_does_not_poll_goes_on_as_before() -> None:
    async def test(world: SourcesWorld) -> None:
        sources = [world.source(region) for region in ("near", "far")]
        node = next(node for node in world.world.nodes if node not in (*sources, world.coordinator))
        await world.world.kill_node(node)
        with mock.patch.object(Regions, "by_zone", {}):
            older = await world.world.start_node(int(node.name[1:]))
        await world.wait_for_change()
        assert older.fleet.configuration_exchange is None
        world.world.store.refuses = lambda host: 503 if host == older.host else None
        await curio.sleep(4.0)
        await world.wait_for_change()

    in_sources_world(test)


# Guards against a node that waits for a list of sources although there is no coordinator.
def test_nodes_without_a_coordinator_read_the_store_after_a_delay() -> None:
    async def run(time: SimulatedTime) -> None:
        world = SourcesWorld(time, 4)
        world.world.wire.alter = lambda message: []
        await world.world.start_all()
        await world.world.wait_until(lambda node: node.fleet_state.configuration.version == 1, 3.0)

    in_simulated_time(run)


# Guards against a confirmation by messages that were delayed in transit or at a frozen node.
def test_held_up_messages_confirm_no_version_after_its_successor() -> None:
    async def test(world: SourcesWorld) -> None:
        node = next(node for node in world.world.nodes if not reads_store(node))
        world.world.store.refuses = lambda host: NO_ANSWER if host == node.host else None
        held: list[tuple[Datagram, str]] = []

        async def hold(message: Datagram, host: str) -> None:
            held.append((message, host))

        receive, world.world.wire.receivers[node.host] = (
            world.world.wire.receivers[node.host],
            hold,
        )
        await curio.sleep(0.6)
        await world.change()
        changed_at = world.time.now
        await curio.sleep(2.0)
        statuses = [message for message, _ in held if isinstance(message, ConfigurationStatus)]
        assert statuses[0].version == 1
        drains = node.fleet_state.zone_drains
        for message, host in held:
            if isinstance(message, ConfigurationStatus):
                await receive(message, host)
                if message.version == 1:
                    assert drains.age_ms(world.time.now) >= (world.time.now - changed_at) * 1000
        for message, host in held:
            if not isinstance(message, CompactConfigurationPart):
                await receive(message, host)
        assert node.fleet_state.configuration.version == 1
        age_ms = node.fleet_state.configuration.age_ms(world.time.now)
        assert age_ms >= (world.time.now - changed_at) * 1000

    in_sources_world(test)


# Guards against invalid messages of pollers and sources that stop a node.
@pytest.mark.parametrize(
    "message",
    [
        ConfigurationStatus(99, -5000, -1),
        ConfigurationStatus(99, 0, 10**9),
        ConfigurationStatus(99, 0, 3, poll=-7),
        ConfigurationPoll(10**9, -1, "no region"),
        ConfigurationPartRequest(1, [-1, 10**9]),
        CompactConfigurationPart(99, 5, 3, b""),
        CompactConfigurationPart(99, 0, 1, b"not compressed"),
        CompactConfigurationPart(-3, 0, 1, b""),
    ],
)
def test_invalid_message_changes_nothing(message: Datagram) -> None:
    async def test(world: SourcesWorld) -> None:
        stranger = "h9999"
        for node in world.world.nodes:
            await node.fleet.handle_message(message, stranger)
        await world.wait_for_change()

    in_sources_world(test, 6)


# Guards against a transfer of parts that works only with simulated sockets.
def test_change_reaches_nodes_with_sockets() -> None:
    async def test(world: FleetWorld) -> None:
        world.region_by_zone = {"z1": "near", "z2": "far"}
        await world.start(nodes=3)
        await world.wait_until(lambda: len(world.coordinator_registry()) == 3)
        document = configuration(2, [*long_routes(2), route("new", "/new/", "safe")])
        world.store.put(names.OPERATOR_TABLE, names.CONFIGURATION_KEY, document)
        await world.wait_until(
            lambda: all(node._configuration.version == 2 for node in world.nodes)
        )
        assert [(await world.ask("/new/a", node=node)).status for node in range(3)] == [200] * 3
        exchanges = [node._fleet.configuration_exchange for node in world.nodes]
        await world.wait_until(
            lambda: sum(one is not None and one.subscription.is_reader for one in exchanges) == 1
        )
        address = world.nodes[0]._settings.metrics_address
        metrics = (await world.call("GET", "/metrics", address=address)).body.decode()
        for name in ("reads_store", "pollers", "parts_sent"):
            assert f"cloverwalk_configuration_{name} " in metrics

    in_world(test)


def registry_of(*reports: tuple[str, str, dict[str, Any]]) -> NodeRegistry:
    """Return a registry of nodes, each given by its name, zone and other fields of its report."""
    registry = NodeRegistry()
    for name, zone, fields in reports:
        known = {"configuration_age_ms": 100, "polls_configuration": True, **fields}
        report = Report(name, "r", zone, 1, 0, 7, 0, known.pop("store_age_ms", 0), **known)
        registry.record_report(report, f"h-{name}", 0.0)
    return registry


def choose(registry: NodeRegistry, sources: ConfigurationSources | None = None) -> Any:
    sources = sources or ConfigurationSources(
        registry, Contact("c", "h-c"), {"z1": "near", "z2": "far"}, APPLY_S, lambda: 0.0
    )
    sources.update(0.5, is_fleet_running=False)
    return sources


# Guards against sources that change needlessly, and against keeping an unfit source.
@pytest.mark.parametrize(
    ("fields", "is_kept"),
    [
        ({"cores": 0.5}, True),
        ({"utilization_percent": 100}, False),
        ({"store_age_ms": 10_000}, False),
        ({"configuration_age_ms": 60_000}, False),
        ({"is_leaving": True}, False),
        ({"polls_configuration": False}, False),
    ],
)
def test_primary_is_kept_unless_a_named_reason_speaks_against_it(
    fields: dict[str, Any], is_kept: bool
) -> None:
    nodes: list[tuple[str, str, dict[str, Any]]] = [(name, "z1", {}) for name in ("a", "b", "d")]
    registry = registry_of(*nodes)
    sources = choose(registry)
    assert sources.by_region["near"].primary == "a"
    entry = registry.by_name["a"]
    entry.report = msgspec.structs.replace(entry.report, **fields)
    choose(registry, sources)
    assert (sources.by_region["near"].primary == "a") == is_kept


# Guards against a nearest region that alternates with small differences of round trips.
@pytest.mark.parametrize(("round_trip_ms", "nearest"), [(30, "near"), (8, "near"), (3, "far")])
def test_nearest_region_changes_only_if_another_is_clearly_nearer(
    round_trip_ms: int, nearest: str
) -> None:
    registry = registry_of(
        ("a", "z1", {"store_round_trip_ms": 10}), ("b", "z2", {"store_round_trip_ms": 40})
    )
    sources = choose(registry)
    assert sources.nearest == "near"
    entry = registry.by_name["b"]
    entry.report = msgspec.structs.replace(entry.report, store_round_trip_ms=round_trip_ms)
    choose(registry, sources)
    assert sources.nearest == nearest
