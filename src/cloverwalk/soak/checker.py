"""Reads a history, event by event or whole, and reports every promise that it breaks."""

from collections import Counter
from collections.abc import Iterable, Iterator

from cloverwalk.soak.check_crashes import CrashChecks
from cloverwalk.soak.check_jobs import JobChecks
from cloverwalk.soak.check_nodes import NodeChecks, QuotaChecks
from cloverwalk.soak.check_requests import RequestChecks
from cloverwalk.soak.events import RunBegan, RunEnded
from cloverwalk.soak.processes import QUOTA_OVERSHOOT, QUOTA_SLACK, QUOTA_WINDOW_S
from cloverwalk.soak.violations import Disturbances, Versions, Violation


class Checker:
    """Follows a history. It has no clock and does no I/O."""

    def __init__(self) -> None:
        self._versions = Versions()
        self._disturbances = Disturbances()
        self._requests = RequestChecks(self._versions, self._disturbances)
        self._jobs = JobChecks(self._versions, self._is_calm_all)
        self._crashes = CrashChecks(self._disturbances)
        self._nodes = NodeChecks(self._versions)
        self._quotas = QuotaChecks(self._versions, QUOTA_WINDOW_S, QUOTA_OVERSHOOT, QUOTA_SLACK)
        self._at = 0.0
        self.violations: list[Violation] = []
        self.ends: Counter[str] = Counter()
        """Ends of runs at replicas."""

    def take(self, event: object) -> list[Violation]:
        """Follow an event; return the promises that it breaks."""
        self._at = getattr(event, "at", self._at)
        found = list(self._checks(event))
        self.violations += found
        return found

    def _checks(self, event: object) -> Iterator[Violation]:
        self._versions.take(event)
        self._disturbances.take(event)
        if isinstance(event, RunBegan):
            yield from self._check_known(event)
        if isinstance(event, RunEnded):
            self.ends[event.end] += 1
        for checks in (self._requests, self._jobs, self._nodes, self._quotas, self._crashes):
            yield from checks.take(event)

    def _check_known(self, run: RunBegan) -> Iterator[Violation]:
        if not self._requests.knows(run.request) and not self._jobs.knows(run.request):
            message = f"{run.replica} runs {run.target} that no client sent"
            yield Violation(run.at, "unasked", run.request, message)

    def _is_calm_all(self, since: float, until: float) -> bool:
        return self._disturbances.is_calm_everywhere(since, until)

    def finish(self) -> list[Violation]:
        """Check what must have come by the end of a whole history."""
        found = list(self._jobs.finish(self._at))
        self.violations += found
        return found

    # --- figures ---

    @property
    def answers(self) -> dict[str, int]:
        """Answers to online requests by status, or by how they ended."""
        return dict(sorted(self._requests.counts.items()))

    @property
    def jobs(self) -> int:
        """Jobs that were taken."""
        return self._jobs.job_count

    @property
    def fullest_windows(self) -> dict[str, float]:
        """Largest part of what a quota allowed in a window, by tenant."""
        return self._quotas.fullest


def check_history(events: Iterable[object]) -> list[Violation]:
    """Return the promises that a whole history breaks."""
    checker = Checker()
    for event in events:
        checker.take(event)
    checker.finish()
    return checker.violations
