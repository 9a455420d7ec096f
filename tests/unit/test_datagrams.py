"""Messages that are too long for one datagram."""

from types import SimpleNamespace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverwalk.core.byte_lists import encoded_bytes, split_by_bytes
from cloverwalk.fleet.datagrams import MAX_DATAGRAM_BYTES, encode_datagrams
from cloverwalk.fleet.messages import (
    Contact,
    CrashCases,
    Datagram,
    DirectoryUpdate,
    Leadership,
    ListedVersion,
    NodeLoad,
    Orders,
    Placement,
    PlacementRequest,
    RemovedReplica,
    Report,
    RequestTiming,
    RouteEstimates,
    Snapshot,
    StreamRecord,
    StreamVersionQuery,
    StreamVersions,
    VersionHistoryCopy,
    WaitingGroup,
    decode_datagram,
    encode_datagram,
)
from cloverwalk.fleet.state_sender import StateSender, change_updates
from cloverwalk.gateway.crash_ledger import MAX_INCARNATIONS, MAX_SHARED_RECORDS, CrashRecord
from cloverwalk.gateway.replicas import MAX_NAME_BYTES, Replica, ReplicaDirectory
from cloverwalk.scheduling.admission import PlacementVerdict

LEADERSHIP = Leadership(Contact("n1", "10.0.0.1"), "a", 1)
LONG = (MAX_NAME_BYTES - 4) * "n"


def name(number: int) -> str:
    """Return a name of the greatest length."""
    return f"{number:04d}{LONG}"


def report(**fields: Any) -> Report:
    return Report("n1", "a", "z1", 1, 1, 1, 1, 1, **fields)


def orders(**fields: Any) -> Orders:
    return Orders(LEADERSHIP, "n1.a", 1, 1, 1, 1, 1, True, **fields)


def request(number: int) -> PlacementRequest:
    return PlacementRequest(number, name(1), name(2), avoid=[name(3)])


SPLIT: dict[str, tuple[str, Datagram]] = {
    "crash records": (
        "crash_records",
        CrashCases(
            [
                CrashRecord(name(n), {name(m): m for m in range(MAX_INCARNATIONS)})
                for n in range(MAX_SHARED_RECORDS)
            ]
        ),
    ),
    "streams": (
        "records",
        StreamVersions([StreamRecord(name(n), name(1), name(2), 4000) for n in range(300)]),
    ),
    "query": ("streams", StreamVersionQuery([name(n) for n in range(400)], "10.0.0.1")),
}
SHORTENED: dict[str, tuple[str, Datagram]] = {
    "placement requests": (
        "placement_requests",
        report(placement_requests=[request(n) for n in range(200)]),
    ),
    "loads": ("loads", report(loads={name(n): NodeLoad(1) for n in range(400)})),
    "waiting": (
        "waiting",
        report(waiting={name(n): [WaitingGroup(5, 2, name(1))] for n in range(300)}),
    ),
    "one long pool": (
        "waiting",
        report(waiting={"p": [WaitingGroup(n, 2, name(1)) for n in range(400)]}),
    ),
    "crash records": (
        "crash_records",
        report(crash_records=SPLIT["crash records"][1].crash_records),  # type: ignore[union-attr]
    ),
    "timings": (
        "request_timings",
        report(request_timings=[RequestTiming(name(n), name(1), 1, 1, 1) for n in range(300)]),
    ),
    "placements": (
        "placements",
        orders(placements=[Placement(n, PlacementVerdict.SEND, name(n)) for n in range(400)]),
    ),
    "history": (
        "version_history",
        orders(
            version_history=VersionHistoryCopy(
                5, tuple(ListedVersion(name(n), name(n), 1) for n in range(200))
            )
        ),
    ),
    "loads of replicas": (
        "replica_loads",
        Snapshot(
            LEADERSHIP,
            1,
            {name(n): NodeLoad(1) for n in range(400)},
            {name(n): RouteEstimates(1.0, 1.0, 1.0) for n in range(10)},
        ),
    ),
}


# Guards against records of crashes and streams that never reach the other nodes.
@pytest.mark.parametrize("case", SPLIT)
def test_long_message_that_receivers_merge_is_sent_in_several(case: str) -> None:
    field, message = SPLIT[case]
    assert len(encode_datagram(message)) > MAX_DATAGRAM_BYTES
    datagrams = encode_datagrams(message)
    assert max(map(len, datagrams.encoded)) <= MAX_DATAGRAM_BYTES
    received = [getattr(decode_datagram(data), field) for data in datagrams.encoded]
    assert [entry for part in received for entry in part] == getattr(message, field)
    assert not datagrams.left_out


