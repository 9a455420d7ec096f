"""What the nodes of a fleet tell each other: a netstring of JSON in one datagram.

A node sends reports to the coordinator and gets orders back. Reports tell the whole state, so a
lost one is repaired by the next; orders are numbered, and a report says up to which order its
figures hold.
"""

import enum

import msgspec
import pynetstring
from msgspec import Struct

from cloverwalk.core.errors import CloverwalkError
from cloverwalk.gateway.configuration import Configuration
from cloverwalk.gateway.crash_ledger import CrashRecord
from cloverwalk.gateway.overload_monitor import FULL_THRESHOLD
from cloverwalk.gateway.replicas import Replica
from cloverwalk.scheduling.admission import PlacementVerdict

FULL_PERCENT = round(100 * FULL_THRESHOLD)


class DatagramError(CloverwalkError):
    """A datagram is not a message of a node."""

    default_code = "peer_datagram_invalid"


class NodeLoad(Struct, array_like=True, frozen=True):
    """Work that a node has at one replica."""

    online: int = 0
    batch: int = 0
    tokens: int = 0
    """Memory that this work may take at the replica, in tokens; 0 where nobody counts it."""

    batch_tokens: int = 0
    """The part of ``tokens`` that items take."""


class WaitingGroup(Struct, array_like=True, frozen=True):
    """Batch items of a node that wait for a slot and are due at about the same time."""

    sort_key: int
    """Due time, in steps of the store's clock, see ``cloverwalk.jobs.waiting_items``."""

    items: int
    replica_id: str = ""
    """The replica that may still keep their prompts and output; empty: any is as good."""

    prefill_ms: int = 0
    """How long a replica reads the prompt of one of them, about."""

    tenant: str = ""
    """Whose items they are; empty where callers have no keys, or where nobody shares by tenant."""

    remaining_ms: int = 0
    """How long one of them still runs at a replica of the usual pace, about; 0: not told."""

    tokens: int = 0
    """Memory that one of them may take at a replica, in tokens; 0: not told."""


WaitingByPool = dict[str, list[WaitingGroup]]
"""Waiting items by pool: the services that take them."""


class QuotaTokenUse(enum.Enum):
    """What a request needs of its tenant's quota."""

    NEW = "new"
    """A token: it goes nowhere without one."""

    ALREADY_GRANTED = "kept"
    """Nothing: it has a token, and no replica has run it."""

    RETRY = "again"
    """It may have run and is sent once more. That is counted, whether there is a token or not."""


class LocalGrants(Struct, array_like=True, frozen=True):
    """Tokens that a node gave out itself while the coordinator did not answer.

    Counts go up within a process and series; a node begins another series after a quiet time.
    """

    series: int
    counts: dict[str, int]


class PlacementRequest(Struct, array_like=True, frozen=True):
    """Asks for a place for one online request."""

    number: int
    """Counts within the asking process; an ask that is repeated keeps its number."""

    route: str
    service: str
    size_bytes: int = 0
    own_tokens: int = 0
    shared_part: str = ""
    shared_tokens: int = 0
    objective_left_ms: int = 0
    """What is left of the latency objective."""

    deadline_ms: int | None = None
    """The client's time when the request came; None when it told none."""

    time_left_ms: int = 0
    """What is left of the client's time now."""

    must_place: bool = False
    """Whether the request goes to some replica, whatever it can expect there."""

    avoid: list[str] = []
    """Replicas that it was at before."""

    tenant: str = ""
    """Who sends it; empty for callers without a key."""

    quota_token: QuotaTokenUse = QuotaTokenUse.NEW
    content: str = ""
    """Its content, where a replica has ended under it; empty for all others."""

    tokens: int = 0
    """Memory that it may take at a replica, in tokens: its prompt and the most that may come out;
    0: its caller did not say."""


class RequestTiming(Struct, array_like=True, frozen=True):
    """Times of an online request that was answered at its first attempt, in ms."""

    route: str
    replica_id: str
    first_event_ms: int
    """From sending to its first event."""

    hold_ms: int
    """From its first event to its end."""

    expected_wait_ms: int
    """How long it was expected to wait for a slot, before any correction."""

    events: int = 0
    """Events of its answer."""

    slowdown_percent: int = 0
    """What the replica told of its pace as the answer began: 100 is its usual one, 200 twice as
    long; 0: it told nothing."""

    tenant: str = ""
    """Who sent it; empty for callers without a key."""


