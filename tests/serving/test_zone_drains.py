"""Replicas in zones that the operator drains get no new work, on any path."""

import os
from collections.abc import Callable
from typing import Any

import curio
import pytest
from coordination_world import CoordinationWorld
from fleet_world import FleetWorld, configuration, in_world
from hypothesis import given
from hypothesis import strategies as st
from job_world import ManualClock
from returning_world import (
    NO_ANSWER,
    RESET,
    ReturningNode,
    ReturningWorld,
    SimulatedTime,
    in_simulated_time,
)
from test_scheduler import SLOTS, Fleet

from cloverwalk.core import catalogue
from cloverwalk.emulator.replica_runs import Misdeed
from cloverwalk.fleet.messages import PlacementRequest, WaitingGroup, ZoneDrainCopy
from cloverwalk.gateway.configuration import ConfigurationHolder
from cloverwalk.gateway.replicas import Replica
from cloverwalk.gateway.zone_drains import ZoneDrains
from cloverwalk.platform import names
from cloverwalk.platform.adapter import PlatformAdapter
from cloverwalk.scheduling.admission import PlacementVerdict
from cloverwalk.scheduling.features import Feature, Features
from cloverwalk.serving.fleet_state import FleetState
from cloverwalk.serving.settings import ServingSettings
from cloverwalk.serving.stored_zone_drains import (
    MAX_DRAINED_ZONES,
    MAX_ZONE_BYTES,
    StoredZoneDrains,
)
from cloverwalk.serving.zone_drain_monitor import ZoneDrainMonitor
from cloverwalk.store.types import Put, Row, RowKey, RowPage, Transaction
from cloverwalk.telemetry.log import ServingLog
from cloverwalk.telemetry.metrics import ServingMetrics
from cloverwalk.telemetry.startup import StartupLog

APPLY_S = 5.0
PREFIX = names.ZONE_DRAIN_KEY_PREFIX


class NodeState:
    """The fleet state of a node with its monitor, to which tests apply rows of the store."""

    def __init__(self, zones: tuple[str, ...] = ("z1", "z2", "z3")) -> None:
        self.clock = ManualClock(step_s=0.0)
        log = ServingLog("n1", self.clock, os.open(os.devnull, os.O_WRONLY))
        self.lines: list[tuple[int, dict[str, Any]]] = []
        log.write = lambda number, **fields: self.lines.append((number, fields))  # type: ignore[method-assign]
        startup = StartupLog(log, self.clock, 0.0)
        self.state = FleetState(PlatformAdapter(), log, self.clock, startup)
        for number, zone in enumerate(("z1", "z2", "z3", "z9")):
            replica = Replica(f"r{number}", "s", "h", number, zone, 8, False, version=1)
            self.state.directory.put(replica)
        settings = _settings(zones)
        self.state.stored_zone_drains.known_zones = frozenset(settings.region_by_zone)
        self.features = Features(ConfigurationHolder())
        self.monitor = ZoneDrainMonitor(
            self.state.zone_drains, self.features, settings, log, self.clock
        )

    def read(self, version: int, **rows: bytes | None) -> None:
        """Apply a full read of rows that drain zones."""
        curio.run(self.state.on_all_configuration, _page(version, rows))

    def change(self, version: int, **rows: bytes | None) -> None:
        """Apply changed rows; None stands for a removed row."""
        curio.run(self.state.on_configuration, _page(version, rows))

    @property
    def zones(self) -> tuple[str, ...]:
        return self.state.zone_drains.zones

    def usable(self) -> list[str]:
        return [replica.replica_id for replica in self.state.directory.usable("s")]

    def logged(self, event: int) -> list[dict[str, Any]]:
        return [fields for number, fields in self.lines if number == event]


def _settings(zones: tuple[str, ...]) -> ServingSettings:
    address = ("h", 1)
    return ServingSettings(
        "n1",
        "z1",
        address,
        address,
        address,
        None,
        (),
        "store:1",
        8.0,
        4000,
        120.0,
        zone_drain_apply_s=APPLY_S,
        region_by_zone=dict.fromkeys(zones, "r"),
    )


