"""What a node holds in memory for clients, replicas and jobs, bounded over the process.

Answers that wait for clients are given up first, that of the client which has taken nothing for
longest; a body that still does not fit is not read. No I/O; time is passed in.
"""

from typing import Protocol

import attrs

BUDGET_SHARE = 0.2
"""Share of the machine's memory for what is held. Bodies stand there up to three times while they
are decoded and sent on, beside a program of about 50 MB: of 160 MB, the rest."""

JOB_SHARE = 0.75
"""Share of that for jobs and their hand-ins: online requests never wait behind batch."""

BODY_COPIES = 2
"""A body is held as it came, and as it goes on to a replica that may be slow to take it."""

MAX_WAITING_BYTES = 1_048_576
"""What may wait for one client while its replica is read on: as much as is kept of an answer that
is no stream before its first byte is passed on."""


class Reader(Protocol):
    """A client for whom a part of an answer waits."""

    @property
    def waiting_bytes(self) -> int:
        """How much waits for it."""
        ...

    @property
    def last_read_at(self) -> float:
        """When it last took anything."""
        ...

    def drop(self) -> None:
        """Close its connection and drop what waits for it, at once."""
        ...


@attrs.define
class _CountedReader:
    """A reader, and what is counted for it."""

    reader: Reader
    counted_bytes: int = 0


@attrs.define
class DroppedReaders:
    """Clients that were given up since they were last told."""

    count: int = 0
    max_bytes: int = 0
    max_stalled_s: float = 0.0
    """For how long the slowest of them had taken nothing."""


class MemoryBudget:
    """Counts what is held against a limit; 0 stands for none."""

    def __init__(self, limit_bytes: int = 0) -> None:
        self.limit = limit_bytes
        self.answers = 0
        """What waits for clients."""

        self.bodies = 0
        self.job_bytes = 0
        """Bodies and outputs of the items of own jobs."""

        self.sent_bytes = 0
        """What was sent to clients since the start."""

        self.dropped_readers_total = 0
        self._dropped = DroppedReaders()
        self._readers: dict[int, _CountedReader] = {}

    @property
    def total_bytes(self) -> int:
        """All that is held."""
        return self.answers + self.job_bytes + self.bodies * BODY_COPIES

    def has_capacity_for_body(self, size: int, now: float) -> bool:
        """Whether a body may be read; slow readers make room for it."""
        needed = size * BODY_COPIES
        if self.limit and self._counted_bytes - self.answers + needed > self.limit:
            # It would not fit without any reader either.
            return False
        self._drop_slow_readers(needed, now)
        return self._fits(needed)

    def has_capacity_for_job(self, size: int) -> bool:
        """Whether a job whose bodies have been read may be taken."""
        return not self.limit or self.job_bytes + size <= JOB_SHARE * self.limit

    def note_waiting(self, reader: Reader, now: float) -> None:
        """More waits for a client; slow ones are given up where it is too much."""
        self._recount(self._readers.setdefault(id(reader), _CountedReader(reader)))
        self._drop_slow_readers(0, now)

    def record_read(self, reader: Reader) -> None:
        """A client has taken some of what waits for it."""
        if (counted := self._readers.get(id(reader))) is not None:
            self._recount(counted)

    def remove(self, reader: Reader) -> None:
        """Nothing waits for a client any more."""
        if (counted := self._readers.pop(id(reader), None)) is not None:
            self.answers -= counted.counted_bytes

    def take_dropped_readers(self) -> DroppedReaders:
        """Return the clients that were given up since the last call."""
        dropped, self._dropped = self._dropped, DroppedReaders()
        return dropped

    def record_dropped(self, reader: Reader, now: float) -> None:
        """A client was given up."""
        self.dropped_readers_total += 1
        dropped = self._dropped
        dropped.count += 1
        dropped.max_bytes = max(dropped.max_bytes, reader.waiting_bytes)
        dropped.max_stalled_s = max(dropped.max_stalled_s, now - reader.last_read_at)

    def _recount(self, counted: _CountedReader) -> None:
        size = counted.reader.waiting_bytes
        self.answers += size - counted.counted_bytes
        counted.counted_bytes = size

    def _fits(self, needed: int) -> bool:
        return not self.limit or self._counted_bytes + needed <= self.limit

    @property
    def _counted_bytes(self) -> int:
        """What leaves no room: of jobs their share, beyond which taken over ones may grow."""
        return self.total_bytes - self.job_bytes + min(self.job_bytes, int(JOB_SHARE * self.limit))

    def _drop_slow_readers(self, needed: int, now: float) -> None:
        while self._readers and not self._fits(needed):
            slowest = min((counted.reader for counted in self._readers.values()), key=_last_read_at)
            self.remove(slowest)
            self.record_dropped(slowest, now)
            slowest.drop()


def _last_read_at(reader: Reader) -> float:
    return reader.last_read_at
