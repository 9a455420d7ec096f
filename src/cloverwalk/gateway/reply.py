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
        self._unsent = b""

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

    def write_now(self, data: bytes) -> bool:
        """Send a piece of the body without waiting; False: ``flush`` has to send the rest."""
        self._unsent = self._try_send(self._http.send(h11.Data(data=data)) or b"")
        return not self._unsent

    async def flush(self) -> None:
        """Send what ``write_now`` could not; waits while the client does not read."""
        unsent, self._unsent = self._unsent, b""
        await self._send(unsent)

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

    def _try_send(self, data: bytes) -> bytes:
        """Send what the socket takes at once; return the rest."""
        try:
            return data[self._sock._socket.send(data) :]
        except BlockingIOError:
            return data
        except OSError as error:
            raise ClientGoneError(repr(error)) from error

    async def _send(self, data: bytes) -> None:
        data = self._try_send(data)
        if not data:
            return
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
