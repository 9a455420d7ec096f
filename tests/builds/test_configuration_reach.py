"""Distribution of configurations in a fleet of two builds, in simulated time.

Nodes of earlier builds are emulated by nodes of this build whose messages are truncated to the
fields of the recorded samples; unknown kinds of messages are dropped.
"""

import json
from typing import Any

import curio
import msgspec
import pytest
from builds.earlier import EARLIER_BUILDS, read_samples
from builds.record import DATA_ENCODING
from fleet_world import route
from returning_world import ReturningNode, ReturningWorld, SimulatedTime, in_simulated_time

from cloverwalk.fleet.messages import (
    CompactConfigurationPart,
    ConfigurationCopy,
    Datagram,
    decode_datagram,
    encode_datagram,
)
from cloverwalk.fleet.transport import OnDatagram
from cloverwalk.gateway.configuration import ClientLimits, Configuration, ConfigurationHolder
from cloverwalk.platform.documents import decode_configuration

NODES = 9
START_TIMEOUT_S = 30.0
CONFIGURATION_TIMEOUT_S = 3.0
LONG_CONFIGURATION = [route(f"r{number}", f"/r{number}/", "safe") for number in range(3000)]
BEFORE_PARTS = "1bb0755"
"""A build that doesn't know the compressed parts of a long configuration."""

BEFORE_FORMAT = ("be91ba6", BEFORE_PARTS)
"""Builds whose copies of a configuration don't tell which fields they know."""


class EarlierBuild:
    """Truncates messages to the fields in the recorded samples of an earlier build."""

    def __init__(self, commit: str) -> None:
        samples = read_samples(commit)[1]
        datagrams = [sample for sample in samples if not sample["kind"].startswith("stored:")]
        self._lengths = {
            sample["kind"]: len(_fields(sample["data"].encode(DATA_ENCODING)))
            for sample in datagrams
        }

    def truncate(self, message: Datagram) -> Datagram | None:
        """Return a message with the fields that the build knows, None if its kind is unknown."""
        fields = _fields(encode_datagram(message))
        length = self._lengths.get(fields[0])
        if length is None:
            return None
        encode = msgspec.msgpack.encode if _is_compact(message) else msgspec.json.encode
        data = encode(fields[:length])
        return decode_datagram(b"%d:%s," % (len(data), data))


def _is_compact(message: Datagram) -> bool:
    return isinstance(message, CompactConfigurationPart)


def _fields(datagram: bytes) -> list[Any]:
    """Return the tag and the fields of a datagram, in JSON or MessagePack."""
    payload = datagram.partition(b":")[2][:-1]
    if payload.startswith(b"["):
        return list(msgspec.json.decode(payload))
    return list(msgspec.msgpack.decode(payload))


def emulate_earlier_build(world: ReturningWorld, hosts: set[str], build: EarlierBuild) -> None:
    """Truncate all messages from and to these hosts to those of an earlier build."""

    def truncating(host: str, receive: OnDatagram) -> OnDatagram:
        async def receive_truncated(message: Datagram, source: str) -> None:
            known = build.truncate(message) if {host, source} & hosts else message
            if known is not None:
                await receive(known, source)

        return receive_truncated

    for host, receive in list(world.wire.receivers.items()):
        world.wire.receivers[host] = truncating(host, receive)


async def start_mixed_fleet(
    time: SimulatedTime, commit: str, is_coordinator_earlier: bool = False
) -> tuple[ReturningWorld, set[str]]:
    """Start a fleet whose coordinator and standbys run one build, and all other nodes another.

    Return the fleet and the hosts of those other nodes.
    """
    world = ReturningWorld(time, NODES, NODES, 2000.0, 800.0)
    await world.start_all()
    await world.wait_until(lambda node: node.serves, START_TIMEOUT_S)
    await curio.sleep(5.0)
    leaders = world.leadership_hosts()
    others = {node.host for node in world.nodes} - leaders
    emulate_earlier_build(
        world, leaders if is_coordinator_earlier else others, EarlierBuild(commit)
    )
    return world, others


async def wait_for_version(world: ReturningWorld, hosts: set[str], version: int) -> None:
    await world.wait_until(
        lambda node: node.host not in hosts or version_of(node) == version, CONFIGURATION_TIMEOUT_S
    )


def version_of(node: ReturningNode) -> int:
    return node.fleet_state.configuration.version


