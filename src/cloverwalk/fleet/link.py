"""This node's side towards the coordinator: reports, asks, and what comes back.

While the coordinator is silent the node turns to a standby, and decides alone, by what it knows,
when nobody answers. An online request never waits longer than ``ASK_TIMEOUT_MAX_S`` for that.
"""

from collections.abc import Awaitable, Callable

import attrs
import curio
import msgspec

from cloverwalk.core import catalogue
from cloverwalk.fleet.coordinator import Coordinator
from cloverwalk.fleet.identity import Identity
from cloverwalk.fleet.leader import LeaderView
from cloverwalk.fleet.load import LoadBook, Work
from cloverwalk.fleet.messages import (
    Ask,
    Contact,
    Datagram,
    DirectoryUpdate,
    Introduction,
    Leadership,
    NodeLoad,
    Orders,
    Placement,
    Report,
    Served,
    Waiting,
)
from cloverwalk.fleet.transport import Sender
from cloverwalk.gateway.admission import Verdict
from cloverwalk.gateway.configuration import ConfigurationHolder
from cloverwalk.gateway.replicas import ReplicaDirectory
from cloverwalk.store.health import StoreHealth
from cloverwalk.telemetry.log import ServingLog

HEARTBEAT_S = 1.0
"""Longest time between reports."""

STANDBY_HEARTBEAT_S = 0.5
"""The same while the coordinator is silent: its return must be seen."""

REPORT_GAP_S = 0.01
"""Changes within this time go into one report."""

ASK_TIMEOUT_LEAST_S = 0.03
ASK_TIMEOUT_MAX_S = 0.12
ROUND_TRIPS = 5.0
"""An answer that takes so many times the usual one will not come."""

ROUND_TRIP_WEIGHT = 0.2
FIRST_ROUND_TRIP_S = 0.01
ASK_AGAIN_S = 0.25
"""A held request asks again after this time: an order may have been lost."""

HEARD_LATELY_S = 0.3
"""A coordinator that was heard within this time is asked once more before a standby."""

NEVER_MS = 1_000_000
"""Told as the age of the store's last answer while the store is lost."""


@attrs.define
class Place:
    """The answer to a request that asked for a place."""

    verdict: Verdict
    replica_id: str = ""
    work: Work | None = None
    """The request as the load of its replica counts it, where the verdict is SEND."""

    wait_ms: float = 0.0
    retry_after_s: float = 0.0


class BatchSide:
    """What orders mean for the node's batch items; a node without any ignores them."""

    async def take_grants(self, grants: dict[str, int]) -> None:
        """Start items at replicas."""

    async def take_revokes(self, revokes: dict[str, int]) -> None:
        """Suspend items at replicas."""

    async def take_jobs(self, job_ids: list[str]) -> None:
        """Run jobs that have no owner."""


@attrs.define
class _Pending:
    """An ask without its final answer."""

    event: curio.Event = attrs.Factory(curio.Event)
    place: Place | None = None
    is_held: bool = False


