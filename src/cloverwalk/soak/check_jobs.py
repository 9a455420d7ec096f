"""Checks jobs: items are not lost, positions stay, dead letters have a cause, ended jobs stop."""

from collections.abc import Callable, Iterator

import attrs

from cloverwalk.emulator.replica_runs import RunEnd
from cloverwalk.soak.events import RunBegan, RunEnded
from cloverwalk.soak.job_events import (
    ItemFact,
    ItemRead,
    JobAnswered,
    JobEndAnswered,
    JobEndSent,
    JobRead,
    JobSent,
    ResultFact,
)
from cloverwalk.soak.texts import RunFact, find_text_problem
from cloverwalk.soak.violations import Versions, Violation

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""If every submission was answered with one of these, no item of the job may run."""

MAX_CANCEL_DELAY_S = 3.0
"""An item may still start this long after ending its job was answered; the platform's rule."""

SETTLE_S = 1.0
"""A result may still be missing at a node this long after it was first read; the platform's
rule."""

QUEUED_TOKENS_OVERSHOOT = 0.1
"""Share by which a tenant's queued tokens may exceed the limit; the platform's rule."""


@attrs.define
class _Item:
    fact: ItemFact
    failures: int = 0
    """Runs that a replica answered 500."""

    is_impossible: bool = False
    """Whether a replica answered 422."""

    is_finished: bool = False
    is_dead_letter: bool = False
    runs: int = 0


@attrs.define
class _Job:
    sent: JobSent
    items: dict[str, _Item]
    statuses: list[int] = attrs.Factory(list)
    """Statuses of the answers to its submissions."""

    submissions: int = 0
    is_accepted: bool = False
    end_sent_at: float | None = None
    ended_at: float | None = None
    results: dict[int, ResultFact] = attrs.Factory(dict)
    """Listed results by position."""

    read_at: dict[int, float] = attrs.Factory(dict)
    """When a result was first read, by position."""

    positions: dict[str, int] = attrs.Factory(dict)
    """Positions of listed results by item id."""

    final_reads: int = 0

    @property
    def queued_tokens(self) -> int:
        """Tokens of the items that certainly count as queued."""
        if self.end_sent_at is not None:
            return 0
        return sum(
            item.fact.tokens
            for item in self.items.values()
            if not (item.is_finished or item.is_dead_letter or item.is_impossible or item.failures)
        )


