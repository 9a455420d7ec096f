"""Creates the reports of a node from its state and from what is recorded between reports."""

from collections import Counter, deque

from cloverwalk.core.warmup_limit import earliest_grant
from cloverwalk.fleet.crash_record_sync import CrashRecordSync
from cloverwalk.fleet.identity import Identity
from cloverwalk.fleet.in_flight import InFlightTracker
from cloverwalk.fleet.messages import (
    ItemTiming,
    NodeLoad,
    Orders,
    PlacementRequest,
    Report,
    RequestTiming,
    WorkCorrection,
)
from cloverwalk.gateway.configuration import ConfigurationHolder
from cloverwalk.gateway.replicas import ReplicaDirectory
from cloverwalk.gateway.zone_drains import ZoneDrains
from cloverwalk.store.health import StoreHealth

MAX_ITEM_TIMINGS = 16
"""Maximum number of item timings in one report, about 600 bytes; the newest are kept."""

MAX_STORE_AGE_MS = 1_000_000
"""Upper bound of the reported age of the store's last answer; sent while it is unavailable."""

SEQUENCES_PER_S = 1000
"""Sequence numbers follow the machine's monotonic clock, so that a restarted node does not reuse
numbers of its previous process, which the coordinator's orders may still name."""

MAX_KEPT_SEND_TIMES = 512
"""Number of reports whose send times are kept; at most a hundred are sent per second."""


class ReportMaker:
    """Collects the contents of the next report. Timings and corrections are reported once."""

    def __init__(
        self,
        identity: Identity,
        loads: InFlightTracker,
        configuration: ConfigurationHolder,
        directory: ReplicaDirectory,
        health: StoreHealth,
        crash_records: CrashRecordSync,
        zone_drains: ZoneDrains,
    ) -> None:
        self._identity = identity
        self._loads = loads
        self._configuration = configuration
        self._directory = directory
        self._health = health
        self._crash_records = crash_records
        self._zone_drains = zone_drains
        self.polls_configuration = False
        """Whether this node gets the configuration from other nodes."""

        self._request_timings: list[RequestTiming] = []
        self._corrections: Counter[tuple[str, int]] = Counter()
        self._item_timings: deque[ItemTiming] = deque(maxlen=MAX_ITEM_TIMINGS)
        self._sequence = 0
        self._sent_at: dict[int, float] = {}
        """Send times of recent reports by sequence number, oldest first."""

    def record_request_timing(self, timing: RequestTiming) -> None:
        """Add the timing of an answered request to the next report."""
        self._request_timings.append(timing)

    def record_work_correction(self, tenant: str, rank: int, extra_ms: int) -> None:
        """Add the difference between actual and expected slot time of an item."""
        self._corrections[tenant, rank] += extra_ms

    def record_item_timing(self, timing: ItemTiming) -> None:
        """Add the timing of an item's run to the next report."""
        self._item_timings.append(timing)

    def sent_at(self, sequence: int) -> float | None:
        """Return when a report was sent (monotonic clock, seconds), None if no longer known."""
        return self._sent_at.get(sequence)

    def earliest_decision_time(self, orders: Orders) -> float:
        """Return a lower bound of the time at which the decisions in orders were made.

        This is minus infinity if the send time of the report that they name is unknown.
        """
        sent_at = self.sent_at(orders.report_sequence)
        if sent_at is None:
            return float("-inf")
        return earliest_grant(sent_at, orders.report_age_ms / 1000)

    def make(self, now: float, placement_requests: list[PlacementRequest]) -> Report:
        """Return the next report; the caller sets the fields that depend on the receiver."""
        self._sequence = max(self._sequence + 1, int(now * SEQUENCES_PER_S))
        self._record_send_time(now)
        is_unavailable = self._health.is_unavailable
        report = Report(
            self._identity.node,
            self._identity.run,
            self._identity.zone,
            self._sequence,
            0,
            self._configuration.version,
            self._directory.fingerprint,
            MAX_STORE_AGE_MS
            if is_unavailable
            else int(min(MAX_STORE_AGE_MS, self._health.ms_since_answer())),
            self._identity.cores,
            self._node_loads(),
            suspects=self._directory.suspects(now),
            placement_requests=placement_requests,
            request_timings=self._request_timings,
            crash_records=self._crash_records.records_for_report(),
            crash_digest=self._crash_records.ledger.digest,
            item_timings=list(self._item_timings),
            corrections=self._pop_corrections(),
            zone_drains=self._zone_drains.copy(now),
            configuration_age_ms=self._configuration.age_ms(now),
            polls_configuration=self.polls_configuration,
            store_round_trip_ms=self._health.round_trip_ms,
        )
        self._request_timings = []
        self._item_timings.clear()
        return report

    def _node_loads(self) -> dict[str, NodeLoad]:
        return {
            key: NodeLoad(
                in_flight.online, in_flight.batch, in_flight.tokens, in_flight.batch_tokens
            )
            for key, in_flight in self._loads.by_replica.items()
        }

    def _pop_corrections(self) -> list[WorkCorrection]:
        corrections, self._corrections = self._corrections, Counter()
        return [WorkCorrection(*key, extra_ms) for key, extra_ms in corrections.items()]

    def _record_send_time(self, now: float) -> None:
        self._sent_at[self._sequence] = now
        if len(self._sent_at) > MAX_KEPT_SEND_TIMES:
            del self._sent_at[next(iter(self._sent_at))]
