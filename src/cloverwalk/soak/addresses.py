"""Addresses of a soak: a loopback network of its own, so that soaks run side by side."""

import contextlib
import os
import socket

import attrs

from cloverwalk.soak.errors import SoakStartError

FIRST_PORT = 20_000
"""Below the ports that outgoing connections take."""

PORTS = 6
"""Client, ready, control and metrics addresses of a node, and the two proxies before it."""

MOST_TRIES = 200


@attrs.frozen
class SoakNetwork:
    """Hosts of one soak, all with the same ports."""

    prefix: str
    port: int

    def node(self, number: int) -> str:
        """Return the host of a node."""
        return f"{self.prefix}.{number + 1}"

    def replica(self, number: int) -> str:
        """Return the host of a replica."""
        return f"{self.prefix}.{number + 101}"

    @property
    def store(self) -> str:
        """The host of the store."""
        return f"{self.prefix}.201"


def find_network() -> SoakNetwork:
    """Return a network that nobody uses; it follows from the id of this process."""
    pid = os.getpid()
    prefix = f"127.{16 + pid % 200}.{pid // 200 % 250}"
    for number in range(MOST_TRIES):
        network = SoakNetwork(prefix, FIRST_PORT + PORTS * number)
        if _is_free(network):
            return network
    raise SoakStartError(f"no free ports at {prefix}.1")


def _is_free(network: SoakNetwork) -> bool:
    for port in range(network.port, network.port + PORTS):
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with contextlib.closing(socket.socket(socket.AF_INET, kind)) as sock:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    sock.bind((network.node(0), port))
                except OSError:
                    return False
    return True
