"""Buffers what a client is slow to read, so that its replica can be read on.

A replica cuts an answer off that stays unread for some seconds, so its stream is read however slow
the client is. Unsent bytes are buffered, up to ``MAX_WAITING_BYTES`` and the limit of the process.
Beyond either limit the client is dropped, and the replica's slot becomes free.
"""

import contextlib
from collections.abc import Callable
from typing import Any

import curio
from curio import socket

from cloverwalk.gateway.errors import ClientGoneError
from cloverwalk.gateway.memory_budget import MAX_WAITING_BYTES, MemoryBudget

CHUNK_BYTES = 65536
SEND_TIMEOUT_S = 5.0
"""A client that reads nothing for this long is dropped, and its work is cancelled."""

MAX_UNREAD_S = 2.0
"""Maximum time for which a replica stays unread because the buffer is full; it cuts answers off
after some seconds."""


class SendBuffer:
    """Sends to one client, in a task beside the one that serves it."""

    def __init__(self, sock: Any, budget: MemoryBudget, clock: Callable[[], float]) -> None:
        self._sock = sock
        self._budget = budget
        self._clock = clock
        self._waiting = bytearray()
        self._sender: Any = None
        self._is_sending = False
        self._progressed = curio.Event()
        self._error: ClientGoneError | None = None
        self._last_read_at = clock()

    @property
    def waiting_bytes(self) -> int:
        """Bytes buffered for the client."""
        return len(self._waiting)

    @property
    def last_read_at(self) -> float:
        """When the client last read anything, or when its buffer began to fill."""
        return self._last_read_at

    @property
    def is_dropped(self) -> bool:
        """Whether the client was dropped because it does not read."""
        return self._error is not None and self._error.code == "client_stalled"

    def put(self, data: bytes) -> bool:
        """Append bytes to the buffer; if False, await ``wait_for_space`` next."""
        self._raise_error()
        now = self._clock()
        if not self._waiting:
            self._last_read_at = now
        self._waiting += data
        self._budget.record_waiting(self, now)
        self._raise_error()
        return self._is_sending and len(self._waiting) <= MAX_WAITING_BYTES

    def record_sent(self, size: int) -> None:
        """Count bytes that were sent directly, while the buffer was empty."""
        self._budget.sent_bytes += size

    async def start(self) -> None:
        """Start to send the buffered bytes in a task."""
        if self._waiting and not self._is_sending:
            self._is_sending = True
            self._sender = await curio.spawn(self._send_waiting, daemon=True)

    async def wait_for_space(self) -> None:
        """Send the buffered bytes in a task; return once the buffer is within its limit."""
        await self.start()
        if len(self._waiting) <= MAX_WAITING_BYTES:
            self._raise_error()
            return
        try:
            async with curio.timeout_after(MAX_UNREAD_S):
                await self._wait_until_at_most(MAX_WAITING_BYTES)
        except curio.TaskTimeout as error:
            self._drop_and_record()
            raise ClientGoneError(
                "the client reads its answer too slowly", "client_stalled"
            ) from error

    async def drain(self) -> None:
        """Return once the client has read everything; no replica is left unread meanwhile."""
        await self.start()
        await self._wait_until_at_most(0)

    async def close(self) -> None:
        """Discard the buffer; the owner of the connection closes it."""
        sender, self._sender = self._sender, None
        if sender is not None:
            await sender.cancel()
        self._waiting.clear()
        self._budget.remove(self)

    def drop(self) -> None:
        """Close the connection and discard the buffer, since the client reads too slowly."""
        self._error = ClientGoneError("the client does not read its answer", "client_stalled")
        self._waiting.clear()
        # The serving task watches for the end of the connection and stops, and so does the sender.
        with contextlib.suppress(OSError):
            # The client may have disconnected already.
            self._sock._socket.shutdown(socket.SHUT_RDWR)

    def _drop_and_record(self) -> None:
        """Drop this client whatever the other clients have buffered."""
        self._budget.remove(self)
        self._budget.record_dropped(self, self._clock())
        self.drop()

    def _raise_error(self) -> None:
        if self._error is not None:
            raise self._error

    async def _wait_until_at_most(self, size: int) -> None:
        while True:
            self._raise_error()
            if len(self._waiting) <= size:
                return
            self._progressed.clear()
            await self._progressed.wait()

    async def _send_waiting(self) -> None:
        try:
            while self._waiting:
                await self._send_chunk()
        except OSError as error:
            self._error = self._error or ClientGoneError(repr(error))
            self._waiting.clear()
        except curio.TaskTimeout:
            self._drop_and_record()
        self._is_sending = False
        self._budget.remove(self)
        await self._progressed.set()

    async def _send_chunk(self) -> None:
        chunk = bytes(self._waiting[:CHUNK_BYTES])
        async with curio.timeout_after(SEND_TIMEOUT_S):
            size = await self._sock.send(chunk)
        del self._waiting[:size]
        self.record_sent(size)
        self._budget.record_read(self)
        self._last_read_at = self._clock()
        await self._progressed.set()
