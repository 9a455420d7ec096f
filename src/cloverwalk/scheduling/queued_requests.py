"""Online requests that wait for a slot, and their order.

Ranks go first. Within a rank the tenant that is furthest behind its share goes first
(``fair_shares``), and of its requests those whose wait costs most (``overload_order``); where these
parts are off, the oldest goes first.
"""

from collections.abc import Iterator
from heapq import heapify, heappop, heapreplace
from operator import attrgetter
from typing import NamedTuple

import attrs

from cloverwalk.fleet.messages import PlacementRequest
from cloverwalk.scheduling.fair_shares import FairShares
from cloverwalk.scheduling.features import Feature, Features
from cloverwalk.scheduling.overload_order import OrderKey, order_key

AskId = tuple[str, int]
"""Node and number of an ask."""


class QueueKey(NamedTuple):
    """Whose requests wait in one queue."""

    rank: int
    tenant: str


class Turn(NamedTuple):
    """The turn of a queue: a lower one comes first."""

    rank: int
    step: int
    """By its tenant's share; 0 where that does not count."""


@attrs.define
class HeldRequest:
    """An online request that waits for a slot, or is about to."""

    node: str
    zone: str
    ask: PlacementRequest
    asked_at: float
    heard_at: float
    queue: QueueKey
    """Its rank and the tenant that it came for, also where its number is asked for anew."""

    late_at: float = 0.0
    """When it has to start to be in time (steady clock, seconds)."""

    hopeless_at: float = 0.0
    """When it has to start to be served at all."""

    has_token: bool = False
    """Whether a token of its tenant's quota is set aside for it."""

    waits_for_memory: bool = False
    """Whether it was found larger than the room that any replica has: others may still fit."""

    @property
    def ask_id(self) -> AskId:
        """Its node and number."""
        return (self.node, self.ask.number)

    def by_age(self) -> tuple[int, float]:
        """What order of arrival goes by: the more urgent first, then the older."""
        return (self.queue.rank, self.asked_at)

    def order(self, now: float) -> OrderKey:
        """Return its place among requests of one rank."""
        return order_key(self.asked_at, self.late_at, self.hopeless_at, now)

    def expect(self, start_ms: float) -> None:
        """Set its place among requests of one rank.

        ``start_ms`` is the time from a slot to its first event.
        """
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

    held: HeldRequest
    until: float
    """When it becomes late."""


