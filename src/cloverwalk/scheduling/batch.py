"""Grants free slots to items in one order over the fleet, and revokes them for online requests."""

from bisect import bisect_left
from collections import Counter
from collections.abc import Callable, Collection, Iterable, Iterator
from heapq import heapify, heappop, heapreplace

import attrs
import msgspec

from cloverwalk.fleet.messages import WaitingByPool, WaitingGroup
from cloverwalk.gateway.replicas import Replica
from cloverwalk.gateway.software_versions import Software, software_of
from cloverwalk.scheduling.batch_limits import reserved_slots
from cloverwalk.scheduling.decisions import Outbox
from cloverwalk.scheduling.fair_shares import FairShares
from cloverwalk.scheduling.features import Feature, Features
from cloverwalk.scheduling.item_sort_key import band_end, due_ms, rank_of
from cloverwalk.scheduling.regions import Distance
from cloverwalk.scheduling.replica_load_tracker import ReplicaLoadTracker
from cloverwalk.scheduling.replica_view import ReplicaView

INITIAL_ITEM_MS = 2000.0
"""Slot time of an item whose node has not estimated it; it is corrected when the item ends."""

DUE_SOON_FACTOR = 2.0
"""An item is due soon if the time until it is due is less than this multiple of its remaining run
time. One more preemption would then make it late at a replica without slowdown."""

FAST_THRESHOLD = 0.9
"""A replica with a slowdown below this is fast and is left to items that are due soon."""

StoreTimeMs = Callable[[], float | None]
"""Returns the current time of the store in ms, or None while it is unknown."""


@attrs.define
class _Claim:
    """A group of waiting items of one node."""

    node: str
    pool: str
    group: WaitingGroup
    remaining: int
    is_blocked: bool = False
    """Whether no free slot suits its items in this pass."""

    waiting: Collection[str] = ()
    """Tenants with waiting items in its band, set when the claim is yielded."""

    def order_key(self) -> tuple[int, str, str]:
        """Return the key that orders items over the fleet."""
        return (self.group.sort_key, self.node, self.group.replica_id)

    @property
    def work_ms(self) -> float:
        """Expected slot time of one of its items."""
        return float(self.group.remaining_ms or INITIAL_ITEM_MS)


def _sort_key(claim: _Claim) -> int:
    return claim.group.sort_key


