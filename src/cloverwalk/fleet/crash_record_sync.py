"""Distributes crash records, the requests under which replicas have ended, to all nodes.

A node sends its own observations to the coordinator with its reports. The coordinator merges them
and broadcasts the records that all nodes should have. Reports and orders contain digests; if these
differ, both sides send all of their records. So lost messages are made up for, and a new
coordinator gets the records from the nodes.
"""

from collections.abc import Callable

from cloverwalk.core import catalogue
from cloverwalk.fleet.messages import CrashCases, Report
from cloverwalk.fleet.node_registry import NodeEntry
from cloverwalk.fleet.transport import Sender
from cloverwalk.gateway.crash_ledger import CrashLedger, CrashRecord, InvalidCrashRecordError
from cloverwalk.telemetry.log import ServingLog

RESEND_INTERVAL_S = 0.5
"""Minimum time before differing records are sent again; a change is sent at once."""


class CrashRecordSync:
    """Merges and sends crash records, at a node and at the coordinator."""

    def __init__(
        self, ledger: CrashLedger, transport: Sender, log: ServingLog, clock: Callable[[], float]
    ) -> None:
        self.ledger = ledger
        self._transport = transport
        self._log = log
        self._clock = clock
        self.on_contained: Callable[[str, str], None] = _ignore_contained
        """Called with content hash and source if a received record makes a request contained."""

        self._sent_revision = 0
        self._coordinator_digest = 0
        self._all_sent_at = float("-inf")

    def merge(self, records: list[CrashRecord], source: str) -> bool:
        """Merge the records of another node; invalid records are logged and skipped.

        Return whether a record was outdated, because this node has seen an answer since.
        """
        now, stale_count_before = self._clock(), self.ledger.stale_record_count
        for record in records:
            try:
                if self.ledger.merge(record, now):
                    self.on_contained(record.content_hash, source)
            except InvalidCrashRecordError as error:
                self._log.write(catalogue.BAD_PEER_MESSAGE, problem=str(error), host=source)
        return self.ledger.stale_record_count != stale_count_before

    # --- a node ---

    def record_coordinator_digest(self, digest: int) -> None:
        """Record the digest of the coordinator's crash records."""
        self._coordinator_digest = digest

    def on_leadership_change(self) -> None:
        """Report this node's observations to a new coordinator, which may not have them."""
        self.ledger.report_again(self._clock())

    def records_for_report(self) -> list[CrashRecord]:
        """Return the crash records that the coordinator may not have yet."""
        if not self.ledger.needs_sync:
            return []
        now = self._clock()
        differs = self._coordinator_digest != self.ledger.digest
        if differs and now - self._all_sent_at >= RESEND_INTERVAL_S:
            self._all_sent_at = now
            records = {record.content_hash: record for record in self.ledger.shared_records(now)}
            records.update(
                (record.content_hash, record) for record in self.ledger.local_records(now)
            )
            return list(records.values())
        return self.ledger.local_records(now)

    # --- the coordinator ---

    def handle_report(self, report: Report, entry: NodeEntry) -> None:
        """Merge a node's crash records, and send it all records if its digest differs."""
        self.merge(report.crash_records, report.node)
        now = self._clock()
        if (
            report.crash_digest == self.ledger.digest
            or now - entry.crash_records_sent_at < RESEND_INTERVAL_S
        ):
            return
        entry.crash_records_sent_at = now
        self._transport.send(entry.contact.host, CrashCases(self.ledger.shared_records(now)))

    def push(self, get_peers: Callable[[], list[NodeEntry]]) -> None:
        """Send all nodes the records if they changed since the last call; called at each tick."""
        if self._sent_revision == self.ledger.revision:
            return
        self._sent_revision = self.ledger.revision
        now = self._clock()
        message = CrashCases(self.ledger.shared_records(now))
        for entry in get_peers():
            entry.crash_records_sent_at = now
            self._transport.send(entry.contact.host, message)


def _ignore_contained(_content: str, _source: str) -> None:
    return
