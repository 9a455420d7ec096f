"""The replicas that may be warming up, and until when.

A replica's entry contains its remaining warm-up time. Entries arrive with a delay, so a replica
that has just started, or whose zone's drain was lifted, counts as warming up before its entry
says so.
"""

import math
from collections.abc import Callable, Mapping

import attrs

from cloverwalk.core import catalogue
from cloverwalk.gateway.configuration import ConfigurationHolder
from cloverwalk.gateway.replicas import EntryKind, Replica, ReplicaDirectory
from cloverwalk.gateway.zone_drains import ZoneDrains
from cloverwalk.telemetry.log import ServingLog

ENTRY_INTERVAL_S = 1.2
"""Interval at which replicas rewrite their entries."""

ENTRY_DELAY_S = 0.5
"""Longest usual delay from the writing of an entry to its arrival."""

MAX_WARMUP_S = 3600.0
"""Upper bound of a warm-up time, whatever an entry or the configuration says."""

COORDINATOR_MARGIN_S = 0.3
"""How much longer the coordinator counts a replica as warming up than other nodes do. They receive
an entry later, so for them the warm-up ends later, and until then they refuse to send requests that
have no token."""

RETURN_TIME_S = 5.0
"""Time after an outage of the store within which replicas rewrite entries that expired."""

REMOVAL_RETENTION_S = 60.0
"""Removals are kept for this time."""

EXTRA_WARMUP_S = {
    EntryKind.NEW: 0.0,
    EntryKind.RESTARTED: 0.0,
    EntryKind.RETURNED: ENTRY_INTERVAL_S + ENTRY_DELAY_S,
}
"""Time added to the service's warm-up time when a warm-up is assumed for this kind of entry."""


@attrs.define
class _Warmup:
    """The warm-up of one replica (monotonic clock, seconds)."""

    service: str
    until: float = float("-inf")
    """End according to its entry or the coordinator."""

    assumed_since: float | None = None
    """Start of an assumed warm-up that no entry has confirmed yet; None if there is none."""

    extra_s: float = 0.0
    """Time added to the service's warm-up time while a warm-up is assumed."""


@attrs.frozen
class _Removal:
    replica: Replica
    removed_at: float


