"""Rate limit of a replica that is warming up, held over all nodes by construction.

The allowed requests of one second are at most ``limit_per_s``. Tokens are granted by one holder of
a time-limited lease; see ``docs/design/replica-warmup.md``.
"""

import attrs


@attrs.frozen
class WarmupBounds:
    """Permitted overshoot of the rate limit, from the operator's settings."""

    overshoot: float = 1.0
    """Factor on the rate."""

    slack: float = 0.0
    """Requests per second on top."""

    def limit_per_s(self, rate_per_s: float) -> int:
        """Return the number of requests that may arrive in any one second.

        >>> WarmupBounds(1.5, 5.0).limit_per_s(7.3)
        15
        """
        return int(rate_per_s * self.overshoot + self.slack)
