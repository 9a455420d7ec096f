"""Limits the waits at which requests may join a queue, so that more urgent routes aren't late."""

import heapq
import weakref
from collections.abc import Iterable, Iterator, Sequence
from typing import NamedTuple

from cloverwalk.gateway.configuration import Route
from cloverwalk.gateway.route_index import RouteIndex
from cloverwalk.gateway.steps import Steps, run_steps
from cloverwalk.scheduling.admission import MARGIN_FRACTION
from cloverwalk.scheduling.service_times import INITIAL_START_MS, ServiceTimes

MIN_COMPACTION_ENTRIES = 64
ROUTES_PER_STEP = 500

_GroupKey = tuple[str, int]
"""Service and priority."""


def _allowed_ms(route: Route) -> float:
    """Return the target latency of a route without the margin."""
    return 1000 * route.target_latency_s * (1 - MARGIN_FRACTION)


class _Limit(NamedTuple):
    """The limit of a measured route, with the values needed to detect that it is outdated."""

    limit_ms: float
    allowed_ms: float
    name: str

    def is_current(self, times: ServiceTimes) -> bool:
        return self.limit_ms == self.allowed_ms - times.first_event_ms(self.name)


class _RouteGroup:
    """The lowest limit among the online routes of one service and priority.

    Measured routes are in a heap, from which outdated limits are removed when they reach the top.
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
        name, allowed_ms = route.name, _allowed_ms(route)
        limit_ms = allowed_ms - self._times.first_event_ms(name)
        heapq.heappush(self._measured, _Limit(limit_ms, allowed_ms, name))
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


class _GroupTable:
    """The groups of one version of the configuration, created on demand."""

    def __init__(self, index: RouteIndex, times: ServiceTimes) -> None:
        self._index = weakref.ref(index)
        """Weak, so that the holder of a replaced configuration can release it in steps."""

        self._times = times
        self.by_key: dict[_GroupKey, _RouteGroup] = {}

    def belongs_to(self, index: RouteIndex) -> bool:
        """Whether the groups were built for this index."""
        return self._index() is index

    def update(self, names: Iterable[str]) -> None:
        """Add the present limits of routes whose times have changed."""
        index = self._index()
        if index is None or not self.by_key:
            return
        for name in names:
            for route in index.all_named(name):
                if not route.is_batch:
                    for service in route.services:
                        group = self.by_key.get((service, route.priority))
                        if group is not None:
                            group.add(route)

    def build(self, key: _GroupKey) -> Steps[None]:
        """Create a group with the routes that have been measured, in steps."""
        index = self._index()
        if index is None:
            return
        group = self.by_key[key] = _RouteGroup(self._times)
        routes: Iterable[Route] = index.online_routes(*key)
        if len(index.online_routes(*key)) > self._times.measured_count:
            routes = self._measured_routes(key, index)
        for number, route in enumerate(routes):
            if self._times.is_measured(route.name):
                group.add(route)
            if number % ROUTES_PER_STEP == ROUTES_PER_STEP - 1:
                yield

    def _measured_routes(self, key: _GroupKey, index: RouteIndex) -> Iterator[Route]:
        service, priority = key
        for name in list(self._times.measured_routes()):
            for route in index.all_named(name):
                if route.priority == priority and not route.is_batch and service in route.services:
                    yield route


class WaitLimits:
    """Keeps the limits up to date with the service times and the configuration."""

    def __init__(self, times: ServiceTimes) -> None:
        self._times = times
        self._current: _GroupTable | None = None
        self._prepared: _GroupTable | None = None

    def prepare(self, index: RouteIndex) -> Steps[None]:
        """Build the groups of a version that is applied next, in steps."""
        if self._current is None:
            return
        self._prepared = table = _GroupTable(index, self._times)
        for key in list(self._current.by_key):
            yield from table.build(key)

    def own_limit_ms(self, route: Route) -> float:
        """Return the longest wait at which requests of the route itself meet their target."""
        return max(0.0, _allowed_ms(route) - self._times.first_event_ms(route.name))

    def max_wait_ms(self, route: Route, priority: int, index: RouteIndex) -> float:
        """Return the longest wait at which a request of a route and priority may join a queue.

        Requests must not fill a queue in which those of more urgent routes would be late.
        """
        table = self._table(index)
        limits_ms = [
            self._min_limit_ms(table, (service, urgent), index)
            for service in route.services
            for urgent in index.priorities(service)
            if urgent <= priority
        ]
        if not route.is_batch:
            limits_ms.append(self.own_limit_ms(route))
        return max(0.0, min(limits_ms, default=float("inf")))

    def _table(self, index: RouteIndex) -> _GroupTable:
        """Return the groups of a version, with the present limits."""
        changed = sorted(self._times.take_changed())
        for table in (self._current, self._prepared):
            if table is not None:
                table.update(changed)
        if self._current is None or not self._current.belongs_to(index):
            is_prepared = self._prepared is not None and self._prepared.belongs_to(index)
            self._current = self._prepared if is_prepared else None
            self._prepared = None
        if self._current is None:
            self._current = _GroupTable(index, self._times)
        return self._current

    def _min_limit_ms(self, table: _GroupTable, key: _GroupKey, index: RouteIndex) -> float:
        if key not in table.by_key:
            run_steps(table.build(key))
        return table.by_key[key].min_limit_ms(index.online_routes(*key))
