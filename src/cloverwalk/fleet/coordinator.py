"""The coordinator: handles reports, lets the scheduler decide, and sends orders to the nodes.

Every node has a ``Coordinator``. It is active at the node that holds the role, see ``election``. At
a standby it serves the nodes that don't get answers from the coordinator.
"""

from collections.abc import Awaitable, Callable, Iterable

import curio

from cloverwalk.core import catalogue
from cloverwalk.fleet.crash_record_sync import CrashRecordSync
from cloverwalk.fleet.identity import Identity
from cloverwalk.fleet.leader import LeaderView
from cloverwalk.fleet.messages import (
    Contact,
    Introduction,
    Leadership,
    LocalGrants,
    NodeLoad,
    Orders,
    Report,
    StoreReturned,
)
from cloverwalk.fleet.node_registry import LOST_NODE_RETENTION_S, NodeEntry, NodeRegistry
from cloverwalk.fleet.orders_maker import OrdersMaker
from cloverwalk.fleet.snapshots import SnapshotMaker
from cloverwalk.fleet.state_sender import StateSender
from cloverwalk.fleet.transport import Sender
from cloverwalk.fleet.utilization import median_by_zone
from cloverwalk.gateway.configuration import ConfigurationHolder
from cloverwalk.gateway.replicas import ReplicaDirectory
from cloverwalk.gateway.zone_drains import ZoneDrains
from cloverwalk.scheduling.decisions import Decisions
from cloverwalk.scheduling.features import Feature
from cloverwalk.scheduling.scheduler import Scheduler
from cloverwalk.store.health import StoreHealth
from cloverwalk.telemetry.log import ServingLog

TICK_INTERVAL_S = 0.05
"""Interval of work that is due by time alone."""

ACK_INTERVAL_S = 0.4
"""A report is acknowledged if the last orders to its node are at least this old."""

TOTALS_INTERVAL_S = 1.0
MAX_TOTALS_ENTRIES_PER_S = 6500
"""Limit on the entries of replica totals sent to all nodes together, about 100 KB/s. Larger fleets
get totals less often: only a node that decides by itself for a moment needs them. Without a limit,
totals take 9.2 MB/s at 300 nodes and 3,000 replicas."""

SNAPSHOT_INTERVAL_S = 0.25
QUOTA_REPORT_TIMEOUT_S = 1.5
"""A node whose last report is older may grant quota tokens by itself, so the coordinator doesn't
grant that node's part of the quotas. Longer than the interval of one second between reports."""

MIN_STORE_RETURNED_INTERVAL_S = 0.4
"""Minimum time between broadcasts that the store answers again, equal to the interval at which
nodes probe it. A store that refuses some calls of some nodes would cause a broadcast per answer:
211,615 messages in 6 s at 200 nodes, of which a third have 7 in 10 calls refused."""

UTILIZATION_INTERVAL_S = 0.5
"""Interval at which the median utilization is updated; idle nodes report once a second."""

LOST_NODE_PING_INTERVAL_S = 1.0
DeliverLocally = Callable[[Orders], Awaitable[None]]


