"""Rows and datagrams with any content: each reader raises its typed error, and nothing else."""

import contextlib
import json
import os
import zlib
from collections.abc import Callable
from random import Random
from typing import Any

import attrs
import curio
import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cloverwalk.core import catalogue
from cloverwalk.emulator.memory_store import MemoryStore
from cloverwalk.fleet.crash_record_store import CRASH_RECORD_TABLE, CrashRecordStore
from cloverwalk.fleet.election import ROLE_KEY, Election, RoleRow
from cloverwalk.fleet.messages import (
    Contact,
    CrashCases,
    DatagramError,
    DirectoryUpdate,
    Leadership,
    ListedVersion,
    NodeLoad,
    Orders,
    PlacementRequest,
    Report,
    StreamRecord,
    StreamVersionQuery,
    StreamVersions,
    decode_datagram,
    encode_datagram,
    kind_of_refused,
)
from cloverwalk.fleet.stream_version_store import STREAM_TABLE, StoredStreams, StreamVersionStore
from cloverwalk.fleet.transport import DatagramTransport
from cloverwalk.fleet.version_registry import ROW_KEY, StoredVersions, VersionRegistry
from cloverwalk.gateway.configuration import ClientLimits, Configuration
from cloverwalk.gateway.configuration_encoding import decode_copy, encode_copy
from cloverwalk.gateway.crash_ledger import CrashRecord
from cloverwalk.gateway.registered_versions import RegisteredVersions
from cloverwalk.gateway.replicas import Replica
from cloverwalk.gateway.software_versions import Software
from cloverwalk.gateway.steps import run_steps
from cloverwalk.jobs.errors import JobError
from cloverwalk.jobs.records import (
    ItemResult,
    ItemState,
    JobItem,
    JobRecord,
    PartialOutput,
    QuotaRow,
    decode_items,
    decode_partial,
    decode_quota,
    decode_result,
    job_from_row,
    job_key,
)
from cloverwalk.jobs.view import JobView
from cloverwalk.platform.documents import decode_configuration, decode_job, decode_replica
from cloverwalk.platform.store_client import decode_page
from cloverwalk.store.clock import StoreTime
from cloverwalk.store.types import Put, Row, RowKey, RowPage, StoreError, Transaction
from cloverwalk.telemetry.log import ServingLog

DEPTH = 20_000
NESTED = b"[" * DEPTH + b"]" * DEPTH
ODD_TEXT = [
    NESTED,
    b'{"a":' * DEPTH + b"1" + b"}" * DEPTH,
    b"1" + 400 * b"0",
    b"-1" + 5000 * b"0",
    b"1e400",
    b"1e308",
    b"-1e308",
    b"NaN",
    b"Infinity",
    b'"\\ud800"',
    b'"\xff"',
    b'"\xed\xa0\x80"',
    b'"\\u0000"',
    b'"' + 60_000 * b"z" + b'"',
    b"null",
    b"true",
    b"[]",
    b"{}",
    b'""',
    b"-1",
    b"0.5",
    b"",
]
MARK = "@odd@"
CONTACT = Contact("n1", "10.0.0.1")
REPLICA = Replica("r1", "s", "10.0.0.2", 80, "z", 8, False, 5)
RECORD = JobRecord("j", "h", "/p", 1.0, 2.0, 3.0, 3, 1, 5, 1, "n1.a")
ENTRY = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "z",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_left_ms": 0,
    "seq": 1,
    "born": 1_700_000_000_000,
}
CONFIGURATION = {
    "version": 1,
    "routes": [{"name": "r", "host": "h", "path_prefix": "/a/", "route_kind": "safe"}],
    "services": [{"name": "s", "engine": {"slots": 2}}],
    "tenants": [{"name": "t", "api_keys": ["k"]}],
}
PAGE = {
    "ver": 7,
    "now_ms": 5.0,
    "rows": [{"table": "t", "part": "", "key": "k", "value": "YQ==", "ver": 3}],
}


def payload(message: Any) -> bytes:
    return encode_datagram(message).partition(b":")[2][:-1]


def netstring(data: bytes) -> bytes:
    return b"%d:%s," % (len(data), data)


def read_datagram(data: bytes) -> None:
    kind_of_refused(netstring(data))
    decode_datagram(netstring(data))


def read_job(data: bytes) -> None:
    record = job_from_row(Row(job_key("j"), data, 1)).content
    # What the node does with a record must not fail either.
    round(record.accepted_ms * 1000), int(record.due_ms / 10), record.is_open  # noqa: B018


def read_configuration_copy(data: bytes) -> None:
    run_steps(decode_copy(zlib.compress(data)))


@attrs.frozen
class Reader:
    """A function that decodes, content that it accepts, and what it raises for any other."""

    read: Callable[[bytes], object]
    valid: bytes
    error: type[Exception] = ValueError


