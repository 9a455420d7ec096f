"""Reasons that end items or remove records, and the evidence that each of them needs.

The caller loses an item that is listed as dead and a record that is removed, so nothing else ends
them: ``JobRun`` ends no item without one of the types below, the sweeper removes no record without
one, and their values are logged. An unknown time or version is never evidence, nor is one whose
uncertainty reaches across the limit.
"""

from typing import ClassVar

import attrs

from cloverwalk.gateway.configuration import Route
from cloverwalk.jobs.records import JobRecord
from cloverwalk.store.clock import StoreTime


@attrs.frozen
class Impossible:
    """A replica's complete, signed answer to the item's run says that it can never be done."""

    reason: ClassVar[str] = "impossible"
    replica: str


@attrs.frozen
class AttemptsUsed:
    """The item has failed as often as its route allows."""

    reason: ClassVar[str] = "attempts_used"
    replica: str
    """Replica of the last failure."""

    failures: int
    max_attempts: int


@attrs.frozen
class PastRetention:
    """The time for which the route keeps items is over. Times are in ms of the store's clock."""

    reason: ClassVar[str] = "past_retention"
    accepted_ms: float
    give_up_ms: float
    store_ms: float
    unsure_ms: float
    """How much later than ``store_ms`` the store's time may be."""


@attrs.frozen
class RouteEnded:
    """The store has confirmed that the route is missing, some time after it was first missed."""

    reason: ClassVar[str] = "route_ended"
    accepted_configuration: int
    """Version whose route accepted the job."""

    configuration: int
    """Version without the route."""

    confirmed_ms: float
    """Time from the first check without the route to the start of the call that confirmed it."""


ItemEnd = Impossible | AttemptsUsed | PastRetention | RouteEnded


def past_retention(
    record: JobRecord, route: Route | None, time: StoreTime | None
) -> PastRetention | None:
    """Return the evidence that a job's items are past their retention, None if there is none.

    The longer of two retentions counts: that of the version that accepted the job, and that of
    ``route`` now. While the store's time is unknown there is no evidence.
    """
    if time is None:
        return None
    kept_ms = record.give_up_ms - record.accepted_ms
    if route is not None:
        kept_ms = max(kept_ms, route.retention_s * 1000)
    give_up_ms = record.accepted_ms + kept_ms
    is_kept_forever = kept_ms <= 0
    if is_kept_forever or time.earliest_ms <= give_up_ms:
        return None
    return PastRetention(record.accepted_ms, give_up_ms, time.earliest_ms, time.uncertainty_ms)


def attempts_used(
    replica: str, failures: int, record: JobRecord, route: Route | None
) -> AttemptsUsed | None:
    """Return the evidence that an item has used its attempts; the larger of two limits counts."""
    max_attempts = record.max_attempts
    if route is not None:
        max_attempts = max(max_attempts, route.max_attempts)
    if failures < max_attempts:
        return None
    return AttemptsUsed(replica, failures, max_attempts)


@attrs.frozen
class StatusExpired:
    """The time for which a job can be read is over. Times are in ms of the store's clock."""

    accepted_ms: float
    kept_ms: float
    store_ms: float


def status_expired(
    record: JobRecord, time: StoreTime | None, kept_ms: float
) -> StatusExpired | None:
    """Return the evidence that a job's rows may be removed, None if there is none.

    There is none while the job is open or the store's time is unknown.
    """
    if record.is_open or time is None or time.earliest_ms <= record.accepted_ms + kept_ms:
        return None
    return StatusExpired(record.accepted_ms, kept_ms, time.earliest_ms)


class RouteMonitor:
    """Detects that the routes of jobs were permanently removed.

    Neither elapsed time nor the configuration of this node proves it: a node that was disconnected,
    was suspended or has just taken the job over may lack a route that exists, and would list the
    job's items as dead. So the store has to confirm the missing route by a call that begins more
    than ``CONFIRMATION_DELAY_MS`` after the first check without it.
    """

    CONFIRMATION_DELAY_MS = 4000.0
    """A route that is being moved may be missing for one version; the next follows in some
    seconds."""

    def __init__(self) -> None:
        self._missing_since_ms: dict[str, float] = {}

    def record_present(self, job_id: str) -> None:
        """Record that a route takes the job's items."""
        self._missing_since_ms.pop(job_id, None)

    def record_missing(
        self, record: JobRecord, configuration: int, now_ms: float, confirmed_at_ms: float
    ) -> RouteEnded | None:
        """Record that no route takes the job's items; return the evidence once there is any.

        ``now_ms`` and ``confirmed_at_ms`` are times of the monotonic clock. ``confirmed_at_ms`` is
        when the last call began by which the store confirmed the configuration.
        """
        since_ms = self._missing_since_ms.setdefault(record.job_id, now_ms)
        confirmed_ms = confirmed_at_ms - since_ms
        if confirmed_ms <= self.CONFIRMATION_DELAY_MS:
            return None
        return RouteEnded(record.configuration, configuration, confirmed_ms)

    def remove(self, job_id: str) -> None:
        """Stop monitoring a job that no longer runs here."""
        self._missing_since_ms.pop(job_id, None)
