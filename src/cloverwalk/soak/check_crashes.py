"""Checks that only requests that crash their replicas are contained, and in time."""

from collections import Counter
from collections.abc import Iterator

import attrs

from cloverwalk.emulator.replica_runs import RunEnd
from cloverwalk.soak.events import AnswerSeen, RequestSent, RunBegan, RunEnded
from cloverwalk.soak.replicas import CRASHING_BODY, digest
from cloverwalk.soak.violations import RECOVERY_S, Disturbances, Violation

CONTAINED_CODE = "request_contained"
CRASHES_BEFORE_CONTAINMENT = 3
"""Replicas that may crash before the nodes must contain the request; the platform's rule."""

MAX_RUNS_AFTER_CONTAINMENT = 3
"""Runs of such a request that undisturbed nodes may still start; the platform's rule."""


PART_CRASHES_BEFORE_CONTAINMENT = 5
"""The same for a part of prompts; the platform's rule."""


@attrs.define
class _PartState:
    """What is known of a part that crashes replicas."""

    crashes: int = 0
    last_allowed_crash_at: float = float("inf")
    late_runs: int = 0


class CrashChecks:
    """Counts replica crashes by the body of the request that was running."""

    def __init__(self, disturbances: Disturbances) -> None:
        self._disturbances = disturbances
        self._crashing_body_digest = digest(CRASHING_BODY)
        self._node_by_request: dict[str, str] = {}
        self._body_by_request: dict[str, str] = {}
        self._body_by_run: dict[int, str] = {}
        self._crashes: Counter[str] = Counter()
        """Replica crashes by body digest."""

        self._third_crash_at = float("inf")
        self._runs_after_third_crash = 0
        self._guilty_part_by_request: dict[str, str] = {}
        self._request_by_run: dict[int, str] = {}
        self._parts: dict[str, _PartState] = {}
        """By the id of each part that crashes replicas."""

    def handle(self, event: object) -> Iterator[Violation]:
        """Process an event and yield the violations that it shows."""
        match event:
            case RequestSent():
                self._node_by_request[event.request] = event.node
                self._body_by_request[event.request] = event.body
                self._guilty_part_by_request[event.request] = event.guilty_part
            case RunBegan():
                self._body_by_run[event.run] = event.body
                self._request_by_run[event.run] = event.request
                yield from self._on_run(event)
                yield from self._on_guilty_run(event)
            case RunEnded():
                self._on_end(event)
                self._on_guilty_end(event)
            case AnswerSeen() if event.code == CONTAINED_CODE:
                yield from self._on_contained(event)

    def _on_run(self, run: RunBegan) -> Iterator[Violation]:
        node = self._node_by_request.get(run.request)
        if (
            run.body != self._crashing_body_digest
            or node is None
            or run.at <= self._third_crash_at + RECOVERY_S
        ):
            return
        if not self._disturbances.is_calm(run.at, run.at, node):
            return
        self._runs_after_third_crash += 1
        if self._runs_after_third_crash > MAX_RUNS_AFTER_CONTAINMENT:
            message = f"sent {self._runs_after_third_crash} times since it crashed three replicas"
            yield Violation(run.at, "containment", run.request, message)

    def _on_guilty_run(self, run: RunBegan) -> Iterator[Violation]:
        part_id = self._guilty_part_by_request.get(run.request, "")
        node = self._node_by_request.get(run.request, "")
        part = self._parts.get(part_id)
        if not part_id or part is None or run.at <= part.last_allowed_crash_at + RECOVERY_S:
            return
        if not self._disturbances.is_calm_but_for_replicas(run.at, run.at, node):
            return
        part.late_runs += 1
        if part.late_runs > MAX_RUNS_AFTER_CONTAINMENT:
            message = f"part {part_id} sent {part.late_runs} times since it crashed five replicas"
            yield Violation(run.at, "containment", run.request, message)

    def _on_guilty_end(self, ended: RunEnded) -> None:
        part_id = self._guilty_part_by_request.get(self._request_by_run.get(ended.run, ""), "")
        if not part_id or ended.end != RunEnd.CRASHED.value:
            return
        part = self._parts.setdefault(part_id, _PartState())
        part.crashes += 1
        if part.crashes == PART_CRASHES_BEFORE_CONTAINMENT:
            part.last_allowed_crash_at = ended.at

    def _on_end(self, ended: RunEnded) -> None:
        body = self._body_by_run.get(ended.run, "")
        if ended.end != RunEnd.CRASHED.value:
            return
        self._crashes[body] += 1
        if body == self._crashing_body_digest and self._crashes[body] == CRASHES_BEFORE_CONTAINMENT:
            self._third_crash_at = ended.at

    def _on_contained(self, answer: AnswerSeen) -> Iterator[Violation]:
        body = self._body_by_request.get(answer.request, "")
        if body == self._crashing_body_digest or self._guilty_part_by_request.get(answer.request):
            # Nodes also count a crash while the request was only queued at the replica.
            return
        if self._crashes[body] < CRASHES_BEFORE_CONTAINMENT:
            message = f"contained, though it crashed only {self._crashes[body]} replicas"
            yield Violation(answer.at, "containment", answer.request, message)
