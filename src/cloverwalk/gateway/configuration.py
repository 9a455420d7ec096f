"""The configuration in force: routes, services and what clients may send."""

from enum import Enum

from msgspec import Struct

from cloverwalk.tenants.directory import Tenant, TenantDirectory


class RouteKind(Enum):
    """What may be done with a request of a route."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"
    BATCH = "batch"


class RoutePart(Struct, frozen=True, array_like=True):
    """A service that takes a share of a route's requests."""

    service: str
    weight: float


class Route(Struct, frozen=True, array_like=True):
    """Requests of one host below one path prefix."""

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
    """Tokens that a tenant's jobs on the route may hold waiting; 0 is no limit."""

    is_public: bool = False
    """Whether its callers need no key."""

    @property
    def is_retryable(self) -> bool:
        """Whether a request may run again after a failure."""
        return self.kind is RouteKind.SAFE or self.is_resumable

    @property
    def services(self) -> list[str]:
        """The services of the route, each once."""
        return list(dict.fromkeys(part.service for part in self.parts))


class Service(Struct, frozen=True, array_like=True):
    """A group of replicas that serve the same models."""

    name: str
    slots: int
    max_connections: int
    memory_tokens: int = 0
    """Tokens that a replica's memory holds; 0: the configuration does not say."""

    tokens_an_event: int = 1
    """The most tokens that one event of a stream may hold."""


class ClientLimits(Struct, frozen=True, array_like=True):
    """Bounds on what a client may send and on how long it may take."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Configuration(Struct, frozen=True, array_like=True):
    """One version of the configuration, whole."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: ClientLimits
    tenants: tuple[Tenant, ...] | None = None
    """Who may call; None: callers have no keys."""

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
        """Return the batch route with the longest prefix of ``path``, also behind other routes.

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


class ConfigurationHolder:
    """Keeps the newest configuration; an older one never takes its place."""

    def __init__(self) -> None:
        self.current: Configuration | None = None
        self.tenants = TenantDirectory()
        """Those of ``current``."""

    @property
    def version(self) -> int:
        """The version in force, or -1 when none is known."""
        return -1 if self.current is None else self.current.version

    @property
    def has_tenants(self) -> bool:
        """Whether callers have keys."""
        return self.current is not None and self.current.tenants is not None

    def update_if_newer(self, configuration: Configuration) -> bool:
        """Take a configuration if it is newer; return whether it was.

        >>> holder = ConfigurationHolder()
        >>> newer = Configuration(7, (), {}, ClientLimits())
        >>> holder.update_if_newer(newer), holder.update_if_newer(
        ...     Configuration(6, (), {}, ClientLimits())
        ... )
        (True, False)
        >>> holder.version
        7
        """
        if configuration.version <= self.version:
            return False
        self.current = configuration
        self.tenants = TenantDirectory(configuration.tenants or ())
        return True
