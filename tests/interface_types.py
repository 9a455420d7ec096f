"""Shapes of the types that are encoded, written without any Python name."""

import enum
import importlib
import pkgutil
from collections.abc import Iterator
from types import ModuleType
from typing import Any

import attrs
import msgspec
from msgspec import NODEFAULT, Struct
from msgspec import inspect as kinds

import cloverwalk
from cloverwalk import control
from cloverwalk.cli import tenants
from cloverwalk.config import loader
from cloverwalk.core import (
    batch_concurrency,
    batch_job,
    catalogue,
    events,
    idempotency,
    model_placement,
    placement,
    policies,
    replica_slots,
)
from cloverwalk.emulator import engine_model, prefix_cache, replica_runs, simulation
from cloverwalk.experiment import workload
from cloverwalk.fleet import in_flight
from cloverwalk.gateway import (
    event_stream,
    messages,
    progress,
    replica_connection,
    replicas,
)
from cloverwalk.http import client
from cloverwalk.jobs import evidence, intake, item_call, reader, run, view
from cloverwalk.pipeline import batches, claim, limits, request
from cloverwalk.scheduling import selection
from cloverwalk.store import types as store_types
from cloverwalk.telemetry import load_report, timeline

MEMORY_MODULES = (
    batch_concurrency,
    batch_job,
    catalogue,
    claim,
    client,
    engine_model,
    event_stream,
    events,
    idempotency,
    intake,
    item_call,
    limits,
    in_flight,
    loader,
    messages,
    model_placement,
    placement,
    policies,
    prefix_cache,
    progress,
    reader,
    replica_connection,
    replica_runs,
    replica_slots,
    request,
    run,
    selection,
    simulation,
    store_types,
    view,
    workload,
)
"""Modules whose types are not encoded themselves; those that an encoded type contains are."""

MEMORY_PACKAGES = (control,)
MEMORY_TYPES = (batches._Cancel, batches._Submit, replicas._Suspicion)

PRINTED_MODULES = (evidence, load_report, tenants, timeline)
"""Modules whose attrs types become fields of log lines or of printed JSON."""


def project_modules() -> list[ModuleType]:
    """Return all modules of the project."""
    module_infos = pkgutil.walk_packages(cloverwalk.__path__, "cloverwalk.")
    return [importlib.import_module(info.name) for info in module_infos]


def type_lines() -> list[str]:
    """Return a line for each encoded type and each enumeration."""
    modules = project_modules()
    shapes = [_struct_line(encoded_type) for encoded_type in _encoded_types()]
    printed = [printed_type for module in PRINTED_MODULES for printed_type in _attrs_types(module)]
    shapes += [
        f"printed: {' '.join(sorted(_attrs_names(printed_type)))}" for printed_type in printed
    ]
    return shapes + [
        _enum_line(enumeration) for module in modules for enumeration in _enums(module)
    ]


def array_orders() -> list[str]:
    """Return the attributes of each type that is encoded without names, in their order."""
    structs = [struct for struct in _encoded_types() if struct.__struct_config__.array_like]  # type: ignore[attr-defined]
    return sorted(" ".join(struct.__struct_fields__) for struct in structs)  # type: ignore[attr-defined]


def project_subclasses(base: type) -> Iterator[type]:
    """Return the project's classes below a base class, each once."""
    subclasses: dict[type, None] = {}
    remaining: list[type] = list(base.__subclasses__())
    while remaining:
        subclass = remaining.pop()
        if subclass not in subclasses:
            subclasses[subclass] = None
            remaining += subclass.__subclasses__()
    return (subclass for subclass in subclasses if subclass.__module__.startswith("cloverwalk."))


def _encoded_types() -> set[type]:
    encoded = {struct for struct in project_subclasses(Struct) if not _is_memory_only(struct)}
    remaining = list(encoded)
    while remaining:
        parts = set(_contained(kinds.type_info(remaining.pop()))) - encoded
        encoded |= parts
        remaining += parts
    return encoded


