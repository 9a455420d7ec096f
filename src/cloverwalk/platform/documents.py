"""Decodes and encodes JSON documents of the platform: configuration, replicas, jobs, results."""

import ipaddress
import math
import re
from typing import TypeVar

import msgspec
from msgspec import UNSET, Raw, Struct, UnsetType, field

from cloverwalk.core.decoding import MAX_INTEGER, decode_content
from cloverwalk.gateway.configuration import (
    CONFIGURATION_FORMAT,
    ClientLimits,
    Configuration,
    Route,
    RouteKind,
    RoutePart,
    Service,
)
from cloverwalk.gateway.replicas import MAX_PORT, Replica, check_replica
from cloverwalk.gateway.steps import Steps, run_steps
from cloverwalk.jobs.reader import ResultPage
from cloverwalk.jobs.records import ItemState, JobItem
from cloverwalk.tenants.directory import Tenant, digest_of

Document = TypeVar("Document")

DEFAULT_SLOTS = 8
REPLICA_ID = re.compile(r"[!-~]{1,200}")
"""Keys of the store have at most 200 bytes, and the id is sent in a request header."""

ADDRESS = re.compile(r"(?:([0-9.]+)|\[([0-9A-Fa-f:.]+)\]):([0-9]{1,5})")
MAX_WARMUP_MS = 3_600_000
"""One hour; rejects implausible warm-up times."""

MAX_STARTED_MS = 4_102_444_800_000
"""The year 2100; rejects a time in another unit, such as microseconds."""

ENTRIES_PER_STEP = 200
"""Routes or tenants that are decoded in one step."""

IS_DRAINING_BY_STATE = {"ready": False, "draining": True}
"""Whether a replica is draining, by the state in its entry."""

ROUTE_KINDS = {
    "safe": RouteKind.SAFE,
    "unsafe": RouteKind.UNSAFE,
    "streaming": RouteKind.STREAM,
    "batch": RouteKind.BATCH,
}


class _WeightedService(Struct, gc=False):
    service: str
    weight: float = 1.0


class _Route(Struct, gc=False):
    name: str
    host: str
    path_prefix: str
    route_kind: str
    timeout_ms: float = 30_000.0
    target_latency_ms: float = 1_000.0
    priority: int = 0
    service: str = ""
    weighted_clusters: list[_WeightedService] = []
    max_attempts: int = 1
    resumable: bool = False
    gap_aim_ms: float = 1_000.0
    completion_target_ms: float = 0.0
    retention_s: float = 0.0
    max_queued_tokens: int = 0
    public: bool = False


class _Tenant(Struct):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0


class _Engine(Struct):
    slots: int = DEFAULT_SLOTS
    kv_cache_tokens: int = 0
    stride: int = 1
    """The maximum number of tokens in one event."""


class _Service(Struct):
    name: str
    max_connections: int = 0
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0
    engine: _Engine = field(default_factory=_Engine)


class _Limits(Struct):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class _Configuration(Struct):
    """A configuration; routes and tenants may be many and are decoded later, in steps."""

    version: int
    routes: list[Raw] = []
    services: list[_Service] = []
    limits: _Limits = field(default_factory=_Limits)
    tenants: list[Raw] | None = None


class _Replica(Struct):
    """A replica entry. All fields are required, to detect similar entries of other writers."""

    service: str
    address: str
    zone: str
    slots: int
    version: str
    """The version of the replica's software, not of the entry."""

    state: str
    seq: int
    cold_left_ms: float
    born: int | UnsetType = UNSET
    """Unix time at which the replica started, in ms; older versions of the platform omit it."""


class _Item(Struct):
    id: str
    path: str
    headers: dict[str, str] = {}
    body: bytes = b""
    tokens: int = 0


class _Job(Struct):
    requests: list[_Item]


class _Result(Struct):
    id: str
    state: str
    message: str


class _Results(Struct):
    total: int
    results: list[_Result]
    next_token: int


