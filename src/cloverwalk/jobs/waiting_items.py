"""Groups waiting items for a node's report, and picks those that start. Pure computation.

The coordinator gives free slots to the items of the fleet that are due first, those of higher
priority before others. Items that can't be in time any more come last.
"""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

import attrs
import msgspec

from cloverwalk.fleet.messages import WaitingGroup
from cloverwalk.gateway.software_versions import Software
from cloverwalk.scheduling.item_sort_key import DUE_TIME_RESOLUTION_MS, LATE_OFFSET, PRIORITY_STRIDE

REMAINING_TIME_STEP_MS = 100
"""Remaining times are rounded to this step, so that small changes of an estimate cause no
report."""

MAX_GROUPS = 12
"""Reported groups of one pool; items that are due later join the last group of their tenant."""


ANY_SOFTWARE = Software("", "")
"""Stands for an item that can run at any replica of its pool."""


@attrs.frozen
class WaitingItem:
    """The properties of an item that decide when it starts."""

    due_ms: float
    """Time by which it is ordered, see ``ItemTimeEstimator.effective_due_ms``."""

    can_be_in_time: bool
    replica_id: str
    """Replica that may have its prompt cached; empty if there is none."""

    prefill_ms: float
    priority: int = 0
    tenant: str = ""
    remaining_ms: float = 0.0
    """Expected time that it still runs at a replica at its baseline; 0 if not reported."""

    tokens: int = 0
    """Memory that it may use at a replica; 0 where memory is not counted."""

    software: Software = ANY_SOFTWARE
    """Software at which its output goes on."""

    @property
    def sort_key(self) -> int:
        """The due time in steps, with offsets for its priority and for being late."""
        rank = self.priority * PRIORITY_STRIDE + (0 if self.can_be_in_time else LATE_OFFSET)
        return int(self.due_ms // DUE_TIME_RESOLUTION_MS) + rank


class _GroupKey(NamedTuple):
    """What the items of a group have in common."""

    sort_key: int
    replica_id: str
    tenant: str
    software: Software


def group_items(items: Iterable[WaitingItem]) -> list[WaitingGroup]:
    """Return the groups of waiting items to report, those due first in front.

    >>> items = [WaitingItem(8_200.0, True, "", 5.0), WaitingItem(8_100.0, True, "", 7.0)]
    >>> group_items(items) == [WaitingGroup(32, 2, prefill_ms=6)]
    True
    """
    by_key: dict[_GroupKey, list[WaitingItem]] = {}
    for item in items:
        key = _GroupKey(item.sort_key, item.replica_id, item.tenant, item.software)
        by_key.setdefault(key, []).append(item)
    groups = [_group(key, members) for key, members in sorted(by_key.items())]
    if len(groups) <= MAX_GROUPS:
        return groups
    return [*groups[: MAX_GROUPS - 1], *_merge_by_tenant(groups[MAX_GROUPS - 1 :])]


def _merge_by_tenant(groups: list[WaitingGroup]) -> list[WaitingGroup]:
    """Return one group per tenant and software.

    Each is due as its first group and has the memory of its largest item.
    """
    first: dict[tuple[str, str, str], WaitingGroup] = {}
    items: Counter[tuple[str, str, str]] = Counter()
    tokens: Counter[tuple[str, str, str]] = Counter()
    for group in groups:
        key = (group.tenant, group.service, group.software_version)
        first.setdefault(key, group)
        items[key] += group.items
        tokens[key] = max(tokens[key], group.tokens)
    return [
        msgspec.structs.replace(group, items=items[key], replica_id="", tokens=tokens[key])
        for key, group in first.items()
    ]


def _group(key: _GroupKey, items: list[WaitingItem]) -> WaitingGroup:
    """Return items of one key as a group, with the memory of its largest item."""
    mean_prefill_ms = round(sum(item.prefill_ms for item in items) / len(items))
    mean_remaining_ms = sum(item.remaining_ms for item in items) / len(items)
    mean_remaining_ms = round(mean_remaining_ms / REMAINING_TIME_STEP_MS) * REMAINING_TIME_STEP_MS
    tokens = max(item.tokens for item in items)
    return WaitingGroup(
        key.sort_key,
        len(items),
        key.replica_id,
        mean_prefill_ms,
        key.tenant,
        mean_remaining_ms,
        tokens,
        key.software.service,
        key.software.version,
    )


def pick_items(
    tenants: Sequence[str],
    count: int,
    granted: Mapping[str, int],
    tokens: Sequence[int] = (),
    max_tokens: int | None = None,
) -> list[int]:
    """Return the indices of the waiting items that start; ``tenants`` has one entry per item.

    Each tenant's first items start in the slots that were granted for it. A slot whose tenant has
    no more items goes to the first of the remaining items, so that none stays free.

    With ``max_tokens``, the items together use at most that much of the replica's memory: the slot
    may have been granted for a smaller item than the first.

    >>> pick_items(["a", "a", "b", "b"], 2, {"b": 1, "a": 1}), pick_items(
    ...     ["a", "a", "b"], 2, {"c": 1}
    ... )
    ([0, 2], [0, 1])
    """
    slots_left = Counter(granted)
    in_granted_slots: list[int] = []
    remaining: list[int] = []
    for index, tenant in enumerate(tenants):
        if slots_left[tenant] > 0:
            slots_left[tenant] -= 1
            in_granted_slots.append(index)
        else:
            remaining.append(index)
    ordered = [*in_granted_slots, *remaining]
    return ordered[:count] if max_tokens is None else _fitting(ordered, count, tokens, max_tokens)


def _fitting(ordered: list[int], count: int, tokens: Sequence[int], max_tokens: int) -> list[int]:
    """Return up to ``count`` items in order, without those that do not fit into ``max_tokens``."""
    fitting: list[int] = []
    for index in ordered:
        if len(fitting) == count:
            break
        if tokens[index] <= max_tokens:
            max_tokens -= tokens[index]
            fitting.append(index)
    return fitting
