"""Quotas hold over the whole fleet while its coordinator is killed, suspended or cut off."""

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

REQUEST = PlacementRequest(
    0, "chat", "model", objective_left_ms=300, deadline_ms=5000, time_left_ms=5000
)
STEP_S = CoordinationWorld.STEP_S
BOUNDS = QuotaBounds(slack=20.0)
HOT = Tenant("hot", (), None, 8.0, 8.0)
STEADY = Tenant("steady", (), None, 8.0, 8.0)
MAX_SENT_IN_WINDOW = HOT.rate_per_s * BOUNDS.window_s + HOT.burst + BOUNDS.tolerance(HOT)


class Traffic:
    """Requests of one tenant at many nodes, with the times at which they were sent to a replica."""

    def __init__(self, world: CoordinationWorld, tenant: str, per_step: int) -> None:
        self.world = world
        self.request = msgspec.structs.replace(REQUEST, tenant=tenant)
        self.per_step = per_step
        self.sent: list[float] = []
        self.verdicts: list[PlacementVerdict] = []
        self._next = 0

    async def step(self, nodes: list[FleetNode]) -> None:
        """Send requests to the next nodes in turn, all at the same time."""
        tasks = []
        for _ in range(self.per_step):
            node = nodes[self._next % len(nodes)]
            self._next += 1
            tasks.append(await curio.spawn(self._send_request, node))
        while not all(task.terminated for task in tasks):
            await self.world.deliver()
            await curio.sleep(0.001)
        for task in tasks:
            await task.join()

    async def _send_request(self, node: FleetNode) -> None:
        result = await node.client.request_placement(self.request, self.world.now)
        self.verdicts.append(result.verdict)
        if result.verdict is PlacementVerdict.SEND:
            self.sent.append(self.world.now)
        if result.work is not None:
            node.loads.end(result.work)

    def max_sent_in_window(self) -> int:
        return max(
            sum(at <= sent_at <= at + BOUNDS.window_s for sent_at in self.sent) for at in self.sent
        )


def in_fleet(nodes: int, test: Callable[[CoordinationWorld], Awaitable[None]]) -> None:
    async def main() -> None:
        world = CoordinationWorld(nodes, replicas=8, tenants=(HOT, STEADY))
        await world.start()
        await world.run(3.0)
        await test(world)

    curio.run(main)


async def run_traffic(world: CoordinationWorld, traffic: list[Traffic], seconds: float) -> None:
    for _ in range(round(seconds / STEP_S)):
        for stream in traffic:
            await stream.step(world.nodes)
        await world.run(STEP_S)


@pytest.mark.parametrize("nodes", [1, 15, 61])
def test_tenant_over_quota_is_limited_and_tenant_within_quota_is_not(nodes: int) -> None:
    async def test(world: CoordinationWorld) -> None:
        hot, steady = Traffic(world, "hot", 16), Traffic(world, "steady", 1)
        await run_traffic(world, [hot, steady], 8.0)
        assert hot.max_sent_in_window() <= MAX_SENT_IN_WINDOW
        assert len(hot.sent) >= 8 * HOT.rate_per_s
        assert set(steady.verdicts) == {PlacementVerdict.SEND}
        assert set(hot.verdicts) == {PlacementVerdict.SEND, PlacementVerdict.OVER_QUOTA}

    in_fleet(nodes, test)


@pytest.mark.parametrize("nodes", [15, 61])
def test_quota_holds_after_coordinator_is_killed(nodes: int) -> None:
    async def test(world: CoordinationWorld) -> None:
        hot, steady = Traffic(world, "hot", 16), Traffic(world, "steady", 1)
        await run_traffic(world, [hot, steady], 3.0)
        old = world.coordinator
        world.wire.cut_hosts.add(old.host)
        world.kill(old)
        await run_traffic(world, [hot, steady], 6.0)
        assert world.coordinator is not old
        assert hot.max_sent_in_window() <= MAX_SENT_IN_WINDOW
        assert steady.verdicts.count(PlacementVerdict.SEND) >= 0.8 * len(steady.verdicts)

    in_fleet(nodes, test)


