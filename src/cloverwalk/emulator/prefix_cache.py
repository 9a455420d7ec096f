"""A block-based prefix cache of limited size, whose published events can be lost."""

from collections import OrderedDict
from random import Random

import xxhash
from msgspec import Struct

from cloverwalk.core.prefix_index import prefix_hash

BLOCK_TOKENS = 16


class CacheEvent(Struct, frozen=True):
    """Prefixes added to and removed from a cache; a gap between numbers means a lost event."""

    number: int
    added: list[str]
    removed: list[str]
    at: float


class PrefixCache:
    """A least-recently-used cache of blocks; a block's name is a hash of all text up to its end."""

    def __init__(self, capacity_tokens: int, event_loss: float, random: Random) -> None:
        self._capacity_blocks = max(1, capacity_tokens // BLOCK_TOKENS)
        self._blocks: OrderedDict[int, str] = OrderedDict()
        self._events: list[CacheEvent] = []
        self._last_event_number = 0
        self._event_loss = event_loss
        self._random = random

    @staticmethod
    def block_names(text: str) -> list[int]:
        """Return the names of the full blocks of a text."""
        words = text.split()
        names = []
        digest = 0
        for start in range(0, len(words) - BLOCK_TOKENS + 1, BLOCK_TOKENS):
            block = " ".join(words[start : start + BLOCK_TOKENS])
            digest = xxhash.xxh64_intdigest(block.encode(), seed=digest)
            names.append(digest)
        return names

    def cached_tokens(self, text: str) -> int:
        """Return how many leading tokens of a text need no prefill."""
        cached = 0
        for name in self.block_names(text):
            if name not in self._blocks:
                break
            self._blocks.move_to_end(name)
            cached += BLOCK_TOKENS
        return cached

    def add(self, prompt: str, text: str, now: float) -> None:
        """Cache the blocks of ``text``, which starts with ``prompt``."""
        prefix = prefix_hash(prompt)
        for name in self.block_names(text):
            self._blocks[name] = prefix
            self._blocks.move_to_end(name)
        removed = set()
        while len(self._blocks) > self._capacity_blocks:
            removed.add(self._blocks.popitem(last=False)[1])
        self._publish([prefix], sorted(removed - {prefix}), now)

    def _publish(self, added: list[str], removed: list[str], now: float) -> None:
        self._last_event_number += 1
        if self._random.random() >= self._event_loss:
            self._events.append(CacheEvent(self._last_event_number, added, removed, now))
            del self._events[:-1000]

    def events(self, after: int, before: float) -> list[CacheEvent]:
        """Return the events with a number above ``after`` that happened until ``before``."""
        return [event for event in self._events if event.number > after and event.at <= before]

    def export_blocks(self, text: str) -> list[int]:
        """Return the cached blocks of a text, for another engine to import."""
        return [name for name in self.block_names(text) if name in self._blocks]

    def import_blocks(self, prompt: str, names: list[int], now: float) -> None:
        """Add blocks that another engine exported."""
        prefix = prefix_hash(prompt)
        for name in names:
            self._blocks[name] = prefix
        while len(self._blocks) > self._capacity_blocks:
            self._blocks.popitem(last=False)
        self._publish([prefix], [], now)

    def clear(self) -> None:
        """Remove all blocks, as when another model is loaded."""
        self._blocks.clear()
