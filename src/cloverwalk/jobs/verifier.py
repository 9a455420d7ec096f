"""Checks that the jobs that run here are still this node's, and open."""

import curio

from cloverwalk.core import catalogue
from cloverwalk.jobs.errors import JobError
from cloverwalk.jobs.reader import JobReader
from cloverwalk.jobs.records import JobRecord
from cloverwalk.jobs.run import JobRun
from cloverwalk.jobs.runner import BatchRunner
from cloverwalk.telemetry.log import ServingLog

VERIFY_INTERVAL_S = 1.2
"""An ended job starts nothing more after this time and that of two calls to the store; callers
allow three seconds."""


class JobVerifier:
    """Reads the records of own jobs now and then."""

    def __init__(
        self,
        runner: BatchRunner,
        reader: JobReader,
        log: ServingLog,
    ) -> None:
        self._runner = runner
        self._reader = reader
        self._log = log

    async def run(self) -> None:
        """Verify until cancelled."""
        while True:
            await self._runner.until_jobs()
            await curio.sleep(VERIFY_INTERVAL_S)
            for job in list(self._runner.jobs.values()):
                if not job.is_dropped:
                    await self.verify(job)

    async def verify(self, job: JobRun) -> None:
        """Drop a job whose record says that it ended or belongs to another node."""
        try:
            record = await self._reader.read_record(job.job_id)
        except JobError:
            # The store's loss has its own line in the log; the next look comes soon.
            return
        if job.is_dropped or record is not None and self._is_owned_and_open(job, record):
            return
        self._log.write(
            catalogue.JOB_DROPPED,
            job=job.job_id,
            owner="" if record is None else record.owner,
            epoch=0 if record is None else record.epoch,
            is_ended=record is not None and record.is_ended,
        )
        await self._runner.drop(job.job_id)

    def _is_owned_and_open(self, job: JobRun, record: JobRecord) -> bool:
        is_owner = (record.owner, record.epoch) == (job.record.owner, job.record.epoch)
        return is_owner and not record.is_ended
