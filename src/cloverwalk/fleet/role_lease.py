"""The coordinator's lease: how long no other process can have taken the role.

The role row is changed by a write that is conditional on its version. A read that shows this
process proves that no other process had the role when the read began. A process that takes the role
waits until the previous lease must have expired, so that two processes never hold it at once.
"""

import enum

from cloverwalk.core.warmup_limit import CLOCK_MARGIN, TOKEN_TTL_S

LEASE_S = 2.5
"""The lease holds for this time after the start of the last read or commit that confirmed it."""

TAKEOVER_WAIT_S = LEASE_S * CLOCK_MARGIN + TOKEN_TTL_S
"""A process that has newly taken the role has no lease for this time. Until then the previous
holder may still grant tokens, and its tokens may still be used."""


class LeaseState(enum.Enum):
    """State of the lease, for logs."""

    NONE = "not_coordinator"
    """Another process coordinates."""

    WAITING = "taken_recently"
    """The lease of the previous holder may not have expired yet."""

    HELD = "held"
    LAPSED = "unconfirmed"
    """The store has not confirmed the role in time."""


class RoleLease:
    """The lease of this process; times are those of its own monotonic clock, in seconds.

    >>> lease = RoleLease()
    >>> lease.adopt(started_at=9.9, now=10.0)
    >>> lease.may_grant(11.0), lease.state(11.0).name
    (False, 'WAITING')
    >>> lease.confirm(13.0)
    >>> lease.may_grant(13.2), lease.may_grant(15.6)
    (True, False)
    """

    def __init__(self) -> None:
        self.tenure = 0
        """Number of times that this process has taken the role."""

        self._grants_from = float("inf")
        self._held_until = float("-inf")
        self._is_holder = False

    def adopt(self, started_at: float, now: float) -> None:
        """Record at ``now`` that this process holds the role.

        ``started_at`` is the start of the read or commit that showed this. If this process held the
        role before, as after a change of the standbys, the lease is only confirmed.
        """
        if not self._is_holder:
            self._is_holder = True
            self.tenure += 1
            self._grants_from = now + TAKEOVER_WAIT_S
        self.confirm(started_at)

    def confirm(self, started_at: float) -> None:
        """Record a read that began at ``started_at`` and showed this process as the holder."""
        if self._is_holder:
            self._held_until = max(self._held_until, started_at + LEASE_S)

    def give_up(self) -> None:
        """Record that another process has or had the role."""
        self._is_holder = False
        self._held_until = float("-inf")

    def may_grant(self, now: float) -> bool:
        """Whether this process may grant tokens at ``now``."""
        return self._is_holder and self._grants_from <= now < self._held_until

    def state(self, now: float) -> LeaseState:
        """Return the state at ``now``."""
        if not self._is_holder:
            return LeaseState.NONE
        if now < self._grants_from:
            return LeaseState.WAITING
        return LeaseState.HELD if now < self._held_until else LeaseState.LAPSED
