"""The coordinator's placement and grant decisions, without sockets."""

from random import Random

import attrs
import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverwalk.fleet.messages import (
    NodeLoad,
    Placement,
    PlacementRequest,
    Report,
    RequestTiming,
    WaitingGroup,
)
from cloverwalk.gateway.configuration import (
    ClientLimits,
    Configuration,
    ConfigurationHolder,
    Route,
    RouteKind,
    RoutePart,
)
from cloverwalk.gateway.crash_ledger import CrashLedger
from cloverwalk.gateway.replicas import Replica, ReplicaDirectory
from cloverwalk.scheduling.admission import MAX_QUEUE_WAIT_S, PlacementVerdict
from cloverwalk.scheduling.online import QUEUED_REQUEST_TTL_S
from cloverwalk.scheduling.quotas import QuotaBounds
from cloverwalk.scheduling.regions import Regions
from cloverwalk.scheduling.replica_load_tracker import DECISION_TIMEOUT_S, ReplicaLoadTracker
from cloverwalk.scheduling.replica_view import MAX_SAMPLED_REPLICAS
from cloverwalk.scheduling.scheduler import Scheduler
from cloverwalk.scheduling.service_times import ServiceTimes
from cloverwalk.tenants.directory import Tenant

SLOTS = 8
POOL = "model"
SHORT_OBJECTIVE_MS = 100
"""Too short for a request that has to wait for a slot."""


def online_route(name: str, priority: int = 0, objective_s: float = 0.3) -> Route:
    parts = (RoutePart("model", 1.0),)
    return Route(
        name, "h", f"/{name}/", RouteKind.STREAM, parts, 5.0, objective_s, 2, priority=priority
    )


@attrs.define
class FakeNode:
    """A node that carries out the scheduler's decisions and reports it."""

    name: str
    zone: str = "z1"
    last_applied_order: int = 0
    sequence: int = 0
    online: dict[str, int] = attrs.Factory(dict)
    batch: dict[str, int] = attrs.Factory(dict)
    tokens: dict[str, int] = attrs.Factory(dict)
    """Memory that its online requests use, where a test counts it."""

    waiting: list[WaitingGroup] = attrs.Factory(list)
    placements: dict[int, Placement] = attrs.Factory(dict)
    suspects: list[str] = attrs.Factory(list)

    def report(
        self,
        placement_requests: list[PlacementRequest] | None = None,
        request_timings: list[RequestTiming] | None = None,
    ) -> Report:
        self.sequence += 1
        replicas = {*self.online, *self.batch}
        loads = {
            key: NodeLoad(self.online.get(key, 0), self.batch.get(key, 0), self.tokens.get(key, 0))
            for key in replicas
        }
        return Report(
            self.name,
            "0a",
            self.zone,
            self.sequence,
            self.last_applied_order,
            1,
            1,
            0,
            1.0,
            loads,
            {POOL: list(self.waiting)} if self.waiting else {},
            list(self.suspects),
            placement_requests or [],
            [],
            request_timings or [],
        )


