"""Promises about online requests: run once, true refusals, own and whole answers, keys, routes."""

from collections.abc import Iterator

import attrs

from cloverwalk.emulator.replica_runs import RunEnd
from cloverwalk.soak.events import (
    AllQuiet,
    AnswerEnd,
    AnswerSeen,
    ClientLeft,
    ConfigurationWritten,
    RequestSent,
    RouteFact,
    RunBegan,
    RunEnded,
    TenantFact,
)
from cloverwalk.soak.texts import RunFact, text_problem
from cloverwalk.soak.violations import Disturbances, Versions, Violation

PROMISES_NOT_RUN = frozenset({408, 421, 429, 503})
GONE_S = 5.0
"""Work for a client that left goes on for so long at the most, in calm; the platform's rule is half
a second, and a busy machine is no reason here."""

BROKEN_OFF_AFTER_S = 2.5
"""A stream is broken off at its client's deadline of 3 s; answers that took longer don't count."""


@attrs.define
class _Request:
    sent: RequestSent
    told: int
    """Version that its node had told when it was sent."""

    written: int
    runs: list[RunBegan] = attrs.Factory(list)
    ends: dict[int, str] = attrs.Factory(dict)
    answer: AnswerSeen | None = None
    left: ClientLeft | None = None


def find_route(configuration: ConfigurationWritten, target: str) -> RouteFact | None:
    """Return the route of a target."""
    found = [one for one in configuration.routes if target.startswith(one.prefix)]
    return max(found, key=lambda one: len(one.prefix), default=None)


def find_tenant(configuration: ConfigurationWritten, key: str) -> TenantFact | None:
    """Return the tenant that holds a key."""
    return next((one for one in configuration.tenants if key in one.keys), None)


