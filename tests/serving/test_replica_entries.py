"""Replica entries that are invalid or come from another writer."""

import os
from typing import Any

import curio
import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from job_world import ManualClock

from cloverwalk.core import catalogue
from cloverwalk.fleet.directory_sync import DirectorySync
from cloverwalk.fleet.messages import DirectoryUpdate, RemovedReplica
from cloverwalk.gateway.replicas import Replica, ReplicaDirectory
from cloverwalk.platform.adapter import PlatformAdapter
from cloverwalk.platform.documents import decode_replica
from cloverwalk.serving.fleet_state import FleetState
from cloverwalk.store.types import Row, RowKey, RowPage
from cloverwalk.telemetry.log import ServingLog
from cloverwalk.telemetry.metrics import ServingMetrics
from cloverwalk.telemetry.startup import StartupLog

VALID_ENTRY: dict[str, Any] = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "z",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_left_ms": 0,
    "seq": 1,
}


def entry(**changed: Any) -> bytes:
    """Return an entry with some fields changed; fields that are None are left out."""
    return msgspec.json.encode(
        {k: v for k, v in {**VALID_ENTRY, **changed}.items() if v is not None}
    )


INVALID_VALUES: dict[str, list[Any]] = {
    "service": ["", [], 5, 60_000 * "s", 201 * "s", 101 * "\u00fc", "s\0", "s\x1f", "s\x7f"],
    "address": ["", "10.0.0.1", ":80", "10.0.0.1:", "10.0.0.1:x", "10.0.0.1:0", "10.0.0.1:65536"]
    + ["10.0.0.1:-1", "a b:80", "0.0.0.0:80", "10.0.0.1:\u0661", "10.0.0.1: 80", []]
    + ["[127.0.0.1:80", "::1:80", "127.0.0.1]:80"],
    "zone": [[], 5, 60_000 * "z", "z\0", "z\n"],
    "slots": [0, -1, 2.5, True, "8", 10**30, []],
    "state": ["resting", "READY", "", 1, []],
    "version": [1, [], 60_000 * "v", "v\0", "v\u2028"],
    "cold_left_ms": ["0", [], True, -1, -0.5, 3_600_001, 1e300, 10**30],
    "seq": ["1", 1.5, [], 10**400],
    "born": [0, -1, 1.5, True, "1790000000000", 10**30, 1_790_000_000_000_000, []],
}
INVALID_ENTRIES = [
    b"",
    b"\xff\x00\xfe",
    b"null",
    b"[]",
    b'{"service": "s"',
    b'{"x":' + b"[" * 20_000,
    *(entry(**{name: None}) for name in VALID_ENTRY),
    *(entry(**{name: value}) for name, values in INVALID_VALUES.items() for value in values),
]


class NodeState:
    """The fleet state of a node, to which the test applies rows."""

    def __init__(self) -> None:
        clock = ManualClock(step_s=0.0)
        log = ServingLog("n1", clock, os.open(os.devnull, os.O_WRONLY))
        self.lines: list[int] = []
        log.write = lambda number, **_: self.lines.append(number)  # type: ignore[method-assign]
        self.metrics = ServingMetrics()
        self.fleet_state = FleetState(PlatformAdapter(), log, clock, StartupLog(log, clock, 0.0))
        self.fleet_state.metrics = self.metrics
        self.directory = self.fleet_state.directory

    def change(self, version: int, key: str, value: bytes | None) -> None:
        """Apply one change."""
        curio.run(self.fleet_state.on_replicas, _page(version, [(key, value, version)]))

    def read(self, version: int, rows: list[tuple[str, bytes | None, int]]) -> None:
        """Apply a full read."""
        curio.run(self.fleet_state.on_all_replicas, _page(version, rows))

    def usable_ids(self) -> list[str]:
        """Return the ids of the replicas that accept new requests."""
        return [replica.replica_id for replica in self.directory.usable("s")]


def _page(version: int, rows: list[tuple[str, bytes | None, int]]) -> RowPage:
    return RowPage(
        [Row(RowKey("servers", "", key), value, at) for key, value, at in rows], version, None
    )


@pytest.mark.parametrize("invalid", INVALID_ENTRIES)
def test_an_invalid_entry_removes_its_replica(invalid: bytes) -> None:
    state = NodeState()
    state.read(2, [("r1", entry(), 1), ("r2", entry(), 2)])
    assert state.usable_ids() == ["r1", "r2"]
    state.change(3, "r1", invalid)
    assert state.usable_ids() == ["r2"] and state.directory.find("r1") is None
    assert state.lines.count(catalogue.REPLICA_INVALID) == 1
    assert b"cloverwalk_replica_entries_invalid_total 1.0" in state.metrics.render()
    state.read(4, [("r1", invalid, 3), ("r2", entry(), 2)])
    assert state.usable_ids() == ["r2"]
    assert state.lines.count(catalogue.REPLICA_INVALID) == 1, "the same entry is logged once"
    state.change(5, "r1", entry())
    assert state.usable_ids() == ["r1", "r2"]