class Fleet:
    """A scheduler, replicas and nodes; a test sets the time."""

    def __init__(
        self,
        replicas: int = 2,
        nodes: int = 3,
        zones: int = 1,
        tenants: tuple[Tenant, ...] = (),
        region_by_zone: dict[str, str] | None = None,
    ) -> None:
        self.now = 100.0
        self.directory = ReplicaDirectory()
        for number in range(replicas):
            zone = f"z{1 + number % zones}"
            self.directory.put(
                Replica(f"r{number}", "model", "h", number, zone, SLOTS, False, version=1)
            )
        holder = self.configuration = ConfigurationHolder()
        routes = (online_route("chat"), online_route("patient", priority=1))
        holder.update_if_newer(Configuration(1, routes, {}, ClientLimits(), tenants or None))
        self.scheduler = Scheduler(
            self.directory,
            holder,
            ServiceTimes(),
            QuotaBounds(slack=20.0),
            CrashLedger(),
            Random(1),
            regions=Regions(region_by_zone),
        )
        self.nodes = [FakeNode(f"n{number}", f"z{1 + number % zones}") for number in range(nodes)]
        self._last_number = 0

    def request_placement(self, node: int, route: str = "chat", **more: object) -> int:
        """Send a placement request of a node; return its number."""
        self._last_number += 1
        fields: dict[str, object] = {
            "objective_left_ms": 300,
            "deadline_ms": 5000,
            "time_left_ms": 5000,
            **more,
        }
        request = PlacementRequest(self._last_number, route, "model", **fields)  # type: ignore[arg-type]
        self.scheduler.handle_report(self.nodes[node].report([request]), self.now)
        self.apply_decisions()
        return self._last_number

    def report_state(self, node: int) -> None:
        """Send a node's report to the scheduler, and apply the decisions."""
        self.scheduler.handle_report(self.nodes[node].report(), self.now)
        self.apply_decisions()

    def apply_decisions(self) -> None:
        """Have every node carry out its decisions."""
        by_name = {fake_node.name: fake_node for fake_node in self.nodes}
        for name, decided in self.scheduler.pop_decisions().items():
            node = by_name[name]
            node.last_applied_order = decided.number
            for placement in decided.placements:
                node.placements[placement.number] = placement
                if placement.verdict is PlacementVerdict.SEND:
                    key = placement.replica_id
                    node.online[key] = node.online.get(key, 0) + 1
            for key, count in decided.grants.items():
                started = min(count, sum(group.items for group in node.waiting))
                node.batch[key] = node.batch.get(key, 0) + started
                self._start(node, started)
            for key, count in decided.revokes.items():
                node.batch[key] = max(0, node.batch.get(key, 0) - count)
                node.waiting.insert(0, WaitingGroup(1, count, key))

    def _start(self, node: FakeNode, count: int) -> None:
        remaining = []
        for group in node.waiting:
            taken = min(count, group.items)
            count -= taken
            if group.items > taken:
                remaining.append(WaitingGroup(group.sort_key, group.items - taken))
        node.waiting = remaining

    def work(self, replica_id: str) -> tuple[int, int]:
        online = sum(node.online.get(replica_id, 0) for node in self.nodes)
        return online, sum(node.batch.get(replica_id, 0) for node in self.nodes)

    def verdict(self, node: int, number: int) -> PlacementVerdict:
        return self.nodes[node].placements[number].verdict


def test_free_slots_are_granted_to_waiting_items_at_once_and_none_twice() -> None:
    fleet = Fleet(replicas=3)
    fleet.nodes[0].waiting = [WaitingGroup(5, 20)]
    fleet.nodes[1].waiting = [WaitingGroup(4, 20)]
    fleet.report_state(0)
    fleet.report_state(1)
    assert sum(fleet.work(f"r{number}")[1] for number in range(3)) == 3 * SLOTS
    assert max(fleet.work(f"r{number}")[1] for number in range(3)) == SLOTS


def test_items_due_sooner_get_the_next_free_slot_whichever_node_has_them() -> None:
    fleet = Fleet(replicas=1)
    fleet.nodes[0].waiting = [WaitingGroup(9, 20)]
    fleet.report_state(0)
    fleet.nodes[1].waiting = [WaitingGroup(3, 2)]
    fleet.report_state(1)
    assert fleet.nodes[1].batch == {}
    fleet.nodes[0].batch["r0"] -= 3
    fleet.report_state(0)
    assert fleet.nodes[1].batch == {"r0": 2}
    assert fleet.nodes[0].batch == {"r0": 6}


def test_item_returns_to_the_replica_with_its_cached_prompt() -> None:
    fleet = Fleet(replicas=4)
    fleet.nodes[0].waiting = [WaitingGroup(5, 1, "r3")]
    fleet.report_state(0)
    assert fleet.nodes[0].batch == {"r3": 1}


def test_online_requests_use_free_slots_before_items_are_preempted() -> None:
    fleet = Fleet(replicas=2)
    fleet.nodes[0].batch = {"r0": SLOTS, "r1": SLOTS - 2}
    fleet.report_state(0)
    for _ in range(2):
        fleet.request_placement(1)
    assert fleet.work("r1") == (2, SLOTS - 2)
    assert fleet.work("r0") == (0, SLOTS)


