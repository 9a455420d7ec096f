"""Typed inputs of a node (events) and its outputs (instructions).

A :class:`cloverwalk.node.node.Node` is a state machine: ``handle(event, now)`` returns
instructions. The daemon executes them with sockets, the simulation with a seeded network;
both run the same decision code.
"""

from enum import StrEnum

from msgspec import Struct

from cloverwalk.core.peer_messages import PeerMessage
from cloverwalk.core.store_types import CommitReply, ObjectReply, ReadReply, Transaction
from cloverwalk.core.types import Machine, Work


class HttpRequest(Struct, frozen=True):
    """A complete HTTP request. Header names are lower case."""

    connection: int
    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


# --- events ---


class ClientRequest(Struct, frozen=True):
    """A caller or operator sent a request."""

    request: HttpRequest


class ClientGone(Struct, frozen=True):
    """The client closed the connection of an unanswered request."""

    connection: int


class PeerReceived(Struct, frozen=True):
    """A message from another node."""

    sender: str
    address: str
    message: PeerMessage


class PeerUnreachable(Struct, frozen=True):
    """A message to a peer could not be delivered, or its connection was lost."""

    node: str


class EngineChunk(Struct, frozen=True):
    """Output of an engine. ``first`` is the token count before it; ``finished`` marks the last."""

    replica: str
    request_id: str
    attempt: int
    first: int
    tokens: int
    text: str
    finished: bool
    step_s: float = 0.0


class EngineRefused(Struct, frozen=True):
    """The engine refused the work or was unreachable; the work did not run."""

    replica: str
    request_id: str
    attempt: int
    reason: str


class EngineCut(Struct, frozen=True):
    """The stream ended early: cancelled, aborted, or the connection was lost.

    ``text`` and ``tokens`` are the output if known, including the resumed part.
    """

    replica: str
    request_id: str
    attempt: int
    reason: str
    text: str = ""
    tokens: int = 0


class EngineStatus(Struct, frozen=True):
    """Answer to :class:`QueryEngine`."""

    replica: str
    request_id: str
    token: str
    state: str
    text: str = ""
    tokens: int = 0


class EngineAdopted(Struct, frozen=True):
    """Answer to :class:`AdoptEngine`; not accepted if the engine has seen a higher epoch."""

    replica: str
    epoch: int
    accepted: bool
    slots: int = 0
    model: str = ""


class CacheChanged(Struct, frozen=True):
    """A delayed cache event of an engine; a gap in the numbers means that events were lost."""

    replica: str
    number: int
    added: list[str]
    removed: list[str]


class ModelLoaded(Struct, frozen=True):
    """Answer to :class:`LoadModel`; ``model`` is the model that is loaded now."""

    replica: str
    epoch: int
    accepted: bool
    model: str


class EngineLoad(Struct, frozen=True):
    """A lagging load report of an engine."""

    replica: str
    running: int
    step_s: float
    leaving: bool


class StoreCommitted(Struct, frozen=True):
    """Answer to :class:`CommitToStore`."""

    op_id: str
    reply: CommitReply


class StoreRead(Struct, frozen=True):
    """Answer to :class:`ReadStore`."""

    op_id: str
    reply: ReadReply


class ObjectDone(Struct, frozen=True):
    """Answer to :class:`PutObject` or :class:`GetObject`."""

    op_id: str
    reply: ObjectReply


class MachinesListed(Struct, frozen=True):
    """The machine list of a zone, or of all zones (""); None if it could not be read."""

    zone: str
    machines: list[Machine] | None


class Tick(Struct, frozen=True):
    """A periodic timer event, sent every ``TICK_S``."""


class StopRequested(Struct, frozen=True):
    """A planned stop was requested (SIGTERM)."""


Event = (
    ClientRequest
    | ClientGone
    | PeerReceived
    | PeerUnreachable
    | EngineChunk
    | EngineRefused
    | EngineCut
    | EngineStatus
    | EngineAdopted
    | CacheChanged
    | ModelLoaded
    | EngineLoad
    | StoreCommitted
    | StoreRead
    | ObjectDone
    | MachinesListed
    | Tick
    | StopRequested
)

# --- instructions ---


class Header(Struct, frozen=True):
    """One response header."""

    name: str
    value: str


class SendReply(Struct, frozen=True):
    """Send a complete HTTP response."""

    connection: int
    status: int
    headers: list[Header]
    body: bytes


class BeginStream(Struct, frozen=True):
    """Start an HTTP response whose body is streamed."""

    connection: int
    status: int
    headers: list[Header]


class StreamData(Struct, frozen=True):
    """A part of a streamed body."""

    connection: int
    data: bytes


class EndStream(Struct, frozen=True):
    """End a streamed body. If it is not ``whole``, the connection is aborted."""

    connection: int
    whole: bool = True


class SendToPeer(Struct, frozen=True):
    """Send a message to a node."""

    node: str
    address: str
    message: PeerMessage


class StartWork(Struct, frozen=True):
    """Start work on an engine under the owner's epoch."""

    replica: str
    epoch: int
    work: Work


class StopWork(Struct, frozen=True):
    """Cancel a stream on an engine; ends in :class:`EngineCut`."""

    replica: str
    request_id: str
    attempt: int


class QueryEngine(Struct, frozen=True):
    """Query the state of a request at an engine."""

    replica: str
    request_id: str
    token: str


class AdoptEngine(Struct, frozen=True):
    """Send the epoch of the new owner to an engine, which aborts older streams."""

    replica: str
    epoch: int


class LoadModel(Struct, frozen=True):
    """Make an idle engine load another model; fenced by the owner's epoch."""

    replica: str
    epoch: int
    model: str


class CommitToStore(Struct, frozen=True):
    """Commit a transaction."""

    op_id: str
    transaction: Transaction


class ReadStore(Struct, frozen=True):
    """Read the rows under a prefix; ``exact`` reads the one row of that key."""

    op_id: str
    prefix: str
    exact: bool


class PutObject(Struct, frozen=True):
    """Write an object unless one with that name exists."""

    op_id: str
    name: str
    body: str


class GetObject(Struct, frozen=True):
    """Read an object."""

    op_id: str
    name: str


class ListMachines(Struct, frozen=True):
    """Read the machine list of a zone, or of all zones ("")."""

    zone: str


class Stopped(Struct, frozen=True):
    """The planned stop is complete: the process may exit."""


class LogLevel(StrEnum):
    """Levels of numbered events."""

    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class WriteLog(Struct, frozen=True):
    """Log a numbered event of the catalogue."""

    number: int
    fields: dict[str, str | int | float | bool]


Instruction = (
    SendReply
    | BeginStream
    | StreamData
    | EndStream
    | SendToPeer
    | StartWork
    | StopWork
    | QueryEngine
    | AdoptEngine
    | LoadModel
    | CommitToStore
    | ReadStore
    | PutObject
    | GetObject
    | ListMachines
    | Stopped
    | WriteLog
)