def _page(version: int, rows: dict[str, bytes | None]) -> RowPage:
    return RowPage(
        [Row(RowKey("op", "", PREFIX + zone), value, version) for zone, value in rows.items()],
        version,
        None,
    )


# --- reading the rows ---


# Guards against a list that changes with a drain and so is sent to all nodes again.
def test_drained_zones_are_skipped_but_stay_listed_with_the_same_fingerprint() -> None:
    node = NodeState()
    fingerprint = node.state.directory.fingerprint
    node.read(5, z1=b"{}", z2=b"{}")
    assert node.usable() == ["r2", "r3"] and node.state.directory.find("r0") is None
    assert node.state.directory.count == 4 and node.state.directory.fingerprint == fingerprint
    assert node.features.is_on(Feature.ZONE_DRAINS)
    node.change(6, z2=None)
    assert node.usable() == ["r1", "r2", "r3"]
    assert [fields["zone"] for fields in node.logged(catalogue.ZONE_DRAIN_LIFTED)] == ["z2"]


# Guards against drains that stay after lost history, in which their rows were removed.
def test_a_full_read_lifts_the_drains_whose_rows_are_gone() -> None:
    node = NodeState()
    node.read(5, z1=b"{}", z2=b"{}")
    node.read(9, z2=b"{}")
    assert node.zones == ("z2",)


# Guards against work in a zone whose row has an invalid value.
@pytest.mark.parametrize("value", [b"", b"\xff\xfe", b"null", b"[1", b'{"until": "soon"}'])
def test_a_row_drains_its_zone_whatever_its_value(value: bytes) -> None:
    node = NodeState()
    node.change(5, z1=value)
    assert node.zones == ("z1",)


# Guards against a drain of replicas without a zone, and against overlong datagrams.
@pytest.mark.parametrize("zone", ["", "z" * (MAX_ZONE_BYTES + 1), "\u00e9" * MAX_ZONE_BYTES])
def test_a_row_with_an_invalid_zone_is_logged_and_drains_nothing(zone: str) -> None:
    node = NodeState()
    node.change(5, **{zone: b"{}", "z2": b"{}"})
    assert node.zones == ("z2",)
    assert len(node.logged(catalogue.ZONE_DRAIN_UNKNOWN_ZONE)) == 1


# Guards against work in a drained zone that was added after this node's settings were written.
def test_a_zone_that_the_settings_do_not_name_is_logged_and_still_drained() -> None:
    node = NodeState()
    node.change(5, z9=b"{}")
    assert [fields["zone"] for fields in node.logged(catalogue.ZONE_DRAIN_UNKNOWN_ZONE)] == ["z9"]
    assert node.usable() == ["r0", "r1", "r2"]


# Guards against a state that doesn't fit into a datagram, and against dropping known zones.
def test_too_many_rows_do_not_crowd_out_the_zones_of_the_deployment() -> None:
    node = NodeState()
    rows = {f"a{number}": b"{}" for number in range(2 * MAX_DRAINED_ZONES)}
    node.read(5, **rows, z1=b"{}")
    assert "z1" in node.zones and len(node.zones) == MAX_DRAINED_ZONES


# Guards against a drain that is lost if an invalid configuration is in the same page.
def test_an_invalid_configuration_does_not_stop_a_drain() -> None:
    node = NodeState()
    page = _page(5, {"z1": b"{}"})
    page.rows.insert(0, Row(RowKey("op", "", names.CONFIGURATION_KEY), b"{", 5))
    curio.run(node.state.on_all_configuration, page)
    node.state.on_configuration_confirmed(node.clock())
    assert node.zones == ("z1",) and node.logged(catalogue.CONFIGURATION_INVALID)
    assert node.state.zone_drains.age_ms(node.clock()) == 0


