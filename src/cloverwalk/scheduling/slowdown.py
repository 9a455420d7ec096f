"""How fast each replica works, learnt at the coordinator. Figures in, figures out; time is passed.

A pace is a factor of the time that its service's replicas usually take: 2.0 is half as fast. It is
the product of a long-term figure, which the kind of machine makes, and of a short-term one, which
neighbours on that machine make. The long-term one is learnt from answers: their time per event,
against what other replicas of the service take with as many requests at once. The short-term one is
what a replica tells against what it tells on average, so it does not matter what it calls usual;
where this has not improved the forecast lately, it is what was measured last. Either fades back to
the long-term figure with its age, and only a slower one than that counts.
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
"""Bounds of a pace: beyond them a replica fails rather than that it is slow, and one wrong figure
must not take it out of use."""

REPORTED_TTL_S = 0.6
"""A told figure counts in full when new and not at all at this age: neighbours' work lasts for
parts of a second."""

MEASURED_TTL_S = 1.0
"""The same for measured ones, of which there are fewer."""

BASELINE_WEIGHT = 0.04
"""Share of an answer in the long-term figure: about the last 25 count, seconds of a busy
replica."""

PRIOR_ANSWERS = 4
"""A new replica's figure of 1.0 counts as so many answers: a single one says little."""

MAX_DEVIATION = math.log(1.5)
"""One answer counts as at most this factor away from what was expected: an event may wait behind
another request's long prompt."""

SHORT_TERM_WEIGHT = 0.4
"""Share of an answer in the measured short-term figure: the last two or three count."""

ERROR_WEIGHT = 0.1
MIN_TRUST_ANSWERS = 8
"""A replica's word counts unproved for so many of its answers; then measured figures say whether
it counts on."""

MAX_ERROR_RATIO = 0.95
"""With its word, answers must be expected better than without, by this factor of the error."""

NOISE_ERROR = 0.08
"""Errors below this are the spread of single answers; they say nothing against a replica's word."""

SERVICE_WEIGHT = 0.02
MIN_SERVICE_ANSWERS = 10
"""What a service usually takes is an average of about 50 answers, and is used from 10 on."""

MIN_EVENTS = 8
"""Answers with fewer events say little of the time between them."""

MAX_EVENTS = 10_000_000
MAX_DURATION_MS = 3_600_000
MAX_REPORTED_PERCENT = 10_000
"""Figures above these can't be right: no answer takes an hour, none is a hundredfold slow."""

LOAD_CLASSES = 8
"""Times between events are compared among replicas that are equally full, in steps of an eighth."""

REFRESH_INTERVAL_S = 0.1
"""Faded figures are worked out so often: a sixth of the time in which a told one fades. Where more
than a thousand fade it is rarer, since each costs some 2 us."""

UNUSUAL_THRESHOLD = math.log(1.25)
USUAL_AGAIN_THRESHOLD = math.log(1.1)
"""A replica whose long-term figure is beyond the first is logged as unusual, until it is below the
second; with one bound, it would be logged again and again."""

ESTABLISHED_ANSWERS = 12
"""Answers after which a long-term figure is worth a line in the log and a place in a snapshot."""

SLOW_THRESHOLD = 1.25
FAST_THRESHOLD = 0.8
"""Bounds of the classes that the metrics count by."""


@attrs.define
class Measurement:
    """How one answer ran at a replica, as a node told it."""

    replica_id: str
    service: str
    is_item: bool
    events: int
    took_ms: float
    """From its first event to its last."""

    reported_percent: int
    """What the replica told as the answer began; 0: nothing."""

    utilization: float
    """Share of the replica's slots that were in use, this answer's included."""


@attrs.define
class _ReplicaEstimate:
    """What is known of one replica; figures are logarithms of factors."""

    baseline: float = 0.0
    answers: int = 0
    reported: float = 0.0
    reported_at: float = -math.inf
    reported_baseline: float = 0.0
    reported_count: int = 0
    measured: float = 0.0
    measured_at: float = -math.inf
    error: float = 0.0
    """Average error of expecting the long-term figure."""

    reported_error: float = 0.0
    """The same with what the replica told."""

    is_unusual: bool = False

    @property
    def is_trusted(self) -> bool:
        """Whether what the replica tells counts."""
        if self.answers < MIN_TRUST_ANSWERS:
            return True
        quiet = max(self.error, self.reported_error) < NOISE_ERROR
        return quiet or self.reported_error < MAX_ERROR_RATIO * self.error

    def is_expired(self, now: float) -> bool:
        """Whether only the long-term figure counts any more."""
        return now >= max(self.reported_at + REPORTED_TTL_S, self.measured_at + MEASURED_TTL_S)

    def record_errors(self, deviation: float, reported_deviation: float) -> None:
        """Compare forecasts without and with what the replica told."""
        self.error += ERROR_WEIGHT * (abs(deviation) - self.error)
        unexplained = abs(deviation - reported_deviation)
        self.reported_error += ERROR_WEIGHT * (unexplained - self.reported_error)

    def update_baseline(self, unexplained: float) -> None:
        """Learn from the part of an answer's deviation that what was told does not explain."""
        self.answers += 1
        weight = max(BASELINE_WEIGHT, 1 / (self.answers + PRIOR_ANSWERS))
        self.baseline += weight * _limited(unexplained)
        self.baseline = _logarithm(math.exp(self.baseline))

    def update_measured(self, deviation: float, now: float) -> None:
        """Learn from an answer's deviation; what was measured before has faded meanwhile."""
        before = _remaining_weight(now - self.measured_at, MEASURED_TTL_S) * self.measured
        self.measured = before + SHORT_TERM_WEIGHT * _limited(deviation - before)
        self.measured_at = now

    def slowdown(self, now: float) -> float:
        """Return the present pace as a factor."""
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
        # Only slowness counts: else whoever told last that it is free, and may have ended since,
        # would draw all requests from those that are free but were not heard.
        return _bounded(math.exp(self.baseline + max(0.0, deviation)))


