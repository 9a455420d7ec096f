"""The order of waiting items, and the estimates of how long items take."""

from hypothesis import given
from hypothesis import strategies as st

from cloverwalk.jobs.item_time import ItemTimeEstimator
from cloverwalk.jobs.records import JobItem
from cloverwalk.jobs.run import ItemRun
from cloverwalk.jobs.waiting_items import MAX_GROUPS, WaitingItem, group_items

ITEMS = st.lists(
    st.tuples(
        st.floats(0.0, 60_000.0), st.booleans(), st.sampled_from(["", "r1", "r2"]), st.floats(0, 99)
    ),
    max_size=60,
)


@given(ITEMS)
def test_every_waiting_item_is_reported_earliest_due_first(
    items: list[tuple[float, bool, str, float]],
) -> None:
    groups = group_items(WaitingItem(*item) for item in items)
    assert sum(group.items for group in groups) == len(items)
    assert len(groups) <= MAX_GROUPS
    steps = [group.sort_key for group in groups]
    assert steps == sorted(steps)
    if items:
        assert steps[0] == min(WaitingItem(*item).sort_key for item in items)


@given(ITEMS, st.floats(0.0, 60_000.0))
def test_late_items_sort_after_items_in_time(
    items: list[tuple[float, bool, str, float]], due_ms: float
) -> None:
    late = WaitingItem(due_ms, False, "", 0.0)
    in_time = [WaitingItem(*item) for item in items if item[1]]
    assert all(item.sort_key < late.sort_key for item in in_time)


def item_run_with(events: int) -> ItemRun:
    item_run = ItemRun(0, JobItem("a", "/", [], b"", 1))
    item_run.texts = ["x"] * events
    return item_run


def estimator_with_pauses() -> ItemTimeEstimator:
    """Return an estimator of items that take 5 s at replicas and 15 s from start to end."""
    estimator = ItemTimeEstimator()
    for _ in range(100):
        estimator.record_run(events=200, earlier_events=100, run_s=2.5)
        done = item_run_with(200)
        done.first_started_at, done.ran_s = 0.0, 2.5
        estimator.record_item(done, now=15.0, last_run_s=2.5)
    return estimator


def test_started_item_sorts_before_item_due_slightly_sooner() -> None:
    estimator = estimator_with_pauses()
    assert estimator.effective_due_ms(item_run_with(50), 40_000.0) < estimator.effective_due_ms(
        item_run_with(0), 30_000.0
    )
    assert estimator.effective_due_ms(item_run_with(50), 40_000.0) > estimator.effective_due_ms(
        item_run_with(0), 20_000.0
    )


def test_unstarted_item_needs_time_for_usual_pauses() -> None:
    estimator = estimator_with_pauses()
    assert not estimator.can_be_in_time(item_run_with(0), time_left_ms=12_000.0)
    assert estimator.can_be_in_time(item_run_with(0), time_left_ms=16_000.0)
    assert estimator.can_be_in_time(item_run_with(100), time_left_ms=2_600.0)
    assert not estimator.can_be_in_time(item_run_with(100), time_left_ms=2_000.0)
