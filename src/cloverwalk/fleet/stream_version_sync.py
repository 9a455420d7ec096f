"""Shares the software versions of streams between nodes.

A node sends the record of a stream to the coordinator and to standbys before it relays the stream's
first event, so the record outlives the node. It does so with a single version too: another one may
have joined that the node does not know yet, and may be needed once it can't be reached. A node that
is asked to resume a stream and finds no record asks these nodes; the coordinator, or a standby that
replaces it, passes the question on to all others. Records are stored while a service has, or
recently had, several versions.
"""

from collections.abc import Awaitable, Callable, Iterable

import curio

from cloverwalk.fleet.coordinator import Coordinator
from cloverwalk.fleet.identity import Identity
from cloverwalk.fleet.leader import LeaderView
from cloverwalk.fleet.messages import (
    ListedVersion,
    StreamRecord,
    StreamVersionQuery,
    StreamVersions,
    VersionHistoryCopy,
)
from cloverwalk.fleet.transport import Sender
from cloverwalk.gateway.software_versions import (
    MIN_STREAM_LIFETIME_S,
    Software,
    SoftwareVersions,
    VersionHistory,
)
from cloverwalk.gateway.stream_versions import StreamVersion, StreamVersionTable

MAX_RECORD_COPIES = 3
"""Nodes that get the record of a stream: the coordinator and standbys."""

MAX_RECORDS_PER_MESSAGE = 300
"""About 20 KB."""

MAX_STREAMS_PER_QUERY = 300
QUERY_TIMEOUT_S = 0.06
"""Time for an answer; several round trips within a region."""

MAX_QUERIES = 2
"""How often one stream is asked for, since a datagram may be lost."""


