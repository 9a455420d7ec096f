"""Reports slot use and causes of late requests from the log lines of a fleet."""

from collections import Counter
from collections.abc import Iterable

import attrs

from cloverwalk.core import catalogue
from cloverwalk.telemetry.request_history import LogLine


@attrs.frozen
class SlotSecond:
    """Slot-seconds by use, as logged by coordinators in one second."""

    at_s: int
    seconds_by_use: dict[str, float]


@attrs.frozen
class LateCount:
    """Number of late requests or items in one second, by tenant and cause."""

    at_s: int
    tenant: str
    """Empty for anonymous callers."""

    is_item: bool
    cause: str
    count: int


def slot_seconds_of(lines: Iterable[LogLine]) -> list[SlotSecond]:
    """Return the logged slot-seconds, sorted by time; values that are no numbers are ignored."""
    uses_by_second: dict[int, Counter[str]] = {}
    for line in lines:
        if line.number != catalogue.SLOT_TIME:
            continue
        uses = uses_by_second.setdefault(int(line.time_s // 1), Counter())
        for use, seconds in line.fields.items():
            if isinstance(seconds, int | float):
                uses[use] += seconds  # type: ignore[assignment]
    return [SlotSecond(at_s, dict(uses)) for at_s, uses in sorted(uses_by_second.items())]


def late_counts_of(lines: Iterable[LogLine]) -> list[LateCount]:
    """Return the late requests and items by second, tenant and cause."""
    counts: Counter[tuple[int, str, bool, str]] = Counter()
    for line in lines:
        cause = line.fields.get("late")
        if not isinstance(cause, str):
            continue
        is_item = line.number == catalogue.ITEM_RUN_ENDED
        tenant = str(line.fields.get("tenant", ""))
        counts[int(line.time_s // 1), tenant, is_item, cause] += 1
    return [LateCount(*key, count) for key, count in sorted(counts.items())]
