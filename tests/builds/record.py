"""Makes samples of datagrams and stored values, and tells what a build reads in such samples.

Runs on the build that PYTHONPATH names, this one or an earlier one:

    record.py samples          print a sample a line, as JSON
    record.py read < SAMPLES   print what this build reads in each sample
    record.py digests < SAMPLES  print this build's digests of replicas and crash records
    record.py documents < DOCUMENTS  print what this build reads in the platform's documents
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

STORED: dict[str, Any] = {
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
"""Messages are JSON or MessagePack; this keeps any bytes as text."""

VARIANTS = (0, 1, 2)
"""Samples with all fields set differ in the values of their enumerations."""


class Sampler:
    """Makes values with all fields set, none of which equals another one."""

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
        """Return a value whose fields have their defaults where there are any."""
        if not isinstance(kind, kinds.StructType):
            return self.value(kind)
        needed = [field for field in kind.fields if field.required]
        return kind.cls(**{field.name: self.value(field.type, field.name) for field in needed})


def samples() -> Iterator[dict[str, str]]:
    for message in get_args(messages.Datagram):
        kind = kinds.type_info(message)
        for variant, value in _values(kind):
            data = messages.encode_datagram(value)
            yield {"kind": str(kind.tag), "variant": variant, "data": data.decode(DATA_ENCODING)}  # type: ignore[attr-defined]
    for name, stored in STORED.items():
        for variant, value in _values(kinds.type_info(stored)):
            yield {
                "kind": f"stored:{name}",
                "variant": variant,
                "data": msgspec.json.encode(value).decode(),
            }


def _values(kind: Any) -> Iterator[tuple[str, Any]]:
    yield "defaults", Sampler(0).with_defaults(kind)
    for variant in VARIANTS:
        yield f"full{variant}", Sampler(variant).value(kind)


def decode(sample: dict[str, str]) -> Any:
    """Return the value of a sample; raise DatagramError if this build does not know its kind."""
    name = sample["kind"]
    if name.startswith("stored:"):
        return msgspec.json.decode(sample["data"], type=STORED[name.removeprefix("stored:")])
    return messages.decode_datagram(sample["data"].encode(DATA_ENCODING))


def named(value: Any) -> Any:
    """Return a value as JSON with the names of its fields, also of those sent by position."""
    if isinstance(value, Struct):
        return {name: named(getattr(value, name)) for name in value.__struct_fields__}
    if attrs.has(type(value)):
        return {part.name: named(getattr(value, part.name)) for part in attrs.fields(type(value))}
    if isinstance(value, dict):
        return {str(key): named(part) for key, part in value.items()}
    if isinstance(value, (list, tuple)):
        return [named(part) for part in value]
    if isinstance(value, enum.Enum):
        return value.value
    return value.decode("latin-1") if isinstance(value, bytes) else value


def read(sample: dict[str, str]) -> dict[str, Any]:
    """Return the fields of a sample, or the reason why this build refuses it."""
    try:
        return {"fields": named(decode(sample))}
    except DatagramError as error:
        return {"refused": str(error)}


def row_keys() -> dict[str, str]:
    """Return keys of rows; all builds must look for a row under the same key."""
    partial = records.PartialOutput(1, 2, 3, 4, [])
    keys = {
        "job": records.job_key("job-1"),
        "quota": records.quota_key("jobs", "quiz"),
        "partial": records.partial_put("job-1", partial).row_key,
        "payload": records.payload_puts("job-1", [])[0].row_key,
        "role": election.ROLE_KEY,
    }
    return {name: f"{key.table} {key.part} {key.key}" for name, key in keys.items()}


def fingerprints() -> dict[str, int]:
    """Return fingerprints of lists of one replica, with and without a time of start."""
    found = {}
    for started_ms in (0, 1_700_000_000_000):
        directory = ReplicaDirectory()
        directory.put(Replica("r1", "s", "10.0.0.1", 80, "z1", 8, False, 5, started_ms))
        found[str(started_ms)] = directory.fingerprint
    return found


def digests(sample: dict[str, str]) -> int | None:
    """Return the digest that nodes compare, of replicas or of crash records."""
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


def documents(texts: dict[str, str]) -> dict[str, Any]:
    """Return what this build reads in its settings file and in two documents of the store."""
    return {
        "settings": named(load_settings(Path(texts["settings"]))),
        "configuration": named(decode_configuration(texts["configuration"].encode())),
        "replica": named(decode_replica("r1", texts["replica"].encode(), 1)),
    }


def main() -> None:
    if sys.argv[1] == "samples":
        print(json.dumps({"keys": row_keys(), "fingerprints": fingerprints()}))
        for sample in samples():
            print(json.dumps({**sample, **read(sample)}))
        return
    call = {"read": read, "digests": digests, "documents": documents}[sys.argv[1]]
    for line in sys.stdin:
        print(json.dumps(call(json.loads(line))))


if __name__ == "__main__":
    main()
