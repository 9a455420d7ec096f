"""Transactions that are repeated until their outcome is known."""

from collections.abc import Callable

from cloverwalk.store.health import StoreHealth
from cloverwalk.store.types import CommitOutcome, CommitStatus, Store, Transaction

FIRST_PAUSE_S = 0.03
LONGEST_PAUSE_S = 0.5
LEAST_TIMEOUT_S = 0.15
LONGEST_TIMEOUT_S = 1.5


class Committer:
    """Commits with timeouts that follow the store's pace."""

    def __init__(self, store: Store, health: StoreHealth, clock: Callable[[], float]) -> None:
        self._store = store
        self._health = health
        self._clock = clock
        self._pace_s = 0.02

    def _timeout_s(self) -> float:
        return min(LONGEST_TIMEOUT_S, max(LEAST_TIMEOUT_S, 8 * self._pace_s))

    async def once(self, transaction: Transaction, timeout_s: float | None = None) -> CommitOutcome:
        """Try once to commit."""
        limit_s = self._timeout_s() if timeout_s is None else timeout_s
        began_at = self._clock()
        outcome = await self._store.commit(transaction, limit_s)
        took_s = self._clock() - began_at
        if outcome.status in (CommitStatus.COMMITTED, CommitStatus.CONFLICT):
            self._pace_s += 0.3 * (took_s - self._pace_s)
        elif outcome.status is CommitStatus.UNKNOWN:
            self._pace_s = min(LONGEST_TIMEOUT_S, 2 * max(self._pace_s, took_s / 8))
        return outcome

    async def settle(
        self, transaction: Transaction, until: float, refuse_at: float = float("inf")
    ) -> CommitOutcome:
        """Repeat a transaction until it is committed or in conflict, or time is up.

        After a lost answer, a conflict may be the transaction's own effect: the caller looks at
        the conflicting rows. With time up the status is UNKNOWN if any answer was lost, else
        NOT_DONE. While no answer was lost, time is up at ``refuse_at`` already.
        """
        pause_s = FIRST_PAUSE_S
        was_lost = False
        while True:
            outcome = await self.once(transaction)
            if outcome.status in (CommitStatus.COMMITTED, CommitStatus.CONFLICT):
                return outcome
            was_lost = was_lost or outcome.status is CommitStatus.UNKNOWN
            limit = until if was_lost else min(until, refuse_at)
            if self._clock() + pause_s >= limit:
                status = CommitStatus.UNKNOWN if was_lost else CommitStatus.NOT_DONE
                return CommitOutcome(status)
            await self._health.backoff(pause_s * 1000)
            pause_s = min(LONGEST_PAUSE_S, 2 * pause_s)
