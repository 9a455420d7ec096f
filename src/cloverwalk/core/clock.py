"""Steady time in milliseconds."""

import time
from collections.abc import Callable

import attrs

MIN_SUSPENSION_S = 0.05
"""A shorter difference of the two clocks may lie between the two readings."""


def steady_s() -> float:
    """Return steady time in seconds that goes on while the machine is suspended.

    ``time.monotonic`` stands still then: a lease, a quota or a list that was fresh before would
    look as fresh afterwards. Where a system has no such clock, it is ``time.monotonic``.
    """
    if not hasattr(time, "CLOCK_BOOTTIME"):
        return time.monotonic()
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class SuspensionWatch:
    """Notices that the machine was suspended.

    >>> awake, steady = iter([1.0, 2.0, 3.0]), iter([1.0, 2.0, 8.0])
    >>> watch = SuspensionWatch(lambda: next(steady), lambda: next(awake))
    >>> watch.check(), watch.check()
    (0.0, 5.0)
    """

    def __init__(
        self,
        steady: Callable[[], float] = steady_s,
        awake: Callable[[], float] = time.monotonic,
    ) -> None:
        self._steady = steady
        self._awake = awake
        self._ahead_s = steady() - awake()

    def check(self) -> float:
        """Return for how long the machine was suspended since the last look, in seconds."""
        ahead_s = self._steady() - self._awake()
        slept_s, self._ahead_s = ahead_s - self._ahead_s, ahead_s
        return slept_s if slept_s >= MIN_SUSPENSION_S else 0.0


@attrs.frozen
class Clock:
    """A clock that never goes back; its zero means nothing.

    ``seconds`` is the source, so that tests and simulations can move time by hand.

    >>> Clock(lambda: 1.5).now_ms()
    1500.0
    """

    seconds: Callable[[], float] = steady_s

    def now_ms(self) -> float:
        """Return the time in milliseconds."""
        return self.seconds() * 1000
