"""Sessions at a node: rows of the table service, kept in memory while they are used."""

from collections import OrderedDict
from collections.abc import Callable
from enum import StrEnum

from msgspec import json, structs

from cloverwalk.control.context import Context
from cloverwalk.control.store_port import StorePort, encode
from cloverwalk.core.constants import COMMIT_TIMEOUT_S
from cloverwalk.core.peer_messages import SessionPush
from cloverwalk.core.store_types import Check, CommitReply, CommitStatus, Put, ReadReply, Row
from cloverwalk.core.types import SessionRow

MAX_CACHED = 20_000
SESSION_PREFIX = "session/"


class SessionFound(StrEnum):
    """Answer to a lookup."""

    FOUND = "found"
    MISSING = "missing"
    CLOSED = "closed"
    UNAVAILABLE = "unavailable"  # not known here, and the table service does not answer


class SessionDirectory:
    """Finds, opens and closes sessions. A session ends only by being closed."""

    def __init__(self, context: Context, store: StorePort) -> None:
        self._context = context
        self._store = store
        self._cache: OrderedDict[str, SessionRow] = OrderedDict()
        self.is_loaded = False

    def load(self) -> None:
        """Read all sessions at the start, so that an outage finds them here."""
        self._store.read(SESSION_PREFIX, self._on_loaded)

    def _on_loaded(self, reply: ReadReply) -> None:
        self.is_loaded = True  # without the store: each is looked up, or refused, when used
        for row in reply.rows:
            self._remember(json.decode(row.value, type=SessionRow))

    def _remember(self, session: SessionRow) -> None:
        known = self._cache.get(session.session_id)
        if known is not None and known.closed:
            return  # closing is final; a late push does not undo it
        self._cache[session.session_id] = session
        self._cache.move_to_end(session.session_id)
        if len(self._cache) > MAX_CACHED:
            self._cache.popitem(last=False)

    def lookup(
        self, session_id: str, on_done: Callable[[SessionFound, SessionRow | None], None]
    ) -> None:
        """Find a session."""
        known = self._cache.get(session_id)
        if known is not None:
            self._cache.move_to_end(session_id)
            on_done(_found(known), known)
            return
        key = SESSION_PREFIX + session_id
        self._store.read(key, lambda reply: self._on_read(reply, on_done), exact=True)

    def _on_read(
        self, reply: ReadReply, on_done: Callable[[SessionFound, SessionRow | None], None]
    ) -> None:
        if not reply.available:
            on_done(SessionFound.UNAVAILABLE, None)
            return
        if not reply.rows:
            on_done(SessionFound.MISSING, None)
            return
        session = json.decode(reply.rows[0].value, type=SessionRow)
        self._remember(session)
        on_done(_found(session), session)

    def open(self, session: SessionRow, on_done: Callable[[CommitStatus], None]) -> None:
        """Commit a new session and tell the other nodes. An open of the same id is repeatable."""
        key = SESSION_PREFIX + session.session_id

        def committed(reply: CommitReply) -> None:
            status = reply.status
            if status is CommitStatus.CONFLICT:
                stored = json.decode(reply.conflicts[0].value, type=SessionRow)
                if stored == session:
                    status = CommitStatus.COMMITTED
            if status is CommitStatus.COMMITTED:
                self._publish(session)
            on_done(status)

        self._store.commit(
            [Check(key, 0)],
            [Put(key, encode(session))],
            committed,
            timeout_s=COMMIT_TIMEOUT_S,
        )

    def close(
        self, session_id: str, on_done: Callable[[CommitStatus, SessionRow | None], None]
    ) -> None:
        """Mark a session closed; CONFLICT with no row means that there is none."""
        key = SESSION_PREFIX + session_id

        def was_read(reply: ReadReply) -> None:
            if not reply.available:
                on_done(CommitStatus.UNAVAILABLE, None)
            elif not reply.rows:
                on_done(CommitStatus.CONFLICT, None)
            else:
                self._close_row(reply.rows[0], on_done)

        self._store.read(key, was_read, exact=True)

    def _close_row(
        self, row: Row, on_done: Callable[[CommitStatus, SessionRow | None], None]
    ) -> None:
        session = structs.replace(json.decode(row.value, type=SessionRow), closed=True)

        def committed(reply: CommitReply) -> None:
            if reply.status is CommitStatus.COMMITTED:
                self._publish(session)
            on_done(reply.status, session)

        self._store.commit(
            [Check(row.key, row.version)],
            [Put(row.key, encode(session))],
            committed,
            timeout_s=COMMIT_TIMEOUT_S,
        )

    def _publish(self, session: SessionRow) -> None:
        self._remember(session)
        for digest in self._context.membership.live(self._context.now):
            self._context.send(digest.node, SessionPush([session]))

    def on_push(self, message: SessionPush) -> None:
        """Take sessions that a peer committed."""
        for session in message.sessions:
            self._remember(session)

    def list_all(self, on_done: Callable[[bool, list[SessionRow]], None]) -> None:
        """Read every session from the store."""

        def was_read(reply: ReadReply) -> None:
            rows = [json.decode(row.value, type=SessionRow) for row in reply.rows]
            on_done(reply.available, rows)

        self._store.read(SESSION_PREFIX, was_read)


def _found(session: SessionRow) -> SessionFound:
    return SessionFound.CLOSED if session.closed else SessionFound.FOUND
