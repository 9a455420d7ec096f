"""Counts the messages and bytes that keep streams at their software version, on the stand-ins.

A fleet of ``NODES`` nodes begins ``STREAMS_PER_NODE`` streams a node within a second, while its
replicas have two software versions. Ways of telling other nodes about them are compared.
"""

import curio
from coordination_world import CoordinationWorld
from test_stream_versions import LIFETIME_S, MixedFleet

from cloverwalk.fleet.messages import (
    PlacementRequest,
    StreamRecord,
    StreamVersionQuery,
    StreamVersions,
    encode_datagram,
)
from cloverwalk.gateway.software_versions import Software
from cloverwalk.gateway.stream_versions import StreamVersion

NODES = 195
STREAMS_PER_NODE = 6
"""The parish's nodes begin 5.6 streams a second each."""

UDP_HEADER_BYTES = 28
RECORD = StreamRecord("9166970bdf0f79d3", "quizmind", "v1.2", 4980)


def begin_streams(world: CoordinationWorld) -> None:
    """Let each node begin its streams of one second."""
    for node in world.nodes:
        for number in range(STREAMS_PER_NODE):
            stream = f"{node.number:08x}{number:08x}"
            software = Software("model", "v1")
            record = StreamVersion(stream, software, world.now + 5.0, "r0", world.now)
            node.stream_sync.share(node.streams.record(record))


async def measure(versions: tuple[str, ...]) -> None:
    """Print what the records of one second cost."""
    world = MixedFleet(NODES, versions)
    await world.start()
    await world.run(LIFETIME_S + 2)
    before, sent = world.wire.bytes_by_kind[StreamVersions], world.wire.sent
    begin_streams(world)
    used = world.wire.bytes_by_kind[StreamVersions] - before
    messages = world.wire.sent - sent
    streams = NODES * STREAMS_PER_NODE
    print(f"versions {sorted(set(versions))}: {streams} streams, {messages} messages,")
    print(f"  {used + UDP_HEADER_BYTES * messages} bytes with headers")


def print_sizes() -> None:
    """Print the sizes of single messages and fields."""
    one = len(encode_datagram(StreamVersions([RECORD])))
    two = len(encode_datagram(StreamVersions([RECORD, RECORD])))
    query = len(encode_datagram(StreamVersionQuery(["9166970bdf0f79d3"])))
    print(f"one record {one} bytes, each further one {two - one}, a query {query} (no headers)")
    streams = NODES * STREAMS_PER_NODE
    every_node = streams * (NODES - 1)
    print(f"to every node: {every_node} messages, {every_node * (one + UDP_HEADER_BYTES)} bytes")
    batched = NODES * 20 * (NODES - 1)
    batched_bytes = batched * UDP_HEADER_BYTES + every_node * (two - one)
    print(f"to every node, in batches of 50 ms: {batched} messages, {batched_bytes} bytes at least")
    print(f"a query that the coordinator passes on: {NODES - 2} messages")
    assert PlacementRequest(1, "r", "s").stream == ""


def main() -> None:
    """Print all figures."""
    print_sizes()
    curio.run(measure, ("v1", "v2", "v1", "v2"))
    curio.run(measure, ("v1", "v1"))


if __name__ == "__main__":
    main()