@given(st.lists(st.integers(0, 2), min_size=1, max_size=16))
def test_one_item_is_preempted_per_online_request_and_no_more(requesting_nodes: list[int]) -> None:
    fleet = Fleet(replicas=2)
    fleet.nodes[0].batch = {"r0": SLOTS, "r1": 5}
    fleet.nodes[2].batch = {"r1": 3}
    for node in range(3):
        fleet.report_state(node)
    for node in requesting_nodes:
        fleet.request_placement(node)
    for replica in ("r0", "r1"):
        online, batch = fleet.work(replica)
        assert online + batch == SLOTS
    assert fleet.work("r0")[0] + fleet.work("r1")[0] == len(requesting_nodes)


def test_request_beyond_the_slots_is_refused_with_a_retry_time_and_its_retry_is_queued() -> None:
    fleet = Fleet(replicas=1)
    for _ in range(SLOTS):
        fleet.request_placement(0)
    first = fleet.request_placement(1, objective_left_ms=SHORT_OBJECTIVE_MS)
    assert fleet.verdict(1, first) is PlacementVerdict.RETRY_LATER
    assert fleet.nodes[1].placements[first].retry_after_s > 0
    again = fleet.request_placement(1, deadline_ms=3000, objective_left_ms=SHORT_OBJECTIVE_MS)
    assert fleet.verdict(1, again) is PlacementVerdict.QUEUE


def fleet_with_queued_request() -> tuple[Fleet, int]:
    """Return a fleet without a free slot, and the number of a request that is queued for node 1."""
    fleet = Fleet(replicas=1)
    for _ in range(SLOTS):
        fleet.request_placement(0)
    fleet.request_placement(2, objective_left_ms=SHORT_OBJECTIVE_MS)
    return fleet, fleet.request_placement(1, deadline_ms=3000, objective_left_ms=SHORT_OBJECTIVE_MS)


def test_queued_request_gets_the_next_slot_before_any_item() -> None:
    fleet, number = fleet_with_queued_request()
    fleet.nodes[2].waiting = [WaitingGroup(1, 4)]
    fleet.report_state(2)
    fleet.nodes[0].online["r0"] -= 1
    fleet.report_state(0)
    assert fleet.verdict(1, number) is PlacementVerdict.SEND
    assert fleet.nodes[2].batch == {}


def test_queued_requests_are_placed_by_rank_then_age() -> None:
    fleet, first = fleet_with_queued_request()
    fleet.request_placement(2, route="patient", objective_left_ms=SHORT_OBJECTIVE_MS)
    second = fleet.request_placement(
        1, route="patient", deadline_ms=3000, objective_left_ms=SHORT_OBJECTIVE_MS
    )
    third = fleet.request_placement(2, deadline_ms=3000, objective_left_ms=SHORT_OBJECTIVE_MS)
    for expected in ((1, first), (2, third), (1, second)):
        fleet.nodes[0].online["r0"] -= 1
        fleet.report_state(0)
        placed = [
            (node, number)
            for node in range(3)
            for number, placement in fleet.nodes[node].placements.items()
            if placement.verdict is PlacementVerdict.SEND and number >= first
        ]
        assert expected in placed


def test_request_is_sent_after_the_longest_wait_whatever_the_load() -> None:
    fleet, number = fleet_with_queued_request()
    fleet.now += MAX_QUEUE_WAIT_S
    request = PlacementRequest(number, "chat", "model", deadline_ms=3000, time_left_ms=1500)
    fleet.scheduler.handle_report(fleet.nodes[1].report([request]), fleet.now)
    fleet.apply_decisions()
    assert fleet.verdict(1, number) is PlacementVerdict.SEND


def test_queued_request_that_its_node_no_longer_repeats_gets_no_slot() -> None:
    fleet, number = fleet_with_queued_request()
    fleet.now += QUEUED_REQUEST_TTL_S + 0.1
    fleet.scheduler.tick(fleet.now)
    fleet.nodes[0].online["r0"] -= 1
    fleet.report_state(0)
    assert fleet.verdict(1, number) is PlacementVerdict.QUEUE
    assert fleet.work("r0") == (SLOTS - 1, 0)


