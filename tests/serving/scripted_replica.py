"""A replica that sends scripted bytes over real sockets, and callers that read its answers."""

import struct
import time
from collections.abc import Awaitable, Callable
from enum import Enum
from typing import Any

import curio
import h11
from curio import socket
from curio.traps import _read_wait
from job_world import stored_job
from msgspec import Struct

from cloverwalk.gateway.answer_relay import AnswerRelay
from cloverwalk.gateway.configuration import Route, RouteKind, RoutePart
from cloverwalk.gateway.errors import ClientGoneError, ReplicaError
from cloverwalk.gateway.messages import ClientRequest, RequestFields
from cloverwalk.gateway.progress import RequestProgress
from cloverwalk.gateway.replica_connection import AnswerHead, ReplicaConnection, ReplicaPool
from cloverwalk.gateway.replicas import Replica, ReplicaDirectory
from cloverwalk.gateway.reply import Reply
from cloverwalk.jobs.item_call import ItemCaller, ItemFailedError, ItemImpossibleError
from cloverwalk.jobs.records import JobItem, JobRecord
from cloverwalk.jobs.run import ItemRun, JobRun
from cloverwalk.platform import names
from cloverwalk.platform.codec import PlatformCodec
from cloverwalk.telemetry.metrics import ServingMetrics

READ_BYTES = 65536
TEST_TIMEOUT_S = 20.0
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class End(Enum):
    """How a replica ends a connection."""

    FIN = "with all bytes delivered"
    RESET = "with a reset"


class Framing(Enum):
    """How an answer marks the end of its body."""

    LENGTH = "length"
    CHUNKED = "chunked"
    UNTIL_CLOSE = "end of the connection"


Action = Callable[[Any], Awaitable[None]]
"""Called with the connection, between two pieces of an answer."""

Step = bytes | End | Action


class Call(Struct, frozen=True):
    """One request as the replica received it."""

    connection: int
    """Number of its connection, from 0."""

    turn: int
    """Number of the request on its connection, from 0."""

    request_id: str
    last_event_id: int | None


Script = Callable[[Call], list[Step]]


class ScriptedReplica:
    """Answers each request with the steps of a script.

    Without ``reads_bodies`` it serves one request per connection and leaves the connection open.
    """

    def __init__(self, script: Script, reads_bodies: bool = True) -> None:
        self._script = script
        self._reads_bodies = reads_bodies
        self._sock = curio.tcp_server_socket("127.0.0.1", 0)
        self.address: tuple[str, int] = self._sock.getsockname()
        self.calls: list[Call] = []
        self.clients: list[Any] = []
        self.greeting = b""
        """Bytes sent to each caller before its first request."""

    async def run(self) -> None:
        """Serve until cancelled."""
        async with self._sock, curio.TaskGroup() as tasks:
            while True:
                client, _ = await self._sock.accept()
                client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self.clients.append(client)
                if self.greeting:
                    await client.sendall(self.greeting)
                await tasks.spawn(self._serve, client, len(self.clients) - 1)

    async def _serve(self, client: Any, connection: int) -> None:
        http = h11.Connection(h11.SERVER)
        turn = 0
        try:
            while (call := await self._read(client, http, connection, turn)) is not None:
                self.calls.append(call)
                for step in self._script(call):
                    if isinstance(step, End):
                        await end(client, step)
                        return
                    if isinstance(step, bytes):
                        await client.sendall(step)
                    else:
                        await step(client)
                if not self._reads_bodies:
                    return
                turn += 1
                http = h11.Connection(h11.SERVER)
        except (OSError, h11.ProtocolError):
            pass  # The caller disconnected; the test checks what it got.
        await client.close()

    async def _read(
        self, client: Any, http: h11.Connection, connection: int, turn: int
    ) -> Call | None:
        call: Call | None = None
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await client.recv(READ_BYTES))
            elif isinstance(event, h11.Request):
                headers = {name.decode(): value.decode() for name, value in event.headers}
                last_event_id = headers.get(names.LAST_EVENT_ID.decode().lower())
                request_id = headers.get(names.REQUEST_ID.decode().lower(), "")
                call = Call(
                    connection,
                    turn,
                    request_id,
                    None if last_event_id is None else int(last_event_id),
                )
                if not self._reads_bodies:
                    return call
            elif isinstance(event, h11.EndOfMessage):
                return call
            elif isinstance(event, h11.ConnectionClosed):
                return None


