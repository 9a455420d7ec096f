"""Encodes messages into datagrams of a limited length.

A message that is too long is sent in several ones if its receiver merges them. Of any other one,
parts that the receiver can do without, or gets again with a later message, are left out.
"""

from typing import Any

import attrs
import msgspec

from cloverwalk.core.byte_lists import encoded_bytes, split_by_bytes
from cloverwalk.fleet.messages import (
    CrashCases,
    Datagram,
    Orders,
    Report,
    Snapshot,
    StreamVersionQuery,
    StreamVersions,
    encode_datagram,
)

MAX_DATAGRAM_BYTES = 60_000
"""Below the UDP over IPv4 limit of 65,507 bytes."""

ENVELOPE_BYTES = 2_000
"""Reserved for the fields of a message beside the list that is split."""

MAX_ENTRY_BYTES = 20_000
"""Longer entries of a message that is too long are left out before any other ones."""

MERGED_LISTS: dict[type, str] = {
    CrashCases: "crash_records",
    StreamVersions: "records",
    StreamVersionQuery: "streams",
}
"""The field that is split, by the kind of message that receivers merge."""

LEFT_OUT_FIRST: dict[type, tuple[str, ...]] = {
    Report: (
        "item_timings",
        "request_timings",
        "corrections",
        "crash_records",
        "withdrawn",
        "suspects",
        "placement_requests",
        "waiting",
        "loads",
    ),
    Orders: (
        "version_history",
        "replica_loads",
        "near_limit",
        "take_over",
        "placements",
        "revokes",
        "grants_by_tenant",
        "grants",
        "grant_tokens",
    ),
    Snapshot: (
        "slowdowns",
        "warmups_ms",
        "item_usage_by_tenant",
        "usage_by_tenant",
        "nodes",
        "route_estimates",
        "quota_levels",
        "replica_loads",
    ),
}
"""Fields that are shortened, the first ones first, by the kind of message."""


@attrs.frozen
class Datagrams:
    """A message as datagrams."""

    encoded: list[bytes]
    left_out: dict[str, int]
    """Number of entries that no datagram contains, by field."""


def encode_datagrams(message: Datagram, max_bytes: int = MAX_DATAGRAM_BYTES) -> Datagrams:
    """Return a message as datagrams of at most ``max_bytes``; none if it can't be shortened."""
    data = encode_datagram(message)
    if len(data) <= max_bytes:
        return Datagrams([data], {})
    field = MERGED_LISTS.get(type(message))
    if field is not None:
        return _split(message, field, max_bytes)
    return _shorten(message, len(data), max_bytes)


def _split(message: Datagram, field: str, max_bytes: int) -> Datagrams:
    split = split_by_bytes(getattr(message, field), max_bytes - ENVELOPE_BYTES)
    encoded = [
        encode_datagram(msgspec.structs.replace(message, **{field: part})) for part in split.parts
    ]
    fitting = [data for data in encoded if len(data) <= max_bytes]
    return Datagrams(fitting, {field: len(split.too_long)} if split.too_long else {})


def _shorten(message: Datagram, size: int, max_bytes: int) -> Datagrams:
    left_out: dict[str, int] = {}
    for field in LEFT_OUT_FIRST.get(type(message), ()):
        kept, count = _without_excess(getattr(message, field), size - max_bytes)
        if not count:
            continue
        left_out[field] = count
        message = msgspec.structs.replace(message, **{field: kept})
        data = encode_datagram(message)
        if len(data) <= max_bytes:
            return Datagrams([data], left_out)
        size = len(data)
    return Datagrams([], left_out)


def _without_excess(value: object, excess_bytes: int) -> tuple[object, int]:
    """Return a value without entries of so many bytes, and the number of these entries.

    Entries that are too long for any datagram go first, then the last ones.
    """
    if isinstance(value, dict):
        keys = _kept(
            [(key, _entry_bytes(key, entry)) for key, entry in value.items()], excess_bytes
        )
        return {key: value[key] for key in keys}, len(value) - len(keys)
    if isinstance(value, list):
        kept = _kept([(entry, encoded_bytes(entry)) for entry in value], excess_bytes)
        return kept, len(value) - len(kept)
    return None, int(value is not None)


def _entry_bytes(key: str, entry: object) -> int:
    return encoded_bytes(key) + encoded_bytes(entry)


def _kept(entries: list[tuple[Any, int]], excess_bytes: int) -> list[Any]:
    """Return the entries to keep of pairs of an entry and its bytes."""
    kept: list[tuple[Any, int]] = []
    for entry, entry_bytes in entries:
        if excess_bytes > 0 and entry_bytes > MAX_ENTRY_BYTES:
            excess_bytes -= entry_bytes
        else:
            kept.append((entry, entry_bytes))
    while kept and excess_bytes > 0:
        excess_bytes -= kept.pop()[1]
    return [entry for entry, _ in kept]
