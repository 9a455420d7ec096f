"""What a serving node costs while it stands there: processor time, waits, datagrams, store calls.

Starts the real node program as separate processes on loopback, beside the project's stand-ins of
the store and the replicas, lets them run for a bounded time, and ends the processes it started.

Usage: standing.py [--nodes 1,15,40] [--per-node 0,1] [--seconds 10] [--replicas 8]
"""

import os
import sys
import time
from pathlib import Path
from typing import Any

import click
import curio
from msgspec import Struct

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tests" / "serving"))

from fleet_world import FleetWorld, configuration  # noqa: E402
from node_processes import ZONES, node_processes  # noqa: E402

from cloverwalk.platform import names  # noqa: E402

WARM_UP_S = 6.0
"""Starts, introductions and first reads are not part of the standing cost."""

READY_WITHIN_S = 60.0
HEARTBEAT_S = 1.2
"""Time between the writes of a replica's entry, as the platform's replicas do it."""

TICKS_PER_S = float(os.sysconf("SC_CLK_TCK"))
MAX_NODES = 60


class Counters(Struct):
    """Sums over all nodes at one moment."""

    at: float
    cpu_s: float
    waits: int
    datagrams: int
    store_calls: int


def cpu_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def waits(pid: int) -> int:
    """Return how often a process has waited."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    found = [one for one in lines if one.startswith("voluntary_ctxt_switches")]
    return int(found[0].split()[1])


def datagrams() -> int:
    """Return how many datagrams this machine has sent."""
    lines = Path("/proc/net/snmp").read_text().splitlines()
    heads, figures = [one.split() for one in lines if one.startswith("Udp:")]
    return int(figures[heads.index("OutDatagrams")])


def take(pids: list[int], world: FleetWorld) -> Counters:
    """Return the counters of this moment."""
    return Counters(
        time.monotonic(),
        sum(cpu_s(pid) for pid in pids),
        sum(waits(pid) for pid in pids),
        datagrams(),
        world.store.calls,
    )


async def _beat(world: FleetWorld) -> None:
    """Renew the replicas' entries as the platform's replicas do."""
    beat = 0
    while True:
        beat += 1
        for number, replica in enumerate(world.replicas):
            zone = ZONES[number % len(ZONES)]
            document = {**replica.document("model", zone), "seq": beat}
            world.store.put(names.REPLICA_TABLE, replica.replica_id, document)
            await curio.sleep(HEARTBEAT_S / len(world.replicas))


async def _until_ready(world: FleetWorld, addresses: list[tuple[str, int]]) -> None:
    until = time.monotonic() + READY_WITHIN_S
    for address in addresses:
        while time.monotonic() < until:
            try:
                answer = await world.call("GET", names.READY_PATH, address=address)
            except OSError:
                answer = None
            if answer is not None and answer.status == 200:
                break
            await curio.sleep(0.2)
        else:
            raise click.ClickException(f"{address} is not ready after {READY_WITHIN_S:.0f} s")


async def _load(world: FleetWorld, addresses: list[tuple[str, int]], per_node_s: float) -> None:
    """Send requests to the nodes in turn."""
    turn = 0
    while True:
        await curio.sleep(1.0 / (per_node_s * len(addresses)))
        address = addresses[turn % len(addresses)]
        turn += 1
        await curio.spawn(_ask, world, address, daemon=True)


async def _ask(world: FleetWorld, address: tuple[str, int]) -> None:
    await world.ask("/chat/a", address=address)


async def measure(count: int, per_node_s: float, seconds: float, replicas: int) -> dict[str, Any]:
    """Return the cost of a node and second in a fleet of ``count`` nodes."""
    world = FleetWorld()
    try:
        await world.spawn(world.store.run)
        world.store.put(names.OPERATOR_TABLE, names.CONFIGURATION_KEY, configuration(1))
        for _ in range(replicas):
            await world.add_replica(events=20, event_s=0.02)
        await world.spawn(_beat, world)
        with node_processes(count, world.store_port) as nodes:
            pids = [one.pid for one in nodes]
            await _until_ready(world, [one.ready_address for one in nodes])
            if per_node_s > 0:
                addresses = [one.client_address for one in nodes]
                await world.spawn(_load, world, addresses, per_node_s)
            await curio.sleep(WARM_UP_S)
            before = take(pids, world)
            await curio.sleep(seconds)
            after = take(pids, world)
    finally:
        await world.close()
    node_seconds = count * (after.at - before.at)
    return {
        "nodes": count,
        "requests": per_node_s,
        "core": round((after.cpu_s - before.cpu_s) / node_seconds, 4),
        "waits": round((after.waits - before.waits) / node_seconds, 1),
        "datagrams": round((after.datagrams - before.datagrams) / node_seconds, 1),
        "store_calls": round((after.store_calls - before.store_calls) / node_seconds, 2),
    }


def _numbers(text: str) -> list[float]:
    return [float(one) for one in text.split(",")]


@click.command()
@click.option("--nodes", default="1,15,40", help="Sizes of the fleet.")
@click.option("--per-node", default="0,1", help="Requests a node and second.")
@click.option("--seconds", default=10.0, help="Length of each measurement.")
@click.option("--replicas", default=8, help="Stand-ins of replicas, 8 slots each.")
def main(nodes: str, per_node: str, seconds: float, replicas: int) -> None:
    """Print the standing cost of a node and second, one line a measurement."""
    click.echo("nodes  requests/s  core    waits/s  datagrams/s  store calls/s")
    for count in _numbers(nodes):
        if not 1 <= count <= MAX_NODES:
            raise click.BadParameter(f"between 1 and {MAX_NODES} nodes", param_hint="--nodes")
        for per_node_s in _numbers(per_node):
            one = curio.run(measure, int(count), per_node_s, seconds, replicas)
            click.echo(
                f"{one['nodes']:5d}  {one['requests']:10.1f}  {one['core']:.4f}  "
                f"{one['waits']:7.1f}  {one['datagrams']:11.1f}  {one['store_calls']:13.2f}"
            )


if __name__ == "__main__":
    main()
