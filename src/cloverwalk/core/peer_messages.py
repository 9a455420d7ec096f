"""Messages between nodes. Each is sent as a netstring of JSON and identified by its tag."""

from msgspec import Struct

from cloverwalk.core.collect import Chunk
from cloverwalk.core.idempotency import JoinVerdict
from cloverwalk.core.membership import NodeDigest
from cloverwalk.core.types import (
    BatchItem,
    ItemResult,
    Machine,
    Refusal,
    Result,
    SessionRow,
    Work,
)
from cloverwalk.core.weight_table import TableKey, TableRow, WeightTable


class AgedDigest(Struct, frozen=True, array_like=True):
    """A digest and the seconds since the sender last saw its beat rise."""

    digest: NodeDigest
    age_s: float


class Gossip(Struct, frozen=True, tag="gossip"):
    """A round of gossip: the sender's digest first."""

    digests: list[AgedDigest]


class Offer(Struct, frozen=True, tag="offer"):
    """Online work offered to the owner of a replica."""

    replica: str
    work: Work


class OfferRefused(Struct, frozen=True, tag="offer_refused"):
    """The owner did not start the work; this attempt did not run.

    ``online`` is the number of online streams that run on the replica.
    """

    replica: str
    request_id: str
    attempt: int
    reason: Refusal
    online: int = 0


class ChunkMessage(Struct, frozen=True, tag="chunk"):
    """A part of an answer, sent to the node that the caller is connected to."""

    chunk: Chunk


class AttemptLost(Struct, frozen=True, tag="attempt_lost"):
    """An attempt ended without an answer after it may have started."""

    request_id: str
    attempt: int
    reason: str


class CancelWork(Struct, frozen=True, tag="cancel_work"):
    """Stop an online attempt."""

    replica: str
    request_id: str
    attempt: int


class Join(Struct, frozen=True, tag="join"):
    """Ask a key's home node whether to run the request."""

    key: str
    token: str


class JoinReply(Struct, frozen=True, tag="join_reply"):
    """The home node's verdict; also sent to waiters when the run ends.

    RUN after WAIT means that the run ended without a result or that its runner was lost: the
    receiver runs the key now.
    """

    key: str
    token: str
    verdict: JoinVerdict
    result: Result | None = None


class RunFinished(Struct, frozen=True, tag="run_finished"):
    """The end of a request that joined under ``token``.

    ``result`` is None if the request ended without a recorded result.
    """

    key: str
    token: str
    result: Result | None


class QueryWork(Struct, frozen=True, tag="query_work"):
    """Ask a replica's owner for the state of a request at its engine."""

    replica: str
    request_id: str
    token: str


class WorkStatus(Struct, frozen=True, tag="work_status"):
    """The state of a request at an engine.

    ``state`` is ``unknown``, ``running``, ``finished``, ``aborted`` or ``unreachable``.
    """

    request_id: str
    token: str
    state: str
    text: str = ""
    tokens: int = 0


class QueryHolder(Struct, frozen=True, tag="query_holder"):
    """Ask the holder of a claim whether it still has the request in flight."""

    request_id: str
    token: str


class HolderStatus(Struct, frozen=True, tag="holder_status"):
    """Whether a claimed request is in flight at its holder."""

    token: str
    in_flight: bool


class JobChanged(Struct, frozen=True, tag="job_changed"):
    """A node other than the shard's owner wrote a job row."""

    job_id: str
    shard: str


class Pull(Struct, frozen=True, tag="pull"):
    """A replica owner asks a job owner for items of a class."""

    pull_id: str
    replica: str
    session: str
    kind: str
    model: str
    count: int


class PulledItem(Struct, frozen=True):
    """An item assigned in answer to a pull."""

    job_id: str
    index: int
    item: BatchItem
    resume_text: str = ""


class PullReply(Struct, frozen=True, tag="pull_reply"):
    """The items for a pull, possibly none, and the number still pending in the class."""

    pull_id: str
    items: list[PulledItem]
    pending: int


class ItemDone(Struct, frozen=True, tag="item_done"):
    """An item ended with a result."""

    job_id: str
    index: int
    result: ItemResult


class ItemReturned(Struct, frozen=True, tag="item_returned"):
    """An unfinished item is returned to its job owner, with its output so far."""

    job_id: str
    index: int
    resume_text: str


