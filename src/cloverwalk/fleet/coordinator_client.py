"""The node's client of the coordinator: sends reports and placement requests, handles orders.

While the coordinator is unresponsive the client uses a standby. If no node answers, this node
decides by itself from its own state.
"""

from collections.abc import Awaitable, Callable

import attrs
import curio

from cloverwalk.core import catalogue
from cloverwalk.fleet.coordinator import ACK_INTERVAL_S, Coordinator
from cloverwalk.fleet.crash_record_sync import CrashRecordSync
from cloverwalk.fleet.directory_sync import DirectorySync
from cloverwalk.fleet.identity import Identity
from cloverwalk.fleet.in_flight import InFlightTracker
from cloverwalk.fleet.leader import LeaderView
from cloverwalk.fleet.messages import (
    Contact,
    CrashCases,
    Datagram,
    DirectoryUpdate,
    Introduction,
    Leadership,
    Orders,
    PlacementRequest,
    Report,
    VersionHistoryCopy,
    WaitingByPool,
)
from cloverwalk.fleet.placement_client import PlacementClient, PlacementResult, always_wanted
from cloverwalk.fleet.report_maker import ReportMaker
from cloverwalk.fleet.transport import Sender
from cloverwalk.gateway.configuration import ConfigurationHolder
from cloverwalk.gateway.replicas import ReplicaDirectory
from cloverwalk.gateway.zone_drains import ZoneDrains
from cloverwalk.store.health import StoreHealth
from cloverwalk.telemetry.log import ServingLog

HEARTBEAT_INTERVAL_S = 1.0
"""Maximum time between reports."""

STANDBY_HEARTBEAT_INTERVAL_S = 0.5
"""Maximum time between reports while the coordinator is unresponsive, to notice its return soon."""

MIN_REPORT_INTERVAL_S = 0.01
"""Minimum time between reports; changes within it go into one report."""

RECENT_CONTACT_S = 0.3
"""A placement request without an answer doesn't mark its receiver unresponsive if orders arrived
within this time before it was sent, or later."""

REPORT_RETRY_DELAY_S = ACK_INTERVAL_S + 0.05
"""An unanswered report is repeated after this time. The coordinator acknowledges a node once per
``ACK_INTERVAL_S``, so an earlier repetition would stay unanswered if the first answer was lost;
0.05 s are a margin for transit times."""

RESPONSE_TIMEOUT_S = 0.15
"""If the repeated report gets no answer within this time, its receiver is unresponsive. Only
reports sent at least ``ACK_INTERVAL_S`` after the receiver's last message count, since only they
must be acknowledged. Without this timeout, nodes that have only batch items would never use a
standby; with it, their zone's standby serves them within 1.6 s of a cut."""

RECONNECTION_SILENCE_S = 1.2
"""After orders that arrive later than this after the last ones, messages may have been lost: this
node or the sender was suspended or cut off. Longer than the usual time between reports."""

MAX_SERVED_CONFIGURATION_AGE_MS = 2000
"""The store serves a coordinator whose configuration was confirmed within this time; longer than
twice the long poll of the configuration feed."""

OnVersionHistory = Callable[[VersionHistoryCopy | None], None]
OnSources = Callable[[tuple[Contact, ...]], Awaitable[None]]


class BatchOrderHandler:
    """Applies orders to the node's batch items; this base class ignores them.

    An implementation updates the node's loads with the whole effect of grants and revokes before it
    awaits anything. A report sent meanwhile then has an order either in its loads or not yet in
    ``last_applied_order``, never half applied.
    """

    async def apply_grants(self, grants: dict[str, int]) -> None:
        """Start batch items at replicas."""

    async def apply_tenant_grants(
        self,
        grants: dict[str, int],
        by_tenant: dict[str, dict[str, int]],
        tokens: dict[str, int],
    ) -> None:
        """Start batch items at replicas, of the tenants that ``by_tenant`` names for each replica.

        The items at a replica may use its ``tokens`` together; empty ``tokens`` set no limit.
        """
        await self.apply_grants(grants)

    async def apply_revokes(self, revokes: dict[str, int]) -> None:
        """Suspend batch items at replicas."""

    async def take_over_jobs(self, job_ids: list[str]) -> None:
        """Take over jobs that have no owner."""


