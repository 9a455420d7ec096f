"""What callers measured in one run, and the two ratios between runs."""

from hdrh.histogram import HdrHistogram
from msgspec import Struct

MICROSECONDS = 1_000_000
_HIGHEST_US = 600 * MICROSECONDS


class LatencyRecord:
    """Latencies of one kind, in a histogram of three significant digits."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, _HIGHEST_US, 3)

    def add(self, seconds: float) -> None:
        """Record one latency."""
        self._histogram.record_value(max(1, min(int(seconds * MICROSECONDS), _HIGHEST_US)))

    def percentile_s(self, percent: float) -> float:
        """Return a percentile in seconds, 0 when there is none."""
        if self._histogram.get_total_count() == 0:
            return 0.0
        return float(self._histogram.get_value_at_percentile(percent)) / MICROSECONDS


class Measures(Struct):
    """One run: a scenario under a policy with a seed."""

    policy: str
    seed: int
    online_sent: int = 0
    online_completed: int = 0
    online_refused: int = 0
    online_tokens: int = 0
    first_token_p50_s: float = 0.0
    first_token_p95_s: float = 0.0
    first_token_p99_s: float = 0.0
    inter_token_p50_s: float = 0.0
    inter_token_p95_s: float = 0.0
    inter_token_p99_s: float = 0.0
    batch_items_sent: int = 0
    batch_items_done: int = 0
    batch_tokens_done: int = 0
    deadlines_met: int = 0
    deadlines_missed: int = 0
    preemptions: int = 0


class Ratios(Struct):
    """A policy against the baselines of the same scenario and seed."""

    policy: str
    seed: int
    first_token_harm: float
    inter_token_harm: float
    harvest: float

    @property
    def harm(self) -> float:
        """The worse of the two harms."""
        return max(self.first_token_harm, self.inter_token_harm)


def ratios_of(run: Measures, online_only: Measures, batch_only: Measures) -> Ratios:
    """Return harm and harvest of a run."""
    spare = batch_only.batch_tokens_done - run.online_tokens
    return Ratios(
        run.policy,
        run.seed,
        _ratio(run.first_token_p99_s, online_only.first_token_p99_s),
        _ratio(run.inter_token_p99_s, online_only.inter_token_p99_s),
        _ratio(run.batch_tokens_done, spare),
    )


def _ratio(value: float, base: float) -> float:
    return round(value / base, 4) if base > 0 else 0.0
