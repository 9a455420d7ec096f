"""Tracks which replicas probably have a prompt's prefix in their cache; this is only a hint.

Engines publish cache events late and with gaps. After a gap in an engine's event numbers, all
earlier entries of that replica are removed.
"""

from collections import OrderedDict

import xxhash

PREFIX_CHARS = 256
MAX_ENTRIES = 50_000


def prefix_hash(prompt: str) -> str:
    """Return a hash of a prompt's first ``PREFIX_CHARS`` characters.

    >>> prefix_hash("a" * 300) == prefix_hash("a" * 400)
    True
    """
    return str(xxhash.xxh64_hexdigest(prompt[:PREFIX_CHARS].encode()))


class PrefixIndex:
    """The replicas of each prefix hash, updated by cache events.

    >>> index = PrefixIndex()
    >>> index.apply("r1", number=1, added=["p"], removed=[])
    >>> index.replicas("p")
    {'r1'}
    >>> index.apply("r1", number=3, added=["q"], removed=[])  # event 2 was lost
    >>> index.replicas("p"), index.replicas("q")
    (set(), {'r1'})
    """

    def __init__(self) -> None:
        self._replicas: OrderedDict[str, set[str]] = OrderedDict()
        self._last_number: dict[str, int] = {}

    def apply(self, replica: str, number: int, added: list[str], removed: list[str]) -> None:
        """Apply one cache event of a replica; ignore events with an old number."""
        expected = self._last_number.get(replica, number - 1) + 1
        if number < expected:
            return
        if number > expected:
            self.drop(replica)
        self._last_number[replica] = number
        for prefix in removed:
            self._replicas.get(prefix, set()).discard(replica)
        for prefix in added:
            self._replicas.setdefault(prefix, set()).add(replica)
            self._replicas.move_to_end(prefix)
        while len(self._replicas) > MAX_ENTRIES:
            self._replicas.popitem(last=False)

    def drop(self, replica: str) -> None:
        """Remove all entries of a replica."""
        for replicas in self._replicas.values():
            replicas.discard(replica)
        self._last_number.pop(replica, None)

    def replicas(self, prefix: str) -> set[str]:
        """Return the replicas that probably have the prefix of this hash."""
        return set(self._replicas.get(prefix, ()))
