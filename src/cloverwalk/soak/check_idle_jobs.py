"""Checks that open items of accepted jobs are run while all is calm and replicas have room."""

from collections import Counter
from collections.abc import Callable, Iterator

import attrs

from cloverwalk.emulator.replica_runs import RunEnd
from cloverwalk.soak.deployment import SLOTS_PER_REPLICA
from cloverwalk.soak.events import (
    ConfigurationWritten,
    ReplicaStarted,
    ReplicaStopped,
    RunBegan,
    RunEnded,
    ZoneDrained,
    ZoneDrainLifted,
)
from cloverwalk.soak.job_events import JobAnswered, JobEndSent, JobRead, JobSent
from cloverwalk.soak.violations import Violation

MAX_IDLE_S = 5.0
"""For how long nobody may run an open item of a job while all is calm; the platform's rule."""

CHECK_INTERVAL_S = 0.5
DONE_ENDS = frozenset({RunEnd.FINISHED.value, RunEnd.IMPOSSIBLE.value})


@attrs.define
class _OpenJob:
    sent: JobSent
    open_items: set[str]
    """Items that are owed: not finished, rejected for good, failed too often or listed."""

    failures: Counter[str] = attrs.Factory(Counter)
    """Runs that a replica answered 500, by item."""

    accepted_at: float | None = None
    running: int = 0
    """Runs of its items at replicas."""

    active_at: float = 0.0
    """When a run of one of its items last began or ended."""

    is_excluded: bool = False
    """Whether it was reported, or its route was missing, which may end its items."""


class IdleJobChecks:
    """Follows the runs of each job. The bound starts anew when a replica or the routing changes."""

    def __init__(self, is_calm_everywhere: Callable[[float, float], bool]) -> None:
        self._is_calm_everywhere = is_calm_everywhere
        self._jobs: dict[str, _OpenJob] = {}
        self._job_of_item: dict[str, _OpenJob] = {}
        self._service_by_route: dict[str, list[str]] = {}
        self._service_of_replica: dict[str, str] = {}
        self._runs: dict[int, tuple[str, str]] = {}
        """Service and request of each run."""

        self._running: Counter[str] = Counter()
        """Number of runs, by service."""

        self._changed_at = 0.0
        self._busy_at: dict[str, float] = {}
        """When half of a service's slots were last in use."""

        self._checked_at = 0.0

    def handle(self, event: object) -> Iterator[Violation]:
        """Process an event and yield the violations that it shows."""
        at = getattr(event, "at", self._checked_at)
        if at - self._checked_at >= CHECK_INTERVAL_S:
            self._checked_at = at
            yield from self._check(at)
        match event:
            case JobSent() if event.job not in self._jobs:
                job = _OpenJob(event, {fact.item for fact in event.items})
                self._jobs[event.job] = job
                self._job_of_item.update(dict.fromkeys(job.open_items, job))
            case JobAnswered(status=202):
                job = self._jobs[event.job]
                job.accepted_at = event.at if job.accepted_at is None else job.accepted_at
            case JobEndSent():
                self._jobs[event.job].open_items.clear()
            case JobRead():
                listed = {result.item for result in event.results}
                self._jobs[event.job].open_items -= listed
            case RunBegan():
                self._on_run(event)
            case RunEnded():
                self._on_end(event)
            case ReplicaStarted():
                self._service_of_replica[event.replica] = event.service
                self._changed_at = event.at
            case ReplicaStopped():
                self._service_of_replica.pop(event.replica, None)
                self._changed_at = event.at
            case ConfigurationWritten():
                self._on_configuration(event)
            case ZoneDrained() | ZoneDrainLifted():
                self._changed_at = event.at

    def _on_configuration(self, event: ConfigurationWritten) -> None:
        self._service_by_route = {route.name: route.services for route in event.routes}
        self._changed_at = event.at
        for job in self._jobs.values():
            job.is_excluded |= job.sent.route not in self._service_by_route

    def _on_run(self, run: RunBegan) -> None:
        self._runs[run.run] = (run.service, run.request)
        self._running[run.service] += 1
        self._note_load(run.service, run.at)
        job = self._job_of_item.get(run.request)
        if job is not None:
            job.running += 1
            job.active_at = run.at

    def _on_end(self, end: RunEnded) -> None:
        service, request = self._runs.pop(end.run)
        self._note_load(service, end.at)
        self._running[service] -= 1
        job = self._job_of_item.get(request)
        if job is not None:
            job.running -= 1
            job.active_at = end.at
            job.failures[request] += end.end == RunEnd.FAILED.value
            if end.end in DONE_ENDS or job.failures[request] >= job.sent.max_attempts:
                job.open_items.discard(request)

    def _note_load(self, service: str, at: float) -> None:
        replicas = sum(name == service for name in self._service_of_replica.values())
        if 2 * self._running[service] >= replicas * SLOTS_PER_REPLICA:
            self._busy_at[service] = at

    def _check(self, at: float) -> Iterator[Violation]:
        for service in self._running:
            self._note_load(service, at)
        since = at - MAX_IDLE_S
        idle = {
            name: job
            for name, job in self._jobs.items()
            if job.open_items and not job.is_excluded and self._is_idle(job, since)
        }
        if idle and self._is_calm_everywhere(since, at):
            for name, job in idle.items():
                job.is_excluded = True
                message = f"nobody runs {len(job.open_items)} open items for {MAX_IDLE_S:g} s"
                yield Violation(at, "idle items", name, f"{message}: {sorted(job.open_items)[:3]}")

    def _is_idle(self, job: _OpenJob, since: float) -> bool:
        """Whether a job could run its items since a time, and none has run."""
        if job.accepted_at is None or job.running or self._changed_at > since:
            return False
        if since + MAX_IDLE_S > job.sent.at + job.sent.retention_s:
            return False
        services = self._service_by_route.get(job.sent.route, [])
        busy_at = max((self._busy_at.get(service, 0.0) for service in services), default=0.0)
        return bool(services) and max(job.accepted_at, job.active_at, busy_at) <= since
