"""The progress of an online request."""

from msgspec import Struct, field

from cloverwalk.core.error_response import WorkState
from cloverwalk.fleet.in_flight import InFlightEntry
from cloverwalk.gateway.configuration import Route, RouteKind
from cloverwalk.gateway.crash_detector import Delivery
from cloverwalk.gateway.crash_keys import RequestKeys
from cloverwalk.gateway.replicas import Replica
from cloverwalk.gateway.software_versions import Software


class RequestProgress(Struct):
    """What has happened to a request so far.

    This is the one place that knows whether a replica can have started the request. Attempts are
    marked before they are sent, and a failed one counts as run unless the replica proved that it
    was not.
    """

    route: Route
    service: str
    deadline: float
    last_event_id: int | None
    tried: list[str] = field(default_factory=list)
    """Replicas that may have run the request."""

    refused: list[str] = field(default_factory=list)
    """Replicas that it was never sent to, or that proved that they did not run it."""

    has_token: bool = False
    """Whether it has a token of the tenant's quota."""

    is_sent: bool = False
    """Whether bytes were sent to a replica whose answer is not known yet."""

    warmup_token_granted_at: float | None = None
    """Earliest time at which the warm-up token of the current attempt can have been granted; None
    if it has none."""

    work: InFlightEntry | None = None
    """The current attempt, as counted in the load of its replica."""

    sent_at: float | None = None
    """When the current attempt began (monotonic clock, seconds)."""

    expected_wait_ms: float = 0.0
    """Expected wait of the current attempt for a slot, before any correction."""

    was_queued: bool = False
    """Whether it was queued for a slot before the current attempt."""

    delivery: Delivery | None = None
    """How the current attempt was sent, once it was."""

    crash_keys: RequestKeys | None = None
    """What identifies it in crash records; None until it is needed."""

    is_crash_suspect: bool = False
    """Whether replicas have ended under its content or a part of its prompt."""

    is_trial: bool = False
    """Whether it is contained and its next attempt is a trial that is due."""

    contained: str | None = None
    """Key of its content, or of a part of its prompt, if that is contained, else None."""

    contained_part: str | None = None
    """Id of that part; None if its content is contained."""

    first_event_at: float | None = None
    events: int = 0
    """Events of the answer that were relayed."""

    was_client_slow: bool = False
    """Whether the client did not read some events at once."""

    last_replica: str = ""
    last_failure: str = ""

    stream: str = ""
    """Key of the stream that it begins or resumes; empty if its answer is no stream."""

    software: Software | None = None
    """Software that began the stream, as other nodes or the store know it."""

    version_proof: str = ""
    """From what that is known, for logs."""

    registered_version: str = ""
    """Registered software version of the chosen replica, as the placement told it."""

    has_asked_for_software: bool = False
    attempt_replica: Replica | None = None
    """Entry of the replica of the current attempt, as of its sending."""

    attempt_opened_at: float = 0.0
    """When the connection of the current attempt was opened (monotonic clock, seconds)."""

    # --- attempts ---

    def mark_sending(self) -> None:
        """Mark the current attempt as sent; called before its first byte."""
        self.is_sent = True

    def mark_not_run(self) -> None:
        """Mark the current attempt as not run, which the replica's answer proves."""
        self.is_sent = False

    def record_failed_attempt(self, replica_id: str, code: str) -> None:
        """Record a failed attempt; whether it may have run follows from what was sent."""
        replica_ids = self.tried if self.is_sent else self.refused
        replica_ids.append(replica_id)
        self.is_sent = False
        self.last_failure = code

    # --- conclusions ---

    @property
    def may_have_run(self) -> bool:
        """Whether any replica may have run the request."""
        return self.is_sent or bool(self.tried)

    @property
    def state(self) -> WorkState:
        """State of the work, for the answer that ends the request."""
        return WorkState.MAY_HAVE_BEGUN if self.may_have_run else WorkState.NOT_BEGUN

    @property
    def is_resumption(self) -> bool:
        """Whether the next attempt resumes a stream after events that its client has."""
        return self.route.kind is RouteKind.STREAM and self.last_event_id is not None

    @property
    def has_attempt_left(self) -> bool:
        """Whether another replica may run the request after the current attempt."""
        return len(self.tried) + 1 < self.route.max_attempts
