"""The dispatch filter: places a request, offers it to the replica's owner, collects chunks.

An attempt that was refused did not run and is offered elsewhere. An attempt that was lost
after it may have started is repeated only when the request is repeatable, and continues
after the output that the caller already has. Retries spend a budget that first tries earn.
"""

from collections import Counter
from collections.abc import Callable, Iterator

from cloverwalk.control.context import Context
from cloverwalk.core import catalogue
from cloverwalk.core.constants import CHARS_PER_TOKEN, OFFER_TIMEOUT_S, STALL_TIMEOUT_S
from cloverwalk.core.membership import ReplicaReport, UnservedReport
from cloverwalk.core.peer_messages import (
    AttemptLost,
    CancelWork,
    ChunkMessage,
    Offer,
    OfferRefused,
)
from cloverwalk.core.placement import Candidate, choose_packed, choose_replica
from cloverwalk.core.policies import POLICIES, takes_online
from cloverwalk.core.prefix_index import PrefixIndex, prefix_hash
from cloverwalk.core.retry_budget import RetryBudget
from cloverwalk.core.types import ClaimRow, Outcome, Priority, Refusal, Work
from cloverwalk.pipeline.claim import ClaimFilter
from cloverwalk.pipeline.problem import PipelineError
from cloverwalk.pipeline.request import GiveUp, OnlineFilter, OnlineRequest, Stage

AVOID_S = 1.5
MAX_AVOIDED = 1000
UNSERVED_EVERY_S = 1.0
UNSERVED_KEEP = 0.8


