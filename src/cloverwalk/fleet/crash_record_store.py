"""Stores the crash records of contained requests, so that they survive a restart of all processes.

Each process reads the table once at its start. The coordinator writes a row when a request becomes
contained and when another replica ends under it, and removes the row when the request is no longer
contained. There are at most ``MAX_SHARED_RECORDS`` rows of about 500 bytes, and no calls without
crashes.
"""

from collections.abc import Awaitable, Callable

import curio
import msgspec

from cloverwalk.core import catalogue
from cloverwalk.fleet.coordinator import Coordinator
from cloverwalk.fleet.crash_record_sync import CrashRecordSync
from cloverwalk.gateway.crash_ledger import CrashRecord
from cloverwalk.store.clock import StoreClock
from cloverwalk.store.health import StoreHealth
from cloverwalk.store.types import CommitStatus, Put, Row, RowKey, Store, StoreError, Transaction
from cloverwalk.telemetry.log import ServingLog

CRASH_RECORD_TABLE = "crash"
CHECK_INTERVAL_S = 0.1
"""Interval at which the coordinator checks whether a row has to be written."""

CALL_TIMEOUT_S = 1.5
"""Timeout of a transaction, equal to the longest timeout of other transactions."""

RETRY_DELAY_MS = 300.0
MAX_ROWS_PER_KIND = 50
"""Maximum number of puts, and of removals, in one transaction; the store accepts 100 entries."""


class StoredCrashRecord(msgspec.Struct, array_like=True):
    """Value of a row: a crash record as of a time of the store."""

    record: CrashRecord
    store_ms: float


class CrashRecordStore:
    """Reads and writes the rows of contained requests."""

    def __init__(
        self,
        crash_records: CrashRecordSync,
        coordinator: Coordinator,
        store: Store,
        health: StoreHealth,
        store_clock: StoreClock,
        log: ServingLog,
        clock: Callable[[], float],
    ) -> None:
        self._crash_records = crash_records
        self._coordinator = coordinator
        self._store = store
        self._health = health
        self._store_clock = store_clock
        self._log = log
        self._clock = clock
        self._stored: dict[str, int] = {}
        """Number of replicas that ended, as stored in the rows, by content hash."""

        self.is_read = False
        """Whether this process has read the rows since its start."""

    async def run(self) -> None:
        """Read the rows, and write them while this node coordinates, until cancelled."""
        await self._retry_until_answered(self.read)
        while True:
            await self._coordinator.wait_until_active()
            # Another coordinator may have written rows meanwhile.
            await self._retry_until_answered(self.read)
            while self._coordinator.is_active:
                await curio.sleep(CHECK_INTERVAL_S)
                await self._retry_until_answered(self.write_due)

    async def _retry_until_answered(self, call: Callable[[], Awaitable[bool]]) -> None:
        """Repeat a call until it succeeds; the backoff ends early when the store is back."""
        while not await call():
            await self._health.backoff(RETRY_DELAY_MS)

    # --- reading ---

    async def read(self) -> bool:
        """Merge the crash records of all rows; return whether the store has answered."""
        try:
            page = await self._store.read_table(CRASH_RECORD_TABLE)
        except StoreError:
            return False
        self._stored = {}
        records = [record for row in page.rows if (record := self._decode(row)) is not None]
        self._crash_records.merge(records, "store")
        self.is_read = True
        return True

    def _decode(self, row: Row) -> CrashRecord | None:
        """Return a row's crash record with ages as of now; None if the row is invalid."""
        if row.value is None:
            return None
        try:
            stored = msgspec.json.decode(row.value, type=StoredCrashRecord)
        except msgspec.DecodeError as error:
            key = row.row_key.key
            self._log.write(catalogue.CASE_INVALID, key=key, error=str(error)[:200])
            return None
        record = stored.record
        self._stored[record.content_hash] = len(record.crash_ages_ms)
        now = self._store_clock.now()
        # If the store's time is unknown, the record counts as new and expires later than needed.
        elapsed_ms = 0 if now is None else max(0, round(now.earliest_ms - stored.store_ms))
        return CrashRecord(
            record.content_hash,
            {key: age_ms + elapsed_ms for key, age_ms in record.crash_ages_ms.items()},
            sent_ages_ms=[age_ms + elapsed_ms for age_ms in record.sent_ages_ms],
            requests=record.requests,
        )

    # --- writing ---

    async def write_due(self) -> bool:
        """Write the rows that differ from the ledger; return whether they are up to date."""
        if self._stored == self._crash_records.ledger.contained():
            return True
        return await self._write()

    async def _write(self) -> bool:
        now, store_time = self._clock(), self._store_clock.now()
        if store_time is None:
            return False
        wanted = self._crash_records.ledger.contained()
        puts = []
        for content in sorted(wanted):
            if self._stored.get(content) == wanted[content]:
                continue
            record = self._crash_records.ledger.record_of(content, now)
            value = msgspec.json.encode(StoredCrashRecord(record, store_time.latest_ms))
            puts.append(Put(_row_key(content), value))
        removals = [_row_key(content) for content in sorted(self._stored) if content not in wanted]
        outcome = await self._store.commit(
            Transaction(puts=puts[:MAX_ROWS_PER_KIND], removals=removals[:MAX_ROWS_PER_KIND]),
            CALL_TIMEOUT_S,
        )
        if outcome.status is not CommitStatus.COMMITTED:
            return False
        for put in puts[:MAX_ROWS_PER_KIND]:
            self._stored[put.row_key.key] = wanted[put.row_key.key]
        for key in removals[:MAX_ROWS_PER_KIND]:
            del self._stored[key.key]
        return True


def _row_key(content: str) -> RowKey:
    return RowKey(CRASH_RECORD_TABLE, "", content)
