"""Answers of the store that are cut off, or followed by surplus bytes, are never used."""

from collections.abc import Awaitable, Callable

import curio
import pytest
from scripted_replica import TEST_TIMEOUT_S, Call, End, Framing, ScriptedReplica, Step, chunked

from cloverwalk.platform.store_client import PlatformStore
from cloverwalk.store.types import CommitStatus, Row, RowKey, StoreError, Transaction

BODY = b'{"ver":12,"now_ms":5.0,"rows":[{"key":"k","ver":12,"value":"YWJj"}],"more":false}'
ROW = Row(RowKey("t", "p", "k"), b"abc", 12)
COMMIT_TIMEOUT_S = 5.0
REASONS = {200: b"OK", 412: b"Precondition Failed", 503: b"Unavailable", 410: b"Gone"}


def store_answer(framing: Framing, status: int = 200, body: bytes = BODY) -> bytes:
    lines = [b"HTTP/1.1 %d %s" % (status, REASONS[status]), b"Content-Type: application/json"]
    if framing is Framing.LENGTH:
        lines.append(b"Content-Length: %d" % len(body))
    elif framing is Framing.CHUNKED:
        lines.append(b"Transfer-Encoding: chunked")
    data = chunked(body) if framing is Framing.CHUNKED else body
    return b"\r\n".join([*lines, b"", b""]) + data


class ScriptedStore:
    """A store whose next answers are set by the test; its client keeps one connection."""

    def __init__(self) -> None:
        self.server = ScriptedReplica(self._steps)
        host, port = self.server.address
        self.client = PlatformStore(f"{host}:{port}")
        self.answers: list[list[Step]] = []

    def _steps(self, call: Call) -> list[Step]:
        return self.answers.pop(0)

    async def read(self, *answers: list[Step]) -> list[Row] | None:
        """Return the rows that a read gets from the last answer; None if it fails.

        The others are read before it, so that it comes on a used connection.
        """
        await self.client._pool.close()
        self.answers = list(answers)
        for _ in answers[1:]:
            assert (await self.client.read("t", "p")).rows == [ROW]
        try:
            return (await self.client.read("t", "p")).rows
        except StoreError:
            return None

    async def commit(self, answer: list[Step]) -> CommitStatus:
        """Return the status of a commit that gets this answer on a used connection."""
        await self.client._pool.close()
        self.answers = [[store_answer(Framing.LENGTH)], answer]
        assert (await self.client.read("t", "p")).rows == [ROW]
        return (await self.client.commit(Transaction(), COMMIT_TIMEOUT_S)).status


def with_store(test: Callable[[ScriptedStore], Awaitable[None]]) -> None:
    async def main() -> None:
        store = ScriptedStore()
        serving = await curio.spawn(store.server.run)
        try:
            async with curio.timeout_after(TEST_TIMEOUT_S):
                await test(store)
        finally:
            await serving.cancel()

    curio.run(main)


def is_complete(data: bytes, position: int, framing: Framing, end: End) -> bool:
    return position == len(data) and (framing is not Framing.UNTIL_CLOSE or end is End.FIN)


@pytest.mark.parametrize("end", End)
@pytest.mark.parametrize("framing", Framing)
def test_cut_answer_to_read_is_not_used(framing: Framing, end: End) -> None:
    data = store_answer(framing)
    none: list[list[Step]] = []
    used: list[list[Step]] = [[store_answer(Framing.LENGTH)]]

    async def test(store: ScriptedStore) -> None:
        for position in range(len(data) + 1):
            for before in none, used:
                rows = await store.read(*before, [data[:position], end])
                expected = [ROW] if is_complete(data, position, framing, end) else None
                assert rows == expected, (position, len(before))
        assert max(call.turn for call in store.server.calls) == 1

    with_store(test)


@pytest.mark.parametrize(
    ("status", "expected"),
    [
        (200, CommitStatus.COMMITTED),
        (412, CommitStatus.CONFLICT),
        (503, CommitStatus.NOT_DONE),
    ],
)
@pytest.mark.parametrize("end", End)
@pytest.mark.parametrize("framing", Framing)
def test_outcome_of_commit_is_unknown_after_cut_answer(
    framing: Framing, end: End, status: int, expected: CommitStatus
) -> None:
    data = store_answer(framing, status)
    head = data.index(b"\r\n\r\n") + 4

    async def test(store: ScriptedStore) -> None:
        for position in range(len(data) + 1):
            outcome = await store.commit([data[:position], end])
            is_whole = is_complete(data, position, framing, end)
            if status == 503 and framing is Framing.UNTIL_CLOSE and end is End.FIN:
                # Its body is not read, and any part of it ends with the connection.
                is_whole = position >= head
            assert outcome is (expected if is_whole else CommitStatus.UNKNOWN), position

    with_store(test)


@pytest.mark.parametrize("comes_later", [False, True])
def test_surplus_bytes_are_no_answer_to_next_call(comes_later: bool) -> None:
    """The next call fails or gets its own answer."""
    whole = store_answer(Framing.LENGTH)
    surplus = store_answer(Framing.LENGTH, body=BODY.replace(b"YWJj", b"eHl6"))

    async def test(store: ScriptedStore) -> None:
        for position in range(1, len(surplus) + 1):
            part = surplus[:position]
            await store.client._pool.close()
            first: list[Step] = [whole] if comes_later else [whole + part]
            store.answers = [first, [whole]]
            assert (await store.client.read("t", "p")).rows == [ROW]
            if comes_later:
                await store.server.clients[-1].sendall(part)
            try:
                assert (await store.client.read("t", "p")).rows == [ROW]
            except StoreError:
                assert comes_later

    with_store(test)
