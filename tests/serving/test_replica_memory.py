"""Requests are placed only where their longest possible output fits into a replica's memory."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from test_scheduler import Fleet

from cloverwalk.fleet.in_flight import InFlightTracker
from cloverwalk.fleet.messages import NodeLoad, WaitingGroup
from cloverwalk.gateway.configuration import ClientLimits, Configuration, Service
from cloverwalk.jobs.waiting_items import pick_items
from cloverwalk.scheduling.admission import MAX_QUEUE_WAIT_S, PlacementVerdict
from cloverwalk.scheduling.features import Features
from cloverwalk.scheduling.quotas import QuotaBounds
from cloverwalk.scheduling.replica_memory import RESERVED_MEMORY_FRACTION
from cloverwalk.scheduling.scheduler import Scheduler
from cloverwalk.tenants.directory import Tenant

MEMORY = 10_000
LIMIT = int(MEMORY * (1 - RESERVED_MEMORY_FRACTION))


def small_fleet(
    replicas: int = 2, is_scarce: bool = True, tenants: tuple[Tenant, ...] = ()
) -> Fleet:
    """Return a fleet whose replicas have little memory for their eight slots."""
    fleet = Fleet(replicas=replicas)
    old = fleet.scheduler
    holder = old.features._configuration
    assert holder.current is not None
    services = {"model": Service("model", 8, 0, MEMORY)}
    routes = holder.current.routes
    holder.update_if_newer(Configuration(2, routes, services, ClientLimits(), tenants or None))
    fleet.scheduler = Scheduler(
        fleet.directory,
        holder,
        old.times,
        QuotaBounds(slack=20.0),
        old._online._ledger,
        Random(1),
        Features(holder, is_scarce),
    )
    return fleet


def place_with_tokens(fleet: Fleet, node: int, tokens: int) -> int:
    """Send a placement request of this many tokens; if it is placed, the node reports them."""
    number = fleet.request_placement(node, tokens=tokens)
    placement = fleet.nodes[node].placements[number]
    if placement.verdict is PlacementVerdict.SEND:
        tokens_by_replica = fleet.nodes[node].tokens
        tokens_by_replica[placement.replica_id] = (
            tokens_by_replica.get(placement.replica_id, 0) + tokens
        )
        fleet.report_state(node)
    return number


def tokens_at(fleet: Fleet, replica_id: str) -> int:
    return fleet.scheduler.load_tracker.total(replica_id, fleet.now).tokens


@given(st.lists(st.integers(1, LIMIT), min_size=1, max_size=14))
def test_no_burst_of_long_requests_fills_a_replica_beyond_its_memory(sizes: list[int]) -> None:
    fleet = small_fleet()
    for number, size in enumerate(sizes):
        place_with_tokens(fleet, number % 3, size)
        assert all(tokens_at(fleet, key) <= LIMIT for key in ("r0", "r1"))
    sent = sum(sum(node.tokens.values()) for node in fleet.nodes)
    assert sum(tokens_at(fleet, key) for key in ("r0", "r1")) == sent


def test_request_larger_than_any_replica_is_refused_at_once() -> None:
    fleet = small_fleet()
    assert (
        fleet.verdict(0, fleet.request_placement(0, tokens=LIMIT + 1)) is PlacementVerdict.TOO_LARGE
    )
    assert fleet.verdict(0, fleet.request_placement(0, tokens=LIMIT)) is PlacementVerdict.SEND


def test_request_without_free_memory_is_queued_until_some_is_free() -> None:
    fleet = small_fleet(replicas=1)
    place_with_tokens(fleet, 0, LIMIT)
    number = fleet.request_placement(1, tokens=500)
    assert fleet.verdict(1, number) is PlacementVerdict.QUEUE
    fleet.nodes[0].online, fleet.nodes[0].tokens = {}, {}
    fleet.report_state(0)
    assert fleet.verdict(1, number) is PlacementVerdict.SEND


def test_long_request_waiting_for_memory_does_not_block_a_shorter_one() -> None:
    fleet = small_fleet(replicas=1)
    place_with_tokens(fleet, 0, 8_000)
    long, short = fleet.request_placement(1, tokens=5_000), fleet.request_placement(2, tokens=3_000)
    assert fleet.verdict(1, long) is fleet.verdict(2, short) is PlacementVerdict.QUEUE
    fleet.nodes[0].online, fleet.nodes[0].tokens = {"r0": 1}, {"r0": 6_000}
    fleet.report_state(0)
    assert fleet.verdict(1, long) is PlacementVerdict.QUEUE
    assert fleet.verdict(2, short) is PlacementVerdict.SEND


def test_request_without_free_memory_is_refused_after_the_longest_wait() -> None:
    fleet = small_fleet(replicas=1)
    place_with_tokens(fleet, 0, LIMIT)
    number = fleet.request_placement(1, tokens=500)
    fleet.now += MAX_QUEUE_WAIT_S
    fleet.report_state(1)
    assert fleet.verdict(1, number) is PlacementVerdict.NO_REPLICA


def test_items_are_preempted_for_the_memory_of_an_online_request() -> None:
    fleet = small_fleet(replicas=1)
    report = fleet.nodes[0].report()
    report.loads = {"r0": NodeLoad(0, 4, 8_000, 8_000)}
    fleet.scheduler.handle_report(report, fleet.now)
    number = fleet.request_placement(1, tokens=5_000)
    assert fleet.verdict(1, number) is PlacementVerdict.SEND
    tracker = fleet.scheduler.load_tracker
    assert tracker.total("r0", fleet.now).batch == 2
    assert tokens_at(fleet, "r0") <= LIMIT


def test_item_is_granted_where_it_fits_and_does_not_block_a_smaller_one() -> None:
    fleet = small_fleet(replicas=2)
    report = fleet.nodes[0].report()
    report.loads = {"r0": NodeLoad(1, 0, 9_000, 0), "r1": NodeLoad(1, 0, 5_000, 0)}
    fleet.scheduler.handle_report(report, fleet.now)
    fleet.nodes[1].waiting = [WaitingGroup(1, 2, tokens=4_000), WaitingGroup(2, 1, tokens=500)]
    waiting_report = fleet.nodes[1].report()
    fleet.scheduler.handle_report(waiting_report, fleet.now)
    grants = fleet.scheduler.pop_decisions()["n1"].grants
    assert grants == {"r1": 1, "r0": 1}


def test_node_starts_no_larger_items_than_granted() -> None:
    fleet = small_fleet(replicas=2)
    report = fleet.nodes[0].report()
    report.loads = {"r0": NodeLoad(1, 0, 9_000, 0), "r1": NodeLoad(1, 0, 1_000, 0)}
    fleet.scheduler.handle_report(report, fleet.now)
    fleet.nodes[1].waiting = [WaitingGroup(1, 2, tokens=4_000), WaitingGroup(2, 1, tokens=500)]
    fleet.scheduler.handle_report(fleet.nodes[1].report(), fleet.now)
    grant_tokens = fleet.scheduler.pop_decisions()["n1"].grant_tokens
    assert grant_tokens == {"r1": 8_000, "r0": 500}
    sizes = [4_000, 3_000, 500]
    # The items due first do not fit into the memory of r0.
    assert pick_items(["", "", ""], 1, {}, sizes, grant_tokens["r0"]) == [2]
    assert pick_items(["", "", ""], 2, {}, sizes, grant_tokens["r1"]) == [0, 1]


def test_new_coordinator_counts_the_memory_use_of_the_previous_one() -> None:
    fleet = small_fleet(replicas=1)
    fleet.scheduler.load_tracker.apply_snapshot({"r0": NodeLoad(2, 0, 9_500, 0)}, fleet.now)
    assert fleet.verdict(0, fleet.request_placement(0, tokens=1_000)) is PlacementVerdict.QUEUE


def test_new_coordinator_can_preempt_items_for_memory() -> None:
    before, after = small_fleet(replicas=1), small_fleet(replicas=1)
    report = before.nodes[0].report()
    report.loads = {"r0": NodeLoad(0, 4, 8_000, 8_000)}
    before.scheduler.handle_report(report, before.now)
    after.scheduler.load_tracker.apply_snapshot(before.scheduler.replica_loads(), after.now)
    assert after.verdict(1, after.request_placement(1, tokens=5_000)) is PlacementVerdict.SEND


@pytest.mark.parametrize("is_ordered", [False, True])
def test_late_request_gets_a_free_slot_while_a_long_one_waits_for_memory(
    is_ordered: bool,
) -> None:
    fleet = small_fleet(replicas=1)
    if is_ordered:
        fleet.scheduler.features.record_reported_slowdown("model")
    place_with_tokens(fleet, 0, 8_000)
    long = fleet.request_placement(1, tokens=5_000, objective_left_ms=-200)
    fleet.now += 0.01
    late = fleet.request_placement(2, tokens=500, objective_left_ms=-100)
    assert fleet.verdict(1, long) is PlacementVerdict.QUEUE
    assert fleet.verdict(2, late) is PlacementVerdict.SEND


@given(st.lists(st.integers(0, 3 * MEMORY), min_size=1, max_size=12))
def test_memory_affects_no_decision_while_the_feature_is_off(sizes: list[int]) -> None:
    with_tokens, without = small_fleet(is_scarce=False), small_fleet(is_scarce=False)
    for size in sizes:
        with_tokens.request_placement(0, tokens=size)
        without.request_placement(0)
    placements = [fleet.nodes[0].placements for fleet in (with_tokens, without)]
    assert placements[0] == placements[1]


def test_node_counts_no_tokens_while_the_feature_is_off() -> None:
    tracker = InFlightTracker()
    work = tracker.begin("r1", True, 700)
    assert tracker.by_replica["r1"].tokens == 0
    counting = InFlightTracker(counts_tokens=True)
    counting.begin("r1", False, 300)
    work = counting.begin("r1", True, 700)
    assert (counting.by_replica["r1"].tokens, counting.by_replica["r1"].batch_tokens) == (1000, 700)
    counting.end(work)
    assert (counting.by_replica["r1"].tokens, counting.by_replica["r1"].batch_tokens) == (300, 0)


def test_items_waiting_for_memory_do_not_change_their_tenants_usage() -> None:
    """Reports arrive many times a second while a large item waits."""
    fleet = small_fleet(replicas=1, tenants=(Tenant("hot", ()), Tenant("small", ())))
    shares = fleet.scheduler.item_shares
    for _ in range(4):
        shares.charge(0, "hot", 2000.0, ["small"])
    before = shares.ahead_ms(0, "hot"), shares.slot_ms.total()
    fleet.nodes[0].online, fleet.nodes[0].tokens = {"r0": 1}, {"r0": 9_000}
    fleet.nodes[0].waiting = [WaitingGroup(1, 2, tenant="hot", remaining_ms=2000, tokens=5_000)]
    for _ in range(3):
        fleet.report_state(0)
    assert fleet.work("r0") == (1, 0)
    assert (shares.ahead_ms(0, "hot"), shares.slot_ms.total()) == before


@pytest.mark.parametrize("tenants", [(), (Tenant("a", ()), Tenant("b", ()))])
def test_late_request_gets_a_free_slot_while_a_larger_one_waits_for_memory(
    tenants: tuple[Tenant, ...],
) -> None:
    fleet = small_fleet(replicas=1, tenants=tenants)
    place_with_tokens(fleet, 0, 8_000)
    large = fleet.request_placement(1, tokens=5_000, tenant="a")
    fleet.now += 0.01
    late = fleet.request_placement(2, tokens=500, tenant="b", deadline_ms=3000, objective_left_ms=1)
    assert fleet.verdict(1, large) is PlacementVerdict.QUEUE
    assert fleet.verdict(2, late) is PlacementVerdict.SEND
