"""Faults of the proxy: cuts, silenced and reset connections."""

from collections.abc import Awaitable, Callable
from typing import Any

import curio
import pytest
from fleet_world import free_port

from cloverwalk.soak.proxy import FaultProxy

TIMEOUT_S = 10.0


async def echo(client: Any, address: Any) -> None:
    while data := await client.recv(1000):
        await client.sendall(data)


def run_with_proxy(test: Callable[[FaultProxy], Awaitable[None]]) -> None:
    async def main() -> None:
        server = ("127.0.0.1", free_port())
        serving = await curio.spawn(curio.tcp_server, *server, echo, daemon=True)
        proxy = FaultProxy(("127.0.0.1", free_port()), server)
        proxying = await curio.spawn(proxy.run, daemon=True)
        await curio.sleep(0.05)
        async with curio.timeout_after(TIMEOUT_S):
            await test(proxy)
        await proxying.cancel()
        await serving.cancel()

    curio.run(main)


async def is_echoed(client: Any, text: bytes, timeout_s: float = TIMEOUT_S) -> bool:
    """Whether a text is echoed in time; use a short timeout where it must not be."""
    await client.sendall(text)
    async with curio.ignore_after(timeout_s):
        return bool(await client.recv(1000) == text)
    return False


def test_bytes_and_end_of_connection_are_forwarded() -> None:
    async def test(proxy: FaultProxy) -> None:
        client = await curio.open_connection(*proxy.address)
        assert await is_echoed(client, b"a")
        await client.shutdown(curio.socket.SHUT_WR)
        assert await client.recv(1) == b""

    run_with_proxy(test)


@pytest.mark.parametrize("way", ["there", "back", "both"])
def test_bytes_in_a_cut_direction_arrive_after_the_cut(way: str) -> None:
    async def test(proxy: FaultProxy) -> None:
        client = await curio.open_connection(*proxy.address)
        assert await is_echoed(client, b"a")
        proxy.cut(1, way)
        assert not await is_echoed(client, b"b", 0.2)
        proxy.end_fault(1)
        assert await client.recv(1) == b"b"

    run_with_proxy(test)


def test_silence_affects_open_connections_only() -> None:
    async def test(proxy: FaultProxy) -> None:
        client = await curio.open_connection(*proxy.address)
        assert await is_echoed(client, b"a")
        proxy.silence()
        assert not await is_echoed(client, b"b", 0.2)
        assert await is_echoed(await curio.open_connection(*proxy.address), b"c")

    run_with_proxy(test)


def test_reset_resets_open_connections() -> None:
    async def test(proxy: FaultProxy) -> None:
        client = await curio.open_connection(*proxy.address)
        assert await is_echoed(client, b"a")
        await proxy.reset()
        with pytest.raises(ConnectionResetError):
            await client.recv(1)

    run_with_proxy(test)
