"""How full the nodes of each zone are: with what a full node compares itself."""

from collections.abc import Iterable

from cloverwalk.fleet.messages import Report


def median_by_zone(reports: Iterable[Report]) -> dict[str, int]:
    """Return the lower median of the fullness of each zone's nodes, at least 1, in percent.

    Clients of a zone go to its nodes. Those that do not measure their fullness, or that leave,
    count nowhere.
    """
    by_zone: dict[str, list[int]] = {}
    for report in reports:
        if report.utilization_percent > 0 and not report.is_leaving:
            by_zone.setdefault(report.zone, []).append(report.utilization_percent)
    return {zone: sorted(told)[(len(told) - 1) // 2] for zone, told in by_zone.items()}
