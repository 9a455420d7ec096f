"""A fleet before replicas that cut their answers off: each prefix, by close and by reset."""

import contextlib
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import curio
import h11
from curio import socket
from fleet_world import (
    HOST,
    WAIT_TIMEOUT_S,
    Answer,
    FleetWorld,
    configuration,
    in_world,
    read_answer,
    route,
)
from msgspec import Struct
from scripted_replica import READ_BYTES, Action, Call, End, Framing, ScriptedReplica, Step

from cloverwalk.platform import names

EVENTS = 3
CALLERS = 8
SLOTS = 64
REPLICAS = 3
MAX_BODY_BYTES = 2_000_000
ROUTES = [
    route("chat", "/chat/", "streaming", resumable=True),
    route("once", "/once/", "streaming", resumable=False, max_attempts=1),
    route("safe", "/safe/", "safe"),
    route("unsafe", "/unsafe/", "unsafe"),
    route(
        "jobs",
        "/jobs/",
        "batch",
        max_attempts=100,
        completion_target_ms=20_000,
        retention_s=60,
    ),
]
ANY_CALL = Call(0, 0, "req0000", None)
STREAM_PATHS = ("/chat/", "/once/")


def own_event(request_id: str, number: int) -> bytes:
    """Return an event; it is longer than 15 bytes, so that the size of a chunk has two digits."""
    return f"id: {number}\ndata: {request_id}:{number}\n\n".encode()


def own_body(request_id: str, after: int = 0) -> bytes:
    """Return all events of a request after one of them."""
    return b"".join(own_event(request_id, number) for number in range(after + 1, EVENTS + 1))


class Cut(Struct, frozen=True):
    """An answer that is cut off."""

    framing: Framing
    position: int
    """Bytes of the answer that are sent."""

    end: End
    status: int = 200
    has_bare_line_feeds: bool = False
    """Whether the lines of its head end with a line feed alone."""

    before: bytes = b""
    """Bytes sent before it."""

    is_refusal: bool = False
    """Whether it proves that the request was not run."""

    padding: int = 0
    """Bytes of its body after the events; streams have none."""

    before_end: Action | None = None
    """What is done after the bytes, before the connection ends."""

    def head(self, call: Call) -> bytes:
        """Return the whole head."""
        lines = [
            b"HTTP/1.1 %d Some-Reason" % self.status,
            names.SIGNATURE + b": signature",
            names.REQUEST_ID + b": " + call.request_id.encode(),
        ]
        if self.is_refusal:
            lines.append(names.NOT_EXECUTED + b": 1")
        if self.framing is Framing.LENGTH:
            lines.append(b"Content-Length: %d" % len(self.body(call)))
        elif self.framing is Framing.CHUNKED:
            lines.append(b"Transfer-Encoding: chunked")
        line_end = b"\n" if self.has_bare_line_feeds else b"\r\n"
        return line_end.join([*lines, b"", b""])

    def body(self, call: Call) -> bytes:
        """Return the whole body."""
        return own_body(call.request_id, call.last_event_id or 0) + b"x" * self.padding

    def data(self, call: Call) -> bytes:
        """Return the whole answer; a chunked one has a chunk for each event, and a trailer."""
        body = self.body(call)
        if self.framing is Framing.CHUNKED:
            *events, padding = body.split(b"\n\n")
            pieces = [event + b"\n\n" for event in events] + [padding] * bool(padding)
            chunks = [b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces]
            body = b"".join([*chunks, b"0\r\nSome-Trailer: value\r\n\r\n"])
        return self.head(call) + body

    def steps(self, call: Call) -> list[Step]:
        """Return how it is sent."""
        pause = [] if self.before_end is None else [self.before_end]
        return [self.before + self.data(call)[: self.position], *pause, self.end]

    def is_complete(self, call: Call, is_stream: bool) -> bool:
        """Whether the bytes that are sent are a whole answer.

        Without a length or chunks an answer is whole where its connection ends without a reset. A
        stream is not whole if it ends within an event.
        """
        if self.framing is not Framing.UNTIL_CLOSE:
            return self.position >= len(self.data(call))
        sent = self.data(call)[: self.position]
        part = sent[len(self.head(call)) :]
        has_head = len(sent) >= len(self.head(call))
        ends_in_event = is_stream and not (b"\n\n" + part).endswith(b"\n\n")
        return has_head and self.end is End.FIN and not ends_in_event


