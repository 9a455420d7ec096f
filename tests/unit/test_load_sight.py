"""What an operator sees of the load: slot time by use, and causes of lateness."""

import json
from pathlib import Path

import pytest
from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st
from test_scheduler import SLOTS, Fleet

from cloverwalk.cli.features import features
from cloverwalk.cli.report import report
from cloverwalk.fleet.messages import WaitingGroup
from cloverwalk.scheduling.slot_time import MAX_SAMPLE_INTERVAL_S, ReplicaUse, SlotTime, SlotUse
from cloverwalk.scheduling.slot_time_reporter import SlotTimeReporter
from cloverwalk.telemetry.lateness import (
    ItemTimes,
    LateCause,
    RequestTimes,
    item_cause,
    request_cause,
)

REPLICAS = st.lists(
    st.builds(
        ReplicaUse,
        st.sampled_from(["s", "t"]),
        st.integers(1, 16),
        st.integers(0, 20),
        st.integers(0, 20),
        st.booleans(),
        st.booleans(),
        st.booleans(),
    ),
    max_size=8,
)
COUNTS = st.dictionaries(st.sampled_from(["s", "t", "u"]), st.integers(0, 60))


@given(
    st.lists(st.tuples(REPLICAS, COUNTS, COUNTS, st.floats(0.0, MAX_SAMPLE_INTERVAL_S)), max_size=6)
)
def test_uses_add_up_to_slots_times_time(
    samples: list[tuple[list[ReplicaUse], dict[str, int], dict[str, int], float]],
) -> None:
    time = SlotTime()
    now = expected = 0.0
    time.sample([], {}, {}, now)
    for replicas, waiting, reserved, passed_s in samples:
        now += passed_s
        time.sample(replicas, waiting, reserved, now)
        expected += passed_s * sum(replica.slots for replica in replicas)
    assert sum(time.seconds.values()) == pytest.approx(expected)
    assert all(seconds >= 0 for seconds in time.seconds.values())


def _use(replica: ReplicaUse, waiting: int, reserved: int = 0) -> dict[SlotUse, float]:
    time = SlotTime()
    time.sample([], {}, {}, 0.0)
    time.sample([replica], {replica.service: waiting}, {replica.service: reserved}, 1.0)
    return {use: seconds for use, seconds in time.seconds.items() if seconds}


def test_idle_slot_beside_waiting_items_has_a_reason() -> None:
    free = ReplicaUse("s", 4, online=1, batch=1)
    assert _use(free, waiting=0)[SlotUse.IDLE] == 2
    assert _use(free, waiting=9)[SlotUse.NOT_GRANTED] == 2
    assert _use(free, waiting=9, reserved=1)[SlotUse.KEPT_FREE] == 1
    assert _use(free, waiting=1)[SlotUse.IDLE] == 1
    suspected = ReplicaUse("s", 4, 0, 0, is_suspected=True)
    assert _use(suspected, waiting=9) == {SlotUse.SUSPECTED: 4}
    prefilling = ReplicaUse("s", 4, 0, 0, may_prefill=False)
    assert _use(prefilling, waiting=9) == {SlotUse.READING: 4}
    assert _use(ReplicaUse("s", 4, 0, 1, is_draining=True), 9)[SlotUse.DRAINING] == 3


def test_time_without_samples_is_counted_up_to_the_maximum() -> None:
    time = SlotTime()
    time.sample([], {}, {}, 0.0)
    time.sample([ReplicaUse("s", 2, 0, 0)], {}, {}, 500.0)
    assert time.seconds[SlotUse.IDLE] == 2 * MAX_SAMPLE_INTERVAL_S


@pytest.mark.parametrize(
    ("times", "cause"),
    [
        (RequestTimes(300, 299, 10, 0, 60), None),
        (RequestTimes(300, 400, 10, 0, 60, failures=1), LateCause.REPLICA_FAILED),
        (RequestTimes(30, 90, 1, 0, 60), LateCause.CAME_LATE),
        (RequestTimes(300, 400, 10, 200, 60), LateCause.NO_SLOT),
        (RequestTimes(300, 400, 330, 0, 60), LateCause.COORDINATOR),
        (RequestTimes(300, 400, 10, 0, 60), LateCause.SLOW_REPLICA),
        (RequestTimes(100, 110, 10, 0, 60), LateCause.OTHER),
    ],
)
def test_late_request_has_one_cause(times: RequestTimes, cause: LateCause | None) -> None:
    assert request_cause(times) is cause


