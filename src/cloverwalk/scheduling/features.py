"""Optional parts of the scheduling policy, and why each is on or off.

A feature is on only where the configuration, the settings or the reports of replicas call for it;
elsewhere requests are served as if it did not exist. Every decision checks ``Features``, so one
place shows an operator what is in force.
"""

import enum
from collections.abc import Callable

import attrs

from cloverwalk.gateway.configuration import Configuration, ConfigurationHolder


class Feature(enum.Enum):
    """An optional part of the policy."""

    REPLICA_PACE = "replica_pace"
    """Choice of replicas and expected times use the slowdown of each replica."""

    FAIR_SHARES = "fair_shares"
    """Slots are shared fairly between tenants when there are too few."""

    REPLICA_MEMORY = "replica_memory"
    """The memory that requests need is counted against the replica's memory."""

    NODE_CAPACITY = "node_capacity"
    """A node refuses requests before its machine is overloaded."""

    ZONE_LOSS = "zone_loss"
    """Each zone is served on its own while it is cut off or another one is lost."""

    OVERLOAD_ORDER = "overload_order"
    """Queued requests are ordered by the cost of waiting; those that will miss their deadline are
    refused at once."""

    WARMUP_LIMITS = "warmup_limits"
    """Replicas that are warming up get a limited rate of requests."""

    ZONE_DRAINS = "zone_drains"
    """The replicas of drained zones get no new work."""

    CONFIGURATION_SOURCES = "configuration_sources"
    """Few nodes of each region read the configuration; the others get it from them."""

    NEAR_REGION_FIRST = "near_region_first"
    """Work goes to replicas of its own region unless all slots there are taken."""


@attrs.frozen
class FeatureState:
    """Whether a feature is on."""

    feature: Feature
    is_on: bool
    reason: str
    """Explanation for an operator: what turns it on, or what is missing."""


