"""What may end work for good, and the evidence that each reason needs.

An item that is listed as dead is lost for its caller, and so is a record that is removed. So
nothing else ends them: `JobRun` takes no item's end without one of the types below, the sweeper
removes no record without one, and their values are logged. Evidence is never made from a time or a
version that is not known, nor from one that may lie on the wrong side of the limit.
"""

from typing import ClassVar

import attrs

from cloverwalk.jobs.records import JobRecord
from cloverwalk.store.clock import StoreTime


@attrs.frozen
class Impossible:
    """A replica answered that the item can never be done."""

    reason: ClassVar[str] = "impossible"
    replica: str
    status: int


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
    """A configuration newer than the one that the job was taken under lacks its route."""

    reason: ClassVar[str] = "route_ended"
    accepted_configuration: int
    """Version whose route took the job."""

    configuration: int
    """Version that lacks the route."""

    missing_ms: float


ItemEnd = Impossible | AttemptsUsed | PastRetention | RouteEnded


def past_retention(record: JobRecord, time: StoreTime | None) -> PastRetention | None:
    """Return the evidence that a job's items may be given up; none while the time is unknown."""
    if time is None or time.earliest_ms <= record.give_up_ms:
        return None
    return PastRetention(record.accepted_ms, record.give_up_ms, time.earliest_ms, time.width_ms)


@attrs.frozen
class StatusPast:
    """Nobody may ask for the job any more. All times are of the store's clock, ms."""

    accepted_ms: float
    kept_ms: float
    store_ms: float


def status_past(record: JobRecord, time: StoreTime | None, kept_ms: float) -> StatusPast | None:
    """Return the evidence that a job's rows may go; none while it is open or the time unknown."""
    if record.is_open or time is None or time.earliest_ms <= record.accepted_ms + kept_ms:
        return None
    return StatusPast(record.accepted_ms, kept_ms, time.earliest_ms)


class RouteWatch:
    """Notices that the routes of jobs are gone for good.

    A node that is cut off may run a job under a configuration older than the one that has its
    route. That tells nothing: such a node would list the items of a job that it has just taken over
    as dead.
    """

    GONE_AFTER_MS = 4000.0
    """A route that is moved may be missing for one version; nodes learn of the next within the
    bound of a change in force, 2 to 4 s by the platform's settings."""

    def __init__(self) -> None:
        self._missing_since_ms: dict[str, float] = {}

    def note_present(self, job_id: str) -> None:
        """A route takes the job's items."""
        self._missing_since_ms.pop(job_id, None)

    def note_missing(
        self, record: JobRecord, configuration: int, now_ms: float
    ) -> RouteEnded | None:
        """No route takes the job's items at ``now_ms`` (steady clock).

        Return the evidence once that has lasted.
        """
        if configuration <= record.configuration:
            self.note_present(record.job_id)
            return None
        missing_ms = now_ms - self._missing_since_ms.setdefault(record.job_id, now_ms)
        if missing_ms <= self.GONE_AFTER_MS:
            return None
        return RouteEnded(record.configuration, configuration, missing_ms)

    def forget(self, job_id: str) -> None:
        """The job is not run here any more."""
        self._missing_since_ms.pop(job_id, None)
