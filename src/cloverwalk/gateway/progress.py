"""What has happened to an online request so far."""

from msgspec import Struct, field

from cloverwalk.core.error_response import WorkState
from cloverwalk.fleet.in_flight import InFlightEntry
from cloverwalk.gateway.configuration import Route
from cloverwalk.gateway.crash_detector import Delivery


class RequestProgress(Struct):
    """What has happened to a request so far.

    The one place that knows whether a replica can have begun: attempts are noted here as they
    are sent, and a failed one counts as run unless its replica has proved that it was not.
    """

    route: Route
    service: str
    deadline: float
    last_event_id: int | None
    tried: list[str] = field(default_factory=list)
    """Replicas that may have run the request."""

    refused: list[str] = field(default_factory=list)
    """Replicas that it was not sent to in the end, or that proved that they did not run it."""

    has_token: bool = False
    """Whether a token of the tenant's quota was taken for it."""

    is_sent: bool = False
    """Whether bytes went to a replica whose answer is not known yet."""

    work: InFlightEntry | None = None
    """The present attempt, as the load of its replica counts it."""

    sent_at: float | None = None
    """When the present attempt began (steady clock, seconds)."""

    expected_wait_ms: float = 0.0
    """How long the present attempt was expected to wait for a slot, before any correction."""

    was_queued: bool = False
    """Whether it was held for a slot before the present attempt."""

    delivery: Delivery | None = None
    """How the present attempt was sent, once it was."""

    is_crash_suspect: bool = False
    """Whether replicas have ended under its content."""

    contained: str | None = None
    """Its content, where it is sent to no replica since replicas have ended under it."""

    first_event_at: float | None = None
    events: int = 0
    """Events of the answer that were passed on."""

    was_client_slow: bool = False
    """Whether the client did not take some of them at once."""

    last_replica: str = ""
    last_failure: str = ""

    # --- attempts ---

    def mark_sending(self) -> None:
        """The next byte goes to a replica."""
        self.is_sent = True

    def mark_not_run(self) -> None:
        """The replica's answer proves that it has not run the present attempt."""
        self.is_sent = False

    def record_failed_attempt(self, replica_id: str, code: str) -> None:
        """The present attempt failed: whether it can have run follows from what was sent."""
        replica_ids = self.tried if self.is_sent else self.refused
        replica_ids.append(replica_id)
        self.is_sent = False
        self.last_failure = code

    # --- what follows ---

    @property
    def may_have_run(self) -> bool:
        """Whether any replica can have run the request."""
        return self.is_sent or bool(self.tried)

    @property
    def state(self) -> WorkState:
        """What is known of the work, for the answer that ends the request."""
        return WorkState.MAY_HAVE_BEGUN if self.may_have_run else WorkState.NOT_BEGUN

    @property
    def has_attempt_left(self) -> bool:
        """Whether another replica may run the request after the present one."""
        return len(self.tried) + 1 < self.route.max_attempts
