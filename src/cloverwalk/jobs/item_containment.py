"""Applies containment to items of jobs; ``gateway.containment`` does so for online requests.

An accepted item is owed, and containment never ends it. So an item waits for ``CONTAINMENT_S`` from
the last crash under its content or a part of its prompt, however many replicas have crashed. After
that, contained items start as trials: an owner runs one trial at a time and twice as many after
each sound one; one that crashes its replica is followed by the same wait and a single trial. Those
that share a contained key run one after the other at software for which no trial has been sound.
A trial no longer counts once its output was sound or it has ended. No item is chosen for a trial
in advance, so one that can't start holds no other item back. A job none of whose items runs waits
``IDLE_JOB_DELAY_S`` longer than ``CONTAINMENT_S`` at the most, whatever the trials of other jobs
show.
"""

from collections import Counter
from collections.abc import Callable, Sequence

import attrs

from cloverwalk.gateway.crash_detector import MIN_SOUND_RUN_S, CrashDetector
from cloverwalk.gateway.crash_ledger import TRIAL_DELAYS_S
from cloverwalk.gateway.errors import ReplicaError
from cloverwalk.gateway.replicas import Replica, ReplicaDirectory
from cloverwalk.gateway.software_versions import Software, software_of
from cloverwalk.jobs.item_call import ItemCaller
from cloverwalk.jobs.run import ItemRun, JobRun

CONTAINMENT_S = TRIAL_DELAYS_S[0]
"""How long an item waits after the last crash under one of its keys."""

TRIAL_TIMEOUT_S = 3.0
"""A trial without output holds other items back no longer than this. A replica that crashes when an
answer begins has crashed by then."""

IDLE_JOB_DELAY_S = 1.0
"""How much longer an item waits for trials if no item of its job runs. A trial that crashes its
replica when its answer begins has usually done so by then."""

MAX_TRIALS = 64
"""Upper bound of the trials that run at the same time at one owner."""

CRASH_REPORT_S = 0.3
"""How long a trial without a sound run counts after its end: the probes that find its replica
crashed end within 0.1 s."""


@attrs.define
class _Trial:
    """A run that shows whether its contained keys still crash replicas."""

    job_id: str
    item_run: ItemRun
    software: Software
    """Software of its replica."""

    started_at: float
    ended_at: float | None = None
    is_sound: bool = False

    @property
    def counts_until(self) -> float:
        """Until when it holds other items back (monotonic clock, seconds)."""
        if self.is_sound:
            return float("-inf")
        if self.ended_at is None:
            return self.started_at + TRIAL_TIMEOUT_S
        return self.ended_at + CRASH_REPORT_S


@attrs.frozen
class HeldBack:
    """Why containment keeps an item from starting."""

    key: str
    """The contained content or part."""

    until: float
    """When its containment ends unless another replica crashes (monotonic clock, seconds)."""

    is_behind_trial: bool = False
    """Whether it waits for the run of another item with the key."""


