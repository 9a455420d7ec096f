"""Checks online requests: number of runs, refusals, answers, API keys and routes."""

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
from cloverwalk.soak.processes import STOP_GRACE_S
from cloverwalk.soak.texts import RunFact, find_text_problem
from cloverwalk.soak.violations import Disturbances, Versions, Violation

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""A whole answer with one of these promises that no replica ran the request."""

MAX_RUN_AFTER_DISCONNECT_S = 5.0
"""How long a run may go on after its client disconnected, if nothing is disturbed. The platform's
rule is half a second; the margin allows for a busy machine."""

DEADLINE_MARGIN_S = 0.5
"""Answers are not checked for cuts by a planned stop this long before their client's deadline, at
which a stream is aborted."""

EXCUSED_SENT_S = 3.0
"""A planned stop may cut a request that was sent up to this long after it, if that was still at
work in the last ``EXCUSED_GRACE_SHARE`` of the grace time; the platform's rule."""

EXCUSED_GRACE_SHARE = 1 / 6


@attrs.define
class _Request:
    sent: RequestSent
    reported_version: int
    """Configuration version that its node had reported when it was sent."""

    written_version: int
    runs: list[RunBegan] = attrs.Factory(list)
    ends: dict[int, str] = attrs.Factory(dict)
    answer: AnswerSeen | None = None
    disconnect: ClientLeft | None = None


def find_route(configuration: ConfigurationWritten, target: str) -> RouteFact | None:
    """Return the route with the longest prefix of a target."""
    routes = [route for route in configuration.routes if target.startswith(route.prefix)]
    return max(routes, key=lambda route: len(route.prefix), default=None)


def find_tenant(configuration: ConfigurationWritten, key: str) -> TenantFact | None:
    """Return the tenant that holds a key."""
    return next((tenant for tenant in configuration.tenants if key in tenant.keys), None)


