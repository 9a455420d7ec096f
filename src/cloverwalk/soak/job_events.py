"""What clients of jobs saw, as typed events."""

from msgspec import Struct

from cloverwalk.soak.events import SoakEvent


class ItemFact(Struct, frozen=True):
    """An item as it was handed in."""

    item: str
    target: str
    body: str
    tokens: int
    events: int


class JobSent(SoakEvent, frozen=True):
    """A client hands a job in from now on; the same job may be sent again."""

    job: str
    route: str
    tenant: str
    key: str
    items: list[ItemFact]
    max_attempts: int
    retention_s: float
    max_queued_tokens: int


class JobAnswered(SoakEvent, frozen=True):
    """The answer to one hand-in; status 0 is none."""

    job: str
    status: int


class ResultFact(Struct, frozen=True):
    """One listed result."""

    item: str
    state: str
    text: str


class JobRead(SoakEvent, frozen=True):
    """A read of a job; results stand there for status 200 only."""

    job: str
    node: str
    position: int
    status: int
    total: int = 0
    results: list[ResultFact] = []
    is_last: bool = False
    """Read after all faults, when the job had had its time."""


class ItemRead(SoakEvent, frozen=True):
    """The body of an item was asked for."""

    job: str
    item: str
    status: int
    body: str = ""


class JobEndSent(SoakEvent, frozen=True):
    """A client asks for a job's end."""

    job: str


class JobEndAnswered(SoakEvent, frozen=True):
    """The answer to that; status 0 is none."""

    job: str
    status: int
