"""Ownership of replicas and job shards by lease in the table service.

A node renews one liveness row; every lease it holds stands or falls with it. A lease row
names its holder (node and incarnation) and an epoch that grows with each change of owner.

States of a resource at a node: idle > reading > taking > held > draining > releasing.
Another node's lease may be taken when it was released, when the holder's liveness row is
gone or of another incarnation, or when that row stood still for ``lease_s`` as this node
saw it. The takeover deletes the liveness row in its transaction, so a holder that wakes up
finds its renewal refused and starts anew under a new incarnation.
"""

from collections.abc import Callable
from enum import StrEnum

from msgspec import Struct, json

from cloverwalk.control.context import Context
from cloverwalk.control.outage import OutageView
from cloverwalk.control.store_port import StorePort, encode
from cloverwalk.core import catalogue
from cloverwalk.core.hashing import rendezvous_owner
from cloverwalk.core.peer_messages import LeaseReleased
from cloverwalk.core.store_types import (
    Check,
    CommitReply,
    CommitStatus,
    Put,
    ReadReply,
    Row,
)
from cloverwalk.core.types import LeaseRow, LivenessRow


class LeaseState(StrEnum):
    """Where a resource stands at this node."""

    READING = "reading"
    TAKING = "taking"
    HELD = "held"
    DRAINING = "draining"
    RELEASING = "releasing"


class HeldLease(Struct):
    """A resource this node deals with. ``row_version`` is what fenced writes check."""

    resource: str
    state: LeaseState
    epoch: int = 0
    row_version: int = 0
    unwanted_since: float | None = None


class LeaseListener(Struct, frozen=True):
    """What to call for resources of one kind (the key prefix)."""

    on_held: Callable[[str, int], None]
    on_lost: Callable[[str], None]
    on_drain: Callable[[str], None]


class _Sighting(Struct, frozen=True):
    version: int
    seen_at: float


LIVENESS_PREFIX = "node/"


def lease_key(resource: str) -> str:
    """Return the row key of a resource's lease."""
    return f"lease/{resource}"


def liveness_key(node: str) -> str:
    """Return the row key of a node's liveness."""
    return LIVENESS_PREFIX + node


