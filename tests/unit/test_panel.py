"""The panel reports what it compared: pairs, failures and broken rules; it omits nothing."""

from pathlib import Path
from typing import Any

import panel

SITE = Path("sites/parish.toml")


def report(worth: float, **extra: Any) -> dict[str, Any]:
    row = {
        "name": "ruling",
        "n": 10,
        "not_owed": 2,
        "in_aim": 6,
        "late": 1,
        "refused": 1,
        "failed": 0,
    }
    base = {"G": worth, "classes": [row], "prices": [["bytes", 1.0, 0.01]], "breaks": {}}
    return {**base, "fault": None, "short": [], **extra}


def outcome(day: str, seed: int, parsed: dict[str, Any] | None, problem: str = "") -> panel.Outcome:
    return panel.Outcome(panel.Play(SITE, day, seed), parsed, problem)


def test_plays_are_paired_by_day_and_seed() -> None:
    base = [outcome("d1", 1, report(0.5)), outcome("d1", 2, report(0.6))]
    other = [outcome("d1", 1, report(0.6)), outcome("d1", 2, report(0.7))]
    lines = panel.compare_outcomes(base, other)
    assert any(
        line.startswith("parish d1") and "+0.100 (+0.100 to +0.100)" in line for line in lines
    )
    assert any("75.0 / 12.5 / 12.5 / 0.0" in line for line in lines)


def test_failed_play_is_reported_and_its_pair_omitted() -> None:
    base = [outcome("d1", 1, report(0.5)), outcome("d1", 2, report(0.9))]
    other = [outcome("d1", 1, report(0.6)), outcome("d1", 2, None, "given up after 900 s")]
    lines = panel.compare_outcomes(base, other)
    assert "NOT PLAYED other parish-d1-2: given up after 900 s" in lines
    assert any(line.startswith("parish all") and "  1  0.500  0.600" in line for line in lines)


def test_broken_rules_and_missed_floors_are_reported() -> None:
    base = [outcome("d1", 1, report(0.5))]
    other = [outcome("d1", 1, report(0.9, breaks={"TWICE": 1}, short=["ruling"]))]
    lines = panel.compare_outcomes(base, other)
    assert "RULE BROKEN other parish-d1-1: {'TWICE': 1}" in lines
    assert any(line.startswith("FLOOR other parish-d1-1") for line in lines)


def test_interval_contains_mean_and_is_reproducible() -> None:
    differences = [0.1, -0.05, 0.02, 0.07, 0.0]
    low, high = panel.interval(differences)
    assert low < sum(differences) / len(differences) < high
    assert panel.interval(differences) == (low, high)
