"""Stores the records of streams, so that clients can resume them after all processes restart.

While a service has several software versions, the coordinator gets the record of each stream
(``stream_version_sync``). It writes the new ones together as a row, and removes rows whose records
have all expired. A coordinator reads the rows when it takes the role; any node does for a stream
that no node knows. With one version there are no records and no calls, but for one read.
"""

from collections.abc import Callable

import curio
import msgspec

from cloverwalk.core import catalogue
from cloverwalk.core.byte_lists import split_by_bytes
from cloverwalk.core.decoding import InvalidContentError, check_bounds
from cloverwalk.fleet.coordinator import Coordinator
from cloverwalk.fleet.messages import StreamRecord
from cloverwalk.fleet.stream_version_sync import StreamVersionSync
from cloverwalk.store.clock import StoreClock
from cloverwalk.store.health import StoreHealth
from cloverwalk.store.row_decoder import MAX_TEXT_CHARACTERS, InvalidRows, RowDecoder
from cloverwalk.store.stored import Stored, Write, create, transaction
from cloverwalk.store.types import MAX_ROW_BYTES, CommitStatus, RowKey, Store, StoreError
from cloverwalk.telemetry.log import ServingLog

STREAM_TABLE = "stream"
WRITE_INTERVAL_S = 0.05
"""Streams that began within this time and that of a call before all processes end can't be
resumed."""

CALL_TIMEOUT_S = 1.5
RETRY_DELAY_MS = 300.0
LOOKUP_INTERVAL_S = 2.0
"""Lookups within this time share a read: rows hold little that is newer than a process and unknown
to all nodes."""

LOOKUP_TIMEOUT_S = 0.5
"""How long a resumption waits for the rows."""

MAX_RECORDS_PER_ROW = 1000
MAX_RECORD_BYTES = MAX_ROW_BYTES - 100
"""Encoded records in a row; the rest of the row is for its other fields."""

MAX_ROWS = 1000
"""More rows are not kept; the oldest are removed first."""

MAX_REMOVALS = 40
"""Rows that are removed in one transaction. The store accepts 100 entries, and each row takes two,
one of them for its expected version."""


class StoredStreams(msgspec.Struct, array_like=True, frozen=True):
    """Value of a row: records of streams as of a time of the store."""

    records: list[StreamRecord]
    store_ms: float

    @property
    def expires_ms(self) -> float:
        """Time of the store after which no record is needed any more."""
        return self.store_ms + max((record.remaining_ms for record in self.records), default=0)


_decoder = msgspec.json.Decoder(StoredStreams)


class StreamVersionStore:
    """Writes the rows while this node coordinates, and reads them."""

    def __init__(
        self,
        sync: StreamVersionSync,
        coordinator: Coordinator,
        store: Store,
        health: StoreHealth,
        store_clock: StoreClock,
        incarnation: str,
        log: ServingLog,
        clock: Callable[[], float],
    ) -> None:
        self._sync = sync
        self._coordinator = coordinator
        self._store = store
        self._health = health
        self._store_clock = store_clock
        self._incarnation = incarnation
        self._log = log
        invalid_rows = InvalidRows(log, catalogue.VERSION_HISTORY_INVALID)
        self._decoder = RowDecoder(_decoder, lambda: StoredStreams([], 0.0), invalid_rows)
        """An invalid row counts as empty, so it is removed."""

        self._rows: dict[str, Stored[StoredStreams]] = {}
        """Rows as last read or written, by key."""

        self._is_outdated = True
        """Whether the rows have to be read before the next write."""

        self._rows_written = 0
        self._clock = clock
        self._lookup_lock = curio.Lock()
        self._looked_up_at = float("-inf")
        sync.look_up = self.look_up

    async def run(self) -> None:
        """Keep the rows up to date while this node coordinates, until cancelled."""
        while True:
            await self._coordinator.wait_until_active()
            self._is_outdated = True
            while self._coordinator.is_active:
                if await self.update():
                    await curio.sleep(WRITE_INTERVAL_S)
                else:
                    await self._health.backoff(RETRY_DELAY_MS)

    async def update(self) -> bool:
        """Read or write rows if necessary; return False if that has to be repeated."""
        if self._is_outdated:
            return await self._read()
        return await self._write()

    async def _read(self) -> bool:
        rows = await self._read_rows()
        if rows is None:
            return False
        self._rows = rows
        self._is_outdated = False
        return True

    async def look_up(self) -> None:
        """Add the records of all rows; calls in short succession share one read."""
        async with curio.ignore_after(LOOKUP_TIMEOUT_S), self._lookup_lock:
            is_due = self._clock() - self._looked_up_at >= LOOKUP_INTERVAL_S
            if is_due and await self._read_rows() is not None:
                self._looked_up_at = self._clock()

    async def _read_rows(self) -> dict[str, Stored[StoredStreams]] | None:
        """Add the records of all rows, and return these; None if the store does not answer."""
        try:
            page = await self._store.read_table(STREAM_TABLE)
        except StoreError:
            return None
        rows = {row.row_key.key: self._decoder.stored(row) for row in page.rows}
        now = self._store_clock.now()
        for row in rows.values():
            stored = row.content
            # If the store's time is unknown, the records expire later than needed.
            elapsed_ms = 0.0 if now is None else max(0.0, now.earliest_ms - stored.store_ms)
            self._sync.add_stored(stored.records, elapsed_ms)
        return rows

    async def _write(self) -> bool:
        now = self._store_clock.now()
        if now is None:
            return True
        unneeded = self._unneeded(now.earliest_ms)
        records = self._next_records()
        if not records and not unneeded:
            return True
        writes = [self._new_row(StoredStreams(records, now.latest_ms))] if records else []
        outcome = await self._store.commit(
            transaction(*writes, unchanged=unneeded, removals=[row.row_key for row in unneeded]),
            CALL_TIMEOUT_S,
        )
        if outcome.status is not CommitStatus.COMMITTED:
            self._sync.return_unsaved(records)
            self._is_outdated = outcome.status is not CommitStatus.NOT_DONE
            return False
        for row in unneeded:
            del self._rows[row.row_key.key]
        for write in writes:
            self._rows[write.row_key.key] = write.committed(outcome)
        return True

    def _next_records(self) -> list[StreamRecord]:
        """Return the records of the next row; those that no reader would accept are dropped."""
        valid, odd = [], 0
        for record in self._sync.pop_unsaved(MAX_RECORDS_PER_ROW):
            try:
                check_bounds(record, MAX_TEXT_CHARACTERS)
            except InvalidContentError:
                odd += 1
            else:
                valid.append(record)
        if odd:
            self._log.write(catalogue.VERSION_HISTORY_INVALID, error=f"{odd} records are too long")
        first, *others = split_by_bytes(valid, MAX_RECORD_BYTES).parts or [[]]
        for part in others:
            self._sync.return_unsaved(part)
        return first

    def _unneeded(self, now_ms: float) -> list[Stored[StoredStreams]]:
        """Return rows to remove: expired ones, and the oldest if there are too many."""
        expired = [row for row in self._rows.values() if row.content.expires_ms < now_ms]
        if not expired and len(self._rows) > MAX_ROWS:
            by_age = sorted(self._rows.values(), key=lambda row: row.content.store_ms)
            return by_age[: min(MAX_REMOVALS, len(self._rows) - MAX_ROWS)]
        return expired[:MAX_REMOVALS]

    def _new_row(self, content: StoredStreams) -> Write[StoredStreams]:
        self._rows_written += 1
        key = f"{self._incarnation}/{self._rows_written:08d}"
        return create(RowKey(STREAM_TABLE, "", key), content)