_configuration_decoder = msgspec.json.Decoder(_Configuration)
_route_decoder = msgspec.json.Decoder(_Route)
_tenant_decoder = msgspec.json.Decoder(_Tenant)
_replica_decoder = msgspec.json.Decoder(_Replica)
_job_decoder = msgspec.json.Decoder(_Job)
_RESULT_STATES = {ItemState.SUCCEEDED: "succeeded", ItemState.DEAD: "dead_letter"}


def decode_configuration(raw: bytes) -> Configuration:
    """Return a configuration; raise ValueError if it is invalid."""
    return run_steps(configuration_steps(raw))


def configuration_steps(raw: bytes) -> Steps[Configuration]:
    """Decode a configuration in steps; raise ValueError if it is invalid."""
    wire = decode_content(_configuration_decoder, raw)
    services = {service.name: _service(service) for service in wire.services}
    limits = ClientLimits(
        wire.limits.max_header_bytes,
        wire.limits.max_body_bytes,
        wire.limits.header_timeout_ms / 1000,
        wire.limits.idle_timeout_ms / 1000,
    )
    yield
    routes = yield from _routes(wire.routes)
    tenants = None
    if wire.tenants is not None:
        tenants = yield from _tenants(wire.tenants)
    configuration = Configuration(
        wire.version, routes, services, limits, tenants, CONFIGURATION_FORMAT
    )
    yield from configuration.build_index()
    return configuration


def _service(wire: _Service) -> Service:
    return Service(
        wire.name,
        wire.engine.slots,
        wire.max_connections,
        max(0, wire.engine.kv_cache_tokens),
        max(1, wire.engine.stride),
        _non_negative(wire.name, "cold_start_s", wire.cold_start_s),
        _non_negative(wire.name, "cold_per_s", wire.cold_per_s),
    )


def _decode_entry(
    decoder: "msgspec.json.Decoder[Document]", list_name: str, number: int, raw: Raw
) -> Document:
    """Decode an entry of a list; raise ValueError that names the entry but none of its values."""
    try:
        return decode_content(decoder, raw)
    except ValueError as error:
        raise ValueError(f"{list_name}[{number}]: {error}") from error


def _routes(entries: list[Raw]) -> Steps[tuple[Route, ...]]:
    routes: list[Route] = []
    for number, raw in enumerate(entries):
        routes.append(_route(_decode_entry(_route_decoder, "routes", number, raw)))
        if len(routes) % ENTRIES_PER_STEP == 0:
            yield
    return tuple(routes)


def _non_negative(service: str, name: str, value: float) -> float:
    if not 0 <= value < float("inf"):
        raise ValueError(f"services[{service!r}].{name}: {value} is not a valid limit")
    return value


def _tenants(entries: list[Raw]) -> Steps[tuple[Tenant, ...]]:
    """Return the tenants; raise ValueError with the invalid entry, but never with a key."""
    tenants: dict[str, Tenant] = {}
    owner_by_digest: dict[str, str] = {}
    for number, raw in enumerate(entries):
        tenant = _tenant(number, _decode_entry(_tenant_decoder, "tenants", number, raw))
        if tenant.name in tenants:
            raise ValueError(f"tenants[{number}].name: {tenant.name!r} appears twice")
        tenants[tenant.name] = tenant
        for position, digest in enumerate(tenant.key_digests):
            if owner_by_digest.setdefault(digest, tenant.name) != tenant.name:
                reason = f"it is a key of {owner_by_digest[digest]!r} as well"
                raise ValueError(f"tenants[{number}].api_keys[{position}]: {reason}")
        if len(tenants) % ENTRIES_PER_STEP == 0:
            yield
    return tuple(tenants.values())


