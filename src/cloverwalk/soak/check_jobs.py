"""Promises about jobs: kept whole, stable in order, dead for a reason, ended when told."""

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
from cloverwalk.soak.texts import RunFact, text_problem
from cloverwalk.soak.violations import Versions, Violation

NOT_TAKEN = frozenset({408, 421, 429, 503})
CANCEL_S = 3.0
"""After the answer to a job's end none of its items begins; the platform's sheet says so."""

QUOTA_OVERSHOOT = 0.1
"""By so much a tenant's waiting tokens may exceed the limit; the platform's sheet says so."""


@attrs.define
class _Item:
    fact: ItemFact
    failures: int = 0
    is_impossible: bool = False
    is_finished: bool = False
    is_dead: bool = False
    runs: int = 0


@attrs.define
class _Job:
    sent: JobSent
    items: dict[str, _Item]
    statuses: list[int] = attrs.Factory(list)
    hand_ins: int = 0
    is_taken: bool = False
    end_sent_at: float | None = None
    ended_at: float | None = None
    results: dict[int, ResultFact] = attrs.Factory(dict)
    positions: dict[str, int] = attrs.Factory(dict)
    last_reads: int = 0

    @property
    def waiting_tokens(self) -> int:
        """Tokens of items that surely count as waiting."""
        if self.end_sent_at is not None:
            return 0
        return sum(
            one.fact.tokens
            for one in self.items.values()
            if not (one.is_finished or one.is_dead or one.is_impossible or one.failures)
        )


