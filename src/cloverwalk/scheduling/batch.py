"""Slots for batch items: granted in one order over the fleet, revoked for online requests."""

from bisect import bisect_left
from collections import Counter
from collections.abc import Callable, Collection, Iterable, Iterator
from heapq import heapify, heappop, heapreplace

import attrs
import msgspec

from cloverwalk.fleet.messages import WaitingByPool, WaitingGroup
from cloverwalk.gateway.replicas import Replica
from cloverwalk.scheduling.batch_limits import reserved_slots
from cloverwalk.scheduling.decisions import Outbox
from cloverwalk.scheduling.fair_shares import FairShares
from cloverwalk.scheduling.features import Feature, Features
from cloverwalk.scheduling.item_sort_key import band_end, due_ms, rank_of
from cloverwalk.scheduling.replica_load_tracker import ReplicaLoadTracker
from cloverwalk.scheduling.replica_view import ReplicaView

FIRST_GUESS_ITEM_MS = 2000.0
"""Slot time of an item whose node has not told it; what it took is told at its end."""

SOON_FACTOR = 2.0
"""An item with less than this multiple of the time that it still runs is due soon: one more pause
for online work would make it late at a usual replica."""

FAST_BELOW = 0.9
"""A replica whose pace is below this counts as fast; items with time to spare leave it alone."""

StoreMs = Callable[[], float | None]
"""Returns the present time of the store, in ms; None while it is not known."""


@attrs.define
class _Claim:
    """Waiting items of a node that may get slots now."""

    node: str
    pool: str
    group: WaitingGroup
    left: int
    is_blocked: bool = False
    """Whether no free slot suits its items now."""

    waiting: Collection[str] = ()
    """Tenants with items of its band, as it is yielded."""

    def rank(self) -> tuple[int, str, str]:
        """What items over the fleet are sorted by."""
        return (self.group.sort_key, self.node, self.group.replica_id)

    @property
    def work_ms(self) -> float:
        """The slot time that one of its items is expected to take."""
        return float(self.group.remaining_ms or FIRST_GUESS_ITEM_MS)


def _due_step(claim: _Claim) -> int:
    return claim.group.sort_key


