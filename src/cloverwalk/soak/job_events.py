"""Events that clients of jobs record in the history of a soak."""

from msgspec import Struct

from cloverwalk.soak.events import SoakEvent


class ItemFact(Struct, frozen=True):
    """An item as it was submitted."""

    item: str
    target: str
    body: str
    tokens: int
    events: int


class JobSent(SoakEvent, frozen=True):
    """A client starts to submit a job; the same job may be submitted again."""

    job: str
    route: str
    tenant: str
    key: str
    items: list[ItemFact]
    max_attempts: int
    retention_s: float
    max_queued_tokens: int


class JobAnswered(SoakEvent, frozen=True):
    """The answer to one submission; status 0 means that there was none."""

    job: str
    status: int


class ResultFact(Struct, frozen=True):
    """A result in the list of a job."""

    item: str
    state: str
    text: str


class JobRead(SoakEvent, frozen=True):
    """A client read the results of a job; there are results with status 200 only."""

    job: str
    node: str
    position: int
    status: int
    total: int = 0
    results: list[ResultFact] = []
    asked_at: float = 0.0
    """When the client began to send the call."""

    is_last: bool = False
    """Whether it was read after all faults ended and the job had time to complete."""


class ItemRead(SoakEvent, frozen=True):
    """A client read the body of an item."""

    job: str
    item: str
    status: int
    body: str = ""


class JobEndSent(SoakEvent, frozen=True):
    """A client starts to send a request to end a job."""

    job: str


class JobEndAnswered(SoakEvent, frozen=True):
    """The answer to a request to end a job; status 0 means that there was none."""

    job: str
    status: int
