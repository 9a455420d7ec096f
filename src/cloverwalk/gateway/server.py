"""The HTTP server for clients: reads whole requests and writes answers, all with bounds.

While a request is served its connection is watched. When the client disconnects, the serving task
is cancelled, and with it the work at the replica.
"""

from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import curio
import h11
from curio import socket

from cloverwalk.core.error_response import NOTHING_SENT, ErrorResponse, Reason, error_response
from cloverwalk.gateway.configuration import ClientLimits
from cloverwalk.gateway.errors import ClientGoneError, GatewayError, StopInterrupt
from cloverwalk.gateway.listener import Listener
from cloverwalk.gateway.memory_budget import MemoryBudget
from cloverwalk.gateway.messages import ClientRequest, GatewayCodec, RawHeaders
from cloverwalk.gateway.reply import Reply
from cloverwalk.gateway.send_buffer import SendBuffer

READ_BYTES = 65536
BACKLOG = 1024
LINGER_TIMEOUT_S = 0.5
BODY_TIMEOUT_S = 10.0
MAX_PIPELINED_BYTES = 262_144
FIRST_REQUEST_DELAY_S = 0.5
"""Time for the first request of a new connection to arrive; a stopping node closes it later."""

NODE_FULL = "node_full"
NODE_FULL_RETRY_AFTER_S = 0.05
"""A client that retries reaches another node, usually one with capacity."""

INVALID_HTTP = {431: Reason.HEADERS_TOO_LARGE, 501: Reason.NOT_IMPLEMENTED}
"""Reasons by the status that the HTTP library proposes; all others are an invalid request."""

OnRequest = Callable[[ClientRequest, Reply], Awaitable[None]]


class _ConnectionEnded(Exception):
    """The client closed between requests, or sent no HTTP request."""


