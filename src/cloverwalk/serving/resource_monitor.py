"""Measures the utilization of this machine and passes it to other components."""

from collections.abc import Callable

import curio

from cloverwalk.core import catalogue
from cloverwalk.fleet.coordinator_client import CoordinatorClient
from cloverwalk.gateway.connection_admission import ConnectionAdmission
from cloverwalk.gateway.memory_budget import BUDGET_SHARE, MemoryBudget
from cloverwalk.gateway.overload_monitor import (
    MachineCapacity,
    OverloadMonitor,
    OverloadState,
    Usage,
)
from cloverwalk.gateway.server import GatewayServer
from cloverwalk.jobs.runner import BatchRunner
from cloverwalk.serving.settings import ServingSettings
from cloverwalk.telemetry.log import ServingLog
from cloverwalk.telemetry.metrics import ServingMetrics

CHECK_INTERVAL_S = 0.5
"""Shorter than the second between the readiness probes of the platform."""

HAND_OVER_AFTER_S = 3.0
"""A coordinator that was overloaded for this time hands its role over. Each node sends at least two
reports in that time, so the utilization of the standby is not a momentary value."""


class ResourceMonitor:
    """Samples the use of the machine's resources while its loop runs."""

    def __init__(
        self,
        settings: ServingSettings,
        max_connections: int,
        client_server: GatewayServer,
        runner: BatchRunner,
        coordinator_client: CoordinatorClient,
        log: ServingLog,
        clock: Callable[[], float],
        processor_s: Callable[[], float],
    ) -> None:
        budget_bytes = int(BUDGET_SHARE * settings.machine.memory_bytes)
        capacity = MachineCapacity(
            max_connections,
            settings.machine.link_bytes_per_s,
            min(1.0, settings.cores),
            budget_bytes,
        )
        self.memory_budget = MemoryBudget(budget_bytes)
        self.overload_monitor = OverloadMonitor(capacity, clock())
        self._client_server = client_server
        self._runner = runner
        self._coordinator_client = coordinator_client
        self._log = log
        self._clock = clock
        self._processor_s = processor_s
        self._is_logged_full = False
        self.connection_admission = ConnectionAdmission()
        self._logged_closed = 0
        client_server.memory_budget = self.memory_budget
        client_server.admission = self
        coordinator_client.on_zone_utilization = self._on_zone_utilization

    @property
    def is_overloaded(self) -> bool:
        """Whether the node refuses new requests and jobs."""
        return self.overload_monitor.state is OverloadState.OVERLOADED

    def admit(self) -> bool:
        """Whether the next connection of a client is read."""
        now = self._clock()
        return self.connection_admission.admit(self.overload_monitor.has_peer_with_room(now), now)

    def record_start(self, delay_s: float) -> None:
        """Record the time between the acceptance of a connection and its first step."""
        self.connection_admission.record_start(delay_s, self._clock())

    def reserve_for_job(self, size_bytes: int) -> bool:
        """Reserve memory for the bodies of a job; return False if the budget does not suffice."""
        if not self.memory_budget.has_capacity_for_job(size_bytes):
            return False
        # The next check replaces this sum by the bytes of the jobs that were in fact accepted.
        self.memory_budget.job_bytes += size_bytes
        return True

    def must_hand_over(self) -> bool:
        """Whether this node should hand over the coordinator role."""
        return self.overload_monitor.overloaded_for_s(self._clock()) >= HAND_OVER_AFTER_S

    def update_metrics(self, metrics: ServingMetrics) -> None:
        """Set the metrics of this machine's resources."""
        metrics.utilization = {
            resource.value: share for resource, share in self.overload_monitor.by_resource.items()
        }
        metrics.gauge(
            "cloverwalk_held_bytes",
            "Buffered for clients, replicas and jobs",
            self.memory_budget.total_bytes,
        )
        dropped_readers = self.memory_budget.dropped_readers_total
        metrics.gauge(
            "cloverwalk_connections_closed_unread",
            "New connections closed because the event loop was late",
            self.connection_admission.closed,
        )
        metrics.gauge(
            "cloverwalk_readers_given_up", "Clients dropped for not reading", dropped_readers
        )

    async def run(self) -> None:
        """Check periodically until cancelled."""
        while True:
            due_at = self._clock() + CHECK_INTERVAL_S
            await curio.sleep(CHECK_INTERVAL_S)
            self.check(max(0.0, self._clock() - due_at))

    def check(self, late_s: float) -> None:
        """Update the overload state from the current use; the loop woke up ``late_s`` late."""
        self.memory_budget.job_bytes = self._runner.buffered_bytes
        usage = Usage(
            self.memory_budget.sent_bytes,
            self._processor_s(),
            self._client_server.connection_count,
            self.memory_budget.total_bytes,
            late_s,
        )
        if not self.overload_monitor.update(usage, self._clock()):
            self._log.write(catalogue.FULLNESS_INVALID, usage=repr(usage))
        # 0 means that the utilization is not measured.
        self._coordinator_client.utilization_percent = max(
            1, round(100 * self.overload_monitor.utilization)
        )
        self._log_state_change()
        self._log_dropped_readers()
        self._log_closed_connections()

    def _on_zone_utilization(self, percent: int) -> None:
        if not self.overload_monitor.set_peer_utilization(percent, self._clock()):
            self._log.write(catalogue.FULLNESS_INVALID, zone_percent=percent)

    def _log_state_change(self) -> None:
        is_full = self.overload_monitor.state is not OverloadState.NORMAL
        if is_full == self._is_logged_full:
            return
        self._is_logged_full = is_full
        self._log.write(
            catalogue.NODE_FULL if is_full else catalogue.NODE_TAKES_AGAIN,
            verdict=self.overload_monitor.state.value,
            scarcest=self.overload_monitor.scarcest.value,
            percent=self._coordinator_client.utilization_percent,
            **{
                resource.value: round(100 * share)
                for resource, share in self.overload_monitor.by_resource.items()
            },
        )

    def _log_closed_connections(self) -> None:
        """Write one line for all connections that were closed unread since the previous check."""
        admission = self.connection_admission
        closed = admission.closed - self._logged_closed
        self._logged_closed = admission.closed
        if closed:
            share = round(admission.closed_share(self._clock()), 2)
            self._log.write(catalogue.CONNECTIONS_CLOSED_UNREAD, connections=closed, share=share)

    def _log_dropped_readers(self) -> None:
        """Write one line for all clients that were dropped since the previous check."""
        dropped = self.memory_budget.pop_dropped_readers()
        if dropped.count == 0:
            return
        self._log.write(
            catalogue.READERS_GIVEN_UP,
            clients=dropped.count,
            most_bytes=dropped.max_bytes,
            longest_s=round(dropped.max_stalled_s, 2),
            held_bytes=self.memory_budget.total_bytes,
            limit_bytes=self.memory_budget.limit_bytes,
        )
