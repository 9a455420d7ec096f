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

RequestId = tuple[str, int]
"""Node and number of an ask."""


class QueueKey(NamedTuple):
    """Whose requests wait in one queue."""

    rank: int
    tenant: str


class QueueOrder(NamedTuple):
    """The turn of a queue: a lower one comes first."""

    rank: int
    step: int
    """By its tenant's share; 0 where that does not count."""


@attrs.define
class QueuedRequest:
    """An online request that waits for a slot, or is about to."""

    node: str
    zone: str
    request: PlacementRequest
    received_at: float
    last_received_at: float
    queue: QueueKey
    """Its rank and the tenant that it came for, also where its number is asked for anew."""

    objective_start_at: float = 0.0
    """When it has to start to be in time (steady clock, seconds)."""

    deadline_start_at: float = 0.0
    """When it has to start to be served at all."""

    has_token: bool = False
    """Whether a token of its tenant's quota is set aside for it."""

    waits_for_memory: bool = False
    """Whether it was found larger than the room that any replica has: others may still fit."""

    @property
    def request_id(self) -> RequestId:
        """Its node and number."""
        return (self.node, self.request.number)

    def age_key(self) -> tuple[int, float]:
        """What order of arrival goes by: the more urgent first, then the older."""
        return (self.queue.rank, self.received_at)

    def order_key_at(self, now: float) -> OrderKey:
        """Return its place among requests of one rank."""
        return order_key(self.received_at, self.objective_start_at, self.deadline_start_at, now)

    def expect(self, start_ms: float) -> None:
        """Set its place among requests of one rank.

        ``start_ms`` is the time from a slot to its first event.
        """
        self.objective_start_at = (
            self.received_at + (self.request.objective_left_ms - start_ms) / 1000
        )
        self.deadline_start_at = self.received_at + (self.request.time_left_ms - start_ms) / 1000

    def time_left_ms(self, now: float) -> float:
        """Return the time until its caller gives up."""
        return self.request.time_left_ms - (now - self.last_received_at) * 1000


_BY_OBJECTIVE = attrgetter("objective_start_at", "received_at")
_BY_DEADLINE = attrgetter("deadline_start_at", "received_at")


@attrs.frozen
class _CachedFirst:
    """The held request that comes first, and for how long that holds."""

    queued: QueuedRequest
    until: float
    """When it becomes late."""


