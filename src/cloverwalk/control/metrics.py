"""Metrics of a node, exported at /metrics through prometheus_client."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest


class NodeMetrics:
    """Counters and gauges; one registry a node, so that many nodes fit in one process."""

    def __init__(self) -> None:
        registry = CollectorRegistry()
        self._registry = registry
        self.admitted = Counter(
            "cloverwalk_admitted_total", "Requests admitted", ["work_class"], registry=registry
        )
        self.refused = Counter(
            "cloverwalk_refused_total", "Requests refused", ["reason"], registry=registry
        )
        self.first_token = Histogram(
            "cloverwalk_first_token_seconds", "Online time to first token", registry=registry
        )
        self.queue_time = Histogram(
            "cloverwalk_queue_seconds", "Wait at a replica", ["work_class"], registry=registry
        )
        self.preemption_count = 0
        self._preemptions = Counter(
            "cloverwalk_preemptions_total", "Batch streams suspended", registry=registry
        )
        self.retries = Counter("cloverwalk_retries_total", "Online retries", registry=registry)
        self.lease_changes = Counter(
            "cloverwalk_lease_changes_total", "Leases taken or lost", ["change"], registry=registry
        )
        self.batch_items = Counter(
            "cloverwalk_batch_items_total", "Batch items with a committed result", registry=registry
        )
        self.table_version = Gauge(
            "cloverwalk_table_version", "Weight table in force", registry=registry
        )
        self.table_age = Gauge(
            "cloverwalk_table_age_seconds", "Since the table was confirmed", registry=registry
        )
        self.held_results = Gauge(
            "cloverwalk_held_results", "Results held for the table service", registry=registry
        )
        self.unflushed_items = Gauge(
            "cloverwalk_unflushed_items", "Batch results not yet committed", registry=registry
        )
        self.in_flight = Gauge(
            "cloverwalk_in_flight", "Requests in flight", ["work_class"], registry=registry
        )

    def count_preemption(self) -> None:
        """Count a suspended batch stream."""
        self.preemption_count += 1
        self._preemptions.inc()

    def exposition(self) -> bytes:
        """Return the text format."""
        return bytes(generate_latest(self._registry))
