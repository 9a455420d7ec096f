"""A short soak of real processes with a fixed seed; long ones are run by hand."""

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

from cloverwalk.soak.draw import draw_plan
from cloverwalk.soak.events import NodeGone, NodeStarted
from cloverwalk.soak.history import read_history
from cloverwalk.soak.run import HISTORY_FILE, Soak

SEED = 267
"""Its schedule has all kinds of faults."""
NODES = 3
MINUTES = 1.0
GIVE_UP_S = 60.0


def test_a_short_soak_breaks_no_promise(tmp_path: Path) -> None:
    lines: list[str] = []
    result = Soak(draw_plan(SEED, NODES, MINUTES), tmp_path, lines.append).run()
    assert result.violations == [], "\n".join(lines)
    assert result.is_clean
    assert result.answers["200"] > 0
    assert result.jobs > 0
    assert sum("FaultBegan" in one for one in history_lines(tmp_path)) > 5


def history_lines(folder: Path) -> list[str]:
    return (folder / HISTORY_FILE).read_text().splitlines()


def is_there(pid: int) -> bool:
    return Path(f"/proc/{pid}").exists()


def test_a_soak_that_is_stopped_ends_what_it_started_and_nothing_else(tmp_path: Path) -> None:
    command = [sys.executable, "-m", "cloverwalk.cli.main", "soak", "--out", str(tmp_path)]
    process = subprocess.Popen(
        [*command, "--minutes", "5", "--seed", "1"], stdout=subprocess.PIPE, env=dict(os.environ)
    )
    path = tmp_path / "seed-1" / HISTORY_FILE
    logs = tmp_path / "seed-1"
    try:
        end = time.monotonic() + GIVE_UP_S
        while len(list(logs.glob("*.log"))) < NODES:
            assert time.monotonic() < end
            time.sleep(0.05)
        process.send_signal(signal.SIGTERM)
        output, _ = process.communicate(timeout=GIVE_UP_S)
    finally:
        process.kill()
        process.wait()
    assert process.returncode == 130, output
    events = list(read_history(path))
    started = [one.pid for one in events if isinstance(one, NodeStarted)]
    assert len(started) == NODES
    assert not any(isinstance(one, NodeGone) for one in events)
    assert not any(is_there(pid) for pid in started)
