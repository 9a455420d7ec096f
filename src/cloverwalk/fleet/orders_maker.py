"""Creates the orders of the coordinator or a standby from its state."""

import math
from collections.abc import Callable

from cloverwalk.fleet.crash_record_sync import CrashRecordSync
from cloverwalk.fleet.identity import Identity
from cloverwalk.fleet.leader import LeaderView
from cloverwalk.fleet.messages import Contact, Leadership, Orders, VersionHistoryCopy
from cloverwalk.fleet.node_registry import NodeRegistry
from cloverwalk.fleet.state_sender import MAX_SERVED_STORE_AGE_MS, directory_age_ms
from cloverwalk.gateway.configuration import ConfigurationHolder
from cloverwalk.gateway.replicas import ReplicaDirectory
from cloverwalk.gateway.zone_drains import ZoneDrains
from cloverwalk.scheduling.decisions import Decisions
from cloverwalk.store.health import StoreHealth

SourcesOf = Callable[[str], tuple[Contact, ...]]
"""Returns the configuration sources of a node, by its name."""

MAX_HISTORY_COPIES = 3
"""How often a process gets the history of software versions, since orders may be lost."""


class OrdersMaker:
    """Creates orders with this node's state."""

    def __init__(
        self,
        identity: Identity,
        leader: LeaderView,
        registry: NodeRegistry,
        configuration: ConfigurationHolder,
        directory: ReplicaDirectory,
        health: StoreHealth,
        crash_records: CrashRecordSync,
        zone_drains: ZoneDrains,
    ) -> None:
        self._identity = identity
        self._leader = leader
        self._registry = registry
        self._configuration = configuration
        self._directory = directory
        self._health = health
        self._crash_records = crash_records
        self._zone_drains = zone_drains
        self.configuration_sources: SourcesOf = _no_sources
        self.version_history: Callable[[], VersionHistoryCopy | None] = _no_history

    def make(self, node: str, decisions: Decisions | None, now: float) -> Orders:
        """Return orders for a node, with the decisions if there are any."""
        current = self._leader.current or Leadership(
            self._identity.contact, self._identity.run, self._leader.term
        )
        orders = Orders(
            current,
            self._identity.incarnation,
            0 if decisions is None else decisions.number,
            self._configuration.version,
            self._directory.fingerprint,
            self._directory.version,
            directory_age_ms(self._directory, now),
            self._is_store_available_to_other_nodes(node),
        )
        orders.crash_digest = self._crash_records.ledger.digest
        orders.configuration_age_ms = self._configuration.age_ms(now)
        orders.zone_drains = self._zone_drains.copy(now)
        orders.configuration_sources = self.configuration_sources(node)
        self._add_version_history(orders, node)
        granted_at = None if decisions is None else decisions.warmup_granted_at
        self._add_report_age(orders, node, now if granted_at is None else min(granted_at, now))
        if decisions is not None:
            orders.placements = decisions.placements
            orders.grants = decisions.grants
            orders.revokes = decisions.revokes
            orders.grants_by_tenant = decisions.grants_by_tenant
            orders.grant_tokens = decisions.grant_tokens
        return orders

    def _add_version_history(self, orders: Orders, node: str) -> None:
        """Add the history of software versions for a process that has just started to report."""
        entry = self._registry.by_name.get(node)
        if entry is None or entry.history_copies_sent >= MAX_HISTORY_COPIES:
            return
        orders.version_history = self.version_history()
        entry.history_copies_sent += orders.version_history is not None

    def _add_report_age(self, orders: Orders, node: str, made_at: float) -> None:
        """Add the number of the last report and its age at ``made_at``.

        ``made_at`` is the time of the oldest warm-up grant in the orders, if there is one, since
        the process may have been suspended between the grant and the creation of the orders.
        """
        entry = self._registry.by_name.get(node)
        if entry is not None:
            orders.report_sequence = entry.report.sequence
            orders.report_age_ms = math.floor((made_at - entry.last_seen_at) * 1000)

    def _is_store_available_to_other_nodes(self, node: str) -> bool:
        """Whether the store has recently answered a node other than ``node``."""
        local_node = self._identity.node
        if node != local_node and not self._health.is_unavailable:
            return True
        return any(
            entry.report.store_age_ms < MAX_SERVED_STORE_AGE_MS
            for entry in self._registry.live()
            if entry.contact.node not in (node, local_node)
        )


def _no_sources(node: str) -> tuple[Contact, ...]:
    return ()


def _no_history() -> VersionHistoryCopy | None:
    return None
