"""Log lines about waiting items are few and name those that wait longest."""

import json
import os
from pathlib import Path

from job_world import ManualClock

from cloverwalk.jobs.wait_log import (
    LOG_INTERVAL_S,
    MAX_LOGGED_ITEMS,
    MAX_LOGGED_JOBS,
    MIN_WAIT_S,
    ItemWait,
    WaitLog,
    WaitReason,
)
from cloverwalk.telemetry.log import ServingLog


def written(path: Path) -> list[dict[str, object]]:
    return [json.loads(line) for line in path.read_text().splitlines()]


def test_items_of_a_job_share_a_line_by_reason(tmp_path: Path) -> None:
    path, clock = tmp_path / "log", ManualClock(step_s=0.0)
    clock.now = 100.0
    log = ServingLog("n1", clock, os.open(path, os.O_CREAT | os.O_WRONLY))
    wait_log = WaitLog(log, clock)
    waits = [
        ItemWait(f"j{job}", f"i{item}", MIN_WAIT_S + job + item, WaitReason.SLOT)
        for job in range(MAX_LOGGED_JOBS + 2)
        for item in range(MAX_LOGGED_ITEMS + 2)
    ]
    contained = ItemWait("j1", "i99", 50.0, WaitReason.CONTAINED, "p1", 800)
    short = ItemWait("j1", "i98", MIN_WAIT_S / 2, WaitReason.CONTAINED, "p2", 800)
    assert wait_log.is_due
    wait_log.write([*waits, contained, short], "n2")
    first, second, *rest = written(path)
    assert (first["reason"], first["key"], first["requests"]) == ("contained", "p1", ["i99"])
    assert (first["ends_in_ms"], first["coordinator"]) == (800, "n2")
    assert (second["job"], second["items"]) == (f"j{MAX_LOGGED_JOBS + 1}", MAX_LOGGED_ITEMS + 2)
    assert second["requests"] == [f"i{item}" for item in range(9, 1, -1)]
    assert len(rest) == MAX_LOGGED_JOBS - 2
    clock.now += LOG_INTERVAL_S - 0.1
    assert not wait_log.is_due
