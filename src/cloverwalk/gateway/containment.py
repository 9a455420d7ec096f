"""Applies containment to online requests: before each attempt, after failures and answers."""

from cloverwalk.gateway import refusals
from cloverwalk.gateway.content_hash import hash_request
from cloverwalk.gateway.crash_detector import CrashDetector
from cloverwalk.gateway.errors import GatewayError
from cloverwalk.gateway.messages import ClientRequest
from cloverwalk.gateway.progress import RequestProgress
from cloverwalk.gateway.replicas import Replica
from cloverwalk.telemetry.metrics import ServingMetrics


class ContainmentGate:
    """Stops requests under which replicas ended from being sent to more replicas.

    Without it, each repetition of such a request could end as many replicas as its route allows
    attempts.
    """

    def __init__(self, crash_detector: CrashDetector, metrics: ServingMetrics) -> None:
        self._crash_detector = crash_detector
        self._metrics = metrics

    async def check(self, request: ClientRequest, progress: RequestProgress) -> str:
        """Return the content hash of a crash suspect, else ""; raise if it is contained."""
        if progress.tried:
            await self._crash_detector.wait_for_first_probe(hash_request(request))
        if self._crash_detector.ledger.is_empty:
            return ""
        content = hash_request(request)
        if self._crash_detector.is_contained(content):
            raise self.refusal(request, progress)
        progress.is_crash_suspect = self._crash_detector.is_crash_suspect(content)
        return content if progress.is_crash_suspect else ""

    def refusal(self, request: ClientRequest, progress: RequestProgress) -> GatewayError:
        """Return the error response to a contained request."""
        content = progress.contained = hash_request(request)
        self._metrics.containment_changed("refused")
        return refusals.contained(content, self._crash_detector.ledger.crashes(content))

    async def record_failure(
        self, request: ClientRequest, progress: RequestProgress, replica: Replica, code: str
    ) -> None:
        """Record that an attempt which may have run failed at a replica."""
        request_id, content = request.fields.request_id, hash_request(request)
        await self._crash_detector.record_failure(
            request_id, content, replica, code, progress.delivery
        )

    def record_answer(self, request: ClientRequest) -> None:
        """Record that a replica answered the request whole."""
        self._crash_detector.record_answer(hash_request(request))
