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
"""Modules whose types are not encoded themselves; a type that an encoded one contains is held."""

MEMORY_PACKAGES = (control,)
MEMORY_TYPES = (batches._Cancel, batches._Submit, replicas._Suspicion)

PRINTED_MODULES = (evidence, load_report, tenants, timeline)
"""Modules whose attrs types become fields of log lines or of printed JSON."""


def project_modules() -> list[ModuleType]:
    """Return all modules of the project."""
    found = pkgutil.walk_packages(cloverwalk.__path__, "cloverwalk.")
    return [importlib.import_module(one.name) for one in found]


def type_lines() -> list[str]:
    """Return a line for each encoded type and each enumeration."""
    modules = project_modules()
    shapes = [_struct_line(one) for one in _encoded_types()]
    printed = [one for module in PRINTED_MODULES for one in _attrs_types(module)]
    shapes += [f"printed: {' '.join(sorted(_attrs_names(one)))}" for one in printed]
    return shapes + [_enum_line(one) for module in modules for one in _enums(module)]


def array_orders() -> list[str]:
    """Return the attributes of each type that is encoded without names, in their order."""
    found = [one for one in _encoded_types() if one.__struct_config__.array_like]  # type: ignore[attr-defined]
    return sorted(" ".join(one.__struct_fields__) for one in found)  # type: ignore[attr-defined]


def project_subclasses(base: type) -> Iterator[type]:
    """Return the project's classes below a base class, each once."""
    found: dict[type, None] = {}
    rest: list[type] = list(base.__subclasses__())
    while rest:
        one = rest.pop()
        if one not in found:
            found[one] = None
            rest += one.__subclasses__()
    return (one for one in found if one.__module__.startswith("cloverwalk."))


def _encoded_types() -> set[type]:
    encoded = {one for one in project_subclasses(Struct) if not _is_memory_only(one)}
    rest = list(encoded)
    while rest:
        parts = set(_contained(kinds.type_info(rest.pop()))) - encoded
        encoded |= parts
        rest += parts
    return encoded


def _is_memory_only(found: type) -> bool:
    if found in MEMORY_TYPES or found.__module__ in {one.__name__ for one in MEMORY_MODULES}:
        return True
    return any(found.__module__.startswith(one.__name__ + ".") for one in MEMORY_PACKAGES)


def _contained(kind: Any) -> Iterator[type]:
    """Return the struct types that a kind names, without those inside of them."""
    fields = kind.fields if isinstance(kind, kinds.StructType) else ()
    for part in (*(one.type for one in fields), *_parts(kind)):
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


def _struct_line(found: type) -> str:
    kind = kinds.type_info(found)
    assert isinstance(kind, kinds.StructType)
    marks = [f"{kind.tag_field}={kind.tag}"] if kind.tag is not None else []
    marks += ["forbids unknown"] if kind.forbid_unknown_fields else []
    marks += ["omits defaults"] if found.__struct_config__.omit_defaults else []  # type: ignore[attr-defined]
    if kind.array_like:
        fields = [f"{_kind(one.type)}{_default(one)}" for one in kind.fields]
        return f"array{_marked(marks)}: {', '.join(fields)}"
    fields = [
        f"{one.encode_name}:{_kind(one.type)}{'' if one.required else '?'}" for one in kind.fields
    ]
    return f"object{_marked(marks)}: {', '.join(sorted(fields))}"


def _marked(marks: list[str]) -> str:
    return f" ({'; '.join(marks)})" if marks else ""


def _kind(kind: Any) -> str:
    """Return what a value looks like when it is encoded."""
    match kind:
        case kinds.StructType():
            tag = "" if kind.tag is None else f"{kind.tag} "
            names = " ".join(sorted(one.encode_name for one in kind.fields))
            return f"[{tag}{len(kind.fields)}]" if kind.array_like else f"{{{tag}{names}}}"
        case kinds.DataclassType():
            return f"{{{' '.join(sorted(one.encode_name for one in kind.fields))}}}"
        case kinds.EnumType():
            return f"enum({_values(kind.cls)})"
        case kinds.LiteralType():
            return f"literal({' '.join(sorted(str(one) for one in kind.values))})"
        case kinds.UnionType():
            return "|".join(sorted(_kind(one) for one in kind.types))
        case kinds.CustomType():
            return "custom"
    name = type(kind).__name__.removesuffix("Type").lower()
    inner = ",".join(_kind(one) for one in _parts(kind))
    return f"{name}<{inner}>" if inner else name


def _default(field: kinds.Field) -> str:
    if field.required:
        return ""
    value = field.default if field.default_factory is NODEFAULT else field.default_factory()
    return f"={msgspec.json.encode(value, order='sorted').decode()}"


def _enums(module: ModuleType) -> list[type[enum.Enum]]:
    return [
        one
        for one in vars(module).values()
        if isinstance(one, type)
        and issubclass(one, enum.Enum)
        and one.__module__ == module.__name__
    ]


def _enum_line(found: type[enum.Enum]) -> str:
    return f"enum: {_values(found)}"


def _values(found: type[enum.Enum]) -> str:
    return " ".join(sorted(str(one.value) for one in found))


def _attrs_types(module: ModuleType) -> list[type]:
    return [
        one
        for one in vars(module).values()
        if isinstance(one, type) and attrs.has(one) and one.__module__ == module.__name__
    ]


def _attrs_names(found: type) -> list[str]:
    return [one.name for one in attrs.fields(found)]
