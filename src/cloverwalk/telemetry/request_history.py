"""Reconstructs the history of a request from the log lines of many nodes."""

import re
from collections.abc import Iterable
from typing import Any

import msgspec
from msgspec import Struct

from cloverwalk.core import catalogue
from cloverwalk.core.error_response import NOT_RUN_STATUSES, WorkState

HISTORY_LEAD_S = 3.0
"""Context lines of the nodes are included from this long before the first line of the request."""

CONTEXT_EVENTS = frozenset(
    {
        catalogue.SERVING_STARTED,
        catalogue.SERVING_STOPPING,
        catalogue.PEER_LOST,
        catalogue.COORDINATOR_KNOWN,
        catalogue.COORDINATOR_TAKEN,
        catalogue.COORDINATOR_RESIGNED,
        catalogue.COORDINATOR_SILENT,
        catalogue.REPLICA_CHANGED,
        catalogue.REPLICA_REMOVED,
        catalogue.DIRECTORY_COPIED,
        catalogue.FEED_LOST,
        catalogue.FEED_BACK,
        catalogue.HISTORY_LOST,
        catalogue.CONFIGURATION_TAKEN,
        catalogue.LINES_DROPPED,
    }
)
REFUSAL_EVENTS = frozenset({catalogue.REQUEST_ENDED, catalogue.CALL_REFUSED})
COMMON_FIELDS = frozenset({"at", "t", "node", "number", "event", "level"})
_LEADING_TIME = re.compile(r"^\s*(-?\d+\.\d+)\s")


class LogLine(Struct):
    """A log line. ``time_s`` is the collector's time if the line begins with one, else ``at``."""

    time_s: float
    node: str
    number: int
    event: str
    level: str
    fields: dict[str, Any]

    def mentions(self, wanted_id: str) -> bool:
        """Whether the line is about the request, item or job ``wanted_id``."""
        named = (self.fields.get("request"), self.fields.get("job"))
        return wanted_id in named or wanted_id in self.fields.get("requests", ())

    def text(self) -> str:
        """Return the line as text for a person."""
        shown = " ".join(f"{key}={value}" for key, value in self.fields.items())
        return f"{self.time_s:.3f} {self.node} {self.number} {self.event} {shown}"


def describe_work_state(line: LogLine) -> str:
    """Return the state of the work when a call was refused; empty for other lines.

    >>> fields = {"work": "may_have_begun", "tried": 2, "refused": 1, "status": 502}
    >>> describe_work_state(LogLine(1.0, "n1", 313, "request_ended", "warning", fields))
    'the work may have begun: 2 replicas may have run it, 1 did not; 502 does not rule out a run'
    >>> fields = {"work": "not_begun", "status": 503}
    >>> describe_work_state(LogLine(1.0, "n1", 314, "call_refused", "warning", fields))
    'the work had not begun: nothing was sent; 503 guarantees that it never runs'
    """
    work = line.fields.get("work")
    if line.number not in REFUSAL_EVENTS or work is None:
        return ""
    may_have_begun = work != WorkState.NOT_BEGUN.value
    status = line.fields.get("status", 0)
    guarantee = f"{status} does not rule out a run"
    if status in NOT_RUN_STATUSES:
        guarantee = f"{status} guarantees that it never runs"
    state = "may have begun" if may_have_begun else "had not begun"
    return f"the work {state}: {_describe_attempts(line, may_have_begun)}; {guarantee}"


def _describe_attempts(line: LogLine, may_have_begun: bool) -> str:
    tried, refused = line.fields.get("tried", 0), line.fields.get("refused", 0)
    if not may_have_begun:
        return f"{refused} replicas did not accept it" if refused else "nothing was sent"
    if not tried:
        return "it was sent, but no final answer was received"
    return f"{tried} replicas may have run it, {refused} did not"


def parse_line(text: str) -> LogLine | None:
    """Return a parsed log line, None if the text is not a log line.

    >>> line = parse_line('1.5 n1 {"number":312,"event":"request_answered","request":"r"}')
    >>> line.time_s, line.number, line.fields
    (1.5, 312, {'request': 'r'})
    >>> parse_line("something else") is None
    True
    """
    start = text.find("{")
    if start < 0:
        return None
    try:
        raw = msgspec.json.decode(text[start:])
    except msgspec.DecodeError:
        return None
    if not isinstance(raw, dict) or "number" not in raw:
        return None
    leading = _LEADING_TIME.match(text)
    logged_at: float = raw.get("at") or raw.get("t") or 0.0
    time_s = float(leading.group(1)) if leading else logged_at
    fields = {key: value for key, value in raw.items() if key not in COMMON_FIELDS}
    node, event, level = (str(raw.get(name, "")) for name in ("node", "event", "level"))
    return LogLine(time_s, node, int(raw["number"]), event, level, fields)


def request_history(lines: Iterable[LogLine], wanted_id: str) -> list[LogLine]:
    """Return the lines about ``wanted_id`` and the context lines of its nodes, sorted by time.

    The history of an item includes the lines of its job that name no other item. If replicas
    crashed under the request, lines of any request with the same content are included too.
    """
    all_lines = list(lines)
    matching = [line for line in all_lines if line.mentions(wanted_id)]
    jobs = {str(line.fields["job"]) for line in matching if "job" in line.fields} - {wanted_id}
    matching += [line for line in all_lines if _is_of_job(line, jobs)]
    contents = {content for line in matching for content in _content_hashes(line, wanted_id)}
    matching_ids = {id(line) for line in matching}
    matching += [
        line
        for line in all_lines
        if id(line) not in matching_ids and contents & _content_hashes(line)
    ]
    if not matching:
        return []
    first = min(line.time_s for line in matching) - HISTORY_LEAD_S
    last = max(line.time_s for line in matching)
    nodes = {line.node for line in matching}
    context = [
        line
        for line in all_lines
        if line.number in CONTEXT_EVENTS and line.node in nodes and first <= line.time_s <= last
    ]
    return sorted([*matching, *context], key=lambda line: line.time_s)


def _content_hashes(line: LogLine, wanted_id: str | None = None) -> set[str]:
    """Return the content hashes in a line; of many requests only that of ``wanted_id``."""
    requests, contents = line.fields.get("requests", []), line.fields.get("contents", [])
    if requests and wanted_id is not None:
        return {
            content for name, content in zip(requests, contents, strict=False) if name == wanted_id
        }
    single = line.fields.get("content")
    return {*contents, *([single] if single else [])}


def _is_of_job(line: LogLine, jobs: set[str]) -> bool:
    if "request" in line.fields:
        return line.fields["request"] in jobs
    if "requests" in line.fields:
        return False
    return line.fields.get("job") in jobs
