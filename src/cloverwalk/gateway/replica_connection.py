"""Connections to replicas and their pool. One with unexpected bytes is never reused."""

import contextlib
import enum
import re
from collections import deque
from collections.abc import Callable
from typing import Any
from weakref import WeakSet

import curio
import h11
from curio import socket
from curio.traps import _read_wait
from msgspec import Struct

from cloverwalk.core.clock import monotonic_s
from cloverwalk.gateway.errors import RESTARTED, ReplicaError
from cloverwalk.gateway.messages import AnswerFields, GatewayCodec, RawHeaders
from cloverwalk.http.silence import watch_silence

READ_BYTES = 65536
CONNECT_TIMEOUT_S = 0.4
MAX_INLINE_SEND_BYTES = 32768
MAX_IDLE_S = 8.0
KEEP_ALIVE_MARGIN_S = 1.0
MAX_IDLE_PER_REPLICA = 24
REFUSAL_TTL_S = 30.0
"""For how long a refused connection is remembered. A replica that restarts is listed again within
seconds, so a restart that is reported later has another cause."""

MAX_SKIPPED_ANSWERS = 2
STATUS_LINE = re.compile(rb"HTTP/1\.[01] \d{3}\b")
FRAMING_METHODS = (b"HEAD", b"CONNECT")
"""Methods whose answers are framed differently from the same answers to other requests."""

BODILESS_STATUSES = frozenset({204, 304})
MAX_REMEMBERED_IDS = 64
"""Request ids that a connection remembers. A surplus answer arrives in place of one of the next
answers, since the replica serves the requests of a connection in order."""


class Reachability(enum.Enum):
    """What happens to a new connection to an address."""

    LISTENS = "listens"
    REFUSES = "refuses"
    """The machine answers, and no process listens on the port."""

    SILENT = "silent"
    """No answer before the timeout: the machine or the network may be down."""


class AnswerHead(Struct):
    """Status and headers of a replica's answer."""

    status: int
    reason: bytes
    headers: RawHeaders
    fields: AnswerFields
    content_length: int | None
    ends_with_connection: bool = False
    """Whether the body has neither a length nor chunks: it ends with the connection, and so may one
    whose replica crashes."""


