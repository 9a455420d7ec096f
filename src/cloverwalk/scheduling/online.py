"""Places for online requests: at once, later, or told to come back; see ``admission``."""

from random import Random

import attrs

from cloverwalk.fleet.messages import Ask, Placement, TokenUse
from cloverwalk.gateway.configuration import ConfigurationHolder, Route
from cloverwalk.gateway.crash_ledger import CrashLedger
from cloverwalk.scheduling.admission import (
    LONGEST_HOLD_S,
    CrowdWatch,
    Prospect,
    ReturnBook,
    Verdict,
    decide,
    most_wait_ms,
    return_after_s,
    slot_wait_ms,
)
from cloverwalk.scheduling.arrivals import ArrivalRate
from cloverwalk.scheduling.decisions import Outbox
from cloverwalk.scheduling.quotas import FleetQuotas, QuotaVerdict
from cloverwalk.scheduling.replica_view import ReplicaView
from cloverwalk.scheduling.selection import Candidate, Demand, choose, expected_reading_ms
from cloverwalk.scheduling.service_times import ServiceTimes
from cloverwalk.scheduling.slot_book import SlotBook

HELD_UNASKED_S = 0.8
"""A held request that its node has not asked for again for so long is given up there."""


@attrs.define
class _Held:
    """An online request that waits for a slot, or is about to."""

    node: str
    zone: str
    ask: Ask
    asked_at: float
    heard_at: float
    priority: int
    has_token: bool = False
    """Whether a token of its tenant's quota is set aside for it."""

    def rank(self) -> tuple[int, float]:
        """What the line is sorted by: the more urgent first, then the older."""
        return (self.priority, self.asked_at)