class LeaseKeeper:
    """Takes, renews and gives up leases for one node."""

    def __init__(self, context: Context, store: StorePort, outage: OutageView) -> None:
        self._context = context
        self._store = store
        self._outage = outage
        self._leases: dict[str, HeldLease] = {}
        self._listeners: dict[str, LeaseListener] = {}
        self._sightings: dict[str, _Sighting] = {}
        self._liveness_version: int | None = None
        self._registering = False
        self._renewing = False
        self._renewed_at = -1e9
        self._has_lapsed = True
        self._checked_at = -1e9
        self._renew_tried_at = -1e9
        self._next_read: dict[str, float] = {}

    def listen(self, prefix: str, listener: LeaseListener) -> None:
        """Register the role that works with resources of a prefix such as ``replica``."""
        self._listeners[prefix] = listener

    # --- what others ask ---

    @property
    def is_registered(self) -> bool:
        """Whether the liveness row of this incarnation is written."""
        return self._liveness_version is not None

    @property
    def holder(self) -> str:
        """This node's name in lease rows."""
        return f"{self._context.node_id}#{self._context.incarnation}"

    @property
    def is_valid(self) -> bool:
        """Whether no other node can have taken this node's leases.

        The holder's clock starts before its renewal is sent, a taker's after it read the
        renewed row, so the holder always stops first.
        """
        self.watch()
        return self.is_registered and not self._has_lapsed

    def watch(self) -> None:
        """Notice a lapse; called before every event, so that a pause can't hide one.

        A lapse ends only with a renewal. An outage that begins later does not undo it:
        another node may have taken over in between.
        """
        lease_s = self._context.settings.lease.lease_s
        if self._context.now - self._renewed_at < lease_s:
            self._has_lapsed = False
        elif not self._outage.nobody_reaches_store(lease_s / 2):
            self._has_lapsed = True

    def held(self, prefix: str) -> list[HeldLease]:
        """Return the held or draining leases of a prefix."""
        return [
            lease
            for lease in self._leases.values()
            if lease.resource.startswith(prefix)
            and lease.state in (LeaseState.HELD, LeaseState.DRAINING)
        ]

    def fence(self, resource: str) -> Check | None:
        """Return the check that makes a write fail once the lease has gone to another."""
        lease = self._leases.get(resource)
        if lease is None or lease.state not in (LeaseState.HELD, LeaseState.DRAINING):
            return None
        return Check(lease_key(resource), lease.row_version)

    # --- liveness ---

    def register(self) -> None:
        """Write this incarnation's liveness row."""
        if self._registering:
            return
        self._registering = True
        key = liveness_key(self._context.node_id)
        self._store.read(key, self._on_own_row, exact=True)

    def _on_own_row(self, reply: ReadReply) -> None:
        if not reply.available:
            self._registering = False
            return
        version = reply.rows[0].version if reply.rows else 0
        self._write_liveness(version, self._on_registered)

    def _on_registered(self, reply: CommitReply, version: int, started_at: float) -> None:
        self._registering = False
        if reply.status is CommitStatus.COMMITTED:
            self._liveness_version = version
            self._renewed_at = started_at

    def _write_liveness(
        self, version: int, on_done: Callable[[CommitReply, int, float], None]
    ) -> None:
        context = self._context
        row = LivenessRow(context.node_id, context.incarnation, context.zone, context.address)
        key = liveness_key(context.node_id)
        started_at = context.now
        self._store.commit(
            [Check(key, version)],
            [Put(key, encode(row))],
            lambda reply: on_done(reply, version + 1, started_at),
        )

    def _renew(self) -> None:
        if self._renewing or self._liveness_version is None:
            return
        self._renewing = True
        self._renew_tried_at = self._context.now
        self._write_liveness(self._liveness_version, self._on_renewed)

    def _on_renewed(self, reply: CommitReply, version: int, started_at: float) -> None:
        self._renewing = False
        if reply.status is CommitStatus.COMMITTED:
            self._liveness_version = version
            self._renewed_at = started_at
        elif reply.status is CommitStatus.CONFLICT:
            self._deposed()
        elif reply.status is CommitStatus.UNKNOWN:
            self._resync_liveness()

    def _resync_liveness(self) -> None:
        # The renewal may have been applied: learn the row's version before the next one.
        key = liveness_key(self._context.node_id)
        self._renewing = True
        self._store.read(key, self._on_resynced, exact=True)

    def _on_resynced(self, reply: ReadReply) -> None:
        self._renewing = False
        if not reply.available:
            return
        row = reply.rows[0] if reply.rows else None
        if row is None or _incarnation(row) != self._context.incarnation:
            self._deposed()
        else:
            self._liveness_version = row.version

    def _deposed(self) -> None:
        self._context.log(catalogue.NODE_DEPOSED, incarnation=self._context.incarnation)
        for resource in list(self._leases):
            self._lose(resource)
        self._liveness_version = None
        self._context.begin_incarnation()
        if not self._context.leaving:
            self.register()

    # --- taking ---

    def tick(self, wanted: dict[str, list[str]], covered: set[str]) -> None:
        """Renew, and look after ``wanted``: resource > nodes that may own it.

        ``covered`` are resources that a live member says it holds.
        """
        context = self._context
        settings = context.settings.lease
        if not self.is_registered:
            if not context.leaving:
                self.register()
            return
        if context.now - self._renew_tried_at >= settings.renew_s:
            self._renew()
        if context.now - self._checked_at < settings.check_s:
            return
        self._checked_at = context.now
        for resource, candidates in wanted.items():
            if rendezvous_owner(resource, candidates) == context.node_id:
                self._consider(resource, resource in covered)
            else:
                self._consider_handover(resource)

    def _consider(self, resource: str, is_covered: bool) -> None:
        lease = self._leases.get(resource)
        if lease is not None:
            lease.unwanted_since = None
            return
        if is_covered or self._context.leaving:
            return
        if self._context.now < self._next_read.get(resource, -1e9):
            return
        self._leases[resource] = HeldLease(resource, LeaseState.READING)
        self._store.read(
            lease_key(resource), lambda reply: self._on_lease_row(resource, reply), exact=True
        )

    def _consider_handover(self, resource: str) -> None:
        lease = self._leases.get(resource)
        if lease is None or lease.state is not LeaseState.HELD:
            return
        now = self._context.now
        if lease.unwanted_since is None:
            lease.unwanted_since = now
        if now - lease.unwanted_since >= self._context.settings.lease.rebalance_after_s:
            self.drain(resource)

    def _on_lease_row(self, resource: str, reply: ReadReply) -> None:
        if not reply.available:
            self._drop(resource)
            return
        if not reply.rows:
            self._take(resource, version=0, epoch=1, extra=[], deletes=[])
            return
        row = reply.rows[0]
        lease = json.decode(row.value, type=LeaseRow)
        if not lease.owner or lease.owner == self.holder:
            self._take(resource, row.version, lease.epoch + 1, [], [])
        else:
            node = lease.owner.split("#")[0]
            self._store.read(
                liveness_key(node),
                lambda answer: self._on_holder_row(resource, row, lease, answer),
                exact=True,
            )

    def _on_holder_row(self, resource: str, row: Row, lease: LeaseRow, reply: ReadReply) -> None:
        if not reply.available:
            self._drop(resource)
            return
        node, incarnation = lease.owner.split("#")
        key = liveness_key(node)
        liveness = reply.rows[0] if reply.rows else None
        if liveness is None:
            self._take(resource, row.version, lease.epoch + 1, [Check(key, 0)], [])
        elif _incarnation(liveness) != incarnation:
            # The holder started anew; its old incarnation can't come back.
            self._take(resource, row.version, lease.epoch + 1, [], [])
        elif self._stood_still(node, liveness.version):
            check = Check(key, liveness.version)
            self._take(resource, row.version, lease.epoch + 1, [check], [key])
        else:
            self._drop(resource)

    def _stood_still(self, node: str, version: int) -> bool:
        now = self._context.now
        sighting = self._sightings.get(node)
        is_old = sighting is not None and sighting.seen_at < self._store.outage_ended_at
        if sighting is None or sighting.version != version or is_old:
            # Over an outage nobody could renew: standing still counts from its end.
            self._sightings[node] = _Sighting(version, now)
            return False
        return now - sighting.seen_at > self._context.settings.lease.lease_s

    def _take(
        self, resource: str, version: int, epoch: int, extra: list[Check], deletes: list[str]
    ) -> None:
        if self._context.leaving or not self.is_registered:
            self._drop(resource)
            return
        lease = self._leases[resource]
        lease.state = LeaseState.TAKING
        lease.epoch = epoch
        lease.row_version = version + 1
        value = encode(LeaseRow(self.holder, epoch))
        self._store.commit(
            [Check(lease_key(resource), version), *extra],
            [Put(lease_key(resource), value)],
            lambda reply: self._on_taken(resource, epoch, reply),
            deletes=deletes,
        )

    def _on_taken(self, resource: str, epoch: int, reply: CommitReply) -> None:
        lease = self._leases.get(resource)
        if lease is None or lease.state is not LeaseState.TAKING or lease.epoch != epoch:
            return
        if reply.status is not CommitStatus.COMMITTED:
            self._drop(resource)
            return
        lease.state = LeaseState.HELD
        self._context.metrics.lease_changes.labels("taken").inc()
        self._context.log(catalogue.LEASE_TAKEN, resource=resource, epoch=epoch)
        self._listener(resource).on_held(resource, epoch)

    def _drop(self, resource: str) -> None:
        self._leases.pop(resource, None)
        self._next_read[resource] = self._context.now + self._context.settings.lease.check_s

    # --- losing and giving up ---

    def lost(self, resource: str) -> None:
        """Note that a fenced write or an engine told that another node owns a resource."""
        if resource in self._leases:
            self._lose(resource)

    def _lose(self, resource: str) -> None:
        lease = self._leases.pop(resource)
        if lease.state in (LeaseState.HELD, LeaseState.DRAINING):
            self._context.metrics.lease_changes.labels("lost").inc()
            self._context.log(catalogue.LEASE_LOST, resource=resource, epoch=lease.epoch)
            self._listener(resource).on_lost(resource)

    def drain(self, resource: str) -> None:
        """Begin to give up a resource; its role calls :meth:`release` when it is idle."""
        lease = self._leases.get(resource)
        if lease is None or lease.state is not LeaseState.HELD:
            return
        lease.state = LeaseState.DRAINING
        self._listener(resource).on_drain(resource)

    def release(self, resource: str) -> None:
        """Give up a drained resource."""
        lease = self._leases.get(resource)
        if lease is None or lease.state is not LeaseState.DRAINING:
            return
        lease.state = LeaseState.RELEASING
        self._store.commit(
            [Check(lease_key(resource), lease.row_version)],
            [Put(lease_key(resource), encode(LeaseRow("", lease.epoch)))],
            lambda reply: self._on_released(resource, reply),
        )

    def _on_released(self, resource: str, reply: CommitReply) -> None:
        lease = self._leases.get(resource)
        if lease is None:
            return
        unanswered = reply.status in (CommitStatus.UNAVAILABLE, CommitStatus.UNKNOWN)
        if unanswered and not self._context.leaving:
            lease.state = LeaseState.DRAINING
            self.release(resource)
            return
        del self._leases[resource]
        self._next_read[resource] = self._context.now + 2.0
        self._context.metrics.lease_changes.labels("released").inc()
        self._context.log(catalogue.LEASE_RELEASED, resource=resource, epoch=lease.epoch)
        for node in self._context.live_node_names():
            if node != self._context.node_id:
                self._context.send(node, LeaseReleased(resource))

    def on_released_by_peer(self, resource: str) -> None:
        """Look at a resource at the next tick: its owner gave it up."""
        self._next_read.pop(resource, None)

    def deregister(self, on_done: Callable[[], None]) -> None:
        """Delete the liveness row at the end of a planned stop."""
        key = liveness_key(self._context.node_id)
        if self._liveness_version is None:
            on_done()
            return
        version = self._liveness_version
        self._liveness_version = None
        self._store.commit([Check(key, version)], [], lambda reply: on_done(), deletes=[key])

    @property
    def count(self) -> int:
        """Resources in any state at this node."""
        return len(self._leases)

    def _listener(self, resource: str) -> LeaseListener:
        return self._listeners[resource.split("/")[0]]


def _incarnation(row: Row) -> str:
    return json.decode(row.value, type=LivenessRow).incarnation
