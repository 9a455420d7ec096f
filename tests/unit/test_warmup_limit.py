"""The rate limit of a warming replica holds for any sequence of grants, losses and takeovers."""

import math
from random import Random

import attrs
import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from cloverwalk.core.warmup_limit import (
    TOKEN_TTL_S,
    WINDOW_S,
    WarmupBounds,
    WarmupLimits,
    earliest_grant,
    is_valid,
)
from cloverwalk.fleet.role_lease import TAKEOVER_WAIT_S, RoleLease

RATE, BOUNDS = 7.3, WarmupBounds(1.5, 5.0)
PROCESSES = 3


class AlwaysHeld:
    tenure = 1

    def may_grant(self, now: float) -> bool:
        return True


def most_in_window(times: list[float], window_s: float) -> int:
    return max((sum(at <= other < at + window_s for other in times) for at in times), default=0)


@attrs.define
class Process:
    """A candidate for the role of coordinator, with its own clock."""

    clock_rate: float
    lease: RoleLease
    limits: WarmupLimits
    reads_at: float = 0.0

    def clock(self, true_s: float) -> float:
        return 500.0 + self.clock_rate * true_s


class Run:
    """Simulates a random history of role reads, role claims, grants, sends and arrivals."""

    def __init__(self, seed: int, rate: float, bounds: WarmupBounds) -> None:
        self.random = Random(seed)
        self.rate = rate
        self.now = 0.0
        self.hold_s = self.random.choice([0.0, 0.2, 0.45, 0.49])
        self.is_busy = True
        self.holder = 0
        self.answers: list[tuple[float, int, int, float]] = []
        """Answers to reads of the role row: arrival, reader, holder, start of the read."""

        self.processes = []
        for _ in range(PROCESSES):
            lease = RoleLease()
            limits = WarmupLimits(bounds, lease)
            self.processes.append(Process(1 + self.random.uniform(-0.01, 0.01), lease, limits))
        self.sent: list[tuple[float, float]] = []
        """Times of sending and of arrival of each request."""

    def delay(self) -> float:
        longest = self.random.choice([0.0, 0.0, 0.0, 0.0, 0.001, 0.001, 0.01, 0.05, 0.6, 4.0])
        return longest * self.random.random()

    def held_until(self, at: float) -> float:
        """Return the time of a send; in some runs sends are held and released in bursts."""
        return at if not self.hold_s else math.ceil(at / self.hold_s) * self.hold_s

    def play(self) -> None:
        for _ in range(self.random.randint(300, 900)):
            self.now += self.random.choice([0.0, 0.02, 0.1]) * self.random.random()
            self.is_busy ^= self.random.random() < 0.015
            for number, process in enumerate(self.processes):
                if self.random.random() < 0.001:
                    self.holder = number  # a claim, whose answer may be delayed
                if self.now >= process.reads_at:
                    self.read(number, process)
                for _ in range(20 if self.is_busy else 0):
                    self.request(process)
            for answer in sorted(self.answers):
                if answer[0] <= self.now:
                    self.answers.remove(answer)
                    self.take_answer(*answer[1:])

    def read(self, number: int, process: Process) -> None:
        process.reads_at = self.now + self.random.choice([0.5, 1.0, 1.0, 1.0, 1.0, 4.0])
        arrives_at = self.now + self.delay()
        self.answers.append((arrives_at, number, self.holder, process.clock(self.now)))

    def take_answer(self, number: int, holder: int, started_at: float) -> None:
        process = self.processes[number]
        if holder == number:
            process.lease.adopt(started_at, process.clock(self.now))
        else:
            process.lease.give_up()

    def request(self, granter: Process) -> None:
        receiver = self.random.choice(self.processes)
        report_sent = self.now - self.delay()
        report_arrived = report_sent + (self.now - report_sent) * self.random.random()
        # The process may be suspended after it has read its clock.
        read_clock = granter.clock(self.now)
        if not granter.limits.take("r1", self.rate, read_clock):
            return
        if self.random.random() < 0.1:
            return  # the node crashed before it used the token
        age_s = read_clock - granter.clock(report_arrived)
        granted_at = earliest_grant(receiver.clock(report_sent), age_s)
        sends_at = self.held_until(self.now + self.delay())
        if is_valid(granted_at, receiver.clock(sends_at)):
            self.sent.append((sends_at, sends_at + self.delay()))

    def most_in_a_second(self) -> int:
        """Return the most requests that were sent and arrived within one second."""
        return max(
            (
                sum(start <= sent and arrived < start + 1.0 for sent, arrived in self.sent)
                for start, _ in self.sent
            ),
            default=0,
        )


# Guards against more requests in a second than allowed, for any delays and takeovers.
@settings(max_examples=60, deadline=None)
@given(
    st.integers(0, 2**32),
    st.sampled_from([(7.3, 1.5, 5.0), (1.0, 1.0, 0.0), (0.3, 1.0, 1.0), (40.0, 1.1, 0.0)]),
)
def test_no_second_has_more_requests_than_allowed(
    seed: int, limits: tuple[float, float, float]
) -> None:
    rate, bounds = limits[0], WarmupBounds(*limits[1:])
    run = Run(seed, rate, bounds)
    run.play()
    assert run.most_in_a_second() <= bounds.limit_per_s(rate)


