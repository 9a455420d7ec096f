"""An HTTP server that limits connections, headers, bodies and buffered output of its clients.

The application receives whole requests and replies at any later time, by passing SendReply,
BeginStream, StreamData and EndStream to ``HttpServer.push``.
"""

import contextlib
import time
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qsl, unquote, urlsplit

import curio
import h11
from curio import socket

from cloverwalk.config.settings import HttpSettings
from cloverwalk.core.events import (
    BeginStream,
    EndStream,
    Header,
    HttpRequest,
    SendReply,
    StreamData,
)
from cloverwalk.core.types import Outcome
from cloverwalk.pipeline.problem import PipelineError, problem_reply

READ_BYTES = 65536
LINGER_TIMEOUT_S = 1.0
REAP_INTERVAL_S = 1.0

ReplyPart = SendReply | BeginStream | StreamData | EndStream
OnRequest = Callable[[HttpRequest], Awaitable[None]]
OnDisconnect = Callable[[int], Awaitable[None]]


class _ClientClosed(Exception):
    """The client closed the connection between requests or before its reply was complete."""


class ServerConnection:
    """The connection of one client."""

    def __init__(self, number: int, sock: Any, server: "HttpServer") -> None:
        self.number = number
        self._sock = sock
        self._server = server
        self._settings = server.settings
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=server.settings.max_header_bytes
        )
        self._parts: deque[ReplyPart] = deque()
        self._buffered_bytes = 0
        self._wake = curio.Event()
        self._overflowed = False
        self.is_answering = False
        self.sending_since: float | None = None
        self._client_disconnected = False

    # --- output ---

    async def push(self, part: ReplyPart) -> None:
        """Queue a part of the reply; disconnect the client if its stream buffer overflows."""
        if isinstance(part, StreamData):
            self._buffered_bytes += len(part.data)
            if self._buffered_bytes > self._settings.max_stream_buffer_bytes:
                self._overflowed = True
        self._parts.append(part)
        await self._wake.set()

    async def _write_reply(self) -> bool:
        """Send the reply; return whether the connection can be reused."""
        while True:
            while not self._parts:
                if self._client_disconnected:
                    raise _ClientClosed
                self._wake.clear()
                await self._wake.wait()
            if self._overflowed:
                raise _ClientClosed
            part = self._parts.popleft()
            match part:
                case SendReply():
                    await self._send_whole(part)
                    return True
                case BeginStream():
                    headers = [*part.headers, Header("Transfer-Encoding", "chunked")]
                    await self._send(self._response(part.status, headers))
                case StreamData():
                    data = self._pop_stream_data(part)
                    await self._send(self._http.send(h11.Data(data=data)) or b"")
                    self._buffered_bytes -= len(data)
                case EndStream():
                    if not part.whole:
                        return False
                    await self._send(self._http.send(h11.EndOfMessage()) or b"")
                    return True

    def _pop_stream_data(self, first: StreamData) -> bytes:
        """Pop the stream data queued directly behind ``first``; return all of it joined."""
        pieces = [first.data]
        while self._parts and isinstance(self._parts[0], StreamData):
            pieces.append(self._parts.popleft().data)  # type: ignore[union-attr]
        return b"".join(pieces)

    def _response(self, status: int, headers: list[Header]) -> bytes:
        pairs = [(header.name, header.value) for header in headers]
        if self._server.is_closing:
            pairs.append(("Connection", "close"))
        return self._http.send(h11.Response(status_code=status, headers=pairs)) or b""

    async def _send_whole(self, reply: SendReply) -> None:
        headers = [*reply.headers, Header("Content-Length", str(len(reply.body)))]
        data = self._response(reply.status, headers)
        if reply.body:
            data += self._http.send(h11.Data(data=reply.body)) or b""
        data += self._http.send(h11.EndOfMessage()) or b""
        await self._send(data)

    async def _send(self, data: bytes) -> None:
        # A timer for each send would cost more than the send itself. Instead, the server
        # checks periodically for connections that are stuck in a send.
        self.sending_since = time.monotonic()
        await self._sock.sendall(data)
        self.sending_since = None

    async def abort_if_send_stuck(self, now: float) -> None:
        """Shut the connection down if its client has not read the reply in time."""
        sending_since = self.sending_since
        if sending_since is not None and now - sending_since > self._settings.body_timeout_s:
            await self._sock.shutdown(socket.SHUT_RDWR)

    # --- input ---

    async def _next_event(self) -> Any:
        while True:
            event = self._http.next_event()
            if event is not h11.NEED_DATA:
                return event
            if self._http.they_are_waiting_for_100_continue:
                continue_response = h11.InformationalResponse(status_code=100, headers=[])
                await self._sock.sendall(self._http.send(continue_response))
            self._http.receive_data(await self._sock.recv(READ_BYTES))

    async def _read_head(self) -> h11.Request:
        timeout_s = self._settings.idle_timeout_s
        if not self._http.trailing_data[0]:
            # The idle timeout applies until the first byte of a request, then the header timeout.
            async with curio.timeout_after(timeout_s):
                data = await self._sock.recv(READ_BYTES)
            if not data:
                raise _ClientClosed
            self._http.receive_data(data)
        async with curio.timeout_after(self._settings.header_timeout_s):
            event = await self._next_event()
        if not isinstance(event, h11.Request):
            raise _ClientClosed
        # h11 limits only incomplete headers, so the size of complete ones is checked here.
        size_bytes = len(event.target) + sum(len(n) + len(v) + 4 for n, v in event.headers)
        if size_bytes > self._settings.max_header_bytes:
            message = f"more than {self._settings.max_header_bytes} bytes"
            raise PipelineError(431, "too_large", message, "headers")
        return event

    async def _read_body(self, head: h11.Request) -> bytes:
        max_body_bytes = self._settings.max_body_bytes
        too_large = PipelineError(413, "too_large", f"more than {max_body_bytes} bytes", "body")
        length = next((v for n, v in head.headers if n == b"content-length"), b"0")
        if int(length) > max_body_bytes:
            raise too_large
        parts: list[bytes] = []
        size = 0
        async with curio.timeout_after(self._settings.body_timeout_s):
            while True:
                event = await self._next_event()
                if isinstance(event, h11.EndOfMessage):
                    return b"".join(parts)
                if not isinstance(event, h11.Data):
                    raise _ClientClosed
                size += len(event.data)
                if size > max_body_bytes:
                    raise too_large
                parts.append(bytes(event.data))

    async def _read_request(self) -> HttpRequest:
        head = await self._read_head()
        body = await self._read_body(head)
        url = urlsplit(head.target.decode("latin-1"))
        headers = {name.decode(): value.decode("latin-1") for name, value in head.headers}
        return HttpRequest(
            self.number,
            head.method.decode(),
            unquote(url.path),
            dict(parse_qsl(url.query)),
            headers,
            body,
        )

    # --- serving ---

    async def serve(self) -> None:
        """Serve requests until the connection is closed, then close the socket."""
        try:
            while await self._serve_request():
                self._http.start_next_cycle()
        except (_ClientClosed, OSError, curio.TaskTimeout, h11.LocalProtocolError):
            pass
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint
            await self._refuse(PipelineError(status, "invalid_http", str(error), "request"))
        except PipelineError as error:
            await self._refuse(error)
        finally:
            await self._sock.close()

    async def _serve_request(self) -> bool:
        try:
            request = await self._read_request()
        except curio.TaskTimeout:
            has_begun = self._http.their_state is not h11.IDLE or self._http.trailing_data[0]
            if has_begun:
                detail = "the request was not received completely in time"
                await self._refuse(PipelineError(408, "request_timeout", detail, "request"))
            return False
        self.is_answering = True
        await self._server.on_request(request)
        watcher = None
        if self._server.on_disconnect is not None:
            watcher = await curio.spawn(self._watch_for_disconnect(), daemon=True)
        try:
            reusable = await self._write_reply()
        except (_ClientClosed, OSError, curio.TaskTimeout):
            if self._server.on_disconnect is not None:
                await self._server.on_disconnect(self.number)
            return False
        finally:
            self.is_answering = False
            self._parts.clear()
            if watcher is not None:
                await watcher.cancel()
        if not reusable or self._server.is_closing:
            return False
        return self._http.our_state is h11.DONE and self._http.their_state is h11.DONE

    async def _watch_for_disconnect(self) -> None:
        # Reading during the reply detects that the client has closed the connection.
        try:
            data = await self._sock.recv(READ_BYTES)
        except OSError:
            data = b""
        if data:
            self._http.receive_data(data)
            return
        self._client_disconnected = True
        await self._wake.set()

    async def _refuse(self, error: PipelineError) -> None:
        """Send an error response to a request that could not be read."""
        if self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        reply = problem_reply(self.number, error)
        headers = [*reply.headers, Header("Connection", "close")]
        try:
            await self._send_whole(SendReply(self.number, reply.status, headers, reply.body))
            await self._linger()
        except (OSError, curio.TaskTimeout, h11.LocalProtocolError):
            return

    async def _linger(self) -> None:
        # Closing a socket with unread input resets the connection, and the client may lose
        # the response. The input is therefore read and discarded for a short time.
        await self._sock.shutdown(socket.SHUT_WR)
        async with curio.ignore_after(LINGER_TIMEOUT_S):
            while await self._sock.recv(READ_BYTES):
                pass


