"""A tenant's quota holds over a fleet whose coordinator is killed, silent, frozen or cut off."""

from collections.abc import Awaitable, Callable

import curio
import msgspec
import pytest
from coordination_world import CoordinationWorld, FleetNode

from cloverwalk.fleet.messages import PlacementRequest
from cloverwalk.gateway.configuration import ClientLimits, Configuration
from cloverwalk.scheduling.admission import PlacementVerdict
from cloverwalk.scheduling.quotas import QuotaBounds
from cloverwalk.tenants.directory import Tenant

ASK = PlacementRequest(
    0, "chat", "model", objective_left_ms=300, deadline_ms=5000, time_left_ms=5000
)
STEP_S = CoordinationWorld.STEP_S
BOUNDS = QuotaBounds(slack=20.0)
HOT = Tenant("hot", (), None, 8.0, 8.0)
STEADY = Tenant("steady", (), None, 8.0, 8.0)
MOST = HOT.rate_per_s * BOUNDS.window_s + HOT.burst + BOUNDS.tolerance(HOT)


class Traffic:
    """Asks of one tenant at many nodes, and when they were sent to a replica."""

    def __init__(self, world: CoordinationWorld, tenant: str, per_step: int) -> None:
        self.world = world
        self.ask = msgspec.structs.replace(ASK, tenant=tenant)
        self.per_step = per_step
        self.sent: list[float] = []
        self.verdicts: list[PlacementVerdict] = []
        self._next = 0

    async def step(self, nodes: list[FleetNode]) -> None:
        """Ask at the next nodes in turn, all at the same time."""
        tasks = []
        for _ in range(self.per_step):
            node = nodes[self._next % len(nodes)]
            self._next += 1
            tasks.append(await curio.spawn(self._one, node))
        while not all(task.terminated for task in tasks):
            await self.world.deliver()
            await curio.sleep(0.001)
        for task in tasks:
            await task.join()

    async def _one(self, node: FleetNode) -> None:
        place = await node.link.request_placement(self.ask, self.world.now)
        self.verdicts.append(place.verdict)
        if place.verdict is PlacementVerdict.SEND:
            self.sent.append(self.world.now)
        if place.work is not None:
            node.loads.end(place.work)

    def most_in_window(self) -> int:
        return max(sum(at <= one <= at + BOUNDS.window_s for one in self.sent) for at in self.sent)


def in_fleet(nodes: int, test: Callable[[CoordinationWorld], Awaitable[None]]) -> None:
    async def main() -> None:
        world = CoordinationWorld(nodes, replicas=8, tenants=(HOT, STEADY))
        await world.start()
        await world.run(3.0)
        await test(world)

    curio.run(main)


async def go_on(world: CoordinationWorld, traffic: list[Traffic], seconds: float) -> None:
    for _ in range(round(seconds / STEP_S)):
        for one in traffic:
            await one.step(world.nodes)
        await world.run(STEP_S)


@pytest.mark.parametrize("nodes", [1, 15, 61])
def test_a_hot_tenant_gets_its_quota_and_a_steady_one_all(nodes: int) -> None:
    async def test(world: CoordinationWorld) -> None:
        hot, steady = Traffic(world, "hot", 16), Traffic(world, "steady", 1)
        await go_on(world, [hot, steady], 8.0)
        assert hot.most_in_window() <= MOST
        assert len(hot.sent) >= 8 * HOT.rate_per_s
        assert set(steady.verdicts) == {PlacementVerdict.SEND}
        assert set(hot.verdicts) == {PlacementVerdict.SEND, PlacementVerdict.OVER_QUOTA}

    in_fleet(nodes, test)


