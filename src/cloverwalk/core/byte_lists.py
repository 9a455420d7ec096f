"""Splits lists by the bytes of their encoded items."""

from collections.abc import Iterable
from typing import Generic, TypeVar

import attrs
import msgspec

Item = TypeVar("Item")

_encoder = msgspec.json.Encoder()


@attrs.define
class SplitList(Generic[Item]):
    """A list in parts, and the items that are too long for any part."""

    parts: list[list[Item]]
    """The items in order; no part is empty."""

    too_long: list[Item]


def encoded_bytes(item: object) -> int:
    """Return the length of an encoded item with the comma after it.

    >>> encoded_bytes("a")
    4
    """
    return len(_encoder.encode(item)) + 1


def split_by_bytes(
    items: Iterable[Item], max_bytes: int, max_count: int | None = None
) -> SplitList[Item]:
    """Split items into parts of at most ``max_bytes`` encoded bytes and ``max_count`` items.

    >>> split_by_bytes(["a", "b", 9 * "c", "d"], 8)
    SplitList(parts=[['a', 'b'], ['d']], too_long=['ccccccccc'])
    """
    split: SplitList[Item] = SplitList([], [])
    part_bytes = 0
    for item in items:
        item_bytes = encoded_bytes(item)
        if item_bytes > max_bytes:
            split.too_long.append(item)
            continue
        is_full = bool(split.parts) and (
            part_bytes + item_bytes > max_bytes or len(split.parts[-1]) == max_count
        )
        if is_full or not split.parts:
            split.parts.append([])
            part_bytes = 0
        split.parts[-1].append(item)
        part_bytes += item_bytes
    return split
