"""Online requests are sent, queued or refused with a retry-after time."""

from random import Random

from hypothesis import given
from hypothesis import strategies as st

from cloverwalk.gateway.configuration import (
    ClientLimits,
    Configuration,
    Route,
    RouteKind,
    RoutePart,
)
from cloverwalk.scheduling.admission import (
    MAX_RETRY_AFTER_FRACTION,
    MIN_RETRY_AFTER_S,
    OverloadDurationEstimator,
    PlacementVerdict,
    Prospect,
    RetryDetector,
    decide,
    retry_after_s,
    slot_wait_ms,
)
from cloverwalk.scheduling.service_times import MAX_WAIT_FACTOR, ServiceTimes
from cloverwalk.scheduling.wait_limits import WaitLimits

MS = st.floats(0.0, 5000.0)


def online_route(name: str, objective_s: float, priority: int, service: str = "model") -> Route:
    parts = (RoutePart(service, 1.0),)
    return Route(
        name, "h", f"/{name}/", RouteKind.STREAM, parts, 5.0, objective_s, 1, priority=priority
    )


def max_wait_ms(
    route: Route, priority: int, routes: tuple[Route, ...], times: ServiceTimes
) -> float:
    index = Configuration(1, routes, {}, ClientLimits()).index
    return WaitLimits(times).max_wait_ms(route, priority, index)


@given(MS, MS, MS, MS, st.booleans())
def test_request_with_a_free_slot_is_always_sent(
    start_ms: float,
    remaining_ms: float,
    objective_ms: float,
    max_wait_ms: float,
    may_retry_later: bool,
) -> None:
    prospect = Prospect(0.0, start_ms, remaining_ms, objective_ms, max_wait_ms)
    assert decide(prospect, may_retry_later, is_first=True) is PlacementVerdict.SEND


@given(MS, MS, MS, MS, MS, st.booleans())
def test_retry_is_not_refused_again(
    wait_ms: float,
    start_ms: float,
    remaining_ms: float,
    objective_ms: float,
    max_wait_ms: float,
    is_first: bool,
) -> None:
    prospect = Prospect(wait_ms, start_ms, remaining_ms, objective_ms, max_wait_ms)
    assert (
        decide(prospect, may_retry_later=False, is_first=is_first)
        is not PlacementVerdict.RETRY_LATER
    )


@given(st.integers(1, 40), st.integers(0, 80), st.floats(1.0, 9000.0))
def test_wait_is_zero_below_the_slots_and_grows_with_load(
    slots: int, online: int, hold_ms: float
) -> None:
    wait_ms = slot_wait_ms(slots, online, hold_ms)
    assert (wait_ms == 0.0) == (online < slots)
    assert slot_wait_ms(slots, online + 1, hold_ms) >= wait_ms


@given(st.floats(0.0, 9.0), st.floats(0.0, 9.0), st.floats(0.0, 30.0), st.integers())
def test_retry_delays_are_worthwhile_and_leave_most_of_the_callers_time(
    wait_s: float, remaining_s: float, time_left_s: float, seed: int
) -> None:
    delay_s = retry_after_s(wait_s, remaining_s, time_left_s, Random(seed))
    if delay_s is None:
        assert (
            max(wait_s, remaining_s) < MIN_RETRY_AFTER_S
            or MAX_RETRY_AFTER_FRACTION * time_left_s < MIN_RETRY_AFTER_S
        )
    else:
        assert MIN_RETRY_AFTER_S <= delay_s <= MAX_RETRY_AFTER_FRACTION * time_left_s


def test_less_urgent_requests_do_not_make_urgent_ones_late() -> None:
    times = ServiceTimes()
    urgent, patient = online_route("ruling", 0.2, 0), online_route("digest", 0.8, 1)
    elsewhere = online_route("other", 0.05, 0, service="else")
    routes = (urgent, patient, elsewhere)
    assert max_wait_ms(patient, 1, routes, times) == max_wait_ms(urgent, 0, routes, times)
    assert max_wait_ms(patient, 1, (patient, elsewhere), times) > 500


def test_wait_factor_follows_actual_waits() -> None:
    times = ServiceTimes()
    for _ in range(60):
        times.record_wait("r", expected_ms=100.0, took_ms=times.first_event_ms("r") + 250.0)
    assert 2.3 < times.wait_factor("r") < 2.5
    times.record_wait("r", expected_ms=1.0, took_ms=10_000.0)
    assert times.wait_factor("r") <= MAX_WAIT_FACTOR


def test_overloads_are_expected_to_last_as_long_as_earlier_ones() -> None:
    estimator = OverloadDurationEstimator()
    for start_s in range(0, 60, 6):
        for tenth in range(25):
            estimator.record_request(start_s + tenth / 10)
    estimator.record_request(60.0)
    assert 2.0 < estimator.remaining_s(60.0) < 2.5
    assert 1.0 < estimator.remaining_s(61.0) < 1.5 or estimator.remaining_s(61.0) == 0.0


@given(st.lists(st.floats(0.1, 30.0), max_size=12))
def test_only_requests_with_less_time_than_others_are_retries(times_left_s: list[float]) -> None:
    detector = RetryDetector()
    max_time_left_s = 0.0
    for time_left_s in times_left_s:
        max_time_left_s = max(max_time_left_s, time_left_s)
        assert detector.is_retry("r", time_left_s) is False or time_left_s < max_time_left_s
    assert detector.is_retry("r", None) is True