class Features:
    """Decides which features are on; replicas' reports are recorded as they arrive.

    >>> features = Features(ConfigurationHolder(), is_memory_scarce=True)
    >>> features.is_on(Feature.REPLICA_MEMORY), features.is_on(Feature.REPLICA_PACE)
    (False, False)
    >>> features.record_reported_slowdown("s")
    >>> features.is_on(Feature.REPLICA_PACE)
    True
    """

    def __init__(
        self,
        configuration: ConfigurationHolder,
        is_memory_scarce: bool = False,
        lost_zones: int = 0,
        regions: int = 1,
    ) -> None:
        self._configuration = configuration
        self._is_memory_scarce = is_memory_scarce
        self._lost_zones = lost_zones
        self._regions = regions
        self._drained_zones: tuple[str, ...] = ()
        self._services_with_slowdown: set[str] = set()
        self._notified: dict[Feature, FeatureState] = {}
        self._cached: dict[Feature, bool] = {}
        """Results of ``is_on`` for the configuration ``_cached_for``."""

        self._cached_for: Configuration | None = None
        self.on_change: Callable[[FeatureState], None] = _ignore_change

    def record_reported_slowdown(self, service: str) -> None:
        """Record that a replica of a service has reported its slowdown."""
        if service in self._services_with_slowdown:
            return
        self._services_with_slowdown.add(service)
        self._cached.clear()
        self.notify_changes()

    def record_drained_zones(self, zones: tuple[str, ...]) -> None:
        """Record the zones that are drained now."""
        if zones == self._drained_zones:
            return
        self._drained_zones = zones
        self._cached.clear()
        self.notify_changes()

    def is_on(self, feature: Feature) -> bool:
        """Whether a feature is on; cached, since each decision checks several times."""
        current = self._configuration.current
        if current is not self._cached_for:
            self._cached_for = current
            self._cached.clear()
        found = self._cached.get(feature)
        if found is None:
            found = self._cached[feature] = self._state(feature).is_on
        return found

    def states(self) -> list[FeatureState]:
        """Return the states of all features, in the order of their declaration."""
        return [self._state(feature) for feature in Feature]

    def notify_changes(self) -> None:
        """Notify ``on_change`` of the states that have changed since the last call.

        Call this after a change of the configuration or of the reports.
        """
        for state in self.states():
            if self._notified.get(state.feature) != state:
                self._notified[state.feature] = state
                self.on_change(state)

    def _state(self, feature: Feature) -> FeatureState:
        match feature:
            case Feature.REPLICA_PACE:
                return self._slowdown_state()
            case Feature.FAIR_SHARES:
                return self._fair_shares_state()
            case Feature.REPLICA_MEMORY:
                return self._memory_state()
            case Feature.NODE_CAPACITY:
                return self._node_capacity_state()
            case Feature.ZONE_LOSS:
                return self._zone_loss_state()
            case Feature.OVERLOAD_ORDER:
                return self._overload_order_state()
            case Feature.WARMUP_LIMITS:
                return self._warmup_state()
            case Feature.ZONE_DRAINS:
                return self._zone_drain_state()
            case Feature.CONFIGURATION_SOURCES:
                return self._regions_state(feature)
            case Feature.NEAR_REGION_FIRST:
                return self._regions_state(feature)

    def _slowdown_state(self) -> FeatureState:
        feature = Feature.REPLICA_PACE
        if self._services_with_slowdown:
            services = ", ".join(sorted(self._services_with_slowdown))
            return FeatureState(feature, True, f"replicas report their slowdown: {services}")
        return FeatureState(feature, False, "no replica reports its slowdown")

    def _fair_shares_state(self) -> FeatureState:
        feature = Feature.FAIR_SHARES
        if self._configuration.has_tenants:
            return FeatureState(feature, True, "the configuration names tenants")
        return FeatureState(feature, False, "the configuration names no tenants")

    def _overload_order_state(self) -> FeatureState:
        feature = Feature.OVERLOAD_ORDER
        if self._configuration.has_tenants:
            return FeatureState(feature, True, "the configuration names tenants")
        if self._services_with_slowdown:
            return FeatureState(feature, True, "replicas report their slowdown")
        return FeatureState(
            feature, False, "no tenants are named, and no replica reports its slowdown"
        )

    def _memory_state(self) -> FeatureState:
        feature = Feature.REPLICA_MEMORY
        if not self._is_memory_scarce:
            return FeatureState(feature, False, "the settings do not say that memory is scarce")
        if not _has_memory_size(self._configuration.current):
            return FeatureState(feature, False, "no service declares its replicas' memory")
        return FeatureState(
            feature, True, "memory is scarce, and services declare their replicas' memory"
        )

    def _node_capacity_state(self) -> FeatureState:
        feature = Feature.NODE_CAPACITY
        if self._is_memory_scarce:
            return FeatureState(feature, True, "the settings say that memory is scarce")
        return FeatureState(feature, False, "the settings do not say that memory is scarce")

    def _warmup_state(self) -> FeatureState:
        feature = Feature.WARMUP_LIMITS
        current = self._configuration.current
        services = [] if current is None else current.services.values()
        limited = sorted(service.name for service in services if service.warmup_rate_per_s > 0)
        if limited:
            return FeatureState(
                feature, True, f"services limit replicas that warm up: {', '.join(limited)}"
            )
        return FeatureState(feature, False, "no service limits replicas that warm up")

    def _zone_drain_state(self) -> FeatureState:
        feature = Feature.ZONE_DRAINS
        if self._drained_zones:
            return FeatureState(feature, True, f"drained zones: {', '.join(self._drained_zones)}")
        return FeatureState(feature, False, "no zone is drained")

    def _regions_state(self, feature: Feature) -> FeatureState:
        if self._regions > 1:
            return FeatureState(feature, True, f"the settings name {self._regions} regions")
        return FeatureState(feature, False, "the settings name a single region")

    def _zone_loss_state(self) -> FeatureState:
        feature = Feature.ZONE_LOSS
        if self._lost_zones > 0:
            return FeatureState(feature, True, "the settings say that a whole zone may be lost")
        return FeatureState(feature, False, "the settings name no zone that may be lost")


def _has_memory_size(configuration: Configuration | None) -> bool:
    if configuration is None:
        return False
    return any(service.memory_tokens > 0 for service in configuration.services.values())


def _ignore_change(state: FeatureState) -> None:
    return
