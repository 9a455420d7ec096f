"""Detects replicas that ended under a request, and records the crash in the ledger.

This is the one place that decides what counts as evidence: the request was delivered, its
connection failed before the answer was whole, the replica was listed and not draining, and right
afterwards nothing listens at its address. No evidence are: a reset or cut in the network, a
timeout, an invalid answer, a request sent to a replica that had ended before, and the end of a
replica that was draining.

A replica that has restarted under its id has ended, whatever its connections show. Requests without
an answer at that time are counted, once for each incarnation; see ``restarts``.

An answer with neither a length nor chunks ends with its connection, and so may one whose replica
crashes. It counts as whole only if the replica is found to listen afterwards.
"""

from collections.abc import Awaitable, Callable

import attrs
import curio

from cloverwalk.core import catalogue
from cloverwalk.gateway.crash_keys import REQUEST_MARK_CHARACTERS, RequestKeys, part_key
from cloverwalk.gateway.crash_ledger import CrashLedger
from cloverwalk.gateway.errors import RESTARTED
from cloverwalk.gateway.replica_connection import Reachability, ReplicaPool
from cloverwalk.gateway.replicas import Replica, ReplicaDirectory
from cloverwalk.gateway.software_versions import software_of
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

MIN_SOUND_RUN_S = 0.25
"""A run is sound if its answer began this long before the crash. It is not counted for its parts: a
part that crashes replicas does so when its answer begins. For its content it counts as
``CrashLedger.is_contained`` says."""

UNPROVED_ANSWER_TTL_S = 0.5
"""How long an answer that ended with its connection is kept as possibly cut off by a crash. The
next connection to the replica, refused then, shows the crash."""

MAX_UNPROVED_ANSWERS = 64
"""Such answers that are kept for a replica; more than it runs at once."""

MAX_LOGGED_REQUESTS = 32
"""Requests that one log line names; more than a replica runs at once."""


@attrs.define
class Delivery:
    """How a request was sent to a replica."""

    is_new_connection: bool
    """Whether the connection was opened for this request, so that the replica lived then."""

    sent_at: float
    """Monotonic clock, seconds."""

    begun_at: float | None = None
    """When the first events of its answer arrived; None if none did."""

    has_answer: bool = False
    """Whether the head of its answer arrived, which a living replica has sent."""


@attrs.frozen
class _Suspect:
    """A request that a replica had when it may have crashed."""

    keys: RequestKeys
    delivery: Delivery
    failed_at: float
    is_answered: bool = False
    """Whether its answer may be whole."""

    def was_sound(self, crashed_at: float) -> bool:
        """Whether its answer had run on for ``MIN_SOUND_RUN_S`` when the replica crashed."""
        begun_at = self.delivery.begun_at
        return begun_at is not None and crashed_at - begun_at >= MIN_SOUND_RUN_S


