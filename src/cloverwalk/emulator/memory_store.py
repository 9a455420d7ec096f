"""An in-memory metadata store with fault injection, for tests and demonstrations."""

from bisect import bisect_right
from collections import deque
from enum import Enum

import curio

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

FEED_POLL_INTERVAL_S = 0.005
"""Default interval at which a waiting change feed checks for changes."""

ROW_BYTES = 65_536
"""Largest value of a row; the store refuses a transaction with a larger one."""


class CommitFault(Enum):
    """A fault of one commit."""

    LOST_ANSWER = "done, not answered"
    NOT_DONE = "refused, nothing done"
    LATE = "not answered; done later if its expectations still hold"


class MemoryStore:
    """Rows whose versions come from one counter; each commit takes its fault from a queue."""

    def __init__(self) -> None:
        self._rows: dict[RowKey, Row] = {}
        self._keys_by_part: dict[tuple[str, str], set[RowKey]] = {}
        self._changes_by_table: dict[str, list[Row]] = {}
        self._oldest_version = 0
        self.feed_poll_interval_s = FEED_POLL_INTERVAL_S
        self.version = 0
        self.now_ms = 0.0
        self.is_down = False
        self.commit_faults: deque[CommitFault | None] = deque()
        self.late: list[Transaction] = []
        self.commits = 0
        self.reads = 0

    # --- store interface ---

    async def commit(self, transaction: Transaction, timeout_s: float) -> CommitOutcome:
        """Commit a transaction, or apply the next queued fault."""
        await curio.sleep(0)
        self.commits += 1
        if self.is_down or any(len(put.value) > ROW_BYTES for put in transaction.puts):
            return CommitOutcome(CommitStatus.NOT_DONE)
        fault = self.commit_faults.popleft() if self.commit_faults else None
        if fault is CommitFault.NOT_DONE:
            return CommitOutcome(CommitStatus.NOT_DONE)
        if fault is CommitFault.LATE:
            self.late.append(transaction)
            return CommitOutcome(CommitStatus.UNKNOWN)
        outcome = self.apply(transaction)
        if fault is CommitFault.LOST_ANSWER:
            return CommitOutcome(CommitStatus.UNKNOWN)
        return outcome

    async def read(
        self, table: str, part: str, start: str = "", end: str = "", limit: int = 500
    ) -> RowPage:
        """Return the rows with ``start`` <= key, and < ``end`` if that is set, sorted by key."""
        await self._begin_read()
        keys = self._keys_by_part.get((table, part), set())
        rows = [
            self._rows[key]
            for key in sorted(keys)
            if key.key >= start and (not end or key.key < end)
        ]
        return RowPage(rows[:limit], self.version, self.now_ms, len(rows) > limit)

    async def read_table(self, table: str) -> RowPage:
        """Return the rows of a table in all of its parts."""
        await self._begin_read()
        rows = [row for key, row in sorted(self._rows.items()) if key.table == table]
        return RowPage(rows, self.version, self.now_ms)

    async def changes(self, table: str, since: int, wait_s: float) -> RowPage:
        """Return the changes after a version; wait up to ``wait_s`` for the first one."""
        wait_ends_at = await curio.clock() + wait_s
        while True:
            await self._begin_read()
            if since < self._oldest_version:
                raise HistoryLostError("compacted")
            changes = self._changes_by_table.get(table, [])
            rows = changes[bisect_right(changes, since, key=lambda row: row.version) :]
            if rows or await curio.clock() >= wait_ends_at:
                return RowPage(rows, self.version, self.now_ms)
            await curio.sleep(self.feed_poll_interval_s)

    async def _begin_read(self) -> None:
        await curio.sleep(0)
        self.reads += 1
        if self.is_down:
            raise StoreError("the store is down")

    # --- state ---

    def apply(self, transaction: Transaction) -> CommitOutcome:
        """Apply a transaction immediately if its expectations hold."""
        for expectation in transaction.expectations:
            if self._version_of(expectation.row_key) != expectation.version:
                return CommitOutcome(
                    CommitStatus.CONFLICT,
                    self.version,
                    self.now_ms,
                    self._current_rows(transaction),
                )
        self.version += 1
        for put in transaction.puts:
            self._set(Row(put.row_key, put.value, self.version))
        for key in transaction.removals:
            if key in self._rows:
                del self._rows[key]
                self._keys_by_part[key.table, key.part].discard(key)
                self._record_change(Row(key, None, self.version))
        return CommitOutcome(CommitStatus.COMMITTED, self.version, self.now_ms)

    def _set(self, row: Row) -> None:
        key = row.row_key
        self._rows[key] = row
        self._keys_by_part.setdefault((key.table, key.part), set()).add(key)
        self._record_change(row)

    def _record_change(self, row: Row) -> None:
        self._changes_by_table.setdefault(row.row_key.table, []).append(row)

    def _version_of(self, key: RowKey) -> int:
        row = self._rows.get(key)
        return 0 if row is None else row.version

    def _current_rows(self, transaction: Transaction) -> list[Row]:
        keys = [expectation.row_key for expectation in transaction.expectations]
        return [self._rows.get(key, Row(key, None, 0)) for key in keys]

    def run_late(self) -> None:
        """Apply the transactions that ``CommitFault.LATE`` delayed."""
        late, self.late = self.late, []
        for transaction in late:
            self.apply(transaction)

    def drop_history(self) -> None:
        """Drop all recorded changes, so that a feed from an earlier version fails."""
        self._changes_by_table.clear()
        self._oldest_version = self.version

    def has_changes(self, table: str, since: int) -> bool:
        """Whether a feed from a version has an answer: changes, or that they were dropped."""
        changes = self._changes_by_table.get(table, [])
        return since < self._oldest_version or bool(changes) and changes[-1].version > since

    def state(self) -> int:
        """Return a hash of the rows, their versions and the kept history."""
        rows = [(key, row.value, row.version) for key, row in self._rows.items()]
        return hash((tuple(sorted(rows, key=repr)), self.version, self._oldest_version))

    def parts(self, table: str) -> set[str]:
        """Return the parts of a table that contain rows."""
        return {
            part
            for (row_table, part), keys in self._keys_by_part.items()
            if row_table == table and keys
        }

    def values(self, table: str) -> dict[str, bytes]:
        """Return the values of a table by key."""
        return {
            key.key: row.value
            for key, row in sorted(self._rows.items())
            if key.table == table and row.value is not None
        }
