"""Job records as this node last saw them, and waiting for a change of one.

The coordinator sees all records; another node sees those of jobs that it runs or was asked for.
"""

import contextlib
from collections.abc import Awaitable, Callable

import curio

from cloverwalk.core.decoding import InvalidContentError
from cloverwalk.core.error_response import Reason
from cloverwalk.jobs.errors import InvalidRecordError
from cloverwalk.jobs.records import JOB_TABLE, StoredJob, job_from_row, with_progress_of
from cloverwalk.store.types import Row, RowPage

MAX_REMOVED_IDS = 4096
"""Ids of the latest removed jobs, kept so that an outdated read does not restore them."""

MAX_RECORDS = 50_000
"""Cached records, the latest ones; bounds their memory."""


def _ignore_invalid(row: Row, error: Exception) -> None:
    return


async def _ignore_lost_progress(amended: StoredJob) -> None:
    return None


class JobView:
    """Cached records by job id. Older versions never replace newer ones.

    A newer record that lacks progress of an older one is cached with that progress.
    """

    def __init__(self) -> None:
        self.on_progress_lost: Callable[[StoredJob], Awaitable[None]] = _ignore_lost_progress
        self.on_invalid: Callable[[Row, Exception], None] = _ignore_invalid
        """Called with each invalid row that is read."""

        self._jobs: dict[str, StoredJob] = {}
        self._removed: dict[str, int] = {}
        self._waiters: dict[str, list[curio.Event]] = {}

    def find(self, job_id: str) -> StoredJob | None:
        """Return the cached record of a job."""
        return self._jobs.get(job_id)

    def all(self) -> list[StoredJob]:
        """Return every cached record, sorted by job id."""
        return [self._jobs[key] for key in sorted(self._jobs)]

    async def apply_page(self, page: RowPage) -> None:
        """Apply rows of the job table."""
        for row in page.rows:
            if row.row_key.table != JOB_TABLE:
                continue
            await self.apply_row(row)

    async def apply_row(self, row: Row) -> None:
        """Apply a row, or its removal."""
        job_id = row.row_key.key
        if row.value is None:
            self._remove(job_id, row.version)
            return
        with contextlib.suppress(InvalidRecordError):
            await self.put_row(row)

    async def put_row(self, row: Row) -> StoredJob:
        """Cache the record of an existing row, see ``put``; raise InvalidRecordError."""
        try:
            stored = job_from_row(row)
        except InvalidContentError as error:
            self.on_invalid(row, error)
            raise InvalidRecordError(
                Reason.UNAVAILABLE, "job_row_invalid", "the record of the job is invalid"
            ) from error
        return await self.put(stored)

    def _remove(self, job_id: str, version: int) -> None:
        """Remove a job; a read that lags behind must not bring it back."""
        cached = self._jobs.get(job_id)
        if cached is not None and cached.version < version:
            del self._jobs[job_id]
        self._removed[job_id] = max(version, self._removed.pop(job_id, 0))
        if len(self._removed) > MAX_REMOVED_IDS:
            del self._removed[next(iter(self._removed))]

    async def put(self, stored: StoredJob) -> StoredJob:
        """Cache a record if it is newer, and wake those that wait for it.

        Returns the newest record, with the progress that is known.
        """
        job_id = stored.content.job_id
        cached = self._jobs.get(job_id)
        if cached is not None and cached.version >= stored.version:
            return cached
        if self._removed.get(job_id, -1) > stored.version:
            return stored
        amended = stored if cached is None else with_progress_of(stored, cached)
        self._jobs.pop(job_id, None)
        self._jobs[job_id] = amended
        if len(self._jobs) > MAX_RECORDS:
            del self._jobs[next(iter(self._jobs))]
        for event in self._waiters.pop(job_id, []):
            await event.set()
        if amended is not stored:
            await self.on_progress_lost(amended)
        return amended

    async def wait_for_change(self, job_id: str, timeout_s: float) -> None:
        """Return when the record changes, or after ``timeout_s``."""
        event = curio.Event()
        self._waiters.setdefault(job_id, []).append(event)
        async with curio.ignore_after(timeout_s):
            await event.wait()
        waiters = self._waiters.get(job_id, [])
        if event in waiters:
            waiters.remove(event)
        if not waiters:
            self._waiters.pop(job_id, None)
