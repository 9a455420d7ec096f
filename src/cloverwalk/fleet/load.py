"""Work in flight at each replica, over all nodes that were heard lately."""

from collections import deque
from typing import NamedTuple

import attrs
from msgspec import Struct

PEER_LOAD_VALID_S = 1.5
TREND_S = 0.25
"""Time over which growth of online work is looked at: about what an item needs to pay its start."""


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


class PeerBatch(NamedTuple):
    """How many items a peer has at a replica."""

    node: str
    items: int


PeerLoads = dict[str, tuple[int, int, int]]
"""What a peer tells by replica: online work, batch work, time to read its prompts in ms."""


@attrs.define
class Work:
    """A request or an item that this node has at a replica."""

    replica_id: str
    is_batch: bool
    reading_ms: float
    """What is left to read of its prompt, as estimated; 0 from its first output on."""

    has_output: bool = False
    """Whether the replica has put something out: the work has a slot."""


class _PeerLoad(Struct):
    heard_at: float
    loads: PeerLoads


class OnlineTrend:
    """How fast the online work of a group of replicas grows.

    >>> trend = OnlineTrend()
    >>> trend.note(10, now=1.0), trend.note(16, now=1.2)
    (None, None)
    >>> trend.rise()
    6
    >>> trend.note(9, now=2.0)
    >>> trend.rise()
    0
    """

    def __init__(self) -> None:
        self._seen: deque[tuple[float, int]] = deque()

    def note(self, online: int, now: float) -> None:
        """Take the online work of this moment."""
        self._seen.append((now, online))
        while now - self._seen[0][0] > TREND_S:
            self._seen.popleft()

    def rise(self) -> int:
        """Return how much more there is than at the lowest point of the last moments."""
        return self._seen[-1][1] - min(online for _, online in self._seen)


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

    def begin(self, replica_id: str, is_batch: bool, now: float, reading_ms: float = 0.0) -> Work:
        """Work was sent to a replica; the result is passed to ``note_output`` and ``end``."""
        own = self.own.setdefault(replica_id, InFlight())
        self.revision += 1
        own.reading_ms += reading_ms
        if is_batch:
            own.batch += 1
        else:
            own.online += 1
        return Work(replica_id, is_batch, reading_ms)

    def note_output(self, work: Work) -> None:
        """Work has put something out: its prompt was read."""
        work.has_output = True
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
        self._peers[node] = _PeerLoad(now, dict(loads))

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

    def batch_at_peers(self, replica_id: str, now: float) -> list[PeerBatch]:
        """Return the peers with batch work at a replica, those with the most first."""
        there = [
            PeerBatch(node, peer.loads[replica_id][1])
            for node, peer in self._peers.items()
            if now - peer.heard_at < PEER_LOAD_VALID_S and replica_id in peer.loads
        ]
        return sorted(
            (one for one in there if one.items > 0), key=lambda one: (-one.items, one.node)
        )

    def note_asked(self, node: str, replica_id: str, count: int) -> None:
        """A peer was asked to suspend items: they no longer count, until its next digest."""
        peer = self._peers.get(node)
        if peer is None or replica_id not in peer.loads:
            return
        online, batch, reading_ms = peer.loads[replica_id]
        peer.loads[replica_id] = (online, max(0, batch - count), reading_ms)
