"""The last filters: record the result, then answer the caller.

The recorded result comes before the final byte. What the caller is told is the record that
stands, which may be an earlier run's.
"""

from collections.abc import Callable

from msgspec import Struct, json

from cloverwalk.control.context import Context
from cloverwalk.control.results import ResultStore
from cloverwalk.core import catalogue
from cloverwalk.core.events import BeginStream, EndStream, Header, StreamData
from cloverwalk.core.types import Outcome, Result
from cloverwalk.pipeline.problem import (
    PipelineError,
    json_reply,
    problem_body,
    problem_reply,
)
from cloverwalk.pipeline.request import GiveUp, OnlineRequest, Stage

REQUEST_ID_HEADER = "Cloverwalk-Request-Id"


class Usage(Struct, frozen=True):
    """Token counts in the shape of the OpenAI API."""

    completion_tokens: int


class Message(Struct, frozen=True):
    """The assistant's message."""

    role: str
    content: str


class Choice(Struct, frozen=True):
    """The one choice."""

    index: int
    message: Message
    finish_reason: str


class Completion(Struct, frozen=True):
    """A whole answer."""

    id: str
    object: str
    model: str
    choices: list[Choice]
    usage: Usage
    outcome: str


class Delta(Struct, frozen=True, omit_defaults=True):
    """A piece of a streamed message."""

    content: str = ""


class ChunkChoice(Struct, frozen=True):
    """The one choice of a streamed chunk."""

    index: int
    delta: Delta
    finish_reason: str | None


class CompletionChunk(Struct, frozen=True, omit_defaults=True):
    """One server-sent event of a streamed answer; the last has the usage."""

    id: str
    object: str
    model: str
    choices: list[ChunkChoice]
    usage: Usage | None = None


def completion_of(result: Result) -> Completion:
    """Return a result in the shape of the OpenAI API."""
    choice = Choice(0, Message("assistant", result.text), "stop")
    return Completion(
        result.request_id,
        "chat.completion",
        result.model,
        [choice],
        Usage(result.tokens),
        result.outcome.value,
    )


def result_problem(result: Result) -> PipelineError | None:
    """Return the problem that a recorded result stands for, None when it completed."""
    if result.outcome is Outcome.COMPLETED:
        return None
    detail = "the request may have run; it is not run again"
    return PipelineError(409, result.code or "failed", detail, outcome=result.outcome)


class RecordFilter:
    """Records a whole answer before it is confirmed to the caller."""

    def __init__(
        self, results: ResultStore, answer: Callable[[OnlineRequest, Result], None], give_up: GiveUp
    ) -> None:
        self._results = results
        self._answer = answer
        self._give_up = give_up

    def accept(self, request: OnlineRequest) -> None:
        """Record the collected answer."""
        request.stage = Stage.RECORDING
        result = Result(
            request.request_id,
            Outcome.COMPLETED,
            request.collector.text,
            request.collector.tokens,
            model=request.call.model,
            fingerprint=request.fingerprint,
        )
        self._results.record(result, lambda stands: self._recorded(request, stands))

    def _recorded(self, request: OnlineRequest, stands: Result | None) -> None:
        if request.stage is not Stage.RECORDING:
            return
        if stands is None:
            detail = "the answer was made but can't be kept; nothing vouches for it"
            outcome = request.outcome_if_given_up
            error = PipelineError(503, "not_recorded", detail, outcome=outcome, retry_after_s=2)
            self._give_up(request, error)
            return
        self._answer(request, stands)