# Guards against refused nodes of earlier builds that keep an older configuration.
@pytest.mark.parametrize("commit", EARLIER_BUILDS)
def test_change_reaches_refused_nodes_of_earlier_builds(commit: str) -> None:
    async def test(time: SimulatedTime) -> None:
        world, earlier = await start_mixed_fleet(time, commit)
        world.store.refuses = lambda host: 503 if host in earlier else None
        for version in (2, 3):
            await curio.sleep(3.0)
            await world.change_configuration(version)
            await wait_for_version(world, {node.host for node in world.nodes}, version)

    in_simulated_time(test)


# Guards against refused nodes of this build that depend on messages of a newer coordinator.
@pytest.mark.parametrize("commit", EARLIER_BUILDS)
def test_change_reaches_refused_nodes_under_earlier_coordinator(commit: str) -> None:
    async def test(time: SimulatedTime) -> None:
        world, others = await start_mixed_fleet(time, commit, is_coordinator_earlier=True)
        world.store.refuses = lambda host: 503 if host in others else None
        for version in (2, 3):
            await curio.sleep(3.0)
            await world.change_configuration(version)
            await wait_for_version(world, {node.host for node in world.nodes}, version)

    in_simulated_time(test)


# Guards against a refused coordinator of the previous build that gets no changes from this build.
def test_change_reaches_refused_coordinator_of_last_landing() -> None:
    async def test(time: SimulatedTime) -> None:
        world, others = await start_mixed_fleet(
            time, EARLIER_BUILDS[0], is_coordinator_earlier=True
        )
        served = min(others)
        world.store.refuses = lambda host: None if host == served else 503
        await curio.sleep(3.0)
        await world.change_configuration(2)
        await wait_for_version(world, {node.host for node in world.nodes}, 2)

    in_simulated_time(test)


# Guards against refused nodes that need a node of another build to get a long configuration.
def test_long_change_reaches_refused_nodes_of_build_that_knows_parts() -> None:
    async def test(time: SimulatedTime) -> None:
        world, earlier = await start_mixed_fleet(time, EARLIER_BUILDS[0])
        world.store.refuses = lambda host: 503 if host in earlier else None
        await curio.sleep(3.0)
        await world.change_configuration(2, LONG_CONFIGURATION)
        await wait_for_version(world, earlier, 2)

    in_simulated_time(test)


# Guards against a node of a build without parts that stays outdated when the store serves it again.
def test_long_change_reaches_build_before_parts_when_store_serves_it() -> None:
    async def test(time: SimulatedTime) -> None:
        world, earlier = await start_mixed_fleet(time, BEFORE_PARTS)
        world.store.refuses = lambda host: 503 if host in earlier else None
        await curio.sleep(3.0)
        await world.change_configuration(2, LONG_CONFIGURATION)
        await wait_for_version(world, world.leadership_hosts(), 2)
        await curio.sleep(5.0)
        assert {version_of(node) for node in world.nodes if node.host in earlier} == {1}
        world.store.refuses = lambda host: None
        await wait_for_version(world, earlier, 2)

    in_simulated_time(test)


# Guards against fields that stay unknown after a copy from an earlier build.
@pytest.mark.parametrize("commit", BEFORE_FORMAT)
def test_copy_of_earlier_build_is_replaced_by_the_complete_version(commit: str) -> None:
    samples = [s for s in read_samples(commit)[1] if s["kind"] == "configuration"]
    copy = decode_datagram(samples[-1]["data"].encode())
    assert isinstance(copy, ConfigurationCopy)
    holder = ConfigurationHolder()
    assert holder.update_if_newer(copy.configuration)
    assert (holder.version, holder.complete_version) == (copy.configuration.version, -1)
    services = [{"name": "s", "cold_start_s": 4.0, "cold_per_s": 7.0}]
    document = {"version": holder.version, "routes": [], "services": services, "limits": {}}
    complete = decode_configuration(json.dumps(document).encode())
    assert holder.update_if_newer(complete)
    assert holder.complete_version == holder.version
    assert not holder.update_if_newer(copy.configuration)
    assert holder.current is not None and holder.current.services["s"].warmup_rate_per_s == 7.0
    older = Configuration(holder.version - 1, (), {}, ClientLimits(), format=99)
    assert not holder.update_if_newer(older)
