"""What a node tells of its waiting items. A pure policy.

The coordinator gives free slots to the items of the fleet that are due first, those of higher
priority in front. Items that can't be in time any more come last.
"""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence

import attrs
import msgspec

from cloverwalk.fleet.messages import WaitingGroup
from cloverwalk.scheduling.item_sort_key import DUE_TIME_RESOLUTION_MS, LATE_OFFSET, PRIORITY_STRIDE

REMAINING_TIME_STEP_MS = 100
"""What items still run is told in steps of this length; an estimate that moves less is no news."""

MAX_GROUPS = 12
"""Groups of one pool that are told; items that are due later join the last of their tenant."""


@attrs.frozen
class WaitingItem:
    """What matters of an item for its place in the order."""

    due_ms: float
    can_be_in_time: bool
    replica_id: str
    prefill_ms: float
    priority: int = 0
    tenant: str = ""
    remaining_ms: float = 0.0
    """How long it still runs at a replica of the usual pace; 0: not told."""

    tokens: int = 0
    """Memory that it may take at a replica; 0 where nobody asks."""

    @property
    def sort_key(self) -> int:
        """The step that it is told in."""
        rank = self.priority * PRIORITY_STRIDE + (0 if self.can_be_in_time else LATE_OFFSET)
        return int(self.due_ms // DUE_TIME_RESOLUTION_MS) + rank


def summarise(items: Iterable[WaitingItem]) -> list[WaitingGroup]:
    """Return waiting items as they are told, those due first in front.

    >>> items = [WaitingItem(8_200.0, True, "", 5.0), WaitingItem(8_100.0, True, "", 7.0)]
    >>> summarise(items) == [WaitingGroup(32, 2, prefill_ms=6)]
    True
    """
    by_key: dict[tuple[int, str, str], list[WaitingItem]] = {}
    for item in items:
        by_key.setdefault((item.sort_key, item.replica_id, item.tenant), []).append(item)
    groups = [_group(key, members) for key, members in sorted(by_key.items())]
    if len(groups) <= MAX_GROUPS:
        return groups
    return [*groups[: MAX_GROUPS - 1], *_merge_by_tenant(groups[MAX_GROUPS - 1 :])]


def _merge_by_tenant(groups: list[WaitingGroup]) -> list[WaitingGroup]:
    """Return one group a tenant, due as its first; the largest item's memory stands for each."""
    first_by_tenant: dict[str, WaitingGroup] = {}
    items_by_tenant: Counter[str] = Counter()
    tokens_by_tenant: Counter[str] = Counter()
    for group in groups:
        first_by_tenant.setdefault(group.tenant, group)
        items_by_tenant[group.tenant] += group.items
        tokens_by_tenant[group.tenant] = max(tokens_by_tenant[group.tenant], group.tokens)
    return [
        msgspec.structs.replace(
            group, items=items_by_tenant[tenant], replica_id="", tokens=tokens_by_tenant[tenant]
        )
        for tenant, group in first_by_tenant.items()
    ]


def _group(key: tuple[int, str, str], items: list[WaitingItem]) -> WaitingGroup:
    """Return items of one key as they are told; the largest one's memory stands for each."""
    step, replica_id, tenant = key
    mean_prefill_ms = round(sum(item.prefill_ms for item in items) / len(items))
    mean_remaining_ms = sum(item.remaining_ms for item in items) / len(items)
    mean_remaining_ms = round(mean_remaining_ms / REMAINING_TIME_STEP_MS) * REMAINING_TIME_STEP_MS
    tokens = max(item.tokens for item in items)
    return WaitingGroup(
        step, len(items), replica_id, mean_prefill_ms, tenant, mean_remaining_ms, tokens
    )


def pick(
    tenants: Sequence[str],
    count: int,
    granted: Mapping[str, int],
    tokens: Sequence[int] = (),
    max_tokens: int | None = None,
) -> list[int]:
    """Return which of the waiting items start, by index; ``tenants`` are theirs, in their order.

    Where ``max_tokens`` is told, together they take no more of the replica's memory than that:
    the slot may have been granted for a smaller item than the first.

    Each tenant's first items start in the slots that were granted for it. A slot that its tenant
    has no item for any more goes to the first of the others, so none stays free.

    >>> pick(["a", "a", "b", "b"], 2, {"b": 1, "a": 1}), pick(["a", "a", "b"], 2, {"c": 1})
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
    """Return the first items that take no more memory together."""
    fitting: list[int] = []
    for index in ordered:
        if len(fitting) == count:
            break
        if tokens[index] <= max_tokens:
            max_tokens -= tokens[index]
            fitting.append(index)
    return fitting
