"""The timeline of a fleet is computed from its logs."""

import json
from pathlib import Path

from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st

from cloverwalk.cli.errors import EXIT_USAGE
from cloverwalk.cli.main import cli
from cloverwalk.core import catalogue
from cloverwalk.telemetry.request_history import LogLine
from cloverwalk.telemetry.timeline import timeline_of


def line(time_s: float, number: int, node: str = "n1", **fields: object) -> LogLine:
    return LogLine(time_s, node, number, "event", "info", fields)


def test_work_is_in_flight_from_replica_choice_to_end() -> None:
    seconds = timeline_of(
        [
            line(0.1, catalogue.REPLICA_CHOSEN, request="a"),
            line(0.2, catalogue.ITEM_STARTED, request="i", job="j"),
            line(2.5, catalogue.REQUEST_ANSWERED, request="a", first_ms=40.0),
            line(2.6, catalogue.ITEM_RUN_ENDED, request="i", job="j"),
        ]
    )
    assert [(second.at_s, second.online, second.batch) for second in seconds] == [
        (0, 1, 1),
        (1, 1, 1),
        (2, 0, 0),
    ]
    assert seconds[2].first_ms == [40.0]


def test_a_restarted_node_has_no_work_in_flight() -> None:
    seconds = timeline_of(
        [
            line(0.1, catalogue.REPLICA_CHOSEN, request="a"),
            line(0.1, catalogue.REPLICA_CHOSEN, "n2", request="b"),
            line(1.1, catalogue.SERVING_STARTED),
        ]
    )
    assert [second.online for second in seconds] == [2, 1]


def test_items_are_unlisted_until_listed_or_their_job_ends() -> None:
    seconds = timeline_of(
        [
            line(0.1, catalogue.JOB_TAKEN, request="j", outcome="taken", items=3),
            line(0.2, catalogue.JOB_TAKEN, request="j", outcome="known", items=3),
            line(1.1, catalogue.ITEM_LISTED, request="i", job="j"),
            line(2.1, catalogue.JOB_ENDED, request="j"),
        ]
    )
    assert [second.unlisted for second in seconds] == [3, 2, 0]


@given(st.lists(st.tuples(st.floats(0, 20), st.booleans()), max_size=30))
def test_each_request_end_is_counted_in_its_second(ends: list[tuple[float, bool]]) -> None:
    numbers = {True: catalogue.REQUEST_ANSWERED, False: catalogue.REQUEST_ENDED}
    lines = [
        line(at, numbers[is_answered], request="r", outcome="late") for at, is_answered in ends
    ]
    seconds = timeline_of(lines)
    assert sum(second.answered for second in seconds) == sum(is_answered for _, is_answered in ends)
    given_up = sum(second.given_up_by_code.total() for second in seconds)
    assert given_up == sum(not is_answered for _, is_answered in ends)
    assert [second.at_s for second in seconds] == sorted({second.at_s for second in seconds})


def test_the_report_command_prints_json_and_rejects_files_without_log_lines(tmp_path: Path) -> None:
    log = tmp_path / "n1.log"
    log.write_text(
        '3.1 n1 {"node":"n1","number":313,"request":"r","outcome":"client_gone"}\nnoise\n'
    )
    answer = CliRunner().invoke(cli, ["report", str(log), "--json"])
    assert answer.exit_code == 0
    assert json.loads(answer.output)[0]["given_up"] == {"client_gone": 1}
    text = CliRunner().invoke(cli, ["report", str(log)])
    assert text.output.splitlines() == [
        "second 3: 0 answered, first event p50 none, p95 none; 0 online, 0 batch in flight;"
        " 0 unlisted; ended without an answer: 1 client_gone"
    ]
    log.write_text("noise\n")
    refused = CliRunner().invoke(cli, ["report", str(log)])
    assert refused.exit_code == EXIT_USAGE
    assert "no log line" in refused.output
