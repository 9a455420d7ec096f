"""Routes, tenants and services of a soak, and the operator that changes the configuration."""

from collections import Counter
from typing import Any

import attrs

from cloverwalk.emulator.platform_store_server import PlatformStoreServer
from cloverwalk.platform import names
from cloverwalk.soak.events import (
    ConfigurationWritten,
    RouteFact,
    TenantFact,
    ZoneDrained,
    ZoneDrainLifted,
)
from cloverwalk.soak.history import History

HOST = "soak.example"
SERVICES = ("alpha", "beta")
ZONES = ("z1", "z2", "z3")
SOFTWARE_VERSIONS = ("v1", "v2", "v3")
SLOTS_PER_REPLICA = 8
TIMEOUT_MS = 4_000
PAUSED_TIMEOUT_MS = 6_000
LONG_TIMEOUT_MS = 60_000
"""For streams whose clients disconnect early; longer than any of them lasts."""

JOB_COMPLETION_TARGET_MS = 20_000
LONG_RETENTION_S = 3_600.0
"""Longer than most soaks, so that no item becomes a dead letter because of its age."""

SHORT_RETENTION_S = 6.0
MAX_QUEUED_TOKENS = 400
"""Limit of queued tokens on the route ``limited``: a few jobs of ten items."""

CLIENT_LIMITS = {
    "header_timeout_ms": 1_500,
    "idle_timeout_ms": 15_000,
    "max_body_bytes": 1_000_000,
}
UNKNOWN_KEY = "key-of-nobody"


