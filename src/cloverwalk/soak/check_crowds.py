"""Checks that a node which gets most new connections serves the requests that it reads."""

from collections.abc import Iterator

from cloverwalk.soak.events import AnswerSeen, CrowdMoved, RequestSent
from cloverwalk.soak.violations import RECOVERY_S, Disturbances, Violation

MIN_SERVED_SHARE = 0.75
"""Share of the requests that a node has read which must be served; the platform's rule."""

MIN_REQUESTS = 20
NO_SERVICE_STATUSES = frozenset({0, 408, 421, 500, 502, 503, 504})
"""Statuses of requests that were not served; 0 is a cut answer. Others are answers."""


class CrowdChecks:
    """Counts the requests of each crowd of new connections."""

    def __init__(self, disturbances: Disturbances) -> None:
        self._disturbances = disturbances
        self._node = ""
        self._began_at = 0.0
        self._open: dict[str, RequestSent] = {}
        self._read = 0
        self._served = 0
        self.crowds = 0
        """Crowds with enough requests for a verdict."""

    def handle(self, event: object) -> Iterator[Violation]:
        """Process an event and yield the violations that it shows."""
        match event:
            case CrowdMoved():
                yield from self._end(event.at)
                self._node, self._began_at = event.node, event.at
            case RequestSent() if event.is_crowd:
                self._open[event.request] = event
            case AnswerSeen():
                sent = self._open.pop(event.request, None)
                if sent is not None and sent.node == self._node:
                    self._count(sent, event)

    def _count(self, sent: RequestSent, answer: AnswerSeen) -> None:
        is_unread = answer.status == 0 and not answer.texts
        is_settled = sent.at > self._began_at + RECOVERY_S
        if is_unread or not is_settled:
            return
        if not self._disturbances.is_calm(sent.at, answer.at, sent.node):
            return
        self._read += 1
        self._served += answer.status not in NO_SERVICE_STATUSES

    def _end(self, at: float) -> Iterator[Violation]:
        if self._read >= MIN_REQUESTS:
            self.crowds += 1
            if self._served < MIN_SERVED_SHARE * self._read:
                message = f"served {self._served} of {self._read} requests that it has read"
                yield Violation(at, "crowd", self._node, message)
        self._read = self._served = 0
