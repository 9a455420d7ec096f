"""Control cost of idle nodes at several fleet sizes, with hollow nodes in one process.

The nodes are the product's state machines on a simulated network; engines and callers are
left out. Bytes are those of the wire form. CPU is the process time of ``handle`` alone,
divided among the nodes. Prints a line a size and the slopes. Bounded: one process.
"""

import gc
import resource
import sys
import time
from random import Random

from msgspec import json

from cloverwalk.config.settings import NodeSettings
from cloverwalk.core import events as ev
from cloverwalk.core.peer_messages import Envelope
from cloverwalk.emulator.simulation import Simulation
from cloverwalk.node.node import Node
from cloverwalk.peer.transport import encode_envelope

NODES_PER_ZONE = 57
WARM_UP_S = 12.0
MEASURED_S = 10.0
SIZES = (10, 100, 400, 1200)


class HandleClock:
    """Counts the time that all nodes spend in ``handle``."""

    def __init__(self) -> None:
        self.spent_s = 0.0

    def watch(self, node: Node) -> None:
        """Put the clock around a node's ``handle``."""
        handle = node.handle

        def timed(event: ev.Event, now: float) -> list[ev.Instruction]:
            started = time.process_time()
            out = handle(event, now)
            self.spent_s += time.process_time() - started
            return out

        node.handle = timed  # type: ignore[method-assign]


class Sizes:
    """Counts bytes of peer messages and calls to the platform."""

    def __init__(self) -> None:
        self.peer_bytes = 0
        self.peer_messages = 0
        self.store_calls = 0
        self.store_bytes = 0
        self.counts = False

    def count(self, node_id: str, instruction: ev.Instruction) -> None:
        """Count one instruction."""
        if not self.counts:
            return
        if isinstance(instruction, ev.SendToPeer):
            envelope = Envelope(node_id, "127.0.0.1:9080", instruction.message)
            self.peer_bytes += len(encode_envelope(envelope))
            self.peer_messages += 1
        elif isinstance(instruction, ev.CommitToStore | ev.ReadStore | ev.PutObject | ev.GetObject):
            self.store_calls += 1
            self.store_bytes += len(json.encode(instruction))


def run_size(count: int) -> None:
    """Run one size and print its line."""
    gc.collect()
    memory_before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    sim = Simulation(1)
    sim.platform.settings = type(sim.platform.settings)(calls_per_s=1e9)
    sim.platform = type(sim.platform)(sim.platform.settings, Random(1))
    sizes = Sizes()
    sim.on_instruction = sizes.count
    zones = max(1, round(count / NODES_PER_ZONE))
    ids = [f"z{n % zones:02d}-n{n:04d}" for n in range(count)]
    # Each node is told of one earlier node of its zone and one other; gossip does the rest.
    sim.introduces_all = False
    for number, node_id in enumerate(ids):
        zone = node_id.split("-")[0]
        sim.add_node(NodeSettings(node_id, zone, "127.0.0.1:1"))
        for peer in {number - zones, number - 1, number // 2} - {number}:
            if peer >= 0:
                sim.introduce(node_id, ids[peer])
    clock = HandleClock()
    for simulated in sim.nodes.values():
        clock.watch(simulated.node)
    sim.run_until(WARM_UP_S)
    sizes.counts = True
    clock.spent_s = 0.0
    sim.run_until(WARM_UP_S + MEASURED_S)
    per_node_s = count * MEASURED_S
    memory_after = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    live = [len(one.node.context.membership.live(sim.now)) for one in sim.nodes.values()]
    owned = sum(len(one.node.jobs.shards) for one in sim.nodes.values())
    print(
        f"{count:5d} nodes {zones:3d} zones | peer bytes/s {sizes.peer_bytes / per_node_s:8.0f}"
        f" messages/s {sizes.peer_messages / per_node_s:6.2f}"
        f" | store calls/s {sizes.store_calls / per_node_s:5.2f}"
        f" bytes/s {sizes.store_bytes / per_node_s:6.0f}"
        f" | CPU {100 * clock.spent_s / per_node_s:6.3f} % of a core"
        f" | memory {(memory_after - memory_before) / count:7.0f} KiB"
        f" | live peers seen {min(live)} to {max(live)}, shards owned {owned}",
        flush=True,
    )


def main() -> None:
    """Run the sizes given as arguments, or all."""
    for size in [int(word) for word in sys.argv[1:]] or SIZES:
        run_size(size)


if __name__ == "__main__":
    main()
