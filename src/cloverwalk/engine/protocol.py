"""Bodies of the engine's HTTP interface, shared by the client and the stand-in."""

from msgspec import Struct

from cloverwalk.core.types import Work


class StartBody(Struct, frozen=True):
    """POST /v1/completions. Answered by server-sent events, or 409 with a reason."""

    epoch: int
    work: Work


class RefusalBody(Struct, frozen=True):
    """Why work was not started."""

    reason: str


class CancelBody(Struct, frozen=True):
    """POST /v1/cancel."""

    request_id: str
    attempt: int


class StreamBody(Struct, frozen=True):
    """One server-sent event. ``cut`` names why a stream ended early, with all its output."""

    first: int
    tokens: int
    text: str
    finished: bool
    step_s: float = 0.0
    cut: str = ""


class OrderBody(Struct, frozen=True):
    """POST /v1/orders: a fenced order."""

    epoch: int
    order: str  # adopt, load_model, leave
    model: str = ""


class OrderAnswer(Struct, frozen=True):
    """The answer to an order."""

    accepted: bool
    slots: int
    model: str


class StatusBody(Struct, frozen=True):
    """GET /v1/requests/{id}."""

    state: str
    text: str = ""
    tokens: int = 0


class LoadBody(Struct, frozen=True):
    """GET /v1/load."""

    running: int
    waiting: int
    step_s: float
    leaving: bool


class CacheEventBody(Struct, frozen=True):
    """One line of GET /v1/cache_events."""

    number: int
    added: list[str]
    removed: list[str]
