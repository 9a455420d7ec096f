"""Encoding and joining of configurations that are too long for one datagram."""

import zlib
from random import Random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverwalk.fleet.configuration_copy import (
    ConfigurationAssembler,
    ConfigurationEncoder,
)
from cloverwalk.fleet.messages import ConfigurationPart, DatagramError
from cloverwalk.gateway.configuration import (
    ClientLimits,
    Configuration,
    ConfigurationHolder,
    Route,
    RouteKind,
    RoutePart,
)
from cloverwalk.gateway.configuration_encoding import ENTRIES_PER_STEP, encode_copy
from cloverwalk.gateway.steps import run_steps
from cloverwalk.tenants.directory import Tenant

ROUTES = 4000


def long_configuration_parts(version: int) -> list[ConfigurationPart]:
    """Return the parts of a configuration with random route names, which compress badly."""
    random = Random(version)
    parts = (RoutePart("model", 1.0),)
    routes = tuple(
        Route(f"{random.getrandbits(200):x}", "h", f"/{n}/", RouteKind.SAFE, parts, 1.0, 1.0, 1)
        for n in range(ROUTES)
    )
    holder = ConfigurationHolder()
    holder.update_if_newer(Configuration(version, routes, {}, ClientLimits()))
    datagrams = ConfigurationEncoder(holder).datagrams(0.0)
    return [datagram for datagram in datagrams if isinstance(datagram, ConfigurationPart)]


# Guards against joining parts of two versions and against applying an incomplete configuration.
@given(st.permutations(range(8)), st.sets(st.integers(0, 7), max_size=2))
def test_parts_of_configuration_are_joined_only_if_complete(
    order: list[int], lost: set[int]
) -> None:
    datagrams = [*long_configuration_parts(2), *long_configuration_parts(3)]
    assert len(datagrams) == 8
    assembler = ConfigurationAssembler()
    joined = [assembler.add(datagrams[index]) for index in order if index not in lost]
    versions = [configuration.version for configuration in joined if configuration is not None]
    newest_is_complete = not lost & {4, 5, 6, 7}
    assert (versions[-1:] == [3]) == newest_is_complete
    assert versions == sorted(set(versions))


# Guards against a copy that differs from the configuration because it is encoded in steps.
@pytest.mark.parametrize("count", [0, 1, ENTRIES_PER_STEP, 2 * ENTRIES_PER_STEP + 1])
def test_copy_encoded_in_steps_is_the_encoded_configuration(count: int) -> None:
    parts = (RoutePart("model", 1.0),)
    routes = tuple(
        Route(f"r{n}", "h", f"/{n}/", RouteKind.SAFE, parts, 1.0, 1.0, 1) for n in range(count)
    )
    for tenants in (None, (), (Tenant("t", ("digest",)),)):
        current = Configuration(3, routes, {}, ClientLimits(), tenants)
        encoded = zlib.decompress(run_steps(encode_copy(current)))
        assert encoded == msgspec.json.encode(current)


# Guards against accepting invalid parts and compressed data that can't be decoded.
@pytest.mark.parametrize(
    "part",
    [
        ConfigurationPart(1, 1, 1, b""),
        ConfigurationPart(1, -1, 1, b""),
        ConfigurationPart(1, 0, 65, b""),
        ConfigurationPart(1, 0, 1, b"not compressed"),
        ConfigurationPart(1, 0, 1, zlib.compress(b"[1]")),
        ConfigurationPart(1, 0, 1, zlib.compress(b"[]")[:-3]),
    ],
)
def test_invalid_part_of_configuration_is_rejected(part: ConfigurationPart) -> None:
    with pytest.raises(DatagramError):
        ConfigurationAssembler().add(part)