class HeldRequests:
    """Keeps them by node and number, and in a queue for each rank and tenant."""

    def __init__(self, features: Features, shares: FairShares) -> None:
        self._features = features
        self._shares = shares
        self._by_id: dict[AskId, HeldRequest] = {}
        self._queues: dict[QueueKey, dict[AskId, HeldRequest]] = {}
        """None is empty."""

        self._known_first: _First | None = None

    # --- what waits ---

    def find(self, ask_id: AskId) -> HeldRequest | None:
        """Return the request of an ask, if it is held."""
        return self._by_id.get(ask_id)

    def all(self) -> list[HeldRequest]:
        """Return what is held, in the order in which it came."""
        return list(self._by_id.values())

    def add(self, held: HeldRequest, now: float) -> bool:
        """Hold a request; return False where it is held already."""
        if held.ask_id in self._by_id:
            return False
        self._by_id[held.ask_id] = held
        known = self._known_first
        if known is not None and self._place_of(held, now) < self._place_of(known.held, now):
            self._known_first = None
        self._queues.setdefault(held.queue, {})[held.ask_id] = held
        return True

    def remove(self, ask_id: AskId) -> HeldRequest | None:
        """Hold a request no more; return it if it was held."""
        held = self._by_id.pop(ask_id, None)
        if held is None:
            return None
        if self._known_first is not None and self._known_first.held is held:
            self._known_first = None
        queue = self._queues[held.queue]
        del queue[ask_id]
        if not queue:
            del self._queues[held.queue]
        return held

    def has_queue(self, key: QueueKey) -> bool:
        """Whether a request of a rank and tenant is held."""
        return key in self._queues

    def tenants(self, rank: int) -> Iterator[str]:
        """Yield the tenants with held requests of a rank."""
        return (tenant for of_rank, tenant in self._queues if of_rank == rank)

    def note_charged(self, key: QueueKey) -> None:
        """A tenant's share has changed, since a request of it is placed."""
        known = self._known_first
        if known is not None and known.held.queue == key:
            self._known_first = None

    # --- their order ---

    def is_first(self, held: HeldRequest, now: float) -> bool:
        """Whether no request that could use a free slot goes before this one.

        One that waits for memory takes no slot, and keeps nobody from one.
        """
        if not self._features.is_on(Feature.OVERLOAD_ORDER):
            return all(held.by_age() <= other.by_age() for other in self._not_for_memory())
        first = self._first(now)
        if first is None or first is held:
            return True
        place = self._place_of(held, now)
        if first.waits_for_memory:
            return all(place <= self._place_of(other, now) for other in self._not_for_memory())
        return place <= self._place_of(first, now)

    def _not_for_memory(self) -> Iterator[HeldRequest]:
        return (one for one in self._by_id.values() if not one.waits_for_memory)

    def _place_of(self, held: HeldRequest, now: float) -> tuple[Turn, OrderKey]:
        return (self._turn(held.queue), held.order(now))

    def in_turn(self, now: float) -> Iterator[HeldRequest]:
        """Yield held requests in their order; one is placed before the next is asked for."""
        if not self._features.is_on(Feature.OVERLOAD_ORDER):
            yield from sorted(self._by_id.values(), key=HeldRequest.by_age)
            return
        first = self._first(now)
        while first is not None:
            yield first
            if first.ask_id in self._by_id:
                break
            first = self._first(now)
        if first is not None and first.waits_for_memory:
            # Others may fit where it does not: only now all are put into an order.
            yield from self._in_order(now)

    def _first(self, now: float) -> HeldRequest | None:
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

    def _find_first(self, now: float) -> HeldRequest | None:
        turns = self._turns()
        if not turns:
            return None
        least = min(turns.values())
        first = [key for key, turn in turns.items() if turn == least]
        held = [one for key in first for one in self._queues[key].values()]
        in_time = [one for one in held if now <= one.late_at]
        # The same as the least by ``order``, at a third of its cost.
        return min(in_time, key=_BY_LATE) if in_time else min(held, key=_BY_HOPELESS)

    def _in_order(self, now: float) -> Iterator[HeldRequest]:
        """Yield all held requests; shares change as their tenants' requests are placed."""
        queues = {key: list(queue.values()) for key, queue in self._queues.items()}
        for queue in queues.values():
            queue.sort(reverse=True, key=lambda one: one.order(now))
        heap = [(self._kept_turn(key), queues[key][-1].order(now), key) for key in queues]
        heapify(heap)
        while heap:
            _, _, key = heap[0]
            queue = queues[key]
            yield queue.pop()
            if queue:
                heapreplace(heap, (self._kept_turn(key), queue[-1].order(now), key))
            else:
                heappop(heap)

    def _turns(self) -> dict[QueueKey, Turn]:
        """Return the turns of all queues."""
        if not self._features.is_on(Feature.FAIR_SHARES):
            return {key: Turn(key.rank, 0) for key in self._queues}
        tenants_by_rank: dict[int, list[str]] = {}
        for rank, tenant in self._queues:
            tenants_by_rank.setdefault(rank, []).append(tenant)
        return {
            QueueKey(rank, tenant): Turn(rank, step)
            for rank, tenants in tenants_by_rank.items()
            for tenant, step in self._shares.steps(rank, tenants).items()
        }

    def _turn(self, key: QueueKey) -> Turn:
        if not self._features.is_on(Feature.FAIR_SHARES):
            return Turn(key.rank, 0)
        return Turn(key.rank, self._shares.step(*key))

    def _kept_turn(self, key: QueueKey) -> Turn:
        """Return a queue's turn as an order may keep it while others are charged."""
        if not self._features.is_on(Feature.FAIR_SHARES):
            return Turn(key.rank, 0)
        return Turn(key.rank, self._shares.place(*key))
