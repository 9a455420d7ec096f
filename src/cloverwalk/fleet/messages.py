"""Messages between the nodes of a fleet: one netstring in each datagram.

The payload is JSON, or MessagePack for the parts of a configuration that nodes poll for.

A node sends reports to the coordinator and receives orders. A report contains the node's whole
state, so the next report makes up for a lost one. Orders are numbered; a report names the last
order whose effect its loads and waiting items contain.
"""

import enum
from typing import get_args

import msgspec
import pynetstring
from msgspec import Struct

from cloverwalk.core.decoding import InvalidContentError, decode_bounded, decode_content
from cloverwalk.core.errors import CloverwalkError
from cloverwalk.gateway.configuration import Configuration
from cloverwalk.gateway.crash_ledger import CrashRecord
from cloverwalk.gateway.overload_monitor import FULL_THRESHOLD
from cloverwalk.gateway.replicas import Replica
from cloverwalk.scheduling.admission import PlacementVerdict

FULL_PERCENT = round(100 * FULL_THRESHOLD)


class DatagramError(CloverwalkError):
    """A datagram can't be decoded as a message."""

    default_code = "peer_datagram_invalid"


class NodeLoad(Struct, array_like=True, frozen=True):
    """Work that a node has in flight at one replica."""

    online: int = 0
    batch: int = 0
    tokens: int = 0
    """Memory that this work may use at the replica, in tokens; 0 if memory isn't counted."""

    batch_tokens: int = 0
    """The part of ``tokens`` that batch items may use."""


class WaitingGroup(Struct, array_like=True, frozen=True):
    """Batch items of a node that wait for a slot and have about the same due time."""

    sort_key: int
    """Due time in steps of the store's clock; see ``cloverwalk.jobs.waiting_items``."""

    items: int
    replica_id: str = ""
    """The replica that may still cache their prompts and output; empty if there is none."""

    prefill_ms: int = 0
    """Estimated prefill time of one item."""

    tenant: str = ""
    """Owner of the items; empty if callers have no keys or fair shares are off."""

    remaining_ms: int = 0
    """Estimated remaining run time of one item at a replica with slowdown 1.0; 0: unknown."""

    tokens: int = 0
    """Memory that one item may use at a replica, in tokens; 0: unknown."""

    service: str = ""
    """With ``software_version``: the service and software version that began the items' output and
    at which they go on. Empty for items that can run at any replica of the pool."""

    software_version: str = ""


WaitingByPool = dict[str, list[WaitingGroup]]
"""Waiting items by pool, the services that can run them."""


class QuotaTokenUse(enum.Enum):
    """Whether a request needs a token of its tenant's quota."""

    NEW = "new"
    """It needs a token and isn't sent to a replica without one."""

    ALREADY_GRANTED = "kept"
    """It already has a token, and no replica has run it."""

    RETRY = "again"
    """It may have run and is sent again. The attempt is counted even if no token is left."""


class LocalGrants(Struct, array_like=True, frozen=True):
    """Quota tokens that a node granted by itself while the coordinator did not answer.

    Counts only grow within a process and series. A node begins a new series after a time without
    local grants.
    """

    series: int
    counts: dict[str, int]


class PlacementRequest(Struct, array_like=True, frozen=True):
    """Requests a replica for one online request."""

    number: int
    """Unique within the sending process; a repeated placement request keeps its number."""

    route: str
    service: str
    size_bytes: int = 0
    own_tokens: int = 0
    """Tokens of the part of its prompt that no other request shares."""

    shared_part: str = ""
    """Id of the longest part of its prompt that other requests share; empty if there is none."""

    shared_tokens: int = 0
    """Tokens of that part."""

    objective_left_ms: int = 0
    """Remaining time of the latency objective."""

    deadline_ms: int | None = None
    """The client's time limit when the request arrived; None if it set none."""

    time_left_ms: int = 0
    """Remaining time of the client's time limit."""

    must_place: bool = False
    """Whether the request is sent to some replica regardless of the expected wait."""

    avoid: list[str] = []
    """Replicas that it was sent to before."""

    tenant: str = ""
    """The tenant that sent it; empty for callers without a key."""

    quota_token: QuotaTokenUse = QuotaTokenUse.NEW
    content: str = ""
    """Its content hash if a replica has ended under it; empty for all other requests."""

    tokens: int = 0
    """Memory that it may use at a replica, in tokens: its prompt and the maximum output;
    0: unknown."""

    is_resumption: bool = False
    """Whether it resumes a stream: it goes on only at the software version that began it."""

    stream: str = ""
    """Key of the resumed stream, see ``gateway.stream_versions``."""

    software_version: str = ""
    """Software version that began the resumed stream, of ``service``; empty if the node does not
    know it."""


