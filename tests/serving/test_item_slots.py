"""Slots of items at their node: what is reported while orders are applied. No sockets."""

import os
from collections.abc import Awaitable, Callable
from typing import Any, cast

import curio
import pytest
from coordination_world import CoordinationWorld, FleetNode
from job_world import stored_job

from cloverwalk.fleet.messages import Orders, Report
from cloverwalk.gateway.configuration import (
    ClientLimits,
    Configuration,
    Route,
    RouteKind,
    RoutePart,
    Service,
)
from cloverwalk.gateway.crash_detector import CrashDetector
from cloverwalk.gateway.messages import PromptPart
from cloverwalk.gateway.replicas import Replica
from cloverwalk.jobs.item_call import ItemCaller
from cloverwalk.jobs.item_containment import ItemContainment
from cloverwalk.jobs.records import JobItem, JobRecord
from cloverwalk.jobs.run import ItemRun, JobRun
from cloverwalk.jobs.runner import BatchRunner
from cloverwalk.store.clock import StoreTime
from cloverwalk.telemetry.log import ServingLog
from cloverwalk.telemetry.metrics import ServingMetrics

REPLICA = "r0"
SLOTS = 8
ITEMS = 12
DUE_MS = 20_000.0


class SlowlyClosingCaller:
    """Runs items forever; only ``max_immediate_closes`` of the preempted ones end at once."""

    def __init__(self) -> None:
        self.max_immediate_closes = 0
        self.preempted = 0
        self.all_may_close = curio.Event()

    def prompt(self, item_run: ItemRun) -> tuple[PromptPart, ...]:
        return ()

    async def run(
        self,
        job: JobRun,
        item_run: ItemRun,
        replica: Replica,
        on_output: Callable[[], None],
        must_be_new: bool,
    ) -> None:
        try:
            await curio.Event().wait()
        finally:
            self.preempted += 1
            if self.preempted > self.max_immediate_closes:
                await self.all_may_close.wait()


class OwnerWorld:
    """A fleet of two nodes; the one that does not coordinate owns a job and applies orders."""

    def __init__(self, world: CoordinationWorld) -> None:
        self.world = world
        self.coordinator = world.coordinator
        self.node = next(node for node in world.nodes if node is not self.coordinator)
        self.caller = SlowlyClosingCaller()
        self.runner = create_runner(self.node, self.caller, world)
        self._number = self.coordinator.scheduler.last_decision_number(self.node.name) + 1

    async def order(self, change: int, tokens: int = 0) -> int:
        """Order the node to start or suspend items as its coordinator would; return the number.

        The started items may use ``tokens`` of the replica's memory, where the coordinator counts
        it.
        """
        leadership = self.coordinator.leader.current
        assert leadership is not None
        self._number += 1
        orders = Orders(
            leadership,
            self.coordinator.identity.incarnation,
            self._number,
            1,
            0,
            0,
            0,
            True,
            grants={REPLICA: change} if change > 0 else {},
            revokes={REPLICA: -change} if change < 0 else {},
            grant_tokens={REPLICA: tokens} if tokens else {},
        )
        await self.node.client.handle_orders(orders, self.coordinator.host)
        return self._number

    async def report(self) -> tuple[int, int]:
        """Have the node report; return its last applied order and how many items it counts."""
        self.world.wire.in_transit.clear()
        await self.node.client._report()
        reports = [
            message for _, _, message in self.world.wire.in_transit if isinstance(message, Report)
        ]
        load = reports[-1].loads.get(REPLICA)
        return reports[-1].last_applied_order, 0 if load is None else load.batch


def create_runner(
    node: FleetNode, caller: SlowlyClosingCaller, world: CoordinationWorld
) -> BatchRunner:
    """Give a node a runner of items and a configuration with their route."""
    parts = (RoutePart("model", 1.0),)
    route = Route("jobs", "h", "/jobs/", RouteKind.BATCH, parts, 30.0, 0.4, 3)
    current = node.configuration.current
    assert current is not None
    routes = (*current.routes, route)
    node.configuration.update_if_newer(
        Configuration(2, routes, {}, current.limits, current.tenants)
    )

    async def ignore(_: object) -> None:
        return

    clock: Callable[[], float] = lambda: world.now  # noqa: E731
    log = ServingLog(node.name, clock, os.open(os.devnull, os.O_WRONLY))
    pool: Any = None
    crash_detector = CrashDetector(node.ledger, node.directory, pool, log, ServingMetrics(), clock)
    runner = BatchRunner(
        node.configuration,
        node.directory,
        node.loads,
        cast(ItemCaller, caller),
        ItemContainment(crash_detector, cast(ItemCaller, caller), node.directory, clock),
        node.client,
        ignore,
        ignore,
        lambda: StoreTime(0.0, 0.0),
        lambda: world.now,
        log,
        ServingMetrics(),
        clock,
    )
    node.client.batch_handler = runner
    return runner


def create_job(node: FleetNode) -> JobRun:
    items = [JobItem(f"j-{number}", "/jobs/x", [], b"", 1) for number in range(ITEMS)]
    owner = node.identity.incarnation
    record = JobRecord("j", "h", "/jobs/x", 0.0, DUE_MS, 2 * DUE_MS, 3, ITEMS, ITEMS, 1, owner)
    return JobRun(stored_job(record), items)