class BatchGrants:
    """Grants slots to items and revokes them."""

    def __init__(
        self,
        replicas: ReplicaView,
        load_tracker: ReplicaLoadTracker,
        outbox: Outbox,
        arrivals_per_s: Callable[[str, float], float],
        features: Features,
    ) -> None:
        self._features = features
        self.shares = FairShares()
        self._replicas = replicas
        self._load_tracker = load_tracker
        self._outbox = outbox
        self._arrivals_per_s = arrivals_per_s
        self._waiting: dict[str, WaitingByPool] = {}
        self._node_zones: dict[str, str] = {}
        self.zone = ""
        """Zone whose replicas may be granted; empty for all."""
        self.store_ms: StoreTimeMs = _unknown_store_time

    # --- waiting items ---

    def record_waiting(self, node: str, zone: str, waiting: WaitingByPool) -> None:
        """Record a node's waiting items, without those that were granted in the meantime."""
        self._node_zones[node] = zone
        if not waiting:
            self._waiting.pop(node, None)
            return
        granted = self._load_tracker.granted(node)
        self._waiting[node] = {
            pool: _without_granted(groups, granted) if granted else groups
            for pool, groups in waiting.items()
        }

    def remove_node(self, node: str) -> None:
        """Remove the waiting items of a node."""
        self._waiting.pop(node, None)
        self._node_zones.pop(node, None)

    @property
    def waiting(self) -> dict[str, WaitingByPool]:
        """Waiting items, by node and pool."""
        return self._waiting

    # --- revoking ---

    def preempt_items(self, replica_ids: Iterable[str], now: float) -> None:
        """Revoke the slots that online work needs at these replicas."""
        for replica_id in sorted(replica_ids):
            replica = self._replicas.find(replica_id)
            if replica is None:
                continue
            excess = self._replicas.items_to_preempt(replica, now)
            holders = self._load_tracker.holders(replica_id) if excess > 0 else []
            for holder in holders:
                if excess <= 0:
                    break
                self._revoke(holder.node, replica_id, min(excess, holder.items), now)
                excess -= holder.items

    def _revoke(self, node: str, replica_id: str, count: int, now: float) -> None:
        decisions = self._outbox.for_node(node)
        decisions.revokes[replica_id] = decisions.revokes.get(replica_id, 0) + count
        tokens = -self._replicas.preempted_tokens(replica_id, count, now)
        self._load_tracker.expect(
            node, decisions.number, replica_id, batch=-count, tokens=tokens, now=now
        )

    # --- granting ---

    def grant_free_slots(self, changed: list[str], now: float) -> None:
        """Grant free slots to waiting items; ``changed`` are replicas whose load has changed."""
        for pool in sorted({pool for waiting in self._waiting.values() for pool in waiting}):
            self._grant_pool(pool, changed, now)

    def _grant_pool(self, pool: str, changed: list[str], now: float) -> None:
        """Grant free slots to the items of one pool, one by one in their order."""
        services = pool.split(",")
        all_usable = self._within_zone(self._replicas.usable(services))
        usable = self._replicas.sample(all_usable, changed)
        free_slots = {
            replica.replica_id: self._replicas.free_slots(replica, now) for replica in usable
        }
        reserved_count = self._reserved_slots(pool, now)
        free = sum(free_slots.values()) - round(
            reserved_count * len(usable) / max(1, len(all_usable))
        )
        if free <= 0:
            return
        zones = {replica.replica_id: replica.zone for replica in usable}
        may_prefill = self._replicas.may_prefill
        open_ids = {key for key in free_slots if free_slots[key] > 0 and may_prefill(key, now)}
        claims = self._claims(pool)
        for claim in self._in_order(claims) if open_ids else ():
            suitable_ids = self._reachable_ids(claim.node, open_ids, now)
            suitable_ids = self._with_software(claim.group, suitable_ids)
            suitable_ids = self._with_memory(claim, suitable_ids, now)
            if not suitable_ids:
                claim.is_blocked = True
                continue
            replica_id = self._choose_replica(claim, suitable_ids, free_slots, zones)
            self._grant_item(claim, replica_id, now)
            free -= 1
            free_slots[replica_id] -= 1
            if free_slots[replica_id] <= 0 or not may_prefill(replica_id, now):
                open_ids.discard(replica_id)
            if free <= 0 or not open_ids:
                break
        for claim in claims:
            if claim.remaining < claim.group.items:
                self._keep_remaining(claim)

    def _within_zone(self, usable: list[Replica]) -> list[Replica]:
        return [replica for replica in usable if replica.zone == self.zone] if self.zone else usable

    def _reachable_ids(self, node: str, open_ids: set[str], now: float) -> set[str]:
        """Return those of the replicas whose zones the node can reach."""
        if not self._replicas.has_unreachable_zone(node):
            return open_ids
        found = [self._replicas.find(replica_id) for replica_id in open_ids]
        replicas = [replica for replica in found if replica is not None]
        reachable = self._replicas.reachable(node, replicas, now)
        return {replica.replica_id for replica in reachable}

    def _reserved_slots(self, pool: str, now: float) -> int:
        """Return how many slots are reserved from the items of a pool."""
        prefill_ms = self._average_prefill_ms(pool)
        return sum(
            reserved_slots(self._arrivals_per_s(service, now), prefill_ms)
            for service in pool.split(",")
        )

    def waiting_items(self, now: float) -> tuple[Counter[str], Counter[str]]:
        """Return waiting items and reserved slots, by the first service of their pool."""
        items: Counter[str] = Counter()
        reserved: Counter[str] = Counter()
        for waiting in self._waiting.values():
            for pool, groups in waiting.items():
                items[pool.split(",")[0]] += sum(group.items for group in groups)
        for pool in {pool for waiting in self._waiting.values() for pool in waiting}:
            reserved[pool.split(",")[0]] += self._reserved_slots(pool, now)
        return items, reserved

    def _average_prefill_ms(self, pool: str) -> float:
        """Return the average prefill time of the waiting items of a pool."""
        groups = [group for waiting in self._waiting.values() for group in waiting.get(pool, [])]
        items = sum(group.items for group in groups)
        return sum(group.items * group.prefill_ms for group in groups) / max(1, items)

    def _claims(self, pool: str) -> list[_Claim]:
        claims = [
            _Claim(node, pool, group, group.items)
            for node, waiting in self._waiting.items()
            for group in waiting.get(pool, [])
        ]
        return sorted(claims, key=_Claim.order_key)

    def _in_order(self, claims: list[_Claim]) -> Iterator[_Claim]:
        """Yield the claim that gets the next slot, until all are granted or blocked."""
        if self._features.is_on(Feature.FAIR_SHARES):
            yield from self._in_share_order(claims)
            return
        for claim in claims:
            while claim.remaining > 0 and not claim.is_blocked:
                yield claim

    def _in_share_order(self, claims: list[_Claim]) -> Iterator[_Claim]:
        """Yield claims by band, then by their tenants' fair shares, then by due time.

        The caller grants and charges the yielded claim, or blocks it, before it takes the next
        one. Slots usually run out within the first band, so later bands are sorted only when they
        are reached.
        """
        start = 0
        while start < len(claims):
            band_limit = band_end(claims[start].group.sort_key)
            end = bisect_left(claims, band_limit, start, key=_sort_key)
            yield from self._band_in_share_order(claims[start:end])
            start = end

    def _band_in_share_order(self, claims: list[_Claim]) -> Iterator[_Claim]:
        rank = rank_of(claims[0].group.sort_key)
        queues: dict[str, list[_Claim]] = {}
        for claim in reversed(claims):
            queues.setdefault(claim.group.tenant, []).append(claim)
        start_steps = self.shares.start_steps(rank, queues)
        heap = [
            (start_steps[tenant], queue[-1].order_key(), tenant) for tenant, queue in queues.items()
        ]
        heapify(heap)
        while heap:
            tenant = heap[0][-1]
            queue = queues[tenant]
            claim = queue[-1]
            if claim.remaining <= 0 or claim.is_blocked:
                queue.pop()
            else:
                claim.waiting = queues.keys()
                yield claim
            if queue:
                heapreplace(
                    heap, (self.shares.start_step(rank, tenant), queue[-1].order_key(), tenant)
                )
            else:
                heappop(heap)
                del queues[tenant]

    def _choose_replica(
        self, claim: _Claim, open_ids: set[str], free_slots: dict[str, int], zones: dict[str, str]
    ) -> str:
        """Return the replica with the items' prompts cached, else the nearest with most free slots.

        Replicas at which the items end in time are preferred where slowdowns are known.
        """
        preferred = claim.group.replica_id
        node_zone = self._node_zones.get(claim.node, "")
        max_slowdown = self._max_slowdown(claim.group)
        if max_slowdown is not None:
            return self._choose_by_slowdown(
                preferred, node_zone, max_slowdown, open_ids, free_slots, zones
            )
        if preferred in open_ids:
            return preferred
        distance = self._replicas.regions.distance
        return min(
            open_ids, key=lambda key: (distance(node_zone, zones[key]), -free_slots[key], key)
        )

    def _with_software(self, group: WaitingGroup, open_ids: set[str]) -> set[str]:
        """Return the replicas at whose software version the output of the items goes on."""
        if not group.software_version:
            return open_ids
        software = Software(group.service, group.software_version)
        found = [self._replicas.find(replica_id) for replica_id in open_ids]
        return {
            replica.replica_id
            for replica in found
            if replica is not None and software_of(replica) == software
        }

    def _with_memory(self, claim: _Claim, open_ids: set[str], now: float) -> set[str]:
        """Return the replicas with enough free memory for one of the claim's items."""
        tokens = claim.group.tokens
        if tokens == 0:
            return open_ids
        return {key for key in open_ids if self._replicas.fits(key, tokens, now)}

    def _max_slowdown(self, group: WaitingGroup) -> float | None:
        """Return the slowdown at which the items just end in time; None if it does not count."""
        if not self._replicas.current_slowdowns or group.remaining_ms <= 0:
            return None
        store_ms = self.store_ms()
        return (
            None if store_ms is None else (due_ms(group.sort_key) - store_ms) / group.remaining_ms
        )

    def _choose_by_slowdown(
        self,
        preferred: str,
        node_zone: str,
        max_slowdown: float,
        open_ids: set[str],
        free_slots: dict[str, int],
        zones: dict[str, str],
    ) -> str:
        """Return the best replica of those at which an item ends in time, else of all.

        An item that is due soon prefers a fast replica; any other leaves the fast ones free.
        """
        slowdown_of = self._replicas.current_slowdowns.get
        distance = self._replicas.regions.distance
        is_due_soon = max_slowdown < DUE_SOON_FACTOR

        def rank(key: str) -> tuple[bool, bool, bool, int, int, str]:
            slowdown = slowdown_of(key, 1.0)
            misfit = (slowdown < FAST_THRESHOLD) != is_due_soon
            zone_distance = distance(node_zone, zones[key])
            is_far = zone_distance is Distance.OTHER_REGION
            return (slowdown > max_slowdown, is_far, misfit, zone_distance, -free_slots[key], key)

        if preferred in open_ids and slowdown_of(preferred, 1.0) <= max_slowdown:
            return preferred
        best = min(open_ids, key=rank)
        if preferred in open_ids and slowdown_of(best, 1.0) > max_slowdown:
            return preferred
        return best

    def _charge(self, claim: _Claim) -> None:
        """Charge the tenant for the slot time that an item is expected to take."""
        rank = rank_of(claim.group.sort_key)
        self.shares.charge(rank, claim.group.tenant, claim.work_ms, claim.waiting)

    def _grant_item(self, claim: _Claim, replica_id: str, now: float) -> None:
        claim.remaining -= 1
        decisions = self._outbox.for_node(claim.node)
        decisions.grants[replica_id] = decisions.grants.get(replica_id, 0) + 1
        tenant, tokens = claim.group.tenant, claim.group.tokens
        if tokens:
            grant_tokens = decisions.grant_tokens
            grant_tokens[replica_id] = grant_tokens.get(replica_id, 0) + tokens
        if self._features.is_on(Feature.FAIR_SHARES):
            self._charge(claim)
            # Items without a tenant are named too: an unnamed slot goes to the item due first.
            by_tenant = decisions.grants_by_tenant.setdefault(replica_id, {})
            by_tenant[tenant] = by_tenant.get(tenant, 0) + 1
        self._load_tracker.expect(
            claim.node,
            decisions.number,
            replica_id,
            batch=1,
            tokens=claim.group.tokens,
            tenant=tenant,
            now=now,
        )
        slowdown = self._replicas.current_slowdowns.get(replica_id, 1.0)
        self._replicas.record_prefill(replica_id, slowdown * claim.group.prefill_ms, now)
        self._replicas.record_sent(claim.node, replica_id, now)

    def _keep_remaining(self, claim: _Claim) -> None:
        """Keep the ungranted items of a group until its node reports again."""
        groups = self._waiting[claim.node][claim.pool]
        index = groups.index(claim.group)
        remaining = [] if claim.remaining == 0 else [_with_items(claim.group, claim.remaining)]
        self._waiting[claim.node][claim.pool] = [*groups[:index], *remaining, *groups[index + 1 :]]


def _unknown_store_time() -> float | None:
    return None


def _with_items(group: WaitingGroup, items: int) -> WaitingGroup:
    return msgspec.structs.replace(group, items=items)


def _without_granted(groups: list[WaitingGroup], granted: Counter[str]) -> list[WaitingGroup]:
    """Return the groups without the first items of tenants that have granted slots.

    >>> left = _without_granted([WaitingGroup(1, 2), WaitingGroup(2, 5)], Counter({"": 3}))
    >>> left == [WaitingGroup(sort_key=2, items=4)]
    True
    """
    ungranted = Counter(granted)
    remaining: list[WaitingGroup] = []
    for group in groups:
        taken = min(ungranted[group.tenant], group.items)
        ungranted[group.tenant] -= taken
        if taken < group.items:
            remaining.append(_with_items(group, group.items - taken))
    return remaining
