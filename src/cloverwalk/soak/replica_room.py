"""Slots of replicas that online requests leave free, by what the replicas themselves ran."""

from collections import Counter

from cloverwalk.soak.deployment import SLOTS_PER_REPLICA
from cloverwalk.soak.events import (
    ConfigurationWritten,
    ReplicaStarted,
    ReplicaStopped,
    RequestSent,
    RunBegan,
    RunEnded,
    ZoneDrained,
    ZoneDrainLifted,
)

FULL_SHARE = 0.875
"""Share of the slots in use at which replicas are full: one slot of each may be free, since a
request on its way to a replica is no run yet."""


class ReplicaRoom:
    """Follows the runs of online requests at replicas that are ready and not in a drained zone.

    Items leave no room unused: online requests get their slots.
    """

    def __init__(self) -> None:
        self._services_by_prefix: dict[str, list[str]] = {}
        self._ready: dict[str, ReplicaStarted] = {}
        self._known_services: set[str] = set()
        self._drained_zones: set[str] = set()
        self._online: set[str] = set()
        self._replica_by_run: dict[int, str] = {}
        self._running: Counter[str] = Counter()
        """Number of runs of online requests, by replica."""

    def handle(self, event: object) -> None:
        """Update the runs, replicas and routes by an event."""
        match event:
            case ConfigurationWritten():
                self._services_by_prefix = {route.prefix: route.services for route in event.routes}
            case ReplicaStarted():
                self._ready[event.replica] = event
                self._known_services.add(event.service)
            case ReplicaStopped():
                self._ready.pop(event.replica, None)
            case ZoneDrained():
                self._drained_zones.add(event.zone)
            case ZoneDrainLifted():
                self._drained_zones.discard(event.zone)
            case RequestSent():
                self._online.add(event.request)
            case RunBegan() if event.request in self._online:
                self._replica_by_run[event.run] = event.replica
                self._running[event.replica] += 1
            case RunEnded() if event.run in self._replica_by_run:
                self._running[self._replica_by_run.pop(event.run)] -= 1

    def is_full(self, target: str) -> bool:
        """Whether the replicas that can run a request to ``target`` are full."""
        services = self._services(target)
        if not self._known_services.intersection(services):
            return False
        usable = [
            replica
            for replica, started in self._ready.items()
            if started.service in services and started.zone not in self._drained_zones
        ]
        slots = len(usable) * SLOTS_PER_REPLICA
        return sum(self._running[replica] for replica in usable) >= FULL_SHARE * slots

    def _services(self, target: str) -> list[str]:
        for prefix, services in self._services_by_prefix.items():
            if target.startswith(prefix):
                return services
        return []