class ClientConnection:
    """A connection of one client."""

    def __init__(self, sock: Any, server: "GatewayServer") -> None:
        self._sock = sock
        self._server = server
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=1 << 20)
        self.is_serving = False
        self.is_idle = True
        self._opened_at = server.clock()
        self._has_sent_request = False
        self._reply: Reply | None = None
        """The answer to the current request."""

        self._handling: Any = None
        """The task that handles the current request."""

        self._buffered_bytes = 0
        """Bytes counted for the bodies of the current request and of pipelined ones."""

    # --- reading ---

    async def _receive(self) -> None:
        data = await self._sock.recv(READ_BYTES)
        self._http.receive_data(data)

    async def _next_event(self) -> Any:
        while (event := self._http.next_event()) is h11.NEED_DATA:
            if self._http.they_are_waiting_for_100_continue:
                continue_response = h11.InformationalResponse(status_code=100, headers=[])
                await self._sock.sendall(self._http.send(continue_response))
            await self._receive()
        return event

    async def _read_head(self) -> h11.Request:
        limits = self._server.limits()
        if not self._http.trailing_data[0]:
            self.is_idle = True
            async with curio.timeout_after(limits.idle_timeout_s):
                await self._receive()
        self.is_idle = False
        self._has_sent_request = True
        async with curio.timeout_after(limits.header_timeout_s):
            event = await self._next_event()
        if not isinstance(event, h11.Request):
            raise _ConnectionEnded
        size = len(event.target) + sum(len(n) + len(v) + 4 for n, v in event.headers)
        if size > limits.max_header_bytes:
            message = f"the headers exceed {limits.max_header_bytes} bytes"
            raise GatewayError(Reason.HEADERS_TOO_LARGE, "headers_too_large", message)
        return event

    async def _read_body(self, head: h11.Request) -> bytes:
        limit = self._server.limits().max_body_bytes
        too_large = GatewayError(
            Reason.BODY_TOO_LARGE, "body_too_large", f"the body exceeds {limit} bytes"
        )
        for name, value in head.headers:
            if name == b"content-length" and int(value) > limit:
                raise too_large
            if name == b"content-length":
                self._check_memory_for(int(value))
        parts: list[bytes] = []
        size = 0
        async with curio.timeout_after(BODY_TIMEOUT_S):
            while not isinstance(event := await self._next_event(), h11.EndOfMessage):
                if not isinstance(event, h11.Data):
                    raise _ConnectionEnded
                size += len(event.data)
                if size > limit:
                    raise too_large
                self._check_memory_for(len(event.data))
                self._count_buffered(len(event.data))
                parts.append(bytes(event.data))
        return b"".join(parts)

    def _has_memory_for(self, size: int) -> bool:
        """Whether the memory budget allows ``size`` more bytes of this client."""
        budget = self._server.memory_budget
        return budget is None or budget.has_capacity_for_body(size, self._server.clock())

    def _check_memory_for(self, size: int) -> None:
        """Raise GatewayError if the memory budget does not allow ``size`` bytes of a body."""
        if not self._has_memory_for(size):
            message = "this node has no memory left for the body"
            raise GatewayError(Reason.UNAVAILABLE, NODE_FULL, message, NODE_FULL_RETRY_AFTER_S)

    def _count_buffered(self, size: int) -> None:
        if self._server.memory_budget is not None:
            self._server.memory_budget.body_bytes += size
            self._buffered_bytes += size

    def _release_buffered(self) -> None:
        if self._server.memory_budget is not None:
            self._server.memory_budget.body_bytes -= self._buffered_bytes
            self._buffered_bytes = 0

    async def _read_request(self) -> ClientRequest:
        head = await self._read_head()
        received_at = self._server.clock()
        body = await self._read_body(head)
        headers: RawHeaders = head.headers.raw_items()
        host = next((value for name, value in head.headers if name == b"host"), b"")
        return ClientRequest(
            head.method.decode("ascii"),
            head.target.decode("latin-1"),
            headers,
            body,
            host.decode("latin-1"),
            self._server.codec.request_fields(headers),
            received_at,
        )

    # --- serving ---

    async def serve(self) -> None:
        """Serve requests until the connection ends."""
        try:
            self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            while await self._serve_and_release():
                self._http.start_next_cycle()
        except (_ConnectionEnded, ClientGoneError, OSError):
            pass
        finally:
            await self._sock.close()

    async def _serve_and_release(self) -> bool:
        try:
            return await self._serve_request()
        finally:
            self._release_buffered()

    async def _serve_request(self) -> bool:
        try:
            request = await self._read_request()
        except curio.TaskTimeout:
            if not self.is_idle:
                message = "the request was not complete before the timeout"
                await self._refuse(GatewayError(Reason.INCOMPLETE, "request_timeout", message))
            return False
        except h11.RemoteProtocolError as error:
            reason = INVALID_HTTP.get(error.error_status_hint, Reason.INVALID)
            await self._refuse(GatewayError(reason, "invalid_http", str(error)))
            return False
        except GatewayError as error:
            await self._refuse(error)
            return False
        send_buffer = None
        if self._server.memory_budget is not None:
            send_buffer = SendBuffer(self._sock, self._server.memory_budget, self._server.clock)
        reply = Reply(self._sock, self._http, self._server.is_stopping, send_buffer)
        self._reply = reply
        self.is_serving = True
        self._server.serving_count += 1
        try:
            await self._serve_while_connected(request, reply)
        finally:
            self.is_serving = False
            self._reply = self._handling = None
            self._server.serving_count -= 1
            await reply.close()
        if not reply.is_finished:
            return False
        return self._http.our_state is h11.DONE and self._http.their_state is h11.DONE

    async def _serve_while_connected(self, request: ClientRequest, reply: Reply) -> None:
        task = self._handling = await curio.spawn(self._handle, request, reply)
        watcher = await curio.spawn(self._watch_client, task)
        try:
            await task.wait()
        finally:
            await task.cancel()
            await watcher.cancel()
        if isinstance(task.exception, curio.TaskCancelled):
            return
        error = task.result
        if error is not None:
            raise error

    async def _handle(self, request: ClientRequest, reply: Reply) -> ClientGoneError | None:
        """Serve a request; return the error of an aborted answer.

        The error is returned since curio logs an exception of a task as a crash, which this is not.
        """
        try:
            await self._server.on_request(request, reply)
            await reply.drain()
        except ClientGoneError as error:
            return error
        return None

    async def _watch_client(self, task: Any) -> None:
        """Cancel the serving task when the client disconnects."""
        pipelined_bytes = 0
        while pipelined_bytes < MAX_PIPELINED_BYTES:
            try:
                data = await self._sock.recv(READ_BYTES)
            except OSError:
                data = b""
            if not data:
                await task.cancel(blocking=False)
                return
            pipelined_bytes += len(data)
            self._count_buffered(len(data))
            # What was read is kept whatever happens: with a gap in the input, the rest of a body
            # would be parsed as a request.
            self._http.receive_data(data)
            if not self._has_memory_for(0):
                # Stop reading what the client sends ahead of its answer.
                return

    async def _refuse(self, error: GatewayError) -> None:
        """Refuse a request that could not be read, then close; no replica was involved."""
        if self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        response = error_response(error, NOTHING_SENT)
        self._server.on_refused(response)
        reply = Reply(self._sock, self._http, closes_after=True)
        headers = self._server.codec.local_reply_headers("", response.retry_after_s)
        try:
            async with curio.timeout_after(LINGER_TIMEOUT_S):
                await reply.respond(response.status, headers, response.message.encode())
                await self._linger()
        except (ClientGoneError, OSError, curio.TaskTimeout, h11.LocalProtocolError):
            return

    async def _linger(self) -> None:
        # Closing with unread input resets the connection, which would lose the answer.
        await self._sock.shutdown(socket.SHUT_WR)
        while await self._sock.recv(READ_BYTES):
            pass

    # --- planned stop ---

    @property
    def awaits_first_request(self) -> bool:
        """Whether it is new, so that its first request may be on its way."""
        age_s = self._server.clock() - self._opened_at
        return not self._has_sent_request and age_s < FIRST_REQUEST_DELAY_S

    def announce_close(self) -> None:
        """Let an answer that has not begun say that the connection closes after it."""
        if self._reply is not None:
            self._reply.close_after()

    async def close_if_idle(self) -> None:
        """Close the connection if it waits for its next request and has received no part of it."""
        if self.is_serving or not self.is_idle or self.awaits_first_request:
            return
        if not self._has_unread_input():
            await self._sock.shutdown(socket.SHUT_RDWR)

    def _has_unread_input(self) -> bool:
        try:
            return bool(self._sock._socket.recv(1, socket.MSG_PEEK))
        except BlockingIOError:
            return False

    async def end_unanswered(self) -> None:
        """Let the handler of a request whose answer has not begun answer at once."""
        if self._handling is not None and self._reply is not None and not self._reply.has_begun:
            await self._handling.cancel(exc=StopInterrupt, blocking=False)


