"""Kept connections to replicas. A connection that holds anything unexplained is not used again."""

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
SEND_IN_LINE_BYTES = 32768
IDLE_LIMIT_S = 8.0
KEEP_ALIVE_MARGIN_S = 1.0
MAX_IDLE_PER_REPLICA = 24
REFUSAL_REMEMBERED_S = 30.0
"""How long it is known that an address refused: a replica that is back is in the list within some
seconds, and later news of a start has another cause."""

MAX_SKIPPED_ANSWERS = 2
STATUS_LINE = re.compile(rb"HTTP/1\.[01] \d{3}\b")
FRAMING_METHODS = (b"HEAD", b"CONNECT")
"""Methods whose answers end elsewhere than the same answers to other requests."""

REMEMBERED_IDS = 64
"""Requests that a connection remembers. An answer in excess comes in the place of the next one or
soon after: the replica serves the requests of a connection in order."""


class Reachability(enum.Enum):
    """What an address does with a new connection."""

    LISTENS = "listens"
    REFUSES = "refuses"
    """The machine is there, and no process listens."""

    SILENT = "silent"
    """No answer: the machine or the way to it may be gone."""


class AnswerHead(Struct):
    """Status and headers of a replica's answer."""

    status: int
    reason: bytes
    headers: RawHeaders
    fields: AnswerFields
    content_length: int | None


