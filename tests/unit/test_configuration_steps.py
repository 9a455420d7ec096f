"""Long configurations are decoded in short steps, completely or not at all."""

import json
import zlib
from typing import Any

import msgspec
import pytest

from cloverwalk.gateway.configuration import Configuration
from cloverwalk.gateway.configuration_encoding import decode_copy, encode_copy
from cloverwalk.gateway.steps import run_steps
from cloverwalk.platform.documents import (
    ENTRIES_PER_STEP,
    configuration_steps,
    decode_configuration,
)

ROUTES = 10 * ENTRIES_PER_STEP


def document(routes: int = ROUTES, tenants: int = 3) -> dict[str, Any]:
    return {
        "version": 9,
        "routes": [
            {
                "name": f"r{number}",
                "host": "H.x",
                "path_prefix": f"/r{number}/",
                "route_kind": "safe",
                "service": "s",
            }
            for number in range(routes)
        ],
        "services": [{"name": "s"}],
        "tenants": [
            {"name": f"t{number}", "api_keys": [f"k{number}"]} for number in range(tenants)
        ],
    }


def encoded(wire: dict[str, Any]) -> bytes:
    return json.dumps(wire).encode()


# Guards against a step that decodes a long list as a whole and so blocks the event loop.
@pytest.mark.parametrize(("routes", "tenants"), [(ROUTES, 0), (0, ROUTES)])
def test_stored_configuration_is_decoded_in_steps(routes: int, tenants: int) -> None:
    steps = configuration_steps(encoded(document(routes, tenants)))
    assert sum(1 for _ in steps) > ROUTES / ENTRIES_PER_STEP


# Guards against a copy that differs from the configuration, or is decoded in one step.
def test_copy_is_decoded_in_steps_to_the_same_configuration() -> None:
    original = decode_configuration(encoded(document()))
    data = run_steps(encode_copy(original))
    assert run_steps(decode_copy(data)) == original
    assert sum(1 for _ in decode_copy(data)) > 4
    assert sum(1 for _ in encode_copy(original)) > 4


# Guards against an encoding of copies that differs from that of earlier builds.
def test_copies_are_compressed_json_of_the_configuration() -> None:
    original = decode_configuration(encoded(document(3)))
    data = run_steps(encode_copy(original))
    assert msgspec.json.decode(zlib.decompress(data), type=Configuration) == original
    assert run_steps(decode_copy(zlib.compress(msgspec.json.encode(original)))) == original


# Guards against accepting a copy that is truncated, corrupted or of another type.
@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"no zlib",
        run_steps(encode_copy(decode_configuration(encoded(document(50)))))[:-9],
        zlib.compress(b'[9, ["no route"], {}, []]'),
        zlib.compress(b'[9, [["r", "h"]], {}, []]'),
        zlib.compress(b"\xff"),
    ],
)
def test_invalid_copy_is_refused(data: bytes) -> None:
    with pytest.raises(ValueError, match="configuration"):
        run_steps(decode_copy(data))


# Guards against an unchecked entry at the end of a long list, or an error without its position.
@pytest.mark.parametrize(
    ("name", "value"), [("host", 7), ("path_prefix", None), ("target_latency_ms", "soon")]
)
def test_invalid_route_at_the_end_is_refused_by_its_position(name: str, value: object) -> None:
    wire = document()
    wire["routes"][-1][name] = value
    with pytest.raises(ValueError, match=rf"routes\[{ROUTES - 1}\]"):
        decode_configuration(encoded(wire))


# Guards against missing a duplicate tenant in another step of a long list.
def test_tenant_that_appears_twice_is_refused() -> None:
    wire = document(0, ROUTES)
    wire["tenants"][-1]["name"] = "t0"
    with pytest.raises(ValueError, match=rf"tenants\[{ROUTES - 1}\].name: 't0' appears twice"):
        decode_configuration(encoded(wire))
