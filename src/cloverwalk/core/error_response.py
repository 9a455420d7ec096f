"""The answer that a node makes itself, and whether it promises that nothing was run.

408, 421, 429 and 503 promise that the work has not run and never will; a caller sends it again.
Errors only say why a call ends. Which status that is follows here from what is known of the work,
so no place that raises an error can promise what is not true.
"""

from enum import Enum
from typing import Protocol

import attrs

from cloverwalk.core.errors import CloverwalkError

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses by which a caller knows that its request has not run and never will (users' pages)."""


class WorkState(Enum):
    """What is known of the work of a call."""

    NOT_BEGUN = "not_begun"
    """Nothing was sent, or all that was sent is proved not to have been taken up."""

    MAY_HAVE_BEGUN = "may_have_begun"


class Work(Protocol):
    """Whatever knows what was sent for a call."""

    @property
    def state(self) -> WorkState:
        """What is known of the work now."""
        ...


class NothingSent:
    """The work of a call that ends before anything is sent for it."""

    @property
    def state(self) -> WorkState:
        """Nothing has begun."""
        return WorkState.NOT_BEGUN


NOTHING_SENT = NothingSent()


class Reason(Enum):
    """Why a call ends with an answer of this node's own."""

    UNAVAILABLE = "unavailable"
    """Nobody can do the work now."""

    OVER_QUOTA = "over_quota"
    """The tenant has sent what it may."""

    OUT_OF_TIME = "out_of_time"
    """The time for it is over."""

    INCOMPLETE = "incomplete"
    """The request did not come whole in time."""

    INVALID = "invalid"
    NO_KEY = "no_key"
    NOT_FOUND = "not_found"
    ID_TAKEN = "id_taken"
    BODY_TOO_LARGE = "body_too_large"
    HEADERS_TOO_LARGE = "headers_too_large"
    NOT_IMPLEMENTED = "not_implemented"


_CLIENT_ERROR_STATUSES = {
    Reason.INVALID: 400,
    Reason.NO_KEY: 401,
    Reason.NOT_FOUND: 404,
    Reason.ID_TAKEN: 409,
    Reason.BODY_TOO_LARGE: 413,
    Reason.HEADERS_TOO_LARGE: 431,
    Reason.NOT_IMPLEMENTED: 501,
}
_STATUS_BY_REASON = {
    WorkState.NOT_BEGUN: {
        Reason.UNAVAILABLE: 503,
        Reason.OVER_QUOTA: 429,
        Reason.OUT_OF_TIME: 503,
        Reason.INCOMPLETE: 408,
        **_CLIENT_ERROR_STATUSES,
    },
    WorkState.MAY_HAVE_BEGUN: {
        Reason.UNAVAILABLE: 502,
        Reason.OVER_QUOTA: 502,
        Reason.OUT_OF_TIME: 504,
        Reason.INCOMPLETE: 502,
        **_CLIENT_ERROR_STATUSES,
    },
}


class CallError(CloverwalkError):
    """A call ends with an answer of this node's own.

    It tells why, and when to come back if that makes sense. It has no status: ``error_response``
    finds that by what is known of the work.
    """

    default_code = "refused"

    def __init__(
        self, reason: Reason, code: str, message: str, retry_after_s: float | None = None
    ) -> None:
        super().__init__(message, code)
        self.reason = reason
        self.wait_s = retry_after_s


@attrs.frozen
class ErrorResponse:
    """What a caller is told at the end of a call. Its status can't be chosen."""

    reason: Reason
    code: str
    message: str
    work: WorkState
    wait_s: float | None

    @property
    def status(self) -> int:
        """The status; one of ``NOT_RUN_STATUSES`` only where the work has not begun."""
        return _STATUS_BY_REASON[self.work][self.reason]

    @property
    def retry_after_s(self) -> float | None:
        """When to come back; nobody is invited to repeat what may have begun."""
        return self.wait_s if self.work is WorkState.NOT_BEGUN else None

    @property
    def body(self) -> bytes:
        """The answer in words."""
        return f"{self.code}: {self.message}\n".encode()


def error_response(error: CallError, work: Work) -> ErrorResponse:
    """Turn an error into the answer that is true of the work.

    >>> full = CallError(Reason.UNAVAILABLE, "crowded", "all slots are taken", 0.3)
    >>> answer = error_response(full, NOTHING_SENT)
    >>> answer.status, answer.retry_after_s
    (503, 0.3)
    """
    return ErrorResponse(error.reason, error.code, str(error), work.state, error.wait_s)
