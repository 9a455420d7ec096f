"""Work that this node has in flight at each replica."""

import attrs
from msgspec import Struct


class InFlight(Struct):
    """Work in flight at one replica."""

    online: int = 0
    batch: int = 0

    @property
    def total(self) -> int:
        """All work."""
        return self.online + self.batch


NOTHING = InFlight()
"""Work in flight at a replica that has none; not to be changed."""


@attrs.define
class Work:
    """A request or an item that this node has at a replica."""

    replica_id: str
    is_batch: bool
    has_output: bool = False
    """Whether the replica has put something out: the work has a slot."""


class LoadBook:
    """Own work in flight.

    >>> book = LoadBook()
    >>> work = book.begin("r1", is_batch=False)
    >>> book.begin("r1", is_batch=True).has_output
    False
    >>> book.own["r1"]
    InFlight(online=1, batch=1)
    >>> book.end(work)
    >>> book.own["r1"]
    InFlight(online=0, batch=1)
    """

    def __init__(self) -> None:
        self.own: dict[str, InFlight] = {}

    def begin(self, replica_id: str, is_batch: bool) -> Work:
        """Work was sent to a replica; the result is passed to ``end``."""
        own = self.own.setdefault(replica_id, InFlight())
        if is_batch:
            own.batch += 1
        else:
            own.online += 1
        return Work(replica_id, is_batch)

    def end(self, work: Work) -> None:
        """Work ended at a replica, or its connection was closed."""
        own = self.own[work.replica_id]
        if work.is_batch:
            own.batch -= 1
        else:
            own.online -= 1
        if own.total == 0:
            del self.own[work.replica_id]