def test_quota_holds_while_coordinator_is_suspended_and_after_it_resumes() -> None:
    async def test(world: CoordinationWorld) -> None:
        hot = Traffic(world, "hot", 16)
        await run_traffic(world, [hot], 3.0)
        frozen = world.coordinator
        world.nodes.remove(frozen)
        await run_traffic(world, [hot], 4.0)
        world.nodes.append(frozen)
        await run_traffic(world, [hot], 5.0)
        assert hot.max_sent_in_window() <= MAX_SENT_IN_WINDOW

    in_fleet(15, test)


def test_quota_holds_while_a_third_of_the_nodes_is_cut_off() -> None:
    async def test(world: CoordinationWorld) -> None:
        hot = Traffic(world, "hot", 15)
        await run_traffic(world, [hot], 3.0)
        cut = [node for node in world.nodes if not node.coordinator.is_active][:5]
        world.wire.cut_hosts.update(node.host for node in cut)
        await run_traffic(world, [hot], 3.0)
        world.wire.cut_hosts.clear()
        await run_traffic(world, [hot], 4.0)
        assert hot.max_sent_in_window() <= MAX_SENT_IN_WINDOW

    in_fleet(15, test)


def test_quota_holds_after_restart_of_all_nodes() -> None:
    async def test(world: CoordinationWorld) -> None:
        hot = Traffic(world, "hot", 15)
        await run_traffic(world, [hot], 3.0)
        for node in list(world.nodes):
            restarted = world.replace(node)
            world.load_replicas(restarted)
            await restarted.election._start()
        await run_traffic(world, [hot], 5.0)
        assert hot.max_sent_in_window() <= MAX_SENT_IN_WINDOW
        assert len(hot.sent) >= 5 * HOT.rate_per_s

    in_fleet(15, test)


def test_lowered_quota_holds_after_one_window() -> None:
    async def test(world: CoordinationWorld) -> None:
        hot = Traffic(world, "hot", 15)
        await run_traffic(world, [hot], 3.0)
        low = Tenant("hot", (), None, 1.0, 1.0)
        for node in world.nodes:
            current = node.configuration.current
            assert current is not None
            node.configuration.update_if_newer(
                Configuration(2, current.routes, {}, ClientLimits(), (low, STEADY))
            )
        lowered_at = world.now
        await run_traffic(world, [hot], 12.0)
        hot.sent = [sent_at for sent_at in hot.sent if sent_at >= lowered_at + BOUNDS.window_s]
        assert hot.max_sent_in_window() <= 1.0 * BOUNDS.window_s + 1.0 + 1

    in_fleet(15, test)


def test_isolated_node_serves_tenant_far_from_its_quota() -> None:
    async def test(world: CoordinationWorld) -> None:
        steady = Traffic(world, "steady", 1)
        node = next(candidate for candidate in world.nodes if not candidate.coordinator.is_active)
        world.wire.cut_hosts.add(node.host)
        world.now += 1.0
        await steady.step([node])
        assert steady.verdicts == [PlacementVerdict.SEND]

    in_fleet(15, test)


def test_coordinator_counts_local_grants_of_isolated_node() -> None:
    async def test(world: CoordinationWorld) -> None:
        steady = Traffic(world, "steady", 1)
        node = next(candidate for candidate in world.nodes if not candidate.coordinator.is_active)
        world.wire.cut_hosts.add(node.host)
        world.now += 1.0
        await steady.step([node])
        assert steady.verdicts == [PlacementVerdict.SEND]
        world.wire.cut_hosts.clear()
        await node.client._report()
        node.client._report_to_unresponsive_nodes()
        await world.deliver()
        levels = world.coordinator.scheduler.quotas.bucket_levels(world.now)
        assert levels["steady"] <= STEADY.bucket_size - 1 + 0.5

    in_fleet(15, test)
