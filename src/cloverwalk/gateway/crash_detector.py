"""Finds out whether a replica has ended when it breaks connections off, and who was there then.

The one place for what counts as evidence that a replica ended under a request: the request had been
delivered, its connection broke before the answer was whole, while the replica was in full service,
and just after that nothing listens at its address. A reset on the way, a cut, silence, a spoilt
answer, a request that was sent to a replica which had ended already, a replica that drains or that
was told to leave are no evidence.

A replica that has started again under its id has ended, whatever its connections tell: requests
that were still without an answer there when that was learnt are counted, once for each start, see
``restarts``.
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

BROKEN_OFF = frozenset({"reset", "no_answer", "answer_cut", "not_http", "invalid_stream"})
"""Codes of failures that a replica's end may look like."""

LOOK_AFTER_S = (0.0, 0.03, 0.07)
"""Pauses before each look at the address: a process may close its connections a moment before the
port. What breaks off later is looked after anew: it must not be taken for the cause of an end that
comes just by chance. A replica's next instance comes seconds later (2 on the platform)."""

DELIVERED_S = 0.02
"""A kept connection whose replica has ended breaks one round trip after the next request is sent, 1
to 2 ms between zones. One that breaks later than this had reached a living replica."""

SETTLE_S = 0.05
"""How long the next attempt of a request waits for the first look. It takes one round trip, 1 to
2 ms between zones; without this wait the next replica gets the request before the crash counts."""

MOST_LOGGED = 32
"""Requests that one line names; a replica runs 6 to 17 at once."""


@attrs.frozen
class Delivery:
    """How a request was sent to a replica."""

    is_new_connection: bool
    """Whether the connection was opened for it: the replica lived then."""

    sent_at: float
    """Steady clock, seconds."""


@attrs.define
class _Look:
    """Looks at one replica's address, for requests that broke off together."""

    broken_at: float
    requests: dict[str, str] = attrs.Factory(dict)
    """Contents by the ids of the requests that were there."""

    first: curio.Event = attrs.Factory(curio.Event)
    """Set once the address was looked at."""


class CrashDetector:
    """Tells the ledger what happens to requests at replicas."""

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
        self._looks: list[_Look] = []
        self._beginning: dict[str, _Look] = {}
        """Those that have not looked yet, by replica: others may break off at the same moment."""

        self.on_crash: Callable[[], Awaitable[None]] = _nothing
        """Called when the ledger has news that the coordinator should hear at once."""

    # --- what happens to requests ---

    async def record_failure(
        self,
        request_id: str,
        content: str,
        replica: Replica,
        code: str,
        delivery: Delivery | None,
    ) -> None:
        """An attempt that may have run failed at a replica."""
        if code == RESTARTED:
            await self._note_restarted(request_id, content, replica, delivery)
            return
        if code not in BROKEN_OFF or self._directory.find(replica.replica_id) is None:
            return
        if delivery is None or not self._has_arrived(delivery):
            return
        look = self._beginning.get(replica.replica_id)
        if look is None:
            look = self._beginning[replica.replica_id] = _Look(self._clock())
            self._looks.append(look)
            await curio.spawn(self._look, replica, look, daemon=True)
        look.requests[request_id] = content

    async def _note_restarted(
        self, request_id: str, content: str, replica: Replica, delivery: Delivery | None
    ) -> None:
        """A request was at a start of a replica that has ended."""
        # Behind a cut link nothing tells that a request reached the far end of a kept connection.
        if delivery is None or not delivery.is_new_connection:
            return
        if self._directory.has_left(replica):
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

    def _has_arrived(self, delivery: Delivery) -> bool:
        """Whether a request whose connection just broke had reached a living replica."""
        took_s = self._clock() - delivery.sent_at
        return delivery.is_new_connection or took_s >= DELIVERED_S

    def is_crash_suspect(self, content: str) -> bool:
        """Whether replicas have ended under a request: it is sent over a new connection."""
        return self.ledger.crashes(content) > 0

    def record_answer(self, content: str) -> None:
        """A replica answered a request whole: it lives on.

        Answers are noted on calm days too: a popular request that is answered all the time is not
        contained when several replicas end at once.
        """
        if self.ledger.note_answer(content, self._clock()):
            self._metrics.containment_changed("answered")
            self._log.write(catalogue.CONTAINMENT_ENDED, contents=[content], reason="answered")

    def record_contained(self, content: str, source: str) -> None:
        """A request is contained from now on; ``source`` tells in the log how this node knows."""
        self._metrics.containment_changed("contained")
        crashes = self.ledger.crashes(content)
        self._log.write(
            catalogue.REQUEST_CONTAINED, contents=[content], replicas=crashes, source=source
        )

    def expire(self) -> None:
        """Forget old cases."""
        ended = self.ledger.expire(self._clock())
        if ended:
            self._metrics.containment_changed("old")
            self._log.write(catalogue.CONTAINMENT_ENDED, contents=ended, reason="old")

    def is_contained(self, content: str) -> bool:
        """Whether a request must not be sent, not even as a trial."""
        return self.ledger.containment(content, self._clock()) is Containment.CONTAINED

    async def settle(self, content: str) -> None:
        """Wait a moment until it is known whether replicas that a request was at have ended."""
        looks = [one for one in self._looks if content in one.requests.values()]
        async with curio.ignore_after(SETTLE_S):
            for look in looks:
                await look.first.wait()

    # --- looks ---

    async def _look(self, replica: Replica, look: _Look) -> None:
        found = Reachability.SILENT
        try:
            for pause_s in LOOK_AFTER_S:
                await curio.sleep(pause_s)
                if self._beginning.get(replica.replica_id) is look:
                    del self._beginning[replica.replica_id]
                found = await self._pool.probe((replica.host, replica.port))
                if found is Reachability.REFUSES:
                    break
                await look.first.set()
        finally:
            self._looks.remove(look)
            self._note_found(replica, look, found)
            await look.first.set()
        if found is Reachability.REFUSES:
            await self.on_crash()

    def _note_found(self, replica: Replica, look: _Look, found: Reachability) -> None:
        requests = list(look.requests)[:MOST_LOGGED]
        self._metrics.replica_closed_connections(found.value)
        self._log.write(
            catalogue.REPLICA_BROKE_OFF,
            replica=replica.replica_id,
            found=found.value,
            looked_ms=round((self._clock() - look.broken_at) * 1000, 1),
            requests=requests,
            contents=[look.requests[one] for one in requests],
        )
        if found is not Reachability.REFUSES:
            return
        for content in sorted(set(look.requests.values())):
            if self.ledger.note_crash(content, replica.incarnation_id, look.broken_at):
                self.record_contained(content, "seen")


async def _nothing() -> None:
    return
