"""Recording of online results: put-if-absent in the table service, or held by peers.

While the service does not answer, a result is kept by this node and by one peer in each of
``copies`` other zones before it is answered, and drained when the service is back.
"""

from collections.abc import Callable

from msgspec import Struct, json

from cloverwalk.control.context import Context
from cloverwalk.control.store_port import StorePort, encode
from cloverwalk.core import catalogue
from cloverwalk.core.constants import HOLD_TIMEOUT_S
from cloverwalk.core.hashing import rendezvous_rank
from cloverwalk.core.peer_messages import (
    FetchHeld,
    FetchHeldReply,
    HoldAck,
    HoldDrained,
    HoldResult,
)
from cloverwalk.core.store_types import Check, CommitReply, CommitStatus, Put, ReadReply
from cloverwalk.core.types import Result

FETCH_TIMEOUT_S = 0.3
COPY_DRAIN_DELAY_S = 5.0
DRAIN_IN_FLIGHT = 16
RECENT_OUTAGE_S = 60.0

RecordDone = Callable[[Result | None], None]


def result_key(request_id: str) -> str:
    """Return the row key of a request's result."""
    return f"result/{request_id}"


class _Held(Struct):
    result: Result
    drain_at: float
    draining: bool = False


class _Holding(Struct):
    """A result on its way to its holders."""

    key: str
    result: Result
    on_done: RecordDone
    targets: list[str]
    give_up_at: float
    acked: int = 0
    answered: int = 0


class _Fetch(Struct):
    key: str
    on_done: Callable[[Result | None], None]
    give_up_at: float
    awaited: int


