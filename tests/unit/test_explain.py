"""Request histories from the logs of many nodes, and the check of settings files."""

from pathlib import Path

import pytest
from click.testing import CliRunner

from cloverwalk.cli.errors import EXIT_SETTINGS, EXIT_USAGE
from cloverwalk.cli.main import cli

NODE_1 = """\
{"node":"n1","number":510,"level":"warning","at":9.0,"t":1.0,"table":"job","event":"feed_lost"}
{"node":"n1","number":410,"level":"info","at":10.0,"t":2.0,"request":"j","event":"job_taken"}
{"node":"n1","number":420,"level":"info","at":11.0,"t":3.0,"request":"i1","job":"j","event":"item_started"}
{"node":"n1","number":420,"level":"info","at":11.0,"t":3.0,"request":"i2","job":"j","event":"item_started"}
a line of something else
"""
NODE_2 = """\
{"node":"n2","number":413,"level":"info","at":14.0,"t":77.0,"job":"j","event":"job_taken_over"}
{"node":"n2","number":422,"level":"info","at":15.0,"t":78.0,"request":"i1","job":"j","event":"item_listed"}
{"node":"n2","number":510,"level":"warning","at":99.0,"t":80.0,"table":"job","event":"feed_lost"}
"""
SETTINGS = """\
node = "n1"
ip = "10.1.0.10"
zone = "z1"
ephemeral_ports = [7720, 7735]
seeds = ["10.1.0.11:8166"]
unknown = "is ignored"
[listen]
front = "10.1.0.10:8161"
ready = "10.1.0.10:8167"
[platform]
address = "10.200.1.7:8169"
"""


def test_an_item_history_includes_job_and_context_lines(tmp_path: Path) -> None:
    (tmp_path / "n1.log").write_text(NODE_1)
    (tmp_path / "n2.log").write_text(NODE_2)
    logs = [str(tmp_path / "n2.log"), str(tmp_path / "n1.log")]
    result = CliRunner().invoke(cli, ["explain", "i1", *logs])
    events = [line.split()[3] for line in result.output.splitlines()]
    expected = ["feed_lost", "job_taken", "item_started", "job_taken_over", "item_listed"]
    assert (result.exit_code, events) == (0, expected)
    assert "i2" not in result.output


REFUSED = """\
{"node":"n1","number":313,"level":"warning","at":1.0,"t":1.0,"request":"r1","status":502,"work":"may_have_begun","tried":1,"refused":2,"event":"request_ended"}
{"node":"n1","number":313,"level":"warning","at":2.0,"t":2.0,"request":"r2","status":503,"work":"not_begun","tried":0,"refused":2,"event":"request_ended"}
{"node":"n1","number":314,"level":"warning","at":3.0,"t":3.0,"request":"j1","status":504,"work":"may_have_begun","event":"call_refused"}
{"node":"n1","number":312,"level":"info","at":4.0,"t":4.0,"request":"r3","status":200,"work":null,"event":"request_answered"}
"""


@pytest.mark.parametrize(
    ("request_id", "expected_state"),
    [
        (
            "r1",
            "may have begun: 1 replicas may have run it, 2 did not; 502 does not rule out a run",
        ),
        (
            "r2",
            "had not begun: 2 replicas did not accept it; 503 guarantees that it never runs",
        ),
        (
            "j1",
            "may have begun: it was sent, but no final answer was received; "
            "504 does not rule out a run",
        ),
        ("r3", ""),
    ],
)
def test_a_refusal_history_describes_the_work_state(
    tmp_path: Path, request_id: str, expected_state: str
) -> None:
    (tmp_path / "n1.log").write_text(REFUSED)
    result = CliRunner().invoke(cli, ["explain", request_id, str(tmp_path / "n1.log")])
    notes = [line.strip() for line in result.output.splitlines()[1:]]
    assert notes == ([f"the work {expected_state}"] if expected_state else [])


CRASHES = """\
{"node":"n1","number":317,"level":"warning","at":10.0,"t":2.0,"replica":"r1","found":"refuses","requests":["a","b"],"contents":["guilty","other"],"event":"replica_broke_off"}
{"node":"n1","number":317,"level":"warning","at":11.0,"t":3.0,"replica":"r2","found":"refuses","requests":["c"],"contents":["other"],"event":"replica_broke_off"}
{"node":"n2","number":318,"level":"warning","at":12.0,"t":4.0,"contents":["guilty"],"replicas":3,"source":"n1","event":"request_contained"}
{"node":"n2","number":313,"level":"warning","at":13.0,"t":5.0,"request":"z","content":"guilty","outcome":"request_contained","status":503,"work":"not_begun","event":"request_ended"}
"""


def test_a_contained_request_history_includes_the_crashed_replicas(tmp_path: Path) -> None:
    """They crashed under other request ids at other nodes, with the same content hash."""
    (tmp_path / "all.log").write_text(CRASHES)
    result = CliRunner().invoke(cli, ["explain", "z", str(tmp_path / "all.log")])
    assert result.exit_code == 0
    assert "replica=r1" in result.output and "request_contained" in result.output
    assert "replica=r2" not in result.output


def test_explain_rejects_an_id_that_no_line_mentions(tmp_path: Path) -> None:
    (tmp_path / "n1.log").write_text(NODE_1)
    result = CliRunner().invoke(cli, ["explain", "other", str(tmp_path / "n1.log")])
    assert result.exit_code == EXIT_USAGE
    assert "other: none of 4 log lines mentions it" in result.output


def test_platform_check_prints_settings_or_the_invalid_field(tmp_path: Path) -> None:
    path = tmp_path / "local.toml"
    path.write_text(SETTINGS)
    valid = CliRunner().invoke(cli, ["platform", "check", str(path)])
    assert valid.exit_code == 0
    assert "store_address = '10.200.1.7:8169'" in valid.output
    path.write_text(SETTINGS.replace('front = "10.1.0.10:8161"', ""))
    missing = CliRunner().invoke(cli, ["platform", "check", str(path)])
    path.write_text(SETTINGS.replace("10.1.0.10:8167", "no port"))
    invalid = CliRunner().invoke(cli, ["platform", "check", str(path)])
    assert missing.exit_code == invalid.exit_code == EXIT_SETTINGS
    assert "front" in missing.output
    assert "listen.ready: 'no port' is not HOST:PORT" in invalid.output
