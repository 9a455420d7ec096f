"""Who hears what in a fleet that is too large for digests from everyone to everyone.

Up to ``MAX_PEERS`` peers get every digest. In a larger fleet a node's digests go to its own zone,
and to a few others for what is not urgent. One node of each zone, the relay, tells all other zones
the sum of its zone's work by replica and what waits there, so that every node knows all work in
flight within two hops.
"""

from collections.abc import Iterable
from random import Random

from msgspec import Struct

from cloverwalk.core.hashing import rendezvous_owner

MAX_PEERS = 32
"""Peers that are told everything directly. A digest has some 250 bytes and goes out 30 times a
second at the most: 32 peers get 240 KB/s from a busy node, more than that is too much for a link of
15 Mbit/s."""

FAR_SAMPLE = 8
"""Nodes of other zones that get a digest each time, in a large fleet."""


class ZoneMap:
    """The known hosts and their zones.

    >>> hosts = ZoneMap("10.0.0.1", "z1")
    >>> hosts.add("10.0.0.2", "z1"), hosts.add("10.0.1.1", "z2"), hosts.add("10.0.2.1")
    (True, True, True)
    >>> hosts.near(), hosts.far()
    (['10.0.0.2', '10.0.2.1'], ['10.0.1.1'])
    """

    def __init__(self, own_host: str, own_zone: str) -> None:
        self._own_host = own_host
        self._own_zone = own_zone
        self._zone_by_host: dict[str, str] = {}

    def __len__(self) -> int:
        return len(self._zone_by_host)

    def add(self, host: str, zone: str = "") -> bool:
        """A node is at this host, in this zone where that is known; return whether it is news."""
        if host == self._own_host:
            return False
        is_new = host not in self._zone_by_host
        if is_new or zone:
            self._zone_by_host[host] = zone
        return is_new

    @property
    def is_large(self) -> bool:
        """Whether there are too many nodes for digests from everyone to everyone."""
        return len(self._zone_by_host) > MAX_PEERS

    def all(self) -> list[str]:
        """Return every host, sorted."""
        return sorted(self._zone_by_host)

    def near(self) -> list[str]:
        """Return the hosts of the own zone, and those whose zone is not known."""
        own = ("", self._own_zone)
        return sorted(host for host, zone in self._zone_by_host.items() if zone in own)

    def far(self) -> list[str]:
        """Return the hosts of other zones."""
        own = ("", self._own_zone)
        return sorted(host for host, zone in self._zone_by_host.items() if zone not in own)

    def audience(self, is_for_all: bool, random: Random) -> list[str]:
        """Return the hosts that get a digest; all zones, or the own one."""
        if not is_for_all:
            return self.near()
        far = self.far()
        if self.is_large and len(far) > FAR_SAMPLE:
            far = random.sample(far, FAR_SAMPLE)
        return [*self.near(), *far]


def relay_of(zone: str, nodes: Iterable[str]) -> str | None:
    """Return the node of a zone that speaks for it to the others."""
    return rendezvous_owner(f"relay/{zone}", nodes)


def zone_name(zone: str) -> str:
    """Return the name under which a zone's sum stands among the peers' loads.

    >>> zone_name("z1")
    'zone:z1'
    """
    return f"zone:{zone}"


class HeardSummary(Struct):
    """The last sum that was heard of a zone."""

    zone: str
    relay: str
    run: str
    host: str
    sequence: int
    heard_at: float
    waiting: dict[str, list[tuple[int, int]]]
