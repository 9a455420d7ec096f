"""Reports how long the starts of processes took, by stage, from the log lines of a fleet."""

import statistics
from collections.abc import Iterable

import attrs

from cloverwalk.core import catalogue
from cloverwalk.telemetry.request_history import LogLine

PERCENT = 100
READY = "ready"
FIRST_PLACEMENT = "first_request_placed"


@attrs.frozen
class StageTimes:
    """The sorted times from process start to one stage, over many starts."""

    stage: str
    after_ms: tuple[float, ...]

    def quantile(self, fraction: float) -> float:
        """Return the time within which ``fraction`` of the starts reached the stage.

        >>> StageTimes("ready", (10.0, 20.0, 30.0)).quantile(0.5)
        20.0
        """
        if len(self.after_ms) == 1:
            return self.after_ms[0]
        cuts = statistics.quantiles(self.after_ms, n=PERCENT, method="inclusive")
        return cuts[round(fraction * PERCENT) - 1]


def startup_stages(lines: Iterable[LogLine]) -> list[StageTimes]:
    """Return the stages, sorted by median time.

    The names of the configuration and replica stages include their source. Stages after ready,
    such as the coordinator, are taken from the line of the first placement.
    """
    starts: dict[tuple[str, int], dict[str, float]] = {}
    start_counts: dict[str, int] = {}
    for line in lines:
        if line.number == catalogue.SERVING_STARTED:
            start_counts[line.node] = start_counts.get(line.node, 0) + 1
        elif line.number in (catalogue.NODE_READY, catalogue.FIRST_REQUEST_PLACED):
            start = starts.setdefault((line.node, start_counts.get(line.node, 0)), {})
            start.update(_stages(line))
    after_ms: dict[str, list[float]] = {}
    for start in starts.values():
        for stage, stage_ms in start.items():
            after_ms.setdefault(stage, []).append(stage_ms)
    stage_times = [StageTimes(stage, tuple(sorted(times))) for stage, times in after_ms.items()]
    return sorted(stage_times, key=lambda stage_time: (stage_time.quantile(0.5), stage_time.stage))


def _stages(line: LogLine) -> dict[str, float]:
    sources = {
        "configuration": line.fields.get("configuration_from"),
        "replicas": line.fields.get("replicas_from"),
    }
    stages: dict[str, float] = {}
    for name, stage_ms in line.fields.get("stages_ms", {}).items():
        source = sources.get(name)
        stages[f"{name} from {source}" if source else name] = float(stage_ms)
    milestone = READY if line.number == catalogue.NODE_READY else FIRST_PLACEMENT
    stages[milestone] = float(line.fields.get("after_ms", 0.0))
    return stages
