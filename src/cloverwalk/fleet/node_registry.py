"""The nodes that report to this one."""

import attrs

from cloverwalk.fleet.messages import Contact, Report

NODE_TIMEOUT_S = 2.3
"""A node that was silent for so long is lost: two of its reports, one a second, are missing."""

REMEMBERED_S = 60.0
"""Lost nodes are told for so long who coordinates: a process that starts anew may not be able to
read it from the store."""

STANDBYS = 3
MOST_STANDBYS = 8
"""The same where each zone has one: snapshots go to each four times a second."""

FULL_CORE = 1.0
"""Nodes with less than this coordinate only where no other can."""


@attrs.define
class KnownNode:
    """A node, and what it told last."""

    contact: Contact
    report: Report
    heard_at: float
    told_at: float = float("-inf")
    """When it was last sent orders."""

    copied_at: float = float("-inf")
    totals_at: float = float("-inf")
    cases_at: float = float("-inf")
    """When it was last told of requests under which replicas ended."""

    first_heard_at: float = 0.0
    is_lost: bool = False


class NodeRegistry:
    """Nodes by name."""

    def __init__(self) -> None:
        self.by_name: dict[str, KnownNode] = {}

    def record_report(self, report: Report, host: str, now: float) -> tuple[KnownNode, bool] | None:
        """Take a report; return the node and whether it is a new process, None if it is late."""
        known = self.by_name.get(report.node)
        is_new = known is None or known.is_lost or known.report.run != report.run
        if known is None:
            known = KnownNode(Contact(report.node, host), report, now, first_heard_at=now)
            self.by_name[report.node] = known
        elif known.report.run == report.run and report.sequence <= known.report.sequence:
            return None
        known.contact = Contact(report.node, host)
        known.report = report
        known.heard_at = now
        known.is_lost = False
        return known, is_new

    def expire(self, now: float, remembered_s: float = REMEMBERED_S) -> list[KnownNode]:
        """Return the nodes that are lost since the last call; forget those lost for long."""
        lost: list[KnownNode] = []
        for name, known in list(self.by_name.items()):
            silent_s = now - known.heard_at
            if silent_s > NODE_TIMEOUT_S and not known.is_lost:
                known.is_lost = True
                lost.append(known)
            if known.is_lost and silent_s > remembered_s:
                del self.by_name[name]
        return lost

    def heard_since(self, since: float) -> int:
        """Return how many nodes reported after a time."""
        return sum(one.heard_at >= since for one in self.by_name.values())

    def heard_by_zone(self) -> dict[str, list[float]]:
        """Return when the known nodes of each zone were last heard; those that leave are not told.

        Lost nodes are among them until they are forgotten.
        """
        heard: dict[str, list[float]] = {}
        for one in self.by_name.values():
            if not one.report.is_leaving:
                heard.setdefault(one.report.zone, []).append(one.heard_at)
        return heard

    def live(self) -> list[KnownNode]:
        """Return the nodes that are not lost, sorted by name."""
        return [
            self.by_name[name] for name in sorted(self.by_name) if not self.by_name[name].is_lost
        ]

    def lost(self) -> list[KnownNode]:
        """Return the nodes that are lost and remembered, sorted by name."""
        return [self.by_name[name] for name in sorted(self.by_name) if self.by_name[name].is_lost]

    def is_superseded(self, incarnation: str) -> bool:
        """Whether a process was heard that runs in place of an earlier one."""
        known = self.by_name.get(incarnation.rpartition(".")[0])
        return known is not None and known.report.incarnation != incarnation

    def is_reporting(self, incarnation: str) -> bool:
        """Whether a process reports; one that is about to stop hands its jobs over itself."""
        known = self.by_name.get(incarnation.rpartition(".")[0])
        return known is not None and not known.is_lost and known.report.incarnation == incarnation

    def live_incarnations(self) -> list[str]:
        """Return the processes that may run jobs, sorted."""
        return [one.report.incarnation for one in self.live() if not one.report.is_leaving]

    def choose_standbys(
        self, own_node: str, own_zone: str, by_zone: bool = False
    ) -> tuple[Contact, ...]:
        """Return the nodes that should take over, with room, strong and of other zones first.

        Present standbys need not be kept: whoever takes over learns all within a second. With
        ``by_zone`` each other zone has one first, and contacts tell their zones, so that a zone
        that is cut off finds its own.
        """
        able = [
            one for one in self.live() if one.contact.node != own_node and not one.report.is_leaving
        ]
        able.sort(
            key=lambda one: (
                one.report.is_full,
                one.report.cores < FULL_CORE,
                one.report.zone == own_zone,
            )
        )
        if by_zone:
            return _by_zone(able, own_zone)
        return tuple(one.contact for one in able[:STANDBYS])


def _by_zone(able: list[KnownNode], own_zone: str) -> tuple[Contact, ...]:
    """Return the first node of each other zone, and as many more as there are places left."""
    firsts: dict[str, KnownNode] = {}
    for one in able:
        if one.report.zone != own_zone:
            firsts.setdefault(one.report.zone, one)
    chosen = list(firsts.values())[:MOST_STANDBYS]
    rest = [one for one in able if all(one is not other for other in chosen)]
    chosen += rest[: max(0, STANDBYS - len(chosen))]
    return tuple(Contact(one.contact.node, one.contact.host, one.report.zone) for one in chosen)