@attrs.define
class _Probe:
    """The probes of one replica's address, for requests that failed together."""

    failed_at: float
    suspects: dict[str, _Suspect] = attrs.Factory(dict)
    """By the ids of the requests."""

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
        self._unproved_answers: dict[str, dict[str, _Suspect]] = {}
        """Answers that ended with their connection, by replica and request."""

        self._pending_probes: dict[str, _Probe] = {}
        """Those whose first probe has not begun, by replica id; simultaneous failures join them."""

        self.on_crash: Callable[[], Awaitable[None]] = _do_nothing
        """Called when the ledger has a crash that the coordinator should get at once."""

    # --- outcomes of requests ---

    async def record_failure(
        self,
        request_id: str,
        keys: RequestKeys,
        replica: Replica,
        code: str,
        delivery: Delivery | None,
    ) -> None:
        """Record that an attempt which may have run failed at a replica; start probes if needed."""
        if code == RESTARTED:
            await self._record_restart(request_id, keys, replica, delivery)
            return
        if code not in POSSIBLE_CRASH_CODES or not self._is_running(replica):
            return
        if delivery is None or not self._was_delivered(delivery):
            return
        await self._probe(replica, request_id, _Suspect(keys, delivery, self._clock()))

    def _is_running(self, replica: Replica) -> bool:
        return self._directory.find_running(replica.replica_id) is not None

    async def _probe(self, replica: Replica, request_id: str, suspect: _Suspect) -> None:
        """Add a request to the probes of its replica; start them if none are about to begin."""
        probe = self._pending_probes.get(replica.replica_id)
        if probe is None:
            probe = self._pending_probes[replica.replica_id] = _Probe(self._clock())
            self._probes.append(probe)
            await curio.spawn(self._run_probe, replica, probe, daemon=True)
        probe.suspects.update(self._pop_unproved(replica))
        probe.suspects[request_id] = suspect

    async def _record_restart(
        self, request_id: str, keys: RequestKeys, replica: Replica, delivery: Delivery | None
    ) -> None:
        """Record that a request was at an incarnation which has ended."""
        # With the network cut, nothing shows that a request on a reused connection was delivered.
        if delivery is None or not delivery.is_new_connection:
            return
        if self._directory.was_draining(replica):
            return
        if self.ledger.was_answered_since(keys.content, delivery.sent_at):
            return
        suspects = {request_id: _Suspect(keys, delivery, self._clock())}
        self._log_crash(replica, RESTARTED, 0.0, suspects)
        self._note_crash(replica, suspects, self._clock())
        await self.on_crash()

    def _was_delivered(self, delivery: Delivery) -> bool:
        """Whether a request whose connection just failed had reached a living replica."""
        elapsed_s = self._clock() - delivery.sent_at
        return (
            delivery.is_new_connection or delivery.has_answer or elapsed_s >= DELIVERY_THRESHOLD_S
        )

    async def record_answer(
        self,
        request_id: str,
        keys: RequestKeys,
        replica: Replica,
        delivery: Delivery | None,
        *,
        ends_with_connection: bool,
    ) -> None:
        """Record that a replica answered a request whole, and so survived it.

        Answers are recorded also while no replica has crashed: a popular request with steady
        answers is then not contained when several replicas end at once.
        """
        if not ends_with_connection:
            self._note_answer(replica, keys, self._clock())
            return
        if delivery is None or not self._is_running(replica):
            return
        suspect = _Suspect(keys, delivery, self._clock(), is_answered=True)
        if self.ledger.keys_with_crashes(keys):
            await self._probe(replica, request_id, suspect)
            return
        unproved = self._unproved_answers.setdefault(replica.replica_id, {})
        unproved[request_id] = suspect
        if len(unproved) > MAX_UNPROVED_ANSWERS:
            del unproved[next(iter(unproved))]

    async def record_unreachable(self, replica: Replica) -> None:
        """Record that no connection to a replica could be opened."""
        if not self._is_running(replica):
            return
        for request_id, suspect in self._pop_unproved(replica).items():
            await self._probe(replica, request_id, suspect)

    def _pop_unproved(self, replica: Replica) -> dict[str, _Suspect]:
        """Pop the recent answers of a replica that a crash may have cut off."""
        unproved = self._unproved_answers.pop(replica.replica_id, {})
        since = self._clock() - UNPROVED_ANSWER_TTL_S
        return {key: suspect for key, suspect in unproved.items() if suspect.failed_at > since}

    def _note_answer(self, replica: Replica, keys: RequestKeys, at: float) -> None:
        answered = [keys.content, *keys.part_keys(software_of(replica))]
        ended = [key for key in answered if self.ledger.note_answer(key, at)]
        if ended:
            self._metrics.containment_changed("answered")
            self._log.write(catalogue.CONTAINMENT_ENDED, contents=ended, reason="answered")

    def record_contained(self, key: str, source: str, part_id: str | None = None) -> None:
        """Count and log a newly contained request or part; ``source`` names who observed it."""
        self._metrics.containment_changed("contained")
        self._log.write(
            catalogue.REQUEST_CONTAINED,
            contents=[key],
            replicas=self.ledger.crashes(key),
            source=source,
            part=part_id,
            crashed=self.ledger.crashed_replicas(key),
        )

    def expire(self) -> None:
        """Remove old crash records and unproved answers."""
        since = self._clock() - UNPROVED_ANSWER_TTL_S
        for replica_id, unproved in list(self._unproved_answers.items()):
            if all(suspect.failed_at <= since for suspect in unproved.values()):
                del self._unproved_answers[replica_id]
        ended = self.ledger.expire(self._clock())
        if ended:
            self._metrics.containment_changed("old")
            self._log.write(catalogue.CONTAINMENT_ENDED, contents=ended, reason="old")

    async def wait_for_first_probe(self, request_id: str) -> None:
        """Wait, for a bounded time, for the first probes of replicas at which a request failed."""
        probes = [probe for probe in self._probes if request_id in probe.suspects]
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
        looked_ms = (self._clock() - probe.failed_at) * 1000
        self._log_crash(replica, reachability.value, looked_ms, probe.suspects)
        if reachability is Reachability.REFUSES:
            self._note_crash(replica, probe.suspects, probe.failed_at)
        elif reachability is Reachability.LISTENS:
            for suspect in probe.suspects.values():
                if suspect.is_answered:
                    self._note_answer(replica, suspect.keys, suspect.failed_at)

    def _log_crash(
        self, replica: Replica, found: str, looked_ms: float, suspects: dict[str, _Suspect]
    ) -> None:
        self._metrics.replica_closed_connections(found)
        logged = dict(list(suspects.items())[:MAX_LOGGED_REQUESTS])
        self._log.write(
            catalogue.REPLICA_BROKE_OFF,
            replica=replica.replica_id,
            found=found,
            looked_ms=round(looked_ms, 1),
            requests=list(logged),
            contents=[suspect.keys.content for suspect in logged.values()],
            parts=[list(suspect.keys.part_ids) for suspect in logged.values()],
        )

    def _note_crash(
        self, replica: Replica, suspects: dict[str, _Suspect], crashed_at: float
    ) -> None:
        """Record the crash of a replica for the contents and parts of the requests that it had."""
        incarnation, software = replica.incarnation_id, software_of(replica)
        last_sent: dict[str, _Suspect] = {}
        for suspect in suspects.values():
            content, was_sound = suspect.keys.content, suspect.was_sound(crashed_at)
            if self.ledger.note_crash(content, incarnation, crashed_at, was_sound=was_sound):
                self.record_contained(content, "seen")
            if was_sound:
                continue
            for part_id in suspect.keys.part_ids:
                known = last_sent.get(part_id, suspect)
                if suspect.delivery.sent_at >= known.delivery.sent_at:
                    last_sent[part_id] = suspect
        for part_id, suspect in sorted(last_sent.items(), key=lambda item: item[0]):
            key, mark = part_key(part_id, software), suspect.keys.content[:REQUEST_MARK_CHARACTERS]
            sent_at = suspect.delivery.sent_at
            if self.ledger.note_crash(key, incarnation, crashed_at, sent_at, mark):
                self.record_contained(key, "seen", part_id)


async def _do_nothing() -> None:
    return
