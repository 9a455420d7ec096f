"""What a node does when a replica has started again under its id: its runs of before are gone.

A connection mostly tells so itself, by a reset. Behind a cut link it tells nothing, and a request
would wait there until silence or its own time ends it. This module breaks off what was in flight at
the start before, so that it is resumed elsewhere or gets its truthful failure at once.

Which exchanges those are is told without the replica's clock, which may differ from this node's by
seconds: their connections were opened while the list still named the start before, and nothing has
come over them for ``QUIET_S``. One opened after the address had refused another is at the new
start, whose entry may come seconds late where the replica is cut off from the store. All that may
be at the new start already is left alone.
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
"""A replica that runs has put something out within this time, mostly: prompts are read in some 10
to 100 ms, and events come some ms apart."""


@attrs.frozen
class _Restart:
    """A new start whose node still looks for exchanges at the one before."""

    address: tuple[str, int]
    opened_before: float
    detected_at: float


class RestartHandler:
    """Ends what belongs to earlier starts of replicas."""

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
        directory.restart_listeners.append(self._on_restart)

    def _on_restart(self, previous: Replica, replica: Replica) -> None:
        now = self._clock()
        address = (previous.host, previous.port)
        discarded = aborted = 0
        if not self._is_reused(previous):
            opened_before = min(self._directory.confirmed_at, self._pool.pop_refused_at(address))
            restart = _Restart(address, opened_before, now)
            discarded = self._pool.discard_idle(address)
            aborted = self._pool.abort_exchanges(address, restart.opened_before, now - QUIET_TIME_S)
            self._pending.append(restart)
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

    def _is_reused(self, previous: Replica) -> bool:
        """Whether an address belongs to another replica by now."""
        return any(
            (replica.host, replica.port) == (previous.host, previous.port)
            and replica.replica_id != previous.replica_id
            for replica in self._directory.all()
        )

    def abort_stale(self) -> None:
        """Break off what had moved just before a new start was learnt, and not since."""
        now = self._clock()
        for restart in [
            pending for pending in self._pending if now - pending.detected_at >= QUIET_TIME_S
        ]:
            self._pending.remove(restart)
            self._pool.abort_exchanges(restart.address, restart.opened_before, restart.detected_at)
