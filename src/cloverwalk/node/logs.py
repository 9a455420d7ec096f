"""Structured logs: one JSON line an event, numbered from the catalogue."""

import sys
from typing import Any

import structlog

from cloverwalk.core.catalogue import CATALOGUE
from cloverwalk.core.events import WriteLog


class EventLog:
    """Writes numbered events of one node."""

    def __init__(self, node_id: str, quiet: bool = False) -> None:
        processors: list[Any] = [
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(),
        ]
        self._quiet = quiet
        self._log = structlog.wrap_logger(
            structlog.PrintLogger(sys.stderr), processors=processors
        ).bind(node=node_id)

    def write(self, entry: WriteLog) -> None:
        """Write one event."""
        if self._quiet:
            return
        known = CATALOGUE[entry.number]
        write = getattr(self._log, known.level.value)
        write(known.name, number=entry.number, **entry.fields)