class RequestChecks:
    """Tracks every online request, its runs and its answer."""

    def __init__(self, versions: Versions, disturbances: Disturbances) -> None:
        self._versions = versions
        self._disturbances = disturbances
        self._requests: dict[str, _Request] = {}
        self._runs: dict[int, RunFact] = {}
        self.answer_counts: dict[str, int] = {}

    def has_request(self, request: str) -> bool:
        """Whether an id belongs to an online request."""
        return request in self._requests

    def node_of(self, request: str) -> str:
        """Return the node that got an online request, an empty string for others."""
        return self._requests[request].sent.node if request in self._requests else ""

    def handle(self, event: object) -> Iterator[Violation]:
        """Process an event and yield the violations that it shows."""
        match event:
            case RequestSent():
                reported_version = self._versions.reported_version(event.node)
                written_version = (
                    self._versions.written[-1].version if self._versions.written else 0
                )
                self._requests[event.request] = _Request(event, reported_version, written_version)
            case RunBegan() if event.request in self._requests:
                yield from self._on_run(self._requests[event.request], event)
            case RunEnded() if event.request in self._requests:
                yield from self._on_end(self._requests[event.request], event)
            case AnswerSeen():
                yield from self._on_answer(event)
            case ClientLeft():
                yield from self._on_disconnect(event)
            case AllQuiet():
                yield from self._on_all_quiet(event)

    # --- runs ---

    def _on_run(self, request: _Request, run: RunBegan) -> Iterator[Violation]:
        request.runs.append(run)
        self._runs[run.run] = RunFact(run.run, run.request, run.last_event)
        sent = request.sent
        if (run.method, run.target, run.body) != (sent.method, sent.target, sent.body):
            yield _violation(run, "unasked", "method, target or body differ from the client's")
        if sent.is_part:
            yield _violation(run, "unasked", "it runs though only part of it was sent")
        if len(request.runs) > 1 and not sent.may_repeat:
            runs = [earlier.run for earlier in request.runs]
            yield _violation(run, "run twice", f"runs {runs} of a request that may run only once")
        yield from self._check_attempts(request, run)
        if request.answer is not None and _promises_not_run(request.answer):
            yield _violation(
                run, "refused and run", f"it runs after it was answered {request.answer.status}"
            )
        yield from self._check_caller(request, run)
        yield from self._check_route(request, run)

    def _check_attempts(self, request: _Request, run: RunBegan) -> Iterator[Violation]:
        routes = [find_route(version, run.target) for version in self._versions.written]
        max_attempts = max((route.max_attempts for route in routes if route is not None), default=0)
        if max_attempts and len(request.runs) > max_attempts:
            yield _violation(
                run, "attempts", f"run {len(request.runs)}, at most {max_attempts} are allowed"
            )

    def _check_caller(self, request: _Request, run: RunBegan) -> Iterator[Violation]:
        key = request.sent.key
        versions = list(self._versions.possible_versions(request.reported_version))
        routes = [find_route(version, run.target) for version in self._versions.written]
        is_public = any(route is not None and route.is_public for route in routes)
        if run.has_key:
            yield _violation(run, "keys", "the API key was passed on to the replica")
        holders = [find_tenant(version, key) for version in versions]
        names = {tenant.name for tenant in holders if tenant is not None}
        if is_public:
            names.add("")
        elif not any(find_tenant(version, key) for version in self._versions.written):
            yield _violation(run, "keys", "it runs with an API key that no tenant ever had")
            return
        elif not names:
            yield _violation(run, "keys", "it runs with a revoked API key")
            return
        if (run.tenant or "") not in names:
            yield _violation(run, "keys", f"tenant {run.tenant!r} is not one of {sorted(names)}")

    def _check_route(self, request: _Request, run: RunBegan) -> Iterator[Violation]:
        routes = [
            find_route(version, run.target)
            for version in self._versions.possible_versions(request.reported_version)
        ]
        services = {name for route in routes if route is not None for name in route.services}
        if not services:
            yield _violation(run, "routes", "it runs on a route that does not exist")
        elif run.service not in services:
            yield _violation(
                run, "routes", f"service {run.service} is not one of {sorted(services)}"
            )

    def _on_end(self, request: _Request, ended: RunEnded) -> Iterator[Violation]:
        request.ends[ended.run] = ended.end
        if request.disconnect is not None:
            yield from self._check_disconnected(request, ended.run, ended.at)

    def _check_disconnected(self, request: _Request, run: int, until: float) -> Iterator[Violation]:
        """Report a run that went on too long after its client disconnected."""
        assert request.disconnect is not None
        left_at, node = request.disconnect.at, request.sent.node
        latest_end = left_at + MAX_RUN_AFTER_DISCONNECT_S
        if until < latest_end or not self._disturbances.is_connection_calm(
            left_at, latest_end, node
        ):
            return
        message = f"run {run} went on for {until - left_at:.1f} s after its client disconnected"
        yield Violation(until, "gone clients", request.sent.request, message)

    def _on_all_quiet(self, event: AllQuiet) -> Iterator[Violation]:
        running = set(event.running)
        for request in self._requests.values():
            for run in request.runs:
                if run.run not in running:
                    continue
                if request.disconnect is not None:
                    yield from self._check_disconnected(request, run.run, event.at)

    # --- answers ---

    def _on_answer(self, answer: AnswerSeen) -> Iterator[Violation]:
        if answer.end is AnswerEnd.UNASKED:
            yield Violation(
                answer.at, "answers", "", "bytes were received while no request was pending"
            )
            return
        request = self._requests[answer.request]
        request.answer = answer
        self._count(answer)
        if answer.end is AnswerEnd.INVALID:
            yield _violation(answer, "answers", "received bytes are not a valid answer")
        if _promises_not_run(answer) and request.runs:
            runs = [run.run for run in request.runs]
            yield _violation(
                answer, "refused and run", f"answered {answer.status} after runs {runs}"
            )
        if answer.status and answer.answered_id not in ("", answer.request):
            yield _violation(
                answer, "answers", f"the answer belongs to request {answer.answered_id!r}"
            )
        if 200 <= answer.status < 300:
            yield from self._check_success(request, answer)
        elif answer.is_signed and answer.status >= 400 and answer.end is AnswerEnd.WHOLE:
            yield from self._check_failure(request, answer)
        yield from self._check_denial(request, answer)
        yield from self._check_planned_stop(request, answer)

    def _count(self, answer: AnswerSeen) -> None:
        name = str(answer.status) if answer.end is AnswerEnd.WHOLE else answer.end.value
        self.answer_counts[name] = self.answer_counts.get(name, 0) + 1

    def _check_success(self, request: _Request, answer: AnswerSeen) -> Iterator[Violation]:
        if not answer.is_signed:
            yield _violation(answer, "answers", "success without a signature")
        if answer.answered_id != answer.request:
            yield _violation(answer, "answers", "success without the id of the request")
        if not request.runs:
            yield _violation(answer, "answers", "success though no replica ran the request")
        sent = request.sent
        expected_events = sent.events if answer.end is AnswerEnd.WHOLE else None
        problem = find_text_problem(
            answer.request, answer.texts, self._runs, expected_events, sent.last_event
        )
        if problem:
            yield _violation(answer, "answers", problem)

    def _check_failure(self, request: _Request, answer: AnswerSeen) -> Iterator[Violation]:
        statuses = {RunEnd.FAILED.value: 500, RunEnd.IMPOSSIBLE.value: 422}
        replica_statuses = {statuses.get(end) for end in request.ends.values()}
        if answer.status not in replica_statuses:
            yield _violation(answer, "answers", f"no replica answered {answer.status}")

    def _check_denial(self, request: _Request, answer: AnswerSeen) -> Iterator[Violation]:
        versions = list(self._versions.possible_versions(request.reported_version))
        if answer.status == 404 and all(
            find_route(version, request.sent.target) is not None for version in versions
        ):
            yield _violation(answer, "denied", "404 though its route exists")
        if answer.status == 401 and all(
            self._is_authorized(version, request.sent) for version in versions
        ):
            yield _violation(answer, "denied", "401 though its API key is valid")

    def _is_authorized(self, configuration: ConfigurationWritten, sent: RequestSent) -> bool:
        route = find_route(configuration, sent.target)
        is_public = route is not None and route.is_public
        return is_public or find_tenant(configuration, sent.key) is not None

    def _check_planned_stop(self, request: _Request, answer: AnswerSeen) -> Iterator[Violation]:
        """Report a request whose answer a planned stop cut off after a replica had started it."""
        if answer.end is AnswerEnd.WHOLE or not request.runs:
            return
        ends = {request.ends.get(run.run) for run in request.runs}
        if ends & {RunEnd.CUT.value, RunEnd.CRASHED.value}:
            return
        sent = request.sent
        if answer.at - sent.at > sent.deadline_s - DEADLINE_MARGIN_S:
            return
        stopped_at = self._disturbances.last_planned_stop(sent.node, answer.at)
        if stopped_at is not None and sent.at <= stopped_at + EXCUSED_SENT_S:
            last_part_s = STOP_GRACE_S * (1 - EXCUSED_GRACE_SHARE)
            if answer.at >= stopped_at + last_part_s:
                return
        if self._disturbances.is_calm(sent.at, answer.at, sent.node, ignore_planned_stops=True):
            yield _violation(answer, "lost", "the answer was cut off though nothing was disturbed")

    def _on_disconnect(self, disconnect: ClientLeft) -> Iterator[Violation]:
        request = self._requests[disconnect.request]
        request.disconnect = disconnect
        name = "left" if disconnect.is_planned else "gave up"
        self.answer_counts[name] = self.answer_counts.get(name, 0) + 1
        after_event = request.sent.last_event
        problem = find_text_problem(
            disconnect.request, disconnect.texts, self._runs, None, after_event
        )
        if problem:
            yield Violation(disconnect.at, "answers", disconnect.request, problem)


def _promises_not_run(answer: AnswerSeen) -> bool:
    return answer.end is AnswerEnd.WHOLE and answer.status in NOT_RUN_STATUSES


def _violation(event: RunBegan | AnswerSeen, promise: str, message: str) -> Violation:
    return Violation(event.at, promise, event.request, message)
