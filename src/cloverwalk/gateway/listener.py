"""Accepts connections on a listening socket, also while the process lacks resources for them."""

import errno
import os
from collections.abc import Callable
from typing import Any

import curio

RETRY_INTERVAL_S = 0.05

EXHAUSTED = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
"""Errors of ``accept`` that end when the process or the machine has resources again."""

ABORTED = frozenset({errno.ECONNABORTED, errno.EPROTO, errno.ECONNRESET})
"""Errors that concern only the connection which was to be accepted."""


class Listener:
    """A listening socket that stays open when a connection can't be accepted."""

    def __init__(self, sock: Any) -> None:
        self._sock = sock
        self.is_blocked = False
        """Whether connections can't be accepted at present."""

        self.on_change: Callable[[OSError | None], None] = lambda error: None
        """Called with the error when connections can't be accepted, and with None when they can
        again."""

    async def accept(self) -> Any:
        """Return the next connection; raise OSError if the socket itself is of no use."""
        while True:
            try:
                client, _ = await self._sock.accept()
            except OSError as error:
                if error.errno in EXHAUSTED:
                    await self._wait_until_unblocked(error)
                elif error.errno not in ABORTED:
                    raise
            else:
                return client

    async def _wait_until_unblocked(self, error: OSError) -> None:
        self.is_blocked = True
        self.on_change(error)
        await curio.sleep(RETRY_INTERVAL_S)
        while not self._has_descriptors():
            await curio.sleep(RETRY_INTERVAL_S)
        self.is_blocked = False
        self.on_change(None)

    def _has_descriptors(self) -> bool:
        # Accepting would wait for a client before it shows whether there are descriptors again.
        try:
            os.close(os.dup(self._sock.fileno()))
        except OSError as error:
            if error.errno not in EXHAUSTED:
                raise
            return False
        return True