# Guards against a node that serves before it knows the drained zones.
def test_a_node_is_complete_only_once_it_knows_the_drains() -> None:
    node = NodeState()
    node.state.configuration.current = object()  # type: ignore[assignment]
    assert not node.state.is_complete
    node.state.zone_drains.apply_copy(ZoneDrainCopy(5, (), 0), node.clock(), "h2")
    assert node.state.is_complete


# Guards against an older page from the store that overwrites a newer copy from another node.
def test_an_older_page_does_not_undo_a_newer_copy() -> None:
    node = NodeState()
    node.read(5)
    node.state.zone_drains.apply_copy(ZoneDrainCopy(9, ("z1",), 0), node.clock(), "h2")
    node.change(7, z2=b"{}")
    node.state.on_configuration_confirmed(node.clock())
    assert node.zones == ("z1",), "the page is older than the copy"
    assert [fields["host"] for fields in node.logged(catalogue.ZONE_DRAINED)] == ["h2"]
    node.change(10, z1=b"{}")
    assert node.usable() == ["r2", "r3"]


# Guards against an outdated node that the operator can't see, and against repeated log lines.
def test_unconfirmed_drains_are_logged_once_per_spell_and_kept() -> None:
    node = NodeState()
    node.read(5, z1=b"{}")
    node.state.on_configuration_confirmed(node.clock())
    for _ in range(3):
        node.clock.now += 0.7 * APPLY_S
        node.monitor.check()
    assert len(node.logged(catalogue.ZONE_DRAINS_UNCONFIRMED)) == 1 and node.zones == ("z1",)
    node.state.on_configuration_confirmed(node.clock())
    node.monitor.check()
    node.clock.now += 2 * APPLY_S
    node.monitor.check()
    assert len(node.logged(catalogue.ZONE_DRAINS_UNCONFIRMED)) == 2
    metrics = ServingMetrics()
    node.monitor.update_metrics(metrics)
    text = metrics.render()
    assert b"cloverwalk_zones_drained 1.0" in text
    assert b'cloverwalk_zone_drain_changes_total{change="drained"} 1.0' in text


ZONE_SETS = st.lists(st.sets(st.sampled_from(["z1", "z2", "z3"])), min_size=1, max_size=8)
STEPS = st.lists(
    st.tuples(st.sampled_from(["read", "copy", "restart"]), st.integers(0, 3), st.integers(0, 7)),
    max_size=40,
)


# Guards against an older state that replaces a newer one.
@given(ZONE_SETS, STEPS)
def test_the_newest_state_wins_in_any_order_of_reads_and_copies(
    history: list[set[str]], steps: list[tuple[str, int, int]]
) -> None:
    nodes = [ZoneDrains() for _ in range(4)]
    for now, (kind, number, argument) in enumerate(steps):
        node, known = nodes[number], nodes[number].version
        if kind == "restart":
            nodes[number] = ZoneDrains()
            continue
        if kind == "read":
            version = argument % len(history)
            node.update(version, history[version], now)
        else:
            node.apply_copy(nodes[argument % 4].copy(now), now, "h")
        assert node.version >= known
        assert set(node.zones) == (history[node.version] if node.is_known else set())
    newest = max(node.version for node in nodes)
    for node in nodes:
        for other in nodes:
            node.apply_copy(other.copy(100), 100, "h")
        assert node.version == newest


# --- the coordinator's decisions ---


def _drain(fleet: Fleet, *zones: str) -> None:
    fleet.directory.drain_zones(zones)
    fleet.scheduler.features.record_drained_zones(zones)


# Guards against requests that wait for slots of a drained zone until their deadline.
def test_queued_requests_go_elsewhere_or_are_refused_when_their_zone_is_drained() -> None:
    fleet = Fleet(replicas=1, nodes=1)
    numbers = [fleet.request_placement(0, "chat", must_place=False) for _ in range(SLOTS)]
    fleet.nodes[0].online = {"r0": SLOTS}
    queued = [fleet.request_placement(0, objective_left_ms=1, time_left_ms=900) for _ in range(3)]
    placements = fleet.nodes[0].placements
    assert all(placements[number].verdict is PlacementVerdict.SEND for number in numbers)
    assert all(placements[number].verdict is PlacementVerdict.QUEUE for number in queued)
    _drain(fleet, "z1")
    fleet.scheduler.tick(fleet.now)
    fleet.apply_decisions()
    assert all(placements[number].verdict is PlacementVerdict.NO_REPLICA for number in queued)