class OnlineQueue:
    """Answers asks. ``try_held`` places those that wait, in their order."""

    def __init__(
        self,
        replicas: ReplicaView,
        book: SlotBook,
        outbox: Outbox,
        configuration: ConfigurationHolder,
        times: ServiceTimes,
        quotas: FleetQuotas,
        ledger: CrashLedger,
        random: Random,
    ) -> None:
        self._quotas = quotas
        self._ledger = ledger
        self._replicas = replicas
        self._book = book
        self._outbox = outbox
        self._configuration = configuration
        self._times = times
        self._random = random
        self._held: dict[tuple[str, int], _Held] = {}
        self._arrivals: dict[str, ArrivalRate] = {}
        self._crowd = CrowdWatch()
        self._returns = ReturnBook()

    def arrivals_per_s(self, service: str, now: float) -> float:
        """Return how fast requests for a service come."""
        rate = self._arrivals.get(service)
        return 0.0 if rate is None else rate.per_s(now)

    # --- asks ---

    def answer(self, node: str, zone: str, ask: Ask, now: float) -> str:
        """Answer an ask; return the replica that got a request by it, empty for none."""
        held = self._held.get((node, ask.number))
        if held is not None:
            held.ask, held.heard_at = ask, now
            return self._try(held, False, now) or ""
        if ask.content and not self._ledger.may_place(ask.content, now):
            self._outbox.of(node).placements.append(Placement(ask.number, Verdict.CONTAINED))
            return ""
        refusal = self._take_token(ask, now)
        if refusal is not None:
            self._outbox.of(node).placements.append(refusal)
            return ""
        route = self._route(ask.route)
        priority = 0 if route is None else route.priority
        priority = self._configuration.tenants.priority(ask.tenant, priority)
        held = _Held(node, zone, ask, now, now, priority, ask.token is TokenUse.NEW)
        self._arrivals.setdefault(ask.service, ArrivalRate()).note(now)
        deadline_s = None if ask.deadline_ms is None else ask.deadline_ms / 1000
        may_return = not self._returns.came_back(ask.route, deadline_s)
        return self._try(held, may_return, now) or ""

    def _take_token(self, ask: Ask, now: float) -> Placement | None:
        """Take a token of the tenant's quota; return the answer where there is none."""
        if ask.token is not TokenUse.NEW:
            return None
        match self._quotas.reserve(ask.tenant, now):
            case QuotaVerdict.TAKEN:
                return None
            case QuotaVerdict.OVER:
                wait_s = round(self._quotas.wait_s(ask.tenant, now), 3)
                return Placement(ask.number, Verdict.OVER_QUOTA, retry_after_s=wait_s)
            case QuotaVerdict.UNKNOWN:
                # A node that has just started soon finds a coordinator; its requests ask again.
                may_wait = not self._quotas.knows_fleet and not ask.must_place
                return Placement(ask.number, Verdict.HOLD if may_wait else Verdict.QUOTA_UNKNOWN)

    def withdraw(self, node: str, number: int, now: float) -> None:
        """A request waits no more."""
        self._drop((node, number), now)

    def forget(self, node: str, now: float) -> None:
        """A node is gone, and its requests with it."""
        for key in [one for one in self._held if one[0] == node]:
            self._drop(key, now)

    def _drop(self, key: tuple[str, int], now: float) -> None:
        held = self._held.pop(key, None)
        if held is not None and held.has_token:
            self._quotas.release(held.ask.tenant, now)

    def expire(self, now: float) -> None:
        """Give up requests that their nodes have not asked for again."""
        for key, held in list(self._held.items()):
            if now - held.heard_at > HELD_UNASKED_S:
                self._drop(key, now)

    def try_held(self, now: float) -> list[str]:
        """Place waiting requests while there are slots; return the replicas that got one."""
        got: list[str] = []
        for held in sorted(self._held.values(), key=_Held.rank):
            replica_id = self._try(held, False, now)
            if replica_id is None:
                break
            got.append(replica_id)
        return got

    # --- one request ---

    def _try(self, held: _Held, may_return: bool, now: float) -> str | None:
        """Answer a request for good, or hold it.

        Returns the replica that it goes to, an empty text for a refusal, None when it is held.
        """
        candidates = self._replicas.candidates(held.node, held.ask, now)
        demand = _demand(held.zone, held.ask, self._times.start_ms(held.ask.route))
        chosen = choose(candidates, demand)
        if chosen is None:
            return self._refuse(held, Placement(held.ask.number, Verdict.NONE), now)
        wait_ms = self._wait_ms(held.ask.route, chosen)
        verdict = Verdict.SEND
        route = self._route(held.ask.route)
        is_overdue = held.ask.must_place or now - held.asked_at >= LONGEST_HOLD_S
        if route is not None and not is_overdue:
            prospect = self._prospect(held, route, wait_ms, chosen.pace, now)
            verdict = decide(prospect, may_return, self._is_first(held))
            if verdict is Verdict.RETURN:
                after_s = self._return_after_s(prospect, held.ask, now)
                if after_s is not None:
                    placement = Placement(held.ask.number, verdict, retry_after_s=round(after_s, 3))
                    return self._refuse(held, placement, now)
                verdict = Verdict.HOLD
        if verdict is Verdict.HOLD:
            self._hold(held)
            return None
        self._place(held, chosen, wait_ms, now)
        reading_ms = expected_reading_ms(chosen, candidates, demand)
        self._replicas.note_reading(chosen.replica.replica_id, reading_ms, now)
        return chosen.replica.replica_id

    def _refuse(self, held: _Held, placement: Placement, now: float) -> str:
        self._held.pop((held.node, held.ask.number), None)
        if held.has_token:
            self._quotas.release(held.ask.tenant, now)
        self._outbox.of(held.node).placements.append(placement)
        return ""

    def _hold(self, held: _Held) -> None:
        key = (held.node, held.ask.number)
        if key not in self._held:
            self._held[key] = held
            placement = Placement(held.ask.number, Verdict.HOLD)
            self._outbox.of(held.node).placements.append(placement)

    def _place(self, held: _Held, chosen: Candidate, wait_ms: float, now: float) -> None:
        self._held.pop((held.node, held.ask.number), None)
        if held.has_token:
            self._quotas.spend(held.ask.tenant, now)
        elif held.ask.token is TokenUse.AGAIN:
            self._quotas.charge(held.ask.tenant, now)
        decisions = self._outbox.of(held.node)
        replica_id = chosen.replica.replica_id
        placement = Placement(
            held.ask.number,
            Verdict.SEND,
            replica_id,
            round(wait_ms),
            online=chosen.in_flight.online,
            batch=chosen.in_flight.batch,
            reading_ms=round(chosen.reading_ms),
        )
        decisions.placements.append(placement)
        self._book.expect(held.node, decisions.number, replica_id, online=1, now=now)
        if held.ask.content:
            self._replicas.note_sent_suspect(replica_id, held.ask.content, now)

    # --- what it can expect ---

    def _is_first(self, held: _Held) -> bool:
        return all(held.rank() <= other.rank() for other in self._held.values())

    def _route(self, name: str) -> Route | None:
        current = self._configuration.current
        if current is None:
            return None
        return next((one for one in current.routes if one.name == name), None)

    def _wait_ms(self, route: str, chosen: Candidate) -> float:
        hold_ms = chosen.pace * self._times.hold_ms(route)
        return slot_wait_ms(chosen.replica.slots, chosen.in_flight.online, hold_ms)

    def _prospect(
        self, held: _Held, route: Route, wait_ms: float, pace: float, now: float
    ) -> Prospect:
        current = self._configuration.current
        routes = (route,) if current is None else current.routes
        waited_ms = (now - held.heard_at) * 1000
        return Prospect(
            self._times.wait_factor(route.name) * wait_ms,
            pace * self._times.start_ms(route.name),
            held.ask.objective_left_ms - waited_ms,
            route.target_latency_s * 1000,
            most_wait_ms(route, held.priority, routes, self._times),
        )

    def _return_after_s(self, prospect: Prospect, ask: Ask, now: float) -> float | None:
        self._crowd.meet(now)
        wait_s, rest_s = prospect.wait_ms / 1000, self._crowd.rest_s(now)
        return return_after_s(wait_s, rest_s, ask.time_left_ms / 1000, self._random)


def _demand(zone: str, ask: Ask, start_ms: float) -> Demand:
    return Demand(
        zone, ask.size_bytes, ask.shared_part, ask.shared_tokens, ask.own_tokens, start_ms
    )
