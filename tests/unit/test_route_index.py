"""The route index and the wait limits give the same results as a scan of all routes."""

from unittest import mock

from hypothesis import given
from hypothesis import strategies as st
from route_walk import longest, max_wait_by_walk, routes_by_walk

from cloverwalk.gateway.configuration import (
    ClientLimits,
    Configuration,
    Route,
    RouteKind,
    RoutePart,
)
from cloverwalk.gateway.steps import run_steps
from cloverwalk.scheduling import wait_limits
from cloverwalk.scheduling.service_times import ServiceTimes
from cloverwalk.scheduling.wait_limits import WaitLimits

HOSTS = st.sampled_from(["a.x", "b.x", "[::1]"])
LONGEST_PATH = "/a/ab/b/"
PREFIXES = st.one_of(
    st.integers(0, len(LONGEST_PATH)).map(lambda length: LONGEST_PATH[:length]),
    st.text("/ab", max_size=4),
)
PATHS = st.one_of(PREFIXES, st.just(LONGEST_PATH + "a"), st.text("/ab", max_size=6))
NAMES = st.sampled_from("pqrst")
TIMES = st.sampled_from([0.1, 0.2, 0.4])
ROUTES = st.lists(
    st.builds(
        Route,
        name=NAMES,
        host=HOSTS,
        prefix=PREFIXES,
        kind=st.sampled_from(RouteKind),
        parts=st.lists(
            st.builds(RoutePart, st.sampled_from(["s", "t"]), st.just(1.0)), min_size=1, max_size=2
        ).map(tuple),
        timeout_s=st.just(1.0),
        target_latency_s=TIMES,
        max_attempts=st.just(1),
        priority=st.integers(0, 2),
        is_public=st.booleans(),
    ),
    max_size=8,
)


def configuration(routes: list[Route]) -> Configuration:
    return Configuration(1, tuple(routes), {}, ClientLimits())


# Guards against an index that finds another route than a scan of all routes.
@given(ROUTES, HOSTS, st.sampled_from(["", ":80"]), st.booleans(), PATHS)
def test_index_finds_the_same_routes_as_a_walk(
    routes: list[Route], host: str, port: str, is_upper: bool, path: str
) -> None:
    host = (host.upper() if is_upper else host) + port
    matching = routes_by_walk(routes, host, path)
    batch = [route for route in matching if route.kind is RouteKind.BATCH]
    assert configuration(routes).find_route(host, path) is longest(matching)
    assert configuration(routes).find_batch_route(host, path) is longest(batch)


# Guards against an index that finds another route by name, or other hosts with public jobs.
@given(ROUTES, NAMES, HOSTS)
def test_index_finds_names_and_public_jobs_as_a_walk(
    routes: list[Route], name: str, host: str
) -> None:
    index = configuration(routes).index
    assert index.first_named(name) is next((r for r in routes if r.name == name), None)
    is_public = any(
        r.is_public and r.kind is RouteKind.BATCH and r.host == host.rsplit(":", 1)[0]
        for r in routes
    )
    assert index.has_public_jobs(host) == is_public


MEASUREMENTS = st.lists(st.tuples(NAMES, st.floats(1.0, 300.0)), max_size=90)


# Guards against limits from outdated service times or routes of an earlier configuration.
@given(st.lists(st.tuples(ROUTES, MEASUREMENTS), min_size=1, max_size=3), st.integers(0, 2))
def test_wait_limits_follow_times_and_configurations_as_a_walk(
    versions: list[tuple[list[Route], list[tuple[str, float]]]], priority: int
) -> None:
    times = ServiceTimes()
    limits = WaitLimits(times)
    for routes, measurements in versions:
        index = configuration(routes).index
        online = [route for route in routes if route.kind is not RouteKind.BATCH]
        for name, took_ms in [("p", 50.0), *measurements]:
            times.record_start(name, took_ms)
            for route in online:
                expected = max_wait_by_walk(route, priority, routes, times)
                assert limits.max_wait_ms(route, priority, index) == expected


# Guards against prepared limits that miss changes of service times during the preparation.
@given(ROUTES, ROUTES, MEASUREMENTS, st.integers(0, 2))
def test_limits_prepared_for_the_next_version_are_those_of_a_walk(
    routes: list[Route], next_routes: list[Route], measured: list[tuple[str, float]], priority: int
) -> None:
    times = ServiceTimes()
    limits = WaitLimits(times)
    measurements = [("p", 50.0), ("q", 70.0), *measured]
    versions = [(version, configuration(version).index) for version in (routes, next_routes)]
    with mock.patch.object(wait_limits, "ROUTES_PER_STEP", 1):
        preparation = None
        for number, (name, took_ms) in enumerate(measurements):
            times.record_start(name, took_ms)
            if preparation is not None:
                next(preparation, None)
            version, index = versions[2 * number >= len(measurements)]
            for route in version:
                if route.kind is not RouteKind.BATCH:
                    expected = max_wait_by_walk(route, priority, version, times)
                    assert limits.max_wait_ms(route, priority, index) == expected
            preparation = preparation or limits.prepare(versions[1][1])


# Guards against prepared limits that are computed again by the first request.
def test_prepared_limits_are_used() -> None:
    times = ServiceTimes()
    limits = WaitLimits(times)
    part = (RoutePart("s", 1.0),)
    routes = [Route("r", "h", "/", RouteKind.SAFE, part, 1.0, 1.0, 1)]
    times.record_start("r", 50.0)
    before, after = configuration(routes), configuration(routes)
    limits.max_wait_ms(routes[0], 0, before.index)
    run_steps(limits.prepare(after.index))
    with mock.patch.object(wait_limits, "run_steps", side_effect=AssertionError):
        assert limits.max_wait_ms(routes[0], 0, after.index) == 800.0


# Guards against building the index of a long configuration in a single step.
def test_index_is_built_in_steps() -> None:
    parts = (RoutePart("s", 1.0),)
    routes = [
        Route(f"r{number}", "h", f"/{number}/", RouteKind.SAFE, parts, 1.0, 1.0, 1)
        for number in range(3000)
    ]
    long = configuration(routes)
    steps = long.build_index()
    assert sum(1 for _ in steps) >= 6
    assert long.find_route("h", "/2999/x") is routes[2999]


# Guards against an index that affects whether configurations are equal.
def test_configurations_with_and_without_index_are_equal() -> None:
    first, second = configuration([]), configuration([])
    run_steps(first.build_index())
    assert first == second
