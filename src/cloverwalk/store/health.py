"""Tracks whether the store answers, and wakes tasks that wait for its recovery.

Machines may fail right after an outage of the store. Everything that a node buffers during the
outage, such as results and output of running items, must be stored as soon as the store recovers.
"""

from collections import deque
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
"""Lower bound of a backoff. It limits retries if only one part of the store is unavailable and the
answers of the other parts keep ending the backoff."""

KEPT_ROUND_TRIPS = 16
"""Number of recent short calls whose minimum time is reported."""


def _ignore(_is_answered: bool) -> None:
    return


class StoreHealth:
    """Whether the store answers, as judged by the last call."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._recovered = curio.Event()
        self._became_unavailable = curio.Event()
        self._hint = curio.Event()
        self.unavailable_since_ms: float | None = None
        """When the first unanswered call ended; None while the store answers."""

        self.answered_at_ms = clock.now_ms()
        """When a call was last answered; initially the time of creation."""

        self.on_call: Callable[[bool], None] = _ignore
        """Called after each call to the store; the argument is whether it was answered."""

        self._round_trips_ms: deque[float] = deque(maxlen=KEPT_ROUND_TRIPS)

    @property
    def round_trip_ms(self) -> int:
        """Shortest time of the recent short calls, at least 1 ms; 0: unknown."""
        return max(1, round(min(self._round_trips_ms))) if self._round_trips_ms else 0

    def record_round_trip(self, took_ms: float) -> None:
        """Record the time of a short call; callers leave out long polls and reads of tables."""
        self._round_trips_ms.append(took_ms)

    def unavailable_for_ms(self) -> float:
        """Return how long the store has been unavailable, 0 while it answers."""
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
        """Whether the last call was not answered, or was refused."""
        return self.unavailable_since_ms is not None

    async def record_failure(self) -> None:
        """Record a call that was not answered, or was refused."""
        self.on_call(False)
        if self.unavailable_since_ms is not None:
            return
        self.unavailable_since_ms = self._clock.now_ms()
        self._recovered = curio.Event()
        await self._became_unavailable.set()

    async def record_answer(self) -> None:
        """Record an answered call and wake tasks that wait for the recovery."""
        self.on_call(True)
        self.answered_at_ms = self._clock.now_ms()
        if self.unavailable_since_ms is None:
            return
        self.unavailable_since_ms = None
        self._became_unavailable = curio.Event()
        await self._recovered.set()

    async def hint_recovery(self) -> None:
        """Trigger an early probe, since the store answered another node."""
        if self.is_unavailable:
            await self._hint.set()

    async def wait_for_recovery_hint(self, max_wait_ms: float) -> None:
        """Wait for the next recovery hint, at most ``max_wait_ms``."""
        async with curio.ignore_after(max_wait_ms / 1000):
            await self._hint.wait()
        self._hint.clear()

    async def wait_until_unavailable(self) -> None:
        """Wait until a call fails; return at once if the store is unavailable."""
        await self._became_unavailable.wait()

    async def backoff(self, delay_ms: float) -> None:
        """Sleep; if the store is unavailable now, return early when it recovers."""
        recovered = self._recovered if self.is_unavailable else None
        min_delay_ms = min(MIN_BACKOFF_MS, delay_ms)
        await curio.sleep(min_delay_ms / 1000)
        remaining_ms = delay_ms - min_delay_ms
        if recovered is None:
            await curio.sleep(remaining_ms / 1000)
            return
        async with curio.ignore_after(remaining_ms / 1000):
            await recovered.wait()


class MonitoredStore:
    """A store client that records the outcome of each call and the store time of each answer."""

    def __init__(self, store: Store, health: StoreHealth, store_clock: StoreClock) -> None:
        self._store = store
        self._health = health
        self._store_clock = store_clock

    async def _record_answer(self, now_ms: float | None, sent_at_ms: float) -> None:
        if now_ms is not None:
            self._store_clock.record_answer(now_ms, sent_at_ms)
        await self._health.record_answer()

    def _record_round_trip(self, sent_at_ms: float) -> None:
        self._health.record_round_trip(self._store_clock.monotonic_ms() - sent_at_ms)

    async def commit(self, transaction: Transaction, timeout_s: float) -> CommitOutcome:
        """Make one attempt to commit; never raises."""
        sent_at_ms = self._store_clock.monotonic_ms()
        outcome = await self._store.commit(transaction, timeout_s)
        if outcome.status in (CommitStatus.COMMITTED, CommitStatus.CONFLICT):
            self._record_round_trip(sent_at_ms)
            await self._record_answer(outcome.now_ms, sent_at_ms)
        else:
            await self._health.record_failure()
        return outcome

    async def read(
        self, table: str, part: str, start: str = "", end: str = "", limit: int = 500
    ) -> RowPage:
        """Return the rows with ``start`` <= key < ``end``, sorted by key."""
        sent_at_ms = self._store_clock.monotonic_ms()
        try:
            page = await self._store.read(table, part, start, end, limit)
        except StoreError:
            await self._health.record_failure()
            raise
        self._record_round_trip(sent_at_ms)
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
        """Return the changes after a version; raise HistoryLostError if the store dropped them."""
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