class Warmups:
    """The warm-ups that this node knows or assumes.

    They have no effect unless the replica's service has a ``warmup_rate_per_s``.
    """

    def __init__(
        self,
        directory: ReplicaDirectory,
        configuration: ConfigurationHolder,
        zone_drains: ZoneDrains,
        log: ServingLog,
        clock: Callable[[], float],
    ) -> None:
        self._directory = directory
        self._configuration = configuration
        self._log = log
        self._clock = clock
        self._by_replica: dict[str, _Warmup] = {}
        self._removed: dict[str, _Removal] = {}
        """The last removal of each replica that is not listed now, oldest first."""

        self._lifted_at: dict[str, float] = {}
        """When the last drain of each zone was lifted."""

        self._logged: set[str] = set()
        """Replicas whose warm-up was logged and has not ended."""

        directory.entry_listeners.append(self._on_entry)
        directory.removal_listeners.append(self._on_removal)
        zone_drains.listeners.append(self._on_zone_drains)

    # --- queries ---

    @property
    def is_empty(self) -> bool:
        """Whether no replica may be warming up."""
        return not self._by_replica

    def rate_per_s(self, replica: Replica) -> float:
        """Return the limit on the request rate of a replica while it warms up; 0 means none."""
        current = self._configuration.current
        service = None if current is None else current.services.get(replica.service)
        rate = 0.0 if service is None else service.warmup_rate_per_s
        return rate if rate > 0 and math.isfinite(rate) else 0.0

    def is_warming(self, replica: Replica, now: float, margin_s: float = 0.0) -> bool:
        """Whether the requests to a replica are limited now, or were ``margin_s`` ago."""
        warmup = self._by_replica.get(replica.replica_id)
        if warmup is None or now >= self._end_of(warmup) + margin_s:
            return False
        return self.rate_per_s(replica) > 0

    def limited(self, now: float) -> list[Replica]:
        """Return the replicas that take new work and are limited now, sorted by id."""
        self.expire(now)
        found = [self._directory.find(replica_id) for replica_id in sorted(self._by_replica)]
        return [
            replica for replica in found if replica is not None and self.is_warming(replica, now)
        ]

    def remaining_ms(self, now: float) -> dict[str, int]:
        """Return the remaining warm-up time of each replica that is limited now."""
        return {
            replica.replica_id: math.ceil(
                1000 * (self._end_of(self._by_replica[replica.replica_id]) - now)
            )
            for replica in self.limited(now)
        }

    def expire(self, now: float) -> None:
        """Remove the warm-ups that have ended, including the coordinator's margin."""
        for replica_id, warmup in list(self._by_replica.items()):
            if now >= self._end_of(warmup) + COORDINATOR_MARGIN_S:
                del self._by_replica[replica_id]
                if replica_id in self._logged:
                    self._logged.discard(replica_id)
                    self._log.write(catalogue.REPLICA_WARM, replica=replica_id)

    def _end_of(self, warmup: _Warmup) -> float:
        if warmup.assumed_since is None:
            return warmup.until
        warmup_s = self._warmup_s(warmup.service)
        if warmup_s <= 0:
            return warmup.until
        return max(warmup.until, warmup.assumed_since + warmup_s + warmup.extra_s)

    def _warmup_s(self, service_name: str) -> float:
        current = self._configuration.current
        service = None if current is None else current.services.get(service_name)
        warmup_s = 0.0 if service is None else service.warmup_s
        return min(warmup_s, MAX_WARMUP_S) if warmup_s > 0 else 0.0

    # --- updates ---

    def _on_entry(self, replica: Replica, kind: EntryKind) -> None:
        now = self._clock()
        self.expire(now)
        removal = self._removed.pop(replica.replica_id, None)
        if replica.warmup_ms > 0:
            self._record_entry(replica, kind, now)
        elif kind in EXTRA_WARMUP_S and not self._expired_in_outage(replica, removal, now):
            self._assume(replica, EXTRA_WARMUP_S[kind], kind.value, now)

    def _on_removal(self, replica: Replica) -> None:
        now = self._clock()
        for replica_id, removal in list(self._removed.items()):
            if now - removal.removed_at <= REMOVAL_RETENTION_S:
                break
            del self._removed[replica_id]
        self._removed.pop(replica.replica_id, None)
        self._removed[replica.replica_id] = _Removal(replica, now)

    def _expired_in_outage(self, replica: Replica, removal: _Removal | None, now: float) -> bool:
        """Whether an entry expired because of a store outage while its replica kept running.

        The entries of all replicas may expire then. A replica that has restarted meanwhile has
        another start time in its entry.
        """
        gap = self._directory.last_gap(now)
        if removal is None or gap is None or now - gap.ended_at > RETURN_TIME_S:
            return False
        if removal.removed_at < self._lifted_at.get(replica.zone, float("-inf")):
            # It wasn't listed when the drain of its zone was lifted.
            return False
        is_same = removal.replica.may_be_incarnation(replica.started_ms)
        return is_same and removal.removed_at > gap.began_at

    def _record_entry(self, replica: Replica, kind: EntryKind, now: float) -> None:
        """Apply the remaining time of an entry; it ends an assumption older than entries can be."""
        warmup = self._warmup(replica)
        since = warmup.assumed_since
        if since is not None and now - since > ENTRY_INTERVAL_S + ENTRY_DELAY_S:
            warmup.assumed_since = None
        warmup.until = now + min(replica.warmup_ms / 1000, MAX_WARMUP_S)
        self._log_start(replica, "entry", now)

    def _assume(self, replica: Replica, extra_s: float, cause: str, now: float) -> None:
        warmup = self._warmup(replica)
        warmup.assumed_since = now
        warmup.extra_s = extra_s
        self._log_start(replica, cause, now)

    def _on_zone_drains(self, drained: tuple[str, ...], lifted: tuple[str, ...]) -> None:
        """Assume that all replicas of a zone warm up when its drain is lifted."""
        now = self._clock()
        self._lifted_at.update(dict.fromkeys(lifted, now))
        for replica in self._directory.all():
            if replica.zone in lifted:
                extra_s = ENTRY_INTERVAL_S + ENTRY_DELAY_S
                self._assume(replica, extra_s, "zone_drain_lifted", now)

    def apply_remaining(self, remaining_ms: Mapping[str, int], now: float) -> None:
        """Apply the coordinator's remaining times; they can only extend those of this node."""
        for replica_id, ms in remaining_ms.items():
            replica = self._directory.find(replica_id)
            if replica is None or ms <= 0:
                continue
            warmup = self._warmup(replica)
            warmup.until = max(warmup.until, now + min(ms / 1000, MAX_WARMUP_S))
            self._log_start(replica, "coordinator", now)

    def _warmup(self, replica: Replica) -> _Warmup:
        warmup = self._by_replica.setdefault(replica.replica_id, _Warmup(replica.service))
        warmup.service = replica.service
        return warmup

    def _log_start(self, replica: Replica, cause: str, now: float) -> None:
        if replica.replica_id in self._logged or not self.is_warming(replica, now):
            return
        self._logged.add(replica.replica_id)
        self._log.write(
            catalogue.REPLICA_WARMING,
            replica=replica.replica_id,
            cause=cause,
            remaining_ms=round(1000 * (self._end_of(self._by_replica[replica.replica_id]) - now)),
        )
