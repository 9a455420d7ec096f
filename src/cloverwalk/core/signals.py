"""An event that signal handlers set."""

import socket

from curio.io import Socket


class SignalEvent:
    """An event for one waiting task, which a signal handler on its thread may set at any time.

    A handler runs between two instructions of the thread that it interrupts. If it takes a lock
    that this thread holds just then, as that of curio's ``UniversalEvent``, the thread waits for
    itself for good. So the handler only sends a byte, which the kernel of the waiting task sees.
    """

    def __init__(self) -> None:
        self._socket, self._sender = socket.socketpair()
        self._receiver = Socket(self._socket)
        self._sender.setblocking(False)

    def set(self) -> None:
        """Set the event. Takes no lock; sets that are not waited for in between count once."""
        try:
            self._sender.send(b"\0")
        except BlockingIOError:
            # The buffer is full of earlier sets, so the event is set already.
            return

    async def wait(self) -> None:
        """Return once the event has been set since the last call."""
        await self._receiver.recv(65_536)

    def close(self) -> None:
        """Release the sockets; nothing may use the event any more."""
        self._sender.close()
        self._socket.close()
