"""Encodes the configuration for other nodes; a long one is compressed and sent in parts."""

import enum
import zlib
from collections import Counter

import msgspec

from cloverwalk.fleet.datagrams import MAX_DATAGRAM_BYTES
from cloverwalk.fleet.messages import (
    CompactConfigurationPart,
    ConfigurationCopy,
    ConfigurationPart,
    DatagramError,
    encode_datagram,
)
from cloverwalk.gateway.configuration import Configuration, ConfigurationHolder
from cloverwalk.gateway.configuration_encoding import decode_copy, encode_copy
from cloverwalk.gateway.steps import Steps, run_in_steps, run_steps

MAX_PART_BYTES = 40_000
"""Compressed bytes in one part; base64 encoding adds a third, which must fit a datagram."""

MAX_PARTS = 64
_encoder = msgspec.json.Encoder()


async def compact_parts(configuration: Configuration) -> list[CompactConfigurationPart]:
    """Compress a configuration and split it into parts; other tasks run between the steps."""
    data = await run_in_steps(encode_copy(configuration))
    starts = range(0, len(data), MAX_PART_BYTES)
    return [
        CompactConfigurationPart(
            configuration.version, index, len(starts), data[start : start + MAX_PART_BYTES]
        )
        for index, start in enumerate(starts)
    ]


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


class IgnoreReason(enum.Enum):
    """Why a received part is ignored."""

    DUPLICATE = "duplicate"
    OUTDATED = "outdated"
    NOT_POLLED = "not_polled"
    """The sender is not a node that this one polls."""


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
        self.ignored: Counter[IgnoreReason] = Counter()
        """Number of ignored parts by reason."""

        self.corrupted = 0
        """Number of times that joined parts could not be decoded."""

    def add(self, part: ConfigurationPart) -> Configuration | None:
        """Return the configuration once all of its parts have arrived.

        Raise DatagramError if the part is invalid or the joined parts can't be decoded.
        """
        data = self.join(part)
        return None if data is None else self.decode(data, part.version)

    def reason_to_ignore(self, part: ConfigurationPart, own_version: int) -> IgnoreReason | None:
        """Return why a part is to be ignored, and count it; None if the part is needed."""
        reason = None
        if part.version <= own_version or part.version < self._version:
            reason = IgnoreReason.OUTDATED
        elif part.version == self._version and part.part in self._parts:
            reason = IgnoreReason.DUPLICATE
        if reason is not None:
            self.ignored[reason] += 1
        return reason

    def join(self, part: ConfigurationPart) -> bytes | None:
        """Return the joined data once all parts have arrived.

        Raise DatagramError if the part is invalid.
        """
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
        return run_steps(self._decode(data, version))

    async def decode_in_steps(self, data: bytes, version: int) -> Configuration:
        """Like ``decode``, but other tasks run between the steps."""
        return await run_in_steps(self._decode(data, version))

    def _decode(self, data: bytes, version: int) -> Steps[Configuration]:
        try:
            configuration = yield from decode_copy(data)
            if configuration.version != version:
                raise ValueError(f"parts of {version} contain {configuration.version}")
        except ValueError as error:
            self.corrupted += 1
            self._version = -1
            raise DatagramError(str(error)) from error
        return configuration

    def missing(self, version: int, count: int) -> list[int]:
        """Return the indexes of the parts of a version that have not arrived."""
        known = self._parts if version == self._version else {}
        return [index for index in range(count) if index not in known]
