"""Why an online request ends with an answer of this node's own, and when its caller may return."""

from cloverwalk.core.error_response import Reason
from cloverwalk.fleet.messages import Placement
from cloverwalk.gateway.errors import GatewayError
from cloverwalk.telemetry.tenant_metrics import TenantOutcome

RETRY_AFTER_S = 0.2
ELSEWHERE_RETRY_AFTER_S = 0.02
"""A client that comes back reaches another node, which need not be waited for."""

OVER_QUOTA = TenantOutcome.OVER_QUOTA
CONTAINED = "request_contained"
OVER_SHARE = "over_share"
NO_TIME = "no_time_left"


def out_of_time() -> GatewayError:
    """Return the refusal of a request whose time is over."""
    return GatewayError(Reason.OUT_OF_TIME, "deadline_passed", "the time for it is over", 0.0)


def attempts_used(last_failure: str) -> GatewayError:
    """Return the answer to a request that may go to no further replica."""
    return GatewayError(Reason.UNAVAILABLE, "attempts_used", last_failure)


def overloaded(retry_after_s: float) -> GatewayError:
    """Return the refusal of a request that has to come back."""
    message = "all slots are taken by online requests"
    return GatewayError(Reason.UNAVAILABLE, "crowded", message, retry_after_s)


def no_free_slot(placement: Placement) -> GatewayError:
    """Return the refusal of a request that found too little room, and why it was this one."""
    if placement.retry_after_s <= 0:
        message = "all slots are taken for longer than the caller waits"
        return GatewayError(Reason.UNAVAILABLE, NO_TIME, message)
    if placement.ahead_ms > 0:
        message = f"the tenant has had {placement.ahead_ms} ms of slot time more than others"
        return GatewayError(Reason.UNAVAILABLE, OVER_SHARE, message, placement.retry_after_s)
    return overloaded(placement.retry_after_s)


def no_replica(code: str, last_failure: str) -> GatewayError:
    """Return the refusal where no replica takes a request."""
    message = last_failure or "no replica takes the request now"
    return GatewayError(Reason.UNAVAILABLE, code, message, RETRY_AFTER_S)


def over_quota(retry_after_s: float) -> GatewayError:
    """Return the refusal of a tenant that has sent what it may."""
    message = "the tenant has sent what it may"
    return GatewayError(Reason.OVER_QUOTA, OVER_QUOTA, message, retry_after_s)


def quota_unknown() -> GatewayError:
    """Return the refusal of a node that can't tell whether a tenant may send more."""
    message = "nobody who counts the tenant's requests answers this node"
    return GatewayError(Reason.UNAVAILABLE, "quota_unknown", message, ELSEWHERE_RETRY_AFTER_S)


def too_large() -> GatewayError:
    """Return the refusal of a request that no replica has the memory for; it is so for good."""
    message = "no replica has the memory for its prompt and the most that may come out"
    return GatewayError(Reason.UNAVAILABLE, "too_large", message)


def contained(content: str, crashes: int) -> GatewayError:
    """Return the refusal of a request that ends replicas; nobody should come back with it."""
    message = f"{crashes} servers ended while they ran this request ({content})"
    return GatewayError(Reason.UNAVAILABLE, CONTAINED, message)
