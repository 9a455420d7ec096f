"""What the proxy does to the connections that it carries."""

from collections.abc import Awaitable, Callable
from typing import Any

import curio
import pytest
from fleet_world import free_port

from cloverwalk.soak.proxy import FaultProxy

WAIT_S = 10.0


async def echo(client: Any, address: Any) -> None:
    while data := await client.recv(1000):
        await client.sendall(data)


def with_proxy(test: Callable[[FaultProxy], Awaitable[None]]) -> None:
    async def main() -> None:
        server = ("127.0.0.1", free_port())
        serving = await curio.spawn(curio.tcp_server, *server, echo, daemon=True)
        proxy = FaultProxy(("127.0.0.1", free_port()), server)
        carrying = await curio.spawn(proxy.run, daemon=True)
        await curio.sleep(0.05)
        async with curio.timeout_after(WAIT_S):
            await test(proxy)
        await carrying.cancel()
        await serving.cancel()

    curio.run(main)


async def passes(client: Any, text: bytes, wait_s: float = WAIT_S) -> bool:
    """Whether a text comes back; waits for a short time only where it must not."""
    await client.sendall(text)
    async with curio.ignore_after(wait_s):
        return bool(await client.recv(1000) == text)
    return False


def test_bytes_pass_and_so_does_the_end_of_a_connection() -> None:
    async def test(proxy: FaultProxy) -> None:
        client = await curio.open_connection(*proxy.address)
        assert await passes(client, b"a")
        await client.shutdown(curio.socket.SHUT_WR)
        assert await client.recv(1) == b""

    with_proxy(test)


@pytest.mark.parametrize("way", ["there", "back", "both"])
def test_bytes_of_a_cut_way_come_when_it_is_over(way: str) -> None:
    async def test(proxy: FaultProxy) -> None:
        client = await curio.open_connection(*proxy.address)
        assert await passes(client, b"a")
        proxy.cut(1, way)
        assert not await passes(client, b"b", 0.2)
        proxy.heal(1)
        assert await client.recv(1) == b"b"

    with_proxy(test)


def test_connections_are_silenced_for_good_and_new_ones_work() -> None:
    async def test(proxy: FaultProxy) -> None:
        client = await curio.open_connection(*proxy.address)
        assert await passes(client, b"a")
        proxy.silence()
        assert not await passes(client, b"b", 0.2)
        assert await passes(await curio.open_connection(*proxy.address), b"c")

    with_proxy(test)


def test_connections_are_reset() -> None:
    async def test(proxy: FaultProxy) -> None:
        client = await curio.open_connection(*proxy.address)
        assert await passes(client, b"a")
        await proxy.reset()
        with pytest.raises(ConnectionResetError):
            await client.recv(1)

    with_proxy(test)
