"""Snapshots of what the coordinator knows, for its standbys."""

from cloverwalk.fleet.messages import Leadership, RouteEstimates, SlowdownEstimate, Snapshot
from cloverwalk.fleet.node_registry import KnownNode
from cloverwalk.scheduling.scheduler import Scheduler
from cloverwalk.scheduling.slowdown_replication import SlowdownReplicator
from cloverwalk.store.health import StoreHealth

NODES_EVERY = 4
"""Each so many snapshots name all nodes."""

MOST_STORE_AGE_MS = 1e6
"""An older answer of the store is told as this old."""


class SnapshotMaker:
    """Makes snapshots; some parts are left out of most of them to save bytes."""

    def __init__(self, scheduler: Scheduler, health: StoreHealth) -> None:
        self._scheduler = scheduler
        self._health = health
        self._pace_teller = SlowdownReplicator()
        self._made = 0

    def make(
        self, current: Leadership, live: list[KnownNode], is_leaving: bool, now: float
    ) -> Snapshot:
        """Return the next snapshot; ``live`` are the nodes that report."""
        self._made += 1
        scheduler = self._scheduler
        times = scheduler.times.estimates()
        return Snapshot(
            current,
            int(min(MOST_STORE_AGE_MS, self._health.ms_since_answer())),
            scheduler.replica_loads(),
            {route: RouteEstimates(*figures) for route, figures in times.items()},
            [one.contact for one in live] if self._made % NODES_EVERY == 0 else [],
            is_leaving,
            scheduler.quotas.bucket_levels(now),
            slowdowns=self._paces_due([one.node for one in current.standbys], now),
            usage_by_tenant=scheduler.online_shares.usage(),
            item_usage_by_tenant=scheduler.item_shares.usage(),
        )

    def _paces_due(self, standbys: list[str], now: float) -> dict[str, SlowdownEstimate]:
        paces = self._scheduler.slowdowns
        due = self._pace_teller.due(paces.baselines(), standbys, now)
        return paces.estimates(due, now)