class ItemContainment:
    """Decides which items may start, and records what their runs show about them."""

    def __init__(
        self,
        crash_detector: CrashDetector,
        caller: ItemCaller,
        directory: ReplicaDirectory,
        clock: Callable[[], float],
    ) -> None:
        self._crash_detector = crash_detector
        self._ledger = crash_detector.ledger
        self._caller = caller
        self._directory = directory
        self._clock = clock
        self._trials: dict[str, _Trial] = {}
        """The latest trial of each contained key. Keys of one item share theirs."""

        self._running: Counter[str] = Counter()
        """Number of items that run, by job."""

        self._failed_at: dict[str, float] = {}
        """When a run of a job last ended without an answer, by job."""

        self._crashed_at: dict[str, float] = {}
        """When a trial of a job last crashed its replica, by job."""

        self._max_trials = 1
        """How many trials may run at the same time."""

        self._paused_until = float("-inf")
        """No trial starts before this time, as the latest one has crashed its replica."""

        self._sound_at: dict[str, dict[Software, float]] = {}
        """When the latest sound trial of a key started, by the software of its replica."""

    def held_back(
        self,
        job: JobRun,
        item_run: ItemRun,
        services: Sequence[str],
        software: Software | None = None,
    ) -> HeldBack | None:
        """Return why an item may not start yet; None if it may.

        With ``software``, the item is to start at a replica with it, else at any usable one.
        """
        keys = self._contained_keys(job, item_run)
        if not keys:
            return None
        candidates = [software] if software else self._usable_software(services) or [None]
        reasons = [self._held_back_at(keys, one) for one in candidates]
        held_back = [reason for reason in reasons if reason is not None]
        if len(held_back) < len(reasons):
            return None
        first = min(held_back, key=lambda reason: reason.until)
        return self._idle_job_held_back(first, job, keys) if self._is_idle(job) else first

    def _is_idle(self, job: JobRun) -> bool:
        """Whether no item of a job runs, nor has just failed, which may turn out as a crash."""
        failed_at = self._failed_at.get(job.job_id, float("-inf"))
        return not self._running[job.job_id] and self._clock() >= failed_at + CRASH_REPORT_S

    def _idle_job_held_back(
        self, held_back: HeldBack, job: JobRun, keys: list[str]
    ) -> HeldBack | None:
        """Limit how long an item of an idle job waits for the trials of other jobs."""
        self._pause_after_crashes()
        crashes_at = [self._ledger.last_crash_at(key) for key in keys]
        last_crash_at = max([*crashes_at, self._crashed_at.get(job.job_id, float("-inf"))])
        until = min(held_back.until, last_crash_at + CONTAINMENT_S + IDLE_JOB_DELAY_S)
        return attrs.evolve(held_back, until=until) if self._clock() < until else None

    def _usable_software(self, services: Sequence[str]) -> list[Software | None]:
        return [
            Software(service, version)
            for service in services
            for version in self._directory.usable_versions(service)
        ]

    def _held_back_at(self, keys: list[str], software: Software | None) -> HeldBack | None:
        for key in keys:
            held_back = self._held_back_by(key, software)
            if held_back is not None:
                return held_back
        if all(self._is_proved(key, software) for key in keys):
            return None
        return self._behind_other_trials(keys[0])

    def _contained_keys(self, job: JobRun, item_run: ItemRun) -> list[str]:
        if self._ledger.is_empty:
            return []
        keys = self._ledger.keys_with_crashes(self._caller.crash_keys(job, item_run))
        return [key for key in keys if self._ledger.is_contained(key)]

    def _held_back_by(self, key: str, software: Software | None) -> HeldBack | None:
        now, crashed_at = self._clock(), self._ledger.last_crash_at(key)
        until = crashed_at + CONTAINMENT_S
        if now < until:
            return HeldBack(key, until)
        trial = self._trials.get(key)
        if trial is None or trial.started_at <= crashed_at or self._is_proved(key, software):
            return None
        until = self._counts_until(trial)
        return HeldBack(key, until, is_behind_trial=True) if now < until else None

    def _behind_other_trials(self, key: str) -> HeldBack | None:
        """Return why an item waits for trials of other keys; None if another one may run."""
        self._pause_after_crashes()
        if self._clock() < self._paused_until:
            return HeldBack(key, self._paused_until)
        trials = {id(trial): trial for trial in self._trials.values()}.values()
        counting = sorted(
            until for trial in trials if (until := self._counts_until(trial)) > self._clock()
        )
        if len(counting) < self._max_trials:
            return None
        return HeldBack(key, counting[0], is_behind_trial=True)

    def _pause_after_crashes(self) -> None:
        """Let trials wait again if the replica of one has crashed."""
        for key, trial in list(self._trials.items()):
            crashed_at = self._ledger.last_crash_at(key)
            if trial.started_at <= crashed_at and not trial.is_sound:
                del self._trials[key]
                self._crashed_at[trial.job_id] = crashed_at
                until = crashed_at + CONTAINMENT_S
                self._max_trials, self._paused_until = 1, max(self._paused_until, until)

    def _counts_until(self, trial: _Trial) -> float:
        self._check_sound(trial)
        return trial.counts_until

    def _check_sound(self, trial: _Trial, *, is_answered: bool = False) -> None:
        """Record a trial that has become sound for its keys."""
        timing = trial.item_run.timing
        if trial.is_sound or trial.ended_at is not None:
            return
        if timing is not None and timing.events > 0:
            trial.is_sound = timing.last_at - timing.first_at >= MIN_SOUND_RUN_S
        trial.is_sound |= is_answered
        if not trial.is_sound:
            return
        self._max_trials = min(2 * self._max_trials, MAX_TRIALS)
        for key in [key for key, other in self._trials.items() if other is trial]:
            self._sound_at.setdefault(key, {})[trial.software] = trial.started_at

    def _is_proved(self, key: str, software: Software | None) -> bool:
        """Whether a trial after the last crash was sound at a replica with the software."""
        if software is None:
            return False
        sound_at = self._sound_at.get(key, {}).get(software, float("-inf"))
        return sound_at > self._ledger.last_crash_at(key)

    # --- runs ---

    def begin_run(self, job: JobRun, item_run: ItemRun, replica: Replica) -> None:
        """Make a run that starts the trial of the item's contained keys."""
        self._remove_settled()
        self._running[job.job_id] += 1
        software = software_of(replica)
        trial = _Trial(job.job_id, item_run, software, self._clock())
        for key in self._contained_keys(job, item_run):
            if not self._is_proved(key, software):
                self._trials[key] = trial

    def end_run(self, job: JobRun, item_run: ItemRun, *, is_answered: bool) -> None:
        """Record that a run has ended; ``is_answered`` says whether its replica survived it."""
        self._running[job.job_id] -= 1
        if not self._running[job.job_id]:
            del self._running[job.job_id]
        if not is_answered:
            self._failed_at[job.job_id] = self._clock()
        for trial in list(self._trials.values()):
            if trial.item_run is item_run and trial.ended_at is None:
                self._check_sound(trial, is_answered=is_answered)
                trial.ended_at = self._clock()

    def _remove_settled(self) -> None:
        """Remove what is known of keys that are not contained any more, and of old failures."""
        for key in {*self._trials, *self._sound_at}:
            if not self._ledger.is_contained(key):
                self._trials.pop(key, None)
                self._sound_at.pop(key, None)
        if not self._trials:
            self._max_trials = 1
        since = self._clock() - CONTAINMENT_S - IDLE_JOB_DELAY_S
        for times in (self._failed_at, self._crashed_at):
            for job_id in [job_id for job_id, at in times.items() if at <= since]:
                del times[job_id]

    def is_suspect(self, job: JobRun, item_run: ItemRun) -> bool:
        """Whether replicas have ended under an item or a part of its prompt."""
        if self._ledger.is_empty:
            return False
        return self._ledger.suspect_key(self._caller.crash_keys(job, item_run)) is not None

    async def record_failure(
        self, job: JobRun, item_run: ItemRun, replica: Replica, error: ReplicaError
    ) -> None:
        """Record that a run which may have begun failed before any output."""
        if error.code == "unreachable":
            await self._crash_detector.record_unreachable(replica)
        if not error.may_have_run:
            return
        keys = self._caller.crash_keys(job, item_run)
        await self._crash_detector.record_failure(
            item_run.item.item_id, keys, replica, error.code, item_run.delivery
        )

    async def record_answer(self, job: JobRun, item_run: ItemRun, replica: Replica) -> None:
        """Record that a replica answered an item, whole as far as its connection shows."""
        await self._crash_detector.record_answer(
            item_run.item.item_id,
            self._caller.crash_keys(job, item_run),
            replica,
            item_run.delivery,
            ends_with_connection=item_run.ends_with_connection,
        )
