"""A short soak of node processes with a fixed seed."""

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
"""Seed of a schedule with all kinds of faults."""
NODES = 3
MINUTES = 1.0
TIMEOUT_S = 60.0


def test_short_soak_has_no_violations(tmp_path: Path) -> None:
    lines: list[str] = []
    result = Soak(draw_plan(SEED, NODES, MINUTES), tmp_path, lines.append).run()
    assert result.violations == [], "\n".join(lines)
    assert result.is_clean
    assert result.answers["200"] > 0
    assert result.accepted_jobs > 0
    assert sum("FaultBegan" in line for line in history_lines(tmp_path)) > 5


def history_lines(folder: Path) -> list[str]:
    return (folder / HISTORY_FILE).read_text().splitlines()


def process_exists(pid: int) -> bool:
    return Path(f"/proc/{pid}").exists()


def test_stopped_soak_ends_its_processes(tmp_path: Path) -> None:
    command = [sys.executable, "-m", "cloverwalk.cli.main", "soak", "--out", str(tmp_path)]
    process = subprocess.Popen(
        [*command, "--minutes", "5", "--seed", "1"], stdout=subprocess.PIPE, env=dict(os.environ)
    )
    path = tmp_path / "seed-1" / HISTORY_FILE
    logs = tmp_path / "seed-1"
    try:
        deadline = time.monotonic() + TIMEOUT_S
        while len(list(logs.glob("*.log"))) < NODES:
            assert time.monotonic() < deadline
            time.sleep(0.05)
        process.send_signal(signal.SIGTERM)
        output, _ = process.communicate(timeout=TIMEOUT_S)
    finally:
        process.kill()
        process.wait()
    assert process.returncode == 130, output
    events = list(read_history(path))
    started = [event.pid for event in events if isinstance(event, NodeStarted)]
    assert len(started) == NODES
    assert not any(isinstance(event, NodeGone) for event in events)
    assert not any(process_exists(pid) for pid in started)
