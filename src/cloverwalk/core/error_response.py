"""Error responses of a node, and whether they promise that the work was not started.

The statuses 408, 421, 429 and 503 promise that the work has not run and never will, so the caller
may safely send it again. An error only carries the reason why a call ends; the status is derived
here from the state of the work. That way no code that raises an error can promise something untrue.
"""

from enum import Enum
from typing import Protocol

import attrs

from cloverwalk.core.errors import CloverwalkError

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that promise the caller that its request has not run and never will."""


class WorkState(Enum):
    """What is known about the work of a call."""

    NOT_BEGUN = "not_begun"
    """Nothing was sent, or everything that was sent is proven not to have been started."""

    MAY_HAVE_BEGUN = "may_have_begun"


class Work(Protocol):
    """Anything that keeps track of what was sent for a call."""

    @property
    def state(self) -> WorkState:
        """What is known about the work now."""
        ...


class NothingSent:
    """The work of a call for which nothing was sent."""

    @property
    def state(self) -> WorkState:
        """Always ``NOT_BEGUN``."""
        return WorkState.NOT_BEGUN


NOTHING_SENT = NothingSent()


class Reason(Enum):
    """Why a call ends with an error response of this node."""

    UNAVAILABLE = "unavailable"
    """No node or replica can do the work now."""

    OVER_QUOTA = "over_quota"
    """The tenant exceeded its quota."""

    OUT_OF_TIME = "out_of_time"
    """The deadline of the call passed."""

    INCOMPLETE = "incomplete"
    """The request was not received completely in time."""

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
    """A call ends with an error response of this node.

    The error has a reason and, where a retry makes sense, a retry-after time. It has no status:
    ``error_response`` derives that from the state of the work.
    """

    default_code = "refused"

    def __init__(
        self, reason: Reason, code: str, message: str, retry_after_s: float | None = None
    ) -> None:
        super().__init__(message, code)
        self.reason = reason
        self.retry_after_s = retry_after_s


@attrs.frozen
class ErrorResponse:
    """The error response of a call. The status is derived and can't be set."""

    reason: Reason
    code: str
    message: str
    work: WorkState
    error_retry_after_s: float | None
    """The retry-after time of the error; sent only if the work has not begun."""

    @property
    def status(self) -> int:
        """The HTTP status; one of ``NOT_RUN_STATUSES`` only if the work has not begun."""
        return _STATUS_BY_REASON[self.work][self.reason]

    @property
    def retry_after_s(self) -> float | None:
        """The retry-after time; None if the work may have begun and must not be repeated."""
        return self.error_retry_after_s if self.work is WorkState.NOT_BEGUN else None

    @property
    def body(self) -> bytes:
        """The body of the response, as text."""
        return f"{self.code}: {self.message}\n".encode()


def error_response(error: CallError, work: Work) -> ErrorResponse:
    """Return the response to an error, with the status that fits the state of the work.

    >>> no_slot = CallError(Reason.UNAVAILABLE, "crowded", "all slots are taken", 0.3)
    >>> response = error_response(no_slot, NOTHING_SENT)
    >>> response.status, response.retry_after_s
    (503, 0.3)
    """
    return ErrorResponse(error.reason, error.code, str(error), work.state, error.retry_after_s)
