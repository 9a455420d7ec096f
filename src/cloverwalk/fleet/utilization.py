"""Median utilization of each zone's nodes, with which an overloaded node compares its own."""

from collections.abc import Iterable

from cloverwalk.fleet.messages import Report


def median_by_zone(reports: Iterable[Report]) -> dict[str, int]:
    """Return the lower median of the utilization of each zone's nodes, in percent, at least 1.

    Zones are compared separately, since the clients of a zone connect to its nodes. Nodes that
    don't measure their utilization and nodes that are leaving are not counted.
    """
    by_zone: dict[str, list[int]] = {}
    for report in reports:
        if report.utilization_percent > 0 and not report.is_leaving:
            by_zone.setdefault(report.zone, []).append(report.utilization_percent)
    return {zone: sorted(percents)[(len(percents) - 1) // 2] for zone, percents in by_zone.items()}
