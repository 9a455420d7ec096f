"""The weight table at a node: committed by compare-and-set, pushed, polled, never reverted.

One node a zone polls the store's version, which is a row of its own. A node that learns a
newer table from the store or from another zone tells its own zone, and one that committed
an edit also tells one node of each other zone. Told is what changed; whoever is at another
version than the change began from fetches the whole table.
"""

from collections.abc import Callable
from enum import StrEnum

from msgspec import json

from cloverwalk.control.context import Context
from cloverwalk.control.outage import OutageView
from cloverwalk.control.store_port import StorePort, encode
from cloverwalk.core import catalogue
from cloverwalk.core.constants import COMMIT_TIMEOUT_S
from cloverwalk.core.hashing import rendezvous_owner, rendezvous_rank
from cloverwalk.core.membership import NodeDigest
from cloverwalk.core.peer_messages import TableFetch, TablePatch, TablePush
from cloverwalk.core.store_types import Check, CommitReply, CommitStatus, Put, ReadReply
from cloverwalk.core.weight_table import (
    TableRow,
    WeightTable,
    changed_rows,
    in_order,
    patched,
    removed_keys,
)

TABLE_KEY = "table/current"
VERSION_KEY = "table/version"


def history_key(version: int) -> str:
    """Return the row key of an accepted version."""
    return f"table/history/{version:012d}"