class ReplicaConnection:
    """One connection to a replica; it carries one exchange at a time."""

    def __init__(
        self,
        sock: Any,
        address: tuple[str, int],
        codec: GatewayCodec,
        clock: Callable[[], float] = monotonic_s,
    ) -> None:
        self.address = address
        self._clock = clock
        self._sock = sock
        self._codec = codec
        self._http = h11.Connection(h11.CLIENT)
        self._request: h11.Request | None = None
        self._remembered_ids: deque[str] = deque(maxlen=MAX_REMEMBERED_IDS)
        self._sender: Any = None
        self._has_sending_failed = False
        self._answer_closes = False
        self._is_drained = False
        """Whether the last read emptied the socket, so that the next one has to wait."""

        self._exchange_count = 0
        self._has_body_ended = False
        """Whether the body of the current answer was read to its end."""

        self._is_closed = False
        self._is_aborted = False
        self.opened_at = clock()
        self.last_activity_at = self.opened_at
        """When bytes last arrived, or when the current request was sent if that was later."""

        self.usable_until = float("inf")
        self.acquired_at = float("-inf")
        """When the current exchange acquired it (monotonic clock, seconds)."""

        self.released_at = float("-inf")
        """When it was last returned to the pool; all earlier exchanges were answered."""

    @property
    def is_new(self) -> bool:
        """Whether no request was sent over it yet."""
        return self._exchange_count == 0

    @property
    def is_reused(self) -> bool:
        """Whether it carried an exchange before the current one."""
        return self._exchange_count > 1

    async def send(self, method: str, target: str, headers: RawHeaders, body: bytes) -> None:
        """Send a whole request; a long body is sent by a task while the answer is read."""
        length = (b"Content-Length", str(len(body)).encode())
        if self._is_aborted:
            raise ReplicaError("the replica has restarted", False, RESTARTED)
        self._request = h11.Request(method=method, target=target, headers=[*headers, length])
        data = self._feed_request(body)
        if self._exchange_count == 0 and self._has_bytes():
            raise ReplicaError("bytes came before the first request", False, "unasked_answer")
        self._exchange_count += 1
        self._has_body_ended = False
        self.last_activity_at = self._clock()
        if len(data) <= MAX_INLINE_SEND_BYTES:
            await self._sock.sendall(data)
            return
        self._sender = await curio.spawn(self._send_in_background, data)

    def _feed_request(self, body: bytes) -> bytes:
        assert self._request is not None
        data = self._http.send(self._request) or b""
        if body:
            data += self._http.send(h11.Data(data=body)) or b""
        return data + (self._http.send(h11.EndOfMessage()) or b"")

    async def _send_in_background(self, data: bytes) -> bool:
        try:
            await self._sock.sendall(data)
        except OSError:
            self._has_sending_failed = True
            return False
        return True

    def has_carried(self, request_id: str) -> bool:
        """Whether it carried this request id, whose late answers can't be told apart."""
        return request_id in self._remembered_ids

    async def read_head(self, request_id: str) -> AnswerHead:
        """Return the head of the answer to ``request_id``; skip answers to other requests."""
        self._remembered_ids.append(request_id)
        for _ in range(MAX_SKIPPED_ANSWERS + 1):
            head = await self._read_any_head()
            answered = head.fields.request_id
            if answered == request_id or (answered is None and self._exchange_count == 1):
                return head
            if self._frames_answers:
                break
            await self._skip_answer()
        raise ReplicaError("the answers belong to other requests", True, "foreign_answer")

    @property
    def _frames_answers(self) -> bool:
        """Whether the method of the current request decides where its answer ends; surplus answers
        to other requests would be framed wrongly."""
        return self._request is not None and self._request.method in FRAMING_METHODS

    async def _read_any_head(self) -> AnswerHead:
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                break
            if not isinstance(event, h11.InformationalResponse):
                raise ReplicaError("the connection ended before an answer", True, "no_answer")
        headers = event.headers.raw_items()
        length: int | None = None
        is_chunked = False
        for name, value in event.headers:
            if name == b"content-length":
                length = int(value)
            elif name == b"transfer-encoding":
                is_chunked = True
            elif name == b"connection" and b"close" in value.lower():
                self._answer_closes = True
        if is_chunked and length is not None:
            raise ReplicaError("invalid HTTP answer: two lengths", True, "not_http")
        if _holds_status_line(event):
            raise ReplicaError("invalid HTTP answer: starts inside another one", True, "not_http")
        fields = self._codec.answer_fields(headers)
        has_body = event.status_code not in BODILESS_STATUSES and not self._frames_answers
        ends_with_connection = has_body and length is None and not is_chunked
        return AnswerHead(
            event.status_code, event.reason, headers, fields, length, ends_with_connection
        )

    async def _skip_answer(self) -> None:
        while isinstance(event := await self._next_event(), h11.Data):
            pass
        if not isinstance(event, h11.EndOfMessage):
            raise ReplicaError("an answer to another request was cut off", True, "answer_cut")
        trailing, is_closed = self._http.trailing_data
        if is_closed or self._answer_closes:
            raise ReplicaError("the connection ended before an answer", True, "no_answer")
        assert self._request is not None
        self._http = h11.Connection(h11.CLIENT)
        self._http.send(self._request)
        if any(n == b"content-length" and v != b"0" for n, v in self._request.headers):
            # The body was sent before; h11 only has to count it.
            size = next(int(v) for n, v in self._request.headers if n == b"content-length")
            self._http.send(h11.Data(data=bytes(size)))
        self._http.send(h11.EndOfMessage())
        if trailing:
            # Empty data would stand for the end of the connection.
            self._http.receive_data(trailing)

    async def read_body(self) -> bytes | None:
        """Return all bytes of the body that have arrived, or None at the end of a whole body."""
        if self._has_body_ended:
            return None
        event = await self._next_event()
        parts: list[bytes] = []
        while isinstance(event, h11.Data):
            parts.append(bytes(event.data))
            try:
                event = self._buffered_event()
            except ReplicaError:
                # The bytes before the error are valid; the next call raises the error again.
                return b"".join(parts)
        if isinstance(event, h11.EndOfMessage):
            self._has_body_ended = True
            return b"".join(parts) if parts else None
        if event is not h11.NEED_DATA:
            raise ReplicaError("the answer was cut off", True, "answer_cut")
        return b"".join(parts)

    async def _next_event(self) -> Any:
        try:
            while (event := self._buffered_event()) is h11.NEED_DATA:
                self._http.receive_data(await self._receive())
        except OSError as error:
            raise ReplicaError(f"the connection failed: {error!r}", True, "reset") from error
        return event

    def _buffered_event(self) -> Any:
        """Return the next event of the buffered bytes; NEED_DATA if they hold no whole one."""
        try:
            return self._http.next_event()
        except (h11.RemoteProtocolError, ValueError) as error:
            raise ReplicaError(f"invalid HTTP answer: {error}", True, "not_http") from error

    def expect_data(self) -> None:
        """Let the next read try the socket at once, since some time has passed."""
        self._is_drained = False

    async def _receive(self) -> bytes:
        if self._is_drained:
            await _read_wait(self._sock._fileno)
        data: bytes = await self._sock.recv(READ_BYTES)
        if not data and self._is_aborted:
            raise ReplicaError("the replica has restarted", True, RESTARTED)
        self.last_activity_at = self._clock()
        if not data and self._has_sending_failed:
            # The kernel reports a reset once, and the sending task got it: this is no regular end.
            raise ConnectionResetError("the connection was reset while the request was sent")
        self._is_drained = 0 < len(data) < READ_BYTES
        return data

    async def finish(self, keep_alive_s: float | None, now: float) -> bool:
        """End the exchange; return whether the connection can be reused."""
        if self._sender is not None:
            if not self._sender.terminated:
                return False
            sent = await self._sender.join()
            self._sender = None
            if not sent:
                return False
        if self._answer_closes or self._http.their_state is not h11.DONE:
            return False
        if self._frames_answers:
            # The next request would read a surplus answer to this one with the wrong framing.
            return False
        trailing, is_closed = self._http.trailing_data
        if self._http.our_state is not h11.DONE or trailing or is_closed:
            return False
        self._http.start_next_cycle()
        limit_s = MAX_IDLE_S if keep_alive_s is None else keep_alive_s - KEEP_ALIVE_MARGIN_S
        self.usable_until = now + min(MAX_IDLE_S, limit_s)
        return limit_s > 0

    def has_unread(self) -> bool:
        """Whether bytes or an end of the connection arrived while no answer is due."""
        try:
            self._sock._socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def _has_bytes(self) -> bool:
        """Whether bytes arrived; errors of the connection are left to the next send."""
        try:
            return bool(self._sock._socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except OSError:
            return False

    def abort(self) -> None:
        """Abort the current exchange; bytes that arrived before stay readable."""
        if self._is_closed or self._is_aborted:
            return
        self._is_aborted = True
        # A connection that was reset already reports its end itself.
        with contextlib.suppress(OSError):
            self._sock._socket.shutdown(socket.SHUT_RDWR)

    @property
    def is_abortable(self) -> bool:
        """Whether it is open and was not aborted yet."""
        return not self._is_closed and not self._is_aborted

    async def close(self) -> None:
        """Close at once; the replica cancels the work of a closed connection."""
        self._is_closed = True
        sender, self._sender = self._sender, None
        if sender is not None and not sender.terminated:
            await sender.cancel()
        await self._sock.close()


def _holds_status_line(event: h11.Response) -> bool:
    """Whether a head is glued to a part of an earlier answer, inside its reason or a field."""
    values = [event.reason, *(value for _, value in event.headers)]
    return any(STATUS_LINE.search(value) for value in values)


class ReplicaPool:
    """Idle connections by address, and all open ones."""

    def __init__(self, codec: GatewayCodec, clock: Callable[[], float]) -> None:
        self._codec = codec
        self._clock = clock
        self._idle: dict[tuple[str, int], list[ReplicaConnection]] = {}
        self._connections: WeakSet[ReplicaConnection] = WeakSet()
        """All connections, those in use included; closed ones are harmless here."""

        self._refused_at: dict[tuple[str, int], float] = {}
        """When each address last refused a connection: no process listened then."""

        self.opened = 0
        """Connections opened since the process started."""

    async def probe(self, address: tuple[str, int]) -> Reachability:
        """Open and close a connection, to find out whether a process listens at an address."""
        try:
            async with curio.timeout_after(CONNECT_TIMEOUT_S):
                sock = await curio.open_connection(*address)
        except ConnectionRefusedError:
            self._refused_at[address] = self._clock()
            return Reachability.REFUSES
        except (OSError, curio.TaskTimeout):
            return Reachability.SILENT
        self.opened += 1
        await sock.close()
        return Reachability.LISTENS

    async def acquire(
        self, address: tuple[str, int], request_id: str, force_new: bool = False
    ) -> ReplicaConnection:
        """Return a connection for a request; raise ReplicaError if none can be opened.

        It is a new one, or an idle one that has not carried a request with the same id.
        """
        if force_new:
            return await self._open(address)
        while (connection := self._pop_idle(address, request_id)) is not None:
            if self._clock() < connection.usable_until and not connection.has_unread():
                connection.acquired_at = self._clock()
                return connection
            await connection.close()
        return await self._open(address)

    def _pop_idle(self, address: tuple[str, int], request_id: str) -> ReplicaConnection | None:
        """Pop the idle connection that was used last and has not carried ``request_id``."""
        idle = self._idle.get(address, [])
        candidates = [connection for connection in idle if not connection.has_carried(request_id)]
        if not candidates:
            return None
        idle.remove(candidates[-1])
        return candidates[-1]

    async def _open(self, address: tuple[str, int]) -> ReplicaConnection:
        try:
            async with curio.timeout_after(CONNECT_TIMEOUT_S):
                sock = await curio.open_connection(*address)
        except (OSError, curio.TaskTimeout) as error:
            if isinstance(error, ConnectionRefusedError):
                self._refused_at[address] = self._clock()
            raise ReplicaError(f"no connection: {error!r}", False, "unreachable") from error
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        watch_silence(sock)
        self.opened += 1
        connection = ReplicaConnection(sock, address, self._codec, self._clock)
        self._connections.add(connection)
        return connection

    async def release(self, connection: ReplicaConnection, keep_alive_s: float | None) -> None:
        """Return a connection to the pool after its answer, or close it if it can't be reused."""
        reusable = await connection.finish(keep_alive_s, self._clock())
        idle = self._idle.setdefault(connection.address, [])
        if reusable and len(idle) < MAX_IDLE_PER_REPLICA:
            connection.released_at = self._clock()
            idle.append(connection)
        else:
            await connection.close()

    async def release_unused(self, connection: ReplicaConnection) -> None:
        """Return a connection to the pool on which nothing was sent since it was acquired."""
        self._idle.setdefault(connection.address, []).append(connection)

    def discard_idle(self, address: tuple[str, int]) -> int:
        """Stop the reuse of all idle connections to an address; return how many there were."""
        idle = self._idle.get(address, [])
        for connection in idle:
            connection.usable_until = float("-inf")
        return len(idle)

    def pop_refused_at(self, address: tuple[str, int]) -> float:
        """Pop the time at which an address last refused a connection; inf if none is recorded."""
        return self._refused_at.pop(address, float("inf"))

    def abort_exchanges(
        self, address: tuple[str, int], opened_before: float, quiet_before: float
    ) -> int:
        """Abort exchanges at an address; return how many. Times are of the monotonic clock.

        Aborted are those whose connection was opened before ``opened_before`` and has moved no
        bytes since ``quiet_before``.
        """
        idle = self._idle.get(address, [])
        matching = [
            connection
            for connection in self._connections
            if connection.address == address
            and connection.is_abortable
            and connection.opened_at < opened_before
            and connection.last_activity_at < quiet_before
            and connection not in idle
        ]
        for connection in matching:
            connection.abort()
        return len(matching)

    async def close_timed_out(self, connection: ReplicaConnection) -> None:
        """Close a connection that timed out, and idle ones that may be dead as well.

        A network failure can stall all open connections at once, while new ones work. So when a
        reused connection times out, all idle ones are closed that were released before its request
        was sent: one request meets the failure, not one for each connection.
        """
        await connection.close()
        if not connection.is_reused:
            return
        for address, idle in list(self._idle.items()):
            stale = [
                idle_connection
                for idle_connection in idle
                if idle_connection.released_at < connection.acquired_at
            ]
            self._idle[address] = [
                idle_connection for idle_connection in idle if idle_connection not in stale
            ]
            for idle_connection in stale:
                await idle_connection.close()

    async def close_expired(self) -> None:
        """Close connections that were idle for too long, and drop old refusals."""
        now = self._clock()
        for address, refused_at in list(self._refused_at.items()):
            if now - refused_at >= REFUSAL_TTL_S:
                del self._refused_at[address]
        for address, idle in list(self._idle.items()):
            usable = [
                connection
                for connection in idle
                if now < connection.usable_until and not connection.has_unread()
            ]
            expired = [connection for connection in idle if connection not in usable]
            self._idle[address] = usable
            for connection in expired:
                await connection.close()
            if not self._idle[address]:
                del self._idle[address]
