"""Work in flight at each replica, over all nodes that were heard lately."""

from msgspec import Struct

PEER_LOAD_VALID_S = 1.5
PEAK_BUCKET_S = 0.25
PEAK_BUCKETS = 1


class InFlight(Struct):
    """Work in flight at one replica."""

    online: int = 0
    batch: int = 0

    @property
    def total(self) -> int:
        """All work."""
        return self.online + self.batch


class _PeerLoad(Struct):
    heard_at: float
    loads: dict[str, tuple[int, int]]


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
    >>> book.begin("r1", is_batch=False, now=0.0)
    >>> book.hear("n2", {"r1": (2, 3)}, now=0.0)
    >>> book.total("r1", now=1.0)
    InFlight(online=3, batch=3)
    >>> book.total("r1", now=9.0)
    InFlight(online=1, batch=0)
    """

    def __init__(self) -> None:
        self.own: dict[str, InFlight] = {}
        self.revision = 0
        """Grows with every change of ``own``."""

        self._peers: dict[str, _PeerLoad] = {}
        self._peaks: dict[str, _Peak] = {}

    def begin(self, replica_id: str, is_batch: bool, now: float) -> None:
        """Work was sent to a replica."""
        own = self.own.setdefault(replica_id, InFlight())
        self.revision += 1
        if is_batch:
            own.batch += 1
            return
        own.online += 1
        self.note_peak(replica_id, now)

    def end(self, replica_id: str, is_batch: bool) -> None:
        """Work ended at a replica, or its connection was closed."""
        own = self.own[replica_id]
        self.revision += 1
        if is_batch:
            own.batch -= 1
        else:
            own.online -= 1
        if own.total == 0:
            del self.own[replica_id]

    def hear(self, node: str, loads: dict[str, tuple[int, int]], now: float) -> None:
        """Take what a peer told: online and batch work by replica."""
        self._peers[node] = _PeerLoad(now, loads)
        for replica_id in loads:
            self.note_peak(replica_id, now)

    def forget(self, node: str) -> None:
        """A peer is gone, and its connections with it."""
        self._peers.pop(node, None)

    def total(self, replica_id: str, now: float) -> InFlight:
        """Return the work in flight of all nodes that were heard lately."""
        own = self.own.get(replica_id)
        online, batch = (own.online, own.batch) if own is not None else (0, 0)
        for peer in self._peers.values():
            if now - peer.heard_at < PEER_LOAD_VALID_S and replica_id in peer.loads:
                peer_online, peer_batch = peer.loads[replica_id]
                online += peer_online
                batch += peer_batch
        return InFlight(online, batch)

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
            batch = peer.loads.get(replica_id, (0, 0))[1]
            if now - peer.heard_at < PEER_LOAD_VALID_S and batch > most:
                best, most = node, batch
        return best
