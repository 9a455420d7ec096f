"""Rate limit of a replica that is warming up, enforced across all nodes.

The allowed requests of one second are at most ``limit_per_s``. Tokens are granted by one holder of
a time-limited lease, and a token that is older than ``TOKEN_TTL_S`` is not used. So the requests
that are sent within a second have tokens that were granted within ``WINDOW_S``, and no window of
this length contains more grants than the limit; see ``docs/design/replica-warmup.md``.
"""

import math
from typing import Protocol

import attrs

from cloverwalk.core.token_bucket import TokenBucket

TOKEN_TTL_S = 0.5
"""Tokens that may be older are not used."""

CLOCK_MARGIN = 1.03
"""Factor for clocks whose rates differ from the true one by up to 1 %."""

WINDOW_S = CLOCK_MARGIN * (1.0 + TOKEN_TTL_S)
"""Window of the grants whose requests may be sent within one second."""

GRANT_INTERVAL_S = 0.1
"""Longest usual time between two checks of a bucket while requests wait. The burst covers it, so
that no tokens are lost in between."""

MAX_LIMIT_PER_S = 1_000_000
"""Upper bound of the allowed requests per second."""

MIN_REMAINDER = 1e-3
"""Fraction of a token by which the grants in a window stay below the next whole number."""

UNUSED_LIMIT_RETENTION_S = 10.0
"""Limits that have not been used for this time are dropped."""


@attrs.frozen
class WarmupBounds:
    """Permitted overshoot of the rate limit, from the operator's settings."""

    overshoot: float = 1.0
    """Factor on the rate."""

    slack: float = 0.0
    """Requests per second, added to the product."""

    def limit_per_s(self, rate_per_s: float) -> int:
        """Return the number of requests that may arrive in any one second.

        >>> WarmupBounds(1.5, 5.0).limit_per_s(7.3)
        15
        >>> WarmupBounds(1.5, 5.0).limit_per_s(float("nan")), WarmupBounds().limit_per_s(-2.0)
        (0, 0)
        """
        limit = rate_per_s * self.overshoot + self.slack
        if not math.isfinite(rate_per_s) or rate_per_s <= 0 or math.isnan(limit):
            return 0
        return int(max(0.0, min(limit, MAX_LIMIT_PER_S)))


def earliest_grant(report_sent_at: float, report_age_s: float) -> float:
    """Return the earliest time at which a token can have been granted, by the receiver's clock.

    The receiver sent a report at ``report_sent_at``; it had arrived ``report_age_s`` before the
    grant, by the clock of the process that grants. A negative age is a report after the grant.

    >>> earliest_grant(10.0, 0.0), round(earliest_grant(10.0, 1.03), 3), earliest_grant(10.0, -1.0)
    (10.0, 11.0, 8.97)
    """
    if report_age_s > 0:
        return report_sent_at + report_age_s / CLOCK_MARGIN
    return report_sent_at + report_age_s * CLOCK_MARGIN


def is_valid(granted_at: float, now: float) -> bool:
    """Whether a token that was granted no earlier than ``granted_at`` may be used."""
    return now - granted_at <= TOKEN_TTL_S


class GrantLease(Protocol):
    """The right to grant tokens; at most one process has it at a time."""

    tenure: int
    """Changes whenever another process may have had the lease meanwhile."""

    def may_grant(self, now: float) -> bool:
        """Whether tokens may be granted now."""
        ...


class NoLease:
    """The lease of a process that never grants tokens."""

    tenure = 0

    def may_grant(self, now: float) -> bool:
        """Return False."""
        return False


def create_bucket(rate_per_s: float, bounds: WarmupBounds, now: float) -> TokenBucket:
    """Return an empty bucket whose grants in any ``WINDOW_S`` are at most the limit.

    It starts empty, so that the limit also holds across the replacement of a bucket.

    >>> bucket = create_bucket(7.3, WarmupBounds(1.5, 5.0), now=0.0)
    >>> bucket.rate_per_s, 1.0 <= bucket.burst < 16 - 7.3 * WINDOW_S
    (7.3, True)
    """
    limit = bounds.limit_per_s(rate_per_s)
    if limit < 1:
        return TokenBucket(0.0, 0.0, now)
    rate_per_s = min(rate_per_s, (limit - MIN_REMAINDER) / (WINDOW_S + GRANT_INTERVAL_S))
    burst = min(limit, limit + 1 - MIN_REMAINDER - rate_per_s * WINDOW_S)
    bucket = TokenBucket(rate_per_s, burst, now)
    bucket.drain_to(0.0, now)
    return bucket


@attrs.define
class _Limit:
    rate_per_s: float
    """The configured rate."""

    bucket: TokenBucket
    used_at: float
    """Latest time that a caller passed. A caller may pass an earlier one, taken before it waited,
    but the time of a bucket must not go back."""


class WarmupLimits:
    """The limits of all replicas that are warming up.

    >>> limits = WarmupLimits(WarmupBounds(1.5, 5.0), NoLease())
    >>> limits.take("r1", 7.3, now=1.0)
    False
    """

    def __init__(self, bounds: WarmupBounds, lease: GrantLease) -> None:
        self.bounds = bounds
        self.lease = lease
        self.granted = 0
        """Number of tokens granted since the start."""

        self._tenure = lease.tenure
        self._by_replica: dict[str, _Limit] = {}

    def has_token(self, replica_id: str, rate_per_s: float, now: float) -> bool:
        """Whether a token is available for a request to a replica with this rate."""
        if not self.lease.may_grant(now):
            return False
        limit = self._limit(replica_id, rate_per_s, now)
        return limit.bucket.has(limit.used_at, 1.0)

    def take(self, replica_id: str, rate_per_s: float, now: float) -> bool:
        """Take a token for one request; return whether there was one."""
        if not self.lease.may_grant(now):
            return False
        limit = self._limit(replica_id, rate_per_s, now)
        if not limit.bucket.take(limit.used_at):
            return False
        self.granted += 1
        return True

    def wait_s(self, replica_id: str, rate_per_s: float, now: float) -> float:
        """Return the time until a replica's next token; infinite without the lease."""
        if not self.lease.may_grant(now):
            return math.inf
        limit = self._limit(replica_id, rate_per_s, now)
        return limit.bucket.wait_s(limit.used_at)

    def _limit(self, replica_id: str, rate_per_s: float, now: float) -> _Limit:
        if self.lease.tenure != self._tenure:
            self._tenure = self.lease.tenure
            self._by_replica.clear()
        limit = self._by_replica.get(replica_id)
        if limit is None or limit.rate_per_s != rate_per_s:
            self._drop_unused(now)
            limit = _Limit(rate_per_s, create_bucket(rate_per_s, self.bounds, now), now)
            self._by_replica[replica_id] = limit
        limit.used_at = max(limit.used_at, now)
        return limit

    def _drop_unused(self, now: float) -> None:
        for replica_id, limit in list(self._by_replica.items()):
            if now - limit.used_at > UNUSED_LIMIT_RETENTION_S:
                del self._by_replica[replica_id]