class RequestTiming(Struct, array_like=True, frozen=True):
    """Times of an online request that was answered at the first attempt, in ms."""

    route: str
    replica_id: str
    first_event_ms: int
    """From sending the request to its first event."""

    hold_ms: int
    """From its first event to its end; it occupies a slot for this time."""

    expected_wait_ms: int
    """Expected wait for a slot, before any correction."""

    events: int = 0
    """Number of events in its answer."""

    slowdown_percent: int = 0
    """Slowdown that the replica reported when the answer began: 100 is its baseline, 200 takes
    twice as long; 0: not reported."""

    tenant: str = ""
    """The tenant that sent it; empty for callers without a key."""


class ItemTiming(Struct, array_like=True, frozen=True):
    """Time that a batch item ran at a replica, in ms."""

    replica_id: str
    events: int
    took_ms: int
    """From the first event of this run to the last."""

    slowdown_percent: int = 0
    """As in ``RequestTiming``."""


class WorkCorrection(Struct, array_like=True, frozen=True):
    """Difference between the actual and the expected slot time of a tenant's items."""

    tenant: str
    rank: int
    extra_ms: int
    """Actual minus expected time; negative also where items were preempted."""


class ZoneDrainCopy(Struct, array_like=True, frozen=True):
    """The zones whose replicas get no new work, as a node knows them."""

    version: int
    """Store version up to which the node knows the drains; a higher one is newer."""

    zones: tuple[str, ...]
    """Names of the zones, sorted."""

    age_ms: int
    """Time since the drains were last known to be the newest."""


class ListedVersion(Struct, array_like=True, frozen=True):
    """A software version of a service's replicas."""

    service: str
    software_version: str
    unlisted_ms: int
    """Time since its last replica was listed; 0 if one is listed."""


class VersionHistoryCopy(Struct, array_like=True, frozen=True):
    """The software versions that the sender knows, for nodes that have just started."""

    known_ms: int
    """For how long the sender has known all versions."""

    versions: tuple[ListedVersion, ...]


class Report(Struct, tag="report", array_like=True):
    """The state of a node, with its placement requests.

    ``run`` is the last part of the node's incarnation; ``sequence`` counts reports within it.
    ``last_applied_order`` is the last order whose effect ``loads`` and ``waiting`` contain.
    """

    node: str
    run: str
    zone: str
    sequence: int
    last_applied_order: int
    configuration_version: int
    directory: int
    """Fingerprint of the node's replica list."""

    store_age_ms: int
    """Time since the store last answered the node."""

    cores: float = 1.0
    loads: dict[str, NodeLoad] = {}
    waiting: WaitingByPool = {}
    suspects: list[str] = []
    """Replicas that recently failed requests of this node."""

    placement_requests: list[PlacementRequest] = []
    withdrawn: list[int] = []
    """Numbers of queued placement requests that no longer wait."""

    request_timings: list[RequestTiming] = []
    is_leaving: bool = False
    has_lost_coordinator: bool = False
    """Whether the coordinator does not answer this node, which reports to the receiver instead."""

    local_grants: LocalGrants | None = None
    """Quota tokens that this node recently granted by itself."""

    crash_records: list[CrashRecord] = []
    """Crash records that this node changed recently; all of its records if the coordinator's
    digest differs."""

    crash_digest: int = 0
    """Digest of the crash records that all nodes should have."""

    item_timings: list[ItemTiming] = []
    """Timings of items that ended since the last report; the sender limits their number."""

    utilization_percent: int = 0
    """Utilization of the scarcest resource of the node's machine; 0: not measured."""

    @property
    def is_full(self) -> bool:
        """Whether the node's machine is overloaded; movable work goes to other nodes first."""
        return self.utilization_percent >= FULL_PERCENT

    corrections: list[WorkCorrection] = []
    """Corrections since the last report; empty if fair shares are off."""

    zone_drains: ZoneDrainCopy | None = None
    """The zone drains that the node knows; None if it has never known any."""

    configuration_age_ms: int | None = None
    """Time since the node's configuration was last known to be the newest; None: not reported."""

    polls_configuration: bool = False
    """Whether the node gets the configuration from other nodes; see ``ConfigurationPoll``."""

    store_round_trip_ms: int = 0
    """Shortest recent round trip of a call of the store; the coordinator uses it to find the region
    nearest to the store. 0: unknown."""

    @property
    def incarnation(self) -> str:
        """The name under which the process owns jobs."""
        return f"{self.node}.{self.run}"


