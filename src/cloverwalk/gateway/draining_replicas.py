"""How long a draining replica may still take resumed streams.

New work goes to other replicas as soon as a replica drains. A stream whose software version has
only draining replicas left may go on at one of them, since it serves for some time after its entry
says so.
"""

from collections.abc import Callable

from cloverwalk.gateway.replicas import EntryKind, Replica, ReplicaDirectory

DEFAULT_DRAIN_S = 2.0
"""Default time for which a draining replica serves."""

RESUMPTION_FRACTION = 0.4
"""Fraction of that time, counted from when a node learns that the replica drains. The rest covers
the delay until then and the transit of the request."""


class DrainingReplicas:
    """Since when replicas drain, as this node has seen it."""

    def __init__(
        self,
        directory: ReplicaDirectory,
        clock: Callable[[], float],
        drain_s: float = DEFAULT_DRAIN_S,
    ) -> None:
        self._directory = directory
        self._clock = clock
        self._resumption_s = RESUMPTION_FRACTION * drain_s
        self._ready: set[str] = set()
        """Replicas that were listed as ready."""

        self._draining_since: dict[str, float] = {}
        directory.entry_listeners.append(self._on_entry)
        directory.removal_listeners.append(self._on_removal)

    def _on_entry(self, replica: Replica, _kind: EntryKind) -> None:
        replica_id = replica.replica_id
        if not replica.is_draining:
            self._ready.add(replica_id)
            self._draining_since.pop(replica_id, None)
        elif replica_id in self._ready:
            # One that drained before it was first listed may be about to end.
            self._ready.discard(replica_id)
            self._draining_since[replica_id] = self._clock()

    def _on_removal(self, replica: Replica) -> None:
        self._ready.discard(replica.replica_id)
        self._draining_since.pop(replica.replica_id, None)

    def takes_resumptions(self, replica: Replica) -> bool:
        """Whether a draining replica may still take a resumed stream."""
        since = self._draining_since.get(replica.replica_id)
        if since is None or self._directory.is_zone_drained(replica.zone):
            return False
        return self._clock() - since < self._resumption_s
