"""Checks that a node which gets most new connections serves the requests that it reads."""

from collections.abc import Iterator

import attrs

from cloverwalk.soak.events import AnswerSeen, CrowdMoved, RequestSent, RunBegan
from cloverwalk.soak.replica_room import ReplicaRoom
from cloverwalk.soak.violations import RECOVERY_S, Disturbances, Violation

MIN_SERVED_SHARE = 0.75
"""Share of the requests that a node has read which must be served; the platform's rule. Refusals
while the replicas are full do not count against it."""

MIN_REQUESTS = 20
NO_SERVICE_STATUSES = frozenset({0, 408, 421, 500, 502, 503, 504})
"""Statuses of requests that were not served; 0 is a cut answer. Others are answers."""


@attrs.define
class _OpenRequest:
    sent: RequestSent
    had_full_replicas: bool
    """Whether its replicas have been full at a time since it was sent."""


class CrowdChecks:
    """Counts the requests of each crowd of new connections."""

    def __init__(self, disturbances: Disturbances) -> None:
        self._disturbances = disturbances
        self._room = ReplicaRoom()
        self._node = ""
        self._began_at = 0.0
        self._open: dict[str, _OpenRequest] = {}
        self._read = 0
        self._served = 0
        self._refused_by_full_replicas = 0
        self.crowds = 0
        """Crowds with enough requests for a verdict."""

    def handle(self, event: object) -> Iterator[Violation]:
        """Process an event and yield the violations that it shows."""
        self._room.handle(event)
        match event:
            case CrowdMoved():
                yield from self._end(event.at)
                self._node, self._began_at = event.node, event.at
            case RequestSent() if event.is_crowd:
                is_full = self._room.is_full(event.target)
                self._open[event.request] = _OpenRequest(event, is_full)
            case RunBegan():
                self._note_full_replicas()
            case AnswerSeen():
                request = self._open.pop(event.request, None)
                if request is not None and request.sent.node == self._node:
                    self._count(request, event)

    def _note_full_replicas(self) -> None:
        for request in self._open.values():
            request.had_full_replicas |= self._room.is_full(request.sent.target)

    def _count(self, request: _OpenRequest, answer: AnswerSeen) -> None:
        sent = request.sent
        is_unread = answer.status == 0 and not answer.texts
        is_settled = sent.at > self._began_at + RECOVERY_S
        if is_unread or not is_settled:
            return
        if not self._disturbances.is_calm(sent.at, answer.at, sent.node):
            return
        is_served = answer.status not in NO_SERVICE_STATUSES
        self._read += 1
        self._served += is_served
        is_refused = not is_served and answer.status == 503
        self._refused_by_full_replicas += is_refused and request.had_full_replicas

    def _end(self, at: float) -> Iterator[Violation]:
        if self._read >= MIN_REQUESTS:
            self.crowds += 1
            by_full_replicas = self._refused_by_full_replicas
            if self._served + by_full_replicas < MIN_SERVED_SHARE * self._read:
                message = (
                    f"served {self._served} of {self._read} requests that it has read, "
                    f"{by_full_replicas} refused while the replicas were full"
                )
                yield Violation(at, "crowd", self._node, message)
        self._read = self._served = self._refused_by_full_replicas = 0
