"""Work that this node has in flight at each replica."""

import attrs
from msgspec import Struct


class InFlight(Struct):
    """Work in flight at one replica."""

    online: int = 0
    batch: int = 0
    tokens: int = 0
    """Memory that it may take at the replica, in tokens."""

    batch_tokens: int = 0
    """The part of ``tokens`` that items take."""

    @property
    def total(self) -> int:
        """All work."""
        return self.online + self.batch


NOTHING_IN_FLIGHT = InFlight()
"""Work in flight at a replica that has none; not to be changed."""


@attrs.define
class InFlightEntry:
    """A request or an item that this node has at a replica."""

    replica_id: str
    is_batch: bool
    tokens: int = 0
    has_output: bool = False
    """Whether the replica has put something out: the work has a slot."""


class InFlightTracker:
    """Own work in flight.

    >>> book = InFlightTracker()
    >>> work = book.begin("r1", is_batch=False)
    >>> book.begin("r1", is_batch=True).has_output
    False
    >>> book.by_replica["r1"]
    InFlight(online=1, batch=1, tokens=0, batch_tokens=0)
    >>> book.end(work)
    >>> book.by_replica["r1"]
    InFlight(online=0, batch=1, tokens=0, batch_tokens=0)
    """

    def __init__(self, counts_tokens: bool = False) -> None:
        self.by_replica: dict[str, InFlight] = {}
        self.counts_tokens = counts_tokens
        """Whether replicas' memory is scarce; else nobody asks for tokens, and none are told."""

    def begin(self, replica_id: str, is_batch: bool, tokens: int = 0) -> InFlightEntry:
        """Work was sent to a replica; the result is passed to ``end``."""
        tokens = tokens if self.counts_tokens else 0
        own = self.by_replica.setdefault(replica_id, InFlight())
        if is_batch:
            own.batch += 1
            own.batch_tokens += tokens
        else:
            own.online += 1
        own.tokens += tokens
        return InFlightEntry(replica_id, is_batch, tokens)

    def end(self, work: InFlightEntry) -> None:
        """Work ended at a replica, or its connection was closed."""
        own = self.by_replica[work.replica_id]
        if work.is_batch:
            own.batch -= 1
            own.batch_tokens -= work.tokens
        else:
            own.online -= 1
        own.tokens -= work.tokens
        if own.total == 0:
            del self.by_replica[work.replica_id]
