"""Requests that tenants may send, counted over the whole fleet. A policy without I/O.

A token is taken where a place is given, so the count needs no message of its own. One node, the
coordinator, counts for all nodes that it hears. A node that decides in its stead, for itself or for
those that have lost the coordinator, is a deputy: it may give out a part of each quota only, as
large as its part of the fleet, and it reports what it gave out. So a quota holds whatever nodes are
cut off, and for however long.

What a quota allows in a window, plus the tolerance, is never exceeded:

- A bucket begins with half of the tolerance at most, not full: others may have spent the rest in
  the window before. This covers a start, a takeover and a coordinator that stood still.
- A coordinator that misses nodes gives out the part of those that it hears.
- A request that waits keeps its token out of the bucket, and the bucket fills up to what is left.
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
"""Share of the tolerance that a coordinator uses up where it does not know the count; the other
half is for deputies."""

INDEPENDENT_FLEET_FRACTION = 1 / 3
"""Share of the fleet that may decide alone at the same time without more than the deputies' half of
the tolerance, for a tenant that is far from its limit. Near it, all nodes may."""

LOCAL_RATE_FRACTION = 0.5
"""Share of its part of a quota's rate that a deputy gives out: until a coordinator misses the
deputy's nodes it gives out their part as well."""

NEAR_LIMIT_FRACTION = 0.5
"""A tenant whose bucket is emptier than this may be near its limit; deputies are told its name."""

NEAR_LIMIT_TTL_S = 5.0
"""For how long a deputy goes by what it was told of tenants near their limits."""


class QuotaVerdict(enum.Enum):
    """Whether a tenant may send a request."""

    TAKEN = "taken"
    OVER = "over"
    """It is beyond its quota."""

    UNKNOWN = "unknown"
    """This node can't tell, and may not give out more."""


@attrs.frozen
class QuotaBounds:
    """How far counts may be off, as the operator's settings say."""

    window_s: float = 5.0
    overshoot: float = 0.1
    """Share of what a quota allows in a window."""

    slack: float = 0.0
    """Requests in a window."""

    def tolerance(self, tenant: Tenant) -> float:
        """Return how many requests more than the quota allows may be sent in a window.

        >>> QuotaBounds(5.0, 0.1, 20.0).tolerance(Tenant("t", (), None, 16.0, 20.0))
        30.0
        """
        allowed = tenant.rate_per_s * self.window_s + tenant.burst
        return self.overshoot * allowed + self.slack


@attrs.define
class _Account:
    """The bucket of one tenant."""

    tenant: Tenant
    bucket: TokenBucket
    limits_version: int
    """Number of the authority by which the bucket's limits were set."""

    reserved: int = 0
    """Tokens of requests that wait for a place."""


