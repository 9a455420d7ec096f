"""What a checker reports, and what several checks need to know about the history."""

from collections.abc import Iterator

from msgspec import Struct

from cloverwalk.soak.events import (
    ConfigurationWritten,
    FaultBegan,
    FaultEnded,
    NodeGone,
    NodeSignalled,
    NodeStarted,
    VersionTold,
)

CONTACT_S = 3.0
"""After a fault, promises of calm fleets bind again after so long; the platform's sheet says so."""

BEYOND_THE_WAY = ("store_", "replica_")
"""Kinds of faults that leave the connections from client to node to replica as they are."""

ENDING_SIGNALS = ("SIGTERM", "SIGKILL")


class Violation(Struct, frozen=True):
    """A broken promise."""

    at: float
    promise: str
    """Short name of the promise."""

    about: str
    """Id of the request, job or node."""

    message: str

    def line(self) -> str:
        """Return it for people."""
        return f"{self.at:8.3f} {self.promise}: {self.about}: {self.message}"


class _Span(Struct, frozen=True):
    """A time in which something was disturbed; an empty list of nodes is all of them."""

    start: float
    end: float
    nodes: list[str]
    kind: str

    def touches(self, node: str) -> bool:
        """Whether a node was disturbed."""
        return not self.nodes or node in self.nodes


class Disturbances:
    """When the fleet, or one of its nodes, was disturbed by faults or signals."""

    def __init__(self) -> None:
        self._open: dict[int, FaultBegan] = {}
        self._spans: list[_Span] = []
        self._signals: list[NodeSignalled] = []
        self._absent: dict[str, float] = {}
        """Nodes that were sent a signal and did not start again, since when."""

    def take(self, event: object) -> None:
        """Follow an event."""
        match event:
            case FaultBegan():
                self._open[event.fault] = event
            case FaultEnded():
                began = self._open.pop(event.fault, None)
                if began is not None:
                    self._spans.append(_Span(began.at, event.at, began.nodes, began.kind))
            case NodeSignalled():
                self._signals.append(event)
                if event.signal != "SIGTERM":
                    self._spans.append(_Span(event.at, event.at, [event.node], event.signal))
                if event.signal in ENDING_SIGNALS:
                    self._absent.setdefault(event.node, event.at)
            case NodeGone():
                self._absent.setdefault(event.node, event.at)
            case NodeStarted():
                self._absent.pop(event.node, None)
                self._spans.append(_Span(event.at, event.at, [event.node], "start"))

    def is_calm(self, since: float, until: float, node: str, but_for_stops: bool = False) -> bool:
        """Whether nothing disturbed a node from ``CONTACT_S`` before a time to another.

        ``but_for_stops`` leaves planned stops of the node out.
        """
        began = since - CONTACT_S
        if but_for_stops and self._has_other_signals(began, until, node):
            return False
        if not but_for_stops and self._absent.get(node, until + 1) <= until:
            return False
        return not any(one.touches(node) for one in self._within(began, until))

    def is_way_calm(self, since: float, until: float, node: str) -> bool:
        """Whether nothing disturbed a node and its connections; the store does not count."""
        began = since - CONTACT_S
        if self._absent.get(node, until + 1) <= until:
            return False
        found = [one for one in self._within(began, until) if one.touches(node)]
        return all(one.kind.startswith(BEYOND_THE_WAY) for one in found)

    def is_calm_everywhere(self, since: float, until: float) -> bool:
        """Whether nothing at all was disturbed in that time."""
        began = since - CONTACT_S
        if self._absent or any(began <= one.at <= until for one in self._signals):
            return False
        return not any(self._within(began, until))

    def _within(self, since: float, until: float) -> "Iterator[_Span]":
        """Return what disturbed any part of the fleet in some time."""
        for span in self._spans:
            if span.start <= until and span.end >= since:
                yield span
        for began in self._open.values():
            if began.at <= until:
                yield _Span(began.at, until, began.nodes, began.kind)

    def _has_other_signals(self, since: float, until: float, node: str) -> bool:
        return any(
            since <= one.at <= until and one.node == node and one.signal != "SIGTERM"
            for one in self._signals
        )


class Versions:
    """Versions of the configuration: written by the operator, told by nodes."""

    def __init__(self) -> None:
        self.written: list[ConfigurationWritten] = []
        self._told: dict[str, int] = {}
        self.floors: list[tuple[float, int]] = [(0.0, 0)]
        """From when on no node goes by an older version than this."""

    def take(self, event: object) -> None:
        """Follow an event."""
        match event:
            case ConfigurationWritten():
                self.written.append(event)
            case NodeStarted():
                self._told[event.node] = 0
                self._note_floor(event.at)
            case VersionTold():
                self._told[event.node] = max(event.version, self._told.get(event.node, 0))
                self._note_floor(event.at)
            case NodeGone():
                self._told.pop(event.node, None)
                self._note_floor(event.at)

    def _note_floor(self, at: float) -> None:
        floor = min(self._told.values(), default=0)
        if floor != self.floors[-1][1]:
            self.floors.append((at, floor))

    def told(self, node: str) -> int:
        """Return the version that a node has told, 0 for none."""
        return self._told.get(node, 0)

    def since(self, version: int) -> Iterator[ConfigurationWritten]:
        """Return the versions that may be in force where ``version`` was told."""
        for one in reversed(self.written):
            yield one
            if one.version <= version:
                return

    def floor_at(self, at: float) -> int:
        """Return the version than which no node's was older at a time."""
        floor = 0
        for since, version in reversed(self.floors):
            if since <= at:
                floor = version
                break
        return floor
