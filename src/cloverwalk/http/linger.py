"""How a TCP connection ends when it is closed, or when its process ends."""

import struct
from typing import Any

import h11
from curio import socket

RESET = struct.pack("ii", 1, 0)
NORMAL_END = struct.pack("ii", 0, 0)

FIRST_VERSION_WITH_CHUNKS = b"1.1"


def reset_at_close(sock: Any, is_on: bool) -> None:
    """Let a connection end with a reset, or normally again. Unsent bytes are lost by a reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET if is_on else NORMAL_END)


def client_reads_chunks(http: h11.Connection) -> bool:
    """Whether a client can read an answer in chunks.

    For other clients an answer without a length ends with its connection, so a part of it looks
    whole unless the connection ends with a reset.
    """
    version = http.their_http_version
    return version is not None and version >= FIRST_VERSION_WITH_CHUNKS