class Placement(Struct, array_like=True, frozen=True):
    """The answer to a placement request."""

    number: int
    verdict: PlacementVerdict
    replica_id: str = ""
    wait_ms: int = 0
    """Expected wait for a slot, before any correction."""

    retry_after_s: float = 0.0
    """With RETRY_LATER and OVER_QUOTA: when the client should retry."""

    online: int = 0
    """Online work at the replica when it was chosen; logged, as are the next two."""

    batch: int = 0
    prefill_ms: int = 0
    """Prefill time of the prompts that were sent to the replica before."""

    ahead_ms: int = 0
    """With RETRY_LATER: slot time beyond the tenant's fair share, if that is the reason."""

    has_warmup_token: bool = False
    """Whether the request was counted against the limit of a replica that is warming up. Without
    it the node must not send the request to such a replica."""

    software_version: str = ""
    """With SEND: for a resumption the version that began the stream, of the replica's service;
    otherwise the replica's version, if the sender knows it to be registered. Empty from a build
    that doesn't look at versions."""

    is_version_unknown: bool = False
    """With NO_REPLICA for a resumption: whether the sender does not know the version that began the
    stream."""


class Contact(Struct, array_like=True, frozen=True):
    """Name and address of a node."""

    node: str
    host: str
    zone: str = ""
    """Set for standbys if each zone has its own; otherwise empty."""


class Leadership(Struct, array_like=True, frozen=True):
    """The coordinator of the fleet and its standbys, in the order in which they take over.

    ``term`` is the version of the role row in the store; a higher term is newer.
    """

    holder: Contact
    run: str
    term: int
    standbys: tuple[Contact, ...] = ()


class Orders(Struct, tag="orders", array_like=True):
    """Decisions of the coordinator for one node.

    ``number`` counts the decisions for this node within the sending process.
    """

    leadership: Leadership
    sender: str
    """Incarnation of the sending process; a standby sends orders while the coordinator is
    unresponsive."""

    number: int
    configuration_version: int
    directory: int
    """Fingerprint of the coordinator's replica list."""

    directory_version: int
    """The store version that this list corresponds to."""

    directory_age_ms: int
    """Time since the list was confirmed."""

    is_store_served: bool
    """Whether the store has recently answered a node other than the receiver."""

    placements: list[Placement] = []
    grants: dict[str, int] = {}
    """Number of waiting items to start, by replica."""

    revokes: dict[str, int] = {}
    """Number of items to suspend, by replica."""

    take_over: list[str] = []
    """Jobs without an owner that the receiver takes over."""

    replica_loads: dict[str, NodeLoad] = {}
    """Work of all nodes, used by a node that has to decide by itself; left out of most orders."""

    nodes: int = 0
    """Number of nodes that the coordinator knows; 0 from any other sender."""

    near_limit: list[str] = []
    """Tenants that may be close to the limit of their quota."""

    crash_digest: int = 0
    """Digest of the sender's crash records, as in a report."""

    grants_by_tenant: dict[str, dict[str, int]] = {}
    """Grants per tenant, by replica; the remaining grants are for items of any tenant."""

    zone_utilization_percent: int = 0
    """Median utilization of the nodes in the receiver's zone; 0: unknown."""

    grant_tokens: dict[str, int] = {}
    """Memory that the items of ``grants`` may use together, by replica, in tokens; empty if
    memory isn't counted."""

    configuration_age_ms: int | None = None
    """Time since the sender's configuration was last known to be the newest; None: not reported."""

    zone_drains: ZoneDrainCopy | None = None
    """The zone drains that the sender knows; None if it has never known any."""

    configuration_sources: tuple[Contact, ...] = ()
    """Nodes that the receiver polls for the configuration, the preferred one first; its own entry
    means the store. Empty if the sender does not choose sources."""

    report_sequence: int = 0
    """Sequence number of the last report of the receiver's process; 0: none."""

    report_age_ms: int = 0
    """Time from that report's arrival until these orders were made. The receiver knows when it
    sent the report, so it knows an upper bound of the age of the orders."""

    version_history: VersionHistoryCopy | None = None
    """Set in the first orders to a process that has just started."""


