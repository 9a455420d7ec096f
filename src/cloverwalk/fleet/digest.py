"""What a node tells its peers: a netstring of JSON in one datagram."""

import msgspec
import pynetstring
from msgspec import Struct

from cloverwalk.core.errors import CloverwalkError


class DigestError(CloverwalkError):
    """A datagram is not a message of a peer."""

    default_code = "peer_datagram_invalid"


class Digest(Struct, tag="digest"):
    """State of a node in short. Loads are (online, batch) by replica."""

    node: str
    incarnation: str
    zone: str
    sequence: int
    configuration_version: int
    directory_version: int
    directory_age_ms: int
    loads: dict[str, tuple[int, int]]
    is_leaving: bool = False
    knows_members: int = 0


class YieldSlots(Struct, tag="yield"):
    """Asks a node to suspend batch work at a replica."""

    node: str
    replica_id: str
    count: int


class ConfigurationCopy(Struct, tag="configuration"):
    """A whole configuration, in its stored form, for a node that has an older one."""

    node: str
    raw: str


class ReplicaCopy(Struct):
    """One replica's entry in its stored form."""

    replica_id: str
    version: int
    raw: str


class DirectoryCopy(Struct, tag="directory"):
    """All replicas as of a version, for a node that can't read the store."""

    node: str
    version: int
    age_ms: int
    replicas: list[ReplicaCopy]


class Introduction(Struct, tag="introduction"):
    """Addresses of live nodes, for one that has just started. Empty: please introduce me."""

    node: str
    hosts: list[str]


PeerDatagram = Digest | YieldSlots | ConfigurationCopy | DirectoryCopy | Introduction

_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(PeerDatagram)


def encode_datagram(message: PeerDatagram) -> bytes:
    """Return a message as it is on the wire.

    >>> encode_datagram(YieldSlots("n1", "r1", 2))
    b'56:{"type":"yield","node":"n1","replica_id":"r1","count":2},'
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
