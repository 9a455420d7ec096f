"""Places for online requests: at once, later, or told to come back; see ``admission``.

Those that wait are kept and ordered by ``queued_requests``.
"""

from collections.abc import Sequence
from random import Random

import attrs

from cloverwalk.fleet.messages import Placement, PlacementRequest, QuotaTokenUse, RequestTiming
from cloverwalk.gateway.configuration import ConfigurationHolder, Route
from cloverwalk.gateway.crash_ledger import CrashLedger
from cloverwalk.scheduling.admission import (
    AHEAD_QUEUE_SHARE,
    CROWD_OVER_S,
    MAX_QUEUE_WAIT_S,
    CrowdWatch,
    PlacementVerdict,
    Prospect,
    ReturnBook,
    decide,
    most_wait_ms,
    retry_after_s,
    slot_wait_ms,
)
from cloverwalk.scheduling.arrivals import ArrivalRate
from cloverwalk.scheduling.decisions import Outbox
from cloverwalk.scheduling.fair_shares import FairShares
from cloverwalk.scheduling.features import Feature, Features
from cloverwalk.scheduling.overload_order import is_hopeless
from cloverwalk.scheduling.queued_requests import AskId, HeldRequest, HeldRequests, QueueKey
from cloverwalk.scheduling.quotas import FleetQuotas, QuotaVerdict
from cloverwalk.scheduling.replica_load_tracker import ReplicaLoadTracker
from cloverwalk.scheduling.replica_view import ReplicaView
from cloverwalk.scheduling.selection import (
    ONCE_OTHER_ZONE_MS,
    OTHER_ZONE_MS,
    Candidate,
    Demand,
    choose,
    expected_reading_ms,
)
from cloverwalk.scheduling.service_times import ServiceTimes

HELD_UNASKED_S = 0.8
"""A held request that its node has not asked for again for so long is given up there."""


@attrs.frozen
class _Admission:
    """Whether a request is sent, held, or told to come back."""

    verdict: PlacementVerdict
    ahead_ms: int = 0
    """Slot time by which its tenant is ahead of others, where its share counted."""

    return_after_s: float = 0.0
    """With RETRY_LATER: when it should come back."""


