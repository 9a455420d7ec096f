"""Reference implementations of route lookups and wait limits that scan all routes."""

from collections.abc import Sequence

from cloverwalk.gateway.configuration import Route, RouteKind
from cloverwalk.scheduling.admission import MARGIN_FRACTION
from cloverwalk.scheduling.service_times import ServiceTimes


def routes_by_walk(routes: Sequence[Route], host: str, path: str) -> list[Route]:
    name = host.rsplit(":", 1)[0].lower()
    return [route for route in routes if route.host == name and path.startswith(route.prefix)]


def longest(routes: Sequence[Route]) -> Route | None:
    return max(routes, key=lambda route: len(route.prefix), default=None)


def max_wait_by_walk(
    route: Route, priority: int, routes: Sequence[Route], times: ServiceTimes
) -> float:
    urgent = [
        other
        for other in routes
        if other.kind is not RouteKind.BATCH
        and (other.priority <= priority or other == route)
        and set(route.services) & set(other.services)
    ]
    limits = (
        1000 * other.target_latency_s * (1 - MARGIN_FRACTION) - times.first_event_ms(other.name)
        for other in urgent
    )
    return max(0.0, min(limits))
