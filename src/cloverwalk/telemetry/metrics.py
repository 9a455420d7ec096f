"""Counters and latency histograms of a serving node, in the text form of Prometheus."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from cloverwalk.gateway.messages import ReplicaLoad

LATENCY_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0)


class ServingMetrics:
    """All figures of one process. Labels are bounded: routes, replicas, outcomes."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._requests = Counter(
            "cloverwalk_requests", "Ended requests", ["route", "outcome"], registry=self._registry
        )
        self._duration = Histogram(
            "cloverwalk_request_seconds",
            "Time from a request's head to its end",
            ["route"],
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self._first_event = Histogram(
            "cloverwalk_first_event_seconds",
            "Time from a request's head to its first event",
            ["route"],
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self._failures = Counter(
            "cloverwalk_attempt_failures", "Failed attempts", ["code"], registry=self._registry
        )
        self._store_calls = Counter(
            "cloverwalk_store_calls",
            "Calls to the store",
            ["call", "outcome"],
            registry=self._registry,
        )
        self._items = Counter(
            "cloverwalk_items", "Ended runs of items", ["outcome"], registry=self._registry
        )
        self._gauges: dict[str, Gauge] = {}
        self._replica_running = Gauge(
            "cloverwalk_replica_running",
            "Requests running, as a replica told",
            ["replica"],
            registry=self._registry,
        )

    def request_ended(self, route: str, outcome: str, took_s: float) -> None:
        """A request has its final answer."""
        self._requests.labels(route, outcome).inc()
        self._duration.labels(route).observe(took_s)

    def first_event(self, route: str, took_s: float) -> None:
        """A stream began."""
        self._first_event.labels(route).observe(took_s)

    def attempt_failed(self, code: str) -> None:
        """An attempt at a replica failed."""
        self._failures.labels(code).inc()

    def store_call(self, call: str, outcome: str) -> None:
        """A call to the store ended."""
        self._store_calls.labels(call, outcome).inc()

    def item_ended(self, outcome: str) -> None:
        """A run of an item ended."""
        self._items.labels(outcome).inc()

    def replica_load(self, replica_id: str, load: ReplicaLoad) -> None:
        """A replica told its load."""
        self._replica_running.labels(replica_id).set(load.running)

    def gauge(self, name: str, help_text: str, value: float) -> None:
        """Set a plain figure."""
        gauge = self._gauges.get(name)
        if gauge is None:
            gauge = self._gauges[name] = Gauge(name, help_text, registry=self._registry)
        gauge.set(value)

    def render(self) -> bytes:
        """Return all figures as text."""
        return bytes(generate_latest(self._registry))
