"""A fleet with more nodes than a node sends digests to: all must know all work in flight."""

import os
from random import Random
from typing import Any

import curio
from fleet_world import free_port

from cloverwalk.fleet.digest import YieldSlots
from cloverwalk.fleet.load import InFlight, LoadBook
from cloverwalk.fleet.peers import PeerCodec, PeerNetwork
from cloverwalk.fleet.zones import MAX_PEERS, relay_of, zone_name
from cloverwalk.gateway.configuration import ConfigurationHolder
from cloverwalk.gateway.replicas import ReplicaDirectory
from cloverwalk.telemetry.log import ServingLog

ZONES = ("z1", "z2", "z3")
NODES_A_ZONE = 15
ROUNDS = 3
SETTLE_S = 0.05
"""Datagrams on loopback are there at once; a busy machine may need several rounds of this."""


class Node:
    """The network of one node, without its loops: a test sends and receives by hand."""

    def __init__(self, number: int, port: int, run: str = "0a") -> None:
        self.name = f"n{number:02d}"
        self.zone = ZONES[number % len(ZONES)]
        self.host = f"127.0.1.{number + 1}"
        self.now = 1000.0
        self.loads = LoadBook()
        self.yields: list[YieldSlots] = []
        self.network = PeerNetwork(
            self.name,
            f"{self.name}.{run}",
            self.zone,
            (self.host, port),
            [],
            self.loads,
            ConfigurationHolder(),
            ReplicaDirectory(),
            {},
            PeerCodec(lambda raw: False, lambda key, raw, version: None),
            ServingLog(self.name, self.clock, os.open(os.devnull, os.O_WRONLY)),
            self.clock,
            self.on_yield,
            self.on_store_returned,
            Random(number),
        )

    def clock(self) -> float:
        return self.now

    async def on_yield(self, asked: YieldSlots) -> None:
        self.yields.append(asked)

    async def on_store_returned(self) -> None:
        return


class LargeFleet:
    """Networks of nodes in three zones that know each other's hosts."""

    def __init__(self) -> None:
        port = self.port = free_port()
        self.nodes = [Node(number, port) for number in range(len(ZONES) * NODES_A_ZONE)]
        assert len(self.nodes) > MAX_PEERS + 1
        for node in self.nodes:
            for other in self.nodes:
                node.network.add_host(other.host, other.zone)

    async def round(self) -> None:
        """Let every node tell its digest, and each relay its zone's sum."""
        for node in self.nodes:
            node.now += 0.1
            await node.network.send_digest()
        await self.receive()
        for node in self.nodes:
            await node.network._speak_for_zone(node.now)
        await self.receive()

    async def receive(self) -> None:
        tasks = [await curio.spawn(node.network.receive_loop) for node in self.nodes]
        await curio.sleep(SETTLE_S)
        for task in tasks:
            await task.cancel()

    async def close(self) -> None:
        for node in self.nodes:
            await node.network._sock.close()


def in_large_fleet(test: Any) -> None:
    async def main() -> None:
        fleet = LargeFleet()
        try:
            await test(fleet)
        finally:
            await fleet.close()

    curio.run(main)


def test_every_node_knows_all_work_at_a_replica() -> None:
    async def test(fleet: LargeFleet) -> None:
        for node in fleet.nodes:
            node.loads.begin("r", is_batch=True, now=node.now)
            node.loads.begin("s", is_batch=False, now=node.now)
        for _ in range(ROUNDS):
            await fleet.round()
        count = len(fleet.nodes)
        for node in fleet.nodes:
            assert node.loads.total("r", node.now) == InFlight(0, count)
            assert node.loads.total("s", node.now) == InFlight(count, 0)

    in_large_fleet(test)


def test_work_that_does_not_change_stays_known() -> None:
    async def test(fleet: LargeFleet) -> None:
        work = fleet.nodes[0].loads.begin("r", is_batch=True, now=1000.0)
        for _ in range(ROUNDS + 20):
            await fleet.round()
        for node in fleet.nodes:
            assert node.loads.total("r", node.now) == InFlight(0, 1)
        fleet.nodes[0].loads.end(work)
        for _ in range(ROUNDS):
            await fleet.round()
        for node in fleet.nodes:
            assert node.loads.total("r", node.now) == InFlight()

    in_large_fleet(test)


def test_one_node_speaks_for_a_zone_and_another_one_after_its_loss() -> None:
    async def test(fleet: LargeFleet) -> None:
        for _ in range(ROUNDS):
            await fleet.round()
        names = [one.name for one in fleet.nodes if one.zone == "z2"]
        heard = fleet.nodes[0].network._summary_by_zone
        assert sorted(heard) == ["z2", "z3"]
        first = relay_of("z2", names)
        assert heard["z2"].relay == first
        lost = next(one for one in fleet.nodes if one.name == first)
        await lost.network._sock.close()
        fleet.nodes.remove(lost)
        for _ in range(20):
            await fleet.round()
        names.remove(lost.name)
        assert heard["z2"].relay == relay_of("z2", names)

    in_large_fleet(test)


def test_a_relay_that_was_started_again_is_heard_at_once() -> None:
    async def test(fleet: LargeFleet) -> None:
        for _ in range(12):
            await fleet.round()
        relay = relay_of("z2", [one.name for one in fleet.nodes if one.zone == "z2"])
        index = next(i for i, one in enumerate(fleet.nodes) if one.name == relay)
        old = fleet.nodes[index]
        await old.network._sock.close()
        fleet.nodes[index] = again = Node(index, fleet.port, run="0b")
        again.now = old.now
        for other in fleet.nodes:
            again.network.add_host(other.host, other.zone)
        again.loads.begin("r", is_batch=True, now=again.now)
        for _ in range(ROUNDS):
            await fleet.round()
        for node in fleet.nodes:
            assert node.loads.total("r", node.now) == InFlight(0, 1)

    in_large_fleet(test)


def test_slots_of_another_zone_are_asked_for_at_its_relay() -> None:
    async def test(fleet: LargeFleet) -> None:
        holder = next(one for one in fleet.nodes if one.zone == "z3")
        holder.loads.begin("r", is_batch=True, now=holder.now)
        for _ in range(ROUNDS):
            await fleet.round()
        asking = fleet.nodes[0]
        (found,) = asking.loads.batch_at_peers("r", asking.now)
        assert (found.node, found.items) == (zone_name("z3"), 1)
        await asking.network.ask_for_slots(found.node, "r", 1, 2)
        await fleet.receive()
        asked = [(one.name, asked) for one in fleet.nodes for asked in one.yields]
        relay = relay_of("z3", [one.name for one in fleet.nodes if one.zone == "z3"])
        assert asked == [(relay, YieldSlots(asking.name, "r", 1, 2, True))]

    in_large_fleet(test)
