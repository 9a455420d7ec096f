"""What has happened to an online request so far."""

from msgspec import Struct

from cloverwalk.fleet.load import Work
from cloverwalk.gateway.configuration import Route


class RequestProgress(Struct):
    """What has happened to a request so far."""

    route: Route
    service: str
    deadline: float
    tried: list[str]
    """Replicas that may have run the request."""

    refused: list[str]
    """Replicas that said that they did not."""

    last_event_id: int | None
    has_token: bool = False
    """Whether a token of the tenant's quota was taken for it."""

    is_sent: bool = False
    """Whether bytes went to a replica whose answer is not known yet."""

    work: Work | None = None
    """The present attempt, as the load of its replica counts it."""

    sent_at: float | None = None
    """When the present attempt began (steady clock, seconds)."""

    expected_wait_ms: float = 0.0
    """How long the present attempt was expected to wait for a slot, before any correction."""

    first_event_at: float | None = None
    last_replica: str = ""
    last_failure: str = ""

    @property
    def may_have_run(self) -> bool:
        """Whether any replica can have run the request."""
        return self.is_sent or bool(self.tried)

    @property
    def has_attempt_left(self) -> bool:
        """Whether another replica may run the request after the present one."""
        return len(self.tried) + 1 < self.route.max_attempts
