"""Fair shares hold for any load and through a takeover; the order of requests in overload."""

from random import Random

import attrs
from hypothesis import given
from hypothesis import strategies as st

from cloverwalk.jobs.waiting_items import MAX_GROUPS, WaitingItem, group_items, pick_items
from cloverwalk.scheduling.fair_shares import MAX_AHEAD_MS, STEP_MS, FairShares
from cloverwalk.scheduling.overload_order import OrderKey, order_key, will_miss_deadline

TENANTS = ["hot", "a", "b", "c"]
MAX_WORK_MS = 400.0
WORK = st.floats(20.0, MAX_WORK_MS)
MAX_DEFICIT_MS = MAX_AHEAD_MS + STEP_MS + 2 * MAX_WORK_MS
"""How much more slot time another tenant may get while one has waiting work."""


@attrs.define
class Server:
    """One slot, with a queue for each tenant."""

    shares: FairShares = attrs.Factory(FairShares)
    waiting: dict[str, list[tuple[int, float]]] = attrs.Factory(dict)
    served: dict[str, float] = attrs.Factory(lambda: dict.fromkeys(TENANTS, 0.0))
    since: dict[str, dict[str, float]] = attrs.Factory(dict)
    """What every tenant had been served when a tenant's work began to wait."""

    sent: int = 0

    def send(self, tenant: str, work_ms: float) -> None:
        self.sent += 1
        self.since.setdefault(tenant, dict(self.served))
        self.waiting.setdefault(tenant, []).append((self.sent, work_ms))

    def serve(self) -> None:
        if not self.waiting:
            return
        tenant = min(
            self.waiting,
            key=lambda waiting_tenant: (
                self.shares.step(0, waiting_tenant),
                self.waiting[waiting_tenant][0],
            ),
        )
        _, work_ms = self.waiting[tenant].pop(0)
        if not self.waiting[tenant]:
            del self.waiting[tenant], self.since[tenant]
        self.shares.charge(0, tenant, work_ms, list(self.waiting))
        self.served[tenant] += work_ms

    def max_deficit_ms(self) -> float:
        """Return how much less any waiting tenant got than another since its work began to wait."""
        return max(
            (
                (self.served[peer] - served_before[peer])
                - (self.served[tenant] - served_before[tenant])
                for tenant, served_before in self.since.items()
                for peer in TENANTS
            ),
            default=0.0,
        )


@given(st.integers(0, 1 << 30), st.sampled_from([1, 2, 5]), st.integers(0, 500))
def test_waiting_tenant_gets_its_fair_share_under_any_load_and_through_a_takeover(
    seed: int, slots: int, takeover_at: int
) -> None:
    """One tenant sends eight times as much as each other one; some are idle at times."""
    random, server = Random(seed), Server()
    for number in range(400):
        if number == takeover_at:
            usage = server.shares.usage()
            server.shares = FairShares()
            server.shares.apply_usage(usage)
            server.since = {tenant: dict(server.served) for tenant in server.waiting}
        for tenant in random.choices(TENANTS, [8, 1, 1, 1], k=random.randrange(6)):
            server.send(tenant, random.uniform(20.0, MAX_WORK_MS))
        for _ in range(slots):
            waited = sum(map(len, server.waiting.values()))
            server.serve()
            assert sum(map(len, server.waiting.values())) == max(0, waited - 1)
        assert server.max_deficit_ms() <= MAX_DEFICIT_MS


@given(st.lists(WORK, min_size=20, max_size=80))
def test_idle_tenant_saves_up_no_more_than_the_bound(works: list[float]) -> None:
    shares = FairShares()
    for work_ms in works:
        shares.charge(0, "hot", work_ms, ["hot"])
    assert shares.ahead_ms(0, "hot") - shares.ahead_ms(0, "idle") <= MAX_AHEAD_MS + MAX_WORK_MS


@given(st.lists(WORK, min_size=20, max_size=80))
def test_excess_usage_counts_against_a_tenant_up_to_the_bound(
    works: list[float],
) -> None:
    shares = FairShares()
    for work_ms in works:
        shares.charge(0, "hot", work_ms, ["small"])
    assert shares.ahead_ms(0, "hot") <= MAX_AHEAD_MS + MAX_WORK_MS
    assert shares.step(0, "small") == 0


def test_very_long_request_counts_against_its_tenant_up_to_the_bound() -> None:
    """A stream may occupy a slot for minutes; its tenant must not be blocked for as long."""
    shares = FairShares()
    shares.charge(0, "a", 400.0, ["b"])
    shares.correct(0, "a", 600_000.0)
    assert shares.ahead_ms(0, "a") <= 2 * MAX_AHEAD_MS


