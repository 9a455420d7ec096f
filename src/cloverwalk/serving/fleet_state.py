"""The fleet state of a node: configuration, replicas and crash ledger, from the store or peers."""

from collections.abc import Awaitable, Callable

from cloverwalk.core import catalogue
from cloverwalk.fleet.messages import ConfigurationCopy
from cloverwalk.gateway.configuration import Configuration, ConfigurationHolder
from cloverwalk.gateway.crash_ledger import CrashLedger
from cloverwalk.gateway.draining_replicas import DEFAULT_DRAIN_S, DrainingReplicas
from cloverwalk.gateway.registered_versions import RegisteredVersions
from cloverwalk.gateway.replicas import Replica, ReplicaDirectory
from cloverwalk.gateway.software_versions import SoftwareVersions
from cloverwalk.gateway.steps import run_in_steps
from cloverwalk.gateway.stream_versions import StreamVersionTable
from cloverwalk.gateway.warmup_gate import WarmupGate
from cloverwalk.gateway.warmups import Warmups
from cloverwalk.gateway.zone_drains import ZoneDrains
from cloverwalk.serving.adapter import Adapter
from cloverwalk.serving.stored_zone_drains import StoredZoneDrains
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
        replica_drain_s: float = DEFAULT_DRAIN_S,
    ) -> None:
        self._adapter = adapter
        self._log = log
        self._clock = clock
        self.startup = startup
        self.configuration = ConfigurationHolder()
        self.directory = ReplicaDirectory()
        self.zone_drains = ZoneDrains()
        self.zone_drains.listeners.append(self._apply_zone_drains)
        self.warmups = Warmups(self.directory, self.configuration, self.zone_drains, log, clock)
        self.warmup_gate = WarmupGate(self.warmups, log, clock)
        self.crash_ledger = CrashLedger()
        self.software_versions = SoftwareVersions(self.directory, clock)
        self.registered_versions = RegisteredVersions()
        self.stream_versions = StreamVersionTable(clock)
        self.draining_replicas = DrainingReplicas(self.directory, clock, replica_drain_s)
        self.metrics = ServingMetrics()
        """Counts invalid entries; ``ServingNode`` replaces it by the metrics of the node."""

        self.on_stored_configuration: Callable[[], Awaitable[None]] = _ignore_configuration
        """Called after a newer configuration or a change of the drained zones from the store has
        been applied."""

        self.stored_zone_drains = StoredZoneDrains(adapter, self.zone_drains, log)
        self._is_stored_configuration_invalid = False
        self._invalid_versions: dict[str, int] = {}
        """Versions of invalid entries, by key; each version is logged once."""

    @property
    def is_complete(self) -> bool:
        """Whether the configuration, the replicas and the zone drains are known."""
        return (
            self.configuration.current is not None
            and not self.directory.is_empty
            and self.zone_drains.is_known
        )

    async def on_all_configuration(self, page: RowPage) -> None:
        """Apply all rows of the configuration table."""
        self.stored_zone_drains.clear()
        await self.on_configuration(page)

    @property
    def is_stored_configuration_invalid(self) -> bool:
        """Whether the latest stored version could not be decoded."""
        return self._is_stored_configuration_invalid

    async def on_configuration(self, page: RowPage) -> None:
        """Apply changed rows of the configuration table."""
        if self.stored_zone_drains.apply(page):
            await self.on_stored_configuration()
        self._record_zone_drain_source("store")
        for row in page.rows:
            if row.row_key.key == self._adapter.configuration_key and row.value is not None:
                await self._apply_stored_configuration(row.value)

    async def _apply_stored_configuration(self, raw: bytes) -> None:
        began_at = self._clock()
        try:
            configuration = await run_in_steps(self._adapter.decode_configuration(raw))
            await self.prepare_configuration(configuration)
        except ValueError as error:
            self._is_stored_configuration_invalid = True
            self._log.write(
                catalogue.CONFIGURATION_INVALID,
                error=str(error)[:300],
                kept=self.configuration.version,
            )
            return
        self._is_stored_configuration_invalid = False
        decode_ms = round((self._clock() - began_at) * 1000)
        if self.apply_configuration(configuration, "store", decode_ms=decode_ms):
            await self.on_stored_configuration()
            await self.release_replaced_configurations()

    async def prepare_configuration(self, configuration: Configuration) -> None:
        """Build the data derived from a configuration without blocking other tasks.

        Call this before ``apply_configuration``.
        """
        await run_in_steps(self.configuration.prepare(configuration))

    async def release_replaced_configurations(self) -> None:
        """Release the memory of replaced configurations without blocking other tasks."""
        await run_in_steps(self.configuration.release_replaced())

    def on_configuration_confirmed(self, confirmed_at: float) -> None:
        """Record that the rows read so far were the newest in the store at ``confirmed_at``.

        The configuration isn't confirmed if its latest stored version is invalid, as that version
        may be newer.
        """
        self.stored_zone_drains.confirm(confirmed_at)
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
        self,
        configuration: Configuration,
        source: str,
        host: str | None = None,
        decode_ms: int | None = None,
    ) -> bool:
        """Apply a configuration if it is newer; return whether it was newer.

        ``source``, ``host`` and ``decode_ms``, the time that its decoding took, are logged.
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
            decode_ms=decode_ms,
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
            software_version=replica.software_version,
        )

    def _log_removed_replica(self, replica_id: str, version: int) -> None:
        self._log.write(catalogue.REPLICA_REMOVED, replica=replica_id, version=version)

    def _confirm_directory(self, page: RowPage) -> None:
        self.directory.version = max(self.directory.version, page.version)
        self.directory.confirm(self._clock())
        self.record_directory_source("store")

    def record_directory_source(self, source: str) -> None:
        """Record for the startup log that state was received from ``source``."""
        if not self.directory.is_empty:
            self.startup.record_stage(Stage.REPLICAS, source)
        self._record_zone_drain_source(source)

    def _record_zone_drain_source(self, source: str) -> None:
        if self.zone_drains.is_known:
            self.startup.record_stage(Stage.ZONE_DRAINS, source)

    def _apply_zone_drains(self, drained: tuple[str, ...], lifted: tuple[str, ...]) -> None:
        self.directory.drain_zones(self.zone_drains.zones)
