"""An emulated replica that streams events, has slots, and injects faults on request.

The data of a request's event n is ``ID:n``, so that any replica can resume another's stream.
"""

import contextlib
import itertools
import socket
import struct
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

import curio
import h11

from cloverwalk.emulator.replica_runs import Arrival, Misdeed, ReplicaObserver, RunEnd
from cloverwalk.platform import names

READ_BYTES = 65536
STUTTER_PAUSE_S = 0.4
"""Shorter than the time without data after which a node tries another replica."""

STUTTER_INTERVAL_EVENTS = 4
PARTIAL_EVENT = b"id: "
DISCONNECT_CHECK_INTERVAL_S = 3600.0
SLOT_CHECK_INTERVAL_S = 0.01
"""Interval at which a waiting request checks for a free slot."""


class PlatformReplica:
    """One replica, which listens on an address."""

    def __init__(
        self, replica_id: str, address: tuple[str, int], events: int = 4, event_s: float = 0.002
    ) -> None:
        self.replica_id = replica_id
        self.address = address
        self.events = events
        self.event_s = event_s
        self.slots = 8
        self.seq = 0
        self.started_at_ms = 0
        """Start time in its store entry, 0: omitted. A restart under the same id changes it."""

        self.warmup_ms = 0
        """Remaining warm-up time in its store entry."""

        self.software_version = "v1"
        """Version of its software, in its store entry."""

        self.shows_software_version = False
        """Whether the data of its events end with the version of its software."""

        self.closes_after: Callable[[Arrival], bool] = lambda arrival: False
        """Whether an answer has neither a length nor chunks and ends with its connection."""

        self.event_padding = 0
        """Characters added to the data of each event."""

        self.slowdown_percent: int | None = None
        """Slowdown that it reports, 100 for its baseline; None: not reported."""

        self.unproved_status = 503
        """Status of the response in ``Misdeed.UNPROVED_REFUSAL``."""

        self.max_waiting: int | None = None
        """Maximum number of requests that wait for a slot; more are refused. None: slots do not
        limit requests, and all run concurrently."""

        self.on_arrival: Callable[[Arrival], None] = lambda arrival: None
        """Called with each request, also with those that are refused."""

        self.observer: ReplicaObserver | None = None
        self.choose_misdeed: Callable[[Arrival], Misdeed | None] | None = None
        """Returns the fault of each request, in place of ``misdeeds`` and ``default_misdeed``."""

        self.choose_event_count: Callable[[Arrival], int] | None = None
        """Returns the number of events of an answer, in place of ``events``."""

        self.choose_event_interval_s: Callable[[Arrival], float] | None = None
        """Returns the time between the events of an answer, in place of ``event_s``."""

        self.is_held: Callable[[Arrival], bool] = lambda arrival: False
        """Whether an answer goes on beyond its number of events; asked again after each event."""

        self.waiting = 0
        self.misdeeds: deque[Misdeed | None] = deque()
        self.default_misdeed: Misdeed | None = None
        self.arrivals: list[Arrival] = []
        self.running = 0
        self.max_running = 0
        self._serving: set[Any] = set()
        self._sock = curio.tcp_server_socket(*address, backlog=128)

    async def run(self) -> None:
        """Serve until cancelled."""
        async with self._sock:
            while True:
                client, _ = await self._sock.accept()
                await curio.spawn(self._serve, client, daemon=True)

    async def crash(self) -> None:
        """Abort all connections. The caller that started ``run`` has to cancel it."""
        for task in list(self._serving):
            await task.cancel()

    async def _serve(self, client: Any) -> None:
        task = await curio.current_task()
        self._serving.add(task)
        http = h11.Connection(h11.SERVER)
        try:
            while await self._serve_request(client, http):
                http.start_next_cycle()
        except (OSError, h11.ProtocolError):
            pass
        finally:
            self._serving.discard(task)
            await client.close()

    async def _serve_request(self, client: Any, http: h11.Connection) -> bool:
        """Serve the next request; return whether the connection can be reused."""
        arrival = await self._read(client, http)
        if arrival is None:
            return False
        self.arrivals.append(arrival)
        self.on_arrival(arrival)
        expected = arrival.headers.get(names.EXPECT_INSTANCE.decode().lower())
        if expected not in (None, self.replica_id):
            await self._refuse(client, http, arrival, 421)
            return True
        if self._is_full():
            await self._refuse(client, http, arrival, 503)
            return True
        # A request that is not run has no effect on the replica, so only others get a fault.
        misdeed = self._next_misdeed(arrival)
        if misdeed is Misdeed.REFUSE:
            await self._refuse(client, http, arrival, 503)
            return True
        if misdeed is Misdeed.REFUSE_AND_CUT:
            await self._refuse_and_cut(client, http, arrival)
            return False
        if not await self._wait_for_slot(client):
            return False
        return await self._run_in_slot(client, http, arrival, misdeed)

    def _next_misdeed(self, arrival: Arrival) -> Misdeed | None:
        if self.choose_misdeed is not None:
            return self.choose_misdeed(arrival)
        return self.misdeeds.popleft() if self.misdeeds else self.default_misdeed

    # --- slots ---

    def _is_full(self) -> bool:
        if self.max_waiting is None:
            return False
        return self.running >= self.slots and self.waiting >= self.max_waiting

    async def _wait_for_slot(self, client: Any) -> bool:
        """Wait for a free slot; return False if the caller disconnects before that."""
        if self.max_waiting is None:
            return True
        self.waiting += 1
        try:
            while self.running >= self.slots:
                if await self._caller_disconnected(client, SLOT_CHECK_INTERVAL_S):
                    return False
        finally:
            self.waiting -= 1
        return True

    async def _run_in_slot(
        self, client: Any, http: h11.Connection, arrival: Arrival, misdeed: Misdeed | None
    ) -> bool:
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        if self.observer is not None:
            self.observer.began(self.replica_id, arrival)
        try:
            if misdeed is Misdeed.SILENT:
                while not await self._caller_disconnected(client, DISCONNECT_CHECK_INTERVAL_S):
                    continue
                raise OSError("the caller disconnected")
            arrival.has_run = True
            return await self._run(client, http, arrival, misdeed)
        except OSError:
            self._record_end(arrival, RunEnd.LEFT)
            raise
        finally:
            self.running -= 1
            self._record_end(arrival, RunEnd.CRASHED)

    def _record_end(self, arrival: Arrival, end: RunEnd) -> None:
        """Record how a run ended, unless that is already recorded."""
        if arrival.end is None:
            arrival.end = end
            if self.observer is not None:
                self.observer.ended(self.replica_id, arrival)

    # --- messages ---

    async def _read(self, client: Any, http: h11.Connection) -> Arrival | None:
        head: h11.Request | None = None
        body = b""
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await client.recv(READ_BYTES))
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                headers = {n.decode(): v.decode() for n, v in head.headers}
                request_id = headers.get(names.REQUEST_ID.decode().lower(), "")
                raw = head.headers.raw_items()
                method = head.method.decode()
                target = head.target.decode()
                return Arrival(request_id, target, headers, raw, body, method=method)
            else:
                return None

    def _response_headers(self, arrival: Arrival) -> list[tuple[bytes, bytes]]:
        load = f"{self.running},0,{self.slots}"
        if self.slowdown_percent is not None:
            load += f",{self.slowdown_percent}"
        return [
            (names.REQUEST_ID, arrival.request_id.encode()),
            (names.SERVER_LOAD, load.encode()),
            (b"Keep-Alive", b"timeout=5"),
        ]

    async def _refuse(
        self, client: Any, http: h11.Connection, arrival: Arrival, status: int
    ) -> None:
        headers = [*self._response_headers(arrival), (names.NOT_EXECUTED, b"1")]
        await self._send_response(client, http, status, headers, b"")

    async def _refuse_and_cut(self, client: Any, http: h11.Connection, arrival: Arrival) -> None:
        length = (b"Content-Length", b"10")
        headers = [*self._response_headers(arrival), (names.NOT_EXECUTED, b"1"), length]
        await client.sendall(http.send(h11.Response(status_code=503, headers=headers)) or b"")

    async def _send_response(
        self,
        client: Any,
        http: h11.Connection,
        status: int,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
    ) -> None:
        length = (b"Content-Length", str(len(body)).encode())
        data = http.send(h11.Response(status_code=status, headers=[*headers, length])) or b""
        if body:
            data += http.send(h11.Data(data=body)) or b""
        data += http.send(h11.EndOfMessage()) or b""
        await client.sendall(data)

    async def _run(
        self, client: Any, http: h11.Connection, arrival: Arrival, misdeed: Misdeed | None
    ) -> bool:
        signed_headers = [*self._response_headers(arrival), (names.SIGNATURE, b"signature")]
        if misdeed in (Misdeed.RESET_UNANSWERED, Misdeed.RESET, Misdeed.GARBAGE):
            self._record_end(arrival, RunEnd.CUT)
        if misdeed is Misdeed.RESET:
            _reset_at_close(client)
        if misdeed in (Misdeed.RESET_UNANSWERED, Misdeed.RESET):
            return False
        if misdeed is Misdeed.RUN_SILENTLY:
            await curio.sleep(3600)
        if misdeed is Misdeed.GARBAGE:
            await client.sendall(b"\x00\x01 this is not an answer\r\n\r\n")
            return False
        if misdeed in (Misdeed.FAIL, Misdeed.IMPOSSIBLE):
            status = 500 if misdeed is Misdeed.FAIL else 422
            self._record_end(arrival, RunEnd.FAILED if status == 500 else RunEnd.IMPOSSIBLE)
            await self._send_response(client, http, status, signed_headers, b"failed")
            return True
        if misdeed is Misdeed.UNPROVED_REFUSAL:
            await self._send_response(client, http, self.unproved_status, signed_headers, b"busy")
            return True
        if misdeed is Misdeed.LATE_ANSWER:
            await client.sendall(_foreign_answer())
        if misdeed is Misdeed.LATE_REFUSAL:
            await client.sendall(_refusal_without_id())
        if misdeed is Misdeed.PROOF_ON_SUCCESS:
            signed_headers.append((names.NOT_EXECUTED, b"1"))
        if misdeed is Misdeed.UNSIGNED:
            signed_headers = self._response_headers(arrival)
        await self._stream(client, http, arrival, signed_headers, misdeed)
        if misdeed is Misdeed.SECOND_ANSWER:
            await client.sendall(_foreign_answer())
        is_cut = misdeed in (Misdeed.CUT, Misdeed.RESET_MIDWAY)
        return not is_cut and not self.closes_after(arrival)

    async def _stream(
        self,
        client: Any,
        http: h11.Connection,
        arrival: Arrival,
        headers: list[tuple[bytes, bytes]],
        misdeed: Misdeed | None,
    ) -> None:
        writer = self._begin_stream(http, headers, arrival, misdeed)
        await client.sendall(writer.head)
        try:
            if misdeed is Misdeed.BEGIN_SILENTLY:
                await curio.sleep(3600)
            await self._send_events(client, writer, arrival, misdeed)
        except curio.TaskCancelled:
            if self.closes_after(arrival) and misdeed is not Misdeed.BEGIN_CLOSED:
                # A crash cuts the stream off within an event.
                with contextlib.suppress(OSError):
                    client._socket.send(PARTIAL_EVENT)
            raise

    async def _send_events(
        self, client: Any, writer: "_StreamWriter", arrival: Arrival, misdeed: Misdeed | None
    ) -> None:
        last = arrival.headers.get(names.LAST_EVENT_ID.decode().lower())
        first = 1 if last is None else int(last) + 1
        events = (
            self.events if self.choose_event_count is None else self.choose_event_count(arrival)
        )
        interval_s = (
            self.event_s
            if self.choose_event_interval_s is None
            else self.choose_event_interval_s(arrival)
        )
        for number in itertools.count(first):
            if number > events and not self.is_held(arrival):
                break
            stutters = misdeed is Misdeed.STUTTER and number % STUTTER_INTERVAL_EVENTS == 0
            if await self._caller_disconnected(client, STUTTER_PAUSE_S if stutters else interval_s):
                arrival.caller_disconnected = True
                raise OSError("the caller disconnected")
            text = self._event(arrival, number)
            if misdeed is Misdeed.RESET_MIDWAY and number > events // 2:
                self._record_end(arrival, RunEnd.CUT)
                _reset_at_close(client)
                return
            if misdeed is Misdeed.CUT and number > events // 2:
                self._record_end(arrival, RunEnd.CUT)
                await client.sendall(writer.encode(text[: len(text) // 2]))
                return
            await client.sendall(writer.encode(text))
            if misdeed is Misdeed.BEGIN_CLOSED:
                await curio.sleep(3600)
        arrival.is_finished = True
        self._record_end(arrival, RunEnd.FINISHED)
        await client.sendall(writer.encode_end())

    def _begin_stream(
        self,
        http: h11.Connection,
        headers: list[tuple[bytes, bytes]],
        arrival: Arrival,
        misdeed: Misdeed | None,
    ) -> "_StreamWriter":
        headers = [*headers, (b"Content-Type", b"text/event-stream")]
        if self.closes_after(arrival) or misdeed is Misdeed.BEGIN_CLOSED:
            return _ClosingWriter(headers)
        return _ChunkedWriter(http, headers)

    def _event(self, arrival: Arrival, number: int) -> bytes:
        """Return an event; its data includes the run number if there is an observer."""
        run = f":{arrival.run}" if self.observer is not None else ""
        version = f":{self.software_version}" if self.shows_software_version else ""
        data = f"{arrival.request_id}:{number}{run}{version}{'x' * self.event_padding}"
        return f"id: {number}\ndata: {data}\n\n".encode()

    async def _caller_disconnected(self, client: Any, wait_s: float) -> bool:
        """Wait up to ``wait_s`` for the caller to close the connection; return whether it did."""
        data: bytes | None = None
        async with curio.ignore_after(wait_s):
            with contextlib.suppress(ConnectionError):
                data = await client.recv(1)
                return data == b""
            return True
        return False

    def runs(self, request_id: str) -> int:
        """Return how often the replica has started to run a request."""
        return sum(arrival.has_run for arrival in self.arrivals if arrival.request_id == request_id)

    def document(self, service: str, zone: str, state: str = "ready") -> dict[str, Any]:
        """Return the store entry of the replica, with the next sequence number."""
        host, port = self.address
        self.seq += 1
        started_fields = {"born": self.started_at_ms} if self.started_at_ms else {}
        return {
            "service": service,
            "address": f"{host}:{port}",
            "zone": zone,
            "version": self.software_version,
            "slots": self.slots,
            "state": state,
            "cold_left_ms": self.warmup_ms,
            "seq": self.seq,
            **started_fields,
        }


class _StreamWriter(Protocol):
    """Encodes an event stream."""

    head: bytes

    def encode(self, text: bytes) -> bytes:
        """Return the bytes that carry a part of the stream."""
        ...

    def encode_end(self) -> bytes:
        """Return the bytes that end the stream."""
        ...


class _ChunkedWriter:
    """Encodes a stream in chunks."""

    def __init__(self, http: h11.Connection, headers: list[tuple[bytes, bytes]]) -> None:
        self._http = http
        self.head = http.send(h11.Response(status_code=200, headers=headers)) or b""

    def encode(self, text: bytes) -> bytes:
        return self._http.send(h11.Data(data=text)) or b""

    def encode_end(self) -> bytes:
        return self._http.send(h11.EndOfMessage()) or b""


class _ClosingWriter:
    """Encodes a stream that ends with its connection; h11 would send it in chunks."""

    def __init__(self, headers: list[tuple[bytes, bytes]]) -> None:
        lines = [b"%s: %s" % header for header in [*headers, (b"Connection", b"close")]]
        self.head = b"\r\n".join([b"HTTP/1.1 200 OK", *lines, b"", b""])

    def encode(self, text: bytes) -> bytes:
        return text

    def encode_end(self) -> bytes:
        return b""


def _reset_at_close(client: Any) -> None:
    """Make a later close of a connection send a reset instead of a normal end."""
    client._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def _foreign_answer() -> bytes:
    """Return an answer with the id of another request."""
    lines = [
        b"HTTP/1.1 200 OK",
        names.REQUEST_ID + b": another",
        names.SIGNATURE + b": signature",
        b"Content-Length: 5",
        b"",
        b"wrong",
    ]
    return b"\r\n".join(lines)


def _refusal_without_id() -> bytes:
    lines = [b"HTTP/1.1 503 Busy", names.NOT_EXECUTED + b": 1", b"Content-Length: 0", b"", b""]
    return b"\r\n".join(lines)
