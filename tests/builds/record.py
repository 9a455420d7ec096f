"""Generates samples of datagrams and stored values, and prints what a build decodes from them.

Imports the build on PYTHONPATH, this one or an earlier one:

    record.py samples          print row keys and fingerprints, then the samples, as JSON lines
    record.py read < SAMPLES   print the fields that the build decodes from each sample
    record.py digests < SAMPLES  print the build's digests of replicas and crash records
    record.py documents < DOCUMENTS  print what the build decodes from the platform's documents
"""

import enum
import json
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any, get_args

import attrs
import msgspec
from msgspec import Struct
from msgspec import inspect as kinds

from cloverwalk.fleet import election, messages
from cloverwalk.fleet.crash_record_store import StoredCrashRecord
from cloverwalk.fleet.messages import CrashCases, DatagramError, DirectoryUpdate
from cloverwalk.gateway.configuration import Configuration
from cloverwalk.gateway.crash_ledger import CrashLedger
from cloverwalk.gateway.replicas import Replica, ReplicaDirectory
from cloverwalk.jobs import records
from cloverwalk.platform.documents import decode_configuration, decode_replica
from cloverwalk.platform.settings import load_settings

STORED_TYPES: dict[str, Any] = {
    "configuration": Configuration,
    "crash_record": StoredCrashRecord,
    "item_result": records.ItemResult,
    "job_items": list[records.JobItem],
    "job_record": records.JobRecord,
    "partial_output": records.PartialOutput,
    "quota": records.QuotaRow,
    "role": election.RoleRow,
}
"""Types of stored values, and of the configuration inside compressed parts."""

DATA_ENCODING = "latin-1"
"""Represents datagrams as text; maps each byte to one character."""

VARIANTS = (0, 1, 2)
"""Variants of a sample with all fields set, which differ in their enumeration members."""


class Sampler:
    """Generates values with all fields set, with distinct numbers and strings."""

    def __init__(self, variant: int) -> None:
        self._count = 0
        self._enum_count = 3 * variant

    def value(self, kind: Any, name: str = "v") -> Any:
        self._count += 1
        match kind:
            case kinds.BoolType():
                return True
            case kinds.IntType():
                return 100 + self._count
            case kinds.FloatType():
                return 100.5 + self._count
            case kinds.StrType():
                return f"{name}-{self._count}"
            case kinds.BytesType():
                return f"{name}-{self._count}".encode()
            case kinds.EnumType():
                members = list(kind.cls)
                self._enum_count += 1
                return members[self._enum_count % len(members)]
            case kinds.UnionType():
                known = [part for part in kind.types if not isinstance(part, kinds.NoneType)]
                return self.value(known[0], name)
            case kinds.StructType():
                fields = {field.name: self.value(field.type, field.name) for field in kind.fields}
                return kind.cls(**fields)
            case kinds.DictType():
                pairs = [(self.value(kind.key_type, name), kind.value_type) for _ in range(2)]
                return {key: self.value(value, name) for key, value in pairs}
            case kinds.TupleType():
                return tuple(self.value(part, name) for part in kind.item_types)
            case kinds.VarTupleType():
                return tuple(self.value(kind.item_type, name) for _ in range(2))
            case kinds.ListType():
                return [self.value(kind.item_type, name) for _ in range(3)]
        raise TypeError(f"no sample of {kind}")

    def with_defaults(self, kind: Any) -> Any:
        """Return a value in which fields that have a default keep it."""
        if not isinstance(kind, kinds.StructType):
            return self.value(kind)
        needed = [field for field in kind.fields if field.required]
        return kind.cls(**{field.name: self.value(field.type, field.name) for field in needed})


def generate_samples() -> Iterator[dict[str, str]]:
    for message in get_args(messages.Datagram):
        kind = kinds.type_info(message)
        for variant, value in _sample_values(kind):
            data = messages.encode_datagram(value)
            yield {"kind": str(kind.tag), "variant": variant, "data": data.decode(DATA_ENCODING)}  # type: ignore[attr-defined]
    for name, stored in STORED_TYPES.items():
        for variant, value in _sample_values(kinds.type_info(stored)):
            yield {
                "kind": f"stored:{name}",
                "variant": variant,
                "data": msgspec.json.encode(value).decode(),
            }