# Guards against a refusal that is delayed by an earlier request for another service.
def test_queued_requests_are_refused_though_others_wait_before_them() -> None:
    fleet = Fleet(replicas=1, nodes=1)
    fleet.directory.put(Replica("o0", "other", "h", 9, "z2", SLOTS, False, version=1))
    fleet.nodes[0].online = {"r0": SLOTS, "o0": SLOTS}
    times: dict[str, Any] = {"objective_left_ms": 1, "deadline_ms": 5000, "time_left_ms": 900}
    other = PlacementRequest(900, "chat", "other", **times)
    fleet.scheduler.handle_report(fleet.nodes[0].report([other]), fleet.now)
    fleet.now += 0.01
    queued = fleet.request_placement(0, **times)
    _drain(fleet, "z1")
    fleet.scheduler.tick(fleet.now)
    fleet.apply_decisions()
    placements = fleet.nodes[0].placements
    assert placements[900].verdict is PlacementVerdict.QUEUE
    assert placements[queued].verdict is PlacementVerdict.NO_REPLICA


# Guards against queued requests that wait though another zone has free slots.
def test_queued_requests_are_placed_in_the_zones_that_remain() -> None:
    fleet = Fleet(replicas=2, nodes=1, zones=2)
    fleet.nodes[0].online = {"r0": SLOTS, "r1": SLOTS}
    fleet.report_state(0)
    queued = fleet.request_placement(0, objective_left_ms=1, time_left_ms=900)
    assert fleet.nodes[0].placements[queued].verdict is PlacementVerdict.QUEUE
    _drain(fleet, "z1")
    fleet.nodes[0].online = {"r0": SLOTS - 1, "r1": SLOTS - 1}
    fleet.report_state(0)
    assert fleet.nodes[0].placements[queued].replica_id == "r1"


# Guards against slots of a drained zone that still count and so overload the other zones.
def test_decisions_are_those_of_a_fleet_without_the_drained_replicas() -> None:
    drained, removed = Fleet(replicas=6, zones=3), Fleet(replicas=6, zones=3)
    _drain(drained, "z1")
    for replica_id in ("r0", "r3"):
        removed.directory.remove(replica_id, 9)
    for fleet in (drained, removed):
        fleet.nodes[1].waiting = [WaitingGroup(1, 10 * SLOTS)]
        fleet.report_state(1)
        for number in range(12 * SLOTS):
            fleet.request_placement(number % 3)
        fleet.scheduler.tick(fleet.now)
        fleet.apply_decisions()
    assert drained.nodes == removed.nodes
    verdicts = {placed.verdict for node in drained.nodes for placed in node.placements.values()}
    assert PlacementVerdict.SEND in verdicts and len(verdicts) > 1


# Guards against grants of slots in a drained zone, which nodes return unused.
def test_items_get_no_slots_of_a_drained_zone() -> None:
    fleet = Fleet(replicas=2, nodes=1, zones=2)
    _drain(fleet, "z1")
    fleet.nodes[0].waiting = [WaitingGroup(1, 4 * SLOTS)]
    fleet.report_state(0)
    assert set(fleet.nodes[0].batch) == {"r1"}


# --- distribution in the fleet ---


# Guards against nodes refused by the store that learn of a drain only after their next report.
def test_the_coordinator_sends_a_drain_to_all_nodes_in_the_tick_after_it_learned_of_it() -> None:
    async def main() -> None:
        world = CoordinationWorld(5)
        await world.start()
        source = next(node for node in world.nodes if not node.coordinator.is_active)
        source.zone_drains.update(50, ["z1"], world.now)
        await source.client._report()
        await world.deliver()
        await world.coordinator.coordinator.tick()
        await world.deliver()
        assert all(node.zone_drains.zones == ("z1",) for node in world.nodes)
        assert all(not node.directory.usable("model") for node in world.nodes)

    curio.run(main)


