"""Work in flight at each replica, over all nodes that were heard lately."""

import attrs
from msgspec import Struct

PEER_LOAD_VALID_S = 1.5
PEAK_BUCKET_S = 0.25
PEAK_BUCKETS = 1


class InFlight(Struct):
    """Work in flight at one replica."""

    online: int = 0
    batch: int = 0
    reading_ms: float = 0.0
    """Time that the replica needs for prompts that were sent and have put out nothing yet."""

    @property
    def total(self) -> int:
        """All work."""
        return self.online + self.batch


PeerLoads = dict[str, tuple[int, int, int]]
"""What a peer tells by replica: online work, batch work, time to read its prompts in ms."""


@attrs.define
class Work:
    """A request or an item that this node has at a replica."""

    replica_id: str
    is_batch: bool
    reading_ms: float
    """What is left to read of its prompt, as estimated; 0 from its first output on."""


class _PeerLoad(Struct):
    heard_at: float
    loads: PeerLoads


class _Peak:
    """The highest number seen in a sliding window."""

    def __init__(self) -> None:
        self._buckets: dict[int, int] = {}

    def note(self, value: int, now: float) -> None:
        bucket = int(now / PEAK_BUCKET_S)
        if value > self._buckets.get(bucket, -1):
            self._buckets[bucket] = value
        if len(self._buckets) > PEAK_BUCKETS + 1:
            for old in [one for one in self._buckets if one < bucket - PEAK_BUCKETS]:
                del self._buckets[old]

    def value(self, now: float) -> int:
        first = int(now / PEAK_BUCKET_S) - PEAK_BUCKETS
        return max((v for b, v in self._buckets.items() if b >= first), default=0)


class LoadBook:
    """Own work in flight, and what peers told of theirs.

    >>> book = LoadBook()
    >>> work = book.begin("r1", is_batch=False, now=0.0, reading_ms=50.0)
    >>> book.hear("n2", {"r1": (2, 3, 400)}, now=0.0)
    >>> book.total("r1", now=0.1)
    InFlight(online=3, batch=3, reading_ms=350.0)
    >>> book.note_output(work)
    >>> book.total("r1", now=9.0)
    InFlight(online=1, batch=0, reading_ms=0.0)
    """

    def __init__(self) -> None:
        self.own: dict[str, InFlight] = {}
        self.revision = 0
        """Grows with every change of ``own``."""

        self._peers: dict[str, _PeerLoad] = {}
        self._peaks: dict[str, _Peak] = {}

    def begin(self, replica_id: str, is_batch: bool, now: float, reading_ms: float = 0.0) -> Work:
        """Work was sent to a replica; the result is passed to ``note_output`` and ``end``."""
        own = self.own.setdefault(replica_id, InFlight())
        self.revision += 1
        own.reading_ms += reading_ms
        if is_batch:
            own.batch += 1
        else:
            own.online += 1
            self.note_peak(replica_id, now)
        return Work(replica_id, is_batch, reading_ms)

    def note_output(self, work: Work) -> None:
        """Work has put something out: its prompt was read."""
        if work.reading_ms == 0.0:
            return
        self.own[work.replica_id].reading_ms -= work.reading_ms
        work.reading_ms = 0.0
        self.revision += 1

    def end(self, work: Work) -> None:
        """Work ended at a replica, or its connection was closed."""
        own = self.own[work.replica_id]
        self.revision += 1
        own.reading_ms -= work.reading_ms
        if work.is_batch:
            own.batch -= 1
        else:
            own.online -= 1
        if own.total == 0:
            del self.own[work.replica_id]

    def hear(self, node: str, loads: PeerLoads, now: float) -> None:
        """Take what a peer told of its work by replica."""
        self._peers[node] = _PeerLoad(now, loads)
        for replica_id in loads:
            self.note_peak(replica_id, now)

    def forget(self, node: str) -> None:
        """A peer is gone, and its connections with it."""
        self._peers.pop(node, None)

    def total(self, replica_id: str, now: float) -> InFlight:
        """Return the work in flight of all nodes that were heard lately.

        What peers had to read is taken to be read on since they told of it.
        """
        own = self.own.get(replica_id)
        total = InFlight() if own is None else InFlight(own.online, own.batch, own.reading_ms)
        for peer in self._peers.values():
            age_s = now - peer.heard_at
            if age_s < PEER_LOAD_VALID_S and replica_id in peer.loads:
                online, batch, reading_ms = peer.loads[replica_id]
                total.online += online
                total.batch += batch
                total.reading_ms += max(0.0, reading_ms - age_s * 1000)
        return total

    def note_peak(self, replica_id: str, now: float) -> None:
        """Remember the online work of this moment."""
        online = self.total(replica_id, now).online
        self._peaks.setdefault(replica_id, _Peak()).note(online, now)

    def online_peak(self, replica_id: str, now: float) -> int:
        """Return the most online work at once within the last seconds."""
        peak = self._peaks.get(replica_id)
        return 0 if peak is None else peak.value(now)

    def heaviest_batch_peer(self, replica_id: str, now: float) -> str | None:
        """Return the peer with the most batch work at a replica, or None."""
        best, most = None, 0
        for node in sorted(self._peers):
            peer = self._peers[node]
            batch = peer.loads.get(replica_id, (0, 0, 0))[1]
            if now - peer.heard_at < PEER_LOAD_VALID_S and batch > most:
                best, most = node, batch
        return best
