"""Promises about nodes and quotas: readiness, planned stops, settled state, sliding windows."""

from bisect import bisect_right
from collections.abc import Iterator
from signal import SIGTERM

import attrs

from cloverwalk.soak.check_requests import find_tenant
from cloverwalk.soak.events import (
    NodeGone,
    NodeSettled,
    NodeSignalled,
    NodeStarted,
    ReadinessSeen,
    RequestSent,
    RunBegan,
    TenantFact,
)
from cloverwalk.soak.violations import Versions, Violation

READY_AFTER_STOP_S = 4.0
"""A process that was told to stop is not ready so long after; the platform's rule."""

HANG_S = 15.0
"""A stop takes 8 s at the most; a busy machine is no reason for nearly twice that."""


@attrs.define
class _Process:
    node: str
    stop_sent_at: float | None = None
    was_unready_after_stop: bool = False
    has_answered: bool = False
    """Before its first answer a process may not have its signal handlers yet."""

    signals: list[str] = attrs.Factory(list)


class NodeChecks:
    """Follows every process."""

    def __init__(self, versions: Versions) -> None:
        self._versions = versions
        self._processes: dict[int, _Process] = {}

    def take(self, event: object) -> Iterator[Violation]:
        """Follow an event."""
        match event:
            case NodeStarted():
                self._processes[event.pid] = _Process(event.node)
            case NodeSignalled():
                process = self._processes[event.pid]
                process.signals.append(event.signal)
                if event.signal == "SIGTERM" and process.stop_sent_at is None:
                    process.stop_sent_at = event.at
            case NodeGone():
                yield from self._on_gone(self._processes[event.pid], event)
            case ReadinessSeen():
                yield from self._on_readiness(self._processes[event.pid], event)
            case NodeSettled():
                yield from self._on_settled(event)

    def _on_gone(self, process: _Process, event: NodeGone) -> Iterator[Violation]:
        if not event.was_asked:
            message = f"process {event.pid} ended by itself with status {event.status}"
            yield Violation(event.at, "own ends", event.node, message)
        is_planned = process.has_answered and set(process.signals) == {"SIGTERM"}
        # A second SIGTERM may come when the interpreter has given its handlers up, at the very end.
        allowed = {0} if len(process.signals) == 1 else {0, -SIGTERM}
        if is_planned and event.status not in allowed:
            message = f"a planned stop of process {event.pid} ended with status {event.status}"
            yield Violation(event.at, "planned stops", event.node, message)
        if process.signals[-1:] == ["SIGKILL"] and set(process.signals[:-1]) == {"SIGTERM"}:
            yield from self._check_hang(process, event)

    def _check_hang(self, process: _Process, event: NodeGone) -> Iterator[Violation]:
        """Report a process that a planned stop did not end in twice its time."""
        assert process.stop_sent_at is not None
        if event.at - process.stop_sent_at >= HANG_S:
            message = f"process {event.pid} did not end for {HANG_S:g} s after SIGTERM"
            yield Violation(event.at, "planned stops", event.node, message)

    def _on_readiness(self, process: _Process, seen: ReadinessSeen) -> Iterator[Violation]:
        process.has_answered |= seen.status != 0
        if process.stop_sent_at is None or seen.asked_at < process.stop_sent_at:
            return
        waited_s = seen.asked_at - process.stop_sent_at
        if seen.status != 200:
            process.was_unready_after_stop = True
        elif process.was_unready_after_stop:
            message = f"process {seen.pid} is ready again though it stops"
            yield Violation(seen.at, "readiness", seen.node, message)
        elif waited_s > READY_AFTER_STOP_S and "SIGSTOP" not in process.signals:
            message = f"process {seen.pid} is ready {waited_s:.1f} s after SIGTERM"
            yield Violation(seen.at, "readiness", seen.node, message)

    def _on_settled(self, event: NodeSettled) -> Iterator[Violation]:
        newest = self._versions.written[-1].version
        if not event.is_ready:
            yield Violation(event.at, "readiness", event.node, "it is not ready after all faults")
        elif not event.is_serving:
            yield Violation(event.at, "readiness", event.node, "it is ready and does not serve")
        if event.version != newest:
            message = f"it goes by version {event.version}, {newest} is the newest"
            yield Violation(event.at, "configuration", event.node, message)


@attrs.define
class _Sent:
    tenant: str
    at: float
    has_run: bool = False


class QuotaChecks:
    """Counts the requests that run, by tenant, in every window."""

    def __init__(self, versions: Versions, window_s: float, overshoot: float, slack: float) -> None:
        self._versions = versions
        self._window_s = window_s
        self._overshoot = overshoot
        self._slack = slack
        self._sent: dict[str, _Sent] = {}
        self._runs: dict[str, list[tuple[float, float]]] = {}
        self._reported: dict[str, float] = {}
        self.fullest: dict[str, float] = {}
        """Largest part of what was allowed in a window, by tenant."""

    def take(self, event: object) -> Iterator[Violation]:
        """Follow an event."""
        match event:
            case RequestSent():
                holders = (find_tenant(one, event.key) for one in self._versions.written)
                tenant = next((one for one in holders if one is not None), None)
                if tenant is not None:
                    self._sent[event.request] = _Sent(tenant.name, event.at)
            case RunBegan() if event.request in self._sent:
                sent = self._sent[event.request]
                if not sent.has_run and event.tenant == sent.tenant:
                    sent.has_run = True
                    yield from self._on_run(sent, event)

    def _on_run(self, sent: _Sent, run: RunBegan) -> Iterator[Violation]:
        """Count a request; those that were both sent and run within the window are counted."""
        runs = self._runs.setdefault(sent.tenant, [])
        runs.append((run.at, sent.at))
        since = run.at - self._window_s
        first = bisect_right(runs, (since, float("inf")))
        count = sum(sent_at > since for _, sent_at in runs[first:])
        most = self._most(sent.tenant, since)
        if most is None:
            return
        self.fullest[sent.tenant] = max(self.fullest.get(sent.tenant, 0.0), count / most)
        is_new = run.at - self._reported.get(sent.tenant, float("-inf")) > self._window_s
        if count > most and is_new:
            self._reported[sent.tenant] = run.at
            message = f"{count} requests ran in {self._window_s:g} s, {most:g} may"
            yield Violation(run.at, "quota", sent.tenant, message)

    def _most(self, name: str, since: float) -> float | None:
        """Return what a window may hold by any version in force in it; None is no limit."""
        floor = self._versions.floor_at(since)
        found = [
            one
            for version in self._versions.since(floor)
            for one in version.tenants
            if one.name == name
        ]
        if not found or any(one.rate_per_s <= 0 for one in found):
            return None
        return max(self._allowed(one) for one in found)

    def _allowed(self, tenant: TenantFact) -> float:
        allowed = tenant.rate_per_s * self._window_s + tenant.burst
        return allowed * (1 + self._overshoot) + self._slack