@attrs.frozen
class RouteSpec:
    """A route of the configuration."""

    name: str
    kind: str
    service: str
    max_attempts: int = 3
    timeout_ms: int = TIMEOUT_MS
    is_resumable: bool = False
    is_public: bool = False
    retention_s: float = 0.0
    max_queued_tokens: int = 0

    @property
    def prefix(self) -> str:
        """The path prefix."""
        return f"/{self.name}/"

    @property
    def is_batch(self) -> bool:
        """Whether it accepts jobs."""
        return self.kind == "batch"

    @property
    def may_repeat(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind == "safe" or self.is_resumable

    def document(self) -> dict[str, Any]:
        """Return the route as a part of the configuration document."""
        return {
            "name": self.name,
            "host": HOST,
            "path_prefix": self.prefix,
            "route_kind": self.kind,
            "timeout_ms": self.timeout_ms,
            "target_latency_ms": 500,
            "service": self.service,
            "max_attempts": self.max_attempts,
            "resumable": self.is_resumable,
            "public": self.is_public,
            "completion_target_ms": JOB_COMPLETION_TARGET_MS if self.is_batch else 0,
            "retention_s": self.retention_s,
            "max_queued_tokens": self.max_queued_tokens,
        }

    def fact(self) -> RouteFact:
        """Return the route as recorded in the history."""
        return RouteFact(
            self.name,
            self.prefix,
            [self.service],
            self.max_attempts,
            self.is_batch,
            self.is_public,
            self.max_queued_tokens,
        )


ROUTES = (
    RouteSpec("chat", "streaming", "alpha", is_resumable=True),
    RouteSpec("once", "streaming", "alpha"),
    RouteSpec("safe", "safe", "alpha"),
    RouteSpec("unsafe", "unsafe", "beta"),
    RouteSpec("open", "safe", "beta", is_public=True),
    RouteSpec("long", "streaming", "beta", timeout_ms=LONG_TIMEOUT_MS, is_resumable=True),
    RouteSpec("moved", "safe", "alpha"),
    RouteSpec("flicker", "safe", "beta"),
    RouteSpec("jobs", "batch", "beta", retention_s=LONG_RETENTION_S),
    RouteSpec(
        "limited",
        "batch",
        "alpha",
        retention_s=LONG_RETENTION_S,
        max_queued_tokens=MAX_QUEUED_TOKENS,
    ),
    RouteSpec("brief", "batch", "alpha", retention_s=SHORT_RETENTION_S),
    RouteSpec("flickerjobs", "batch", "beta", retention_s=LONG_RETENTION_S),
    RouteSpec("paused", "streaming", "alpha", max_attempts=1, timeout_ms=PAUSED_TIMEOUT_MS),
)
PAUSED_ROUTE = ROUTES[-1]
"""Streams of seconds on connections that their clients keep."""

REMOVABLE_ROUTES = ("flicker", "flickerjobs")
MOVABLE_ROUTES = ("moved",)


@attrs.define
class TenantState:
    """A tenant with its current and its revoked API keys."""

    name: str
    rate_per_s: float = 0.0
    burst: float = 0.0
    keys: list[str] = attrs.Factory(list)
    old_keys: list[str] = attrs.Factory(list)
    issued_count: int = 0

    def issue_key(self) -> None:
        """Add a new API key."""
        self.issued_count += 1
        self.keys.append(f"key-{self.name}-{self.issued_count}")

    def fact(self) -> TenantFact:
        """Return the tenant as recorded in the history."""
        return TenantFact(self.name, list(self.keys), self.rate_per_s, self.burst)

    def document(self) -> dict[str, Any]:
        """Return the tenant as a part of the configuration document."""
        return {
            "name": self.name,
            "api_keys": list(self.keys),
            "rate_per_s": self.rate_per_s,
            "burst": self.burst,
        }


QUOTAS = {"archive": (0.0, 0.0), "hall": (0.0, 0.0), "news": (8.0, 8.0), "quiz": (16.0, 20.0)}
"""Rate in requests per second and burst in requests, by tenant; 0 means no limit."""

LIMITED_TENANTS = ("news", "quiz")
KEYS_AT_START = 2


class Operator:
    """Changes the configuration and writes each version to the store."""

    def __init__(self, store: PlatformStoreServer, history: History) -> None:
        self._store = store
        self._history = history
        self.version = 0
        self._drains_by_zone: Counter[str] = Counter()
        self.routes = {route.name: route for route in ROUTES}
        self.tenants = {
            name: TenantState(name, rate_per_s, burst)
            for name, (rate_per_s, burst) in QUOTAS.items()
        }
        for tenant in self.tenants.values():
            for _ in range(KEYS_AT_START):
                tenant.issue_key()

    def write(self) -> None:
        """Write a new version of the configuration."""
        self.version += 1
        document = {
            "version": self.version,
            "routes": [route.document() for route in self.routes.values()],
            "services": [
                {"name": name, "engine": {"slots": SLOTS_PER_REPLICA}} for name in SERVICES
            ],
            "limits": CLIENT_LIMITS,
            "tenants": [tenant.document() for tenant in self.tenants.values()],
        }
        # Recorded first, since a node may use the version as soon as the store has it.
        self._history.record(
            ConfigurationWritten(
                version=self.version,
                routes=[route.fact() for route in self.routes.values()],
                tenants=[tenant.fact() for tenant in self.tenants.values()],
            )
        )
        self._store.put(names.OPERATOR_TABLE, names.CONFIGURATION_KEY, document)

    def drain_zone(self, zone: str) -> None:
        """Drain a zone; drains of a zone may overlap."""
        self._drains_by_zone[zone] += 1
        self._store.put(names.OPERATOR_TABLE, names.ZONE_DRAIN_KEY_PREFIX + zone, {})
        self._history.record(ZoneDrained(zone=zone))

    def lift_zone_drain(self, zone: str) -> None:
        """Lift the drain of a zone, unless another drain of it goes on."""
        self._drains_by_zone[zone] -= 1
        if self._drains_by_zone[zone] == 0:
            # Recorded first, since a node may use the zone as soon as the row is gone.
            self._history.record(ZoneDrainLifted(zone=zone))
            self._store.remove(names.OPERATOR_TABLE, names.ZONE_DRAIN_KEY_PREFIX + zone)

    def replace_key(self, name: str) -> None:
        """Revoke the oldest API key of a tenant and add a new one."""
        tenant = self.tenants[name]
        tenant.old_keys.append(tenant.keys.pop(0))
        tenant.issue_key()
        self.write()

    def set_quota(self, name: str, rate_per_s: float) -> None:
        """Change the rate of a tenant's quota."""
        self.tenants[name].rate_per_s = rate_per_s
        self.write()

    def remove_route(self, name: str) -> None:
        """Remove a route from the configuration."""
        if self.routes.pop(name, None) is not None:
            self.write()

    def restore_route(self, name: str) -> None:
        """Add a removed route again."""
        if name not in self.routes:
            self.routes[name] = next(route for route in ROUTES if route.name == name)
            self.write()

    def move_route(self, name: str) -> None:
        """Move a route to the other service."""
        route = self.routes[name]
        other_service = next(service for service in SERVICES if service != route.service)
        self.routes[name] = attrs.evolve(route, service=other_service)
        self.write()
