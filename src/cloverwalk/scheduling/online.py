"""Decides placement requests for online work: place, queue or retry later; see ``admission``.

``queued_requests`` keeps the queued ones and their order.
"""

from collections.abc import Sequence
from random import Random

import attrs

from cloverwalk.fleet.messages import Placement, PlacementRequest, QuotaTokenUse, RequestTiming
from cloverwalk.gateway.configuration import ConfigurationHolder, Route
from cloverwalk.gateway.crash_ledger import CrashLedger
from cloverwalk.scheduling.admission import (
    AHEAD_QUEUE_FRACTION,
    MAX_QUEUE_WAIT_S,
    OVERLOAD_END_DELAY_S,
    OverloadDurationEstimator,
    PlacementVerdict,
    Prospect,
    RetryDetector,
    decide,
    retry_after_s,
    slot_wait_ms,
)
from cloverwalk.scheduling.arrivals import ArrivalRate
from cloverwalk.scheduling.decisions import Outbox
from cloverwalk.scheduling.fair_shares import FairShares
from cloverwalk.scheduling.features import Feature, Features
from cloverwalk.scheduling.overload_order import will_miss_deadline
from cloverwalk.scheduling.queued_requests import QueuedRequest, QueuedRequests, QueueKey, RequestId
from cloverwalk.scheduling.quotas import FleetQuotas, QuotaVerdict
from cloverwalk.scheduling.replica_load_tracker import ReplicaLoadTracker
from cloverwalk.scheduling.replica_view import ReplicaView
from cloverwalk.scheduling.resumptions import Resumptions
from cloverwalk.scheduling.selection import (
    NON_RETRYABLE_OTHER_ZONE_COST_MS,
    OTHER_ZONE_COST_MS,
    Candidate,
    Demand,
    choose,
    expected_prefill_ms,
)
from cloverwalk.scheduling.service_times import ServiceTimes
from cloverwalk.scheduling.wait_limits import WaitLimits

QUEUED_REQUEST_TTL_S = 0.8
"""A queued request is dropped when its node has not repeated it for this time."""


@attrs.frozen
class _Admission:
    """Verdict on a request."""

    verdict: PlacementVerdict
    ahead_ms: int = 0
    """Slot time by which its tenant is ahead of others; 0 where fair shares did not count."""

    retry_after_s: float = 0.0
    """Delay before a retry; set with RETRY_LATER only."""


