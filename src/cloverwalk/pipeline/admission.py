"""The first filters: identify a request and find its session."""

from cloverwalk.control.context import Context
from cloverwalk.control.sessions import SessionDirectory, SessionFound
from cloverwalk.core.collect import Collector
from cloverwalk.core.hashing import short_hash
from cloverwalk.core.types import SessionRow
from cloverwalk.pipeline.parse import OnlineCall
from cloverwalk.pipeline.problem import PipelineError, unavailable
from cloverwalk.pipeline.request import GiveUp, OnlineFilter, OnlineRequest


def session_problem(found: SessionFound, session_id: str) -> PipelineError | None:
    """Return the problem of a lookup, None when the session is open."""
    if found is SessionFound.FOUND:
        return None
    if found is SessionFound.UNAVAILABLE:
        return unavailable()
    if found is SessionFound.CLOSED:
        message = f"session {session_id} is closed"
        return PipelineError(409, "session_closed", message, "cloverwalk-session")
    message = f"there is no session {session_id}"
    return PipelineError(404, "unknown_session", message, "cloverwalk-session")


class IdentifyFilter:
    """Names the request: by the caller's key, or by an id of our own."""

    def __init__(self, context: Context, forward: OnlineFilter) -> None:
        self._context = context
        self._forward = forward

    def accept_call(self, connection: int, call: OnlineCall) -> OnlineRequest:
        """Begin a request."""
        context = self._context
        if call.key is None:
            request_id = context.new_id()
        else:
            request_id = short_hash(call.session_id, call.key)
        content = (call.kind, call.model, call.prompt, str(call.max_tokens))
        row = context.table_row(call.session_id, call.kind)
        deadline_s = context.settings.online.default_deadline_s
        if call.deadline_ms is not None:
            deadline_s = call.deadline_ms / 1000
        elif row.deadline_s is not None:
            deadline_s = row.deadline_s
        request = OnlineRequest(
            connection,
            call,
            request_id,
            short_hash(*content),
            context.now,
            context.now + deadline_s,
            Collector(request_id, attempt=1),
        )
        self._forward.accept(request)
        return request


class SessionFilter:
    """Passes requests of open sessions."""

    def __init__(self, sessions: SessionDirectory, forward: OnlineFilter, give_up: GiveUp) -> None:
        self._sessions = sessions
        self._forward = forward
        self._give_up = give_up

    def accept(self, request: OnlineRequest) -> None:
        """Look the session up."""

        def looked_up(found: SessionFound, row: SessionRow | None) -> None:
            del row
            error = session_problem(found, request.call.session_id)
            if error is None:
                self._forward.accept(request)
            else:
                self._give_up(request, error)

        self._sessions.lookup(request.call.session_id, looked_up)
