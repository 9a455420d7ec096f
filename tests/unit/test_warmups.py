"""Detection of warming replicas, the end of their warm-up, and the gate for sends to them."""

import os
from typing import Any

import msgspec
import pytest

from cloverwalk.gateway.configuration import (
    ClientLimits,
    Configuration,
    ConfigurationHolder,
    Service,
)
from cloverwalk.gateway.errors import ReplicaError
from cloverwalk.gateway.replicas import Replica, ReplicaDirectory
from cloverwalk.gateway.warmup_gate import WARMING_UP, WarmupGate
from cloverwalk.gateway.warmups import (
    COORDINATOR_MARGIN_S,
    ENTRY_DELAY_S,
    ENTRY_INTERVAL_S,
    MAX_WARMUP_S,
    Warmups,
)
from cloverwalk.gateway.zone_drains import ZoneDrains
from cloverwalk.platform.documents import decode_configuration
from cloverwalk.telemetry.log import ServingLog

WARMUP_S = 3.0
EXTRA_S = ENTRY_INTERVAL_S + ENTRY_DELAY_S
SERVICE = Service("model", 8, 100, warmup_s=WARMUP_S, warmup_rate_per_s=7.3)
REPLICA = Replica("r0", "model", "h", 1, "z1", 8, False, version=1, started_ms=1000)


class Node:
    """The replica directory and warm-up state of a node, with a manual clock."""

    def __init__(self, service: Service = SERVICE) -> None:
        self.now = 100.0
        self.directory = ReplicaDirectory()
        self.drains = ZoneDrains()
        holder = ConfigurationHolder()
        holder.update_if_newer(Configuration(1, (), {service.name: service}, ClientLimits()))
        log = ServingLog("n", self.clock, os.open(os.devnull, os.O_WRONLY))
        self.warmups = Warmups(self.directory, holder, self.drains, log, self.clock)
        self.gate = WarmupGate(self.warmups, log, self.clock)
        self.directory.replace([REPLICA], 1)
        self.version = 1

    def clock(self) -> float:
        return self.now

    def put(self, **changes: Any) -> None:
        self.version += 1
        self.directory.put(msgspec.structs.replace(REPLICA, version=self.version, **changes))

    def remaining_s(self, replica_id: str = "r0") -> float:
        return self.warmups.remaining_ms(self.now).get(replica_id, 0) / 1000

    def lift_drain(self) -> None:
        self.drains.update(50, ["z1"], self.now)
        self.drains.update(51, [], self.now)


# Guards against limits on replicas that ran before this process started.
def test_first_list_of_a_process_assumes_no_warmup() -> None:
    assert Node().remaining_s() == 0


def test_entry_tells_the_remaining_time_and_the_next_one_shortens_or_extends_it() -> None:
    node = Node()
    for warmup_ms in (3000, 1900, 2500):
        node.put(warmup_ms=warmup_ms)
        assert node.remaining_s() == pytest.approx(warmup_ms / 1000, abs=0.002)
        node.now += 0.1


# Guards against an entry without a warm-up time that ends the warm-up early.
def test_warmup_ends_by_time_only() -> None:
    node = Node()
    node.put(warmup_ms=3000)
    node.put()
    assert node.remaining_s() == 3.0
    node.now += 3.0
    assert node.remaining_s() == 0


# Guards against refused sends because the coordinator ends a warm-up before the nodes do.
def test_coordinator_limits_a_replica_a_little_longer_than_nodes_do() -> None:
    node = Node()
    node.put(warmup_ms=1000)
    node.now += 1.0 + COORDINATOR_MARGIN_S / 2
    node.warmups.expire(node.now)
    assert not node.warmups.is_warming(REPLICA, node.now)
    assert node.warmups.is_warming(REPLICA, node.now, COORDINATOR_MARGIN_S)


# Guards against overloading a replica before its entry reports the warm-up.
@pytest.mark.parametrize("kind", ["new", "restarted", "returned", "lifted"])
def test_warmup_is_assumed_before_an_entry_tells_it(kind: str) -> None:
    node = Node()
    replica_id = "r9" if kind == "new" else "r0"
    if kind == "returned":
        node.directory.remove("r0", 1)
    if kind == "lifted":
        node.lift_drain()
    else:
        node.put(replica_id=replica_id, started_ms=2000 if kind == "restarted" else 1000)
    extra_s = EXTRA_S if kind in ("returned", "lifted") else 0.0
    assert node.remaining_s(replica_id) == pytest.approx(WARMUP_S + extra_s, abs=0.002)


# Guards against rate limits for replicas whose entries expired during an outage of the store.
@pytest.mark.parametrize("is_removed_after", [False, True])
def test_entry_that_expired_while_the_store_was_down_is_no_restart(is_removed_after: bool) -> None:
    node = Node()
    node.directory.confirm(node.now)
    node.now += 4.0
    if is_removed_after:
        node.directory.confirm(node.now)
        node.now += 1.0
    node.directory.remove("r0", 1)
    node.directory.confirm(node.now)
    node.now += 2.0
    node.put(started_ms=1000)
    assert node.remaining_s() == 0


