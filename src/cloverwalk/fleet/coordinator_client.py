"""This node's side towards the coordinator: reports, asks, and what comes back.

While the coordinator is silent the node turns to a standby, and decides alone, by what it knows,
when nobody answers.
"""

from collections import Counter, deque
from collections.abc import Awaitable, Callable

import attrs
import curio

from cloverwalk.core import catalogue
from cloverwalk.fleet.coordinator import ACK_EVERY_S, Coordinator
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
    ItemTiming,
    Leadership,
    NodeLoad,
    Orders,
    PlacementRequest,
    Report,
    RequestTiming,
    WaitingByPool,
    WorkCorrection,
)
from cloverwalk.fleet.placement_client import PlacementClient, PlacementResult
from cloverwalk.fleet.transport import Sender
from cloverwalk.gateway.configuration import ConfigurationHolder
from cloverwalk.gateway.replicas import ReplicaDirectory
from cloverwalk.store.health import StoreHealth
from cloverwalk.telemetry.log import ServingLog

MOST_TIMINGS = 16
"""Timings of items in one report, some 600 bytes: enough for what ends between two reports, which
follow each end; after a pause the newest say most."""

HEARTBEAT_S = 1.0
"""Longest time between reports."""

STANDBY_HEARTBEAT_S = 0.5
"""The same while the coordinator is silent: its return must be seen."""

REPORT_GAP_S = 0.01
"""Changes within this time go into one report."""

HEARD_LATELY_S = 0.3
"""A coordinator that was heard within this time is asked once more before a standby."""

ASKED_AGAIN_S = ACK_EVERY_S + 0.05
"""A report that got no word back is repeated so late that the coordinator answers it also where its
answer to the first was lost; 0.05 s are left for reports that take longer on the way."""

ANSWER_S = 0.15
"""Without a word for so long after that the coordinator is silent. Items of a node without online
requests are served by its zone's standby within 1.6 s of a cut by it, and never without it. Only
reports count that must be acknowledged: those that are sent ``ACK_EVERY_S`` after the last word."""

NEVER_MS = 1_000_000
"""Told as the age of the store's last answer while the store is lost."""


class BatchOrderHandler:
    """What orders mean for the node's batch items; a node without any ignores them.

    The node's loads contain the whole effect of grants and revokes before anything is waited for:
    a report that goes out meanwhile counts an order either in its loads or as not settled yet.
    """

    async def apply_grants(self, grants: dict[str, int]) -> None:
        """Start items at replicas."""

    async def apply_tenant_grants(
        self,
        grants: dict[str, int],
        by_tenant: dict[str, dict[str, int]],
        tokens: dict[str, int],
    ) -> None:
        """Start items at replicas, of the tenants that ``by_tenant`` names by replica.

        Together they may take the ``tokens`` of their replica; any, where these are empty.
        """
        await self.apply_grants(grants)

    async def apply_revokes(self, revokes: dict[str, int]) -> None:
        """Suspend items at replicas."""

    async def take_over_jobs(self, job_ids: list[str]) -> None:
        """Run jobs that have no owner."""


@attrs.define
class _Unanswered:
    """A node that has sent nothing since a report to it."""

    target: Contact
    since: float
    asked_again_at: float | None = None

    @property
    def due_at(self) -> float:
        """When to report to it again, or else to judge it."""
        if self.asked_again_at is None:
            return self.since + ASKED_AGAIN_S
        return self.asked_again_at + ANSWER_S