class Coordinator:
    """Serves the nodes that report to this node."""

    def __init__(
        self,
        identity: Identity,
        leader: LeaderView,
        transport: Sender,
        scheduler: Scheduler,
        configuration: ConfigurationHolder,
        directory: ReplicaDirectory,
        health: StoreHealth,
        crash_records: CrashRecordSync,
        zone_drains: ZoneDrains,
        log: ServingLog,
        clock: Callable[[], float],
    ) -> None:
        self._crash_records = crash_records
        self._identity = identity
        self._leader = leader
        self._transport = transport
        self._scheduler = scheduler
        self._configuration = configuration
        self._log = log
        self._clock = clock
        self.registry = NodeRegistry()
        self.orders_maker = OrdersMaker(
            identity,
            leader,
            self.registry,
            configuration,
            directory,
            health,
            crash_records,
            zone_drains,
        )
        self._zone_drains = zone_drains
        self._pushed_drained_zones: tuple[str, ...] = ()
        self.deliver_locally: DeliverLocally = _ignore_orders
        self.on_tick: Callable[[float], None] = _ignore_tick
        """Called with the time at each tick while this node is active, not at a standby."""

        self.active_since: float | None = None
        """When this node took the role; None while it doesn't hold it."""

        self._state_sender = StateSender(transport, configuration, directory)
        self._snapshot_maker = SnapshotMaker(scheduler, health)
        self._snapshot_sent_at = float("-inf")
        self._pinged_at = float("-inf")
        self._store_returned_sent_at = float("-inf")
        self._must_broadcast_store_returned = False
        self._has_work = curio.Event()
        self._is_active = curio.Event()
        self.is_leaving = False
        self._near_limit: list[str] = []
        self.must_hand_over: Callable[[], bool] = _never
        """Returns whether this node's machine is too loaded to coordinate."""

        self._utilization_by_zone: dict[str, int] = {}
        self._utilization_updated_at = float("-inf")
        self._fleet_size = 0
        """Number of nodes as the coordinator reported it; 0 if unknown."""

        self._serves_zone = False
        """Whether nodes report to this standby because the coordinator does not answer them."""

        self._restrict_grants_to_local_zone()

    @property
    def tolerates_zone_loss(self) -> bool:
        """Whether the fleet is configured to tolerate the loss of a whole zone."""
        return self._scheduler.features.is_on(Feature.ZONE_LOSS)

    def _restrict_grants_to_local_zone(self) -> None:
        """As a standby, grant slots of this zone only; standbys elsewhere grant those of theirs."""
        if self.tolerates_zone_loss:
            self._scheduler.restrict_grants_to(self._identity.zone)

    @property
    def is_active(self) -> bool:
        """Whether this node holds the role."""
        return self.active_since is not None

    # --- the role ---

    async def activate(self, nodes: list[Contact]) -> None:
        """Take the role and announce it to ``nodes`` and to all nodes that report here."""
        now = self._clock()
        if self.active_since is None:
            self.active_since = now
            self._scheduler.quotas.become_coordinator(now)
            self._scheduler.restrict_grants_to("")
            self._log_served_zone()
            self._crash_records.ledger.grants_trials = True
            self._state_sender.mark_current_as_sent()
            await self._has_work.set()
            await self._is_active.set()
        live_hosts = {entry.contact.host for entry in self.registry.live()}
        hosts = live_hosts | {contact.host for contact in nodes}
        for host in sorted(hosts - {self._identity.host}):
            self._transport.send(host, self._make_orders("", None, now))

    def deactivate(self) -> None:
        """Give up the role because another node holds it."""
        if self.is_active:
            self._scheduler.quotas.stop_coordinating(self._clock())
            self._restrict_grants_to_local_zone()
        self._crash_records.ledger.grants_trials = False
        self.active_since = None
        self._is_active.clear()

    async def wait_until_active(self) -> None:
        """Wait until this node holds the role."""
        await self._is_active.wait()

    async def wait_until_active_or_timeout(self, timeout_s: float) -> None:
        """Wait until this node holds the role, or for ``timeout_s``."""
        async with curio.ignore_after(timeout_s):
            await self._is_active.wait()

    # --- reports ---

    async def handle_report(self, report: Report, host: str) -> None:
        """Serve a node, or introduce it to the coordinator."""
        if not self.is_active and not report.has_lost_coordinator:
            if self._leader.current is not None:
                self._transport.send(host, Introduction(self._leader.current))
            return
        now = self._clock()
        recorded = self.registry.record_report(report, host, now)
        if recorded is None:
            return
        entry, is_new = recorded
        self._zone_drains.apply_copy(report.zone_drains, now, host)
        await self._has_work.set()
        if not self.is_active:
            self._update_fleet_fraction()
            self._log_served_zone()
        elif report.node != self._identity.node:
            grants = report.local_grants
            self._scheduler.quotas.record_local_grants(report.node, report.run, grants, now)
        if is_new:
            self._log.write(catalogue.PEER_HEARD, peer=report.node, host=host)
            self._scheduler.remove_node(report.node, now)
        if report.node != self._identity.node:
            self._crash_records.handle_report(report, entry)
        self._scheduler.handle_report(report, now)
        await self.send_decisions()
        if now - entry.orders_sent_at >= ACK_INTERVAL_S:
            self._acknowledge(entry, now)
        self._state_sender.send_missing_state(entry, now)
        self._state_sender.request_newer_configuration(entry, now)

    def _update_fleet_fraction(self) -> None:
        """Grant quotas for the part of the fleet that reports here."""
        reporting = self.registry.count_seen_since(self._clock() - QUOTA_REPORT_TIMEOUT_S)
        self._scheduler.quotas.set_fleet_fraction(reporting, self._count_fleet_nodes())

    def _count_fleet_nodes(self) -> int:
        """Return the number of nodes in the whole fleet; 0 if unknown."""
        nodes = len(self.registry.by_name) if self.is_active else self._fleet_size
        if self.active_since is not None and self.tolerates_zone_loss:
            # Nodes that haven't reported here yet may be served by a coordinator elsewhere.
            is_recent = self._clock() - self.active_since < LOST_NODE_RETENTION_S
            nodes = max(nodes, self._fleet_size) if is_recent else nodes
        return nodes

    def send_configuration(self, host: str) -> None:
        """Send a copy of this node's configuration to another node."""
        self._state_sender.send_configuration(host, self._clock())

    def count_nodes_with_older_configuration(self) -> int:
        """Return the number of live nodes that last reported an older configuration version."""
        version = self._configuration.version
        return sum(entry.report.configuration_version < version for entry in self.registry.live())

    def _log_served_zone(self) -> None:
        """Log when this standby starts and stops serving nodes of its zone."""
        if not self.tolerates_zone_loss:
            return
        identity = self._identity
        live = self.registry.live()
        peers = [entry for entry in live if entry.contact.node != identity.node]
        serves = not self.is_active and bool(peers) and self._leader.has_lost_coordinator
        if serves == self._serves_zone:
            return
        self._serves_zone = serves
        event = catalogue.ZONE_SERVED if serves else catalogue.ZONE_SERVED_NO_MORE
        self._log.write(event, zone=identity.zone, nodes=len(live), term=self._leader.term)

    async def send_decisions(self) -> None:
        """Send the scheduler's pending decisions to their nodes."""
        now = self._clock()
        for node, decisions in self._scheduler.pop_decisions().items():
            orders = self._make_orders(node, decisions, now)
            if node == self._identity.node:
                await self.deliver_locally(orders)
                continue
            entry = self.registry.by_name.get(node)
            if entry is None:
                continue
            self._add_totals(orders, entry, now)
            entry.orders_sent_at = now
            self._transport.send(entry.contact.host, orders)

    def _acknowledge(self, entry: NodeEntry, now: float) -> None:
        orders = self._make_orders(entry.contact.node, None, now)
        orders.number = self._scheduler.last_decision_number(entry.contact.node)
        self._add_totals(orders, entry, now)
        entry.orders_sent_at = now
        self._transport.send(entry.contact.host, orders)

    def send_orders(self, entries: Iterable[NodeEntry], now: float) -> None:
        """Send orders without decisions to nodes."""
        for entry in entries:
            self._acknowledge(entry, now)

    def _add_totals(self, orders: Orders, entry: NodeEntry, now: float) -> None:
        is_busy = bool(entry.report.loads or entry.report.placement_requests)
        if is_busy and self._are_totals_due(entry, now):
            entry.totals_sent_at = now
            orders.replica_loads = self._scheduler.replica_loads()

    def _are_totals_due(self, entry: NodeEntry, now: float) -> bool:
        entry_count = self._scheduler.load_tracker.busy_replica_count * len(self.registry.by_name)
        if entry_count <= MAX_TOTALS_ENTRIES_PER_S * TOTALS_INTERVAL_S:
            return now - entry.totals_sent_at >= TOTALS_INTERVAL_S
        # Nodes that first report at the same time must not all get their totals at once.
        last_sent_at = max(entry.totals_sent_at, entry.first_seen_at)
        return now - last_sent_at >= entry_count / MAX_TOTALS_ENTRIES_PER_S

    def _make_orders(self, node: str, decisions: Decisions | None, now: float) -> Orders:
        orders = self.orders_maker.make(node, decisions, now)
        if self.is_active:
            orders.nodes = self._count_fleet_nodes()
            orders.near_limit = self._near_limit
            orders.zone_utilization_percent = self._zone_utilization(node)
        return orders

    def _zone_utilization(self, node: str) -> int:
        entry = self.registry.by_name.get(node)
        return 0 if entry is None else self._utilization_by_zone.get(entry.report.zone, 0)

    # --- periodic work ---

    async def run(self) -> None:
        """Run ticks until cancelled, while this node is active or nodes report to it."""
        while True:
            await self._has_work.wait()
            await curio.sleep(TICK_INTERVAL_S)
            await self.tick()
            if not self.is_active and not self.registry.by_name:
                self._has_work.clear()

    async def tick(self) -> None:
        """Expire nodes and decisions; as coordinator also send snapshots and changes of state."""
        now = self._clock()
        self._expire_nodes(now)
        self._scheduler.tick(now)
        await self.send_decisions()
        self._state_sender.push_configuration(self._peers(), now)
        self._push_zone_drains(now)
        if not self.is_active:
            self._log_served_zone()
            return
        if self.tolerates_zone_loss:
            self._update_reachability(now)
        self.on_tick(now)
        self._update_fleet_fraction()
        self._near_limit = self._scheduler.quotas.near_limit(now)
        self._update_utilization(now)
        self._state_sender.push_directory(self._peers(), now)
        self._crash_records.push(self._peers)
        if self._must_broadcast_store_returned:
            self.broadcast_store_returned()
        if now - self._snapshot_sent_at >= SNAPSHOT_INTERVAL_S:
            self._snapshot_sent_at = now
            self._send_snapshots(now)
        self._ping_lost_nodes(now)

    def _push_zone_drains(self, now: float) -> None:
        """Send orders to all nodes when the drained zones have changed."""
        if self._pushed_drained_zones != self._zone_drains.zones:
            self._pushed_drained_zones = self._zone_drains.zones
            for entry in self._peers():
                self._acknowledge(entry, now)

    def _expire_nodes(self, now: float) -> None:
        """Remove the work of nodes that have stopped reporting."""
        retention_s = LOST_NODE_RETENTION_S if self.is_active else 0.0
        for entry in self.registry.expire(now, retention_s):
            if self.is_active:
                # A standby does not log it: the node may report to the coordinator again.
                silent_s = round(now - entry.last_seen_at, 2)
                self._log.write(catalogue.PEER_LOST, peer=entry.contact.node, silent_s=silent_s)
            self._scheduler.remove_node(entry.contact.node, now)

    def _update_utilization(self, now: float) -> None:
        """Update the median utilization of each zone's nodes."""
        if now - self._utilization_updated_at < UTILIZATION_INTERVAL_S:
            return
        self._utilization_updated_at = now
        self._utilization_by_zone = median_by_zone(entry.report for entry in self.registry.live())

    def _ping_lost_nodes(self, now: float) -> None:
        """Send lost nodes the current leadership, since they may have restarted."""
        if now - self._pinged_at < LOST_NODE_PING_INTERVAL_S:
            return
        self._pinged_at = now
        for entry in self.registry.lost():
            node = entry.contact.node
            self._transport.send(entry.contact.host, self._make_orders(node, None, now))

    def _update_reachability(self, now: float) -> None:
        """Record when the nodes of each other zone last reported."""
        local_zone = self._identity.zone
        last_seen_by_zone = self.registry.last_seen_by_zone()
        for zone in sorted(set(last_seen_by_zone) - {local_zone}):
            self._scheduler.reachability.record_last_seen(
                local_zone, zone, last_seen_by_zone[zone], now
            )

    def _peers(self) -> list[NodeEntry]:
        """Return the live nodes without this one."""
        local_node = self._identity.node
        return [entry for entry in self.registry.live() if entry.contact.node != local_node]

    def _send_snapshots(self, now: float) -> None:
        """Send the standbys the state that they need to take over."""
        current = self._leader.current
        if current is None:
            return
        is_leaving = self.is_leaving or self._should_hand_over(current)
        snapshot = self._snapshot_maker.make(current, self.registry.live(), is_leaving, now)
        for standby in current.standbys:
            if standby.node != self._identity.node:
                self._transport.send(standby.host, snapshot)

    def _should_hand_over(self, current: Leadership) -> bool:
        """Whether this node is too loaded to coordinate and the first standby is not."""
        if not current.standbys or not self.must_hand_over():
            return False
        first_standby = self.registry.by_name.get(current.standbys[0].node)
        return (
            first_standby is not None
            and not first_standby.is_lost
            and not first_standby.report.is_full
        )

    # --- interface for other parts of the node ---

    def apply_fleet_size(self, nodes: int, near_limit: list[str], now: float) -> None:
        """Apply the fleet size and tenants near their quota, for local decisions of this node."""
        if nodes > 0 and not self.is_active:
            self._fleet_size = nodes
            self._scheduler.quotas.apply_near_limit(near_limit, now)

    def local_grants(self, now: float) -> LocalGrants | None:
        """Return the quota tokens that this node recently granted by itself, for its reports."""
        return self._scheduler.quotas.local_grants(now)

    def apply_totals(self, totals: dict[str, NodeLoad], now: float) -> None:
        """Apply the fleet's work in flight, for local decisions of this node."""
        if not self.is_active:
            self._scheduler.load_tracker.apply_snapshot(totals, now, is_complete=False)

    def send_takeover(self, incarnation: str, job_ids: list[str]) -> None:
        """Order a process to take over jobs without an owner; do nothing if it was replaced."""
        entry = self.registry.by_name.get(incarnation.rpartition(".")[0])
        if entry is None or entry.report.incarnation != incarnation:
            return
        orders = self._make_orders(entry.contact.node, None, self._clock())
        orders.number = self._scheduler.last_decision_number(entry.contact.node)
        orders.take_over = job_ids
        self._transport.send(entry.contact.host, orders)

    def broadcast_store_returned(self) -> None:
        """Notify all nodes that the store answers again, so that they needn't probe it."""
        now = self._clock()
        self._must_broadcast_store_returned = (
            now - self._store_returned_sent_at < MIN_STORE_RETURNED_INTERVAL_S
        )
        if self._must_broadcast_store_returned:
            # The first tick after the interval sends it.
            return
        self._store_returned_sent_at = now
        message = StoreReturned(self._identity.node)
        for entry in self._peers():
            self._transport.send(entry.contact.host, message)


async def _ignore_orders(_orders: Orders) -> None:
    return


def _ignore_tick(now: float) -> None:
    return


def _never() -> bool:
    return False