ORDERS = Orders(Leadership(CONTACT, "a", 1), "n1.a", 1, 1, 1, 1, 1, True, nodes=3)
REPORT = Report(
    "n1", "a", "z", 1, 1, 1, 1, 1, 1.0, {"r1": NodeLoad(1)}, {}, [], [PlacementRequest(1, "r", "s")]
)
READERS = {
    "report": Reader(read_datagram, payload(REPORT), DatagramError),
    "orders": Reader(read_datagram, payload(ORDERS), DatagramError),
    "stream_version_query": Reader(
        read_datagram, payload(StreamVersionQuery(["a"])), DatagramError
    ),
    "stream_versions": Reader(
        read_datagram, payload(StreamVersions([StreamRecord("a", "s", "v", 4)])), DatagramError
    ),
    "directory": Reader(
        read_datagram, payload(DirectoryUpdate(None, 1, 1, 1, [REPLICA])), DatagramError
    ),
    "crash_cases": Reader(
        read_datagram, payload(CrashCases([CrashRecord("c", {"r1": 5})])), DatagramError
    ),
    "replica": Reader(lambda data: decode_replica("r1", data, 1), json.dumps(ENTRY).encode()),
    "configuration": Reader(decode_configuration, json.dumps(CONFIGURATION).encode()),
    "configuration_copy": Reader(
        read_configuration_copy,
        zlib.decompress(run_steps(encode_copy(Configuration(3, (), {}, ClientLimits())))),
    ),
    "submission": Reader(decode_job, b'{"requests":[{"id":"a","path":"/p","tokens":3}]}'),
    "page": Reader(
        lambda data: run_steps(decode_page(data, "t", "")), json.dumps(PAGE).encode(), StoreError
    ),
    "job": Reader(read_job, msgspec.json.encode(RECORD)),
    "items": Reader(decode_items, msgspec.json.encode([JobItem("a", "/p", [], b"", 3)])),
    "result": Reader(decode_result, msgspec.json.encode(ItemResult("a", ItemState.DEAD, "x"))),
    "partial": Reader(decode_partial, msgspec.json.encode(PartialOutput(0, 1, 0, 1, ["x"]))),
    "quota": Reader(decode_quota, msgspec.json.encode(QuotaRow({"j": (5, 1.0)}))),
}


