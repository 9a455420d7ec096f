"""Loopback addresses of a soak; each soak has its own network, so that several can run at once."""

import contextlib
import os
import socket

import attrs

from cloverwalk.soak.errors import SoakStartError

FIRST_PORT = 20_000
"""Below the ephemeral port range of outgoing connections."""

PORTS_PER_NODE = 6
"""Client, readiness, control and metrics ports of a node, and the ports of its two proxies."""

MAX_TRIES = 200


@attrs.frozen
class SoakNetwork:
    """Hosts of one soak; all use the same ports, of which ``port`` is the first."""

    prefix: str
    port: int

    def node_host(self, number: int) -> str:
        """Return the host of a node."""
        return f"{self.prefix}.{number + 1}"

    def replica_host(self, number: int) -> str:
        """Return the host of a replica."""
        return f"{self.prefix}.{number + 101}"

    @property
    def store_host(self) -> str:
        """The host of the store."""
        return f"{self.prefix}.201"


def find_network() -> SoakNetwork:
    """Return a network with free ports; its prefix is derived from the id of this process."""
    pid = os.getpid()
    prefix = f"127.{16 + pid % 200}.{pid // 200 % 250}"
    for number in range(MAX_TRIES):
        network = SoakNetwork(prefix, FIRST_PORT + PORTS_PER_NODE * number)
        if _is_free(network):
            return network
    raise SoakStartError(f"no free port range found on {prefix}.1")


def _is_free(network: SoakNetwork) -> bool:
    for port in range(network.port, network.port + PORTS_PER_NODE):
        for socket_type in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with contextlib.closing(socket.socket(socket.AF_INET, socket_type)) as sock:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    sock.bind((network.node_host(0), port))
                except OSError:
                    return False
    return True