class StreamVersionSync:
    """Sends, receives and requests records of streams."""

    def __init__(
        self,
        identity: Identity,
        leader: LeaderView,
        coordinator: Coordinator,
        transport: Sender,
        versions: SoftwareVersions,
        streams: StreamVersionTable,
        clock: Callable[[], float],
    ) -> None:
        self._identity = identity
        self._leader = leader
        self._coordinator = coordinator
        self._transport = transport
        self._versions = versions
        self._streams = streams
        self._clock = clock
        self._asked: dict[str, curio.Event] = {}
        """Streams that this node has asked other nodes for."""

        self.look_up: Callable[[], Awaitable[None]] = _look_up_nothing
        """Adds the stored records of streams."""

        self._unsaved: dict[str, None] = {}
        """Streams whose records the coordinator has to store; used as an ordered set."""

        self.records_sent = 0
        versions.on_second_version = self.share_service

    # --- sharing ---

    def share(self, record: StreamVersion) -> None:
        """Send a record to the nodes that keep it."""
        self._share([record])

    def share_all(self) -> None:
        """Send the records of all streams that began here, as other nodes keep them now."""
        self._share(self._streams.local_records())

    def share_service(self, service: str) -> None:
        """Send the records of a service's streams again, and store those that are kept here.

        Called when the service gets a second version.
        """
        self._share(self._streams.local_records(service))
        self._keep(self._streams.records_of(service))

    def share_changed(self, records: list[StreamVersion]) -> None:
        """Send records whose version has become unknown."""
        self._share(records)

    def _share(self, records: list[StreamVersion]) -> None:
        self._send(self._holders(), records)
        self._keep(records)

    def _holders(self) -> list[str]:
        """Return the hosts of the nodes that keep records, without this node."""
        hosts = [contact.host for contact in self._leader.contacts()]
        return [host for host in hosts if host != self._identity.host][:MAX_RECORD_COPIES]

    def _send(self, hosts: Iterable[str], records: list[StreamVersion]) -> None:
        now = self._clock()
        copies = [_to_message(record, now) for record in records]
        for start in range(0, len(copies), MAX_RECORDS_PER_MESSAGE):
            message = StreamVersions(copies[start : start + MAX_RECORDS_PER_MESSAGE])
            for host in hosts:
                self.records_sent += len(message.records)
                self._transport.send(host, message)

    # --- storing, at the coordinator ---

    def _keep(self, records: Iterable[StreamVersion]) -> None:
        """Have records stored that are needed to know their streams' versions."""
        if not self._coordinator.is_active:
            return
        for record in records:
            if self._versions.single(record.software.service, MIN_STREAM_LIFETIME_S) is None:
                self._unsaved[record.stream] = None

    def pop_unsaved(self, max_count: int) -> list[StreamRecord]:
        """Return records that the coordinator has to store, and forget that it has to."""
        streams = list(self._unsaved)[:max_count]
        for stream in streams:
            del self._unsaved[stream]
        now = self._clock()
        return [_to_message(record, now) for record in self._streams.records(streams)]

    def return_unsaved(self, records: Iterable[StreamRecord]) -> None:
        """Have records stored again whose write failed."""
        self._unsaved.update(dict.fromkeys(record.stream for record in records))

    def add_stored(self, records: Iterable[StreamRecord], elapsed_ms: float) -> None:
        """Add records from the store that were written before ``elapsed_ms``."""
        for record in records:
            remaining_ms = record.remaining_ms - elapsed_ms
            if remaining_ms > 0:
                self._add(record, remaining_ms)

    def _add(self, record: StreamRecord, remaining_ms: float) -> StreamVersion:
        software = Software(record.service, record.software_version)
        expires_at = self._clock() + remaining_ms / 1000
        return self._streams.record(StreamVersion(record.stream, software, expires_at))

    # --- receiving ---

    async def handle_records(self, message: StreamVersions) -> None:
        """Keep the records that another node sent."""
        for copy in message.records:
            self._keep([self._add(copy, copy.remaining_ms)])
            event = self._asked.get(copy.stream)
            if event is not None:
                await event.set()

    def handle_query(self, query: StreamVersionQuery, host: str) -> None:
        """Answer with the records that this node has, and pass the rest on to other nodes.

        The coordinator passes it on to all nodes, a standby to those that report to it.
        """
        streams = query.streams[:MAX_STREAMS_PER_QUERY]
        records = self._streams.records(streams)
        self._send([query.reply_to or host], records)
        known = {record.stream for record in records}
        unknown = [stream for stream in streams if stream not in known]
        if unknown and not query.reply_to:
            self._pass_on(unknown, host)

    def _pass_on(self, streams: list[str], host: str) -> None:
        message = StreamVersionQuery(streams, host)
        for entry in self._coordinator.registry.live():
            if entry.contact.host not in (host, self._identity.host):
                self._transport.send(entry.contact.host, message)

    # --- asking ---

    async def ask(self, stream: str) -> Software | None:
        """Return the software that began a stream as other nodes or the store know it, or None."""
        event = self._asked.setdefault(stream, curio.Event())
        try:
            for _ in range(MAX_QUERIES):
                self._send_query(stream)
                async with curio.ignore_after(QUERY_TIMEOUT_S):
                    await event.wait()
                    break
        finally:
            self._asked.pop(stream, None)
        if not self._streams.records([stream]):
            await self.look_up()
        return self._streams.find(stream)

    def _send_query(self, stream: str) -> None:
        if self._coordinator.is_active:
            self._pass_on([stream], self._identity.host)
            return
        for contact in self._leader.contacts():
            if contact.host != self._identity.host:
                self._transport.send(contact.host, StreamVersionQuery([stream]))

    # --- the past of the list ---

    def apply_history(self, copy: VersionHistoryCopy | None) -> None:
        """Add what the coordinator knows of the time before this process started."""
        if copy is None:
            return
        unlisted_s = {
            Software(version.service, version.software_version): version.unlisted_ms / 1000
            for version in copy.versions
        }
        self._versions.merge(VersionHistory(copy.known_ms / 1000, unlisted_s))


async def _look_up_nothing() -> None:
    return


def _to_message(record: StreamVersion, now: float) -> StreamRecord:
    remaining_ms = max(0, int((record.expires_at - now) * 1000))
    return StreamRecord(
        record.stream, record.software.service, record.software.version, remaining_ms
    )


def history_copy(versions: SoftwareVersions) -> VersionHistoryCopy | None:
    """Return this node's knowledge of versions for a node that has just started.

    None if it does not reach back for longer than a stream lasts.
    """
    history = versions.history()
    if history is None or history.known_s < MIN_STREAM_LIFETIME_S:
        return None
    listed = [
        ListedVersion(software.service, software.version, int(unlisted_s * 1000))
        for software, unlisted_s in sorted(history.unlisted_s.items())
    ]
    return VersionHistoryCopy(int(history.known_s * 1000), tuple(listed))
