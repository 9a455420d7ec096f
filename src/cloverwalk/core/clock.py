"""The monotonic clock of a process, which also counts time while the machine is suspended."""

import time
from collections.abc import Callable

import attrs

MIN_SUSPENSION_S = 0.05
"""Shorter differences are ignored: the two clocks are not read at the same instant."""


def monotonic_s() -> float:
    """Return monotonic time in seconds, including the time while the machine is suspended.

    ``time.monotonic`` stops during a suspension: a lease, a quota or a list that was fresh before
    would still look fresh afterwards. So it is only the fallback, where the system has no
    ``CLOCK_BOOTTIME``.
    """
    if not hasattr(time, "CLOCK_BOOTTIME"):
        return time.monotonic()
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class SuspensionWatch:
    """Detects that the machine was suspended, by comparing two monotonic clocks.

    >>> without_suspensions, with_suspensions = iter([1.0, 2.0, 3.0]), iter([1.0, 2.0, 8.0])
    >>> watch = SuspensionWatch(
    ...     lambda: next(with_suspensions), lambda: next(without_suspensions)
    ... )
    >>> watch.check(), watch.check()
    (0.0, 5.0)
    """

    def __init__(
        self,
        with_suspensions: Callable[[], float] = monotonic_s,
        without_suspensions: Callable[[], float] = time.monotonic,
    ) -> None:
        self._with_suspensions = with_suspensions
        self._without_suspensions = without_suspensions
        self._difference_s = with_suspensions() - without_suspensions()

    def check(self) -> float:
        """Return how long the machine was suspended since the previous check, in seconds."""
        difference_s = self._with_suspensions() - self._without_suspensions()
        suspended_s, self._difference_s = difference_s - self._difference_s, difference_s
        return suspended_s if suspended_s >= MIN_SUSPENSION_S else 0.0


@attrs.frozen
class Clock:
    """A monotonic clock; its zero has no meaning.

    ``seconds`` is the time source; tests and simulations replace it to control the time.

    >>> Clock(lambda: 1.5).now_ms()
    1500.0
    """

    seconds: Callable[[], float] = monotonic_s

    def now_ms(self) -> float:
        """Return the time in milliseconds."""
        return self.seconds() * 1000
