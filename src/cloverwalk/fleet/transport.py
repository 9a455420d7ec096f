"""Datagrams to and from the other nodes. Loss is repaired by whoever needs the answer."""

from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from curio import socket

from cloverwalk.core import catalogue
from cloverwalk.fleet.messages import (
    Datagram,
    DatagramError,
    decode_datagram,
    encode_datagram,
)
from cloverwalk.telemetry.log import ServingLog

MAX_DATAGRAM_BYTES = 60_000
"""Below the most that UDP over IPv4 carries, 65,507 bytes."""

MAX_WAITING_DATAGRAMS = 64
"""Datagrams that are read one after the other before other tasks run."""

OnDatagram = Callable[[Datagram, str], Awaitable[None]]


class Sender(Protocol):
    """Sends messages to nodes by their hosts; what can't be sent is lost."""

    def send(self, host: str, message: Datagram) -> None:
        """Send a message, or lose it."""
        ...


class DatagramTransport:
    """One socket; all nodes of a fleet use the same port."""

    def __init__(self, address: tuple[str, int], log: ServingLog) -> None:
        self._port = address[1]
        self._log = log
        self._sock: Any = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.bind(address)

    def send(self, host: str, message: Datagram) -> None:
        """Send a message at once, or lose it with a line in the log."""
        data = encode_datagram(message)
        if len(data) > MAX_DATAGRAM_BYTES:
            self._note_lost(host, message, f"{len(data)} bytes")
            return
        try:
            self._sock._socket.sendto(data, (host, self._port))
        except OSError as error:
            self._note_lost(host, message, repr(error))

    def _note_lost(self, host: str, message: Datagram, reason: str) -> None:
        kind = type(message).__name__
        self._log.write(catalogue.DATAGRAM_NOT_SENT, host=host, kind=kind, reason=reason)

    async def receive(self, on_datagram: OnDatagram) -> None:
        """Pass every datagram on until cancelled."""
        while True:
            data, (host, _port) = await self._sock.recvfrom(65536)
            await self._pass_on(data, host, on_datagram)
            for _ in range(MAX_WAITING_DATAGRAMS):
                try:
                    data, (host, _port) = self._sock._socket.recvfrom(65536)
                except BlockingIOError:
                    break
                await self._pass_on(data, host, on_datagram)

    async def _pass_on(self, data: bytes, host: str, on_datagram: OnDatagram) -> None:
        try:
            message = decode_datagram(data)
        except DatagramError as error:
            self._log.write(catalogue.BAD_PEER_MESSAGE, problem=str(error)[:200], host=host)
            return
        await on_datagram(message, host)

    async def close(self) -> None:
        """Close the socket."""
        await self._sock.close()
