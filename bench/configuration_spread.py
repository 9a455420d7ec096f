"""Propagation of a configuration change over two regions with a slow link, in simulated time.

The regions have equal size, and one of them contains the store. The link between them carries
30 Mbit/s each way, for datagrams and calls of the store (``tests/serving/returning_world.py``).
Processor time is not modelled.

Usage: configuration_spread.py [--nodes 70] [--routes 1742] [--without]
"""

import contextlib
import sys
import zlib
from pathlib import Path
from random import Random
from typing import Any
from unittest import mock

import click
import curio
import msgspec

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tests" / "serving"))

from fleet_world import route  # noqa: E402
from returning_world import (  # noqa: E402
    Regions,
    ReturningNode,
    ReturningWorld,
    SimulatedTime,
    in_simulated_time,
)

from cloverwalk.scheduling.features import Features  # noqa: E402

READS_PER_S, WRITES_PER_S = 6000.0, 1500.0
APPLY_S = 4.0
SETTLE_S = 8.0
IDLE_S = 10.0
LONGEST_S = 60.0
REGIONS = ("r1", "r2")
PATH_LETTERS = "abcdefghiklmnoprstuvwz"


@click.command()
@click.option("--nodes", multiple=True, default=(70, 195), type=int)
@click.option("--routes", multiple=True, default=(45, 1742, 20000), type=int)
@click.option("--without", is_flag=True, help="Turn all features off; each node reads the store.")
def main(nodes: tuple[int, ...], routes: tuple[int, ...], without: bool) -> None:
    """Print the time and traffic of a configuration change for each fleet size."""
    for count in nodes:
        for route_count in routes:
            _measure(count, route_count, without)


def _measure(nodes: int, route_count: int, without: bool) -> None:
    async def measure(time: SimulatedTime) -> None:
        regions = Regions(REGIONS)
        world = ReturningWorld(time, nodes, 60, READS_PER_S, WRITES_PER_S, 0, regions, APPLY_S)
        await world.start_all()
        await world.wait_until(lambda node: node.serves, LONGEST_S)
        await curio.sleep(SETTLE_S)
        idle = await _idle_cost(world, nodes)
        _reset_counters(world)
        changed_at = time.now
        await world.change_configuration(2, _random_routes(route_count))
        with contextlib.suppress(AssertionError):
            await world.wait_until(_has_change, LONGEST_S)
        lacking = sum(not _has_change(node) for node in world.nodes)
        took = f"{time.now - changed_at:6.2f} s" if not lacking else f"{lacking} without it"
        await curio.sleep(0.5)
        compressed = _compressed_size(world)
        part_bytes = sum(
            size
            for kind, size in regions.bytes_between.items()
            if kind in ("CompactConfigurationPart", "ConfigurationPart", "ConfigurationCopy")
        )
        poll_bytes = sum(
            size
            for kind, size in regions.bytes_between.items()
            if kind in ("ConfigurationPoll", "ConfigurationStatus", "ConfigurationPartRequest")
        )
        click.echo(
            f"{nodes:4} nodes {route_count:6} routes: last node {took}, "
            f"compressed {compressed:7}, between regions: parts {part_bytes:8}, "
            f"polls {poll_bytes:6}, store {regions.bytes_between['store op']:9}; "
            f"store calls {_configuration_calls(world):4}, "
            f"answers {world.store.bytes_sent / 1e6:7.2f} MB; {idle}"
        )

    patch = mock.patch.object(Features, "is_on", lambda self, feature: False)
    with patch if without else mock.patch.object(Features, "states", Features.states):
        in_simulated_time(measure)


def _has_change(node: ReturningNode) -> bool:
    return node.fleet_state.configuration.version == 2


def _reset_counters(world: ReturningWorld) -> None:
    world.store.reset_counts()
    world.regions.bytes_between.clear()
    world.wire.bytes_by_kind.clear()


async def _idle_cost(world: ReturningWorld, nodes: int) -> str:
    _reset_counters(world)
    await curio.sleep(IDLE_S)
    kinds = ("ConfigurationPoll", "ConfigurationStatus")
    polls = sum(world.wire.bytes_by_kind[kind] for kind in kinds) / IDLE_S / nodes
    between = sum(world.regions.bytes_between[kind] for kind in kinds) / IDLE_S
    calls = _configuration_calls(world) / IDLE_S
    return f"idle: {polls:.0f} B/s a node, {between:.0f} B/s between, {calls:.1f} store calls/s"


def _configuration_calls(world: ReturningWorld) -> int:
    return sum(count for name, count in world.store.calls.items() if name.endswith(" op"))


def _random_routes(count: int) -> list[dict[str, Any]]:
    random = Random(count)
    return [
        {
            **route(
                f"route-{random.getrandbits(20):x}",
                f"/{''.join(random.choices(PATH_LETTERS, k=4))}{random.randrange(1000)}/",
                "safe",
                timeout_ms=random.choice([2000, 3000, 4000]),
            ),
            "host": f"{''.join(random.choices(PATH_LETTERS, k=4))}{random.randrange(99)}.example",
        }
        for _ in range(count)
    ]


def _compressed_size(world: ReturningWorld) -> int:
    current = world.nodes[0].fleet_state.configuration.current
    return len(zlib.compress(msgspec.json.encode(current)))


if __name__ == "__main__":
    main()