def test_withdrawn_request_gets_no_slot() -> None:
    fleet, number = fleet_with_queued_request()
    report = fleet.nodes[1].report()
    report.withdrawn = [number]
    fleet.scheduler.handle_report(report, fleet.now)
    fleet.nodes[0].online["r0"] -= 1
    fleet.report_state(0)
    assert fleet.verdict(1, number) is PlacementVerdict.QUEUE


def test_slots_of_a_removed_node_are_granted_again() -> None:
    fleet = Fleet(replicas=1)
    for _ in range(SLOTS):
        fleet.request_placement(0)
    fleet.nodes[1].waiting = [WaitingGroup(1, 3)]
    fleet.report_state(1)
    assert fleet.nodes[1].batch == {}
    fleet.nodes[0].online = {}
    fleet.scheduler.remove_node("n0", fleet.now + 5.0)
    fleet.apply_decisions()
    assert fleet.nodes[1].batch == {"r0": 3}


@pytest.mark.parametrize(("prefill_ms", "min_reserved", "max_reserved"), [(24, 6, 12), (5, 1, 4)])
def test_slots_are_reserved_while_online_requests_arrive_fast(
    prefill_ms: int, min_reserved: int, max_reserved: int
) -> None:
    fleet = Fleet(replicas=2, nodes=2)
    for _ in range(40):
        fleet.now += 0.02
        number = fleet.request_placement(0)
        replica = fleet.nodes[0].placements[number].replica_id
        fleet.nodes[0].online[replica] -= 1
        fleet.report_state(0)
    fleet.nodes[1].waiting = [WaitingGroup(1, 30, prefill_ms=prefill_ms)]
    fleet.report_state(1)
    granted = sum(fleet.work(key)[1] for key in ("r0", "r1"))
    assert 2 * SLOTS - max_reserved <= granted <= 2 * SLOTS - min_reserved
    fleet.now += 5.0
    fleet.report_state(1)
    assert sum(fleet.work(key)[1] for key in ("r0", "r1")) == 2 * SLOTS


def test_long_prompt_counts_until_it_is_prefilled() -> None:
    fleet = Fleet(replicas=2)
    long = fleet.request_placement(0, own_tokens=50_000)
    busy = fleet.nodes[0].placements[long].replica_id
    free = {"r0": "r1", "r1": "r0"}[busy]
    assert [fleet.nodes[1].placements[fleet.request_placement(1)].replica_id for _ in range(3)] == [
        free
    ] * 3
    fleet.now += 1.1
    replicas = {fleet.nodes[1].placements[fleet.request_placement(1)].replica_id for _ in range(3)}
    assert busy in replicas


def test_replica_that_failed_at_one_node_is_avoided_for_all_nodes() -> None:
    fleet = Fleet(replicas=2)
    fleet.nodes[0].suspects = ["r0"]
    fleet.report_state(0)
    numbers = [fleet.request_placement(1) for _ in range(4)]
    assert {fleet.nodes[1].placements[number].replica_id for number in numbers} == {"r1"}
    fleet.nodes[2].waiting = [WaitingGroup(1, 30)]
    fleet.report_state(2)
    assert "r0" not in fleet.nodes[2].batch
    fleet.nodes[0].suspects = []
    timing = RequestTiming("chat", "r0", 50, 300, 0)
    fleet.scheduler.handle_report(fleet.nodes[0].report(request_timings=[timing]), fleet.now)
    fleet.apply_decisions()
    # Some slots are reserved for requests like the earlier ones.
    assert fleet.nodes[2].batch["r0"] >= SLOTS - 2


def test_request_without_a_usable_replica_is_refused() -> None:
    fleet = Fleet(replicas=0)
    assert fleet.verdict(0, fleet.request_placement(0)) is PlacementVerdict.NO_REPLICA


# --- load tracker ---