class JobChecks:
    """Tracks every job from submission to its last read."""

    def __init__(
        self, versions: Versions, is_calm_everywhere: Callable[[float, float], bool]
    ) -> None:
        self._versions = versions
        self._is_calm_everywhere = is_calm_everywhere
        self._jobs: dict[str, _Job] = {}
        self._job_of_item: dict[str, _Job] = {}
        self._runs: dict[int, RunFact] = {}

    @property
    def job_count(self) -> int:
        """Number of accepted jobs."""
        return sum(job.is_accepted for job in self._jobs.values())

    def has_item(self, item: str) -> bool:
        """Whether an id belongs to an item of a job."""
        return item in self._job_of_item

    def handle(self, event: object) -> Iterator[Violation]:
        """Process an event and yield the violations that it shows."""
        match event:
            case JobSent():
                self._on_submitted(event)
            case JobAnswered():
                yield from self._on_answered(event)
            case RunBegan() if event.request in self._job_of_item:
                yield from self._on_run(self._job_of_item[event.request], event)
            case RunEnded() if event.request in self._job_of_item:
                self._on_end(self._job_of_item[event.request].items[event.request], event)
            case JobRead():
                yield from self._on_read(self._jobs[event.job], event)
            case ItemRead():
                yield from self._on_item_read(self._jobs[event.job], event)
            case JobEndSent():
                job = self._jobs[event.job]
                job.end_sent_at = job.end_sent_at or event.at
            case JobEndAnswered():
                yield from self._on_end_answered(self._jobs[event.job], event)

    # --- submission ---

    def _on_submitted(self, event: JobSent) -> None:
        job = self._jobs.get(event.job)
        if job is None:
            items = {fact.item: _Item(fact) for fact in event.items}
            job = self._jobs[event.job] = _Job(event, items)
            self._job_of_item.update(dict.fromkeys(items, job))
        job.submissions += 1

    def _on_answered(self, event: JobAnswered) -> Iterator[Violation]:
        job = self._jobs[event.job]
        job.statuses.append(event.status)
        is_first = event.status == 202 and not job.is_accepted
        if event.status == 202:
            job.is_accepted = True
        if is_first and job.sent.max_queued_tokens:
            yield from self._check_tokens(job, event.at)
        if self._was_never_accepted(job) and any(item.runs for item in job.items.values()):
            message = f"items ran though every submission was answered {job.statuses}"
            yield Violation(event.at, "refused and run", event.job, message)

    def _was_never_accepted(self, job: _Job) -> bool:
        is_answered = len(job.statuses) == job.submissions
        return is_answered and all(status in NOT_RUN_STATUSES for status in job.statuses)

    def _check_tokens(self, job: _Job, at: float) -> Iterator[Violation]:
        quota_key = (job.sent.tenant, job.sent.route)
        queued_tokens = sum(
            other.queued_tokens
            for other in self._jobs.values()
            if other.is_accepted and (other.sent.tenant, other.sent.route) == quota_key
        )
        max_tokens = job.sent.max_queued_tokens * (1 + QUEUED_TOKENS_OVERSHOOT)
        if queued_tokens > max_tokens:
            message = f"accepted with {queued_tokens} tokens queued, the limit is {max_tokens:g}"
            yield Violation(at, "waiting tokens", job.sent.job, message)

    # --- runs ---

    def _on_run(self, job: _Job, run: RunBegan) -> Iterator[Violation]:
        item = job.items[run.request]
        item.runs += 1
        self._runs[run.run] = RunFact(run.run, run.request, run.last_event)
        fact = item.fact
        if (run.method, run.target, run.body) != ("POST", fact.target, fact.body):
            yield _violation_of_run(run, "unasked", "method, target or body differ from the item's")
        if run.has_key or run.tenant != job.sent.tenant:
            yield _violation_of_run(
                run, "keys", f"it runs for tenant {run.tenant!r}, API key passed on: {run.has_key}"
            )
        if self._was_never_accepted(job):
            yield _violation_of_run(run, "refused and run", f"its job was answered {job.statuses}")
        services = {
            name
            for version in self._versions.written
            for route in version.routes
            if run.target.startswith(route.prefix)
            for name in route.services
        }
        if run.service not in services:
            yield _violation_of_run(
                run, "routes", f"service {run.service} is not one of {sorted(services)}"
            )
        ended_at = job.ended_at
        is_late = ended_at is not None and run.at > ended_at + MAX_CANCEL_DELAY_S
        if ended_at is not None and is_late and self._is_calm_everywhere(run.at, run.at):
            message = f"it starts {run.at - ended_at:.1f} s after its job's end"
            yield _violation_of_run(run, "unasked", message)

    def _on_end(self, item: _Item, event: RunEnded) -> None:
        item.failures += event.end == RunEnd.FAILED.value
        item.is_impossible |= event.end == RunEnd.IMPOSSIBLE.value
        item.is_finished |= event.end == RunEnd.FINISHED.value

    def _on_end_answered(self, job: _Job, event: JobEndAnswered) -> Iterator[Violation]:
        if event.status == 200 and job.ended_at is None:
            job.ended_at = event.at
        if event.status == 404 and job.is_accepted:
            yield Violation(event.at, "lost", event.job, "ending an accepted job was answered 404")

    # --- reads ---

    def _on_read(self, job: _Job, read: JobRead) -> Iterator[Violation]:
        if read.status in (404, 410) and job.is_accepted:
            message = f"{read.node} answers {read.status} for an accepted job"
            yield Violation(read.at, "lost", read.job, message)
        if read.status != 200:
            return
        job.final_reads += read.is_last
        if read.total != len(job.items):
            message = f"total is {read.total}, the job has {len(job.items)} items"
            yield Violation(read.at, "results", read.job, message)
        for offset, result in enumerate(read.results):
            yield from self._on_result(job, read, read.position + offset, result)
        yield from self._check_missing(job, read)

    def _check_missing(self, job: _Job, read: JobRead) -> Iterator[Violation]:
        """Report results that were read before and do not come again."""
        end = read.position + len(read.results)
        missing = [
            position
            for position, read_at in job.read_at.items()
            if position >= end and read_at + SETTLE_S < read.asked_at
        ]
        if missing and (read.is_last or self._is_calm_everywhere(read.asked_at, read.at)):
            message = f"{read.node} has nothing at positions {sorted(missing)} that were read"
            yield Violation(read.at, "positions", read.job, message)

    def _on_result(
        self, job: _Job, read: JobRead, position: int, result: ResultFact
    ) -> Iterator[Violation]:
        earlier = job.results.get(position)
        if earlier is not None:
            if earlier != result:
                message = (
                    f"position {position} was {earlier.item} {earlier.state}, is {result.item}"
                )
                yield Violation(read.at, "positions", read.job, f"{message} {result.state}")
            return
        job.results[position] = result
        job.read_at[position] = read.at
        item = job.items.get(result.item)
        if item is None:
            message = f"position {position} has unknown item {result.item!r}"
            yield Violation(read.at, "results", read.job, message)
            return
        if result.item in job.positions:
            message = f"{result.item} is at positions {job.positions[result.item]} and {position}"
            yield Violation(read.at, "positions", read.job, message)
        job.positions[result.item] = position
        yield from self._check_result(job, item, read, result)

    def _check_result(
        self, job: _Job, item: _Item, read: JobRead, result: ResultFact
    ) -> Iterator[Violation]:
        if result.state == "succeeded":
            texts = result.text.split("\n")
            problem = find_text_problem(result.item, texts, self._runs, item.fact.events)
        elif result.state == "dead_letter":
            item.is_dead_letter = True
            problem = self._find_dead_letter_problem(job, item, read.at)
        else:
            problem = f"unknown state {result.state!r}"
        if problem:
            yield Violation(read.at, "results", result.item, problem)

    def _find_dead_letter_problem(self, job: _Job, item: _Item, at: float) -> str:
        """Return why an item may not be a dead letter, empty if it may."""
        sent = job.sent
        if item.is_impossible or item.failures >= sent.max_attempts:
            return ""
        if job.end_sent_at is not None or at > sent.at + sent.retention_s:
            return ""
        if self._was_route_removed(sent):
            return ""
        age_s = at - sent.at
        return f"dead letter after {item.failures} failures, {age_s:.1f} s after submission"

    def _was_route_removed(self, sent: JobSent) -> bool:
        """Whether the version in force at the submission, or a later one, lacks the route."""
        earlier_versions = [version for version in self._versions.written if version.at <= sent.at]
        later_versions = [version for version in self._versions.written if version.at > sent.at]
        return any(
            all(route.name != sent.route for route in version.routes)
            for version in earlier_versions[-1:] + later_versions
        )

    def _on_item_read(self, job: _Job, read: ItemRead) -> Iterator[Violation]:
        item = job.items[read.item]
        if read.status == 200 and read.body != item.fact.body:
            yield Violation(read.at, "results", read.item, "its body was returned changed")
        if read.status not in (404, 410) or not job.is_accepted:
            return
        may_have_ended = item.is_finished or not self._find_dead_letter_problem(job, item, read.at)
        if not may_have_ended:
            message = f"{read.status} for the body of an item that no replica has finished"
            yield Violation(read.at, "lost", read.item, message)

    # --- the end ---

    def finish(self, at: float) -> Iterator[Violation]:
        """Check at the end of a whole history that every item of an accepted job is listed."""
        for job in self._jobs.values():
            if not job.is_accepted or job.end_sent_at is not None:
                continue
            missing = [item for item in job.items if item not in job.positions]
            if missing:
                message = f"{len(missing)} of {len(job.items)} items are not listed: {missing[:3]}"
                yield Violation(at, "lost", job.sent.job, message)


def _violation_of_run(run: RunBegan, promise: str, message: str) -> Violation:
    return Violation(run.at, promise, run.request, message)
