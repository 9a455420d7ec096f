"""Estimates the time of the store from its answers."""

from collections.abc import Callable

import attrs

from cloverwalk.core.clock import Clock

MAX_DRIFT = 200e-6
"""Drift between the monotonic clock and the clock of the store, as a fraction; twice the 100 ppm
that quartz clocks are specified for."""


@attrs.frozen
class StoreTime:
    """An interval that contains the current time of the store (ms).

    To check whether a deadline has passed, use ``earliest_ms``; to set a time until which something
    is kept, use ``latest_ms``. The opposite choice acts too early by the width of the interval. The
    width is the round trip of the fastest answer so far: usually some ms, but seconds if the only
    answer was read late.
    """

    earliest_ms: float
    latest_ms: float

    @property
    def uncertainty_ms(self) -> float:
        """The width of the interval."""
        return self.latest_ms - self.earliest_ms


def _ignore(_jump_ms: float) -> None:
    """Ignore a jump; the default callback."""


class StoreClock:
    """Estimates the time of the store between its answers; it is unknown before the first answer.

    The store reads its clock after a call was sent and before its answer is read, so each answer
    gives a lower and an upper bound of the offset between the two clocks. The tightest bounds are
    kept and widened by the possible drift since. An answer outside of them shows that a clock was
    stopped or set, for example while the machine was suspended. The bounds are then reset to those
    of this answer, and ``on_jump`` is called with the size of the jump (ms).
    """

    def __init__(self, clock: Clock, on_jump: Callable[[float], None] = _ignore) -> None:
        self._clock = clock
        self._on_jump = on_jump
        self._min_offset_ms = float("-inf")
        self._max_offset_ms = float("inf")
        self._answered_at_ms: float | None = None

    def monotonic_ms(self) -> float:
        """Return the monotonic time of this machine, to be read before a call is sent."""
        return self._clock.now_ms()

    def record_answer(self, store_ms: float, sent_at_ms: float) -> None:
        """Use the store time in the answer to a call sent at ``sent_at_ms`` (monotonic time)."""
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
        """Return the time of the store, None before the first answer.

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
