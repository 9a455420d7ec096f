"""The zone drains according to the rows in the store."""

from cloverwalk.core import catalogue
from cloverwalk.gateway.zone_drains import ZoneDrains
from cloverwalk.serving.adapter import Adapter
from cloverwalk.store.types import RowPage
from cloverwalk.telemetry.log import ServingLog

MAX_ZONE_BYTES = 64
MAX_DRAINED_ZONES = 100
"""Limits on the drained zones, so that they fit into a datagram together with other state."""


class StoredZoneDrains:
    """Applies the rows that drain zones, and updates ``ZoneDrains`` from them.

    The state is separate from ``ZoneDrains``, which may have a newer state from another node:
    changes read from the store apply to the state that this node has read from there.
    """

    def __init__(self, adapter: Adapter, zone_drains: ZoneDrains, log: ServingLog) -> None:
        self._adapter = adapter
        self._zone_drains = zone_drains
        self._log = log
        self.known_zones: frozenset[str] = frozenset()
        """The zones of the deployment; empty if not configured."""

        self._zones: set[str] = set()
        self._version = -1

    def clear(self) -> None:
        """Discard the rows before a full read is applied."""
        self._zones = set()

    def apply(self, page: RowPage) -> bool:
        """Apply changed rows; return whether the drained zones of this node changed."""
        for row in page.rows:
            zone = self._adapter.drained_zone(row.row_key.key)
            if zone is None:
                continue
            if row.value is None:
                self._zones.discard(zone)
            elif 0 < len(zone.encode()) <= MAX_ZONE_BYTES:
                self._zones.add(zone)
            else:
                self._log.write(catalogue.ZONE_DRAIN_UNKNOWN_ZONE, zone=zone[:MAX_ZONE_BYTES])
        self._version = page.version
        return self._update(float("-inf"))

    def adopt(self) -> None:
        """Resume from the state that another node sent; only later changes will be read."""
        self._zones = set(self._zone_drains.zones)
        self._version = self._zone_drains.version

    def confirm(self, confirmed_at: float) -> None:
        """Record that the rows were the newest at ``confirmed_at`` (monotonic clock, seconds)."""
        if self._version >= 0:
            self._update(confirmed_at)

    def _update(self, confirmed_at: float) -> bool:
        zones = sorted(self._zones, key=lambda zone: (zone not in self.known_zones, zone))
        return self._zone_drains.update(self._version, zones[:MAX_DRAINED_ZONES], confirmed_at)