@st.composite
def histories(draw: st.DrawFn) -> list[tuple[str, int]]:
    return draw(st.lists(st.tuples(st.sampled_from(["n1", "n2"]), st.integers(-2, 3)), max_size=20))


@given(histories(), st.booleans())
def test_confirmed_decisions_are_counted_once(
    history: list[tuple[str, int]], are_orders_lost: bool
) -> None:
    """The sums are those of the nodes once they have reported, whether or not orders arrive."""
    tracker = ReplicaLoadTracker()
    actual_items = {"n1": 4, "n2": 4}
    for number, (node, batch) in enumerate(history, 1):
        tracker.expect(node, number, "r", batch=batch, now=0.0)
        if not are_orders_lost:
            actual_items[node] += batch
        tracker.record_report(
            node, {"r": NodeLoad(0, actual_items[node])}, last_applied_order=number
        )
    for node, items in actual_items.items():
        tracker.record_report(node, {"r": NodeLoad(0, items)}, last_applied_order=len(history))
    assert tracker.total("r", 0.1).batch == sum(actual_items.values())


def test_lost_decision_is_removed_after_the_timeout() -> None:
    tracker = ReplicaLoadTracker()
    tracker.expect("n1", 1, "r", online=1, now=10.0)
    tracker.expire(10.0 + DECISION_TIMEOUT_S + 0.1)
    assert tracker.total("r", 10.7).total == 0


def test_sums_of_another_coordinator_count_until_the_nodes_have_reported() -> None:
    tracker = ReplicaLoadTracker()
    tracker.apply_snapshot({"r": NodeLoad(5, 2)}, now=10.0)
    tracker.record_report("n1", {"r": NodeLoad(1, 0)}, last_applied_order=0)
    assert (tracker.total("r", 10.5).online, tracker.total("r", 10.5).batch) == (5, 2)
    assert tracker.total("r", 12.0).online == 1


def test_node_that_decides_by_itself_adds_its_work_to_the_snapshot() -> None:
    tracker = ReplicaLoadTracker()
    tracker.record_report("n1", {"r": NodeLoad(1, 0)}, last_applied_order=0)
    tracker.apply_snapshot({"r": NodeLoad(5, 2)}, now=10.0, is_complete=False)
    tracker.expect("n1", 1, "r", online=1, now=10.1)
    assert tracker.total("r", 10.2).online == 6


def test_decision_reads_only_a_sample_of_many_replicas(monkeypatch: pytest.MonkeyPatch) -> None:
    fleet = Fleet(replicas=3000)
    reads = 0
    total = ReplicaLoadTracker.total

    def counting(tracker: ReplicaLoadTracker, replica_id: str, now: float) -> object:
        nonlocal reads
        reads += 1
        return total(tracker, replica_id, now)

    monkeypatch.setattr(ReplicaLoadTracker, "total", counting)
    fleet.request_placement(0)
    fleet.nodes[1].waiting = [WaitingGroup(1, 5, prefill_ms=5)]
    fleet.report_state(1)
    assert reads <= 3 * (MAX_SAMPLED_REPLICAS + 5)


def test_free_slots_of_many_replicas_are_all_granted() -> None:
    replicas = 4 * MAX_SAMPLED_REPLICAS
    fleet = Fleet(replicas=replicas)
    fleet.nodes[0].waiting = [WaitingGroup(1, replicas * SLOTS)]
    for _ in range(60):
        fleet.now += 0.05
        fleet.nodes[0].waiting = [
            WaitingGroup(1, replicas * SLOTS - sum(fleet.nodes[0].batch.values()) + 1)
        ]
        fleet.report_state(0)
    assert sum(fleet.nodes[0].batch.values()) >= 0.99 * replicas * SLOTS


def test_requests_find_free_slots_among_many_busy_replicas() -> None:
    replicas = 4 * MAX_SAMPLED_REPLICAS
    fleet = Fleet(replicas=replicas)
    fleet.nodes[1].online = {f"r{number}": SLOTS for number in range(0, replicas, 2)}
    fleet.report_state(1)
    numbers = [fleet.request_placement(0) for _ in range(50)]
    chosen = [fleet.nodes[0].placements[number].replica_id for number in numbers]
    assert all(int(replica_id[1:]) % 2 == 1 for replica_id in chosen)
    assert len(set(chosen)) > 45


