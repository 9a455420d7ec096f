"""The longest waits at which requests may join a queue, so that more urgent routes stay in time."""

import heapq
import weakref
from collections.abc import Sequence

import attrs

from cloverwalk.gateway.configuration import Route
from cloverwalk.gateway.route_index import RouteIndex
from cloverwalk.scheduling.admission import MARGIN_FRACTION
from cloverwalk.scheduling.service_times import INITIAL_START_MS, ServiceTimes

MIN_COMPACTION_ENTRIES = 64


def _allowed_ms(route: Route) -> float:
    """Return the target latency of a route without the margin."""
    return 1000 * route.target_latency_s * (1 - MARGIN_FRACTION)


@attrs.frozen(order=True)
class _Limit:
    """The limit of a measured route; outdated once its times have changed."""

    limit_ms: float
    allowed_ms: float
    name: str

    def is_current(self, times: ServiceTimes) -> bool:
        return self.limit_ms == self.allowed_ms - times.first_event_ms(self.name)


class _RouteGroup:
    """The lowest limit among the online routes of one service and priority.

    Measured routes are in a heap, in which outdated limits stay until they come to its top.
    The limit of unmeasured routes depends on their target latency alone.
    """

    def __init__(self, times: ServiceTimes) -> None:
        self._times = times
        self._measured: list[_Limit] = []
        self._max_entries = MIN_COMPACTION_ENTRIES
        self._first_unmeasured = 0
        """Routes before this position have been measured."""

    def add(self, route: Route) -> None:
        """Add the present limit of a measured route."""
        allowed_ms = _allowed_ms(route)
        limit_ms = allowed_ms - self._times.first_event_ms(route.name)
        heapq.heappush(self._measured, _Limit(limit_ms, allowed_ms, route.name))
        if len(self._measured) > self._max_entries:
            self._compact()

    def _compact(self) -> None:
        current = {limit for limit in self._measured if limit.is_current(self._times)}
        self._measured = sorted(current)
        self._max_entries = MIN_COMPACTION_ENTRIES + 2 * len(current)

    def min_limit_ms(self, routes: Sequence[Route]) -> float:
        """Return the lowest limit of the group's routes, which are sorted by target latency."""
        measured = self._measured
        while measured and not measured[0].is_current(self._times):
            heapq.heappop(measured)
        measured_ms = measured[0].limit_ms if measured else float("inf")
        return min(measured_ms, self._min_unmeasured_ms(routes))

    def _min_unmeasured_ms(self, routes: Sequence[Route]) -> float:
        while self._first_unmeasured < len(routes):
            route = routes[self._first_unmeasured]
            if not self._times.is_measured(route.name):
                return _allowed_ms(route) - INITIAL_START_MS
            self._first_unmeasured += 1
        return float("inf")


class WaitLimits:
    """Keeps the limits up to date with the service times and the configuration."""

    def __init__(self, times: ServiceTimes) -> None:
        self._times = times
        self._index: weakref.ref[RouteIndex] | None = None
        """Weak, so that a replaced configuration is released in steps by its holder."""

        self._groups: dict[tuple[str, int], _RouteGroup] = {}

    def own_limit_ms(self, route: Route) -> float:
        """Return the longest wait at which requests of the route itself are in time."""
        return max(0.0, _allowed_ms(route) - self._times.first_event_ms(route.name))

    def max_wait_ms(self, route: Route, priority: int, index: RouteIndex) -> float:
        """Return the longest wait at which a request of a route and priority may join a queue.

        Requests must not fill a queue in which those of more urgent routes would be late.
        """
        self._follow(index)
        limits_ms = [
            self._min_limit_ms(service, urgent, index)
            for service in route.services
            for urgent in index.priorities(service)
            if urgent <= priority
        ]
        if not route.is_batch:
            limits_ms.append(self.own_limit_ms(route))
        return max(0.0, min(limits_ms, default=float("inf")))

    def _follow(self, index: RouteIndex) -> None:
        changed = self._times.take_changed()
        if self._index is None or self._index() is not index:
            self._index, self._groups = weakref.ref(index), {}
            return
        for name in sorted(changed):
            for route in index.all_named(name):
                self._update(route)

    def _update(self, route: Route) -> None:
        if route.is_batch:
            return
        for service in route.services:
            group = self._groups.get((service, route.priority))
            if group is not None:
                group.add(route)

    def _min_limit_ms(self, service: str, priority: int, index: RouteIndex) -> float:
        group = self._groups.get((service, priority))
        if group is None:
            group = self._groups[service, priority] = self._new_group(service, priority, index)
        return group.min_limit_ms(index.online_routes(service, priority))

    def _new_group(self, service: str, priority: int, index: RouteIndex) -> _RouteGroup:
        group = _RouteGroup(self._times)
        for name in self._times.measured_routes():
            for route in index.all_named(name):
                if route.priority == priority and not route.is_batch and service in route.services:
                    group.add(route)
        return group
