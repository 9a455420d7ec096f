"""The coordinator's side: takes reports, has the scheduler decide, and tells the nodes.

Every node has one. It is active at the node that holds the role, see ``election``; at a standby it
serves the nodes that the coordinator does not answer.
"""

from collections.abc import Awaitable, Callable

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
from cloverwalk.fleet.node_registry import REMEMBERED_S, KnownNode, NodeRegistry
from cloverwalk.fleet.snapshots import SnapshotMaker
from cloverwalk.fleet.state_sender import STORE_SERVES_MS, StateSender, directory_age_ms
from cloverwalk.fleet.transport import Sender
from cloverwalk.fleet.utilization import median_by_zone
from cloverwalk.gateway.configuration import ConfigurationHolder
from cloverwalk.gateway.replicas import ReplicaDirectory
from cloverwalk.scheduling.decisions import Decisions
from cloverwalk.scheduling.features import Feature
from cloverwalk.scheduling.scheduler import Scheduler
from cloverwalk.store.health import StoreHealth
from cloverwalk.telemetry.log import ServingLog

TICK_S = 0.05
"""How often an active coordinator looks for what is due by time alone."""

ACK_EVERY_S = 0.4
"""A node that reports is told at least this often that it was heard."""

TOTALS_EVERY_S = 1.0
TOTALS_ENTRIES_PER_S = 6500
"""Entries of totals that the coordinator sends to all nodes together, about 100 KB/s: larger fleets
are told less often. They serve a node only that decides alone for a moment, and without this bound
they took 9.2 MB/s at 300 nodes and 3,000 replicas (counted on the stand-ins)."""

SNAPSHOT_EVERY_S = 0.25
COUNTED_SILENT_S = 1.5
"""A node that was silent for so long may decide alone, and its part of the tenants' quotas is not
given out here: one report of those that come each second is missing."""

TELL_RETURNED_EVERY_S = 0.4
"""The nodes are told at most this often that the store answers again, which is how often they ask
themselves. Where it refuses some calls of some nodes, it returns all the time: with 7 in 10 calls
of each third node refused, 200 nodes were sent 211,615 messages in 6 s without this bound
(simulated time)."""

FULLNESS_EVERY_S = 0.5
"""How often the fleet's fullness is looked at: reports of a quiet node come each second."""

PING_LOST_EVERY_S = 1.0
DeliverLocally = Callable[[Orders], Awaitable[None]]