def _sample_values(kind: Any) -> Iterator[tuple[str, Any]]:
    yield "defaults", Sampler(0).with_defaults(kind)
    for variant in VARIANTS:
        yield f"full{variant}", Sampler(variant).value(kind)


def decode(sample: dict[str, str]) -> Any:
    """Return the value of a sample; raise DatagramError for an unknown kind of message."""
    name = sample["kind"]
    if name.startswith("stored:"):
        return msgspec.json.decode(sample["data"], type=STORED_TYPES[name.removeprefix("stored:")])
    return messages.decode_datagram(sample["data"].encode(DATA_ENCODING))


def to_json_value(value: Any) -> Any:
    """Convert a value to JSON types; structures become dictionaries by field name."""
    if isinstance(value, Struct):
        return {name: to_json_value(getattr(value, name)) for name in value.__struct_fields__}
    if attrs.has(type(value)):
        return {
            part.name: to_json_value(getattr(value, part.name))
            for part in attrs.fields(type(value))
        }
    if isinstance(value, dict):
        return {str(key): to_json_value(part) for key, part in value.items()}
    if isinstance(value, (list, tuple)):
        return [to_json_value(part) for part in value]
    if isinstance(value, enum.Enum):
        return value.value
    return value.decode("latin-1") if isinstance(value, bytes) else value


def decode_to_json(sample: dict[str, str]) -> dict[str, Any]:
    """Return the fields of a sample, or the reason why the build refuses it."""
    try:
        return {"fields": to_json_value(decode(sample))}
    except DatagramError as error:
        return {"refused": str(error)}


def row_keys() -> dict[str, str]:
    """Return sample row keys, which must be the same in all builds."""
    partial = records.PartialOutput(1, 2, 3, 4, [])
    keys = {
        "job": records.job_key("job-1"),
        "quota": records.quota_key("jobs", "quiz"),
        "partial": records.partial_put("job-1", partial).row_key,
        "payload": records.payload_puts("job-1", [])[0].row_key,
        "role": election.ROLE_KEY,
    }
    return {name: f"{key.table} {key.part} {key.key}" for name, key in keys.items()}


def replica_fingerprints() -> dict[str, int]:
    """Return fingerprints of directories of one replica, with and without its start time."""
    found = {}
    for started_ms in (0, 1_700_000_000_000):
        directory = ReplicaDirectory()
        directory.put(Replica("r1", "s", "10.0.0.1", 80, "z1", 8, False, 5, started_ms))
        found[str(started_ms)] = directory.fingerprint
    return found


def message_digest(sample: dict[str, str]) -> int | None:
    """Return the digest of replicas or crash records that nodes compare."""
    message = decode(sample)
    if isinstance(message, DirectoryUpdate):
        directory = ReplicaDirectory()
        directory.replace(message.replicas, 1)
        return directory.fingerprint
    if isinstance(message, CrashCases):
        ledger = CrashLedger()
        for record in message.crash_records:
            ledger.merge(record, 0.0)
        return ledger.digest
    return None


def decode_documents(texts: dict[str, str]) -> dict[str, Any]:
    """Decode a settings file and the two documents of the platform's store."""
    return {
        "settings": to_json_value(load_settings(Path(texts["settings"]))),
        "configuration": to_json_value(decode_configuration(texts["configuration"].encode())),
        "replica": to_json_value(decode_replica("r1", texts["replica"].encode(), 1)),
    }


def main() -> None:
    if sys.argv[1] == "samples":
        print(json.dumps({"keys": row_keys(), "fingerprints": replica_fingerprints()}))
        for sample in generate_samples():
            print(json.dumps({**sample, **decode_to_json(sample)}))
        return
    command = {"read": decode_to_json, "digests": message_digest, "documents": decode_documents}[
        sys.argv[1]
    ]
    for line in sys.stdin:
        print(json.dumps(command(json.loads(line))))


if __name__ == "__main__":
    main()
