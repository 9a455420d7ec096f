"""A prefix cache of limited memory, in blocks, with events that come late and with gaps."""

from collections import OrderedDict
from random import Random

import xxhash
from msgspec import Struct

from cloverwalk.core.prefix_index import prefix_hash

BLOCK_TOKENS = 16


class CacheEvent(Struct, frozen=True):
    """Prefixes that came into or left a cache. Numbers without a gap mean none was lost."""

    number: int
    added: list[str]
    removed: list[str]
    at: float


class PrefixCache:
    """Least recently used blocks; a block is named by all text up to its end."""

    def __init__(self, capacity_tokens: int, loss: float, random: Random) -> None:
        self._capacity_blocks = max(1, capacity_tokens // BLOCK_TOKENS)
        self._blocks: OrderedDict[int, str] = OrderedDict()
        self._events: list[CacheEvent] = []
        self._number = 0
        self._loss = loss
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
        """Keep the blocks of ``text``, which begins with ``prompt``."""
        prefix = prefix_hash(prompt)
        for name in self.block_names(text):
            self._blocks[name] = prefix
            self._blocks.move_to_end(name)
        removed = set()
        while len(self._blocks) > self._capacity_blocks:
            removed.add(self._blocks.popitem(last=False)[1])
        self._publish([prefix], sorted(removed - {prefix}), now)

    def _publish(self, added: list[str], removed: list[str], now: float) -> None:
        self._number += 1
        if self._random.random() >= self._loss:
            self._events.append(CacheEvent(self._number, added, removed, now))
            del self._events[:-1000]

    def events(self, after: int, before: float) -> list[CacheEvent]:
        """Return the events with a higher number that happened until ``before``."""
        return [one for one in self._events if one.number > after and one.at <= before]

    def export_blocks(self, text: str) -> list[int]:
        """Return the cached blocks of a text, for another engine to import."""
        return [name for name in self.block_names(text) if name in self._blocks]

    def import_blocks(self, prompt: str, names: list[int], now: float) -> None:
        """Take blocks of another engine."""
        prefix = prefix_hash(prompt)
        for name in names:
            self._blocks[name] = prefix
        while len(self._blocks) > self._capacity_blocks:
            self._blocks.popitem(last=False)
        self._publish([prefix], [], now)

    def clear(self) -> None:
        """Drop everything, as when a model is loaded."""
        self._blocks.clear()