async def end(client: Any, end_kind: End) -> None:
    """End a connection of the replica."""
    if end_kind is End.RESET:
        client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    await client.close()


def answer(
    request_id: str | None,
    body: bytes,
    framing: Framing = Framing.LENGTH,
    status: int = 200,
    headers: tuple[tuple[bytes, bytes], ...] = (),
) -> bytes:
    """Return the bytes of a signed answer."""
    lines = [b"HTTP/1.1 %d Some-Reason" % status, names.SIGNATURE + b": signature"]
    if request_id is not None:
        lines.append(names.REQUEST_ID + b": " + request_id.encode())
    lines += [name + b": " + value for name, value in headers]
    if framing is Framing.LENGTH:
        lines.append(b"Content-Length: %d" % len(body))
    elif framing is Framing.CHUNKED:
        lines.append(b"Transfer-Encoding: chunked")
        body = chunked(body)
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def chunked(body: bytes) -> bytes:
    """Return a body in two chunks, with the last chunk."""
    middle = len(body) // 2
    parts = [part for part in (body[:middle], body[middle:]) if part]
    return b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts) + b"0\r\n\r\n"


def event(number: int, data: str) -> bytes:
    """Return one event of a stream."""
    return f"id: {number}\ndata: {data}\n\n".encode()


