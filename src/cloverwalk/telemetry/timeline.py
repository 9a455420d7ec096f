"""Reports the work of a fleet second by second, from the log lines of its nodes."""

import statistics
from collections import Counter
from collections.abc import Iterable

import attrs

from cloverwalk.core import catalogue
from cloverwalk.telemetry.request_history import LogLine

PERCENT = 100
P95 = 0.95


@attrs.define
class SecondStats:
    """Work of the fleet in one second; work in flight is counted at the end of the second."""

    at_s: int
    answered: int = 0
    first_ms: list[float] = attrs.Factory(list)
    """Time to the first event of each answered request."""

    given_up_by_code: Counter[str] = attrs.Factory(Counter)
    online: int = 0
    batch: int = 0
    unlisted: int = 0
    """Items of open jobs whose results are not listed yet."""

    def first_event_quantile_ms(self, fraction: float) -> float | None:
        """Return the ``fraction`` quantile of the times to the first event, None without any.

        >>> second = SecondStats(0, first_ms=[10.0, 20.0, 30.0, 40.0])
        >>> second.first_event_quantile_ms(0.5), SecondStats(1).first_event_quantile_ms(0.5)
        (25.0, None)
        """
        if not self.first_ms:
            return None
        if len(self.first_ms) == 1:
            return self.first_ms[0]
        cuts = statistics.quantiles(self.first_ms, n=PERCENT, method="inclusive")
        return cuts[round(fraction * PERCENT) - 1]


class _WorkInFlight:
    """Work in flight, updated line by line. A restarted node has none."""

    def __init__(self) -> None:
        self.online: set[tuple[str, str]] = set()
        self.batch: set[tuple[str, str]] = set()
        self.unlisted_by_job: dict[str, int] = {}

    def apply(self, line: LogLine) -> None:
        """Update the work in flight from one line."""
        request = str(line.fields.get("request", ""))
        key = (line.node, request)
        match line.number:
            case catalogue.SERVING_STARTED:
                self.online = {entry for entry in self.online if entry[0] != line.node}
                self.batch = {entry for entry in self.batch if entry[0] != line.node}
            case catalogue.REPLICA_CHOSEN:
                self.online.add(key)
            case catalogue.REPLICA_FAILED | catalogue.REQUEST_ANSWERED | catalogue.REQUEST_ENDED:
                self.online.discard(key)
            case catalogue.ITEM_STARTED:
                self.batch.add(key)
            case catalogue.ITEM_RUN_ENDED:
                self.batch.discard(key)
            case catalogue.JOB_TAKEN if line.fields.get("outcome") == "taken":
                self.unlisted_by_job[request] = int(line.fields.get("items", 0))
            case catalogue.ITEM_LISTED:
                job = str(line.fields.get("job", ""))
                if job in self.unlisted_by_job:
                    self.unlisted_by_job[job] -= 1
            case catalogue.JOB_ENDED:
                self.unlisted_by_job.pop(request, None)


def timeline_of(lines: Iterable[LogLine]) -> list[SecondStats]:
    """Return every second from the first line to the last.

    Counts are too low if nodes dropped log lines under load.
    """
    ordered = sorted(lines, key=lambda line: line.time_s)
    if not ordered:
        return []
    in_flight = _WorkInFlight()
    seconds = [SecondStats(int(ordered[0].time_s // 1))]
    for line in ordered:
        while line.time_s >= seconds[-1].at_s + 1:
            _close(seconds[-1], in_flight)
            seconds.append(SecondStats(seconds[-1].at_s + 1))
        in_flight.apply(line)
        _count(seconds[-1], line)
    _close(seconds[-1], in_flight)
    return seconds


def _close(second: SecondStats, in_flight: _WorkInFlight) -> None:
    second.online = len(in_flight.online)
    second.batch = len(in_flight.batch)
    second.unlisted = sum(in_flight.unlisted_by_job.values())


def _count(second: SecondStats, line: LogLine) -> None:
    match line.number:
        case catalogue.REQUEST_ANSWERED:
            second.answered += 1
            if (first_ms := line.fields.get("first_ms")) is not None:
                second.first_ms.append(float(first_ms))
        case catalogue.REQUEST_ENDED:
            second.given_up_by_code[str(line.fields.get("outcome", ""))] += 1
        case catalogue.CALL_REFUSED | catalogue.JOB_REFUSED:
            second.given_up_by_code[str(line.fields.get("code", ""))] += 1