def with_running_items(test: Callable[[OwnerWorld], Awaitable[None]]) -> None:
    """Run a test with a node whose items occupy all slots of a replica."""

    async def main() -> None:
        world = CoordinationWorld(2)
        await world.start()
        owner = OwnerWorld(world)
        await owner.runner.add(create_job(owner.node))
        await owner.order(SLOTS)
        # Let the runs start.
        await curio.sleep(0)
        try:
            await test(owner)
        finally:
            await owner.caller.all_may_close.set()
            await owner.runner.drop("j")

    curio.run(main)


@pytest.mark.parametrize("closed", [0, 1, 2, 3])
def test_report_counts_an_order_completely_or_not_at_all(closed: int) -> None:
    """This holds however many of the preempted items have closed their connections."""

    async def test(owner: OwnerWorld) -> None:
        owner.caller.max_immediate_closes = closed
        before, items = await owner.report()
        assert items == SLOTS
        applying = await curio.spawn(owner.order, -3, daemon=True)
        for _ in range(10):
            await curio.sleep(0)
            last_applied, items = await owner.report()
            assert items == (SLOTS if last_applied == before else SLOTS - 3)
        await owner.caller.all_may_close.set()
        after = await applying.join()
        assert await owner.report() == (after, SLOTS - 3)

    with_running_items(test)


def test_orders_are_applied_in_sequence_during_preemption() -> None:
    """An order that arrives while an earlier one still preempts items counts in addition to it."""

    async def test(owner: OwnerWorld) -> None:
        before, _ = await owner.report()
        items_by_order = {before: SLOTS, before + 1: SLOTS - 3, before + 2: SLOTS - 1}
        revoking = await curio.spawn(owner.order, -3, daemon=True)
        await curio.sleep(0)
        granting = await curio.spawn(owner.order, 2, daemon=True)
        reports = []
        for turn in range(10):
            await curio.sleep(0)
            reports.append(await owner.report())
            if turn == 5:
                await owner.caller.all_may_close.set()
        await revoking.join()
        await granting.join()
        reports.append(await owner.report())
        assert reports == [
            (last_applied, items_by_order[last_applied]) for last_applied, _ in reports
        ]
        assert reports == sorted(reports, key=lambda report: report[0])
        assert reports[-1][0] == before + 2

    with_running_items(test)


def test_preempted_run_is_removed_from_load_once() -> None:
    async def test(owner: OwnerWorld) -> None:
        preempting = await curio.spawn(owner.order, -SLOTS, daemon=True)
        await curio.sleep(0)
        await owner.caller.all_may_close.set()
        await preempting.join()
        await curio.sleep(0)
        assert owner.node.loads.by_replica == {}
        assert len(owner.runner.jobs["j"].pending(owner.world.now)) == ITEMS
        last_applied = await owner.order(SLOTS)
        assert await owner.report() == (last_applied, SLOTS)

    with_running_items(test)


def test_orders_do_not_wait_for_preempted_items() -> None:
    """A coordinator that owns jobs itself also has to send orders to other nodes."""

    async def test(owner: OwnerWorld) -> None:
        preempting = await curio.spawn(owner.order, -3, daemon=True)
        for _ in range(10):
            await curio.sleep(0)
        assert owner.caller.preempted == 3
        assert preempting.terminated

    with_running_items(test)


def test_granted_slot_goes_to_item_that_fits_granted_memory() -> None:
    async def test(owner: OwnerWorld) -> None:
        owner.node.loads.counts_tokens = True
        items = owner.runner.jobs["j"].items
        first, *remaining = [item_run for item_run in items if not item_run.replica_id]
        first.item.tokens = 4_000
        for item_run in remaining:
            item_run.item.tokens = 100
        await owner.order(3, tokens=250)
        assert [item_run.replica_id for item_run in (first, *remaining)] == [
            "",
            REPLICA,
            REPLICA,
            "",
        ]
        await owner.order(1)
        assert first.replica_id == REPLICA

    with_running_items(test)


@pytest.mark.parametrize("item_tokens", [9_900, 10**15, -5])
def test_oversized_item_does_not_block_other_items(item_tokens: int) -> None:
    """Its replica rejects it, like an item whose memory is not known."""

    async def test(owner: OwnerWorld) -> None:
        configuration = owner.node.configuration
        assert configuration.current is not None
        services = {"model": Service("model", SLOTS, 0, 10_000)}
        configuration.update_if_newer(
            Configuration(3, configuration.current.routes, services, ClientLimits())
        )
        owner.node.loads.counts_tokens = True
        first, *remaining = [
            item_run for item_run in owner.runner.jobs["j"].items if not item_run.replica_id
        ]
        first.item.tokens = item_tokens
        for item_run in remaining:
            item_run.item.tokens = 100
        await owner.runner._report_waiting()
        reported = [group for groups in owner.node.client.waiting.values() for group in groups]
        assert [group.tokens for group in reported] == [100]
        before = owner.node.loads.by_replica[REPLICA].tokens
        await owner.order(2, tokens=100)
        assert first.replica_id == REPLICA
        assert owner.node.loads.by_replica[REPLICA].tokens == before + 100

    with_running_items(test)