class ReplyFilter:
    """Answers callers, streamed or whole, and ends requests."""

    def __init__(
        self, context: Context, on_ended: Callable[[OnlineRequest, Result | None], None]
    ) -> None:
        self._context = context
        self._on_ended = on_ended
        self._by_connection: dict[int, OnlineRequest] = {}

    def opened(self, request: OnlineRequest) -> None:
        """Note who waits on a connection."""
        if request.stage is not Stage.ENDED:
            self._by_connection[request.connection] = request

    def client_gone(self, connection: int) -> None:
        """The caller left; the request goes on and its record stays readable."""
        request = self._by_connection.get(connection)
        if request is not None:
            request.client_gone = True

    @property
    def open_count(self) -> int:
        """Requests that have not been answered."""
        return len(self._by_connection)

    # --- streamed text ---

    def text(self, request: OnlineRequest, text: str) -> None:
        """Pass on contiguous text of a streamed answer."""
        if not request.call.stream or request.client_gone:
            return
        self._begin(request)
        chunk = _chunk(request.request_id, request.call.model, text)
        self._context.emit(StreamData(request.connection, _server_sent(chunk)))

    def _begin(self, request: OnlineRequest) -> None:
        if request.reply_started:
            return
        request.reply_started = True
        headers = [
            Header("Content-Type", "text/event-stream"),
            Header("Cache-Control", "no-store"),
            Header(REQUEST_ID_HEADER, request.request_id),
        ]
        self._context.emit(BeginStream(request.connection, 200, headers))

    # --- ends ---

    def answer(self, request: OnlineRequest, result: Result) -> None:
        """End a request with the record that stands."""
        if request.stage is Stage.ENDED:
            return
        if result.fingerprint and result.fingerprint != request.fingerprint:
            message = "this key was used for another request"
            error = PipelineError(422, "key_reused", message, "idempotency-key")
            self.give_up(request, error)
            return
        problem = result_problem(result)
        if problem is not None:
            self._send_problem(request, problem)
        elif not request.client_gone:
            self._send_result(request, result)
        self._end(request, result)

    def _send_result(self, request: OnlineRequest, result: Result) -> None:
        headers = [Header(REQUEST_ID_HEADER, request.request_id)]
        if not request.call.stream:
            completion = completion_of(result)
            self._context.emit(json_reply(request.connection, 200, completion, headers))
            return
        sent = request.collector.text if request.reply_started else ""
        if not result.text.startswith(sent):
            # Another run's record stands and differs from what was streamed already.
            error = PipelineError(
                409, "superseded", "an earlier answer stands; read it by the request's id"
            )
            self._send_problem(request, error)
            return
        self._begin(request)
        rest = result.text[len(sent) :]
        if rest:
            chunk = _chunk(result.request_id, result.model, rest)
            self._context.emit(StreamData(request.connection, _server_sent(chunk)))
        last = CompletionChunk(
            result.request_id,
            "chat.completion.chunk",
            result.model,
            [ChunkChoice(0, Delta(), "stop")],
            Usage(result.tokens),
        )
        data = _server_sent(last) + b"data: [DONE]\n\n"
        self._context.emit(StreamData(request.connection, data))
        self._context.emit(EndStream(request.connection))

    def give_up(self, request: OnlineRequest, error: PipelineError) -> None:
        """End a request with a problem, at once."""
        if request.stage is Stage.ENDED:
            return
        # Whoever gives up need not know what was sent: the request does.
        error.note_outcome(request.outcome_if_given_up)
        if error.outcome is Outcome.NOT_RUN:
            self._context.metrics.refused.labels(error.code).inc()
            self._context.log(
                catalogue.REQUEST_REFUSED, request=request.request_id, code=error.code
            )
        else:
            self._context.log(
                catalogue.REQUEST_GIVEN_UP,
                request=request.request_id,
                code=error.code,
                outcome=error.outcome.value,
            )
        self._send_problem(request, error)
        self._end(request, None)

    def _send_problem(self, request: OnlineRequest, error: PipelineError) -> None:
        if request.client_gone:
            return
        if not request.reply_started:
            self._context.emit(problem_reply(request.connection, error, request.request_id))
            return
        body = problem_body(error, request.request_id)
        data = b'data: {"error":' + body + b"}\n\n"
        self._context.emit(StreamData(request.connection, data))
        self._context.emit(EndStream(request.connection, whole=False))

    def _end(self, request: OnlineRequest, result: Result | None) -> None:
        request.stage = Stage.ENDED
        self._by_connection.pop(request.connection, None)
        for callback in request.on_end:
            callback()
        request.on_end.clear()
        self._on_ended(request, result)


def _chunk(request_id: str, model: str, text: str) -> CompletionChunk:
    choice = ChunkChoice(0, Delta(text), None)
    return CompletionChunk(request_id, "chat.completion.chunk", model, [choice])


def _server_sent(chunk: CompletionChunk) -> bytes:
    return b"data: " + json.encode(chunk) + b"\n\n"
