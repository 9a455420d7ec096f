"""Memory that a node buffers for clients, replicas and jobs, with one limit for the process.

When the limit is reached, slow clients are dropped, first the one that has read nothing for the
longest time. A body that still doesn't fit is not read. No I/O; time is passed in.
"""

from typing import Protocol

import attrs

BUDGET_SHARE = 0.2
"""Share of the machine's memory for buffers. Bodies can exist three times while they are decoded
and sent on, and the program itself takes about 50 MB: with 160 MB, that is the remainder."""

JOB_SHARE = 0.75
"""Share of the limit for jobs and their submissions; online requests never wait for batch work."""

BODY_COPIES = 2
"""A body is kept as received, and as sent to a replica that may be slow to read it."""

MAX_WAITING_BYTES = 1_048_576
"""Bytes buffered for one client while its replica is still read; equal to what is buffered of a
plain answer before its first byte is relayed."""


class Reader(Protocol):
    """A client for which a part of an answer is buffered."""

    @property
    def waiting_bytes(self) -> int:
        """Bytes buffered for it."""
        ...

    @property
    def last_read_at(self) -> float:
        """When it last read anything."""
        ...

    def drop(self) -> None:
        """Close its connection and discard its buffer at once."""
        ...


@attrs.define
class _CountedReader:
    """A reader and the bytes that are counted for it."""

    reader: Reader
    counted_bytes: int = 0


@attrs.define
class DroppedReaders:
    """Clients dropped since the last call of ``take_dropped_readers``."""

    count: int = 0
    max_bytes: int = 0
    max_stalled_s: float = 0.0
    """The longest time for which one of them had read nothing."""


class MemoryBudget:
    """Counts buffered bytes against a limit; 0 is no limit."""

    def __init__(self, limit_bytes: int = 0) -> None:
        self.limit_bytes = limit_bytes
        self.answer_bytes = 0
        """Bytes of answers buffered for clients."""

        self.body_bytes = 0
        """Bytes of received bodies, without their copies."""

        self.job_bytes = 0
        """Bytes of the bodies and outputs of this node's jobs."""

        self.sent_bytes = 0
        """Bytes sent to clients since the process started."""

        self.dropped_readers_total = 0
        self._dropped = DroppedReaders()
        self._readers: dict[int, _CountedReader] = {}

    @property
    def total_bytes(self) -> int:
        """All buffered bytes, with the copies of bodies."""
        return self.answer_bytes + self.job_bytes + self.body_bytes * BODY_COPIES

    def has_capacity_for_body(self, size: int, now: float) -> bool:
        """Whether a body may be read; drops slow readers to make it fit."""
        needed = size * BODY_COPIES
        if self.limit_bytes and self._counted_bytes - self.answer_bytes + needed > self.limit_bytes:
            # It would not fit even without the buffers of readers.
            return False
        self._drop_slow_readers(needed, now)
        return self._fits(needed)

    def has_capacity_for_job(self, size: int) -> bool:
        """Whether a job whose bodies were read may be accepted."""
        return not self.limit_bytes or self.job_bytes + size <= JOB_SHARE * self.limit_bytes

    def record_waiting(self, reader: Reader, now: float) -> None:
        """Count more bytes buffered for a client; drops slow readers beyond the limit."""
        self._recount(self._readers.setdefault(id(reader), _CountedReader(reader)))
        self._drop_slow_readers(0, now)

    def record_read(self, reader: Reader) -> None:
        """Count again after a client has read a part of its buffer."""
        if (counted := self._readers.get(id(reader))) is not None:
            self._recount(counted)

    def remove(self, reader: Reader) -> None:
        """Stop counting a client."""
        if (counted := self._readers.pop(id(reader), None)) is not None:
            self.answer_bytes -= counted.counted_bytes

    def pop_dropped_readers(self) -> DroppedReaders:
        """Return the clients dropped since the last call."""
        dropped, self._dropped = self._dropped, DroppedReaders()
        return dropped

    def record_dropped(self, reader: Reader, now: float) -> None:
        """Record a dropped client."""
        self.dropped_readers_total += 1
        dropped = self._dropped
        dropped.count += 1
        dropped.max_bytes = max(dropped.max_bytes, reader.waiting_bytes)
        dropped.max_stalled_s = max(dropped.max_stalled_s, now - reader.last_read_at)

    def _recount(self, counted: _CountedReader) -> None:
        size = counted.reader.waiting_bytes
        self.answer_bytes += size - counted.counted_bytes
        counted.counted_bytes = size

    def _fits(self, needed: int) -> bool:
        return not self.limit_bytes or self._counted_bytes + needed <= self.limit_bytes

    @property
    def _counted_bytes(self) -> int:
        """Bytes counted against the limit: jobs count up to their share, which jobs taken over from
        other nodes may exceed."""
        return (
            self.total_bytes
            - self.job_bytes
            + min(self.job_bytes, int(JOB_SHARE * self.limit_bytes))
        )

    def _drop_slow_readers(self, needed: int, now: float) -> None:
        while self._readers and not self._fits(needed):
            slowest = min((counted.reader for counted in self._readers.values()), key=_last_read_at)
            self.remove(slowest)
            self.record_dropped(slowest, now)
            slowest.drop()


def _last_read_at(reader: Reader) -> float:
    return reader.last_read_at
