"""Limits the memory that requests use at a replica. A pure policy.

All requests of a replica share one memory, counted in tokens. A replica that runs out of it crashes
with all its requests. A request is therefore placed only where its prompt and its longest possible
output fit beside the longest possible outputs of the work there. Cached prompts do not count, since
replicas evict them by themselves.
"""

import math
from collections.abc import Sequence

from cloverwalk.gateway.configuration import ConfigurationHolder, Service
from cloverwalk.gateway.replicas import Replica
from cloverwalk.scheduling.features import Feature, Features
from cloverwalk.scheduling.replica_load_tracker import ReplicaLoadTracker

RESERVED_MEMORY_FRACTION = 0.02
"""Fraction of the memory that is kept for work which is not reported yet and for allocation in
blocks of several tokens."""


def memory_limit_tokens(service: Service) -> int:
    """Return how many tokens requests may use at a replica; 0 if its memory is unknown."""
    return int(service.memory_tokens * (1 - RESERVED_MEMORY_FRACTION))


class ReplicaMemory:
    """Checks whether work fits into a replica; everything fits while the feature is off."""

    def __init__(
        self,
        configuration: ConfigurationHolder,
        load_tracker: ReplicaLoadTracker,
        features: Features,
    ) -> None:
        self._configuration = configuration
        self._load_tracker = load_tracker
        self._features = features

    def limit_tokens(self, service: str) -> int:
        """Return how many tokens requests may use at a replica of a service; 0 is no limit."""
        current = self._configuration.current
        configured = None if current is None else current.services.get(service)
        if configured is None or not self._features.is_on(Feature.REPLICA_MEMORY):
            return 0
        return memory_limit_tokens(configured)

    def can_ever_fit(self, service: str, tokens: int) -> bool:
        """Whether a request fits into an idle replica of a service."""
        limit_tokens = self.limit_tokens(service)
        return limit_tokens == 0 or tokens <= limit_tokens

    def fits(self, replica: Replica, tokens: int, now: float) -> bool:
        """Whether an item fits into a replica beside its other work.

        Work of unknown length is assumed to fit; the replica refuses it if it does not.
        """
        limit_tokens = self.limit_tokens(replica.service)
        if limit_tokens == 0 or tokens == 0:
            return True
        return self._load_tracker.total(replica.replica_id, now).tokens + tokens <= limit_tokens

    def with_memory_for_online(
        self, replicas: Sequence[Replica], tokens: int, now: float
    ) -> Sequence[Replica]:
        """Return the replicas into which an online request fits when items are preempted."""
        if tokens == 0 or not self._features.is_on(Feature.REPLICA_MEMORY):
            return replicas
        return [replica for replica in replicas if self._online_fits(replica, tokens, now)]

    def _online_fits(self, replica: Replica, tokens: int, now: float) -> bool:
        limit_tokens = self.limit_tokens(replica.service)
        work = self._load_tracker.total(replica.replica_id, now)
        return limit_tokens == 0 or work.tokens - work.batch_tokens + tokens <= limit_tokens

    def items_to_preempt(self, replica: Replica, now: float) -> int:
        """Return how many items to preempt for the remaining work to fit into a replica."""
        work = self._load_tracker.total(replica.replica_id, now)
        limit_tokens = self.limit_tokens(replica.service)
        excess = work.tokens - limit_tokens
        if limit_tokens == 0 or excess <= 0 or work.batch <= 0 or work.batch_tokens <= 0:
            return 0
        return min(work.batch, math.ceil(excess * work.batch / work.batch_tokens))

    def preempted_tokens(self, replica_id: str, items: int, now: float) -> int:
        """Return approximately how many tokens are freed when this many items are preempted."""
        work = self._load_tracker.total(replica_id, now)
        if work.batch <= 0:
            return 0
        return min(work.batch_tokens, items * work.batch_tokens // work.batch)
