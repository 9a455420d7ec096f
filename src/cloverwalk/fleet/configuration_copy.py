"""Encodes the configuration for other nodes; a long one is compressed and sent in parts."""

import enum
import zlib
from collections import Counter
from collections.abc import Iterator

import curio
import msgspec

from cloverwalk.fleet.messages import (
    CompactConfigurationPart,
    ConfigurationCopy,
    ConfigurationPart,
    DatagramError,
    encode_datagram,
)
from cloverwalk.fleet.transport import MAX_DATAGRAM_BYTES
from cloverwalk.gateway.configuration import Configuration, ConfigurationHolder

MAX_PART_BYTES = 40_000
"""Compressed bytes in one part; base64 encoding adds a third, which must fit a datagram."""

MAX_PARTS = 64
MAX_CONFIGURATION_BYTES = 64_000_000
"""Limit on the decompressed size of a received configuration."""

ENTRIES_PER_STEP = 500
"""Routes or tenants that are encoded and compressed without a pause, some milliseconds of work."""

_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(Configuration)


async def compact_parts(configuration: Configuration) -> list[CompactConfigurationPart]:
    """Return the parts of a configuration; other tasks run between the steps of compression."""
    compressor = zlib.compressobj()
    compressed: list[bytes] = []
    for piece in encode_in_pieces(configuration):
        compressed.append(compressor.compress(piece))
        await curio.sleep(0)
    data = b"".join([*compressed, compressor.flush()])
    starts = range(0, len(data), MAX_PART_BYTES)
    return [
        CompactConfigurationPart(
            configuration.version, index, len(starts), data[start : start + MAX_PART_BYTES]
        )
        for index, start in enumerate(starts)
    ]


def encode_in_pieces(configuration: Configuration) -> Iterator[bytes]:
    """Yield the JSON of a configuration in pieces of bounded size."""
    opening = b"["
    for value in msgspec.structs.astuple(configuration):
        yield opening
        opening = b","
        if isinstance(value, tuple):
            yield from _encode_entries(value)
        else:
            yield _encoder.encode(value)
    yield b"]"


def _encode_entries(entries: tuple[object, ...]) -> Iterator[bytes]:
    yield b"["
    for start in range(0, len(entries), ENTRIES_PER_STEP):
        encoded = _encoder.encode(entries[start : start + ENTRIES_PER_STEP])
        yield (b"," if start else b"") + encoded[1:-1]
    yield b"]"


class ConfigurationEncoder:
    """Creates the datagrams of configuration copies; compresses each version only once."""

    def __init__(self, holder: ConfigurationHolder) -> None:
        self._holder = holder
        self._encoded_configuration: Configuration | None = None
        self._is_sent_in_parts = False
        self._parts: list[bytes] = []

    def datagrams(self, now: float) -> list[ConfigurationCopy | ConfigurationPart]:
        """Return the datagrams of the current configuration; none if there is no configuration."""
        current = self._holder.current
        if current is None:
            return []
        self._encode(current)
        age_ms = self._holder.age_ms(now)
        if not self._is_sent_in_parts:
            return [ConfigurationCopy(current, age_ms)]
        count = len(self._parts)
        return [
            ConfigurationPart(current.version, index, count, data, age_ms)
            for index, data in enumerate(self._parts)
        ]

    def _encode(self, current: Configuration) -> None:
        if self._encoded_configuration is current:
            return
        self._encoded_configuration = current
        self._is_sent_in_parts = (
            len(encode_datagram(ConfigurationCopy(current, 0))) > MAX_DATAGRAM_BYTES
        )
        self._parts = []
        if self._is_sent_in_parts:
            data = zlib.compress(_encoder.encode(current))
            self._parts = [
                data[start : start + MAX_PART_BYTES]
                for start in range(0, len(data), MAX_PART_BYTES)
            ]


class PartFault(enum.Enum):
    """Why a part is of no use."""

    DUPLICATE = "duplicate"
    OUTDATED = "outdated"
    NOT_POLLED = "not_polled"
    """It comes from a node that isn't polled."""


class ConfigurationAssembler:
    """Joins the parts of a configuration; parts missing from one copy are taken from the next.

    >>> from cloverwalk.gateway.configuration import ClientLimits
    >>> assembler = ConfigurationAssembler()
    >>> data = zlib.compress(_encoder.encode(Configuration(3, (), {}, ClientLimits())))
    >>> assembler.add(ConfigurationPart(3, 1, 2, data[9:])) is None
    True
    >>> assembler.add(ConfigurationPart(3, 0, 2, data[:9])).version
    3
    """

    def __init__(self) -> None:
        self._version = -1
        self._count = 0
        self._parts: dict[int, bytes] = {}
        self.ignored: Counter[PartFault] = Counter()
        """Number of parts that were of no use."""

        self.corrupted = 0
        """Versions whose joined parts could not be decoded."""

    def add(self, part: ConfigurationPart) -> Configuration | None:
        """Return the configuration once all of its parts have arrived.

        Raise DatagramError if the part is invalid or the joined parts can't be decoded.
        """
        data = self.join(part)
        return None if data is None else self.decode(data, part.version)

    def fault(self, part: ConfigurationPart, own_version: int) -> PartFault | None:
        """Return and count why a part is of no use to a node; None if it is."""
        fault = None
        if part.version <= own_version or part.version < self._version:
            fault = PartFault.OUTDATED
        elif part.version == self._version and part.part in self._parts:
            fault = PartFault.DUPLICATE
        if fault is not None:
            self.ignored[fault] += 1
        return fault

    def join(self, part: ConfigurationPart) -> bytes | None:
        """Return the joined parts once all have arrived; raise DatagramError if one is invalid."""
        if not 0 <= part.part < part.parts <= MAX_PARTS:
            raise DatagramError(
                f"invalid configuration part: index {part.part}, {part.parts} parts"
            )
        if part.version < self._version:
            return None
        if part.version > self._version:
            self._version, self._count, self._parts = part.version, part.parts, {}
        if part.parts != self._count:
            message = f"{part.parts} parts of version {part.version} instead of {self._count}"
            self._version = -1
            raise DatagramError(f"invalid configuration part: {message}")
        self._parts[part.part] = part.data
        if len(self._parts) < part.parts:
            return None
        parts, self._parts = self._parts, {}
        return b"".join(parts[index] for index in sorted(parts))

    def decode(self, data: bytes, version: int) -> Configuration:
        """Decode joined parts; raise DatagramError if they are corrupted."""
        try:
            configuration = _decode(data)
            if configuration.version != version:
                raise DatagramError(f"parts of {version} contain {configuration.version}")
        except DatagramError:
            self.corrupted += 1
            self._version = -1
            raise
        return configuration

    def missing(self, version: int, count: int) -> list[int]:
        """Return the indexes of the parts of a version that have not arrived."""
        known = self._parts if version == self._version else {}
        return [index for index in range(count) if index not in known]


def _decode(data: bytes) -> Configuration:
    decompressor = zlib.decompressobj()
    try:
        encoded = decompressor.decompress(data, MAX_CONFIGURATION_BYTES)
        if not decompressor.eof:
            raise DatagramError("compressed configuration is truncated or too long")
        return _decoder.decode(encoded)
    except (zlib.error, msgspec.DecodeError, UnicodeDecodeError) as error:
        raise DatagramError(f"invalid compressed configuration: {error}") from error
