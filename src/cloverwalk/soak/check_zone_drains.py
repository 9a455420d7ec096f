"""Checks that no replica of a drained zone gets work."""

from collections.abc import Iterator

from cloverwalk.serving.settings import DEFAULT_ZONE_DRAIN_APPLY_S
from cloverwalk.soak.check_requests import RequestChecks
from cloverwalk.soak.events import RunBegan, ZoneDrained, ZoneDrainLifted
from cloverwalk.soak.violations import Disturbances, Violation


class ZoneDrainChecks:
    """Tracks which zones are drained, and since when.

    A run is checked only if its node was undisturbed for the time that a drain may take to apply.
    The node of an item is unknown, so all nodes must have been. A request that a replica refuses
    is not a run.
    """

    def __init__(self, disturbances: Disturbances, requests: RequestChecks) -> None:
        self._disturbances = disturbances
        self._requests = requests
        self._drained_at: dict[str, float] = {}

    def handle(self, event: object) -> Iterator[Violation]:
        """Process an event and yield the violations that it shows."""
        match event:
            case ZoneDrained():
                self._drained_at.setdefault(event.zone, event.at)
            case ZoneDrainLifted():
                self._drained_at.pop(event.zone, None)
            case RunBegan() if event.zone in self._drained_at:
                drained_s = event.at - self._drained_at[event.zone]
                if drained_s > DEFAULT_ZONE_DRAIN_APPLY_S and self._was_calm(event):
                    message = f"it runs at {event.replica}, {drained_s:.1f} s after {event.zone}"
                    message = f"{message} was drained"
                    yield Violation(event.at, "drained zones", event.request, message)

    def _was_calm(self, run: RunBegan) -> bool:
        since = run.at - DEFAULT_ZONE_DRAIN_APPLY_S
        node = self._requests.node_of(run.request)
        if not node:
            return self._disturbances.is_calm_everywhere(since, run.at)
        return self._disturbances.is_calm_but_for_replicas(since, run.at, node)
