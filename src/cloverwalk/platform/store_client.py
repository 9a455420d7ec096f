"""A client of the platform's metadata store, which implements the store interface."""

from base64 import b64decode, b64encode
from typing import Any, TypeVar
from urllib.parse import urlencode

import msgspec
from msgspec import Struct

from cloverwalk.core.decoding import Decoder, InvalidContentError, decode_content
from cloverwalk.gateway.steps import Steps, run_in_steps
from cloverwalk.http.client import BodyTimeout, HttpPool, HttpResponse
from cloverwalk.http.errors import HttpError, LostAnswerError
from cloverwalk.platform import names
from cloverwalk.store.types import (
    CommitOutcome,
    CommitStatus,
    HistoryLostError,
    Row,
    RowKey,
    RowPage,
    StoreError,
    Transaction,
)

READ_TIMEOUT_S = 1.2
WAIT_MARGIN_S = 0.8
LONG_READ_TIMEOUT = BodyTimeout(idle_timeout_s=0.8, total_s=8.0)
"""Limits on a body that arrives slowly. The silence limit does not exceed ``WAIT_MARGIN_S``, so a
feed call whose body stalls during its wait times out no later than without them."""

PAGE_ROWS = 500
CHARACTERS_PER_STEP = 1_048_576
"""Encoded characters of a row's value that are decoded in one step; a multiple of 4."""

NOT_DONE_STATUSES = (503, 507)
"""Server errors that prove that nothing was done; after others the outcome is unknown."""

JSON_HEADERS = {"Content-Type": "application/json"}

INVALID_VALUE = b"\xff"
"""Stands for a value that is not base64. It is no text in UTF-8, so the reader of the row finds it
invalid, and the other rows of the page are used."""

INVALID_TEXT = "\N{REPLACEMENT CHARACTER}"
"""Not base64."""

Body = TypeVar("Body")


class _WireRow(Struct):
    table: str = ""
    part: str = ""
    key: str = ""
    value: str | None = None
    ver: int = 0
    gone: bool = False


class _RowsAnswer(Struct):
    ver: int
    """Required: a body without it is no valid answer about rows."""

    rows: list[_WireRow] = []
    now_ms: float | None = None
    more: bool = False


class _AnyRow(Struct):
    """A row whose value may have any type."""

    table: str = ""
    part: str = ""
    key: str = ""
    value: msgspec.Raw = msgspec.Raw(b"null")
    ver: int = 0
    gone: bool = False


class _AnyRowsAnswer(Struct):
    ver: int
    rows: list[_AnyRow] = []
    now_ms: float | None = None
    more: bool = False


class _PartsAnswer(Struct):
    parts: list[str] = []
    more: bool = False


_rows_decoder = msgspec.json.Decoder(_RowsAnswer)
_any_rows_decoder = msgspec.json.Decoder(_AnyRowsAnswer)
_text_decoder = msgspec.json.Decoder(str | None)
_parts_decoder = msgspec.json.Decoder(_PartsAnswer)


class PlatformStore:
    """Calls the store over reused connections."""

    def __init__(self, address: str) -> None:
        self._pool = HttpPool(address)

    # --- store interface ---

    async def commit(self, transaction: Transaction, timeout_s: float) -> CommitOutcome:
        """Make one attempt to commit; never raises."""
        body = msgspec.json.encode(_wire_transaction(transaction))
        try:
            response = await self._call("POST", names.TRANSACTION_PATH, body, timeout_s)
        except LostAnswerError:
            return CommitOutcome(CommitStatus.UNKNOWN)
        except HttpError:
            return CommitOutcome(CommitStatus.NOT_DONE)
        if response.status not in (200, 412):
            is_refused = response.status < 500 or response.status in NOT_DONE_STATUSES
            return CommitOutcome(CommitStatus.NOT_DONE if is_refused else CommitStatus.UNKNOWN)
        try:
            answer = _decode_rows(response.body)
        except StoreError:
            return CommitOutcome(CommitStatus.UNKNOWN)
        if response.status == 200:
            return CommitOutcome(CommitStatus.COMMITTED, answer.ver, answer.now_ms)
        rows = [_row(row) for row in answer.rows]
        return CommitOutcome(CommitStatus.CONFLICT, answer.ver, answer.now_ms, rows)

    async def read(
        self, table: str, part: str, start: str = "", end: str = "", limit: int = PAGE_ROWS
    ) -> RowPage:
        """Return the rows with ``start`` <= key < ``end``, sorted by key."""
        query = {"table": table, "part": part, "limit": str(limit)}
        if start:
            query["from"] = start
        if end:
            # The end of the range of keys, despite the name of the parameter.
            query["target_version"] = end
        response = await self._get(names.READ_PATH, query, READ_TIMEOUT_S)
        return await run_in_steps(decode_page(response.body, table, part))

    async def read_table(self, table: str) -> RowPage:
        """Return the rows of all parts of a table, and a version from which to follow its changes.

        The version is that of the first answer of all, before the parts are listed. A change that
        it does not include is among the changes after it, whatever the later answers show of it:
        a row in a part that is not listed yet, one behind a page that has been read, a removal.
        The version of a later answer would not do: the row of a part that appears after the list
        is in no page, and may have a lower version.
        """
        pages, parts = [], [""]
        if table not in names.EMPTY_PART_TABLES:
            first = await self.read(table, "", limit=1)
            pages.append(RowPage([], first.version, first.now_ms))
            parts = await self._parts(table)
        for part in parts:
            pages += await self._read_part(table, part)
        rows = [row for page in pages for row in page.rows]
        return RowPage(rows, pages[0].version, pages[-1].now_ms)

    async def _read_part(self, table: str, part: str) -> list[RowPage]:
        pages: list[RowPage] = []
        start = ""
        while True:
            page = await self.read(table, part, start)
            pages.append(page)
            if not page.has_more or not page.rows:
                return pages
            start = page.rows[-1].row_key.key + "\x01"

    async def _parts(self, table: str) -> list[str]:
        parts: list[str] = []
        while True:
            query = {"table": table}
            if parts:
                # The last part of the previous page, despite the name of the parameter.
                query["since_revision"] = parts[-1]
            response = await self._get(names.PARTS_PATH, query, READ_TIMEOUT_S)
            answer = _decode(_parts_decoder, response.body)
            parts += answer.parts
            if not answer.more or not answer.parts:
                return parts

    async def changes(self, table: str, since: int, wait_s: float) -> RowPage:
        """Return the changes after a version; raise HistoryLostError if the store dropped them."""
        query = {
            "table": table,
            "since_revision": str(since),
            "wait_ms": str(int(wait_s * 1000)),
        }
        response = await self._get(names.FEED_PATH, query, wait_s + WAIT_MARGIN_S)
        page = await run_in_steps(decode_page(response.body, table, None))
        # The version of a page must never go back.
        page.version = max(page.version, since)
        return page

    # --- calls ---

    async def _get(self, path: str, query: dict[str, str], timeout_s: float) -> HttpResponse:
        try:
            response = await self._call(
                "GET", f"{path}?{urlencode(query)}", b"", timeout_s, LONG_READ_TIMEOUT
            )
        except HttpError as error:
            raise StoreError(str(error), "store_silent") from error
        if response.status == 410:
            raise HistoryLostError("the store has dropped the changes since this version")
        if response.status != 200:
            raise StoreError(f"the store answered {response.status}", "store_busy")
        return response

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes,
        timeout_s: float,
        body_timeout: BodyTimeout | None = None,
    ) -> HttpResponse:
        headers = JSON_HEADERS if body else {}
        try:
            return await self._pool.call(method, path, body, headers, timeout_s, body_timeout)
        except HttpError:
            # The other reused connections may be broken as well.
            await self._pool.close()
            raise