def test_unused_slot_time_is_credited_and_invalid_values_are_ignored() -> None:
    shares = FairShares()
    shares.charge(0, "a", 2000.0, ["b"])
    shares.correct(0, "a", -1500.0)
    assert shares.ahead_ms(0, "a") == 500.0
    for invalid_ms in (float("nan"), -1.0, 1e12):
        shares.charge(0, "a", invalid_ms, ["b"])
    assert (shares.ahead_ms(0, "a"), shares.invalid_count) == (500.0, 3)


# --- order in overload ---

BURST_INTERVAL_S = 6.0
BURST_FACTOR = 1.9
USUAL_PER_S = 9.0
OBJECTIVE_S = 0.3
DEADLINE_S = 5.0


@attrs.frozen
class Waiter:
    arrived_at: float
    work_s: float

    def key(self, now: float) -> OrderKey:
        late_at, hopeless_at = (
            self.arrived_at + OBJECTIVE_S,
            self.arrived_at + DEADLINE_S,
        )
        return order_key(self.arrived_at, late_at, hopeless_at, now)


def arrivals(until: float) -> list[Waiter]:
    """A tenth of the requests takes four times as long; bursts have 1.9 times the usual rate."""
    waiters, now = list[Waiter](), 0.0
    while now < until:
        now += 1 / (USUAL_PER_S * (BURST_FACTOR if now % BURST_INTERVAL_S < 1.0 else 1.0))
        waiters.append(Waiter(now, 0.32 if len(waiters) % 10 == 0 else 0.08))
    return waiters


def total_worth(order: str) -> tuple[float, int]:
    """Serve one slot in an order; return the worth and the number of large requests in time."""
    upcoming, waiting = arrivals(60.0), list[Waiter]()
    now, worth, large_in_time = 0.0, 0.0, 0
    keys = {
        "arrival": lambda waiter: waiter.arrived_at,
        "shortest": lambda waiter: waiter.work_s,
        "order": lambda waiter: waiter.key(now),
    }
    while upcoming or waiting:
        while upcoming and upcoming[0].arrived_at <= now:
            waiting.append(upcoming.pop(0))
        waiting = [waiter for waiter in waiting if now - waiter.arrived_at <= DEADLINE_S]
        if not waiting:
            now = upcoming[0].arrived_at if upcoming else now
            continue
        first = min(waiting, key=keys[order])
        waiting.remove(first)
        is_in_time = now - first.arrived_at <= OBJECTIVE_S
        worth += 1.0 if is_in_time else 0.15
        large_in_time += is_in_time and first.work_s > 0.1
        now += first.work_s
    return worth, large_in_time


def test_in_bursts_requests_in_time_go_before_late_ones_and_large_ones_do_not_starve() -> None:
    by_order, by_arrival, shortest = (
        total_worth("order"),
        total_worth("arrival"),
        total_worth("shortest"),
    )
    assert by_order[0] > by_arrival[0]
    assert by_order[1] >= by_arrival[1]
    assert by_order[1] > shortest[1]


@given(st.floats(0, 9000), st.floats(0, 900), st.floats(0, 5000))
def test_request_with_time_for_half_the_expected_wait_does_not_miss_its_deadline(
    wait_ms: float, start_ms: float, time_left_ms: float
) -> None:
    if wait_ms + start_ms <= 2 * time_left_ms:
        assert not will_miss_deadline(wait_ms, start_ms, time_left_ms)


# --- items at their owner ---


@given(
    st.lists(st.sampled_from("abc"), max_size=12),
    st.integers(0, 12),
    st.dictionaries(st.sampled_from("abcd"), st.integers(0, 4)),
)
def test_owner_runs_items_of_the_granted_tenants_and_leaves_no_slot_free(
    tenants: list[str], count: int, granted: dict[str, int]
) -> None:
    picked = pick_items(tenants, count, granted)
    assert len(picked) == len(set(picked)) == min(count, len(tenants))
    if sum(granted.values()) <= count:
        for tenant, slots in granted.items():
            assert sum(tenants[index] == tenant for index in picked) >= min(
                slots, tenants.count(tenant)
            )


@given(st.lists(st.tuples(st.floats(0, 60_000), st.sampled_from("abc")), max_size=60))
def test_summarised_groups_do_not_mix_tenants(items: list[tuple[float, str]]) -> None:
    groups = group_items(WaitingItem(due, True, "", 0.0, tenant=tenant) for due, tenant in items)
    assert len(groups) <= MAX_GROUPS + 2
    for tenant in "abc":
        grouped_items = sum(group.items for group in groups if group.tenant == tenant)
        assert grouped_items == sum(item_tenant == tenant for _, item_tenant in items)
