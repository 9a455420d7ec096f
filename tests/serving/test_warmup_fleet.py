"""The rate limit of a warming replica holds across the fleet while coordinators and links fail."""

from collections.abc import Awaitable, Callable

import curio
import msgspec
from coordination_world import WARMUP_BOUNDS, CoordinationWorld, FleetNode

from cloverwalk.core.warmup_limit import TOKEN_TTL_S
from cloverwalk.emulator.memory_store import MemoryStore
from cloverwalk.fleet.election import ROLE_KEY, RoleRow
from cloverwalk.fleet.messages import Contact, Orders, PlacementRequest, Snapshot
from cloverwalk.fleet.placement_client import PlacementResult
from cloverwalk.fleet.role_lease import LEASE_S, TAKEOVER_WAIT_S
from cloverwalk.gateway.configuration import Service
from cloverwalk.gateway.errors import ReplicaError
from cloverwalk.gateway.replicas import Replica
from cloverwalk.scheduling.admission import PlacementVerdict
from cloverwalk.store.types import Expectation, Put, Transaction

RATE = 7.3
LIMIT = WARMUP_BOUNDS.limit_per_s(RATE)
SERVICES = {"model": Service("model", 8, 100, warmup_s=3.0, warmup_rate_per_s=RATE)}
REQUEST = PlacementRequest(
    0, "chat", "model", objective_left_ms=300, deadline_ms=5000, time_left_ms=5000
)
LONG_MS = 60_000
SLOTS = 500
"""Enough that only the warm-up limits the requests."""


class Demand:
    """Offers more requests than the only replica, which is warming up, may receive."""

    def __init__(self, world: CoordinationWorld) -> None:
        self.world = world
        self.sent: list[float] = []
        self.refused = 0
        self.verdicts: list[PlacementVerdict] = []

    async def run(self, seconds: float) -> int:
        """Send requests from each node for this time; return how many reached the replica."""
        before = len(self.sent)
        for _ in range(round(seconds / CoordinationWorld.STEP_S)):
            tasks = [
                await curio.spawn(self.send_request, node)
                for node in list(self.world.nodes)
                for _ in range(4)
            ]
            while not all(task.terminated for task in tasks):
                await self.world.deliver()
                await curio.sleep(0.001)
            for task in tasks:
                await task.join()
            await self.world.run(CoordinationWorld.STEP_S)
        return len(self.sent) - before

    async def send_request(self, node: FleetNode) -> None:
        result = await node.client.request_placement(REQUEST, self.world.now)
        self.verdicts.append(result.verdict)
        if result.verdict is PlacementVerdict.SEND:
            self.send(node, result)

    def send(self, node: FleetNode, result: PlacementResult) -> None:
        assert result.work is not None
        node.loads.end(result.work)
        replica = node.directory.find(result.replica_id)
        assert replica is not None
        try:
            node.warmup_gate.check(replica, "q", result.warmup_token_granted_at)
        except ReplicaError:
            self.refused += 1
        else:
            self.sent.append(self.world.now)

    def most_in_a_second(self) -> int:
        return max(
            (sum(at <= other < at + 1.0 for other in self.sent) for at in self.sent), default=0
        )


def in_fleet(
    test: Callable[[CoordinationWorld, Demand], Awaitable[None]],
    nodes: int = 9,
    lost_zones: int = 0,
    services: dict[str, Service] = SERVICES,
) -> None:
    async def main() -> None:
        world = CoordinationWorld(nodes, 1, services=services, lost_zones=lost_zones)
        world.replicas = [msgspec.structs.replace(r, slots=SLOTS) for r in world.replicas]
        await world.start()
        await world.run(TAKEOVER_WAIT_S + 2.0)
        put_warmup_entry(world, LONG_MS, version=20)
        await world.run(1.0)
        demand = Demand(world)
        await test(world, demand)
        if services is SERVICES:
            assert demand.most_in_a_second() <= LIMIT

    curio.run(main)


def put_warmup_entry(world: CoordinationWorld, warmup_ms: int, version: int) -> None:
    """Put an entry with a warm-up time into the coordinator's directory."""
    (replica,) = world.replicas
    entry = msgspec.structs.replace(replica, warmup_ms=warmup_ms, version=version)
    world.coordinator.directory.put(entry)


def entry_of(node: FleetNode) -> Replica:
    replica = node.directory.find("r0")
    assert replica is not None
    return replica


