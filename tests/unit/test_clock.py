"""The clock of a serving node includes the time while its machine is suspended."""

import time
from pathlib import Path

import pytest

from cloverwalk.core.clock import MIN_SUSPENSION_S, Clock, SuspensionWatch, monotonic_s

SOURCE = Path(__file__).resolve().parents[2] / "src" / "cloverwalk"
SERVING = ("fleet", "gateway", "jobs", "platform", "scheduling", "serving", "store", "tenants")
"""Packages of a serving node; its log gets the node's clock as an argument."""


@pytest.fixture
def suspended_machine_s(monkeypatch: pytest.MonkeyPatch) -> float:
    """Simulate a suspension of five seconds: ``CLOCK_BOOTTIME`` is ahead by this time."""
    suspended_s = 5.0
    original_gettime = time.clock_gettime

    def gettime_after_suspension(clock: int) -> float:
        return original_gettime(clock) + (suspended_s if clock == time.CLOCK_BOOTTIME else 0.0)

    monkeypatch.setattr(time, "clock_gettime", gettime_after_suspension)
    return suspended_s


def test_monotonic_time_includes_machine_suspension(
    request: pytest.FixtureRequest,
) -> None:
    clock, watch = Clock(), SuspensionWatch()
    before_s, before_ms = monotonic_s(), clock.now_ms()
    assert watch.check() == 0.0
    suspended_s = request.getfixturevalue("suspended_machine_s")
    assert monotonic_s() - before_s >= suspended_s
    assert clock.now_ms() - before_ms >= suspended_s * 1000
    assert suspended_s - MIN_SUSPENSION_S < watch.check() < suspended_s + MIN_SUSPENSION_S
    assert watch.check() == 0.0


def test_system_without_boottime_clock_uses_monotonic_clock(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.delattr(time, "CLOCK_BOOTTIME")
    assert abs(monotonic_s() - time.monotonic()) < 1.0


def test_serving_packages_read_no_clock_but_that_of_the_node() -> None:
    """With a clock that stops during a suspension, an expired lease would look valid."""
    clock_reads = [
        f"{path.relative_to(SOURCE)}: {name}"
        for folder in SERVING
        for path in sorted((SOURCE / folder).rglob("*.py"))
        for name in ("time.monotonic", "time.time(", "perf_counter")
        if name in path.read_text()
    ]
    assert clock_reads == []
