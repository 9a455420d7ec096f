"""Jobs of several owners over one store in memory, with a clock that the test controls."""

import os
from collections.abc import Callable
from random import Random

from cloverwalk.core.clock import Clock
from cloverwalk.core.error_response import ErrorResponse, error_response
from cloverwalk.emulator.memory_store import MemoryStore
from cloverwalk.gateway.configuration import Route, RouteKind, RoutePart
from cloverwalk.jobs.commit import Committer
from cloverwalk.jobs.errors import JobError
from cloverwalk.jobs.intake import JobIntake, Submission
from cloverwalk.jobs.lister import ResultLister
from cloverwalk.jobs.reader import JobReader
from cloverwalk.jobs.records import JOB_TABLE, JobItem
from cloverwalk.jobs.result_cache import ResultCache
from cloverwalk.jobs.run import ItemRun, JobRun
from cloverwalk.jobs.view import JobView
from cloverwalk.jobs.writes import JobWriteTracker
from cloverwalk.store.clock import StoreTime
from cloverwalk.store.health import MonitoredStore, StoreHealth
from cloverwalk.telemetry.log import ServingLog


class ManualClock:
    """A clock that tests set; it advances by ``step_s`` with each reading, so that retries end."""

    def __init__(self, step_s: float = 0.01) -> None:
        self.now = 100.0
        self._step_s = step_s

    def __call__(self) -> float:
        self.now += self._step_s
        return self.now


def batch_route(max_queued_tokens: int = 0) -> Route:
    return Route(
        "jobs",
        "h.example",
        "/jobs/",
        RouteKind.BATCH,
        (RoutePart("s", 1.0),),
        30.0,
        0.4,
        3,
        completion_target_s=20.0,
        retention_s=60.0,
        max_queued_tokens=max_queued_tokens,
    )


def exactly(now_ms: float) -> StoreTime:
    """Return a store time without uncertainty."""
    return StoreTime(now_ms, now_ms)


def submission(job_id: str, count: int = 3, tokens: int = 10) -> Submission:
    items = [
        JobItem(f"{job_id}-{number}", f"/jobs/{number}", [], b"body %d" % number, tokens)
        for number in range(count)
    ]
    return Submission(job_id, "h.example", "/jobs/x", items)


class RefusedError(Exception):
    """A call on a job was answered with an error response."""

    def __init__(self, response: ErrorResponse) -> None:
        super().__init__(response)
        self.status = response.status
        self.retry_after_s = response.retry_after_s


class OwnerNode:
    """The batch part of one node, without replicas."""

    def __init__(
        self,
        name: str,
        store: MemoryStore | MonitoredStore,
        clock: Callable[[], float],
        store_time: Callable[[], StoreTime | None] | None = None,
    ) -> None:
        self.name = name
        self.store = store
        self.clock = clock
        self.jobs: dict[str, JobRun] = {}
        log = ServingLog(name, clock, os.open(os.devnull, os.O_WRONLY))
        self.view = JobView()
        health = self.health = StoreHealth(Clock(clock))
        self.committer = Committer(store, health, clock)
        self.cache = ResultCache()
        self.reader = JobReader(store, self.view, self._is_run_here, self.cache, clock)
        self.is_served_elsewhere = False
        self.store_time = store_time or self._exact_time
        self.intake = JobIntake(
            name,
            store,
            self.committer,
            self.view,
            self.reader,
            lambda: self.store_time(),
            clock,
            log,
            self._on_accepted,
            lambda: self.is_served_elsewhere,
            lambda: health.is_unavailable,
            Random(1),
        )
        self.lister = ResultLister(self.committer, self.view, self.cache, self._drop, log, clock)

    def _exact_time(self) -> StoreTime:
        assert isinstance(self.store, MemoryStore)
        return exactly(self.store.now_ms)

    def _is_run_here(self, job_id: str) -> bool:
        return job_id in self.jobs

    async def _on_accepted(self, job: JobRun) -> None:
        self.jobs[job.job_id] = job

    async def _drop(self, job_id: str) -> None:
        job = self.jobs.pop(job_id, None)
        if job is not None:
            job.is_dropped = True

    async def submit(self, submitted: Submission, route: Route, timeout_s: float = 3.0) -> None:
        writes = JobWriteTracker()
        try:
            await self.intake.submit(submitted, route, self.clock() + timeout_s, writes)
        except JobError as error:
            raise RefusedError(error_response(error, writes)) from error

    async def sync_view(self) -> None:
        """Apply the whole job table to the view."""
        await self.view.apply_page(await self.store.read_table(JOB_TABLE))


def finish(job: JobRun, item_run: ItemRun, text: str) -> None:
    """Run an item to its end."""
    job.begin(item_run, "r1", 0.0)
    for number, word in enumerate(text.split()):
        assert job.add_event(item_run, number, word)
    job.succeed(item_run)