class RecordedReply(Reply):
    """A reply that records what its client would get."""

    def __init__(self) -> None:
        http = h11.Connection(h11.SERVER)
        http.receive_data(b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
        assert isinstance(http.next_event(), h11.Request)
        assert isinstance(http.next_event(), h11.EndOfMessage)
        super().__init__(None, http, closes_after=False)
        self._sent = bytearray()

    def _try_send(self, data: bytes) -> bytes:
        self._sent += data
        return b""

    def received(self) -> tuple[bytes, bool]:
        """Return the body that the client got, and whether it is complete."""
        if not self._sent:
            return b"", False
        http = h11.Connection(h11.CLIENT)
        http.send(h11.Request(method="POST", target="/a", headers=[("Host", "h")]))
        http.send(h11.EndOfMessage())
        http.receive_data(bytes(self._sent))
        body = b""
        while (event := http.next_event()) is not h11.NEED_DATA:
            if isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                assert http.trailing_data[0] == b""
                return body, True
        return body, False


class Outcome(Struct, frozen=True):
    """The end of a request as its caller sees it."""

    body: bytes | None
    """The complete body; None if there was no complete answer."""

    status: int = 0
    code: str = ""


class Callers:
    """Callers of one replica with a common pool."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.codec = PlatformCodec()
        self.pool = ReplicaPool(self.codec, time.monotonic)
        self.directory = ReplicaDirectory()
        host, port = address
        entry = Replica("i-0", "s", host, port, "z", 8, False, 1, software_version="v1")
        self.replica = entry
        self.directory.put(self.replica)
        metrics = ServingMetrics()
        self.answers = AnswerRelay(self.codec, self.directory, metrics, time.monotonic)
        self.items = ItemCaller(self.codec, self.pool, self.directory, time.monotonic)

    async def acquire(self, request_id: str) -> ReplicaConnection:
        """Return a connection for a request."""
        return await self.pool.acquire(self.address, request_id)

    async def send(
        self, connection: ReplicaConnection, request_id: str, method: str = "POST", size: int = 1
    ) -> None:
        """Send a request."""
        headers = [(b"Host", b"h"), (names.REQUEST_ID, request_id.encode())]
        await connection.send(method, "/a", headers, bytes(size))

    async def exchange(
        self,
        request_id: str,
        before_send: Callable[[ReplicaConnection], Awaitable[None]] | None = None,
        method: str = "POST",
        size: int = 1,
    ) -> Outcome:
        """Send a request that is not a stream, and read its answer."""
        connection = await self.acquire(request_id)
        try:
            if before_send is not None:
                await before_send(connection)
            await self.send(connection, request_id, method, size)
            head = await connection.read_head(request_id)
            body = b""
            while (data := await connection.read_body()) is not None:
                body += data
        except OSError as error:
            await connection.close()
            return Outcome(None, code=repr(error))
        except ReplicaError as error:
            await connection.close()
            return Outcome(None, code=error.code)
        await self.pool.release(connection, head.fields.keep_alive_s)
        return Outcome(body, head.status)

    async def relay(self, request_id: str, reply: Reply) -> str:
        """Relay the stream of a resumable request; return its outcome."""
        fields = RequestFields(request_id)
        now = time.monotonic()
        request = ClientRequest("POST", "/a", [(b"Host", b"h")], b"", "h", fields, now)
        progress = RequestProgress(stream_route(), "s", now + 30.0, None)
        while True:
            try:
                await self._relay_once(request, progress, reply)
                return "answered"
            except ClientGoneError:
                return "broken_off"
            except ReplicaError as error:
                progress.tried.append(self.replica.replica_id)
                if len(progress.tried) >= progress.route.max_attempts:
                    return error.code

    async def _relay_once(
        self, request: ClientRequest, progress: RequestProgress, reply: Reply
    ) -> None:
        request_id, last = request.fields.request_id, progress.last_event_id
        connection = await self.acquire(request_id)
        head: AnswerHead | None = None
        try:
            headers = self.codec.headers_to_replica(request, "i-0", None, last)
            await connection.send("POST", "/a", headers, b"prompt")
            head = await connection.read_head(request_id)
            is_stream = head.status == 200
            relay = self.answers.relay_stream if is_stream else self.answers.relay_plain
            await relay(request, progress, connection, head, reply)
        except BaseException:
            await connection.close()
            raise
        await self.pool.release(connection, head.fields.keep_alive_s)

    async def run_item(self, job: JobRun, item: ItemRun) -> str:
        """Run an item once; return its outcome."""
        job.begin(item, self.replica.replica_id, time.monotonic())
        try:
            await self.items.run(job, item, self.replica, lambda: None)
        except ItemImpossibleError:
            return "impossible"
        except ItemFailedError:
            return "failed"
        except ReplicaError as error:
            return error.code
        return "succeeded"

    def idle_connections(self) -> list[ReplicaConnection]:
        """Return the idle connections."""
        return list(self.pool._idle.get(self.address, []))

    async def close(self) -> None:
        """Close all idle connections."""
        for connection in self.idle_connections():
            await connection.close()


def item_job() -> tuple[JobRun, ItemRun]:
    """Return a job of one item."""
    item = JobItem("item-1", "/a", [], b"prompt", 10)
    record = JobRecord("j", "h", "/", 0.0, 0.0, 0.0, 3, 1, 1, 1, "n1")
    job = JobRun(stored_job(record), [item])
    return job, job.items[0]


def stream_route() -> Route:
    """Return a route of resumable streams."""
    parts = (RoutePart("s", 1.0),)
    return Route("r", "h", "/", RouteKind.STREAM, parts, 30.0, 1.0, 3, is_resumable=True)


async def readable(connection: ReplicaConnection) -> None:
    """Wait until bytes have arrived on a connection."""
    await _read_wait(connection._sock._fileno)


def run_against(
    script: Script,
    test: Callable[[ScriptedReplica, Callers], Awaitable[None]],
    reads_bodies: bool = True,
) -> None:
    """Run a test against a replica that follows a script."""

    async def main() -> None:
        replica = ScriptedReplica(script, reads_bodies)
        serving = await curio.spawn(replica.run)
        callers = Callers(replica.address)
        try:
            async with curio.timeout_after(TEST_TIMEOUT_S):
                await test(replica, callers)
        finally:
            await callers.close()
            await serving.cancel()

    curio.run(main)
