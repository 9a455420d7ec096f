"""How soon a fleet serves after all its processes started at once, in simulated time.

Runs the fleet parts, followers and store client of many nodes over a stand-in of the store with
limits of calls, pages and links (``tests/serving/returning_world.py``): start, kill, start again.
Processor time of the nodes is not modelled.

Usage: returning.py [--nodes 60] [--replicas 600] [--reads 6000] [--refusal 503 [--core]]
"""

import sys
from pathlib import Path
from random import Random

import click
import curio

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tests" / "serving"))

from returning_world import (  # noqa: E402
    NO_ANSWER,
    RESET,
    ReturningWorld,
    SimulatedTime,
    in_simulated_time,
    node_host,
)

WRITES_PER_S = 1200.0
SETTLE_S = 5.0
LONGEST_S = 40.0
COUNTED_S = 6.0
"""Calls and messages are counted for so long after the start."""

STATUS_BY_NAME = {"429": 429, "503": 503, "reset": RESET, "silence": NO_ANSWER}


@click.command()
@click.option("--nodes", default=60)
@click.option("--replicas", default=600)
@click.option("--reads", default=6000.0, help="Reading calls a second that the store takes.")
@click.option("--refusal", type=click.Choice(list(STATUS_BY_NAME)), help="For each third node.")
@click.option("--share", default=1.0, help="Part of their calls that are refused.")
@click.option("--first-run", default=0, help="Other starts of processes, other times.")
@click.option("--core", is_flag=True, help="The coordinator and its standbys are refused too.")
def main(
    nodes: int,
    replicas: int,
    reads: float,
    refusal: str | None,
    share: float,
    first_run: int,
    core: bool,
) -> None:
    """Print when the last node was ready and served, and what it took."""

    async def measure(time: SimulatedTime) -> None:
        world = ReturningWorld(time, nodes, replicas, reads, WRITES_PER_S, first_run)
        await world.start_all()
        await world.wait_until(lambda one: one.serves, LONGEST_S)
        await curio.sleep(SETTLE_S)
        refused = {node_host(number) for number in range(0, nodes, 3)}
        refused |= world.leadership_hosts() if core else set()
        await world.kill_all()
        if refusal is not None:
            _refuse(world, refused, STATUS_BY_NAME[refusal], share)
        world.store.reset_counts()
        world.wire.sent.clear()
        began_at = time.now
        await world.start_all()
        await world.wait_until(lambda one: one.is_ready, LONGEST_S)
        click.echo(f"last ready after   {time.now - began_at:6.2f} s")
        await world.wait_until(lambda one: one.serves, LONGEST_S)
        click.echo(f"last served after  {time.now - began_at:6.2f} s")
        await curio.sleep(max(0.0, began_at + COUNTED_S - time.now))
        _print_counts(world)

    in_simulated_time(measure)


def _refuse(world: ReturningWorld, hosts: set[str], status: int, share: float) -> None:
    random = Random("refusals")
    world.store.refuses = lambda host: status if host in hosts and random.random() < share else None


def _print_counts(world: ReturningWorld) -> None:
    store = world.store
    calls = store.calls.total()
    click.echo(f"store: {calls} calls in {COUNTED_S:.0f} s, {store.refused} over the limit")
    for name, count in store.calls.most_common():
        click.echo(f"  {count:8}  {name}")
    click.echo(f"store: {store.bytes_sent / 1e6:.1f} MB in answers")
    for kind, count in world.wire.sent.most_common():
        click.echo(f"  {count:8}  {kind}")


if __name__ == "__main__":
    main()
