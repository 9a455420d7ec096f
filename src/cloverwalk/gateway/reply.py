"""Writes the answer to one request to its client."""

from typing import Any

import curio
import h11

from cloverwalk.gateway.errors import ClientGoneError
from cloverwalk.gateway.messages import RawHeaders
from cloverwalk.gateway.send_buffer import SEND_TIMEOUT_S, SendBuffer
from cloverwalk.http.linger import client_reads_chunks, reset_at_close


class Reply:
    """Writes one answer; an unfinished one is visibly incomplete for the client.

    With a send buffer, an answer that the client is slow to read is buffered; without one, the
    writer waits.
    """

    def __init__(
        self,
        sock: Any,
        http: h11.Connection,
        closes_after: bool,
        send_buffer: SendBuffer | None = None,
    ) -> None:
        self._sock = sock
        self._http = http
        self._closes_after = closes_after
        self._send_buffer = send_buffer
        self.has_begun = False
        self.is_finished = False
        self.status = 0
        self._unsent = b""
        self._resets_at_close = False

    @property
    def disconnect_code(self) -> str:
        """Error code of a client that no longer gets its answer."""
        is_slow = self._send_buffer is not None and self._send_buffer.is_dropped
        return "client_stalled" if is_slow else "client_gone"

    def close_after(self) -> None:
        """Announce to the client that the connection closes after this answer."""
        self._closes_after = True

    async def begin(self, status: int, headers: RawHeaders, length: int | None) -> None:
        """Send the head; without a length the body is sent in chunks, or ends with the connection
        if the client can't read chunks."""
        if length is None and not client_reads_chunks(self._http):
            self._reset_at_close(True)
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
        """Send a part of the body; waits while the client does not read."""
        await self._send(self._http.send(h11.Data(data=data)) or b"")

    def write_now(self, data: bytes) -> bool:
        """Send a part of the body without waiting; if False, await ``flush`` next."""
        unsent = self._try_send(self._http.send(h11.Data(data=data)) or b"")
        if self._send_buffer is not None:
            return not unsent or self._send_buffer.put(unsent)
        self._unsent = unsent
        return not unsent

    async def flush(self) -> None:
        """Send what ``write_now`` left over; waits if that is more than may be buffered."""
        if self._send_buffer is not None:
            await self._send_buffer.wait_for_space()
            return
        unsent, self._unsent = self._unsent, b""
        await self._send(unsent)

    async def finish(self) -> None:
        """End the answer as complete."""
        data = self._http.send(h11.EndOfMessage()) or b""
        await self._send_last(data)

    async def respond(self, status: int, headers: RawHeaders, body: bytes) -> None:
        """Send a complete answer."""
        data = self._head(status, headers, len(body))
        if body:
            data += self._http.send(h11.Data(data=body)) or b""
        data += self._http.send(h11.EndOfMessage()) or b""
        await self._send_last(data)

    async def drain(self) -> None:
        """Return once the client has read the complete answer."""
        if self._send_buffer is None:
            return
        try:
            await self._send_buffer.drain()
        except (ClientGoneError, curio.CancelledError):
            # A part of it was not sent, so nothing more may follow.
            self.is_finished = False
            raise

    async def close(self) -> None:
        """Discard unsent bytes; an answer that loses bytes is not finished."""
        if self._send_buffer is not None:
            self.is_finished = self.is_finished and not self._send_buffer.waiting_bytes
            await self._send_buffer.close()
        if self.is_finished and self._resets_at_close:
            self._reset_at_close(False)

    def _reset_at_close(self, is_on: bool) -> None:
        try:
            reset_at_close(self._sock, is_on)
        except OSError as error:
            raise ClientGoneError(repr(error), self.disconnect_code) from error
        self._resets_at_close = is_on

    def _try_send(self, data: bytes) -> bytes:
        """Send what the socket accepts at once; return the remainder."""
        if self._send_buffer is not None and self._send_buffer.waiting_bytes:
            return data
        try:
            size = self._sock._socket.send(data)
        except BlockingIOError:
            return data
        except OSError as error:
            raise ClientGoneError(repr(error), self.disconnect_code) from error
        if self._send_buffer is not None:
            self._send_buffer.record_sent(size)
        return data[size:]

    async def _send(self, data: bytes) -> None:
        data = self._try_send(data)
        if not data:
            return
        if self._send_buffer is not None:
            self._send_buffer.put(data)
            await self._send_buffer.wait_for_space()
            return
        try:
            async with curio.timeout_after(SEND_TIMEOUT_S):
                await self._sock.sendall(data)
        except OSError as error:
            raise ClientGoneError(repr(error)) from error
        except curio.TaskTimeout as error:
            raise ClientGoneError(
                "the client does not read its answer", "client_stalled"
            ) from error
        except curio.CancelledError:
            # A part of the data may have been sent, so nothing more may follow.
            self.is_finished = False
            raise

    async def _send_last(self, data: bytes) -> None:
        """Send the end of the answer; with a send buffer the replica is free afterwards."""
        self.is_finished = True
        if self._send_buffer is None:
            if data:
                await self._send(data)
        elif unsent := self._try_send(data):
            self._send_buffer.put(unsent)
            await self._send_buffer.start()
