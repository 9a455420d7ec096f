"""Follows a table of the store: a whole read, then its changes."""

from collections.abc import Awaitable, Callable
from random import Random

import curio

from cloverwalk.core import catalogue
from cloverwalk.store.health import StoreHealth
from cloverwalk.store.types import HistoryLostError, RowPage, Store, StoreError
from cloverwalk.telemetry.log import ServingLog

FIRST_RETRY_S = 0.1
LONGEST_RETRY_S = 1.0
WAIT_S = 2.5
"""How long a call waits for a change: not long, since a lost answer is only seen by its absence."""

OnRows = Callable[[RowPage], Awaitable[None]]
UntilNeeded = Callable[[], Awaitable[None]]


async def always() -> None:
    """Follow without a pause."""


class TableFollower:
    """Keeps its user up to date with one table.

    ``on_whole`` gets every row of the table, ``on_changes`` what changed since. A call that
    succeeded confirms all earlier rows, even when nothing changed. ``until_needed`` returns when
    the table has to be followed; a node whose coordinator tells it all need not.
    """

    def __init__(
        self,
        table: str,
        store: Store,
        health: StoreHealth,
        on_whole: OnRows,
        on_changes: OnRows,
        pause_s: float,
        log: ServingLog,
        clock: Callable[[], float],
        random: Random,
        until_needed: UntilNeeded = always,
    ) -> None:
        self.table = table
        self._until_needed = until_needed
        self._store = store
        self._health = health
        self._on_whole = on_whole
        self._on_changes = on_changes
        self._pause_s = pause_s
        self._log = log
        self._clock = clock
        self._random = random
        self._version: int | None = None
        self._lost_since: float | None = None
        self.confirmed_at = float("-inf")
        """When the last call began that was answered (steady clock, seconds)."""

    def is_fresh(self, now: float, age_s: float) -> bool:
        """Whether the table was confirmed within the last ``age_s`` seconds."""
        return now - self.confirmed_at <= age_s

    async def run(self) -> None:
        """Follow until cancelled."""
        retry_s = FIRST_RETRY_S
        while True:
            await self._until_needed()
            try:
                await self._step()
                retry_s = FIRST_RETRY_S
                await curio.sleep(self._pause_s)
            except HistoryLostError:
                self._version = None
                self._log.write(catalogue.HISTORY_LOST, table=self.table)
            except StoreError as error:
                self._note_lost(error)
                await self._health.backoff(retry_s * 1000 * (0.5 + self._random.random()))
                retry_s = min(LONGEST_RETRY_S, 2 * retry_s)

    async def _step(self) -> None:
        began_at = self._clock()
        if self._version is None:
            page = await self._store.read_table(self.table)
            await self._on_whole(page)
        else:
            page = await self._store.changes(self.table, self._version, WAIT_S)
            await self._on_changes(page)
        self._version = page.version
        self._note_answer(began_at)

    def _note_answer(self, began_at: float) -> None:
        self.confirmed_at = began_at
        if self._lost_since is not None:
            lost_s = round(self._clock() - self._lost_since, 3)
            self._log.write(catalogue.FEED_BACK, table=self.table, lost_s=lost_s)
            self._lost_since = None

    def _note_lost(self, error: StoreError) -> None:
        if self._lost_since is None:
            self._lost_since = self._clock()
            self._log.write(catalogue.FEED_LOST, table=self.table, code=error.code)
