"""Chooses the replicas whose changed baselines a snapshot sends to standbys. A pure policy."""

import math
from collections.abc import Mapping

import attrs

MIN_CHANGE = math.log(1.1)
"""A smaller change of a baseline (logarithm) is not sent: it hardly affects the choice of a
replica."""

RESEND_INTERVAL_S = 5.0
"""Shortest time between two changes sent for one replica, which bounds the traffic: with two copies
of about 32 bytes to three standbys, 38 bytes a second and replica at most."""

COPIES = 2
"""Consecutive snapshots that contain a change, since a datagram may be lost."""

MAX_REPLICAS_PER_SNAPSHOT = 100
"""Bounds the size of a snapshot to about 3 KB; other replicas follow in the next ones, four a
second."""


@attrs.define
class _Sent:
    baseline: float = 0.0
    """Logarithm of the factor."""

    sent_at: float = -math.inf
    remaining_copies: int = 0


class SlowdownReplicator:
    """Keeps track of the baselines that the standbys have.

    >>> replicator = SlowdownReplicator()
    >>> baselines = {"r1": math.log(1.6), "r2": math.log(1.02)}
    >>> [replicator.due(baselines, ["n2"], at) for at in (0.0, 0.25, 0.5)]
    [['r1'], ['r1'], []]
    """

    def __init__(self) -> None:
        self._sent: dict[str, _Sent] = {}
        self._standbys: list[str] = []

    def due(self, baselines: Mapping[str, float], standbys: list[str], now: float) -> list[str]:
        """Return the replicas to send now; ``baselines`` are logarithms.

        After a change of standbys, all baselines that differ clearly from 1.0 are sent.
        """
        if standbys != self._standbys:
            self._standbys = standbys
            self._sent = {}
        removed = self._sent.keys() - baselines.keys()
        for replica_id in removed:
            del self._sent[replica_id]
        due: list[str] = []
        for replica_id, baseline in baselines.items():
            if len(due) == MAX_REPLICAS_PER_SNAPSHOT:
                break
            if self._is_due(replica_id, baseline, now):
                due.append(replica_id)
        return due

    def _is_due(self, replica_id: str, baseline: float, now: float) -> bool:
        sent = self._sent.get(replica_id) or _Sent()
        if sent.remaining_copies > 0:
            sent.remaining_copies -= 1
            return True
        if now - sent.sent_at < RESEND_INTERVAL_S or abs(baseline - sent.baseline) < MIN_CHANGE:
            return False
        self._sent[replica_id] = _Sent(baseline, now, COPIES - 1)
        return True
