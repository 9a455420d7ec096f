"""The claim filter: an at-most-once request is claimed in the store before it is sent.

A claim without a result whose holder is gone is resolved by asking the engine. When that
gives nothing certain, ``outcome_unknown`` is recorded for good and it never runs again.
"""

from collections.abc import Callable

from msgspec import Struct, json

from cloverwalk.control.context import Context
from cloverwalk.control.results import ResultStore
from cloverwalk.control.store_port import StorePort, encode
from cloverwalk.core.constants import COMMIT_TIMEOUT_S
from cloverwalk.core.membership import ReplicaReport
from cloverwalk.core.peer_messages import HolderStatus, QueryHolder, QueryWork, WorkStatus
from cloverwalk.core.store_types import Check, CommitReply, CommitStatus, Put
from cloverwalk.core.types import ClaimRow, Outcome, Result
from cloverwalk.pipeline.problem import PipelineError, unavailable
from cloverwalk.pipeline.request import (
    Answer,
    GiveUp,
    OnlineRequest,
    Stage,
)

QUERY_RETRY_S = 0.5
QUERY_TRIES = 12


def claim_key(request_id: str) -> str:
    """Return the row key of a claim."""
    return f"claim/{request_id}"


class _Resolving(Struct):
    request: OnlineRequest
    claim: ClaimRow
    query_at: float
    tries: int = 0


