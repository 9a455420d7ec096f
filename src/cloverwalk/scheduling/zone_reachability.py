"""Which zones are unreachable from which. A policy without I/O; time is passed in.

A partition between zones shows as failures of many replicas of one zone at once, whereas a single
failing replica says nothing about its zone. An unreachable zone is avoided as a whole, instead of
one replica after the other at the cost of a request each. Reachability is kept for links, that is,
pairs of zones: the zone of the sending node, and the zone of the replica or of the nodes that
report.
"""

import enum
from collections.abc import Callable, Sequence

import attrs

FAILED_REPLICAS = 4
"""Distinct replicas of a zone that must fail. Up to three can fail together without a partition: a
crash takes the replicas of one machine, and a request that ends replicas is sent to two or
three."""

MIN_FAILED_REPLICAS = 2
"""Lower bound for zones with fewer than ``FAILED_REPLICAS``: all of them must fail, and at least
this many."""

FAILURE_WINDOW_S = 1.0
"""Time within which the replicas must fail; longer than a connection attempt to an unresponsive
host."""

MIN_UNRESPONSIVE_NODES = 3
"""Nodes of a zone that must be unresponsive together; fewer may have failed one by one."""

UNRESPONSIVE_TIMEOUT_S = 1.3
"""The nodes of a zone are unresponsive after this time without a report from any of them. Each
reports at least once a second; the remaining time allows for delays."""

PROBE_INTERVAL_S = 0.5
"""Time between two probes of an unreachable zone, which are single requests. Each may cost its
caller a connection timeout."""

PROBE_SUCCESS_S = 2.0
"""A probe without a failure for this time has succeeded, since a connection to an unresponsive host
fails within a second."""


class Evidence(enum.Enum):
    """Reason for a change of reachability."""

    FAILURES = "failures"
    """Several of the zone's replicas failed and none answered."""

    UNRESPONSIVE = "silence"
    """None of its nodes reports."""

    ANSWER = "answer"
    """One of its replicas answered."""

    REPORTED = "heard"
    """One of its nodes reported."""

    NO_FAILURE = "no_failure"
    """A probe was sent, and nothing has failed since."""


@attrs.frozen
class ReachabilityChange:
    """A zone has become reachable or unreachable from another one."""

    source: str
    zone: str
    is_reachable: bool
    evidence: Evidence


@attrs.define
class _Link:
    """Reachability of one zone from another."""

    failed_at: dict[str, float] = attrs.Factory(dict)
    """When each replica failed, since the last answer."""

    is_unreachable: bool = False
    is_unresponsive: bool = False
    """Whether no node there reports. This makes the zone unreachable once; an answer makes it
    reachable again."""

    probed_at: float = float("-inf")
    first_probe_at: float | None = None
    """When the first probe since the last failure was sent."""


class ZoneReachability:
    """Reachability of zones from each other.

    >>> zones = ZoneReachability()
    >>> for number in range(FAILED_REPLICAS):
    ...     zones.record_failure("a", "b", f"r{number}", 30, now=1.0)
    >>> zones.has_unreachable_zone("a"), zones.may_send("a", "b", 1.2), zones.may_send(
    ...     "a", "b", 1.6
    ... )
    (True, False, True)
    >>> zones.may_send("b", "a", 1.2)
    True
    >>> zones.record_answer("a", "b", 1.7)
    >>> zones.may_send("a", "b", 1.7)
    True
    """

    def __init__(self) -> None:
        self._links: dict[tuple[str, str], _Link] = {}
        self._unreachable: set[tuple[str, str]] = set()
        self.on_change: Callable[[ReachabilityChange], None] = _ignore_change

    # --- observations ---

    def record_failure(
        self, source: str, zone: str, replica_id: str, replicas: int, now: float
    ) -> None:
        """Record a failure; the zone has ``replicas`` usable replicas of the service."""
        if source == zone:
            return
        link = self._links.setdefault((source, zone), _Link())
        link.first_probe_at = None
        link.failed_at = {
            key: at for key, at in link.failed_at.items() if 0 <= now - at <= FAILURE_WINDOW_S
        }
        link.failed_at[replica_id] = now
        needed = max(MIN_FAILED_REPLICAS, min(FAILED_REPLICAS, replicas))
        if not link.is_unreachable and len(link.failed_at) >= needed:
            self._set_reachable(source, zone, False, Evidence.FAILURES, now)

    def record_answer(self, source: str, zone: str, now: float) -> None:
        """Record that a replica answered a node of ``source``."""
        link = self._links.get((source, zone))
        if link is None:
            return
        link.failed_at.clear()
        if link.is_unreachable:
            self._set_reachable(source, zone, True, Evidence.ANSWER, now)

    def record_last_seen(
        self, source: str, zone: str, last_seen_at: Sequence[float], now: float
    ) -> None:
        """Record when the known nodes of a zone were last seen from ``source``."""
        link = self._links.get((source, zone))
        is_unresponsive = (
            len(last_seen_at) >= MIN_UNRESPONSIVE_NODES
            and now - max(last_seen_at) > UNRESPONSIVE_TIMEOUT_S
        )
        if is_unresponsive:
            if link is None or not link.is_unresponsive:
                self._mark_unresponsive(source, zone, now)
        elif link is not None and link.is_unresponsive:
            link.is_unresponsive = False
            if link.is_unreachable:
                self._set_reachable(source, zone, True, Evidence.REPORTED, now)

    def _mark_unresponsive(self, source: str, zone: str, now: float) -> None:
        link = self._links.setdefault((source, zone), _Link())
        if not link.is_unreachable:
            self._set_reachable(source, zone, False, Evidence.UNRESPONSIVE, now)
        link.is_unresponsive = True

    # --- results ---

    @property
    def unreachable_count(self) -> int:
        """Number of unreachable links."""
        return len(self._unreachable)

    def has_unreachable_zone(self, source: str) -> bool:
        """Whether some zone is unreachable from ``source``."""
        return bool(self._unreachable) and any(
            unreachable_from == source for unreachable_from, _ in self._unreachable
        )

    def may_send(self, source: str, zone: str, now: float) -> bool:
        """Whether a zone is reachable or due for a probe."""
        if (source, zone) not in self._unreachable:
            return True
        return now - self._links[source, zone].probed_at >= PROBE_INTERVAL_S

    def record_sent(self, source: str, zone: str, now: float) -> None:
        """Record that a request was sent; to an unreachable zone it is a probe."""
        if (source, zone) not in self._unreachable:
            return
        link = self._links[source, zone]
        link.probed_at = now
        if link.first_probe_at is None:
            link.first_probe_at = now

    def tick(self, now: float) -> None:
        """Mark zones reachable whose probes have had no failure for long enough."""
        for source, zone in sorted(self._unreachable):
            link = self._links[source, zone]
            sent_at = link.first_probe_at
            if sent_at is not None and now - sent_at >= PROBE_SUCCESS_S:
                self._set_reachable(source, zone, True, Evidence.NO_FAILURE, now)

    def _set_reachable(
        self, source: str, zone: str, is_reachable: bool, evidence: Evidence, now: float
    ) -> None:
        link = self._links[source, zone]
        link.is_unreachable = not is_reachable
        link.failed_at.clear()
        link.first_probe_at = None
        link.probed_at = now
        if is_reachable:
            self._unreachable.discard((source, zone))
        else:
            self._unreachable.add((source, zone))
        self.on_change(ReachabilityChange(source, zone, is_reachable, evidence))


def _ignore_change(change: ReachabilityChange) -> None:
    return
