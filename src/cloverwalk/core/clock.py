"""Steady time in milliseconds."""

import time
from collections.abc import Callable

import attrs


@attrs.frozen
class Clock:
    """A clock that never goes back; its zero means nothing.

    ``seconds`` is the source, so that tests and simulations can move time by hand.

    >>> Clock(lambda: 1.5).now_ms()
    1500.0
    """

    seconds: Callable[[], float] = time.monotonic

    def now_ms(self) -> float:
        """Return the time in milliseconds."""
        return self.seconds() * 1000
