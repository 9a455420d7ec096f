"""Placement prefers replicas in the region of the requesting node."""

import pytest
from test_scheduler import SLOTS, Fleet

from cloverwalk.fleet.messages import WaitingGroup

REGION_BY_ZONE = {"z1": "near", "z2": "far"}


def placed_replica(fleet: Fleet, number: int) -> str:
    return fleet.nodes[0].placements[number].replica_id


# Guards against requests that cross between regions for a slightly less loaded replica.
def test_request_stays_in_region_while_it_has_a_free_slot() -> None:
    fleet = Fleet(replicas=2, zones=2, region_by_zone=REGION_BY_ZONE)
    chosen = {placed_replica(fleet, fleet.request_placement(0)) for _ in range(SLOTS // 2 + 1)}
    assert chosen == {"r0"}


# Guards against requests that leave their region while it has a free slot.
def test_request_leaves_region_only_when_all_its_slots_are_taken() -> None:
    fleet = Fleet(replicas=2, zones=2, region_by_zone=REGION_BY_ZONE)
    chosen = [placed_replica(fleet, fleet.request_placement(0)) for _ in range(SLOTS + 1)]
    assert chosen == ["r0"] * SLOTS + ["r1"]


# Guards against requests that queue in a full region while another region is idle.
def test_request_leaves_full_region() -> None:
    fleet = Fleet(replicas=2, zones=2, region_by_zone=REGION_BY_ZONE)
    chosen = [placed_replica(fleet, fleet.request_placement(0)) for _ in range(SLOTS + 2)]
    assert chosen[0] == "r0" and chosen[-1] == "r1"


# Guards against items that leave their region while a replica in it has a free slot.
def test_items_start_in_their_region_first() -> None:
    fleet = Fleet(replicas=6, zones=3, region_by_zone={"z1": "near", "z2": "far", "z3": "near"})
    fleet.nodes[0].online = {"r0": SLOTS, "r3": SLOTS, "r2": 4, "r5": 4}
    fleet.nodes[0].waiting = [WaitingGroup(1, 2)]
    fleet.report_state(0)
    assert set(fleet.nodes[0].batch) <= {"r2", "r5"} and fleet.nodes[0].batch


# Guards against items that leave their region only to keep its fast replicas free.
@pytest.mark.parametrize(("near", "far", "expected"), [(0.5, 1.0, "r0"), (9.0, 1.0, "r1")])
def test_items_leave_their_region_for_pace_only_if_late(
    near: float, far: float, expected: str
) -> None:
    fleet = Fleet(replicas=2, zones=2, region_by_zone=REGION_BY_ZONE)
    batch = fleet.scheduler._batch
    batch._replicas.current_slowdowns = {"r0": near, "r1": far}
    zones, free_slots = {"r0": "z1", "r1": "z2"}, {"r0": 1, "r1": 1}
    chosen = batch._choose_by_slowdown("", "z1", 5.0, set(zones), free_slots, zones)
    assert chosen == expected


# Guards against a changed choice where the settings name one region or none.
def test_zones_of_one_region_are_chosen_as_without_regions() -> None:
    fleets = [
        Fleet(replicas=4, zones=2, region_by_zone=regions)
        for regions in (None, {"z1": "near", "z2": "near"})
    ]
    chosen = [
        [placed_replica(fleet, fleet.request_placement(0)) for _ in range(20)] for fleet in fleets
    ]
    assert chosen[0] == chosen[1]
