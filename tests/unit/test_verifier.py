"""A job's record is checked within an interval from when the store confirmed it."""

import time
from typing import Any, cast

import curio
import pytest
from job_world import stored_job

from cloverwalk.jobs.reader import JobReader
from cloverwalk.jobs.records import JobRecord, StoredJob
from cloverwalk.jobs.run import JobRun
from cloverwalk.jobs.runner import BatchRunner
from cloverwalk.jobs.verifier import STEP_S, VERIFY_INTERVAL_S, JobVerifier


class OneJob:
    """Stands in for the runner of items and for the reader of the store."""

    def __init__(self, confirmed_at: float | None) -> None:
        self.job = JobRun(stored_job(JobRecord("j", "h", "/", 0.0, 0.0, 0.0, 3, 0, 0, 1, "n")), [])
        self.job.confirmed_at = confirmed_at
        self.jobs = {"j": self.job}
        self.reads = 0

    async def wait_until_jobs(self) -> None:
        return

    async def read_stored(self, job_id: str) -> StoredJob:
        self.reads += 1
        return self.job.stored


# Guards against items of an ended job that start long after its end, as a takeover was slow.
@pytest.mark.parametrize(
    ("confirmed_s_ago", "reads"), [(None, 0), (0.0, 0), (VERIFY_INTERVAL_S + 0.5, 1)]
)
def test_job_that_was_confirmed_long_ago_is_checked_at_once(
    confirmed_s_ago: float | None, reads: int
) -> None:
    confirmed_at = None if confirmed_s_ago is None else time.monotonic() - confirmed_s_ago
    one = OneJob(confirmed_at)
    runner, reader = cast(BatchRunner, one), cast(JobReader, one)
    unused: Any = None

    async def main() -> None:
        async with curio.ignore_after(3 * STEP_S):
            await JobVerifier(runner, reader, unused, time.monotonic).run()

    curio.run(main)
    assert one.reads == reads
