"""Limits how many batch streams a replica runs beside its online work.

Engine priorities are not enough: a larger running batch makes every decode step slower for
all streams. The limit follows the observed step times: additive increase while they are
within the goal, multiplicative decrease otherwise. Some slots are reserved for online
arrivals; their number follows recent peaks of online concurrency.
"""

from msgspec import Struct


class ConcurrencySettings(Struct, frozen=True):
    """Goals and gains of the controller."""

    step_goal_s: float = 0.029
    increase_per_update: float = 1.0
    decrease_factor: float = 0.7
    update_interval_s: float = 0.25
    reserve_min_slots: int = 1
    peak_half_life_s: float = 20.0


class BatchConcurrency:
    """The batch concurrency controller of one replica.

    >>> control = BatchConcurrency(ConcurrencySettings(), slots=8)
    >>> control.allowed(online_running=0)
    7
    >>> control.observe_step(0.050, now=1.0)
    >>> control.observe_step(0.050, now=1.3)
    >>> control.allowed(online_running=0)
    3
    """

    def __init__(self, settings: ConcurrencySettings, slots: int) -> None:
        self._settings = settings
        self._slots = slots
        self._limit = float(slots - settings.reserve_min_slots)
        self._updated_at = 0.0
        self._min_step_s = float("inf")
        self._online_peak = 0.0
        self._peak_decayed_at = 0.0

    def observe_step(self, step_s: float, now: float) -> None:
        """Record a decode step time and update the limit once per interval.

        Only the shortest step of an interval counts: longer steps include a prefill, which
        fewer streams would not make shorter.
        """
        self._min_step_s = min(self._min_step_s, step_s)
        if now - self._updated_at < self._settings.update_interval_s:
            return
        self._updated_at = now
        step_s, self._min_step_s = self._min_step_s, float("inf")
        if step_s > self._settings.step_goal_s:
            self._limit = max(0.0, self._limit * self._settings.decrease_factor)
        else:
            ceiling = float(self._slots)
            self._limit = min(ceiling, self._limit + self._settings.increase_per_update)

    def observe_online(self, online_running: int, now: float) -> None:
        """Record the online concurrency, from which the reserve is forecast."""
        self._decay_peak(now)
        self._online_peak = max(self._online_peak, float(online_running))

    def _decay_peak(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._peak_decayed_at)
        self._online_peak *= 0.5 ** (elapsed_s / self._settings.peak_half_life_s)
        self._peak_decayed_at = now

    def reserve(self, online_running: int) -> int:
        """Return the number of reserved slots beyond those of the running online work."""
        forecast = int(self._online_peak + 0.5) - online_running
        return max(self._settings.reserve_min_slots, min(forecast, self._slots // 2))

    def allowed(self, online_running: int) -> int:
        """Return how many batch streams may run beside ``online_running``."""
        free_slots = self._slots - online_running - self.reserve(online_running)
        return max(0, min(int(self._limit), free_slots))