@pytest.mark.parametrize("nodes", [15, 61])
def test_the_quota_holds_while_the_coordinator_is_killed(nodes: int) -> None:
    async def test(world: CoordinationWorld) -> None:
        hot, steady = Traffic(world, "hot", 16), Traffic(world, "steady", 1)
        await go_on(world, [hot, steady], 3.0)
        old = world.coordinator
        world.wire.silent.add(old.host)
        world.kill(old)
        await go_on(world, [hot, steady], 6.0)
        assert world.coordinator is not old
        assert hot.most_in_window() <= MOST
        assert steady.verdicts.count(PlacementVerdict.SEND) >= 0.8 * len(steady.verdicts)

    in_fleet(nodes, test)


def test_the_quota_holds_while_the_coordinator_is_frozen_and_wakes_again() -> None:
    async def test(world: CoordinationWorld) -> None:
        hot = Traffic(world, "hot", 16)
        await go_on(world, [hot], 3.0)
        frozen = world.coordinator
        world.nodes.remove(frozen)
        await go_on(world, [hot], 4.0)
        world.nodes.append(frozen)
        await go_on(world, [hot], 5.0)
        assert hot.most_in_window() <= MOST

    in_fleet(15, test)


def test_the_quota_holds_while_a_third_of_the_nodes_is_cut_off() -> None:
    async def test(world: CoordinationWorld) -> None:
        hot = Traffic(world, "hot", 15)
        await go_on(world, [hot], 3.0)
        cut = [one for one in world.nodes if not one.coordinator.is_active][:5]
        world.wire.silent.update(one.host for one in cut)
        await go_on(world, [hot], 3.0)
        world.wire.silent.clear()
        await go_on(world, [hot], 4.0)
        assert hot.most_in_window() <= MOST

    in_fleet(15, test)


def test_the_quota_holds_when_all_nodes_are_killed_and_start_again() -> None:
    async def test(world: CoordinationWorld) -> None:
        hot = Traffic(world, "hot", 15)
        await go_on(world, [hot], 3.0)
        for node in list(world.nodes):
            again = world.replace(node)
            world.know_replicas(again)
            await again.election._start()
        await go_on(world, [hot], 5.0)
        assert hot.most_in_window() <= MOST
        assert len(hot.sent) >= 5 * HOT.rate_per_s

    in_fleet(15, test)


def test_a_lower_quota_binds_after_a_window() -> None:
    async def test(world: CoordinationWorld) -> None:
        hot = Traffic(world, "hot", 15)
        await go_on(world, [hot], 3.0)
        low = Tenant("hot", (), None, 1.0, 1.0)
        for node in world.nodes:
            current = node.configuration.current
            assert current is not None
            node.configuration.update_if_newer(
                Configuration(2, current.routes, {}, ClientLimits(), (low, STEADY))
            )
        lowered_at = world.now
        await go_on(world, [hot], 12.0)
        hot.sent = [one for one in hot.sent if one >= lowered_at + BOUNDS.window_s]
        assert hot.most_in_window() <= 1.0 * BOUNDS.window_s + 1.0 + 1

    in_fleet(15, test)


def test_a_node_alone_serves_a_tenant_that_is_far_from_its_limit() -> None:
    async def test(world: CoordinationWorld) -> None:
        steady = Traffic(world, "steady", 1)
        node = next(one for one in world.nodes if not one.coordinator.is_active)
        world.wire.silent.add(node.host)
        world.now += 1.0
        await steady.step([node])
        assert steady.verdicts == [PlacementVerdict.SEND]

    in_fleet(15, test)


def test_what_a_node_gave_out_alone_counts_at_the_coordinator() -> None:
    async def test(world: CoordinationWorld) -> None:
        steady = Traffic(world, "steady", 1)
        node = next(one for one in world.nodes if not one.coordinator.is_active)
        world.wire.silent.add(node.host)
        world.now += 1.0
        await steady.step([node])
        assert steady.verdicts == [PlacementVerdict.SEND]
        world.wire.silent.clear()
        await node.link._report()
        node.link._try_silent()
        await world.deliver()
        levels = world.coordinator.scheduler.quotas.bucket_levels(world.now)
        assert levels["steady"] <= STEADY.bucket_size - 1 + 0.5

    in_fleet(15, test)
