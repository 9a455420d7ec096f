"""Queued online requests and their order.

Requests are ordered by rank, within a rank by their tenant's usage (``fair_shares``), and within a
tenant by the cost of waiting (``overload_order``). Where these features are off, the oldest request
goes first.
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
"""Node and number of a placement request."""


class QueueKey(NamedTuple):
    """Identifies a queue."""

    rank: int
    tenant: str


class QueueOrder(NamedTuple):
    """Position of a queue among all queues; the lowest goes first."""

    rank: int
    step: int
    """Step of its tenant's usage; 0 where fair shares are off."""


@attrs.define
class QueuedRequest:
    """An online request that is queued or about to be placed."""

    node: str
    zone: str
    request: PlacementRequest
    asked_at: float
    """When it was first received (monotonic clock, seconds)."""

    last_asked_at: float
    """When its node last repeated it (monotonic clock, seconds)."""

    queue: QueueKey
    """Its queue; it stays the same if the node repeats the number for another tenant."""

    late_at: float = 0.0
    """Latest start that meets its latency objective (monotonic clock, seconds)."""

    hopeless_at: float = 0.0
    """Latest start that meets its deadline (monotonic clock, seconds)."""

    has_token: bool = False
    """Whether a token of its tenant's quota is reserved for it."""

    waits_for_memory: bool = False
    """Whether no replica has enough free memory for it; smaller requests may still fit."""

    @property
    def blocks_others(self) -> bool:
        """Whether requests behind it wait until it is placed.

        Not if only some replicas suit it: others may have room for the next request.
        """
        return not self.waits_for_memory and not self.request.is_resumption

    @property
    def request_id(self) -> RequestId:
        """Node and number."""
        return (self.node, self.request.number)

    def age_key(self) -> tuple[int, float]:
        """Return the key for order of arrival: the lower rank first, then the older request."""
        return (self.queue.rank, self.asked_at)

    def order_key_at(self, now: float) -> OrderKey:
        """Return the key that orders requests of one queue."""
        return order_key(self.asked_at, self.late_at, self.hopeless_at, now)

    def expect(self, start_ms: float) -> None:
        """Set the latest starts.

        ``start_ms`` is the expected time from getting a slot to the first event.
        """
        self.late_at = self.asked_at + (self.request.objective_left_ms - start_ms) / 1000
        self.hopeless_at = self.asked_at + (self.request.time_left_ms - start_ms) / 1000

    def time_left_ms(self, now: float) -> float:
        """Return the remaining time until its caller gives up."""
        return self.request.time_left_ms - (now - self.last_asked_at) * 1000


_BY_OBJECTIVE = attrgetter("late_at", "asked_at")
_BY_DEADLINE = attrgetter("hopeless_at", "asked_at")


@attrs.frozen
class _CachedFirst:
    """The first queued request, cached."""

    queued: QueuedRequest
    until: float
    """Time at which it becomes late and its position may change."""


