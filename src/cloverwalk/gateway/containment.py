"""Applies containment to online requests: before each attempt, after failures and answers."""

from collections.abc import Callable

from cloverwalk.gateway import refusals
from cloverwalk.gateway.crash_detector import CrashDetector
from cloverwalk.gateway.crash_keys import RequestKeys, keys_of
from cloverwalk.gateway.crash_ledger import Containment
from cloverwalk.gateway.errors import GatewayError
from cloverwalk.gateway.messages import ClientRequest
from cloverwalk.gateway.progress import RequestProgress
from cloverwalk.gateway.replicas import Replica
from cloverwalk.telemetry.metrics import ServingMetrics


class ContainmentGate:
    """Stops requests under which replicas ended from being sent to more replicas.

    Without it, each repetition of such a request, and each other one with the part that crashes
    replicas, could end as many replicas as its route allows attempts.
    """

    def __init__(
        self, crash_detector: CrashDetector, metrics: ServingMetrics, clock: Callable[[], float]
    ) -> None:
        self._crash_detector = crash_detector
        self._ledger = crash_detector.ledger
        self._metrics = metrics
        self._clock = clock

    async def check(self, request: ClientRequest, progress: RequestProgress) -> str:
        """Return the key of a crash suspect, else ""; raise if the request is contained."""
        if progress.tried:
            await self._crash_detector.wait_for_first_probe(request.fields.request_id)
        progress.is_trial = False
        if self._ledger.is_empty:
            return ""
        if not self.may_send(request, progress):
            raise self.refusal(request, progress)
        key = self._ledger.suspect_key(_keys(request, progress))
        progress.is_crash_suspect = key is not None
        if key is None:
            return ""
        progress.is_trial = self._ledger.containment(key, self._clock()) is Containment.TRIAL_DUE
        return key

    def may_send(self, request: ClientRequest, progress: RequestProgress) -> bool:
        """Whether a request is not contained, or is a trial that is due.

        Asked before each placement request, and again after the request has waited for a replica.
        """
        if self._ledger.is_empty or progress.is_trial:
            return True
        return self._ledger.containing_key(_keys(request, progress), self._clock()) is None

    def refusal(self, request: ClientRequest, progress: RequestProgress) -> GatewayError:
        """Return the error response to a contained request."""
        keys = _keys(request, progress)
        key = self._ledger.containing_key(keys, self._clock()) or self._ledger.suspect_key(keys)
        progress.contained = key or keys.content
        progress.contained_part = keys.part_id(progress.contained)
        self._metrics.containment_changed("refused")
        return refusals.contained(progress.contained, self._ledger.crashes(progress.contained))

    async def record_failure(
        self, request: ClientRequest, progress: RequestProgress, replica: Replica, code: str
    ) -> None:
        """Record that an attempt which may have run failed at a replica."""
        await self._crash_detector.record_failure(
            request.fields.request_id, _keys(request, progress), replica, code, progress.delivery
        )

    async def record_unreachable(self, replica: Replica) -> None:
        """Record that no connection to a replica could be opened."""
        await self._crash_detector.record_unreachable(replica)

    async def record_answer(
        self,
        request: ClientRequest,
        progress: RequestProgress,
        replica: Replica,
        *,
        ends_with_connection: bool,
    ) -> None:
        """Record that a replica answered the request, whole as far as its connection shows."""
        await self._crash_detector.record_answer(
            request.fields.request_id,
            _keys(request, progress),
            replica,
            progress.delivery,
            ends_with_connection=ends_with_connection,
        )


def _keys(request: ClientRequest, progress: RequestProgress) -> RequestKeys:
    if progress.crash_keys is None:
        progress.crash_keys = keys_of(request)
    return progress.crash_keys
