"""Entries of replicas that can't be read, or that another writer has written."""

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
from cloverwalk.gateway.replicas import ReplicaDirectory
from cloverwalk.platform.adapter import PlatformAdapter
from cloverwalk.platform.documents import decode_replica
from cloverwalk.serving.fleet_state import FleetState
from cloverwalk.store.types import Row, RowKey, RowPage
from cloverwalk.telemetry.log import ServingLog
from cloverwalk.telemetry.metrics import ServingMetrics
from cloverwalk.telemetry.startup import StartupLog

GOOD: dict[str, Any] = {
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
    """Return an entry with some fields changed; those that are None are left out."""
    return msgspec.json.encode({k: v for k, v in {**GOOD, **changed}.items() if v is not None})


ODD_VALUES: dict[str, list[Any]] = {
    "service": ["", [], 5],
    "address": ["", "10.0.0.1", ":80", "10.0.0.1:", "10.0.0.1:x", "10.0.0.1:0", "10.0.0.1:65536"]
    + ["10.0.0.1:-1", "a b:80", "0.0.0.0:80", "10.0.0.1:\u0661", "10.0.0.1: 80", []]
    + ["[127.0.0.1:80", "::1:80", "127.0.0.1]:80"],
    "zone": [[], 5],
    "slots": [0, -1, 2.5, True, "8", 10**30, []],
    "state": ["resting", "READY", "", 1, []],
    "version": [1, []],
    "cold_left_ms": ["0", []],
    "seq": ["1", 1.5, []],
    "born": [0, -1, 1.5, True, "1790000000000", 10**30, 1_790_000_000_000_000, []],
}
ODD = [
    b"",
    b"\xff\x00\xfe",
    b"null",
    b"[]",
    b'{"service": "s"',
    b'{"x":' + b"[" * 20_000,
    *(entry(**{name: None}) for name in GOOD),
    *(entry(**{name: value}) for name, values in ODD_VALUES.items() for value in values),
]


class Known:
    """What a node knows of replicas, fed with rows."""

    def __init__(self) -> None:
        clock = ManualClock(step_s=0.0)
        log = ServingLog("n1", clock, os.open(os.devnull, os.O_WRONLY))
        self.lines: list[int] = []
        log.write = lambda number, **_: self.lines.append(number)  # type: ignore[method-assign]
        self.metrics = ServingMetrics()
        self.knowledge = FleetState(PlatformAdapter(), log, clock, StartupLog(log, clock, 0.0))
        self.knowledge.metrics = self.metrics
        self.directory = self.knowledge.directory

    def change(self, version: int, key: str, value: bytes | None) -> None:
        """Take one change."""
        curio.run(self.knowledge.on_replicas, _page(version, [(key, value, version)]))

    def read(self, version: int, rows: list[tuple[str, bytes | None, int]]) -> None:
        """Take a whole list."""
        curio.run(self.knowledge.on_all_replicas, _page(version, rows))

    def used(self) -> list[str]:
        """Return the replicas that new requests may go to."""
        return [one.replica_id for one in self.directory.usable("s")]


def _page(version: int, rows: list[tuple[str, bytes | None, int]]) -> RowPage:
    return RowPage(
        [Row(RowKey("servers", "", key), value, at) for key, value, at in rows], version, None
    )


@pytest.mark.parametrize("odd", ODD)
def test_an_odd_entry_names_no_replica_to_use(odd: bytes) -> None:
    known = Known()
    known.read(2, [("r1", entry(), 1), ("r2", entry(), 2)])
    assert known.used() == ["r1", "r2"]
    known.change(3, "r1", odd)
    assert known.used() == ["r2"] and known.directory.find("r1") is None
    assert known.lines.count(catalogue.REPLICA_INVALID) == 1
    assert b"cloverwalk_replica_entries_invalid_total 1.0" in known.metrics.render()
    known.read(4, [("r1", odd, 3), ("r2", entry(), 2)])
    assert known.used() == ["r2"]
    assert known.lines.count(catalogue.REPLICA_INVALID) == 1, "the same entry is told once"
    known.change(5, "r1", entry())
    assert known.used() == ["r1", "r2"]


@pytest.mark.parametrize("key", ["", "r 1", "r\r\nX: 1", "r\u00fc", "r" * 201])
def test_an_odd_id_names_no_replica(key: str) -> None:
    known = Known()
    known.read(2, [(key, entry(), 1), ("r2", entry(), 2)])
    assert known.used() == ["r2"]


def test_an_entry_without_the_time_of_its_start_is_good() -> None:
    assert decode_replica("r1", entry(), 1).started_ms == 0
    assert decode_replica("r1", entry(born=1_790_000_000_001), 1).started_ms == 1_790_000_000_001


def test_peers_hear_that_an_entry_can_t_be_read() -> None:
    """What the coordinator tells them takes the replica out of their lists, and back in."""
    known, peer = Known(), ReplicaDirectory()
    clock = ManualClock(step_s=0.0)
    log = ServingLog("n2", clock, os.open(os.devnull, os.O_WRONLY))
    sync = DirectorySync(peer, log, clock)
    known.read(2, [("r1", entry(), 1), ("r2", entry(), 2)])
    peer.replace(known.directory.all(), 2)
    since = known.directory.fingerprint
    known.change(3, "r1", b"\xff")
    gone = [RemovedReplica("r1", known.directory.version)]
    assert sync.apply(DirectoryUpdate(since, known.directory.fingerprint, 3, 0, [], gone))
    assert [one.replica_id for one in peer.all()] == ["r2"]
    since = known.directory.fingerprint
    known.change(4, "r1", entry())
    back = [one for one in known.directory.all() if one.replica_id == "r1"]
    assert sync.apply(DirectoryUpdate(since, known.directory.fingerprint, 4, 0, back))
    assert peer.find("r1") is not None


NEWS = st.lists(
    st.tuples(
        st.sampled_from(["r1", "r2", "r3"]),
        st.one_of(
            st.none(), st.just(entry()), st.sampled_from(ODD), st.binary(max_size=40), st.just(b"!")
        ),
    ),
    max_size=20,
)


@given(NEWS, st.integers(0, 20))
def test_changes_and_a_whole_read_tell_the_same(
    news: list[tuple[str, bytes | None]], read_at: int
) -> None:
    """The newest entry of each replica alone decides, however a node came to know it."""
    by_changes, by_reads = Known(), Known()
    newest: dict[str, tuple[bytes | None, int]] = {}
    for version, (key, value) in enumerate(news, start=1):
        newest[key] = (value, version)
        by_changes.change(version, key, value)
        if version == read_at:
            rows = [(one, *newest[one]) for one in sorted(newest)]
            by_reads.read(version, rows)
            by_changes.read(version, rows)
        elif version > read_at:
            by_reads.change(version, key, value)
    expected = [one for one in sorted(newest) if newest[one][0] == entry()]
    assert by_changes.used() == expected
    if read_at <= 1 or len(news) >= read_at:
        assert by_reads.used() == expected
