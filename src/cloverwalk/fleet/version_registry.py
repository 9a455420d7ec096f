"""Registers software versions in the store before any stream begins at them.

A node that has no record of a stream resumes it only if no stream can have begun at another
version. Its replica list can't show that: replicas of another version may have joined while the
node was cut off or suspended. So a version is written to a row of the store before the first
stream begins at it. A node that reads this row after a resumption has arrived finds every version
at which the stream can have begun, whatever messages were lost and however long nodes were paused.

The coordinator writes the row when the listed versions change. Another node adds a version to it
if the coordinator has not done so for a while.
"""

from collections.abc import Callable
from random import Random

import curio
import msgspec

from cloverwalk.core import catalogue
from cloverwalk.fleet.coordinator import Coordinator
from cloverwalk.fleet.messages import ListedVersion
from cloverwalk.gateway.registered_versions import RegisteredVersions
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
    MAX_ROW_BYTES,
    CommitStatus,
    Row,
    RowKey,
    Store,
    StoreError,
)
from cloverwalk.telemetry.log import ServingLog

ROW_KEY = RowKey("software", "", "versions")
CHECK_INTERVAL_S = 0.05
CALL_TIMEOUT_S = 1.5
RETRY_DELAY_MS = 300.0
READ_TIMEOUT_S = 0.5
"""How long a resumption waits for the row."""

MAX_VERSION_BYTES = MAX_ROW_BYTES - 100
"""Encoded entries of the row; the rest of the row is for its other fields."""

REREAD_INTERVAL_S = 30.0
"""The row is read again after this time, as another node or a late write may have changed it. Much
shorter than the retention of versions that the row no longer lists."""

MIN_ADOPTION_DELAY_S = 0.4
MAX_ADOPTION_DELAY_S = 0.8
"""After a random time between these, a node reads the row for a version that it does not know to
be registered, and adds it if the coordinator has not. Not all nodes read at once."""


class StoredVersions(msgspec.Struct, array_like=True, frozen=True):
    """Value of the row: the versions as of a time of the store."""

    versions: list[ListedVersion]
    store_ms: float


_decoder = msgspec.json.Decoder(StoredVersions)
_NOT_READABLE = StoredVersions([], -1.0)
"""Stands for an invalid row: nothing is known of the versions that it listed."""

_ANY = Software("", "")
"""Entry for an unknown version of an unknown service, after a row was lost."""


