"""The timing of an answered request, as a node reports it to the coordinator."""

from cloverwalk.fleet.messages import RequestTiming
from cloverwalk.gateway.messages import ReplicaLoad
from cloverwalk.gateway.progress import RequestProgress


def request_timing(
    progress: RequestProgress, load: ReplicaLoad | None, tenant: str, now: float
) -> RequestTiming | None:
    """Return the timing of a request that ends now; None unless its first attempt was answered.

    Events of a slow client say nothing about the replica, so they are not reported.
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
    """Return the slowdown that a replica reported, in percent of the baseline; 0 if unknown."""
    if load is None or load.slowdown is None:
        return 0
    return round(load.slowdown * 100)