def _tenant(number: int, wire: _Tenant) -> Tenant:
    if not wire.name:
        raise ValueError(f"tenants[{number}].name: it is empty")
    for field_name, value in (("rate_per_s", wire.rate_per_s), ("burst", wire.burst)):
        if not 0 <= value < float("inf"):
            raise ValueError(f"tenants[{number}].{field_name}: {value} is not a valid limit")
    digests = tuple(digest_of(key) for key in wire.api_keys)
    return Tenant(wire.name, digests, wire.priority, wire.rate_per_s, wire.burst)


def _route(wire: _Route) -> Route:
    parts = tuple(RoutePart(part.service, part.weight) for part in wire.weighted_clusters)
    if not parts:
        parts = (RoutePart(wire.service, 1.0),)
    return Route(
        wire.name,
        wire.host.lower(),
        wire.path_prefix,
        ROUTE_KINDS.get(wire.route_kind, RouteKind.UNSAFE),
        parts,
        wire.timeout_ms / 1000,
        wire.target_latency_ms / 1000,
        wire.max_attempts,
        wire.priority,
        wire.resumable,
        wire.gap_aim_ms / 1000,
        wire.completion_target_ms / 1000,
        wire.retention_s,
        wire.max_queued_tokens,
        wire.public,
    )


def decode_replica(replica_id: str, raw: bytes, version: int) -> Replica:
    """Return a replica entry; raise ValueError if it is invalid."""
    wire = decode_content(_replica_decoder, raw)
    if not REPLICA_ID.fullmatch(replica_id):
        raise ValueError("the id can't be sent in a header")
    if not wire.service:
        raise ValueError("service: it is empty")
    if wire.state not in IS_DRAINING_BY_STATE:
        raise ValueError(f"state: {wire.state[:20]!r} is not a valid state")
    if not -MAX_INTEGER <= wire.seq <= MAX_INTEGER:
        raise ValueError("seq: it is out of range")
    host, port = _address(wire.address)
    replica = Replica(
        replica_id,
        wire.service,
        host,
        port,
        wire.zone,
        wire.slots,
        IS_DRAINING_BY_STATE[wire.state],
        version,
        _started_ms(wire.born),
        _warmup_ms(wire.cold_left_ms),
        wire.version,
    )
    check_replica(replica)
    return replica


def _address(text: str) -> tuple[str, int]:
    """Return host and port; raise ValueError if no connection to the address is possible."""
    parts = ADDRESS.fullmatch(text)
    if parts is None:
        raise ValueError(f"address: {text[:60]!r} is not IP:PORT")
    host, port = parts[1] or parts[2], int(parts[3])
    ip_address = ipaddress.ip_address(host)
    if ip_address.is_unspecified or ip_address.is_multicast or not 1 <= port <= MAX_PORT:
        raise ValueError(f"address: {text[:60]!r} can't be connected to")
    return host, port


def _warmup_ms(cold_left_ms: float) -> int:
    """Return the remaining warm-up time in ms, rounded up."""
    if not 0 <= cold_left_ms <= MAX_WARMUP_MS:
        raise ValueError(f"cold_left_ms: {str(cold_left_ms)[:20]} is not from 0 to {MAX_WARMUP_MS}")
    return math.ceil(cold_left_ms)


def _started_ms(born: int | UnsetType) -> int:
    """Return the start time, 0 if the entry has none."""
    if isinstance(born, UnsetType):
        return 0
    if not 1 <= born < MAX_STARTED_MS:
        raise ValueError(f"born: {str(born)[:20]} is not a Unix time in ms before 2100")
    return born


def decode_job(body: bytes) -> list[JobItem]:
    """Return the items of a job; raise ValueError if its body is invalid."""
    wire = decode_content(_job_decoder, body)
    return [
        JobItem(item.id, item.path, list(item.headers.items()), item.body, item.tokens)
        for item in wire.requests
    ]


def encode_results(page: ResultPage) -> bytes:
    """Return the response body for a page of results."""
    results = [
        _Result(result.item_id, _RESULT_STATES[result.state], result.text)
        for result in page.results
    ]
    return msgspec.json.encode(_Results(page.total, results, page.next_position))
