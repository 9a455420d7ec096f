"""What a checker reports, and what several checks need to know about the history."""

from collections.abc import Iterable, Iterator

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


class Disturbances:
    """When the fleet, or one of its nodes, was disturbed by faults or signals."""

    def __init__(self) -> None:
        self._open: dict[int, FaultBegan] = {}
        self._spans: list[tuple[float, float, frozenset[str]]] = []
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
                    self._spans.append((began.at, event.at, frozenset(began.nodes)))
            case NodeSignalled():
                self._signals.append(event)
                if event.signal != "SIGTERM":
                    self._spans.append((event.at, event.at, frozenset([event.node])))
                if event.signal in ENDING_SIGNALS:
                    self._absent.setdefault(event.node, event.at)
            case NodeGone():
                self._absent.setdefault(event.node, event.at)
            case NodeStarted():
                self._absent.pop(event.node, None)
                self._spans.append((event.at, event.at, frozenset([event.node])))

    def is_calm(self, since: float, until: float, node: str, but_for_stops: bool = False) -> bool:
        """Whether nothing disturbed a node from ``CONTACT_S`` before a time to another.

        ``but_for_stops`` leaves planned stops of the node out.
        """
        began = since - CONTACT_S
        if but_for_stops and self._has_other_signals(began, until, node):
            return False
        if not but_for_stops and node in self._absent:
            return False
        if any(self._touches(one.nodes, node) and one.at <= until for one in self._open.values()):
            return False
        return not any(
            start <= until and end >= began and self._touches(nodes, node)
            for start, end, nodes in self._spans
        )

    def is_calm_everywhere(self, since: float, until: float) -> bool:
        """Whether nothing at all was disturbed in that time."""
        began = since - CONTACT_S
        if self._open or self._absent:
            return False
        is_signalled = any(began <= one.at <= until for one in self._signals)
        return not is_signalled and not any(
            start <= until and end >= began for start, end, _ in self._spans
        )

    def _has_other_signals(self, since: float, until: float, node: str) -> bool:
        return any(
            since <= one.at <= until and one.node == node and one.signal != "SIGTERM"
            for one in self._signals
        )

    def _touches(self, nodes: Iterable[str], node: str) -> bool:
        names = set(nodes)
        return not names or node in names


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
