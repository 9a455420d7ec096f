"""Keeps a node's replica list equal to the coordinator's by changes, copies and a fingerprint."""

from collections.abc import Callable

from cloverwalk.core import catalogue
from cloverwalk.fleet.messages import DirectoryUpdate, Orders
from cloverwalk.gateway.replicas import Replica, ReplicaDirectory, check_replica
from cloverwalk.telemetry.log import ServingLog

MAX_INVALID_VERSIONS = 1000
MAX_LOGGED_CHARACTERS = 200


class DirectorySync:
    """Applies updates of the replica list that the coordinator sends."""

    def __init__(
        self, directory: ReplicaDirectory, log: ServingLog, clock: Callable[[], float]
    ) -> None:
        self._directory = directory
        self._log = log
        self._clock = clock
        self._parts: dict[int, list[Replica]] = {}
        """Received parts of a long list, all with the fingerprint ``_parts_fingerprint``."""

        self._parts_fingerprint = 0
        self._invalid_versions: dict[str, int] = {}
        """Versions of invalid entries, by key; each version is logged once."""

    def confirm(self, orders: Orders, made_at: float) -> None:
        """Record the list as confirmed if its fingerprint equals the coordinator's.

        ``made_at`` is a lower bound of the time at which the orders were made.
        """
        if orders.directory == self._directory.fingerprint:
            confirmed_at = made_at - orders.directory_age_ms / 1000
            self._record_confirmation(confirmed_at, orders.directory_version)

    def apply(self, update: DirectoryUpdate) -> bool:
        """Apply changes or a whole list; return False if the whole list has to be requested."""
        if update.since is None:
            if update.version < self._directory.version:
                return True
            replicas = self._assemble_parts(update)
            if replicas is None:
                return True
            removed = self._directory.replace(self._valid(replicas), update.version)
            self._log.write(
                catalogue.DIRECTORY_COPIED, version=update.version, removed=len(removed)
            )
        else:
            self._apply_changes(update)
        if self._directory.fingerprint != update.fingerprint:
            return False
        self._record_confirmation(self._clock() - update.age_ms / 1000, update.version)
        return True

    def _assemble_parts(self, update: DirectoryUpdate) -> list[Replica] | None:
        """Return the whole list once all parts have arrived; the next copy repeats a lost part."""
        if update.fingerprint != self._parts_fingerprint:
            self._parts, self._parts_fingerprint = {}, update.fingerprint
        self._parts[update.part] = update.replicas
        if len(self._parts) < update.parts:
            return None
        parts, self._parts = self._parts, {}
        return [replica for part in sorted(parts) for replica in parts[part]]

    def _apply_changes(self, update: DirectoryUpdate) -> None:
        for replica in self._valid(update.replicas):
            self._directory.put(replica)
        for removed_replica in update.removed:
            self._directory.remove(removed_replica.replica_id, removed_replica.version)

    def _valid(self, replicas: list[Replica]) -> list[Replica]:
        """Return the entries that name a replica; builds without limits pass others on as well."""
        valid = []
        for replica in replicas:
            try:
                check_replica(replica)
            except ValueError as error:
                self._log_invalid(replica, str(error))
            else:
                valid.append(replica)
        return valid

    def _log_invalid(self, replica: Replica, error: str) -> None:
        key = replica.replica_id[:MAX_LOGGED_CHARACTERS]
        if self._invalid_versions.get(key) != replica.version:
            if len(self._invalid_versions) >= MAX_INVALID_VERSIONS:
                self._invalid_versions.clear()
            self._invalid_versions[key] = replica.version
            self._log.write(
                catalogue.REPLICA_INVALID, replica=key, version=replica.version, error=error
            )

    def _record_confirmation(self, confirmed_at: float, version: int) -> None:
        self._directory.confirm(confirmed_at)
        self._directory.version = max(self._directory.version, version)
