"""Estimates the slowdown of each replica, at the coordinator. A policy without I/O.

A slowdown is a factor on the usual service time of the service: 2.0 takes twice as long. It is the
product of a baseline, which depends on the kind of machine, and a short-term deviation, which
depends on other work on that machine. The baseline is estimated from answers: their time per event,
compared with other replicas of the service at a similar load. The deviation is what a replica
reports, relative to its average report, so a constant factor in all its reports does not matter.
If recent reports did not improve the forecast, the latest measurements are used instead. A
deviation fades with its age, and counts only if it means slower than the baseline.
"""

import math
from collections import Counter
from collections.abc import Callable, Iterable, Mapping

import attrs

from cloverwalk.fleet.messages import SlowdownEstimate
from cloverwalk.gateway.replicas import Replica
from cloverwalk.scheduling.service_times import RunningAverage

MAX_SLOWDOWN = 4.0
MIN_SLOWDOWN = 0.25
"""Bounds of a slowdown: beyond them a replica has failed rather than slowed down, and one wrong
value must not take it out of use."""

REPORTED_TTL_S = 0.6
"""Age at which a reported slowdown has faded to nothing; other work on a machine lasts for less
than a second."""

MEASURED_TTL_S = 1.0
"""The same for measured ones, which are rarer."""

BASELINE_WEIGHT = 0.04
"""Weight of an answer in the baseline: about the last 25 answers count."""

PRIOR_ANSWERS = 4
"""The initial baseline of 1.0 has the weight of this many answers."""

MAX_DEVIATION = math.log(1.5)
"""Largest deviation of one answer that counts (logarithm): an event may wait behind the long prompt
of another request."""

SHORT_TERM_WEIGHT = 0.4
"""Weight of an answer in the measured deviation: the last two or three count."""

ERROR_WEIGHT = 0.1
MIN_TRUST_ANSWERS = 8
"""A replica's reports are trusted for this many answers; from then on, the forecast errors
decide."""

MAX_ERROR_RATIO = 0.95
"""Reports are trusted if they reduce the forecast error at least to this fraction."""

NOISE_ERROR = 0.08
"""Errors below this are the spread of single answers and no reason to distrust reports."""

SERVICE_WEIGHT = 0.02
"""Weight of an answer in the average of its service: about the last 50 answers count."""

MIN_SERVICE_ANSWERS = 10
"""Answers after which the average time per event of a service is used."""

MIN_EVENTS = 8
"""Answers with fewer events are too short to measure the time between them."""

MAX_EVENTS = 10_000_000
MAX_DURATION_MS = 3_600_000
MAX_REPORTED_PERCENT = 10_000
"""Values above these bounds are invalid."""

LOAD_CLASSES = 8
"""Times between events are compared among replicas of similar load, in this many classes."""

REFRESH_INTERVAL_S = 0.1
"""How often fading deviations are recomputed: a sixth of the time in which a reported one fades.
Less often where more than a thousand fade, since each costs about 2 us."""

UNUSUAL_THRESHOLD = math.log(1.25)
USUAL_AGAIN_THRESHOLD = math.log(1.1)
"""A replica is logged as unusual when its baseline (logarithm) exceeds the first threshold, and as
usual when it is below the second. A single threshold would log small variations again and again."""

ESTABLISHED_ANSWERS = 12
"""Answers after which a baseline is logged and replicated."""

SLOW_THRESHOLD = 1.25
FAST_THRESHOLD = 0.8
"""Bounds of the classes in the metrics."""


@attrs.define
class Measurement:
    """Timing of one answer of a replica, as reported by a node."""

    replica_id: str
    service: str
    is_item: bool
    events: int
    took_ms: float
    """Time from its first event to its last."""

    reported_percent: int
    """Slowdown that the replica reported at the start of the answer; 0 if it reported none."""

    utilization: float
    """Fraction of the replica's slots in use, including this answer."""


