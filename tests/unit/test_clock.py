"""Time that a machine sleeps through counts for everything that a serving node decides."""

import time
from pathlib import Path

import pytest

from cloverwalk.core.clock import MIN_SUSPENSION_S, Clock, SuspensionWatch, monotonic_s

SOURCE = Path(__file__).resolve().parents[2] / "src" / "cloverwalk"
SERVING = ("fleet", "gateway", "jobs", "platform", "scheduling", "serving", "store", "tenants")
"""What a serving node is made of; its log takes the node's clock."""


@pytest.fixture
def sleep_through(monkeypatch: pytest.MonkeyPatch) -> float:
    """Have the machine sleep for five seconds: the clock that counts them is ahead."""
    slept_s = 5.0
    real = time.clock_gettime

    def ahead(clock: int) -> float:
        return real(clock) + (slept_s if clock == time.CLOCK_BOOTTIME else 0.0)

    monkeypatch.setattr(time, "clock_gettime", ahead)
    return slept_s


def test_steady_time_goes_on_while_the_machine_is_suspended(
    request: pytest.FixtureRequest,
) -> None:
    clock, watch = Clock(), SuspensionWatch()
    before_s, before_ms = monotonic_s(), clock.now_ms()
    assert watch.check() == 0.0
    slept_s = request.getfixturevalue("sleep_through")
    assert monotonic_s() - before_s >= slept_s
    assert clock.now_ms() - before_ms >= slept_s * 1000
    assert slept_s - MIN_SUSPENSION_S < watch.check() < slept_s + MIN_SUSPENSION_S
    assert watch.check() == 0.0


def test_a_system_without_such_a_clock_has_the_other_one(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.delattr(time, "CLOCK_BOOTTIME")
    assert abs(monotonic_s() - time.monotonic()) < 1.0


def test_no_part_of_a_serving_node_reads_a_clock_of_its_own() -> None:
    """Each gets the node's clock, so none can take a suspended machine's lease for fresh."""
    readings = [
        f"{path.relative_to(SOURCE)}: {name}"
        for folder in SERVING
        for path in sorted((SOURCE / folder).rglob("*.py"))
        for name in ("time.monotonic", "time.time(", "perf_counter")
        if name in path.read_text()
    ]
    assert readings == []
