"""Reads and checks a settings file; reports every fault at once, with its path."""

from pathlib import Path
from types import UnionType
from typing import Any, Union, get_args, get_origin, get_type_hints

import msgspec
import tomlkit
import tomlkit.exceptions
from msgspec import NODEFAULT, Struct

from cloverwalk.config.settings import SettingsFile
from cloverwalk.core.errors import CloverwalkError


class Fault(Struct, frozen=True):
    """One fault: its path, the value found and the problem with it."""

    path: str
    found: str
    problem: str

    def __str__(self) -> str:
        return f"{self.path}: found {self.found}; {self.problem}"


class SettingsError(CloverwalkError):
    """The settings are invalid; ``faults`` lists every fault."""

    default_code = "settings_invalid"

    def __init__(self, faults: list[Fault]) -> None:
        super().__init__("\n".join(str(fault) for fault in faults))
        self.faults = faults


def load_file(path: Path) -> SettingsFile:
    """Return the checked settings of a TOML file; raise SettingsError with every fault."""
    settings: SettingsFile = check(read_toml(path), SettingsFile)
    return settings


def read_toml(path: Path) -> dict[str, Any]:
    """Return the content of a TOML file as dicts; raise SettingsError if it can't be read."""
    try:
        return tomlkit.parse(path.read_text("utf-8")).unwrap()
    except OSError as error:
        raise SettingsError([Fault(str(path), "no readable file", str(error.strerror))]) from error
    except UnicodeDecodeError as error:
        raise SettingsError(
            [Fault(str(path), "invalid UTF-8", "the file must be UTF-8")]
        ) from error
    except tomlkit.exceptions.TOMLKitError as error:
        raise SettingsError([Fault(str(path), "invalid TOML", str(error))]) from error


def check(raw: dict[str, Any], struct_type: type[Struct]) -> Any:
    """Return ``raw`` as ``struct_type``; raise SettingsError with every fault.

    >>> from cloverwalk.config.settings import GossipSettings
    >>> check({"fanout": 0, "interval": 1.0}, GossipSettings)
    Traceback (most recent call last):
    ...
    cloverwalk.config.loader.SettingsError: interval: found 1.0; unknown key; allowed are interval_s, fanout, digests_per_message, bytes_per_s, contacts_per_zone, suspect_after_s, forget_after_s
    fanout: found 0; expected `int` >= 1
    """  # noqa: E501
    faults: list[Fault] = []
    _collect_faults(raw, struct_type, "", faults)
    if faults:
        raise SettingsError(faults)
    return msgspec.convert(raw, struct_type)


def _collect_faults(
    raw: dict[str, Any], struct_type: type[Struct], path: str, faults: list[Fault]
) -> None:
    # msgspec stops at the first fault, so each field is converted separately.
    fields = {
        field_info.encode_name: field_info for field_info in msgspec.structs.fields(struct_type)
    }
    hints = get_type_hints(struct_type, include_extras=True)
    for key in raw.keys() - fields.keys():
        allowed = ", ".join(fields)
        faults.append(Fault(path + key, repr(raw[key]), f"unknown key; allowed are {allowed}"))
    for key, field_info in fields.items():
        if key not in raw:
            if field_info.default is NODEFAULT and field_info.default_factory is NODEFAULT:
                faults.append(Fault(path + key, "nothing", "this key is required"))
            continue
        nested = _struct_type(hints[field_info.name])
        if nested is not None and isinstance(raw[key], dict):
            _collect_faults(raw[key], nested, f"{path}{key}.", faults)
            continue
        try:
            msgspec.convert(raw[key], hints[field_info.name])
        except msgspec.ValidationError as error:
            problem = str(error)
            faults.append(Fault(path + key, repr(raw[key]), problem[0].lower() + problem[1:]))


def _struct_type(hint: Any) -> type[Struct] | None:
    """Return the struct type of a hint or of its union; None if there is none."""
    options = get_args(hint) if get_origin(hint) in (UnionType, Union) else (hint,)
    return next(
        (option for option in options if isinstance(option, type) and issubclass(option, Struct)),
        None,
    )
