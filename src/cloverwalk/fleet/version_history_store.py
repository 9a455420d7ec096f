"""Stores which software versions replicas have had, for a fleet whose processes all restart.

The coordinator reads the row when it takes the role and writes it when the listed versions change,
which is rare. Without the row, processes that have just started could not tell whether the only
version that they see is the one that began the streams of the time before.
"""

import curio
import msgspec

from cloverwalk.core import catalogue
from cloverwalk.fleet.coordinator import Coordinator
from cloverwalk.fleet.messages import ListedVersion
from cloverwalk.gateway.software_versions import (
    RETENTION_S,
    Software,
    SoftwareVersions,
    VersionHistory,
)
from cloverwalk.store.clock import StoreClock
from cloverwalk.store.health import StoreHealth
from cloverwalk.store.row_decoder import InvalidRows, RowDecoder
from cloverwalk.store.stored import Stored, transaction
from cloverwalk.store.types import (
    CommitStatus,
    Row,
    RowKey,
    Store,
    StoreError,
)
from cloverwalk.telemetry.log import ServingLog

ROW_KEY = RowKey("software", "", "versions")
CHECK_INTERVAL_S = 0.1
CALL_TIMEOUT_S = 1.5
RETRY_DELAY_MS = 300.0


class StoredVersions(msgspec.Struct, array_like=True, frozen=True):
    """Value of the row: the versions as of a time of the store."""

    versions: list[ListedVersion]
    store_ms: float


_decoder = msgspec.json.Decoder(StoredVersions)


class VersionHistoryStore:
    """Reads and writes the row while this node coordinates."""

    def __init__(
        self,
        versions: SoftwareVersions,
        coordinator: Coordinator,
        store: Store,
        health: StoreHealth,
        store_clock: StoreClock,
        log: ServingLog,
    ) -> None:
        self._versions = versions
        self._coordinator = coordinator
        self._store = store
        self._health = health
        self._store_clock = store_clock
        invalid_rows = InvalidRows(log, catalogue.VERSION_HISTORY_INVALID)
        self._decoder = RowDecoder(_decoder, lambda: StoredVersions([], 0.0), invalid_rows)
        self._row: Stored[StoredVersions] | None = None
        """The row as last read or written; None if it has to be read."""

    async def run(self) -> None:
        """Keep the row up to date while this node coordinates, until cancelled."""
        while True:
            await self._coordinator.wait_until_active()
            self._row = None
            while self._coordinator.is_active:
                if not await self.update():
                    await self._health.backoff(RETRY_DELAY_MS)
                await curio.sleep(CHECK_INTERVAL_S)

    async def update(self) -> bool:
        """Read or write the row if necessary; return False if that has to be repeated."""
        if self._versions.history() is None:
            return True
        if self._row is None:
            return await self._read()
        is_current = _listed(self._row.content) == self._versions.listed
        return is_current or await self._write(self._row)

    async def _read(self) -> bool:
        """Add what the row tells of the past."""
        try:
            page = await self._store.read_table(ROW_KEY.table)
        except StoreError:
            return False
        row = next((row for row in page.rows if row.row_key == ROW_KEY), Row(ROW_KEY, None, 0))
        self._row = self._decoder.stored(row)
        stored = self._row.content
        now = self._store_clock.now()
        elapsed_ms = 0.0
        if now is not None:
            elapsed_ms = max(0.0, now.earliest_ms - stored.store_ms)
        unlisted_s = {}
        for version in stored.versions:
            software = Software(version.service, version.software_version)
            # A version that was listed at the last write may have gone just now.
            unlisted_ms = version.unlisted_ms + elapsed_ms if version.unlisted_ms else 0.0
            unlisted_s[software] = unlisted_ms / 1000
        self._versions.merge(VersionHistory(RETENTION_S, unlisted_s))
        return True

    async def _write(self, row: Stored[StoredVersions]) -> bool:
        history, store_time = self._versions.history(), self._store_clock.now()
        if history is None or store_time is None:
            return False
        listed = self._versions.listed
        versions = [
            ListedVersion(*software, _unlisted_ms(software, unlisted_s, listed))
            for software, unlisted_s in sorted(history.unlisted_s.items())
        ]
        write = row.replace(StoredVersions(versions, store_time.latest_ms))
        outcome = await self._store.commit(transaction(write), CALL_TIMEOUT_S)
        if outcome.status is CommitStatus.COMMITTED:
            self._row = write.committed(outcome)
            return True
        # Another coordinator has written the row, or the outcome is not known.
        self._row = None
        return outcome.status is CommitStatus.CONFLICT


def _listed(stored: StoredVersions) -> frozenset[Software]:
    """Return the versions that a row names as listed."""
    return frozenset(
        Software(version.service, version.software_version)
        for version in stored.versions
        if not version.unlisted_ms
    )


def _unlisted_ms(software: Software, unlisted_s: float, listed: frozenset[Software]) -> int:
    """Return for how long a version has not been listed; 0 only if it is listed."""
    return 0 if software in listed else max(1, int(unlisted_s * 1000))