class RequestChecks:
    """Follows every online request."""

    def __init__(self, versions: Versions, disturbances: Disturbances) -> None:
        self._versions = versions
        self._disturbances = disturbances
        self._requests: dict[str, _Request] = {}
        self._runs: dict[int, RunFact] = {}
        self.counts: dict[str, int] = {}

    def knows(self, request: str) -> bool:
        """Whether an id is an online request's."""
        return request in self._requests

    def take(self, event: object) -> Iterator[Violation]:
        """Follow an event."""
        match event:
            case RequestSent():
                told = self._versions.told(event.node)
                written = self._versions.written[-1].version if self._versions.written else 0
                self._requests[event.request] = _Request(event, told, written)
            case RunBegan() if event.request in self._requests:
                yield from self._on_run(self._requests[event.request], event)
            case RunEnded() if event.request in self._requests:
                yield from self._on_end(self._requests[event.request], event)
            case AnswerSeen():
                yield from self._on_answer(event)
            case ClientLeft():
                yield from self._on_left(event)
            case AllQuiet():
                yield from self._on_quiet(event)

    # --- runs ---

    def _on_run(self, request: _Request, run: RunBegan) -> Iterator[Violation]:
        request.runs.append(run)
        self._runs[run.run] = RunFact(run.run, run.request, run.last_event)
        sent = request.sent
        if (run.method, run.target, run.body) != (sent.method, sent.target, sent.body):
            yield _broken(run, "unasked", "method, target or body are not the client's")
        if sent.is_part:
            yield _broken(run, "unasked", "it runs though only a part of it was sent")
        if len(request.runs) > 1 and not sent.may_repeat:
            runs = [one.run for one in request.runs]
            yield _broken(run, "run twice", f"runs {runs} of a request that may run once")
        yield from self._check_attempts(request, run)
        if request.answer is not None and _promises_not_run(request.answer):
            yield _broken(run, "refused and run", f"it runs after {request.answer.status}")
        yield from self._check_caller(request, run)
        yield from self._check_route(request, run)

    def _check_attempts(self, request: _Request, run: RunBegan) -> Iterator[Violation]:
        routes = [find_route(one, run.target) for one in self._versions.written]
        most = max((one.max_attempts for one in routes if one is not None), default=0)
        if most and len(request.runs) > most:
            yield _broken(run, "attempts", f"run {len(request.runs)} of {most} that are allowed")

    def _check_caller(self, request: _Request, run: RunBegan) -> Iterator[Violation]:
        key = request.sent.key
        possible = list(self._versions.since(request.told))
        routes = [find_route(one, run.target) for one in self._versions.written]
        is_public = any(one is not None and one.is_public for one in routes)
        if run.has_key:
            yield _broken(run, "keys", "the replica was told the key")
        holders = [find_tenant(one, key) for one in possible]
        names = {one.name for one in holders if one is not None}
        if is_public:
            names.add("")
        elif not any(find_tenant(one, key) for one in self._versions.written):
            yield _broken(run, "keys", "it runs with a key that nobody ever had")
            return
        elif not names:
            yield _broken(run, "keys", "it runs with a key that was taken away")
            return
        if (run.tenant or "") not in names:
            yield _broken(run, "keys", f"tenant {run.tenant!r} is none of {sorted(names)}")

    def _check_route(self, request: _Request, run: RunBegan) -> Iterator[Violation]:
        possible = [find_route(one, run.target) for one in self._versions.since(request.told)]
        services = {name for one in possible if one is not None for name in one.services}
        if not services:
            yield _broken(run, "routes", "it runs on a route that is not there")
        elif run.service not in services:
            yield _broken(run, "routes", f"{run.service} is none of {sorted(services)}")

    def _on_end(self, request: _Request, ended: RunEnded) -> Iterator[Violation]:
        request.ends[ended.run] = ended.end
        if request.left is not None:
            yield from self._check_gone(request, ended.run, ended.at)

    def _check_gone(self, request: _Request, run: int, until: float) -> Iterator[Violation]:
        """Report work that went on though its client had left long before."""
        assert request.left is not None
        left_at, node = request.left.at, request.sent.node
        ended_by = left_at + GONE_S
        if until < ended_by or not self._disturbances.is_way_calm(left_at, ended_by, node):
            return
        message = f"run {run} went on for {until - left_at:.1f} s after its client had left"
        yield Violation(until, "gone clients", request.sent.request, message)

    def _on_quiet(self, event: AllQuiet) -> Iterator[Violation]:
        running = set(event.running)
        for request in self._requests.values():
            for run in request.runs:
                if run.run not in running:
                    continue
                if request.left is not None:
                    yield from self._check_gone(request, run.run, event.at)

    # --- answers ---

    def _on_answer(self, answer: AnswerSeen) -> Iterator[Violation]:
        if answer.end is AnswerEnd.UNASKED:
            yield Violation(answer.at, "answers", "", "bytes came while no request was waiting")
            return
        request = self._requests[answer.request]
        request.answer = answer
        self._count(answer)
        if answer.end is AnswerEnd.INVALID:
            yield _broken(answer, "answers", "bytes came that are no answer")
        if _promises_not_run(answer) and request.runs:
            runs = [one.run for one in request.runs]
            yield _broken(answer, "refused and run", f"{answer.status} after runs {runs}")
        if answer.status and answer.answered_id not in ("", answer.request):
            yield _broken(answer, "answers", f"it belongs to {answer.answered_id!r}")
        if 200 <= answer.status < 300:
            yield from self._check_success(request, answer)
        elif answer.is_signed and answer.status >= 400 and answer.end is AnswerEnd.WHOLE:
            yield from self._check_failure(request, answer)
        yield from self._check_denial(request, answer)
        yield from self._check_planned_stop(request, answer)

    def _count(self, answer: AnswerSeen) -> None:
        name = str(answer.status) if answer.end is AnswerEnd.WHOLE else answer.end.value
        self.counts[name] = self.counts.get(name, 0) + 1

    def _check_success(self, request: _Request, answer: AnswerSeen) -> Iterator[Violation]:
        if not answer.is_signed:
            yield _broken(answer, "answers", "a success without a signature")
        if answer.answered_id != answer.request:
            yield _broken(answer, "answers", "a success without the request's id")
        if not request.runs:
            yield _broken(answer, "answers", "a success of a request that no replica ran")
        wanted = request.sent.events if answer.end is AnswerEnd.WHOLE else None
        problem = text_problem(answer.request, answer.texts, self._runs, wanted)
        if problem:
            yield _broken(answer, "answers", problem)

    def _check_failure(self, request: _Request, answer: AnswerSeen) -> Iterator[Violation]:
        statuses = {RunEnd.FAILED.value: 500, RunEnd.IMPOSSIBLE.value: 422}
        given = {statuses.get(end) for end in request.ends.values()}
        if answer.status not in given:
            yield _broken(answer, "answers", f"no replica answered {answer.status}")

    def _check_denial(self, request: _Request, answer: AnswerSeen) -> Iterator[Violation]:
        possible = list(self._versions.since(request.told))
        if answer.status == 404 and all(
            find_route(one, request.sent.target) is not None for one in possible
        ):
            yield _broken(answer, "denied", "404 though its route is there")
        if answer.status == 401 and all(self._may_call(one, request.sent) for one in possible):
            yield _broken(answer, "denied", "401 though its key is known")

    def _may_call(self, configuration: ConfigurationWritten, sent: RequestSent) -> bool:
        route = find_route(configuration, sent.target)
        is_public = route is not None and route.is_public
        return is_public or find_tenant(configuration, sent.key) is not None

    def _check_planned_stop(self, request: _Request, answer: AnswerSeen) -> Iterator[Violation]:
        """Report a request that a planned stop cut after it had been passed on."""
        if answer.end is AnswerEnd.WHOLE or not request.runs:
            return
        ends = {request.ends.get(one.run) for one in request.runs}
        if ends & {RunEnd.CUT.value, RunEnd.CRASHED.value}:
            return
        sent = request.sent
        if answer.at - sent.at > BROKEN_OFF_AFTER_S:
            return
        if self._disturbances.is_calm(sent.at, answer.at, sent.node, but_for_stops=True):
            yield _broken(answer, "lost", "the answer broke off though nothing was disturbed")

    def _on_left(self, left: ClientLeft) -> Iterator[Violation]:
        request = self._requests[left.request]
        request.left = left
        name = "left" if left.is_planned else "gave up"
        self.counts[name] = self.counts.get(name, 0) + 1
        problem = text_problem(left.request, left.texts, self._runs, None)
        if problem:
            yield Violation(left.at, "answers", left.request, problem)


def _promises_not_run(answer: AnswerSeen) -> bool:
    return answer.end is AnswerEnd.WHOLE and answer.status in PROMISES_NOT_RUN


def _broken(event: RunBegan | AnswerSeen, promise: str, message: str) -> Violation:
    return Violation(event.at, promise, event.request, message)
