"""Soaks with nodes of two builds: schedules, the source that each process runs, a short run."""

from pathlib import Path

import msgspec
import pytest
from builds.earlier import PREVIOUS_BUILD, extract_source
from click.testing import CliRunner

from cloverwalk.cli.main import cli
from cloverwalk.soak.addresses import find_network
from cloverwalk.soak.build_replacer import PACKAGE_FILE, BuildReplacer
from cloverwalk.soak.build_steps import Build, BuildStep
from cloverwalk.soak.draw import KINDS_OF_EARLIER_BUILDS, draw_upgrade_plan
from cloverwalk.soak.errors import SoakInputError
from cloverwalk.soak.events import NodeStarted
from cloverwalk.soak.history import History, read_history
from cloverwalk.soak.plan import Plan, check_plan, load_plan
from cloverwalk.soak.processes import NodeProcess
from cloverwalk.soak.run import HISTORY_FILE, Soak

SEED = 2
"""Seed of a schedule whose nodes are upgraded, rolled back and upgraded again."""

NODES = 3
MINUTES = 0.75
PROGRAM_FILE = Path("cloverwalk", "platform", "program.py")


# Guards against a soak that records an upgrade while the process runs the old source.
def test_nodes_run_the_source_of_their_build(tmp_path: Path) -> None:
    source = tmp_path / "earlier"
    (source / PROGRAM_FILE).parent.mkdir(parents=True)
    for file in (PACKAGE_FILE, PROGRAM_FILE.with_name("__init__.py")):
        (source / file).touch()
    (source / PROGRAM_FILE).write_text("def main() -> None:\n    print('earlier build')\n")
    history = History(tmp_path / HISTORY_FILE, lambda: 0.0)
    node = NodeProcess(0, find_network(), tmp_path, history)
    BuildReplacer([BuildStep(1.0, 0, Build.CURRENT)], [node], source, history)
    node.start()
    assert node._process is not None
    assert node._process.wait() == 0
    history.close()
    assert (tmp_path / f"{node.name}.log").read_text() == "earlier build\n"
    (event,) = read_history(tmp_path / HISTORY_FILE)
    assert isinstance(event, NodeStarted)
    assert event.build == "earlier"


# Guards against schedules without an upgrade or rollback, or with faults that earlier builds lack.
def test_drawn_schedules_upgrade_roll_back_and_upgrade(tmp_path: Path) -> None:
    ends = set()
    for seed in range(20):
        plan = draw_upgrade_plan(seed, NODES, MINUTES)
        check_plan(plan, "drawn")
        assert plan == draw_upgrade_plan(seed, NODES, MINUTES)
        builds = [step.build for step in plan.build_steps]
        first_rollback = builds.index(Build.EARLIER)
        assert builds[0] is Build.CURRENT
        assert Build.CURRENT in builds[first_rollback:]
        assert {action.kind for action in plan.actions} <= KINDS_OF_EARLIER_BUILDS
        ends.add(builds[-1])
    assert ends == set(Build)
    path = tmp_path / "schedule.json"
    path.write_bytes(msgspec.json.encode(plan))
    assert load_plan(path) == plan


@pytest.mark.parametrize(
    ("step", "problem"),
    [
        (BuildStep(1.0, 3, Build.CURRENT), "node"),
        (BuildStep(61.0, 0, Build.CURRENT), "at_s"),
        (BuildStep(1.0, 0, Build.CURRENT, downtime_s=-1.0), "downtime_s"),
    ],
)
def test_invalid_step_is_rejected(step: BuildStep, problem: str) -> None:
    with pytest.raises(SoakInputError, match=rf"build_steps\[0\]: {problem}"):
        check_plan(Plan(1, 3, 5, 60.0, [], [step]), "file")


# Guards against a soak that silently runs a single build because the other source is missing.
def test_missing_earlier_source_is_rejected(tmp_path: Path) -> None:
    result = CliRunner().invoke(cli, ["soak", "--earlier-source", str(tmp_path)])
    assert (result.exit_code, str(PACKAGE_FILE) in result.output) == (2, True)
    path = tmp_path / "schedule.json"
    path.write_bytes(msgspec.json.encode(draw_upgrade_plan(1, NODES, MINUTES)))
    result = CliRunner().invoke(cli, ["soak", "--schedule", str(path)])
    assert (result.exit_code, "no earlier source" in result.output) == (2, True)


# Guards against violations while nodes are upgraded from the previous build and rolled back.
def test_short_soak_of_two_builds_has_no_violations(tmp_path: Path) -> None:
    source = extract_source(PREVIOUS_BUILD, tmp_path / "builds")
    lines: list[str] = []
    plan = draw_upgrade_plan(SEED, NODES, MINUTES)
    result = Soak(plan, tmp_path / "soak", lines.append, source).run()
    assert result.violations == [], "\n".join(lines)
    assert result.is_clean
    assert result.answers["200"] > 0
    assert result.accepted_jobs > 0
    events = read_history(tmp_path / "soak" / HISTORY_FILE)
    builds = [event.build for event in events if isinstance(event, NodeStarted)]
    assert builds[:NODES] == [Build.EARLIER] * NODES
    assert Build.EARLIER in builds[builds.index(Build.CURRENT) :]
