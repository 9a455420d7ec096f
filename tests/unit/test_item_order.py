"""What nodes tell of their waiting items, and how fast items get done."""

from hypothesis import given
from hypothesis import strategies as st

from cloverwalk.jobs.item_time import ItemTimeEstimator
from cloverwalk.jobs.records import JobItem
from cloverwalk.jobs.run import ItemRun
from cloverwalk.jobs.waiting_items import MAX_GROUPS, WaitingItem, summarise

ITEMS = st.lists(
    st.tuples(
        st.floats(0.0, 60_000.0), st.booleans(), st.sampled_from(["", "r1", "r2"]), st.floats(0, 99)
    ),
    max_size=60,
)


@given(ITEMS)
def test_every_waiting_item_is_told_those_due_first_in_front(
    items: list[tuple[float, bool, str, float]],
) -> None:
    groups = summarise(WaitingItem(*one) for one in items)
    assert sum(one.items for one in groups) == len(items)
    assert len(groups) <= MAX_GROUPS
    steps = [one.sort_key for one in groups]
    assert steps == sorted(steps)
    if items:
        assert steps[0] == min(WaitingItem(*one).sort_key for one in items)


@given(ITEMS, st.floats(0.0, 60_000.0))
def test_what_can_not_be_in_time_comes_behind_all_that_can(
    items: list[tuple[float, bool, str, float]], due_ms: float
) -> None:
    late = WaitingItem(due_ms, False, "", 0.0)
    in_time = [WaitingItem(*one) for one in items if one[1]]
    assert all(one.sort_key < late.sort_key for one in in_time)


def item(events: int) -> ItemRun:
    one = ItemRun(0, JobItem("a", "/", [], b"", 1))
    one.texts = ["x"] * events
    return one


def stretched_pace() -> ItemTimeEstimator:
    """Items take 5 s at replicas, and 15 s from begin to end."""
    pace = ItemTimeEstimator()
    for _ in range(100):
        pace.note_run(events=200, began_with=100, took_s=2.5)
        done = item(200)
        done.first_began_at, done.ran_s = 0.0, 2.5
        pace.note_item(done, now=15.0, last_run_s=2.5)
    return pace


def test_an_item_that_was_begun_comes_before_one_that_is_due_somewhat_sooner() -> None:
    pace = stretched_pace()
    assert pace.order_ms(item(50), 40_000.0) < pace.order_ms(item(0), 30_000.0)
    assert pace.order_ms(item(50), 40_000.0) > pace.order_ms(item(0), 20_000.0)


def test_what_could_only_come_in_time_without_a_pause_is_not_begun_before_others() -> None:
    pace = stretched_pace()
    assert not pace.can_be_in_time(item(0), left_ms=12_000.0)
    assert pace.can_be_in_time(item(0), left_ms=16_000.0)
    assert pace.can_be_in_time(item(100), left_ms=2_600.0)
    assert not pace.can_be_in_time(item(100), left_ms=2_000.0)