class CoordinatorLink:
    """Reports to the coordinator and acts on its orders."""

    def __init__(
        self,
        identity: Identity,
        leader: LeaderView,
        coordinator: Coordinator,
        transport: Sender,
        loads: LoadBook,
        configuration: ConfigurationHolder,
        directory: ReplicaDirectory,
        health: StoreHealth,
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
        self._seeds: list[str] = []
        self.use_seeds(seeds)
        self._log = log
        self._clock = clock
        self.batch = BatchSide()
        self.on_leadership: Callable[[], Awaitable[None]] = _nothing
        self.waiting: Waiting = {}
        """Own waiting items, as the next report tells them."""

        self.is_leaving = False
        self._served_at = float("-inf")
        self._settled: dict[str, tuple[str, int]] = {}
        self._pending: dict[int, _Pending] = {}
        self._withdrawn: list[int] = []
        self._served: list[Served] = []
        self._number = 0
        self._sequence = 0
        self._sent_at = float("-inf")
        self._heard_at = float("-inf")
        self._round_trip_s = FIRST_ROUND_TRIP_S
        self._wake = curio.Event()

    def use_seeds(self, seeds: list[str]) -> None:
        """Take hosts of nodes that may know who coordinates."""
        self._seeds = [one for one in seeds if one != self._identity.host]

    # --- reports ---

    async def run(self) -> None:
        """Report until cancelled: at each change, and now and then."""
        while True:
            is_lost = self._leader.target() is None or self._leader.has_lost_coordinator
            longest_s = STANDBY_HEARTBEAT_S if is_lost else HEARTBEAT_S
            rest_s = self._sent_at + longest_s - self._clock()
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

    async def note_change(self) -> None:
        """Loads, waiting items or the like have changed: the coordinator should know soon."""
        if self._clock() - self._sent_at >= REPORT_GAP_S:
            await self._report()
        else:
            await self._wake.set()

    def note_served(self, served: Served) -> None:
        """A request was answered; the next report tells its times."""
        self._served.append(served)

    async def _report(self) -> None:
        """Report to the coordinator, or to whoever stands in for it."""
        target = self._leader.target()
        if target is None or target.node == self._identity.node:
            await self._tell_self([])
        else:
            self._send(target, [])

    def _try_silent(self) -> None:
        """Report to the nodes that did not answer, too: they may be back."""
        hosts = [one.host for one in self._leader.silent_contacts()]
        if self._leader.current is None:
            hosts = self._seeds
        for host in hosts:
            self._transport.send(host, self._new_report(host, [], False))

    def _send(self, target: Contact, asks: list[Ask]) -> None:
        is_standby = self._leader.has_lost_coordinator
        self._transport.send(target.host, self._new_report(target.host, asks, is_standby))

    async def _tell_self(self, asks: list[Ask]) -> None:
        """Have this node's own coordinator decide; alone, it grants no slots to items."""
        host = self._identity.host
        report = self._new_report(host, asks, not self._coordinator.is_active)
        if not self._coordinator.is_active:
            report.waiting = {}
        await self._coordinator.hear(report, host)

    def _new_report(self, host: str, asks: list[Ask], has_lost: bool) -> Report:
        self._sequence += 1
        self._sent_at = now = self._clock()
        loads = {key: NodeLoad(one.online, one.batch) for key, one in self._loads.own.items()}
        report = Report(
            self._identity.node,
            self._identity.run,
            self._identity.zone,
            self._sequence,
            self._settled.get(host, ("", 0))[1],
            self._configuration.version,
            self._directory.fingerprint,
            NEVER_MS if self._health.is_lost else int(min(NEVER_MS, self._health.age_ms())),
            self._identity.cores,
            loads,
            self.waiting,
            self._directory.suspects(now),
            asks,
            self._withdrawn,
            self._served,
            self.is_leaving,
            has_lost,
        )
        self._withdrawn, self._served = [], []
        return report

    # --- places for online requests ---

    async def place(self, ask: Ask, until: float) -> Place:
        """Return where a request goes, or why it goes nowhere, before ``until``.

        ``ask`` gets its number here. A place that was found counts as work in flight already.
        """
        began_at = self._clock()
        self._number += 1
        ask = msgspec.structs.replace(ask, number=self._number)
        pending = self._pending[ask.number] = _Pending()
        try:
            await self._ask(ask, pending)
            while pending.place is None:
                await self._wait(pending, min(ASK_AGAIN_S, until - self._clock()))
                if pending.place is None:
                    waited_ms = int((self._clock() - began_at) * 1000)
                    await self._ask(_later(ask, waited_ms, self._clock() >= until), pending)
            place, pending.place = pending.place, None
            return place
        finally:
            self._pending.pop(ask.number, None)
            if pending.place is not None and pending.place.work is not None:
                # The request left in the moment in which it got its place.
                self._loads.end(pending.place.work)
            if pending.is_held:
                self._withdrawn.append(ask.number)

    async def _ask(self, ask: Ask, pending: _Pending) -> None:
        """Ask until somebody has answered, if only that the request is held."""
        pending.is_held = False
        for _ in range(2):
            target = self._leader.target()
            if target is None or target.node == self._identity.node:
                break
            sent_at = self._clock()
            pending.event.clear()
            self._send(target, [ask])
            await self._wait(pending, self._ask_timeout_s())
            if pending.place is not None or pending.is_held:
                self._note_round_trip(self._clock() - sent_at)
                return
            if sent_at - self._heard_at > HEARD_LATELY_S:
                self._note_silent(target)
        await self._tell_self([ask])

    def _ask_timeout_s(self) -> float:
        expected_s = ROUND_TRIPS * self._round_trip_s
        return min(ASK_TIMEOUT_MAX_S, max(ASK_TIMEOUT_LEAST_S, expected_s))

    def _note_round_trip(self, took_s: float) -> None:
        self._round_trip_s += ROUND_TRIP_WEIGHT * (took_s - self._round_trip_s)

    def _note_silent(self, target: Contact) -> None:
        if self._leader.current is not None and target == self._leader.current.holder:
            self._log.write(
                catalogue.COORDINATOR_SILENT,
                coordinator=target.node,
                term=self._leader.term,
                silent_s=round(self._clock() - self._heard_at, 3),
            )
        self._leader.note_silent(target.host)

    async def _wait(self, pending: _Pending, timeout_s: float) -> None:
        async with curio.ignore_after(max(0.0, timeout_s)):
            await pending.event.wait()
        pending.event.clear()

    # --- what comes ---

    async def take(self, message: Datagram, host: str) -> None:
        """Take a message of the coordinator or of another node."""
        match message:
            case Orders():
                await self.take_orders(message, host)
            case Introduction():
                await self.offer(message.leadership)
            case DirectoryUpdate():
                await self._take_directory(message)

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
        await self.on_leadership()
        await self._wake.set()

    async def take_orders(self, orders: Orders, host: str) -> None:
        """Act on orders, once."""
        now = self._clock()
        await self.offer(orders.leadership)
        for placement in orders.placements:
            await self._take_placement(placement)
        current = self._leader.current
        if current is not None and orders.leadership.term < current.term:
            # Its sender has not heard that another node coordinates now.
            self._transport.send(host, Introduction(current))
            return
        self._heard_at = now
        self._leader.note_heard(host, now)
        self._served_at = now if orders.is_store_served else self._served_at
        self._confirm_directory(orders, now)
        if orders.take_over:
            await self.batch.take_jobs(orders.take_over)
        if orders.totals:
            self._coordinator.take_totals(orders.totals, now)
        await self._take_batch_orders(orders, host)

    async def _take_batch_orders(self, orders: Orders, host: str) -> None:
        run, settled = self._settled.get(host, ("", 0))
        if run == orders.sender and orders.number <= settled:
            return
        target = self._leader.target()
        is_followed = target is not None and target.host == host
        if is_followed and orders.revokes:
            await self.batch.take_revokes(orders.revokes)
        if is_followed and orders.grants:
            await self.batch.take_grants(orders.grants)
        self._settled[host] = (orders.sender, orders.number)
        if orders.grants or orders.revokes:
            await self.note_change()

    async def _take_placement(self, placement: Placement) -> None:
        pending = self._pending.get(placement.number)
        if pending is None or pending.place is not None:
            return
        pending.is_held = placement.verdict is Verdict.HOLD
        if not pending.is_held:
            work = None
            if placement.verdict is Verdict.SEND:
                work = self._loads.begin(placement.replica_id, is_batch=False)
            pending.place = Place(
                placement.verdict,
                placement.replica_id,
                work,
                float(placement.wait_ms),
                placement.retry_after_s,
            )
        await pending.event.set()

    def store_serves_others(self) -> bool:
        """Whether the coordinator said lately that the store answers some other node."""
        return self._clock() - self._served_at < 2 * HEARTBEAT_S

    # --- the list of replicas ---

    def _confirm_directory(self, orders: Orders, now: float) -> None:
        if orders.directory != self._directory.fingerprint:
            return
        confirmed_at = now - orders.directory_age_ms / 1000
        self._directory.confirmed_at = max(self._directory.confirmed_at, confirmed_at)
        self._directory.version = max(self._directory.version, orders.directory_version)

    async def _take_directory(self, update: DirectoryUpdate) -> None:
        if update.since is None:
            if update.version < self._directory.version:
                return
            removed = self._directory.replace(update.replicas, update.version)
            self._log.write(
                catalogue.DIRECTORY_COPIED, version=update.version, removed=len(removed)
            )
        else:
            for replica in update.replicas:
                self._directory.put(replica)
            for gone in update.removed:
                self._directory.remove(gone.replica_id, gone.version)
        if self._directory.fingerprint == update.fingerprint:
            confirmed_at = self._clock() - update.age_ms / 1000
            self._directory.confirmed_at = max(self._directory.confirmed_at, confirmed_at)
            self._directory.version = max(self._directory.version, update.version)
        else:
            # Another change was lost on the way; the report asks for the whole list.
            await self._wake.set()


def _later(ask: Ask, waited_ms: int, must_place: bool) -> Ask:
    """Return an ask as it is after a wait."""
    return msgspec.structs.replace(
        ask,
        objective_left_ms=ask.objective_left_ms - waited_ms,
        time_left_ms=ask.time_left_ms - waited_ms,
        must_place=ask.must_place or must_place,
    )


async def _nothing() -> None:
    return
