"""Transactions that are repeated until their outcome is known."""

from collections.abc import Callable

from cloverwalk.store.health import StoreHealth
from cloverwalk.store.types import CommitOutcome, CommitStatus, Store, Transaction

INITIAL_RETRY_DELAY_S = 0.03
MAX_RETRY_DELAY_S = 0.5
MIN_TIMEOUT_S = 0.15
MAX_TIMEOUT_S = 1.5


class Committer:
    """Commits transactions with timeouts that follow the store's latency."""

    def __init__(self, store: Store, health: StoreHealth, clock: Callable[[], float]) -> None:
        self._store = store
        self._health = health
        self._clock = clock
        self._latency_s = 0.02

    def _timeout_s(self) -> float:
        return min(MAX_TIMEOUT_S, max(MIN_TIMEOUT_S, 8 * self._latency_s))

    async def once(self, transaction: Transaction, timeout_s: float | None = None) -> CommitOutcome:
        """Try once to commit, and adapt the timeout to the time that it took."""
        chosen_timeout_s = self._timeout_s() if timeout_s is None else timeout_s
        started_at = self._clock()
        outcome = await self._store.commit(transaction, chosen_timeout_s)
        elapsed_s = self._clock() - started_at
        if outcome.status in (CommitStatus.COMMITTED, CommitStatus.CONFLICT):
            self._latency_s += 0.3 * (elapsed_s - self._latency_s)
        elif outcome.status is CommitStatus.UNKNOWN:
            self._latency_s = min(MAX_TIMEOUT_S, 2 * max(self._latency_s, elapsed_s / 8))
        return outcome

    async def commit_until_resolved(
        self, transaction: Transaction, deadline: float, refuse_at: float = float("inf")
    ) -> CommitOutcome:
        """Repeat a transaction until it is committed or in conflict, or until ``deadline``.

        After a lost answer, a conflict may be the transaction's own effect: the caller checks the
        conflicting rows. At the deadline, the status is UNKNOWN if any answer was lost, otherwise
        NOT_DONE. As long as no answer was lost, the deadline is ``refuse_at`` if that is earlier.
        """
        retry_delay_s = INITIAL_RETRY_DELAY_S
        has_lost_response = False
        while True:
            outcome = await self.once(transaction)
            if outcome.status in (CommitStatus.COMMITTED, CommitStatus.CONFLICT):
                return outcome
            has_lost_response = has_lost_response or outcome.status is CommitStatus.UNKNOWN
            give_up_at = deadline if has_lost_response else min(deadline, refuse_at)
            if self._clock() + retry_delay_s >= give_up_at:
                status = CommitStatus.UNKNOWN if has_lost_response else CommitStatus.NOT_DONE
                return CommitOutcome(status)
            await self._health.backoff(retry_delay_s * 1000)
            retry_delay_s = min(MAX_RETRY_DELAY_S, 2 * retry_delay_s)
