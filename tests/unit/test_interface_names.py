"""Names that other programs, stored rows and operators use do not change by accident.

Running this file as a program rewrites both lists, after an intended change. It needs
``tests`` and ``src`` in PYTHONPATH.
"""

import difflib
import io
import json
import os
import time
from collections.abc import Iterator
from contextlib import redirect_stderr
from pathlib import Path
from typing import Any

import click
from interface_source import source_lines
from interface_types import array_orders, type_lines
from prometheus_client.metrics import MetricWrapperBase

from cloverwalk.cli.main import cli
from cloverwalk.control.metrics import NodeMetrics
from cloverwalk.core.catalogue import CATALOGUE
from cloverwalk.core.events import WriteLog
from cloverwalk.node.logs import EventLog
from cloverwalk.telemetry.log import ServingLog
from cloverwalk.telemetry.metrics import ServingMetrics

KEPT = Path(__file__).with_name("interface_names.txt")
ORDERS = Path(__file__).with_name("interface_orders.txt")
"""Attributes of the types that are encoded as arrays; they may be renamed, but not moved."""


def test_interface_names_are_unchanged() -> None:
    kept, found = KEPT.read_text("utf-8").splitlines(), interface_lines()
    changes = "\n".join(difflib.unified_diff(kept, found, "kept", "found", lineterm="", n=0))
    assert kept == found, changes


def test_positions_of_array_encoded_fields_are_unchanged() -> None:
    kept = [line.split() for line in ORDERS.read_text("utf-8").splitlines()]
    assert [moved for line in array_orders() if (moved := _moved(line.split(), kept))] == []


def _moved(found: list[str], kept: list[list[str]]) -> str:
    """Return what moved in a type, which is recognized by more than half of its attributes."""
    old = max(kept, key=lambda order: (len(set(order) & set(found)), _same_places(order, found)))
    common = set(old) & set(found)
    if 2 * len(common) <= len(found) or _same_places(old, found) == len(common):
        return ""
    return f"kept: {' '.join(old)}; found: {' '.join(found)}"


def _same_places(old: list[str], found: list[str]) -> int:
    return sum(old_name == name for old_name, name in zip(old, found, strict=False))


def interface_lines() -> list[str]:
    """Return all names, sorted; a line that stands for two types stands twice."""
    events = [
        f"event: {event.number} {event.name} {event.level.value}" for event in CATALOGUE.values()
    ]
    commands = list(_command_lines(cli, "cloverwalk"))
    found = [*type_lines(), *source_lines(), *events, *_common_fields(), *_metric_lines()]
    return sorted([*found, *commands])


def _common_fields() -> list[str]:
    """Return the fields that the lines of all events have, in both logs."""
    number = min(CATALOGUE)
    read_end, write_end = os.pipe()
    with open(read_end, "rb") as lines, open(write_end, "wb"):
        ServingLog("n1", time.monotonic, write_end).write(number)
        serving = json.loads(lines.readline())
    with redirect_stderr(io.StringIO()) as text:
        EventLog("n1").write(WriteLog(number, {}))
    both = (("serving", serving), ("node", json.loads(text.getvalue())))
    return [f"log field: of all events, {log} {field}" for log, line in both for field in line]


def _metric_lines() -> list[str]:
    serving = ServingMetrics()
    serving.utilization = {"memory": 0.5}  # listed only where it is measured
    families: list[Any] = list(serving.collect())
    metrics = [(family.name, family.type, family._labelnames) for family in families]
    for metric in vars(NodeMetrics()).values():
        if isinstance(metric, MetricWrapperBase):
            metrics.append((metric._name, metric._type, metric._labelnames))
    return [f"metric: {name} {kind} ({' '.join(labels)})" for name, kind, labels in metrics]


def _command_lines(command: click.Command, path: str) -> Iterator[str]:
    yield f"command: {path}"
    for parameter in command.params:
        names = (
            [*parameter.opts, *parameter.secondary_opts]
            if isinstance(parameter, click.Option)
            else ["argument"]
        )
        variables = (
            [parameter.envvar]
            if isinstance(parameter.envvar, str)
            else list(parameter.envvar or ())
        )
        marks = ["multiple"] if parameter.multiple or parameter.nargs == -1 else []
        marks += ["required"] if parameter.required else []
        marks += ["flag"] if isinstance(parameter, click.Option) and parameter.is_flag else []
        if isinstance(parameter.type, click.Choice):
            marks.append(f"of {' '.join(map(str, parameter.type.choices))}")
        parts = [path, *names, parameter.type.name, *marks, *variables]
        yield f"option: {' '.join(parts)}"
    if isinstance(command, click.Group):
        for name, part in command.commands.items():
            yield from _command_lines(part, f"{path} {name}")


if __name__ == "__main__":
    KEPT.write_text("\n".join(interface_lines()) + "\n", "utf-8")
    ORDERS.write_text("\n".join(array_orders()) + "\n", "utf-8")
