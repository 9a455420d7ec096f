"""Checks that the jobs that run here are still open and owned by this node."""

from collections.abc import Callable

import curio

from cloverwalk.core import catalogue
from cloverwalk.jobs.errors import JobError
from cloverwalk.jobs.reader import JobReader
from cloverwalk.jobs.records import JobRecord
from cloverwalk.jobs.run import JobRun
from cloverwalk.jobs.runner import BatchRunner
from cloverwalk.telemetry.log import ServingLog

VERIFY_INTERVAL_S = 1.2
"""An ended job starts no item later than this interval, ``STEP_S`` and the time of one call to the
store that is answered, however many jobs run here; callers allow three seconds. A call that is lost
adds its timeout."""

STEP_S = 0.1
"""Interval at which the checks that are due begin."""


class JobVerifier:
    """Reads the record of each of this node's jobs periodically.

    Reads of several jobs run side by side: one after the other they would take the longer, the more
    jobs there are.
    """

    def __init__(
        self,
        runner: BatchRunner,
        reader: JobReader,
        log: ServingLog,
        clock: Callable[[], float],
    ) -> None:
        self._runner = runner
        self._reader = reader
        self._log = log
        self._clock = clock
        self._due_at: dict[str, float] = {}
        """By job id; infinite while its record is read."""

    async def run(self) -> None:
        """Verify periodically until cancelled."""
        while True:
            await self._runner.wait_until_jobs()
            self._schedule()
            for job_id, due_at in list(self._due_at.items()):
                job = self._runner.jobs.get(job_id)
                if job is not None and due_at <= self._clock():
                    self._due_at[job_id] = float("inf")
                    await curio.spawn(self._verify_in_time, job, daemon=True)
            await curio.sleep(STEP_S)

    def _schedule(self) -> None:
        """Spread the first checks of new jobs over an interval; forget the jobs that are gone.

        A job whose record was confirmed earlier, as a takeover reads much after that, is checked
        within the interval from then.
        """
        jobs, now = self._runner.jobs, self._clock()
        self._due_at = {key: at for key, at in self._due_at.items() if key in jobs}
        new = [job for job_id, job in jobs.items() if job_id not in self._due_at]
        for number, job in enumerate(new, start=1):
            confirmed_at = now if job.confirmed_at is None else job.confirmed_at
            spread_s = VERIFY_INTERVAL_S * number / len(new)
            self._due_at[job.job_id] = min(now + spread_s, confirmed_at + VERIFY_INTERVAL_S)

    async def _verify_in_time(self, job: JobRun) -> None:
        began_at = self._clock()
        try:
            await self.verify(job)
        finally:
            if job.job_id in self._due_at:
                self._due_at[job.job_id] = began_at + VERIFY_INTERVAL_S

    async def verify(self, job: JobRun) -> None:
        """Drop a job whose record is ended, missing or owned by another node."""
        try:
            stored = await self._reader.read_stored(job.job_id)
        except JobError:
            # The store's failure is logged elsewhere; the next check follows soon.
            return
        record = None if stored is None else stored.content
        if job.is_dropped or record is not None and self._is_owned_and_open(job, record):
            return
        await self._drop(job, record, is_ended=record is not None and record.is_ended)

    async def drop_ended(self, job_id: str, accepted_ms: float) -> None:
        """Drop a job whose end the store holds, as another node says.

        A job that was accepted at another time is a different one with the same id.
        """
        job = self._runner.jobs.get(job_id)
        if job is not None and job.record.accepted_ms == accepted_ms:
            await self._drop(job, job.record, is_ended=True)

    async def _drop(self, job: JobRun, record: JobRecord | None, is_ended: bool) -> None:
        self._log.write(
            catalogue.JOB_DROPPED,
            job=job.job_id,
            owner="" if record is None else record.owner,
            epoch=0 if record is None else record.epoch,
            is_ended=is_ended,
        )
        await self._runner.drop(job.job_id)

    def _is_owned_and_open(self, job: JobRun, record: JobRecord) -> bool:
        is_owner = (record.owner, record.epoch) == (job.record.owner, job.record.epoch)
        return is_owner and not record.is_ended
