"""What a node tells its peers: a netstring of JSON in one datagram."""

import msgspec
import pynetstring
from msgspec import Struct

from cloverwalk.core.errors import CloverwalkError


class DigestError(CloverwalkError):
    """A datagram is not a message of a peer."""

    default_code = "peer_datagram_invalid"


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
    waiting: dict[str, list[tuple[int, int]]] = {}
    """Waiting batch items by pool: due time and number; see ``cloverwalk.jobs.order``."""

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
    Digest | YieldSlots | StoreReturned | ConfigurationCopy | DirectoryCopy | Introduction
)

_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(PeerDatagram)


def encode_datagram(message: PeerDatagram) -> bytes:
    """Return a message as it is on the wire.

    >>> encode_datagram(YieldSlots("n1", "r1", 2))
    b'23:["yield","n1","r1",2,0],'
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
