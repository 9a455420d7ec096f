"""Counters and latency histograms of a serving node, in the Prometheus text format.

Values are kept as plain numbers. The client library is imported only when metrics are requested,
as its import would delay the start of a node.
"""

from bisect import bisect_left
from collections import Counter
from collections.abc import Mapping
from typing import TYPE_CHECKING

import attrs

from cloverwalk.gateway.messages import ReplicaLoad
from cloverwalk.telemetry.tenant_metrics import TenantMetrics
from cloverwalk.tenants.directory import TenantDirectory

if TYPE_CHECKING:
    from collections.abc import Iterator

    from prometheus_client.metrics_core import Metric

LATENCY_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0)


@attrs.define
class Latencies:
    """A histogram of durations; the last bucket has no upper bound.

    >>> latencies = Latencies()
    >>> latencies.observe(0.02), latencies.observe(9.0)
    (None, None)
    >>> latencies.cumulative_counts()[:3], latencies.cumulative_counts()[-1]
    ([('0.01', 0), ('0.025', 1), ('0.05', 1)], ('+Inf', 2))
    """

    sum_s: float = 0.0
    counts: list[int] = attrs.Factory(lambda: [0] * (len(LATENCY_BUCKETS_S) + 1))

    def observe(self, took_s: float) -> None:
        """Add one duration."""
        self.sum_s += took_s
        self.counts[bisect_left(LATENCY_BUCKETS_S, took_s)] += 1

    def cumulative_counts(self) -> list[tuple[str, int]]:
        """Return the number of durations up to each bound."""
        bounds = [*(str(bound) for bound in LATENCY_BUCKETS_S), "+Inf"]
        sums = [sum(self.counts[: index + 1]) for index in range(len(bounds))]
        return list(zip(bounds, sums, strict=True))


