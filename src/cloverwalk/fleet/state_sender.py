"""Sends the configuration and the replica list from the coordinator to nodes that lack them.

The store may refuse the coordinator while it serves other nodes, so the coordinator requests the
configuration from a node that reports a newer version. Nodes that poll configuration sources get
it from those instead.
"""

from collections.abc import Iterable

from cloverwalk.core.byte_lists import split_by_bytes
from cloverwalk.fleet.configuration_copy import ConfigurationEncoder
from cloverwalk.fleet.messages import (
    ConfigurationRequest,
    DirectoryUpdate,
    RemovedReplica,
)
from cloverwalk.fleet.node_registry import NodeEntry
from cloverwalk.fleet.transport import Sender
from cloverwalk.gateway.configuration import ConfigurationHolder
from cloverwalk.gateway.replicas import Replica, ReplicaDirectory, fingerprint_of

COPY_INTERVAL_S = 0.5
"""Minimum time between copies of the configuration or replica list to one node."""

CONFIGURATION_REQUEST_INTERVAL_S = 0.2
"""Minimum time between requests for a newer configuration, after which a lost one is repeated."""

MAX_REPLICA_BYTES = 50_000
"""Encoded replicas in one datagram; the rest of the datagram is for its other fields."""

MAX_REPLICAS_PER_COPY = 300
"""Replicas in one datagram of a whole list, about 27 KB. A longer list is sent in parts, and
only to nodes that the store does not serve; the others read it from the store. Otherwise 300 nodes
whose lists of 3,000 replicas differ cost 37 MB/s, in datagrams that are too long to be sent."""

STARTUP_GRACE_S = 1.0
"""A node without a configuration that first reported within this time gets no copies while the
store serves it. It is starting and reads the state from the store, which avoids traffic between
zones: 194 configurations and 1,136 messages with replicas when 300 nodes start at once before 3,000
replicas."""

MAX_SERVED_STORE_AGE_MS = 3500
"""The store serves a node that it answered within this time; longer than the 2.5 s that the calls
of an idle node wait."""

MAX_DIRECTORY_AGE_MS = 1e6
"""Upper bound of the reported age of the replica list."""


def directory_age_ms(directory: ReplicaDirectory, now: float) -> int:
    """Return the time since the replica list was confirmed, in ms."""
    return int(min(MAX_DIRECTORY_AGE_MS, (now - directory.confirmed_at) * 1000))


def change_updates(
    update: DirectoryUpdate, previous: dict[str, Replica], previous_version: int
) -> list[DirectoryUpdate]:
    """Return changes as updates that each fit a datagram; each leads to the list of the next one.

    ``previous`` is the list before the changes. Only the last update confirms the list: with the
    others it corresponds to no version of the store.
    """
    changed = split_by_bytes(update.replicas, MAX_REPLICA_BYTES).parts
    removed = split_by_bytes(update.removed, MAX_REPLICA_BYTES).parts
    if len(changed) + len(removed) <= 1:
        return [update]
    known, since = dict(previous), update.since
    updates: list[DirectoryUpdate] = []
    for replicas, gone in [(part, []) for part in changed] + [([], part) for part in removed]:
        known.update({replica.replica_id: replica for replica in replicas})
        for removed_replica in gone:
            known.pop(removed_replica.replica_id, None)
        fingerprint = fingerprint_of(known[key] for key in sorted(known))
        age_ms = int(MAX_DIRECTORY_AGE_MS)
        updates.append(
            DirectoryUpdate(since, fingerprint, previous_version, age_ms, replicas, gone)
        )
        since = fingerprint
    updates[-1].fingerprint = update.fingerprint
    updates[-1].version, updates[-1].age_ms = update.version, update.age_ms
    return updates


