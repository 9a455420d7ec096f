"""Chooses the nodes of each region that read the configuration for the others.

The primary of the region nearest to the store reads the store, and its spare takes over if the
primary is lost. The primaries of other regions poll these two. Large regions have relays, which
poll the primary and are polled by the other nodes. A chosen node is kept while it is available
and ``_Defects`` does not rank another one higher.
"""

import math
from collections.abc import Callable

import attrs

from cloverwalk.fleet.messages import Contact
from cloverwalk.fleet.node_registry import MIN_COORDINATOR_CORES, NodeEntry, NodeRegistry
from cloverwalk.fleet.state_sender import MAX_SERVED_STORE_AGE_MS

MAX_REPORT_AGE_S = 1.3
"""A node that has not reported for longer has missed a report, since nodes report at least once a
second. Shorter than the time after which a node is considered lost."""

MAX_CONFIGURATION_AGE_MS = 2500
"""A configuration that was confirmed longer ago counts as outdated."""

PROPAGATION_TIME_S = 1.5
"""Sources without a new version count as behind after this time."""

SETTLE_S = 1.5
"""A new coordinator of a running fleet waits this long for reports before it chooses sources; nodes
keep their lists meanwhile."""

NEARER_RATIO = 0.7
"""Another region becomes the nearest one only if its round trip is below this fraction of the
current one's."""

MIN_ROUND_TRIP_GAIN_MS = 3
"""Another region becomes the nearest one only if its round trip is shorter by more than this."""

MAX_DIRECT_POLLERS = 16
"""Regions with more nodes have relays."""

MIN_RELAY_APPLY_S = 3.0
"""Relays add a poll interval to the age of a configuration, so they are used only where a change
may take at least this long."""


@attrs.frozen(order=True)
class _Defects:
    """Reasons against a node as a source, the most serious first."""

    has_missed_report: bool
    lacks_store_access: bool
    is_outdated: bool
    is_behind: bool
    is_full: bool
    is_coordinator: bool


@attrs.define
class RegionSources:
    """Names of the chosen nodes of a region; empty if there are too few nodes."""

    primary: str = ""
    spare: str = ""
    relays: tuple[str, ...] = ()
    relay_by_node: dict[str, str] = attrs.Factory(dict)
    """Relay of each node that polls one."""