class DispatchFilter:
    """Requests on their way to engines and back."""

    def __init__(
        self,
        context: Context,
        claims: ClaimFilter,
        own_reports: Callable[[], list[ReplicaReport]],
        is_leaving: Callable[[str], bool],
        on_text: Callable[[OnlineRequest, str], None],
        forward: OnlineFilter,
        give_up: GiveUp,
    ) -> None:
        self._context = context
        self._claims = claims
        self._own_reports = own_reports
        self._is_leaving = is_leaving
        self._on_text = on_text
        self._forward = forward
        self._give_up = give_up
        self._budget = RetryBudget(
            context.settings.online.retry_ratio, context.settings.online.retry_reserve
        )
        self._policy = POLICIES[context.settings.scheduler.policy]
        self._requests: dict[str, OnlineRequest] = {}
        self._sent: Counter[str] = Counter()
        self._prefill_tokens: dict[str, float] = {}  # by replica: prompts without output yet
        self._avoid_until: dict[str, float] = {}
        self.prefixes = PrefixIndex()
        self._unserved: Counter[str] = Counter()
        self._unserved_rates: dict[str, float] = {}
        self._unserved_at = 0.0

    # --- placing ---

    def accept(self, request: OnlineRequest) -> None:
        """Begin to place a request."""
        running = self._requests.get(request.request_id)
        if running is not None and running.stage is not Stage.ENDED:
            # Its home node was out of reach: the same key came twice to this very node.
            error = PipelineError(
                409, "in_progress", "a request with this key is running", retry_after_s=1
            )
            self._give_up(request, error)
            return
        request.stage = Stage.DISPATCHING
        self._requests[request.request_id] = request
        request.on_end.append(lambda: self._forget(request))
        self._budget.earn()
        self._place(request)

    def has(self, request_id: str) -> bool:
        """Whether a request of this id is in flight here."""
        return request_id in self._requests

    def _forget(self, request: OnlineRequest) -> None:
        self._release_replica(request)
        if self._requests.get(request.request_id) is request:
            del self._requests[request.request_id]

    def _reports(self, model: str) -> Iterator[tuple[str, bool, ReplicaReport]]:
        context = self._context
        for report in self._own_reports():
            if report.model == model:
                yield context.node_id, True, report
        for digest in context.membership.live(context.now):
            for report in digest.replicas:
                if report.model == model and not digest.leaving:
                    yield digest.node, digest.zone == context.zone, report

    def _candidates(self, request: OnlineRequest) -> list[Candidate]:
        warm = self.prefixes.replicas(prefix_hash(request.call.prompt))
        newest: dict[str, tuple[int, Candidate]] = {}
        for owner, is_local, report in self._reports(request.call.model):
            is_avoided = self._context.now < self._avoid_until.get(report.replica, -1e9)
            if report.leaving or self._is_leaving(report.replica) or report.slots == 0:
                continue
            if is_avoided:
                continue
            if report.replica in request.tried or not takes_online(self._policy, report.replica):
                continue
            online = report.online + self._sent[report.replica]
            load = online / report.slots
            candidate = Candidate(
                report.replica,
                owner,
                is_local,
                load,
                report.replica in warm,
                self._prefill_tokens.get(report.replica, 0.0),
            )
            if newest.get(report.replica, (-1, None))[0] < report.epoch:
                newest[report.replica] = (report.epoch, candidate)
        return [candidate for _, candidate in newest.values()]

    def _place(self, request: OnlineRequest) -> None:
        candidates = self._candidates(request)
        random = self._context.random
        if self._policy.packs_online:
            candidate = choose_packed(candidates, request.call.model, random)
        else:
            candidate = choose_replica(candidates, random)
        if candidate is None:
            self._no_replica(request)
            return
        request.replica = candidate.replica
        request.owner = candidate.owner
        self._sent[candidate.replica] += 1
        tokens = len(request.call.prompt) / CHARS_PER_TOKEN
        before = self._prefill_tokens.get(candidate.replica, 0.0)
        self._prefill_tokens[candidate.replica] = before + tokens
        request.awaits_first_token = True
        if request.call.at_most_once:
            self._claims.claim(request, candidate.replica, self._offer)
        else:
            self._offer(request)

    def _first_output(self, request: OnlineRequest) -> None:
        if not request.awaits_first_token:
            return
        request.awaits_first_token = False
        tokens = len(request.call.prompt) / CHARS_PER_TOKEN
        left = self._prefill_tokens.get(request.replica, 0.0) - tokens
        if left > 0.5:
            self._prefill_tokens[request.replica] = left
        else:
            self._prefill_tokens.pop(request.replica, None)

    def _release_replica(self, request: OnlineRequest) -> None:
        self._first_output(request)
        if request.replica:
            self._sent[request.replica] -= 1
            if self._sent[request.replica] <= 0:
                del self._sent[request.replica]
            request.replica = ""

    def _offer(self, request: OnlineRequest) -> None:
        context = self._context
        request.stage = Stage.DISPATCHING
        if request.attempts:
            request.collector.next_attempt()
        request.attempts += 1
        request.heard_at = context.now
        request.unaccounted_attempts += 1
        call = request.call
        work = Work(
            request.request_id,
            request.collector.attempt,
            call.model,
            call.prompt,
            call.max_tokens,
            Priority.ONLINE,
            resume_text=request.collector.text,
        )
        context.send(request.owner, Offer(request.replica, work))

    # --- what comes back ---

    def _current(self, request_id: str, attempt: int) -> OnlineRequest | None:
        request = self._requests.get(request_id)
        if request is None or request.stage is not Stage.DISPATCHING:
            return None
        return request if request.collector.attempt == attempt else None

    def on_refused(self, message: OfferRefused) -> None:
        """The attempt did not run: try another replica, or end at once."""
        request = self._current(message.request_id, message.attempt)
        if request is None:
            return
        request.unaccounted_attempts -= 1
        request.tried.add(message.replica)
        if message.reason is not Refusal.BUSY:
            self._avoid(message.replica)
        self._release_replica(request)
        self._retry(request, message.reason.value)

    def on_lost(self, message: AttemptLost) -> None:
        """The attempt may have run in part."""
        request = self._current(message.request_id, message.attempt)
        if request is not None:
            self._attempt_lost(request, message.reason)

    def _avoid(self, replica: str) -> None:
        """Place nothing there until its owner's next reports can have come."""
        self._avoid_until[replica] = self._context.now + AVOID_S
        if len(self._avoid_until) > MAX_AVOIDED:
            now = self._context.now
            self._avoid_until = {k: at for k, at in self._avoid_until.items() if at > now}

    def _attempt_lost(self, request: OnlineRequest, reason: str) -> None:
        replica = request.replica
        request.tried.add(replica)
        self._avoid(replica)
        self._release_replica(request)
        if request.call.at_most_once:
            context = self._context
            claim = request.claim or ClaimRow(
                request.request_id, context.node_id, context.incarnation, replica
            )
            self._claims.resolve(request, claim)
            return
        self._retry(request, reason)

    def _retry(self, request: OnlineRequest, reason: str) -> None:
        context = self._context
        settings = context.settings.online
        context.log(catalogue.REQUEST_RETRIED, request=request.request_id, reason=reason)
        if request.attempts >= settings.max_attempts or not self._budget.spend():
            self._end(request, 503, "no_capacity", "no replica took the request in time")
            return
        context.metrics.retries.inc()
        self._place(request)

    def _no_replica(self, request: OnlineRequest) -> None:
        known = {report.model for _, _, report in self._reports(request.call.model)}
        if not known and not request.tried:
            self._unserved[request.call.model] += 1
            detail = f"no replica with model {request.call.model!r} is known"
            self._end(request, 503, "no_replica", detail, field="model")
        else:
            self._end(request, 503, "no_capacity", "every replica is busy or leaving")

    def _end(
        self, request: OnlineRequest, status: int, code: str, detail: str, field: str = ""
    ) -> None:
        outcome = request.outcome_if_given_up
        if outcome is Outcome.NOT_RUN:
            self._claims.withdraw(request)
        error = PipelineError(status, code, detail, field=field, outcome=outcome, retry_after_s=1)
        self._give_up(request, error)

    def on_chunk(self, message: ChunkMessage) -> None:
        """Collect output; pass contiguous text on; a whole answer goes to the record."""
        chunk = message.chunk
        request = self._current(chunk.request_id, chunk.attempt)
        if request is None:
            return
        now = self._context.now
        if request.collector.tokens == 0:
            self._context.metrics.first_token.observe(now - request.arrived_at)
        request.heard_at = now
        self._first_output(request)
        text = request.collector.add(chunk)
        if text:
            self._on_text(request, text)
        if request.collector.is_whole:
            self._release_replica(request)
            self._forward.accept(request)

    # --- time and failures ---

    def on_node_lost(self, node: str) -> None:
        """Attempts at a lost owner are lost; the prefix hints of its replicas are not."""
        for request in list(self._requests.values()):
            if request.owner == node and request.stage is Stage.DISPATCHING:
                self._attempt_lost(request, Refusal.UNREACHABLE.value)

    def tick(self) -> None:
        """End requests at their deadline; give silent attempts up."""
        now = self._context.now
        self._count_unserved()
        for request in list(self._requests.values()):
            if request.stage is not Stage.DISPATCHING:
                continue
            silent_s = now - request.heard_at
            limit_s = STALL_TIMEOUT_S if request.collector.tokens else OFFER_TIMEOUT_S
            if now >= request.deadline_at:
                self._cancel_attempt(request)
                self._deadline_passed(request)
            elif silent_s >= limit_s:
                self._cancel_attempt(request)
                self._attempt_lost(request, "silent")

    def _count_unserved(self) -> None:
        elapsed_s = self._context.now - self._unserved_at
        if elapsed_s < UNSERVED_EVERY_S:
            return
        self._unserved_at = self._context.now
        models = sorted(self._unserved_rates.keys() | self._unserved.keys())
        rates = {
            model: UNSERVED_KEEP * self._unserved_rates.get(model, 0.0)
            + (1 - UNSERVED_KEEP) * self._unserved[model] / elapsed_s
            for model in models
        }
        self._unserved.clear()
        self._unserved_rates = {model: rate for model, rate in rates.items() if rate > 0.01}

    def unserved(self) -> list[UnservedReport]:
        """Return recent demand for models that no known replica holds, for gossip."""
        rates = self._unserved_rates.items()
        return [UnservedReport(model, round(rate, 2)) for model, rate in rates]

    def _cancel_attempt(self, request: OnlineRequest) -> None:
        message = CancelWork(request.replica, request.request_id, request.collector.attempt)
        self._context.send(request.owner, message)

    def _deadline_passed(self, request: OnlineRequest) -> None:
        if request.call.at_most_once:
            # It may be running: later readers must see what this caller was told.
            claim = ClaimRow(request.request_id, "", "", request.replica)
            request.deadline_at = self._context.now + 1.0
            self._release_replica(request)
            self._claims.resolve(request, claim)
            return
        self._end(request, 504, "deadline_exceeded", "the deadline passed before the answer")
