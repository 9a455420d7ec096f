"""The fleet state of a node: configuration, replicas and crash ledger, from the store or peers."""

from collections.abc import Awaitable, Callable

from cloverwalk.core import catalogue
from cloverwalk.fleet.messages import ConfigurationCopy
from cloverwalk.gateway.configuration import Configuration, ConfigurationHolder
from cloverwalk.gateway.crash_ledger import CrashLedger
from cloverwalk.gateway.replicas import Replica, ReplicaDirectory
from cloverwalk.gateway.zone_drains import ZoneDrains
from cloverwalk.serving.adapter import Adapter
from cloverwalk.store.types import Row, RowPage
from cloverwalk.telemetry.log import ServingLog
from cloverwalk.telemetry.metrics import ServingMetrics
from cloverwalk.telemetry.startup import Stage, StartupLog


async def _ignore_configuration() -> None:
    return


class FleetState:
    """Applies rows of the store to the fleet state; older rows never replace newer ones."""

    def __init__(
        self,
        adapter: Adapter,
        log: ServingLog,
        clock: Callable[[], float],
        startup: StartupLog,
    ) -> None:
        self._adapter = adapter
        self._log = log
        self._clock = clock
        self.startup = startup
        self.configuration = ConfigurationHolder()
        self.directory = ReplicaDirectory()
        self.zone_drains = ZoneDrains()
        self.crash_ledger = CrashLedger()
        self.metrics = ServingMetrics()
        """Counts invalid entries; ``ServingNode`` replaces it by the metrics of the node."""

        self.on_stored_configuration: Callable[[], Awaitable[None]] = _ignore_configuration
        """Called after a newer configuration from the store has been applied."""

        self._is_stored_configuration_invalid = False
        self._invalid_versions: dict[str, int] = {}
        """Versions of invalid entries, by key; each version is logged once."""

    @property
    def is_stored_configuration_invalid(self) -> bool:
        """Whether the latest stored version could not be decoded."""
        return self._is_stored_configuration_invalid

    async def on_configuration(self, page: RowPage) -> None:
        """Apply rows of the configuration table."""
        for row in page.rows:
            if row.row_key.key == self._adapter.configuration_key and row.value is not None:
                await self._apply_stored_configuration(row.value)

    async def _apply_stored_configuration(self, raw: bytes) -> None:
        try:
            configuration = self._adapter.decode_configuration(raw)
        except ValueError as error:
            self._is_stored_configuration_invalid = True
            self._log.write(
                catalogue.CONFIGURATION_INVALID,
                error=str(error)[:300],
                kept=self.configuration.version,
            )
            return
        self._is_stored_configuration_invalid = False
        if self.apply_configuration(configuration, "store"):
            await self.on_stored_configuration()

    def on_configuration_confirmed(self, confirmed_at: float) -> None:
        """Record that the current version was the newest in the store at ``confirmed_at``.

        Does nothing if the latest stored version is invalid, as it may be newer.
        """
        if self._is_stored_configuration_invalid:
            return
        self.configuration.record_confirmation(self.configuration.version, confirmed_at)

    def apply_configuration_copy(self, copy: ConfigurationCopy, host: str) -> None:
        """Apply a configuration sent by another node, and when it was last confirmed."""
        self.apply_configuration(copy.configuration, "peer", host)
        if copy.age_ms is not None:
            confirmed_at = self._clock() - copy.age_ms / 1000
            self.configuration.record_confirmation(copy.configuration.version, confirmed_at)

    def apply_configuration(
        self, configuration: Configuration, source: str, host: str | None = None
    ) -> bool:
        """Apply a configuration if it is newer; return whether it was newer.

        ``source`` and ``host`` are logged.
        """
        unconfirmed_ms = self.configuration.age_ms(self._clock())
        if not self.configuration.update_if_newer(configuration):
            return False
        self._log.write(
            catalogue.CONFIGURATION_TAKEN,
            version=configuration.version,
            routes=len(configuration.routes),
            tenants=None if configuration.tenants is None else len(configuration.tenants),
            source=source,
            host=host,
            unconfirmed_ms=unconfirmed_ms,
        )
        self.startup.record_stage(Stage.CONFIGURATION, source)
        return True

    async def on_all_replicas(self, page: RowPage) -> None:
        """Replace the replica list by the rows of a full read, without invalid entries."""
        replicas = [replica for row in page.rows if (replica := self._decode(row)) is not None]
        for key in self.directory.replace(replicas, page.version):
            self._log_removed_replica(key, page.version)
        self._confirm_directory(page)

    async def on_replicas(self, page: RowPage) -> None:
        """Apply changes of the replica list; an invalid entry removes its replica."""
        for row in page.rows:
            replica = self._decode(row)
            if replica is not None:
                self._put_replica(replica)
            elif self.directory.remove(row.row_key.key, row.version):
                self._log_removed_replica(row.row_key.key, row.version)
        self._confirm_directory(page)

    def _decode(self, row: Row) -> Replica | None:
        """Return the replica of a row, None if the row was removed or is invalid."""
        key = row.row_key.key
        if row.value is None:
            self._invalid_versions.pop(key, None)
            return None
        try:
            replica = self._adapter.decode_replica(key, row.value, row.version)
        except ValueError as error:
            self._record_invalid_entry(key, row.version, str(error))
            return None
        self._invalid_versions.pop(key, None)
        return replica

    def _record_invalid_entry(self, key: str, version: int, error: str) -> None:
        if self._invalid_versions.get(key) == version:
            return
        self._invalid_versions[key] = version
        self.metrics.replica_entry_invalid()
        self._log.write(
            catalogue.REPLICA_INVALID, replica=key[:200], version=version, error=error[:300]
        )

    def _put_replica(self, replica: Replica) -> None:
        if not self.directory.put(replica):
            return
        self._log.write(
            catalogue.REPLICA_CHANGED,
            replica=replica.replica_id,
            service=replica.service,
            draining=replica.is_draining,
            version=replica.version,
        )

    def _log_removed_replica(self, replica_id: str, version: int) -> None:
        self._log.write(catalogue.REPLICA_REMOVED, replica=replica_id, version=version)

    def _confirm_directory(self, page: RowPage) -> None:
        self.directory.version = max(self.directory.version, page.version)
        self.directory.confirmed_at = self._clock()
        self.record_directory_source("store")

    def record_directory_source(self, source: str) -> None:
        """Record for the startup log that a replica list was received from ``source``."""
        if not self.directory.is_empty:
            self.startup.record_stage(Stage.REPLICAS, source)
