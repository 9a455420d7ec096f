"""Aborts exchanges with a replica that has restarted under its id, since its runs have ended.

Usually a reset of the connection shows the restart. When the network is cut nothing does, and a
request would wait for its timeout. Aborting it lets it resume at another replica, or fail at once.

The exchanges are found without the replica's clock, which may differ from this node's by seconds:
their connections were opened while the list still named the previous incarnation, and no bytes
arrived on them for ``QUIET_TIME_S``. A connection opened after the address had refused another one
leads to the new incarnation; its entry may be late by seconds if the replica is cut off from the
store. Exchanges that may be with the new incarnation are not aborted.
"""

from collections.abc import Callable

import attrs

from cloverwalk.core import catalogue
from cloverwalk.gateway.crash_detector import CrashDetector
from cloverwalk.gateway.replica_connection import ReplicaPool
from cloverwalk.gateway.replicas import Replica, ReplicaDirectory
from cloverwalk.telemetry.log import ServingLog
from cloverwalk.telemetry.metrics import ServingMetrics

QUIET_TIME_S = 0.25
"""A running replica has usually sent something within this time: the prefill ends in less, and
events follow each other faster."""


OnRestart = Callable[[Replica, float], None]
"""Called with a replica that has restarted. Connections opened before the given time lead to its
previous incarnation (monotonic clock, seconds)."""


@attrs.frozen
class _Restart:
    """A restart whose exchanges with the previous incarnation are not all aborted yet."""

    address: tuple[str, int]
    opened_before: float
    detected_at: float


class RestartHandler:
    """Ends the exchanges and connections of earlier incarnations."""

    def __init__(
        self,
        directory: ReplicaDirectory,
        pool: ReplicaPool,
        crash_detector: CrashDetector,
        log: ServingLog,
        metrics: ServingMetrics,
        clock: Callable[[], float],
    ) -> None:
        self._directory = directory
        self._pool = pool
        self._crash_detector = crash_detector
        self._log = log
        self._metrics = metrics
        self._clock = clock
        self._pending: list[_Restart] = []
        self.on_restart: OnRestart = _ignore_restart
        directory.restart_listeners.append(self._on_restart)

    def _on_restart(self, previous: Replica, replica: Replica) -> None:
        now = self._clock()
        address = (previous.host, previous.port)
        discarded = aborted = 0
        opened_before = self._directory.confirmed_at
        if not self._is_address_taken(previous):
            opened_before = min(self._directory.confirmed_at, self._pool.pop_refused_at(address))
            restart = _Restart(address, opened_before, now)
            discarded = self._pool.discard_idle(address)
            aborted = self._pool.abort_exchanges(address, restart.opened_before, now - QUIET_TIME_S)
            self._pending.append(restart)
        self.on_restart(replica, opened_before)
        self._metrics.replica_restarted()
        self._log.write(
            catalogue.REPLICA_RESTARTED,
            replica=replica.replica_id,
            version=replica.version,
            born_ms=replica.started_ms,
            before_ms=previous.started_ms,
            broken_off=aborted,
            connections=discarded,
        )

    def _is_address_taken(self, previous: Replica) -> bool:
        """Whether the address belongs to another replica now."""
        return any(
            (replica.host, replica.port) == (previous.host, previous.port)
            and replica.replica_id != previous.replica_id
            for replica in self._directory.all()
        )

    def abort_stale(self) -> None:
        """Abort exchanges that moved bytes just before a restart was detected, and none since."""
        now = self._clock()
        for restart in [
            pending for pending in self._pending if now - pending.detected_at >= QUIET_TIME_S
        ]:
            self._pending.remove(restart)
            self._pool.abort_exchanges(restart.address, restart.opened_before, restart.detected_at)


def _ignore_restart(replica: Replica, opened_before: float) -> None:
    return
