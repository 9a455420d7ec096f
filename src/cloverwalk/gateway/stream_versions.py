"""The software that began each recent stream.

A record is made from what its node sent and received, and never changes to another version. Two
records that differ, or a replica that may have restarted with other software, make it unknown.
"""

from collections.abc import Callable, Iterable
from hashlib import blake2b

import attrs

from cloverwalk.gateway.replicas import Replica
from cloverwalk.gateway.software_versions import Software, software_of

MAX_STREAMS = 20_000
"""Records that a node keeps, about 8 MB; the oldest are dropped first."""

MAX_LIFETIME_S = 600.0
MAX_KEY_LENGTH = 64


def stream_key(request_id: str) -> str:
    """Return the key of the stream that a request began; long ids are replaced by a digest."""
    if len(request_id) <= MAX_KEY_LENGTH:
        return request_id
    return blake2b(request_id.encode("utf-8", "surrogateescape"), digest_size=24).hexdigest()


@attrs.define
class StreamVersion:
    """The software that began a stream."""

    stream: str
    software: Software
    expires_at: float
    """Time after which its client no longer resumes it (monotonic clock, seconds)."""

    replica_id: str = ""
    """Replica that began it; empty for records of other nodes."""

    opened_at: float = float("inf")
    """When the connection to that replica was opened (monotonic clock, seconds)."""

    @property
    def is_local(self) -> bool:
        """Whether this node sent the stream's first request."""
        return bool(self.replica_id)


class StreamVersionTable:
    """Records by stream. Their number is bounded, and each expires with its client's deadline.

    >>> now = 0.0
    >>> table = StreamVersionTable(lambda: now)
    >>> _ = table.record(StreamVersion("r1", Software("s", "v1"), expires_at=5.0))
    >>> table.find("r1")
    Software(service='s', version='v1')
    >>> _ = table.record(StreamVersion("r1", Software("s", "v2"), expires_at=5.0))
    >>> table.find("r1") is None, table.is_version_unknown("r1")
    (True, True)
    """

    def __init__(self, clock: Callable[[], float], max_streams: int = MAX_STREAMS) -> None:
        self._clock = clock
        self._max_streams = max_streams
        self._by_stream: dict[str, StreamVersion] = {}
        self.dropped = 0
        """Records that were dropped before they expired."""

    def __len__(self) -> int:
        return len(self._by_stream)

    def record(self, record: StreamVersion) -> StreamVersion:
        """Add a record, or extend and check the one of the same stream; return the kept one."""
        record.expires_at = min(record.expires_at, self._clock() + MAX_LIFETIME_S)
        kept = self._find_record(record.stream)
        if kept is None:
            # A dictionary keeps the place of a key that is replaced.
            self._by_stream.pop(record.stream, None)
            self._by_stream[record.stream] = record
            self._drop_oldest()
            return record
        kept.expires_at = max(kept.expires_at, record.expires_at)
        if kept.software != record.software:
            kept.software = Software(kept.software.service, "")
        return kept

    def _drop_oldest(self) -> None:
        while len(self._by_stream) > self._max_streams:
            del self._by_stream[next(iter(self._by_stream))]
            self.dropped += 1

    def _find_record(self, stream: str) -> StreamVersion | None:
        record = self._by_stream.get(stream)
        return None if record is None or record.expires_at <= self._clock() else record

    def find(self, stream: str) -> Software | None:
        """Return the software that began a stream, None if it is unknown."""
        record = self._find_record(stream)
        return None if record is None or not record.software.is_known else record.software

    def is_version_unknown(self, stream: str) -> bool:
        """Whether there is a record of a stream, and it does not tell the version."""
        record = self._find_record(stream)
        return record is not None and not record.software.is_known

    def records(self, streams: Iterable[str]) -> list[StreamVersion]:
        """Return the records of those of the streams that have one."""
        found = [self._find_record(stream) for stream in streams]
        return [record for record in found if record is not None]

    def local_records(self, service: str | None = None) -> list[StreamVersion]:
        """Return the records of streams that this node began, of one service or of all."""
        now = self._clock()
        return [
            record
            for record in self._by_stream.values()
            if record.is_local
            and record.expires_at > now
            and service in (None, record.software.service)
        ]

    def records_of(self, service: str) -> list[StreamVersion]:
        """Return the records of a service's streams, also of those that other nodes began."""
        now = self._clock()
        return [
            record
            for record in self._by_stream.values()
            if record.expires_at > now and record.software.service == service
        ]

    def mark_unknown(self, replica: Replica, opened_since: float) -> list[StreamVersion]:
        """Make the version unknown of streams that a replica's new incarnation may have begun.

        These are the ones over connections opened since ``opened_since``, unless its software is
        the same. Returns their records.
        """
        software = software_of(replica)
        changed = [
            record
            for record in self.local_records()
            if record.replica_id == replica.replica_id
            and record.opened_at >= opened_since
            and record.software.is_known
            and record.software != software
        ]
        for record in changed:
            record.software = Software(record.software.service, "")
        return changed

    def expire(self) -> None:
        """Drop expired records."""
        now = self._clock()
        expired = [key for key, record in self._by_stream.items() if record.expires_at <= now]
        for key in expired:
            del self._by_stream[key]