class FleetQuotas:
    """Counts tokens by tenant. ``reserve`` comes first; ``spend`` or ``release`` follows."""

    def __init__(
        self, configuration: ConfigurationHolder, bounds: QuotaBounds, random: Random
    ) -> None:
        self._configuration = configuration
        self._bounds = bounds
        self._random = random
        self._accounts: dict[str, _Account] = {}
        self._is_coordinator = False
        self._share = 0.0
        self._limits_version = 0
        self._role_since = 0.0
        """Since when this node counts in its present role (steady clock, seconds)."""

        self._replicated_levels: dict[str, float] = {}
        self._near_limit_names: frozenset[str] = frozenset()
        self._near_limit_at = float("-inf")
        self._grant_log = GrantLog()
        self._remote_grants = LocalGrantsTracker()

    # --- in which role this node counts ---

    def become_coordinator(self, now: float) -> None:
        """This node counts for the fleet from now on."""
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
        """Another node counts for the fleet."""
        self._is_coordinator = False
        self._role_since = now
        self._accounts = {}
        self._set_fraction(0.0)

    def reset_after_pause(self, now: float) -> None:
        """This process stood still: others may have counted meanwhile."""
        self._role_since = now
        for account in self._accounts.values():
            account.bucket.drain_to(self._unknown_count_level(account.tenant), now)

    def set_fleet_fraction(self, reported: int, nodes: int) -> None:
        """Take the part of the fleet that this node decides for; ``nodes`` is 0 if not known."""
        fraction = min(1.0, reported / nodes) if nodes > 0 else 0.0
        if fraction != self._share:
            self._set_fraction(fraction)

    def _set_fraction(self, fraction: float) -> None:
        self._share = fraction
        self._limits_version += 1

    @property
    def knows_fleet(self) -> bool:
        """Whether this node knows how large its part of the fleet is."""
        return self._share > 0

    # --- one request ---

    def reserve(self, name: str, now: float) -> QuotaVerdict:
        """Take a token for a request, if there is one."""
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
        """A request that had a token is not sent."""
        account = self._account(name, now)
        if account is not None and account.reserved > 0:
            account.reserved -= 1
            self._update_limits(account, now)
            account.bucket.give_back(1.0)

    def spend(self, name: str, now: float) -> None:
        """A request that had a token is sent."""
        account = self._account(name, now)
        if account is None:
            return
        account.reserved = max(0, account.reserved - 1)
        self._update_limits(account, now)
        self._record_grant(name, now)

    def charge(self, name: str, now: float) -> None:
        """A request is sent once more: it is counted, and goes whether there is a token or not."""
        account = self._account(name, now)
        if account is None:
            return
        account.bucket.take_on_credit(now, 1.0)
        self._record_grant(name, now)

    def wait_s(self, name: str, now: float) -> float:
        """Return the time until there is a token."""
        account = self._account(name, now)
        return 0.0 if account is None else account.bucket.wait_s(now)

    def _min_level(self, account: _Account) -> float:
        """Return the level at which a token may be taken.

        A deputy's part may be less than one token; it gives one out with that chance then, and is
        in debt after it.
        """
        if self._is_coordinator or account.bucket.burst >= 1.0:
            return 1.0
        return 1.0 - self._random.random() if account.bucket.burst > 0 else 1.0

    def _record_grant(self, name: str, now: float) -> None:
        if not self._is_coordinator:
            self._grant_log.record(name, now)

    # --- buckets ---

    def _account(self, name: str, now: float) -> _Account | None:
        """Return a tenant's bucket with the limits in force, None where it has no limit."""
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
        """Whether other limits may hold for a bucket; those of deputies also change by time."""
        is_current = account.tenant is tenant and account.limits_version == self._limits_version
        return not (is_current and self._is_coordinator)

    def _open_account(self, tenant: Tenant, now: float) -> _Account:
        """Return a bucket that was not used since this node has its role."""
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
        return role_fraction * self._share * tenant.rate_per_s

    def _depth(self, tenant: Tenant, now: float) -> float:
        if self._is_coordinator:
            return max(1.0, self._share * tenant.bucket_size)
        if tenant.name in self._near_limit_names or now - self._near_limit_at > NEAR_LIMIT_TTL_S:
            return self._share * self._unknown_count_level(tenant)
        return self._share * self._unknown_count_level(tenant) / INDEPENDENT_FLEET_FRACTION

    def _unknown_count_level(self, tenant: Tenant) -> float:
        return UNKNOWN_COUNT_FRACTION * self._bounds.tolerance(tenant)

    # --- what nodes tell each other ---

    def near_limit(self, now: float) -> list[str]:
        """Return the tenants that may be near their limits, sorted."""
        return sorted(
            name
            for name, account in self._accounts.items()
            if not account.bucket.has(now, NEAR_LIMIT_FRACTION * account.tenant.bucket_size)
        )

    def apply_near_limit(self, names: list[str], now: float) -> None:
        """Take what the coordinator told of tenants near their limits."""
        self._near_limit_names = frozenset(names)
        self._near_limit_at = now

    def bucket_levels(self, now: float) -> dict[str, float]:
        """Return the buckets that are not full, for a node that may have to take over."""
        return {
            name: round(account.bucket.level(now), 2)
            for name, account in self._accounts.items()
            if not account.bucket.has(now, account.bucket.burst)
        }

    def apply_bucket_levels(self, levels: dict[str, float]) -> None:
        """Take the coordinator's levels; they hold when this node takes over."""
        self._replicated_levels = levels

    def local_grants(self, now: float) -> LocalGrants | None:
        """Return what this node gave out as a deputy lately; None is nothing."""
        return self._grant_log.report(now)

    def record_local_grants(
        self, node: str, run: str, grants: LocalGrants | None, now: float
    ) -> None:
        """Count what a node gave out itself since it last told."""
        for name, count in self._remote_grants.new_grants(node, run, grants, now).items():
            account = self._account(name, now)
            if account is not None:
                account.bucket.take_on_credit(now, float(count))
