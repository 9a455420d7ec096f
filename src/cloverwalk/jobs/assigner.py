"""Lets the coordinator find jobs without an owner and assign each to a node."""

from collections.abc import Callable

import attrs
import curio

from cloverwalk.core import catalogue
from cloverwalk.core.hashing import rendezvous_owner
from cloverwalk.fleet.coordinator import Coordinator
from cloverwalk.fleet.follower import TableFollower
from cloverwalk.fleet.node_registry import NODE_TIMEOUT_S
from cloverwalk.jobs.records import JobRecord, StoredJob
from cloverwalk.jobs.view import JobView
from cloverwalk.telemetry.log import ServingLog

CHECK_INTERVAL_S = 0.25
MAX_RECORD_AGE_S = 3.5
"""Records confirmed within this time are recent enough: a takeover succeeds only at their
versions."""

ORDER_RETRY_DELAY_S = 0.8
"""Time after which a job that still has no owner is assigned again."""

STALL_TIMEOUT_S = 2.5
"""Time without a new result after which the owner of a job is ordered to run it: it may not know
that it owns the job, when the store's answer to its submission or takeover was lost."""


@attrs.frozen
class _VersionSince:
    """The version of a record, and since when it has been seen (seconds)."""

    version: int
    since: float


class JobAssigner:
    """Assigns jobs without an owner while this node coordinates."""

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
        self._unchanged: dict[str, _VersionSince] = {}

    async def run(self) -> None:
        """Assign jobs until cancelled."""
        while True:
            await self._coordinator.wait_until_active()
            await curio.sleep(CHECK_INTERVAL_S)
            self.assign()

    def assign(self) -> None:
        """Assign each job without an owner to a live node.

        It is the same node each time, while that lives and is not overloaded.
        """
        now = self._clock()
        if not self._follower.is_fresh(now, MAX_RECORD_AGE_S):
            return
        open_jobs = [stored for stored in self._view.all() if stored.content.is_open]
        self._keep_only({stored.content.job_id for stored in open_jobs})
        candidates = self._owner_candidates()
        job_ids_by_owner: dict[str, list[str]] = {}
        for stored in open_jobs:
            new_owner = self._choose_owner(stored, candidates, now)
            if new_owner is not None:
                self._ordered_at[stored.content.job_id] = now
                job_ids_by_owner.setdefault(new_owner, []).append(stored.content.job_id)
        for new_owner, job_ids in sorted(job_ids_by_owner.items()):
            self._coordinator.send_takeover(new_owner, job_ids)

    def _owner_candidates(self) -> list[str]:
        """Return the processes that may run jobs.

        Those on overloaded machines are left out unless all are overloaded.
        """
        live = [
            node.report for node in self._coordinator.registry.live() if not node.report.is_leaving
        ]
        with_capacity = [report for report in live if not report.is_full]
        return [report.incarnation for report in with_capacity or live]

    def _keep_only(self, open_ids: set[str]) -> None:
        self._ordered_at = {
            key: ordered_at for key, ordered_at in self._ordered_at.items() if key in open_ids
        }
        self._unchanged = {
            key: unchanged for key, unchanged in self._unchanged.items() if key in open_ids
        }

    def _choose_owner(self, stored: StoredJob, candidates: list[str], now: float) -> str | None:
        """Return the process to order to run a job, None if no order is needed."""
        record = stored.content
        unchanged_s = self._unchanged_s(stored, now)
        if now - self._ordered_at.get(record.job_id, float("-inf")) < ORDER_RETRY_DELAY_S:
            return None
        if self._is_orphan(record, now):
            new_owner = rendezvous_owner(record.job_id, candidates)
            if new_owner is not None:
                self._log.write(
                    catalogue.JOB_ORPHANED,
                    job=record.job_id,
                    owner=record.owner,
                    heir=new_owner,
                )
            return new_owner
        return record.owner if unchanged_s > STALL_TIMEOUT_S else None

    def _unchanged_s(self, stored: StoredJob, now: float) -> float:
        """Return how long the record has had its version."""
        unchanged = self._unchanged.get(stored.content.job_id)
        if unchanged is None or unchanged.version != stored.version:
            unchanged = self._unchanged[stored.content.job_id] = _VersionSince(stored.version, now)
        return now - unchanged.since

    def _is_orphan(self, record: JobRecord, now: float) -> bool:
        registry = self._coordinator.registry
        if not record.owner or registry.is_superseded(record.owner):
            return True
        if registry.is_reporting(record.owner):
            return False
        # A new coordinator has to receive reports of all nodes before it can miss one.
        since = self._coordinator.active_since
        return since is not None and now - since > NODE_TIMEOUT_S
