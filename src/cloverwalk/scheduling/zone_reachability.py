"""Which zones can't be reached from which. A policy without I/O; time is passed in.

A cut between zones shows as failures at many replicas of one zone at once, while a replica that
fails alone says nothing of its zone. What stands on the other side of a cut is avoided as a whole,
instead of one replica after the other at the cost of a request each. Reach is known by pairs:
the zone of the node that sends, and that of the replica or of the nodes that are heard.
"""

import enum
from collections.abc import Callable, Sequence

import attrs

FAILED_REPLICAS = 4
"""Distinct replicas of a zone that must fail. Up to three fail together by themselves: a crash
takes the replicas of one machine, and a request that ends replicas is sent to two or three."""

LEAST_FAILED_REPLICAS = 2
"""The same where the zone has fewer replicas: all of them, but one alone is no zone."""

WINDOW_S = 1.0
"""They fail within this time: that of connecting to a host that does not answer, and some more."""

MIN_UNRESPONSIVE_NODES = 3
"""Nodes of a zone that must be silent together; fewer may have failed each by itself."""

SILENT_S = 1.3
"""Silence of all nodes of a zone. Each reports once a second at least, and 0.3 s is left for
reports that are late."""

PROBE_EVERY_S = 0.5
"""Time between single requests that are let through to a zone that can't be reached. Each may cost
its caller the time to connect, so they are few; cuts last for seconds."""

JUDGED_S = 2.0
"""A probe that was sent so long ago without any failure since has got through: a connection fails
within a second where nothing answers."""


class Evidence(enum.Enum):
    """What tells that a zone can or can't be reached."""

    FAILURES = "failures"
    """Several of its replicas failed, and none answered."""

    SILENCE = "silence"
    """None of its nodes is heard."""

    ANSWER = "answer"
    """One of its replicas answered."""

    HEARD = "heard"
    """One of its nodes was heard."""

    NO_FAILURE = "no_failure"
    """A probe was sent, and nothing has failed since."""


@attrs.frozen
class ReachabilityChange:
    """A zone can be reached from another one, or can't be any more."""

    source: str
    zone: str
    is_reachable: bool
    evidence: Evidence


@attrs.define
class _Link:
    """The way from one zone to another."""

    failed_at: dict[str, float] = attrs.Factory(dict)
    """Replicas that failed since the last answer."""

    is_unreachable: bool = False
    is_unresponsive: bool = False
    """Whether the nodes there are not heard. That shuts the way once; an answer may open it."""

    probed_at: float = float("-inf")
    first_probe_at: float | None = None
    """When the first probe since the last failure was sent."""


class ZoneReachability:
    """The ways between zones.

    >>> zones = ZoneReachability()
    >>> for number in range(FAILED_REPLICAS):
    ...     zones.note_failure("a", "b", f"r{number}", 30, now=1.0)
    >>> zones.has_shut("a"), zones.may_send("a", "b", 1.2), zones.may_send("a", "b", 1.6)
    (True, False, True)
    >>> zones.may_send("b", "a", 1.2)
    True
    >>> zones.note_answer("a", "b", 1.7)
    >>> zones.may_send("a", "b", 1.7)
    True
    """

    def __init__(self) -> None:
        self._links: dict[tuple[str, str], _Link] = {}
        self._unreachable: set[tuple[str, str]] = set()
        self.on_change: Callable[[ReachabilityChange], None] = _ignore_change

    # --- what is seen ---

    def note_failure(
        self, source: str, zone: str, replica_id: str, replicas: int, now: float
    ) -> None:
        """A replica failed at a node of ``source``; its zone has so many ``replicas`` like it."""
        if source == zone:
            return
        link = self._links.setdefault((source, zone), _Link())
        link.first_probe_at = None
        link.failed_at = {
            key: at for key, at in link.failed_at.items() if 0 <= now - at <= WINDOW_S
        }
        link.failed_at[replica_id] = now
        needed = max(LEAST_FAILED_REPLICAS, min(FAILED_REPLICAS, replicas))
        if not link.is_unreachable and len(link.failed_at) >= needed:
            self._set(source, zone, False, Evidence.FAILURES, now)

    def note_answer(self, source: str, zone: str, now: float) -> None:
        """A replica answered a node of ``source``."""
        link = self._links.get((source, zone))
        if link is None:
            return
        link.failed_at.clear()
        if link.is_unreachable:
            self._set(source, zone, True, Evidence.ANSWER, now)

    def record_last_seen(
        self, source: str, zone: str, heard_at: Sequence[float], now: float
    ) -> None:
        """Take when the known nodes of a zone were last heard from ``source``."""
        link = self._links.get((source, zone))
        is_unresponsive = len(heard_at) >= MIN_UNRESPONSIVE_NODES and now - max(heard_at) > SILENT_S
        if is_unresponsive:
            if link is None or not link.is_unresponsive:
                self._mark_unresponsive(source, zone, now)
        elif link is not None and link.is_unresponsive:
            link.is_unresponsive = False
            if link.is_unreachable:
                self._set(source, zone, True, Evidence.HEARD, now)

    def _mark_unresponsive(self, source: str, zone: str, now: float) -> None:
        link = self._links.setdefault((source, zone), _Link())
        if not link.is_unreachable:
            self._set(source, zone, False, Evidence.SILENCE, now)
        link.is_unresponsive = True

    # --- what follows ---

    @property
    def unreachable_count(self) -> int:
        """How many ways between zones can't be used."""
        return len(self._unreachable)

    def has_shut(self, source: str) -> bool:
        """Whether some zone can't be reached from ``source``."""
        return bool(self._unreachable) and any(
            unreachable_from == source for unreachable_from, _ in self._unreachable
        )

    def may_send(self, source: str, zone: str, now: float) -> bool:
        """Whether a zone can be reached, or is to be probed now."""
        if (source, zone) not in self._unreachable:
            return True
        return now - self._links[source, zone].probed_at >= PROBE_EVERY_S

    def note_sent(self, source: str, zone: str, now: float) -> None:
        """A request was sent: where the zone can't be reached, it is a probe."""
        if (source, zone) not in self._unreachable:
            return
        link = self._links[source, zone]
        link.probed_at = now
        if link.first_probe_at is None:
            link.first_probe_at = now

    def tick(self, now: float) -> None:
        """Open the ways whose probes have had no failure for long."""
        for source, zone in sorted(self._unreachable):
            link = self._links[source, zone]
            sent_at = link.first_probe_at
            if sent_at is not None and now - sent_at >= JUDGED_S:
                self._set(source, zone, True, Evidence.NO_FAILURE, now)

    def _set(
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