class CoordinatorClient:
    """Reports to the coordinator and acts on its orders."""

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
        cases: CrashRecordSync,
        seeds: list[str],
        log: ServingLog,
        clock: Callable[[], float],
    ) -> None:
        self._identity = identity
        self._leader = leader
        self._coordinator = coordinator
        self._transport = transport
        self._loads = loads
        self._configuration = configuration
        self._directory = directory
        self._health = health
        self._cases = cases
        self._seeds: list[str] = []
        self.use_seeds(seeds)
        self._log = log
        self._clock = clock
        self.batch_handler = BatchOrderHandler()
        self.on_placement: Callable[[], None] = _ignore
        """Called when an online request has its place."""

        self.on_leadership_change: Callable[[], Awaitable[None]] = _nothing
        self.waiting: WaitingByPool = {}
        """Own waiting items, as the next report tells them."""

        self.is_leaving = False
        self.utilization_percent = 0
        """How full this node's machine is, as reports tell it; 0: nobody measures it."""

        self.on_zone_utilization: Callable[[int], None] = _ignore_figure
        """Called with how full the nodes of this zone are."""

        self._served_at = float("-inf")
        self._settled: dict[str, tuple[str, int]] = {}
        self._places = PlacementClient(self, loads, clock)
        self._replicas = DirectorySync(directory, log, clock)
        self._served: list[RequestTiming] = []
        self._corrections: Counter[tuple[str, int]] = Counter()
        self._timings: deque[ItemTiming] = deque(maxlen=MOST_TIMINGS)
        self._sequence = 0
        self._sent_at = float("-inf")
        self._heard_at = float("-inf")
        self._wake = curio.Event()
        self._unanswered: _Unanswered | None = None
        self._target_heard = ("", float("-inf"))
        """The node that is reported to, and when it last sent something."""

    def use_seeds(self, seeds: list[str]) -> None:
        """Take hosts of nodes that may know who coordinates."""
        self._seeds = [one for one in seeds if one != self._identity.host]

    # --- reports ---

    async def run(self) -> None:
        """Report until cancelled: at each change, and now and then."""
        while True:
            is_lost = self._leader.has_lost_coordinator or self._leader.is_unheard
            rest_s = self.report_due_at() - self._clock()
            if rest_s > 0:
                async with curio.ignore_after(rest_s):
                    await self._wake.wait()
            gap_s = self._sent_at + REPORT_GAP_S - self._clock()
            if gap_s > 0:
                await curio.sleep(gap_s)
            self._wake.clear()
            await self._report()
            if is_lost:
                self._try_silent()

    def report_due_at(self) -> float:
        """Return when the next report goes out, if nothing changes before."""
        is_lost = self._leader.has_lost_coordinator or self._leader.is_unheard
        longest_s = STANDBY_HEARTBEAT_S if is_lost else HEARTBEAT_S
        due_at = self._sent_at + longest_s
        return due_at if self._unanswered is None else min(due_at, self._unanswered.due_at)

    async def trigger_report(self) -> None:
        """Loads, waiting items or the like have changed: the coordinator should know soon."""
        if self._clock() - self._sent_at >= REPORT_GAP_S:
            await self._report()
        else:
            await self._wake.set()

    def record_request_timing(self, served: RequestTiming) -> None:
        """A request was answered; the next report tells its times."""
        self._served.append(served)

    def record_work_correction(self, tenant: str, rank: int, more_ms: int) -> None:
        """An item of a tenant held a slot for so much longer than expected, or shorter."""
        self._corrections[tenant, rank] += more_ms

    def _take_corrections(self) -> list[WorkCorrection]:
        corrections, self._corrections = self._corrections, Counter()
        return [WorkCorrection(*key, more_ms) for key, more_ms in corrections.items()]

    def record_item_timing(self, timing: ItemTiming) -> None:
        """A run of an item ended; the next report tells how fast its replica was."""
        self._timings.append(timing)

    async def _report(self) -> None:
        """Report to the coordinator, or to whoever stands in for it."""
        self._judge_silence()
        target = self._leader.target()
        if target is None or target.node == self._identity.node:
            await self._tell_self([])
        else:
            self._send(target, [])

    def _judge_silence(self) -> None:
        """Turn away from a node that has answered no report lately."""
        waits = self._unanswered
        if waits is None:
            return
        if waits.target != self._leader.target():
            # Nothing is sent there any more.
            self._unanswered = None
        elif waits.asked_again_at is not None and self._clock() >= waits.due_at:
            self._unanswered = None
            self._note_silent(waits.target)

    def _note_report(self, target: Contact) -> None:
        """A report is sent; only where zones are cut off its answer is waited for."""
        if not self._coordinator.bears_zone_loss:
            return
        host, heard_at = self._target_heard
        if host == target.host and self._clock() - heard_at < ACK_EVERY_S:
            return
        waits = self._unanswered
        if waits is None or waits.target != target:
            self._unanswered = _Unanswered(target, self._clock())
        elif waits.asked_again_at is None and self._clock() >= waits.due_at:
            waits.asked_again_at = self._clock()

    def _try_silent(self) -> None:
        """Report to the nodes that did not answer, too: they may be back."""
        hosts = {one.host for one in self._leader.silent_contacts()}
        if self._leader.is_unheard:
            # The nodes of the row may be gone, or be refused by the store as this one may be.
            hosts.update(self._seeds)
        for host in sorted(hosts):
            self._transport.send(host, self._new_report(host, [], False))

    def _send(self, target: Contact, asks: list[PlacementRequest]) -> None:
        self._note_report(target)
        is_standby = self._leader.has_lost_coordinator
        self._transport.send(target.host, self._new_report(target.host, asks, is_standby))

    async def _tell_self(self, asks: list[PlacementRequest]) -> None:
        """Have this node's own coordinator decide; alone, it grants no slots to items.

        Its zone's standby isn't alone: it grants slots within the zone, to its own items too.
        """
        host = self._identity.host
        report = self._new_report(host, asks, not self._coordinator.is_active)
        if not self._coordinator.is_active and not self._leader.serves_zone:
            report.waiting = {}
        await self._coordinator.handle_report(report, host)

    def _new_report(self, host: str, asks: list[PlacementRequest], has_lost: bool) -> Report:
        self._sequence += 1
        self._sent_at = now = self._clock()
        loads = {
            key: NodeLoad(one.online, one.batch, one.tokens, one.batch_tokens)
            for key, one in self._loads.by_replica.items()
        }
        report = Report(
            self._identity.node,
            self._identity.run,
            self._identity.zone,
            self._sequence,
            self._settled.get(host, ("", 0))[1],
            self._configuration.version,
            self._directory.fingerprint,
            NEVER_MS
            if self._health.is_unavailable
            else int(min(NEVER_MS, self._health.ms_since_answer())),
            self._identity.cores,
            loads,
            self.waiting,
            self._directory.suspects(now),
            asks,
            self._places.take_withdrawn(),
            self._served,
            self.is_leaving,
            has_lost,
            self._coordinator.deputy_grants(now),
            self._cases.for_report(),
            self._cases.ledger.digest,
            item_timings=list(self._timings),
            corrections=self._take_corrections(),
            utilization_percent=self.utilization_percent,
        )
        self._served = []
        self._timings.clear()
        return report

    @property
    def configuration_version(self) -> int:
        """The version of the configuration by which this node decides."""
        return self._configuration.version

    # --- places for online requests ---

    async def request_placement(self, ask: PlacementRequest, until: float) -> PlacementResult:
        """Return where a request goes, or why it goes nowhere, before ``until``."""
        place = await self._places.place(ask, until)
        self.on_placement()
        return place

    async def send_ask(self, ask: PlacementRequest) -> Contact | None:
        """Send an ask to the coordinator or its stand-in; None: this node has to decide."""
        target = self._leader.target()
        if target is None or target.node == self._identity.node:
            return None
        self._send(target, [ask])
        return target

    async def decide_alone(self, ask: PlacementRequest) -> None:
        """Answer an ask by what this node knows."""
        await self._tell_self([ask])

    def note_no_answer(self, target: Contact, asked_at: float) -> None:
        """An ask had no answer; one that was heard lately gets another chance."""
        if asked_at - self._heard_at > HEARD_LATELY_S:
            self._note_silent(target)

    def _note_silent(self, target: Contact) -> None:
        if self._leader.current is not None and target == self._leader.current.holder:
            self._log.write(
                catalogue.COORDINATOR_SILENT,
                coordinator=target.node,
                term=self._leader.term,
                silent_s=round(self._clock() - self._heard_at, 3),
            )
        self._leader.note_silent(target.host)

    # --- what comes ---

    async def handle_message(self, message: Datagram, host: str) -> None:
        """Take a message of the coordinator or of another node."""
        self._note_word(host)
        match message:
            case Orders():
                await self.handle_orders(message, host)
            case Introduction():
                await self.offer(message.leadership)
                self._note_standby(host)
            case CrashCases():
                if self._cases.merge(message.crash_records, host):
                    await self.trigger_report()
            case DirectoryUpdate():
                if not self._replicas.apply(message):
                    # Another change was lost on the way; the report asks for the whole list.
                    await self._wake.set()

    def _note_word(self, host: str) -> None:
        """The node that is reported to, or was, has sent something."""
        if self._unanswered is not None and self._unanswered.target.host == host:
            self._unanswered = None
        target = self._leader.target()
        if target is not None and target.host == host:
            self._target_heard = (host, self._clock())

    def _note_standby(self, host: str) -> None:
        """A node that does not coordinate has answered: as a standby it can be turned to again.

        A node that misses one answer of its zone's first standby must return to it: two standbys
        that serve the zone would each grant all of its slots.
        """
        current = self._leader.current
        if not self._coordinator.bears_zone_loss or current is None:
            return
        if host != current.holder.host:
            self._leader.note_heard(host, self._clock())

    async def offer(self, leadership: Leadership) -> None:
        """Take news of who coordinates."""
        if not self._leader.offer(leadership, self._clock()):
            return
        self._log.write(
            catalogue.COORDINATOR_KNOWN,
            coordinator=leadership.holder.node,
            term=leadership.term,
            standbys=[one.node for one in leadership.standbys],
        )
        await self.on_leadership_change()
        await self._wake.set()

    async def handle_orders(self, orders: Orders, host: str) -> None:
        """Act on orders, once."""
        now = self._clock()
        await self.offer(orders.leadership)
        for placement in orders.placements:
            await self._places.handle_placement(placement)
        current = self._leader.current
        if current is not None and orders.leadership.term < current.term:
            # Its sender has not heard that another node coordinates now.
            self._transport.send(host, Introduction(current))
            return
        self._heard_at = now
        self._leader.note_heard(host, now)
        self._served_at = now if orders.is_store_served else self._served_at
        self._replicas.confirm(orders)
        self._cases.note_coordinator(orders.crash_digest)
        self.on_zone_utilization(orders.zone_utilization_percent)
        if orders.take_over:
            await self.batch_handler.take_over_jobs(orders.take_over)
        self._coordinator.take_fleet(orders.nodes, orders.near_limit, now)
        if orders.replica_loads:
            self._coordinator.take_totals(orders.replica_loads, now)
        await self._take_batch_orders(orders, host)

    async def _take_batch_orders(self, orders: Orders, host: str) -> None:
        run, settled = self._settled.get(host, ("", 0))
        if run == orders.sender and orders.number <= settled:
            return
        self._settled[host] = (orders.sender, orders.number)
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
        """Whether the coordinator said lately that the store answers some other node."""
        return self._clock() - self._served_at < 2 * HEARTBEAT_S


async def _nothing() -> None:
    return


def _ignore() -> None:
    return


def _ignore_figure(percent: int) -> None:
    return
