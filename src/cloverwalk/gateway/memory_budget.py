"""What a node holds in memory for clients, replicas and jobs, bounded over the process.

Answers that wait for clients are given up first, that of the client which has taken nothing for
longest; a body that still does not fit is not read. No I/O; time is passed in.
"""

from typing import Protocol

import attrs

BUDGET_SHARE = 0.2
"""Share of the machine's memory for what is held. Bodies stand there up to three times while they
are decoded and sent on, beside a program of about 50 MB: of 160 MB, the rest."""

HAND_IN_SHARE = 0.75
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
    def took_at(self) -> float:
        """When it last took anything."""
        ...

    def give_up(self) -> None:
        """Close its connection and drop what waits for it, at once."""
        ...


@attrs.define
class _Counted:
    """A reader, and what is counted for it."""

    reader: Reader
    bytes: int = 0


@attrs.define
class GivenUp:
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
        self._given_up = GivenUp()
        self._readers: dict[int, _Counted] = {}

    @property
    def total_bytes(self) -> int:
        """All that is held."""
        return self.answers + self.job_bytes + self.bodies * BODY_COPIES

    def has_room(self, size: int, now: float) -> bool:
        """Whether a body may be read; slow readers make room for it."""
        needed = size * BODY_COPIES
        if self.limit and self._counted - self.answers + needed > self.limit:
            # It would not fit without any reader either.
            return False
        self._make_room(needed, now)
        return self._fits(needed)

    def has_capacity_for_job(self, size: int) -> bool:
        """Whether a job whose bodies have been read may be taken."""
        return not self.limit or self.job_bytes + size <= HAND_IN_SHARE * self.limit

    def note_waiting(self, reader: Reader, now: float) -> None:
        """More waits for a client; slow ones are given up where it is too much."""
        self._count(self._readers.setdefault(id(reader), _Counted(reader)))
        self._make_room(0, now)

    def note_taken(self, reader: Reader) -> None:
        """A client has taken some of what waits for it."""
        if (counted := self._readers.get(id(reader))) is not None:
            self._count(counted)

    def forget(self, reader: Reader) -> None:
        """Nothing waits for a client any more."""
        if (counted := self._readers.pop(id(reader), None)) is not None:
            self.answers -= counted.bytes

    def pop_dropped_readers(self) -> GivenUp:
        """Return the clients that were given up since the last call."""
        taken, self._given_up = self._given_up, GivenUp()
        return taken

    def note_given_up(self, reader: Reader, now: float) -> None:
        """A client was given up."""
        self.dropped_readers_total += 1
        told = self._given_up
        told.count += 1
        told.max_bytes = max(told.max_bytes, reader.waiting_bytes)
        told.max_stalled_s = max(told.max_stalled_s, now - reader.took_at)

    def _count(self, counted: _Counted) -> None:
        size = counted.reader.waiting_bytes
        self.answers += size - counted.bytes
        counted.bytes = size

    def _fits(self, needed: int) -> bool:
        return not self.limit or self._counted + needed <= self.limit

    @property
    def _counted(self) -> int:
        """What leaves no room: of jobs their share, beyond which taken over ones may grow."""
        return (
            self.total_bytes - self.job_bytes + min(self.job_bytes, int(HAND_IN_SHARE * self.limit))
        )

    def _make_room(self, needed: int, now: float) -> None:
        while self._readers and not self._fits(needed):
            slowest = min((one.reader for one in self._readers.values()), key=_took_at)
            self.forget(slowest)
            self.note_given_up(slowest, now)
            slowest.give_up()


def _took_at(reader: Reader) -> float:
    return reader.took_at
