"""Events that clients, replicas and the operator record in the history of a soak.

All times are seconds since the start of the soak, from one monotonic clock. Class and field names
are part of the format of history files.
"""

import enum

from msgspec import Struct


class SoakEvent(Struct, frozen=True, tag=True, kw_only=True, omit_defaults=True):
    """Base of all events; ``at`` is when it was recorded."""

    at: float = 0.0


class RouteFact(Struct, frozen=True, omit_defaults=True):
    """A route as the operator wrote it."""

    name: str
    prefix: str
    services: list[str]
    max_attempts: int
    is_batch: bool = False
    is_public: bool = False
    max_queued_tokens: int = 0


class TenantFact(Struct, frozen=True, omit_defaults=True):
    """A tenant as the operator wrote it; its API keys are used by the soak's clients only."""

    name: str
    keys: list[str]
    rate_per_s: float = 0.0
    burst: float = 0.0


class ConfigurationWritten(SoakEvent, frozen=True):
    """The operator writes a version of the configuration; recorded just before the store has it."""

    version: int
    routes: list[RouteFact]
    tenants: list[TenantFact]


class ZoneDrained(SoakEvent, frozen=True):
    """The store has acknowledged that a zone is drained."""

    zone: str


class ZoneDrainLifted(SoakEvent, frozen=True):
    """The operator lifts the drain of a zone; recorded just before the store has it."""

    zone: str


# --- nodes ---


class NodeStarted(SoakEvent, frozen=True):
    """The process of a node was started."""

    node: str
    pid: int
    build: str = ""
    """The build that it runs, if the soak runs two."""


class NodeSignalled(SoakEvent, frozen=True):
    """A signal was sent to the process of a node."""

    node: str
    pid: int
    signal: str


class NodeGone(SoakEvent, frozen=True):
    """A process exited. ``was_asked``: a signal to end it had been sent before."""

    node: str
    pid: int
    status: int
    was_asked: bool


class ReadinessSeen(SoakEvent, frozen=True):
    """A process answered a readiness probe that was sent at ``asked_at``."""

    node: str
    pid: int
    asked_at: float
    status: int


class VersionTold(SoakEvent, frozen=True):
    """A process reported the version of its configuration."""

    node: str
    pid: int
    version: int


class NodeSettled(SoakEvent, frozen=True):
    """State of a node after all faults ended and it had time to recover."""

    node: str
    is_ready: bool
    is_serving: bool
    version: int


# --- faults ---


class FaultBegan(SoakEvent, frozen=True):
    """A fault began. ``nodes`` are those that it affects; an empty list means all."""

    fault: int
    kind: str
    nodes: list[str] = []


class FaultEnded(SoakEvent, frozen=True):
    """A fault ended."""

    fault: int


# --- online requests ---


class RequestSent(SoakEvent, frozen=True):
    """A client starts to send a request."""

    request: str
    node: str
    method: str
    target: str
    body: str
    """Digest of the body."""

    key: str
    events: int
    """Number of events in a complete answer."""

    may_repeat: bool
    is_part: bool = False
    """Whether only a part of its bytes is sent."""

    is_resumable: bool = False
    """Whether its answer is a stream that may be resumed."""

    resumes: str = ""
    """Id of the request that began the stream that it resumes."""

    is_crowd: bool = False
    """Whether it belongs to a crowd of new connections at one node."""

    guilty_part: str = ""
    """The part of its prompt that crashes replicas; empty if there is none."""

    last_event: int = 0
    """Number of the event after which the stream goes on."""

    deadline_s: float = 3.0
    """How long the client waits for its answer."""

    is_take_up: bool = False
    """Whether it takes a stream up at a node that was out of step while a version joined."""


class AnswerEnd(enum.StrEnum):
    """How the reading of an answer ended."""

    WHOLE = "whole"
    BROKEN = "broken"
    """The connection was closed before the answer was complete, or before it began."""

    INVALID = "invalid"
    """The received bytes are not a valid answer."""

    UNASKED = "unasked"
    """Bytes were received while no request was pending."""


class AnswerSeen(SoakEvent, frozen=True):
    """A client received an answer, or the connection was closed."""

    request: str
    end: AnswerEnd
    status: int = 0
    answered_id: str = ""
    is_signed: bool = False
    texts: list[str] = []
    """Data of the events of an answer with status 200."""

    code: str = ""
    """Error code of a node's error response."""


class ClientLeft(SoakEvent, frozen=True):
    """A client disconnected before the end of the answer."""

    request: str
    is_planned: bool = True
    """False if it disconnected because its deadline had passed."""

    texts: list[str] = []


# --- replicas ---


class ReplicaStarted(SoakEvent, frozen=True):
    """A replica was registered as ready."""

    replica: str
    service: str
    software_version: str
    zone: str = ""


class ReplicaStopped(SoakEvent, frozen=True):
    """A replica drains, restarts or is stopped."""

    replica: str


class CrowdMoved(SoakEvent, frozen=True):
    """From now on most new connections go to a node; to none if it is empty."""

    node: str = ""


class RunBegan(SoakEvent, frozen=True):
    """A replica started to run a request or an item."""

    run: int
    replica: str
    service: str
    request: str
    method: str
    target: str
    body: str
    tenant: str | None
    has_key: bool
    """Whether the API key was passed on to the replica."""

    last_event: int | None = None
    """Number of the event after which it was asked to resume, None for a run from the start."""

    zone: str = ""
    """Zone of the replica."""


class RunEnded(SoakEvent, frozen=True):
    """A run ended; ``end`` is the value of a ``RunEnd``."""

    run: int
    request: str
    end: str


class AllQuiet(SoakEvent, frozen=True):
    """Runs that are still active at replicas after all clients stopped."""

    running: list[int]
