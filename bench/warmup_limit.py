"""Prints the fraction of a warming replica's rate limit that is used under constant demand.

The coordinator takes the available tokens every ``TICK_S``; some tokens are lost or have expired
when they arrive.
"""

from random import Random

from cloverwalk.core.warmup_limit import TOKEN_TTL_S, WarmupBounds, WarmupLimits

TICK_S = 0.05
SECONDS = 600.0


class AlwaysHeld:
    """A lease that never expires."""

    tenure = 1

    def may_grant(self, now: float) -> bool:
        """Whether tokens may be granted: always."""
        return True


def utilization(
    rate_per_s: float, bounds: WarmupBounds, loss_rate: float, max_delay_s: float
) -> float:
    """Return the number of requests sent as a fraction of the number that the rate allows."""
    random, limits = Random(1), WarmupLimits(bounds, AlwaysHeld())
    now, sent = 0.0, 0
    while now < SECONDS:
        now += TICK_S * (1 + 0.2 * random.random())
        while limits.take("r", rate_per_s, now):
            is_lost = random.random() < loss_rate
            sent += not is_lost and max_delay_s * random.random() <= TOKEN_TTL_S
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
        for loss_rate, max_delay_s in ((0.0, 0.0), (0.02, 0.1), (0.05, 0.52)):
            used = utilization(rate, bounds, loss_rate, max_delay_s)
            print(
                f"rate {rate:g}/s, limit {limit}/s, {loss_rate:.0%} lost, "
                f"up to {max_delay_s} s late: {used:.3f} used"
            )


if __name__ == "__main__":
    main()
