"""Restores the progress of jobs that a writer of an earlier build took from their records.

Earlier builds may write a record with older content: without results that were listed, or without
an end that was acknowledged. A node that knows better writes the progress back. Several nodes may
do so at the same time, since the version of the row lets one write through.
"""

from collections.abc import Callable

import curio

from cloverwalk.core import catalogue
from cloverwalk.jobs.commit import Committer
from cloverwalk.jobs.records import StoredJob
from cloverwalk.jobs.view import JobView
from cloverwalk.store.health import StoreHealth
from cloverwalk.store.stored import transaction
from cloverwalk.store.types import CommitStatus, Row
from cloverwalk.telemetry.log import ServingLog

REPAIR_TIMEOUT_S = 3.0
RETRY_DELAY_MS = 300.0


class RecordRepairer:
    """Writes records with the progress that this node knows and the store has lost."""

    def __init__(
        self,
        view: JobView,
        committer: Committer,
        health: StoreHealth,
        log: ServingLog,
        clock: Callable[[], float],
    ) -> None:
        self._view = view
        self._committer = committer
        self._health = health
        self._log = log
        self._clock = clock
        self._due: dict[str, StoredJob] = {}
        self._wake = curio.Event()
        view.on_progress_lost = self.schedule

    async def schedule(self, amended: StoredJob) -> None:
        """Repair a record soon; ``amended`` is the stored one with its progress."""
        self._due[amended.content.job_id] = amended
        await self._wake.set()

    async def run(self) -> None:
        """Repair records until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            if not await self.repair_due():
                await self._health.backoff(RETRY_DELAY_MS)
                await self._wake.set()

    async def repair_due(self) -> bool:
        """Repair the scheduled records; return whether the store has answered each write."""
        unresolved: dict[str, StoredJob] = {}
        while self._due:
            job_id, amended = self._due.popitem()
            if not await self.repair(amended):
                unresolved[job_id] = amended
        self._due = unresolved
        return not unresolved

    async def repair(self, amended: StoredJob) -> bool:
        """Write a record with its progress; return whether the store has answered.

        If the record has changed meanwhile, the view gets the stored one and schedules the next
        repair if it lacks progress as well.
        """
        write = amended.replace(amended.content)
        outcome = await self._committer.commit_until_resolved(
            transaction(write), self._clock() + REPAIR_TIMEOUT_S
        )
        if outcome.status is CommitStatus.COMMITTED:
            record = amended.content
            self._log.write(
                catalogue.JOB_REPAIRED,
                job=record.job_id,
                listed=record.listed,
                is_ended=record.is_ended,
                version=outcome.version,
            )
            await self._view.put(write.committed(outcome))
            return True
        if outcome.status is not CommitStatus.CONFLICT:
            return False
        row = outcome.conflict(amended.row_key)
        await self._view.apply_row(row or Row(amended.row_key, None, outcome.version))
        return True
