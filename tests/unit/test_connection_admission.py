"""A node that gets more new connections than it can serve closes some unread and serves the rest.

Guards against requests that are read and then refused or late, while other nodes are idle.
"""

from collections import deque

import pytest

from cloverwalk.gateway.connection_admission import MAX_CLOSED_SHARE, ConnectionAdmission

STEPS = 10
"""Steps of a request; the loop does one of each open request in a cycle."""

STEP_S = 0.0004
CAPACITY_PER_S = 1 / (STEPS * STEP_S)
CLOSE_S = 0.0002
"""Processor time of a connection that is closed unread."""

DURATION_S = 8.0
SETTLING_S = 2.0
LATE_S = 1.0


class Loop:
    """An event loop that serves connections step by step."""

    def __init__(self, has_peer_with_room: bool = True) -> None:
        self.admission = ConnectionAdmission()
        self.has_peer_with_room = has_peer_with_room
        self.delays: list[tuple[float, float]] = []
        """Arrival and time to the end of each request that was read."""

        self._now = 0.0
        self._open: list[list[float]] = []
        """Arrival and remaining steps of the open requests."""

    def play(self, rate: float) -> None:
        """Accept connections at a rate, all that have come at the begin of each cycle."""
        arrivals = deque(number / rate for number in range(int(rate * DURATION_S)))
        while arrivals or self._open:
            if not self._open:
                self._now = max(self._now, arrivals[0])
            accepted_at, before = self._now, len(self._open)
            while arrivals and arrivals[0] <= accepted_at:
                arrived_at = arrivals.popleft()
                if self.admission.admit(self.has_peer_with_room, self._now):
                    self._open.append([arrived_at, STEPS])
                else:
                    self._now += CLOSE_S
            for number, request in enumerate(self._open):
                if number >= before:
                    self.admission.record_start(self._now - accepted_at, self._now)
                self._now += STEP_S
                request[1] -= 1
            ended = [at for at, steps in self._open if steps == 0]
            self.delays += [(at, self._now - at) for at in ended]
            self._open = [request for request in self._open if request[1] > 0]

    def late_share(self) -> float:
        """Return the share of read connections that were late, after the share has settled."""
        settled = [delay for at, delay in self.delays if at > SETTLING_S]
        return sum(delay > LATE_S for delay in settled) / len(settled)


@pytest.mark.parametrize("rate", [20, 100, 200])
def test_no_connection_is_closed_within_capacity(rate: int) -> None:
    loop = Loop()
    loop.play(rate)
    assert loop.admission.closed == 0


@pytest.mark.parametrize("rate", [300, 500, 1000])
def test_read_connections_are_served_in_time_beyond_capacity(rate: int) -> None:
    loop = Loop()
    loop.play(rate)
    assert loop.late_share() < 0.05
    read = sum(at > SETTLING_S for at, _ in loop.delays)
    assert read > 0.5 * CAPACITY_PER_S * (DURATION_S - SETTLING_S)


def test_some_connections_are_read_at_any_rate() -> None:
    """A node that is ready and reads none looks dead to its clients."""
    loop = Loop()
    loop.play(4000)
    times = [at for at, _ in loop.delays]
    assert max(later - at for at, later in zip(times, times[1:], strict=False)) < 0.5
    assert loop.admission.closed_share(DURATION_S) <= MAX_CLOSED_SHARE


def test_nothing_is_closed_while_no_peer_has_room() -> None:
    loop = Loop(has_peer_with_room=False)
    loop.play(500)
    assert loop.admission.closed == 0


def test_closing_ends_after_the_crowd() -> None:
    loop = Loop()
    loop.play(1000)
    assert loop.admission.closed_share(DURATION_S + 2.0) == 0.0
