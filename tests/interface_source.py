"""Names that the source writes as literals: log fields, error codes, calls, paths and keys."""

import ast
import re
from collections.abc import Iterator
from pathlib import Path
from types import ModuleType

from interface_types import project_modules, project_subclasses

from cloverwalk.core import catalogue
from cloverwalk.core.errors import CloverwalkError
from cloverwalk.platform import names
from cloverwalk.telemetry.log import ServingLog

METHODS = {"DELETE", "GET", "PATCH", "POST", "PUT"}
WORD = re.compile(r"[A-Za-z0-9_./?=&{}:+%-]*[A-Za-z][A-Za-z0-9_./?=&{}:+%-]*")
PYTHON_NAMES_IN = {"TypeVar", "cast", "getattr", "hasattr", "setattr"}
"""Functions whose literals are names of Python attributes or types."""

LOG_CALL = ServingLog.write.__name__
"""Calls of this method are listed even where they don't name their event."""

CLICK_CALLS = {"argument", "option"}
"""Their literals name Python parameters too; what users see is read from the commands."""

Function = ast.FunctionDef | ast.AsyncFunctionDef


def source_lines() -> list[str]:
    """Return a line for each name."""
    lines: set[str] = set(_error_class_lines()) | set(_platform_lines())
    for module in project_modules():
        tree = ast.parse(Path(str(module.__file__)).read_text("utf-8"))
        for node in ast.walk(tree):
            if isinstance(node, ast.Call):
                lines.update(_error_lines(node, module))
                lines.update(_route_lines(node))
            elif isinstance(node, Function):
                lines.update(_log_lines(node, module))
        lines.update(f"text: {word}" for word in _words(tree))
    return sorted(lines)


def _log_lines(function: Function, module: ModuleType) -> Iterator[str]:
    """Return the fields of the events that a function writes."""
    nodes = list(ast.walk(function))
    numbers_of: dict[str, set[int]] = {}
    for node in nodes:
        if isinstance(node, ast.Assign) and isinstance(node.targets[0], ast.Name):
            numbers_of[node.targets[0].id] = _event_numbers(node.value, module)
    for node in nodes:
        if not isinstance(node, ast.Call):
            continue
        first = node.args[0] if node.args else node
        numbers = _event_numbers(first, module) if first is not node else set()
        if isinstance(first, ast.Name):
            numbers |= numbers_of.get(first.id, set())
        is_log_call = isinstance(node.func, ast.Attribute) and node.func.attr == LOG_CALL
        if numbers or is_log_call:
            for event in list(map(str, sorted(numbers))) or ["of any event"]:
                yield from (f"log field: {event} {field}" for field in _fields(node))


def _fields(call: ast.Call) -> set[str]:
    """Return the names of the fields that a call writes, by keyword or in a literal map."""
    fields = {field.arg for field in call.keywords if field.arg}
    for argument in call.args[1:]:
        if isinstance(argument, ast.Dict):
            fields |= {str(key.value) for key in argument.keys if isinstance(key, ast.Constant)}
    return fields


def _event_numbers(expression: ast.expr, module: ModuleType) -> set[int]:
    """Return the events that an expression names."""
    values = (_value(node, module) for node in ast.walk(expression) if _is_event(node, module))
    return {value for value in values if isinstance(value, int)}


def _is_event(node: ast.AST, module: ModuleType) -> bool:
    match node:
        case ast.Attribute():
            return _value(node.value, module) is catalogue
        case ast.Name():
            value = vars(catalogue).get(node.id)
            return value in catalogue.CATALOGUE if isinstance(value, int) else False
    return False


def _error_lines(call: ast.Call, module: ModuleType) -> Iterator[str]:
    """Return the codes and fields that a call gives to an error."""
    raised = _value(call.func, module)
    if not isinstance(raised, type) or not issubclass(raised, CloverwalkError):
        return
    for argument in (*call.args, *(keyword.value for keyword in call.keywords)):
        value = _value(argument, module)
        if isinstance(value, str) and WORD.fullmatch(value):
            yield f"error: {value}"


def _error_class_lines() -> Iterator[str]:
    for error_class in (CloverwalkError, *project_subclasses(CloverwalkError)):
        for name, value in vars(error_class).items():
            if isinstance(value, str) and not name.startswith("__"):
                yield f"error: default {value}"


def _route_lines(call: ast.Call) -> Iterator[str]:
    texts = [argument.value for argument in call.args[:2] if isinstance(argument, ast.Constant)]
    if len(texts) == 2 and texts[0] in METHODS:
        yield f"call: {texts[0]} {texts[1]!s}"


def _platform_lines() -> Iterator[str]:
    for name, value in vars(names).items():
        if name.startswith("__"):
            continue
        for item in sorted(value) if isinstance(value, frozenset) else [value]:
            yield f"platform: {item.decode() if isinstance(item, bytes) else item}"


def _value(expression: ast.AST, module: ModuleType) -> object:
    """Return the value of a literal or of a name of the module; None where it has none."""
    match expression:
        case ast.Constant():
            return expression.value
        case ast.Name():
            return vars(module).get(expression.id)
        case ast.Attribute():
            return getattr(_value(expression.value, module), expression.attr, None)
    return None


def _words(tree: ast.AST) -> Iterator[str]:
    """Return the literals of one word, and the parts of paths; no docstrings, no type names."""
    remaining: list[ast.AST] = [tree]
    while remaining:
        node = remaining.pop()
        if isinstance(node, ast.Constant):
            text = node.value.decode("latin-1") if isinstance(node.value, bytes) else node.value
            if isinstance(text, str) and len(text) > 1 and WORD.fullmatch(text):
                yield from [] if text.startswith("__") else [text]
        elif isinstance(node, ast.JoinedStr):
            pieces = (str(part.value) for part in node.values if isinstance(part, ast.Constant))
            yield from (
                piece for piece in pieces if piece.startswith("/") and WORD.fullmatch(piece)
            )
            remaining += [part for part in node.values if isinstance(part, ast.FormattedValue)]
        else:
            remaining += _children(node)


def _children(node: ast.AST) -> list[ast.AST]:
    if isinstance(node, ast.Expr) and isinstance(node.value, ast.Constant):
        return []  # a docstring
    if isinstance(node, ast.FormattedValue):
        return [node.value]  # its format is no name
    if isinstance(node, ast.Call) and _called_name(node) in PYTHON_NAMES_IN:
        return []
    if isinstance(node, ast.Call) and _called_name(node) in CLICK_CALLS:
        return [keyword.value for keyword in node.keywords]
    skipped = {"annotation", "returns"}
    parts: list[ast.AST] = []
    for name, value in ast.iter_fields(node):
        if name not in skipped:
            children = value if isinstance(value, list) else [value]
            parts += [child for child in children if isinstance(child, ast.AST)]
    return parts


def _called_name(call: ast.Call) -> str:
    match call.func:
        case ast.Name():
            return call.func.id
        case ast.Attribute():
            return call.func.attr
    return ""
