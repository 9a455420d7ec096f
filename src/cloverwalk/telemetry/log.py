"""Structured logs on standard output: numbered events, rate-limited and non-blocking."""

import os
import sys
import time
from typing import Any

import msgspec
import structlog

from cloverwalk.core.catalogue import CATALOGUE, LINES_DROPPED
from cloverwalk.core.events import LogLevel
from cloverwalk.core.token_bucket import TokenBucket

LINES_PER_S = 60.0
BURST_LINES = 240.0
RESERVED_LINES = 80.0
"""Part of the burst that is reserved for warnings and errors."""


def _render(_logger: Any, _method: str, fields: Any) -> str:
    return msgspec.json.encode(fields).decode()


class _NonBlockingWriter:
    """Writes lines to a file descriptor; counts failed writes, such as to a full pipe."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self.failed_writes = 0

    def msg(self, line: str) -> None:
        try:
            os.write(self._descriptor, line.encode() + b"\n")
        except OSError:
            self.failed_writes += 1

    info = warning = error = msg


class ServingLog:
    """The log of one process.

    Each line has the node, the event number, the wall clock time (``at``, seconds) and the
    monotonic time (``t``, seconds). Only the latter gives the order of the lines of a process.
    """

    def __init__(self, node: str, clock: Any, descriptor: int | None = None) -> None:
        if descriptor is None:
            descriptor = sys.stdout.fileno()
        os.set_blocking(descriptor, False)
        self._clock = clock
        self._writer = _NonBlockingWriter(descriptor)
        self._log = structlog.wrap_logger(
            self._writer,
            processors=[_render],
            wrapper_class=structlog.BoundLogger,
            context_class=dict,
            cache_logger_on_first_use=True,
        ).bind(node=node)
        self._budget = TokenBucket(LINES_PER_S, BURST_LINES, clock())
        self._dropped: dict[int, int] = {}
        self.lines_dropped = 0
        """Lines dropped since the start, by the rate limit or by failed writes."""

    def write(self, number: int, **fields: Any) -> None:
        """Write one event; drop and count it if the rate limit is exceeded."""
        now = self._clock()
        event = CATALOGUE[number]
        is_problem = event.level is not LogLevel.INFO
        needed = 1.0 if is_problem else 1.0 + RESERVED_LINES
        if not self._budget.has(now, needed):
            self._dropped[number] = self._dropped.get(number, 0) + 1
            self.lines_dropped += 1
            return
        self._budget.take(now)
        if self._dropped:
            self._write_dropped_counts(now)
        self._emit(event.level.value, event.name, number, now, fields)

    def _write_dropped_counts(self, now: float) -> None:
        dropped, self._dropped = self._dropped, {}
        counts = {str(number): count for number, count in sorted(dropped.items())}
        summary = CATALOGUE[LINES_DROPPED]
        self._emit(summary.level.value, summary.name, LINES_DROPPED, now, {"counts": counts})

    def _emit(self, level: str, name: str, number: int, now: float, fields: Any) -> None:
        failed_writes = self._writer.failed_writes
        write = getattr(self._log, level)
        at = round(time.time(), 4)
        write(name, number=number, level=level, at=at, t=round(now, 4), **fields)
        self.lines_dropped += self._writer.failed_writes - failed_writes
