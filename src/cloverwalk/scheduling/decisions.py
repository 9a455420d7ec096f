"""Decisions that have not been sent to their nodes yet."""

import attrs

from cloverwalk.fleet.messages import Placement


@attrs.define
class Decisions:
    """Decisions for one node; ``number`` increases with each set of decisions for that node."""

    number: int
    placements: list[Placement] = attrs.Factory(list)
    grants: dict[str, int] = attrs.Factory(dict)
    revokes: dict[str, int] = attrs.Factory(dict)
    grants_by_tenant: dict[str, dict[str, int]] = attrs.Factory(dict)
    grant_tokens: dict[str, int] = attrs.Factory(dict)
    warmup_granted_at: float | None = None
    """When the first warm-up token among the placements was granted (monotonic clock, seconds)."""

    def record_warmup_token(self, now: float) -> None:
        """Record that one of the placements has a warm-up token."""
        granted_at = self.warmup_granted_at
        self.warmup_granted_at = now if granted_at is None else min(granted_at, now)


class Outbox:
    """Pending decisions by node, numbered when the first one of a set is made.

    >>> outbox = Outbox()
    >>> outbox.for_node("n1").number, outbox.for_node("n1").number, outbox.for_node("n2").number
    (1, 1, 1)
    >>> sorted(outbox.pop()), outbox.for_node("n1").number, outbox.last_number("n2")
    (['n1', 'n2'], 2, 1)
    """

    def __init__(self) -> None:
        self._numbers: dict[str, int] = {}
        self._pending: dict[str, Decisions] = {}

    def for_node(self, node: str) -> Decisions:
        """Return the pending decisions for a node."""
        decisions = self._pending.get(node)
        if decisions is None:
            self._numbers[node] = number = self._numbers.get(node, 0) + 1
            decisions = self._pending[node] = Decisions(number)
        return decisions

    def pop(self) -> dict[str, Decisions]:
        """Return and clear the pending decisions of all nodes."""
        popped, self._pending = self._pending, {}
        return popped

    def last_number(self, node: str) -> int:
        """Return the number of the latest decisions for a node."""
        return self._numbers.get(node, 0)
