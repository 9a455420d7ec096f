"""The calls of an emulated metadata store on its rows, without connections."""

import json
from base64 import b64decode, b64encode
from typing import Any
from urllib.parse import parse_qs, urlsplit

from cloverwalk.emulator.memory_store import MemoryStore
from cloverwalk.platform import names
from cloverwalk.store.types import (
    CommitStatus,
    Expectation,
    HistoryLostError,
    Put,
    Row,
    RowKey,
    Transaction,
)


class PlatformStoreCalls:
    """Answers calls of the store's protocol on the rows of a ``MemoryStore``."""

    def __init__(self, rows: MemoryStore) -> None:
        self.rows = rows

    async def answer(self, method: str, target: str, body: bytes) -> tuple[int, Any]:
        """Carry out a call; return its status and the document of its answer."""
        url = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        if method == "POST" and url.path == names.TRANSACTION_PATH:
            return self._transaction(json.loads(body))
        if url.path == names.PARTS_PATH:
            parts = sorted(self.rows.parts(query["table"]))
            return 200, {"parts": parts, "more": False}
        if url.path == names.READ_PATH:
            page = await self.rows.read(
                query["table"],
                query.get("part", ""),
                query.get("from", ""),
                query.get("target_version", ""),
                int(query.get("limit", "500")),
            )
            rows = wire_rows(page.rows)
            return 200, {**self._version_fields(), "rows": rows, "more": page.has_more}
        if url.path == names.FEED_PATH:
            return await self._feed(query)
        return 404, {}

    async def _feed(self, query: dict[str, str]) -> tuple[int, Any]:
        wait_s = int(query.get("wait_ms", "0")) / 1000
        try:
            page = await self.rows.changes(query["table"], int(query["since_revision"]), wait_s)
        except HistoryLostError:
            return 410, {}
        return 200, {**self._version_fields(), "rows": wire_rows(page.rows)}

    def _transaction(self, wire: Any) -> tuple[int, Any]:
        transaction = transaction_of(wire)
        if transaction.spans_parts and not wire.get("across"):
            return 400, {}
        outcome = self.rows.apply(transaction)
        if outcome.status is CommitStatus.COMMITTED:
            return 200, self._version_fields()
        return 412, {**self._version_fields(), "rows": wire_rows(outcome.conflicts)}

    def _version_fields(self) -> dict[str, Any]:
        return {"ver": self.rows.version, "now_ms": self.rows.now_ms}


def _key(wire: Any) -> RowKey:
    return RowKey(wire["table"], wire.get("part", ""), wire["key"])


def transaction_of(wire: Any) -> Transaction:
    """Decode the body of a transaction call."""
    return Transaction(
        [Expectation(_key(entry), entry["ver"]) for entry in wire["expected_revision"]],
        [Put(_key(entry), b64decode(entry["value"])) for entry in wire["put"]],
        [_key(entry) for entry in wire["remove"]],
    )


def wire_rows(rows: list[Row]) -> list[dict[str, Any]]:
    """Encode rows for a response body."""
    wire = []
    for row in rows:
        key = row.row_key
        entry = {"table": key.table, "part": key.part, "key": key.key, "ver": row.version}
        if row.value is None:
            entry["gone"] = True
        else:
            entry["value"] = b64encode(row.value).decode()
        wire.append(entry)
    return wire