# Guards against a drain that is lost with the coordinator.
def test_a_drain_outlives_the_coordinator_and_reaches_a_node_that_starts_afterwards() -> None:
    async def main() -> None:
        world = CoordinationWorld(5)
        await world.start()
        world.coordinator.zone_drains.update(50, ["z1", "z2"], world.now)
        await world.run(1.0)
        world.kill(world.coordinator)
        await world.run(15.0)
        started = world.replace(next(n for n in world.nodes if n is not world.coordinator))
        world.load_replicas(started)
        await started.election._start()
        await world.run(3.0)
        assert all(node.zone_drains.zones == ("z1", "z2") for node in world.nodes)

    curio.run(main)


# Guards against an isolated node that drops its drains, or misses the newest when it reconnects.
def test_drains_that_came_and_went_while_a_node_was_cut_off() -> None:
    async def main() -> None:
        world = CoordinationWorld(5)
        await world.start()
        cut = next(node for node in world.nodes if not node.coordinator.is_active)
        served = world.coordinator
        served.zone_drains.update(50, ["z1"], world.now)
        await world.run(2.0)
        world.wire.cut_hosts.add(cut.host)
        served.zone_drains.update(60, ["z1", "z2"], world.now)
        await world.run(2.0)
        served.zone_drains.update(70, ["z3"], world.now)
        await world.run(4.0)
        assert cut.zone_drains.zones == ("z1",)
        world.wire.cut_hosts.clear()
        await world.run(5.0)
        assert cut.zone_drains.zones == ("z3",)

    curio.run(main)


async def _change_rows(world: ReturningWorld, drain: str = "", lift: str = "") -> None:
    keys = [RowKey(names.OPERATOR_TABLE, "", PREFIX + zone) for zone in (drain, lift)]
    puts = [Put(keys[0], b"{}")] if drain else []
    await world.store.commit(Transaction(puts=puts, removals=[keys[1]] if lift else []))


def _obeys_drains(*zones: str) -> Callable[[ReturningNode], bool]:
    def check(node: ReturningNode) -> bool:
        state = node.fleet_state
        usable = state.directory.usable("model")
        has_no_drained_replica = not any(replica.zone in zones for replica in usable)
        return state.zone_drains.zones == zones and has_no_drained_replica

    return check


# Guards against nodes refused by the store that apply a drain too late.
@pytest.mark.parametrize("refusal", [503, RESET, NO_ANSWER])
def test_nodes_that_the_store_refuses_obey_also_while_the_coordinator_is_refused(
    refusal: int,
) -> None:
    async def test(time: SimulatedTime) -> None:
        world = ReturningWorld(time, 9, 30, 6000.0, 1200.0)
        await world.start_all()
        await world.wait_until(lambda node: node.serves, 30.0)
        refused = world.leadership_hosts() | {node.host for node in world.nodes[:4]}
        assert len(refused) < 9
        world.store.refuses = lambda host: refusal if host in refused else None
        await curio.sleep(3.0)
        await _change_rows(world, drain="z2")
        await world.wait_until(_obeys_drains("z2"), APPLY_S)
        await _change_rows(world, drain="z3", lift="z2")
        await world.wait_until(_obeys_drains("z3"), APPLY_S)

    in_simulated_time(test)