class OnlineQueue:
    """Answers placement requests. ``place_queued`` places the queued ones in their order."""

    def __init__(
        self,
        replicas: ReplicaView,
        load_tracker: ReplicaLoadTracker,
        outbox: Outbox,
        configuration: ConfigurationHolder,
        times: ServiceTimes,
        quotas: FleetQuotas,
        ledger: CrashLedger,
        random: Random,
        features: Features,
        resumptions: Resumptions,
    ) -> None:
        self._resumptions = resumptions
        self._features = features
        self.shares = FairShares()
        self._queued = QueuedRequests(features, self.shares)
        self._ahead_seen_at: dict[int, float] = {}
        """When a request of a tenant ahead of its fair share was last seen, by rank."""

        self._quotas = quotas
        self._ledger = ledger
        self._replicas = replicas
        self._load_tracker = load_tracker
        self._outbox = outbox
        self._configuration = configuration
        self._times = times
        self._wait_limits = WaitLimits(times)
        configuration.preparations.append(lambda newer: self._wait_limits.prepare(newer.index))
        self._random = random
        self._arrivals: dict[str, ArrivalRate] = {}
        self._overload = OverloadDurationEstimator()
        self._retry_detector = RetryDetector()

    def arrivals_per_s(self, service: str, now: float) -> float:
        """Return the arrival rate of requests for a service."""
        rate = self._arrivals.get(service)
        return 0.0 if rate is None else rate.per_s(now)

    # --- placement requests ---

    def handle_request(self, node: str, zone: str, request: PlacementRequest, now: float) -> str:
        """Answer a placement request; return the replica it is placed at, or an empty string."""
        if request.is_resumption:
            resolved = self._resumptions.resolve(request)
            if resolved is None:
                self._refuse_unknown_version(node, request, now)
                return ""
            request = resolved
        queued = self._queued.find((node, request.number))
        if queued is not None:
            queued.request, queued.last_asked_at = request, now
            return self._place_or_queue(queued, False, now) or ""
        if request.content and not self._ledger.try_admit(request.content, now):
            self._outbox.for_node(node).placements.append(
                Placement(request.number, PlacementVerdict.CONTAINED)
            )
            return ""
        if not self._replicas.can_ever_fit(request):
            self._outbox.for_node(node).placements.append(
                Placement(request.number, PlacementVerdict.TOO_LARGE)
            )
            return ""
        refusal = self._reserve_token(request, now)
        if refusal is not None:
            self._outbox.for_node(node).placements.append(refusal)
            return ""
        priority = self._priority(request.route, request.tenant)
        queued = QueuedRequest(node, zone, request, now, now, QueueKey(priority, request.tenant))
        queued.has_token = request.quota_token is QuotaTokenUse.NEW
        queued.expect(self._times.first_event_ms(request.route))
        self._arrivals.setdefault(request.service, ArrivalRate()).record(now)
        deadline_s = None if request.deadline_ms is None else request.deadline_ms / 1000
        is_retry = self._retry_detector.is_retry(request.route, deadline_s)
        may_retry_later = not is_retry and not request.is_resumption
        return self._place_or_queue(queued, may_retry_later, now) or ""

    def _refuse_unknown_version(self, node: str, request: PlacementRequest, now: float) -> None:
        """Refuse a resumption of a stream whose software version is not known here."""
        self._remove((node, request.number), now)
        placement = Placement(request.number, PlacementVerdict.NO_REPLICA, is_version_unknown=True)
        self._outbox.for_node(node).placements.append(placement)

    def _reserve_token(self, request: PlacementRequest, now: float) -> Placement | None:
        """Reserve a token of the tenant's quota; return the refusal where there is none."""
        if request.quota_token is not QuotaTokenUse.NEW:
            return None
        match self._quotas.reserve(request.tenant, now):
            case QuotaVerdict.TAKEN:
                return None
            case QuotaVerdict.OVER:
                wait_s = round(self._quotas.wait_s(request.tenant, now), 3)
                return Placement(request.number, PlacementVerdict.OVER_QUOTA, retry_after_s=wait_s)
            case QuotaVerdict.UNKNOWN:
                # A node that has just started soon finds a coordinator, which then answers.
                may_wait = not self._quotas.knows_fleet and not request.must_place
                return Placement(
                    request.number,
                    PlacementVerdict.QUEUE if may_wait else PlacementVerdict.QUOTA_UNKNOWN,
                )

    def withdraw(self, node: str, number: int, now: float) -> None:
        """Drop a queued request that its node has withdrawn."""
        self._remove((node, number), now)

    def remove_node(self, node: str, now: float) -> None:
        """Drop the queued requests of a node."""
        for queued in self._queued.all():
            if queued.node == node:
                self._remove(queued.request_id, now)

    def _remove(self, request_id: RequestId, now: float) -> None:
        queued = self._queued.remove(request_id)
        if queued is not None and queued.has_token:
            self._quotas.release(queued.request.tenant, now)

    def expire(self, now: float) -> None:
        """Drop queued requests that their nodes no longer repeat."""
        for queued in self._queued.all():
            if now - queued.last_asked_at > QUEUED_REQUEST_TTL_S:
                self._remove(queued.request_id, now)

    def place_queued(self, now: float) -> list[str]:
        """Place queued requests while slots are free; return the replicas that got one."""
        replica_ids: list[str] = []
        if self._features.is_on(Feature.ZONE_DRAINS):
            self._refuse_without_replica(now)
        for queued in self._queued.in_order(now):
            replica_id = self._place_or_queue(queued, False, now)
            if replica_id is not None:
                replica_ids.append(replica_id)
            elif queued.blocks_others:
                break
        return replica_ids

    def _refuse_without_replica(self, now: float) -> None:
        """Refuse the queued requests of services without a usable replica."""
        for queued in self._queued.all():
            if not self._replicas.has_usable(queued.request):
                placement = Placement(queued.request.number, PlacementVerdict.NO_REPLICA)
                self._refuse(queued, placement, now)

    # --- one request ---

    def _place_or_queue(
        self, queued: QueuedRequest, may_retry_later: bool, now: float
    ) -> str | None:
        """Place, refuse or queue a request.

        Returns the replica that it is placed at, an empty string for a refusal, None when it is
        queued.
        """
        queued.waits_for_memory = False
        candidates = self._replicas.candidates(queued.node, queued.request, now)
        demand = self._demand(queued)
        chosen = choose(candidates, demand)
        if chosen is None and self._replicas.has_usable(queued.request):
            # No replica has enough memory or a warm-up token; handled like a lack of free slots.
            return self._queue_without_candidate(queued, may_retry_later, now)
        if chosen is None:
            return self._refuse(
                queued, Placement(queued.request.number, PlacementVerdict.NO_REPLICA), now
            )
        wait_ms = self._wait_ms(queued.request.route, chosen)
        if wait_ms > 0 and self._will_miss_deadline(queued, candidates, now):
            return self._refuse(
                queued, Placement(queued.request.number, PlacementVerdict.RETRY_LATER), now
            )
        admission = self._admit(queued, chosen.slowdown, wait_ms, may_retry_later, now)
        if admission.verdict is PlacementVerdict.RETRY_LATER:
            return self._refuse_with_retry_time(queued, admission, now)
        if admission.verdict is PlacementVerdict.QUEUE:
            self._enqueue(queued, now)
            return None
        self._place(queued, chosen, wait_ms, now)
        prefill_ms = expected_prefill_ms(chosen, candidates, demand)
        self._replicas.record_prefill(chosen.replica.replica_id, prefill_ms, now)
        return chosen.replica.replica_id

    def _queue_without_candidate(
        self, queued: QueuedRequest, may_retry_later: bool, now: float
    ) -> str | None:
        """Queue a request until a replica can take it; refuse it after the longest wait."""
        if queued.request.must_place or now - queued.asked_at >= MAX_QUEUE_WAIT_S:
            return self._refuse(
                queued, Placement(queued.request.number, PlacementVerdict.NO_REPLICA), now
            )
        wait_ms = self._replicas.warmup_wait_ms(
            queued.request.service, len(self._queued.all()), now
        )
        if wait_ms is not None:
            admission = self._admit(queued, 1.0, wait_ms, may_retry_later, now)
            if admission.verdict is PlacementVerdict.RETRY_LATER:
                return self._refuse_with_retry_time(queued, admission, now)
        queued.waits_for_memory = True
        self._enqueue(queued, now)
        return None

    def _admit(
        self,
        queued: QueuedRequest,
        slowdown: float,
        wait_ms: float,
        may_retry_later: bool,
        now: float,
    ) -> _Admission:
        """Return whether a request is sent, queued, or refused with a retry-after time."""
        route = self._route(queued.request.route)
        is_overdue = queued.request.must_place or now - queued.asked_at >= MAX_QUEUE_WAIT_S
        if route is None or is_overdue:
            return _Admission(PlacementVerdict.SEND)
        prospect = self._prospect(queued, route, wait_ms, slowdown, now)
        admission = self._decide_by_share(queued, prospect, may_retry_later, now)
        if admission.verdict is not PlacementVerdict.RETRY_LATER:
            return admission
        delay_s = self._retry_delay_s(prospect, queued.request, now)
        if delay_s is None:
            return _Admission(PlacementVerdict.QUEUE)
        return attrs.evolve(admission, retry_after_s=delay_s)

    def _decide_by_share(
        self, queued: QueuedRequest, prospect: Prospect, may_retry_later: bool, now: float
    ) -> _Admission:
        """Decide by the expected waits, and by the tenant's fair share if the feature is on."""
        is_first = prospect.wait_ms == 0.0 and self._queued.is_first(queued, now)
        verdict = decide(prospect, may_retry_later, is_first)
        if not self._features.is_on(Feature.FAIR_SHARES):
            return _Admission(verdict)
        rank, tenant = queued.queue
        if not self.shares.is_ahead(rank, tenant):
            is_other_ahead = (
                now - self._ahead_seen_at.get(rank, float("-inf")) < OVERLOAD_END_DELAY_S
            )
            is_next = is_other_ahead and not self._queued.has_queue(queued.queue)
            if verdict is PlacementVerdict.RETRY_LATER and is_next:
                # It gets the next free slot before requests of the tenant that is ahead.
                return _Admission(PlacementVerdict.QUEUE)
            return _Admission(verdict)
        self._ahead_seen_at[rank] = now
        if not self._do_others_wait(rank, tenant):
            return _Admission(verdict)
        if verdict is PlacementVerdict.SEND:
            limit_ms = AHEAD_QUEUE_FRACTION * prospect.max_wait_ms
            reduced = attrs.evolve(prospect, max_wait_ms=limit_ms)
            verdict = decide(reduced, may_retry_later, is_first)
        return _Admission(verdict, round(self.shares.ahead_ms(rank, tenant)))

    def _do_others_wait(self, rank: int, tenant: str) -> bool:
        """Whether another tenant of the rank that is within its fair share has a queued request."""
        return any(
            peer != tenant and not self.shares.is_ahead(rank, peer)
            for peer in self._queued.tenants(rank)
        )

    def _will_miss_deadline(
        self, queued: QueuedRequest, candidates: Sequence[Candidate], now: float
    ) -> bool:
        """Whether no replica can serve the request before its deadline.

        A retry is never refused for this, since it may have run before.
        """
        if queued.request.quota_token is QuotaTokenUse.RETRY or queued.request.time_left_ms <= 0:
            return False
        is_resumption = queued.request.is_resumption
        if not is_resumption and not self._features.is_on(Feature.OVERLOAD_ORDER):
            return False
        start_ms, remaining_ms = (
            self._times.first_event_ms(queued.request.route),
            queued.time_left_ms(now),
        )
        waits = (self._wait_ms(queued.request.route, candidate) for candidate in candidates)
        return all(will_miss_deadline(wait_ms, start_ms, remaining_ms) for wait_ms in waits)

    def _refuse_with_retry_time(
        self, queued: QueuedRequest, admission: _Admission, now: float
    ) -> str:
        """Refuse a request and send the time after which to retry."""
        if admission.ahead_ms:
            self.shares.throttled[queued.request.tenant] += 1
        placement = Placement(
            queued.request.number,
            PlacementVerdict.RETRY_LATER,
            retry_after_s=round(admission.retry_after_s, 3),
            ahead_ms=admission.ahead_ms,
        )
        return self._refuse(queued, placement, now)

    def _refuse(self, queued: QueuedRequest, placement: Placement, now: float) -> str:
        self._queued.remove(queued.request_id)
        if queued.has_token:
            self._quotas.release(queued.request.tenant, now)
        self._outbox.for_node(queued.node).placements.append(placement)
        return ""

    def _enqueue(self, queued: QueuedRequest, now: float) -> None:
        if self._queued.add(queued, now):
            placement = Placement(queued.request.number, PlacementVerdict.QUEUE)
            self._outbox.for_node(queued.node).placements.append(placement)

    def _place(self, queued: QueuedRequest, chosen: Candidate, wait_ms: float, now: float) -> None:
        self._queued.remove(queued.request_id)
        self._charge(queued)
        if queued.has_token:
            self._quotas.spend(queued.request.tenant, now)
        elif queued.request.quota_token is QuotaTokenUse.RETRY:
            self._quotas.charge(queued.request.tenant, now)
        decisions = self._outbox.for_node(queued.node)
        replica_id = chosen.replica.replica_id
        has_warmup_token = self._replicas.take_warmup_token(chosen.replica, now)
        if has_warmup_token:
            decisions.record_warmup_token(now)
        placement = Placement(
            queued.request.number,
            PlacementVerdict.SEND,
            replica_id,
            round(wait_ms),
            online=chosen.in_flight.online,
            batch=chosen.in_flight.batch,
            prefill_ms=round(chosen.prefill_ms),
            has_warmup_token=has_warmup_token,
            software_version=(
                queued.request.software_version or self._replicas.registered_version(chosen.replica)
            ),
        )
        decisions.placements.append(placement)
        self._load_tracker.expect(
            queued.node,
            decisions.number,
            replica_id,
            online=1,
            tokens=queued.request.tokens,
            now=now,
        )
        self._replicas.record_sent(queued.node, replica_id, now)
        if queued.request.content:
            self._replicas.record_sent_crash_suspect(replica_id, queued.request.content, now)

    def _charge(self, queued: QueuedRequest) -> None:
        """Charge the tenant for the slot time that the request is expected to take."""
        if self._features.is_on(Feature.FAIR_SHARES):
            rank, tenant = queued.queue
            work_ms = self._times.hold_ms(queued.request.route)
            self._queued.on_charged(queued.queue)
            self.shares.charge(rank, tenant, work_ms, self._queued.tenants(rank))

    def correct_usage(self, timing: RequestTiming) -> None:
        """Charge the difference between actual and expected slot time.

        Call this before the new times are recorded: the expected time must be the one that was
        charged.
        """
        if not self._features.is_on(Feature.FAIR_SHARES):
            return
        rank = self._priority(timing.route, timing.tenant)
        extra_ms = timing.hold_ms - self._times.hold_ms(timing.route)
        self.shares.correct(rank, timing.tenant, extra_ms)

    # --- expected times ---

    def _priority(self, route: str, tenant: str) -> int:
        """Return the rank of requests of a route and tenant."""
        configured = self._route(route)
        route_priority = 0 if configured is None else configured.priority
        return self._configuration.tenants.priority(tenant, route_priority)

    def _route(self, name: str) -> Route | None:
        current = self._configuration.current
        if current is None:
            return None
        return current.index.first_named(name)

    def _wait_ms(self, route: str, chosen: Candidate) -> float:
        hold_ms = chosen.slowdown * self._times.hold_ms(route)
        return slot_wait_ms(chosen.replica.slots, chosen.in_flight.online, hold_ms)

    def _prospect(
        self, queued: QueuedRequest, route: Route, wait_ms: float, slowdown: float, now: float
    ) -> Prospect:
        waited_ms = (now - queued.last_asked_at) * 1000
        return Prospect(
            self._times.wait_factor(route.name) * wait_ms,
            slowdown * self._times.first_event_ms(route.name),
            queued.request.objective_left_ms - waited_ms,
            route.target_latency_s * 1000,
            self._max_wait_ms(route, queued.queue.rank),
        )

    def _max_wait_ms(self, route: Route, priority: int) -> float:
        current = self._configuration.current
        if current is None:
            return self._wait_limits.own_limit_ms(route)
        return self._wait_limits.max_wait_ms(route, priority, current.index)

    def _retry_delay_s(
        self, prospect: Prospect, request: PlacementRequest, now: float
    ) -> float | None:
        self._overload.record_request(now)
        wait_s, remaining_s = prospect.wait_ms / 1000, self._overload.remaining_s(now)
        return retry_after_s(wait_s, remaining_s, request.time_left_ms / 1000, self._random)

    def _demand(self, queued: QueuedRequest) -> Demand:
        request = queued.request
        return Demand(
            queued.zone,
            request.size_bytes,
            request.shared_part,
            request.shared_tokens,
            request.own_tokens,
            self._other_zone_cost_ms(request),
            self._times.first_event_ms(request.route),
        )

    def _other_zone_cost_ms(self, request: PlacementRequest) -> float:
        """Return the cost of another zone; higher for a request that a partition would lose.

        It is at most the spare time until the objective: crossing zones is preferred to being late.
        """
        route = self._route(request.route)
        is_retryable = route is None or route.is_retryable
        if is_retryable or not self._features.is_on(Feature.ZONE_LOSS):
            return OTHER_ZONE_COST_MS
        spare_ms = request.objective_left_ms - self._times.first_event_ms(request.route)
        return max(OTHER_ZONE_COST_MS, min(NON_RETRYABLE_OTHER_ZONE_COST_MS, spare_ms))
