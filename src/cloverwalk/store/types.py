"""Rows, transactions and their outcomes; the interface that a store client implements."""

from enum import Enum
from typing import Protocol

from msgspec import Struct

from cloverwalk.core.errors import CloverwalkError

MAX_ROW_BYTES = 48_000
"""Largest value of a row; the store accepts somewhat more."""


class StoreError(CloverwalkError):
    """A read returned no usable answer. Nothing was changed."""

    default_code = "store_unavailable"


class HistoryLostError(StoreError):
    """The store dropped the changes since the requested version; the table must be read again."""

    default_code = "store_history_lost"


class RowKey(Struct, frozen=True, order=True):
    """The key of a row. Writes to rows of the same ``part`` are serialized."""

    table: str
    part: str
    key: str


class Row(Struct):
    """A stored row; ``value`` is None if the row was removed."""

    row_key: RowKey
    value: bytes | None
    version: int


class Expectation(Struct, frozen=True):
    """The version that a row must have for a transaction to commit; 0 if it must not exist."""

    row_key: RowKey
    version: int


class Put(Struct, frozen=True):
    """Write a row."""

    row_key: RowKey
    value: bytes


class Transaction(Struct):
    """Puts and removals that are applied atomically if all expectations hold."""

    expectations: list[Expectation] = []
    puts: list[Put] = []
    removals: list[RowKey] = []

    @property
    def spans_parts(self) -> bool:
        """Whether the transaction has rows of more than one part."""
        parts = {expectation.row_key.part for expectation in self.expectations}
        parts |= {put.row_key.part for put in self.puts}
        parts |= {row_key.part for row_key in self.removals}
        return len(parts) > 1


class CommitStatus(Enum):
    """The outcome of a transaction."""

    COMMITTED = "committed"
    CONFLICT = "conflict"
    NOT_DONE = "not_done"
    UNKNOWN = "unknown"
    """No answer: it may have committed, or may still commit while its expectations hold."""


class CommitOutcome(Struct):
    """The result of one attempt to commit."""

    status: CommitStatus
    version: int = 0
    now_ms: float | None = None
    """The time of the store; None if there was no answer with it."""

    conflicts: list[Row] = []
    """With CONFLICT: the current rows of the expectations."""

    def conflict(self, row_key: RowKey) -> Row | None:
        """Return the current row of an expectation, None if it does not exist."""
        for row in self.conflicts:
            if row.row_key == row_key and row.value is not None and row.version:
                return row
        return None


class RowPage(Struct):
    """Rows of a read or changes of a table, as of ``version``."""

    rows: list[Row]
    version: int
    now_ms: float | None
    """The time of the store; None if the answer did not contain it."""

    has_more: bool = False


class Store(Protocol):
    """The operations that the product needs from a store. Reads raise StoreError."""

    async def commit(self, transaction: Transaction, timeout_s: float) -> CommitOutcome:
        """Make one attempt to commit; never raises."""
        ...

    async def read(
        self, table: str, part: str, start: str = "", end: str = "", limit: int = 500
    ) -> RowPage:
        """Return the rows with ``start`` <= key < ``end``, sorted by key."""
        ...

    async def read_table(self, table: str) -> RowPage:
        """Return the rows of all parts of a table, and a version from which to follow its changes.

        All that the rows lack has a higher version, although they are read at different moments.
        """
        ...

    async def changes(self, table: str, since: int, wait_s: float) -> RowPage:
        """Return the changes after a version; raise HistoryLostError if the store dropped them."""
        ...