class ItemTiming(Struct, array_like=True, frozen=True):
    """How an item ran at a replica, in ms."""

    replica_id: str
    events: int
    took_ms: int
    """From its first event in this run to its last."""

    slowdown_percent: int = 0
    """As in ``RequestTiming``."""


class WorkCorrection(Struct, array_like=True, frozen=True):
    """Slot time that items of a tenant took beyond what was expected when they were granted."""

    tenant: str
    rank: int
    extra_ms: int
    """Negative: less, also where they gave way."""


class Report(Struct, tag="report", array_like=True):
    """The state of a node, and what it wants to know.

    ``run`` is the last part of the node's incarnation; ``sequence`` counts within it.
    ``last_applied_order`` is the last order whose effect the figures contain.
    """

    node: str
    run: str
    zone: str
    sequence: int
    last_applied_order: int
    configuration_version: int
    directory: int
    """Fingerprint of the node's list of replicas."""

    store_age_ms: int
    """Time since the store last answered this node."""

    cores: float = 1.0
    loads: dict[str, NodeLoad] = {}
    waiting: WaitingByPool = {}
    suspects: list[str] = []
    """Replicas that failed at this node lately."""

    placement_requests: list[PlacementRequest] = []
    withdrawn: list[int] = []
    """Asks whose requests wait no more."""

    request_timings: list[RequestTiming] = []
    is_leaving: bool = False
    has_lost_coordinator: bool = False
    """Whether the coordinator does not answer this node, which turns to the receiver instead."""

    local_grants: LocalGrants | None = None
    """Tokens of quotas that this node gave out itself lately."""

    crash_records: list[CrashRecord] = []
    """Requests under which replicas have ended or that were answered, as seen here lately; all
    that are known where the coordinator knows others."""

    crash_digest: int = 0
    """Digest of the cases that all nodes should know."""

    item_timings: list[ItemTiming] = []
    """How items ran that have ended since the last report; bounded by the sender."""

    utilization_percent: int = 0
    """How much of what the node's machine can carry is in use, by whatever is scarcest there; 0:
    nobody measures it."""

    @property
    def is_full(self) -> bool:
        """Whether the node's machine is nearly full, and gets what can go elsewhere last."""
        return self.utilization_percent >= FULL_PERCENT

    corrections: list[WorkCorrection] = []
    """Those since the last report; none where nobody shares by tenant."""

    @property
    def incarnation(self) -> str:
        """The name under which the process owns jobs."""
        return f"{self.node}.{self.run}"


class Placement(Struct, array_like=True, frozen=True):
    """The answer to an ask."""

    number: int
    verdict: PlacementVerdict
    replica_id: str = ""
    wait_ms: int = 0
    """Expected wait for a slot, before any correction."""

    retry_after_s: float = 0.0
    """With RETURN and OVER_QUOTA: when it should come back."""

    online: int = 0
    """Online work at the replica when it was chosen; for the log, as the next two."""

    batch: int = 0
    prefill_ms: int = 0
    """Time that the replica needed for prompts which were sent before."""

    ahead_ms: int = 0
    """With RETURN: slot time by which its tenant is ahead of others, where that is the reason."""


class Contact(Struct, array_like=True, frozen=True):
    """Where a node is reached."""

    node: str
    host: str
    zone: str = ""
    """Told for standbys where each zone has one of its own; empty elsewhere."""


class Leadership(Struct, array_like=True, frozen=True):
    """Who coordinates the fleet, and who takes its place, in this order.

    ``term`` is the store's version of the row that says so: a higher one is newer.
    """

    holder: Contact
    run: str
    term: int
    standbys: tuple[Contact, ...] = ()