class Coordinator:
    """Serves the nodes that report to this one."""

    def __init__(
        self,
        identity: Identity,
        leader: LeaderView,
        transport: Sender,
        scheduler: Scheduler,
        configuration: ConfigurationHolder,
        directory: ReplicaDirectory,
        health: StoreHealth,
        cases: CrashRecordSync,
        log: ServingLog,
        clock: Callable[[], float],
    ) -> None:
        self._cases = cases
        self._identity = identity
        self._leader = leader
        self._transport = transport
        self._scheduler = scheduler
        self._configuration = configuration
        self._directory = directory
        self._health = health
        self._log = log
        self._clock = clock
        self.registry = NodeRegistry()
        self.deliver_locally: DeliverLocally = _nobody
        self.on_tick: Callable[[float], None] = _ignore
        """Called with the time at each tick of the coordinator, not of a standby."""

        self.active_since: float | None = None
        """Since when this node holds the role; None while it does not."""

        self._copies = StateSender(transport, configuration, directory)
        self._snapshots = SnapshotMaker(scheduler, health)
        self._snapshot_at = float("-inf")
        self._pinged_at = float("-inf")
        self._told_returned_at = float("-inf")
        self._must_tell_returned = False
        self._has_work = curio.Event()
        self._is_active = curio.Event()
        self.is_leaving = False
        self._near_limit: list[str] = []
        self.must_hand_over: Callable[[], bool] = _never
        """Whether this node's machine is too full to coordinate."""

        self._fullness_by_zone: dict[str, int] = {}
        self._fullness_at = float("-inf")
        self._fleet_size = 0
        """How many nodes the coordinator said that there are; 0 before it did."""

        self._serves_zone = False
        """Whether nodes report to this standby, since the coordinator does not answer them."""

        self._serve_own_zone()

    @property
    def bears_zone_loss(self) -> bool:
        """Whether a whole zone may be cut off or lost."""
        return self._scheduler.features.is_on(Feature.ZONE_LOSS)

    def _serve_own_zone(self) -> None:
        """Grant items slots of the own zone only, as a standby: others grant elsewhere."""
        if self.bears_zone_loss:
            self._scheduler.restrict_grants_to(self._identity.zone)

    @property
    def is_active(self) -> bool:
        """Whether this node coordinates."""
        return self.active_since is not None

    # --- the role ---

    async def activate(self, nodes: list[Contact]) -> None:
        """Take the role, and tell the nodes that are known from the coordinator before."""
        now = self._clock()
        if self.active_since is None:
            self.active_since = now
            self._scheduler.quotas.become_coordinator(now)
            self._scheduler.restrict_grants_to("")
            self._note_served_zone()
            self._cases.ledger.grants_trials = True
            self._copies.note_known()
            await self._has_work.set()
            await self._is_active.set()
        known = {one.contact.host for one in self.registry.live()}
        hosts = known | {one.host for one in nodes}
        for host in sorted(hosts - {self._identity.host}):
            self._transport.send(host, self._orders("", None, now))

    def deactivate(self) -> None:
        """Another node holds the role."""
        if self.is_active:
            self._scheduler.quotas.stop_coordinating(self._clock())
            self._serve_own_zone()
        self._cases.ledger.grants_trials = False
        self.active_since = None
        self._is_active.clear()

    async def wait_until_active(self) -> None:
        """Return when this node coordinates."""
        await self._is_active.wait()

    async def wait_until_active_or_timeout(self, longest_s: float) -> None:
        """Return when this node coordinates, or after ``longest_s``."""
        async with curio.ignore_after(longest_s):
            await self._is_active.wait()

    # --- reports ---

    async def handle_report(self, report: Report, host: str) -> None:
        """Serve a node, or tell it whom to turn to."""
        if not self.is_active and not report.has_lost_coordinator:
            if self._leader.current is not None:
                self._transport.send(host, Introduction(self._leader.current))
            return
        now = self._clock()
        heard = self.registry.record_report(report, host, now)
        if heard is None:
            return
        known, is_new = heard
        await self._has_work.set()
        if not self.is_active:
            self._take_share()
            self._note_served_zone()
        elif report.node != self._identity.node:
            grants = report.local_grants
            self._scheduler.quotas.record_local_grants(report.node, report.run, grants, now)
        if is_new:
            self._log.write(catalogue.PEER_HEARD, peer=report.node, host=host)
            self._scheduler.remove_node(report.node, now)
        if report.node != self._identity.node:
            self._cases.handle_report(report, known)
        self._scheduler.handle_report(report, now)
        await self.tell_decisions()
        if now - known.told_at >= ACK_EVERY_S:
            self._acknowledge(known, now)
        self._copies.help(known, now)

    def _take_share(self) -> None:
        """Count for the part of the fleet that reports here."""
        heard = self.registry.heard_since(self._clock() - COUNTED_SILENT_S)
        self._scheduler.quotas.set_fleet_fraction(heard, self._fleet_nodes())

    def _fleet_nodes(self) -> int:
        """Return how many nodes the whole fleet has, as far as this one knows; 0: it doesn't."""
        nodes = len(self.registry.by_name) if self.is_active else self._fleet_size
        if self.active_since is not None and self.bears_zone_loss:
            # Nodes that have not turned here since may be served by a coordinator elsewhere.
            is_recent = self._clock() - self.active_since < REMEMBERED_S
            nodes = max(nodes, self._fleet_size) if is_recent else nodes
        return nodes

    def _note_served_zone(self) -> None:
        """Log when this standby begins and ends to serve nodes of its zone."""
        if not self.bears_zone_loss:
            return
        own = self._identity
        live = self.registry.live()
        others = [one for one in live if one.contact.node != own.node]
        serves = not self.is_active and bool(others) and self._leader.has_lost_coordinator
        if serves == self._serves_zone:
            return
        self._serves_zone = serves
        event = catalogue.ZONE_SERVED if serves else catalogue.ZONE_SERVED_NO_MORE
        self._log.write(event, zone=own.zone, nodes=len(live), term=self._leader.term)

    async def tell_decisions(self) -> None:
        """Send what the scheduler has decided."""
        now = self._clock()
        for node, decisions in self._scheduler.pop_decisions().items():
            orders = self._orders(node, decisions, now)
            if node == self._identity.node:
                await self.deliver_locally(orders)
                continue
            known = self.registry.by_name.get(node)
            if known is None:
                continue
            self._add_totals(orders, known, now)
            known.told_at = now
            self._transport.send(known.contact.host, orders)

    def _acknowledge(self, known: KnownNode, now: float) -> None:
        orders = self._orders(known.contact.node, None, now)
        orders.number = self._scheduler.last_decision_number(known.contact.node)
        self._add_totals(orders, known, now)
        known.told_at = now
        self._transport.send(known.contact.host, orders)

    def _add_totals(self, orders: Orders, known: KnownNode, now: float) -> None:
        is_busy = bool(known.report.loads or known.report.placement_requests)
        if is_busy and self._are_totals_due(known, now):
            known.totals_at = now
            orders.replica_loads = self._scheduler.replica_loads()

    def _are_totals_due(self, known: KnownNode, now: float) -> bool:
        entries = self._scheduler.load_tracker.busy_replica_count * len(self.registry.by_name)
        if entries <= TOTALS_ENTRIES_PER_S * TOTALS_EVERY_S:
            return now - known.totals_at >= TOTALS_EVERY_S
        # Many nodes that are heard at the same time are not told at the same time.
        told_at = max(known.totals_at, known.first_heard_at)
        return now - told_at >= entries / TOTALS_ENTRIES_PER_S

    def _orders(self, node: str, decisions: Decisions | None, now: float) -> Orders:
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
            self._store_serves_another(node),
        )
        orders.crash_digest = self._cases.ledger.digest
        if self.is_active:
            orders.nodes = self._fleet_nodes()
            orders.near_limit = self._near_limit
            orders.zone_utilization_percent = self._zone_fullness(node)
        if decisions is not None:
            orders.placements = decisions.placements
            orders.grants = decisions.grants
            orders.revokes = decisions.revokes
            orders.grants_by_tenant = decisions.grants_by_tenant
            orders.grant_tokens = decisions.grant_tokens
        return orders

    def _zone_fullness(self, node: str) -> int:
        known = self.registry.by_name.get(node)
        return 0 if known is None else self._fullness_by_zone.get(known.report.zone, 0)

    def _store_serves_another(self, node: str) -> bool:
        """Whether the store has lately answered a node other than this one."""
        own = self._identity.node
        if node != own and not self._health.is_unavailable:
            return True
        return any(
            one.report.store_age_ms < STORE_SERVES_MS
            for one in self.registry.live()
            if one.contact.node not in (node, own)
        )

    # --- by time ---

    async def run(self) -> None:
        """Do what is due until cancelled."""
        while True:
            await self._has_work.wait()
            await curio.sleep(TICK_S)
            await self.tick()
            if not self.is_active and not self.registry.by_name:
                self._has_work.clear()

    async def tick(self) -> None:
        """Expire nodes and decisions, and tell the standbys and changes of the replicas."""
        now = self._clock()
        self._expire_nodes(now)
        self._scheduler.tick(now)
        await self.tell_decisions()
        if not self.is_active:
            self._note_served_zone()
            return
        if self.bears_zone_loss:
            self._note_zones(now)
        self.on_tick(now)
        self._take_share()
        self._near_limit = self._scheduler.quotas.near_limit(now)
        self._look_at_fullness(now)
        self._copies.push_directory(self._others(), now)
        self._cases.push(self._others)
        if self._must_tell_returned:
            self.broadcast_store_returned()
        if now - self._snapshot_at >= SNAPSHOT_EVERY_S:
            self._snapshot_at = now
            self._tell_standbys(now)
        self._ping_lost(now)

    def _expire_nodes(self, now: float) -> None:
        """Forget the work of nodes that are silent for too long."""
        remembered_s = REMEMBERED_S if self.is_active else 0.0
        for known in self.registry.expire(now, remembered_s):
            if self.is_active:
                # Elsewhere a node that turned back to the coordinator is not lost.
                silent_s = round(now - known.heard_at, 2)
                self._log.write(catalogue.PEER_LOST, peer=known.contact.node, silent_s=silent_s)
            self._scheduler.remove_node(known.contact.node, now)

    def _look_at_fullness(self, now: float) -> None:
        """Keep the median fullness of each zone's nodes up to date."""
        if now - self._fullness_at < FULLNESS_EVERY_S:
            return
        self._fullness_at = now
        self._fullness_by_zone = median_by_zone(one.report for one in self.registry.live())

    def _ping_lost(self, now: float) -> None:
        """Tell lost nodes who coordinates: they may have started anew."""
        if now - self._pinged_at < PING_LOST_EVERY_S:
            return
        self._pinged_at = now
        for known in self.registry.lost():
            node = known.contact.node
            self._transport.send(known.contact.host, self._orders(node, None, now))

    def _note_zones(self, now: float) -> None:
        """Tell which zones' nodes are heard, and which are silent as a whole."""
        own_zone = self._identity.zone
        heard = self.registry.heard_by_zone()
        for zone in sorted(set(heard) - {own_zone}):
            self._scheduler.reachability.record_last_seen(own_zone, zone, heard[zone], now)

    def _others(self) -> list[KnownNode]:
        """Return the live nodes but this one."""
        own = self._identity.node
        return [known for known in self.registry.live() if known.contact.node != own]

    def _tell_standbys(self, now: float) -> None:
        """Send the standbys what they need to take over."""
        current = self._leader.current
        if current is None:
            return
        is_leaving = self.is_leaving or self._should_hand_over(current)
        snapshot = self._snapshots.make(current, self.registry.live(), is_leaving, now)
        for standby in current.standbys:
            if standby.node != self._identity.node:
                self._transport.send(standby.host, snapshot)

    def _should_hand_over(self, current: Leadership) -> bool:
        """Whether the first standby should coordinate: it has room, and this node has none."""
        if not current.standbys or not self.must_hand_over():
            return False
        first = self.registry.by_name.get(current.standbys[0].node)
        return first is not None and not first.is_lost and not first.report.is_full

    # --- for other parts of the node ---

    def take_fleet(self, nodes: int, near_limit: list[str], now: float) -> None:
        """Take what the coordinator tells for a node that has to decide in its stead."""
        if nodes > 0 and not self.is_active:
            self._fleet_size = nodes
            self._scheduler.quotas.apply_near_limit(near_limit, now)

    def deputy_grants(self, now: float) -> LocalGrants | None:
        """Return the tokens that this node gave out itself lately, as reports tell them."""
        return self._scheduler.quotas.local_grants(now)

    def take_totals(self, totals: dict[str, NodeLoad], now: float) -> None:
        """Take the fleet's work, for decisions of this node alone."""
        if not self.is_active:
            self._scheduler.load_tracker.apply_snapshot(totals, now, is_complete=False)

    def send_takeover(self, incarnation: str, job_ids: list[str]) -> None:
        """Have a node run jobs that have no owner."""
        known = self.registry.by_name.get(incarnation.rpartition(".")[0])
        if known is None or known.report.incarnation != incarnation:
            return
        orders = self._orders(known.contact.node, None, self._clock())
        orders.number = self._scheduler.last_decision_number(known.contact.node)
        orders.take_over = job_ids
        self._transport.send(known.contact.host, orders)

    def broadcast_store_returned(self) -> None:
        """Tell the nodes that the store answers again; they need not find out themselves."""
        now = self._clock()
        self._must_tell_returned = now - self._told_returned_at < TELL_RETURNED_EVERY_S
        if self._must_tell_returned:
            # The next tick after the pause tells it.
            return
        self._told_returned_at = now
        message = StoreReturned(self._identity.node)
        for known in self._others():
            self._transport.send(known.contact.host, message)


async def _nobody(_orders: Orders) -> None:
    return


def _ignore(now: float) -> None:
    return


def _never() -> bool:
    return False
