"""Keeps a node's list of replicas as the coordinator's: by changes, copies and a fingerprint."""

from collections.abc import Callable

from cloverwalk.core import catalogue
from cloverwalk.fleet.messages import DirectoryUpdate, Orders
from cloverwalk.gateway.replicas import Replica, ReplicaDirectory
from cloverwalk.telemetry.log import ServingLog


class DirectorySync:
    """Takes what the coordinator tells of the replicas."""

    def __init__(
        self, directory: ReplicaDirectory, log: ServingLog, clock: Callable[[], float]
    ) -> None:
        self._directory = directory
        self._log = log
        self._clock = clock
        self._parts: dict[int, list[Replica]] = {}
        """Parts of a long list that have come, all of the same fingerprint."""

        self._parts_of = 0

    def confirm(self, orders: Orders) -> None:
        """Take it that the list is current, where it says the same as the coordinator's."""
        if orders.directory == self._directory.fingerprint:
            self._note_confirmed(orders.directory_age_ms, orders.directory_version)

    def apply(self, update: DirectoryUpdate) -> bool:
        """Take changes or a whole list; return whether nothing more has to be asked for."""
        if update.since is None:
            if update.version < self._directory.version:
                return True
            replicas = self._joined(update)
            if replicas is None:
                return True
            removed = self._directory.replace(replicas, update.version)
            self._log.write(
                catalogue.DIRECTORY_COPIED, version=update.version, removed=len(removed)
            )
        else:
            self._take_changes(update)
        if self._directory.fingerprint != update.fingerprint:
            return False
        self._note_confirmed(update.age_ms, update.version)
        return True

    def _joined(self, update: DirectoryUpdate) -> list[Replica] | None:
        """Return a whole list once all parts have come; a lost one comes with the next copy."""
        if update.fingerprint != self._parts_of:
            self._parts, self._parts_of = {}, update.fingerprint
        self._parts[update.part] = update.replicas
        if len(self._parts) < update.parts:
            return None
        parts, self._parts = self._parts, {}
        return [one for part in sorted(parts) for one in parts[part]]

    def _take_changes(self, update: DirectoryUpdate) -> None:
        for replica in update.replicas:
            self._directory.put(replica)
        for gone in update.removed:
            self._directory.remove(gone.replica_id, gone.version)

    def _note_confirmed(self, age_ms: int, version: int) -> None:
        confirmed_at = self._clock() - age_ms / 1000
        self._directory.confirmed_at = max(self._directory.confirmed_at, confirmed_at)
        self._directory.version = max(self._directory.version, version)
