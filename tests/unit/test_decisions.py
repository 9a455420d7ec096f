"""Tests of the decision modules in core."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverwalk.core.batch_concurrency import BatchConcurrency, ConcurrencySettings
from cloverwalk.core.errors import WeightTableError
from cloverwalk.core.fair_share import FairShare
from cloverwalk.core.hashing import rendezvous_rank
from cloverwalk.core.limit_shares import share_of_limit
from cloverwalk.core.membership import Membership, NodeDigest
from cloverwalk.core.placement import Candidate, choose_replica
from cloverwalk.core.retry_budget import RetryBudget
from cloverwalk.core.token_bucket import TokenBucket
from cloverwalk.core.weight_table import (
    TableRow,
    WeightTable,
    changed_rows,
    check_rows,
    in_order,
    patched,
    removed_keys,
    resolve,
    rows_from_csv,
    rows_to_csv,
)

NAMES = st.text(st.characters(codec="ascii", categories=["L", "N"]), min_size=1, max_size=6)
RATES = st.floats(0, 1000, allow_nan=False)


@given(st.lists(RATES, min_size=1, max_size=12))
def test_shares_of_a_limit_never_add_up_to_more_than_the_limit(rates: list[float]) -> None:
    shares = [
        share_of_limit(rate, rates[:n] + rates[n + 1 :], len(rates)) for n, rate in enumerate(rates)
    ]
    assert sum(shares) <= 1 + 1e-9
    assert min(shares) > 0


@given(st.lists(st.tuples(st.floats(0, 3), st.floats(0.1, 5)), max_size=60))
def test_a_bucket_admits_no_more_than_rate_and_burst(steps: list[tuple[float, float]]) -> None:
    bucket = TokenBucket(rate_per_s=2.0, burst=5.0, now=0.0)
    now = taken = 0.0
    for wait_s, amount in steps:
        now += wait_s
        if bucket.take(now, amount):
            taken += amount
    assert taken <= 5.0 + 2.0 * now + 1e-6


@given(st.lists(st.booleans(), max_size=200))
def test_retries_are_a_bounded_share_of_first_tries(is_first_try: list[bool]) -> None:
    budget = RetryBudget(ratio=0.1, reserve=5.0)
    spent = 0
    for is_first in is_first_try:
        if is_first:
            budget.earn()
        else:
            spent += budget.spend()
    assert spent <= 5 + 0.1 * sum(is_first_try)


@given(st.dictionaries(NAMES, st.integers(1, 9), min_size=2, max_size=5))
def test_fair_share_follows_the_weights(weights: dict[str, int]) -> None:
    share: FairShare[str] = FairShare()
    as_floats = {key: float(weight) for key, weight in weights.items()}
    served = dict.fromkeys(weights, 0)
    rounds = 40 * sum(weights.values())
    for _ in range(rounds):
        key = share.choose(as_floats, as_floats)
        share.charge(key, 1.0, as_floats[key])
        served[key] += 1
    for key, weight in weights.items():
        expected = rounds * weight / sum(weights.values())
        assert abs(served[key] - expected) <= len(weights) + 1


def test_idle_class_earns_no_credit() -> None:
    share: FairShare[str] = FairShare()
    weights = {"a": 1.0, "b": 1.0}
    for _ in range(100):
        share.charge("a", 1.0, 1.0)
    served = []
    for _ in range(10):
        key = share.choose(weights, weights)
        share.charge(key, 1.0, 1.0)
        served.append(key)
    assert served.count("b") <= 6


@given(st.sets(NAMES, min_size=2, max_size=8), NAMES)
def test_losing_a_member_moves_only_its_own_keys(members: set[str], key: str) -> None:
    rank = rendezvous_rank(key, members)
    assert rendezvous_rank(key, members - {rank[0]}) == rank[1:]


@given(st.lists(st.floats(0, 2), min_size=1, max_size=8), st.integers(0, 99))
def test_placement_never_takes_the_fullest_of_its_choices(loads: list[float], seed: int) -> None:
    candidates = [Candidate(f"r{n}", "o", True, load) for n, load in enumerate(loads)]
    chosen = choose_replica(candidates, Random(seed))
    assert chosen is not None
    if len(loads) == 2:
        assert chosen.online_load == min(loads)
    if len(set(loads)) == len(loads) > 1:
        assert chosen.online_load < max(loads)


def test_overloaded_replica_with_prefix_is_not_chosen() -> None:
    warm = Candidate("warm", "o", True, 0.3, has_prefix=True)
    cold = Candidate("cold", "o", True, 0.2)
    full = Candidate("warm", "o", True, 0.9, has_prefix=True)
    assert choose_replica([warm, cold], Random(0)) == warm
    assert choose_replica([full, cold], Random(0)) == cold


@given(st.lists(st.tuples(st.floats(0.001, 0.2), st.integers(0, 16)), max_size=60))
def test_batch_never_gets_slots_that_online_work_has(
    steps: list[tuple[float, int]],
) -> None:
    control = BatchConcurrency(ConcurrencySettings(), slots=16)
    for number, (step_s, online) in enumerate(steps):
        control.observe_step(step_s, now=number * 0.3)
        control.observe_online(online, now=number * 0.3)
        assert 0 <= control.allowed(online) <= max(0, 16 - online - 1)


def digest(node: str, beat: int, leaving: bool = False) -> NodeDigest:
    return NodeDigest(node, "z", "", "i", 0.0, beat, leaving, 0, 0.0, [], [], [], [])


@given(st.permutations([digest("n2", beat) for beat in range(6)]))
def test_gossip_in_any_order_gives_the_newest_digest(digests: list[NodeDigest]) -> None:
    view = Membership("n1", "z", suspect_after_s=5.0)
    for one in digests:
        view.merge(one, 0.0, 0.0)
    newest = view.digest("n2")
    assert newest is not None and newest.beat == 5


def test_membership_keeps_own_zone_and_bounds_contacts_of_other_zones() -> None:
    view = Membership("n1", "home", suspect_after_s=5.0, contacts_per_zone=3)
    for zone in ("home", "east", "west"):
        for number in range(20):
            member = NodeDigest(
                f"{zone}{number}", zone, "", "i", 0.0, 1, False, 0, 0.0, [], [], [], []
            )
            view.merge(member, 0.0, 0.0)
    zones = [member.zone for member in view.known()]
    assert (zones.count("home"), zones.count("east"), zones.count("west")) == (20, 3, 3)


CELLS = st.one_of(st.none(), st.floats(0.25, 1e6, allow_nan=False))


@st.composite
def tables(draw: st.DrawFn) -> list[TableRow]:
    keys = draw(st.lists(st.tuples(NAMES, NAMES), unique=True, max_size=6))
    return [
        TableRow(
            session,
            kind,
            draw(st.sampled_from([None, "online", "batch"])),
            draw(CELLS),
            draw(st.one_of(st.none(), st.integers(0, 10**6))),
            draw(st.one_of(st.none(), st.integers(0, 10**6))),
            draw(CELLS),
            draw(CELLS),
            draw(CELLS),
        )
        for session, kind in keys
    ]


@given(st.integers(1, 12), st.integers(1, 4), st.integers(0, 99))
def test_gossip_leaves_no_member_out_for_long(members: int, fanout: int, seed: int) -> None:
    view = Membership("n0", "z", suspect_after_s=1e9)
    for number in range(1, members + 1):
        view.merge(digest(f"n{number}", 1), 0.0, 0.0)
    random = Random(seed)
    last_sent = dict.fromkeys((one.node for one in view.known()), 0)
    for round_number in range(1, 60):
        for node in view.gossip_targets(fanout, random, 0.0):
            last_sent[node] = round_number
        longest = round_number - min(last_sent.values())
        assert longest <= 2 * -(-members // fanout)


@given(tables(), tables())
def test_a_patch_makes_the_new_table_of_the_old(old: list[TableRow], new: list[TableRow]) -> None:
    before = WeightTable(1, in_order(old))
    after = WeightTable(2, in_order(new))
    patch = (changed_rows(before, after), removed_keys(before, after))
    assert patched(before, 2, *patch) == after


@given(tables())
def test_a_table_survives_the_way_through_a_spreadsheet(rows: list[TableRow]) -> None:
    assert rows_from_csv(rows_to_csv(rows)) == rows


@pytest.mark.parametrize(
    ("text", "field"),
    [
        ("session,kind,weight\n*,a,-1\n", "weight"),
        ("session,kind,weight\n*,a,nan\n", "weight"),
        ("session,kind,max_in_flight\n*,a,1.5\n", "max_in_flight"),
        ("session,kind,class\n*,a,urgent\n", "class"),
        ("session,kind,colour\n*,a,red\n", "colour"),
        ("session,kind\n*,\n", "kind"),
        ("session,weight\n*,1\n", "kind"),
        ("session,kind,weight\n*,a\n", "line 2"),
        ("session,kind\n*,a\n*,a\n", "row 2"),
    ],
)
def test_invalid_csv_error_names_its_location(text: str, field: str) -> None:
    with pytest.raises(WeightTableError, match=field):
        rows_from_csv(text)


def test_specific_table_rows_take_precedence_per_cell() -> None:
    rows = [
        TableRow("*", "*", weight=1.0, max_queued=9),
        TableRow("*", "subtitles", weight=5.0),
        TableRow("s", "*", weight=2.0),
        TableRow("s", "subtitles", requests_per_s=3.0),
    ]
    check_rows(rows)
    found = resolve(WeightTable(1, rows), "s", "subtitles")
    assert (found.weight, found.max_queued, found.requests_per_s) == (2.0, 9, 3.0)
