"""Places for online requests: at once, later, or told to come back; see ``admission``.

While there is too little room, tenants of one rank share it (``fair_shares``), and the requests of
one that have about the same share go by what is lost if they wait (``overload_order``).
"""

from collections.abc import Iterator, Sequence
from heapq import heapify, heappop, heapreplace
from operator import attrgetter
from random import Random

import attrs

from cloverwalk.fleet.messages import Ask, Placement, Served, TokenUse
from cloverwalk.gateway.configuration import ConfigurationHolder, Route
from cloverwalk.gateway.crash_ledger import CrashLedger
from cloverwalk.scheduling.admission import (
    AHEAD_QUEUE_SHARE,
    CROWD_OVER_S,
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
from cloverwalk.scheduling.fair_shares import FairShares
from cloverwalk.scheduling.features import Feature, Features
from cloverwalk.scheduling.overload_order import OrderKey, is_hopeless, order_key
from cloverwalk.scheduling.quotas import FleetQuotas, QuotaVerdict
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
from cloverwalk.scheduling.slot_book import SlotBook

HELD_UNASKED_S = 0.8
"""A held request that its node has not asked for again for so long is given up there."""


_Key = tuple[str, int]
"""Node and number of an ask."""

_Line = tuple[int, str]
"""Rank and tenant."""


@attrs.define
class _Held:
    """An online request that waits for a slot, or is about to."""

    node: str
    zone: str
    ask: Ask
    asked_at: float
    heard_at: float
    line: _Line
    """Its rank and the tenant that it came for, also where its number is asked for anew."""

    late_at: float = 0.0
    """When it has to start to be in time (steady clock, seconds)."""

    hopeless_at: float = 0.0
    """When it has to start to be served at all."""

    has_token: bool = False
    """Whether a token of its tenant's quota is set aside for it."""

    waits_for_memory: bool = False
    """Whether it was found larger than the room that any replica has: others may still fit."""

    def rank(self) -> tuple[int, float]:
        """What the line is sorted by: the more urgent first, then the older."""
        return (self.line[0], self.asked_at)

    def order(self, now: float) -> OrderKey:
        """Return its place among requests of one rank."""
        return order_key(self.asked_at, self.late_at, self.hopeless_at, now)

    def expect(self, start_ms: float) -> None:
        """Set its place in the order; ``start_ms`` is the time from a slot to the first event."""
        self.late_at = self.asked_at + (self.ask.objective_left_ms - start_ms) / 1000
        self.hopeless_at = self.asked_at + (self.ask.time_left_ms - start_ms) / 1000

    def time_left_ms(self, now: float) -> float:
        """Return the time until its caller gives up."""
        return self.ask.time_left_ms - (now - self.heard_at) * 1000


_BY_LATE = attrgetter("late_at", "asked_at")
_BY_HOPELESS = attrgetter("hopeless_at", "asked_at")


@attrs.frozen
class _First:
    """The held request that comes first, and for how long that holds."""

    held: _Held
    until: float
    """When it becomes late."""


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
        features: Features,
    ) -> None:
        self._features = features
        self.shares = FairShares()
        self._lines: dict[_Line, dict[_Key, _Held]] = {}
        """Held requests by rank and tenant; none is empty."""

        self._known_first: _First | None = None
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
        self._held: dict[_Key, _Held] = {}
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
        if not self._replicas.can_ever_fit(ask):
            self._outbox.of(node).placements.append(Placement(ask.number, Verdict.TOO_LARGE))
            return ""
        refusal = self._take_token(ask, now)
        if refusal is not None:
            self._outbox.of(node).placements.append(refusal)
            return ""
        priority = self._priority(ask.route, ask.tenant)
        held = _Held(node, zone, ask, now, now, (priority, ask.tenant))
        held.has_token = ask.token is TokenUse.NEW
        held.expect(self._times.start_ms(ask.route))
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
        held = self._unhold(key)
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
        for held in self._line(now):
            replica_id = self._try(held, False, now)
            if replica_id is not None:
                got.append(replica_id)
            elif not held.waits_for_memory:
                break
        return got

    def _line(self, now: float) -> Iterator[_Held]:
        """Yield held requests in their order; one is placed before the next is asked for."""
        if not self._features.is_on(Feature.OVERLOAD_ORDER):
            yield from sorted(self._held.values(), key=_Held.rank)
            return
        first = self._first(now)
        if first is None:
            return
        yield first
        # Mostly nothing else is placed: only now all are put into an order.
        yield from self._in_order(now)

    def _first(self, now: float) -> _Held | None:
        """Return the held request that comes first.

        It stays that until it is placed or late, its tenant is charged, or one comes that goes
        before it. What changes of other tenants' shares meanwhile counts for the next one; looking
        each time made a decision with 200 held requests a quarter longer.
        """
        known = self._known_first
        if known is not None and now <= known.until:
            return known.held
        held = self._find_first(now)
        if held is not None:
            until = held.late_at if now <= held.late_at else float("inf")
            self._known_first = _First(held, until)
        return held

    def _find_first(self, now: float) -> _Held | None:
        steps = self._steps()
        if not steps:
            return None
        least = min(steps.values())
        first = [line for line, step in steps.items() if step == least]
        held = [one for line in first for one in self._lines[line].values()]
        in_time = [one for one in held if now <= one.late_at]
        # The same as the least by ``order``, at a third of its cost.
        return min(in_time, key=_BY_LATE) if in_time else min(held, key=_BY_HOPELESS)

    def _in_order(self, now: float) -> Iterator[_Held]:
        """Yield all held requests; shares change as their tenants' requests are placed."""
        lines = {key: list(line.values()) for key, line in self._lines.items()}
        for line in lines.values():
            line.sort(reverse=True, key=lambda one: one.order(now))
        heap = [(step, lines[key][-1].order(now), key) for key, step in self._steps().items()]
        heapify(heap)
        while heap:
            _, _, key = heap[0]
            line = lines[key]
            yield line.pop()
            if line:
                heapreplace(heap, (self._step(key), line[-1].order(now), key))
            else:
                heappop(heap)

    def _steps(self) -> dict[_Line, tuple[int, int]]:
        """Return rank and place of the tenants with held requests."""
        if not self._features.is_on(Feature.FAIR_SHARES):
            return {key: (key[0], 0) for key in self._lines}
        tenants_by_rank: dict[int, list[str]] = {}
        for rank, tenant in self._lines:
            tenants_by_rank.setdefault(rank, []).append(tenant)
        return {
            (rank, tenant): (rank, step)
            for rank, tenants in tenants_by_rank.items()
            for tenant, step in self.shares.steps(rank, tenants).items()
        }

    def _step(self, line: _Line) -> tuple[int, int]:
        if not self._features.is_on(Feature.FAIR_SHARES):
            return (line[0], 0)
        return (line[0], self.shares.step(*line))

    # --- one request ---

    def _try(self, held: _Held, may_return: bool, now: float) -> str | None:
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
            return self._refuse(held, Placement(held.ask.number, Verdict.NONE), now)
        wait_ms = self._wait_ms(held.ask.route, chosen)
        if wait_ms > 0 and self._is_hopeless(held, candidates, now):
            return self._refuse(held, Placement(held.ask.number, Verdict.RETURN), now)
        verdict = Verdict.SEND
        route = self._route(held.ask.route)
        is_overdue = held.ask.must_place or now - held.asked_at >= LONGEST_HOLD_S
        if route is not None and not is_overdue:
            prospect = self._prospect(held, route, wait_ms, chosen.pace, now)
            verdict, ahead_ms = self._decide(held, prospect, may_return, now)
            if verdict is Verdict.RETURN:
                after_s = self._return_after_s(prospect, held.ask, now)
                if after_s is not None:
                    placement = Placement(
                        held.ask.number, verdict, retry_after_s=round(after_s, 3), ahead_ms=ahead_ms
                    )
                    if ahead_ms:
                        self.shares.held_back[held.ask.tenant] += 1
                    return self._refuse(held, placement, now)
                verdict = Verdict.HOLD
        if verdict is Verdict.HOLD:
            self._hold(held, now)
            return None
        self._place(held, chosen, wait_ms, now)
        reading_ms = expected_reading_ms(chosen, candidates, demand)
        self._replicas.note_reading(chosen.replica.replica_id, reading_ms, now)
        return chosen.replica.replica_id

    def _wait_for_memory(self, held: _Held, now: float) -> str | None:
        """Hold a request until a replica has memory for it, or refuse it in the end."""
        if held.ask.must_place or now - held.asked_at >= LONGEST_HOLD_S:
            return self._refuse(held, Placement(held.ask.number, Verdict.NONE), now)
        held.waits_for_memory = True
        self._hold(held, now)
        return None

    def _decide(
        self, held: _Held, prospect: Prospect, may_return: bool, now: float
    ) -> tuple[Verdict, int]:
        """Return what to do, and by how much its tenant is ahead where that is the reason."""
        is_first = prospect.wait_ms == 0.0 and self._is_first(held, now)
        verdict = decide(prospect, may_return, is_first)
        if not self._features.is_on(Feature.FAIR_SHARES):
            return verdict, 0
        rank, tenant = held.line
        if not self.shares.is_ahead(rank, tenant):
            is_other_ahead = now - self._ahead_at.get(rank, float("-inf")) < CROWD_OVER_S
            if verdict is Verdict.RETURN and is_other_ahead and held.line not in self._lines:
                # It gets the next free slot before the tenant that is ahead.
                verdict = Verdict.HOLD
            return verdict, 0
        self._ahead_at[rank] = now
        if not self._do_others_wait(rank, tenant):
            return verdict, 0
        if verdict is Verdict.SEND:
            most_ms = AHEAD_QUEUE_SHARE * prospect.most_wait_ms
            less = attrs.evolve(prospect, most_wait_ms=most_ms)
            verdict = decide(less, may_return, is_first)
        return verdict, round(self.shares.ahead_ms(rank, tenant))

    def _do_others_wait(self, rank: int, tenant: str) -> bool:
        """Whether a request is held of another tenant of a rank that is not ahead of its share."""
        return any(
            of_rank == rank and other != tenant and not self.shares.is_ahead(rank, other)
            for of_rank, other in self._lines
        )

    def _is_hopeless(self, held: _Held, candidates: Sequence[Candidate], now: float) -> bool:
        """Whether no replica can serve it before its deadline; one that may have run goes on."""
        if held.ask.token is TokenUse.AGAIN or held.ask.time_left_ms <= 0:
            return False
        if not self._features.is_on(Feature.OVERLOAD_ORDER):
            return False
        start_ms, left_ms = self._times.start_ms(held.ask.route), held.time_left_ms(now)
        waits = (self._wait_ms(held.ask.route, one) for one in candidates)
        return all(is_hopeless(wait_ms, start_ms, left_ms) for wait_ms in waits)

    def _unhold(self, key: _Key) -> _Held | None:
        held = self._held.pop(key, None)
        if held is not None:
            if self._known_first is not None and self._known_first.held is held:
                self._known_first = None
            line = self._lines[held.line]
            del line[key]
            if not line:
                del self._lines[held.line]
        return held

    def _refuse(self, held: _Held, placement: Placement, now: float) -> str:
        self._unhold((held.node, held.ask.number))
        if held.has_token:
            self._quotas.release(held.ask.tenant, now)
        self._outbox.of(held.node).placements.append(placement)
        return ""

    def _hold(self, held: _Held, now: float) -> None:
        key = (held.node, held.ask.number)
        if key not in self._held:
            self._held[key] = held
            known = self._known_first
            if known is not None and self._place_of(held, now) < self._place_of(known.held, now):
                self._known_first = None
            self._lines.setdefault(held.line, {})[key] = held
            placement = Placement(held.ask.number, Verdict.HOLD)
            self._outbox.of(held.node).placements.append(placement)

    def _place(self, held: _Held, chosen: Candidate, wait_ms: float, now: float) -> None:
        self._unhold((held.node, held.ask.number))
        self._charge(held)
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
        self._book.expect(
            held.node, decisions.number, replica_id, online=1, tokens=held.ask.tokens, now=now
        )
        self._replicas.note_sent(held.node, replica_id, now)
        if held.ask.content:
            self._replicas.note_sent_suspect(replica_id, held.ask.content, now)

    def _charge(self, held: _Held) -> None:
        """Count the slot time that a request is expected to take to its tenant."""
        if self._features.is_on(Feature.FAIR_SHARES):
            rank, tenant = held.line
            work_ms = self._times.hold_ms(held.ask.route)
            known = self._known_first
            if known is not None and known.held.line == held.line:
                self._known_first = None
            waiting = (other for of_rank, other in self._lines if of_rank == rank)
            self.shares.charge(rank, tenant, work_ms, waiting)

    def correct(self, served: Served) -> None:
        """Count what a request took beyond what was expected; before its times are learnt."""
        if not served.tenant or not self._features.is_on(Feature.FAIR_SHARES):
            return
        rank = self._priority(served.route, served.tenant)
        more_ms = served.hold_ms - self._times.hold_ms(served.route)
        self.shares.correct(rank, served.tenant, more_ms)

    # --- what it can expect ---

    def _is_first(self, held: _Held, now: float) -> bool:
        if not self._features.is_on(Feature.OVERLOAD_ORDER):
            return all(held.rank() <= other.rank() for other in self._held.values())
        first = self._first(now)
        if first is None or first is held:
            return True
        return self._place_of(held, now) <= self._place_of(first, now)

    def _place_of(self, held: _Held, now: float) -> tuple[tuple[int, int], OrderKey]:
        return (self._step(held.line), held.order(now))

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
            most_wait_ms(route, held.line[0], routes, self._times),
        )

    def _return_after_s(self, prospect: Prospect, ask: Ask, now: float) -> float | None:
        self._crowd.meet(now)
        wait_s, rest_s = prospect.wait_ms / 1000, self._crowd.rest_s(now)
        return return_after_s(wait_s, rest_s, ask.time_left_ms / 1000, self._random)

    def _demand(self, held: _Held) -> Demand:
        ask = held.ask
        return Demand(
            held.zone,
            ask.size_bytes,
            ask.shared_part,
            ask.shared_tokens,
            ask.own_tokens,
            self._other_zone_ms(ask),
            self._times.start_ms(ask.route),
        )

    def _other_zone_ms(self, ask: Ask) -> float:
        """Return what another zone costs a request: more for one that a cut would end for good.

        It is at most the time that the request has to spare: it rather crosses than is late.
        """
        route = self._route(ask.route)
        may_repeat = route is None or route.may_repeat
        if may_repeat or not self._features.is_on(Feature.ZONE_LOSS):
            return OTHER_ZONE_MS
        spare_ms = ask.objective_left_ms - self._times.start_ms(ask.route)
        return max(OTHER_ZONE_MS, min(ONCE_OTHER_ZONE_MS, spare_ms))
