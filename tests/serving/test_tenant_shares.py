"""Fair shares of slots between tenants: the coordinator's decisions, without sockets."""

from collections import Counter
from typing import Any

import curio
from coordination_world import CoordinationWorld
from hypothesis import given
from hypothesis import strategies as st
from test_scheduler import SLOTS, Fleet

from cloverwalk.fleet.messages import PlacementRequest, RequestTiming, WaitingGroup, WorkCorrection
from cloverwalk.scheduling.admission import PlacementVerdict
from cloverwalk.tenants.directory import Tenant

TENANTS = tuple(Tenant(name, ()) for name in ("hot", "small", "other"))
LATE_MS = 10


def busy_fleet(tenants: tuple[Tenant, ...] = TENANTS) -> Fleet:
    """Return a fleet whose slots are all in use by requests of one tenant."""
    fleet = Fleet(replicas=1, tenants=tenants)
    for _ in range(SLOTS):
        fleet.request_placement(0, tenant="hot")
    # The first late request of a route is refused; later ones count as retries and are queued.
    fleet.request_placement(2, objective_left_ms=LATE_MS, tenant="hot")
    return fleet


def queue_request(
    fleet: Fleet, tenant: str, node: int = 1, objective_left_ms: int = LATE_MS
) -> int:
    number = fleet.request_placement(
        node,
        deadline_ms=3000,
        time_left_ms=3000,
        objective_left_ms=objective_left_ms,
        tenant=tenant,
    )
    assert fleet.verdict(node, number) is PlacementVerdict.QUEUE
    return number


def free_slot(fleet: Fleet) -> int:
    """End a request; return the number of the one that gets its slot."""
    before = {
        number
        for node in fleet.nodes
        for number, placement in node.placements.items()
        if placement.verdict is PlacementVerdict.SEND
    }
    fleet.nodes[0].online["r0"] -= 1
    fleet.report_state(0)
    after = {
        number
        for node in fleet.nodes
        for number, placement in node.placements.items()
        if placement.verdict is PlacementVerdict.SEND
    }
    (placed,) = after - before
    return placed


def test_tenant_with_less_usage_is_placed_before_an_earlier_one_with_more() -> None:
    fleet = busy_fleet()
    first, second = queue_request(fleet, "hot"), queue_request(fleet, "hot")
    small = queue_request(fleet, "small")
    assert [free_slot(fleet) for _ in range(3)] == [small, first, second]


def test_queued_requests_without_tenants_are_placed_in_order_of_arrival() -> None:
    fleet = busy_fleet(tenants=())
    queued = [queue_request(fleet, tenant) for tenant in ("hot", "hot", "small")]
    assert [free_slot(fleet) for _ in range(3)] == queued


@given(st.lists(st.tuples(st.sampled_from(["hot", "small", ""]), st.integers(1, 60)), max_size=7))
def test_with_fair_shares_off_any_requests_are_placed_in_order_of_arrival(
    requests: list[tuple[str, int]],
) -> None:
    fleet = busy_fleet(tenants=())
    queued = []
    for tenant, objective_left_ms in requests:
        fleet.now += 0.01
        queued.append(queue_request(fleet, tenant, objective_left_ms=objective_left_ms))
    assert [free_slot(fleet) for _ in queued] == queued


def test_tenant_ahead_leaves_part_of_the_queues_while_another_waits() -> None:
    fleet = busy_fleet()
    for _ in range(8):
        # Long requests of one tenant put it far ahead of the others.
        timing = RequestTiming("chat", "r0", 50, 9000, 0, tenant="hot")
        fleet.scheduler.handle_report(fleet.nodes[0].report(request_timings=[timing]), fleet.now)
        fleet.scheduler.online_shares.charge(0, "hot", 2000.0, ["small"])
    assert fleet.scheduler.online_shares.is_ahead(0, "hot")
    fleet.scheduler.times.apply_estimate("chat", 50.0, 500.0, 1.0)
    small = queue_request(fleet, "small")
    fields: dict[str, Any] = {"deadline_ms": 5000, "objective_left_ms": 300}
    fleet.nodes[0].online["r0"] = SLOTS + 2
    fleet.report_state(0)
    refused = fleet.request_placement(1, tenant="hot", **fields)
    assert fleet.verdict(1, refused) is not PlacementVerdict.SEND
    assert (
        fleet.verdict(1, fleet.request_placement(1, tenant="other", **fields))
        is PlacementVerdict.SEND
    )
    fleet.nodes[1].online["r0"] -= 1
    report = fleet.nodes[1].report()
    report.withdrawn = [small]
    fleet.scheduler.handle_report(report, fleet.now)
    assert (
        fleet.verdict(1, fleet.request_placement(1, tenant="hot", **fields))
        is PlacementVerdict.SEND
    )


def test_while_a_tenant_is_ahead_each_other_tenant_may_queue_one_request() -> None:
    fleet = busy_fleet()
    for _ in range(4):
        fleet.scheduler.online_shares.charge(0, "hot", 2000.0, ["small"])
    late: dict[str, Any] = {"objective_left_ms": LATE_MS}
    assert (
        fleet.verdict(1, fleet.request_placement(1, tenant="hot", **late))
        is PlacementVerdict.RETRY_LATER
    )
    verdicts = [
        fleet.verdict(1, fleet.request_placement(1, tenant="small", **late)) for _ in range(2)
    ]
    assert verdicts == [PlacementVerdict.QUEUE, PlacementVerdict.RETRY_LATER]


