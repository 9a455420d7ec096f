"""Checks nodes (readiness, planned stops, recovery) and quotas in sliding windows."""

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

MAX_READY_AFTER_STOP_S = 4.0
"""A process may still report ready this long after SIGTERM; the platform's rule."""

MAX_STOP_S = 15.0
"""Nearly twice the 8 s that a planned stop may take, to allow for a busy machine."""


@attrs.define
class _Process:
    node: str
    stop_sent_at: float | None = None
    was_unready_after_stop: bool = False
    has_answered: bool = False
    """Before its first answer a process may not have installed its signal handlers."""

    signals: list[str] = attrs.Factory(list)


class NodeChecks:
    """Tracks every node process."""

    def __init__(self, versions: Versions) -> None:
        self._versions = versions
        self._processes: dict[int, _Process] = {}

    def handle(self, event: object) -> Iterator[Violation]:
        """Process an event and yield the violations that it shows."""
        match event:
            case NodeStarted():
                self._processes[event.pid] = _Process(event.node)
            case NodeSignalled():
                process = self._processes[event.pid]
                process.signals.append(event.signal)
                if event.signal == "SIGTERM" and process.stop_sent_at is None:
                    process.stop_sent_at = event.at
            case NodeGone():
                yield from self._on_ended(self._processes[event.pid], event)
            case ReadinessSeen():
                yield from self._on_readiness(self._processes[event.pid], event)
            case NodeSettled():
                yield from self._on_settled(event)

    def _on_ended(self, process: _Process, event: NodeGone) -> Iterator[Violation]:
        if not event.was_asked:
            message = f"process {event.pid} exited without a signal, with status {event.status}"
            yield Violation(event.at, "own ends", event.node, message)
        is_planned = process.has_answered and set(process.signals) == {"SIGTERM"}
        # A second SIGTERM can arrive after the interpreter has removed its signal handlers.
        allowed = {0} if len(process.signals) == 1 else {0, -SIGTERM}
        if is_planned and event.status not in allowed:
            message = f"process {event.pid} exited with status {event.status} after a planned stop"
            yield Violation(event.at, "planned stops", event.node, message)
        if process.signals[-1:] == ["SIGKILL"] and set(process.signals[:-1]) == {"SIGTERM"}:
            yield from self._check_hang(process, event)

    def _check_hang(self, process: _Process, event: NodeGone) -> Iterator[Violation]:
        """Report a process that did not exit within ``MAX_STOP_S`` after SIGTERM."""
        assert process.stop_sent_at is not None
        if event.at - process.stop_sent_at >= MAX_STOP_S:
            message = f"process {event.pid} did not exit within {MAX_STOP_S:g} s after SIGTERM"
            yield Violation(event.at, "planned stops", event.node, message)

    def _on_readiness(self, process: _Process, seen: ReadinessSeen) -> Iterator[Violation]:
        process.has_answered |= seen.status != 0
        if process.stop_sent_at is None or seen.asked_at < process.stop_sent_at:
            return
        waited_s = seen.asked_at - process.stop_sent_at
        if seen.status != 200:
            process.was_unready_after_stop = True
        elif process.was_unready_after_stop:
            message = f"process {seen.pid} is ready again while it stops"
            yield Violation(seen.at, "readiness", seen.node, message)
        elif waited_s > MAX_READY_AFTER_STOP_S and "SIGSTOP" not in process.signals:
            message = f"process {seen.pid} is ready {waited_s:.1f} s after SIGTERM"
            yield Violation(seen.at, "readiness", seen.node, message)

    def _on_settled(self, event: NodeSettled) -> Iterator[Violation]:
        newest = self._versions.written[-1].version
        if not event.is_ready:
            yield Violation(event.at, "readiness", event.node, "not ready after all faults ended")
        elif not event.is_serving:
            yield Violation(event.at, "readiness", event.node, "ready, but does not serve requests")
        if event.version != newest:
            message = f"uses configuration version {event.version}, the newest is {newest}"
            yield Violation(event.at, "configuration", event.node, message)


@attrs.define
class _SentRequest:
    tenant: str
    at: float
    has_run: bool = False


class QuotaChecks:
    """Counts the requests that run, by tenant, in every sliding window."""

    def __init__(self, versions: Versions, window_s: float, overshoot: float, slack: float) -> None:
        self._versions = versions
        self._window_s = window_s
        self._overshoot = overshoot
        self._slack = slack
        self._sent: dict[str, _SentRequest] = {}
        self._runs: dict[str, list[tuple[float, float]]] = {}
        """When each run started and its request was sent, by tenant."""

        self._last_reported_at: dict[str, float] = {}
        """When the last violation was reported, by tenant."""

        self.peak_quota_use: dict[str, float] = {}
        """Highest share of a window's limit that was used, by tenant."""

    def handle(self, event: object) -> Iterator[Violation]:
        """Process an event and yield the violations that it shows."""
        match event:
            case RequestSent():
                tenants = (find_tenant(version, event.key) for version in self._versions.written)
                tenant = next((holder for holder in tenants if holder is not None), None)
                if tenant is not None:
                    self._sent[event.request] = _SentRequest(tenant.name, event.at)
            case RunBegan() if event.request in self._sent:
                sent = self._sent[event.request]
                if not sent.has_run and event.tenant == sent.tenant:
                    sent.has_run = True
                    yield from self._on_run(sent, event)

    def _on_run(self, sent: _SentRequest, run: RunBegan) -> Iterator[Violation]:
        """Count a run; a window has the requests that were both sent and started within it."""
        runs = self._runs.setdefault(sent.tenant, [])
        runs.append((run.at, sent.at))
        since = run.at - self._window_s
        first = bisect_right(runs, (since, float("inf")))
        count = sum(sent_at > since for _, sent_at in runs[first:])
        limit = self._window_limit(sent.tenant, since)
        if limit is None:
            return
        self.peak_quota_use[sent.tenant] = max(
            self.peak_quota_use.get(sent.tenant, 0.0), count / limit
        )
        is_new = run.at - self._last_reported_at.get(sent.tenant, float("-inf")) > self._window_s
        if count > limit and is_new:
            self._last_reported_at[sent.tenant] = run.at
            message = f"{count} requests ran in {self._window_s:g} s, the limit is {limit:g}"
            yield Violation(run.at, "quota", sent.tenant, message)

    def _window_limit(self, name: str, since: float) -> float | None:
        """Return the highest limit of any version in force in a window; None means no limit."""
        floor = self._versions.floor_at(since)
        possible = [
            tenant
            for version in self._versions.possible_versions(floor)
            for tenant in version.tenants
            if tenant.name == name
        ]
        if not possible or any(tenant.rate_per_s <= 0 for tenant in possible):
            return None
        return max(self._tenant_limit(tenant) for tenant in possible)

    def _tenant_limit(self, tenant: TenantFact) -> float:
        allowed = tenant.rate_per_s * self._window_s + tenant.burst
        return allowed * (1 + self._overshoot) + self._slack