def set_software_versions(fleet: Fleet, versions: list[str]) -> None:
    for number, version in enumerate(versions):
        entry = fleet.directory.find(f"r{number}")
        assert entry is not None
        fleet.directory.put(msgspec.structs.replace(entry, version=2, software_version=version))


def resume(fleet: Fleet, node: int, version: str, **more: object) -> int:
    needed = {"is_resumption": True, "software_version": version}
    return fleet.request_placement(node, "chat", **needed, **more)


# Guards against a resumption that is refused with a time to retry after because of the load.
def test_resumption_waits_for_a_replica_of_its_version_under_overload() -> None:
    fleet = Fleet(replicas=2)
    set_software_versions(fleet, ["v1", "v2"])
    for _ in range(2 * SLOTS):
        fleet.request_placement(0)
    number = resume(fleet, 1, "v1", objective_left_ms=SHORT_OBJECTIVE_MS)
    assert fleet.verdict(1, number) is PlacementVerdict.QUEUE
    fleet.nodes[0].online["r1"] -= 1
    fleet.report_state(0)
    assert fleet.verdict(1, number) is PlacementVerdict.QUEUE
    fleet.nodes[0].online["r0"] -= 1
    fleet.report_state(0)
    placement = fleet.nodes[1].placements[number]
    assert (placement.verdict, placement.replica_id) == (PlacementVerdict.SEND, "r0")


# Guards against requests that wait behind a resumption whose version has no free slot.
def test_queued_resumption_does_not_block_other_requests() -> None:
    fleet = Fleet(replicas=2)
    set_software_versions(fleet, ["v1", "v2"])
    for _ in range(2 * SLOTS):
        fleet.request_placement(0)
    resume(fleet, 1, "v1", objective_left_ms=SHORT_OBJECTIVE_MS)
    other = fleet.request_placement(2, deadline_ms=3000, objective_left_ms=SHORT_OBJECTIVE_MS)
    fleet.nodes[0].online["r1"] -= 1
    fleet.report_state(0)
    assert fleet.verdict(2, other) is PlacementVerdict.SEND


# Guards against a resumption that waits until its deadline for a version that is gone or full.
@pytest.mark.parametrize("versions", [["v2", "v2"], ["v1", "v2"]])
def test_hopeless_resumption_is_refused_at_once(versions: list[str]) -> None:
    fleet = Fleet(replicas=2)
    set_software_versions(fleet, versions)
    for _ in range(10 * SLOTS):
        fleet.request_placement(0, must_place=True)
    number = resume(fleet, 1, "v1", time_left_ms=1)
    placement = fleet.nodes[1].placements[number]
    assert placement.verdict in (PlacementVerdict.NO_REPLICA, PlacementVerdict.RETRY_LATER)
    assert placement.retry_after_s == 0


# Guards against the end of a stream whose route was moved to another service while it was served.
def test_stream_of_a_moved_route_goes_on_at_its_service() -> None:
    fleet = Fleet(replicas=2)
    set_software_versions(fleet, ["v1", "v2"])
    moved = msgspec.structs.replace(online_route("chat"), parts=(RoutePart("other", 1.0),))
    fleet.configuration.update_if_newer(Configuration(2, (moved,), {}, ClientLimits()))
    number = resume(fleet, 1, "v1")
    assert fleet.nodes[1].placements[number].replica_id == "r0"


# Guards against slots of another version for items with output.
def test_items_with_output_get_slots_of_their_version_only() -> None:
    fleet = Fleet(replicas=2)
    set_software_versions(fleet, ["v1", "v2"])
    pinned = WaitingGroup(1, 2 * SLOTS, service="model", software_version="v2")
    fleet.nodes[0].waiting = [pinned, WaitingGroup(2, 3)]
    fleet.report_state(0)
    assert fleet.nodes[0].batch == {"r0": 3, "r1": SLOTS}
