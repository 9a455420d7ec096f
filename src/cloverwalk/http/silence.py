"""TCP keepalive settings that detect a connection whose peer has stopped responding.

The kernel probes an idle connection, and closes one whose sent bytes are not acknowledged; a read
from it then fails. Otherwise a dead connection would be found only by the next request sent on it,
and a request that must not be repeated would fail.
"""

import socket
from typing import Any

PROBE_IDLE_S = 2
"""Idle time before the first probe; well below the 8 s for which an idle connection to a replica
may be reused. A probe every 2 s costs about 30 bytes a second for each connection."""

PROBE_INTERVAL_S = 1
MAX_UNANSWERED_PROBES = 2
UNACKNOWLEDGED_TIMEOUT_MS = 2500
"""Longer than the retransmission of a packet that was lost twice (after 0.2, 0.4 and 0.8 s)."""


def watch_silence(sock: Any) -> None:
    """Have the kernel close a TCP connection whose peer no longer acknowledges data."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, MAX_UNANSWERED_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)
