"""Quotas hold over the whole fleet for any order of requests, failures and takeovers."""

from random import Random

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverwalk.fleet.messages import LocalGrants
from cloverwalk.gateway.configuration import ClientLimits, Configuration, ConfigurationHolder
from cloverwalk.scheduling.quotas import FleetQuotas, QuotaBounds, QuotaVerdict
from cloverwalk.tenants.directory import Tenant

BOUNDS = QuotaBounds(window_s=5.0, overshoot=0.1, slack=20.0)
NODE_TIMEOUT_S = 1.5


def holder(*tenants: Tenant) -> ConfigurationHolder:
    created = ConfigurationHolder()
    created.update_if_newer(Configuration(1, (), {}, ClientLimits(), tenants))
    return created


def tenant(rate: float = 5.0, burst: float = 5.0) -> Tenant:
    return Tenant("quiz", (), None, rate, burst)


def coordinating(configuration: ConfigurationHolder, now: float = 0.0) -> FleetQuotas:
    quotas = FleetQuotas(configuration, BOUNDS, Random(1))
    quotas.become_coordinator(now)
    return quotas


def max_in_window(sent: list[float], window_s: float = BOUNDS.window_s) -> int:
    """Return the largest number of sends within any window."""
    return max(
        (sum(at <= other_at <= at + window_s for other_at in sent) for at in sent),
        default=0,
    )


def allowed(limited: Tenant) -> float:
    return limited.rate_per_s * BOUNDS.window_s + limited.burst


def max_allowed(limited: Tenant) -> float:
    return allowed(limited) + BOUNDS.tolerance(limited)


tenants = st.builds(
    tenant,
    st.floats(0.5, 60.0),
    st.floats(1.0, 60.0),
)


@given(
    tenants,
    st.lists(
        st.tuples(st.floats(0.0, 0.4), st.integers(1, 60), st.floats(0.0, 1.5), st.booleans()),
        max_size=40,
    ),
)
def test_coordinator_never_grants_more_than_the_quota(
    limited: Tenant, bursts: list[tuple[float, int, float, bool]]
) -> None:
    """Requests arrive in bursts; some wait before they are sent, and some are withdrawn."""
    quotas = coordinating(holder(limited), now=-100.0)
    now, sent = 0.0, []
    waiting: list[tuple[float, bool]] = []
    for pause_s, count, wait_s, is_withdrawn in bursts:
        now += pause_s
        for due in [due for due in waiting if due[0] <= now]:
            waiting.remove(due)
            if due[1]:
                quotas.release("quiz", now)
            else:
                quotas.spend("quiz", now)
                sent.append(now)
        for _ in range(count):
            if quotas.reserve("quiz", now) is QuotaVerdict.TAKEN:
                waiting.append((now + wait_s, is_withdrawn))
        for due in [due for due in waiting if due[0] <= now and not due[1]]:
            waiting.remove(due)
            quotas.spend("quiz", now)
            sent.append(now)
    assert max_in_window(sent) <= allowed(limited) + 1


@given(tenants, st.integers(1, 80), st.floats(0.3, 6.0), st.booleans())
def test_quota_holds_through_a_takeover(
    limited: Tenant, per_step: int, taken_over_at: float, has_levels: bool
) -> None:
    """A tenant sends far too much, and the coordinator fails at any moment."""
    configuration = holder(limited)
    first = coordinating(configuration, now=-100.0)
    standby = FleetQuotas(configuration, BOUNDS, Random(2))
    active, sent = first, []
    for step in range(200):
        now = 0.05 * step
        if active is first and now >= taken_over_at:
            standby.become_coordinator(now)
            active = standby
        elif has_levels and active is first and step % 5 == 0:
            standby.apply_bucket_levels(first.bucket_levels(now))
        for _ in range(per_step):
            if active.reserve("quiz", now) is QuotaVerdict.TAKEN:
                active.spend("quiz", now)
                sent.append(now)
    assert max_in_window(sent) <= max_allowed(limited)


@attrs.define
class PartitionedFleet:
    """A fleet of which some nodes decide independently from the start."""

    nodes: int
    independent: int
    reports: bool
    """Whether the coordinator receives local grants; otherwise it notices the missing nodes."""

    def sends(self, limited: Tenant, per_step: int, seed: int) -> list[float]:
        configuration = holder(limited)
        coordinator = coordinating(configuration, now=-100.0)
        local_quotas = [
            FleetQuotas(configuration, BOUNDS, Random(seed + number))
            for number in range(self.independent)
        ]
        sent: list[float] = []
        for step in range(200):
            now = 0.05 * step
            if not self.reports and now > NODE_TIMEOUT_S:
                coordinator.set_fleet_fraction(self.nodes - self.independent, self.nodes)
            for number, local in enumerate(local_quotas):
                if step == 0:
                    local.apply_near_limit([], now)
                local.set_fleet_fraction(1, self.nodes)
                if self.reports:
                    coordinator.record_local_grants(
                        f"n{number}", "0a", local.local_grants(now), now
                    )
            for quotas in [coordinator, *local_quotas]:
                for _ in range(per_step):
                    if quotas.reserve("quiz", now) is QuotaVerdict.TAKEN:
                        quotas.spend("quiz", now)
                        sent.append(now)
        return sent


