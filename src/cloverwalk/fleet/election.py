"""Which node coordinates: a row of the store says so, and a standby follows one that is silent.

The row is changed only under its version, so two nodes never hold the same term. Nodes follow the
coordinator that they hear with the highest term; decisions need no row, so a fleet without its
store goes on with the standbys.
"""

from collections.abc import Callable
from random import Random

import curio
import msgspec
from msgspec import Struct

from cloverwalk.core import catalogue
from cloverwalk.fleet.coordinator import Coordinator
from cloverwalk.fleet.coordinator_client import CoordinatorClient
from cloverwalk.fleet.identity import Identity
from cloverwalk.fleet.leader import LeaderView
from cloverwalk.fleet.messages import Contact, Leadership, Snapshot
from cloverwalk.fleet.node_registry import FULL_CORE
from cloverwalk.scheduling.scheduler import Scheduler
from cloverwalk.store.health import StoreHealth
from cloverwalk.store.types import (
    CommitStatus,
    Expectation,
    Put,
    Row,
    RowKey,
    Store,
    StoreError,
    Transaction,
)
from cloverwalk.telemetry.log import ServingLog

ROLE_TABLE = "role"
ROLE_KEY = RowKey(ROLE_TABLE, "", "coordinator")
LOOK_EVERY_S = 1.0
ACTIVE_LOOK_EVERY_S = 0.25
"""The same at the coordinator and its standbys."""

CLAIM_AFTER_S = 0.8
"""A standby that got no snapshot for so long, of four a second, takes the role."""

CLAIM_STEP_S = 0.5
"""Later standbys wait so much longer each."""

ORPHAN_AFTER_S = 3.0
"""Any node takes the role after this time without a word of the coordinator and its standbys."""

FIRST_ORPHAN_AFTER_S = 2.0
"""The same for a process that has heard none of them since its start: all may have started anew,
and the store may refuse them. The last standby claims after 1.8 s."""

FIRST_ORPHAN_SPREAD_S = 0.3
"""Claims of such processes are spread over this time. With both, the last node of a fleet whose
coordinator and standbys the store refuses is served 2.9 s after the first start instead of 5.1 s
(60 nodes, simulated time)."""

FIRST_CLAIM_S = 0.15
"""Claims of a start are spread over this time."""

WEAK_WAIT_S = 0.5
"""Nodes without a whole core leave the role to others for so much longer."""

VERIFY_EVERY_S = 1.0
STORE_LOST_MS = 2500
"""A coordinator that the store did not answer for so long gives its role to a standby whom it
answers."""

STORE_FRESH_MS = 1200
CLAIM_TIMEOUT_S = 0.8


class RoleRow(Struct):
    """What the row says; its version is the term."""

    holder: Contact
    run: str
    standbys: tuple[Contact, ...] = ()


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(RoleRow)