class ConfigurationSources:
    """Chooses the sources at the coordinator. Times are in seconds."""

    def __init__(
        self,
        registry: NodeRegistry,
        coordinator: Contact,
        region_by_zone: dict[str, str],
        configuration_apply_s: float,
        active_since: Callable[[], float | None],
    ) -> None:
        self._registry = registry
        self._coordinator = coordinator
        self._region_by_zone = region_by_zone
        self._uses_relays = configuration_apply_s >= MIN_RELAY_APPLY_S
        self._active_since = active_since
        self.by_region: dict[str, RegionSources] = {}
        self.nearest = ""
        """The region nearest to the store; empty while unknown."""

        self._newest = (-1, float("-inf"))
        """The newest reported version, and when it was first reported."""

    def region_of(self, zone: str) -> str:
        """Return the region of a zone; a zone without a configured region is its own region."""
        return self._region_by_zone.get(zone, zone)

    # --- choices ---

    def update(self, now: float, is_fleet_running: bool) -> list[str]:
        """Update the choice of sources; return the regions whose sources have changed."""
        active_since = self._active_since()
        if active_since is None:
            self.by_region.clear()
            return []
        if is_fleet_running and now - active_since < SETTLE_S:
            return []
        by_region = self._candidates()
        self._record_newest(by_region, now)
        changed = self._update_nearest(by_region, now)
        for region in sorted(set(self.by_region) - set(by_region)):
            del self.by_region[region]
        for region in sorted(by_region):
            if self._update_region(region, by_region[region], now):
                changed.add(region)
        return sorted(changed)

    def _candidates(self) -> dict[str, list[NodeEntry]]:
        by_region: dict[str, list[NodeEntry]] = {}
        for entry in self._registry.live():
            if entry.report.polls_configuration and not entry.report.is_leaving:
                by_region.setdefault(self.region_of(entry.report.zone), []).append(entry)
        return by_region

    def _record_newest(self, by_region: dict[str, list[NodeEntry]], now: float) -> None:
        versions = [
            entry.report.configuration_version for nodes in by_region.values() for entry in nodes
        ]
        newest = max(versions, default=-1)
        if newest > self._newest[0]:
            self._newest = (newest, now)

    def _update_nearest(self, by_region: dict[str, list[NodeEntry]], now: float) -> set[str]:
        """Choose the region nearest to the store; return the regions affected by a change."""
        round_trips = {
            region: min(
                (
                    entry.report.store_round_trip_ms
                    for entry in nodes
                    if entry.report.store_round_trip_ms > 0 and _is_served(entry)
                ),
                default=math.inf,
            )
            for region, nodes in by_region.items()
        }
        if not round_trips:
            return set()
        best = min(sorted(round_trips), key=lambda region: round_trips[region])
        current = round_trips.get(self.nearest, math.inf)
        is_clearly_nearer = round_trips[best] < min(
            NEARER_RATIO * current, current - MIN_ROUND_TRIP_GAIN_MS
        )
        if self.nearest in by_region and not is_clearly_nearer:
            return set()
        if round_trips[best] == math.inf:
            # No node has reported a round trip yet. The coordinator has reached the store, since it
            # has claimed its role there.
            best = next(
                (
                    region
                    for region, nodes in sorted(by_region.items())
                    if any(entry.contact.node == self._coordinator.node for entry in nodes)
                ),
                best,
            )
        self.nearest = best
        return set(by_region)

    def _update_region(self, region: str, nodes: list[NodeEntry], now: float) -> bool:
        by_name = {entry.contact.node: entry for entry in nodes}
        defects = {name: self._defects(entry, region, now) for name, entry in by_name.items()}
        ranked = sorted(
            by_name,
            key=lambda name: (
                defects[name],
                by_name[name].report.cores < MIN_COORDINATOR_CORES,
                name,
            ),
        )
        current = self.by_region.get(region, RegionSources())
        chosen = RegionSources()
        # Promote the spare if the primary is gone: the pollers have it in their lists already.
        preferred = current.primary if current.primary in by_name else current.spare
        chosen.primary = _keep_or_replace(preferred, ranked, defects)
        others = [name for name in ranked if name != chosen.primary]
        spare = current.spare if current.spare in others else ""
        chosen.spare = _keep_or_replace(spare, others, defects)
        chosen.relays = self._choose_relays(current, chosen, ranked, defects)
        chosen.relay_by_node = _assign_relays(current, chosen, sorted(by_name))
        self.by_region[region] = chosen
        return chosen != current

    def _choose_relays(
        self,
        current: RegionSources,
        chosen: RegionSources,
        ranked: list[str],
        defects: dict[str, _Defects],
    ) -> tuple[str, ...]:
        if not self._uses_relays or len(ranked) <= MAX_DIRECT_POLLERS:
            return ()
        count = math.isqrt(len(ranked))
        free = [name for name in ranked if name not in (chosen.primary, chosen.spare)]
        kept = [
            name
            for name in current.relays
            if name in free and not (defects[name].has_missed_report or defects[name].is_full)
        ]
        added = [name for name in free if name not in kept]
        return tuple(sorted((kept + added)[:count]))

    def _defects(self, entry: NodeEntry, region: str, now: float) -> _Defects:
        report = entry.report
        version, first_reported_at = self._newest
        age_ms = report.configuration_age_ms
        return _Defects(
            now - entry.last_seen_at > MAX_REPORT_AGE_S,
            region == self.nearest and not _is_served(entry),
            age_ms is None or age_ms > MAX_CONFIGURATION_AGE_MS,
            report.configuration_version < version and now - first_reported_at > PROPAGATION_TIME_S,
            report.is_full,
            entry.contact.node == self._coordinator.node,
        )

    # --- lists ---

    def sources_for(self, node: str) -> tuple[Contact, ...]:
        """Return the sources of a node, the preferred one first; its own entry means the store."""
        entry = self._registry.by_name.get(node)
        if entry is None:
            return ()
        region = self.region_of(entry.report.zone)
        sources = self.by_region.get(region)
        if sources is None:
            return ()
        contacts = [
            self._registry.by_name[name].contact
            for name in self._names(node, region, sources)
            if name in self._registry.by_name
        ]
        if self._coordinator.node != node:
            contacts.append(self._coordinator)
        return tuple(dict.fromkeys(contacts))

    def _names(self, node: str, region: str, sources: RegionSources) -> list[str]:
        nearest = self.by_region.get(self.nearest, RegionSources())
        readers = [nearest.primary, nearest.spare]
        if node == sources.primary:
            return [node, sources.spare] if region == self.nearest else readers
        if node == sources.spare:
            return (
                [sources.primary, node] if region == self.nearest else [sources.primary, *readers]
            )
        names = [sources.primary, sources.spare]
        relay = sources.relay_by_node.get(node)
        return names if relay is None else [relay, *names]


def _is_served(entry: NodeEntry) -> bool:
    return entry.report.store_age_ms < MAX_SERVED_STORE_AGE_MS


def _keep_or_replace(current: str, ranked: list[str], defects: dict[str, _Defects]) -> str:
    """Return the current node unless the best-ranked one has less serious defects."""
    if not ranked:
        return ""
    if current in defects and defects[current] <= defects[ranked[0]]:
        return current
    return ranked[0]


def _assign_relays(
    current: RegionSources, chosen: RegionSources, names: list[str]
) -> dict[str, str]:
    """Distribute the nodes evenly over the relays; a node keeps its relay if that has capacity."""
    if not chosen.relays:
        return {}
    sources = {chosen.primary, chosen.spare, *chosen.relays}
    nodes = [name for name in names if name not in sources]
    max_per_relay = math.ceil(len(nodes) / len(chosen.relays))
    counts = dict.fromkeys(chosen.relays, 0)
    assigned: dict[str, str] = {}
    for node in nodes:
        relay = current.relay_by_node.get(node, "")
        if counts.get(relay, max_per_relay) < max_per_relay:
            assigned[node] = relay
            counts[relay] += 1
    for node in nodes:
        if node not in assigned:
            relay = min(chosen.relays, key=lambda name: counts[name])
            assigned[node] = relay
            counts[relay] += 1
    return assigned