class ReplicaSlowdowns:
    """Paces by replica.

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
        """When a replica that has started again was first seen."""

        self._refreshed_at = -math.inf
        self._fading: set[str] = set()
        """Replicas whose short-term figure still counts."""

        self.current: dict[str, float] = {}
        """Paces now, of the replicas of which something is known; see ``refresh``."""

        self.invalid_count = 0
        """Figures that could not be right, and were not taken."""

        self.on_change: Callable[[str, float, bool], None] = _ignore_change
        """Told a replica, its long-term factor, and whether that is unusual from now on."""

    # --- what is asked ---

    def slowdown(self, replica_id: str) -> float:
        """Return the pace of a replica as of the last refresh."""
        return self.current.get(replica_id, 1.0)

    def baseline(self, replica_id: str) -> float:
        """Return the long-term figure of a replica."""
        estimate = self._estimates.get(replica_id)
        return 1.0 if estimate is None else _bounded(math.exp(estimate.baseline))

    def refresh(self, now: float) -> None:
        """Have figures fade, now and then."""
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
        """Return how many replicas are fast, usual and slow by their long-term figure."""
        return Counter(
            _speed_class(math.exp(estimate.baseline)) for estimate in self._estimates.values()
        )

    # --- what is learnt ---

    def record(self, measured: Measurement, now: float) -> None:
        """Learn from an answer that has just ended."""
        if not _is_valid_measurement(measured):
            self.invalid_count += 1
            return
        began_at = now - measured.took_ms / 1000
        if began_at < self._first_seen_at.get(measured.replica_id, -math.inf):
            # It says what an earlier process did.
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
        """Return the logarithm of an answer's time against the usual one; None: not known."""
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
        """Tell that a replica's long-term figure has left the usual one, or is back."""
        if estimate.answers < ESTABLISHED_ANSWERS:
            return
        threshold = USUAL_AGAIN_THRESHOLD if estimate.is_unusual else UNUSUAL_THRESHOLD
        is_unusual = abs(estimate.baseline) > threshold
        if is_unusual != estimate.is_unusual:
            estimate.is_unusual = is_unusual
            self.on_change(replica_id, math.exp(estimate.baseline), is_unusual)

    # --- replicas come and go ---

    def update_replicas(self, replicas: Iterable[Replica], now: float) -> None:
        """Forget replicas that are gone or have started again."""
        incarnations = {
            replica.replica_id: (replica.host, replica.port, replica.started_ms)
            for replica in replicas
        }
        for replica_id, incarnation in self._incarnations.items():
            if incarnations.get(replica_id) != incarnation:
                self.restart(replica_id, now)
        # Figures of another coordinator may be of replicas that were never seen here.
        for replica_id in self._estimates.keys() - incarnations.keys():
            self.restart(replica_id, now)
        self._first_seen_at = {
            key: at for key, at in self._first_seen_at.items() if key in incarnations
        }
        self._incarnations = incarnations

    def restart(self, replica_id: str, now: float) -> None:
        """A replica has started again: it begins as its service's usual one."""
        self._estimates.pop(replica_id, None)
        self.current.pop(replica_id, None)
        self._first_seen_at[replica_id] = now

    # --- handover ---

    def baselines(self) -> dict[str, float]:
        """Return the logarithms of long-term figures that enough answers stand for."""
        return {
            key: estimate.baseline
            for key, estimate in self._estimates.items()
            if estimate.answers >= ESTABLISHED_ANSWERS
        }

    def estimates(self, replica_ids: Iterable[str], now: float) -> dict[str, SlowdownEstimate]:
        """Return what is known of some replicas, as a snapshot tells it."""
        return {key: _to_message(self._estimates[key], now) for key in replica_ids}

    def apply(self, estimates: Mapping[str, SlowdownEstimate], now: float) -> None:
        """Take what another coordinator has learnt."""
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
    """Time between two events at the replicas of a service that are equally full, in ms."""

    average: RunningAverage = attrs.Factory(_service_average)
    answers: int = 0

    def factor(self, event_ms: float) -> float | None:
        """Take a measurement; return the logarithm of its factor, None while too little is known.

        One that is far off counts as a bounded one in the average, too.
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
    """Return how much of a figure of some age counts, from 1 to 0."""
    return max(0.0, 1.0 - max(0.0, age_s) / ttl_s)


def _limited(deviation: float) -> float:
    """Return a deviation as far as one answer counts."""
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
