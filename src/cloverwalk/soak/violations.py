"""Violations, and the disturbances and configuration versions that several checks use."""

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

RECOVERY_S = 3.0
"""Recovery time after a fault, in which some promises do not hold yet; the platform's rule."""

NON_CONNECTION_KIND_PREFIXES = ("store_", "replica_")
"""Kinds of faults that do not affect the connections from client to node to replica."""

PLANNED_STOP_KIND = "node_term"
ENDING_SIGNALS = ("SIGTERM", "SIGKILL")


class Violation(Struct, frozen=True):
    """A broken promise."""

    at: float
    promise: str
    """Short name of the promise, the same for all its violations."""

    about: str
    """Id of the request, job or node."""

    message: str

    def line(self) -> str:
        """Return the violation as one line of readable text."""
        return f"{self.at:8.3f} {self.promise}: {self.about}: {self.message}"


class _Span(Struct, frozen=True):
    """A period of a disturbance; an empty list of nodes means all nodes."""

    start: float
    end: float
    nodes: list[str]
    kind: str

    def affects(self, node: str) -> bool:
        """Whether the disturbance affects a node."""
        return not self.nodes or node in self.nodes


class Disturbances:
    """Periods in which nodes or the whole fleet were disturbed by faults or signals."""

    def __init__(self) -> None:
        self._active_faults: dict[int, FaultBegan] = {}
        self._spans: list[_Span] = []
        self._signals: list[NodeSignalled] = []
        self._absent_since: dict[str, float] = {}
        """Time since when a node is stopping or down, by node."""

    def handle(self, event: object) -> None:
        """Update the disturbances by an event."""
        match event:
            case FaultBegan():
                self._active_faults[event.fault] = event
            case FaultEnded():
                fault = self._active_faults.pop(event.fault, None)
                if fault is not None:
                    self._spans.append(_Span(fault.at, event.at, fault.nodes, fault.kind))
            case NodeSignalled():
                self._signals.append(event)
                if event.signal != "SIGTERM":
                    self._spans.append(_Span(event.at, event.at, [event.node], event.signal))
                if event.signal in ENDING_SIGNALS:
                    self._absent_since.setdefault(event.node, event.at)
            case NodeGone():
                self._absent_since.setdefault(event.node, event.at)
            case NodeStarted():
                self._absent_since.pop(event.node, None)
                self._spans.append(_Span(event.at, event.at, [event.node], "start"))

    def is_calm(
        self, since: float, until: float, node: str, ignore_planned_stops: bool = False
    ) -> bool:
        """Whether nothing disturbed a node from ``RECOVERY_S`` before ``since`` to ``until``.

        With ``ignore_planned_stops`` planned stops of the node do not count.
        """
        start = since - RECOVERY_S
        if ignore_planned_stops and self._has_other_signals(start, until, node):
            return False
        if not ignore_planned_stops and self._absent_since.get(node, until + 1) <= until:
            return False
        return not any(
            span.affects(node)
            for span in self._disturbances_within(start, until)
            if not (ignore_planned_stops and span.kind == PLANNED_STOP_KIND)
        )

    def last_planned_stop(self, node: str, until: float) -> float | None:
        """Return when a node was last sent SIGTERM, None if never."""
        stops = [
            signal.at
            for signal in self._signals
            if signal.node == node and signal.signal == "SIGTERM" and signal.at <= until
        ]
        return max(stops, default=None)

    def is_connection_calm(self, since: float, until: float, node: str) -> bool:
        """Like ``is_calm``, but faults of the store and of replicas do not count."""
        start = since - RECOVERY_S
        if self._absent_since.get(node, until + 1) <= until:
            return False
        spans = [span for span in self._disturbances_within(start, until) if span.affects(node)]
        return all(span.kind.startswith(NON_CONNECTION_KIND_PREFIXES) for span in spans)

    def is_calm_but_for_replicas(self, since: float, until: float, node: str) -> bool:
        """Like ``is_calm``, but faults of replicas and of their entries do not count."""
        start = since - RECOVERY_S
        if self._absent_since.get(node, until + 1) <= until:
            return False
        spans = [span for span in self._disturbances_within(start, until) if span.affects(node)]
        return all(span.kind.startswith(("replica_", "entry_")) for span in spans)

    def is_calm_everywhere(self, since: float, until: float) -> bool:
        """Whether nothing disturbed the fleet from ``RECOVERY_S`` before ``since`` to ``until``.

        No node may be stopping or down now, either.
        """
        start = since - RECOVERY_S
        if self._absent_since or any(start <= signal.at <= until for signal in self._signals):
            return False
        return not any(self._disturbances_within(start, until))

    def _disturbances_within(self, since: float, until: float) -> "Iterator[_Span]":
        """Yield the disturbances of any part of the fleet in a period."""
        for span in self._spans:
            if span.start <= until and span.end >= since:
                yield span
        for fault in self._active_faults.values():
            if fault.at <= until:
                yield _Span(fault.at, until, fault.nodes, fault.kind)

    def _has_other_signals(self, since: float, until: float, node: str) -> bool:
        return any(
            since <= signal.at <= until and signal.node == node and signal.signal != "SIGTERM"
            for signal in self._signals
        )


class Versions:
    """Configuration versions that the operator wrote and that nodes reported."""

    def __init__(self) -> None:
        self.written: list[ConfigurationWritten] = []
        self._reported: dict[str, int] = {}
        self.floors: list[tuple[float, int]] = [(0.0, 0)]
        """Times, and the lowest reported version of all running nodes from then on. A node that was
        started and has not reported yet counts with version 0."""

    def handle(self, event: object) -> None:
        """Update the versions by an event."""
        match event:
            case ConfigurationWritten():
                self.written.append(event)
            case NodeStarted():
                self._reported[event.node] = 0
                self._update_floor(event.at)
            case VersionTold():
                self._reported[event.node] = max(event.version, self._reported.get(event.node, 0))
                self._update_floor(event.at)
            case NodeGone():
                self._reported.pop(event.node, None)
                self._update_floor(event.at)

    def _update_floor(self, at: float) -> None:
        floor = min(self._reported.values(), default=0)
        if floor != self.floors[-1][1]:
            self.floors.append((at, floor))

    def reported_version(self, node: str) -> int:
        """Return the version that a node has reported, 0 for none."""
        return self._reported.get(node, 0)

    def possible_versions(self, reported_version: int) -> Iterator[ConfigurationWritten]:
        """Yield the versions that a node may use which has reported ``reported_version``."""
        for written in reversed(self.written):
            yield written
            if written.version <= reported_version:
                return

    def floor_at(self, at: float) -> int:
        """Return the lowest reported version of all running nodes at a time."""
        floor = 0
        for since, version in reversed(self.floors):
            if since <= at:
                floor = version
                break
        return floor
