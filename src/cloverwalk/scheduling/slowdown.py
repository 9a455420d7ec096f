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

MOST_FACTOR = 4.0
LEAST_FACTOR = 0.25
"""Bounds of a pace: beyond them a replica fails rather than that it is slow, and one wrong figure
must not take it out of use."""

TOLD_FADES_S = 0.6
"""A told figure counts in full when new and not at all at this age: neighbours' work lasts for
parts of a second."""

MEASURED_FADES_S = 1.0
"""The same for measured ones, of which there are fewer."""

USUAL_WEIGHT = 0.04
"""Share of an answer in the long-term figure: about the last 25 count, seconds of a busy
replica."""

PRIOR_ANSWERS = 4
"""A new replica's figure of 1.0 counts as so many answers: a single one says little."""

LONGEST_STEP = math.log(1.5)
"""One answer counts as at most this factor away from what was expected: an event may wait behind
another request's long prompt."""

SHORT_TERM_WEIGHT = 0.4
"""Share of an answer in the measured short-term figure: the last two or three count."""

TRUST_WEIGHT = 0.1
TRUSTED_ANSWERS = 8
"""A replica's word counts unproved for so many of its answers; then measured figures say whether
it counts on."""

LEAST_GAIN = 0.95
"""With its word, answers must be expected better than without, by this factor of the error."""

QUIET_ERROR = 0.08
"""Errors below this are the spread of single answers; they say nothing against a replica's word."""

SERVICE_WEIGHT = 0.02
LEAST_SERVICE_ANSWERS = 10
"""What a service usually takes is an average of about 50 answers, and is used from 10 on."""

LEAST_EVENTS = 8
"""Answers with fewer events say little of the time between them."""

MOST_EVENTS = 10_000_000
MOST_TOOK_MS = 3_600_000
MOST_TOLD_PERCENT = 10_000
"""Figures above these can't be right: no answer takes an hour, none is a hundredfold slow."""

LOAD_CLASSES = 8
"""Times between events are compared among replicas that are equally full, in steps of an eighth."""

REFRESH_EVERY_S = 0.1
"""Faded figures are worked out so often: a sixth of the time in which a told one fades. Where more
than a thousand fade it is rarer, since each costs some 2 us."""

UNUSUAL_FROM = math.log(1.25)
USUAL_BELOW = math.log(1.1)
"""A replica whose long-term figure is beyond the first is logged as unusual, until it is below the
second; with one bound, it would be logged again and again."""

ESTABLISHED_ANSWERS = 12
"""Answers after which a long-term figure is worth a line in the log and a place in a snapshot."""

SLOW_CLASS_FROM = 1.25
FAST_CLASS_TO = 0.8
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

    told_percent: int
    """What the replica told as the answer began; 0: nothing."""

    fill: float
    """Share of the replica's slots that were in use, this answer's included."""


@attrs.define
class _Learnt:
    """What is known of one replica; figures are logarithms of factors."""

    usual: float = 0.0
    answers: int = 0
    told: float = 0.0
    told_at: float = -math.inf
    told_usual: float = 0.0
    told_count: int = 0
    measured: float = 0.0
    measured_at: float = -math.inf
    error: float = 0.0
    """Average error of expecting the long-term figure."""

    told_error: float = 0.0
    """The same with what the replica told."""

    is_unusual: bool = False

    @property
    def is_trusted(self) -> bool:
        """Whether what the replica tells counts."""
        if self.answers < TRUSTED_ANSWERS:
            return True
        quiet = max(self.error, self.told_error) < QUIET_ERROR
        return quiet or self.told_error < LEAST_GAIN * self.error

    def is_faded(self, now: float) -> bool:
        """Whether only the long-term figure counts any more."""
        return now >= max(self.told_at + TOLD_FADES_S, self.measured_at + MEASURED_FADES_S)

    def note_errors(self, deviation: float, told_deviation: float) -> None:
        """Compare forecasts without and with what the replica told."""
        self.error += TRUST_WEIGHT * (abs(deviation) - self.error)
        rest = abs(deviation - told_deviation)
        self.told_error += TRUST_WEIGHT * (rest - self.told_error)

    def note_long_term(self, unexplained: float) -> None:
        """Learn from the part of an answer's deviation that what was told does not explain."""
        self.answers += 1
        weight = max(USUAL_WEIGHT, 1 / (self.answers + PRIOR_ANSWERS))
        self.usual += weight * _one_step(unexplained)
        self.usual = _logarithm(math.exp(self.usual))

    def note_short_term(self, deviation: float, now: float) -> None:
        """Learn from an answer's deviation; what was measured before has faded meanwhile."""
        before = _share(now - self.measured_at, MEASURED_FADES_S) * self.measured
        self.measured = before + SHORT_TERM_WEIGHT * _one_step(deviation - before)
        self.measured_at = now

    def pace(self, now: float) -> float:
        """Return the present pace as a factor."""
        told_share = 0.0
        if self.is_trusted:
            told_share = _share(now - self.told_at, TOLD_FADES_S)
        measured_share = (1 - told_share) * _share(now - self.measured_at, MEASURED_FADES_S)
        deviation = told_share * (self.told - self.told_usual) + measured_share * self.measured
        # Only slowness counts: else whoever told last that it is free, and may have ended since,
        # would draw all requests from those that are free but were not heard.
        return _bounded(math.exp(self.usual + max(0.0, deviation)))


