"""A TCP proxy that can stop forwarding on its open connections while new ones work."""

import enum
from typing import Any

import curio

READ_BYTES = 65536


class Silence(enum.Enum):
    """The directions in which a connection forwards no more data."""

    BOTH = "both ways"
    ANSWERS = "from the server"


class SilentProxy:
    """Forwards connections to a server."""

    def __init__(self, address: tuple[str, int], server: tuple[str, int]) -> None:
        self.address = address
        self._server = server
        self._silenced: dict[int, Silence] = {}
        self._open: set[int] = set()
        self._connection_count = 0
        self._sock = curio.tcp_server_socket(*address, backlog=128)

    @property
    def open_count(self) -> int:
        """Number of open connections that are not silenced."""
        return len(self._open - self._silenced.keys())

    def silence(self, direction: Silence) -> None:
        """Stop forwarding on the connections open now, without closing or resetting them."""
        for number in self._open:
            self._silenced.setdefault(number, direction)

    async def run(self) -> None:
        """Serve until cancelled."""
        async with self._sock:
            while True:
                client, _ = await self._sock.accept()
                await curio.spawn(self._serve, client, daemon=True)

    async def _serve(self, client: Any) -> None:
        number = self._connection_count
        self._connection_count += 1
        self._open.add(number)
        try:
            server = await curio.open_connection(*self._server)
            async with curio.TaskGroup(wait=any) as directions:
                await directions.spawn(self._forward, number, client, server, Silence.BOTH)
                await directions.spawn(self._forward, number, server, client, Silence.ANSWERS)
        except OSError:
            pass
        finally:
            self._open.discard(number)
            await client.close()

    async def _forward(self, number: int, source: Any, target: Any, direction: Silence) -> None:
        while data := await source.recv(READ_BYTES):
            silenced = self._silenced.get(number)
            if silenced is None or (silenced is Silence.ANSWERS and direction is Silence.BOTH):
                await target.sendall(data)
