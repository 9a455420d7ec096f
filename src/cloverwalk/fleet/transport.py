"""Datagrams to and from the other nodes. Senders that need an answer repeat lost messages."""

import ipaddress
from collections.abc import Awaitable, Callable
from functools import lru_cache
from typing import Any, Protocol

from curio import socket

from cloverwalk.core import catalogue
from cloverwalk.fleet.datagrams import MAX_DATAGRAM_BYTES, encode_datagrams
from cloverwalk.fleet.messages import (
    Datagram,
    DatagramError,
    decode_datagram,
    kind_of_refused,
)
from cloverwalk.telemetry.log import ServingLog

MAX_DATAGRAMS_PER_TURN = 64
"""Datagrams that are read without a pause before other tasks run."""

MAX_LOGGED_CHARACTERS = 200

OnDatagram = Callable[[Datagram, str], Awaitable[None]]
OnRefused = Callable[[str], None]
"""Called with the kind of a datagram that can't be decoded; see ``kind_of_refused``."""


@lru_cache(maxsize=4096)
def _is_address(host: str) -> bool:
    """Whether a host is an IP address; one of a message or row may be any text.

    A name would be looked up, which blocks all tasks.
    """
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return True


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
        """Send a message at once; log what is too long or can't be sent, and drop it."""
        if not _is_address(host):
            self._log_not_sent(host[:MAX_LOGGED_CHARACTERS], message, "not an IP address")
            return
        datagrams = encode_datagrams(message)
        if not datagrams.encoded:
            self._log_not_sent(host, message, f"more than {MAX_DATAGRAM_BYTES} bytes")
        elif datagrams.left_out:
            left_out = ", ".join(f"{count} {name}" for name, count in datagrams.left_out.items())
            self._log_not_sent(host, message, f"too long; left out: {left_out}")
        try:
            for data in datagrams.encoded:
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
                catalogue.BAD_PEER_MESSAGE,
                problem=str(error)[:MAX_LOGGED_CHARACTERS],
                host=host,
                kind=kind,
            )
            return
        try:
            await on_datagram(message, host)
        except (ArithmeticError, LookupError, TypeError, ValueError) as error:
            # A message of valid types whose values no sender of this build sends.
            problem = repr(error)[:MAX_LOGGED_CHARACTERS]
            kind = str(type(message).__struct_config__.tag)
            self._log.write(catalogue.BAD_PEER_MESSAGE, problem=problem, host=host, kind=kind)

    async def close(self) -> None:
        """Close the socket."""
        await self._sock.close()