class RouteEstimates(Struct, array_like=True, frozen=True):
    """Learnt times of a route's requests."""

    first_event_ms: float
    hold_ms: float
    wait_factor: float
    """Actual wait for a slot relative to the expected one."""


class SlowdownEstimate(Struct, array_like=True, frozen=True):
    """Learnt slowdown of a replica, as factors of its service's baseline time."""

    baseline: float
    """Slowdown of its kind of machine; changes slowly."""

    current: float
    """Recent slowdown, including the effect of other work on the same machine."""

    age_ms: int
    """Time since ``current`` was last measured or reported."""


class Snapshot(Struct, tag="snapshot", array_like=True):
    """Compact state of the coordinator for its standbys."""

    leadership: Leadership
    store_age_ms: int
    replica_loads: dict[str, NodeLoad]
    route_estimates: dict[str, RouteEstimates]
    nodes: list[Contact] = []
    """All live nodes; empty in most snapshots."""

    is_leaving: bool = False
    quota_levels: dict[str, float] = {}
    """Remaining quota tokens by tenant; tenants with a full bucket are left out."""

    slowdowns: dict[str, SlowdownEstimate] = {}
    """Slowdowns by replica, if they differ from the service's baseline."""

    usage_by_tenant: dict[str, float] = {}
    """Slot time of online requests beyond the fair share, in ms, by tenant."""

    item_usage_by_tenant: dict[str, float] = {}
    """The same for batch items."""

    warmups_ms: dict[str, int] = {}
    """Remaining warm-up time by replica, of replicas that are warming up."""


class RemovedReplica(Struct, array_like=True, frozen=True):
    """A replica that was removed at a store version."""

    replica_id: str
    version: int


class DirectoryUpdate(Struct, tag="directory", array_like=True):
    """Changes of the replica list, or the whole list."""

    since: int | None
    """Fingerprint of the list before the change; None: this is the whole list."""

    fingerprint: int
    """Fingerprint of the list after the change."""

    version: int
    """The store version that the list corresponds to."""

    age_ms: int
    replicas: list[Replica]
    removed: list[RemovedReplica] = []
    part: int = 0
    """Index of this part of a whole list, from 0."""

    parts: int = 1


class ConfigurationCopy(Struct, tag="configuration", array_like=True):
    """The whole configuration for a node that has an older one; it contains digests of keys."""

    configuration: Configuration
    age_ms: int | None = None
    """Time since the configuration was last known to be the newest; None: not reported."""


class ConfigurationPart(Struct, tag="configuration_part", array_like=True):
    """A part of a compressed configuration that is too long for one datagram."""

    version: int
    part: int
    """Index of this part, from 0."""

    parts: int
    data: bytes
    """This part of the zlib-compressed JSON of the configuration."""

    age_ms: int | None = None
    """As in ``ConfigurationCopy``."""


class CompactConfigurationPart(ConfigurationPart, tag="compact_configuration_part"):
    """A part for nodes that poll; its datagram contains ``data`` unchanged, not as base64."""


class ConfigurationRequest(Struct, tag="configuration_request", array_like=True):
    """Asks a node that reported a newer configuration for a copy of it."""

    version: int
    """The version that the node reported."""


class ConfigurationPoll(Struct, tag="configuration_poll", array_like=True, frozen=True):
    """Asks a node for its configuration, if newer, and subscribes to changes for some time."""

    version: int
    """The version that the sender has, -1 if none."""

    number: int = 0
    """Number of the poll, counted per sending process; the status that answers it repeats it."""

    region: str = ""
    """Region of the sender."""

    subscribes: bool = True
    """Whether the sender wants new versions; False if it only probes the receiver."""


class ConfigurationStatus(Struct, tag="configuration_status", array_like=True, frozen=True):
    """Answers a poll, and announces a new version to the nodes that have polled recently."""

    version: int
    """The version that the sender has, -1 if none."""

    age_ms: int
    """Time since this version was last known to be the newest."""

    parts: int = 0
    """Number of parts of this version; 0 if none are available."""

    zone_drains: ZoneDrainCopy | None = None
    poll: int = 0
    """Number of the receiver's last poll."""

    reader: str = ""
    """Name of the node that reads the store for the sender; empty if none is known."""

    reader_age_ms: int = 0
    """Time since that node's calls of the store were last known to succeed or be in progress."""

    store_version: int = -1
    """Store version up to which this version is the newest; -1: not known."""