class Orders(Struct, tag="orders", array_like=True):
    """What the coordinator tells a node; ``number`` counts by node within its process."""

    leadership: Leadership
    sender: str
    """Incarnation of the sending process: while a coordinator is silent, a standby decides."""

    number: int
    configuration_version: int
    directory: int
    """Fingerprint of the coordinator's list of replicas."""

    directory_version: int
    """The store's version as of which that list holds."""

    directory_age_ms: int
    """Time since it was confirmed."""

    is_store_served: bool
    """Whether the store has answered another node than the receiver lately."""

    placements: list[Placement] = []
    grants: dict[str, int] = {}
    """Slots for waiting items, by replica."""

    revokes: dict[str, int] = {}
    """How many items have to be suspended, by replica."""

    take_over: list[str] = []
    """Jobs without an owner that the receiver should run."""

    replica_loads: dict[str, NodeLoad] = {}
    """Work of all nodes, for a node that has to decide alone for a while; may be left out."""

    nodes: int = 0
    """How many nodes the coordinator knows; 0 from any other sender."""

    near_limit: list[str] = []
    """Tenants that may be near the limit of their quota."""

    crash_digest: int = 0
    """Digest of the sender's cases, as in a report."""

    grants_by_tenant: dict[str, dict[str, int]] = {}
    """Whose items the grants are for, by replica; what it leaves out is for any item."""

    zone_utilization_percent: int = 0
    """How full the nodes of the receiver's zone are in the middle; 0: not told."""

    grant_tokens: dict[str, int] = {}
    """Memory that the items of ``grants`` may take together, by replica, in tokens; empty where
    nobody counts it."""


class RouteEstimates(Struct, array_like=True, frozen=True):
    """What was learnt of a route's requests."""

    first_event_ms: float
    hold_ms: float
    wait_factor: float


class SlowdownEstimate(Struct, array_like=True, frozen=True):
    """What was learnt of a replica's pace, as factors of its service's usual time."""

    baseline: float
    """What its kind of machine takes; changes slowly."""

    current: float
    """What it took lately, its neighbours' work included."""

    age_ms: int
    """Time since ``current`` was last measured or told."""


class Snapshot(Struct, tag="snapshot", array_like=True):
    """What the coordinator knows, in short, for its standbys."""

    leadership: Leadership
    store_age_ms: int
    replica_loads: dict[str, NodeLoad]
    route_estimates: dict[str, RouteEstimates]
    nodes: list[Contact] = []
    """All live nodes; told less often than the rest."""

    is_leaving: bool = False
    quota_levels: dict[str, float] = {}
    """Tokens that are left, by tenant, where it is not the whole quota."""

    slowdowns: dict[str, SlowdownEstimate] = {}
    """By replica, where it differs from its service's usual one."""

    usage_by_tenant: dict[str, float] = {}
    """Slot time that tenants have had ahead of others, in ms, by tenant."""

    item_usage_by_tenant: dict[str, float] = {}
    """The same for their items."""


class RemovedReplica(Struct, array_like=True, frozen=True):
    """A replica that is gone as of a version."""

    replica_id: str
    version: int


class DirectoryUpdate(Struct, tag="directory", array_like=True):
    """Changes of the list of replicas, or the whole list."""

    since: int | None
    """Fingerprint of the list that was changed; None: this is the whole list."""

    fingerprint: int
    """That of the list after the change."""

    version: int
    """The store's version as of which the list holds."""

    age_ms: int
    replicas: list[Replica]
    removed: list[RemovedReplica] = []
    part: int = 0
    """Which part of a whole list this is, from 0."""

    parts: int = 1


class ConfigurationCopy(Struct, tag="configuration", array_like=True):
    """A whole configuration for a node that has an older one; keys are digests in it."""

    configuration: Configuration


class CrashCases(Struct, tag="crash_cases", array_like=True):
    """Requests under which replicas have ended, for all nodes to know."""

    crash_records: list[CrashRecord]


class Introduction(Struct, tag="introduction", array_like=True):
    """Tells a node that reported to another one who coordinates."""

    leadership: Leadership


class StoreReturned(Struct, tag="store_returned", array_like=True):
    """The store has answered a node again, after an outage."""

    node: str


Datagram = (
    Report
    | Orders
    | Snapshot
    | DirectoryUpdate
    | ConfigurationCopy
    | CrashCases
    | Introduction
    | StoreReturned
)

_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(Datagram)


def encode_datagram(message: Datagram) -> bytes:
    """Return a message as it is on the wire.

    >>> encode_datagram(StoreReturned("n1"))
    b'23:["store_returned","n1"],'
    """
    return bytes(pynetstring.encode(_encoder.encode(message)))


def decode_datagram(data: bytes) -> Datagram:
    """Return a message; raise DatagramError when it is none."""
    try:
        payloads = pynetstring.decode(data)
        if len(payloads) != 1:
            raise DatagramError(f"{len(payloads)} messages in a datagram")
        return _decoder.decode(payloads[0])
    except (pynetstring.ParseError, msgspec.DecodeError, UnicodeDecodeError) as error:
        raise DatagramError(str(error)) from error
