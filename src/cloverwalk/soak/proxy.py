"""A proxy on loopback that delays, resets, cuts one way or silences the connections it carries."""

import struct
from typing import Any

import curio
from curio import socket

READ_BYTES = 65536
HELD_STEP_S = 0.02
"""How often a held connection looks whether the cut is over."""

RESET = struct.pack("ii", 1, 0)
"""Linger option with which closing a socket resets its connection."""


class _Carried:
    """One connection through the proxy."""

    def __init__(self, client: Any) -> None:
        self.client = client
        self.server: Any = None
        self.task: Any = None
        self.is_silenced = False


class FaultProxy:
    """Passes connections on to a server. Bytes of a cut way wait; they come when it is over."""

    def __init__(self, address: tuple[str, int], server: tuple[str, int]) -> None:
        self.address = address
        self.server = server
        self._carried: set[_Carried] = set()
        self._delays: dict[int, float] = {}
        self._cuts: dict[int, str] = {}
        self.listen()

    def listen(self) -> None:
        """Open the port; again, where ``run`` was cancelled."""
        self._sock = curio.tcp_server_socket(*self.address, backlog=512)

    # --- faults ---

    def delay(self, fault: int, delay_s: float) -> None:
        """Hold all bytes for some time."""
        self._delays[fault] = delay_s

    def cut(self, fault: int, way: str) -> None:
        """Let nothing through ``there``, ``back`` or ``both`` ways."""
        self._cuts[fault] = way

    def heal(self, fault: int) -> None:
        """End a delay or a cut."""
        self._delays.pop(fault, None)
        self._cuts.pop(fault, None)

    def silence(self) -> None:
        """Silence the connections that are open now for good; new ones work."""
        for carried in self._carried:
            carried.is_silenced = True

    async def reset(self) -> None:
        """Reset the connections that are open now."""
        for carried in list(self._carried):
            if carried.task is not None:
                await carried.task.cancel(blocking=False)

    # --- carrying ---

    async def run(self) -> None:
        """Serve until cancelled."""
        async with self._sock:
            while True:
                client, _ = await self._sock.accept()
                await curio.spawn(self._serve, client, daemon=True)

    async def _serve(self, client: Any) -> None:
        carried = _Carried(client)
        carried.task = await curio.current_task()
        self._carried.add(carried)
        is_reset = True
        try:
            carried.server = await curio.open_connection(*self.server)
            for one in (client, carried.server):
                one.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            async with curio.TaskGroup() as ways:
                await ways.spawn(self._carry, carried, client, carried.server, "there")
                await ways.spawn(self._carry, carried, carried.server, client, "back")
            is_reset = any(one.result for one in ways.tasks if not one.exception)
        except OSError:
            pass
        finally:
            self._carried.discard(carried)
            await self._close(carried, is_reset)

    async def _close(self, carried: _Carried, is_reset: bool) -> None:
        for one in (carried.client, carried.server):
            if one is None:
                continue
            if is_reset:
                one.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            await one.close()

    async def _carry(self, carried: _Carried, source: Any, target: Any, way: str) -> bool:
        """Carry bytes one way to the end; return whether the connection broke."""
        try:
            while data := await source.recv(READ_BYTES):
                await self._hold(way)
                if not carried.is_silenced:
                    await target.sendall(data)
            await self._hold(way)
            if not carried.is_silenced:
                await target.shutdown(socket.SHUT_WR)
        except OSError:
            if not carried.is_silenced:
                await self._shut_down(carried)
            return True
        return False

    async def _hold(self, way: str) -> None:
        if self._delays:
            await curio.sleep(max(self._delays.values()))
        while any(cut in (way, "both") for cut in self._cuts.values()):
            await curio.sleep(HELD_STEP_S)

    async def _shut_down(self, carried: _Carried) -> None:
        """End the other way of a broken connection."""
        for one in (carried.client, carried.server):
            try:
                await one.shutdown(socket.SHUT_RDWR)
            except OSError:
                continue
