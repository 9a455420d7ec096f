"""Assigns replica slots to online requests and items. A policy without I/O; time is passed in.

Online requests are placed at once, refused with a retry-after time, or queued until a slot is free.
Items get the slots that online requests leave, in one order over the whole fleet, and are preempted
when an online request needs their slot.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from random import Random

from cloverwalk.core.warmup_limit import WarmupBounds
from cloverwalk.fleet.messages import (
    ItemTiming,
    NodeLoad,
    Report,
    RequestTiming,
    SlowdownEstimate,
    WaitingByPool,
)
from cloverwalk.gateway.configuration import ConfigurationHolder
from cloverwalk.gateway.crash_ledger import CrashLedger
from cloverwalk.gateway.replicas import ReplicaDirectory
from cloverwalk.gateway.warmups import Warmups
from cloverwalk.scheduling.batch import BatchGrants, StoreTimeMs
from cloverwalk.scheduling.decisions import Decisions, Outbox
from cloverwalk.scheduling.features import Feature, Features
from cloverwalk.scheduling.online import OnlineQueue
from cloverwalk.scheduling.quotas import FleetQuotas, QuotaBounds
from cloverwalk.scheduling.regions import Regions
from cloverwalk.scheduling.replica_load_tracker import ReplicaLoadTracker
from cloverwalk.scheduling.replica_memory import ReplicaMemory
from cloverwalk.scheduling.replica_view import ReplicaView
from cloverwalk.scheduling.resumptions import Resumptions
from cloverwalk.scheduling.service_times import ServiceTimes
from cloverwalk.scheduling.slot_time import ReplicaUse
from cloverwalk.scheduling.slowdown import Measurement, ReplicaSlowdowns
from cloverwalk.scheduling.warmup_tokens import WarmupTokens
from cloverwalk.scheduling.zone_reachability import ZoneReachability


class Scheduler:
    """Decides for the nodes that report to it. ``pop_decisions`` returns what to send to them."""

    def __init__(
        self,
        directory: ReplicaDirectory,
        configuration: ConfigurationHolder,
        times: ServiceTimes,
        quota_bounds: QuotaBounds,
        ledger: CrashLedger,
        random: Random,
        features: Features | None = None,
        warmups: Warmups | None = None,
        warmup_bounds: WarmupBounds | None = None,
        regions: Regions | None = None,
        resumptions: Resumptions | None = None,
    ) -> None:
        resumptions = resumptions or Resumptions.create(directory, configuration)
        self.features = features or Features(configuration)
        self.times = times
        self.slowdowns = ReplicaSlowdowns()
        self._directory = directory
        self._uses_slowdowns = False
        """Whether placement uses slowdown estimates, as of the last update."""

        self._slowdown_fingerprint: int | None = None
        self.quotas = FleetQuotas(configuration, quota_bounds, random)
        self.load_tracker = ReplicaLoadTracker()
        self._outbox = Outbox()
        self.reachability = ZoneReachability()
        self.warmup_tokens = WarmupTokens(warmups, warmup_bounds or WarmupBounds(), self.features)
        memory = ReplicaMemory(configuration, self.load_tracker, self.features)
        self._replicas = ReplicaView(
            directory,
            self.load_tracker,
            memory,
            self.reachability,
            self.features,
            random,
            self.warmup_tokens,
            regions or Regions(),
            resumptions,
        )
        self._online = OnlineQueue(
            self._replicas,
            self.load_tracker,
            self._outbox,
            configuration,
            times,
            self.quotas,
            ledger,
            random,
            self.features,
            resumptions,
        )
        self._batch = BatchGrants(
            self._replicas,
            self.load_tracker,
            self._outbox,
            self._online.arrivals_per_s,
            self.features,
        )
        self.online_shares = self._online.shares
        self.item_shares = self._batch.shares

    def set_store_time(self, store_ms: StoreTimeMs) -> None:
        """Set the store's clock, with which the due times of items are compared."""
        self._batch.store_ms = store_ms

    def handle_report(self, report: Report, now: float) -> None:
        """Apply a node's reported state, answer its placement requests and reassign slots."""
        node = report.node
        changed = self.load_tracker.record_report(node, report.loads, report.last_applied_order)
        self._batch.record_waiting(node, report.zone, report.waiting)
        self._replicas.record_zone(node, report.zone)
        has_coordinator = not report.has_lost_coordinator
        self._replicas.record_suspects(node, report.suspects, now, has_coordinator=has_coordinator)
        self._update_slowdowns(now)
        for number in report.withdrawn:
            self._online.withdraw(node, number, now)
        for request_timing in report.request_timings:
            self._online.correct_usage(request_timing)
            self._record_request_timing(node, request_timing, now)
        for item_timing in report.item_timings:
            self._record_slowdown(item_timing, True, item_timing.events, item_timing.took_ms, now)
        for correction in report.corrections:
            self.item_shares.correct(correction.rank, correction.tenant, correction.extra_ms)
        for request in report.placement_requests:
            replica_id = self._online.handle_request(node, report.zone, request, now)
            if replica_id:
                self._batch.preempt_items([replica_id], now)
        self._reassign_slots(changed, now)

    def _record_request_timing(self, node: str, timing: RequestTiming, now: float) -> None:
        self._replicas.record_answer(node, timing.replica_id, now)
        self._record_slowdown(timing, False, timing.events, timing.hold_ms, now)
        baseline = self.slowdowns.baseline(timing.replica_id)
        self.times.record_hold(timing.route, timing.hold_ms / baseline)
        if timing.expected_wait_ms > 0:
            self.times.record_wait(timing.route, timing.expected_wait_ms, timing.first_event_ms)
        else:
            self.times.record_start(timing.route, timing.first_event_ms / baseline)

    def _update_slowdowns(self, now: float) -> None:
        """Refresh the current slowdowns if the feature is on; clear them otherwise."""
        self._uses_slowdowns = self.features.is_on(Feature.REPLICA_PACE)
        if not self._uses_slowdowns:
            self._replicas.current_slowdowns = {}
            return
        if self._slowdown_fingerprint != self._directory.fingerprint:
            self._slowdown_fingerprint = self._directory.fingerprint
            self.slowdowns.update_replicas(self._directory.all(), now)
        self.slowdowns.refresh(now)
        self._replicas.current_slowdowns = self.slowdowns.current

    def _record_slowdown(
        self,
        timing: RequestTiming | ItemTiming,
        is_item: bool,
        events: int,
        took_ms: int,
        now: float,
    ) -> None:
        """Update a replica's slowdown estimate from an answer."""
        replica = self._directory.find(timing.replica_id)
        if replica is None:
            return
        if timing.slowdown_percent > 0:
            self.features.record_reported_slowdown(replica.service)
        if not self._uses_slowdowns:
            return
        # The answer has just ended, so the tracker no longer counts it.
        running = self.load_tracker.total(replica.replica_id, now).total + 1
        percent, utilization = timing.slowdown_percent, running / replica.slots
        measured = Measurement(
            replica.replica_id, replica.service, is_item, events, took_ms, percent, utilization
        )
        self.slowdowns.record(measured, now)

    def apply_slowdowns(self, estimates: Mapping[str, SlowdownEstimate], now: float) -> None:
        """Apply the slowdown estimates that another coordinator has sent."""
        for replica_id in estimates:
            replica = self._directory.find(replica_id)
            if replica is not None:
                self.features.record_reported_slowdown(replica.service)
        # No node reports to a standby, so removed replicas are dropped here.
        self._update_slowdowns(now)
        self.slowdowns.apply(estimates, now)

    def remove_node(self, node: str, now: float) -> None:
        """Remove a node, its work in flight and its queued requests."""
        changed = self.load_tracker.remove_node(node)
        self._batch.remove_node(node)
        self._replicas.remove_node(node)
        self._online.remove_node(node, now)
        self._reassign_slots(changed, now)

    def restrict_grants_to(self, zone: str) -> None:
        """Grant items only slots of replicas in one zone; an empty zone lifts the restriction."""
        self._batch.zone = zone

    def tick(self, now: float) -> None:
        """Expire outdated state and reassign the slots that become free by it."""
        self.reachability.tick(now)
        self.warmup_tokens.tick(now)
        changed = self.load_tracker.expire(now)
        self._update_slowdowns(now)
        self._online.expire(now)
        self._reassign_slots(changed, now)

    def _reassign_slots(self, changed: Iterable[str], now: float) -> None:
        """Preempt items for online work, place queued requests, then grant free slots to items."""
        changed = list(changed)
        self._batch.preempt_items(changed, now)
        for replica_id in self._online.place_queued(now):
            if replica_id:
                self._batch.preempt_items([replica_id], now)
        self._batch.grant_free_slots(changed, now)

    # --- results ---

    def pop_decisions(self) -> dict[str, Decisions]:
        """Return the decisions made since the last call, by node."""
        return self._outbox.pop()

    def last_decision_number(self, node: str) -> int:
        """Return the number of the latest decisions for a node."""
        return self._outbox.last_number(node)

    def replica_loads(self) -> dict[str, NodeLoad]:
        """Return the work in flight of all nodes, by replica."""
        return self.load_tracker.replica_loads()

    @property
    def replica_count(self) -> int:
        """Number of replicas in the directory."""
        return self._replicas.count

    def replica_uses(self, now: float) -> list[ReplicaUse]:
        """Return the current use of the slots of each replica."""
        return self._replicas.uses(now)

    def waiting_items(self, now: float) -> tuple[Counter[str], Counter[str]]:
        """Return the counts of waiting items and of reserved slots, by service."""
        return self._batch.waiting_items(now)

    @property
    def waiting(self) -> dict[str, WaitingByPool]:
        """Waiting items, by node and pool."""
        return self._batch.waiting