class StateSender:
    """Sends whole copies to nodes that are behind, and changes of the replica list to all nodes."""

    def __init__(
        self,
        transport: Sender,
        configuration: ConfigurationHolder,
        directory: ReplicaDirectory,
    ) -> None:
        self._transport = transport
        self._configuration = configuration
        self._directory = directory
        self._sent_directory: dict[str, Replica] = {}
        self.sent_fingerprint: int | None = None
        """Fingerprint of the list as of the last changes sent."""

        self._sent_version = 0
        """Store version of the list as of the last changes sent."""

        self._sent_warmup_revision = 0
        """Revision of the warm-up times in the list as of the last changes sent."""

        self._sent_software_revision = 0
        """Revision of the software versions in the list as of the last changes sent."""

        self._configuration_encoder = ConfigurationEncoder(configuration)
        self._configuration_requested_at = float("-inf")
        self._pushed_configuration_version = configuration.version

    def mark_current_as_sent(self) -> None:
        """Treat the current state as known to the nodes, so that only later changes are sent."""
        self._pushed_configuration_version = self._configuration.version
        self._sent_directory = {replica.replica_id: replica for replica in self._directory.all()}
        self.sent_fingerprint = self._directory.fingerprint
        self._sent_version = self._directory.version
        self._sent_warmup_revision = self._directory.warmup_revision
        self._sent_software_revision = self._directory.software_revision

    def send_missing_state(self, entry: NodeEntry, now: float) -> None:
        """Send a node the configuration and replica list if its own are older."""
        report = entry.report
        if report.configuration_version < 0 and self._is_starting(entry, now):
            return
        if not report.polls_configuration and now - entry.configuration_sent_at >= COPY_INTERVAL_S:
            self._send_newer_configuration(entry, now)
        if now - entry.state_sent_at < COPY_INTERVAL_S:
            return
        if report.directory != self._directory.fingerprint and self._directory.version > 0:
            self._copy_directory(entry, now)

    def request_newer_configuration(self, entry: NodeEntry, now: float) -> None:
        """Request the configuration from a node that reports a newer version than this node has."""
        version = entry.report.configuration_version
        if version <= self._configuration.version:
            return
        if entry.report.polls_configuration:
            return
        if now - self._configuration_requested_at < CONFIGURATION_REQUEST_INTERVAL_S:
            return
        self._configuration_requested_at = now
        self._transport.send(entry.contact.host, ConfigurationRequest(version))

    def push_configuration(self, nodes: Iterable[NodeEntry], now: float) -> None:
        """Send a new configuration to the nodes that the store does not serve.

        The other nodes read it from the store at about the same time.
        """
        if self._pushed_configuration_version == self._configuration.version:
            return
        self._pushed_configuration_version = self._configuration.version
        for entry in nodes:
            is_served = entry.report.store_age_ms < MAX_SERVED_STORE_AGE_MS
            if not is_served and not entry.report.polls_configuration:
                self._send_newer_configuration(entry, now)

    def _send_newer_configuration(self, entry: NodeEntry, now: float) -> None:
        current = self._configuration.current
        if current is None or entry.report.configuration_version >= current.version:
            return
        entry.configuration_sent_at = now
        self.send_configuration(entry.contact.host, now)

    def send_configuration(self, host: str, now: float) -> None:
        """Send a copy of the configuration, in parts if it does not fit one datagram."""
        for datagram in self._configuration_encoder.datagrams(now):
            self._transport.send(host, datagram)

    def _is_starting(self, entry: NodeEntry, now: float) -> bool:
        is_served = entry.report.store_age_ms < MAX_SERVED_STORE_AGE_MS
        return is_served and now - entry.first_seen_at < STARTUP_GRACE_S

    def _copy_directory(self, entry: NodeEntry, now: float) -> None:
        """Send a node the whole replica list, unless it is long and the store serves the node."""
        replicas = self._directory.all()
        lists = split_by_bytes(replicas, MAX_REPLICA_BYTES, MAX_REPLICAS_PER_COPY).parts or [[]]
        parts = len(lists)
        if parts > 1 and entry.report.store_age_ms < MAX_SERVED_STORE_AGE_MS:
            return
        # Delay the next copy by an interval per further part, as a long list takes longer to send.
        entry.state_sent_at = now + (parts - 1) * COPY_INTERVAL_S
        for part, replicas in enumerate(lists):
            update = DirectoryUpdate(
                None,
                self._directory.fingerprint,
                self._directory.version,
                directory_age_ms(self._directory, now),
                replicas,
                part=part,
                parts=parts,
            )
            self._transport.send(entry.contact.host, update)

    def _has_new_warmups(self) -> bool:
        """Whether warm-up times have changed while warm-up limits are in use."""
        current = self._configuration.current
        if current is None or not current.has_warmup_limits:
            return False
        return self._directory.warmup_revision != self._sent_warmup_revision

    def push_directory(self, nodes: Iterable[NodeEntry], now: float) -> None:
        """Send all nodes the changes of the replica list since the last call."""
        if (
            self._directory.fingerprint == self.sent_fingerprint
            and self._directory.software_revision == self._sent_software_revision
            and not self._has_new_warmups()
        ):
            return
        self._sent_warmup_revision = self._directory.warmup_revision
        self._sent_software_revision = self._directory.software_revision
        previous, since = self._sent_directory, self.sent_fingerprint
        current = {replica.replica_id: replica for replica in self._directory.all()}
        self._sent_directory, self.sent_fingerprint = current, self._directory.fingerprint
        if not previous:
            # The first list of this process is not a change. Nodes that lack it read it from the
            # store or get a copy; sent as a change to all nodes it may exceed a datagram.
            self._sent_version = self._directory.version
            return
        changed = [replica for key, replica in current.items() if previous.get(key) != replica]
        version = self._directory.version
        removed = [RemovedReplica(key, version) for key in previous if key not in current]
        age_ms = directory_age_ms(self._directory, now)
        update = DirectoryUpdate(
            since, self._directory.fingerprint, version, age_ms, changed, removed
        )
        previous_version, self._sent_version = self._sent_version, version
        updates = change_updates(update, previous, previous_version)
        for entry in nodes:
            for part in updates:
                self._transport.send(entry.contact.host, part)
