"""Messages that a node doesn't know are dropped, logged and counted by kind."""

import json
import os
import socket

import curio
from returning_world import ReturningWorld, SimulatedTime, in_simulated_time

from cloverwalk.fleet.messages import Datagram, StoreReturned, encode_datagram
from cloverwalk.fleet.transport import DatagramTransport
from cloverwalk.telemetry.log import ServingLog
from cloverwalk.telemetry.metrics import ServingMetrics

REFUSED = {
    b'15:["not_yet",1,2],': "unknown",
    b'10:["report"],': "report",
    b"garbage": "unreadable",
    b"2:[],": "unreadable",
}


# Guards against messages of a newer build that stop the receiver or are dropped unnoticed.
def test_refused_messages_are_dropped_logged_and_counted() -> None:
    async def main() -> None:
        read_end, write_end = os.pipe()
        transport = DatagramTransport(("127.0.0.1", 0), ServingLog("n1", lambda: 0.0, write_end))
        metrics = ServingMetrics()
        transport.on_refused = metrics.peer_message_refused
        received = curio.Event()

        async def on_datagram(message: Datagram, _: str) -> None:
            assert message == StoreReturned("n2")
            await received.set()

        receiver = await curio.spawn(transport.receive, on_datagram)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for data in (*REFUSED, encode_datagram(StoreReturned("n2"))):
                sender.sendto(data, transport._sock.getsockname())
        await received.wait()
        await receiver.cancel()
        await transport.close()
        os.close(write_end)
        with open(read_end, "rb") as lines:
            kinds = [json.loads(line)["kind"] for line in lines]
        assert kinds == list(REFUSED.values())
        text = metrics.render().decode()
        for kind in set(kinds):
            count = f'cloverwalk_peer_messages_refused_total{{kind="{kind}"}} {kinds.count(kind)}.0'
            assert count in text

    curio.run(main)


# Guards against a counter that isn't connected to the metrics of a node.
def test_nodes_count_refused_messages_in_their_metrics() -> None:
    async def test(time: SimulatedTime) -> None:
        world = ReturningWorld(time, 1, 1, 2000.0, 800.0)
        await world.start_all()
        await curio.sleep(1.0)
        (node,) = world.nodes
        node.fleet.transport.on_refused("unknown")
        assert node.fleet_state.metrics._refused_messages == {"unknown": 1}

    in_simulated_time(test)
