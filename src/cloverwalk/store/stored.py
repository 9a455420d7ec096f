"""Rows as observed in the store, and the conditional writes that are made from them.

A write that expects a version protects other writers only if its content was derived from that
version. ``Stored`` therefore holds the content and the version of one observation, and a ``Write``
is only made from it. After a conflict or a lost answer a writer goes on from what the store holds,
read or taken from the outcome, and never from what it meant to write.
"""

from collections.abc import Callable, Sequence
from typing import Any, Generic, TypeVar

import attrs
import msgspec

from cloverwalk.store.types import CommitOutcome, Expectation, Put, Row, RowKey, Transaction

Content = TypeVar("Content")


@attrs.frozen
class Stored(Generic[Content]):
    """The content of a row and its version, as of one read or commit."""

    row_key: RowKey
    content: Content
    version: int
    """0 if the row does not exist."""

    @classmethod
    def from_row(cls, row: Row, decode: Callable[[bytes | None], Content]) -> "Stored[Content]":
        """Return the decoded content of a row with its version.

        ``decode`` gets None for a row that does not exist.
        """
        return cls(row.row_key, decode(row.value), 0 if row.value is None else row.version)

    def replace(self, content: Content) -> "Write[Content]":
        """Return the write that replaces the content if the row still has this version."""
        return Write(self.row_key, content, self.version)

    def amend(self, content: Content) -> "Stored[Content]":
        """Return this observation with what is known beyond it; the version stays."""
        return attrs.evolve(self, content=content)


@attrs.frozen
class Write(Generic[Content]):
    """A conditional write of one row."""

    row_key: RowKey
    content: Content
    expected_version: int

    def committed(self, outcome: CommitOutcome) -> Stored[Content]:
        """Return the row after a transaction with this write and the status COMMITTED."""
        return Stored(self.row_key, self.content, outcome.version)


def create(row_key: RowKey, content: Content) -> Write[Content]:
    """Return the write of a row that must not exist yet."""
    return Write(row_key, content, 0)


def transaction(
    *writes: Write[Any],
    unchanged: Sequence[Stored[Any]] = (),
    puts: Sequence[Put] = (),
    removals: Sequence[RowKey] = (),
) -> Transaction:
    """Return a transaction that does its writes, puts and removals if all conditions hold.

    The rows in ``unchanged`` must still have their versions.
    """
    expectations = [Expectation(write.row_key, write.expected_version) for write in writes]
    expectations += [Expectation(stored.row_key, stored.version) for stored in unchanged]
    written = [Put(write.row_key, msgspec.json.encode(write.content)) for write in writes]
    return Transaction(expectations, [*written, *puts], list(removals))
