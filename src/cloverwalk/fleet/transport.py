"""Datagrams to and from the other nodes. Senders that need an answer repeat lost messages."""

from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from curio import socket

from cloverwalk.core import catalogue
from cloverwalk.fleet.messages import (
    Datagram,
    DatagramError,
    decode_datagram,
    encode_datagram,
    kind_of_refused,
)
from cloverwalk.telemetry.log import ServingLog

MAX_DATAGRAM_BYTES = 60_000
"""Below the UDP over IPv4 limit of 65,507 bytes."""

MAX_DATAGRAMS_PER_TURN = 64
"""Datagrams that are read without a pause before other tasks run."""

OnDatagram = Callable[[Datagram, str], Awaitable[None]]
OnRefused = Callable[[str], None]
"""Called with the kind of a datagram that can't be decoded; see ``kind_of_refused``."""


def _ignore_refused(kind: str) -> None:
    return


class Sender(Protocol):
    """Sends messages to hosts without a guarantee of delivery."""

    def send(self, host: str, message: Datagram) -> None:
        """Send a message; drop it if it can't be sent."""
        ...


class DatagramTransport:
    """Sends and receives datagrams on one socket; all nodes of a fleet use the same port."""

    def __init__(self, address: tuple[str, int], log: ServingLog) -> None:
        self._port = address[1]
        self._log = log
        self.on_refused: OnRefused = _ignore_refused
        self._sock: Any = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.bind(address)

    def send(self, host: str, message: Datagram) -> None:
        """Send a message at once; drop and log it if it is too long or can't be sent."""
        data = encode_datagram(message)
        if len(data) > MAX_DATAGRAM_BYTES:
            self._log_not_sent(host, message, f"{len(data)} bytes")
            return
        try:
            self._sock._socket.sendto(data, (host, self._port))
        except OSError as error:
            self._log_not_sent(host, message, repr(error))

    def _log_not_sent(self, host: str, message: Datagram, reason: str) -> None:
        kind = type(message).__name__
        self._log.write(catalogue.DATAGRAM_NOT_SENT, host=host, kind=kind, reason=reason)

    async def receive(self, on_datagram: OnDatagram) -> None:
        """Decode datagrams and pass them to ``on_datagram`` until cancelled."""
        while True:
            data, (host, _port) = await self._sock.recvfrom(65536)
            await self._dispatch(data, host, on_datagram)
            for _ in range(MAX_DATAGRAMS_PER_TURN):
                try:
                    data, (host, _port) = self._sock._socket.recvfrom(65536)
                except BlockingIOError:
                    break
                await self._dispatch(data, host, on_datagram)

    async def _dispatch(self, data: bytes, host: str, on_datagram: OnDatagram) -> None:
        try:
            message = decode_datagram(data)
        except DatagramError as error:
            kind = kind_of_refused(data)
            self.on_refused(kind)
            self._log.write(
                catalogue.BAD_PEER_MESSAGE, problem=str(error)[:200], host=host, kind=kind
            )
            return
        await on_datagram(message, host)

    async def close(self) -> None:
        """Close the socket."""
        await self._sock.close()