def _decode(decoder: Decoder[Body], body: bytes) -> Body:
    try:
        return decode_content(decoder, body)
    except InvalidContentError as error:
        raise StoreError(str(error), "store_answer_invalid") from error


def _decode_rows(body: bytes) -> _RowsAnswer:
    """Decode an answer with rows; raise StoreError if it is invalid.

    A row with a valid key and version but another value than text or null has ``INVALID_VALUE``.
    """
    try:
        return decode_content(_rows_decoder, body)
    except InvalidContentError:
        answer = _decode(_any_rows_decoder, body)
    rows = [_any_row(row) for row in answer.rows]
    return _RowsAnswer(answer.ver, rows, answer.now_ms, answer.more)


def _any_row(row: _AnyRow) -> _WireRow:
    try:
        value = decode_content(_text_decoder, row.value)
    except InvalidContentError:
        value = INVALID_TEXT
    return _WireRow(row.table, row.part, row.key, value, row.ver, row.gone)


def decode_page(body: bytes, table: str, part: str | None) -> Steps[RowPage]:
    """Decode an answer with rows in steps; raise StoreError if it is invalid."""
    answer = _decode_rows(body)
    yield
    rows = []
    for wire in answer.rows:
        if wire.value is not None and len(wire.value) > CHARACTERS_PER_STEP:
            value = yield from _decode_long_value(wire.value)
            rows.append(_row(wire, table, part, value))
        else:
            rows.append(_row(wire, table, part))
    return RowPage(rows, answer.ver, answer.now_ms, answer.more)


def _decode_long_value(text: str) -> Steps[bytes]:
    parts = []
    for start in range(0, len(text), CHARACTERS_PER_STEP):
        try:
            parts.append(b64decode(text[start : start + CHARACTERS_PER_STEP], validate=True))
        except ValueError:
            return INVALID_VALUE
        yield
    return b"".join(parts)


def _row(
    wire: _WireRow, table: str = "", part: str | None = None, value: bytes | None = None
) -> Row:
    """Return a row; ``value`` is its value if that has been decoded already."""
    key = RowKey(wire.table or table, wire.part or part or "", wire.key)
    if wire.gone or wire.value is None or wire.ver == 0:
        return Row(key, None, wire.ver)
    return Row(key, _decode_value(wire.value) if value is None else value, wire.ver)


def _decode_value(text: str) -> bytes:
    try:
        return b64decode(text, validate=True)
    except ValueError:
        return INVALID_VALUE


def _wire_key(key: RowKey) -> dict[str, Any]:
    return {"table": key.table, "part": key.part, "key": key.key}


def _wire_transaction(transaction: Transaction) -> dict[str, Any]:
    wire: dict[str, Any] = {
        # Expectations about rows, each with the key and version of the row.
        "expected_revision": [
            {**_wire_key(expectation.row_key), "ver": expectation.version}
            for expectation in transaction.expectations
        ],
        "put": [
            {**_wire_key(put.row_key), "value": b64encode(put.value).decode()}
            for put in transaction.puts
        ],
        "remove": [_wire_key(row_key) for row_key in transaction.removals],
    }
    if transaction.spans_parts:
        wire["across"] = True
    return wire
