"""Promises about requests that end their replicas: they are contained, and others are not."""

from collections import Counter
from collections.abc import Iterator

from cloverwalk.emulator.replica_runs import RunEnd
from cloverwalk.soak.events import AnswerSeen, RequestSent, RunBegan, RunEnded
from cloverwalk.soak.replicas import CRASHING_BODY, digest
from cloverwalk.soak.violations import CONTACT_S, Disturbances, Violation

CONTAINED_CODE = "request_contained"
CRASHES = 3
"""Replicas that may end before anybody has to know; a rule of the platform, as the next one."""

MOST_RETRIES = 3
"""Times that such a request may reach a replica after that, sent by nodes that nothing disturbs."""


class CrashChecks:
    """Follows what replicas ended under, by the bodies that they ran."""

    def __init__(self, disturbances: Disturbances) -> None:
        self._disturbances = disturbances
        self._guilty = digest(CRASHING_BODY)
        self._node_by_request: dict[str, str] = {}
        self._body_by_request: dict[str, str] = {}
        self._body_by_run: dict[int, str] = {}
        self._crashes: Counter[str] = Counter()
        """Replicas that ended while they ran a body."""

        self._third_at = float("inf")
        self._retries = 0

    def take(self, event: object) -> Iterator[Violation]:
        """Follow an event."""
        match event:
            case RequestSent():
                self._node_by_request[event.request] = event.node
                self._body_by_request[event.request] = event.body
            case RunBegan():
                self._body_by_run[event.run] = event.body
                yield from self._on_run(event)
            case RunEnded():
                self._on_end(event)
            case AnswerSeen() if event.code == CONTAINED_CODE:
                yield from self._on_contained(event)

    def _on_run(self, run: RunBegan) -> Iterator[Violation]:
        node = self._node_by_request.get(run.request)
        if run.body != self._guilty or node is None or run.at <= self._third_at + CONTACT_S:
            return
        if not self._disturbances.is_calm(run.at, run.at, node):
            return
        self._retries += 1
        if self._retries > MOST_RETRIES:
            message = f"sent {self._retries} times since three replicas ended under it"
            yield Violation(run.at, "containment", run.request, message)

    def _on_end(self, ended: RunEnded) -> None:
        body = self._body_by_run.get(ended.run, "")
        if ended.end != RunEnd.CRASHED.value:
            return
        self._crashes[body] += 1
        if body == self._guilty and self._crashes[body] == CRASHES:
            self._third_at = ended.at

    def _on_contained(self, answer: AnswerSeen) -> Iterator[Violation]:
        body = self._body_by_request.get(answer.request, "")
        if body == self._guilty:
            # A replica may end while the request waits there: nodes count that, too.
            return
        if self._crashes[body] < CRASHES:
            message = f"contained, though {self._crashes[body]} replicas ended under it"
            yield Violation(answer.at, "containment", answer.request, message)
