"""Notices that the store stops and starts to answer, and wakes those that wait for its return.

Machines may be lost right after an outage of the store. What a node holds back meanwhile, such as
results and output of running items, must be stored as soon as the store is back.
"""

from collections.abc import Callable

import curio

from cloverwalk.core.clock import Clock
from cloverwalk.store.clock import StoreClock
from cloverwalk.store.types import (
    CommitOutcome,
    CommitStatus,
    HistoryLostError,
    RowPage,
    Store,
    StoreError,
    Transaction,
)

MIN_BACKOFF_MS = 20.0
"""Where one part of the store is lost and others are not, pauses are at least so long."""


def _ignore(_is_answered: bool) -> None:
    return


class StoreHealth:
    """Whether the last call to the store was answered."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._returned = curio.Event()
        self._became_unavailable = curio.Event()
        self._hint = curio.Event()
        self.unavailable_since_ms: float | None = None
        """When the first of the unanswered calls ended; None while the store answers."""

        self.answered_at_ms = clock.now_ms()
        """When a call was last answered; the start, as long as nothing speaks against the store."""

        self.on_call: Callable[[bool], None] = _ignore
        """Told of each call whether it was answered."""

    def unavailable_for_ms(self) -> float:
        """Return for how long the store has not answered, 0 while it does."""
        return (
            0.0
            if self.unavailable_since_ms is None
            else self._clock.now_ms() - self.unavailable_since_ms
        )

    def ms_since_answer(self) -> float:
        """Return the time since the store last answered."""
        return self._clock.now_ms() - self.answered_at_ms

    @property
    def is_unavailable(self) -> bool:
        """Whether the last call got no answer, or a refusal."""
        return self.unavailable_since_ms is not None

    async def record_failure(self) -> None:
        """A call got no answer, or a refusal."""
        self.on_call(False)
        if self.unavailable_since_ms is not None:
            return
        self.unavailable_since_ms = self._clock.now_ms()
        self._returned = curio.Event()
        await self._became_unavailable.set()

    async def record_answer(self) -> None:
        """A call was answered."""
        self.on_call(True)
        self.answered_at_ms = self._clock.now_ms()
        if self.unavailable_since_ms is None:
            return
        self.unavailable_since_ms = None
        self._became_unavailable = curio.Event()
        await self._returned.set()

    async def hint_recovery(self) -> None:
        """Another node was answered: the store may answer this one too."""
        if self.is_unavailable:
            await self._hint.set()

    async def wait_for_recovery_hint(self, max_wait_ms: float) -> None:
        """Return with the next hint, or after ``max_wait_ms``."""
        async with curio.ignore_after(max_wait_ms / 1000):
            await self._hint.wait()
        self._hint.clear()

    async def wait_until_unavailable(self) -> None:
        """Return once a call fails; at once while the store is lost."""
        await self._became_unavailable.wait()

    async def backoff(self, pause_ms: float) -> None:
        """Sleep, but not beyond the return of the store when it is lost now."""
        returned = self._returned if self.is_unavailable else None
        min_delay_ms = min(MIN_BACKOFF_MS, pause_ms)
        await curio.sleep(min_delay_ms / 1000)
        remaining_ms = pause_ms - min_delay_ms
        if returned is None:
            await curio.sleep(remaining_ms / 1000)
            return
        async with curio.ignore_after(remaining_ms / 1000):
            await returned.wait()


class MonitoredStore:
    """A store whose answers and failures are noted, and the time that answers tell."""

    def __init__(self, store: Store, health: StoreHealth, store_clock: StoreClock) -> None:
        self._store = store
        self._health = health
        self._store_clock = store_clock

    async def _record_answer(self, now_ms: float | None, sent_at_ms: float) -> None:
        if now_ms is not None:
            self._store_clock.record_answer(now_ms, sent_at_ms)
        await self._health.record_answer()

    async def commit(self, transaction: Transaction, timeout_s: float) -> CommitOutcome:
        """Try once to commit; never raises."""
        sent_at_ms = self._store_clock.monotonic_ms()
        outcome = await self._store.commit(transaction, timeout_s)
        if outcome.status in (CommitStatus.COMMITTED, CommitStatus.CONFLICT):
            await self._record_answer(outcome.now_ms, sent_at_ms)
        else:
            await self._health.record_failure()
        return outcome

    async def read(
        self, table: str, part: str, start: str = "", end: str = "", limit: int = 500
    ) -> RowPage:
        """Return rows with ``start`` <= key < ``end`` in order of their keys."""
        sent_at_ms = self._store_clock.monotonic_ms()
        try:
            page = await self._store.read(table, part, start, end, limit)
        except StoreError:
            await self._health.record_failure()
            raise
        await self._record_answer(page.now_ms, sent_at_ms)
        return page

    async def read_table(self, table: str) -> RowPage:
        """Return the rows of all parts of a table."""
        sent_at_ms = self._store_clock.monotonic_ms()
        try:
            page = await self._store.read_table(table)
        except StoreError:
            await self._health.record_failure()
            raise
        await self._record_answer(page.now_ms, sent_at_ms)
        return page

    async def changes(self, table: str, since: int, wait_s: float) -> RowPage:
        """Return the changes after a version; raise HistoryLostError when they are gone."""
        sent_at_ms = self._store_clock.monotonic_ms()
        try:
            page = await self._store.changes(table, since, wait_s)
        except HistoryLostError:
            await self._health.record_answer()
            raise
        except StoreError:
            await self._health.record_failure()
            raise
        await self._record_answer(page.now_ms, sent_at_ms)
        return page
