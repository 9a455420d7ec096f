"""Work in flight at each replica over all nodes, as counted by the coordinator.

Nodes report all their work; decisions that a node has not confirmed yet are added to it. The sums
by replica are updated with each change.
"""

from collections import Counter
from typing import NamedTuple

import attrs

from cloverwalk.fleet.in_flight import NOTHING_IN_FLIGHT, InFlight
from cloverwalk.fleet.messages import NodeLoad

DECISION_TIMEOUT_S = 0.5
"""A decision that its node has not confirmed after this time counts as lost."""

SNAPSHOT_TTL_S = 1.5
"""How long another coordinator's sums are used; every node has reported here by then."""


class Holder(NamedTuple):
    """Number of items that a node has at a replica."""

    node: str
    items: int


@attrs.define
class _Decision:
    """A decision that its node has not confirmed yet."""

    number: int
    replica_id: str
    online: int
    batch: int
    made_at: float
    tokens: int = 0
    tenant: str = ""
    """Tenant whose item a grant is for, if fair shares are on."""


@attrs.define
class _NodeWork:
    loads: dict[str, NodeLoad] = attrs.Factory(dict)
    unconfirmed: list[_Decision] = attrs.Factory(list)


class ReplicaLoadTracker:
    """Work in flight by replica.

    >>> tracker = ReplicaLoadTracker()
    >>> tracker.record_report("n1", {"r1": NodeLoad(2, 3)}, last_applied_order=0)
    {'r1'}
    >>> tracker.expect("n1", 1, "r1", online=1, now=0.0)
    >>> tracker.total("r1", now=0.1)
    InFlight(online=3, batch=3, tokens=0, batch_tokens=0)
    >>> tracker.record_report("n1", {"r1": NodeLoad(3, 2)}, last_applied_order=1)
    {'r1'}
    >>> tracker.total("r1", now=0.2)
    InFlight(online=3, batch=2, tokens=0, batch_tokens=0)
    """

    def __init__(self) -> None:
        self._work: dict[str, _NodeWork] = {}
        self._sums: dict[str, InFlight] = {}
        self._snapshot: dict[str, NodeLoad] = {}
        self._snapshot_until = float("-inf")
        self._is_snapshot_partial = False
        self._snapshot_baseline: dict[str, int] = {}
        """Online work counted here when the snapshot was applied, which the snapshot includes as
        well."""

    # --- changes ---

    def record_report(
        self, node: str, loads: dict[str, NodeLoad], last_applied_order: int
    ) -> set[str]:
        """Record a node's reported work; return the replicas whose sums may have changed."""
        work = self._work.setdefault(node, _NodeWork())
        changed = set(work.loads) | set(loads)
        self._add(work.loads, -1)
        self._add(loads, 1)
        work.loads = loads
        for decision in [
            pending for pending in work.unconfirmed if pending.number <= last_applied_order
        ]:
            changed.add(decision.replica_id)
            self._remove_decision(work, decision)
        return changed

    def expect(
        self,
        node: str,
        number: int,
        replica_id: str,
        *,
        online: int = 0,
        batch: int = 0,
        tokens: int = 0,
        tenant: str = "",
        now: float,
    ) -> None:
        """Count a decision until its node confirms it."""
        work = self._work.setdefault(node, _NodeWork())
        decision = _Decision(number, replica_id, online, batch, now, tokens, tenant)
        work.unconfirmed.append(decision)
        self._change(replica_id, _expected_load(decision), 1)

    def remove_node(self, node: str) -> set[str]:
        """Remove a node with its work; return the replicas concerned."""
        work = self._work.pop(node, None)
        if work is None:
            return set()
        self._add(work.loads, -1)
        for decision in list(work.unconfirmed):
            self._remove_decision(work, decision)
        return set(work.loads)

    def expire(self, now: float) -> set[str]:
        """Remove decisions that count as lost; return the replicas concerned."""
        changed: set[str] = set()
        for work in self._work.values():
            for decision in [
                pending
                for pending in work.unconfirmed
                if now - pending.made_at > DECISION_TIMEOUT_S
            ]:
                changed.add(decision.replica_id)
                self._remove_decision(work, decision)
        return changed

    def apply_snapshot(
        self, totals: dict[str, NodeLoad], now: float, *, is_complete: bool = True
    ) -> None:
        """Use another coordinator's sums until the nodes have reported here.

        Where they never will, since this node decides for itself only, ``is_complete`` is False and
        later work is added to the sums.
        """
        self._snapshot = totals
        self._snapshot_until = now + SNAPSHOT_TTL_S
        self._snapshot_baseline = (
            {} if is_complete else {key: load.online for key, load in self._sums.items()}
        )
        self._is_snapshot_partial = not is_complete

    def _remove_decision(self, work: _NodeWork, decision: _Decision) -> None:
        work.unconfirmed.remove(decision)
        self._change(decision.replica_id, _expected_load(decision), -1)

    def _add(self, loads: dict[str, NodeLoad], sign: int) -> None:
        for replica_id, load in loads.items():
            self._change(replica_id, load, sign)

    def _change(self, replica_id: str, load: NodeLoad, sign: int) -> None:
        sums = self._sums.setdefault(replica_id, InFlight())
        sums.online += sign * load.online
        sums.batch += sign * load.batch
        sums.tokens += sign * load.tokens
        sums.batch_tokens += sign * load.batch_tokens
        if sums == NOTHING_IN_FLIGHT:
            del self._sums[replica_id]

    # --- sums ---

    def total(self, replica_id: str, now: float) -> InFlight:
        """Return the work in flight at a replica."""
        sums = self._sums.get(replica_id, NOTHING_IN_FLIGHT)
        snapshot = self._snapshot.get(replica_id) if now < self._snapshot_until else None
        if snapshot is None:
            return sums
        new_online = (
            max(0, sums.online - self._snapshot_baseline.get(replica_id, 0))
            if self._is_snapshot_partial
            else 0
        )
        return InFlight(
            max(sums.online, snapshot.online + new_online),
            max(sums.batch, snapshot.batch),
            max(sums.tokens, snapshot.tokens),
            max(sums.batch_tokens, snapshot.batch_tokens),
        )

    @property
    def busy_replica_count(self) -> int:
        """Number of replicas with work in flight."""
        return len(self._sums)

    def replica_loads(self) -> dict[str, NodeLoad]:
        """Return the work of all nodes by replica, without another coordinator's sums."""
        return {
            key: NodeLoad(load.online, load.batch, load.tokens, load.batch_tokens)
            for key, load in self._sums.items()
        }

    def holders(self, replica_id: str) -> list[Holder]:
        """Return the nodes with items at a replica, those with the most first.

        Unconfirmed grants and revokes count as if they were carried out.
        """
        found = [
            Holder(node, self._items_of(work, replica_id)) for node, work in self._work.items()
        ]
        return sorted(
            (holder for holder in found if holder.items > 0),
            key=lambda holder: (-holder.items, holder),
        )

    def _items_of(self, work: _NodeWork, replica_id: str) -> int:
        load = work.loads.get(replica_id)
        items = 0 if load is None else load.batch
        return items + sum(
            decision.batch for decision in work.unconfirmed if decision.replica_id == replica_id
        )

    def granted(self, node: str) -> Counter[str]:
        """Return how many granted items a node has not confirmed yet, by tenant."""
        granted: Counter[str] = Counter()
        work = self._work.get(node)
        for decision in [] if work is None else work.unconfirmed:
            if decision.batch > 0:
                granted[decision.tenant] += decision.batch
        return granted


def _expected_load(decision: _Decision) -> NodeLoad:
    """Return the work that a decision adds: either online work or items, never both."""
    batch_tokens = decision.tokens if decision.batch else 0
    return NodeLoad(decision.online, decision.batch, decision.tokens, batch_tokens)
