"""Earlier builds decode what this build sends and stores."""

import json
from pathlib import Path
from typing import Any

import pytest
from builds import record
from builds.earlier import EARLIER_BUILDS, ROOT, extract_source, run_record
from fleet_world import route

from cloverwalk.fleet.messages import CrashCases, Datagram, DirectoryUpdate, encode_datagram
from cloverwalk.gateway.crash_ledger import CrashRecord
from cloverwalk.gateway.replicas import Replica

Build = tuple[str, Path]
SETTINGS = """
node = "front-z1-0"
ip = "127.0.0.1"
zone = "z1"
region = "r1"
ephemeral_ports = [7002, 7003]
[zones]
z1 = "r1"
z2 = "r2"
[listen]
front = "127.0.0.1:7000"
ready = "127.0.0.1:7001"
[platform]
address = "127.0.0.1:7004"
[bounds]
cold_overshoot = 1.5
cold_slack = 5
evacuate_ms = 5000
"""
ENTRY = {
    "service": "model",
    "address": "10.0.0.1:80",
    "zone": "z1",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "seq": 1,
}


@pytest.fixture(scope="module", params=EARLIER_BUILDS)
def build(request: pytest.FixtureRequest, tmp_path_factory: pytest.TempPathFactory) -> Build:
    return request.param, extract_source(request.param, tmp_path_factory.mktemp("builds"))


def assert_contains(value: Any, part: Any, path: str) -> None:
    """Check that all named fields of ``part`` have the same values in ``value``."""
    if isinstance(part, dict):
        for name, expected in part.items():
            assert name in value, f"{path}.{name}"
            assert_contains(value[name], expected, f"{path}.{name}")
    elif isinstance(part, list):
        assert len(value) == len(part), path
        for index, expected in enumerate(part):
            assert_contains(value[index], expected, f"{path}[{index}]")
    else:
        assert value == part, path


# Guards against a message or row that older nodes misread or can't read during an upgrade.
def test_earlier_build_reads_what_this_build_makes(build: Build) -> None:
    commit, source = build
    lines = run_record(source, "samples", [])
    known_kinds = {sample["kind"] for sample in lines[1:]}
    samples = list(record.generate_samples())
    assert known_kinds <= {sample["kind"] for sample in samples}
    answers = run_record(source, "read", samples)
    for sample, answer in zip(samples, answers, strict=True):
        path = f"{sample['kind']} {sample['variant']} at {commit}"
        if sample["kind"] not in known_kinds:
            assert "refused" in answer, path
            continue
        assert "fields" in answer, f"{path}: {answer}"
        assert_contains(record.decode_to_json(sample)["fields"], answer["fields"], path)


# Guards against samples that were edited, or recorded by another build than the folder names.
def test_recorded_samples_are_those_of_the_commit(build: Build) -> None:
    commit, source = build
    kept = (ROOT / "tests" / "builds" / commit / "samples.jsonl").read_text("utf-8")
    assert run_record(source, "samples", []) == [json.loads(line) for line in kept.splitlines()]


# Guards against nodes of two builds that keep sending each other their lists.
def test_digests_are_equal_in_both_builds(build: Build) -> None:
    _, source = build
    replicas = [
        Replica("r1", "s", "10.0.0.1", 80, "z1", 8, False, version=5),
        Replica("r2", "s", "10.0.0.2", 80, "z2", 8, True, version=6, started_ms=1_700_000_000_000),
        Replica("r3", "s", "10.0.0.3", 80, "z1", 8, False, version=7, warmup_ms=2500),
        Replica("r4", "s", "10.0.0.4", 80, "z1", 8, False, 8, 1_700_000_000_001, warmup_ms=1),
    ]
    lists = [*([replica] for replica in replicas), replicas]
    records = [CrashRecord(f"{number:020x}", {"r1": 5, "r2@1f": 9}) for number in range(3)]
    messages: list[Datagram] = [DirectoryUpdate(None, 0, 1, 0, entries) for entries in lists]
    messages.append(CrashCases(records))
    samples = [
        {"kind": "any", "data": encode_datagram(message).decode("latin-1")} for message in messages
    ]
    digests = [record.message_digest(sample) for sample in samples]
    assert None not in digests and 0 not in digests
    assert run_record(source, "digests", samples) == digests


# Guards against new settings or fields with which an earlier build doesn't start after a rollback.
def test_earlier_build_reads_settings_and_documents_of_new_parts(
    build: Build, tmp_path: Path
) -> None:
    commit, source = build
    path = tmp_path / "settings.toml"
    path.write_text(SETTINGS)
    document = {
        "version": 7,
        "routes": [route("chat", "/chat/", "safe")],
        "services": [{"name": "model", "cold_start_s": 4.0, "cold_per_s": 7.0}],
        "limits": {},
    }
    entry = {**ENTRY, "cold_left_ms": 2500}
    texts = {
        "settings": str(path),
        "configuration": json.dumps(document),
        "replica": json.dumps(entry),
    }
    (earlier,) = run_record(source, "documents", [texts])
    assert_contains(record.decode_documents(texts), earlier, commit)
