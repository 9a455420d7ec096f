"""Rows, transactions and replies of the platform's table service."""

from enum import StrEnum

from msgspec import Struct


class Row(Struct, frozen=True):
    """A stored row. ``version`` counts its writes from 1; ``op_id`` names the last one."""

    key: str
    version: int
    value: str
    op_id: str


class Check(Struct, frozen=True):
    """A condition: the row has this version; 0 means that the row does not exist."""

    key: str
    version: int


class Put(Struct, frozen=True):
    """Write a row."""

    key: str
    value: str


class Transaction(Struct, frozen=True):
    """An atomic transaction: if any check fails, nothing is written."""

    op_id: str
    checks: list[Check]
    puts: list[Put]
    deletes: list[str] = []


class CommitStatus(StrEnum):
    """How a commit ended."""

    COMMITTED = "committed"
    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"  # certainly not applied
    UNKNOWN = "unknown"  # no answer; it may have been applied


class CommitReply(Struct, frozen=True):
    """The answer to a transaction; on conflict, the current rows whose checks failed."""

    status: CommitStatus
    conflicts: list[Row] = []


class ReadReply(Struct, frozen=True):
    """Rows under a prefix in key order; ``available`` is False when the store did not answer."""

    available: bool
    rows: list[Row] = []


class ObjectReply(Struct, frozen=True):
    """The answer to an object call: ``found`` is None when the store did not answer."""

    found: bool | None
    body: str = ""