def places(content: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """Return the paths of all values in JSON content, and of one new element of each container."""
    found = [path]
    if isinstance(content, dict):
        entries = list(content.items())
        found.append((*path, "unknown"))
    elif isinstance(content, list):
        entries = list(enumerate(content))
        found.append((*path, len(content)))
    else:
        entries = []
    for key, value in entries:
        found += places(value, (*path, key))
    return found


def with_odd_value(valid: bytes, path: tuple[Any, ...], odd: bytes) -> bytes:
    """Return JSON content with an odd value at a path."""
    content = json.loads(valid)
    if not path:
        return odd
    target = content
    for key in path[:-1]:
        target = target[key]
    if isinstance(target, list) and path[-1] == len(target):
        target.append(MARK)
    else:
        target[path[-1]] = MARK
    return json.dumps(content).encode().replace(json.dumps(MARK).encode(), odd)


@pytest.mark.parametrize("name", READERS)
def test_reader_accepts_what_the_other_tests_vary(name: str) -> None:
    READERS[name].read(READERS[name].valid)


# Guards against a task, or the process, that ends with the RecursionError of one odd row.
@pytest.mark.parametrize("name", READERS)
def test_odd_value_at_any_place_raises_no_untyped_error(name: str) -> None:
    reader = READERS[name]
    for path in places(json.loads(reader.valid)):
        for odd in ODD_TEXT:
            try:
                reader.read(with_odd_value(reader.valid, path, odd))
            except reader.error:
                continue
            assert odd is not NESTED, path


@pytest.mark.parametrize("name", READERS)
@settings(max_examples=60)
@given(data=st.data())
def test_any_bytes_raise_no_untyped_error(name: str, data: st.DataObject) -> None:
    reader = READERS[name]
    cut = data.draw(st.integers(0, len(reader.valid)))
    end = data.draw(st.integers(cut, len(reader.valid)))
    content = reader.valid[:cut] + data.draw(st.binary(max_size=40)) + reader.valid[end:]
    for raw in (content, data.draw(st.binary(max_size=200))):
        with contextlib.suppress(reader.error):
            reader.read(raw)


@settings(max_examples=200)
@given(st.binary(max_size=100))
def test_any_datagram_raises_no_untyped_error(data: bytes) -> None:
    assert kind_of_refused(data)
    with contextlib.suppress(DatagramError):
        decode_datagram(data)


# Guards against times and counts that overflow where a message is handled.
def test_numbers_of_messages_are_bounded() -> None:
    poll = b'["configuration_poll",%s]'
    for odd in (ODD_TEXT[2], b"%d" % (2**64 + 1), b"-%d" % 10**30):
        with pytest.raises(DatagramError):
            decode_datagram(netstring(poll % odd))
    with pytest.raises(DatagramError):
        decode_datagram(netstring(payload(REPORT).replace(b"1.0", b"1e308")))
    assert decode_datagram(netstring(poll % b"18446744073709551616"))
    digits = StreamVersionQuery([",1" + 400 * "0", ":1e400"])
    assert decode_datagram(netstring(payload(digits))) == digits


# --- rows beside odd ones ---


def test_row_with_an_odd_value_does_not_keep_others_of_its_page_from_being_read() -> None:
    row = PAGE["rows"][0]  # type: ignore[index]
    for odd in (b'"%"', b'"YQ"', b"5", b"[[]]", b"{}", b'"%s"' % (400_000 * b"YQ==" + b"%")):
        rows = [{**row, "key": "a"}, {**row, "key": "b", "value": MARK}, {**row, "key": "c"}]
        body = json.dumps({**PAGE, "rows": rows}).encode()
        body = body.replace(json.dumps(MARK).encode(), odd)
        page = run_steps(decode_page(body, "t", ""))
        assert [row.row_key.key for row in page.rows] == ["a", "b", "c"]
        assert [row.value for row in page.rows][::2] == [b"a", b"a"]
        assert page.version == 7
        with pytest.raises(ValueError):
            decode_replica("b", page.rows[1].value or b"", 1)


class LogLines:
    """Stands in for the log."""

    def __init__(self) -> None:
        self.lines: list[tuple[int, dict[str, Any]]] = []

    def write(self, event: int, **fields: Any) -> None:
        self.lines.append((event, fields))

    def keys(self, event: int) -> list[str]:
        return [fields["key"] for number, fields in self.lines if number == event]


class Anything:
    """Stands in for parts of a node; keeps what is passed to it."""

    is_active = True
    listed: frozenset[Software] = frozenset()

    def __init__(self) -> None:
        self.passed: list[Any] = []
        self.warmup_tokens = self

    def use_lease(self, _: Any) -> None:
        return

    def now(self) -> StoreTime:
        return StoreTime(1000.0, 1000.0)

    def merge(self, *passed: Any) -> None:
        self.passed.append(passed)

    def add_stored(self, records: list[Any], elapsed_ms: float) -> None:
        # Times are added in the real class.
        assert all(record.remaining_ms - elapsed_ms < 1e300 for record in records)
        self.passed += records

    def pop_unsaved(self, *_: Any) -> list[Any]:
        return []

    def history(self) -> object:
        return self

    def update_leadership(self, *_: Any) -> None:
        raise AssertionError


ODD_ROWS = {f"odd{number}": odd for number, odd in enumerate(ODD_TEXT)}


def store_with_odd_rows(table: str, valid: bytes) -> MemoryStore:
    """Return a store with odd rows, valid ones with an odd value, and one valid row."""
    store = MemoryStore()
    rows = {**ODD_ROWS, "valid": valid}
    for number, path in enumerate(places(json.loads(valid))):
        if path:
            rows[f"within{number}"] = with_odd_value(valid, path, NESTED)
            rows[f"large{number}"] = with_odd_value(valid, path, ODD_TEXT[2])
            rows[f"float{number}"] = with_odd_value(valid, path, b"1e308")
    for key, value in rows.items():
        store.apply(Transaction(puts=[Put(RowKey(table, "", key), value)]))
    return store


def test_odd_rows_of_streams_are_logged_once_and_the_others_are_read() -> None:
    async def test() -> None:
        valid = msgspec.json.encode(StoredStreams([StreamRecord("a", "s", "v", 4000)], 999.0))
        store = store_with_odd_rows(STREAM_TABLE, valid)
        sync: Any = Anything()
        log: Any = LogLines()
        rows = StreamVersionStore(sync, sync, store, sync, sync, "n1", log, lambda: 5.0)
        for _ in range(3):
            rows._is_outdated = True
            assert await rows.update()
        assert [record.stream for record in sync.passed].count("a") >= 3
        logged = log.keys(catalogue.VERSION_HISTORY_INVALID)
        assert len(logged) == len(set(logged)) >= len(ODD_ROWS) - 1
        assert await rows.update()

    curio.run(test)


def test_odd_crash_records_are_logged_once_and_the_others_are_read() -> None:
    async def test() -> None:
        stored = [["c", {"r1": 5}, None, [5]], 999.0]
        store = store_with_odd_rows(CRASH_RECORD_TABLE, json.dumps(stored).encode())
        sync: Any = Anything()
        log: Any = LogLines()
        rows = CrashRecordStore(sync, sync, store, sync, sync, log, lambda: 5.0)
        for _ in range(3):
            assert await rows.read()
        assert all("c" in {record.content_hash for record in merged} for merged, _ in sync.passed)
        logged = log.keys(catalogue.CASE_INVALID)
        assert len(logged) == len(set(logged)) >= len(ODD_ROWS) - 1

    curio.run(test)


@pytest.mark.parametrize("odd", ODD_TEXT, ids=range(len(ODD_TEXT)))
def test_odd_row_of_versions_does_not_end_its_reader(odd: bytes) -> None:
    async def test() -> None:
        valid = msgspec.json.encode(StoredVersions([ListedVersion("s", "v1", 7)], 999.0))
        versions: Any = Anything()
        log: Any = LogLines()
        store = MemoryStore()
        rows = VersionRegistry(
            versions,
            RegisteredVersions(),
            versions,
            store,
            versions,
            versions,
            log,
            lambda: 0.0,
            Random(1),
        )
        contents = [with_odd_value(valid, path, odd) for path in places(json.loads(valid))]
        for content in contents:
            store.apply(Transaction(puts=[Put(ROW_KEY, content)]))
            for _ in range(2):
                assert await rows._read() is not None
                assert await rows.only_software("other") is None
        assert len(versions.passed) == 4 * len(contents)
        assert len(log.lines) <= len(contents)

    curio.run(test)


@pytest.mark.parametrize("odd", ODD_TEXT, ids=range(len(ODD_TEXT)))
def test_odd_row_of_the_role_does_not_end_the_election(odd: bytes) -> None:
    async def test() -> None:
        log: Any = LogLines()
        store = MemoryStore()
        valid = msgspec.json.encode(RoleRow(CONTACT, "a"))
        anything: Any = Anything()
        election = Election(
            anything,
            anything,
            anything,
            anything,
            anything,
            store,
            anything,
            log,
            lambda: 5.0,
            Random(1),
        )
        contents = [with_odd_value(valid, path, odd) for path in places(json.loads(valid))]
        for content in contents:
            store.apply(Transaction(puts=[Put(ROLE_KEY, content)]))
            for _ in range(2):
                row = await election._read_row()
                assert row is not None
                assert row.version == store.version
        assert len(log.lines) <= len(contents)

    curio.run(test)


def test_odd_records_of_jobs_do_not_keep_others_from_being_followed() -> None:
    async def test() -> None:
        view = JobView()
        valid = msgspec.json.encode(RECORD)
        odd = [with_odd_value(valid, path, NESTED) for path in places(json.loads(valid))]
        rows = [Row(job_key(f"x{n}"), content, n + 1) for n, content in enumerate(odd + ODD_TEXT)]
        rows.append(Row(job_key("j"), valid, 900))
        rows.append(Row(job_key("other"), valid, 901))
        await view.apply_page(RowPage(rows, 901, None))
        assert [stored.content.job_id for stored in view.all()] == ["j"]
        assert view.all()[0].version == 900

    curio.run(test)


# Guards against a receiver that ends with the error of one message's handler.
def test_receiver_goes_on_after_odd_datagrams() -> None:
    async def test() -> None:
        read, write = os.pipe()
        log = ServingLog("n1", lambda: 5.0, write)
        transport = DatagramTransport(("127.0.0.1", 0), log)
        handled: list[Any] = []

        async def handle(message: Any, host: str) -> None:
            handled.append(message)
            if isinstance(message, DirectoryUpdate):
                int(message.age_ms * float("inf"))

        valid = encode_datagram(StreamVersionQuery(["a"]))
        for path in places(json.loads(payload(StreamVersionQuery(["a"])))):
            for odd in ODD_TEXT:
                content = with_odd_value(payload(StreamVersionQuery(["a"])), path, odd)
                await transport._dispatch(netstring(content), "10.0.0.9", handle)
        await transport._dispatch(
            encode_datagram(DirectoryUpdate(None, 1, 1, 1, [])), "10.0.0.9", handle
        )
        handled.clear()
        await transport._dispatch(valid, "10.0.0.9", handle)
        assert handled == [StreamVersionQuery(["a"])]
        for host in ("a\0b", 300 * "a", "", ".", "localhost"):
            transport.send(host, StreamVersionQuery(["a"]))
        await transport.close()
        os.close(write)
        os.close(read)

    curio.run(test)


def test_job_error_is_raised_for_an_odd_record() -> None:
    async def test() -> None:
        view = JobView()
        seen: list[Row] = []
        view.on_invalid = lambda row, error: seen.append(row)
        with pytest.raises(JobError):
            await view.put_row(Row(job_key("j"), NESTED, 3))
        assert [row.version for row in seen] == [3]

    curio.run(test)
