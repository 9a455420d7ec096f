"""What containment costs and saves: ways to share what nodes see, and the time of a content's name.

Simulated fleets of five nodes, with restarts, cuts and lost messages, the same seeds for each way:
how many replicas a request that ends them reaches in 20 s when it is sent twice a second.
"""

import statistics
import sys
import time
from collections.abc import Callable
from pathlib import Path

import curio

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tests" / "serving"))

from coordination_world import CoordinationWorld  # noqa: E402
from test_crash_records import NODES, REQUEST_INTERVAL_S, Clients, Disturbances  # noqa: E402

from cloverwalk.fleet.messages import CrashCases  # noqa: E402
from cloverwalk.gateway.content_hash import hash_content  # noqa: E402

SEEDS = 60
SPAN_S = 20.0
REPEATS = 20_000


def keep_all(_world: CoordinationWorld) -> None:
    """The way that is built: reports, the coordinator's sum, rows in the store."""


def without_store(world: CoordinationWorld) -> None:
    """Reports and the coordinator's sum."""

    async def done() -> bool:
        return True

    for node in world.nodes:
        node.crash_record_store.write_due = done  # type: ignore[method-assign]


def each_alone(world: CoordinationWorld) -> None:
    """Each node counts what it sees itself."""
    for node in world.nodes:
        node.crash_records.records_for_report = list  # type: ignore[method-assign]
        node.crash_records.handle_report = lambda report, entry: None  # type: ignore[method-assign]
        node.crash_records.push = lambda get_peers: None  # type: ignore[method-assign]


async def play(seed: int, prepare: Callable[[CoordinationWorld], None]) -> tuple[int, int, int]:
    """Return how many replicas were reached, how many by retries that count, and bytes told."""
    world = CoordinationWorld(NODES)
    await world.start()
    clients = Clients(world)
    trouble = Disturbances(world, clients, seed)
    began_at = world.now
    while world.now - began_at < SPAN_S:
        prepare(world)
        if trouble.random.random() < 0.15:
            await trouble.replace()
        trouble.record()
        await clients.send_guilty(trouble.random.choice(world.nodes))
        await clients.pass_time(REQUEST_INTERVAL_S)
    return len(clients.reached_at), clients.retries(), world.wire.bytes_by_kind[CrashCases]


def main() -> None:
    """Print a line for each way, and the cost of a content's name."""
    for prepare in (each_alone, without_store, keep_all):
        runs = [curio.run(play, seed, prepare) for seed in range(SEEDS)]
        reached, retries, told = zip(*runs, strict=True)
        print(
            f"{prepare.__name__}: reached {statistics.mean(reached):.1f} (most {max(reached)}), "
            f"retries {statistics.mean(retries):.2f} (most {max(retries)}), "
            f"bytes told {statistics.mean(told):.0f}"
        )
    for size in (500, 4_000, 100_000):
        body = bytes(size)
        began = time.perf_counter()
        for _ in range(REPEATS if size < 10_000 else REPEATS // 20):
            hash_content("tenant", "host.example", "POST", "/a/b/c", body=body)
        count = REPEATS if size < 10_000 else REPEATS // 20
        print(f"name of {size} bytes: {(time.perf_counter() - began) / count * 1e6:.1f} us")


if __name__ == "__main__":
    main()
