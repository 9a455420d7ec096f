"""Looks up routes by host and path, by name, and by service, without scanning all of them."""

from bisect import bisect_left
from collections.abc import Iterable, Sequence
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from cloverwalk.gateway.configuration import Route
    from cloverwalk.gateway.steps import Steps

ROUTES_PER_STEP = 500


def normalized_host(host: str) -> str:
    """Return the host of a request in the form used by routes: lower case, without the port."""
    return host.rsplit(":", 1)[0].lower()


@attrs.define
class _PrefixTable:
    """Routes of one host by prefix, with the lengths of the prefixes."""

    _by_prefix: "dict[str, Route]" = attrs.Factory(dict)
    _lengths: list[int] = attrs.Factory(list)
    """In ascending order, without duplicates."""

    def add(self, route: "Route") -> None:
        """Add a route; of several with the same prefix the first one is found."""
        self._by_prefix.setdefault(route.prefix, route)
        length = len(route.prefix)
        position = bisect_left(self._lengths, length)
        if self._lengths[position : position + 1] != [length]:
            self._lengths.insert(position, length)

    def find(self, path: str) -> "Route | None":
        """Return the route with the longest prefix of ``path``."""
        for length in reversed(self._lengths):
            if length <= len(path):
                route = self._by_prefix.get(path[:length])
                if route is not None:
                    return route
        return None


class RouteIndex:
    """The routes of one version of the configuration."""

    def __init__(self) -> None:
        self._by_host: dict[str, _PrefixTable] = {}
        self._batch_by_host: dict[str, _PrefixTable] = {}
        self._by_name: dict[str, tuple[Route, ...]] = {}
        self._online_by_service: dict[str, dict[int, list[Route]]] = {}
        self._hosts_with_public_jobs: set[str] = set()

    def find(self, host: str, path: str) -> "Route | None":
        """Return the route with the longest prefix of ``path`` on ``host``."""
        table = self._by_host.get(normalized_host(host))
        return None if table is None else table.find(path)

    def find_batch(self, host: str, path: str) -> "Route | None":
        """Return the batch route with the longest prefix of ``path``, ignoring other routes."""
        table = self._batch_by_host.get(normalized_host(host))
        return None if table is None else table.find(path)

    def has_public_jobs(self, host: str) -> bool:
        """Whether a batch route on ``host`` needs no key."""
        return normalized_host(host) in self._hosts_with_public_jobs

    def first_named(self, name: str) -> "Route | None":
        """Return the first route with a name."""
        return next(iter(self.all_named(name)), None)

    def all_named(self, name: str) -> "Sequence[Route]":
        """Return the routes with a name, normally one."""
        return self._by_name.get(name, ())

    def priorities(self, service: str) -> Iterable[int]:
        """Return the priorities of the online routes of a service."""
        return self._online_by_service.get(service, {})

    def online_routes(self, service: str, priority: int) -> "Sequence[Route]":
        """Return the online routes of a service and priority, by ascending target latency."""
        return self._online_by_service.get(service, {}).get(priority, ())

    def _add(self, route: "Route") -> None:
        self._by_host.setdefault(route.host, _PrefixTable()).add(route)
        self._by_name[route.name] = (*self._by_name.get(route.name, ()), route)
        if not route.is_batch:
            for service in route.services:
                by_priority = self._online_by_service.setdefault(service, {})
                by_priority.setdefault(route.priority, []).append(route)
            return
        self._batch_by_host.setdefault(route.host, _PrefixTable()).add(route)
        if route.is_public:
            self._hosts_with_public_jobs.add(route.host)

    @classmethod
    def build(cls, routes: "Sequence[Route]") -> "Steps[RouteIndex]":
        """Build the index in steps."""
        index = cls()
        for start in range(0, len(routes), ROUTES_PER_STEP):
            for route in routes[start : start + ROUTES_PER_STEP]:
                index._add(route)
            yield
        for by_priority in index._online_by_service.values():
            for online in by_priority.values():
                online.sort(key=_target_latency)
                yield
        return index


def _target_latency(route: "Route") -> float:
    return route.target_latency_s