# Guards against histories without grants, for which the property test above is vacuous.
def test_random_histories_contain_grants_of_several_processes() -> None:
    runs = [Run(seed, RATE, BOUNDS) for seed in range(60)]
    for run in runs:
        run.play()
    assert sum(sum(p.limits.granted > 0 for p in run.processes) > 1 for run in runs) >= 3
    assert max(run.most_in_a_second() for run in runs) >= 8


# Guards against tokens that are held until they expire and then used at once.
def test_second_after_a_held_burst_has_at_most_the_limit() -> None:
    limits = WarmupLimits(BOUNDS, AlwaysHeld())
    limits.take("r", RATE, 0.0)
    times = [9.5 + 0.01 * step for step in range(150)]
    granted = sum(limits.take("r", RATE, now) for now in times for _ in range(20))
    assert 13 <= granted <= BOUNDS.limit_per_s(RATE)


# Guards against two successive holders that grant tokens for the same second.
def test_takeover_while_the_old_lease_holds_keeps_the_limit() -> None:
    old, new = RoleLease(), RoleLease()
    old.adopt(-10.0, -10.0)
    old.confirm(0.0)
    new.adopt(0.01, 0.02)
    limits = [WarmupLimits(BOUNDS, lease) for lease in (old, new)]
    granted: list[float] = []
    for step in range(800):
        now = 0.01 * step
        new.confirm(now)
        granted += [now for limit in limits for _ in range(20) if limit.take("r", RATE, now)]
    assert most_in_window(granted, 1.0 + TOKEN_TTL_S) <= BOUNDS.limit_per_s(RATE)
    assert min(limit.granted for limit in limits) > 10


# Guards against a bucket that grants more in its window than the limit, for any settings.
@given(st.floats(0.0, 1e5), st.floats(0.0, 10.0), st.floats(0.0, 50.0), st.integers(0, 2**32))
@example(1.0, 1.0, 0.0, 1)
def test_any_window_has_at_most_the_limit(
    rate: float, overshoot: float, slack: float, seed: int
) -> None:
    bounds, random = WarmupBounds(overshoot, slack), Random(seed)
    limits, now, latest = WarmupLimits(bounds, AlwaysHeld()), 100.0, 0.0
    granted = []
    for _ in range(60):
        now += random.choice([0.0, 0.01, 0.3, 3.0]) * random.random()
        for _ in range(30):
            # A caller may pass an earlier time than before; the limit uses the latest one.
            passed = now - random.random()
            latest = max(latest, passed)
            granted += [latest] if limits.take("r", rate, passed) else []
    assert most_in_window(granted, WINDOW_S) <= bounds.limit_per_s(rate)


# Guards against a crash or unlimited grants for invalid rates or bounds.
@pytest.mark.parametrize("rate", [float("nan"), float("inf"), -float("inf"), -1.0, 0.0])
def test_absurd_rate_grants_nothing(rate: float) -> None:
    limits = WarmupLimits(BOUNDS, AlwaysHeld())
    assert not any(limits.take("r", rate, float(now)) for now in range(50))


@pytest.mark.parametrize("bounds", [WarmupBounds(float("nan"), 0.0), WarmupBounds(-3.0, 0.0)])
def test_absurd_bounds_grant_nothing(bounds: WarmupBounds) -> None:
    limits = WarmupLimits(bounds, AlwaysHeld())
    assert not any(limits.take("r", RATE, float(now)) for now in range(50))


# Guards against a limit so strict that a warming replica stays idle while work waits.
def test_waiting_work_gets_most_of_the_rate() -> None:
    limits = WarmupLimits(BOUNDS, AlwaysHeld())
    granted = sum(limits.take("r", RATE, 0.05 * tick) for tick in range(600) for _ in range(20))
    assert granted >= 0.9 * RATE * 30


# Guards against a holder that regains the role and grants for seconds of its predecessor.
def test_role_taken_back_waits_like_a_new_holder() -> None:
    lease = RoleLease()
    lease.adopt(0.0, 0.1)
    lease.confirm(5.0)
    assert lease.may_grant(5.5)
    lease.give_up()
    lease.adopt(6.0, 6.1)
    lease.confirm(8.0)
    assert not lease.may_grant(6.1 + TAKEOVER_WAIT_S - 0.01)
    assert lease.may_grant(6.1 + TAKEOVER_WAIT_S + 0.01)


# Guards against a pause of grants after each change of the standbys.
def test_change_of_standbys_confirms_the_lease() -> None:
    lease = RoleLease()
    lease.adopt(0.0, 0.1)
    lease.adopt(5.0, 5.1)
    assert lease.may_grant(5.2) and lease.tenure == 1
