"""Applies containment to items of jobs; ``gateway.containment`` does so for online requests.

An accepted item is owed, and containment never ends it. So an item waits for ``CONTAINMENT_S`` from
the last crash under its content or a part of its prompt, however many replicas have crashed. After
that, items of one owner that share a contained key start one by one: a run is the trial of its
contained keys. The next item may start once the trial was sound or has ended. No item is chosen
for a trial in advance, so one that can't start holds no other item back.
"""

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

CRASH_REPORT_S = 0.3
"""How long a trial without a sound run counts after its end: the probes that find its replica
crashed end within 0.1 s."""


@attrs.define
class _Trial:
    """A run that shows whether its contained keys still crash replicas."""

    item_run: ItemRun
    software: Software
    """Software of its replica."""

    started_at: float
    ended_at: float | None = None
    is_sound: bool = False


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
        """The latest trial of each contained key."""

        self._sound_at: dict[str, dict[Software, float]] = {}
        """When the latest sound trial of a key started, by the software of its replica."""

    def held_back(self, job: JobRun, item_run: ItemRun, services: Sequence[str]) -> HeldBack | None:
        """Return why an item may not start yet; None if it may."""
        for key in self._contained_keys(job, item_run):
            held_back = self._held_back_by(key, services)
            if held_back is not None:
                return held_back
        return None

    def _contained_keys(self, job: JobRun, item_run: ItemRun) -> list[str]:
        if self._ledger.is_empty:
            return []
        keys = self._ledger.keys_with_crashes(self._caller.crash_keys(job, item_run))
        return [key for key in keys if self._ledger.is_contained(key)]

    def _held_back_by(self, key: str, services: Sequence[str]) -> HeldBack | None:
        now = self._clock()
        until = self._ledger.last_crash_at(key) + CONTAINMENT_S
        if now < until:
            return HeldBack(key, until)
        if self._is_proved(key, services):
            return None
        trial = self._trials.get(key)
        if trial is None or trial.started_at <= self._ledger.last_crash_at(key):
            return None
        if trial.ended_at is None:
            if self._check_sound(key, trial):
                return None
            until = trial.started_at + TRIAL_TIMEOUT_S
        else:
            until = trial.ended_at if trial.is_sound else trial.ended_at + CRASH_REPORT_S
        return HeldBack(key, until, is_behind_trial=True) if now < until else None

    def _check_sound(self, key: str, trial: _Trial) -> bool:
        """Return whether a running trial is sound, and record it for its key."""
        timing = trial.item_run.timing
        if timing is not None and timing.events > 0:
            trial.is_sound |= timing.last_at - timing.first_at >= MIN_SOUND_RUN_S
        if trial.is_sound:
            self._sound_at.setdefault(key, {})[trial.software] = trial.started_at
        return trial.is_sound

    def _is_proved(self, key: str, services: Sequence[str]) -> bool:
        """Whether a trial after the last crash was sound at each software that may run items."""
        last_crash_at = self._ledger.last_crash_at(key)
        sound_at = self._sound_at.get(key, {})
        software = [
            Software(service, version)
            for service in services
            for version in self._directory.usable_versions(service)
        ]
        return bool(sound_at) and all(
            sound_at.get(one, float("-inf")) > last_crash_at for one in software
        )

    # --- runs ---

    def begin_run(
        self, job: JobRun, item_run: ItemRun, replica: Replica, services: Sequence[str]
    ) -> None:
        """Make a run that starts the trial of the item's contained keys."""
        self._remove_settled()
        for key in self._contained_keys(job, item_run):
            if not self._is_proved(key, services):
                self._trials[key] = _Trial(item_run, software_of(replica), self._clock())

    def end_run(self, item_run: ItemRun, *, is_answered: bool) -> None:
        """Record that a run has ended; ``is_answered`` says whether its replica survived it."""
        for key, trial in self._trials.items():
            if trial.item_run is item_run and trial.ended_at is None:
                trial.is_sound |= is_answered
                self._check_sound(key, trial)
                trial.ended_at = self._clock()

    def _remove_settled(self) -> None:
        """Remove what is known of keys that are not contained any more."""
        for key in [key for key in self._trials if not self._ledger.is_contained(key)]:
            del self._trials[key]
            self._sound_at.pop(key, None)

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
