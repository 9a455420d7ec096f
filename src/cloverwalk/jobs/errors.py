"""Errors of calls on batch jobs."""

from cloverwalk.core.error_response import CallError, Reason
from cloverwalk.store.types import CommitStatus


class JobError(CallError):
    """A call on a job ends with an error response."""

    default_code = "job_refused"


class InvalidRecordError(JobError):
    """The stored record of a job is invalid."""


def unresolved_error(status: CommitStatus, retry_after_s: float) -> JobError:
    """Return the error of a transaction that was neither committed nor in conflict."""
    if status is CommitStatus.UNKNOWN:
        message = "the store did not answer in time"
        return JobError(Reason.OUT_OF_TIME, "store_unsure", message, retry_after_s)
    message = "the store accepts no writes now"
    return JobError(Reason.UNAVAILABLE, "store_unavailable", message, retry_after_s)
