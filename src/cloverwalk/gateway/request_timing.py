"""What a node tells the coordinator of a request that was answered."""

from cloverwalk.fleet.messages import RequestTiming
from cloverwalk.gateway.messages import ReplicaLoad
from cloverwalk.gateway.progress import RequestProgress


def request_timing(
    progress: RequestProgress, load: ReplicaLoad | None, tenant: str, now: float
) -> RequestTiming | None:
    """Return the times of a request that ends now; None unless its first attempt was answered.

    Events that the client took late say nothing of the replica, so they are not told.
    """
    if progress.sent_at is None or progress.tried or progress.refused:
        return None
    answer_began_at = progress.first_event_at or now
    slot_taken_at = progress.first_event_at or progress.sent_at
    return RequestTiming(
        progress.route.name,
        progress.last_replica,
        round((answer_began_at - progress.sent_at) * 1000),
        round((now - slot_taken_at) * 1000),
        round(progress.expected_wait_ms),
        0 if progress.was_client_slow else progress.events,
        slowdown_percent(load),
        tenant,
    )


def slowdown_percent(load: ReplicaLoad | None) -> int:
    """Return what a replica told of its pace, 100 for its usual one; 0: nothing."""
    if load is None or load.slowdown is None:
        return 0
    return round(load.slowdown * 100)