class ReplicaConnection:
    """One connection; one exchange at a time."""

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
        self._remembered_ids: deque[str] = deque(maxlen=REMEMBERED_IDS)
        self._sender: Any = None
        self._has_sending_failed = False
        self._answer_closes = False
        self._is_drained = False
        """Whether the last read got all that was there: another would find nothing yet."""

        self._exchanges = 0
        self._has_ended = False
        """Whether the body of the present answer was read to its end."""

        self._is_closed = False
        self._is_broken_off = False
        self.opened_at = clock()
        self.quiet_since = self.opened_at
        """When bytes came last, or the present request was sent if that was later."""

        self.usable_until = float("inf")
        self.acquired_at = float("-inf")
        """When the present exchange got it (steady clock, seconds)."""

        self.released_at = float("-inf")
        """When it was last put aside: what came before was answered."""

    @property
    def is_new(self) -> bool:
        """Whether nothing was sent over it yet."""
        return self._exchanges == 0

    @property
    def was_kept(self) -> bool:
        """Whether an earlier exchange went over it."""
        return self._exchanges > 1

    async def send(self, method: str, target: str, headers: RawHeaders, body: bytes) -> None:
        """Send a whole request; a long body is sent beside the reading of the answer."""
        length = (b"Content-Length", str(len(body)).encode())
        if self._is_broken_off:
            raise ReplicaError("the replica has started again", False, RESTARTED)
        self._request = h11.Request(method=method, target=target, headers=[*headers, length])
        data = self._feed_request(body)
        if self._exchanges == 0 and self._has_bytes():
            raise ReplicaError("bytes came before the first request", False, "unasked_answer")
        self._exchanges += 1
        self._has_ended = False
        self.quiet_since = self._clock()
        if len(data) <= SEND_IN_LINE_BYTES:
            await self._sock.sendall(data)
            return
        self._sender = await curio.spawn(self._send_beside, data)

    def _feed_request(self, body: bytes) -> bytes:
        assert self._request is not None
        data = self._http.send(self._request) or b""
        if body:
            data += self._http.send(h11.Data(data=body)) or b""
        return data + (self._http.send(h11.EndOfMessage()) or b"")

    async def _send_beside(self, data: bytes) -> bool:
        try:
            await self._sock.sendall(data)
        except OSError:
            self._has_sending_failed = True
            return False
        return True

    def has_carried(self, request_id: str) -> bool:
        """Whether a request with this id went over it: a late answer to that one looks the same."""
        return request_id in self._remembered_ids

    async def read_head(self, request_id: str) -> AnswerHead:
        """Return the head of the answer to ``request_id``; skip answers to other requests."""
        self._remembered_ids.append(request_id)
        for _ in range(MAX_SKIPPED_ANSWERS + 1):
            head = await self._read_any_head()
            answered = head.fields.request_id
            if answered == request_id or (answered is None and self._exchanges == 1):
                return head
            if self._frames_answers:
                break
            await self._skip_answer()
        raise ReplicaError("the answers belong to other requests", True, "foreign_answer")

    @property
    def _frames_answers(self) -> bool:
        """Whether the present request tells where its answer ends, which is wrong for others."""
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
            raise ReplicaError("not an answer: it has two lengths", True, "not_http")
        if self.was_kept and _holds_status_line(event):
            raise ReplicaError("not an answer: a part of another comes first", True, "not_http")
        fields = self._codec.answer_fields(headers)
        return AnswerHead(event.status_code, event.reason, headers, fields, length)

    async def _skip_answer(self) -> None:
        while isinstance(event := await self._next_event(), h11.Data):
            pass
        if not isinstance(event, h11.EndOfMessage):
            raise ReplicaError("an answer to another request broke off", True, "answer_cut")
        rest, is_closed = self._http.trailing_data
        if is_closed or self._answer_closes:
            raise ReplicaError("the connection ended before an answer", True, "no_answer")
        assert self._request is not None
        self._http = h11.Connection(h11.CLIENT)
        self._http.send(self._request)
        if any(n == b"content-length" and v != b"0" for n, v in self._request.headers):
            # The body went out before; h11 only has to count it.
            size = next(int(v) for n, v in self._request.headers if n == b"content-length")
            self._http.send(h11.Data(data=bytes(size)))
        self._http.send(h11.EndOfMessage())
        if rest:
            # Empty data would mean the end of the connection.
            self._http.receive_data(rest)

    async def read_body(self) -> bytes | None:
        """Return the next bytes of the body, all that have come, or None at its proper end."""
        if self._has_ended:
            return None
        event = await self._next_event()
        parts: list[bytes] = []
        while isinstance(event, h11.Data):
            parts.append(bytes(event.data))
            try:
                event = self._buffered_event()
            except ReplicaError:
                # What came before is good; the next call meets the error again.
                return b"".join(parts)
        if isinstance(event, h11.EndOfMessage):
            self._has_ended = True
            return b"".join(parts) if parts else None
        if event is not h11.NEED_DATA:
            raise ReplicaError("the answer broke off", True, "answer_cut")
        return b"".join(parts)

    async def _next_event(self) -> Any:
        try:
            while (event := self._buffered_event()) is h11.NEED_DATA:
                self._http.receive_data(await self._receive())
        except OSError as error:
            raise ReplicaError(f"the connection broke: {error!r}", True, "reset") from error
        return event

    def _buffered_event(self) -> Any:
        """Return the next event of the bytes that were read; NEED_DATA where they don't do."""
        try:
            return self._http.next_event()
        except (h11.RemoteProtocolError, ValueError) as error:
            raise ReplicaError(f"not an answer: {error}", True, "not_http") from error

    def expect_data(self) -> None:
        """Some time has passed: the next read may find bytes at once."""
        self._is_drained = False

    async def _receive(self) -> bytes:
        if self._is_drained:
            await _read_wait(self._sock._fileno)
        data: bytes = await self._sock.recv(READ_BYTES)
        if not data and self._is_broken_off:
            raise ReplicaError("the replica has started again", True, RESTARTED)
        self.quiet_since = self._clock()
        if not data and self._has_sending_failed:
            # The kernel tells a reset once, and it told the sender: this is no proper end.
            raise ConnectionResetError("the connection broke while the request was sent")
        self._is_drained = 0 < len(data) < READ_BYTES
        return data

    async def finish(self, keep_alive_s: float | None, now: float) -> bool:
        """End the exchange; return whether the connection may serve another one."""
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
            # A second answer to it would be read with another end by the next request.
            return False
        rest, is_closed = self._http.trailing_data
        if self._http.our_state is not h11.DONE or rest or is_closed:
            return False
        self._http.start_next_cycle()
        limit_s = IDLE_LIMIT_S if keep_alive_s is None else keep_alive_s - KEEP_ALIVE_MARGIN_S
        self.usable_until = now + min(IDLE_LIMIT_S, limit_s)
        return limit_s > 0

    def has_unread(self) -> bool:
        """Whether anything came, the end included, though no answer is due."""
        try:
            self._sock._socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def _has_bytes(self) -> bool:
        """Whether bytes came; what is wrong with the connection is told by sending on it."""
        try:
            return bool(self._sock._socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except OSError:
            return False

    def break_off(self) -> None:
        """End the present exchange: its replica is gone. What came before can still be read."""
        if self._is_closed or self._is_broken_off:
            return
        self._is_broken_off = True
        # One that is reset already tells so itself.
        with contextlib.suppress(OSError):
            self._sock._socket.shutdown(socket.SHUT_RDWR)

    @property
    def can_be_broken_off(self) -> bool:
        """Whether it is open, and nobody has ended it yet."""
        return not self._is_closed and not self._is_broken_off

    async def close(self) -> None:
        """Close at once; a replica stops the work of a closed connection."""
        self._is_closed = True
        sender, self._sender = self._sender, None
        if sender is not None and not sender.terminated:
            await sender.cancel()
        await self._sock.close()


def _holds_status_line(event: h11.Response) -> bool:
    """Whether a head continues a part of an earlier answer, within its reason or a field."""
    values = [event.reason, *(value for _, value in event.headers)]
    return any(STATUS_LINE.search(value) for value in values)


class ReplicaPool:
    """Idle connections by address."""

    def __init__(self, codec: GatewayCodec, clock: Callable[[], float]) -> None:
        self._codec = codec
        self._clock = clock
        self._idle: dict[tuple[str, int], list[ReplicaConnection]] = {}
        self._all: WeakSet[ReplicaConnection] = WeakSet()
        """Those that may be in use, too: closed ones among them do no harm."""

        self._refused_at: dict[tuple[str, int], float] = {}
        """When an address last refused a connection: no process was there then."""

        self.opened = 0
        """Connections opened since the start."""

    async def probe(self, address: tuple[str, int]) -> Reachability:
        """Open a connection and close it again: whether anybody listens at an address."""
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
        """Return a connection for a request; raise ReplicaError when none can be had.

        It is a new one, or an idle one that has not carried a request with the same id.
        """
        if force_new:
            return await self._open(address)
        while (connection := self._take_idle(address, request_id)) is not None:
            if self._clock() < connection.usable_until and not connection.has_unread():
                connection.acquired_at = self._clock()
                return connection
            await connection.close()
        return await self._open(address)

    def _take_idle(self, address: tuple[str, int], request_id: str) -> ReplicaConnection | None:
        """Take the idle connection that was used last and has not carried ``request_id``."""
        idle = self._idle.get(address, [])
        fresh = [one for one in idle if not one.has_carried(request_id)]
        if not fresh:
            return None
        idle.remove(fresh[-1])
        return fresh[-1]

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
        self._all.add(connection)
        return connection

    async def release(self, connection: ReplicaConnection, keep_alive_s: float | None) -> None:
        """Take back a connection whose answer was read to its end."""
        reusable = await connection.finish(keep_alive_s, self._clock())
        idle = self._idle.setdefault(connection.address, [])
        if reusable and len(idle) < MAX_IDLE_PER_REPLICA:
            connection.released_at = self._clock()
            idle.append(connection)
        else:
            await connection.close()

    async def release_unused(self, connection: ReplicaConnection) -> None:
        """Take back a connection on which nothing was sent since it was acquired."""
        self._idle.setdefault(connection.address, []).append(connection)

    def discard_idle(self, address: tuple[str, int]) -> int:
        """Use no idle connection to an address any more; return how many there were."""
        idle = self._idle.get(address, [])
        for connection in idle:
            connection.usable_until = float("-inf")
        return len(idle)

    def take_refusal(self, address: tuple[str, int]) -> float:
        """Return when an address refused a connection lately, and forget it; inf: it did not."""
        return self._refused_at.pop(address, float("inf"))

    def break_off(self, address: tuple[str, int], opened_before: float, quiet_before: float) -> int:
        """Break off exchanges at an address; return how many. Times are of the steady clock.

        Concerned are those over connections opened before one time, on which nothing has moved
        since another.
        """
        idle = self._idle.get(address, [])
        found = [
            one
            for one in self._all
            if one.address == address
            and one.can_be_broken_off
            and one.opened_at < opened_before
            and one.quiet_since < quiet_before
            and one not in idle
        ]
        for connection in found:
            connection.break_off()
        return len(found)

    async def close_timed_out(self, connection: ReplicaConnection) -> None:
        """Close a connection without an answer, and those that may be as dead.

        Connections may fall silent for good while new ones work, all at the same time. So when a
        kept one has no answer, all those go that have rested since before its request was sent: one
        request of a node is late by them, not one a connection.
        """
        await connection.close()
        if not connection.was_kept:
            return
        for address, idle in list(self._idle.items()):
            doubtful = [one for one in idle if one.released_at < connection.acquired_at]
            self._idle[address] = [one for one in idle if one not in doubtful]
            for one in doubtful:
                await one.close()

    async def close_expired(self) -> None:
        """Close connections that were idle for too long."""
        now = self._clock()
        for address, refused_at in list(self._refused_at.items()):
            if now - refused_at >= REFUSAL_REMEMBERED_S:
                del self._refused_at[address]
        for address, idle in list(self._idle.items()):
            kept = [one for one in idle if now < one.usable_until and not one.has_unread()]
            expired = [one for one in idle if one not in kept]
            self._idle[address] = kept
            for connection in expired:
                await connection.close()
            if not self._idle[address]:
                del self._idle[address]