class JobChecks:
    """Follows every job."""

    def __init__(self, versions: Versions, is_calm_all: Callable[[float, float], bool]) -> None:
        self._versions = versions
        self._is_calm_all = is_calm_all
        self._jobs: dict[str, _Job] = {}
        self._job_of_item: dict[str, _Job] = {}
        self._runs: dict[int, RunFact] = {}

    @property
    def job_count(self) -> int:
        """Jobs that were taken."""
        return sum(one.is_taken for one in self._jobs.values())

    def knows(self, item: str) -> bool:
        """Whether an id is an item's."""
        return item in self._job_of_item

    def take(self, event: object) -> Iterator[Violation]:
        """Follow an event."""
        match event:
            case JobSent():
                self._on_sent(event)
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

    # --- hand-in ---

    def _on_sent(self, event: JobSent) -> None:
        job = self._jobs.get(event.job)
        if job is None:
            items = {one.item: _Item(one) for one in event.items}
            job = self._jobs[event.job] = _Job(event, items)
            self._job_of_item.update(dict.fromkeys(items, job))
        job.hand_ins += 1

    def _on_answered(self, event: JobAnswered) -> Iterator[Violation]:
        job = self._jobs[event.job]
        job.statuses.append(event.status)
        is_first = event.status == 202 and not job.is_taken
        if event.status == 202:
            job.is_taken = True
        if is_first and job.sent.max_queued_tokens:
            yield from self._check_tokens(job, event.at)
        if self._was_never_taken(job) and any(one.runs for one in job.items.values()):
            message = f"items ran though every hand-in was answered {job.statuses}"
            yield Violation(event.at, "refused and run", event.job, message)

    def _was_never_taken(self, job: _Job) -> bool:
        is_answered = len(job.statuses) == job.hand_ins
        return is_answered and all(one in NOT_TAKEN for one in job.statuses)

    def _check_tokens(self, job: _Job, at: float) -> Iterator[Violation]:
        same = (job.sent.tenant, job.sent.route)
        waiting = sum(
            one.waiting_tokens
            for one in self._jobs.values()
            if one.is_taken and (one.sent.tenant, one.sent.route) == same
        )
        most = job.sent.max_queued_tokens * (1 + QUOTA_OVERSHOOT)
        if waiting > most:
            message = f"{waiting} tokens wait at its 202, {most:g} may"
            yield Violation(at, "waiting tokens", job.sent.job, message)

    # --- runs ---

    def _on_run(self, job: _Job, run: RunBegan) -> Iterator[Violation]:
        item = job.items[run.request]
        item.runs += 1
        self._runs[run.run] = RunFact(run.run, run.request, run.last_event)
        fact = item.fact
        if (run.method, run.target, run.body) != ("POST", fact.target, fact.body):
            yield _broken(run, "unasked", "method, target or body are not the item's")
        if run.has_key or run.tenant != job.sent.tenant:
            yield _broken(run, "keys", f"it runs as {run.tenant!r}, key told: {run.has_key}")
        if self._was_never_taken(job):
            yield _broken(run, "refused and run", f"its job was answered {job.statuses}")
        services = {
            name
            for one in self._versions.written
            for route in one.routes
            if run.target.startswith(route.prefix)
            for name in route.services
        }
        if run.service not in services:
            yield _broken(run, "routes", f"{run.service} is none of {sorted(services)}")
        ended_at = job.ended_at
        is_late = ended_at is not None and run.at > ended_at + CANCEL_S
        if ended_at is not None and is_late and self._is_calm_all(ended_at, run.at):
            message = f"it begins {run.at - ended_at:.1f} s after its job's end"
            yield _broken(run, "unasked", message)

    def _on_end(self, item: _Item, event: RunEnded) -> None:
        item.failures += event.end == RunEnd.FAILED.value
        item.is_impossible |= event.end == RunEnd.IMPOSSIBLE.value
        item.is_finished |= event.end == RunEnd.FINISHED.value

    def _on_end_answered(self, job: _Job, event: JobEndAnswered) -> Iterator[Violation]:
        if event.status == 200 and job.ended_at is None:
            job.ended_at = event.at
        if event.status == 404 and job.is_taken:
            yield Violation(event.at, "lost", event.job, "the end of a taken job got 404")

    # --- reads ---

    def _on_read(self, job: _Job, read: JobRead) -> Iterator[Violation]:
        if read.status in (404, 410) and job.is_taken:
            message = f"{read.node} answers {read.status} for a taken job"
            yield Violation(read.at, "lost", read.job, message)
        if read.status != 200:
            return
        job.last_reads += read.is_last
        if read.total != len(job.items):
            message = f"total is {read.total} of {len(job.items)}"
            yield Violation(read.at, "results", read.job, message)
        for offset, result in enumerate(read.results):
            yield from self._on_result(job, read, read.position + offset, result)

    def _on_result(
        self, job: _Job, read: JobRead, position: int, result: ResultFact
    ) -> Iterator[Violation]:
        known = job.results.get(position)
        if known is not None:
            if known != result:
                message = f"position {position} held {known.item} {known.state}, now {result.item}"
                yield Violation(read.at, "positions", read.job, f"{message} {result.state}")
            return
        job.results[position] = result
        item = job.items.get(result.item)
        if item is None:
            message = f"position {position} names {result.item!r}"
            yield Violation(read.at, "results", read.job, message)
            return
        if result.item in job.positions:
            message = f"{result.item} stands at {job.positions[result.item]} and {position}"
            yield Violation(read.at, "positions", read.job, message)
        job.positions[result.item] = position
        yield from self._check_result(job, item, read, result)

    def _check_result(
        self, job: _Job, item: _Item, read: JobRead, result: ResultFact
    ) -> Iterator[Violation]:
        if result.state == "succeeded":
            texts = result.text.split("\n")
            problem = text_problem(result.item, texts, self._runs, item.fact.events)
        elif result.state == "dead_letter":
            item.is_dead = True
            problem = self._dead_problem(job, item, read.at)
        else:
            problem = f"its state is {result.state!r}"
        if problem:
            yield Violation(read.at, "results", result.item, problem)

    def _dead_problem(self, job: _Job, item: _Item, at: float) -> str:
        """Return why an item may not be given up, empty where it may."""
        sent = job.sent
        if item.is_impossible or item.failures >= sent.max_attempts:
            return ""
        if job.end_sent_at is not None or at > sent.at + sent.retention_s:
            return ""
        if self._route_was_gone(sent):
            return ""
        age_s = at - sent.at
        return f"it is dead after {item.failures} failures, {age_s:.1f} s after its hand-in"

    def _route_was_gone(self, sent: JobSent) -> bool:
        """Whether a version since the hand-in, or the one in force then, lacks the route."""
        before = [one for one in self._versions.written if one.at <= sent.at]
        since = [one for one in self._versions.written if one.at > sent.at]
        return any(
            all(route.name != sent.route for route in one.routes) for one in before[-1:] + since
        )

    def _on_item_read(self, job: _Job, read: ItemRead) -> Iterator[Violation]:
        item = job.items[read.item]
        if read.status == 200 and read.body != item.fact.body:
            yield Violation(read.at, "results", read.item, "its body comes back changed")
        if read.status not in (404, 410) or not job.is_taken:
            return
        may_be_listed = item.is_finished or not self._dead_problem(job, item, read.at)
        if not may_be_listed:
            message = f"{read.status} for a body of which no replica has finished the run"
            yield Violation(read.at, "lost", read.item, message)

    # --- the end ---

    def finish(self, at: float) -> Iterator[Violation]:
        """Check what must have come by the end of a whole history."""
        for job in self._jobs.values():
            if not job.is_taken or job.end_sent_at is not None:
                continue
            missing = [one for one in job.items if one not in job.positions]
            if missing:
                message = f"{len(missing)} of {len(job.items)} items are not listed: {missing[:3]}"
                yield Violation(at, "lost", job.sent.job, message)


def _broken(run: RunBegan, promise: str, message: str) -> Violation:
    return Violation(run.at, promise, run.request, message)
