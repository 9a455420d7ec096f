"""The current configuration: routes, services and the limits of clients."""

from enum import Enum

from msgspec import Struct

from cloverwalk.tenants.directory import Tenant, TenantDirectory


class RouteKind(Enum):
    """How requests of a route may be handled."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"
    BATCH = "batch"


class RoutePart(Struct, frozen=True, array_like=True):
    """A service that gets a share of a route's requests."""

    service: str
    weight: float


class Route(Struct, frozen=True, array_like=True):
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
    """How long a replica warms up after its start; 0 if it needn't."""

    warmup_rate_per_s: float = 0.0
    """Requests per second that a replica bears while it warms up; 0 is no limit."""


class ClientLimits(Struct, frozen=True, array_like=True):
    """Limits on the size of a client's requests and on its timing."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


CONFIGURATION_FORMAT = 1
"""Format of the configurations that this build makes; higher with each field that is appended to
routes, services, limits or tenants."""


class Configuration(Struct, frozen=True, array_like=True):
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
        return max(self._routes_of(host, path), key=_prefix_length, default=None)

    def find_batch_route(self, host: str, path: str) -> Route | None:
        """Return the batch route with the longest prefix of ``path``, ignoring other routes.

        A job keeps its route when a longer prefix is added for requests of another kind.
        """
        batch = [route for route in self._routes_of(host, path) if route.kind is RouteKind.BATCH]
        return max(batch, key=_prefix_length, default=None)

    def _routes_of(self, host: str, path: str) -> list[Route]:
        name = host.rsplit(":", 1)[0].lower()
        return [
            route for route in self.routes if route.host == name and path.startswith(route.prefix)
        ]


def _prefix_length(route: Route) -> int:
    return len(route.prefix)


MAX_CONFIGURATION_AGE_MS = 1_000_000
"""Upper bound of the reported age; also the age of a configuration that was never confirmed."""


class ConfigurationHolder:
    """Holds the newest configuration; an older version never replaces it."""

    def __init__(self) -> None:
        self.current: Configuration | None = None
        self.tenants = TenantDirectory()
        """The tenants of ``current``."""

        self.confirmed_at = float("-inf")
        """When the current version was last known to be the newest (monotonic clock, seconds)."""

    @property
    def version(self) -> int:
        """The current version, or -1 if there is none."""
        return -1 if self.current is None else self.current.version

    @property
    def complete_version(self) -> int:
        """The current version, or -1 if an earlier build left out fields that this one knows."""
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
            return self._complete(configuration)
        self._replace(configuration)
        return True

    def _complete(self, configuration: Configuration) -> bool:
        """Replace the current version by itself in a later format; return whether it is one."""
        current = self.current
        if current is None or configuration.version != current.version:
            return False
        if configuration.format <= current.format:
            return False
        self._replace(configuration)
        return True

    def _replace(self, configuration: Configuration) -> None:
        self.current = configuration
        self.tenants = TenantDirectory(configuration.tenants or ())
