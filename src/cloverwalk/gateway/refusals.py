"""Error responses to online requests, with the time after which the caller may retry."""

from cloverwalk.core.error_response import Reason
from cloverwalk.fleet.messages import Placement
from cloverwalk.gateway.errors import GatewayError
from cloverwalk.telemetry.tenant_metrics import TenantOutcome

RETRY_AFTER_S = 0.2
DRAINED_RETRY_AFTER_S = 1.0
ELSEWHERE_RETRY_AFTER_S = 0.02
"""A client that retries reaches another node, which needs no waiting time."""

OVER_QUOTA = TenantOutcome.OVER_QUOTA
CONTAINED = "request_contained"
OVER_SHARE = "over_share"
STOPPING = "stopping"
NO_TIME = "no_time_left"
UNKNOWN_VERSION = "software_version_unknown"
NO_REPLICA_OF_VERSION = "no_replica_of_version"


def stopping() -> GatewayError:
    """Return the error response of a node that stops before the request could end."""
    message = "this node is stopping"
    return GatewayError(Reason.UNAVAILABLE, STOPPING, message, ELSEWHERE_RETRY_AFTER_S)


def out_of_time() -> GatewayError:
    """Return the error response to a request whose deadline has passed."""
    return GatewayError(
        Reason.OUT_OF_TIME, "deadline_passed", "the deadline of the request has passed", 0.0
    )


def attempts_used(last_failure: str) -> GatewayError:
    """Return the error response to a request that has used all its attempts."""
    return GatewayError(Reason.UNAVAILABLE, "attempts_used", last_failure)


def overloaded(retry_after_s: float) -> GatewayError:
    """Return the error response to a request that has to retry because of an overload."""
    message = "all slots are in use by online requests"
    return GatewayError(Reason.UNAVAILABLE, "crowded", message, retry_after_s)


def no_free_slot(placement: Placement) -> GatewayError:
    """Return the error response to a request that got no slot, with the reason."""
    if placement.retry_after_s <= 0:
        message = "no slot becomes free within the time that the caller waits"
        return GatewayError(Reason.UNAVAILABLE, NO_TIME, message)
    if placement.ahead_ms > 0:
        message = f"the tenant has used {placement.ahead_ms} ms more slot time than others"
        return GatewayError(Reason.UNAVAILABLE, OVER_SHARE, message, placement.retry_after_s)
    return overloaded(placement.retry_after_s)


def no_replica(code: str, last_failure: str) -> GatewayError:
    """Return the error response if no replica accepts a request."""
    message = last_failure or "no replica accepts the request now"
    return GatewayError(Reason.UNAVAILABLE, code, message, RETRY_AFTER_S)


def zones_drained() -> GatewayError:
    """Return the error response if the zones of all replicas that could serve are drained."""
    message = "the zones of all replicas of the service are drained"
    return GatewayError(Reason.UNAVAILABLE, "zones_drained", message, DRAINED_RETRY_AFTER_S)


def unknown_software_version() -> GatewayError:
    """Return the error response to a resumption if no node knows where its stream began."""
    message = "the software version that began the stream is not known"
    return GatewayError(Reason.UNAVAILABLE, UNKNOWN_VERSION, message, RETRY_AFTER_S)


def no_replica_of_version() -> GatewayError:
    """Return the error response to a resumption if no replica of its version can take it.

    It names no time to retry after: a version that is being replaced does not come back.
    """
    message = "no replica of the software version that began the stream can take it"
    return GatewayError(Reason.UNAVAILABLE, NO_REPLICA_OF_VERSION, message)


def over_quota(retry_after_s: float) -> GatewayError:
    """Return the error response to a tenant that has used up its quota."""
    message = "the tenant has used up its quota"
    return GatewayError(Reason.OVER_QUOTA, OVER_QUOTA, message, retry_after_s)


def quota_unknown() -> GatewayError:
    """Return the error response of a node that can't find out whether a quota allows a request."""
    message = "no coordinator answered for the tenant's quota"
    return GatewayError(Reason.UNAVAILABLE, "quota_unknown", message, ELSEWHERE_RETRY_AFTER_S)


def too_large() -> GatewayError:
    """Return the error response to a request that fits into no replica's memory.

    It names no time to retry after, since a retry would not fit either.
    """
    message = "no replica has the memory for the prompt and the maximum output"
    return GatewayError(Reason.UNAVAILABLE, "too_large", message)


def contained(content: str, crashes: int) -> GatewayError:
    """Return the error response to a contained request, without a time to retry after."""
    message = f"{crashes} replicas ended while they ran this request ({content})"
    return GatewayError(Reason.UNAVAILABLE, CONTAINED, message)