def _is_memory_only(struct: type) -> bool:
    if struct in MEMORY_TYPES or struct.__module__ in {
        module.__name__ for module in MEMORY_MODULES
    }:
        return True
    return any(struct.__module__.startswith(package.__name__ + ".") for package in MEMORY_PACKAGES)


def _contained(kind: Any) -> Iterator[type]:
    """Return the struct types that a kind names, without those inside of them."""
    fields = kind.fields if isinstance(kind, kinds.StructType) else ()
    for part in (*(field.type for field in fields), *_parts(kind)):
        if isinstance(part, kinds.StructType):
            yield part.cls
        else:
            yield from _contained(part)


def _parts(kind: Any) -> tuple[Any, ...]:
    match kind:
        case kinds.UnionType():
            return kind.types
        case kinds.TupleType():
            return kind.item_types
        case kinds.DictType():
            return kind.key_type, kind.value_type
        case kinds.CollectionType() | kinds.VarTupleType():
            return (kind.item_type,)
        case kinds.Metadata():
            return (kind.type,)
    return ()


def _struct_line(struct: type) -> str:
    kind = kinds.type_info(struct)
    assert isinstance(kind, kinds.StructType)
    marks = [f"{kind.tag_field}={kind.tag}"] if kind.tag is not None else []
    marks += ["forbids unknown"] if kind.forbid_unknown_fields else []
    marks += ["omits defaults"] if struct.__struct_config__.omit_defaults else []  # type: ignore[attr-defined]
    if kind.array_like:
        fields = [f"{_kind(field.type)}{_default(field)}" for field in kind.fields]
        return f"array{_marked(marks)}: {', '.join(fields)}"
    fields = [
        f"{field.encode_name}:{_kind(field.type)}{'' if field.required else '?'}"
        for field in kind.fields
    ]
    return f"object{_marked(marks)}: {', '.join(sorted(fields))}"


def _marked(marks: list[str]) -> str:
    return f" ({'; '.join(marks)})" if marks else ""


def _kind(kind: Any) -> str:
    """Return what a value looks like when it is encoded."""
    match kind:
        case kinds.StructType():
            tag = "" if kind.tag is None else f"{kind.tag} "
            names = " ".join(sorted(field.encode_name for field in kind.fields))
            return f"[{tag}{len(kind.fields)}]" if kind.array_like else f"{{{tag}{names}}}"
        case kinds.DataclassType():
            return f"{{{' '.join(sorted(field.encode_name for field in kind.fields))}}}"
        case kinds.EnumType():
            return f"enum({_values(kind.cls)})"
        case kinds.LiteralType():
            return f"literal({' '.join(sorted(str(value) for value in kind.values))})"
        case kinds.UnionType():
            return "|".join(sorted(_kind(part) for part in kind.types))
        case kinds.CustomType():
            return "custom"
    name = type(kind).__name__.removesuffix("Type").lower()
    inner = ",".join(_kind(part) for part in _parts(kind))
    return f"{name}<{inner}>" if inner else name


def _default(field: kinds.Field) -> str:
    if field.required:
        return ""
    value = field.default if field.default_factory is NODEFAULT else field.default_factory()
    return f"={msgspec.json.encode(value, order='sorted').decode()}"


def _enums(module: ModuleType) -> list[type[enum.Enum]]:
    return [
        value
        for value in vars(module).values()
        if isinstance(value, type)
        and issubclass(value, enum.Enum)
        and value.__module__ == module.__name__
    ]


def _enum_line(enumeration: type[enum.Enum]) -> str:
    return f"enum: {_values(enumeration)}"


def _values(enumeration: type[enum.Enum]) -> str:
    return " ".join(sorted(str(member.value) for member in enumeration))


def _attrs_types(module: ModuleType) -> list[type]:
    return [
        value
        for value in vars(module).values()
        if isinstance(value, type) and attrs.has(value) and value.__module__ == module.__name__
    ]


def _attrs_names(attrs_type: type) -> list[str]:
    return [field.name for field in attrs.fields(attrs_type)]