@pytest.mark.parametrize("key", ["", "r 1", "r\r\nX: 1", "r\u00fc", "r" * 201])
def test_an_entry_with_an_invalid_id_is_ignored(key: str) -> None:
    state = NodeState()
    state.read(2, [(key, entry(), 1), ("r2", entry(), 2)])
    assert state.usable_ids() == ["r2"]


def test_the_start_time_of_an_entry_is_optional() -> None:
    assert decode_replica("r1", entry(), 1).started_ms == 0
    assert decode_replica("r1", entry(born=1_790_000_000_001), 1).started_ms == 1_790_000_000_001


def test_names_of_the_longest_keys_are_valid() -> None:
    name = 200 * "n"
    replica = decode_replica(name, entry(service=name, zone=name, version=name), 1)
    assert {replica.service, replica.zone, replica.software_version} == {name}


# Guards against a connection to what can't be connected to, or updates too long to be passed on.
@pytest.mark.parametrize(
    "changed",
    [{"port": 99_999_999}, {"port": -1}, {"zone": 60_000 * "z"}, {"host": "a\0"}, {"slots": 0}],
    ids=["large port", "port -1", "long zone", "host", "slots"],
)
def test_invalid_entry_from_a_peer_is_left_out_and_logged_once(changed: dict[str, Any]) -> None:
    state = NodeState()
    log = state.fleet_state._log
    sync = DirectorySync(state.directory, log, ManualClock())
    valid = Replica("r1", "s", "10.0.0.1", 80, "z", 8, False, 2)
    odd = msgspec.structs.replace(valid, replica_id="r2", **changed)
    for version in (3, 4):
        sync.apply(DirectoryUpdate(None, 1, version, 0, [odd, valid]))
        sync.apply(DirectoryUpdate(1, 1, version, 0, [odd, valid]))
        assert state.usable_ids() == ["r1"]
    assert state.lines.count(catalogue.REPLICA_INVALID) == 1


def test_peers_remove_a_replica_whose_entry_becomes_invalid() -> None:
    """Updates from the coordinator remove the replica from the lists of peers and add it again."""
    state, peer = NodeState(), ReplicaDirectory()
    clock = ManualClock(step_s=0.0)
    log = ServingLog("n2", clock, os.open(os.devnull, os.O_WRONLY))
    sync = DirectorySync(peer, log, clock)
    state.read(2, [("r1", entry(), 1), ("r2", entry(), 2)])
    peer.replace(state.directory.all(), 2)
    since = state.directory.fingerprint
    state.change(3, "r1", b"\xff")
    removed = [RemovedReplica("r1", state.directory.version)]
    assert sync.apply(DirectoryUpdate(since, state.directory.fingerprint, 3, 0, [], removed))
    assert [replica.replica_id for replica in peer.all()] == ["r2"]
    since = state.directory.fingerprint
    state.change(4, "r1", entry())
    returned = [replica for replica in state.directory.all() if replica.replica_id == "r1"]
    assert sync.apply(DirectoryUpdate(since, state.directory.fingerprint, 4, 0, returned))
    assert peer.find("r1") is not None


CHANGES = st.lists(
    st.tuples(
        st.sampled_from(["r1", "r2", "r3"]),
        st.one_of(
            st.none(),
            st.just(entry()),
            st.sampled_from(INVALID_ENTRIES),
            st.binary(max_size=40),
            st.just(b"!"),
        ),
    ),
    max_size=20,
)


@given(CHANGES, st.integers(0, 20))
def test_changes_and_a_full_read_give_the_same_replicas(
    changes: list[tuple[str, bytes | None]], read_at: int
) -> None:
    """Only the newest entry of each replica counts, however the node received it."""
    by_changes, by_reads = NodeState(), NodeState()
    newest: dict[str, tuple[bytes | None, int]] = {}
    for version, (key, value) in enumerate(changes, start=1):
        newest[key] = (value, version)
        by_changes.change(version, key, value)
        if version == read_at:
            rows = [(key, *newest[key]) for key in sorted(newest)]
            by_reads.read(version, rows)
            by_changes.read(version, rows)
        elif version > read_at:
            by_reads.change(version, key, value)
    expected = [key for key in sorted(newest) if newest[key][0] == entry()]
    assert by_changes.usable_ids() == expected
    if read_at <= 1 or len(changes) >= read_at:
        assert by_reads.usable_ids() == expected