class HttpServer:
    """Accepts connections and passes their requests to an application."""

    def __init__(
        self,
        settings: HttpSettings,
        host: str,
        port: int,
        on_request: OnRequest,
        on_disconnect: OnDisconnect | None = None,
    ) -> None:
        self.settings = settings
        self.on_request = on_request
        self.on_disconnect = on_disconnect
        self.is_closing = False
        self._connections: dict[int, ServerConnection] = {}
        self._connection_count = 0
        self._sock = curio.tcp_server_socket(host, port, backlog=512)
        self.port: int = self._sock.getsockname()[1]

    async def serve(self) -> None:
        """Accept connections until cancelled."""
        await curio.spawn(self._abort_stuck_sends(), daemon=True)
        async with self._sock:
            while True:
                client, _ = await self._sock.accept()
                client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                await curio.spawn(self._serve_client(client), daemon=True)

    async def _abort_stuck_sends(self) -> None:
        while True:
            await curio.sleep(REAP_INTERVAL_S)
            for connection in list(self._connections.values()):
                with contextlib.suppress(OSError):
                    await connection.abort_if_send_stuck(time.monotonic())

    async def _serve_client(self, client: Any) -> None:
        if len(self._connections) >= self.settings.max_connections:
            await self._reject_connection(client)
            return
        self._connection_count += 1
        connection = ServerConnection(self._connection_count, client, self)
        self._connections[connection.number] = connection
        try:
            await connection.serve()
        finally:
            del self._connections[connection.number]

    async def _reject_connection(self, client: Any) -> None:
        error = PipelineError(
            503,
            "too_many_connections",
            "this node has reached its connection limit",
            outcome=Outcome.NOT_RUN,
            retry_after_s=1,
        )
        reply = problem_reply(0, error)
        head = [f"HTTP/1.1 {reply.status} Service Unavailable", "Connection: close"]
        head += [f"{header.name}: {header.value}" for header in reply.headers]
        head += [f"Content-Length: {len(reply.body)}", "", ""]
        try:
            async with curio.ignore_after(LINGER_TIMEOUT_S):
                await client.sendall("\r\n".join(head).encode() + reply.body)
                await client.shutdown(socket.SHUT_WR)
                while await client.recv(READ_BYTES):
                    pass
        except OSError:
            pass
        finally:
            await client.close()

    @property
    def answering_count(self) -> int:
        """Number of connections with a request whose reply is not complete."""
        return sum(connection.is_answering for connection in self._connections.values())

    async def push(self, part: ReplyPart) -> None:
        """Queue a part of a reply on its connection, if that is still open."""
        connection = self._connections.get(part.connection)
        if connection is not None:
            await connection.push(part)
