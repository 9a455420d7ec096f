"""Rows, transactions and their typed outcomes; the port that a store adapter implements."""

from enum import Enum
from typing import Protocol

from msgspec import Struct

from cloverwalk.core.errors import CloverwalkError


class StoreError(CloverwalkError):
    """A read gave no answer that can be used. Nothing was changed."""

    default_code = "store_unavailable"


class HistoryLostError(StoreError):
    """The changes since the version asked for are gone; the table must be read anew."""

    default_code = "store_history_lost"


class RowKey(Struct, frozen=True, order=True):
    """Names a row. Rows of one ``part`` are written in turn."""

    table: str
    part: str
    key: str


class Row(Struct):
    """A row as the store holds it. ``value`` is None for a removed row."""

    row_key: RowKey
    value: bytes | None
    version: int


class Expectation(Struct, frozen=True):
    """A row must have this version; 0 means that it must not exist."""

    row_key: RowKey
    version: int


class Put(Struct, frozen=True):
    """Write a row."""

    row_key: RowKey
    value: bytes


class Transaction(Struct):
    """All of the puts and removals happen, or none."""

    expectations: list[Expectation] = []
    puts: list[Put] = []
    removals: list[RowKey] = []

    @property
    def spans_parts(self) -> bool:
        """Whether rows of more than one part are named."""
        parts = {expectation.row_key.part for expectation in self.expectations}
        parts |= {put.row_key.part for put in self.puts}
        parts |= {row_key.part for row_key in self.removals}
        return len(parts) > 1


class CommitStatus(Enum):
    """What became of a transaction."""

    COMMITTED = "committed"
    CONFLICT = "conflict"
    NOT_DONE = "not_done"
    UNKNOWN = "unknown"
    """No answer: it may have happened, or may still happen while its expectations hold."""


class CommitOutcome(Struct):
    """The end of one try to commit."""

    status: CommitStatus
    version: int = 0
    now_ms: float | None = None
    """The store's time; None where no answer told it."""

    conflicts: list[Row] = []
    """With CONFLICT: the rows of the expectations as they are."""

    def conflict(self, row_key: RowKey) -> Row | None:
        """Return the present row of an expectation, or None when there is none."""
        for row in self.conflicts:
            if row.row_key == row_key and row.value is not None and row.version:
                return row
        return None


class RowPage(Struct):
    """Rows of a read or changes of a table, as of ``version``."""

    rows: list[Row]
    version: int
    now_ms: float | None
    """The store's time; None where the answer did not tell it."""

    has_more: bool = False


class Store(Protocol):
    """What the product needs of a store. Reads raise StoreError."""

    async def commit(self, transaction: Transaction, timeout_s: float) -> CommitOutcome:
        """Try once to commit; never raises."""
        ...

    async def read(
        self, table: str, part: str, start: str = "", end: str = "", limit: int = 500
    ) -> RowPage:
        """Return rows with ``start`` <= key < ``end`` in order of their keys."""
        ...

    async def read_table(self, table: str) -> RowPage:
        """Return the rows of all parts of a table."""
        ...

    async def changes(self, table: str, since: int, wait_s: float) -> RowPage:
        """Return the changes after a version; raise HistoryLostError when they are gone."""
        ...
