"""Logs and metrics of the drained zones, and of how recently they were confirmed."""

from collections import Counter
from collections.abc import Callable

from cloverwalk.core import catalogue
from cloverwalk.gateway.zone_drains import ZoneDrains
from cloverwalk.scheduling.features import Features
from cloverwalk.serving.settings import ServingSettings
from cloverwalk.telemetry.log import ServingLog
from cloverwalk.telemetry.metrics import ServingMetrics


class ZoneDrainMonitor:
    """Logs and counts changes of the zone drains; records them in ``Features``."""

    def __init__(
        self,
        zone_drains: ZoneDrains,
        features: Features,
        settings: ServingSettings,
        log: ServingLog,
        clock: Callable[[], float],
    ) -> None:
        self._zone_drains = zone_drains
        self._features = features
        self._known_zones = frozenset(settings.region_by_zone)
        self._apply_s = settings.zone_drain_apply_s
        self._log = log
        self._clock = clock
        self._started_at = clock()
        self._is_unconfirmed = False
        self._changes: Counter[str] = Counter()
        zone_drains.listeners.append(self._on_change)

    def _on_change(self, drained: tuple[str, ...], lifted: tuple[str, ...]) -> None:
        self._features.record_drained_zones(self._zone_drains.zones)
        for zone in drained:
            self._record(catalogue.ZONE_DRAINED, "drained", zone)
            if self._known_zones and zone not in self._known_zones:
                self._changes["unknown_zone"] += 1
                self._log.write(catalogue.ZONE_DRAIN_UNKNOWN_ZONE, zone=zone)
        for zone in lifted:
            self._record(catalogue.ZONE_DRAIN_LIFTED, "lifted", zone)

    def _record(self, event: int, change: str, zone: str) -> None:
        self._changes[change] += 1
        host = self._zone_drains.source_host
        self._log.write(
            event,
            zone=zone,
            version=self._zone_drains.version,
            source="peer" if host else "store",
            host=host or None,
        )

    def check(self) -> None:
        """Log once when the drains have not been confirmed within ``zone_drain_apply_s``."""
        now = self._clock()
        confirmed_at = max(self._started_at, self._zone_drains.confirmed_at)
        was_unconfirmed = self._is_unconfirmed
        self._is_unconfirmed = now - confirmed_at > self._apply_s
        if self._is_unconfirmed and not was_unconfirmed:
            self._log.write(
                catalogue.ZONE_DRAINS_UNCONFIRMED,
                zones=self._zone_drains.zones,
                version=self._zone_drains.version,
                unconfirmed_ms=self._zone_drains.age_ms(now),
            )

    def update_metrics(self, metrics: ServingMetrics) -> None:
        """Set the metrics of the zone drains."""
        metrics.zone_drain_changes = self._changes
        metrics.gauge(
            "cloverwalk_zones_drained",
            "Zones whose replicas get no new work",
            len(self._zone_drains.zones),
        )
        metrics.gauge(
            "cloverwalk_zone_drains_age_seconds",
            "Time since the drained zones were last known to be the newest",
            self._zone_drains.age_ms(self._clock()) / 1000,
        )
