"""Joining of concurrent requests with one key at the key's home node."""

from collections import OrderedDict
from enum import StrEnum

from msgspec import Struct

from cloverwalk.core.types import Result

RUN_TTL_S = 60.0
"""After this a run whose end was not reported no longer makes others wait."""


class JoinVerdict(StrEnum):
    """What the home node tells a node that asks to run a key."""

    RUN = "run"
    WAIT = "wait"
    DONE = "done"


class Waiter(Struct, frozen=True):
    """A node that waits for the result of a key under its own token."""

    node: str
    token: str


class _ActiveRun(Struct):
    runner: Waiter
    waiters: list[Waiter]
    started_at: float


class JoinRegistry:
    """Who runs which key now, who waits for it, and results of late.

    >>> registry = JoinRegistry(max_results=10)
    >>> [registry.join("k", Waiter(node, "token"), 0.0)[0].value for node in ("n1", "n2")]
    ['run', 'wait']
    """

    def __init__(self, max_results: int) -> None:
        self._active_runs: dict[str, _ActiveRun] = {}
        self._results: OrderedDict[str, Result] = OrderedDict()
        self._max_results = max_results

    def join(self, key: str, waiter: Waiter, now: float) -> tuple[JoinVerdict, Result | None]:
        """Return the verdict for ``waiter`` and, with DONE, the result."""
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
        """End a request; return who has to be told.

        Without a result nothing was recorded: when it was the runner, one of the waiters
        must run; when it only waited, the run goes on without it.
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
        """Forget runs whose end was never reported; the record decides about them."""
        while self._active_runs:
            key, active_run = next(iter(self._active_runs.items()))
            if now - active_run.started_at <= RUN_TTL_S:
                return
            del self._active_runs[key]

    def node_lost(self, node: str) -> list[tuple[str, Waiter]]:
        """Forget runs of a lost node; return (key, waiter) pairs, who must ask again."""
        orphaned = [key for key, run in self._active_runs.items() if run.runner.node == node]
        pairs = [(key, waiter) for key in orphaned for waiter in self._active_runs.pop(key).waiters]
        return [(key, waiter) for key, waiter in pairs if waiter.node != node]