def test_request_number_reused_for_another_tenant_stays_in_its_queue() -> None:
    """A restarted process reuses the numbers of requests that may still be queued."""
    fleet = busy_fleet()
    number = queue_request(fleet, "small")
    again = PlacementRequest(
        number, "chat", "model", deadline_ms=3000, time_left_ms=3000, tenant="other"
    )
    fleet.scheduler.handle_report(fleet.nodes[1].report([again]), fleet.now)
    fleet.scheduler.remove_node("n1", fleet.now)
    assert fleet.verdict(1, number) is PlacementVerdict.QUEUE


def test_request_that_will_miss_its_deadline_is_refused_without_a_retry_time() -> None:
    fleet = busy_fleet()
    fleet.nodes[0].online["r0"] = 40 * SLOTS
    fleet.report_state(0)
    number = fleet.request_placement(
        1, deadline_ms=3000, time_left_ms=3000, objective_left_ms=300, tenant="hot"
    )
    placement = fleet.nodes[1].placements[number]
    assert (placement.verdict, placement.retry_after_s) == (PlacementVerdict.RETRY_LATER, 0.0)


def grants(fleet: Fleet, node: int) -> dict[str, int]:
    decided = fleet.scheduler.pop_decisions()[fleet.nodes[node].name]
    return decided.grants_by_tenant["r0"]


def test_items_of_tenants_share_slots_and_grants_name_the_tenant() -> None:
    fleet = Fleet(replicas=1, tenants=TENANTS)
    fleet.nodes[0].waiting = [
        WaitingGroup(1, 20, tenant="hot", remaining_ms=1000),
        WaitingGroup(5, 20, tenant="small", remaining_ms=1000),
    ]
    fleet.scheduler.handle_report(fleet.nodes[0].report(), fleet.now)
    assert grants(fleet, 0) == {"hot": SLOTS // 2, "small": SLOTS // 2}


def test_unused_slot_time_of_an_item_is_credited() -> None:
    fleet = Fleet(replicas=1, tenants=TENANTS)
    fleet.nodes[0].waiting = [WaitingGroup(1, 2, tenant="hot", remaining_ms=2000)]
    fleet.report_state(0)
    assert fleet.scheduler.item_shares.ahead_ms(0, "hot") > 0
    report = fleet.nodes[0].report()
    report.corrections = [WorkCorrection("hot", 0, -4000)]
    fleet.scheduler.handle_report(report, fleet.now)
    assert fleet.scheduler.item_shares.step(0, "hot") == 0


@given(st.lists(st.integers(1, 30), min_size=1, max_size=4), st.integers(0, 3))
def test_fair_shares_leave_no_slot_free(items: list[int], ahead: int) -> None:
    fleet = Fleet(replicas=2, tenants=TENANTS)
    for _ in range(ahead):
        fleet.scheduler.item_shares.charge(0, "hot", 3000.0, ["small"])
    fleet.nodes[0].waiting = [
        WaitingGroup(step, count, tenant=TENANTS[step % 3].name) for step, count in enumerate(items)
    ]
    fleet.report_state(0)
    assert sum(fleet.work(f"r{number}")[1] for number in range(2)) == min(sum(items), 2 * SLOTS)


def test_new_coordinator_continues_with_the_usage_of_the_previous_one() -> None:
    async def main() -> None:
        world = CoordinationWorld(5, replicas=2, tenants=TENANTS)
        await world.start()
        await world.run(3.0)
        old = world.coordinator
        for _ in range(3):
            old.scheduler.online_shares.charge(0, "hot", 1000.0, ["small"])
            old.scheduler.item_shares.charge(0, "small", 500.0, ["hot"])
        await world.run(0.5)
        world.wire.cut_hosts.add(old.host)
        world.kill(old)
        await world.run(4.0)
        new = world.coordinator.scheduler
        assert world.coordinator is not old
        assert new.online_shares.is_ahead(0, "hot") and not new.online_shares.is_ahead(0, "small")
        assert new.item_shares.step(0, "small") > new.item_shares.step(0, "hot")

    curio.run(main)


def test_slots_that_become_free_together_are_shared() -> None:
    """A takeover or the end of a burst may free all slots in one decision."""
    replicas = 16
    fleet = Fleet(replicas=replicas, tenants=TENANTS)
    fleet.nodes[0].waiting = [
        WaitingGroup(1, 400, tenant="hot", remaining_ms=2000),
        WaitingGroup(5, 400, tenant="small", remaining_ms=2000),
    ]
    fleet.scheduler.handle_report(fleet.nodes[0].report(), fleet.now)
    granted = Counter[str]()
    for by_tenant in fleet.scheduler.pop_decisions()["n0"].grants_by_tenant.values():
        granted.update(by_tenant)
    assert granted == {"hot": replicas * SLOTS // 2, "small": replicas * SLOTS // 2}


def test_grants_for_items_without_a_tenant_are_named() -> None:
    """Public routes accept items without a tenant; a slot that is not named goes to any item."""
    fleet = Fleet(replicas=1, tenants=TENANTS)
    fleet.nodes[0].waiting = [
        WaitingGroup(1, 20, tenant="hot", remaining_ms=1000),
        WaitingGroup(5, 20, remaining_ms=1000),
    ]
    fleet.scheduler.handle_report(fleet.nodes[0].report(), fleet.now)
    assert grants(fleet, 0) == {"hot": SLOTS // 2, "": SLOTS // 2}


def test_request_without_a_tenant_is_charged_its_actual_slot_time() -> None:
    fleet = Fleet(replicas=1, tenants=TENANTS)
    fleet.request_placement(0, tenant="")
    before_ms = fleet.scheduler.online_shares.ahead_ms(0, "")
    timing = RequestTiming("chat", "r0", 50, round(before_ms) + 700, 0)
    fleet.scheduler.handle_report(fleet.nodes[0].report(request_timings=[timing]), fleet.now)
    assert fleet.scheduler.online_shares.ahead_ms(0, "") == before_ms + 700