@attrs.define
class _ReplicaEstimate:
    """Estimates for one replica; all factors are logarithms."""

    baseline: float = 0.0
    answers: int = 0
    reported: float = 0.0
    reported_at: float = -math.inf
    reported_baseline: float = 0.0
    reported_count: int = 0
    measured: float = 0.0
    measured_at: float = -math.inf
    error: float = 0.0
    """Average forecast error of the baseline alone."""

    reported_error: float = 0.0
    """Average forecast error with the replica's reports."""

    is_unusual: bool = False

    @property
    def is_trusted(self) -> bool:
        """Whether the replica's reports count."""
        if self.answers < MIN_TRUST_ANSWERS:
            return True
        is_within_noise = max(self.error, self.reported_error) < NOISE_ERROR
        return is_within_noise or self.reported_error < MAX_ERROR_RATIO * self.error

    def is_expired(self, now: float) -> bool:
        """Whether only the baseline still counts."""
        return now >= max(self.reported_at + REPORTED_TTL_S, self.measured_at + MEASURED_TTL_S)

    def record_errors(self, deviation: float, reported_deviation: float) -> None:
        """Update the forecast errors without and with the replica's report."""
        self.error += ERROR_WEIGHT * (abs(deviation) - self.error)
        unexplained = abs(deviation - reported_deviation)
        self.reported_error += ERROR_WEIGHT * (unexplained - self.reported_error)

    def update_baseline(self, unexplained: float) -> None:
        """Update the baseline by the part of a deviation that the report does not explain."""
        self.answers += 1
        weight = max(BASELINE_WEIGHT, 1 / (self.answers + PRIOR_ANSWERS))
        self.baseline += weight * _limited(unexplained)
        self.baseline = _logarithm(math.exp(self.baseline))

    def update_measured(self, deviation: float, now: float) -> None:
        """Update the measured deviation; the earlier one has faded in the meantime."""
        faded_deviation = _remaining_weight(now - self.measured_at, MEASURED_TTL_S) * self.measured
        self.measured = faded_deviation + SHORT_TERM_WEIGHT * _limited(deviation - faded_deviation)
        self.measured_at = now

    def slowdown(self, now: float) -> float:
        """Return the current slowdown as a factor."""
        reported_weight = 0.0
        if self.is_trusted:
            reported_weight = _remaining_weight(now - self.reported_at, REPORTED_TTL_S)
        measured_weight = (1 - reported_weight) * _remaining_weight(
            now - self.measured_at, MEASURED_TTL_S
        )
        deviation = (
            reported_weight * (self.reported - self.reported_baseline)
            + measured_weight * self.measured
        )
        # Only a slower replica counts. Otherwise the one that last reported to be fast, and may
        # have ended since, would draw all requests from free replicas without a recent report.
        return _bounded(math.exp(self.baseline + max(0.0, deviation)))