class ConfigurationPartRequest(Struct, tag="configuration_part_request", array_like=True):
    """Requests the parts of a version that have not arrived."""

    version: int
    parts: list[int]
    """Indexes of the missing parts; empty for all."""


class CrashCases(Struct, tag="crash_cases", array_like=True):
    """Crash records that all nodes should have."""

    crash_records: list[CrashRecord]


class StreamRecord(Struct, array_like=True, frozen=True):
    """The software that began a stream."""

    stream: str
    service: str
    software_version: str
    """Empty if it is unknown for certain."""

    remaining_ms: int
    """Time for which the stream's client may still resume it."""


class StreamVersions(Struct, tag="stream_versions", array_like=True):
    """Records of streams, to the nodes that keep them or that asked for them."""

    records: list[StreamRecord]


class StreamVersionQuery(Struct, tag="stream_version_query", array_like=True):
    """Asks for the records of streams; a node without a record does not answer."""

    streams: list[str]
    reply_to: str = ""
    """Host that gets the answer, if the coordinator passes the query on; empty: the sender."""


class JobEnded(Struct, tag="job_ended", array_like=True, frozen=True):
    """The store holds the end of a job; for its owner, which starts no more of its items."""

    job: str
    accepted_ms: float
    """When the job was accepted, in ms of the store's clock: a later job may have its id."""

    owner: str
    """Incarnation of the process that owns the job; no other process takes over an ended job."""


class Introduction(Struct, tag="introduction", array_like=True):
    """Names the coordinator to a node that reported to another node."""

    leadership: Leadership


class StoreReturned(Struct, tag="store_returned", array_like=True):
    """The store has answered a node again after it was unavailable."""

    node: str


Datagram = (
    Report
    | Orders
    | Snapshot
    | DirectoryUpdate
    | ConfigurationCopy
    | ConfigurationPart
    | CompactConfigurationPart
    | ConfigurationRequest
    | ConfigurationPoll
    | ConfigurationStatus
    | ConfigurationPartRequest
    | CrashCases
    | StreamVersions
    | StreamVersionQuery
    | JobEnded
    | Introduction
    | StoreReturned
)

MESSAGE_KINDS = frozenset(str(kind.__struct_config__.tag) for kind in get_args(Datagram))
"""Tags of the messages that this build knows."""

UNKNOWN_KIND = "unknown"
"""Used for all kinds that this build doesn't know, which bounds the number of metric labels."""

UNREADABLE_KIND = "unreadable"

_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(Datagram)
_tag_decoder = msgspec.json.Decoder(list[msgspec.Raw])
_text_decoder = msgspec.json.Decoder(str)
_compact_encoder = msgspec.msgpack.Encoder()
_compact_decoder = msgspec.msgpack.Decoder(Datagram)
_JSON_START = b"["
"""All messages are arrays; no MessagePack array begins with this byte."""


def encode_datagram(message: Datagram) -> bytes:
    """Return the encoded message.

    >>> encode_datagram(StoreReturned("n1"))
    b'23:["store_returned","n1"],'
    """
    is_compact = isinstance(message, CompactConfigurationPart)
    encoder = _compact_encoder if is_compact else _encoder
    return bytes(pynetstring.encode(encoder.encode(message)))


def decode_datagram(data: bytes) -> Datagram:
    """Return the decoded message; raise DatagramError if it is invalid."""
    try:
        payloads = pynetstring.decode(data)
        if len(payloads) != 1:
            raise DatagramError(f"{len(payloads)} messages in a datagram instead of one")
        is_json = payloads[0].startswith(_JSON_START)
        if is_json:
            return decode_bounded(_decoder, payloads[0])
        return decode_content(_compact_decoder, payloads[0])
    except (pynetstring.ParseError, InvalidContentError) as error:
        raise DatagramError(str(error)) from error


def kind_of_refused(data: bytes) -> str:
    """Return the kind of a datagram that can't be decoded, for logs and metrics.

    >>> kind_of_refused(b'8:["orders"],'), kind_of_refused(b'9:["newer",1],')
    ('unreadable', 'unreadable')
    >>> kind_of_refused(b'10:["orders"],'), kind_of_refused(b'11:["newer",1],')
    ('orders', 'unknown')
    """
    try:
        payload = pynetstring.decode(data)[0]
        tag = decode_content(_text_decoder, decode_content(_tag_decoder, payload)[0])
    except (pynetstring.ParseError, InvalidContentError, IndexError):
        return UNREADABLE_KIND
    return tag if tag in MESSAGE_KINDS else UNKNOWN_KIND
