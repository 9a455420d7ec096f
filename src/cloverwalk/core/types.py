"""Types that all layers share: outcomes, work, results and stored rows."""

from enum import StrEnum

from msgspec import Struct


class Outcome(StrEnum):
    """How a request or an item ended. The type is closed; see docs/API.md."""

    COMPLETED = "completed"
    CANCELLED = "cancelled"
    FAILED = "failed"
    NOT_RUN = "not_run"  # certain: never sent to an engine, or refused before the start
    OUTCOME_UNKNOWN = "outcome_unknown"


class Refusal(StrEnum):
    """Why a node or a replica owner refused work. All reasons imply ``not_run``."""

    BUSY = "busy"
    LEAVING = "leaving"
    NOT_OWNER = "not_owner"
    STALE_EPOCH = "stale_epoch"
    WRONG_MODEL = "wrong_model"
    CANCELLED = "cancelled"
    UNREACHABLE = "unreachable"


class Priority:
    """Engine priorities: a lower number is served first."""

    ONLINE = 0
    BATCH = 10


class Work(Struct, frozen=True):
    """One piece of inference for an engine.

    ``resume_text`` is output of an earlier attempt: the engine continues after it.
    """

    request_id: str
    attempt: int
    model: str
    prompt: str
    max_tokens: int
    priority: int = Priority.ONLINE
    resume_text: str = ""
    stream: bool = True


class Result(Struct, frozen=True):
    """The recorded end of a request; the first recorded result is final.

    ``fingerprint`` identifies the request's content, so that one key is not used for two.
    """

    request_id: str
    outcome: Outcome
    text: str = ""
    tokens: int = 0
    code: str = ""
    model: str = ""
    fingerprint: str = ""


class SessionRow(Struct, frozen=True):
    """A caller's session, as stored. It lasts until it is closed."""

    session_id: str
    tenant: str
    name: str
    closed: bool = False


class JobState(StrEnum):
    """States of a batch job; the last two are final."""

    RUNNING = "running"
    CANCELLED = "cancelled"
    COMPLETED = "completed"


class JobRow(Struct, frozen=True):
    """A batch job, as stored. After its submission, only written under its shard's epoch."""

    job_id: str
    session_id: str
    kind: str
    model: str
    item_count: int
    part_size: int
    body_hash: str
    submitted_at: float
    deadline_at: float | None = None
    state: JobState = JobState.RUNNING
    done_count: int = 0


class SegmentRow(Struct, frozen=True):
    """A committed group of item results: the indexes and the object that holds them."""

    object_name: str
    indexes: list[int]


class BatchItem(Struct, frozen=True):
    """One line of a batch job."""

    custom_id: str
    prompt: str
    max_tokens: int


class ItemResult(Struct, frozen=True):
    """One line of a job's results."""

    index: int
    custom_id: str
    outcome: Outcome
    text: str
    tokens: int


class ClaimRow(Struct, frozen=True):
    """A committed right to start an at-most-once request, and where it was sent."""

    request_id: str
    node: str
    incarnation: str
    replica: str


class LeaseRow(Struct, frozen=True):
    """Ownership of a replica or job shard. An empty owner means it was released."""

    owner: str
    epoch: int


class LivenessRow(Struct, frozen=True):
    """The single row that a node renews; all its leases are valid only as long as this row."""

    node: str
    incarnation: str
    zone: str
    address: str


class Machine(Struct, frozen=True):
    """An entry of the platform's machine list, which lags behind the real state."""

    machine_id: str
    zone: str
    address: str
    model: str
    leaving: bool = False