class ReplicaSlowdowns:
    """Slowdowns by replica.

    >>> slowdowns = ReplicaSlowdowns()
    >>> slowdowns.slowdown("r1")
    1.0
    >>> slowdowns.apply({"r1": SlowdownEstimate(1.6, 1.6, 0)}, now=10.0)
    >>> slowdowns.slowdown("r1"), slowdowns.baseline("r1")
    (1.6, 1.6)
    """

    def __init__(self) -> None:
        self._estimates: dict[str, _ReplicaEstimate] = {}
        self._service_times: dict[tuple[str, bool, int], _ServiceTime] = {}
        self._incarnations: dict[str, tuple[str, int, int]] = {}
        self._first_seen_at: dict[str, float] = {}
        """When the current incarnation of a restarted replica was first seen."""

        self._refreshed_at = -math.inf
        self._fading: set[str] = set()
        """Replicas whose deviation still counts."""

        self.current: dict[str, float] = {}
        """Current slowdowns of the replicas with estimates; see ``refresh``."""

        self.invalid_count = 0
        """Invalid values that were ignored."""

        self.on_change: Callable[[str, float, bool], None] = _ignore_change
        """Called with a replica, its baseline and whether that is unusual from now on."""

    # --- current estimates ---

    def slowdown(self, replica_id: str) -> float:
        """Return the slowdown of a replica as of the last refresh."""
        return self.current.get(replica_id, 1.0)

    def baseline(self, replica_id: str) -> float:
        """Return the baseline of a replica as a factor."""
        estimate = self._estimates.get(replica_id)
        return 1.0 if estimate is None else _bounded(math.exp(estimate.baseline))

    def refresh(self, now: float) -> None:
        """Recompute the fading slowdowns, if a refresh is due."""
        if now - self._refreshed_at < REFRESH_INTERVAL_S * (1 + len(self._fading) / 1000):
            return
        self._refreshed_at = now
        for replica_id in list(self._fading):
            estimate = self._estimates.get(replica_id)
            if estimate is not None:
                self.current[replica_id] = estimate.slowdown(now)
            if estimate is None or estimate.is_expired(now):
                self._fading.discard(replica_id)

    def counts_by_class(self) -> Counter[str]:
        """Return how many replicas are fast, usual and slow by their baseline."""
        return Counter(
            _speed_class(math.exp(estimate.baseline)) for estimate in self._estimates.values()
        )

    # --- measurements ---

    def record(self, measured: Measurement, now: float) -> None:
        """Update the estimates by an answer that has just ended."""
        if not _is_valid_measurement(measured):
            self.invalid_count += 1
            return
        began_at = now - measured.took_ms / 1000
        if began_at < self._first_seen_at.get(measured.replica_id, -math.inf):
            # The answer is of an earlier incarnation.
            return
        estimate = self._estimates.setdefault(measured.replica_id, _ReplicaEstimate())
        reported = (
            _logarithm(measured.reported_percent / 100) if measured.reported_percent else None
        )
        factor = self._measured_factor(measured)
        if factor is not None:
            self._record_factor(measured.replica_id, estimate, factor, reported, now)
        if reported is not None:
            _record_reported(estimate, reported, began_at)
        self._update_current(measured.replica_id, estimate, now)

    def _update_current(self, replica_id: str, estimate: _ReplicaEstimate, now: float) -> None:
        self.current[replica_id] = estimate.slowdown(now)
        self._fading.add(replica_id)

    def _measured_factor(self, measured: Measurement) -> float | None:
        """Return the logarithm of an answer's time over the usual one; None if that is unknown."""
        if measured.events < MIN_EVENTS or measured.took_ms <= 0:
            return None
        utilization = min(1.0, max(0.0, measured.utilization))
        load = max(1, math.ceil(utilization * LOAD_CLASSES))
        key = (measured.service, measured.is_item, load)
        service = self._service_times.setdefault(key, _ServiceTime())
        return service.factor(measured.took_ms / (measured.events - 1))

    def _record_factor(
        self,
        replica_id: str,
        estimate: _ReplicaEstimate,
        factor: float,
        reported: float | None,
        now: float,
    ) -> None:
        deviation = factor - estimate.baseline
        unexplained = deviation
        if reported is not None:
            reported_deviation = reported - estimate.reported_baseline
            estimate.record_errors(deviation, reported_deviation)
            if estimate.is_trusted:
                unexplained = deviation - reported_deviation
        estimate.update_baseline(unexplained)
        estimate.update_measured(deviation, now)
        self._check_unusual(replica_id, estimate)

    def _check_unusual(self, replica_id: str, estimate: _ReplicaEstimate) -> None:
        """Notify ``on_change`` when a baseline becomes unusual or usual again."""
        if estimate.answers < ESTABLISHED_ANSWERS:
            return
        threshold = USUAL_AGAIN_THRESHOLD if estimate.is_unusual else UNUSUAL_THRESHOLD
        is_unusual = abs(estimate.baseline) > threshold
        if is_unusual != estimate.is_unusual:
            estimate.is_unusual = is_unusual
            self.on_change(replica_id, math.exp(estimate.baseline), is_unusual)

    # --- restarts and removals ---

    def update_replicas(self, replicas: Iterable[Replica], now: float) -> None:
        """Remove the estimates of replicas that were removed or have restarted."""
        incarnations = {
            replica.replica_id: (replica.host, replica.port, replica.started_ms)
            for replica in replicas
        }
        for replica_id, incarnation in self._incarnations.items():
            if incarnations.get(replica_id) != incarnation:
                self.restart(replica_id, now)
        # Estimates of another coordinator may be for replicas that were never seen here.
        for replica_id in self._estimates.keys() - incarnations.keys():
            self.restart(replica_id, now)
        self._first_seen_at = {
            key: at for key, at in self._first_seen_at.items() if key in incarnations
        }
        self._incarnations = incarnations

    def restart(self, replica_id: str, now: float) -> None:
        """Reset a replica to the usual slowdown of its service."""
        self._estimates.pop(replica_id, None)
        self.current.pop(replica_id, None)
        self._first_seen_at[replica_id] = now

    # --- replication ---

    def baselines(self) -> dict[str, float]:
        """Return the logarithms of baselines with enough answers."""
        return {
            key: estimate.baseline
            for key, estimate in self._estimates.items()
            if estimate.answers >= ESTABLISHED_ANSWERS
        }

    def estimates(self, replica_ids: Iterable[str], now: float) -> dict[str, SlowdownEstimate]:
        """Return the estimates for some replicas, as sent in a snapshot."""
        return {key: _to_message(self._estimates[key], now) for key in replica_ids}

    def apply(self, estimates: Mapping[str, SlowdownEstimate], now: float) -> None:
        """Apply the estimates of another coordinator."""
        for replica_id, received in estimates.items():
            if not _is_valid_estimate(received):
                self.invalid_count += 1
                continue
            baseline = math.log(received.baseline)
            estimate = _ReplicaEstimate(baseline, ESTABLISHED_ANSWERS)
            estimate.measured = math.log(received.current) - baseline
            estimate.measured_at = now - received.age_ms / 1000
            estimate.is_unusual = abs(baseline) > UNUSUAL_THRESHOLD
            self._estimates[replica_id] = estimate
            self._update_current(replica_id, estimate, now)


