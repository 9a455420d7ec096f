"""Tenants' quotas, enforced over the whole fleet. A policy without I/O.

A token is taken when a request is placed, so counting needs no messages of its own. The coordinator
counts for all nodes that report to it. A node that decides while no coordinator answers, for itself
or for other nodes that have lost the coordinator, may grant only a part of each quota, in
proportion to their fraction of the fleet, and reports these local grants. A quota therefore holds
whichever nodes are cut off, and for however long.

The tokens of a window never exceed what the quota allows plus the tolerance:

- A bucket starts with at most half of the tolerance instead of full, since other nodes may have
  used up the rest in the previous window. This covers a start, a takeover and a coordinator that
  was paused.
- A coordinator with missing nodes grants only the fraction of the nodes that report to it.
- The token of a queued request stays out of the bucket, whose size is reduced by it.
"""

import enum
from random import Random

import attrs

from cloverwalk.core.token_bucket import TokenBucket
from cloverwalk.fleet.messages import LocalGrants
from cloverwalk.gateway.configuration import ConfigurationHolder
from cloverwalk.scheduling.local_grants import GrantLog, LocalGrantsTracker
from cloverwalk.tenants.directory import Tenant

UNKNOWN_COUNT_FRACTION = 0.5
"""Fraction of the tolerance that a coordinator grants while it does not know the count; the other
half is for local grants."""

INDEPENDENT_FLEET_FRACTION = 1 / 3
"""Fraction of the fleet that may decide independently at the same time within the local half of the
tolerance, for a tenant far from its limit. Near the limit, all nodes may."""

LOCAL_RATE_FRACTION = 0.5
"""Fraction of its part of the rate that a node grants locally: until a coordinator notices the
missing nodes, it grants their part as well."""

NEAR_LIMIT_FRACTION = 0.5
"""A tenant whose bucket is filled to less than this fraction may be near its limit; the coordinator
sends its name to the nodes."""

NEAR_LIMIT_TTL_S = 5.0
"""How long a node uses the names of tenants near their limits."""


class QuotaVerdict(enum.Enum):
    """Whether a tenant may send a request."""

    TAKEN = "taken"
    OVER = "over"
    """The quota is used up."""

    UNKNOWN = "unknown"
    """This node does not know the count and may not grant more."""


@attrs.frozen
class QuotaBounds:
    """Permitted overshoot of quotas, from the operator's settings."""

    window_s: float = 5.0
    overshoot: float = 0.1
    """Fraction of what a quota allows in a window."""

    slack: float = 0.0
    """Requests per window."""

    def tolerance(self, tenant: Tenant) -> float:
        """Return how many requests above the quota are tolerated in a window.

        >>> QuotaBounds(5.0, 0.1, 20.0).tolerance(Tenant("t", (), None, 16.0, 20.0))
        30.0
        """
        allowed = tenant.rate_per_s * self.window_s + tenant.burst
        return self.overshoot * allowed + self.slack


@attrs.define
class _Account:
    """Token bucket of one tenant."""

    tenant: Tenant
    bucket: TokenBucket
    limits_version: int
    """Version of the limits that the bucket has."""

    reserved: int = 0
    """Tokens of queued requests."""