class BatchGrants:
    """Grants and revokes."""

    def __init__(
        self,
        replicas: ReplicaView,
        book: ReplicaLoadTracker,
        outbox: Outbox,
        arrivals_per_s: Callable[[str, float], float],
        features: Features,
    ) -> None:
        self._features = features
        self.shares = FairShares()
        self._replicas = replicas
        self._book = book
        self._outbox = outbox
        self._arrivals_per_s = arrivals_per_s
        self._waiting: dict[str, WaitingByPool] = {}
        self._zones: dict[str, str] = {}
        self.zone = ""
        """The zone whose replicas items get slots of; empty: all."""
        self.store_ms: StoreMs = _not_known

    # --- what waits ---

    def record_waiting(self, node: str, zone: str, waiting: WaitingByPool) -> None:
        """Take what waits at a node; what it was just granted does not wait any more."""
        self._zones[node] = zone
        if not waiting:
            self._waiting.pop(node, None)
            return
        granted = self._book.granted(node)
        self._waiting[node] = {
            pool: _without_granted(groups, granted) if granted else groups
            for pool, groups in waiting.items()
        }

    def remove_node(self, node: str) -> None:
        """A node is gone."""
        self._waiting.pop(node, None)
        self._zones.pop(node, None)

    @property
    def waiting(self) -> dict[str, WaitingByPool]:
        """What waits, by node."""
        return self._waiting

    # --- revoking ---

    def make_room(self, replica_ids: Iterable[str], now: float) -> None:
        """Have items suspended that stand in the way of online work."""
        for replica_id in sorted(replica_ids):
            replica = self._replicas.find(replica_id)
            if replica is None:
                continue
            excess = self._replicas.items_to_preempt(replica, now)
            holders = self._book.holders(replica_id) if excess > 0 else []
            for holder in holders:
                if excess <= 0:
                    break
                self._revoke(holder.node, replica_id, min(excess, holder.items), now)
                excess -= holder.items

    def _revoke(self, node: str, replica_id: str, count: int, now: float) -> None:
        decisions = self._outbox.of(node)
        decisions.revokes[replica_id] = decisions.revokes.get(replica_id, 0) + count
        tokens = -self._replicas.preempted_tokens(replica_id, count, now)
        self._book.expect(node, decisions.number, replica_id, batch=-count, tokens=tokens, now=now)

    # --- granting ---

    def fill(self, changed: list[str], now: float) -> None:
        """Give free slots to waiting items; work has changed at the replicas ``changed``."""
        for pool in sorted({pool for waiting in self._waiting.values() for pool in waiting}):
            self._grant(pool, changed, now)

    def _grant(self, pool: str, changed: list[str], now: float) -> None:
        """Give free slots to the items of a pool, one by one in their order."""
        services = pool.split(",")
        all_usable = self._within_zone(self._replicas.usable(services))
        usable = self._replicas.sample(all_usable, changed)
        room = {one.replica_id: self._replicas.room(one, now) for one in usable}
        kept = self._kept_free(pool, now)
        free = sum(room.values()) - round(kept * len(usable) / max(1, len(all_usable)))
        if free <= 0:
            return
        zones = {one.replica_id: one.zone for one in usable}
        may_read = self._replicas.may_read
        open_ids = {key for key in room if room[key] > 0 and may_read(key, now)}
        claims = self._claims(pool)
        for claim in self._in_order(claims) if open_ids else ():
            suitable_ids = self._reachable_ids(claim.node, open_ids, now)
            suitable_ids = self._where_it_fits(claim, suitable_ids, now)
            if not suitable_ids:
                claim.is_blocked = True
                continue
            replica_id = self._best(claim, suitable_ids, room, zones)
            self._grant_one(claim, replica_id, now)
            free -= 1
            room[replica_id] -= 1
            if room[replica_id] <= 0 or not may_read(replica_id, now):
                open_ids.discard(replica_id)
            if free <= 0 or not open_ids:
                break
        for claim in claims:
            if claim.left < claim.group.items:
                self._leave(claim)

    def _within_zone(self, usable: list[Replica]) -> list[Replica]:
        return [one for one in usable if one.zone == self.zone] if self.zone else usable

    def _reachable_ids(self, node: str, open_ids: set[str], now: float) -> set[str]:
        """Return the replicas with room in zones that a node reaches."""
        if not self._replicas.is_cut(node):
            return open_ids
        found = [self._replicas.find(one) for one in open_ids]
        replicas = [one for one in found if one is not None]
        reachable = self._replicas.reachable(node, replicas, now)
        return {one.replica_id for one in reachable}

    def _kept_free(self, pool: str, now: float) -> int:
        """Return how many slots the items of a pool leave free."""
        reading_ms = self._reading_ms(pool)
        return sum(
            reserved_slots(self._arrivals_per_s(service, now), reading_ms)
            for service in pool.split(",")
        )

    def waiting_items(self, now: float) -> tuple[Counter[str], Counter[str]]:
        """Return waiting items and slots kept free of them, by the first service of their pool."""
        items: Counter[str] = Counter()
        kept: Counter[str] = Counter()
        for waiting in self._waiting.values():
            for pool, groups in waiting.items():
                items[pool.split(",")[0]] += sum(one.items for one in groups)
        for pool in {pool for waiting in self._waiting.values() for pool in waiting}:
            kept[pool.split(",")[0]] += self._kept_free(pool, now)
        return items, kept

    def _reading_ms(self, pool: str) -> float:
        """Return how long a replica reads the prompt of a waiting item, on average."""
        groups = [one for waiting in self._waiting.values() for one in waiting.get(pool, [])]
        items = sum(one.items for one in groups)
        return sum(one.items * one.prefill_ms for one in groups) / max(1, items)

    def _claims(self, pool: str) -> list[_Claim]:
        claims = [
            _Claim(node, pool, group, group.items)
            for node, waiting in self._waiting.items()
            for group in waiting.get(pool, [])
        ]
        return sorted(claims, key=_Claim.rank)

    def _in_order(self, claims: list[_Claim]) -> Iterator[_Claim]:
        """Yield the claim whose item gets the next slot, until all are granted."""
        if self._features.is_on(Feature.FAIR_SHARES):
            yield from self._by_shares(claims)
            return
        for claim in claims:
            while claim.left > 0 and not claim.is_blocked:
                yield claim

    def _by_shares(self, claims: list[_Claim]) -> Iterator[_Claim]:
        """Yield claims by band, then by their tenants' shares, then by due time.

        What is yielded is granted and charged, or blocked, before the next one is asked for. Mostly
        slots are gone within the first band, so the others are not looked at before.
        """
        start = 0
        while start < len(claims):
            after = band_end(claims[start].group.sort_key)
            end = bisect_left(claims, after, start, key=_due_step)
            yield from self._within_band(claims[start:end])
            start = end

    def _within_band(self, claims: list[_Claim]) -> Iterator[_Claim]:
        rank = rank_of(claims[0].group.sort_key)
        queues: dict[str, list[_Claim]] = {}
        for claim in reversed(claims):
            queues.setdefault(claim.group.tenant, []).append(claim)
        places = self.shares.places(rank, queues)
        heap = [(places[tenant], queue[-1].rank(), tenant) for tenant, queue in queues.items()]
        heapify(heap)
        while heap:
            tenant = heap[0][-1]
            queue = queues[tenant]
            claim = queue[-1]
            if claim.left <= 0 or claim.is_blocked:
                queue.pop()
            else:
                claim.waiting = queues.keys()
                yield claim
            if queue:
                heapreplace(heap, (self.shares.place(rank, tenant), queue[-1].rank(), tenant))
            else:
                heappop(heap)
                del queues[tenant]

    def _best(
        self, claim: _Claim, open_ids: set[str], room: dict[str, int], zones: dict[str, str]
    ) -> str:
        """Return the replica that keeps the items' prompts, or the emptiest, nearest first.

        Where replicas differ in pace, only those count where the items end in time, if any do.
        """
        preferred = claim.group.replica_id
        own_zone = self._zones.get(claim.node, "")
        most = self._most_pace(claim.group)
        if most is not None:
            return self._best_by_pace(preferred, own_zone, most, open_ids, room, zones)
        if preferred in open_ids:
            return preferred
        return min(open_ids, key=lambda key: (zones[key] != own_zone, -room[key], key))

    def _where_it_fits(self, claim: _Claim, open_ids: set[str], now: float) -> set[str]:
        """Return the replicas whose memory has room for one of a claim's items."""
        tokens = claim.group.tokens
        if tokens == 0:
            return open_ids
        return {key for key in open_ids if self._replicas.fits(key, tokens, now)}

    def _most_pace(self, group: WaitingGroup) -> float | None:
        """Return the pace at which items of a group just end in time; None: pace does not count."""
        if not self._replicas.paces or group.remaining_ms <= 0:
            return None
        store_ms = self.store_ms()
        return (
            None if store_ms is None else (due_ms(group.sort_key) - store_ms) / group.remaining_ms
        )

    def _best_by_pace(
        self,
        preferred: str,
        own_zone: str,
        most: float,
        open_ids: set[str],
        room: dict[str, int],
        zones: dict[str, str],
    ) -> str:
        """Return the best replica of those where an item ends in time, else of all.

        One that is due soon goes to a fast one; one with time to spare leaves these to others.
        """
        pace_of = self._replicas.paces.get
        is_soon = most < SOON_FACTOR

        def rank(key: str) -> tuple[int, bool, int, str]:
            pace = pace_of(key, 1.0)
            misfit = 2 * (pace > most) + ((pace < FAST_BELOW) != is_soon)
            return (misfit, zones[key] != own_zone, -room[key], key)

        if preferred in open_ids and pace_of(preferred, 1.0) <= most:
            return preferred
        best = min(open_ids, key=rank)
        if preferred in open_ids and pace_of(best, 1.0) > most:
            return preferred
        return best

    def _charge(self, claim: _Claim) -> None:
        """Count the slot time that an item is expected to take to its tenant."""
        rank = rank_of(claim.group.sort_key)
        self.shares.charge(rank, claim.group.tenant, claim.work_ms, claim.waiting)

    def _grant_one(self, claim: _Claim, replica_id: str, now: float) -> None:
        claim.left -= 1
        decisions = self._outbox.of(claim.node)
        decisions.grants[replica_id] = decisions.grants.get(replica_id, 0) + 1
        tenant, tokens = claim.group.tenant, claim.group.tokens
        if tokens:
            told = decisions.grant_tokens
            told[replica_id] = told.get(replica_id, 0) + tokens
        if self._features.is_on(Feature.FAIR_SHARES):
            self._charge(claim)
            # Also where it is nobody's: what is not named goes to the item that is due first.
            by_tenant = decisions.grants_by_tenant.setdefault(replica_id, {})
            by_tenant[tenant] = by_tenant.get(tenant, 0) + 1
        self._book.expect(
            claim.node,
            decisions.number,
            replica_id,
            batch=1,
            tokens=claim.group.tokens,
            tenant=tenant,
            now=now,
        )
        pace = self._replicas.paces.get(replica_id, 1.0)
        self._replicas.note_reading(replica_id, pace * claim.group.prefill_ms, now)
        self._replicas.note_sent(claim.node, replica_id, now)

    def _leave(self, claim: _Claim) -> None:
        """Keep what is left of a group until its node reports again."""
        groups = self._waiting[claim.node][claim.pool]
        index = groups.index(claim.group)
        left = [] if claim.left == 0 else [_with_items(claim.group, claim.left)]
        self._waiting[claim.node][claim.pool] = [*groups[:index], *left, *groups[index + 1 :]]


def _not_known() -> float | None:
    return None


def _with_items(group: WaitingGroup, items: int) -> WaitingGroup:
    return msgspec.structs.replace(group, items=items)


def _without_granted(groups: list[WaitingGroup], granted: Counter[str]) -> list[WaitingGroup]:
    """Return groups without the first items of the tenants that were granted slots.

    >>> left = _without_granted([WaitingGroup(1, 2), WaitingGroup(2, 5)], Counter({"": 3}))
    >>> left == [WaitingGroup(sort_key=2, items=4)]
    True
    """
    left = Counter(granted)
    kept: list[WaitingGroup] = []
    for group in groups:
        taken = min(left[group.tenant], group.items)
        left[group.tenant] -= taken
        if taken < group.items:
            kept.append(_with_items(group, group.items - taken))
    return kept
