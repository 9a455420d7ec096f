"""Calls to the table service and the object store, with callbacks, retries and a verdict.

A transaction is sent again when its answer is lost. That is safe: it checks a row that it
writes, so the second try conflicts, and the conflicting row carries the first try's
operation id, which tells that it took effect.
"""

from collections.abc import Callable

from msgspec import Struct, json

from cloverwalk.control.context import Context
from cloverwalk.core import catalogue
from cloverwalk.core.constants import OUTAGE_NOTICED_S, STORE_RETRY_S, STORE_TIMEOUT_S
from cloverwalk.core.events import (
    CommitToStore,
    GetObject,
    ObjectDone,
    PutObject,
    ReadStore,
    StoreCommitted,
    StoreRead,
)
from cloverwalk.core.store_types import (
    Check,
    CommitReply,
    CommitStatus,
    ObjectReply,
    Put,
    ReadReply,
    Transaction,
)

OUTAGE_GAP_S = 2.0
"""Without an answer for this long, what was seen before says nothing of the time between."""

_Instruction = CommitToStore | ReadStore | PutObject | GetObject
_Reply = CommitReply | ReadReply | ObjectReply


class _Call(Struct):
    instruction: _Instruction
    on_done: Callable[..., None]
    give_up_at: float
    retry_at: float | None = None  # set while waiting for the next try
    may_be_applied: bool = False


def encode(value: Struct) -> str:
    """Return a row's value as JSON text."""
    return json.encode(value).decode()


class StorePort:
    """One node's way to the platform's stores."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._calls: dict[str, _Call] = {}
        self._contact_at = -1e9
        self.outage_ended_at = -1e9
        self._failing_since: float | None = None

    # --- contact ---

    @property
    def is_down(self) -> bool:
        """Whether the last calls got no answer; cleared by the next answer."""
        return self._failing_since is not None

    @property
    def contact_age_s(self) -> float:
        """Seconds since the last answer."""
        return self._context.now - self._contact_at

    def _answered(self) -> None:
        if self.contact_age_s > OUTAGE_GAP_S:
            self.outage_ended_at = self._context.now
        self._contact_at = self._context.now
        if self._failing_since is not None:
            self._failing_since = None
            self._context.log(catalogue.STORE_BACK)

    def _not_answered(self) -> None:
        if self._failing_since is None:
            self._failing_since = self._context.now
            self._context.log(catalogue.STORE_LOST)

    # --- calls ---

    def commit(
        self,
        checks: list[Check],
        puts: list[Put],
        on_done: Callable[[CommitReply], None],
        deletes: list[str] | None = None,
        timeout_s: float = STORE_TIMEOUT_S,
        op_id: str | None = None,
    ) -> str:
        """Commit; ``on_done`` gets the final status. Return the operation id.

        A try without an answer is repeated until ``timeout_s``; see the module's text.
        A caller that got UNKNOWN may commit the same again under the same ``op_id``.
        """
        op_id = op_id or self._context.new_id()
        transaction = Transaction(op_id, checks, puts, deletes or [])
        self._begin(CommitToStore(op_id, transaction), on_done, timeout_s)
        return op_id

    def read(self, prefix: str, on_done: Callable[[ReadReply], None], exact: bool = False) -> None:
        """Read the rows under a prefix, or one row."""
        self._begin(ReadStore(self._context.new_id(), prefix, exact), on_done, STORE_TIMEOUT_S)

    def put_object(self, name: str, body: str, on_done: Callable[[ObjectReply], None]) -> None:
        """Write an object if there is none of that name."""
        self._begin(PutObject(self._context.new_id(), name, body), on_done, STORE_TIMEOUT_S)

    def get_object(self, name: str, on_done: Callable[[ObjectReply], None]) -> None:
        """Read an object."""
        self._begin(GetObject(self._context.new_id(), name), on_done, STORE_TIMEOUT_S)

    def _begin(
        self, instruction: _Instruction, on_done: Callable[..., None], timeout_s: float
    ) -> None:
        call = _Call(instruction, on_done, self._context.now + timeout_s)
        self._calls[instruction.op_id] = call
        self._context.emit(instruction)

    # --- answers ---

    def on_reply(self, event: StoreCommitted | StoreRead | ObjectDone) -> None:
        """Take an answer; answers to calls given up are ignored."""
        call = self._calls.get(event.op_id)
        if call is None or call.retry_at is not None:
            return
        reply = event.reply
        if _is_answer(reply):
            self._answered()
            self._finish(event.op_id, call, _with_own_write(reply, event.op_id))
            return
        self._not_answered()
        if isinstance(reply, CommitReply) and reply.status is CommitStatus.UNKNOWN:
            call.may_be_applied = True
        if self._in_outage and not call.may_be_applied:
            self._finish(event.op_id, call, _no_answer(call))
        else:
            call.retry_at = self._context.now + STORE_RETRY_S

    @property
    def _in_outage(self) -> bool:
        since = self._failing_since
        return since is not None and self._context.now - since >= OUTAGE_NOTICED_S

    def tick(self) -> None:
        """Try again what is due and give up what is overdue."""
        now = self._context.now
        for op_id, call in list(self._calls.items()):
            if now >= call.give_up_at:
                if call.retry_at is None:
                    call.may_be_applied = True
                    self._not_answered()
                self._finish(op_id, call, _no_answer(call))
            elif call.retry_at is not None and now >= call.retry_at:
                call.retry_at = None
                self._context.emit(call.instruction)

    def _finish(self, op_id: str, call: _Call, reply: _Reply) -> None:
        del self._calls[op_id]
        call.on_done(reply)


def _is_answer(reply: _Reply) -> bool:
    if isinstance(reply, CommitReply):
        return reply.status in (CommitStatus.COMMITTED, CommitStatus.CONFLICT)
    if isinstance(reply, ReadReply):
        return reply.available
    return reply.found is not None


def _with_own_write(reply: _Reply, op_id: str) -> _Reply:
    if isinstance(reply, CommitReply) and any(row.op_id == op_id for row in reply.conflicts):
        return CommitReply(CommitStatus.COMMITTED)
    return reply


def _no_answer(call: _Call) -> _Reply:
    if isinstance(call.instruction, CommitToStore):
        unknown = call.may_be_applied
        return CommitReply(CommitStatus.UNKNOWN if unknown else CommitStatus.UNAVAILABLE)
    if isinstance(call.instruction, ReadStore):
        return ReadReply(available=False)
    return ObjectReply(found=None)
