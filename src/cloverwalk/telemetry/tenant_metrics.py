"""Metrics of requests by tenant, with a bounded number of labels."""

from collections import Counter
from typing import TYPE_CHECKING

import attrs

from cloverwalk.tenants.directory import TenantDirectory

if TYPE_CHECKING:
    from collections.abc import Iterator

    from prometheus_client.metrics_core import Metric

MAX_LABELS = 20
"""Number of tenants with a label of their own, those with the most requests; the others share one.
This bounds the size of the metrics page."""

OTHER_TENANTS = "(others)"
"""The common label of the other tenants."""


class TenantOutcome:
    """The outcome of a tenant's request."""

    ANSWERED = "answered"
    OVER_QUOTA = "over_quota"
    ENDED = "ended"
    """Ended without a replica's answer, for another reason."""


@attrs.define
class TenantMetrics:
    """Request counts by tenant in one process.

    >>> metrics = TenantMetrics()
    >>> metrics.request_ended("quiz", TenantOutcome.ANSWERED)
    >>> metrics.counts(max_named=1)
    {('quiz', 'answered'): 1}
    """

    _counts: Counter[tuple[str, str]] = attrs.Factory(Counter)
    _totals: Counter[str] = attrs.Factory(Counter)

    def request_ended(self, tenant: str, outcome: str) -> None:
        """Count a request that has ended; requests without a tenant are not counted."""
        if tenant:
            self._counts[tenant, outcome] += 1
            self._totals[tenant] += 1

    def counts(self, max_named: int = MAX_LABELS) -> dict[tuple[str, str], int]:
        """Return the counts by tenant and outcome, of the ``max_named`` largest tenants by name."""
        named = {name for name, _ in self._totals.most_common(max_named)}
        counts: Counter[tuple[str, str]] = Counter()
        for (tenant, outcome), count in self._counts.items():
            counts[tenant if tenant in named else OTHER_TENANTS, outcome] += count
        return dict(sorted(counts.items()))

    def collect(self, directory: TenantDirectory) -> "Iterator[Metric]":
        """Return counts and quotas as metric families of the client library."""
        from prometheus_client.metrics_core import CounterMetricFamily, GaugeMetricFamily

        requests = CounterMetricFamily(
            "cloverwalk_tenant_requests", "Ended requests", labels=["tenant", "outcome"]
        )
        rates = GaugeMetricFamily(
            "cloverwalk_tenant_rate_per_s", "Quota over the fleet", labels=["tenant"]
        )
        bursts = GaugeMetricFamily(
            "cloverwalk_tenant_burst", "Quota over the fleet", labels=["tenant"]
        )
        counts = self.counts()
        for (tenant, outcome), count in counts.items():
            requests.add_metric([tenant, outcome], count)
        for name in sorted({tenant for tenant, _ in counts}):
            configured = directory.by_name.get(name)
            if configured is not None and configured.has_limit:
                rates.add_metric([name], configured.rate_per_s)
                bursts.add_metric([name], configured.burst)
        yield requests
        yield rates
        yield bursts
