"""Which replicas' paces a snapshot tells the standbys: those that have changed. A pure policy."""

import math
from collections.abc import Mapping

import attrs

TOLD_CHANGE = math.log(1.1)
"""A smaller change of the long-term figure is not worth its bytes: it changes no choice by more
than a few milliseconds."""

TELL_AGAIN_S = 5.0
"""Time between two tellings of one replica. With two copies to three standbys of some 32 bytes,
these are 38 bytes a replica and second at the most, and none while it does not change."""

COPIES = 2
"""Snapshots in a row that tell a change: a datagram may be lost."""

MOST_TOLD = 100
"""Replicas in one snapshot, 3 KB; others are told in the next ones, four a second."""


@attrs.define
class _Told:
    usual: float = 0.0
    """Logarithm of the factor."""

    at: float = -math.inf
    copies: int = 0


class SlowdownReplicator:
    """Remembers what the standbys were told.

    >>> teller = SlowdownReplicator()
    >>> known = {"r1": math.log(1.6), "r2": math.log(1.02)}
    >>> [teller.due(known, ["n2"], at) for at in (0.0, 0.25, 0.5)]
    [['r1'], ['r1'], []]
    """

    def __init__(self) -> None:
        self._told: dict[str, _Told] = {}
        self._standbys: list[str] = []

    def due(self, known: Mapping[str, float], standbys: list[str], now: float) -> list[str]:
        """Return the replicas to tell of now, by the logarithms of their long-term figures.

        New standbys are told of all that differ from the usual.
        """
        if standbys != self._standbys:
            self._standbys = standbys
            self._told = {}
        gone = self._told.keys() - known.keys()
        for replica_id in gone:
            del self._told[replica_id]
        due: list[str] = []
        for replica_id, usual in known.items():
            if len(due) == MOST_TOLD:
                break
            if self._is_due(replica_id, usual, now):
                due.append(replica_id)
        return due

    def _is_due(self, replica_id: str, usual: float, now: float) -> bool:
        told = self._told.get(replica_id) or _Told()
        if told.copies > 0:
            told.copies -= 1
            return True
        if now - told.at < TELL_AGAIN_S or abs(usual - told.usual) < TOLD_CHANGE:
            return False
        self._told[replica_id] = _Told(usual, now, COPIES - 1)
        return True