class ReplicaSlowdowns:
    """Paces by replica.

    >>> paces = ReplicaSlowdowns()
    >>> paces.pace("r1")
    1.0
    >>> paces.apply({"r1": SlowdownEstimate(1.6, 1.6, 0)}, now=10.0)
    >>> paces.pace("r1"), paces.usual("r1")
    (1.6, 1.6)
    """

    def __init__(self) -> None:
        self._learnt: dict[str, _Learnt] = {}
        self._service_ms: dict[tuple[str, bool, int], _ServiceTime] = {}
        self._processes: dict[str, tuple[str, int, int]] = {}
        self._since: dict[str, float] = {}
        """When a replica that has started again was first seen."""

        self._refreshed_at = -math.inf
        self._fading: set[str] = set()
        """Replicas whose short-term figure still counts."""

        self.present: dict[str, float] = {}
        """Paces now, of the replicas of which something is known; see ``refresh``."""

        self.invalid_count = 0
        """Figures that could not be right, and were not taken."""

        self.on_change: Callable[[str, float, bool], None] = _nobody
        """Told a replica, its long-term factor, and whether that is unusual from now on."""

    # --- what is asked ---

    def pace(self, replica_id: str) -> float:
        """Return the pace of a replica as of the last refresh."""
        return self.present.get(replica_id, 1.0)

    def usual(self, replica_id: str) -> float:
        """Return the long-term figure of a replica."""
        known = self._learnt.get(replica_id)
        return 1.0 if known is None else _bounded(math.exp(known.usual))

    def refresh(self, now: float) -> None:
        """Have figures fade, now and then."""
        if now - self._refreshed_at < REFRESH_EVERY_S * (1 + len(self._fading) / 1000):
            return
        self._refreshed_at = now
        for replica_id in list(self._fading):
            known = self._learnt.get(replica_id)
            if known is not None:
                self.present[replica_id] = known.pace(now)
            if known is None or known.is_faded(now):
                self._fading.discard(replica_id)

    def counts_by_class(self) -> Counter[str]:
        """Return how many replicas are fast, usual and slow by their long-term figure."""
        return Counter(_class(math.exp(one.usual)) for one in self._learnt.values())

    # --- what is learnt ---

    def note(self, measured: Measurement, now: float) -> None:
        """Learn from an answer that has just ended."""
        if not _can_be_right(measured):
            self.invalid_count += 1
            return
        began_at = now - measured.took_ms / 1000
        if began_at < self._since.get(measured.replica_id, -math.inf):
            # It says what an earlier process did.
            return
        known = self._learnt.setdefault(measured.replica_id, _Learnt())
        told = _logarithm(measured.told_percent / 100) if measured.told_percent else None
        factor = self._factor(measured)
        if factor is not None:
            self._note_factor(measured.replica_id, known, factor, told, now)
        if told is not None:
            _note_told(known, told, began_at)
        self._show(measured.replica_id, known, now)

    def _show(self, replica_id: str, known: _Learnt, now: float) -> None:
        self.present[replica_id] = known.pace(now)
        self._fading.add(replica_id)

    def _factor(self, measured: Measurement) -> float | None:
        """Return the logarithm of an answer's time against the usual one; None: not known."""
        if measured.events < LEAST_EVENTS or measured.took_ms <= 0:
            return None
        fill = min(1.0, max(0.0, measured.fill))
        load = max(1, math.ceil(fill * LOAD_CLASSES))
        key = (measured.service, measured.is_item, load)
        service = self._service_ms.setdefault(key, _ServiceTime())
        return service.factor(measured.took_ms / (measured.events - 1))

    def _note_factor(
        self, replica_id: str, known: _Learnt, factor: float, told: float | None, now: float
    ) -> None:
        deviation = factor - known.usual
        unexplained = deviation
        if told is not None:
            told_deviation = told - known.told_usual
            known.note_errors(deviation, told_deviation)
            if known.is_trusted:
                unexplained = deviation - told_deviation
        known.note_long_term(unexplained)
        known.note_short_term(deviation, now)
        self._look(replica_id, known)

    def _look(self, replica_id: str, known: _Learnt) -> None:
        """Tell that a replica's long-term figure has left the usual one, or is back."""
        if known.answers < ESTABLISHED_ANSWERS:
            return
        bound = USUAL_BELOW if known.is_unusual else UNUSUAL_FROM
        is_unusual = abs(known.usual) > bound
        if is_unusual != known.is_unusual:
            known.is_unusual = is_unusual
            self.on_change(replica_id, math.exp(known.usual), is_unusual)

    # --- replicas come and go ---

    def note_replicas(self, replicas: Iterable[Replica], now: float) -> None:
        """Forget replicas that are gone or have started again."""
        present = {one.replica_id: (one.host, one.port, one.started_ms) for one in replicas}
        for replica_id, process in self._processes.items():
            if present.get(replica_id) != process:
                self.restart(replica_id, now)
        # Figures of another coordinator may be of replicas that were never seen here.
        for replica_id in self._learnt.keys() - present.keys():
            self.restart(replica_id, now)
        self._since = {key: at for key, at in self._since.items() if key in present}
        self._processes = present

    def restart(self, replica_id: str, now: float) -> None:
        """A replica has started again: it begins as its service's usual one."""
        self._learnt.pop(replica_id, None)
        self.present.pop(replica_id, None)
        self._since[replica_id] = now

    # --- handover ---

    def baselines(self) -> dict[str, float]:
        """Return the logarithms of long-term figures that enough answers stand for."""
        return {
            key: one.usual
            for key, one in self._learnt.items()
            if one.answers >= ESTABLISHED_ANSWERS
        }

    def estimates(self, replica_ids: Iterable[str], now: float) -> dict[str, SlowdownEstimate]:
        """Return what is known of some replicas, as a snapshot tells it."""
        return {key: _figures(self._learnt[key], now) for key in replica_ids}

    def apply(self, figures: Mapping[str, SlowdownEstimate], now: float) -> None:
        """Take what another coordinator has learnt."""
        for replica_id, told in figures.items():
            if not _are_right(told):
                self.invalid_count += 1
                continue
            usual = math.log(told.baseline)
            known = _Learnt(usual, ESTABLISHED_ANSWERS)
            known.measured = math.log(told.current) - usual
            known.measured_at = now - told.age_ms / 1000
            known.is_unusual = abs(usual) > UNUSUAL_FROM
            self._learnt[replica_id] = known
            self._show(replica_id, known, now)


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
        usual_ms = self.average.value
        if self.answers >= LEAST_SERVICE_ANSWERS:
            event_ms = usual_ms * _bounded(event_ms / usual_ms)
        self.average.note(event_ms)
        self.answers += 1
        if self.answers <= LEAST_SERVICE_ANSWERS:
            return None
        return math.log(event_ms / usual_ms)


