"""Keeps contained requests in the store: a fleet that was killed whole knows them again.

Each process reads the table once as it starts. The coordinator writes a row when a request is
contained, and when another replica ends under it, and removes it when it is free again: at most
``MAX_SHARED_RECORDS`` rows of some 500 bytes, and no call on days without crashes.
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

CASE_TABLE = "crash"
LOOK_EVERY_S = 0.1
"""How often the coordinator looks whether a row is due; a look costs a comparison."""

CALL_TIMEOUT_S = 1.5
"""As long as other transactions of the product wait for the store at the most."""

RETRY_MS = 300.0
MOST_WRITTEN = 50
"""Rows of each kind in one transaction; the store takes 100 entries."""


class StoredCase(msgspec.Struct, array_like=True):
    """A row: a case as it was at a time of the store."""

    case: CrashRecord
    store_ms: float


class CrashRecordStore:
    """Reads and writes the rows."""

    def __init__(
        self,
        cases: CrashRecordSync,
        coordinator: Coordinator,
        store: Store,
        health: StoreHealth,
        store_clock: StoreClock,
        log: ServingLog,
        clock: Callable[[], float],
    ) -> None:
        self._cases = cases
        self._coordinator = coordinator
        self._store = store
        self._health = health
        self._store_clock = store_clock
        self._log = log
        self._clock = clock
        self._stored: dict[str, int] = {}
        """Replicas that ended, as the store's rows say, by content."""

        self.is_read = False
        """Whether the rows were read, since this process started."""

    async def run(self) -> None:
        """Read the rows, and write them whenever this node coordinates, until cancelled."""
        await self._repeat(self.read)
        while True:
            await self._coordinator.wait_until_active()
            # Another coordinator may have written meanwhile.
            await self._repeat(self.read)
            while self._coordinator.is_active:
                await curio.sleep(LOOK_EVERY_S)
                await self._repeat(self.write_due)

    async def _repeat(self, call: Callable[[], Awaitable[bool]]) -> None:
        """Repeat a call until the store has answered it, at least as long as the store is away."""
        while not await call():
            await self._health.backoff(RETRY_MS)

    # --- reading ---

    async def read(self) -> bool:
        """Take the cases of all rows; return whether the store has told them."""
        try:
            page = await self._store.read_table(CASE_TABLE)
        except StoreError:
            return False
        self._stored = {}
        copies = [copy for row in page.rows if (copy := self._decode(row)) is not None]
        self._cases.merge(copies, "store")
        self.is_read = True
        return True

    def _decode(self, row: Row) -> CrashRecord | None:
        """Return a row's case, its ages counted until now; None for a row that can't be read."""
        if row.value is None:
            return None
        try:
            stored = msgspec.json.decode(row.value, type=StoredCase)
        except msgspec.DecodeError as error:
            key = row.row_key.key
            self._log.write(catalogue.CASE_INVALID, key=key, error=str(error)[:200])
            return None
        case = stored.case
        self._stored[case.content_hash] = len(case.crash_ages_ms)
        now = self._store_clock.now()
        # Without the store's time the case counts as new: it is forgotten later than it might be.
        elapsed_ms = 0 if now is None else max(0, round(now.earliest_ms - stored.store_ms))
        ages = {key: age_ms + elapsed_ms for key, age_ms in case.crash_ages_ms.items()}
        return CrashRecord(case.content_hash, ages)

    # --- writing ---

    async def write_due(self) -> bool:
        """Have the rows say what this node knows; return whether they do."""
        if self._stored == self._cases.ledger.contained():
            return True
        return await self._write()

    async def _write(self) -> bool:
        now, store_time = self._clock(), self._store_clock.now()
        if store_time is None:
            return False
        wanted = self._cases.ledger.contained()
        puts = []
        for content in sorted(wanted):
            if self._stored.get(content) == wanted[content]:
                continue
            case = self._cases.ledger.record_of(content, now)
            value = msgspec.json.encode(StoredCase(case, store_time.latest_ms))
            puts.append(Put(_row_key(content), value))
        removals = [_row_key(content) for content in sorted(self._stored) if content not in wanted]
        outcome = await self._store.commit(
            Transaction(puts=puts[:MOST_WRITTEN], removals=removals[:MOST_WRITTEN]), CALL_TIMEOUT_S
        )
        if outcome.status is not CommitStatus.COMMITTED:
            return False
        for put in puts[:MOST_WRITTEN]:
            self._stored[put.row_key.key] = wanted[put.row_key.key]
        for key in removals[:MOST_WRITTEN]:
            del self._stored[key.key]
        return True


def _row_key(content: str) -> RowKey:
    return RowKey(CASE_TABLE, "", content)
