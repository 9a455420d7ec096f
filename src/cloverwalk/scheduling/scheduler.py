"""Which request and which item gets which slot. A policy without I/O; time is passed in.

Online requests are placed at once, or told to come back, or held until a slot is free, see
``gateway.admission``. Items get the slots that online work leaves, in one order over the fleet,
and give them back when an online request needs them.
"""

from collections.abc import Iterable
from random import Random

import attrs

from cloverwalk.fleet.messages import (
    Ask,
    NodeLoad,
    Placement,
    Report,
    Served,
    Waiting,
    WaitingGroup,
)
from cloverwalk.gateway.admission import (
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
from cloverwalk.gateway.configuration import ConfigurationHolder, Route
from cloverwalk.gateway.replicas import Replica, ReplicaDirectory
from cloverwalk.gateway.selection import (
    Candidate,
    Demand,
    choose,
    expected_reading_ms,
)
from cloverwalk.gateway.service_times import ServiceTimes
from cloverwalk.scheduling.arrivals import ArrivalRate
from cloverwalk.scheduling.share import batch_room, kept_free, may_read_more, must_yield
from cloverwalk.scheduling.slot_book import SlotBook

HELD_UNASKED_S = 0.8
"""A held request that its node has not asked for again for so long is given up there."""


@attrs.define
class Decisions:
    """What one node is to be told; ``number`` counts by node."""

    number: int
    placements: list[Placement] = attrs.Factory(list)
    grants: dict[str, int] = attrs.Factory(dict)
    revokes: dict[str, int] = attrs.Factory(dict)


@attrs.define
class _Held:
    """An online request that waits for a slot."""

    node: str
    zone: str
    ask: Ask
    asked_at: float
    heard_at: float
    priority: int

    def rank(self) -> tuple[int, float]:
        """What the line is sorted by: the more urgent first, then the older."""
        return (self.priority, self.asked_at)


@attrs.define
class _Claim:
    """Waiting items of a node that may get slots now."""

    node: str
    pool: str
    group: WaitingGroup
    left: int

    def rank(self) -> tuple[int, str, str]:
        """What items over the fleet are sorted by."""
        return (self.group.due_step, self.node, self.group.replica_id)


class Scheduler:
    """Decides for the nodes that report to it. ``take_decisions`` returns what to tell them."""

    def __init__(
        self,
        directory: ReplicaDirectory,
        configuration: ConfigurationHolder,
        times: ServiceTimes,
        random: Random,
    ) -> None:
        self._directory = directory
        self._configuration = configuration
        self._random = random
        self.times = times
        self.book = SlotBook()
        self._zones: dict[str, str] = {}
        self._waiting: dict[str, Waiting] = {}
        self._suspects: dict[str, set[str]] = {}
        self._held: dict[tuple[str, int], _Held] = {}
        self._arrivals: dict[str, ArrivalRate] = {}
        self._read_until: dict[str, float] = {}
        self._crowd = CrowdWatch()
        self._returns = ReturnBook()
        self._numbers: dict[str, int] = {}
        self._decided: dict[str, Decisions] = {}

    # --- what nodes report ---

    def hear(self, report: Report, now: float) -> None:
        """Take a node's state and its asks, and decide what follows."""
        node = report.node
        self._zones[node] = report.zone
        changed = self.book.hear(node, report.loads, report.settled)
        self._hear_waiting(node, report.waiting)
        self._hear_suspects(node, report.suspects, now)
        for number in report.withdrawn:
            self._held.pop((node, number), None)
        for served in report.served:
            self._learn(served)
        for ask in report.asks:
            self._answer(node, report.zone, ask, now)
        self._make_room(changed, now)
        self.fill(now)

    def _hear_waiting(self, node: str, waiting: Waiting) -> None:
        if not waiting:
            self._waiting.pop(node, None)
            return
        granted = self.book.granted(node)
        self._waiting[node] = {
            pool: _without_first(groups, granted) if granted else groups
            for pool, groups in waiting.items()
        }

    def _hear_suspects(self, node: str, suspects: list[str], now: float) -> None:
        known = self._suspects.get(node, set())
        self._suspects[node] = set(suspects)
        self._directory.hear_suspects(suspects, now)
        for replica_id in suspects:
            if replica_id not in known:
                self._directory.suspect(replica_id, now)

    def _learn(self, served: Served) -> None:
        self._directory.clear_suspicion(served.replica_id)
        self.times.note_hold(served.route, served.hold_ms)
        if served.expected_wait_ms > 0:
            self.times.note_wait(served.route, served.expected_wait_ms, served.start_ms)
        else:
            self.times.note_start(served.route, served.start_ms)

    def forget(self, node: str, now: float) -> None:
        """A node is gone: its work ends, and its requests wait no more."""
        changed = self.book.forget(node)
        self._waiting.pop(node, None)
        self._suspects.pop(node, None)
        for key in [one for one in self._held if one[0] == node]:
            del self._held[key]
        self._make_room(changed, now)
        self.fill(now)

    def tick(self, now: float) -> None:
        """Do what is due by time alone."""
        self.book.expire(now)
        for key, held in list(self._held.items()):
            if now - held.heard_at > HELD_UNASKED_S:
                del self._held[key]
        self.fill(now)

    def take_decisions(self) -> dict[str, Decisions]:
        """Return what was decided since the last call, by node."""
        decided, self._decided = self._decided, {}
        return decided

    def last_number(self, node: str) -> int:
        """Return the number of the last decisions for a node."""
        return self._numbers.get(node, 0)

    def _for(self, node: str) -> Decisions:
        decisions = self._decided.get(node)
        if decisions is None:
            self._numbers[node] = number = self._numbers.get(node, 0) + 1
            decisions = self._decided[node] = Decisions(number)
        return decisions

    # --- online requests ---

    def _answer(self, node: str, zone: str, ask: Ask, now: float) -> None:
        held = self._held.get((node, ask.number))
        if held is None:
            route = self._route(ask.route)
            priority = 0 if route is None else route.priority
            held = _Held(node, zone, ask, now, now, priority)
            self._arrivals.setdefault(ask.service, ArrivalRate()).note(now)
            may_return = not self._returns.came_back(
                ask.route, None if ask.deadline_ms is None else ask.deadline_ms / 1000
            )
        else:
            held.ask, held.heard_at = ask, now
            may_return = False
        self._try(held, may_return, now)

    def _try(self, held: _Held, may_return: bool, now: float) -> bool:
        """Place a request, or answer that it is held or has to come back; return if it is out."""
        ask = held.ask
        key = (held.node, ask.number)
        candidates = self._candidates(held.node, ask, now)
        demand = _demand(held.zone, ask)
        chosen = choose(candidates, demand)
        if chosen is None:
            self._held.pop(key, None)
            self._for(held.node).placements.append(Placement(ask.number, Verdict.NONE))
            return True
        wait_ms = self._wait_ms(ask.route, chosen)
        is_overdue = ask.must_place or now - held.asked_at >= LONGEST_HOLD_S
        route = self._route(ask.route)
        if is_overdue or route is None:
            verdict = Verdict.SEND
        else:
            prospect = self._prospect(held, route, wait_ms, now)
            verdict = decide(prospect, may_return, self._is_first(held))
            if verdict is Verdict.RETURN:
                after_s = self._return_after_s(prospect, ask, now)
                if after_s is not None:
                    self._held.pop(key, None)
                    placement = Placement(ask.number, verdict, retry_after_s=round(after_s, 3))
                    self._for(held.node).placements.append(placement)
                    return True
                verdict = Verdict.HOLD
        if verdict is Verdict.HOLD:
            if key not in self._held:
                self._held[key] = held
                self._for(held.node).placements.append(Placement(ask.number, Verdict.HOLD))
            return False
        self._held.pop(key, None)
        reading_ms = expected_reading_ms(chosen, candidates, demand)
        self._place(held, chosen.replica, wait_ms, reading_ms, now)
        return True

    def _place(
        self, held: _Held, replica: Replica, wait_ms: float, reading_ms: float, now: float
    ) -> None:
        decisions = self._for(held.node)
        number, replica_id = held.ask.number, replica.replica_id
        placement = Placement(number, Verdict.SEND, replica_id, round(wait_ms))
        decisions.placements.append(placement)
        self.book.expect(held.node, decisions.number, replica_id, online=1, now=now)
        self._note_reading(replica_id, reading_ms, now)
        self._make_room([replica_id], now)

    def _is_first(self, held: _Held) -> bool:
        return all(held.rank() <= other.rank() for other in self._held.values())

    def _route(self, name: str) -> Route | None:
        current = self._configuration.current
        if current is None:
            return None
        return next((one for one in current.routes if one.name == name), None)

    def _wait_ms(self, route: str, chosen: Candidate) -> float:
        hold_ms = self.times.hold_ms(route)
        return slot_wait_ms(chosen.replica.slots, chosen.in_flight.online, hold_ms)

    def _prospect(self, held: _Held, route: Route, wait_ms: float, now: float) -> Prospect:
        current = self._configuration.current
        routes = (route,) if current is None else current.routes
        waited_ms = (now - held.heard_at) * 1000
        return Prospect(
            self.times.wait_factor(route.name) * wait_ms,
            self.times.start_ms(route.name),
            held.ask.objective_left_ms - waited_ms,
            route.target_latency_s * 1000,
            most_wait_ms(route, routes, self.times),
        )

    def _return_after_s(self, prospect: Prospect, ask: Ask, now: float) -> float | None:
        self._crowd.meet(now)
        rest_s = self._crowd.rest_s(now)
        return return_after_s(
            prospect.wait_ms / 1000, rest_s, ask.time_left_ms / 1000, self._random
        )

    def _candidates(self, node: str, ask: Ask, now: float) -> list[Candidate]:
        """Return the replicas that a request was not at yet, or else all."""
        usable = self._directory.usable(ask.service)
        fresh = [one for one in usable if one.replica_id not in ask.avoid]
        suspects = self._suspects.get(node, set())
        return [
            Candidate(
                one,
                self.book.total(one.replica_id, now),
                one.replica_id in suspects or self._directory.is_suspect(one.replica_id, now),
                self._directory.is_doubted(one.replica_id, now),
                self._reading_ms(one.replica_id, now),
            )
            for one in fresh or usable
        ]

    def _note_reading(self, replica_id: str, reading_ms: float, now: float) -> None:
        begins_at = max(now, self._read_until.get(replica_id, now))
        self._read_until[replica_id] = begins_at + reading_ms / 1000

    def _reading_ms(self, replica_id: str, now: float) -> float:
        return max(0.0, self._read_until.get(replica_id, now) - now) * 1000

    # --- slots ---

    def fill(self, now: float) -> None:
        """Give free slots to held requests, then to waiting items."""
        for held in sorted(self._held.values(), key=_Held.rank):
            if not self._try(held, False, now):
                break
        for pool in sorted({pool for waiting in self._waiting.values() for pool in waiting}):
            self._grant(pool, now)

    def _make_room(self, replica_ids: Iterable[str], now: float) -> None:
        """Have items suspended that stand in the way of online work."""
        for replica_id in sorted(replica_ids):
            replica = self._directory.find(replica_id)
            if replica is None:
                continue
            excess = must_yield(replica.slots, self.book.total(replica_id, now))
            holders = self.book.holders(replica_id) if excess > 0 else []
            for holder in holders:
                if excess <= 0:
                    break
                self._revoke(holder.node, replica_id, min(excess, holder.items), now)
                excess -= holder.items

    def _revoke(self, node: str, replica_id: str, count: int, now: float) -> None:
        decisions = self._for(node)
        decisions.revokes[replica_id] = decisions.revokes.get(replica_id, 0) + count
        self.book.expect(node, decisions.number, replica_id, batch=-count, now=now)

    def _grant(self, pool: str, now: float) -> None:
        """Give free slots to the items of a pool, those due first in front."""
        services = pool.split(",")
        usable = [one for service in services for one in self._directory.usable(service)]
        room = {one.replica_id: self._room(one, now) for one in usable}
        kept = sum(kept_free(self._arrivals_per_s(service, now)) for service in services)
        free = sum(room.values()) - kept
        if free <= 0:
            return
        zones = {one.replica_id: one.zone for one in usable}
        open_ids = {key for key in room if room[key] > 0 and self._may_read(key, now)}
        for claim in self._claims(pool):
            while claim.left > 0 and free > 0 and open_ids:
                replica_id = self._best(claim, open_ids, room, zones)
                self._grant_one(claim, replica_id, now)
                free -= 1
                room[replica_id] -= 1
                if room[replica_id] <= 0 or not self._may_read(replica_id, now):
                    open_ids.discard(replica_id)
            self._leave(claim)
            if free <= 0 or not open_ids:
                return

    def _room(self, replica: Replica, now: float) -> int:
        is_poor = self._directory.is_suspect(replica.replica_id, now)
        if is_poor or self._directory.is_doubted(replica.replica_id, now):
            return 0
        return batch_room(replica.slots, self.book.total(replica.replica_id, now))

    def _may_read(self, replica_id: str, now: float) -> bool:
        return may_read_more(self._reading_ms(replica_id, now))

    def _arrivals_per_s(self, service: str, now: float) -> float:
        rate = self._arrivals.get(service)
        return 0.0 if rate is None else rate.per_s(now)

    def _claims(self, pool: str) -> list[_Claim]:
        claims = [
            _Claim(node, pool, group, group.items)
            for node, waiting in self._waiting.items()
            for group in waiting.get(pool, [])
        ]
        return sorted(claims, key=_Claim.rank)

    def _best(
        self, claim: _Claim, open_ids: set[str], room: dict[str, int], zones: dict[str, str]
    ) -> str:
        """Return the replica that keeps the items' prompts, or the emptiest, nearest first."""
        preferred = claim.group.replica_id
        if preferred in open_ids:
            return preferred
        own_zone = self._zones.get(claim.node, "")
        return min(open_ids, key=lambda key: (zones[key] != own_zone, -room[key], key))

    def _grant_one(self, claim: _Claim, replica_id: str, now: float) -> None:
        claim.left -= 1
        decisions = self._for(claim.node)
        decisions.grants[replica_id] = decisions.grants.get(replica_id, 0) + 1
        self.book.expect(claim.node, decisions.number, replica_id, batch=1, now=now)
        self._note_reading(replica_id, float(claim.group.reading_ms), now)

    def _leave(self, claim: _Claim) -> None:
        """Keep what is left of a group until its node reports again."""
        groups = self._waiting[claim.node][claim.pool]
        index = groups.index(claim.group)
        left = [] if claim.left == 0 else [_with_items(claim.group, claim.left)]
        self._waiting[claim.node][claim.pool] = [*groups[:index], *left, *groups[index + 1 :]]

    # --- for other nodes ---

    def totals(self) -> dict[str, NodeLoad]:
        """Return the work of all nodes by replica."""
        return self.book.totals()


def _demand(zone: str, ask: Ask) -> Demand:
    return Demand(zone, ask.size_bytes, ask.shared_part, ask.shared_tokens, ask.own_tokens)


def _with_items(group: WaitingGroup, items: int) -> WaitingGroup:
    return WaitingGroup(group.due_step, items, group.replica_id, group.reading_ms)


def _without_first(groups: list[WaitingGroup], count: int) -> list[WaitingGroup]:
    """Return groups without their first items.

    >>> _without_first([WaitingGroup(1, 2), WaitingGroup(2, 5)], 3)
    [WaitingGroup(due_step=2, items=4, replica_id='', reading_ms=0)]
    """
    kept: list[WaitingGroup] = []
    for group in groups:
        taken = min(count, group.items)
        count -= taken
        if taken < group.items:
            kept.append(_with_items(group, group.items - taken))
    return kept
