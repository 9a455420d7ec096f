"""Follows a table of the store: a full read, then its changes."""

from collections.abc import Awaitable, Callable
from random import Random

import curio

from cloverwalk.core import catalogue
from cloverwalk.store.health import StoreHealth
from cloverwalk.store.types import HistoryLostError, RowPage, Store, StoreError
from cloverwalk.telemetry.log import ServingLog

MIN_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 1.0
LONG_POLL_TIMEOUT_S = 2.5
"""How long a call waits for a change; short, since a lost answer is noticed only by its timeout."""

CONFIGURATION_LONG_POLL_TIMEOUT_S = 0.8
"""Shorter for the configuration, since a change has to be in force on every node within 2 s: if a
connection fails without a reset, the next call starts at most 1.75 s after the unanswered one. An
answer confirms the table as of the start of its call, so the age of the confirmation reaches twice
the interval between calls."""

OnRows = Callable[[RowPage], Awaitable[None]]
WaitUntilNeeded = Callable[[], Awaitable[None]]
ResumeVersion = Callable[[], int]
"""Returns the store version up to which another node has sent the rows, -1 if none has."""


async def follow_always() -> None:
    """Return at once, so that the table is always followed."""


def _ignore_confirmation(confirmed_at: float) -> None:
    return


def _never_resume() -> int:
    return -1


def _ignore_resumption() -> None:
    return


class TableFollower:
    """Passes the rows of one table and their changes to callbacks.

    No change is missed: a full read has a version that all changes exceed which its rows lack, the
    changes after a version are all of them or ``HistoryLostError``, and after that error the table
    is read in full again. Rows may come again, in versions that are older than those known.

    ``on_full_read`` gets every row of the table, ``on_changes`` the rows changed since. A call that
    succeeds confirms all earlier rows, even if nothing has changed. ``wait_until_needed`` returns
    when the table has to be followed; a node whose coordinator sends all changes needn't follow it.
    ``on_confirmed`` gets the start time of each answered call, after its rows have been applied.
    If another node has sent the rows, ``resume_version`` makes a full read unnecessary;
    ``on_resumed`` is called before the changes after that version are read.
    """

    def __init__(
        self,
        table: str,
        store: Store,
        health: StoreHealth,
        on_full_read: OnRows,
        on_changes: OnRows,
        interval_s: float,
        log: ServingLog,
        clock: Callable[[], float],
        random: Random,
        wait_until_needed: WaitUntilNeeded = follow_always,
        on_confirmed: Callable[[float], None] = _ignore_confirmation,
        long_poll_timeout_s: float = LONG_POLL_TIMEOUT_S,
        resume_version: ResumeVersion = _never_resume,
        on_resumed: Callable[[], None] = _ignore_resumption,
    ) -> None:
        self.table = table
        self._wait_until_needed = wait_until_needed
        self._on_confirmed = on_confirmed
        self._long_poll_timeout_s = long_poll_timeout_s
        self._store = store
        self._health = health
        self._on_full_read = on_full_read
        self._on_changes = on_changes
        self._interval_s = interval_s
        self._log = log
        self._clock = clock
        self._random = random
        self._resume_version = resume_version
        self._on_resumed = on_resumed
        self._has_lost_history = False
        self._version: int | None = None
        self._newest_version = -1
        """Newest version of an answer; kept when the table has to be read in full again."""

        self._failing_since: float | None = None
        self._failed_at = float("-inf")
        self._failing_call_at: float | None = None
        """When the first call of the current series of failures began."""

        self.confirmed_at = float("-inf")
        """When the last answered call began, in seconds of the monotonic clock."""

    def is_fresh(self, now: float, age_s: float) -> bool:
        """Whether the table was confirmed within the last ``age_s`` seconds."""
        return now - self.confirmed_at <= age_s

    @property
    def version(self) -> int:
        """Store version up to which the rows were passed to callbacks, -1 if unknown."""
        return -1 if self._version is None else self._version

    def failing_for_s(self, since: float, now: float) -> float:
        """Return for how long the calls after ``since`` have failed, 0 if they succeed."""
        if self._failing_call_at is None or self._failed_at < since:
            return 0.0
        return now - max(since, self._failing_call_at)

    async def run(self) -> None:
        """Follow until cancelled."""
        retry_delay_s = MIN_RETRY_DELAY_S
        while True:
            await self._wait_until_needed()
            began_at = self._clock()
            try:
                await self._step()
                retry_delay_s = MIN_RETRY_DELAY_S
                await curio.sleep(self._interval_s)
            except HistoryLostError:
                self._version = None
                self._has_lost_history = True
                self._log.write(catalogue.HISTORY_LOST, table=self.table)
            except StoreError as error:
                self._record_failure(error, began_at)
                await self._health.backoff(retry_delay_s * 1000 * (0.5 + self._random.random()))
                retry_delay_s = min(MAX_RETRY_DELAY_S, 2 * retry_delay_s)

    async def _step(self) -> None:
        began_at = self._clock()
        has_resumed = self._resume()
        if self._version is None:
            page = await self._store.read_table(self.table)
            if page.version < self._newest_version:
                message = f"full read has version {page.version}, older than {self._newest_version}"
                raise StoreError(message, "store_answer_outdated")
            await self._on_full_read(page)
            self._has_lost_history = False
        else:
            # The first call does not wait, so that it soon confirms the rows from the other node.
            wait_s = 0.0 if has_resumed else self._long_poll_timeout_s
            page = await self._store.changes(self.table, self._version, wait_s)
            await self._on_changes(page)
        self._version = page.version
        self._newest_version = max(self._newest_version, page.version)
        self._record_answer(began_at)

    def _resume(self) -> bool:
        """Resume from a version whose rows another node has sent; return whether it was newer."""
        version = self._resume_version()
        if self._has_lost_history or version <= self.version:
            return False
        self._version = version
        self._on_resumed()
        return True

    def _record_answer(self, began_at: float) -> None:
        self.confirmed_at = began_at
        self._failing_call_at = None
        self._on_confirmed(began_at)
        if self._failing_since is not None:
            lost_s = round(self._clock() - self._failing_since, 3)
            self._log.write(catalogue.FEED_BACK, table=self.table, lost_s=lost_s)
            self._failing_since = None

    def _record_failure(self, error: StoreError, began_at: float) -> None:
        self._failed_at = self._clock()
        if self._failing_call_at is None:
            self._failing_call_at = began_at
        if self._failing_since is None:
            self._failing_since = self._clock()
            self._log.write(catalogue.FEED_LOST, table=self.table, code=error.code)