class AdmissionControl(Protocol):
    """Decides which new connections are read; the others are closed at once."""

    def admit(self) -> bool:
        """Whether the next connection is read."""
        ...

    def record_start(self, delay_s: float) -> None:
        """Record the time between the acceptance of a connection and its first step."""
        ...


class GatewayServer:
    """Accepts connections of clients on one address."""

    def __init__(
        self,
        address: tuple[str, int],
        codec: GatewayCodec,
        limits: Callable[[], ClientLimits],
        on_request: OnRequest,
        on_refused: Callable[[ErrorResponse], None],
        clock: Callable[[], float],
        max_connections: int,
    ) -> None:
        self.codec = codec
        self.limits = limits
        self.on_request = on_request
        self.on_refused = on_refused
        self.clock = clock
        self.memory_budget: MemoryBudget | None = None
        """Memory buffered for clients, if the process has a limit for it."""

        self.admission: AdmissionControl | None = None
        """Decides which new connections are read; None: all are."""

        self.is_stopping = False
        self.serving_count = 0
        self._max_connections = max_connections
        self._connections: set[ClientConnection] = set()
        self._sock = curio.tcp_server_socket(*address, backlog=BACKLOG)
        self.listener = Listener(self._sock)

    @property
    def connection_count(self) -> int:
        """Number of open connections of clients."""
        return len(self._connections)

    async def serve(self) -> None:
        """Accept connections until cancelled."""
        async with self._sock:
            while True:
                client = await self.listener.accept()
                is_admitted = self.admission is None or self.admission.admit()
                if len(self._connections) >= self._max_connections or not is_admitted:
                    await client.close()
                    continue
                accepted_at = 0.0 if self.admission is None else self.clock()
                await curio.spawn(self._serve_client, client, accepted_at, daemon=True)

    async def _serve_client(self, client: Any, accepted_at: float) -> None:
        if self.admission is not None:
            self.admission.record_start(self.clock() - accepted_at)
        connection = ClientConnection(client, self)
        self._connections.add(connection)
        try:
            await connection.serve()
        finally:
            self._connections.discard(connection)

    def begin_stop(self) -> None:
        """Let all answers that begin from now on say that their connection closes."""
        self.is_stopping = True
        for connection in self._connections:
            connection.announce_close()

    @property
    def is_quiet(self) -> bool:
        """Whether no request is served and none is expected on a new connection."""
        is_expecting = any(connection.awaits_first_request for connection in self._connections)
        return self.serving_count == 0 and not is_expecting

    async def end_unanswered(self) -> None:
        """End all requests whose answers have not begun, with an error response each."""
        for connection in list(self._connections):
            await connection.end_unanswered()

    async def close_idle(self) -> None:
        """Close all connections that wait for their next request."""
        for connection in list(self._connections):
            try:
                await connection.close_if_idle()
            except OSError:
                continue
