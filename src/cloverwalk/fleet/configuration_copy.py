"""Encodes the configuration for other nodes; a long one is compressed and sent in parts."""

import zlib

import msgspec

from cloverwalk.fleet.messages import (
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

_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(Configuration)


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
        self._parts: dict[int, bytes] = {}

    def add(self, part: ConfigurationPart) -> Configuration | None:
        """Return the configuration once all of its parts have arrived.

        Raise DatagramError if the part is invalid or the joined parts can't be decoded.
        """
        if not 0 <= part.part < part.parts <= MAX_PARTS:
            raise DatagramError(
                f"invalid configuration part: index {part.part}, {part.parts} parts"
            )
        if part.version < self._version:
            return None
        if part.version > self._version:
            self._version, self._parts = part.version, {}
        self._parts[part.part] = part.data
        if len(self._parts) < part.parts:
            return None
        parts, self._parts = self._parts, {}
        return _decode(b"".join(parts[index] for index in sorted(parts)))


def _decode(data: bytes) -> Configuration:
    decompressor = zlib.decompressobj()
    try:
        encoded = decompressor.decompress(data, MAX_CONFIGURATION_BYTES)
        if not decompressor.eof:
            raise DatagramError("compressed configuration is truncated or too long")
        return _decoder.decode(encoded)
    except (zlib.error, msgspec.DecodeError, UnicodeDecodeError) as error:
        raise DatagramError(f"invalid compressed configuration: {error}") from error
