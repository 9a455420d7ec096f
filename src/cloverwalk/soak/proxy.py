"""A TCP proxy that delays, cuts, silences or resets the connections through it."""

import struct
from typing import Any

import curio
from curio import socket

MAX_READ_BYTES = 65536
CUT_POLL_INTERVAL_S = 0.02
"""How often a connection checks whether a cut has ended."""

RESET_LINGER = struct.pack("ii", 1, 0)
"""Linger option: closing the socket sends a reset."""


class _ProxiedConnection:
    """One connection through the proxy."""

    def __init__(self, client: Any) -> None:
        self.client = client
        self.server: Any = None
        self.task: Any = None
        self.is_silenced = False


class FaultProxy:
    """Forwards connections to a server. Bytes in a cut direction are delivered after the cut."""

    def __init__(self, address: tuple[str, int], server: tuple[str, int]) -> None:
        self.address = address
        self.server = server
        self._connections: set[_ProxiedConnection] = set()
        self._delays: dict[int, float] = {}
        self._cuts: dict[int, str] = {}
        self.listen()

    def listen(self) -> None:
        """Open the listening port; needed again after ``run`` was cancelled."""
        self._sock = curio.tcp_server_socket(*self.address, backlog=512)

    # --- faults ---

    def delay(self, fault: int, delay_s: float) -> None:
        """Delay all bytes in both directions."""
        self._delays[fault] = delay_s

    def cut(self, fault: int, direction: str) -> None:
        """Hold all bytes to the server (``there``), to the client (``back``) or ``both``."""
        self._cuts[fault] = direction

    def end_fault(self, fault: int) -> None:
        """End the delay or the cut of a fault."""
        self._delays.pop(fault, None)
        self._cuts.pop(fault, None)

    def silence(self) -> None:
        """Drop all further bytes of the open connections; new connections work."""
        for connection in self._connections:
            connection.is_silenced = True

    async def reset(self) -> None:
        """Reset the open connections."""
        for connection in list(self._connections):
            if connection.task is not None:
                await connection.task.cancel(blocking=False)

    # --- forwarding ---

    async def run(self) -> None:
        """Accept connections until cancelled."""
        async with self._sock:
            while True:
                client, _ = await self._sock.accept()
                await curio.spawn(self._forward_connection, client, daemon=True)

    async def _forward_connection(self, client: Any) -> None:
        connection = _ProxiedConnection(client)
        connection.task = await curio.current_task()
        self._connections.add(connection)
        is_reset = True
        try:
            connection.server = await curio.open_connection(*self.server)
            for sock in (client, connection.server):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            async with curio.TaskGroup() as directions:
                await directions.spawn(
                    self._forward, connection, client, connection.server, "there"
                )
                await directions.spawn(self._forward, connection, connection.server, client, "back")
            is_reset = any(task.result for task in directions.tasks if not task.exception)
        except OSError:
            pass
        finally:
            self._connections.discard(connection)
            await self._close(connection, is_reset)

    async def _close(self, connection: _ProxiedConnection, is_reset: bool) -> None:
        for sock in (connection.client, connection.server):
            if sock is None:
                continue
            if is_reset:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
            await sock.close()

    async def _forward(
        self, connection: _ProxiedConnection, source: Any, target: Any, direction: str
    ) -> bool:
        """Forward bytes in one direction to the end; return whether the connection failed."""
        try:
            while data := await source.recv(MAX_READ_BYTES):
                await self._wait_for_faults(direction)
                if not connection.is_silenced:
                    await target.sendall(data)
            await self._wait_for_faults(direction)
            if not connection.is_silenced:
                await target.shutdown(socket.SHUT_WR)
        except OSError:
            if not connection.is_silenced:
                await self._shut_down_both(connection)
            return True
        return False

    async def _wait_for_faults(self, direction: str) -> None:
        if self._delays:
            await curio.sleep(max(self._delays.values()))
        while any(cut in (direction, "both") for cut in self._cuts.values()):
            await curio.sleep(CUT_POLL_INTERVAL_S)

    async def _shut_down_both(self, connection: _ProxiedConnection) -> None:
        """Shut down both sockets of a failed connection."""
        for sock in (connection.client, connection.server):
            try:
                await sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                continue