@attrs.define
class _UnansweredReport:
    """A report whose receiver has sent nothing since."""

    target: Contact
    sent_at: float
    resent_at: float | None = None

    @property
    def due_at(self) -> float:
        """When to repeat the report or, if that was done, to mark its receiver unresponsive."""
        if self.resent_at is None:
            return self.sent_at + REPORT_RETRY_DELAY_S
        return self.resent_at + RESPONSE_TIMEOUT_S


class CoordinatorClient:
    """Reports to the coordinator and applies its orders."""

    def __init__(
        self,
        identity: Identity,
        leader: LeaderView,
        coordinator: Coordinator,
        transport: Sender,
        loads: InFlightTracker,
        configuration: ConfigurationHolder,
        directory: ReplicaDirectory,
        health: StoreHealth,
        crash_records: CrashRecordSync,
        zone_drains: ZoneDrains,
        seeds: list[str],
        log: ServingLog,
        clock: Callable[[], float],
    ) -> None:
        self.reports = ReportMaker(
            identity, loads, configuration, directory, health, crash_records, zone_drains
        )
        self._zone_drains = zone_drains
        self._identity = identity
        self._leader = leader
        self._coordinator = coordinator
        self._transport = transport
        self._configuration = configuration
        self._crash_records = crash_records
        self._seeds: list[str] = []
        self.use_seeds(seeds)
        self._log = log
        self._clock = clock
        self.batch_handler = BatchOrderHandler()
        self.on_placement: Callable[[], None] = _ignore
        """Called when the placement of an online request is known."""

        self.on_leadership_change: Callable[[], Awaitable[None]] = _ignore_leadership_change
        self.waiting: WaitingByPool = {}
        """This node's waiting items, for the next report."""

        self.is_leaving = False
        self.utilization_percent = 0
        """Utilization of this node's machine, for reports; 0: not measured."""

        self.on_zone_utilization: Callable[[int], None] = _ignore_utilization
        """Called with the median utilization of the nodes in this zone, in percent."""

        self.on_configuration_sources: OnSources = _ignore_sources
        """Called with the configuration sources in received orders."""

        self.on_version_history: OnVersionHistory = _ignore_version_history
        """Called with the history of software versions in received orders."""

        self.on_reconnected: Callable[[], None] = _ignore
        """Called with the first orders after a long silence."""

        self._store_available_elsewhere_at = float("-inf")
        self._coordinator_configuration_age_ms: int | None = None
        self._last_applied_orders: dict[str, tuple[str, int]] = {}
        self._placement_client = PlacementClient(self, loads, clock)
        self._directory_sync = DirectorySync(directory, log, clock)
        self._report_sent_at = float("-inf")
        self._orders_received_at = float("-inf")
        self._report_requested = curio.Event()
        self._unanswered_report: _UnansweredReport | None = None
        self._target_last_seen = ("", float("-inf"))
        """Host of the node that is reported to, and when its last message arrived."""

    def use_seeds(self, seeds: list[str]) -> None:
        """Set hosts of nodes that may know the coordinator."""
        self._seeds = [seed for seed in seeds if seed != self._identity.host]

    # --- reports ---

    async def run(self) -> None:
        """Send reports after changes and at least once per heartbeat interval, until cancelled."""
        while True:
            lacks_coordinator = (
                self._leader.has_lost_coordinator or self._leader.has_never_contacted_leader
            )
            remaining_s = self.report_due_at() - self._clock()
            if remaining_s > 0:
                async with curio.ignore_after(remaining_s):
                    await self._report_requested.wait()
            delay_s = self._report_sent_at + MIN_REPORT_INTERVAL_S - self._clock()
            if delay_s > 0:
                await curio.sleep(delay_s)
            self._report_requested.clear()
            await self._report()
            if lacks_coordinator:
                self._report_to_unresponsive_nodes()

    def report_due_at(self) -> float:
        """Return when the next report is due if nothing changes before."""
        lacks_coordinator = (
            self._leader.has_lost_coordinator or self._leader.has_never_contacted_leader
        )
        interval_s = STANDBY_HEARTBEAT_INTERVAL_S if lacks_coordinator else HEARTBEAT_INTERVAL_S
        due_at = self._report_sent_at + interval_s
        return (
            due_at
            if self._unanswered_report is None
            else min(due_at, self._unanswered_report.due_at)
        )

    async def trigger_report(self) -> None:
        """Report a change, now or after the minimum interval since the last report."""
        if self._clock() - self._report_sent_at >= MIN_REPORT_INTERVAL_S:
            await self._report()
        else:
            await self._report_requested.set()

    async def report_stored_configuration(self) -> None:
        """Report a change just read from the store, unless the store serves the coordinator too.

        A coordinator that the store serves reads the change at about the same time.
        """
        age_ms = self._coordinator_configuration_age_ms
        if age_ms is None or age_ms > MAX_SERVED_CONFIGURATION_AGE_MS:
            await self._report_requested.set()

    async def _report(self) -> None:
        """Report to the coordinator, or to the standby that replaces it."""
        self._check_response_timeout()
        target = self._leader.target()
        if target is None or target.node == self._identity.node:
            await self._report_to_self([])
        else:
            self._send_report(target, [])

    def _check_response_timeout(self) -> None:
        """Mark the receiver of reports unresponsive if its response has timed out."""
        unanswered = self._unanswered_report
        if unanswered is None:
            return
        if unanswered.target != self._leader.target():
            # Reports go to another node now.
            self._unanswered_report = None
        elif unanswered.resent_at is not None and self._clock() >= unanswered.due_at:
            self._unanswered_report = None
            self._mark_unresponsive(unanswered.target)

    def _track_response(self, target: Contact) -> None:
        """Start the response timeout of a report, if the fleet tolerates the loss of a zone."""
        if not self._coordinator.tolerates_zone_loss:
            return
        host, last_seen_at = self._target_last_seen
        if host == target.host and self._clock() - last_seen_at < ACK_INTERVAL_S:
            return
        unanswered = self._unanswered_report
        if unanswered is None or unanswered.target != target:
            self._unanswered_report = _UnansweredReport(target, self._clock())
        elif unanswered.resent_at is None and self._clock() >= unanswered.due_at:
            unanswered.resent_at = self._clock()

    def _report_to_unresponsive_nodes(self) -> None:
        """Report to the unresponsive nodes as well, since they may be back."""
        hosts = {contact.host for contact in self._leader.unresponsive_contacts()}
        if self._leader.has_never_contacted_leader:
            # The nodes in the role row may have ended, or the store may refuse them and this node.
            hosts.update(self._seeds)
        for host in sorted(hosts):
            self._transport.send(host, self._make_report(host, [], False))

    def _send_report(self, target: Contact, placement_requests: list[PlacementRequest]) -> None:
        self._track_response(target)
        is_standby = self._leader.has_lost_coordinator
        self._transport.send(
            target.host, self._make_report(target.host, placement_requests, is_standby)
        )

    async def _report_to_self(self, placement_requests: list[PlacementRequest]) -> None:
        """Let this node's own ``Coordinator`` handle the report.

        An isolated node reports no waiting items, so that it is granted no slots. The standby that
        serves its zone reports them: it grants slots of the zone to all nodes, itself included.
        """
        host = self._identity.host
        report = self._make_report(host, placement_requests, not self._coordinator.is_active)
        if not self._coordinator.is_active and not self._leader.serves_zone:
            report.waiting = {}
        await self._coordinator.handle_report(report, host)

    def _make_report(
        self, host: str, placement_requests: list[PlacementRequest], has_lost_coordinator: bool
    ) -> Report:
        self._report_sent_at = self._clock()
        report = self.reports.make(self._report_sent_at, placement_requests)
        report.last_applied_order = self._last_applied_orders.get(host, ("", 0))[1]
        report.withdrawn = self._placement_client.pop_withdrawn()
        report.waiting = self.waiting
        report.is_leaving = self.is_leaving
        report.has_lost_coordinator = has_lost_coordinator
        report.local_grants = self._coordinator.local_grants(self._report_sent_at)
        report.utilization_percent = self.utilization_percent
        return report

    @property
    def coordinator_name(self) -> str | None:
        """Name of the node that gets this node's reports; None if none is known."""
        target = self._leader.target()
        return None if target is None else target.node

    @property
    def configuration_version(self) -> int:
        """Version of the configuration that this node uses."""
        return self._configuration.version

    @property
    def configuration_age_ms(self) -> int:
        """Time since this version was last known to be the newest, in ms."""
        return self._configuration.age_ms(self._clock())

    # --- placement of online requests ---

    async def request_placement(
        self,
        request: PlacementRequest,
        until: float,
        may_send: Callable[[], bool] = always_wanted,
    ) -> PlacementResult:
        """Return a replica for an online request, or why there is none, by ``until``.

        A request that waits is given up as contained once ``may_send`` returns False.
        """
        result = await self._placement_client.request_placement(request, until, may_send)
        self.on_placement()
        return result

    async def send_placement_request(self, request: PlacementRequest) -> Contact | None:
        """Send a placement request to the coordinator or a standby.

        Return the node it was sent to; None if this node has to decide.
        """
        target = self._leader.target()
        if target is None or target.node == self._identity.node:
            return None
        self._send_report(target, [request])
        return target

    async def decide_locally(self, request: PlacementRequest) -> None:
        """Answer a placement request from this node's own state."""
        await self._report_to_self([request])

    def on_request_timeout(self, target: Contact, sent_at: float) -> None:
        """Mark the target unresponsive unless orders arrived within ``RECENT_CONTACT_S``."""
        if sent_at - self._orders_received_at > RECENT_CONTACT_S:
            self._mark_unresponsive(target)

    def _mark_unresponsive(self, target: Contact) -> None:
        if self._leader.current is not None and target == self._leader.current.holder:
            self._log.write(
                catalogue.COORDINATOR_SILENT,
                coordinator=target.node,
                term=self._leader.term,
                silent_s=round(self._clock() - self._orders_received_at, 3),
            )
        self._leader.mark_unresponsive(target.host)

    # --- received messages ---

    async def handle_message(self, message: Datagram, host: str) -> None:
        """Handle a message of the coordinator or of another node."""
        self._record_response(host)
        match message:
            case Orders():
                await self.handle_orders(message, host)
            case Introduction():
                await self.update_leadership(message.leadership)
                self._mark_standby_responsive(host)
            case CrashCases():
                if self._crash_records.merge(message.crash_records, host):
                    await self.trigger_report()
            case DirectoryUpdate():
                if not self._directory_sync.apply(message):
                    # An earlier change was lost; the fingerprint in the report requests the list.
                    await self._report_requested.set()

    def _record_response(self, host: str) -> None:
        """Record that a message arrived from the node that is or was reported to."""
        if self._unanswered_report is not None and self._unanswered_report.target.host == host:
            self._unanswered_report = None
        target = self._leader.target()
        if target is not None and target.host == host:
            self._target_last_seen = (host, self._clock())

    def _mark_standby_responsive(self, host: str) -> None:
        """Mark a standby responsive after a message other than orders.

        A node that missed one answer of its zone's standby must return to it, since two standbys
        that serve one zone would each grant all of its slots.
        """
        current = self._leader.current
        if not self._coordinator.tolerates_zone_loss or current is None:
            return
        if host != current.holder.host:
            self._leader.mark_responsive(host, self._clock())

    async def update_leadership(self, leadership: Leadership) -> None:
        """Adopt a leadership if it is newer than the current one."""
        if not self._leader.update_leadership(leadership, self._clock()):
            return
        self._log.write(
            catalogue.COORDINATOR_KNOWN,
            coordinator=leadership.holder.node,
            term=leadership.term,
            standbys=[standby.node for standby in leadership.standbys],
        )
        self._crash_records.on_leadership_change()
        await self.on_leadership_change()
        await self._report_requested.set()

    async def handle_orders(self, orders: Orders, host: str) -> None:
        """Apply orders; grants and revokes that were applied before are ignored."""
        now = self._clock()
        self._zone_drains.apply_copy(orders.zone_drains, self._made_at(orders, now), host)
        await self.update_leadership(orders.leadership)
        decided_at = self.reports.earliest_decision_time(orders)
        for placement in orders.placements:
            await self._placement_client.handle_placement(placement, decided_at)
        current = self._leader.current
        if current is not None and orders.leadership.term < current.term:
            # The sender doesn't know yet that another node coordinates.
            self._transport.send(host, Introduction(current))
            return
        is_reconnected = now - self._orders_received_at > RECONNECTION_SILENCE_S
        self._orders_received_at = now
        self._leader.mark_responsive(host, now)
        self._store_available_elsewhere_at = (
            now if orders.is_store_served else self._store_available_elsewhere_at
        )
        self._directory_sync.confirm(orders, self._earliest_made_at(orders, now))
        self._confirm_configuration(orders, now)
        await self.on_configuration_sources(orders.configuration_sources)
        self.on_version_history(orders.version_history)
        self._crash_records.record_coordinator_digest(orders.crash_digest)
        self.on_zone_utilization(orders.zone_utilization_percent)
        if orders.take_over:
            await self.batch_handler.take_over_jobs(orders.take_over)
        self._coordinator.apply_fleet_size(orders.nodes, orders.near_limit, now)
        if orders.replica_loads:
            self._coordinator.apply_totals(orders.replica_loads, now)
        await self._apply_batch_orders(orders, host)
        if is_reconnected:
            self.on_reconnected()

    def _confirm_configuration(self, orders: Orders, now: float) -> None:
        """Record when the sender last knew this node's configuration to be the newest."""
        self._coordinator_configuration_age_ms = orders.configuration_age_ms
        if orders.configuration_age_ms is not None:
            confirmed_at = self._made_at(orders, now) - orders.configuration_age_ms / 1000
            self._configuration.record_confirmation(orders.configuration_version, confirmed_at)

    def _made_at(self, orders: Orders, now: float) -> float:
        """Return a lower bound of the time at which orders were made.

        Where nodes do not poll for the configuration, this is the arrival time.
        """
        return self._earliest_made_at(orders, now) if self.reports.polls_configuration else now

    def _earliest_made_at(self, orders: Orders, now: float) -> float:
        """Return a lower bound of the time at which orders were made.

        They may have waited while this node was suspended. The arrival time if the report that they
        name is not known.
        """
        sent_at = self.reports.sent_at(orders.report_sequence)
        return now if sent_at is None else min(now, sent_at + orders.report_age_ms / 1000)

    async def _apply_batch_orders(self, orders: Orders, host: str) -> None:
        run, last_applied = self._last_applied_orders.get(host, ("", 0))
        if run == orders.sender and orders.number <= last_applied:
            return
        self._last_applied_orders[host] = (orders.sender, orders.number)
        target = self._leader.target()
        is_followed = target is not None and target.host == host
        if is_followed and orders.revokes:
            await self.batch_handler.apply_revokes(orders.revokes)
        if is_followed and (orders.grants_by_tenant or orders.grant_tokens):
            await self.batch_handler.apply_tenant_grants(
                orders.grants, orders.grants_by_tenant, orders.grant_tokens
            )
        elif is_followed and orders.grants:
            await self.batch_handler.apply_grants(orders.grants)
        if orders.grants or orders.revokes:
            await self.trigger_report()

    def is_store_available_elsewhere(self) -> bool:
        """Whether recent orders said that the store answers some other node."""
        return self._clock() - self._store_available_elsewhere_at < 2 * HEARTBEAT_INTERVAL_S


async def _ignore_leadership_change() -> None:
    return


async def _ignore_sources(sources: tuple[Contact, ...]) -> None:
    return


def _ignore_version_history(history: VersionHistoryCopy | None) -> None:
    return


def _ignore() -> None:
    return


def _ignore_utilization(percent: int) -> None:
    return
