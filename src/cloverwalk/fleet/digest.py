"""What a node tells its peers: a netstring of JSON in one datagram."""

from collections import Counter
from collections.abc import Iterable

import msgspec
import pynetstring
from msgspec import Struct

from cloverwalk.core.errors import CloverwalkError


class DigestError(CloverwalkError):
    """A datagram is not a message of a peer."""

    default_code = "peer_datagram_invalid"


WaitingGroup = tuple[int, int]
"""A due time, in steps of the store's clock, and how many items wait for it."""

Waiting = dict[str, list[WaitingGroup]]
"""Waiting batch items by pool, see ``cloverwalk.jobs.order``."""


class Digest(Struct, tag="d", array_like=True):
    """State of a node in short, without field names: it is sent often and between zones.

    Loads are (online, batch, ms of prompts to read) by replica. ``run`` is the last part of the
    node's incarnation.
    """

    node: str
    run: str
    zone: str
    sequence: int
    configuration_version: int
    directory_version: int
    directory_age_ms: int
    loads: dict[str, tuple[int, int, int]]
    is_leaving: bool = False
    knows_members: int = 0
    waiting: Waiting = {}
    suspects: list[str] = []
    """Replicas that failed at this node lately."""

    @property
    def incarnation(self) -> str:
        """The name under which the process owns jobs."""
        return f"{self.node}.{self.run}"


class YieldSlots(Struct, tag="yield", array_like=True):
    """Asks a node to suspend batch work at a replica."""

    node: str
    replica_id: str
    count: int
    hops: int = 0
    """How often the request may be passed on, for items that the node does not have."""

    is_for_zone: bool = False
    """Whether the items may be at any node of the receiver's zone."""


class ZoneSummary(Struct, tag="zone", array_like=True):
    """The work in flight of all nodes of a zone by replica, and what waits there by pool.

    ``run`` is the last part of the sender's incarnation; ``sequence`` counts within it.
    """

    node: str
    run: str
    zone: str
    sequence: int
    loads: dict[str, tuple[int, int, int]]
    waiting: Waiting = {}


class ConfigurationCopy(Struct, tag="configuration", array_like=True):
    """A whole configuration, in its stored form, for a node that has an older one."""

    node: str
    raw: str


class ReplicaCopy(Struct):
    """One replica's entry in its stored form."""

    replica_id: str
    version: int
    raw: str


class DirectoryCopy(Struct, tag="directory", array_like=True):
    """All replicas as of a version, for a node that can't read the store."""

    node: str
    version: int
    age_ms: int
    replicas: list[ReplicaCopy]


class Introduction(Struct, tag="introduction", array_like=True):
    """Addresses of live nodes, for one that has just started. Empty: please introduce me."""

    node: str
    hosts: list[str]


class StoreReturned(Struct, tag="store_returned", array_like=True):
    """The store has answered the sender again, after an outage."""

    node: str


PeerDatagram = (
    Digest
    | ZoneSummary
    | YieldSlots
    | StoreReturned
    | ConfigurationCopy
    | DirectoryCopy
    | Introduction
)

MAX_GROUPS = 8
"""Groups of one pool that are told; what is due later joins the last of them."""

_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(PeerDatagram)


def first_groups(items_by_step: dict[int, int]) -> list[WaitingGroup]:
    """Return waiting items as they are told, those due first in front.

    >>> first_groups({20: 2, 8: 1})
    [(8, 1), (20, 2)]
    """
    groups = sorted(items_by_step.items())
    told, rest = groups[:MAX_GROUPS], groups[MAX_GROUPS:]
    if rest:
        step, count = told[-1]
        told[-1] = (step, count + sum(count for _, count in rest))
    return told


def merge_waiting(told: Iterable[Waiting]) -> Waiting:
    """Return what waits at several nodes together.

    >>> merge_waiting([{"p": [(8, 1)]}, {"p": [(8, 2), (9, 1)], "q": [(1, 1)]}])
    {'p': [(8, 3), (9, 1)], 'q': [(1, 1)]}
    """
    sums: dict[str, Counter[int]] = {}
    for waiting in told:
        for pool, groups in waiting.items():
            steps = sums.setdefault(pool, Counter())
            for step, items in groups:
                steps[step] += items
    return {pool: first_groups(steps) for pool, steps in sums.items()}


def encode_datagram(message: PeerDatagram) -> bytes:
    """Return a message as it is on the wire.

    >>> encode_datagram(YieldSlots("n1", "r1", 2))
    b'29:["yield","n1","r1",2,0,false],'
    """
    return bytes(pynetstring.encode(_encoder.encode(message)))


def decode_datagram(data: bytes) -> PeerDatagram:
    """Return a message; raise DigestError when it is none."""
    try:
        payloads = pynetstring.decode(data)
        if len(payloads) != 1:
            raise DigestError(f"{len(payloads)} messages in a datagram")
        return _decoder.decode(payloads[0])
    except (pynetstring.ParseError, msgspec.DecodeError, UnicodeDecodeError) as error:
        raise DigestError(str(error)) from error