class ClaimFilter:
    """Claims, moves and resolves at-most-once requests."""

    def __init__(
        self,
        context: Context,
        store: StorePort,
        results: ResultStore,
        own_reports: Callable[[], list[ReplicaReport]],
        answer: Answer,
        give_up: GiveUp,
    ) -> None:
        self._context = context
        self._store = store
        self._results = results
        self._own_reports = own_reports
        self._answer = answer
        self._give_up = give_up
        self._resolving: dict[str, _Resolving] = {}

    # --- claiming ---

    def claim(
        self, request: OnlineRequest, replica: str, send: Callable[[OnlineRequest], None]
    ) -> None:
        """Commit the claim for ``replica``, then let ``send`` offer the work."""
        context = self._context
        request.stage = Stage.CLAIMING
        row = ClaimRow(request.request_id, context.node_id, context.incarnation, replica)
        key = claim_key(request.request_id)
        self._store.commit(
            [Check(key, request.claim_version)],
            [Put(key, encode(row))],
            lambda reply: self._on_claimed(request, row, send, reply),
            timeout_s=COMMIT_TIMEOUT_S,
        )

    def _on_claimed(
        self,
        request: OnlineRequest,
        row: ClaimRow,
        send: Callable[[OnlineRequest], None],
        reply: CommitReply,
    ) -> None:
        if request.stage is not Stage.CLAIMING:
            return
        if reply.status is CommitStatus.COMMITTED:
            request.claim = row
            request.claim_version += 1
            send(request)
        elif reply.status is CommitStatus.CONFLICT:
            self._on_claim_conflict(request, reply)
        else:
            self._give_up(request, unavailable())  # never sent: not run

    def _on_claim_conflict(self, request: OnlineRequest, reply: CommitReply) -> None:
        if request.claim is not None or not reply.conflicts:
            self._record_unknown(request)
            return
        claim = json.decode(reply.conflicts[0].value, type=ClaimRow)
        self.resolve(request, claim)

    def withdraw(self, request: OnlineRequest) -> None:
        """Delete the claim of a request that provably did not run, so that a resend may."""
        if request.claim is None:
            return
        key = claim_key(request.request_id)
        self._store.commit(
            [Check(key, request.claim_version)], [], lambda reply: None, deletes=[key]
        )
        request.claim = None

    # --- resolving ---

    def resolve(self, request: OnlineRequest, claim: ClaimRow) -> None:
        """Find out what became of a claimed request."""
        request.stage = Stage.CLAIMING
        request.unaccounted_attempts = max(1, request.unaccounted_attempts)
        token = self._context.new_id()
        self._resolving[token] = _Resolving(request, claim, self._context.now)
        self._results.read(
            request.request_id,
            lambda result, is_certain: self._on_record_read(token, result),
        )

    def _on_record_read(self, token: str, result: Result | None) -> None:
        resolving = self._resolving.get(token)
        if resolving is None:
            return
        if result is not None:
            del self._resolving[token]
            self._answer(resolving.request, result)
            return
        self._query(token, resolving)

    def _query(self, token: str, resolving: _Resolving) -> None:
        resolving.tries += 1
        resolving.query_at = self._context.now + QUERY_RETRY_S
        owner = self._owner_of(resolving.claim.replica)
        if owner is not None:
            message = QueryWork(resolving.claim.replica, resolving.request.request_id, token)
            self._context.send(owner, message)

    def _owner_of(self, replica: str) -> str | None:
        context = self._context
        reports = [(context.node_id, report) for report in self._own_reports()]
        for digest in context.membership.live(context.now):
            reports += [(digest.node, report) for report in digest.replicas]
        holders = [(report.epoch, node) for node, report in reports if report.replica == replica]
        return max(holders)[1] if holders else None

    def on_status(self, message: WorkStatus) -> None:
        """Take the engine's answer."""
        resolving = self._resolving.get(message.token)
        if resolving is None:
            return
        if message.state == "finished":
            del self._resolving[message.token]
            request = resolving.request
            result = Result(
                request.request_id,
                Outcome.COMPLETED,
                message.text,
                message.tokens,
                model=request.call.model,
                fingerprint=request.fingerprint,
            )
            self._record(request, result)
        elif message.state == "running":
            resolving.tries = 0
        elif message.state != "unreachable":
            self._ask_holder(message.token, resolving)

    def _ask_holder(self, token: str, resolving: _Resolving) -> None:
        # The engine has nothing certain. While the holder has the request in flight it may
        # still send it; a holder that is gone or has given it up never will.
        if self._holder_lives(resolving.claim):
            message = QueryHolder(resolving.request.request_id, token)
            self._context.send(resolving.claim.node, message)
        else:
            self._end_unknown(token, resolving)

    def on_query_holder(self, sender: str, message: QueryHolder, in_flight: bool) -> None:
        """Answer a node that resolves one of this node's claims."""
        self._context.send(sender, HolderStatus(message.token, in_flight))

    def on_holder_status(self, message: HolderStatus) -> None:
        """Take the holder's answer."""
        resolving = self._resolving.get(message.token)
        if resolving is not None and not message.in_flight:
            self._end_unknown(message.token, resolving)

    def _end_unknown(self, token: str, resolving: _Resolving) -> None:
        del self._resolving[token]
        self._record_unknown(resolving.request)

    def _holder_lives(self, claim: ClaimRow) -> bool:
        context = self._context
        if claim.node == context.node_id:
            return False  # this node asks because it does not have the request in flight
        digest = context.membership.digest(claim.node)
        if digest is None or not context.membership.is_live(claim.node, context.now):
            return False
        return digest.incarnation == claim.incarnation

    def _record_unknown(self, request: OnlineRequest) -> None:
        result = Result(
            request.request_id,
            Outcome.OUTCOME_UNKNOWN,
            code="outcome_unknown",
            model=request.call.model,
            fingerprint=request.fingerprint,
        )
        self._record(request, result)

    def _record(self, request: OnlineRequest, result: Result) -> None:
        request.stage = Stage.RECORDING
        self._results.record(result, lambda stands: self._on_recorded(request, stands))

    def _on_recorded(self, request: OnlineRequest, stands: Result | None) -> None:
        if request.stage is not Stage.RECORDING:
            return
        if stands is None:
            self._give_up(request, unavailable(Outcome.OUTCOME_UNKNOWN))
        else:
            self._answer(request, stands)

    def tick(self) -> None:
        """Ask again; after many tries without an answer the outcome is unknown for good."""
        now = self._context.now
        for token, resolving in list(self._resolving.items()):
            request = resolving.request
            if request.stage is Stage.ENDED:
                del self._resolving[token]
            elif now >= request.deadline_at:
                del self._resolving[token]
                error = PipelineError(
                    504,
                    "deadline_exceeded",
                    "what became of the first send is not known yet",
                    outcome=Outcome.OUTCOME_UNKNOWN,
                    retry_after_s=2,
                )
                self._give_up(request, error)
            elif now >= resolving.query_at:
                if resolving.tries >= QUERY_TRIES and not self._holder_lives(resolving.claim):
                    self._end_unknown(token, resolving)
                else:
                    self._requery(token, resolving)

    def _requery(self, token: str, resolving: _Resolving) -> None:
        resolving.query_at = self._context.now + QUERY_RETRY_S
        self._results.read(
            resolving.request.request_id,
            lambda result, is_certain: self._on_record_read(token, result),
        )