class VersionRegistry:
    """Reads and writes the row."""

    def __init__(
        self,
        versions: SoftwareVersions,
        registered: RegisteredVersions,
        coordinator: Coordinator,
        store: Store,
        health: StoreHealth,
        store_clock: StoreClock,
        log: ServingLog,
        clock: Callable[[], float],
        random: Random,
    ) -> None:
        self._versions = versions
        self._registered = registered
        self._coordinator = coordinator
        self._store = store
        self._health = health
        self._store_clock = store_clock
        invalid_rows = InvalidRows(log, catalogue.VERSION_HISTORY_INVALID)
        self._decoder = RowDecoder(_decoder, lambda: _NOT_READABLE, invalid_rows)
        self._clock = clock
        self._random = random
        self._row: Stored[StoredVersions] | None = None
        """The row as last read or written; None if it has to be read."""

        self.has_registered = False
        """Whether a version of listed replicas was ever found in the row, or written to it."""

        self._has_seen_row = False
        self._read_at = float("-inf")
        """When the last read of the row that the store answered began."""

        self._was_active = False
        self._adopt_at: float | None = None
        """When to read the row for a version that is not known to be registered."""

        self._read_lock = curio.Lock()
        self._reads_begun = 0
        self._last_read = 0
        """Number of the last read that ended."""

        self._last_read_row: Stored[StoredVersions] | None = None
        """What it returned; None if the store did not answer."""

    # --- registration ---

    async def run(self) -> None:
        """Keep the row up to date until cancelled."""
        while True:
            if not await self.update():
                await self._health.backoff(RETRY_DELAY_MS)
            await curio.sleep(CHECK_INTERVAL_S)

    async def update(self) -> bool:
        """Read or write the row if necessary; return False if that has to be repeated."""
        if self._versions.history() is None:
            return True
        listed = self._versions.listed
        self._registered.retain(listed)
        has_taken_role = self._coordinator.is_active and not self._was_active
        self._was_active = self._coordinator.is_active
        is_outdated = self._clock() - self._read_at > REREAD_INTERVAL_S
        row = None if has_taken_role or is_outdated else self._row
        if row is None:
            row = await self._read()
        if row is None:
            return False
        if self._coordinator.is_active:
            return _listed(row.content) == listed or await self._write(row, self._history(row))
        return await self._adopt(listed)

    async def _adopt(self, listed: frozenset[Software]) -> bool:
        """Look for versions that this node does not know to be registered, and add them."""
        if not self._registered.missing(listed):
            self._adopt_at = None
            return True
        if self._adopt_at is None:
            delay_s = self._random.uniform(MIN_ADOPTION_DELAY_S, MAX_ADOPTION_DELAY_S)
            self._adopt_at = self._clock() + delay_s
        if self._clock() < self._adopt_at:
            return True
        row = await self._read()
        if row is None:
            return False
        missing = self._registered.missing(listed)
        return not missing or await self._write(row, self._with_listed(row, missing))

    def _history(self, row: Stored[StoredVersions]) -> dict[Software, int]:
        """Return for how long each version has not been listed, by the store's time (ms)."""
        history, listed = self._versions.history(), self._versions.listed
        assert history is not None
        unlisted_s = self._unlisted_s(row.content)
        return {
            software: _unlisted_ms(software, unlisted_s.get(software, 0.0), listed)
            for software in listed | unlisted_s.keys() | history.unlisted_s.keys()
            if unlisted_s.get(software, 0.0) < RETENTION_S
        }

    def _with_listed(
        self, row: Stored[StoredVersions], added: frozenset[Software]
    ) -> dict[Software, int]:
        """Return the same as the row tells, with further versions that are listed."""
        unlisted_s = self._unlisted_s(row.content)
        listed = _listed(row.content) | added
        return {
            software: _unlisted_ms(software, unlisted_s.get(software, 0.0), listed)
            for software in listed | unlisted_s.keys()
        }

    async def _write(self, row: Stored[StoredVersions], unlisted_ms: dict[Software, int]) -> bool:
        store_time = self._store_clock.now()
        if store_time is None:
            return False
        if self._has_lost_row(row):
            unlisted_ms = {_ANY: 1, **unlisted_ms}
        versions = _fitting(unlisted_ms)
        write = row.replace(StoredVersions(versions, store_time.latest_ms))
        outcome = await self._store.commit(transaction(write), CALL_TIMEOUT_S)
        if outcome.status is CommitStatus.COMMITTED:
            self._use(write.committed(outcome))
            return True
        # Another node has written the row, or the outcome is not known.
        self._row = None
        return outcome.status is CommitStatus.CONFLICT

    # --- resumptions without a record ---

    async def only_software(self, service: str) -> Software | None:
        """Return the only software at which a stream of a service can have begun before the call.

        None if there are several, or if the store does not tell. The row is read after the call.
        """
        row: Stored[StoredVersions] | None = None
        async with curio.ignore_after(READ_TIMEOUT_S):
            row = await self._read()
        if row is None:
            return None
        unlisted_s = self._unlisted_s(row.content)
        possible = [
            software
            for software, age_s in unlisted_s.items()
            if software.service in (service, _ANY.service) and age_s < RETENTION_S
        ]
        if len(possible) != 1 or possible[0].service != service or not possible[0].is_known:
            return None
        return possible[0]

    # --- the row ---

    async def _read(self) -> Stored[StoredVersions] | None:
        """Return the row as read after the call, None if the store does not answer.

        Calls share a read that began after them.
        """
        reads_begun = self._reads_begun
        async with self._read_lock:
            if self._last_read <= reads_begun:
                self._reads_begun += 1
                number = self._reads_begun
                self._last_read_row = await self._read_store()
                self._last_read = number
            return self._last_read_row

    async def _read_store(self) -> Stored[StoredVersions] | None:
        self._row = None
        began_at = self._clock()
        try:
            page = await self._store.read_table(ROW_KEY.table)
        except StoreError:
            return None
        found = next((row for row in page.rows if row.row_key == ROW_KEY), Row(ROW_KEY, None, 0))
        row = self._decoder.stored(found)
        self._read_at = began_at
        self._use(row)
        return row

    def _has_lost_row(self, row: Stored[StoredVersions]) -> bool:
        """Whether a row is invalid, or missing although there was one."""
        return row.content is _NOT_READABLE and (row.version > 0 or self._has_seen_row)

    def _use(self, row: Stored[StoredVersions]) -> None:
        """Use the row as it is in the store."""
        self._row = row
        self._has_seen_row |= row.version > 0
        registered = _listed(row.content) & self._versions.listed
        self._registered.replace(registered)
        self.has_registered |= bool(registered)
        self._versions.merge(VersionHistory(RETENTION_S, self._unlisted_s(row.content)))

    def _unlisted_s(self, stored: StoredVersions) -> dict[Software, float]:
        """Return the time for which each version of the row has at least not been listed."""
        now = self._store_clock.now()
        elapsed_ms = 0.0 if now is None else max(0.0, now.earliest_ms - stored.store_ms)
        return {
            # A version that was listed at the last write may have gone just now.
            Software(version.service, version.software_version): (
                (version.unlisted_ms + elapsed_ms) / 1000 if version.unlisted_ms else 0.0
            )
            for version in stored.versions
        }


def _fitting(unlisted_ms: dict[Software, int]) -> list[ListedVersion]:
    """Return the entries of a row that the store takes.

    If they are too many, an unknown version of their services stands for those that have gone.
    """
    versions = _entries(unlisted_ms)
    if len(msgspec.json.encode(versions)) <= MAX_VERSION_BYTES:
        return versions
    kept = {software: age_ms for software, age_ms in unlisted_ms.items() if not age_ms}
    gone = {Software(software.service, "") for software in unlisted_ms.keys() - kept.keys()}
    return _entries({**dict.fromkeys(gone, 1), **kept})


def _entries(unlisted_ms: dict[Software, int]) -> list[ListedVersion]:
    return [ListedVersion(*software, unlisted_ms[software]) for software in sorted(unlisted_ms)]


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
