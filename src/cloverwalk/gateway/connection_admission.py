"""Decides which new connections a node closes unread while its event loop is late.

A client whose connection is closed before its request was read retries at another node, also where
the request may not run twice; a request that was read and refused is lost to many clients. So a
node that gets more new connections than it can serve closes some at once, and serves the others in
time. It does so only while its peers have room. No I/O; time is passed in.
"""

import math

import attrs

MIN_DELAY_S = 0.03
"""Start delay from which connections are closed. Each step of a request waits about as long, and a
request takes some ten steps."""

MAX_DELAY_S = 0.09
"""Start delay from which the most are closed."""

DELAY_DECAY_S = 0.2
"""Time constant with which the longest recent start delay is forgotten."""

MAX_CLOSED_SHARE = 0.9
"""The remaining connections are read, so that a node that is ready never turns away everyone."""


@attrs.define
class ConnectionAdmission:
    """Closes a share of the new connections that grows with how late the loop starts them.

    >>> admission = ConnectionAdmission()
    >>> admission.record_start(0.2, 1.0)
    >>> [admission.admit(True, 1.0) for _ in range(10)].count(True)
    2
    >>> admission.admit(False, 1.0), admission.admit(True, 3.0)
    (True, True)
    """

    closed: int = 0
    """Connections closed since the process started."""

    _delay_s: float = 0.0
    _delayed_at: float = float("-inf")
    _debt: float = 0.0
    """Connections that should have been closed by now, less those that were."""

    def record_start(self, delay_s: float, now: float) -> None:
        """Record how long after its acceptance a connection was first served."""
        if delay_s >= self._recent_delay_s(now):
            self._delay_s, self._delayed_at = delay_s, now

    def _recent_delay_s(self, now: float) -> float:
        elapsed_s = max(0.0, now - self._delayed_at)
        return self._delay_s * math.exp(-elapsed_s / DELAY_DECAY_S)

    def closed_share(self, now: float) -> float:
        """Return the share of new connections that are closed now."""
        excess_s = self._recent_delay_s(now) - MIN_DELAY_S
        return min(MAX_CLOSED_SHARE, max(0.0, excess_s / (MAX_DELAY_S - MIN_DELAY_S)))

    def admit(self, has_peer_with_room: bool, now: float) -> bool:
        """Whether a new connection is read; if not, it is to be closed at once."""
        share = self.closed_share(now) if has_peer_with_room else 0.0
        if share == 0.0:
            self._debt = 0.0
            return True
        self._debt += share
        if self._debt < 1.0:
            return True
        self._debt -= 1.0
        self.closed += 1
        return False
