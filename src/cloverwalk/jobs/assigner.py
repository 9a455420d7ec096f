"""The coordinator finds jobs without an owner and gives each to a node."""

from collections.abc import Callable

import attrs
import curio

from cloverwalk.core import catalogue
from cloverwalk.core.hashing import rendezvous_owner
from cloverwalk.fleet.coordinator import Coordinator
from cloverwalk.fleet.follower import TableFollower
from cloverwalk.fleet.node_registry import NODE_TIMEOUT_S
from cloverwalk.jobs.records import JobRecord
from cloverwalk.jobs.view import JobView, KnownJob
from cloverwalk.telemetry.log import ServingLog

LOOK_EVERY_S = 0.25
JOBS_FRESH_S = 3.5
"""Records confirmed within this time are good enough: a takeover holds only at their versions."""

ORDER_AGAIN_S = 0.8
"""A job that still has no owner is given to a node again after this time."""

STALLED_S = 2.5
"""The owner of a job without a new result for so long is told to run it: it may not know that the
job is its own, when the store's answer to a hand-in or takeover was lost."""


@attrs.frozen
class _Unchanged:
    """Since when a record has a version."""

    version: int
    since: float


class JobAssigner:
    """Looks for orphans while this node coordinates."""

    def __init__(
        self,
        coordinator: Coordinator,
        follower: TableFollower,
        view: JobView,
        log: ServingLog,
        clock: Callable[[], float],
    ) -> None:
        self._coordinator = coordinator
        self._follower = follower
        self._view = view
        self._log = log
        self._clock = clock
        self._ordered_at: dict[str, float] = {}
        self._unchanged: dict[str, _Unchanged] = {}

    async def run(self) -> None:
        """Assign jobs until cancelled."""
        while True:
            await self._coordinator.wait_until_active()
            await curio.sleep(LOOK_EVERY_S)
            self.assign()

    def assign(self) -> None:
        """Give each orphan to a live node, the same one while it lives and has room."""
        now = self._clock()
        if not self._follower.is_fresh(now, JOBS_FRESH_S):
            return
        open_jobs = [one for one in self._view.all() if one.record.is_open]
        self._forget_all_but({one.record.job_id for one in open_jobs})
        heirs = self._heirs()
        by_heir: dict[str, list[str]] = {}
        for known in open_jobs:
            heir = self._heir(known, heirs, now)
            if heir is not None:
                self._ordered_at[known.record.job_id] = now
                by_heir.setdefault(heir, []).append(known.record.job_id)
        for heir, job_ids in sorted(by_heir.items()):
            self._coordinator.send_takeover(heir, job_ids)

    def _heirs(self) -> list[str]:
        """Return the processes that may run jobs; those on full machines only if all are full."""
        live = [
            one.report for one in self._coordinator.registry.live() if not one.report.is_leaving
        ]
        with_room = [one for one in live if not one.is_full]
        return [one.incarnation for one in with_room or live]

    def _forget_all_but(self, open_ids: set[str]) -> None:
        self._ordered_at = {key: at for key, at in self._ordered_at.items() if key in open_ids}
        self._unchanged = {key: one for key, one in self._unchanged.items() if key in open_ids}

    def _heir(self, known: KnownJob, heirs: list[str], now: float) -> str | None:
        """Return the process that should run a job and may not do so, None where all is well."""
        record = known.record
        stalled_s = self._unchanged_s(known, now)
        if now - self._ordered_at.get(record.job_id, float("-inf")) < ORDER_AGAIN_S:
            return None
        if self._is_orphan(record, now):
            heir = rendezvous_owner(record.job_id, heirs)
            if heir is not None:
                self._log.write(
                    catalogue.JOB_ORPHANED, job=record.job_id, owner=record.owner, heir=heir
                )
            return heir
        return record.owner if stalled_s > STALLED_S else None

    def _unchanged_s(self, known: KnownJob, now: float) -> float:
        """Return for how long the record has been as it is."""
        seen = self._unchanged.get(known.record.job_id)
        if seen is None or seen.version != known.version:
            seen = self._unchanged[known.record.job_id] = _Unchanged(known.version, now)
        return now - seen.since

    def _is_orphan(self, record: JobRecord, now: float) -> bool:
        roster = self._coordinator.registry
        if not record.owner or roster.is_superseded(record.owner):
            return True
        if roster.is_reporting(record.owner):
            return False
        # Whoever coordinates has to hear all nodes once before it can miss one.
        since = self._coordinator.active_since
        return since is not None and now - since > NODE_TIMEOUT_S
