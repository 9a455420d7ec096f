"""Distances between the zones of a deployment."""

import enum
from collections.abc import Mapping


class Distance(enum.IntEnum):
    """How far two zones are from each other; a lower value is nearer."""

    SAME_ZONE = 0
    SAME_REGION = 1
    OTHER_REGION = 2


class Regions:
    """The region of each zone, from the settings.

    A zone without a region counts as near, so a deployment of one region needs no settings.

    >>> regions = Regions({"a1": "a", "a2": "a", "b1": "b"})
    >>> regions.distance("a1", "a2").name, regions.distance("a1", "b1").name
    ('SAME_REGION', 'OTHER_REGION')
    >>> regions.distance("a1", "c1").name
    'SAME_REGION'
    """

    def __init__(self, region_by_zone: Mapping[str, str] | None = None) -> None:
        self._region_by_zone = dict(region_by_zone or {})

    @property
    def count(self) -> int:
        """Number of regions that the settings name, at least one."""
        return max(1, len(set(self._region_by_zone.values())))

    def distance(self, zone: str, other_zone: str) -> Distance:
        """Return the distance between two zones."""
        if zone == other_zone:
            return Distance.SAME_ZONE
        region = self._region_by_zone.get(zone)
        other_region = self._region_by_zone.get(other_zone)
        if region is None or other_region is None or region == other_region:
            return Distance.SAME_REGION
        return Distance.OTHER_REGION
