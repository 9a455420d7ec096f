"""Joining of concurrent requests with one key at the key's home node."""

from collections import OrderedDict
from enum import StrEnum

from msgspec import Struct

from cloverwalk.core.types import Result

RUN_EXPIRY_S = 60.0
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


class _Running(Struct):
    runner: Waiter
    waiters: list[Waiter]
    since: float


class JoinRegistry:
    """Who runs which key now, who waits for it, and results of late.

    >>> registry = JoinRegistry(remembered=10)
    >>> [registry.join("k", Waiter(node, "token"), 0.0)[0].value for node in ("n1", "n2")]
    ['run', 'wait']
    """

    def __init__(self, remembered: int) -> None:
        self._running: dict[str, _Running] = {}
        self._results: OrderedDict[str, Result] = OrderedDict()
        self._remembered = remembered

    def join(self, key: str, waiter: Waiter, now: float) -> tuple[JoinVerdict, Result | None]:
        """Return the verdict for ``waiter`` and, with DONE, the result."""
        if key in self._results:
            return JoinVerdict.DONE, self._results[key]
        running = self._running.get(key)
        if running is None:
            self._running[key] = _Running(waiter, [], now)
            return JoinVerdict.RUN, None
        if running.runner != waiter:
            running.waiters.append(waiter)
            return JoinVerdict.WAIT, None
        return JoinVerdict.RUN, None

    def finish(self, key: str, token: str, result: Result | None) -> list[Waiter]:
        """End a request; return who has to be told.

        Without a result nothing was recorded: when it was the runner, one of the waiters
        must run; when it only waited, the run goes on without it.
        """
        running = self._running.get(key)
        if result is None and running is not None and running.runner.token != token:
            running.waiters = [one for one in running.waiters if one.token != token]
            return []
        if result is not None:
            self._results[key] = result
            if len(self._results) > self._remembered:
                self._results.popitem(last=False)
        self._running.pop(key, None)
        return running.waiters if running else []

    def expire(self, now: float) -> None:
        """Forget runs whose end was never reported; the record decides about them."""
        while self._running:
            key, running = next(iter(self._running.items()))
            if now - running.since <= RUN_EXPIRY_S:
                return
            del self._running[key]

    def node_lost(self, node: str) -> list[tuple[str, Waiter]]:
        """Forget runs of a lost node; return (key, waiter) pairs, who must ask again."""
        orphaned = [key for key, run in self._running.items() if run.runner.node == node]
        pairs = [(key, waiter) for key in orphaned for waiter in self._running.pop(key).waiters]
        return [(key, waiter) for key, waiter in pairs if waiter.node != node]