class QueuedRequests:
    """Queued requests by id, and in one queue per rank and tenant."""

    def __init__(self, features: Features, shares: FairShares) -> None:
        self._features = features
        self._shares = shares
        self._by_id: dict[RequestId, QueuedRequest] = {}
        self._queues: dict[QueueKey, dict[RequestId, QueuedRequest]] = {}
        """Contains no empty queues."""

        self._cached_first: _CachedFirst | None = None

    # --- contents ---

    def find(self, request_id: RequestId) -> QueuedRequest | None:
        """Return a queued request by its id."""
        return self._by_id.get(request_id)

    def all(self) -> list[QueuedRequest]:
        """Return the queued requests in order of arrival."""
        return list(self._by_id.values())

    def add(self, queued: QueuedRequest, now: float) -> bool:
        """Queue a request; return False if it is queued already."""
        if queued.request_id in self._by_id:
            return False
        self._by_id[queued.request_id] = queued
        cached = self._cached_first
        if cached is not None and self._sort_key(queued, now) < self._sort_key(cached.queued, now):
            self._cached_first = None
        self._queues.setdefault(queued.queue, {})[queued.request_id] = queued
        return True

    def remove(self, request_id: RequestId) -> QueuedRequest | None:
        """Remove a request from its queue; return it if it was queued."""
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
        """Whether a request of this rank and tenant is queued."""
        return key in self._queues

    def tenants(self, rank: int) -> Iterator[str]:
        """Yield the tenants with queued requests of a rank."""
        return (tenant for of_rank, tenant in self._queues if of_rank == rank)

    def on_charged(self, key: QueueKey) -> None:
        """Drop the cached first request if its tenant's usage has changed."""
        cached = self._cached_first
        if cached is not None and cached.queued.queue == key:
            self._cached_first = None

    # --- order ---

    def is_first(self, queued: QueuedRequest, now: float) -> bool:
        """Whether no request that could use a free slot goes before this one.

        A request that waits for memory can't use one and does not block others, nor does a
        resumption, which can't use most of them.
        """
        if not self._features.is_on(Feature.OVERLOAD_ORDER):
            return all(queued.age_key() <= other.age_key() for other in self._blocking())
        first = self._first(now)
        if first is None or first is queued:
            return True
        sort_key = self._sort_key(queued, now)
        if not first.blocks_others:
            return all(sort_key <= self._sort_key(other, now) for other in self._blocking())
        return sort_key <= self._sort_key(first, now)

    def _blocking(self) -> Iterator[QueuedRequest]:
        return (queued for queued in self._by_id.values() if queued.blocks_others)

    def _sort_key(self, queued: QueuedRequest, now: float) -> tuple[QueueOrder, OrderKey]:
        return (self._queue_order(queued.queue), queued.order_key_at(now))

    def in_order(self, now: float) -> Iterator[QueuedRequest]:
        """Yield queued requests in order; the caller places each before it takes the next."""
        if not self._features.is_on(Feature.OVERLOAD_ORDER):
            yield from sorted(self._by_id.values(), key=QueuedRequest.age_key)
            return
        first = self._first(now)
        while first is not None:
            yield first
            if first.request_id in self._by_id:
                break
            first = self._first(now)
        if first is not None and not first.blocks_others:
            # Others may still be placed. Only in this case are all requests sorted.
            yield from self._all_in_order(now)

    def _first(self, now: float) -> QueuedRequest | None:
        """Return the request that goes first.

        The cached one is used until it is placed or becomes late, its tenant is charged, or a
        request that goes before it is added. Changes of other tenants' usage in the meantime count
        for the next one only: comparing all queues each time is too slow for a long queue.
        """
        cached = self._cached_first
        if cached is not None and now <= cached.until:
            return cached.queued
        queued = self._find_first(now)
        if queued is not None:
            until = queued.late_at if now <= queued.late_at else float("inf")
            self._cached_first = _CachedFirst(queued, until)
        return queued

    def _find_first(self, now: float) -> QueuedRequest | None:
        queue_orders = self._queue_orders()
        if not queue_orders:
            return None
        lowest = min(queue_orders.values())
        first = [key for key, queue_order in queue_orders.items() if queue_order == lowest]
        queued_requests = [queued for key in first for queued in self._queues[key].values()]
        in_time = [queued for queued in queued_requests if now <= queued.late_at]
        # The same as the minimum by ``order_key_at``, but cheaper.
        return (
            min(in_time, key=_BY_OBJECTIVE) if in_time else min(queued_requests, key=_BY_DEADLINE)
        )

    def _all_in_order(self, now: float) -> Iterator[QueuedRequest]:
        """Yield all queued requests; usage changes while the caller places them."""
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
        """Return the positions of all queues."""
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
        """Return a position that stays valid while other tenants are charged."""
        if not self._features.is_on(Feature.FAIR_SHARES):
            return QueueOrder(key.rank, 0)
        return QueueOrder(key.rank, self._shares.start_step(*key))
