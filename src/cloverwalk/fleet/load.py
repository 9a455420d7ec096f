"""Work in flight at each replica, over all nodes that were heard lately."""

from collections.abc import Iterable
from typing import NamedTuple

import attrs
from msgspec import Struct

PEER_LOAD_VALID_S = 1.5
SUMS_VALID_S = 0.005
"""How long sums are kept without a change; only the estimate of what is still read drifts."""


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


NOTHING = InFlight()
"""Work in flight at a replica that has none; not to be changed."""


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
        self._version = 0
        self._sums: dict[str, InFlight] = {}
        self._summed_at = float("-inf")
        self._summed_version = -1
        self._summed_revision = -1

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
        self._version += 1

    def forget(self, node: str) -> None:
        """A peer is gone, and its connections with it."""
        self._peers.pop(node, None)
        self._version += 1

    def total(self, replica_id: str, now: float) -> InFlight:
        """Return the work in flight of all nodes that were heard lately.

        What peers had to read is taken to be read on since they told of it. The sums of all
        replicas are worked out together, and again after any change or ``SUMS_VALID_S``.
        """
        is_current = (
            self._summed_version == self._version and self._summed_revision == self.revision
        )
        if not is_current or not 0 <= now - self._summed_at < SUMS_VALID_S:
            self._sum_up(now)
        return self._sums.get(replica_id, NOTHING)

    def _sum_up(self, now: float) -> None:
        self._summed_at = now
        self._summed_version = self._version
        self._summed_revision = self.revision
        sums = {
            key: InFlight(own.online, own.batch, own.reading_ms) for key, own in self.own.items()
        }
        for peer in self._peers.values():
            age_s = now - peer.heard_at
            if age_s >= PEER_LOAD_VALID_S:
                continue
            for key, (online, batch, reading_ms) in peer.loads.items():
                total = sums.setdefault(key, InFlight())
                total.online += online
                total.batch += batch
                total.reading_ms += max(0.0, reading_ms - age_s * 1000)
        self._sums = sums

    def sum_of(self, nodes: Iterable[str], now: float) -> PeerLoads:
        """Return the work of this node and some peers by replica."""
        heard = [self._peers[node] for node in nodes if node in self._peers]
        fresh = [one for one in heard if now - one.heard_at < PEER_LOAD_VALID_S]
        sums = {
            key: (own.online, own.batch, round(own.reading_ms)) for key, own in self.own.items()
        }
        for peer in fresh:
            age_ms = (now - peer.heard_at) * 1000
            for key, (online, batch, reading_ms) in peer.loads.items():
                left_ms = max(0, round(reading_ms - age_ms))
                before = sums.get(key, (0, 0, 0))
                sums[key] = (before[0] + online, before[1] + batch, before[2] + left_ms)
        return sums

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
        self._version += 1