# Guards against a node that counts as lost, as its reports are too long to be sent.
@pytest.mark.parametrize("case", SHORTENED)
def test_long_report_orders_and_snapshot_are_sent_without_what_is_too_much(case: str) -> None:
    field, message = SHORTENED[case]
    assert len(encode_datagram(message)) > MAX_DATAGRAM_BYTES
    datagrams = encode_datagrams(message)
    assert len(datagrams.encoded) == 1
    assert len(datagrams.encoded[0]) <= MAX_DATAGRAM_BYTES
    received = decode_datagram(datagrams.encoded[0])
    assert datagrams.left_out[field] > 0
    kept, whole = getattr(received, field), getattr(message, field)
    if kept is not None and case != "one long pool":
        assert len(kept) == len(whole) - datagrams.left_out[field] > len(whole) / 4


def test_record_that_is_too_long_does_not_keep_others_from_being_sent() -> None:
    long = StreamRecord(70_000 * "s", "s", "v", 1)
    short = [StreamRecord(f"{n}", "s", "v", 1) for n in range(3)]
    datagrams = encode_datagrams(StreamVersions([short[0], long, *short[1:]]))
    assert datagrams.left_out == {"records": 1}
    assert decode_datagram(datagrams.encoded[0]) == StreamVersions(short)


@given(st.lists(st.text(max_size=30)), st.integers(1, 60), st.none() | st.integers(1, 5))
def test_parts_have_all_items_that_fit_in_order(
    items: list[str], max_bytes: int, max_count: int | None
) -> None:
    split = split_by_bytes(items, max_bytes, max_count)
    fitting = [item for item in items if encoded_bytes(item) <= max_bytes]
    assert [item for part in split.parts for item in part] == fitting
    assert len(split.too_long) == len(items) - len(fitting)
    for part in split.parts:
        assert 0 < sum(map(encoded_bytes, part)) <= max_bytes
        assert max_count is None or len(part) <= max_count
    for part, following in zip(split.parts, split.parts[1:], strict=False):
        total = sum(map(encoded_bytes, part)) + encoded_bytes(following[0])
        assert total > max_bytes or len(part) == max_count


def replica(number: int, version: int) -> Replica:
    return Replica(
        name(number),
        name(1),
        "10.0.0.1",
        80,
        name(2),
        7 + version,
        False,
        version,
        5,
        0,
        f"v{version}",
    )


def directory(replicas: list[Replica], version: int) -> ReplicaDirectory:
    found = ReplicaDirectory()
    found.replace(replicas, version)
    return found


# Guards against a change that no node follows, as its update is too long to be sent.
@pytest.mark.parametrize("lost", [None, 0, 1])
def test_change_of_many_replicas_is_followed_by_updates_that_fit(lost: int | None) -> None:
    before = [replica(n, 1) for n in range(300)]
    after = [replica(n, 2) for n in range(200, 500)]
    previous = {entry.replica_id: entry for entry in before}
    coordinator = directory(before, 1)
    since = coordinator.fingerprint
    coordinator.replace(after, 2)
    removed = [RemovedReplica(entry.replica_id, 2) for entry in before[:200]]
    update = DirectoryUpdate(since, coordinator.fingerprint, 2, 0, after, removed)
    updates = change_updates(update, previous, 1)
    assert len(updates) > 2
    node = directory(before, 1)
    for number, part in enumerate(updates):
        data = encode_datagrams(part).encoded
        assert len(data) == 1
        assert part.version == (2 if part is updates[-1] else 1)
        if number == lost:
            continue
        for entry in part.replicas:
            node.put(entry)
        for gone in part.removed:
            node.remove(gone.replica_id, gone.version)
        if lost is None:
            assert node.fingerprint == part.fingerprint
    assert (node.fingerprint == coordinator.fingerprint) == (lost is None)
    assert updates[-1].fingerprint == coordinator.fingerprint


def test_short_change_is_one_update() -> None:
    update = DirectoryUpdate(5, 6, 2, 0, [replica(1, 2)], [])
    assert change_updates(update, {}, 1) == [update]


# Guards against a whole list that never arrives, as one of its parts is too long to be sent.
@pytest.mark.parametrize("count", [0, 1, 290, 700])
def test_whole_list_is_sent_in_parts_that_fit(count: int) -> None:
    sent: list[DirectoryUpdate] = []
    transport: Any = SimpleNamespace(send=lambda host, message: sent.append(message))
    replicas = [replica(n, 1) for n in range(count)]
    listed = directory(replicas, 1)
    configuration: Any = SimpleNamespace(version=1, current=None)
    sender = StateSender(transport, configuration, listed)
    entry: Any = SimpleNamespace(report=report(), contact=LEADERSHIP.holder, state_sent_at=0.0)
    entry.report.store_age_ms = 10_000
    sender._copy_directory(entry, 5.0)
    assert all(len(encode_datagram(update)) <= MAX_DATAGRAM_BYTES for update in sent)
    assert [update.part for update in sent] == list(range(len(sent)))
    assert {update.parts for update in sent} == {len(sent)}
    assert [entry for update in sent for entry in update.replicas] == replicas
