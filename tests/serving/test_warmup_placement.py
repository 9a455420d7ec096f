"""Placement of requests and items while replicas are warming up."""

import os
from random import Random

import attrs
from test_scheduler import SLOTS, Fleet, online_route

from cloverwalk.core.warmup_limit import WarmupBounds
from cloverwalk.fleet.messages import WaitingGroup
from cloverwalk.gateway.configuration import (
    ClientLimits,
    Configuration,
    ConfigurationHolder,
    Service,
)
from cloverwalk.gateway.crash_ledger import CrashLedger
from cloverwalk.gateway.warmups import Warmups
from cloverwalk.gateway.zone_drains import ZoneDrains
from cloverwalk.scheduling.admission import MAX_QUEUE_WAIT_S, PlacementVerdict
from cloverwalk.scheduling.quotas import QuotaBounds
from cloverwalk.scheduling.scheduler import Scheduler
from cloverwalk.scheduling.service_times import ServiceTimes
from cloverwalk.telemetry.log import ServingLog

RATE, BOUNDS = 7.3, WarmupBounds(1.5, 5.0)
TICK_S = 0.05


@attrs.define
class Lease:
    tenure: int = 1
    holds: bool = True

    def may_grant(self, now: float) -> bool:
        return self.holds


class WarmingFleet(Fleet):
    """Even-numbered replicas are in z1, odd-numbered ones in z2."""

    def __init__(self, replicas: int = 2) -> None:
        super().__init__(replicas, zones=2)
        self.directory.replace(self.directory.all(), 2)
        holder = ConfigurationHolder()
        services = {"model": Service("model", SLOTS, 100, warmup_s=5.0, warmup_rate_per_s=RATE)}
        routes = (online_route("chat"), online_route("long", objective_s=2.0))
        holder.update_if_newer(Configuration(1, routes, services, ClientLimits()))
        self.drains = ZoneDrains()
        log = ServingLog("n", lambda: self.now, os.open(os.devnull, os.O_WRONLY))
        warmups = Warmups(self.directory, holder, self.drains, log, lambda: self.now)
        self.scheduler = Scheduler(
            self.directory,
            holder,
            ServiceTimes(),
            QuotaBounds(slack=20.0),
            CrashLedger(),
            Random(1),
            None,
            warmups,
            BOUNDS,
        )
        self.lease = Lease()
        self.scheduler.warmup_tokens.use_lease(self.lease)

    def lift_drain(self, *zones: str) -> None:
        """Lift the drain of zones, so that their replicas warm up."""
        self.drains.update(self.drains.version + 2, zones, self.now)
        self.drains.update(self.drains.version + 1, [], self.now)
        self.scheduler.tick(self.now)

    def tick(self) -> None:
        self.now += TICK_S
        for index in range(len(self.nodes)):
            self.report_state(index)
        self.scheduler.tick(self.now)
        self.apply_decisions()

    def verdict_now(self, node: int, number: int) -> PlacementVerdict:
        return self.nodes[node].placements[number].verdict


# Guards against overloading a zone that returns as a whole, and against leaving it idle.
def test_work_flows_back_to_a_returned_zone_at_the_allowed_rate() -> None:
    fleet = WarmingFleet(replicas=4)
    fleet.lift_drain("z2")
    sent: dict[str, list[float]] = {"r1": [], "r3": []}
    start = fleet.now
    while fleet.now < start + 5.0:
        fleet.nodes[2].online = {"r0": SLOTS, "r2": SLOTS}  # the other zone is full
        for key in sent:
            fleet.nodes[0].online.pop(key, None)
        for _ in range(4):
            number = fleet.request_placement(0, route="long")
            placement = fleet.nodes[0].placements[number]
            if placement.replica_id in sent and placement.verdict is PlacementVerdict.SEND:
                assert placement.has_warmup_token
                sent[placement.replica_id].append(fleet.now)
        fleet.tick()
    for times in sent.values():
        most = max(sum(at <= other < at + 1.0 for other in times) for at in times)
        assert most <= BOUNDS.limit_per_s(RATE)
    assert sum(map(len, sent.values())) >= 0.9 * 2 * RATE * 5.0


# Guards against refusals of requests that could wait briefly for a token.
def test_request_without_a_token_waits_in_the_queue_and_is_placed_by_a_tick() -> None:
    fleet = WarmingFleet()
    fleet.lift_drain("z1", "z2")
    number = fleet.request_placement(0)
    assert fleet.verdict(0, number) is PlacementVerdict.QUEUE
    for _ in range(4):
        fleet.tick()
    placement = fleet.nodes[0].placements[number]
    assert (placement.verdict, placement.has_warmup_token) == (PlacementVerdict.SEND, True)


# Guards against requests that wait for tokens while no coordinator may grant any.
def test_request_is_refused_while_no_token_can_come() -> None:
    fleet = WarmingFleet()
    fleet.lift_drain("z1", "z2")
    fleet.lease.holds = False
    first = fleet.request_placement(0)
    placement = fleet.nodes[0].placements[first]
    assert placement.verdict is PlacementVerdict.RETRY_LATER and placement.retry_after_s > 0
    again = fleet.request_placement(0, deadline_ms=3000)
    assert fleet.verdict(0, again) is PlacementVerdict.QUEUE
    must = fleet.request_placement(0, must_place=True)
    assert fleet.verdict(0, must) is PlacementVerdict.NO_REPLICA


# Guards against a request that stays queued beyond the longest wait.
def test_queued_request_is_refused_after_the_longest_wait() -> None:
    fleet = WarmingFleet()
    fleet.lift_drain("z1", "z2")
    number = fleet.request_placement(0)
    fleet.lease.holds = False
    fleet.now += MAX_QUEUE_WAIT_S
    fleet.scheduler._online.place_queued(fleet.now)
    fleet.apply_decisions()
    assert fleet.verdict(0, number) is PlacementVerdict.NO_REPLICA


# Guards against a warming replica that is preferred because it has no load.
def test_warm_replica_is_preferred_unless_it_is_loaded() -> None:
    fleet = WarmingFleet()
    fleet.lift_drain("z2")
    fleet.now += 1.0
    number = fleet.request_placement(1)
    assert fleet.nodes[1].placements[number].replica_id == "r0"
    fleet.nodes[0].online = {"r0": SLOTS}
    fleet.report_state(0)
    number = fleet.request_placement(1)
    assert fleet.nodes[1].placements[number].replica_id == "r1"


# Guards against items that use up the rate limit of a warming replica.
def test_items_get_no_slot_at_a_warming_replica_and_one_when_it_is_warm() -> None:
    fleet = WarmingFleet()
    fleet.lift_drain("z2")
    fleet.nodes[0].waiting = [WaitingGroup(5, 3 * SLOTS)]
    fleet.tick()
    assert (fleet.work("r0")[1], fleet.work("r1")[1]) == (SLOTS, 0)
    fleet.now += 10.0
    fleet.tick()
    assert fleet.work("r1")[1] == SLOTS


# Guards against needless preemption of items, and against items that block online requests.
def test_items_at_a_replica_that_warms_up_again_are_still_preempted() -> None:
    fleet = WarmingFleet()
    fleet.nodes[0].waiting = [WaitingGroup(5, 2 * SLOTS)]
    fleet.report_state(0)
    fleet.lift_drain("z1", "z2")
    before = fleet.work("r0")[1] + fleet.work("r1")[1]
    fleet.now += 1.0
    number = fleet.request_placement(0)
    assert fleet.verdict(0, number) is PlacementVerdict.SEND
    assert fleet.work("r0")[1] + fleet.work("r1")[1] == before - 1
