"""What a node knows from the store: configuration, replicas, time. Peers may add to it."""

from collections.abc import Callable

from cloverwalk.core import catalogue
from cloverwalk.gateway.configuration import ConfigurationHolder
from cloverwalk.gateway.replicas import Replica, ReplicaDirectory
from cloverwalk.serving.adapter import Adapter
from cloverwalk.store.types import RowPage
from cloverwalk.telemetry.log import ServingLog


class FleetKnowledge:
    """Turns rows into what the node goes by; older rows never replace newer ones."""

    def __init__(self, adapter: Adapter, log: ServingLog, clock: Callable[[], float]) -> None:
        self._adapter = adapter
        self._log = log
        self._clock = clock
        self._clock_ms = 0.0
        self._clock_at: float | None = None
        self.configuration = ConfigurationHolder()
        self.directory = ReplicaDirectory()

    def note_clock(self, page: RowPage) -> None:
        """Take the store's time from an answer."""
        self._clock_ms = page.now_ms
        self._clock_at = self._clock()

    def store_now_ms(self) -> float:
        """Return the store's time, in ms, 0 before it is known."""
        if self._clock_at is None:
            return 0.0
        return self._clock_ms + (self._clock() - self._clock_at) * 1000

    async def on_configuration(self, page: RowPage) -> None:
        """Take rows of the configuration's table."""
        self.note_clock(page)
        for row in page.rows:
            if row.row_key.key == self._adapter.configuration_key and row.value is not None:
                self.take_configuration(row.value)

    def take_configuration(self, raw: bytes) -> bool:
        """Take a stored configuration if it is newer; return whether it was."""
        try:
            configuration = self._adapter.configuration(raw)
        except ValueError as error:
            self._log.write(catalogue.CONFIGURATION_INVALID, error=str(error)[:300])
            return False
        if not self.configuration.offer(configuration, raw):
            return False
        self._log.write(
            catalogue.CONFIGURATION_TAKEN,
            version=configuration.version,
            routes=len(configuration.routes),
        )
        return True

    async def on_all_replicas(self, page: RowPage) -> None:
        """Take the whole list of replicas."""
        replicas = self._decode_replicas(page)
        for key in self.directory.replace(replicas, page.version):
            self._forget_replica(key, page.version)
        self._confirm_directory(page)

    async def on_replicas(self, page: RowPage) -> None:
        """Take changes of the list of replicas."""
        for row in page.rows:
            if row.value is None and self.directory.remove(row.row_key.key, row.version):
                self._forget_replica(row.row_key.key, row.version)
        for replica in self._decode_replicas(page):
            self._put_replica(replica)
        self._confirm_directory(page)

    def _decode_replicas(self, page: RowPage) -> list[Replica]:
        replicas: list[Replica] = []
        for row in page.rows:
            if row.value is None:
                continue
            try:
                replica = self._adapter.replica(row.row_key.key, row.value, row.version)
            except ValueError as error:
                self._log.write(catalogue.REPLICA_INVALID, error=str(error)[:300])
                continue
            replicas.append(replica)
        return replicas

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

    def _forget_replica(self, replica_id: str, version: int) -> None:
        self._log.write(catalogue.REPLICA_REMOVED, replica=replica_id, version=version)

    def _confirm_directory(self, page: RowPage) -> None:
        self.note_clock(page)
        self.directory.version = max(self.directory.version, page.version)
        self.directory.confirmed_at = self._clock()
