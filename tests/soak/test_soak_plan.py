"""Schedules are drawn from a seed, read from files and rejected if they are invalid."""

from pathlib import Path
from typing import get_args

import msgspec
import pytest
from click.testing import CliRunner

from cloverwalk.cli.main import cli
from cloverwalk.soak.draw import draw_plan
from cloverwalk.soak.errors import SoakInputError
from cloverwalk.soak.events import RunEnded, SoakEvent
from cloverwalk.soak.history import Event, History, read_history
from cloverwalk.soak.plan import Action, ActionKind, Plan, check_plan, load_plan


def test_same_seed_gives_same_schedule() -> None:
    assert draw_plan(5, 4, 1.0) == draw_plan(5, 4, 1.0)
    assert draw_plan(5, 4, 1.0) != draw_plan(6, 4, 1.0)


def test_drawn_schedules_are_valid_and_have_all_kinds() -> None:
    kinds = set()
    for seed in range(40):
        for nodes in (1, 3, 24):
            plan = draw_plan(seed, nodes, 1.0)
            check_plan(plan, "drawn")
            kinds |= {action.kind for action in plan.actions}
    assert kinds == set(ActionKind)


@pytest.mark.parametrize(
    ("action", "problem"),
    [
        (Action(90.0, ActionKind.NODE_KILL, [0]), "at_s"),
        (Action(1.0, ActionKind.NODE_KILL, [3]), "targets"),
        (Action(1.0, ActionKind.NODE_FREEZE, [0], 99.0), "duration_s"),
        (Action(1.0, ActionKind.LINK_RESET, [0], name="moon"), "name"),
        (Action(1.0, ActionKind.LINK_CUT, [0], name="store", way="up"), "way"),
        (Action(1.0, ActionKind.ROUTE_REMOVE, name="chat"), "name"),
        (Action(1.0, ActionKind.HERD_JOBS, amount=1e9, name="quiz"), "amount"),
        (Action(1.0, ActionKind.ZONE_DRAIN, name="z9"), "name"),
    ],
)
def test_action_with_invalid_value_is_rejected(action: Action, problem: str) -> None:
    with pytest.raises(SoakInputError, match=rf"actions\[0\]: {problem}"):
        check_plan(Plan(1, 3, 5, 60.0, [action]), "file")


def test_written_schedule_is_read_back_unchanged(tmp_path: Path) -> None:
    plan = draw_plan(3, 3, 0.5)
    path = tmp_path / "schedule.json"
    path.write_bytes(msgspec.json.encode(plan))
    assert load_plan(path) == plan


# Guards against events that a soak writes and that can't be read from its history.
def test_every_kind_of_event_can_be_read() -> None:
    kinds = [
        kind for kind in SoakEvent.__subclasses__() if kind.__module__.startswith("cloverwalk.")
    ]
    assert kinds
    assert {kind.__name__ for kind in kinds} == {kind.__name__ for kind in get_args(Event)}


def test_written_history_is_read_back_unchanged(tmp_path: Path) -> None:
    path = tmp_path / "history.jsonl"
    history = History(path, lambda: 7.0)
    history.record(RunEnded(run=1, request="r", end="left"))
    history.close()
    assert list(read_history(path)) == [RunEnded(run=1, request="r", end="left")]
    path.write_text("{}\n")
    with pytest.raises(SoakInputError, match="history.jsonl:1"):
        list(read_history(path))


@pytest.mark.parametrize(
    "arguments",
    [
        ["--seed", "x"],
        ["--seed", "-1"],
        ["--seeds", "4"],
        ["--seeds", "9-4"],
        ["--nodes", "0"],
        ["--nodes", "37"],
        ["--minutes", "0"],
        ["--minutes", "x"],
        ["--schedule", "there-is-no-such-file.json"],
    ],
)
def test_invalid_arguments_exit_with_code_2(arguments: list[str]) -> None:
    result = CliRunner().invoke(cli, ["soak", *arguments])
    assert result.exit_code == 2
    assert "Error" in result.output


def test_unreadable_schedule_exits_with_code_2(tmp_path: Path) -> None:
    path = tmp_path / "schedule.json"
    for text in ("", "{", '{"seed": 1}', '{"seed": "x"}'):
        path.write_text(text)
        result = CliRunner().invoke(cli, ["soak", "--schedule", str(path)])
        assert (result.exit_code, str(path) in result.output) == (2, True)


def test_more_nodes_than_fit_in_memory_are_rejected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("cloverwalk.cli.soak.NODE_BYTES", 10**12)
    result = CliRunner().invoke(cli, ["soak", "--nodes", "3"])
    assert result.exit_code == 2
    assert "memory" in result.output


def test_show_prints_the_schedule() -> None:
    first = CliRunner().invoke(cli, ["soak", "--seed", "4", "--show"])
    second = CliRunner().invoke(cli, ["soak", "--seed", "4", "--show"])
    assert first.exit_code == 0
    assert first.output == second.output
    assert first.output.startswith("seed 4: 3 nodes")
