"""Links between nodes: one TCP connection each way, a netstring of JSON per message."""

from collections import deque
from collections.abc import Awaitable, Callable
from typing import Any

import curio
import msgspec
import pynetstring
from curio import socket

from cloverwalk.core.errors import CloverwalkError
from cloverwalk.core.peer_messages import Envelope, PeerMessage
from cloverwalk.http.client import split_address

MAX_MESSAGE_BYTES = 16 * 1024 * 1024
MAX_QUEUED = 20_000
CONNECT_TIMEOUT_S = 1.0
SEND_TIMEOUT_S = 3.0
READ_BYTES = 262_144

OnMessage = Callable[[Envelope], Awaitable[None]]
OnUnreachable = Callable[[str], Awaitable[None]]
OnBadMessage = Callable[[str], Awaitable[None]]

_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(Envelope)


class PeerError(CloverwalkError):
    """A peer sent what is not a message."""

    default_code = "peer_message_invalid"


def encode_envelope(envelope: Envelope) -> bytes:
    """Return a message as it is on the wire.

    >>> from cloverwalk.core.peer_messages import TableFetch
    >>> encode_envelope(Envelope("n1", "127.0.0.1:9080", TableFetch()))[:24]
    b'75:{"sender":"n1","addre'
    """
    return bytes(pynetstring.encode(_encoder.encode(envelope)))


def decode_envelope(data: bytes) -> Envelope:
    """Return a message; raise PeerError when it is none."""
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise PeerError(str(error)) from error


class _Link:
    """The way to one peer."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.queue: deque[bytes] = deque()
        self.nodes: set[str] = set()
        self.wake = curio.Event()
        self.task: Any = None


class PeerTransport:
    """All links of a node."""

    def __init__(
        self,
        node_id: str,
        host: str,
        port: int,
        on_message: OnMessage,
        on_unreachable: OnUnreachable,
        on_bad_message: OnBadMessage,
    ) -> None:
        self._node_id = node_id
        self._on_message = on_message
        self._on_unreachable = on_unreachable
        self._on_bad_message = on_bad_message
        self._links: dict[str, _Link] = {}
        self._sock = curio.tcp_server_socket(host, port, backlog=512)
        self.port: int = self._sock.getsockname()[1]
        self.address = f"{host}:{self.port}"
        self.bytes_sent = 0
        self.bytes_received = 0

    async def send(self, node: str, address: str, message: PeerMessage) -> None:
        """Queue a message for a peer. ``node`` may be empty when only the address is known."""
        link = self._links.get(address)
        if link is None:
            link = self._links[address] = _Link(address)
            link.task = await curio.spawn(self._run(link), daemon=True)
        if node:
            link.nodes.add(node)
        if len(link.queue) >= MAX_QUEUED:
            link.queue.clear()
            await self._report(link)
        link.queue.append(encode_envelope(Envelope(self._node_id, self.address, message)))
        await link.wake.set()

    async def _run(self, link: _Link) -> None:
        sock = None
        while True:
            while not link.queue:
                link.wake.clear()
                await link.wake.wait()
            try:
                if sock is None:
                    async with curio.timeout_after(CONNECT_TIMEOUT_S):
                        sock = await curio.open_connection(*split_address(link.address))
                    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                data = b"".join(link.queue)
                link.queue.clear()
                self.bytes_sent += len(data)
                async with curio.timeout_after(SEND_TIMEOUT_S):
                    await sock.sendall(data)
            except (OSError, curio.TaskTimeout):
                if sock is not None:
                    await sock.close()
                    sock = None
                link.queue.clear()
                await self._report(link)

    async def _report(self, link: _Link) -> None:
        for node in list(link.nodes):
            await self._on_unreachable(node)

    async def serve(self) -> None:
        """Accept peers until cancelled."""
        async with self._sock:
            while True:
                client, _ = await self._sock.accept()
                await curio.spawn(self._receive(client), daemon=True)

    async def _receive(self, client: Any) -> None:
        decoder = pynetstring.Decoder(MAX_MESSAGE_BYTES)
        try:
            while data := await client.recv(READ_BYTES):
                self.bytes_received += len(data)
                for payload in decoder.feed(data):
                    await self._on_message(decode_envelope(payload))
        except (PeerError, pynetstring.ParseError) as error:
            await self._on_bad_message(str(error))
        except OSError:
            pass
        finally:
            await client.close()