@pytest.mark.parametrize(
    ("times", "cause"),
    [
        (ItemTimes(0, 18_000, 5_000, 5_000), None),
        (ItemTimes(1, 2_000, 5_000, 5_000), LateCause.CAME_LATE),
        (ItemTimes(1, 18_000, 9_000, 5_000, failures=1, suspensions=1), LateCause.REPLICA_FAILED),
        (ItemTimes(1, 18_000, 9_000, 5_000, suspensions=1), LateCause.PREEMPTED),
        (ItemTimes(1, 18_000, 12_000, 12_000), LateCause.SLOW_REPLICA),
        (ItemTimes(1, 18_000, 5_000, 5_000), LateCause.NO_SLOT),
    ],
)
def test_late_item_has_one_cause(times: ItemTimes, cause: LateCause | None) -> None:
    assert item_cause(times) is cause


def _log(path: Path) -> str:
    common = {"node": "n1", "level": "info"}
    lines = [
        {**common, "number": 430, "event": "slot_time", "at": 7.2, "online": 3.5, "idle": 1.0},
        {**common, "number": 430, "event": "slot_time", "at": 8.2, "online": "x", "items": 2},
        {**common, "number": 312, "event": "request_answered", "at": 7.4, "tenant": "a"}
        | {"request": "r", "late": "no_slot"},
        {**common, "number": 421, "event": "item_run_ended", "at": 7.5, "late": "gave_way"},
        {**common, "number": 312, "event": "request_answered", "at": 7.6, "late": None},
    ]
    path.write_text("".join(json.dumps(line) + "\n" for line in lines))
    return str(path)


def test_the_report_shows_uses_of_slots(tmp_path: Path) -> None:
    shown = CliRunner().invoke(report, [_log(tmp_path / "n1.log"), "--slots", "--json"])
    assert json.loads(shown.output) == [
        {"at_s": 7, "seconds_by_use": {"online": 3.5, "idle": 1.0}},
        {"at_s": 8, "seconds_by_use": {"items": 2}},
    ]
    text = CliRunner().invoke(report, [_log(tmp_path / "n1.log"), "--slots"])
    assert text.output.splitlines() == [
        "second 7: slot time was online 3.5 s, items 0.0 s, idle 1.0 s",
        "second 8: slot time was online 0.0 s, items 2.0 s, idle 0.0 s",
    ]


def test_the_report_shows_causes_of_lateness(tmp_path: Path) -> None:
    shown = CliRunner().invoke(report, [_log(tmp_path / "n1.log"), "--late"])
    assert shown.output.splitlines() == [
        "second 7: 1 item(s) late, cause gave_way",
        "second 7: 1 request(s) of tenant a late, cause no_slot",
    ]


def test_command_shows_which_features_are_on_and_why(tmp_path: Path) -> None:
    def line(node: str, at: float, is_on: bool, reason: str) -> str:
        common = {"node": node, "number": 613, "event": "feature_changed", "level": "info"}
        fields = {"at": at, "feature": "fair_shares", "is_on": is_on, "reason": reason}
        return json.dumps({**common, **fields}) + "\n"

    path = tmp_path / "n.log"
    early = [line("n1", 1.0, False, "no tenants"), line("n2", 1.1, False, "no tenants")]
    path.write_text("".join([*early, line("n1", 2.0, True, "tenants")]))
    shown = CliRunner().invoke(features, [str(path), "--json"])
    assert [(state["is_on"], state["nodes"]) for state in json.loads(shown.output)] == [
        (False, 1),
        (True, 1),
    ]
    text = CliRunner().invoke(features, [str(path)])
    assert text.output.splitlines() == [
        "fair_shares is off at 1 node(s), reason: no tenants",
        "fair_shares is on at 1 node(s), reason: tenants",
    ]
    assert CliRunner().invoke(features, [_log(tmp_path / "n1.log")]).exit_code != 0


def test_coordinator_reports_slot_time_each_second() -> None:
    fleet = Fleet(replicas=2)
    reported: list[dict[SlotUse, float]] = []
    reporter = SlotTimeReporter(fleet.scheduler, reported.append)
    fleet.request_placement(0)
    fleet.nodes[1].waiting = [WaitingGroup(5, 3)]
    fleet.report_state(1)
    for tick in range(60):
        reporter.tick(fleet.now + tick * 0.05)
    assert len(reported) == 2
    assert reported[-1][SlotUse.ONLINE] == pytest.approx(1.0, abs=0.3)
    assert reported[-1][SlotUse.ITEMS] == pytest.approx(3.0, abs=0.8)
    assert sum(reported[-1].values()) == pytest.approx(2 * SLOTS, abs=4.0)