class ServingMetrics:
    """The metrics of one process; labels are bounded: routes, replicas, outcomes, tenants."""

    def __init__(self) -> None:
        self.tenants = TenantMetrics()
        self.tenant_directory = TenantDirectory()
        """The tenants of the configuration in force, for the metrics of their quotas."""

        self.slot_ms_by_share: Mapping[tuple[str, str], int] = {}
        """Expected slot time (ms) of work that got a slot, by work and by its tenant's share."""

        self.slot_seconds: Mapping[str, float] = {}
        """Slot-seconds of the replicas by use, counted while this node was the coordinator."""

        self.utilization: Mapping[str, float] = {}
        """Utilization of this machine by resource, as a fraction; empty if it is not measured."""

        self._late: Counter[tuple[str, str]] = Counter()
        self._requests: Counter[tuple[str, str]] = Counter()
        self._failures: Counter[str] = Counter()
        self._items: Counter[str] = Counter()
        self._connection_closes: Counter[str] = Counter()
        self._containments: Counter[str] = Counter()
        self._refused_messages: Counter[str] = Counter()
        self._resumptions: Counter[str] = Counter()
        self._invalid_entries = 0
        self._restarts = 0
        self._invalid_values: Counter[str] = Counter()
        self.replica_slowdowns: Mapping[str, int] = {}
        """Number of replicas by slowdown class, estimated while this node was the coordinator."""

        self.zone_drain_changes: Mapping[str, int] = {}
        """Number of changes of the zone drains, by kind."""

        self._durations: dict[str, Latencies] = {}
        self._first_events: dict[str, Latencies] = {}
        self._running: dict[str, int] = {}
        self._gauges: dict[str, tuple[str, float]] = {}

    def request_ended(self, route: str, outcome: str, took_s: float) -> None:
        """Count a request that has ended."""
        self._requests[route, outcome] += 1
        self._durations.setdefault(route, Latencies()).observe(took_s)

    def request_late(self, route: str, cause: str) -> None:
        """Count a late request or item."""
        self._late[route, cause] += 1

    def first_event(self, route: str, took_s: float) -> None:
        """Record the time to the first event of a stream."""
        self._first_events.setdefault(route, Latencies()).observe(took_s)

    def attempt_failed(self, code: str) -> None:
        """Count a failed attempt at a replica."""
        self._failures[code] += 1

    def replica_closed_connections(self, found: str) -> None:
        """Count a replica that closed connections, by what the probe of its address found."""
        self._connection_closes[found] += 1

    def containment_changed(self, event: str) -> None:
        """Count a request that was contained, refused while contained, or released."""
        self._containments[event] += 1

    def resumption_ended(self, outcome: str) -> None:
        """Count an attempt to resume a stream: it went on, or why it did not."""
        self._resumptions[outcome] += 1

    def peer_message_refused(self, kind: str) -> None:
        """Count a message of another node that can't be decoded."""
        self._refused_messages[kind] += 1

    def replica_entry_invalid(self) -> None:
        """Count an invalid entry of the replica list."""
        self._invalid_entries += 1

    def replica_restarted(self) -> None:
        """Count a replica that restarted under the same id."""
        self._restarts += 1

    def item_ended(self, outcome: str) -> None:
        """Count a run of an item that ended."""
        self._items[outcome] += 1

    def replica_load(self, replica_id: str, load: ReplicaLoad) -> None:
        """Record the load that a replica reported."""
        self._running[replica_id] = load.running
        self._invalid_values["slowdown"] += load.has_invalid_slowdown

    def gauge(self, name: str, help_text: str, value: float) -> None:
        """Set a gauge without labels."""
        self._gauges[name] = (help_text, value)

    def collect(self) -> "Iterator[Metric]":
        """Return all metrics as metric families of the client library."""
        from prometheus_client.metrics_core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        requests = CounterMetricFamily(
            "cloverwalk_requests", "Ended requests", labels=["route", "outcome"]
        )
        for (route, outcome), count in self._requests.items():
            requests.add_metric([route, outcome], count)
        yield requests
        late = CounterMetricFamily(
            "cloverwalk_late", "Late requests and items, by cause", labels=["route", "cause"]
        )
        for (route, cause), count in self._late.items():
            late.add_metric([route, cause], count)
        yield late
        slots = CounterMetricFamily(
            "cloverwalk_slot_seconds", "Slot-seconds of the replicas, by use", labels=["use"]
        )
        for use, seconds in self.slot_seconds.items():
            slots.add_metric([use], seconds)
        yield slots
        shares = CounterMetricFamily(
            "cloverwalk_share_slot_ms",
            "Expected slot time of work that got a slot, by work and by its tenant's share",
            labels=["work", "share"],
        )
        for (work, share), slot_ms in self.slot_ms_by_share.items():
            shares.add_metric([work, share], slot_ms)
        yield shares
        if self.utilization:
            utilization = GaugeMetricFamily(
                "cloverwalk_machine_fullness", "Fraction in use, by resource", labels=["resource"]
            )
            for resource, fraction in self.utilization.items():
                utilization.add_metric([resource], fraction)
            yield utilization
        for name, help_text, counts, label in (
            ("cloverwalk_attempt_failures", "Failed attempts", self._failures, "code"),
            ("cloverwalk_items", "Ended runs of items", self._items, "outcome"),
            (
                "cloverwalk_broken_off",
                "Replicas that closed connections",
                self._connection_closes,
                "found",
            ),
            ("cloverwalk_containments", "Requests contained", self._containments, "event"),
            (
                "cloverwalk_resumptions",
                "Attempts to resume a stream, by what became of them",
                self._resumptions,
                "outcome",
            ),
            (
                "cloverwalk_peer_messages_refused",
                "Messages of other nodes that can't be decoded, by kind",
                self._refused_messages,
                "kind",
            ),
            (
                "cloverwalk_odd_figures",
                "Invalid values in reports of replicas",
                self._invalid_values,
                "figure",
            ),
            (
                "cloverwalk_zone_drain_changes",
                "Changes of the zone drains",
                self.zone_drain_changes,
                "change",
            ),
        ):
            counter = CounterMetricFamily(name, help_text, labels=[label])
            for value, count in counts.items():
                counter.add_metric([value], count)
            yield counter
        for name, help_text, total in (
            (
                "cloverwalk_replica_entries_invalid",
                "Invalid replica entries",
                self._invalid_entries,
            ),
            ("cloverwalk_replica_restarts", "Replica restarts under the same id", self._restarts),
        ):
            yield CounterMetricFamily(name, help_text, value=total)
        for name, help_text, by_route in (
            (
                "cloverwalk_request_seconds",
                "Time from a request's head to its end",
                self._durations,
            ),
            (
                "cloverwalk_first_event_seconds",
                "Time from a request's head to its first event",
                self._first_events,
            ),
        ):
            histogram = HistogramMetricFamily(name, help_text, labels=["route"])
            for route, latencies in by_route.items():
                histogram.add_metric([route], latencies.cumulative_counts(), latencies.sum_s)
            yield histogram
        running = GaugeMetricFamily(
            "cloverwalk_replica_running",
            "Running requests, as reported by a replica",
            labels=["replica"],
        )
        for replica_id, count in self._running.items():
            running.add_metric([replica_id], count)
        yield running
        slowdowns = GaugeMetricFamily(
            "cloverwalk_replica_paces", "Replicas by slowdown class", labels=["pace"]
        )
        for name, count in self.replica_slowdowns.items():
            slowdowns.add_metric([name], count)
        yield slowdowns
        for name, (help_text, gauge_value) in self._gauges.items():
            yield GaugeMetricFamily(name, help_text, value=gauge_value)
        yield from self.tenants.collect(self.tenant_directory)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry()
        registry.register(self)
        return bytes(generate_latest(registry))