# Guards against an outage of the store that hides a replica's restart or an earlier removal.
@pytest.mark.parametrize(
    "case", ["store up", "removed before", "late", "restarted", "told", "lifted"]
)
def test_return_counts_as_restart_unless_the_outage_explains_it(case: str) -> None:
    node = Node()
    for _ in range(2):
        node.directory.confirm(node.now)
        node.now += 1.0
    if case == "removed before":
        node.directory.remove("r0", 1)
        node.directory.confirm(node.now)
    node.now += 1.0 if case == "store up" else 4.0
    node.directory.remove("r0", 1)
    node.directory.confirm(node.now)
    for _ in range(6 if case == "late" else 2):
        node.now += 1.0
        node.directory.confirm(node.now)
    if case == "lifted":
        node.lift_drain()
    changes = {"restarted": {"started_ms": 2000}, "told": {"warmup_ms": 2500}}
    node.put(**changes.get(case, {}))
    expected_s = 2.5 if case == "told" else WARMUP_S + EXTRA_S
    assert node.remaining_s() == pytest.approx(expected_s, abs=0.002)


# Guards against an entry from before a lifted drain that ends the warm-up after it.
def test_entry_from_before_a_lifted_drain_does_not_end_the_warmup() -> None:
    node = Node()
    node.lift_drain()
    node.put(warmup_ms=200)
    node.now += 0.5
    assert node.remaining_s() > WARMUP_S
    node.now += EXTRA_S
    node.put(warmup_ms=200)
    assert node.remaining_s() == pytest.approx(0.2, abs=0.002)


# Guards against warm-ups in a zone when the drain of another zone is lifted.
def test_lifted_drain_of_another_zone_changes_nothing() -> None:
    node = Node()
    node.put(replica_id="r1", zone="z2")
    node.now += WARMUP_S
    node.lift_drain()
    assert node.warmups.remaining_ms(node.now).keys() == {"r0"}


def test_replica_of_a_service_without_a_rate_or_of_an_unknown_service_is_not_limited() -> None:
    without_rate = Node(Service("model", 8, 100, warmup_s=3.0))
    unknown = Node(Service("other", 8, 100, warmup_s=3.0, warmup_rate_per_s=7.3))
    for node in (without_rate, unknown):
        node.put(warmup_ms=3000)
        node.lift_drain()
        assert node.remaining_s() == 0
        node.gate.check(REPLICA, "q", None)


# Guards against invalid times from nodes or the operator that limit a replica forever.
@pytest.mark.parametrize("warmup_s", [float("nan"), float("inf"), -5.0, 1e300])
def test_absurd_times_are_bounded(warmup_s: float) -> None:
    node = Node(msgspec.structs.replace(SERVICE, warmup_s=warmup_s))
    node.put(started_ms=2000)
    assert node.remaining_s() <= MAX_WARMUP_S
    node.warmups.apply_remaining({"r0": 10**15, "r7": 5, "": -3}, node.now)
    assert node.remaining_s() == MAX_WARMUP_S
    node.put(warmup_ms=-4)
    node.put(warmup_ms=10**15)
    assert node.remaining_s() == MAX_WARMUP_S


@pytest.mark.parametrize("rate", [float("nan"), float("inf"), -7.3])
def test_absurd_rate_limits_nothing(rate: float) -> None:
    node = Node(msgspec.structs.replace(SERVICE, warmup_rate_per_s=rate))
    node.put(warmup_ms=3000)
    assert node.remaining_s() == 0


@pytest.mark.parametrize("value", ["-1", '"3"', "null", "1e999", "[]"])
@pytest.mark.parametrize("name", ["cold_start_s", "cold_per_s"])
def test_bad_warmup_fields_of_a_service_refuse_the_configuration(name: str, value: str) -> None:
    service = f'{{"name": "s", "engine": {{"slots": 8}}, "{name}": {value}}}'
    raw = f'{{"version": 1, "routes": [], "services": [{service}]}}'
    with pytest.raises(ValueError, match="."):
        decode_configuration(raw.encode())


# Guards against work that is sent without a token or with an expired one.
@pytest.mark.parametrize(
    ("granted_at", "is_sent"), [(None, False), (float("-inf"), False), (99.4, False), (99.6, True)]
)
def test_work_is_sent_to_a_warming_replica_only_with_a_young_token(
    granted_at: float | None, is_sent: bool
) -> None:
    node = Node()
    node.gate.check(REPLICA, "q", granted_at)
    node.put(warmup_ms=3000)
    if is_sent:
        node.gate.check(REPLICA, "q", granted_at)
    else:
        with pytest.raises(ReplicaError) as raised:
            node.gate.check(REPLICA, "q", granted_at)
        assert (raised.value.code, raised.value.may_have_run) == (WARMING_UP, False)
    assert node.gate.refused == (not is_sent)