class EditStatus(StrEnum):
    """How an edit ended."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"


class TableSync:
    """Keeps ``context.table`` the newest accepted version this node can know."""

    def __init__(self, context: Context, store: StorePort, outage: OutageView) -> None:
        self._context = context
        self._store = store
        self._outage = outage
        self.is_loaded = False
        self._polled_at = -1e9
        self._polling = False
        self._asked_peers_at: float | None = None
        self._was_stale = False

    @property
    def confirmed_age_s(self) -> float:
        """Seconds since the version in force was known to be the newest."""
        return self._outage.freshest_contact_age_s()

    @property
    def is_stale(self) -> bool:
        """Whether a newer version may be in force elsewhere."""
        limit_s = self._context.settings.table.stale_after_s
        if self.confirmed_age_s <= limit_s:
            return False
        return not self._outage.nobody_reaches_store(limit_s)

    # --- reading ---

    def tick(self) -> None:
        """Poll when it is this node's turn; while loading, ask the peers as well."""
        context = self._context
        self._note_staleness()
        if context.now - self._polled_at < context.settings.table.poll_s:
            return
        self._polled_at = context.now
        poller = rendezvous_owner("table-poller", context.live_node_names(context.zone))
        if not self.is_loaded or poller == context.node_id or self._store.is_down:
            self._poll()
        if not self.is_loaded:
            self._load_from_peers()

    def _note_staleness(self) -> None:
        self._context.metrics.table_age.set(min(self.confirmed_age_s, 1e9))
        is_stale = self.is_stale
        if is_stale != self._was_stale:
            self._was_stale = is_stale
            if is_stale:
                self._context.log(catalogue.TABLE_STALE, version=self._context.table.version)

    def _poll(self) -> None:
        if not self._polling:
            self._polling = True
            self._store.read(VERSION_KEY, self._on_polled, exact=True)

    def _on_polled(self, reply: ReadReply) -> None:
        if not reply.available:
            self._polling = False
            return
        # The version row is written with the table, so its own version is the table's.
        version = reply.rows[0].version if reply.rows else 0
        if version <= self._context.table.version:
            self._polling = False
            self.is_loaded = True
            return
        self._store.read(TABLE_KEY, self._on_read, exact=True)

    def _on_read(self, reply: ReadReply) -> None:
        self._polling = False
        if reply.available and reply.rows:
            self.is_loaded = True
            self._adopt(json.decode(reply.rows[0].value, type=WeightTable))

    def _load_from_peers(self) -> None:
        # With the store out, the newest version among peers of every zone is the newest
        # accepted one: an edit is pushed before it is answered only as far as it can be,
        # so a start waits one full poll period for all answers.
        context = self._context
        if not self._store.is_down or not self._outage.nobody_reaches_store(0.0):
            return
        peers = context.membership.live(context.now)
        if not peers:
            return
        if self._asked_peers_at is None:
            self._asked_peers_at = context.now
            for digest in peers:
                context.send(digest.node, TableFetch())
        elif context.now - self._asked_peers_at >= context.settings.table.poll_s:
            self.is_loaded = max(d.table_version for d in peers) <= context.table.version

    # --- taking and passing on ---

    def _adopt(self, table: WeightTable, tell_zone: bool = True) -> bool:
        before = self._context.table
        if table.version <= before.version:
            return False
        self._context.table = table
        self._context.metrics.table_version.set(table.version)
        self._context.log(catalogue.TABLE_CHANGED, version=table.version)
        if tell_zone:
            self._tell(self._context.live_node_names(self._context.zone), before)
        return True

    def _tell(self, nodes: list[str], before: WeightTable) -> None:
        table = self._context.table
        message = TablePatch(
            before.version, table.version, changed_rows(before, table), removed_keys(before, table)
        )
        for node in nodes:
            if node != self._context.node_id:
                self._context.send(node, message)

    def on_push(self, message: TablePush) -> None:
        """Take a whole table if it is newer."""
        self._adopt(message.table, tell_zone=False)

    def on_patch(self, sender: str, message: TablePatch) -> None:
        """Take a change, or fetch the table when it does not begin at this node's version."""
        table = self._context.table
        if message.version <= table.version:
            return
        if message.base_version != table.version:
            self._context.send(sender, TableFetch())
            return
        digest = self._context.membership.digest(sender)
        from_own_zone = digest is not None and digest.zone == self._context.zone
        new = patched(table, message.version, message.changed, message.removed)
        self._adopt(new, tell_zone=not from_own_zone)

    def on_fetch(self, sender: str) -> None:
        """Answer a starting peer."""
        self._context.send(sender, TablePush(self._context.table))

    def on_digest(self, digest: NodeDigest) -> None:
        """Repair: help a peer that is behind, ask one that is ahead."""
        version = self._context.table.version
        if digest.table_version < version:
            self._context.send(digest.node, TablePush(self._context.table))
        elif digest.table_version > version:
            self._context.send(digest.node, TableFetch())

    # --- editing ---

    def edit(
        self, expected_version: int, rows: list[TableRow], on_done: Callable[[EditStatus], None]
    ) -> None:
        """Commit ``rows`` as the version after ``expected_version``."""
        table = WeightTable(expected_version + 1, in_order(rows))
        value = encode(table)
        key = history_key(table.version)

        # Versions of the row and of the table are one and the same count.
        checks = [Check(TABLE_KEY, expected_version), Check(key, 0)]
        self._store.commit(
            checks,
            [Put(TABLE_KEY, value), Put(VERSION_KEY, str(table.version)), Put(key, value)],
            lambda reply: self._on_edited(table, reply, on_done),
            timeout_s=COMMIT_TIMEOUT_S,
        )

    def _on_edited(
        self, table: WeightTable, reply: CommitReply, on_done: Callable[[EditStatus], None]
    ) -> None:
        if reply.status is CommitStatus.COMMITTED:
            before = self._context.table
            if self._adopt(table):
                self._tell(self._one_node_per_other_zone(), before)
            on_done(EditStatus.ACCEPTED)
        elif reply.status is CommitStatus.CONFLICT:
            for row in reply.conflicts:
                if row.key == TABLE_KEY:
                    self._adopt(json.decode(row.value, type=WeightTable))
            on_done(EditStatus.CONFLICT)
        else:
            unknown = reply.status is CommitStatus.UNKNOWN
            on_done(EditStatus.UNKNOWN if unknown else EditStatus.UNAVAILABLE)

    def _one_node_per_other_zone(self) -> list[str]:
        by_zone: dict[str, list[str]] = {}
        for digest in self._context.membership.live(self._context.now):
            if digest.zone != self._context.zone:
                by_zone.setdefault(digest.zone, []).append(digest.node)
        return [rendezvous_rank("table-push", nodes)[0] for nodes in by_zone.values()]
