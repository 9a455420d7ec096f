"""Reads of long bodies over slow links, and of bodies that stall."""

import curio
import pytest
from returning_world import SimulatedTime, in_simulated_time

from cloverwalk.http.client import ClientConnection, HttpPool, HttpResponse
from cloverwalk.http.errors import LostAnswerError
from cloverwalk.platform.store_client import (
    LONG_READ_TIMEOUT,
    READ_TIMEOUT_S,
    WAIT_MARGIN_S,
    PlatformStore,
)
from cloverwalk.store.types import CommitStatus, StoreError, Transaction

ANSWER = b'{"ver":3,"rows":[{"key":"k","ver":3,"value":"YWJj"}]}'
SILENT = 3600.0

PART_BYTES = 16_384
LONG_READ_PARTS = 29
READERS = 34
LINK_BYTES_PER_S = 3_750_000


class SlowConnection:
    """Sends the head after ``head_s`` and one byte of the answer after each of the delays."""

    def __init__(self, head_s: float, delays_s: list[float]) -> None:
        self._head_s = head_s
        self._delays_s = delays_s
        self.is_closed = False

    async def send(self, method: str, path: str, headers: dict[str, str], body: bytes) -> None:
        return

    async def head(self) -> HttpResponse:
        await curio.sleep(self._head_s)
        return HttpResponse(200, {}, b"")

    async def read_body(self) -> bytes:
        for delay_s in self._delays_s:
            await curio.sleep(delay_s)
        return ANSWER

    def reset(self) -> bool:
        return True

    async def close(self) -> None:
        self.is_closed = True


class ScriptedBodyConnection(SlowConnection):
    """Reads the body as a real connection does, in parts with scripted delays."""

    read_slow_body = ClientConnection.read_slow_body

    async def next_part(self) -> bytes | None:
        if not self._delays_s:
            return None
        await curio.sleep(self._delays_s.pop(0))
        return ANSWER if not self._delays_s else b""


class SharedLink:
    """Shares its bandwidth equally among all readers."""

    def __init__(self, bytes_per_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._readers = 0

    async def transmit_part(self) -> None:
        self._readers += 1
        await curio.sleep(self._readers * PART_BYTES / self._bytes_per_s)
        self._readers -= 1


class SharedLinkConnection(ScriptedBodyConnection):
    """Receives an answer in parts over a shared link."""

    def __init__(self, link: SharedLink, parts: int) -> None:
        super().__init__(0.06, parts * [0.0])
        self._link = link

    async def next_part(self) -> bytes | None:
        if self._delays_s:
            await self._link.transmit_part()
        return await super().next_part()


def store_with(connection: SlowConnection) -> PlatformStore:
    store = PlatformStore("store:1")
    store._pool = HttpPool("store:1")
    store._pool._idle.append(connection)  # type: ignore[arg-type]
    return store


# Guards against restarting a long read that makes progress.
def test_read_that_makes_progress_is_not_ended_by_the_limit_of_a_call() -> None:
    async def test(time: SimulatedTime) -> None:
        store = store_with(ScriptedBodyConnection(0.5, 9 * [0.7]))
        page = await store.read_table("op")
        assert page.rows[0].value == b"abc"
        assert time.now > 1000 + 5 * READ_TIMEOUT_S

    in_simulated_time(test)


# Guards against nodes that restart their long reads endlessly and so starve all other reads.
def test_all_readers_of_a_shared_link_end_their_long_reads_and_short_ones() -> None:
    async def test(time: SimulatedTime) -> None:
        link = SharedLink(LINK_BYTES_PER_S)
        versions: list[int] = []

        async def read(parts: int) -> None:
            page = await store_with(SharedLinkConnection(link, parts)).read_table("op")
            versions.append(page.version)

        async with curio.TaskGroup() as tasks:
            for _ in range(READERS):
                await tasks.spawn(read, LONG_READ_PARTS)
            await curio.sleep(1.0)
            await tasks.spawn(read, 1)
        assert len(versions) == READERS + 1

    in_simulated_time(test)


# Guards against a silent connection that is detected later than the timeout of the call.
@pytest.mark.parametrize(
    ("head_s", "delays_s"), [(SILENT, []), (0.1, [SILENT]), (0.2, [0.2, SILENT])]
)
def test_silent_connection_ends_with_the_limit_of_a_call(
    head_s: float, delays_s: list[float]
) -> None:
    async def test(time: SimulatedTime) -> None:
        connection = ScriptedBodyConnection(head_s, delays_s)
        with pytest.raises(StoreError):
            await store_with(connection).changes("op", 1, 0.8)
        assert time.now == pytest.approx(1000 + 0.8 + WAIT_MARGIN_S)
        assert connection.is_closed

    in_simulated_time(test)


# Guards against a stalled body that blocks the follower until the total timeout.
def test_body_that_stops_midway_ends_after_the_silence() -> None:
    async def test(time: SimulatedTime) -> None:
        with pytest.raises(StoreError):
            await store_with(ScriptedBodyConnection(0.5, [0.7, 0.7, 0.7, SILENT])).read_table("op")
        assert time.now == pytest.approx(1000 + 2.6 + LONG_READ_TIMEOUT.idle_timeout_s)

    in_simulated_time(test)


# Guards against a slowly trickling body that blocks the follower indefinitely.
def test_body_that_trickles_ends_with_the_limit_of_the_whole() -> None:
    async def test(time: SimulatedTime) -> None:
        with pytest.raises(StoreError):
            await store_with(ScriptedBodyConnection(0.1, 1000 * [0.5])).read_table("op")
        assert time.now == pytest.approx(1000 + LONG_READ_TIMEOUT.total_s)

    in_simulated_time(test)


# Guards against commits that use the timeouts of long reads.
def test_commit_keeps_its_limit() -> None:
    async def test(time: SimulatedTime) -> None:
        store = store_with(SlowConnection(0.3, 9 * [0.3]))
        outcome = await store.commit(Transaction([], [], []), 0.6)
        assert outcome.status is CommitStatus.UNKNOWN
        assert time.now == pytest.approx(1000.6)

    in_simulated_time(test)


# Guards against other calls that exceed their own timeout.
def test_other_calls_keep_their_limit() -> None:
    async def test(time: SimulatedTime) -> None:
        pool = store_with(SlowConnection(0.3, 9 * [0.3]))._pool
        with pytest.raises(LostAnswerError):
            await pool.call("GET", "/", timeout_s=1.0)
        assert time.now == pytest.approx(1001.0)

    in_simulated_time(test)
