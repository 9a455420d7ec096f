"""What ways to hold back items after crashes cost: waits of sound items, crashes under guilty ones.

The fleet of ``tests/serving/test_item_waits.py``: real coordinator, scheduler and runner, replicas
that are replaced at once. Sound items: time from the last crash until an item runs, after series of
crashes that hit them. Guilty items, eight of one job that share a part: crashes within a minute.
"""

import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import curio

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tests" / "serving"))

from test_item_waits import REPLICAS, WaitingWorld  # noqa: E402

from cloverwalk.gateway.software_versions import Software  # noqa: E402
from cloverwalk.jobs import item_containment  # noqa: E402
from cloverwalk.jobs.item_containment import HeldBack, ItemContainment  # noqa: E402

SERIES = (3, 4, 5, 8)
SPAN_S = 60.0
MAX_WAIT_S = 700.0


def built(_containment: ItemContainment) -> None:
    """3 s from the last crash, then one, and more after sound runs."""


def like_online_requests(containment: ItemContainment) -> None:
    """3, 60 and 600 s from the last crash, by the number of crashes, then one by one."""
    ledger: Any = containment._ledger

    def last_crash_at(key: str) -> float:
        entry = ledger._entries[key]
        return float(entry.trial_due_at(ledger._is_certain(key))) - item_containment.CONTAINMENT_S

    inherited = containment._held_back_by

    def held_back_by(key: str, software: Software | None) -> HeldBack | None:
        until = last_crash_at(key) + item_containment.CONTAINMENT_S
        return HeldBack(key, until) if containment._clock() < until else inherited(key, software)

    containment._held_back_by = held_back_by  # type: ignore[method-assign]


def all_at_once(containment: ItemContainment) -> None:
    """3 s from the last crash, then all items together."""
    containment.begin_run = lambda *_: None  # type: ignore[method-assign]


def never(containment: ItemContainment) -> None:
    """Items are never held back; crashes under them count for others."""
    containment.held_back = lambda *_: None  # type: ignore[method-assign]


def no_evidence(containment: ItemContainment) -> None:
    """Items are never held back, and crashes under them count for nothing."""
    never(containment)

    async def ignore(*_: Any) -> None:
        return

    containment.record_failure = ignore  # type: ignore[method-assign,assignment]


WAYS = (like_online_requests, built, all_at_once, never, no_evidence)


async def prepared(way: Callable[[ItemContainment], None]) -> WaitingWorld:
    waiting = WaitingWorld()
    await waiting.start()
    for runner in waiting.runners.values():
        way(runner._containment)
    await waiting.submit("j1", "n001")
    return waiting


async def wait_of_sound_items(way: Callable[[ItemContainment], None], crashes: int) -> float:
    """Return the time from the last crash until an item runs."""
    waiting = await prepared(way)
    for number in range(crashes + 1):
        waited_s = 0.0
        while not any(waiting.caller.running.values()):
            if waited_s >= MAX_WAIT_S:
                return waited_s
            await waiting.run(waiting.world.STEP_S)
            waited_s += waiting.world.STEP_S
        if number < crashes:
            for _ in range(REPLICAS):
                await waiting.crash(0)
    return waited_s


async def crashes_of_guilty_items(way: Callable[[ItemContainment], None]) -> int:
    """Return how many replicas crash within ``SPAN_S``."""
    waiting = await prepared(way)
    crashes = 0
    while waiting.world.now < 1000.0 + SPAN_S:
        hit = [name for name, runs in waiting.caller.running.items() if runs]
        for name in hit:
            names = [replica.replica_id for replica in waiting.world.replicas]
            if name in names:
                await waiting.crash(names.index(name))
                crashes += 1
        await waiting.run(waiting.world.STEP_S)
    return crashes


async def main() -> None:
    print(f"way; wait of sound items after {SERIES} crashes, s; crashes of guilty items in 60 s")
    for way in WAYS:
        waits = [await wait_of_sound_items(way, crashes) for crashes in SERIES]
        guilty = await crashes_of_guilty_items(way)
        print(f"{way.__name__}; {', '.join(f'{wait:.2f}' for wait in waits)}; {guilty}", flush=True)


if __name__ == "__main__":
    curio.run(main)