# Guards against a starting node refused by the store that serves before it knows the drains.
def test_a_drain_outlives_a_restart_of_all_nodes() -> None:
    async def test(time: SimulatedTime) -> None:
        world = ReturningWorld(time, 9, 30, 6000.0, 1200.0)
        await world.start_all()
        await world.wait_until(lambda node: node.serves, 30.0)
        await _change_rows(world, drain="z1")
        await world.wait_until(_obeys_drains("z1"), APPLY_S)
        await world.kill_all()
        refused = {f"h{number:04d}" for number in range(0, 9, 3)}
        world.store.refuses = lambda host: 503 if host in refused else None
        await world.start_all()
        await world.wait_until(lambda node: not node.is_ready or _obeys_drains("z1")(node), 0.0)
        while not all(node.is_ready for node in world.nodes):
            await curio.sleep(0.01)
            assert all(_obeys_drains("z1")(node) for node in world.nodes if node.is_ready)

    in_simulated_time(test)


# --- nodes with sockets ---


async def _start_zoned(
    world: FleetWorld, zones: list[str], services: tuple[str, ...] = ("model",), **options: Any
) -> None:
    """Start replicas in these zones, of the services in turn, and two nodes in zone z1."""
    await world.spawn(world.store.run)
    document = configuration(1)
    document["services"] = [{"name": name, "engine": {"slots": SLOTS}} for name in services]
    parts = [{"service": name, "weight": 1} for name in services]
    document["routes"] = [{**entry, "weighted_clusters": parts} for entry in document["routes"]]
    world.store.put(names.OPERATOR_TABLE, names.CONFIGURATION_KEY, document)
    for number, zone in enumerate(zones):
        replica = await world.add_replica(**options)
        document = replica.document(services[number % len(services)], zone)
        world.store.put(names.REPLICA_TABLE, replica.replica_id, document)
    for _ in range(2):
        await world.add_node()
    await world.wait_until(lambda: all(node.is_ready for node in world.nodes))
    await world.wait_until(lambda: len(world.coordinator_registry()) == 2)


async def _set_drains(world: FleetWorld, *zones: str) -> None:
    """Drain exactly these zones, and wait until all nodes have applied it."""
    present = {zone for zone in ("z1", "z2", "z3") if _row(world, zone)}
    for zone in present - set(zones):
        world.store.remove(names.OPERATOR_TABLE, PREFIX + zone)
    for zone in set(zones) - present:
        world.store.put(names.OPERATOR_TABLE, PREFIX + zone, {})
    expected = tuple(sorted(zones))
    await world.wait_until(
        lambda: all(node._fleet_state.zone_drains.zones == expected for node in world.nodes)
    )


def _row(world: FleetWorld, zone: str) -> bool:
    return PREFIX + zone in world.store.rows.values(names.OPERATOR_TABLE)


def _arrival_counts(world: FleetWorld) -> list[int]:
    return [len(replica.arrivals) for replica in world.replicas]


# Guards against first attempts in drained zones, also after lost history.
def test_two_zones_are_drained_at_once_also_that_of_the_coordinator() -> None:
    async def test(world: FleetWorld) -> None:
        await _start_zoned(world, ["z1", "z2", "z3"])
        await _set_drains(world, "z1", "z2")
        answers = [await world.ask("/chat/a", node=number % 2) for number in range(6)]
        assert [answer.status for answer in answers] == [200] * 6
        assert _arrival_counts(world) == [0, 0, 6]
        world.store.remove(names.OPERATOR_TABLE, PREFIX + "z1")
        world.store.rows.drop_history()
        await _set_drains(world, "z2", "z3")
        assert (await world.ask("/chat/a")).status == 200
        assert _arrival_counts(world) == [1, 0, 6]

    in_world(test)


# Guards against requests that wait for the only zone, which is drained, and against lost items.
def test_the_only_zone_of_a_service_is_drained() -> None:
    async def test(world: FleetWorld) -> None:
        await _start_zoned(world, ["z1"])
        await _set_drains(world, "z1")
        answer = await world.ask("/chat/a")
        assert answer.status == 503 and float(answer.headers["retry-after"]) > 0
        assert (await world.submit_job("job1", 2)).status == 202
        answer = await world.ask("/once/a")
        assert answer.status == 503 and _arrival_counts(world) == [0]
        await _set_drains(world)
        results = await world.until_done("job1", 2)
        assert {result["state"] for result in results} == {"succeeded"}

    in_world(test)