class OnlineQueue:
    """Answers asks. ``try_held`` places those that wait, in their order."""

    def __init__(
        self,
        replicas: ReplicaView,
        book: ReplicaLoadTracker,
        outbox: Outbox,
        configuration: ConfigurationHolder,
        times: ServiceTimes,
        quotas: FleetQuotas,
        ledger: CrashLedger,
        random: Random,
        features: Features,
    ) -> None:
        self._features = features
        self.shares = FairShares()
        self._held = HeldRequests(features, self.shares)
        self._ahead_at: dict[int, float] = {}
        """When a request of a tenant ahead of its share last came, by rank."""

        self._quotas = quotas
        self._ledger = ledger
        self._replicas = replicas
        self._book = book
        self._outbox = outbox
        self._configuration = configuration
        self._times = times
        self._random = random
        self._arrivals: dict[str, ArrivalRate] = {}
        self._crowd = CrowdWatch()
        self._returns = ReturnBook()

    def arrivals_per_s(self, service: str, now: float) -> float:
        """Return how fast requests for a service come."""
        rate = self._arrivals.get(service)
        return 0.0 if rate is None else rate.per_s(now)

    # --- asks ---

    def answer(self, node: str, zone: str, ask: PlacementRequest, now: float) -> str:
        """Answer an ask; return the replica that got a request by it, empty for none."""
        held = self._held.find((node, ask.number))
        if held is not None:
            held.ask, held.heard_at = ask, now
            return self._try(held, False, now) or ""
        if ask.content and not self._ledger.try_admit(ask.content, now):
            self._outbox.of(node).placements.append(
                Placement(ask.number, PlacementVerdict.CONTAINED)
            )
            return ""
        if not self._replicas.can_ever_fit(ask):
            self._outbox.of(node).placements.append(
                Placement(ask.number, PlacementVerdict.TOO_LARGE)
            )
            return ""
        refusal = self._take_token(ask, now)
        if refusal is not None:
            self._outbox.of(node).placements.append(refusal)
            return ""
        priority = self._priority(ask.route, ask.tenant)
        held = HeldRequest(node, zone, ask, now, now, QueueKey(priority, ask.tenant))
        held.has_token = ask.quota_token is QuotaTokenUse.NEW
        held.expect(self._times.first_event_ms(ask.route))
        self._arrivals.setdefault(ask.service, ArrivalRate()).note(now)
        deadline_s = None if ask.deadline_ms is None else ask.deadline_ms / 1000
        may_return = not self._returns.came_back(ask.route, deadline_s)
        return self._try(held, may_return, now) or ""

    def _take_token(self, ask: PlacementRequest, now: float) -> Placement | None:
        """Take a token of the tenant's quota; return the answer where there is none."""
        if ask.quota_token is not QuotaTokenUse.NEW:
            return None
        match self._quotas.reserve(ask.tenant, now):
            case QuotaVerdict.TAKEN:
                return None
            case QuotaVerdict.OVER:
                wait_s = round(self._quotas.wait_s(ask.tenant, now), 3)
                return Placement(ask.number, PlacementVerdict.OVER_QUOTA, retry_after_s=wait_s)
            case QuotaVerdict.UNKNOWN:
                # A node that has just started soon finds a coordinator; its requests ask again.
                may_wait = not self._quotas.knows_fleet and not ask.must_place
                return Placement(
                    ask.number,
                    PlacementVerdict.QUEUE if may_wait else PlacementVerdict.QUOTA_UNKNOWN,
                )

    def withdraw(self, node: str, number: int, now: float) -> None:
        """A request waits no more."""
        self._drop((node, number), now)

    def remove_node(self, node: str, now: float) -> None:
        """A node is gone, and its requests with it."""
        for held in self._held.all():
            if held.node == node:
                self._drop(held.ask_id, now)

    def _drop(self, ask_id: AskId, now: float) -> None:
        held = self._held.remove(ask_id)
        if held is not None and held.has_token:
            self._quotas.release(held.ask.tenant, now)

    def expire(self, now: float) -> None:
        """Give up requests that their nodes have not asked for again."""
        for held in self._held.all():
            if now - held.heard_at > HELD_UNASKED_S:
                self._drop(held.ask_id, now)

    def try_held(self, now: float) -> list[str]:
        """Place waiting requests while there are slots; return the replicas that got one."""
        got: list[str] = []
        for held in self._held.in_turn(now):
            replica_id = self._try(held, False, now)
            if replica_id is not None:
                got.append(replica_id)
            elif not held.waits_for_memory:
                break
        return got

    # --- one request ---

    def _try(self, held: HeldRequest, may_return: bool, now: float) -> str | None:
        """Answer a request for good, or hold it.

        Returns the replica that it goes to, an empty text for a refusal, None when it is held.
        """
        held.waits_for_memory = False
        candidates = self._replicas.candidates(held.node, held.ask, now)
        demand = self._demand(held)
        chosen = choose(candidates, demand)
        if chosen is None and self._replicas.has_usable(held.ask.service):
            # Each has too little memory left; it is as if all their slots were taken.
            return self._wait_for_memory(held, now)
        if chosen is None:
            return self._refuse(held, Placement(held.ask.number, PlacementVerdict.NO_REPLICA), now)
        wait_ms = self._wait_ms(held.ask.route, chosen)
        if wait_ms > 0 and self._is_hopeless(held, candidates, now):
            return self._refuse(held, Placement(held.ask.number, PlacementVerdict.RETRY_LATER), now)
        admission = self._admit(held, chosen, wait_ms, may_return, now)
        if admission.verdict is PlacementVerdict.RETRY_LATER:
            return self._send_away(held, admission, now)
        if admission.verdict is PlacementVerdict.QUEUE:
            self._hold(held, now)
            return None
        self._place(held, chosen, wait_ms, now)
        reading_ms = expected_reading_ms(chosen, candidates, demand)
        self._replicas.note_reading(chosen.replica.replica_id, reading_ms, now)
        return chosen.replica.replica_id

    def _wait_for_memory(self, held: HeldRequest, now: float) -> str | None:
        """Hold a request until a replica has memory for it, or refuse it in the end."""
        if held.ask.must_place or now - held.asked_at >= MAX_QUEUE_WAIT_S:
            return self._refuse(held, Placement(held.ask.number, PlacementVerdict.NO_REPLICA), now)
        held.waits_for_memory = True
        self._hold(held, now)
        return None

    def _admit(
        self, held: HeldRequest, chosen: Candidate, wait_ms: float, may_return: bool, now: float
    ) -> _Admission:
        """Return whether a request is sent, held, or told when to come back."""
        route = self._route(held.ask.route)
        is_overdue = held.ask.must_place or now - held.asked_at >= MAX_QUEUE_WAIT_S
        if route is None or is_overdue:
            return _Admission(PlacementVerdict.SEND)
        prospect = self._prospect(held, route, wait_ms, chosen.pace, now)
        admission = self._decide(held, prospect, may_return, now)
        if admission.verdict is not PlacementVerdict.RETRY_LATER:
            return admission
        after_s = self._return_after_s(prospect, held.ask, now)
        if after_s is None:
            return _Admission(PlacementVerdict.QUEUE)
        return attrs.evolve(admission, return_after_s=after_s)

    def _decide(
        self, held: HeldRequest, prospect: Prospect, may_return: bool, now: float
    ) -> _Admission:
        """Decide by what a request can expect, and by its tenant's share where that counts."""
        is_first = prospect.wait_ms == 0.0 and self._held.is_first(held, now)
        verdict = decide(prospect, may_return, is_first)
        if not self._features.is_on(Feature.FAIR_SHARES):
            return _Admission(verdict)
        rank, tenant = held.queue
        if not self.shares.is_ahead(rank, tenant):
            is_other_ahead = now - self._ahead_at.get(rank, float("-inf")) < CROWD_OVER_S
            is_next = is_other_ahead and not self._held.has_queue(held.queue)
            if verdict is PlacementVerdict.RETRY_LATER and is_next:
                # It gets the next free slot before the tenant that is ahead.
                return _Admission(PlacementVerdict.QUEUE)
            return _Admission(verdict)
        self._ahead_at[rank] = now
        if not self._do_others_wait(rank, tenant):
            return _Admission(verdict)
        if verdict is PlacementVerdict.SEND:
            most_ms = AHEAD_QUEUE_SHARE * prospect.most_wait_ms
            less = attrs.evolve(prospect, most_wait_ms=most_ms)
            verdict = decide(less, may_return, is_first)
        return _Admission(verdict, round(self.shares.ahead_ms(rank, tenant)))

    def _do_others_wait(self, rank: int, tenant: str) -> bool:
        """Whether a request is held of another tenant of a rank that is not ahead of its share."""
        return any(
            other != tenant and not self.shares.is_ahead(rank, other)
            for other in self._held.tenants(rank)
        )

    def _is_hopeless(self, held: HeldRequest, candidates: Sequence[Candidate], now: float) -> bool:
        """Whether no replica can serve it before its deadline; one that may have run goes on."""
        if held.ask.quota_token is QuotaTokenUse.RETRY or held.ask.time_left_ms <= 0:
            return False
        if not self._features.is_on(Feature.OVERLOAD_ORDER):
            return False
        start_ms, left_ms = self._times.first_event_ms(held.ask.route), held.time_left_ms(now)
        waits = (self._wait_ms(held.ask.route, one) for one in candidates)
        return all(is_hopeless(wait_ms, start_ms, left_ms) for wait_ms in waits)

    def _send_away(self, held: HeldRequest, admission: _Admission, now: float) -> str:
        """Tell a request when to come back."""
        if admission.ahead_ms:
            self.shares.held_back[held.ask.tenant] += 1
        placement = Placement(
            held.ask.number,
            PlacementVerdict.RETRY_LATER,
            retry_after_s=round(admission.return_after_s, 3),
            ahead_ms=admission.ahead_ms,
        )
        return self._refuse(held, placement, now)

    def _refuse(self, held: HeldRequest, placement: Placement, now: float) -> str:
        self._held.remove(held.ask_id)
        if held.has_token:
            self._quotas.release(held.ask.tenant, now)
        self._outbox.of(held.node).placements.append(placement)
        return ""

    def _hold(self, held: HeldRequest, now: float) -> None:
        if self._held.add(held, now):
            placement = Placement(held.ask.number, PlacementVerdict.QUEUE)
            self._outbox.of(held.node).placements.append(placement)

    def _place(self, held: HeldRequest, chosen: Candidate, wait_ms: float, now: float) -> None:
        self._held.remove(held.ask_id)
        self._charge(held)
        if held.has_token:
            self._quotas.spend(held.ask.tenant, now)
        elif held.ask.quota_token is QuotaTokenUse.RETRY:
            self._quotas.charge(held.ask.tenant, now)
        decisions = self._outbox.of(held.node)
        replica_id = chosen.replica.replica_id
        placement = Placement(
            held.ask.number,
            PlacementVerdict.SEND,
            replica_id,
            round(wait_ms),
            online=chosen.in_flight.online,
            batch=chosen.in_flight.batch,
            prefill_ms=round(chosen.prefill_ms),
        )
        decisions.placements.append(placement)
        self._book.expect(
            held.node, decisions.number, replica_id, online=1, tokens=held.ask.tokens, now=now
        )
        self._replicas.note_sent(held.node, replica_id, now)
        if held.ask.content:
            self._replicas.note_sent_suspect(replica_id, held.ask.content, now)

    def _charge(self, held: HeldRequest) -> None:
        """Count the slot time that a request is expected to take to its tenant."""
        if self._features.is_on(Feature.FAIR_SHARES):
            rank, tenant = held.queue
            work_ms = self._times.hold_ms(held.ask.route)
            self._held.note_charged(held.queue)
            self.shares.charge(rank, tenant, work_ms, self._held.tenants(rank))

    def correct(self, served: RequestTiming) -> None:
        """Count what a request took beyond what was expected; before its times are learnt."""
        if not self._features.is_on(Feature.FAIR_SHARES):
            return
        rank = self._priority(served.route, served.tenant)
        more_ms = served.hold_ms - self._times.hold_ms(served.route)
        self.shares.correct(rank, served.tenant, more_ms)

    # --- what it can expect ---

    def _priority(self, route: str, tenant: str) -> int:
        """Return the rank of requests of a route and tenant."""
        known = self._route(route)
        own = 0 if known is None else known.priority
        return self._configuration.tenants.priority(tenant, own)

    def _route(self, name: str) -> Route | None:
        current = self._configuration.current
        if current is None:
            return None
        return next((one for one in current.routes if one.name == name), None)

    def _wait_ms(self, route: str, chosen: Candidate) -> float:
        hold_ms = chosen.pace * self._times.hold_ms(route)
        return slot_wait_ms(chosen.replica.slots, chosen.in_flight.online, hold_ms)

    def _prospect(
        self, held: HeldRequest, route: Route, wait_ms: float, pace: float, now: float
    ) -> Prospect:
        current = self._configuration.current
        routes = (route,) if current is None else current.routes
        waited_ms = (now - held.heard_at) * 1000
        return Prospect(
            self._times.wait_factor(route.name) * wait_ms,
            pace * self._times.first_event_ms(route.name),
            held.ask.objective_left_ms - waited_ms,
            route.target_latency_s * 1000,
            most_wait_ms(route, held.queue.rank, routes, self._times),
        )

    def _return_after_s(
        self, prospect: Prospect, ask: PlacementRequest, now: float
    ) -> float | None:
        self._crowd.meet(now)
        wait_s, rest_s = prospect.wait_ms / 1000, self._crowd.rest_s(now)
        return retry_after_s(wait_s, rest_s, ask.time_left_ms / 1000, self._random)

    def _demand(self, held: HeldRequest) -> Demand:
        ask = held.ask
        return Demand(
            held.zone,
            ask.size_bytes,
            ask.shared_part,
            ask.shared_tokens,
            ask.own_tokens,
            self._other_zone_ms(ask),
            self._times.first_event_ms(ask.route),
        )

    def _other_zone_ms(self, ask: PlacementRequest) -> float:
        """Return what another zone costs a request: more for one that a cut would end for good.

        It is at most the time that the request has to spare: it rather crosses than is late.
        """
        route = self._route(ask.route)
        may_repeat = route is None or route.is_retryable
        if may_repeat or not self._features.is_on(Feature.ZONE_LOSS):
            return OTHER_ZONE_MS
        spare_ms = ask.objective_left_ms - self._times.first_event_ms(ask.route)
        return max(OTHER_ZONE_MS, min(ONCE_OTHER_ZONE_MS, spare_ms))
