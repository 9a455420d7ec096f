"""The store's time at this node, as its answers tell it."""

from cloverwalk.core.clock import Clock

MOST_DRIFT = 200e-6
"""How much faster or slower than the store's a machine's steady clock may run; twice what quartz
clocks are specified for (100 ppm)."""


class StoreClock:
    """Estimates the store's time between its answers. It is unknown before the first one.

    An answer may lie unread for a while, so what it tells is never ahead of the store: the estimate
    goes by the answer that came fastest, less what the clocks may have drifted since.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._ahead_ms: float | None = None
        self._told_at_ms = 0.0

    def note(self, store_ms: float) -> None:
        """Take the time that an answer told."""
        at_ms = self._clock.now_ms()
        told_ms = store_ms - at_ms
        if self._ahead_ms is not None:
            drift_ms = MOST_DRIFT * (at_ms - self._told_at_ms)
            told_ms = max(told_ms, self._ahead_ms - drift_ms)
        self._ahead_ms = told_ms
        self._told_at_ms = at_ms

    def now_ms(self) -> float | None:
        """Return the store's time, None before any answer told it.

        >>> clock = StoreClock(Clock(lambda: 2.0))
        >>> clock.now_ms() is None
        True
        >>> clock.note(500.0)
        >>> clock.now_ms()
        500.0
        """
        return None if self._ahead_ms is None else self._clock.now_ms() + self._ahead_ms