def _drain_while_connecting(world: FleetWorld, zone: str) -> None:
    """Make each node apply a drain after choosing a replica and before sending."""
    for node in world.nodes:
        acquire = node._pool.acquire

        async def drain_and_acquire(*args: Any, node: Any = node, acquire: Any = acquire) -> Any:
            connection = await acquire(*args)
            node._fleet_state.zone_drains.update(10**9, [zone], 0.0)
            return connection

        vars(node._pool)["acquire"] = drain_and_acquire


# Guards against a request sent to a zone that is drained after the replica was chosen.
def test_the_last_check_before_sending_stops_requests() -> None:
    async def test(world: FleetWorld) -> None:
        await _start_zoned(world, ["z1"])
        _drain_while_connecting(world, "z1")
        assert (await world.ask("/once/a")).status == 503
        assert _arrival_counts(world) == [0]

    in_world(test)


# Guards against failed requests whose service was chosen before its zone was drained.
def test_requests_of_a_drained_service_go_to_another_one_of_their_route() -> None:
    async def test(world: FleetWorld) -> None:
        await _start_zoned(world, ["z1", "z2"], ("model", "other"))
        client = world.nodes[0]._fleet.coordinator_client
        request_placement = client.request_placement

        drains = world.nodes[0]._fleet_state.zone_drains

        async def drain_and_request(*args: Any) -> Any:
            drains.update(max(10**9, drains.version + 1), ["z1"], 0.0)
            return await request_placement(*args)

        vars(client)["request_placement"] = drain_and_request
        for _ in range(4):
            drains.update(max(10**9, drains.version + 1), [], 0.0)
            assert (await world.ask("/chat/a")).status == 200
        assert _arrival_counts(world) == [0, 4]

    in_world(test)


# Guards against items sent to a zone that is drained after the grant.
def test_items_that_were_granted_but_not_sent_stay_unsent() -> None:
    async def test(world: FleetWorld) -> None:
        await _start_zoned(world, ["z1", "z2"])
        _drain_while_connecting(world, "z1")
        assert (await world.submit_job("job1", 12)).status == 202
        assert len(await world.until_done("job1", 12)) == 12
        assert _arrival_counts(world)[0] == 0

    in_world(test)


# Guards against streams that are ended by a drain, or resumed in a drained zone.
def test_a_running_stream_ends_where_it_is_and_a_broken_one_resumes_elsewhere() -> None:
    async def test(world: FleetWorld) -> None:
        await _start_zoned(
            world,
            ["z1", "z2", "z3"],
            events=20,
            event_s=0.05,
        )
        await _set_drains(world, "z2", "z3")
        world.replicas[0].misdeeds.extend([None, Misdeed.CUT])
        whole, broken = [await curio.spawn(world.ask, "/chat/a") for _ in range(2)]
        await world.wait_until(lambda: len(world.replicas[0].arrivals) == 2)
        await _set_drains(world, "z1", "z2")
        answers = [await task.join() for task in (whole, broken)]
        assert all(answer.event_ids() == list(range(1, 21)) for answer in answers)
        assert _arrival_counts(world) == [2, 0, 1]

    in_world(test)


# Guards against lifting drains that a node knows only from the copy of another node.
def test_changes_after_the_rows_of_another_node_keep_its_drains() -> None:
    drains = ZoneDrains()
    log = ServingLog("n1", lambda: 0.0, os.open(os.devnull, os.O_WRONLY))
    stored = StoredZoneDrains(PlatformAdapter(), drains, log)
    stored.apply(RowPage([], 3, None))
    drains.apply_copy(ZoneDrainCopy(7, ("z1",), 0), now=1.0)
    stored.adopt()
    stored.apply(RowPage([], 9, None))
    assert (drains.zones, drains.version) == (("z1",), 9)
    stored.clear()
    stored.apply(RowPage([], 10, None))
    assert (drains.zones, drains.version) == ((), 10)
