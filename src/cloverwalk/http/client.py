"""HTTP client connections, and a pool that reuses them for calls to one address."""

import contextlib
from typing import Any

import attrs
import curio
import h11
from curio import socket
from msgspec import Struct

from cloverwalk.http.errors import LostAnswerError, NotSentError
from cloverwalk.http.silence import watch_silence

READ_BYTES = 65536
MAX_IDLE_CONNECTIONS = 16


class HttpResponse(Struct):
    """A response; its body is empty until it has been read."""

    status: int
    headers: dict[str, str]
    body: bytes


@attrs.frozen
class BodyTimeout:
    """Time limits for receiving a long body, which may exceed the call's own timeout."""

    idle_timeout_s: float
    """Maximum time without received bytes once the call's own timeout has passed."""

    total_s: float
    """Maximum time of the whole call."""


def split_address(address: str) -> tuple[str, int]:
    """Split ``host:port`` into host and port."""
    host, _, port = address.rpartition(":")
    return host, int(port)


class ClientConnection:
    """One connection, which handles one request at a time."""

    def __init__(self, sock: Any, address: str) -> None:
        self._sock = sock
        self._address = address
        self._http = h11.Connection(h11.CLIENT)
        self.is_used = False

    @classmethod
    async def open(cls, address: str, timeout_s: float) -> "ClientConnection":
        """Connect to an address; raise NotSentError if that fails or times out."""
        try:
            async with curio.timeout_after(timeout_s):
                sock = await curio.open_connection(*split_address(address))
        except (OSError, curio.TaskTimeout) as error:
            raise NotSentError(f"no connection to {address}: {error!r}") from error
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        watch_silence(sock)
        return cls(sock, address)

    async def send(self, method: str, path: str, headers: dict[str, str], body: bytes) -> None:
        """Send a whole request."""
        if self._has_unread():
            raise LostAnswerError(f"{self._address} sent more than its answer, or closed")
        self.is_used = True
        all_headers = [("Host", self._address), ("Content-Length", str(len(body)))]
        all_headers += list(headers.items())
        data = self._http.send(h11.Request(method=method, target=path, headers=all_headers))
        data = data or b""
        if body:
            data += self._http.send(h11.Data(data=body)) or b""
        data += self._http.send(h11.EndOfMessage()) or b""
        await self._sock.sendall(data)

    async def _next_event(self) -> Any:
        while True:
            event = self._http.next_event()
            if event is not h11.NEED_DATA:
                return event
            self._http.receive_data(await self._sock.recv(READ_BYTES))

    async def head(self) -> HttpResponse:
        """Read status and headers of the response; its body stays empty."""
        event = await self._next_event()
        if not isinstance(event, h11.Response):
            raise LostAnswerError(f"{self._address} closed the connection")
        headers = {name.decode(): value.decode("latin-1") for name, value in event.headers}
        return HttpResponse(event.status_code, headers, b"")

    async def next_part(self) -> bytes | None:
        """Return the next part of the body, or None at its end.

        Raises LostAnswerError if the server closes the connection before the end.
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise LostAnswerError(f"{self._address} closed the connection")

    async def read_body(self) -> bytes:
        """Read the body to its end."""
        parts = []
        while (part := await self.next_part()) is not None:
            parts.append(part)
        return b"".join(parts)

    async def read_slow_body(
        self, deadline: float, last_deadline: float, idle_timeout_s: float
    ) -> bytes:
        """Read the whole body.

        Each received part extends the deadline to at least ``idle_timeout_s`` from then, at most to
        ``last_deadline``.
        """
        parts: list[bytes] = []
        while True:
            now = await curio.clock()
            async with curio.timeout_after(max(0.0, min(deadline, last_deadline) - now)):
                part = await self.next_part()
            if part is None:
                return b"".join(parts)
            parts.append(part)
            deadline = max(deadline, await curio.clock() + idle_timeout_s)

    async def read_response(self) -> HttpResponse:
        """Read the response with its body."""
        response = await self.head()
        response.body = await self.read_body()
        return response

    def reset(self) -> bool:
        """Prepare for the next request; return False if the connection must be closed."""
        trailing, is_closed = self._http.trailing_data
        if trailing or is_closed:
            # Surplus bytes would be read as the answer to the next request.
            return False
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
            return True
        return False

    def _has_unread(self) -> bool:
        """Whether bytes or an end of the connection arrived while no answer is due."""
        try:
            self._sock._socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    async def shut_down(self) -> None:
        """Shut the socket down, so that a task that reads from it gets an error."""
        with contextlib.suppress(OSError):
            await self._sock.shutdown(socket.SHUT_RDWR)

    async def close(self) -> None:
        """Close the connection."""
        await self._sock.close()


class HttpPool:
    """Sends requests to one address and reuses idle connections."""

    def __init__(self, address: str) -> None:
        self.address = address
        self._idle: list[ClientConnection] = []

    async def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        timeout_s: float = 1.0,
        body_timeout: BodyTimeout | None = None,
    ) -> HttpResponse:
        """Send a request and return its response.

        With ``body_timeout``, a body may take longer than ``timeout_s`` while bytes arrive.
        Raises NotSentError or LostAnswerError. If the server has closed a reused connection,
        the answer counts as lost, since the server may have read the request.
        """
        connection = self._idle.pop() if self._idle else None
        if connection is None:
            connection = await ClientConnection.open(self.address, timeout_s)
        try:
            began_at = await curio.clock()
            async with curio.timeout_after(timeout_s):
                await connection.send(method, path, headers or {}, body)
                response = await connection.head()
                if body_timeout is None:
                    response.body = await connection.read_body()
            if body_timeout is not None:
                response.body = await connection.read_slow_body(
                    began_at + timeout_s,
                    began_at + body_timeout.total_s,
                    body_timeout.idle_timeout_s,
                )
        except (OSError, curio.TaskTimeout, h11.ProtocolError, LostAnswerError) as error:
            await connection.close()
            raise LostAnswerError(f"no answer from {self.address}: {error!r}") from error
        except BaseException:
            await connection.close()
            raise
        if connection.reset() and len(self._idle) < MAX_IDLE_CONNECTIONS:
            self._idle.append(connection)
        else:
            await connection.close()
        return response

    async def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            await self._idle.pop().close()
