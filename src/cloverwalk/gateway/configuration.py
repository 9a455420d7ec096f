"""The current configuration: routes, services and the limits of clients."""

from collections.abc import Callable
from enum import Enum
from functools import cached_property

from msgspec import Struct

from cloverwalk.gateway.route_index import ROUTES_PER_STEP, RouteIndex
from cloverwalk.gateway.steps import Steps, run_steps
from cloverwalk.tenants.directory import Tenant, TenantDirectory


class RouteKind(Enum):
    """How requests of a route may be handled."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"
    BATCH = "batch"


class RoutePart(Struct, frozen=True, array_like=True, gc=False):
    """A service that gets a share of a route's requests."""

    service: str
    weight: float


class Route(Struct, frozen=True, array_like=True, gc=False):
    """The requests of one host below one path prefix."""

    name: str
    host: str
    prefix: str
    kind: RouteKind
    parts: tuple[RoutePart, ...]
    timeout_s: float
    target_latency_s: float
    max_attempts: int
    priority: int = 0
    is_resumable: bool = False
    target_gap_s: float = 1.0
    completion_target_s: float = 0.0
    retention_s: float = 0.0
    max_queued_tokens: int = 0
    """Tokens that a tenant's jobs on the route may have queued; 0 is no limit."""

    is_public: bool = False
    """Whether its callers need no key."""

    @property
    def is_retryable(self) -> bool:
        """Whether a request may run again after a failure."""
        return self.kind is RouteKind.SAFE or self.is_resumable

    @property
    def is_batch(self) -> bool:
        """Whether its requests are batch jobs."""
        return self.kind is RouteKind.BATCH

    @property
    def services(self) -> list[str]:
        """The services of the route, without duplicates."""
        return list(dict.fromkeys(part.service for part in self.parts))


class Service(Struct, frozen=True, array_like=True):
    """A group of replicas that serve the same models."""

    name: str
    slots: int
    max_connections: int
    memory_tokens: int = 0
    """Tokens that fit into a replica's memory; 0 if not configured."""

    tokens_an_event: int = 1
    """Maximum tokens in one event of a stream."""

    warmup_s: float = 0.0
    """Warm-up time of a replica after its start; 0 if it needs none."""

    warmup_rate_per_s: float = 0.0
    """Limit on the requests per second to a replica that is warming up; 0 means no limit."""


