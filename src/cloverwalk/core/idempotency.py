"""Joins concurrent requests with the same idempotency key at the key's home node."""

from collections import OrderedDict
from enum import StrEnum

from msgspec import Struct

from cloverwalk.core.types import Result

RUN_TTL_S = 60.0
"""A run whose end was not reported blocks requests with the same key for this long."""


class JoinVerdict(StrEnum):
    """The home node's response to a node that wants to run a key."""

    RUN = "run"
    WAIT = "wait"
    DONE = "done"


class Waiter(Struct, frozen=True):
    """A node's request for a key, identified by the node's token."""

    node: str
    token: str


class _ActiveRun(Struct):
    runner: Waiter
    waiters: list[Waiter]
    started_at: float


class JoinRegistry:
    """The active run and the waiters of each key, and the most recent results.

    >>> registry = JoinRegistry(max_results=10)
    >>> [registry.join("k", Waiter(node, "token"), 0.0)[0].value for node in ("n1", "n2")]
    ['run', 'wait']
    """

    def __init__(self, max_results: int) -> None:
        self._active_runs: dict[str, _ActiveRun] = {}
        self._results: OrderedDict[str, Result] = OrderedDict()
        self._max_results = max_results

    def join(self, key: str, waiter: Waiter, now: float) -> tuple[JoinVerdict, Result | None]:
        """Return the verdict for ``waiter`` and, if it is DONE, the result."""
        if key in self._results:
            return JoinVerdict.DONE, self._results[key]
        active_run = self._active_runs.get(key)
        if active_run is None:
            self._active_runs[key] = _ActiveRun(waiter, [], now)
            return JoinVerdict.RUN, None
        if active_run.runner != waiter:
            active_run.waiters.append(waiter)
            return JoinVerdict.WAIT, None
        return JoinVerdict.RUN, None

    def finish(self, key: str, token: str, result: Result | None) -> list[Waiter]:
        """End a request; return the waiters to notify.

        Without a result nothing was recorded: if the request was the runner, one of the
        waiters must run the key; if it was a waiter, the run continues without it.
        """
        active_run = self._active_runs.get(key)
        if result is None and active_run is not None and active_run.runner.token != token:
            active_run.waiters = [waiter for waiter in active_run.waiters if waiter.token != token]
            return []
        if result is not None:
            self._results[key] = result
            if len(self._results) > self._max_results:
                self._results.popitem(last=False)
        self._active_runs.pop(key, None)
        return active_run.waiters if active_run else []

    def expire(self, now: float) -> None:
        """Remove runs whose end was not reported in time; the stored result decides about them."""
        while self._active_runs:
            key, active_run = next(iter(self._active_runs.items()))
            if now - active_run.started_at <= RUN_TTL_S:
                return
            del self._active_runs[key]

    def node_lost(self, node: str) -> list[tuple[str, Waiter]]:
        """Remove the runs of a lost node; return the (key, waiter) pairs that must join again."""
        orphaned = [key for key, run in self._active_runs.items() if run.runner.node == node]
        pairs = [(key, waiter) for key in orphaned for waiter in self._active_runs.pop(key).waiters]
        return [(key, waiter) for key, waiter in pairs if waiter.node != node]
