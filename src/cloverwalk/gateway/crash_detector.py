"""Detects replicas that ended under a request, and records the crash in the ledger.

This is the one place that decides what counts as evidence: the request was delivered, its
connection failed before the answer was whole, the replica was listed and not draining, and right
afterwards nothing listens at its address. No evidence are: a reset or cut in the network, a
timeout, an invalid answer, a request sent to a replica that had ended before, and the end of a
replica that was draining.

A replica that has restarted under its id has ended, whatever its connections show. Requests without
an answer at that time are counted, once for each incarnation; see ``restarts``.
"""

from collections.abc import Awaitable, Callable

import attrs
import curio

from cloverwalk.core import catalogue
from cloverwalk.gateway.crash_ledger import Containment, CrashLedger
from cloverwalk.gateway.errors import RESTARTED
from cloverwalk.gateway.replica_connection import Reachability, ReplicaPool
from cloverwalk.gateway.replicas import Replica, ReplicaDirectory
from cloverwalk.telemetry.log import ServingLog
from cloverwalk.telemetry.metrics import ServingMetrics

POSSIBLE_CRASH_CODES = frozenset({"reset", "no_answer", "answer_cut", "not_http", "invalid_stream"})
"""Codes of failures that may be caused by the end of the replica."""

PROBE_DELAYS_S = (0.0, 0.03, 0.07)
"""Delays before the probes of an address: a process may close its connections a moment before its
port. They end well before the replica's next incarnation listens there, which takes seconds. Later
failures get probes of their own, so that they are not blamed for an end that follows by chance."""

DELIVERY_THRESHOLD_S = 0.02
"""A reused connection to an ended replica fails one round trip after the next request is sent, 1 to
2 ms between zones. One that fails later than this had reached a living replica."""

FIRST_PROBE_TIMEOUT_S = 0.05
"""How long the next attempt of a request waits for the first probe, which takes a round trip.
Without it the next replica would get the request before the crash is counted."""

MAX_LOGGED_REQUESTS = 32
"""Requests that one log line names; more than a replica runs at once."""


@attrs.frozen
class Delivery:
    """How a request was sent to a replica."""

    is_new_connection: bool
    """Whether the connection was opened for this request, so that the replica lived then."""

    sent_at: float
    """Monotonic clock, seconds."""


@attrs.define
class _Probe:
    """The probes of one replica's address, for requests that failed together."""

    failed_at: float
    content_by_request: dict[str, str] = attrs.Factory(dict)
    """Content hashes by the ids of the requests that the replica had."""

    first_result: curio.Event = attrs.Factory(curio.Event)
    """Set when the first probe has its result."""