class Election:
    """Takes, keeps and leaves the role of the coordinator."""

    def __init__(
        self,
        identity: Identity,
        leader: LeaderView,
        coordinator: Coordinator,
        link: CoordinatorClient,
        scheduler: Scheduler,
        store: Store,
        health: StoreHealth,
        log: ServingLog,
        clock: Callable[[], float],
        random: Random,
    ) -> None:
        self._identity = identity
        self._leader = leader
        self._coordinator = coordinator
        self._link = link
        self._scheduler = scheduler
        self._store = store
        self._health = health
        self._log = log
        self._clock = clock
        self._random = random
        self._snapshot: Snapshot | None = None
        self._nodes: list[Contact] = []
        self._looked_at = clock()
        self._verified_at = float("-inf")
        self._usurped_since: float | None = None
        self._patience_s = self._random.random()
        self.is_leaving = False
        link.on_leadership_change = self._on_leadership

    # --- what comes ---

    async def handle_snapshot(self, snapshot: Snapshot, host: str) -> None:
        """Take what the coordinator told its standbys."""
        now = self._clock()
        await self._link.offer(snapshot.leadership)
        if snapshot.leadership.term < self._leader.term or self._coordinator.is_active:
            return
        self._leader.note_heard(host, now)
        self._snapshot = snapshot
        self._nodes = snapshot.nodes or self._nodes
        self._scheduler.load_tracker.apply_snapshot(snapshot.replica_loads, now)
        self._scheduler.quotas.apply_bucket_levels(snapshot.quota_levels)
        self._scheduler.online_shares.apply_usage(snapshot.usage_by_tenant)
        self._scheduler.item_shares.apply_usage(snapshot.item_usage_by_tenant)
        self._scheduler.apply_slowdowns(snapshot.slowdowns, now)
        for route, known in snapshot.route_estimates.items():
            self._scheduler.times.apply_estimate(
                route, known.first_event_ms, known.hold_ms, known.wait_factor
            )
        if snapshot.is_leaving and self._leader.standby_rank == 0:
            await self._claim()

    async def _on_leadership(self) -> None:
        """A newer leadership is known: this node holds the role, or holds it no more."""
        if self._leader.is_own or not self._coordinator.is_active:
            return
        self._coordinator.deactivate()
        self._log.write(
            catalogue.COORDINATOR_RESIGNED,
            term=self._leader.term,
            coordinator=self._leader.current.holder.node if self._leader.current else "",
        )

    # --- looking ---

    async def run(self) -> None:
        """Take the role when nobody has it, until cancelled."""
        await self._start()
        while True:
            is_near = self._coordinator.is_active or self._leader.standby_rank is not None
            is_near = is_near or self._leader.is_unheard
            step_s = ACTIVE_LOOK_EVERY_S if is_near else LOOK_EVERY_S
            await curio.sleep(step_s)
            await self.check(step_s)

    async def _start(self) -> None:
        """Read who coordinates; take the role where nobody does."""
        weak_s = WEAK_WAIT_S if self._identity.cores < FULL_CORE else 0.0
        if await self._read_role():
            if self._leader.current is not None:
                return
            await curio.sleep(weak_s + FIRST_CLAIM_S * self._random.random())
        if self._leader.current is None:
            await self._claim()

    async def check(self, step_s: float) -> None:
        """Check whether the coordinator is there; ``step_s`` passed since the last look."""
        now = self._clock()
        was_away = now - self._looked_at > 3 * step_s
        self._looked_at = now
        if was_away:
            # This process stood still: others may have been heard all the time.
            self._leader.heard_at = self._leader.holder_heard_at = now
            self._scheduler.quotas.reset_after_pause(now)
        if self._coordinator.is_active:
            if now - self._verified_at >= VERIFY_EVERY_S:
                self._verified_at = now
                await self._verify()
        elif not self.is_leaving and self._should_claim(now):
            self._patience_s = self._random.random()
            await self._claim()

    def _should_claim(self, now: float) -> bool:
        rank = self._leader.standby_rank
        if rank is not None:
            if now - self._leader.holder_heard_at > CLAIM_AFTER_S + rank * CLAIM_STEP_S:
                return True
            told = self._snapshot
            return (
                rank == 0
                and told is not None
                and told.store_age_ms > STORE_LOST_MS
                and self._health.ms_since_answer() < STORE_FRESH_MS
            )
        weak_s = WEAK_WAIT_S if self._identity.cores < FULL_CORE else 0.0
        if self._leader.is_unheard:
            patience_s = FIRST_ORPHAN_AFTER_S + FIRST_ORPHAN_SPREAD_S * self._patience_s
        else:
            patience_s = ORPHAN_AFTER_S + self._patience_s
        return now - self._leader.heard_at > patience_s + weak_s

    # --- the row ---

    async def _row(self) -> Row | None:
        """Return the row, without a value where it is missing; None when it can't be read."""
        key = ROLE_KEY
        try:
            page = await self._store.read(key.table, key.part, key.key, key.key + "\x01", 1)
        except StoreError:
            return None
        return page.rows[0] if page.rows else Row(key, None, 0)

    async def _read_role(self) -> bool:
        """Take the row's leadership; return whether the store told."""
        row = await self._row()
        if row is None:
            return False
        found = self._decode(row)
        if found is None or found.holder.node == self._identity.node:
            # Nobody, or an earlier process of this node.
            return True
        await self._link.offer(found)
        return True

    def _decode(self, row: Row) -> Leadership | None:
        if row.value is None:
            return None
        try:
            role = _decoder.decode(row.value)
        except msgspec.DecodeError as error:
            self._log.write(catalogue.ROLE_INVALID, error=str(error)[:200])
            return None
        return Leadership(role.holder, role.run, row.version, role.standbys)

    async def _claim(self) -> None:
        """Take the role, unless another node took it first."""
        row = await self._row()
        if row is None:
            return
        found = self._decode(row)
        if found is not None and self._is_own(found):
            await self._took(found.term, found.standbys)
            return
        is_news = found is not None and found.term > self._leader.term
        if found is not None and is_news and found.holder.node != self._identity.node:
            await self._link.offer(found)
            return
        await self._write(row.version, self._standbys())

    def _is_own(self, found: Leadership) -> bool:
        """Whether this process wrote the row; the answer to its write may have been lost."""
        return (found.holder.node, found.run) == (self._identity.node, self._identity.run)

    def _standbys(self) -> tuple[Contact, ...]:
        chosen = self._able_standbys()
        if chosen or self._leader.current is None:
            return chosen
        present = self._leader.current
        others = [*present.standbys, present.holder]
        return tuple(one for one in others if one.node != self._identity.node)

    def _able_standbys(self) -> tuple[Contact, ...]:
        by_zone = self._coordinator.bears_zone_loss
        own = self._identity
        return self._coordinator.registry.choose_standbys(own.node, own.zone, by_zone)

    async def _write(self, expected: int, standbys: tuple[Contact, ...]) -> None:
        role = RoleRow(self._identity.contact, self._identity.run, standbys)
        transaction = Transaction(
            [Expectation(ROLE_KEY, expected)], [Put(ROLE_KEY, _encoder.encode(role))]
        )
        outcome = await self._store.commit(transaction, CLAIM_TIMEOUT_S)
        if outcome.status is CommitStatus.COMMITTED:
            await self._took(outcome.version, standbys)
        elif outcome.status is CommitStatus.CONFLICT:
            row = outcome.conflict(ROLE_KEY)
            found = None if row is None else self._decode(row)
            if found is not None:
                await self._conflicting(found)

    async def _conflicting(self, found: Leadership) -> None:
        """Another node has written the row, or this one with an answer that was lost."""
        if self._is_own(found):
            await self._took(found.term, found.standbys)
        elif not self._coordinator.is_active:
            await self._link.offer(found)

    async def _took(self, term: int, standbys: tuple[Contact, ...]) -> None:
        mine = Leadership(self._identity.contact, self._identity.run, term, standbys)
        was_active = self._coordinator.is_active
        await self._link.offer(mine)
        self._usurped_since = None
        if not was_active:
            self._log.write(
                catalogue.COORDINATOR_TAKEN,
                term=term,
                standbys=[one.node for one in standbys],
                nodes=len(self._nodes),
            )
        # Standbys of a first claim are the coordinator before and its standbys: nodes turn to them.
        await self._coordinator.activate([] if was_active else [*self._nodes, *standbys])

    async def _verify(self) -> None:
        """Check the row of the role that this node holds, and name able standbys in it.

        A node that is cut off from this one may have taken the role. Its claim counts when it is
        heard; else the role is taken back.
        """
        row = await self._row()
        if row is None:
            return
        now = self._clock()
        found = self._decode(row)
        if found is not None and self._is_own(found) and row.version != self._leader.term:
            await self._took(found.term, found.standbys)
        elif row.version == self._leader.term:
            self._usurped_since = None
            standbys = self._able_standbys()
            if self._needs_standbys(standbys):
                await self._write(row.version, standbys)
        elif self.is_leaving:
            # A standby has taken the role over; its orders will say so.
            return
        elif self._usurped_since is None:
            self._usurped_since = now
        elif now - self._usurped_since >= VERIFY_EVERY_S and self._is_heard():
            await self._write(row.version, self._standbys())

    def _is_heard(self) -> bool:
        """Whether another node reports to this one: the fleet, or a part of it, follows it."""
        live = self._coordinator.registry.live()
        return any(one.contact.node != self._identity.node for one in live)

    def _needs_standbys(self, able: tuple[Contact, ...]) -> bool:
        """Whether a named standby is gone or leaving, there are too few, or a zone has none."""
        current = self._leader.current
        if current is None:
            return False
        live = {
            (one.contact.node, one.contact.host)
            for one in self._coordinator.registry.live()
            if not one.report.is_leaving
        }
        if len(current.standbys) < len(able):
            return True
        if {one.zone for one in able} - {one.zone for one in current.standbys}:
            return True
        return any((one.node, one.host) not in live for one in current.standbys)
