"""What nodes lack of the configuration and of the list of replicas, as the coordinator sends it."""

import math
from collections.abc import Iterable

from cloverwalk.fleet.messages import ConfigurationCopy, DirectoryUpdate, RemovedReplica
from cloverwalk.fleet.node_registry import KnownNode
from cloverwalk.fleet.transport import Sender
from cloverwalk.gateway.configuration import ConfigurationHolder
from cloverwalk.gateway.replicas import Replica, ReplicaDirectory

COPY_EVERY_S = 0.5
"""A node whose configuration or list of replicas is behind gets a copy this often at the most."""

COPIED_REPLICAS = 300
"""Replicas in one datagram of a whole list, about 27 KB. A longer list is sent in parts, and only
to nodes that the store does not serve: the others read it there. Without this, 300 nodes whose
lists of 3,000 replicas differed cost 37 MB/s, in datagrams that were all too long to be sent."""

STARTING_S = 1.0
"""A node that was first heard within this time and that the store does not refuse reads there what
it lacks; copies would cross zones. 300 nodes that started at once, before 3,000 replicas, were
sent 194 configurations and 1,136 messages with replicas otherwise, and none with it (simulated
time)."""

STORE_SERVES_MS = 3500
"""A node that the store answered within this time is served by it; an idle node's calls wait for
2.5 s."""

MOST_AGE_MS = 1e6
"""An older list is told as this old."""


def directory_age_ms(directory: ReplicaDirectory, now: float) -> int:
    """Return the time since the list of replicas was confirmed."""
    return int(min(MOST_AGE_MS, (now - directory.confirmed_at) * 1000))


class StateSender:
    """Sends whole copies to nodes that are behind, and changes of the list to all."""

    def __init__(
        self,
        transport: Sender,
        configuration: ConfigurationHolder,
        directory: ReplicaDirectory,
    ) -> None:
        self._transport = transport
        self._configuration = configuration
        self._directory = directory
        self._told_directory: dict[str, Replica] = {}
        self.told_fingerprint: int | None = None
        """Fingerprint of the list whose changes were told last."""

    def note_known(self) -> None:
        """Take the present list for what nodes know: only what changes from now on is told."""
        self._told_directory = {one.replica_id: one for one in self._directory.all()}
        self.told_fingerprint = self._directory.fingerprint

    def help(self, known: KnownNode, now: float) -> None:
        """Send a node what it lacks."""
        if now - known.copied_at < COPY_EVERY_S:
            return
        report, host = known.report, known.contact.host
        if report.configuration_version < 0 and self._is_starting(known, now):
            return
        current = self._configuration.current
        if current is not None and report.configuration_version < current.version:
            known.copied_at = now
            self._transport.send(host, ConfigurationCopy(current))
        if report.directory != self._directory.fingerprint and self._directory.version > 0:
            self._copy_directory(known, now)

    def _is_starting(self, known: KnownNode, now: float) -> bool:
        is_served = known.report.store_age_ms < STORE_SERVES_MS
        return is_served and now - known.first_heard_at < STARTING_S

    def _copy_directory(self, known: KnownNode, now: float) -> None:
        """Send a node the whole list of replicas, unless it is long and the store tells it."""
        replicas = self._directory.all()
        parts = max(1, math.ceil(len(replicas) / COPIED_REPLICAS))
        if parts > 1 and known.report.store_age_ms < STORE_SERVES_MS:
            return
        # A long list takes its time on the way; the next copy waits for so much longer.
        known.copied_at = now + (parts - 1) * COPY_EVERY_S
        for part in range(parts):
            update = DirectoryUpdate(
                None,
                self._directory.fingerprint,
                self._directory.version,
                directory_age_ms(self._directory, now),
                replicas[part * COPIED_REPLICAS : (part + 1) * COPIED_REPLICAS],
                part=part,
                parts=parts,
            )
            self._transport.send(known.contact.host, update)

    def push_directory(self, nodes: Iterable[KnownNode], now: float) -> None:
        """Tell every node at once what has changed in the list of replicas."""
        if self._directory.fingerprint == self.told_fingerprint:
            return
        before, since = self._told_directory, self.told_fingerprint
        present = {one.replica_id: one for one in self._directory.all()}
        self._told_directory, self.told_fingerprint = present, self._directory.fingerprint
        if not before:
            # The first list of this process is no change: nodes that lack it read it, or ask.
            # At 300 nodes and 3,000 replicas it was encoded 246 times, too long to be sent.
            return
        changed = [one for key, one in present.items() if before.get(key) != one]
        version = self._directory.version
        removed = [RemovedReplica(key, version) for key in before if key not in present]
        age_ms = directory_age_ms(self._directory, now)
        update = DirectoryUpdate(
            since, self._directory.fingerprint, version, age_ms, changed, removed
        )
        for known in nodes:
            self._transport.send(known.contact.host, update)