@given(
    st.sampled_from([tenant(1, 1), tenant(5, 5), tenant(15, 15), tenant(66, 66)]),
    st.sampled_from([(3, 1), (15, 5), (61, 10), (61, 20)]),
    st.booleans(),
    st.integers(0, 1000),
)
def test_quota_holds_while_nodes_decide_independently(
    limited: Tenant, fleet: tuple[int, int], reports: bool, seed: int
) -> None:
    """At most a third of the nodes is independent, each with more requests than it may send."""
    sent = PartitionedFleet(fleet[0], fleet[1], reports).sends(limited, 4, seed)
    assert max_in_window(sent) <= max_allowed(limited)


def test_node_grants_locally_to_a_tenant_far_from_its_limit() -> None:
    quotas = FleetQuotas(holder(tenant(15, 15)), BOUNDS, Random(1))
    quotas.apply_near_limit([], 0.0)
    quotas.set_fleet_fraction(1, 12)
    assert quotas.reserve("quiz", 0.0) is QuotaVerdict.TAKEN


def test_node_with_unknown_fleet_size_grants_nothing() -> None:
    quotas = FleetQuotas(holder(tenant()), BOUNDS, Random(1))
    quotas.set_fleet_fraction(1, 0)
    assert quotas.reserve("quiz", 0.0) is QuotaVerdict.UNKNOWN
    assert not quotas.knows_fleet


def test_tenant_without_a_limit_is_never_refused() -> None:
    quotas = coordinating(holder(tenant(rate=0.0)))
    verdicts = {quotas.reserve("quiz", 0.0) for _ in range(1000)}
    verdicts |= {quotas.reserve("", 0.0) for _ in range(1000)}
    assert verdicts == {QuotaVerdict.TAKEN}


def test_refusal_has_the_time_until_the_next_token() -> None:
    quotas = coordinating(holder(tenant(rate=2.0, burst=1.0)), now=-100.0)
    assert quotas.reserve("quiz", 0.0) is QuotaVerdict.TAKEN
    quotas.spend("quiz", 0.0)
    assert quotas.reserve("quiz", 0.1) is QuotaVerdict.OVER
    wait_s = quotas.wait_s("quiz", 0.1)
    assert wait_s == pytest.approx(0.4)
    assert quotas.reserve("quiz", 0.1 + wait_s) is QuotaVerdict.TAKEN


def test_released_token_can_be_reserved_again() -> None:
    quotas = coordinating(holder(tenant(rate=0.1, burst=1.0)), now=-100.0)
    assert quotas.reserve("quiz", 0.0) is QuotaVerdict.TAKEN
    assert quotas.reserve("quiz", 0.0) is QuotaVerdict.OVER
    quotas.release("quiz", 0.0)
    assert quotas.reserve("quiz", 0.0) is QuotaVerdict.TAKEN


def test_retry_is_counted_and_sent_without_a_free_token() -> None:
    quotas = coordinating(holder(tenant(rate=1.0, burst=2.0)), now=-100.0)
    quotas.charge("quiz", 0.0)
    quotas.charge("quiz", 0.0)
    quotas.charge("quiz", 0.0)
    assert quotas.reserve("quiz", 1.5) is QuotaVerdict.OVER
    assert quotas.reserve("quiz", 2.1) is QuotaVerdict.TAKEN


def test_lowered_quota_applies_at_once() -> None:
    configuration = holder(tenant(rate=50.0, burst=50.0))
    quotas = coordinating(configuration, now=-100.0)
    lowered = Configuration(2, (), {}, ClientLimits(), (tenant(rate=1.0, burst=1.0),))
    assert quotas.reserve("quiz", 0.0) is QuotaVerdict.TAKEN
    quotas.spend("quiz", 0.0)
    configuration.update_if_newer(lowered)
    verdicts = [quotas.reserve("quiz", 0.1) for _ in range(3)]
    assert verdicts == [QuotaVerdict.TAKEN, QuotaVerdict.OVER, QuotaVerdict.OVER]


def test_local_grants_are_counted_once() -> None:
    quotas = coordinating(holder(tenant(rate=0.1, burst=10.0)), now=-100.0)
    quotas.record_local_grants("n1", "0a", None, 0.0)
    for _ in range(3):
        quotas.record_local_grants("n1", "0a", LocalGrants(0, {"quiz": 4}), 0.0)
    quotas.record_local_grants("n1", "0a", LocalGrants(0, {"quiz": 6}), 0.0)
    quotas.record_local_grants("n1", "0a", LocalGrants(1, {"quiz": 1}), 0.0)
    assert quotas.bucket_levels(0.0) == {"quiz": 3.0}


def test_the_first_report_after_a_takeover_charges_nothing() -> None:
    quotas = coordinating(holder(tenant(rate=1.0, burst=10.0)), now=-1.0)
    quotas.record_local_grants("n1", "0a", LocalGrants(0, {"quiz": 400}), 0.0)
    assert quotas.reserve("quiz", 0.0) is QuotaVerdict.TAKEN


def test_paused_process_grants_no_more_than_the_tolerance() -> None:
    limited = tenant(rate=60.0, burst=60.0)
    quotas = coordinating(holder(limited), now=-100.0)
    assert quotas.reserve("quiz", 0.0) is QuotaVerdict.TAKEN
    quotas.reset_after_pause(4.0)
    granted = sum(quotas.reserve("quiz", 4.0) is QuotaVerdict.TAKEN for _ in range(100))
    assert granted <= BOUNDS.tolerance(limited)
