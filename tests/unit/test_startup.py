"""Log lines of a process start, and the report over the starts of a fleet."""

import json
import os
from pathlib import Path

from click.testing import CliRunner

from cloverwalk.cli.main import cli
from cloverwalk.telemetry.log import ServingLog
from cloverwalk.telemetry.request_history import parse_line
from cloverwalk.telemetry.startup import Stage, StartupLog
from cloverwalk.telemetry.startup_report import startup_stages


class StartingProcess:
    """A starting process whose clock is set by the test."""

    def __init__(self, node: str, path: Path) -> None:
        self.now = 50.0
        descriptor = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT)
        log = ServingLog(node, lambda: self.now, descriptor)
        self.startup = StartupLog(log, lambda: self.now, self.now)

    def reach(self, at_ms: int, stage: Stage, source: str = "") -> None:
        self.now = 50.0 + at_ms / 1000
        self.startup.record_stage(stage, source)


def lines_of(path: Path) -> list[dict[str, object]]:
    return [json.loads(text) for text in path.read_text().splitlines()]


def test_one_log_line_lists_the_stages_of_a_start(tmp_path: Path) -> None:
    path = tmp_path / "log"
    start = StartingProcess("n1", path)
    start.reach(300, Stage.STORE_REFUSAL)
    start.reach(500, Stage.CONFIGURATION, "peer")
    assert not path.read_text()
    start.reach(600, Stage.REPLICAS, "store")
    assert not path.read_text()
    start.reach(700, Stage.ZONE_DRAINS, "peer")
    start.reach(900, Stage.REPLICAS, "peer")
    start.reach(950, Stage.CONFIGURATION, "store")
    (line,) = lines_of(path)
    assert line["event"] == "node_ready"
    assert line["after_ms"] == 700
    assert line["stages_ms"] == {
        "store_refusal": 300,
        "configuration": 500,
        "replicas": 600,
        "zone_drains": 700,
    }
    assert (line["configuration_from"], line["replicas_from"]) == ("peer", "store")


def test_only_the_first_placement_is_logged(tmp_path: Path) -> None:
    path = tmp_path / "log"
    start = StartingProcess("n1", path)
    start.reach(40, Stage.COORDINATOR)
    for _ in range(3):
        start.startup.record_placement()
    (line,) = lines_of(path)
    assert line["event"] == "first_request_placed"
    assert line["stages_ms"] == {"coordinator": 40}


def test_the_starts_report_covers_all_nodes(tmp_path: Path) -> None:
    path = tmp_path / "log"
    for number, ready_ms in enumerate((100, 200, 900)):
        start = StartingProcess(f"n{number}", path)
        start.reach(ready_ms // 2, Stage.CONFIGURATION, "store")
        start.reach(ready_ms // 2, Stage.ZONE_DRAINS, "store")
        start.reach(ready_ms, Stage.REPLICAS, "peer" if number == 2 else "store")
    lines = [line for text in path.read_text().splitlines() if (line := parse_line(text))]
    by_stage = {stage.stage: stage.after_ms for stage in startup_stages(lines)}
    assert by_stage["ready"] == (100, 200, 900)
    assert by_stage["replicas from peer"] == (900,)
    result = CliRunner().invoke(cli, ["report", "--starts", "--json", str(path)])
    (ready,) = [row for row in json.loads(result.output) if row["stage"] == "ready"]
    assert (ready["starts"], ready["p50_ms"], ready["last_ms"]) == (3, 200, 900)


def test_the_starts_report_rejects_logs_without_a_start(tmp_path: Path) -> None:
    path = tmp_path / "log"
    path.write_text("nothing\n")
    refused = CliRunner().invoke(cli, ["report", "--starts", str(path)])
    assert refused.exit_code != 0
