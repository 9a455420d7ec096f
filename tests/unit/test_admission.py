"""Which online requests are sent, wait, or are told to come back."""

from random import Random

from hypothesis import given
from hypothesis import strategies as st

from cloverwalk.gateway.configuration import Route, RouteKind, RoutePart
from cloverwalk.scheduling.admission import (
    MAX_RETRY_AFTER_FRACTION,
    MIN_RETRY_AFTER_S,
    OverloadDurationEstimator,
    PlacementVerdict,
    Prospect,
    RetryDetector,
    decide,
    max_wait_ms,
    retry_after_s,
    slot_wait_ms,
)
from cloverwalk.scheduling.service_times import MAX_WAIT_FACTOR, ServiceTimes

MS = st.floats(0.0, 5000.0)


def online_route(name: str, objective_s: float, priority: int, service: str = "model") -> Route:
    parts = (RoutePart(service, 1.0),)
    return Route(
        name, "h", f"/{name}/", RouteKind.STREAM, parts, 5.0, objective_s, 1, priority=priority
    )


@given(MS, MS, MS, MS, st.booleans())
def test_a_request_that_finds_a_free_slot_is_never_told_to_come_back(
    start_ms: float, left_ms: float, objective_ms: float, most_ms: float, may_return: bool
) -> None:
    prospect = Prospect(0.0, start_ms, left_ms, objective_ms, most_ms)
    assert decide(prospect, may_return, is_first=True) is PlacementVerdict.SEND


@given(MS, MS, MS, MS, MS, st.booleans())
def test_a_request_that_came_back_is_not_turned_away_again(
    wait_ms: float,
    start_ms: float,
    left_ms: float,
    objective_ms: float,
    most_ms: float,
    is_first: bool,
) -> None:
    prospect = Prospect(wait_ms, start_ms, left_ms, objective_ms, most_ms)
    assert (
        decide(prospect, may_retry_later=False, is_first=is_first)
        is not PlacementVerdict.RETRY_LATER
    )


@given(st.integers(1, 40), st.integers(0, 80), st.floats(1.0, 9000.0))
def test_nobody_waits_below_the_slots_and_more_work_means_no_shorter_wait(
    slots: int, online: int, hold_ms: float
) -> None:
    wait_ms = slot_wait_ms(slots, online, hold_ms)
    assert (wait_ms == 0.0) == (online < slots)
    assert slot_wait_ms(slots, online + 1, hold_ms) >= wait_ms


@given(st.floats(0.0, 9.0), st.floats(0.0, 9.0), st.floats(0.0, 30.0), st.integers())
def test_times_to_come_back_are_worth_it_and_leave_most_of_the_callers_time(
    wait_s: float, rest_s: float, left_s: float, seed: int
) -> None:
    after_s = retry_after_s(wait_s, rest_s, left_s, Random(seed))
    if after_s is None:
        assert (
            max(wait_s, rest_s) < MIN_RETRY_AFTER_S
            or MAX_RETRY_AFTER_FRACTION * left_s < MIN_RETRY_AFTER_S
        )
    else:
        assert MIN_RETRY_AFTER_S <= after_s <= MAX_RETRY_AFTER_FRACTION * left_s


def test_less_urgent_requests_fill_no_queue_in_which_urgent_ones_would_be_late() -> None:
    times = ServiceTimes()
    urgent, patient = online_route("ruling", 0.2, 0), online_route("digest", 0.8, 1)
    elsewhere = online_route("other", 0.05, 0, service="else")
    routes = (urgent, patient, elsewhere)
    assert max_wait_ms(patient, 1, routes, times) == max_wait_ms(urgent, 0, routes, times)
    assert max_wait_ms(patient, 1, (patient, elsewhere), times) > 500


def test_expected_waits_follow_what_requests_met() -> None:
    times = ServiceTimes()
    for _ in range(60):
        times.record_wait("r", expected_ms=100.0, took_ms=times.first_event_ms("r") + 250.0)
    assert 2.3 < times.wait_factor("r") < 2.5
    times.record_wait("r", expected_ms=1.0, took_ms=10_000.0)
    assert times.wait_factor("r") <= MAX_WAIT_FACTOR


def test_crowds_are_expected_to_last_as_they_did() -> None:
    watch = OverloadDurationEstimator()
    for start_s in range(0, 60, 6):
        for tenth in range(25):
            watch.record_request(start_s + tenth / 10)
    watch.record_request(60.0)
    assert 2.0 < watch.remaining_s(60.0) < 2.5
    assert 1.0 < watch.remaining_s(61.0) < 1.5 or watch.remaining_s(61.0) == 0.0


@given(st.lists(st.floats(0.1, 30.0), max_size=12))
def test_only_requests_with_less_time_than_others_came_back(lefts_s: list[float]) -> None:
    book = RetryDetector()
    longest_s = 0.0
    for left_s in lefts_s:
        longest_s = max(longest_s, left_s)
        assert book.is_retry("r", left_s) is False or left_s < longest_s
    assert book.is_retry("r", None) is True