# Guards against nodes that miss a warm-up because the list's fingerprint doesn't cover it.
def test_change_of_the_warmup_time_alone_reaches_all_nodes() -> None:
    async def test(world: CoordinationWorld, demand: Demand) -> None:
        assert {node.warmups.is_warming(entry_of(node), world.now) for node in world.nodes} == {
            True
        }
        put_warmup_entry(world, 700, version=21)
        await world.run(1.0)
        assert not any(node.warmups.is_warming(entry_of(node), world.now) for node in world.nodes)

    in_fleet(test)


# Guards against nodes that together send more than the limit, or far less than the rate.
def test_whole_fleet_sends_at_most_the_limit_and_uses_the_rate() -> None:
    async def test(world: CoordinationWorld, demand: Demand) -> None:
        sent = await demand.run(10.0)
        assert sent >= 0.9 * RATE * 10.0
        refusals = {PlacementVerdict.RETRY_LATER, PlacementVerdict.NO_REPLICA}
        assert set(demand.verdicts) == {PlacementVerdict.SEND, *refusals}

    in_fleet(test)


# Guards against a new coordinator that grants tokens for seconds its predecessor has used up.
def test_killed_coordinator_is_replaced_and_the_limit_holds() -> None:
    async def test(world: CoordinationWorld, demand: Demand) -> None:
        await demand.run(2.0)
        world.kill(world.coordinator)
        assert await demand.run(2.0) == 0
        await world.run(4.0)
        assert len(world.active) == 1
        assert await demand.run(3.0) > RATE

    in_fleet(test)


# Guards against a coordinator that grants tokens though its lease may have expired.
def test_coordinator_cut_off_from_the_store_stops_granting() -> None:
    async def test(world: CoordinationWorld, demand: Demand) -> None:
        coordinator = world.coordinator
        store, coordinator.election._store = coordinator.election._store, unavailable_store()
        await demand.run(LEASE_S + 0.5)
        assert await demand.run(2.0) == 0
        coordinator.election._store = store
        assert await demand.run(3.0) > RATE
        assert world.coordinator is coordinator

    in_fleet(test)


def unavailable_store() -> MemoryStore:
    store = MemoryStore()
    store.is_down = True
    return store


# Guards against a pause of grants after each change of the standbys.
def test_lost_standby_is_replaced_without_a_pause_of_grants() -> None:
    async def test(world: CoordinationWorld, demand: Demand) -> None:
        coordinator = world.coordinator
        term, tenure = coordinator.leader.term, coordinator.election.lease.tenure
        world.kill(next(node for node in world.nodes if node.leader.standby_rank == 0))
        for _ in range(6):
            assert await demand.run(1.0) > 0
        assert coordinator.leader.term > term
        assert coordinator.election.lease.tenure == tenure

    in_fleet(test)


# Guards against a coordinator that regains the role and grants tokens without waiting.
def test_coordinator_that_takes_the_role_back_waits_before_it_grants() -> None:
    async def test(world: CoordinationWorld, demand: Demand) -> None:
        coordinator = world.coordinator
        lost = RoleRow(Contact("gone", "dead"), "0c")
        put = Put(ROLE_KEY, msgspec.json.encode(lost))
        expected = Expectation(ROLE_KEY, coordinator.leader.term)
        await world.store.commit(Transaction([expected], [put]), 1.0)
        await world.run(1.5)
        assert await demand.run(TAKEOVER_WAIT_S) == 0
        assert world.coordinator is coordinator
        await world.run(2.0)
        assert await demand.run(2.0) > RATE

    in_fleet(test)


# Guards against two isolated coordinators that grant tokens for the same second.
def test_two_coordinators_at_once_keep_the_limit_together() -> None:
    async def test(world: CoordinationWorld, demand: Demand) -> None:
        old = world.coordinator
        old.election._store = unavailable_store()
        world.wire.cut_zones = {old.identity.zone}
        await demand.run(9.0)
        assert len(world.active) == 2
        assert not old.election.lease.may_grant(world.now)
        world.wire.cut_zones = set()
        await demand.run(3.0)

    in_fleet(test, lost_zones=1)


# Guards against a coordinator that is resumed after a pause and uses its expired lease.
def test_coordinator_that_was_paused_grants_nothing_after_its_wake() -> None:
    async def test(world: CoordinationWorld, demand: Demand) -> None:
        old = world.coordinator
        world.kill(old)
        await world.run(6.0)
        assert await demand.run(2.0) > RATE
        world.nodes.append(old)
        granted = old.scheduler.warmup_tokens.granted
        await demand.run(3.0)
        assert old.scheduler.warmup_tokens.granted == granted

    in_fleet(test)