WHOLE = Cut(Framing.LENGTH, 1 << 20, End.FIN)


def whole_answer(call: Call) -> list[Step]:
    """Return a whole answer after which the connection is kept."""
    return [WHOLE.data(call)]


async def wait_briefly(client: Any) -> None:
    """Let the node read what was sent; it may do so later as well."""
    await curio.sleep(0.002)


async def end_unread(client: Any) -> None:
    """End a connection without a reset, although a part of the request is unread."""
    await client.shutdown(socket.SHUT_WR)
    with contextlib.suppress(OSError):
        while await client.recv(READ_BYTES):
            pass


class CutWorld(FleetWorld):
    """A node before replicas whose answers are cut off."""

    def __init__(self) -> None:
        super().__init__()
        self.scripted: list[ScriptedReplica] = []
        self.cuts: dict[str, list[Cut]] = {}
        """Answers by request id, in the order of the attempts; all others are whole."""

        self.surplus: dict[str, Callable[[Call], bytes]] = {}
        """Answers with more bytes than they should have, by request id; only for first attempts."""

        self.calls: dict[str, list[Call]] = {}
        """What the replicas received, by request id."""

    async def start_cutting(self, replicas: int = REPLICAS, reads_bodies: bool = True) -> None:
        """Start the store, a node and the replicas."""
        await self.spawn(self.store.run)
        document = configuration(1, ROUTES)
        document["limits"]["max_body_bytes"] = MAX_BODY_BYTES
        self.store.put(names.OPERATOR_TABLE, names.CONFIGURATION_KEY, document)
        for number in range(replicas):
            await self._add_scripted(f"i-{number}", reads_bodies)
        node = await self.add_node()
        await self.wait_until(lambda: node.is_ready and len(node._directory.all()) == replicas)

    async def _add_scripted(self, name: str, reads_bodies: bool) -> None:
        replica = ScriptedReplica(self._steps, reads_bodies)
        if not reads_bodies:
            replica._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.scripted.append(replica)
        await self.spawn(replica.run)
        host, port = replica.address
        entry = {
            "service": "model",
            "address": f"{host}:{port}",
            "zone": "z1",
            "version": "v1",
            "slots": SLOTS,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": 1,
        }
        self.store.put(names.REPLICA_TABLE, name, entry)

    def _steps(self, call: Call) -> list[Step]:
        calls = self.calls.setdefault(call.request_id, [])
        calls.append(call)
        if call.request_id in self.surplus:
            return [self.surplus.pop(call.request_id)(call)]
        cuts = self.cuts.get(call.request_id, [])
        if len(calls) > len(cuts):
            return whole_answer(call)
        return cuts[len(calls) - 1].steps(call)

    def last_cut(self, request_id: str) -> Cut:
        """Return the answer to the last attempt of a request."""
        cuts, attempts = self.cuts[request_id], len(self.calls[request_id])
        return cuts[attempts - 1] if attempts <= len(cuts) else WHOLE

    async def each(
        self, cases: Iterable[Any], check: Callable[[Any], Awaitable[None]], callers: int = CALLERS
    ) -> None:
        """Call ``check`` with each case, several at a time."""
        waiting = list(cases)

        async def check_waiting() -> None:
            while waiting:
                await check(waiting.pop())

        async with curio.TaskGroup() as tasks:
            for _ in range(callers):
                await tasks.spawn(check_waiting)
        # A group raises the error of a task only here.
        assert tasks.results == [None] * callers
        assert not waiting

    async def ask_cut(
        self,
        path: str,
        cuts: list[Cut],
        body: bytes = b"prompt",
        headers: list[tuple[str, str]] | None = None,
    ) -> tuple[str, Answer]:
        """Send a request whose attempts get these answers; return its id and its answer."""

        async def send(request_id: str) -> Answer:
            own_headers = [(names.REQUEST_ID.decode(), request_id), *(headers or [])]
            return await self.call("POST", path, body, own_headers)

        return await self._send_until_tried(cuts, send)

    async def ask_in_http10(self, path: str, cuts: list[Cut]) -> tuple[str, Answer]:
        """Send a request in HTTP/1.0, whose answer ends with its connection if it has no length."""
        return await self._send_until_tried(cuts, lambda name: self._call_in_http10(path, name))

    async def _send_until_tried(
        self, cuts: list[Cut], send: Callable[[str], Awaitable[Answer]]
    ) -> tuple[str, Answer]:
        """Send a request, again if it was refused without an attempt, as on a busy machine."""
        async with curio.timeout_after(WAIT_TIMEOUT_S):
            while True:
                request_id = self.new_id()
                self.cuts[request_id] = cuts
                answer = await send(request_id)
                if request_id in self.calls:
                    return request_id, answer
                assert answer.status == 503, answer
                await curio.sleep(float(answer.headers["retry-after"]))

    async def _call_in_http10(self, path: str, request_id: str) -> Answer:
        lines = [
            b"POST " + path.encode() + b" HTTP/1.0",
            b"Host: " + HOST.encode(),
            names.REQUEST_ID + b": " + request_id.encode(),
            b"Content-Length: 6",
        ]
        http = h11.Connection(h11.CLIENT)
        # Only the answer's framing matters to the reader.
        http.send(h11.Request(method="POST", target=path, headers=[("Host", HOST)]))
        http.send(h11.EndOfMessage())
        sock = await self.connect()
        try:
            async with curio.timeout_after(WAIT_TIMEOUT_S):
                await sock.sendall(b"\r\n".join([*lines, b"", b"prompt"]))
                return await read_answer(sock, http)
        finally:
            await sock.close()

    def check_answer(self, path: str, request_id: str, answer: Answer, after: int = 0) -> None:
        """Check that the client has a whole success exactly if the last attempt had one, and that
        it has nothing but the request's own bytes."""
        cut, call = self.last_cut(request_id), self.calls[request_id][-1]
        is_stream = path in STREAM_PATHS
        context = (path, cut, call, answer.status, answer.is_whole, answer.body[:200])
        is_whole = answer.status == 200 and answer.is_whole
        # A reset discards what the kernel has not sent yet of a long answer.
        may_be_lost = cut.end is End.RESET and cut.padding > 0 and not is_whole
        assert is_whole == cut.is_complete(call, is_stream) or may_be_lost, context
        whole = own_body(request_id, after) + b"x" * cut.padding
        if answer.status != 200:
            assert answer.status in (502, 504), context
        elif not is_whole or cut.framing is Framing.UNTIL_CLOSE:
            assert whole.startswith(answer.body), context
            assert not is_stream or (b"\n\n" + answer.body).endswith(b"\n\n"), context
        else:
            assert answer.body == whole, context


def in_cut_world(test: Callable[[CutWorld], Awaitable[None]]) -> None:
    """Run a test in a new world and clean up."""
    in_world(test, CutWorld)


def every_cut(framing: Framing, end: End, **more: Any) -> list[Cut]:
    """Return an answer cut off after each of its bytes, and the whole one.

    All ids of requests are equally long, and so are the answers.
    """
    size = len(Cut(framing, 0, end, **more).data(ANY_CALL))
    return [Cut(framing, position, end, **more) for position in range(size + 1)]


def every_head_cut(framing: Framing, end: End, **more: Any) -> list[Cut]:
    """Return an answer cut off after each byte of its head."""
    size = len(Cut(framing, 0, end, **more).head(ANY_CALL))
    return [Cut(framing, position, end, **more) for position in range(size + 1)]
