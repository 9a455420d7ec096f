"""Registry of the nodes that report to this node."""

import attrs

from cloverwalk.fleet.messages import Contact, Report

NODE_TIMEOUT_S = 2.3
"""A node without reports for this time is lost; it has missed two of its reports, one a second."""

LOST_NODE_RETENTION_S = 60.0
"""Lost nodes are kept for this time and sent the current leadership, since a restarted process may
not be able to read it from the store."""

STANDBY_COUNT = 3
MAX_ZONE_STANDBYS = 8
"""Maximum number of standbys if each zone has one; each gets four snapshots per second."""

MIN_COORDINATOR_CORES = 1.0
"""Nodes with fewer cores coordinate only if no other node can."""


@attrs.define
class NodeEntry:
    """A node with its last report."""

    contact: Contact
    report: Report
    last_seen_at: float
    orders_sent_at: float = float("-inf")
    """When orders were last sent to the node."""

    state_sent_at: float = float("-inf")
    """When the replica list was last sent; in the future after a long list."""

    configuration_sent_at: float = float("-inf")
    """When the configuration was last sent to the node."""

    totals_sent_at: float = float("-inf")
    crash_records_sent_at: float = float("-inf")
    """When crash records were last sent to the node."""

    first_seen_at: float = 0.0
    is_lost: bool = False
    history_copies_sent: int = 0
    """How often the history of software versions was sent to the node's process."""


class NodeRegistry:
    """The last report and state of each node, by name."""

    def __init__(self) -> None:
        self.by_name: dict[str, NodeEntry] = {}

    def record_report(self, report: Report, host: str, now: float) -> tuple[NodeEntry, bool] | None:
        """Record a report; return the node's entry and whether its process is new.

        Return None if a later report has been recorded already.
        """
        entry = self.by_name.get(report.node)
        is_new = entry is None or entry.is_lost or entry.report.run != report.run
        if entry is None:
            entry = NodeEntry(Contact(report.node, host), report, now, first_seen_at=now)
            self.by_name[report.node] = entry
        elif entry.report.run == report.run and report.sequence <= entry.report.sequence:
            return None
        entry.contact = Contact(report.node, host)
        entry.report = report
        entry.last_seen_at = now
        entry.is_lost = False
        if is_new:
            entry.history_copies_sent = 0
        return entry, is_new

    def expire(self, now: float, retention_s: float = LOST_NODE_RETENTION_S) -> list[NodeEntry]:
        """Return the nodes lost since the last call.

        Lost nodes that have not reported for ``retention_s`` are removed.
        """
        lost: list[NodeEntry] = []
        for name, entry in list(self.by_name.items()):
            unresponsive_s = now - entry.last_seen_at
            if unresponsive_s > NODE_TIMEOUT_S and not entry.is_lost:
                entry.is_lost = True
                lost.append(entry)
            if entry.is_lost and unresponsive_s > retention_s:
                del self.by_name[name]
        return lost

    def count_seen_since(self, since: float) -> int:
        """Return the number of nodes that have reported since a time."""
        return sum(entry.last_seen_at >= since for entry in self.by_name.values())

    def last_seen_by_zone(self) -> dict[str, list[float]]:
        """Return when the nodes of each zone last reported, without nodes that are leaving.

        Lost nodes are included until they are removed.
        """
        last_seen: dict[str, list[float]] = {}
        for entry in self.by_name.values():
            if not entry.report.is_leaving:
                last_seen.setdefault(entry.report.zone, []).append(entry.last_seen_at)
        return last_seen

    def live(self) -> list[NodeEntry]:
        """Return the nodes that are not lost, sorted by name."""
        return [
            self.by_name[name] for name in sorted(self.by_name) if not self.by_name[name].is_lost
        ]

    def lost(self) -> list[NodeEntry]:
        """Return the lost nodes that are not removed yet, sorted by name."""
        return [self.by_name[name] for name in sorted(self.by_name) if self.by_name[name].is_lost]

    def is_superseded(self, incarnation: str) -> bool:
        """Whether another process of the same node has reported since."""
        entry = self.by_name.get(incarnation.rpartition(".")[0])
        return entry is not None and entry.report.incarnation != incarnation

    def is_reporting(self, incarnation: str) -> bool:
        """Whether a process still reports, even if it is leaving; it then hands over its jobs."""
        entry = self.by_name.get(incarnation.rpartition(".")[0])
        return entry is not None and not entry.is_lost and entry.report.incarnation == incarnation

    def live_incarnations(self) -> list[str]:
        """Return the processes that can run jobs, sorted by node name."""
        return [entry.report.incarnation for entry in self.live() if not entry.report.is_leaving]

    def choose_standbys(
        self, coordinator_node: str, coordinator_zone: str, by_zone: bool = False
    ) -> tuple[Contact, ...]:
        """Return standbys; nodes that have capacity, enough cores or another zone come first.

        Current standbys needn't be kept, since a new coordinator learns the fleet's state from
        reports within a second. With ``by_zone`` each other zone gets one standby first, and the
        contacts name their zones, so that a zone that is cut off finds its standby.
        """
        candidates = [
            entry
            for entry in self.live()
            if entry.contact.node != coordinator_node and not entry.report.is_leaving
        ]
        candidates.sort(
            key=lambda entry: (
                entry.report.is_full,
                entry.report.cores < MIN_COORDINATOR_CORES,
                entry.report.zone == coordinator_zone,
            )
        )
        if by_zone:
            return _choose_by_zone(candidates, coordinator_zone)
        return tuple(entry.contact for entry in candidates[:STANDBY_COUNT])


def _choose_by_zone(candidates: list[NodeEntry], coordinator_zone: str) -> tuple[Contact, ...]:
    """Return the first candidate of each other zone, then others up to ``STANDBY_COUNT``."""
    first_by_zone: dict[str, NodeEntry] = {}
    for entry in candidates:
        if entry.report.zone != coordinator_zone:
            first_by_zone.setdefault(entry.report.zone, entry)
    chosen = list(first_by_zone.values())[:MAX_ZONE_STANDBYS]
    remaining = [entry for entry in candidates if all(entry is not selected for selected in chosen)]
    chosen += remaining[: max(0, STANDBY_COUNT - len(chosen))]
    return tuple(
        Contact(entry.contact.node, entry.contact.host, entry.report.zone) for entry in chosen
    )