class ClientLimits(Struct, frozen=True, array_like=True):
    """Limits on the size of a client's requests and on its timing."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


CONFIGURATION_FORMAT = 1
"""Format of the configurations that this build decodes from the store; incremented with each field
that is appended to routes, services, limits or tenants."""


class Configuration(Struct, frozen=True, array_like=True, dict=True):
    """One version of the configuration."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: ClientLimits
    tenants: tuple[Tenant, ...] | None = None
    """The tenants that may call; None if callers have no keys."""

    format: int = 0
    """``CONFIGURATION_FORMAT`` of the build that read the configuration from the store; 0 if that
    build does not know the limits of replicas that warm up."""

    @property
    def has_warmup_limits(self) -> bool:
        """Whether a service limits the requests to replicas that are warming up."""
        return any(service.warmup_rate_per_s > 0 for service in self.services.values())

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of ``path`` on ``host``.

        >>> part = (RoutePart("s", 1.0),)
        >>> short = Route("a", "h", "/x/", RouteKind.SAFE, part, 1.0, 1.0, 1)
        >>> long = Route("b", "h", "/x/y/", RouteKind.SAFE, part, 1.0, 1.0, 1)
        >>> configuration = Configuration(1, (short, long), {}, ClientLimits())
        >>> configuration.find_route("H:80", "/x/y/z").name
        'b'
        >>> configuration.find_route("h", "/y") is None
        True
        """
        return self.index.find(host, path)

    def find_batch_route(self, host: str, path: str) -> Route | None:
        """Return the batch route with the longest prefix of ``path``, ignoring other routes.

        A job keeps its route when a longer prefix is added for requests of another kind.
        """
        return self.index.find_batch(host, path)

    @cached_property
    def index(self) -> RouteIndex:
        """The index of the routes, built at the first use unless ``build_index`` was run."""
        return run_steps(RouteIndex.build(self.routes))

    def build_index(self) -> Steps[None]:
        """Build the index in steps, before the configuration is used."""
        self.__dict__["index"] = yield from RouteIndex.build(self.routes)


MAX_CONFIGURATION_AGE_MS = 1_000_000
"""Upper bound of the reported age; also the age of a configuration that was never confirmed."""


class ConfigurationHolder:
    """Holds the newest configuration; an older version never replaces it."""

    def __init__(self) -> None:
        self.current: Configuration | None = None
        self.tenants = TenantDirectory()
        """The tenants of ``current``."""

        self.preparations: list[Callable[[Configuration], Steps[None]]] = []
        """Build what is derived from a newer configuration, before it is applied."""

        self._replaced: list[Configuration] = []
        """Replaced configurations with many routes that ``release_replaced`` has yet to release."""

        self.confirmed_at = float("-inf")
        """When the current version was last known to be the newest (monotonic clock, seconds)."""

    @property
    def version(self) -> int:
        """The current version, or -1 if there is none."""
        return -1 if self.current is None else self.current.version

    @property
    def complete_version(self) -> int:
        """The current version, or -1 if it lacks fields that an earlier build did not know."""
        is_complete = self.current is not None and self.current.format >= CONFIGURATION_FORMAT
        return self.version if is_complete else -1

    @property
    def has_tenants(self) -> bool:
        """Whether callers have keys."""
        return self.current is not None and self.current.tenants is not None

    def age_ms(self, now: float) -> int:
        """Return the time since the current version was last known to be the newest, in ms."""
        return int(min(MAX_CONFIGURATION_AGE_MS, (now - self.confirmed_at) * 1000))

    def record_confirmation(self, version: int, confirmed_at: float) -> None:
        """Record that ``version`` was the newest at ``confirmed_at``; ignored if it isn't current.

        >>> holder = ConfigurationHolder()
        >>> holder.update_if_newer(Configuration(7, (), {}, ClientLimits()))
        True
        >>> holder.record_confirmation(6, 2.0)
        >>> holder.record_confirmation(7, 1.0)
        >>> holder.age_ms(1.5)
        500
        """
        if version == self.version:
            self.confirmed_at = max(self.confirmed_at, confirmed_at)

    def prepare(self, configuration: Configuration) -> Steps[None]:
        """Build in steps what is derived from a configuration, if it is newer.

        Otherwise it is built at the first use, in one step.
        """
        if configuration.version > self.version:
            for preparation in self.preparations:
                yield from preparation(configuration)

    def update_if_newer(self, configuration: Configuration) -> bool:
        """Replace the configuration by a newer one; return whether it was newer.

        The same version in a later format is newer: it has fields that an earlier build, which
        sent the current one, does not know.

        >>> holder = ConfigurationHolder()
        >>> newer = Configuration(7, (), {}, ClientLimits())
        >>> holder.update_if_newer(newer), holder.update_if_newer(
        ...     Configuration(6, (), {}, ClientLimits())
        ... )
        (True, False)
        >>> holder.version, holder.complete_version
        (7, -1)
        >>> complete = Configuration(7, (), {}, ClientLimits(), format=CONFIGURATION_FORMAT)
        >>> holder.update_if_newer(complete), holder.update_if_newer(newer)
        (True, False)
        >>> holder.complete_version
        7
        """
        if configuration.version <= self.version:
            return self._update_format(configuration)
        self._replace(configuration)
        return True

    def _update_format(self, configuration: Configuration) -> bool:
        """Replace the current version by the same one in a later format; return whether it did."""
        current = self.current
        if current is None or configuration.version != current.version:
            return False
        if configuration.format <= current.format:
            return False
        self._replace(configuration)
        return True

    def _replace(self, configuration: Configuration) -> None:
        if self.current is not None and len(self.current.routes) > ROUTES_PER_STEP:
            self._replaced.append(self.current)
        self.current = configuration
        self.tenants = TenantDirectory(configuration.tenants or ())

    @property
    def has_replaced(self) -> bool:
        """Whether there are replaced configurations to release."""
        return bool(self._replaced)

    def release_replaced(self) -> Steps[None]:
        """Release replaced configurations in steps.

        Freeing many routes at once would block the event loop.
        """
        while self._replaced:
            routes = list(self._replaced.pop().routes)
            yield
            while routes:
                del routes[-ROUTES_PER_STEP:]
                yield
