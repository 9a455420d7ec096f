"""Records of streams in the store: written while they are needed, read by the next coordinator."""

from typing import Any

import curio
import pytest

from cloverwalk.emulator.memory_store import CommitFault, MemoryStore
from cloverwalk.fleet import stream_version_store
from cloverwalk.fleet.identity import Identity
from cloverwalk.fleet.messages import Contact, StreamRecord, StreamVersions
from cloverwalk.fleet.stream_version_store import (
    LOOKUP_INTERVAL_S,
    STREAM_TABLE,
    StreamVersionStore,
)
from cloverwalk.fleet.stream_version_sync import StreamVersionSync
from cloverwalk.gateway.software_versions import Software
from cloverwalk.gateway.stream_versions import StreamVersionTable
from cloverwalk.store.clock import StoreTime
from cloverwalk.store.types import Put, RowKey, Transaction

REMAINING_MS = 4000
V1 = Software("model", "v1")


class Standin:
    """Stands in for the coordinator, the versions that are listed, and the store's clock."""

    on_second_version: Any = None

    def __init__(self, world: "Rows", is_active: bool) -> None:
        self._world = world
        self.is_active = is_active

    def single(self, service: str, lifetime_s: float) -> None:
        """Return None: the service has several versions."""

    def contacts(self) -> list[Contact]:
        """Return no other node: they were all killed."""
        return []

    def now(self) -> StoreTime:
        now_ms = self._world.now * 1000
        return StoreTime(now_ms, now_ms)


class LogLines:
    """Stands in for the log."""

    def __init__(self) -> None:
        self.lines: list[object] = []

    def write(self, event: object, **fields: object) -> None:
        self.lines.append(event)


class Rows:
    """A store, and the processes that coordinate one after the other."""

    def __init__(self) -> None:
        self.now = 100.0
        self.store = MemoryStore()
        self.log = LogLines()

    def start(self, run: str, *, is_active: bool = True) -> "Process":
        return Process(self, run, is_active)

    async def start_with(self, *streams: str) -> "Process":
        """Start a process that coordinates and has stored the records of streams."""
        process = self.start("a")
        await process.update()
        await process.receive(*streams)
        await process.update()
        return process


class Process:
    """A process; it coordinates if ``is_active``."""

    def __init__(self, world: Rows, run: str, is_active: bool) -> None:
        standin: Any = Standin(world, is_active)
        unused: Any = None
        log: Any = world.log
        clock = lambda: world.now  # noqa: E731
        identity = Identity("n1", run, "10.0.0.1", "z1")
        self.streams = StreamVersionTable(clock)
        self.sync = StreamVersionSync(
            identity, standin, standin, unused, standin, self.streams, clock
        )
        self.rows = StreamVersionStore(
            self.sync, standin, world.store, unused, standin, identity.incarnation, log, clock
        )

    async def receive(self, *streams: str) -> None:
        records = [StreamRecord(stream, *V1, REMAINING_MS) for stream in streams]
        await self.sync.handle_records(StreamVersions(records))

    async def update(self) -> None:
        """Repeat until rows are read and written."""
        for _ in range(4):
            await self.rows.update()


@pytest.mark.parametrize("fault", [None, *CommitFault])
def test_next_coordinator_knows_streams_of_a_killed_fleet(fault: CommitFault | None) -> None:
    async def test() -> None:
        world = Rows()
        process = world.start("a")
        await process.update()
        await process.receive("s1", "s2")
        world.store.commit_faults.append(fault)
        await process.update()
        world.now += 1.0
        restarted = world.start("b")
        await restarted.update()
        assert restarted.streams.find("s1") == restarted.streams.find("s2") == V1
        world.now += REMAINING_MS / 1000 - 1.0
        assert restarted.streams.find("s1") is None

    curio.run(test)


# All streams were refused until a coordinator was elected.
def test_node_looks_up_a_stream_before_there_is_a_coordinator() -> None:
    async def test() -> None:
        world = Rows()
        await world.start_with("s1")
        restarted = world.start("b", is_active=False)
        reads = world.store.reads
        assert await restarted.sync.ask("s1") == V1
        assert await restarted.sync.ask("never-begun") is None
        assert world.store.reads == reads + 1
        world.now += LOOKUP_INTERVAL_S
        assert await restarted.sync.ask("never-begun") is None
        assert world.store.reads == reads + 2

    curio.run(test)


def test_rows_of_expired_records_are_removed() -> None:
    async def test() -> None:
        world = Rows()
        await world.start_with("s1")
        restarted = world.start("b")
        world.now += REMAINING_MS / 1000 + 0.1
        await restarted.update()
        assert restarted.streams.find("s1") is None
        assert world.store.values(STREAM_TABLE) == {}

    curio.run(test)


def test_number_of_rows_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(stream_version_store, "MAX_ROWS", 3)

    async def test() -> None:
        world = Rows()
        process = world.start("a")
        await process.update()
        for number in range(8):
            world.now += 0.1
            await process.receive(f"s{number}")
            await process.update()
        assert len(world.store.values(STREAM_TABLE)) == 3
        restarted = world.start("b")
        await restarted.update()
        known = [number for number in range(8) if restarted.streams.find(f"s{number}") == V1]
        assert known == [5, 6, 7]

    curio.run(test)


# Guards against a row that the store refuses, again and again, and all records after it with it.
def test_records_with_long_names_are_stored_in_several_rows() -> None:
    async def test() -> None:
        world = Rows()
        process = world.start("a")
        await process.update()
        streams = [f"{number:064d}" for number in range(2500)]
        await process.receive(*streams)
        for _ in range(8):
            await process.update()
        await world.start("b").update()
        restarted = world.start("c")
        await restarted.update()
        assert len(restarted.streams.records(streams)) == len(streams)
        assert not world.log.lines

    curio.run(test)


def test_record_that_is_too_long_does_not_keep_others_from_being_stored() -> None:
    async def test() -> None:
        world = Rows()
        process = world.start("a")
        await process.update()
        await process.receive("s1", 1000 * "s", 70_000 * "s", "s2")
        await process.update()
        assert len(world.log.lines) == 1
        restarted = world.start("b")
        await restarted.update()
        assert restarted.streams.find("s1") == restarted.streams.find("s2") == V1

    curio.run(test)


def test_store_is_not_called_without_new_records() -> None:
    async def test() -> None:
        world = Rows()
        process = await world.start_with("s1")
        commits = world.store.commits
        await process.update()
        assert world.store.commits == commits

    curio.run(test)


def test_invalid_row_does_not_keep_others_from_being_read() -> None:
    async def test() -> None:
        world = Rows()
        await world.start_with("s1")
        world.store.apply(Transaction([], [Put(RowKey(STREAM_TABLE, "", "bad"), b"{")], []))
        restarted = world.start("b")
        await restarted.update()
        assert restarted.streams.find("s1") == V1
        assert len(world.log.lines) == 1
        assert len(world.store.values(STREAM_TABLE)) == 1

    curio.run(test)
