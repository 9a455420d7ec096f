"""Warm-up tokens, as needed to place requests."""

from collections.abc import Iterable

from cloverwalk.core.warmup_limit import GrantLease, NoLease, WarmupBounds, WarmupLimits
from cloverwalk.gateway.replicas import Replica
from cloverwalk.gateway.warmups import COORDINATOR_MARGIN_S, Warmups
from cloverwalk.scheduling.features import Feature, Features


class WarmupTokens:
    """Grants tokens for requests to replicas that are warming up, while the lease allows it."""

    def __init__(self, warmups: Warmups | None, bounds: WarmupBounds, features: Features) -> None:
        self._warmups = warmups
        self._features = features
        self._limits = WarmupLimits(bounds, NoLease())

    def use_lease(self, lease: GrantLease) -> None:
        """Grant tokens while ``lease`` allows it."""
        self._limits = WarmupLimits(self._limits.bounds, lease)

    @property
    def granted(self) -> int:
        """Number of tokens granted since the start."""
        return self._limits.granted

    @property
    def may_be_needed(self) -> bool:
        """Whether any replica may be warming up under a limit."""
        if self._warmups is None or self._warmups.is_empty:
            return False
        return self._features.is_on(Feature.WARMUP_LIMITS)

    def is_warming(self, replica: Replica, now: float) -> bool:
        """Whether requests to a replica need a token."""
        if self._warmups is None or not self.may_be_needed:
            return False
        return self._warmups.is_warming(replica, now, COORDINATOR_MARGIN_S)

    def may_place(self, replica: Replica, now: float) -> bool:
        """Whether a request may be placed at a replica: it needs no token, or one is available."""
        if self._warmups is None or not self.is_warming(replica, now):
            return True
        return self._limits.has_token(replica.replica_id, self._warmups.rate_per_s(replica), now)

    def tick(self, now: float) -> None:
        """Keep the limits of replicas that are warming up, so that tokens accrue in advance."""
        if self._warmups is None or not self.may_be_needed:
            return
        for replica in self._warmups.limited(now):
            self.may_place(replica, now)

    def take(self, replica: Replica, now: float) -> bool:
        """Take a token if the replica is warming up and has one; return whether one was taken."""
        if self._warmups is None or not self.is_warming(replica, now):
            return False
        return self._limits.take(replica.replica_id, self._warmups.rate_per_s(replica), now)

    def wait_s(self, replicas: Iterable[Replica], queued: int, now: float) -> float:
        """Return the expected wait for a token behind ``queued`` requests; infinite if unknown."""
        warming = [replica for replica in replicas if self.is_warming(replica, now)]
        if self._warmups is None or not warming:
            return float("inf")
        waits_s = [
            self._limits.wait_s(replica.replica_id, self._warmups.rate_per_s(replica), now)
            for replica in warming
        ]
        rate_per_s = sum(self._warmups.rate_per_s(replica) for replica in warming)
        return min(waits_s) + queued / rate_per_s

    def remaining_ms(self, now: float) -> dict[str, int]:
        """Return the remaining warm-up time by replica, for standbys and metrics."""
        if self._warmups is None or not self.may_be_needed:
            return {}
        return self._warmups.remaining_ms(now)

    def apply_remaining(self, remaining_ms: dict[str, int], now: float) -> None:
        """Apply the remaining times that the coordinator sent."""
        if self._warmups is not None:
            self._warmups.apply_remaining(remaining_ms, now)