def _figures(known: _Learnt, now: float) -> SlowdownEstimate:
    age_s = max(0.0, now - max(known.told_at, known.measured_at))
    age_ms = round(min(MOST_TOOK_MS, 1000 * age_s))
    usual = _bounded(math.exp(known.usual))
    return SlowdownEstimate(round(usual, 2), round(known.pace(now), 2), age_ms)


def _note_told(known: _Learnt, told: float, at: float) -> None:
    known.told_count += 1
    weight = max(USUAL_WEIGHT, 1 / (known.told_count + PRIOR_ANSWERS))
    known.told_usual += weight * (told - known.told_usual)
    if at >= known.told_at:
        known.told, known.told_at = told, at


def _can_be_right(measured: Measurement) -> bool:
    return (
        0 <= measured.events <= MOST_EVENTS
        and 0 <= measured.took_ms <= MOST_TOOK_MS
        and 0 <= measured.told_percent <= MOST_TOLD_PERCENT
        and math.isfinite(measured.fill)
    )


def _are_right(told: SlowdownEstimate) -> bool:
    in_bounds = all(LEAST_FACTOR <= one <= MOST_FACTOR for one in (told.baseline, told.current))
    return in_bounds and 0 <= told.age_ms <= MOST_TOOK_MS


def _share(age_s: float, fades_s: float) -> float:
    """Return how much of a figure of some age counts, from 1 to 0."""
    return max(0.0, 1.0 - max(0.0, age_s) / fades_s)


def _one_step(deviation: float) -> float:
    """Return a deviation as far as one answer counts."""
    return min(LONGEST_STEP, max(-LONGEST_STEP, deviation))


def _bounded(factor: float) -> float:
    return min(MOST_FACTOR, max(LEAST_FACTOR, factor))


def _logarithm(factor: float) -> float:
    return math.log(_bounded(factor))


def _class(factor: float) -> str:
    if factor >= SLOW_CLASS_FROM:
        return "slow"
    return "fast" if factor <= FAST_CLASS_TO else "usual"


def _nobody(replica_id: str, factor: float, is_unusual: bool) -> None:
    return