class QueuedRequests:
    """Keeps them by node and number, and in a queue for each rank and tenant."""

    def __init__(self, features: Features, shares: FairShares) -> None:
        self._features = features
        self._shares = shares
        self._by_id: dict[RequestId, QueuedRequest] = {}
        self._queues: dict[QueueKey, dict[RequestId, QueuedRequest]] = {}
        """None is empty."""

        self._cached_first: _CachedFirst | None = None

    # --- what waits ---

    def find(self, request_id: RequestId) -> QueuedRequest | None:
        """Return the request of an ask, if it is held."""
        return self._by_id.get(request_id)

    def all(self) -> list[QueuedRequest]:
        """Return what is held, in the order in which it came."""
        return list(self._by_id.values())

    def add(self, queued: QueuedRequest, now: float) -> bool:
        """Hold a request; return False where it is held already."""
        if queued.request_id in self._by_id:
            return False
        self._by_id[queued.request_id] = queued
        cached = self._cached_first
        if cached is not None and self._sort_key(queued, now) < self._sort_key(cached.queued, now):
            self._cached_first = None
        self._queues.setdefault(queued.queue, {})[queued.request_id] = queued
        return True

    def remove(self, request_id: RequestId) -> QueuedRequest | None:
        """Hold a request no more; return it if it was held."""
        queued = self._by_id.pop(request_id, None)
        if queued is None:
            return None
        if self._cached_first is not None and self._cached_first.queued is queued:
            self._cached_first = None
        queue = self._queues[queued.queue]
        del queue[request_id]
        if not queue:
            del self._queues[queued.queue]
        return queued

    def has_queue(self, key: QueueKey) -> bool:
        """Whether a request of a rank and tenant is held."""
        return key in self._queues

    def tenants(self, rank: int) -> Iterator[str]:
        """Yield the tenants with held requests of a rank."""
        return (tenant for of_rank, tenant in self._queues if of_rank == rank)

    def on_charged(self, key: QueueKey) -> None:
        """A tenant's share has changed, since a request of it is placed."""
        cached = self._cached_first
        if cached is not None and cached.queued.queue == key:
            self._cached_first = None

    # --- their order ---

    def is_first(self, queued: QueuedRequest, now: float) -> bool:
        """Whether no request that could use a free slot goes before this one.

        One that waits for memory takes no slot, and keeps nobody from one.
        """
        if not self._features.is_on(Feature.OVERLOAD_ORDER):
            return all(
                queued.age_key() <= other.age_key() for other in self._not_waiting_for_memory()
            )
        first = self._first(now)
        if first is None or first is queued:
            return True
        sort_key = self._sort_key(queued, now)
        if first.waits_for_memory:
            return all(
                sort_key <= self._sort_key(other, now) for other in self._not_waiting_for_memory()
            )
        return sort_key <= self._sort_key(first, now)

    def _not_waiting_for_memory(self) -> Iterator[QueuedRequest]:
        return (queued for queued in self._by_id.values() if not queued.waits_for_memory)

    def _sort_key(self, queued: QueuedRequest, now: float) -> tuple[QueueOrder, OrderKey]:
        return (self._queue_order(queued.queue), queued.order_key_at(now))

    def in_order(self, now: float) -> Iterator[QueuedRequest]:
        """Yield held requests in their order; one is placed before the next is asked for."""
        if not self._features.is_on(Feature.OVERLOAD_ORDER):
            yield from sorted(self._by_id.values(), key=QueuedRequest.age_key)
            return
        first = self._first(now)
        while first is not None:
            yield first
            if first.request_id in self._by_id:
                break
            first = self._first(now)
        if first is not None and first.waits_for_memory:
            # Others may fit where it does not: only now all are put into an order.
            yield from self._all_in_order(now)

    def _first(self, now: float) -> QueuedRequest | None:
        """Return the held request that comes first.

        It stays that until it is placed or late, its tenant is charged, or one comes that goes
        before it. What changes of other tenants' shares meanwhile counts for the next one; looking
        each time made a decision with 200 held requests a quarter longer.
        """
        cached = self._cached_first
        if cached is not None and now <= cached.until:
            return cached.queued
        queued = self._find_first(now)
        if queued is not None:
            until = queued.objective_start_at if now <= queued.objective_start_at else float("inf")
            self._cached_first = _CachedFirst(queued, until)
        return queued

    def _find_first(self, now: float) -> QueuedRequest | None:
        queue_orders = self._queue_orders()
        if not queue_orders:
            return None
        lowest = min(queue_orders.values())
        first = [key for key, queue_order in queue_orders.items() if queue_order == lowest]
        queued_requests = [queued for key in first for queued in self._queues[key].values()]
        in_time = [queued for queued in queued_requests if now <= queued.objective_start_at]
        # The same as the least by ``order``, at a third of its cost.
        return (
            min(in_time, key=_BY_OBJECTIVE) if in_time else min(queued_requests, key=_BY_DEADLINE)
        )

    def _all_in_order(self, now: float) -> Iterator[QueuedRequest]:
        """Yield all held requests; shares change as their tenants' requests are placed."""
        queues = {key: list(queue.values()) for key, queue in self._queues.items()}
        for queue in queues.values():
            queue.sort(reverse=True, key=lambda queued: queued.order_key_at(now))
        heap = [
            (self._stable_queue_order(key), queues[key][-1].order_key_at(now), key)
            for key in queues
        ]
        heapify(heap)
        while heap:
            _, _, key = heap[0]
            queue = queues[key]
            yield queue.pop()
            if queue:
                heapreplace(heap, (self._stable_queue_order(key), queue[-1].order_key_at(now), key))
            else:
                heappop(heap)

    def _queue_orders(self) -> dict[QueueKey, QueueOrder]:
        """Return the turns of all queues."""
        if not self._features.is_on(Feature.FAIR_SHARES):
            return {key: QueueOrder(key.rank, 0) for key in self._queues}
        tenants_by_rank: dict[int, list[str]] = {}
        for rank, tenant in self._queues:
            tenants_by_rank.setdefault(rank, []).append(tenant)
        return {
            QueueKey(rank, tenant): QueueOrder(rank, step)
            for rank, tenants in tenants_by_rank.items()
            for tenant, step in self._shares.steps(rank, tenants).items()
        }

    def _queue_order(self, key: QueueKey) -> QueueOrder:
        if not self._features.is_on(Feature.FAIR_SHARES):
            return QueueOrder(key.rank, 0)
        return QueueOrder(key.rank, self._shares.step(*key))

    def _stable_queue_order(self, key: QueueKey) -> QueueOrder:
        """Return a queue's turn as an order may keep it while others are charged."""
        if not self._features.is_on(Feature.FAIR_SHARES):
            return QueueOrder(key.rank, 0)
        return QueueOrder(key.rank, self._shares.start_step(*key))