class CrashDetector:
    """Records crashes and answers of requests in the crash ledger."""

    def __init__(
        self,
        ledger: CrashLedger,
        directory: ReplicaDirectory,
        pool: ReplicaPool,
        log: ServingLog,
        metrics: ServingMetrics,
        clock: Callable[[], float],
    ) -> None:
        self.ledger = ledger
        self._directory = directory
        self._pool = pool
        self._log = log
        self._metrics = metrics
        self._clock = clock
        self._probes: list[_Probe] = []
        self._pending_probes: dict[str, _Probe] = {}
        """Those whose first probe has not begun, by replica id; simultaneous failures join them."""

        self.on_crash: Callable[[], Awaitable[None]] = _do_nothing
        """Called when the ledger has a crash that the coordinator should get at once."""

    # --- outcomes of requests ---

    async def record_failure(
        self,
        request_id: str,
        content: str,
        replica: Replica,
        code: str,
        delivery: Delivery | None,
    ) -> None:
        """Record that an attempt which may have run failed at a replica; start probes if needed."""
        if code == RESTARTED:
            await self._record_restart(request_id, content, replica, delivery)
            return
        is_running = self._directory.find_running(replica.replica_id) is not None
        if code not in POSSIBLE_CRASH_CODES or not is_running:
            return
        if delivery is None or not self._was_delivered(delivery):
            return
        probe = self._pending_probes.get(replica.replica_id)
        if probe is None:
            probe = self._pending_probes[replica.replica_id] = _Probe(self._clock())
            self._probes.append(probe)
            await curio.spawn(self._run_probe, replica, probe, daemon=True)
        probe.content_by_request[request_id] = content

    async def _record_restart(
        self, request_id: str, content: str, replica: Replica, delivery: Delivery | None
    ) -> None:
        """Record that a request was at an incarnation which has ended."""
        # With the network cut, nothing shows that a request on a reused connection was delivered.
        if delivery is None or not delivery.is_new_connection:
            return
        if self._directory.was_draining(replica):
            return
        if self.ledger.was_answered_since(content, delivery.sent_at):
            return
        self._metrics.replica_closed_connections(RESTARTED)
        self._log.write(
            catalogue.REPLICA_BROKE_OFF,
            replica=replica.replica_id,
            found=RESTARTED,
            looked_ms=0,
            requests=[request_id],
            contents=[content],
        )
        if self.ledger.note_crash(content, replica.incarnation_id, self._clock()):
            self.record_contained(content, "seen")
        await self.on_crash()

    def _was_delivered(self, delivery: Delivery) -> bool:
        """Whether a request whose connection just failed had reached a living replica."""
        elapsed_s = self._clock() - delivery.sent_at
        return delivery.is_new_connection or elapsed_s >= DELIVERY_THRESHOLD_S

    def is_crash_suspect(self, content: str) -> bool:
        """Whether replicas have ended under a request, which is then sent over a new connection."""
        return self.ledger.crashes(content) > 0

    def record_answer(self, content: str) -> None:
        """Record that a replica answered a request whole, and so survived it.

        Answers are recorded also while no replica has crashed: a popular request with steady
        answers is then not contained when several replicas end at once.
        """
        if self.ledger.note_answer(content, self._clock()):
            self._metrics.containment_changed("answered")
            self._log.write(catalogue.CONTAINMENT_ENDED, contents=[content], reason="answered")

    def record_contained(self, content: str, source: str) -> None:
        """Count and log a newly contained request; ``source`` names in the log who observed it."""
        self._metrics.containment_changed("contained")
        crashes = self.ledger.crashes(content)
        self._log.write(
            catalogue.REQUEST_CONTAINED, contents=[content], replicas=crashes, source=source
        )

    def expire(self) -> None:
        """Remove old crash records."""
        ended = self.ledger.expire(self._clock())
        if ended:
            self._metrics.containment_changed("old")
            self._log.write(catalogue.CONTAINMENT_ENDED, contents=ended, reason="old")

    def is_contained(self, content: str) -> bool:
        """Whether a request must not be sent, not even as a trial."""
        return self.ledger.containment(content, self._clock()) is Containment.CONTAINED

    async def wait_for_first_probe(self, content: str) -> None:
        """Wait, for a bounded time, for the first probes of replicas at which a request failed."""
        probes = [probe for probe in self._probes if content in probe.content_by_request.values()]
        async with curio.ignore_after(FIRST_PROBE_TIMEOUT_S):
            for probe in probes:
                await probe.first_result.wait()

    # --- probes ---

    async def _run_probe(self, replica: Replica, probe: _Probe) -> None:
        reachability = Reachability.SILENT
        try:
            for delay_s in PROBE_DELAYS_S:
                await curio.sleep(delay_s)
                if self._pending_probes.get(replica.replica_id) is probe:
                    del self._pending_probes[replica.replica_id]
                reachability = await self._pool.probe((replica.host, replica.port))
                if reachability is Reachability.REFUSES:
                    break
                await probe.first_result.set()
        finally:
            self._probes.remove(probe)
            self._record_result(replica, probe, reachability)
            await probe.first_result.set()
        if reachability is Reachability.REFUSES:
            await self.on_crash()

    def _record_result(self, replica: Replica, probe: _Probe, reachability: Reachability) -> None:
        request_ids = list(probe.content_by_request)[:MAX_LOGGED_REQUESTS]
        self._metrics.replica_closed_connections(reachability.value)
        self._log.write(
            catalogue.REPLICA_BROKE_OFF,
            replica=replica.replica_id,
            found=reachability.value,
            looked_ms=round((self._clock() - probe.failed_at) * 1000, 1),
            requests=request_ids,
            contents=[probe.content_by_request[request_id] for request_id in request_ids],
        )
        if reachability is not Reachability.REFUSES:
            return
        for content in sorted(set(probe.content_by_request.values())):
            if self.ledger.note_crash(content, replica.incarnation_id, probe.failed_at):
                self.record_contained(content, "seen")


async def _do_nothing() -> None:
    return
