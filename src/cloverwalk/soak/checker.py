"""Checks a history, event by event or as a whole, and reports every broken promise."""

from collections import Counter
from collections.abc import Iterable, Iterator

from cloverwalk.soak.check_crashes import CrashChecks
from cloverwalk.soak.check_crowds import CrowdChecks
from cloverwalk.soak.check_idle_jobs import IdleJobChecks
from cloverwalk.soak.check_jobs import JobChecks
from cloverwalk.soak.check_nodes import NodeChecks, QuotaChecks
from cloverwalk.soak.check_requests import RequestChecks
from cloverwalk.soak.check_streams import StreamChecks
from cloverwalk.soak.check_zone_drains import ZoneDrainChecks
from cloverwalk.soak.events import RunBegan, RunEnded
from cloverwalk.soak.processes import QUOTA_OVERSHOOT, QUOTA_SLACK, QUOTA_WINDOW_S
from cloverwalk.soak.violations import Disturbances, Versions, Violation


class Checker:
    """Passes each event to all checks. It has no clock and does no I/O."""

    def __init__(self) -> None:
        self._versions = Versions()
        self._disturbances = Disturbances()
        self._requests = RequestChecks(self._versions, self._disturbances)
        self._jobs = JobChecks(self._versions, self._is_calm_everywhere)
        self._idle_jobs = IdleJobChecks(self._is_calm_everywhere)
        self._crashes = CrashChecks(self._disturbances)
        self._nodes = NodeChecks(self._versions)
        self._quotas = QuotaChecks(self._versions, QUOTA_WINDOW_S, QUOTA_OVERSHOOT, QUOTA_SLACK)
        self._zone_drains = ZoneDrainChecks(self._disturbances, self._requests)
        self._streams = StreamChecks(self._disturbances)
        self._crowds = CrowdChecks(self._disturbances)
        self._at = 0.0
        self.violations: list[Violation] = []
        self.run_ends: Counter[str] = Counter()
        """Number of runs at replicas by how they ended."""

    def handle(self, event: object) -> list[Violation]:
        """Process an event; return the violations that it shows."""
        self._at = getattr(event, "at", self._at)
        found = list(self._find_violations(event))
        self.violations += found
        return found

    def _find_violations(self, event: object) -> Iterator[Violation]:
        self._versions.handle(event)
        self._disturbances.handle(event)
        if isinstance(event, RunBegan):
            yield from self._check_was_sent(event)
        if isinstance(event, RunEnded):
            self.run_ends[event.end] += 1
        for checks in (self._requests, self._jobs, self._nodes, self._quotas, self._crashes):
            yield from checks.handle(event)
        yield from self._idle_jobs.handle(event)
        yield from self._zone_drains.handle(event)
        yield from self._streams.handle(event)
        yield from self._crowds.handle(event)

    def _check_was_sent(self, run: RunBegan) -> Iterator[Violation]:
        if not self._requests.has_request(run.request) and not self._jobs.has_item(run.request):
            message = f"replica {run.replica} runs {run.target}, which no client sent"
            yield Violation(run.at, "unasked", run.request, message)

    def _is_calm_everywhere(self, since: float, until: float) -> bool:
        return self._disturbances.is_calm_everywhere(since, until)

    def finish(self) -> list[Violation]:
        """Make the checks that need a whole history; return the violations."""
        found = [*self._jobs.finish(self._at), *self._streams.finish(self._at)]
        self.violations += found
        return found

    # --- totals ---

    @property
    def answers(self) -> dict[str, int]:
        """Number of answers to online requests by status, or by how they ended if not whole."""
        return dict(sorted(self._requests.answer_counts.items()))

    @property
    def resumed_streams(self) -> tuple[int, int]:
        """Streams that were resumed in calm times: how many went on, and of how many."""
        return (self._streams.resumed.served, self._streams.resumed.total)

    @property
    def take_ups(self) -> dict[str, int]:
        """Streams taken up at a node out of step, by how that ended."""
        return dict(sorted(self._streams.take_ups.items()))

    @property
    def accepted_jobs(self) -> int:
        """Number of accepted jobs."""
        return self._jobs.job_count

    @property
    def peak_quota_use(self) -> dict[str, float]:
        """Highest share of a window's quota that was used, by tenant."""
        return self._quotas.peak_quota_use


def check_history(events: Iterable[object]) -> list[Violation]:
    """Return all violations in a whole history."""
    checker = Checker()
    for event in events:
        checker.handle(event)
    checker.finish()
    return checker.violations
