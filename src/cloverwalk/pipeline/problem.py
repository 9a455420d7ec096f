"""Error answers in the form of RFC 9457 (application/problem+json)."""

import math

from msgspec import Struct, json

from cloverwalk.core.constants import RETRY_AFTER_S
from cloverwalk.core.error_response import NOT_RUN_STATUSES
from cloverwalk.core.errors import CloverwalkError
from cloverwalk.core.events import Header, SendReply
from cloverwalk.core.types import Outcome

UNPROMISING_STATUS = 502
"""Stands for a promising status where the work may have begun."""


class PipelineError(CloverwalkError):
    """A request ends with a problem answer.

    A status that promises "not run" holds only for the outcome ``not_run``.
    """

    default_code = "bad_request"

    def __init__(
        self,
        status: int,
        code: str,
        detail: str,
        field: str = "",
        outcome: Outcome = Outcome.NOT_RUN,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(detail, code)
        self._wanted_status = status
        self.detail = detail
        self.field = field
        self.outcome = outcome
        self.retry_after_s = retry_after_s

    @property
    def status(self) -> int:
        """The status that is true of the outcome."""
        if self.outcome is not Outcome.NOT_RUN and self._wanted_status in NOT_RUN_STATUSES:
            return UNPROMISING_STATUS
        return self._wanted_status

    def note_outcome(self, outcome: Outcome) -> None:
        """Take what is known of the request, where the error itself says that it has not run."""
        if self.outcome is Outcome.NOT_RUN:
            self.outcome = outcome


class ProblemBody(Struct, frozen=True, omit_defaults=True):
    """The body of a problem answer."""

    type: str
    title: str
    status: int
    code: str
    detail: str
    outcome: str
    field: str = ""
    request_id: str = ""


def problem_body(error: PipelineError, request_id: str = "") -> bytes:
    """Return the JSON body."""
    return json.encode(
        ProblemBody(
            f"urn:cloverwalk:problem:{error.code}",
            error.code.replace("_", " "),
            error.status,
            error.code,
            error.detail,
            error.outcome.value,
            error.field,
            request_id,
        )
    )


def problem_reply(connection: int, error: PipelineError, request_id: str = "") -> SendReply:
    """Return the instruction that answers with a problem."""
    headers = [Header("Content-Type", "application/problem+json")]
    if error.retry_after_s is not None:
        seconds = max(RETRY_AFTER_S, math.ceil(error.retry_after_s))
        headers.append(Header("Retry-After", str(seconds)))
    return SendReply(connection, error.status, headers, problem_body(error, request_id))


def json_reply(
    connection: int, status: int, body: object, headers: list[Header] | None = None
) -> SendReply:
    """Return the instruction that answers with JSON."""
    all_headers = [Header("Content-Type", "application/json"), *(headers or [])]
    return SendReply(connection, status, all_headers, json.encode(body))


def unavailable(outcome: Outcome = Outcome.NOT_RUN) -> PipelineError:
    """Return the problem of a table service that does not answer."""
    return PipelineError(
        503,
        "store_unavailable",
        "the platform's table service does not answer",
        outcome=outcome,
        retry_after_s=2,
    )
