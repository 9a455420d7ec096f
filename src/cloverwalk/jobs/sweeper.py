"""Removes jobs from the store once they can no longer be read."""

from collections.abc import Callable

import attrs
import curio

from cloverwalk.core import catalogue
from cloverwalk.core.hashing import rendezvous_owner
from cloverwalk.jobs.commit import Committer
from cloverwalk.jobs.evidence import StatusExpired, status_expired
from cloverwalk.jobs.records import (
    PARTIAL_TABLE,
    PAYLOAD_TABLE,
    RESULT_TABLE,
    StoredJob,
    keys_end,
    part_of,
)
from cloverwalk.jobs.view import JobView
from cloverwalk.store.clock import StoreTime
from cloverwalk.store.stored import transaction
from cloverwalk.store.types import (
    CommitStatus,
    Row,
    RowKey,
    Store,
    StoreError,
)
from cloverwalk.telemetry.log import ServingLog

SWEEP_INTERVAL_S = 10.0
REMOVAL_MARGIN_MS = 60_000.0
"""Added to the time for which a job can be read."""

MAX_REMOVALS = 90
"""Rows removed in one transaction."""


class JobSweeper:
    """Removes old jobs; the hash of its id assigns each job to one of the live ``members``."""

    def __init__(
        self,
        name: str,
        members: Callable[[], list[str]],
        view: JobView,
        store: Store,
        committer: Committer,
        store_time: Callable[[], StoreTime | None],
        job_status_ttl_s: float,
        log: ServingLog,
    ) -> None:
        self._name = name
        self._members = members
        self._view = view
        self._store = store
        self._committer = committer
        self._store_time = store_time
        self._readable_ms = job_status_ttl_s * 1000 + REMOVAL_MARGIN_MS
        self._log = log

    async def run(self) -> None:
        """Sweep periodically until cancelled."""
        while True:
            await curio.sleep(SWEEP_INTERVAL_S)
            await self.sweep()

    async def sweep(self) -> None:
        """Remove the old jobs that are assigned to this node."""
        for stored in self._view.all():
            evidence = status_expired(stored.content, self._store_time(), self._readable_ms)
            if evidence is None:
                continue
            if rendezvous_owner(stored.content.job_id, self._members()) != self._name:
                continue
            try:
                await self._remove(stored, evidence)
            except StoreError:
                return

    async def _remove(self, stored: StoredJob, evidence: StatusExpired) -> None:
        """Remove the rows of a job as long as its record is the one that the evidence is about."""
        job_id = stored.content.job_id
        for table in (RESULT_TABLE, PARTIAL_TABLE, PAYLOAD_TABLE):
            while keys := await self._keys(table, job_id):
                if not await self._commit_removal(stored, keys):
                    return
        # The record goes last: while it exists, the next sweep finds the remaining rows.
        if await self._commit_removal(stored, [stored.row_key]):
            self._log.write(catalogue.JOB_REMOVED, job=job_id, **attrs.asdict(evidence))

    async def _commit_removal(self, stored: StoredJob, keys: list[RowKey]) -> bool:
        """Remove rows if the job's record is unchanged; else cache the record that is stored."""
        outcome = await self._committer.once(transaction(unchanged=[stored], removals=keys))
        if outcome.status is CommitStatus.CONFLICT:
            row = outcome.conflict(stored.row_key)
            await self._view.apply_row(row or Row(stored.row_key, None, outcome.version))
        return outcome.status is CommitStatus.COMMITTED

    async def _keys(self, table: str, job_id: str) -> list[RowKey]:
        part = part_of(job_id)
        page = await self._store.read(table, part, f"{job_id}/", keys_end(job_id), MAX_REMOVALS)
        return [row.row_key for row in page.rows]
