"""The store's time at this node, as its answers tell it."""

from collections.abc import Callable

import attrs

from cloverwalk.core.clock import Clock

MAX_DRIFT = 200e-6
"""How much faster or slower than the store's a machine's steady clock may run; twice what quartz
clocks are specified for (100 ppm)."""


@attrs.frozen
class StoreTime:
    """The store's time (ms): an interval that surely holds it.

    What asks whether a time is over takes ``earliest_ms``; what sets a time until which something
    is kept takes ``latest_ms``. The other way round either comes too early by the width, which is
    that of the fastest answer so far: some ms, and seconds where the only one lay unread.
    """

    earliest_ms: float
    latest_ms: float

    @property
    def uncertainty_ms(self) -> float:
        """How far the time is unsure."""
        return self.latest_ms - self.earliest_ms


def _ignore(_jump_ms: float) -> None:
    """Tell nobody."""


class StoreClock:
    """Estimates the store's time between its answers. It is unknown before the first one.

    The store reads its clock after a call was sent and before its answer is read, so each answer
    bounds the difference of the two clocks on both sides. The closest bounds are kept, less what
    the clocks may have drifted since. An answer that contradicts them shows that a clock stood
    still or was set, as of a machine that was suspended: it alone counts then, and ``on_jump`` is
    told by how much (ms).
    """

    def __init__(self, clock: Clock, on_jump: Callable[[float], None] = _ignore) -> None:
        self._clock = clock
        self._on_jump = on_jump
        self._min_offset_ms = float("-inf")
        self._max_offset_ms = float("inf")
        self._answered_at_ms: float | None = None

    def monotonic_ms(self) -> float:
        """Return this machine's steady time, to be noted before a call."""
        return self._clock.now_ms()

    def record_answer(self, store_ms: float, sent_at_ms: float) -> None:
        """Take the time that the answer to a call sent at ``sent_at_ms`` (steady) told."""
        at_ms = self._clock.now_ms()
        min_offset_ms, max_offset_ms = store_ms - at_ms, store_ms - sent_at_ms
        if self._answered_at_ms is not None:
            drift_ms = MAX_DRIFT * (at_ms - self._answered_at_ms)
            self._min_offset_ms -= drift_ms
            self._max_offset_ms += drift_ms
        jump_ms = max(min_offset_ms - self._max_offset_ms, self._min_offset_ms - max_offset_ms)
        if jump_ms > 0:
            self._on_jump(jump_ms)
            self._min_offset_ms, self._max_offset_ms = min_offset_ms, max_offset_ms
        self._min_offset_ms = max(self._min_offset_ms, min_offset_ms)
        self._max_offset_ms = min(self._max_offset_ms, max_offset_ms)
        self._answered_at_ms = at_ms

    def now(self) -> StoreTime | None:
        """Return the store's time, None before any answer told it.

        >>> clock = StoreClock(Clock(lambda: 2.0))
        >>> clock.now() is None
        True
        >>> clock.record_answer(500.0, sent_at_ms=1990.0)
        >>> clock.now()
        StoreTime(earliest_ms=500.0, latest_ms=510.0)
        """
        if self._answered_at_ms is None:
            return None
        now_ms = self._clock.now_ms()
        drift_ms = MAX_DRIFT * (now_ms - self._answered_at_ms)
        earliest_ms = now_ms + self._min_offset_ms - drift_ms
        return StoreTime(earliest_ms, now_ms + self._max_offset_ms + drift_ms)
