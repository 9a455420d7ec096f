"""Prints which part of the rate of a warming replica is used while work waits.

Requests wait all the time. The coordinator looks for tokens every ``TICK_S``; some tokens are lost
or too old when they arrive.
"""

from random import Random

from cloverwalk.core.warmup_limit import TOKEN_TTL_S, WarmupBounds, WarmupLimits

TICK_S = 0.05
SECONDS = 600.0


class AlwaysHeld:
    """A lease that always holds."""

    tenure = 1

    def may_grant(self, now: float) -> bool:
        """Return True."""
        return True


def utilization(rate_per_s: float, bounds: WarmupBounds, lost: float, late_s: float) -> float:
    """Return the requests that were sent, as a part of those that the rate allows."""
    random, limits = Random(1), WarmupLimits(bounds, AlwaysHeld())
    now, sent = 0.0, 0
    while now < SECONDS:
        now += TICK_S * (1 + 0.2 * random.random())
        while limits.take("r", rate_per_s, now):
            is_lost = random.random() < lost
            sent += not is_lost and late_s * random.random() <= TOKEN_TTL_S
    return sent / (rate_per_s * SECONDS)


def main() -> None:
    for rate, bounds in (
        (7.3, WarmupBounds(1.5, 5.0)),
        (2.0, WarmupBounds(1.5, 5.0)),
        (40.0, WarmupBounds(1.5, 5.0)),
        (40.0, WarmupBounds(1.1, 0.0)),
        (1.0, WarmupBounds(1.0, 0.0)),
    ):
        limit = bounds.limit_per_s(rate)
        for lost, late_s in ((0.0, 0.0), (0.02, 0.1), (0.05, 0.52)):
            used = utilization(rate, bounds, lost, late_s)
            print(
                f"rate {rate:g}/s, limit {limit}/s, {lost:.0%} lost, up to {late_s} s late: "
                f"{used:.3f} used"
            )


if __name__ == "__main__":
    main()
