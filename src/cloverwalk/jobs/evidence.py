"""What may end work for good, and the evidence that each reason needs.

An item that is listed as dead is lost for its caller, and so is a record that is removed. So
nothing else ends them: `JobRun` takes no item's end without one of the types below, the sweeper
removes no record without one, and their values are logged. Evidence is never made from a time or a
version that is not known, nor from one that may lie on the wrong side of the limit.
"""

from typing import ClassVar

import attrs

from cloverwalk.gateway.configuration import Route
from cloverwalk.jobs.records import JobRecord
from cloverwalk.store.clock import StoreTime


@attrs.frozen
class Impossible:
    """A replica answered this item's run, whole and signed, that it can never be done."""

    reason: ClassVar[str] = "impossible"
    replica: str


@attrs.frozen
class AttemptsUsed:
    """As many replicas as the route allows answered that the item failed."""

    reason: ClassVar[str] = "attempts_used"
    replica: str
    """The last of them."""

    failures: int
    max_attempts: int


@attrs.frozen
class PastRetention:
    """The time for which the route keeps items is over. All times are of the store's clock, ms."""

    reason: ClassVar[str] = "past_retention"
    accepted_ms: float
    give_up_ms: float
    store_ms: float
    unsure_ms: float
    """How much more the store's time may be than ``store_ms``."""


@attrs.frozen
class RouteEnded:
    """The store has told a configuration without the job's route, some time after it was missed."""

    reason: ClassVar[str] = "route_ended"
    accepted_configuration: int
    """Version whose route took the job."""

    configuration: int
    """Version that lacks the route."""

    confirmed_ms: float
    """From the first look without the route to the call by which the store confirmed that."""


ItemEnd = Impossible | AttemptsUsed | PastRetention | RouteEnded


def past_retention(
    record: JobRecord, route: Route | None, time: StoreTime | None
) -> PastRetention | None:
    """Return the evidence that a job's items may be given up; none while the time is unknown.

    The longer of two retentions counts: of the version that took the job, and of ``route`` now.
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
    """Return the evidence that an item has failed as often as it may, by either version."""
    max_attempts = record.max_attempts
    if route is not None:
        max_attempts = max(max_attempts, route.max_attempts)
    if failures < max_attempts:
        return None
    return AttemptsUsed(replica, failures, max_attempts)


@attrs.frozen
class StatusExpired:
    """Nobody may ask for the job any more. All times are of the store's clock, ms."""

    accepted_ms: float
    kept_ms: float
    store_ms: float


def status_expired(
    record: JobRecord, time: StoreTime | None, kept_ms: float
) -> StatusExpired | None:
    """Return the evidence that a job's rows may go; none while it is open or the time unknown."""
    if record.is_open or time is None or time.earliest_ms <= record.accepted_ms + kept_ms:
        return None
    return StatusExpired(record.accepted_ms, kept_ms, time.earliest_ms)


class RouteMonitor:
    """Notices that the routes of jobs are gone for good.

    Time alone tells nothing, nor does the configuration that a node has: one that is cut off, stood
    still or has just taken a job over may lack a route that is there, and would list the job's
    items as dead. So the store must have been asked again ``CONFIRMATION_DELAY_MS`` after the first look.
    """

    CONFIRMATION_DELAY_MS = 4000.0
    """A route that is moved may be missing for one version; the next comes within some seconds
    (platform's settings: 2 to 4 s until a change is in force)."""

    def __init__(self) -> None:
        self._missing_since_ms: dict[str, float] = {}

    def record_present(self, job_id: str) -> None:
        """A route takes the job's items."""
        self._missing_since_ms.pop(job_id, None)

    def record_missing(
        self, record: JobRecord, configuration: int, now_ms: float, confirmed_at_ms: float
    ) -> RouteEnded | None:
        """No route takes the job's items at ``now_ms`` (steady clock).

        ``confirmed_at_ms`` is when the last call began by which the store told the configuration.
        Return the evidence once there is any.
        """
        since_ms = self._missing_since_ms.setdefault(record.job_id, now_ms)
        confirmed_ms = confirmed_at_ms - since_ms
        if confirmed_ms <= self.CONFIRMATION_DELAY_MS:
            return None
        return RouteEnded(record.configuration, configuration, confirmed_ms)

    def remove(self, job_id: str) -> None:
        """The job is not run here any more."""
        self._missing_since_ms.pop(job_id, None)
