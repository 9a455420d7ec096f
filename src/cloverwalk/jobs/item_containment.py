"""Applies containment to items of jobs; ``gateway.containment`` does so for online requests.

An item that is contained by its content or a part waits. Containment itself never ends an item, and
the other items of its job go on. Items that share a contained part start one at a time as trials.
"""

from collections.abc import Callable

from cloverwalk.gateway.crash_detector import CrashDetector
from cloverwalk.gateway.crash_keys import is_part_key
from cloverwalk.gateway.crash_ledger import Containment
from cloverwalk.gateway.errors import ReplicaError
from cloverwalk.gateway.replicas import Replica
from cloverwalk.jobs.item_call import ItemCaller
from cloverwalk.jobs.run import ItemRun, JobRun, Phase


class ItemContainment:
    """Decides which items may start, and records what their runs show about them."""

    def __init__(
        self, crash_detector: CrashDetector, caller: ItemCaller, clock: Callable[[], float]
    ) -> None:
        self._crash_detector = crash_detector
        self._ledger = crash_detector.ledger
        self._caller = caller
        self._clock = clock
        self._trials: dict[str, tuple[JobRun, ItemRun]] = {}
        """The only item that may start as a trial of a part, by the part's key."""

    def may_start(self, job: JobRun, item_run: ItemRun) -> bool:
        """Whether an item is not contained, or may start as a trial."""
        if self._ledger.is_empty:
            return True
        keys = self._ledger.keys_with_crashes(self._caller.crash_keys(job, item_run))
        return all(self._may_start_by(key, job, item_run) for key in keys)

    def _may_start_by(self, key: str, job: JobRun, item_run: ItemRun) -> bool:
        containment = self._ledger.containment(key, self._clock())
        if containment is not Containment.TRIAL_DUE or not is_part_key(key):
            return containment is not Containment.CONTAINED
        trial = self._trials.get(key)
        if trial is None or not _is_open(*trial):
            self._trials[key] = trial = (job, item_run)
        return trial[1] is item_run

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


def _is_open(job: JobRun, item_run: ItemRun) -> bool:
    is_waiting_or_running = item_run.phase in (Phase.PENDING, Phase.RUNNING)
    return is_waiting_or_running and not job.is_dropped and not job.record.is_ended
