"""Snapshots of the coordinator's state for its standbys."""

from cloverwalk.fleet.messages import Leadership, RouteEstimates, SlowdownEstimate, Snapshot
from cloverwalk.fleet.node_registry import NodeEntry
from cloverwalk.scheduling.scheduler import Scheduler
from cloverwalk.scheduling.slowdown_replication import SlowdownReplicator
from cloverwalk.store.health import StoreHealth

SNAPSHOTS_PER_NODE_LIST = 4
"""One in this many snapshots contains the list of nodes."""

MAX_STORE_AGE_MS = 1e6
"""Upper bound of the reported age of the store's last answer."""


class SnapshotMaker:
    """Makes snapshots; most of them leave out some parts to save bytes."""

    def __init__(self, scheduler: Scheduler, health: StoreHealth) -> None:
        self._scheduler = scheduler
        self._health = health
        self._slowdown_replicator = SlowdownReplicator()
        self._snapshot_count = 0

    def make(
        self, current: Leadership, live: list[NodeEntry], is_leaving: bool, now: float
    ) -> Snapshot:
        """Return the next snapshot; ``live`` are the entries of all nodes that report."""
        self._snapshot_count += 1
        scheduler = self._scheduler
        estimates = scheduler.times.estimates()
        return Snapshot(
            current,
            int(min(MAX_STORE_AGE_MS, self._health.ms_since_answer())),
            scheduler.replica_loads(),
            {route: RouteEstimates(*values) for route, values in estimates.items()},
            [entry.contact for entry in live]
            if self._snapshot_count % SNAPSHOTS_PER_NODE_LIST == 0
            else [],
            is_leaving,
            scheduler.quotas.bucket_levels(now),
            slowdowns=self._due_slowdowns([standby.node for standby in current.standbys], now),
            usage_by_tenant=scheduler.online_shares.usage(),
            item_usage_by_tenant=scheduler.item_shares.usage(),
            warmups_ms=scheduler.warmup_tokens.remaining_ms(now),
        )

    def _due_slowdowns(self, standbys: list[str], now: float) -> dict[str, SlowdownEstimate]:
        slowdowns = self._scheduler.slowdowns
        due = self._slowdown_replicator.due(slowdowns.baselines(), standbys, now)
        return slowdowns.estimates(due, now)
