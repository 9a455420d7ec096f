"""Election of the coordinator through a row of the store; a standby replaces a lost coordinator.

A write of the row is conditional on its version, which is the term, so two nodes never hold the
same term. Nodes follow the reachable coordinator with the highest term. Decisions don't need the
row: while the store is unavailable, standbys replace the coordinator without a new term.
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
from cloverwalk.fleet.node_registry import MIN_COORDINATOR_CORES
from cloverwalk.fleet.role_lease import LeaseState, RoleLease
from cloverwalk.scheduling.features import Feature
from cloverwalk.scheduling.scheduler import Scheduler
from cloverwalk.store.health import StoreHealth
from cloverwalk.store.row_decoder import InvalidRows, RowDecoder
from cloverwalk.store.stored import Stored, transaction
from cloverwalk.store.types import (
    CommitStatus,
    Row,
    RowKey,
    Store,
    StoreError,
)
from cloverwalk.telemetry.log import ServingLog

ROLE_TABLE = "role"
ROLE_KEY = RowKey(ROLE_TABLE, "", "coordinator")
CHECK_INTERVAL_S = 1.0
ACTIVE_CHECK_INTERVAL_S = 0.25
"""Interval of checks at the coordinator, its standbys, and processes without contact to either."""

SNAPSHOT_TIMEOUT_S = 0.8
"""The first standby claims the role if nothing came from the coordinator for this time; four
snapshots are sent per second."""

CLAIM_DELAY_PER_RANK_S = 0.5
"""Each further standby waits for this additional time."""

LEADER_TIMEOUT_S = 3.0
"""Any node claims the role after this time, and up to 1 s of jitter, without a message from the
coordinator or a standby."""

STARTUP_LEADER_TIMEOUT_S = 2.0
"""The same for a process that has had no contact with them since its start. All processes may have
restarted, with a store that refuses the coordinator and standbys. Longer than the 1.8 s after which
the last of ``STANDBY_COUNT`` standbys claims."""

STARTUP_LEADER_JITTER_S = 0.3
"""Claims of such processes are spread randomly over this time. With both constants, the last of 60
nodes whose store refuses the coordinator and its standbys is served 2.9 s after the first start
instead of 5.1 s."""

FIRST_CLAIM_JITTER_S = 0.15
"""Claims of starting processes that find no role row are spread randomly over this time."""

SMALL_NODE_CLAIM_DELAY_S = 0.5
"""Additional delay before nodes with less than ``MIN_COORDINATOR_CORES`` claim the role."""

VERIFY_INTERVAL_S = 1.0
"""Interval at which the coordinator checks the role row, and the minimum time from finding another
holder in it to claiming the role back."""

MAX_HOLDER_STORE_AGE_MS = 2500
"""The first standby takes the role from a coordinator that the store has not answered for this
time, if the store answered the standby within ``MAX_CLAIMANT_STORE_AGE_MS``."""

MAX_CLAIMANT_STORE_AGE_MS = 1200
CLAIM_TIMEOUT_S = 0.8


class RoleRow(Struct, frozen=True):
    """Value of the role row; the version of the row is the term."""

    holder: Contact
    run: str
    standbys: tuple[Contact, ...] = ()


StoredRole = Stored[RoleRow | None]
_decoder = msgspec.json.Decoder(RoleRow)


class Election:
    """Claims, keeps and gives up the role of the coordinator."""

    def __init__(
        self,
        identity: Identity,
        leader: LeaderView,
        coordinator: Coordinator,
        client: CoordinatorClient,
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
        self._client = client
        self._scheduler = scheduler
        self._store = store
        self._health = health
        self._log = log
        self._role_decoder = RowDecoder[RoleRow | None](
            _decoder, lambda: None, InvalidRows(log, catalogue.ROLE_INVALID)
        )
        self._clock = clock
        self._random = random
        self._snapshot: Snapshot | None = None
        self._nodes: list[Contact] = []
        self._checked_at = clock()
        self._verified_at = float("-inf")
        self._superseded_since: float | None = None
        self._claim_jitter = self._random.random()
        self.is_leaving = False
        self.lease = RoleLease()
        """Allows this process to grant warm-up tokens only while it is sure to hold the role."""

        self._logged_lease_state = LeaseState.NONE
        scheduler.warmup_tokens.use_lease(self.lease)
        client.on_leadership_change = self._on_leadership_change

    # --- received messages ---

    async def handle_snapshot(self, snapshot: Snapshot, host: str) -> None:
        """Apply the state that the coordinator sends to its standbys."""
        now = self._clock()
        await self._client.update_leadership(snapshot.leadership)
        if snapshot.leadership.term < self._leader.term or self._coordinator.is_active:
            return
        self._leader.mark_responsive(host, now)
        self._snapshot = snapshot
        self._nodes = snapshot.nodes or self._nodes
        self._scheduler.load_tracker.apply_snapshot(snapshot.replica_loads, now)
        self._scheduler.quotas.apply_bucket_levels(snapshot.quota_levels)
        self._scheduler.online_shares.apply_usage(snapshot.usage_by_tenant)
        self._scheduler.item_shares.apply_usage(snapshot.item_usage_by_tenant)
        self._scheduler.apply_slowdowns(snapshot.slowdowns, now)
        self._scheduler.warmup_tokens.apply_remaining(snapshot.warmups_ms, now)
        for route, estimate in snapshot.route_estimates.items():
            self._scheduler.times.apply_estimate(
                route, estimate.first_event_ms, estimate.hold_ms, estimate.wait_factor
            )
        if snapshot.is_leaving and self._leader.standby_rank == 0:
            await self._claim()

    async def _on_leadership_change(self) -> None:
        """Deactivate this node's coordinator if a newer leadership names another process."""
        if self._leader.is_holder:
            return
        self.lease.give_up()
        if not self._coordinator.is_active:
            return
        self._coordinator.deactivate()
        self._log.write(
            catalogue.COORDINATOR_RESIGNED,
            term=self._leader.term,
            coordinator=self._leader.current.holder.node if self._leader.current else "",
        )

    # --- periodic checks ---

    async def run(self) -> None:
        """Claim the role whenever no reachable node holds it, until cancelled."""
        await self._start()
        while True:
            checks_often = self._coordinator.is_active or self._leader.standby_rank is not None
            checks_often = checks_often or self._leader.has_never_contacted_leader
            step_s = ACTIVE_CHECK_INTERVAL_S if checks_often else CHECK_INTERVAL_S
            await curio.sleep(step_s)
            await self.check(step_s)

    async def _start(self) -> None:
        """Read the role row; claim the role if no node holds it or the row can't be read."""
        small_node_delay_s = (
            SMALL_NODE_CLAIM_DELAY_S if self._identity.cores < MIN_COORDINATOR_CORES else 0.0
        )
        if await self._read_role():
            if self._leader.current is not None:
                return
            await curio.sleep(small_node_delay_s + FIRST_CLAIM_JITTER_S * self._random.random())
        if self._leader.current is None:
            await self._claim()

    async def check(self, step_s: float) -> None:
        """Claim the role if it is due, or verify it if held; the checks are ``step_s`` apart."""
        now = self._clock()
        was_suspended = now - self._checked_at > 3 * step_s
        self._checked_at = now
        if was_suspended:
            # This process was suspended, so the missing messages don't show that a node is lost.
            self._leader.last_seen_at = self._leader.holder_last_seen_at = now
            self._scheduler.quotas.reset_after_pause(now)
        if self._coordinator.is_active:
            if now - self._verified_at >= VERIFY_INTERVAL_S:
                self._verified_at = now
                await self._verify()
        elif not self.is_leaving and self._should_claim(now):
            self._claim_jitter = self._random.random()
            await self._claim()
        self._log_lease()

    def _log_lease(self) -> None:
        """Log changes of the lease if warm-up limits are on."""
        if not self._scheduler.features.is_on(Feature.WARMUP_LIMITS):
            return
        state, previous = self.lease.state(self._clock()), self._logged_lease_state
        if state is previous:
            return
        self._logged_lease_state = state
        if state is LeaseState.HELD:
            self._log.write(catalogue.ROLE_LEASE_HELD, term=self._leader.term)
        elif previous is LeaseState.HELD:
            self._log.write(catalogue.ROLE_LEASE_LOST, term=self._leader.term, reason=state.value)

    def _should_claim(self, now: float) -> bool:
        rank = self._leader.standby_rank
        if rank is not None:
            if (
                now - self._leader.holder_last_seen_at
                > SNAPSHOT_TIMEOUT_S + rank * CLAIM_DELAY_PER_RANK_S
            ):
                return True
            snapshot = self._snapshot
            return (
                rank == 0
                and snapshot is not None
                and snapshot.store_age_ms > MAX_HOLDER_STORE_AGE_MS
                and self._health.ms_since_answer() < MAX_CLAIMANT_STORE_AGE_MS
            )
        small_node_delay_s = (
            SMALL_NODE_CLAIM_DELAY_S if self._identity.cores < MIN_COORDINATOR_CORES else 0.0
        )
        if self._leader.has_never_contacted_leader:
            timeout_s = STARTUP_LEADER_TIMEOUT_S + STARTUP_LEADER_JITTER_S * self._claim_jitter
        else:
            timeout_s = LEADER_TIMEOUT_S + self._claim_jitter
        return now - self._leader.last_seen_at > timeout_s + small_node_delay_s

    # --- the row ---

    async def _read_row(self) -> StoredRole | None:
        """Return the role row, without content if it doesn't exist; None if it can't be read."""
        key = ROLE_KEY
        try:
            page = await self._store.read(key.table, key.part, key.key, key.key + "\x01", 1)
        except StoreError:
            return None
        row = page.rows[0] if page.rows else Row(key, None, 0)
        return self._role_decoder.stored(row)

    async def _read_role(self) -> bool:
        """Adopt the leadership of the row; return whether the store has answered."""
        row = await self._read_row()
        if row is None:
            return False
        found = _leadership(row)
        if found is None or found.holder.node == self._identity.node:
            # No node holds the role, or an earlier process of this node does.
            return True
        await self._client.update_leadership(found)
        return True

    async def _claim(self) -> None:
        """Write this node into the row, unless another node has claimed the role meanwhile."""
        started_at = self._clock()
        row = await self._read_row()
        if row is None:
            return
        found = _leadership(row)
        if found is not None and self._is_written_by_this_process(found):
            await self._adopt_role(found.term, found.standbys, started_at)
            return
        self.lease.give_up()
        is_newer = found is not None and found.term > self._leader.term
        if found is not None and is_newer and found.holder.node != self._identity.node:
            await self._client.update_leadership(found)
            return
        await self._write(row, self._standbys())

    def _is_written_by_this_process(self, found: Leadership) -> bool:
        """Whether this process wrote the row, possibly without getting the store's answer."""
        return (found.holder.node, found.run) == (self._identity.node, self._identity.run)

    def _standbys(self) -> tuple[Contact, ...]:
        standbys = self._choose_standbys()
        if standbys or self._leader.current is None:
            return standbys
        current = self._leader.current
        previous_nodes = [*current.standbys, current.holder]
        return tuple(contact for contact in previous_nodes if contact.node != self._identity.node)

    def _choose_standbys(self) -> tuple[Contact, ...]:
        by_zone = self._coordinator.tolerates_zone_loss
        identity = self._identity
        return self._coordinator.registry.choose_standbys(identity.node, identity.zone, by_zone)

    async def _write(self, row: StoredRole, standbys: tuple[Contact, ...]) -> None:
        """Write this process as the holder, if the row is still the one that was read."""
        write = row.replace(RoleRow(self._identity.contact, self._identity.run, standbys))
        started_at = self._clock()
        outcome = await self._store.commit(transaction(write), CLAIM_TIMEOUT_S)
        if outcome.status is CommitStatus.COMMITTED:
            await self._adopt_role(outcome.version, standbys, started_at)
        elif outcome.status is CommitStatus.CONFLICT:
            current = outcome.conflict(ROLE_KEY)
            found = None
            if current is not None:
                found = _leadership(self._role_decoder.stored(current))
            if found is not None:
                await self._resolve_conflict(found, started_at)

    async def _resolve_conflict(self, found: Leadership, started_at: float) -> None:
        """Handle a row written by another node, or by an unanswered write of this process."""
        if self._is_written_by_this_process(found):
            await self._adopt_role(found.term, found.standbys, started_at)
            return
        self.lease.give_up()
        if not self._coordinator.is_active:
            await self._client.update_leadership(found)

    async def _adopt_role(
        self, term: int, standbys: tuple[Contact, ...], started_at: float
    ) -> None:
        """Adopt the role, which a read or commit that began at ``started_at`` has confirmed."""
        self.lease.adopt(started_at, self._clock())
        leadership = Leadership(self._identity.contact, self._identity.run, term, standbys)
        was_active = self._coordinator.is_active
        await self._client.update_leadership(leadership)
        self._superseded_since = None
        if not was_active:
            self._log.write(
                catalogue.COORDINATOR_TAKEN,
                term=term,
                standbys=[standby.node for standby in standbys],
                nodes=len(self._nodes),
            )
        # On a first claim, ``standbys`` may be the previous coordinator and its standbys, which
        # other nodes follow, so they must learn of the new leadership too.
        await self._coordinator.activate([] if was_active else [*self._nodes, *standbys])

    async def _verify(self) -> None:
        """Check the row while this node holds the role, and update the standbys in it.

        A node that can't reach this one may have claimed the role. If its orders arrive, this node
        follows it; if they don't and other nodes still report here, this node claims the role back.
        """
        started_at = self._clock()
        row = await self._read_row()
        if row is None:
            return
        now = self._clock()
        found = _leadership(row)
        self._update_lease(row, found, started_at)
        if (
            found is not None
            and self._is_written_by_this_process(found)
            and row.version != self._leader.term
        ):
            await self._adopt_role(found.term, found.standbys, started_at)
        elif row.version == self._leader.term:
            self._superseded_since = None
            standbys = self._choose_standbys()
            if self._needs_standbys(standbys):
                await self._write(row, standbys)
        elif self.is_leaving:
            # A standby has taken over; its orders will announce it.
            return
        elif self._superseded_since is None:
            self._superseded_since = now
        elif now - self._superseded_since >= VERIFY_INTERVAL_S and self._has_reporting_peers():
            await self._write(row, self._standbys())

    def _update_lease(self, row: StoredRole, found: Leadership | None, started_at: float) -> None:
        """Confirm the lease if the row names this process, else give it up."""
        if found is None or not self._is_written_by_this_process(found):
            self.lease.give_up()
        elif row.version == self._leader.term:
            self.lease.confirm(started_at)

    def _has_reporting_peers(self) -> bool:
        """Whether another node reports to this one, so that part of the fleet follows it."""
        live = self._coordinator.registry.live()
        return any(entry.contact.node != self._identity.node for entry in live)

    def _needs_standbys(self, candidates: tuple[Contact, ...]) -> bool:
        """Whether a standby is lost or leaving, standbys are missing, or a zone has none."""
        current = self._leader.current
        if current is None:
            return False
        live = {
            (entry.contact.node, entry.contact.host)
            for entry in self._coordinator.registry.live()
            if not entry.report.is_leaving
        }
        if len(current.standbys) < len(candidates):
            return True
        if {standby.zone for standby in candidates} - {
            standby.zone for standby in current.standbys
        }:
            return True
        return any((standby.node, standby.host) not in live for standby in current.standbys)


def _leadership(row: StoredRole) -> Leadership | None:
    """Return the leadership that a role row names, None if it names none."""
    role = row.content
    if role is None:
        return None
    return Leadership(role.holder, role.run, row.version, role.standbys)
