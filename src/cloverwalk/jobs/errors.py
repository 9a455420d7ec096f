"""Errors of the batch side."""

from cloverwalk.core.errors import CloverwalkError


class JobError(CloverwalkError):
    """A call on a job ends with this status.

    Only 429 and 503 promise that nothing of the job runs; 504 says that it is not known.
    """

    default_code = "job_refused"

    def __init__(
        self, status: int, code: str, message: str, retry_after_s: float | None = None
    ) -> None:
        super().__init__(message, code)
        self.status = status
        self.retry_after_s = retry_after_s