class ItemsHeld(Struct, frozen=True, tag="items_held"):
    """The items of one job that a replica owner has; absent ones are assigned again."""

    job_id: str
    indexes: list[int]


class CancelJob(Struct, frozen=True, tag="cancel_job"):
    """Stop all items of a job and start no more of them.

    The acknowledgement goes to the coordinator. With ``relay`` the receiver forwards the
    message to its own zone, whose nodes the coordinator may not know.
    """

    job_id: str
    barrier_id: str
    coordinator: str
    coordinator_address: str
    relay: bool


class CancelJobAck(Struct, frozen=True, tag="cancel_job_ack"):
    """The sender's replicas run none of the job's items and will start none."""

    job_id: str
    barrier_id: str
    replicas: list[str]


class JobCancelRequest(Struct, frozen=True, tag="job_cancel_request"):
    """A caller's cancel, sent to the owner of the job's shard."""

    job_id: str
    shard: str
    token: str


class JobCancelReply(Struct, frozen=True, tag="job_cancel_reply"):
    """The job's final state after a cancel, or empty if the sender is not the owner."""

    token: str
    state: str


class HoldResult(Struct, frozen=True, tag="hold_result"):
    """A result to keep in memory until the table service is available."""

    key: str
    result: Result
    token: str


class HoldAck(Struct, frozen=True, tag="hold_ack"):
    """The result is held, or refused because the buffer is full.

    ``earlier`` is a different result that was already held for the key; it takes precedence.
    """

    key: str
    token: str
    held: bool
    earlier: Result | None = None


class HoldDrained(Struct, frozen=True, tag="hold_drained"):
    """The key's result is recorded; holders may drop it."""

    key: str


class FetchHeld(Struct, frozen=True, tag="fetch_held"):
    """Ask a peer for a result it may hold."""

    key: str
    token: str


class FetchHeldReply(Struct, frozen=True, tag="fetch_held_reply"):
    """The held result, if there is one."""

    key: str
    token: str
    result: Result | None


class TablePush(Struct, frozen=True, tag="table_push"):
    """An accepted version of the weight table."""

    table: WeightTable


class TablePatch(Struct, frozen=True, tag="table_patch"):
    """The changes of an accepted version, for a receiver that has ``base_version``."""

    base_version: int
    version: int
    changed: list[TableRow]
    removed: list[TableKey]


class TableFetch(Struct, frozen=True, tag="table_fetch"):
    """Ask a peer for its version of the weight table."""


class SessionPush(Struct, frozen=True, tag="session_push"):
    """Sessions that the sender knows to be stored."""

    sessions: list[SessionRow]


class LeaseReleased(Struct, frozen=True, tag="lease_released"):
    """A planned stop released a lease; the next owner may acquire it at once."""

    resource: str


class MachinesPush(Struct, frozen=True, tag="machines_push"):
    """The machine list of a zone, after a change."""

    zone: str
    machines: list[Machine]


class ChangeModel(Struct, frozen=True, tag="change_model"):
    """An order to a replica's owner from the placer, which plans the models of the zone.

    ``placer_epoch`` fences older placers.
    """

    zone: str
    placer_epoch: int
    replica: str
    model: str


class ModelChanged(Struct, frozen=True, tag="model_changed"):
    """The end of an order: ``model`` is the replica's current model, changed or not."""

    replica: str
    model: str


class LeavingNotice(Struct, frozen=True, tag="leaving_notice"):
    """The first sign that a replica is leaving, forwarded at once."""

    replica: str


PeerMessage = (
    Gossip
    | Offer
    | OfferRefused
    | ChunkMessage
    | AttemptLost
    | CancelWork
    | Join
    | JoinReply
    | RunFinished
    | QueryWork
    | WorkStatus
    | QueryHolder
    | HolderStatus
    | JobChanged
    | Pull
    | PullReply
    | ItemDone
    | ItemReturned
    | ItemsHeld
    | CancelJob
    | CancelJobAck
    | JobCancelRequest
    | JobCancelReply
    | HoldResult
    | HoldAck
    | HoldDrained
    | FetchHeld
    | FetchHeldReply
    | TablePush
    | TablePatch
    | TableFetch
    | SessionPush
    | LeaseReleased
    | MachinesPush
    | ChangeModel
    | ModelChanged
    | LeavingNotice
)


class Envelope(Struct, frozen=True):
    """The encoded form of a message, with the sender and the address it listens on."""

    sender: str
    address: str
    message: PeerMessage
