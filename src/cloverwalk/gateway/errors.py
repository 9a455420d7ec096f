"""Errors of the gateway."""

import curio

from cloverwalk.core.error_response import CallError
from cloverwalk.core.errors import CloverwalkError

TIMED_OUT = "silent"
"""Code of an exchange that timed out."""


RESTARTED = "restarted"
"""Code of an exchange whose replica has restarted."""


class GatewayError(CallError):
    """A request ends with an error response of this node."""

    default_code = "gateway"


class StopInterrupt(curio.TaskCancelled):  # type: ignore[misc]
    """Cancels the handling of a request that a stopping node can't finish; it is answered so."""


class ClientGoneError(CloverwalkError):
    """The client closed its connection or does not read its answer."""

    default_code = "client_gone"


class ReplicaError(CloverwalkError):
    """An exchange with a replica failed; ``may_have_run`` says whether the request can have run.

    For online requests ``RequestProgress`` decides that, from what was sent.
    """

    default_code = "replica_failed"

    def __init__(self, message: str, may_have_run: bool, code: str | None = None) -> None:
        super().__init__(message, code)
        self.may_have_run = may_have_run
