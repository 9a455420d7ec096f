"""Work that this node has in flight at each replica."""

import attrs
from msgspec import Struct


class InFlight(Struct):
    """Work in flight at one replica."""

    online: int = 0
    batch: int = 0
    tokens: int = 0
    """Memory that this work may use at the replica, in tokens."""

    batch_tokens: int = 0
    """The part of ``tokens`` that batch items may use."""

    @property
    def total(self) -> int:
        """Number of online requests and batch items."""
        return self.online + self.batch


NOTHING_IN_FLIGHT = InFlight()
"""Shared value for replicas without work in flight; must not be changed."""


@attrs.define
class InFlightEntry:
    """An online request or batch item that this node has in flight at a replica."""

    replica_id: str
    is_batch: bool
    tokens: int = 0
    has_output: bool = False
    """Whether the replica has produced output, which shows that the work has a slot."""


class InFlightTracker:
    """Counts this node's work in flight by replica.

    >>> tracker = InFlightTracker()
    >>> work = tracker.begin("r1", is_batch=False)
    >>> tracker.begin("r1", is_batch=True).has_output
    False
    >>> tracker.by_replica["r1"]
    InFlight(online=1, batch=1, tokens=0, batch_tokens=0)
    >>> tracker.end(work)
    >>> tracker.by_replica["r1"]
    InFlight(online=0, batch=1, tokens=0, batch_tokens=0)
    """

    def __init__(self, counts_tokens: bool = False) -> None:
        self.by_replica: dict[str, InFlight] = {}
        self.counts_tokens = counts_tokens
        """Whether memory of replicas is counted in tokens; otherwise tokens are ignored."""

    def begin(self, replica_id: str, is_batch: bool, tokens: int = 0) -> InFlightEntry:
        """Count work sent to a replica; pass the returned entry to ``end``."""
        tokens = tokens if self.counts_tokens else 0
        in_flight = self.by_replica.setdefault(replica_id, InFlight())
        if is_batch:
            in_flight.batch += 1
            in_flight.batch_tokens += tokens
        else:
            in_flight.online += 1
        in_flight.tokens += tokens
        return InFlightEntry(replica_id, is_batch, tokens)

    def end(self, work: InFlightEntry) -> None:
        """Stop counting work that ended or whose connection was closed."""
        in_flight = self.by_replica[work.replica_id]
        if work.is_batch:
            in_flight.batch -= 1
            in_flight.batch_tokens -= work.tokens
        else:
            in_flight.online -= 1
        in_flight.tokens -= work.tokens
        if in_flight.total == 0:
            del self.by_replica[work.replica_id]
