"""Stores the crash records of contained requests, so that they survive a restart of all processes.

It also stores which parts of prompts were answered while they had crash records: without that,
nodes that start together would blame a popular part for the crashes of others.

Each process reads the table once at its start. The coordinator writes a row when a request becomes
contained and when another replica ends under it, and removes the row when the request is no longer
contained. It does so only at the version of the row that it knows; after a conflict or a lost
answer it reads the table again. There are at most ``MAX_SHARED_RECORDS`` rows of about 500 bytes,
and no calls without crashes.
"""

from collections.abc import Awaitable, Callable

import curio
import msgspec

from cloverwalk.core import catalogue
from cloverwalk.fleet.coordinator import Coordinator
from cloverwalk.fleet.crash_record_sync import CrashRecordSync
from cloverwalk.gateway.crash_ledger import CrashRecord
from cloverwalk.store.clock import StoreClock, StoreTime
from cloverwalk.store.health import StoreHealth
from cloverwalk.store.row_decoder import InvalidRows, RowDecoder
from cloverwalk.store.stored import Stored, Write, create, transaction
from cloverwalk.store.types import CommitStatus, RowKey, Store, StoreError
from cloverwalk.telemetry.log import ServingLog

CRASH_RECORD_TABLE = "crash"
CHECK_INTERVAL_S = 0.1
"""Interval at which the coordinator checks whether a row has to be written."""

CALL_TIMEOUT_S = 1.5
"""Timeout of a transaction, equal to the longest timeout of other transactions."""

RETRY_DELAY_MS = 300.0
MAX_ROWS_PER_KIND = 25
"""Maximum number of rows that are written, and of those that are removed, in one transaction. The
store accepts 100 entries, and each row takes two, one of them for its expected version."""


class StoredCrashRecord(msgspec.Struct, array_like=True, frozen=True):
    """Value of a row: a crash record as of a time of the store."""

    record: CrashRecord
    store_ms: float


_decoder = msgspec.json.Decoder(StoredCrashRecord)


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
        self._decoder = RowDecoder[StoredCrashRecord | None](
            _decoder, lambda: None, InvalidRows(log, catalogue.CASE_INVALID)
        )
        self._clock = clock
        self._rows: dict[str, Stored[StoredCrashRecord | None]] = {}
        """Rows as last read or written, by content hash; invalid ones without content."""

        self._own: dict[str, StoredCrashRecord] = {}
        """What this process last meant to write, by content hash. It is not merged when it is read
        again: the ages that it would get are uncertain, and an answer may have cleared it since."""

        self._is_outdated = False
        """Whether the rows have to be read before the next write."""

        self.is_read = False
        """Whether this process has read the rows since its start."""

    async def run(self) -> None:
        """Read the rows, and write them while this node coordinates, until cancelled."""
        await self._retry_until_answered(self.read)
        while True:
            await self._coordinator.wait_until_active()
            self._own.clear()
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
        self._rows = {row.row_key.key: self._decoder.stored(row) for row in page.rows}
        stored = [row.content for row in self._rows.values() if row.content is not None]
        new = [
            content for content in stored if content != self._own.get(content.record.content_hash)
        ]
        records = [self._record_now(content) for content in new]
        for record in records:
            if record.answered_age_ms is not None:
                self._crash_records.ledger.learn_stored_answer(record, self._clock())
        self._crash_records.merge([one for one in records if one.crash_ages_ms], "store")
        self._is_outdated = False
        self.is_read = True
        return True

    def _record_now(self, stored: StoredCrashRecord) -> CrashRecord:
        """Return a stored crash record with ages as of now."""
        record = stored.record
        now = self._store_clock.now()
        # If the store's time is unknown, the record counts as new and expires later than needed.
        elapsed_ms = 0 if now is None else max(0, round(now.earliest_ms - stored.store_ms))
        return msgspec.structs.replace(
            record,
            crash_ages_ms={key: age + elapsed_ms for key, age in record.crash_ages_ms.items()},
            answered_age_ms=_age_of_stored_answer(record, elapsed_ms),
            sent_ages_ms=[age + elapsed_ms for age in record.sent_ages_ms],
        )

    # --- writing ---

    async def write_due(self) -> bool:
        """Write the rows that differ from the ledger; return whether they are up to date."""
        if self._is_outdated and not await self.read():
            return False
        if self._stored_counts() == self._wanted_counts():
            return True
        return await self._write()

    def _stored_counts(self) -> dict[str, int]:
        """Return the number of replicas that ended, as stored in the rows, by content hash."""
        return {
            key: len(row.content.record.crash_ages_ms)
            for key, row in self._rows.items()
            if row.content is not None
        }

    def _wanted_counts(self) -> dict[str, int]:
        """Return the same as it should be stored; 0 for parts that were answered."""
        ledger = self._crash_records.ledger
        return {**dict.fromkeys(ledger.answers_to_store(), 0), **ledger.contained()}

    async def _write(self) -> bool:
        now, store_time = self._clock(), self._store_clock.now()
        if store_time is None:
            return False
        ledger = self._crash_records.ledger
        wanted, counts = self._wanted_counts(), self._stored_counts()
        changed = [key for key in sorted(wanted) if counts.get(key) != wanted[key]]
        gone = [key for key in sorted(counts) if key not in wanted]
        writes = [
            self._row_write(key, ledger.record_to_store(key, now), store_time)
            for key in changed[:MAX_ROWS_PER_KIND]
        ]
        removed = [self._rows[key] for key in gone[:MAX_ROWS_PER_KIND]]
        outcome = await self._store.commit(
            transaction(*writes, unchanged=removed, removals=[row.row_key for row in removed]),
            CALL_TIMEOUT_S,
        )
        if outcome.status is not CommitStatus.COMMITTED:
            self._is_outdated = outcome.status is not CommitStatus.NOT_DONE
            return False
        for write in writes:
            self._rows[write.row_key.key] = write.committed(outcome)
        for row in removed:
            del self._rows[row.row_key.key]
            self._own.pop(row.row_key.key, None)
        return True

    def _row_write(
        self, key: str, record: CrashRecord, store_time: StoreTime
    ) -> Write[StoredCrashRecord | None]:
        content = self._own[key] = StoredCrashRecord(record, store_time.latest_ms)
        row = self._rows.get(key)
        return create(_row_key(key), content) if row is None else row.replace(content)


def _age_of_stored_answer(record: CrashRecord, elapsed_ms: int) -> int | None:
    """Return the age of an answer that is read; None if the row is of something contained."""
    if record.crash_ages_ms or record.answered_age_ms is None:
        return None
    return record.answered_age_ms + elapsed_ms


def _row_key(content: str) -> RowKey:
    return RowKey(CRASH_RECORD_TABLE, "", content)