class ResultStore:
    """Writes and reads online results."""

    def __init__(self, context: Context, store: StorePort) -> None:
        self._context = context
        self._store = store
        self._held: dict[str, _Held] = {}
        self._holding: dict[str, _Holding] = {}
        self._fetches: dict[str, _Fetch] = {}
        self._down_at = -1e9

    # --- recording ---

    def record(self, result: Result, on_done: RecordDone) -> None:
        """Record a result; ``on_done`` gets the one that stands, None when it can't be kept."""
        if self._store.is_down:
            self._hold(result, on_done)
            return
        key = result_key(result.request_id)
        self._store.commit(
            [Check(key, 0)],
            [Put(key, encode(result))],
            lambda reply: self._on_recorded(result, on_done, reply),
        )

    def _on_recorded(self, result: Result, on_done: RecordDone, reply: CommitReply) -> None:
        if reply.status is CommitStatus.COMMITTED:
            on_done(result)
        elif reply.status is CommitStatus.CONFLICT:
            self._context.log(catalogue.RESULT_CONFLICT, request=result.request_id)
            on_done(json.decode(reply.conflicts[0].value, type=Result))
        else:
            self._hold(result, on_done)

    # --- holding ---

    def _holders(self, request_id: str) -> list[str]:
        """Return candidates in order: the best node of each other zone, then the rest."""
        context = self._context
        by_zone: dict[str, list[str]] = {}
        for digest in context.membership.live(context.now):
            if not digest.leaving:
                by_zone.setdefault(digest.zone, []).append(digest.node)
        own_zone = by_zone.pop(context.zone, [])
        ranked = [rendezvous_rank(request_id, nodes) for nodes in by_zone.values()]
        zones = rendezvous_rank(request_id, by_zone)
        first = [rendezvous_rank(request_id, by_zone[zone])[0] for zone in zones]
        rest = [node for nodes in ranked for node in nodes[1:]]
        return first + rest + rendezvous_rank(request_id, own_zone)

    def _hold(self, result: Result, on_done: RecordDone) -> None:
        context = self._context
        targets = self._holders(result.request_id)[: context.settings.hold.copies]
        if not targets or len(self._held) >= context.settings.hold.max_results:
            context.log(catalogue.HOLD_FULL, request=result.request_id)
            on_done(None)
            return
        earlier = self._held.get(result.request_id)
        if earlier is not None and earlier.result != result:
            on_done(earlier.result)
            return
        token = context.new_id()
        give_up_at = context.now + HOLD_TIMEOUT_S
        holding = _Holding(result.request_id, result, on_done, targets, give_up_at)
        self._holding[token] = holding
        for node in targets:
            context.send(node, HoldResult(result.request_id, result, token))

    def on_hold(self, sender: str, message: HoldResult) -> None:
        """Keep a peer's result."""
        known = self._held.get(message.key)
        earlier = None
        if known is not None and known.result != message.result:
            earlier = known.result
        room = len(self._held) < self._context.settings.hold.max_results
        held = known is not None or room
        if known is None and room:
            drain_at = self._context.now + COPY_DRAIN_DELAY_S
            self._held[message.key] = _Held(message.result, drain_at)
        self._context.send(sender, HoldAck(message.key, message.token, held, earlier))

    def on_hold_ack(self, message: HoldAck) -> None:
        """Count a holder's answer."""
        holding = self._holding.get(message.token)
        if holding is None:
            return
        holding.answered += 1
        if message.earlier is not None:
            del self._holding[message.token]
            holding.on_done(message.earlier)
            return
        holding.acked += message.held
        if holding.answered == len(holding.targets):
            self._end_holding(message.token, holding)

    def _end_holding(self, token: str, holding: _Holding) -> None:
        del self._holding[token]
        if holding.acked == 0:
            self._context.log(catalogue.HOLD_FULL, request=holding.key)
            holding.on_done(None)
            return
        self._held.setdefault(holding.key, _Held(holding.result, self._context.now))
        self._context.log(catalogue.RESULT_HELD, request=holding.key, copies=holding.acked)
        holding.on_done(self._held[holding.key].result)

    # --- draining ---

    def tick(self) -> None:
        """Drain held results when the service answers; end waits that are overdue."""
        now = self._context.now
        if self._store.is_down:
            self._down_at = now
        for token, holding in list(self._holding.items()):
            if now >= holding.give_up_at:
                self._end_holding(token, holding)
        for token, fetch in list(self._fetches.items()):
            if now >= fetch.give_up_at:
                del self._fetches[token]
                fetch.on_done(None)
        self._context.metrics.held_results.set(len(self._held))
        if not self._store.is_down:
            self._drain()

    def _drain(self) -> None:
        free = DRAIN_IN_FLIGHT - sum(held.draining for held in self._held.values())
        now = self._context.now
        due = [k for k, h in self._held.items() if not h.draining and now >= h.drain_at]
        for key in due[: max(0, free)]:
            self._held[key].draining = True
            row_key = result_key(key)
            self._store.commit(
                [Check(row_key, 0)],
                [Put(row_key, encode(self._held[key].result))],
                lambda reply, key=key: self._on_drained(key, reply),  # type: ignore[misc]
            )

    def _on_drained(self, key: str, reply: CommitReply) -> None:
        held = self._held.get(key)
        if held is None:
            return
        held.draining = False
        if reply.status in (CommitStatus.UNAVAILABLE, CommitStatus.UNKNOWN):
            return
        if reply.status is CommitStatus.CONFLICT:
            recorded = json.decode(reply.conflicts[0].value, type=Result)
            if recorded != held.result:
                self._context.log(catalogue.RESULT_CONFLICT, request=key)
        del self._held[key]
        for node in self._holders(key)[: self._context.settings.hold.copies]:
            self._context.send(node, HoldDrained(key))

    def on_drained(self, message: HoldDrained) -> None:
        """Drop a copy that another holder recorded."""
        self._held.pop(message.key, None)

    @property
    def held_count(self) -> int:
        """Results held here."""
        return len(self._held)

    # --- reading ---

    def read(self, request_id: str, on_done: Callable[[Result | None, bool], None]) -> None:
        """Read a result: ``on_done(result, is_certain)``; not certain while a store is out."""
        held = self._held.get(request_id)
        if held is not None:
            on_done(held.result, True)
            return
        if self._store.is_down:
            self._fetch(request_id, lambda result: on_done(result, False))
            return
        self._store.read(
            result_key(request_id),
            lambda reply: self._on_read(request_id, on_done, reply),
            exact=True,
        )

    def _on_read(
        self,
        request_id: str,
        on_done: Callable[[Result | None, bool], None],
        reply: ReadReply,
    ) -> None:
        if reply.available and reply.rows:
            on_done(json.decode(reply.rows[0].value, type=Result), True)
        elif not reply.available or self._context.now - self._down_at < RECENT_OUTAGE_S:
            self._fetch(request_id, lambda result: on_done(result, reply.available))
        else:
            on_done(None, True)

    def _fetch(self, request_id: str, on_done: Callable[[Result | None], None]) -> None:
        context = self._context
        nodes = [digest.node for digest in context.membership.live(context.now)]
        if not nodes:
            on_done(None)
            return
        token = context.new_id()
        give_up_at = context.now + FETCH_TIMEOUT_S
        self._fetches[token] = _Fetch(request_id, on_done, give_up_at, len(nodes))
        for node in nodes:
            context.send(node, FetchHeld(request_id, token))

    def on_fetch(self, sender: str, message: FetchHeld) -> None:
        """Answer with a held result."""
        held = self._held.get(message.key)
        result = held.result if held else None
        self._context.send(sender, FetchHeldReply(message.key, message.token, result))

    def on_fetch_reply(self, message: FetchHeldReply) -> None:
        """Take a peer's answer."""
        fetch = self._fetches.get(message.token)
        if fetch is None:
            return
        fetch.awaited -= 1
        if message.result is not None or fetch.awaited == 0:
            del self._fetches[message.token]
            fetch.on_done(message.result)
