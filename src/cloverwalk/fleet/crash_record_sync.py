"""Has all nodes know the requests under which replicas have ended.

What a node sees goes to the coordinator with its reports, which adds it up and tells every node at
once of cases that concern all. Digests in reports and orders find what was lost on the way: then
both sides tell all they know, so a new coordinator learns it from the nodes.
"""

from collections.abc import Callable

from cloverwalk.core import catalogue
from cloverwalk.fleet.messages import CrashCases, Report
from cloverwalk.fleet.node_registry import KnownNode
from cloverwalk.fleet.transport import Sender
from cloverwalk.gateway.crash_ledger import CrashLedger, CrashRecord, InvalidCrashRecordError
from cloverwalk.telemetry.log import ServingLog

REPEAT_EVERY_S = 0.5
"""What differs is told again after this time at the soonest; a change goes out at once."""


class CrashRecordSync:
    """Merges and tells cases, at a node and at the coordinator."""

    def __init__(
        self, ledger: CrashLedger, transport: Sender, log: ServingLog, clock: Callable[[], float]
    ) -> None:
        self.ledger = ledger
        self._transport = transport
        self._log = log
        self._clock = clock
        self.on_contained: Callable[[str, str], None] = _ignore
        """Called with a content and the source, where what was told contains a request."""

        self._told_changes = 0
        self._coordinator_digest = 0
        self._told_all_at = float("-inf")

    def merge(self, cases: list[CrashRecord], source: str) -> bool:
        """Merge what another node knows; what makes no sense is logged and left out.

        Return whether this node knows better: it has seen an answer since.
        """
        now, disproved = self._clock(), self.ledger.stale_record_count
        for copy in cases:
            try:
                if self.ledger.merge(copy, now):
                    self.on_contained(copy.content_hash, source)
            except InvalidCrashRecordError as error:
                self._log.write(catalogue.BAD_PEER_MESSAGE, problem=str(error), host=source)
        return self.ledger.stale_record_count != disproved

    # --- a node ---

    def note_coordinator(self, digest: int) -> None:
        """The coordinator knows these cases."""
        self._coordinator_digest = digest

    def for_report(self) -> list[CrashRecord]:
        """Return what the coordinator may not know."""
        if not self.ledger.needs_sync:
            return []
        now = self._clock()
        differs = self._coordinator_digest != self.ledger.digest
        if differs and now - self._told_all_at >= REPEAT_EVERY_S:
            self._told_all_at = now
            told = {one.content_hash: one for one in self.ledger.shared_records(now)}
            told.update((one.content_hash, one) for one in self.ledger.local_records(now))
            return list(told.values())
        return self.ledger.local_records(now)

    # --- the coordinator ---

    def handle_report(self, report: Report, known: KnownNode) -> None:
        """Take what a node knows, and tell it what it lacks."""
        self.merge(report.crash_records, report.node)
        now = self._clock()
        if report.crash_digest == self.ledger.digest or now - known.cases_at < REPEAT_EVERY_S:
            return
        known.cases_at = now
        self._transport.send(known.contact.host, CrashCases(self.ledger.shared_records(now)))

    def push(self, others: Callable[[], list[KnownNode]]) -> None:
        """Tell all nodes what has changed since the last call; asked for with each tick."""
        if self._told_changes == self.ledger.revision:
            return
        self._told_changes = self.ledger.revision
        now = self._clock()
        message = CrashCases(self.ledger.shared_records(now))
        for known in others():
            known.cases_at = now
            self._transport.send(known.contact.host, message)


def _ignore(_content: str, _source: str) -> None:
    return
