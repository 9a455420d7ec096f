"""What waits to be sent to one client, while the answer's replica is read on.

A replica cuts an answer off that stays unread for some seconds, so its stream is read however slow
the client is: what the client does not take waits here, up to ``MAX_WAITING_BYTES``, and up to the
limit of the process. Beyond either the client is given up, and the replica's slot is free.
"""

import contextlib
from collections.abc import Callable
from typing import Any

import curio
from curio import socket

from cloverwalk.gateway.errors import ClientGoneError
from cloverwalk.gateway.memory_budget import MAX_WAITING_BYTES, MemoryBudget

CHUNK_BYTES = 65536
SEND_STALL_S = 5.0
"""A client that takes nothing for so long is given up, and the work for it with it."""

UNREAD_S = 2.0
"""A replica stays unread for a full outbox for this long at most: it cuts answers off after some
seconds."""


class SendBuffer:
    """Sends to one client beside the task that serves it."""

    def __init__(self, sock: Any, held: MemoryBudget, clock: Callable[[], float]) -> None:
        self._sock = sock
        self._held = held
        self._clock = clock
        self._waiting = bytearray()
        self._sender: Any = None
        self._is_sending = False
        self._moved = curio.Event()
        self._error: ClientGoneError | None = None
        self._took_at = clock()

    @property
    def waiting_bytes(self) -> int:
        """How much waits for the client."""
        return len(self._waiting)

    @property
    def took_at(self) -> float:
        """When the client last took anything, or something began to wait for it."""
        return self._took_at

    @property
    def is_given_up(self) -> bool:
        """Whether the client was given up because it does not read."""
        return self._error is not None and self._error.code == "client_stalled"

    def put(self, data: bytes) -> bool:
        """Add bytes behind those that wait; False: ``settle`` has to be awaited next."""
        self._raise_error()
        now = self._clock()
        if not self._waiting:
            self._took_at = now
        self._waiting += data
        self._held.note_waiting(self, now)
        self._raise_error()
        return self._is_sending and len(self._waiting) <= MAX_WAITING_BYTES

    def note_sent(self, size: int) -> None:
        """So much was sent past the outbox, since nothing waited in it."""
        self._held.sent_bytes += size

    async def start(self) -> None:
        """Send what waits beside the caller."""
        if self._waiting and not self._is_sending:
            self._is_sending = True
            self._sender = await curio.spawn(self._send_waiting, daemon=True)

    async def settle(self) -> None:
        """Send what waits beside the caller; returns once little enough waits."""
        await self.start()
        if len(self._waiting) <= MAX_WAITING_BYTES:
            self._raise_error()
            return
        try:
            async with curio.timeout_after(UNREAD_S):
                await self._until_at_most(MAX_WAITING_BYTES)
        except curio.TaskTimeout as error:
            self._lose()
            raise ClientGoneError("the client reads too slowly", "client_stalled") from error

    async def drain(self) -> None:
        """Return once the client has taken all; no replica stays unread meanwhile."""
        await self.start()
        await self._until_at_most(0)

    async def close(self) -> None:
        """Drop what waits; the connection is closed by its owner."""
        sender, self._sender = self._sender, None
        if sender is not None:
            await sender.cancel()
        self._waiting.clear()
        self._held.forget(self)

    def give_up(self) -> None:
        """Close the connection and drop what waits: the client reads too slowly."""
        self._error = ClientGoneError("the client does not read", "client_stalled")
        self._waiting.clear()
        # The task that serves the client watches for its end, and stops; the sender as well.
        with contextlib.suppress(OSError):
            # The client may be gone already, which is as good.
            self._sock._socket.shutdown(socket.SHUT_RDWR)

    def _lose(self) -> None:
        """Give this client up, whatever others hold."""
        self._held.forget(self)
        self._held.note_given_up(self, self._clock())
        self.give_up()

    def _raise_error(self) -> None:
        if self._error is not None:
            raise self._error

    async def _until_at_most(self, size: int) -> None:
        while True:
            self._raise_error()
            if len(self._waiting) <= size:
                return
            self._moved.clear()
            await self._moved.wait()

    async def _send_waiting(self) -> None:
        try:
            while self._waiting:
                await self._send_chunk()
        except OSError as error:
            self._error = self._error or ClientGoneError(repr(error))
            self._waiting.clear()
        except curio.TaskTimeout:
            self._lose()
        self._is_sending = False
        self._held.forget(self)
        await self._moved.set()

    async def _send_chunk(self) -> None:
        chunk = bytes(self._waiting[:CHUNK_BYTES])
        async with curio.timeout_after(SEND_STALL_S):
            size = await self._sock.send(chunk)
        del self._waiting[:size]
        self.note_sent(size)
        self._held.note_taken(self)
        self._took_at = self._clock()
        await self._moved.set()
