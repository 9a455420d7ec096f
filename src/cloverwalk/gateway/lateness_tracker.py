"""Finds the causes of late requests of this node."""

from cloverwalk.gateway.messages import ClientRequest
from cloverwalk.gateway.progress import RequestProgress
from cloverwalk.scheduling.service_times import ServiceTimes
from cloverwalk.telemetry.lateness import RequestTimes, request_cause
from cloverwalk.telemetry.metrics import ServingMetrics


class LatenessTracker:
    """Counts late requests by cause, compared with the usual times of their routes."""

    def __init__(self, metrics: ServingMetrics) -> None:
        self._metrics = metrics
        self._service_times = ServiceTimes()

    def record(self, request: ClientRequest, progress: RequestProgress) -> str | None:
        """Return the cause of a late first event; None if it was in time or there was none."""
        first_at, sent_at = progress.first_event_at, progress.sent_at
        if first_at is None or sent_at is None:
            return None
        route = progress.route
        failures = len(progress.tried) + len(progress.refused)
        cause = request_cause(
            RequestTimes(
                route.target_latency_s * 1000,
                (first_at - request.received_at) * 1000,
                (sent_at - request.received_at) * 1000,
                progress.expected_wait_ms,
                self._service_times.first_event_ms(route.name),
                progress.was_queued,
                failures,
            )
        )
        if cause is None:
            if not failures and progress.expected_wait_ms == 0:
                self._service_times.record_start(route.name, (first_at - sent_at) * 1000)
            return None
        self._metrics.request_late(route.name, cause.value)
        return cause.value