# Guards against tokens that seem valid although the coordinator was paused before sending them.
def test_token_granted_before_a_pause_of_the_coordinator_is_too_old() -> None:
    async def test(world: CoordinationWorld, demand: Demand) -> None:
        await demand.run(1.0)
        await world.run(1.0)
        old, node = world.coordinator, next(n for n in world.nodes if not n.coordinator.is_active)
        report = node.client._make_report(old.host, [REQUEST], False)
        assert old.coordinator.registry.record_report(report, node.host, world.now) is not None
        old.scheduler.handle_report(report, world.now)
        (decisions,) = [
            found for found in old.scheduler.pop_decisions().values() if found.placements
        ]
        assert decisions.placements[0].has_warmup_token
        world.now += 2.0
        orders = old.coordinator._make_orders(node.name, decisions, world.now)
        assert world.now - node.client.reports.earliest_decision_time(orders) >= 2.0

    in_fleet(test)


# Guards against a node that sends a request with an expired token.
def test_token_that_arrives_late_is_not_used() -> None:
    async def test(world: CoordinationWorld, demand: Demand) -> None:
        await demand.run(1.0)
        await world.run(1.0)
        demand.sent.clear()
        refused = demand.refused
        node = next(n for n in world.nodes if not n.coordinator.is_active)
        task = await curio.spawn(demand.send_request, node)
        await curio.sleep(0)
        while not any(isinstance(message, Orders) for _, _, message in world.wire.in_transit):
            (source, _, message), *_ = [
                sent for sent in world.wire.in_transit if sent[0] == node.host
            ]
            world.wire.in_transit.clear()
            await world.coordinator.handle_message(message, source)
        world.now += TOKEN_TTL_S + 0.1
        while not task.terminated:
            await world.deliver()
            await curio.sleep(0.001)
        await task.join()
        assert (demand.refused, demand.sent) == (refused + 1, [])

    in_fleet(test)


# Guards against a restarted process that matches orders to a report of its predecessor.
def test_restarted_process_uses_no_report_numbers_of_the_earlier_one() -> None:
    async def test(world: CoordinationWorld, demand: Demand) -> None:
        node = next(n for n in world.nodes if not n.coordinator.is_active)
        await demand.run(1.0)
        entry = world.coordinator.coordinator.registry.by_name[node.name]
        orders = world.coordinator.coordinator._make_orders(node.name, None, world.now)
        assert orders.report_sequence == entry.report.sequence
        restarted = world.replace(node)
        world.now += 0.1
        for _ in range(20):
            restarted.client._make_report("h000", [], False)
        assert restarted.client.reports.earliest_decision_time(orders) == float("-inf")

    in_fleet(test)


# Guards against a standby that misses a warm-up because no snapshot reached it.
def test_new_coordinator_without_a_snapshot_keeps_the_limit() -> None:
    async def test(world: CoordinationWorld, demand: Demand) -> None:
        world.wire.dropped_kinds = {Snapshot}
        await demand.run(1.0)
        world.kill(world.coordinator)
        await demand.run(9.0)
        assert len(world.active) == 1 and len(demand.sent) > RATE

    in_fleet(test)


# Guards against a warm-up that never ends while the store is down, and sends without a lease.
def test_warmup_ends_by_time_while_the_store_is_down() -> None:
    async def test(world: CoordinationWorld, demand: Demand) -> None:
        world.store.is_down = True
        await demand.run(LEASE_S)
        put_warmup_entry(world, 3000, version=21)
        assert await demand.run(2.5) == 0
        await world.run(1.0)
        demand.sent.clear()
        assert await demand.run(1.0) > 2 * LIMIT
        demand.sent.clear()

    in_fleet(test)


# Guards against limits, queues or refusals if no service has a warm-up rate.
def test_service_without_warmup_fields_has_no_limit() -> None:
    async def test(world: CoordinationWorld, demand: Demand) -> None:
        assert await demand.run(1.0) == 9 * 4 * 4
        assert world.coordinator.scheduler.warmup_tokens.granted == 0

    in_fleet(test, services={"model": Service("model", 8, 100)})


# Guards against a standby that doesn't know which replicas warm up after a lifted drain.
def test_snapshots_carry_assumed_warmups_to_standbys() -> None:
    async def test(world: CoordinationWorld, demand: Demand) -> None:
        await world.run(LONG_MS / 1000)
        coordinator = world.coordinator
        coordinator.zone_drains.update(30, ["z1"], world.now)
        coordinator.zone_drains.update(31, [], world.now)
        world.wire.dropped_kinds = {Orders}
        await world.run(0.5)
        standbys = [node for node in world.nodes if node.leader.standby_rank is not None]
        assert standbys and all(
            node.warmups.is_warming(entry_of(node), world.now) for node in standbys
        )

    in_fleet(test)
