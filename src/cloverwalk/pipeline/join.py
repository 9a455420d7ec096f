"""The join filter: concurrent requests with one key run once; later ones get the record."""

from cloverwalk.control.context import Context
from cloverwalk.control.results import ResultStore
from cloverwalk.core.constants import JOIN_TIMEOUT_S
from cloverwalk.core.hashing import rendezvous_owner
from cloverwalk.core.idempotency import JoinRegistry, JoinVerdict, Waiter
from cloverwalk.core.peer_messages import Join, JoinReply, RunFinished
from cloverwalk.core.types import Result
from cloverwalk.pipeline.problem import PipelineError, unavailable
from cloverwalk.pipeline.request import (
    Answer,
    GiveUp,
    OnlineFilter,
    OnlineRequest,
    Stage,
)

WAIT_LOOK_UP_S = 1.0


class JoinFilter:
    """Asks the key's home node whether to run, then the record whether it ran before."""

    def __init__(
        self,
        context: Context,
        results: ResultStore,
        forward: OnlineFilter,
        answer: Answer,
        give_up: GiveUp,
    ) -> None:
        self._context = context
        self._results = results
        self._forward = forward
        self._answer = answer
        self._give_up = give_up
        self._registry = JoinRegistry(context.settings.online.remembered_results)
        self._waiting: dict[str, OnlineRequest] = {}

    def accept(self, request: OnlineRequest) -> None:
        """Pass a request without a key; ask the home node about the others."""
        if request.call.key is None:
            self._forward.accept(request)
            return
        request.stage = Stage.JOINING
        self._ask(request)

    def _ask(self, request: OnlineRequest) -> None:
        context = self._context
        home = rendezvous_owner(request.request_id, context.live_node_names())
        request.join_token = context.new_id()
        request.joined_at = context.now
        self._waiting[request.join_token] = request
        context.send(home or context.node_id, Join(request.request_id, request.join_token))
        request.home = home or context.node_id

    # --- at the home node ---

    def on_join(self, sender: str, message: Join) -> None:
        """Decide for a node that has a request with this key."""
        verdict, result = self._registry.join(
            message.key, Waiter(sender, message.token), self._context.now
        )
        self._context.send(sender, JoinReply(message.key, message.token, verdict, result))

    def on_run_finished(self, message: RunFinished) -> None:
        """Tell the waiters; without a result, one of them runs the key."""
        waiters = self._registry.finish(message.key, message.token, message.result)
        if message.result is not None:
            for waiter in waiters:
                reply = JoinReply(message.key, waiter.token, JoinVerdict.DONE, message.result)
                self._context.send(waiter.node, reply)
            return
        for waiter in waiters:
            self.on_join(waiter.node, Join(message.key, waiter.token))

    def on_node_lost(self, node: str) -> None:
        """Waiters of the lost runner ask again: the first of them runs."""
        for key, waiter in self._registry.node_lost(node):
            self.on_join(waiter.node, Join(key, waiter.token))
        for request in self._waiting.values():
            if request.home == node:
                # Asking anew would only be answered by another unreachable notice.
                request.joined_at = self._context.now - JOIN_TIMEOUT_S
                request.is_waiting = False

    # --- at the node with the caller ---

    def on_join_reply(self, message: JoinReply) -> None:
        """Run, wait, or answer with the record."""
        request = self._waiting.get(message.token)
        if request is None or request.stage is not Stage.JOINING:
            if message.verdict is JoinVerdict.RUN and request is None:
                self._decline(message)
            return
        if message.verdict is JoinVerdict.WAIT:
            # The home node will tell; the record is looked at in case that message is lost.
            request.joined_at = self._context.now + WAIT_LOOK_UP_S
            request.is_waiting = True
            return
        request.is_waiting = False
        del self._waiting[message.token]
        if message.verdict is JoinVerdict.DONE and message.result is not None:
            request.home = ""
            self._answer(request, message.result)
            return
        self._look_up(request)

    def _decline(self, message: JoinReply) -> None:
        # The request ended here before its turn came; the home node must not wait for it.
        home = rendezvous_owner(message.key, self._context.live_node_names())
        self._context.send(
            home or self._context.node_id, RunFinished(message.key, message.token, None)
        )

    def _look_up(self, request: OnlineRequest) -> None:
        self._results.read(
            request.request_id,
            lambda result, is_certain: self._on_looked_up(request, result, is_certain),
        )

    def _on_looked_up(
        self, request: OnlineRequest, result: Result | None, is_certain: bool
    ) -> None:
        if request.stage is not Stage.JOINING:
            return
        if result is not None:
            self._answer(request, result)
        elif request.is_waiting:
            request.joined_at = self._context.now + WAIT_LOOK_UP_S
            self._waiting[request.join_token] = request
        elif not is_certain and request.call.at_most_once:
            self._give_up(request, unavailable())
        else:
            self._forward.accept(request)

    def ended(self, request: OnlineRequest, result: Result | None) -> None:
        """Tell the home node that a request of this node ended."""
        self._waiting.pop(request.join_token, None)
        if request.home:
            message = RunFinished(request.request_id, request.join_token, result)
            self._context.send(request.home, message)
            request.home = ""

    def tick(self) -> None:
        """Run without the home node when it does not answer; end what is overdue."""
        now = self._context.now
        self._registry.expire(now)
        for token, request in list(self._waiting.items()):
            if request.stage is Stage.ENDED:
                del self._waiting[token]
            elif now >= request.deadline_at:
                error = PipelineError(
                    504,
                    "deadline_exceeded",
                    "another request with this key had not ended by the deadline",
                    outcome=request.outcome_if_given_up,
                    retry_after_s=1,
                )
                self._give_up(request, error)
            elif now - request.joined_at >= JOIN_TIMEOUT_S:
                del self._waiting[token]
                self._look_up(request)
