"""Messages and stored values of earlier builds keep their meaning in this build."""

from typing import Any

import pytest
from builds import record
from builds.earlier import EARLIER_BUILDS, read_samples
from msgspec import Struct

from cloverwalk.fleet.messages import (
    MESSAGE_KINDS,
    DatagramError,
    QuotaTokenUse,
    decode_datagram,
)
from cloverwalk.gateway.configuration import RouteKind
from cloverwalk.gateway.replicas import Replica, ReplicaDirectory
from cloverwalk.jobs.records import ItemState
from cloverwalk.scheduling.admission import PlacementVerdict


def compare(value: Any, recorded: Any, path: str) -> None:
    """Compare a decoded value with the recorded one; fields added later must be empty."""
    if isinstance(value, Struct):
        for name in value.__struct_fields__:
            part = getattr(value, name)
            if name in recorded:
                compare(part, recorded[name], f"{path}.{name}")
            else:
                assert not part, f"{path}.{name} is {part!r} in a message that lacks it"
        assert set(recorded) <= set(value.__struct_fields__), f"{path} lacks fields"
    elif isinstance(value, (list, tuple)):
        assert len(value) == len(recorded), path
        for index, (part, expected) in enumerate(zip(value, recorded, strict=True)):
            compare(part, expected, f"{path}[{index}]")
    elif isinstance(value, dict):
        assert set(value) == set(recorded), path
        for key, part in value.items():
            compare(part, recorded[key], f"{path}[{key}]")
    else:
        assert record.to_json_value(value) == recorded, path


# Guards against a field of a message or row that was moved, removed or redefined.
@pytest.mark.parametrize("commit", EARLIER_BUILDS)
def test_samples_of_earlier_builds_mean_the_same(commit: str) -> None:
    _, samples = read_samples(commit)
    assert {sample["variant"] for sample in samples} == {"defaults", "full0", "full1", "full2"}
    for sample in samples:
        compare(record.decode(sample), sample["fields"], f"{commit} {sample['kind']}")


# Guards against a row that is stored under another key than in an earlier build.
@pytest.mark.parametrize("commit", EARLIER_BUILDS)
def test_keys_of_rows_are_the_same(commit: str) -> None:
    assert record.row_keys() == read_samples(commit)[0]["keys"]


# Guards against nodes of two builds that keep sending each other their replica lists.
@pytest.mark.parametrize("commit", EARLIER_BUILDS)
@pytest.mark.parametrize("warmup_ms", [0, 2500])
def test_fingerprint_does_not_depend_on_warmups(commit: str, warmup_ms: int) -> None:
    for started_ms, fingerprint in read_samples(commit)[0]["fingerprints"].items():
        directory = ReplicaDirectory()
        start = int(started_ms)
        replica = Replica("r1", "s", "10.0.0.1", 80, "z1", 8, False, 5, start, warmup_ms)
        directory.put(replica)
        assert directory.fingerprint == fingerprint


# Guards against samples that lack an enumeration member, and so don't test its decoding.
@pytest.mark.parametrize("commit", EARLIER_BUILDS)
def test_samples_contain_each_value_of_each_enumeration(commit: str) -> None:
    text = "".join(sample["data"] for sample in read_samples(commit)[1])
    for enumeration in (PlacementVerdict, QuotaTokenUse, RouteKind, ItemState):
        for member in enumeration:
            assert f'"{member.value}"' in text, member


# Guards against the removal of a kind of message or row that earlier builds still use.
@pytest.mark.parametrize("commit", EARLIER_BUILDS)
def test_all_recorded_kinds_are_still_known(commit: str) -> None:
    kinds = {sample["kind"] for sample in read_samples(commit)[1]}
    stored = {f"stored:{name}" for name in record.STORED_TYPES}
    assert kinds <= MESSAGE_KINDS | stored
    assert stored <= kinds


# Guards against a crash on truncated messages and on messages of a newer build.
def test_damaged_and_unknown_messages_are_refused() -> None:
    _, samples = read_samples(EARLIER_BUILDS[0])
    datagrams = [s["data"].encode() for s in samples if not s["kind"].startswith("stored:")]
    damaged = [data[: len(data) // 2] for data in datagrams]
    damaged += [data.replace(b"[", b"{", 1) for data in datagrams]
    damaged += [b"", b"0:,", b"2:[],", b"3:[1],", b'15:["not_yet",1,2],', b"4:null,", b"\xff"]
    for data in damaged:
        with pytest.raises(DatagramError):
            decode_datagram(data)