class FleetQuotas:
    """Token counts by tenant. Call ``reserve`` first, then ``spend`` or ``release``."""

    def __init__(
        self, configuration: ConfigurationHolder, bounds: QuotaBounds, random: Random
    ) -> None:
        self._configuration = configuration
        self._bounds = bounds
        self._random = random
        self._accounts: dict[str, _Account] = {}
        self._is_coordinator = False
        self._fleet_fraction = 0.0
        self._limits_version = 0
        self._role_since = 0.0
        """Start of the current role of this node (monotonic clock, seconds)."""

        self._replicated_levels: dict[str, float] = {}
        self._near_limit_names: frozenset[str] = frozenset()
        self._near_limit_at = float("-inf")
        self._grant_log = GrantLog()
        self._remote_grants = LocalGrantsTracker()

    # --- role ---

    def become_coordinator(self, now: float) -> None:
        """Start to count for the whole fleet."""
        self._is_coordinator = True
        self._role_since = now
        self._remote_grants = LocalGrantsTracker(now)
        self._accounts = {}
        self._set_fraction(1.0)
        for name, level in self._replicated_levels.items():
            account = self._account(name, now)
            if account is not None:
                account.bucket.drain_to(level, now)

    def stop_coordinating(self, now: float) -> None:
        """Stop counting for the fleet; another node does."""
        self._is_coordinator = False
        self._role_since = now
        self._accounts = {}
        self._set_fraction(0.0)

    def reset_after_pause(self, now: float) -> None:
        """Lower the bucket levels after a pause of this process.

        Other nodes may have granted tokens in the meantime.
        """
        self._role_since = now
        for account in self._accounts.values():
            account.bucket.drain_to(self._unknown_count_level(account.tenant), now)

    def set_fleet_fraction(self, reporting_nodes: int, nodes: int) -> None:
        """Set the fraction of the fleet that this node decides for; ``nodes`` is 0 if unknown."""
        fraction = min(1.0, reporting_nodes / nodes) if nodes > 0 else 0.0
        if fraction != self._fleet_fraction:
            self._set_fraction(fraction)

    def _set_fraction(self, fraction: float) -> None:
        self._fleet_fraction = fraction
        self._limits_version += 1

    @property
    def knows_fleet(self) -> bool:
        """Whether the fleet fraction of this node is known."""
        return self._fleet_fraction > 0

    # --- tokens of a request ---

    def reserve(self, name: str, now: float) -> QuotaVerdict:
        """Reserve a token for a request."""
        account = self._account(name, now)
        if account is None:
            return QuotaVerdict.TAKEN
        if account.bucket.has(now, self._min_level(account)):
            account.bucket.take_on_credit(now, 1.0)
            account.reserved += 1
            self._update_limits(account, now)
            return QuotaVerdict.TAKEN
        return QuotaVerdict.OVER if self._is_coordinator else QuotaVerdict.UNKNOWN

    def release(self, name: str, now: float) -> None:
        """Return the reserved token of a request that is not sent."""
        account = self._account(name, now)
        if account is not None and account.reserved > 0:
            account.reserved -= 1
            self._update_limits(account, now)
            account.bucket.give_back(1.0)

    def spend(self, name: str, now: float) -> None:
        """Use the reserved token of a request that is sent."""
        account = self._account(name, now)
        if account is None:
            return
        account.reserved = max(0, account.reserved - 1)
        self._update_limits(account, now)
        self._record_grant(name, now)

    def charge(self, name: str, now: float) -> None:
        """Count a request that is sent again; it needs no free token."""
        account = self._account(name, now)
        if account is None:
            return
        account.bucket.take_on_credit(now, 1.0)
        self._record_grant(name, now)

    def wait_s(self, name: str, now: float) -> float:
        """Return the time until a token is free."""
        account = self._account(name, now)
        return 0.0 if account is None else account.bucket.wait_s(now)

    def _min_level(self, account: _Account) -> float:
        """Return the bucket level that is needed to take a token.

        The part of a node that decides by itself may be smaller than one token. Then it grants a
        token with that probability, and the level becomes negative.
        """
        if self._is_coordinator or account.bucket.burst >= 1.0:
            return 1.0
        return 1.0 - self._random.random() if account.bucket.burst > 0 else 1.0

    def _record_grant(self, name: str, now: float) -> None:
        if not self._is_coordinator:
            self._grant_log.record(name, now)

    # --- buckets ---

    def _account(self, name: str, now: float) -> _Account | None:
        """Return a tenant's account with its current limits, or None if it has no limit."""
        tenant = self._configuration.tenants.by_name.get(name)
        if tenant is None or not tenant.has_limit:
            self._accounts.pop(name, None)
            return None
        account = self._accounts.get(name)
        if account is None:
            account = self._accounts[name] = self._open_account(tenant, now)
        elif self._has_changed(account, tenant):
            account.tenant = tenant
            account.limits_version = self._limits_version
            self._update_limits(account, now)
        return account

    def _has_changed(self, account: _Account, tenant: Tenant) -> bool:
        """Whether the limits of a bucket may have changed; local limits also change with time."""
        is_current = account.tenant is tenant and account.limits_version == self._limits_version
        return not (is_current and self._is_coordinator)

    def _open_account(self, tenant: Tenant, now: float) -> _Account:
        """Return a new account for a tenant not seen since this node took its role."""
        depth = self._depth(tenant, now)
        bucket = TokenBucket(self._rate_per_s(tenant), depth, now)
        if self._is_coordinator:
            gained = bucket.rate_per_s * (now - self._role_since)
            bucket.drain_to(self._unknown_count_level(tenant) + gained, now)
        return _Account(tenant, bucket, self._limits_version)

    def _update_limits(self, account: _Account, now: float) -> None:
        depth = max(0.0, self._depth(account.tenant, now) - account.reserved)
        account.bucket.set_rate(self._rate_per_s(account.tenant), depth, now)

    def _rate_per_s(self, tenant: Tenant) -> float:
        role_fraction = 1.0 if self._is_coordinator else LOCAL_RATE_FRACTION
        return role_fraction * self._fleet_fraction * tenant.rate_per_s

    def _depth(self, tenant: Tenant, now: float) -> float:
        if self._is_coordinator:
            return max(1.0, self._fleet_fraction * tenant.bucket_size)
        if tenant.name in self._near_limit_names or now - self._near_limit_at > NEAR_LIMIT_TTL_S:
            return self._fleet_fraction * self._unknown_count_level(tenant)
        return self._fleet_fraction * self._unknown_count_level(tenant) / INDEPENDENT_FLEET_FRACTION

    def _unknown_count_level(self, tenant: Tenant) -> float:
        return UNKNOWN_COUNT_FRACTION * self._bounds.tolerance(tenant)

    # --- replication and reports ---

    def near_limit(self, now: float) -> list[str]:
        """Return the tenants that may be near their limits, sorted."""
        return sorted(
            name
            for name, account in self._accounts.items()
            if not account.bucket.has(now, NEAR_LIMIT_FRACTION * account.tenant.bucket_size)
        )

    def apply_near_limit(self, names: list[str], now: float) -> None:
        """Apply the coordinator's list of tenants near their limits."""
        self._near_limit_names = frozenset(names)
        self._near_limit_at = now

    def bucket_levels(self, now: float) -> dict[str, float]:
        """Return the levels of the buckets that are not full, for a standby."""
        return {
            name: round(account.bucket.level(now), 2)
            for name, account in self._accounts.items()
            if not account.bucket.has(now, account.bucket.burst)
        }

    def apply_bucket_levels(self, levels: dict[str, float]) -> None:
        """Store the coordinator's levels, to start from when this node takes over."""
        self._replicated_levels = levels

    def local_grants(self, now: float) -> LocalGrants | None:
        """Return the recent local grants of this node, or None."""
        return self._grant_log.report(now)

    def record_local_grants(
        self, node: str, run: str, grants: LocalGrants | None, now: float
    ) -> None:
        """Count the tokens that a node has granted locally since its previous report."""
        for name, count in self._remote_grants.new_grants(node, run, grants, now).items():
            account = self._account(name, now)
            if account is not None:
                account.bucket.take_on_credit(now, float(count))
