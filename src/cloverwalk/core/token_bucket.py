"""A token bucket; callers pass in the current time."""


class TokenBucket:
    """Allows ``rate_per_s`` tokens per second on average and ``burst`` tokens at once.

    >>> bucket = TokenBucket(rate_per_s=2.0, burst=1.0, now=0.0)
    >>> bucket.take(now=0.0), bucket.take(now=0.0), bucket.wait_s(now=0.0)
    (True, False, 0.5)
    """

    def __init__(self, rate_per_s: float, burst: float, now: float) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._level = burst
        self._updated_at = now

    def _refill(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._updated_at)
        self._level = min(self.burst, self._level + elapsed_s * self.rate_per_s)
        self._updated_at = now

    def set_rate(self, rate_per_s: float, burst: float, now: float) -> None:
        """Change the rate and burst from ``now`` on; a smaller burst caps the level."""
        self._refill(now)
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._level = min(self._level, burst)

    def take(self, now: float, amount: float = 1.0) -> bool:
        """Take ``amount`` if it is available; return whether it was."""
        self._refill(now)
        if self._level + 1e-9 < amount:  # tolerates rounding errors
            return False
        self._level -= amount
        return True

    def has(self, now: float, amount: float) -> bool:
        """Return whether ``amount`` is available, without taking it."""
        self._refill(now)
        return self._level + 1e-9 >= amount

    def take_on_credit(self, now: float, amount: float) -> None:
        """Take ``amount`` even if the level becomes negative; :meth:`take` fails until refilled."""
        self._refill(now)
        self._level -= amount

    def give_back(self, amount: float) -> None:
        """Refund tokens of an operation that did not happen, up to the burst."""
        self._level = min(self.burst, self._level + amount)

    def level(self, now: float) -> float:
        """Return the available tokens; negative after ``take_on_credit``."""
        self._refill(now)
        return self._level

    def drain_to(self, level: float, now: float) -> None:
        """Reduce the available tokens to at most ``level``."""
        self._refill(now)
        self._level = min(self._level, level)

    def wait_s(self, now: float, amount: float = 1.0) -> float:
        """Return the seconds until ``amount`` is available."""
        self._refill(now)
        if self.rate_per_s <= 0:
            return float("inf")
        return max(0.0, (amount - self._level) / self.rate_per_s)