def _service_average() -> RunningAverage:
    return RunningAverage(0.0, SERVICE_WEIGHT)


@attrs.define
class _ServiceTime:
    """Average time between events at replicas of one service and load class, in ms."""

    average: RunningAverage = attrs.Factory(_service_average)
    answers: int = 0

    def factor(self, event_ms: float) -> float | None:
        """Add a measurement; return the logarithm of its ratio to the average, if that is known.

        An outlier is bounded before it is added to the average.
        """
        average_ms = self.average.value
        if self.answers >= MIN_SERVICE_ANSWERS:
            event_ms = average_ms * _bounded(event_ms / average_ms)
        self.average.add(event_ms)
        self.answers += 1
        if self.answers <= MIN_SERVICE_ANSWERS:
            return None
        return math.log(event_ms / average_ms)


def _to_message(estimate: _ReplicaEstimate, now: float) -> SlowdownEstimate:
    age_s = max(0.0, now - max(estimate.reported_at, estimate.measured_at))
    age_ms = round(min(MAX_DURATION_MS, 1000 * age_s))
    baseline = _bounded(math.exp(estimate.baseline))
    return SlowdownEstimate(round(baseline, 2), round(estimate.slowdown(now), 2), age_ms)


def _record_reported(estimate: _ReplicaEstimate, reported: float, at: float) -> None:
    estimate.reported_count += 1
    weight = max(BASELINE_WEIGHT, 1 / (estimate.reported_count + PRIOR_ANSWERS))
    estimate.reported_baseline += weight * (reported - estimate.reported_baseline)
    if at >= estimate.reported_at:
        estimate.reported, estimate.reported_at = reported, at


def _is_valid_measurement(measured: Measurement) -> bool:
    return (
        0 <= measured.events <= MAX_EVENTS
        and 0 <= measured.took_ms <= MAX_DURATION_MS
        and 0 <= measured.reported_percent <= MAX_REPORTED_PERCENT
        and math.isfinite(measured.utilization)
    )


def _is_valid_estimate(received: SlowdownEstimate) -> bool:
    in_bounds = all(
        MIN_SLOWDOWN <= factor <= MAX_SLOWDOWN for factor in (received.baseline, received.current)
    )
    return in_bounds and 0 <= received.age_ms <= MAX_DURATION_MS


def _remaining_weight(age_s: float, ttl_s: float) -> float:
    """Return the weight of a value by its age, from 1 down to 0."""
    return max(0.0, 1.0 - max(0.0, age_s) / ttl_s)


def _limited(deviation: float) -> float:
    """Return a deviation, limited to what one answer may count."""
    return min(MAX_DEVIATION, max(-MAX_DEVIATION, deviation))


def _bounded(factor: float) -> float:
    return min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, factor))


def _logarithm(factor: float) -> float:
    return math.log(_bounded(factor))


def _speed_class(factor: float) -> str:
    if factor >= SLOW_THRESHOLD:
        return "slow"
    return "fast" if factor <= FAST_THRESHOLD else "usual"


def _ignore_change(replica_id: str, factor: float, is_unusual: bool) -> None:
    return
