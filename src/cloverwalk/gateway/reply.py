"""The answer to one request, written to the client as it comes."""

from typing import Any

import curio
import h11

from cloverwalk.gateway.errors import ClientGoneError
from cloverwalk.gateway.messages import RawHeaders

SEND_STALL_S = 5.0
"""A client that takes nothing for so long is given up, and the work for it with it."""


class Reply:
    """Writes one answer. Whatever is not finished is broken off, and looks so."""

    def __init__(self, sock: Any, http: h11.Connection, closes_after: bool) -> None:
        self._sock = sock
        self._http = http
        self._closes_after = closes_after
        self.has_begun = False
        self.is_finished = False
        self.status = 0

    def close_after(self) -> None:
        """Tell the client that the connection ends with this answer."""
        self._closes_after = True

    async def begin(self, status: int, headers: RawHeaders, length: int | None) -> None:
        """Send the head; without a length the body goes in chunks."""
        await self._send(self._head(status, headers, length))

    def _head(self, status: int, headers: RawHeaders, length: int | None) -> bytes:
        framing = (b"Transfer-Encoding", b"chunked")
        if length is not None:
            framing = (b"Content-Length", str(length).encode())
        lines = [*headers, framing]
        if self._closes_after:
            lines.append((b"Connection", b"close"))
        self.has_begun = True
        self.status = status
        return self._http.send(h11.Response(status_code=status, headers=lines)) or b""

    async def write(self, data: bytes) -> None:
        """Send a piece of the body; waits while the client does not read."""
        await self._send(self._http.send(h11.Data(data=data)) or b"")

    async def finish(self) -> None:
        """End the answer properly."""
        data = self._http.send(h11.EndOfMessage()) or b""
        self.is_finished = True
        if data:
            await self._send(data)

    async def respond(self, status: int, headers: RawHeaders, body: bytes) -> None:
        """Send a whole answer."""
        data = self._head(status, headers, len(body))
        if body:
            data += self._http.send(h11.Data(data=body)) or b""
        data += self._http.send(h11.EndOfMessage()) or b""
        self.is_finished = True
        await self._send(data)

    async def _send(self, data: bytes) -> None:
        try:
            async with curio.timeout_after(SEND_STALL_S):
                await self._sock.sendall(data)
        except OSError as error:
            raise ClientGoneError(repr(error)) from error
        except curio.TaskTimeout as error:
            raise ClientGoneError("the client does not read", "client_stalled") from error
        except curio.CancelledError:
            # A part of the data may be out: nothing more may follow it.
            self.is_finished = False
            raise
