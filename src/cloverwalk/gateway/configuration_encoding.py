"""Encodes and decodes, in steps, the compressed JSON of configurations sent between nodes."""

import zlib
from typing import TypeVar

import msgspec
from msgspec import Raw, Struct

from cloverwalk.core.decoding import InvalidContentError, decode_content
from cloverwalk.gateway.configuration import ClientLimits, Configuration, Route, Service
from cloverwalk.gateway.steps import Steps
from cloverwalk.tenants.directory import Tenant

Entry = TypeVar("Entry")

MAX_CONFIGURATION_BYTES = 64_000_000
"""Limit on the decompressed size of a received configuration."""

BYTES_PER_STEP = 262_144
ENTRIES_PER_STEP = 500
"""Routes or tenants that are encoded or decoded in one step."""


class _Envelope(Struct, array_like=True):
    """The fields of ``Configuration``, with routes and tenants still encoded."""

    version: int
    routes: list[Raw]
    services: dict[str, Service]
    limits: ClientLimits
    tenants: list[Raw] | None = None
    format: int = 0


_encoder = msgspec.json.Encoder()
_envelope_decoder = msgspec.json.Decoder(_Envelope)
_route_decoder = msgspec.json.Decoder(Route)
_tenant_decoder = msgspec.json.Decoder(Tenant)


def encode_copy(configuration: Configuration) -> Steps[bytes]:
    """Return a configuration as compressed JSON.

    >>> from cloverwalk.gateway.steps import run_steps
    >>> configuration = Configuration(3, (), {}, ClientLimits(), format=1)
    >>> run_steps(decode_copy(run_steps(encode_copy(configuration)))) == configuration
    True
    """
    routes: list[Raw] = []
    for start in range(0, len(configuration.routes), ENTRIES_PER_STEP):
        part = configuration.routes[start : start + ENTRIES_PER_STEP]
        routes += [Raw(_encoder.encode(route)) for route in part]
        yield
    tenants = configuration.tenants
    envelope = _Envelope(
        configuration.version,
        routes,
        configuration.services,
        configuration.limits,
        None if tenants is None else [Raw(_encoder.encode(tenant)) for tenant in tenants],
        configuration.format,
    )
    yield
    encoded = _encoder.encode(envelope)
    compressor = zlib.compressobj()
    parts = []
    for start in range(0, len(encoded), BYTES_PER_STEP):
        yield
        parts.append(compressor.compress(encoded[start : start + BYTES_PER_STEP]))
    parts.append(compressor.flush())
    return b"".join(parts)


def decode_copy(data: bytes) -> Steps[Configuration]:
    """Return a configuration with its index from compressed JSON; raise ValueError if invalid."""
    encoded = yield from _decompress(data)
    try:
        envelope = decode_content(_envelope_decoder, encoded)
        yield
        routes = yield from _decode_entries(_route_decoder, envelope.routes)
        tenants = None
        if envelope.tenants is not None:
            tenants = yield from _decode_entries(_tenant_decoder, envelope.tenants)
    except InvalidContentError as error:
        raise ValueError(f"invalid configuration copy: {error}") from error
    configuration = Configuration(
        envelope.version, routes, envelope.services, envelope.limits, tenants, envelope.format
    )
    yield from configuration.build_index()
    return configuration


def _decompress(data: bytes) -> Steps[bytes]:
    decompressor = zlib.decompressobj()
    parts: list[bytes] = []
    size = 0
    try:
        while not decompressor.eof:
            part = decompressor.decompress(data, BYTES_PER_STEP)
            data = decompressor.unconsumed_tail
            size += len(part)
            if size > MAX_CONFIGURATION_BYTES or not (part or decompressor.eof):
                raise ValueError("compressed configuration is truncated or too long")
            parts.append(part)
            yield
    except zlib.error as error:
        raise ValueError(f"invalid compressed configuration: {error}") from error
    return b"".join(parts)


def _decode_entries(
    decoder: "msgspec.json.Decoder[Entry]", entries: list[Raw]
) -> Steps[tuple[Entry, ...]]:
    decoded: list[Entry] = []
    for start in range(0, len(entries), ENTRIES_PER_STEP):
        part = entries[start : start + ENTRIES_PER_STEP]
        decoded += [decode_content(decoder, raw) for raw in part]
        yield
    return tuple(decoded)
