"""What requests may take of a replica's memory, against its size. Figures in, decisions out.

A replica runs its requests in one memory, counted in tokens. One that holds more than fits falls
over, and all its requests with it. So a request is placed only where its prompt and the most that
may come out fit beside what runs there at its most: memory then never runs out by what was sent,
however long answers grow. Prompts that are only kept there give way by themselves and don't count.
"""

import math
from collections.abc import Sequence

from cloverwalk.gateway.configuration import ConfigurationHolder, Service
from cloverwalk.gateway.replicas import Replica
from cloverwalk.scheduling.features import Feature, Features
from cloverwalk.scheduling.replica_load_tracker import ReplicaLoadTracker

RESERVED_MEMORY_FRACTION = 0.02
"""Share of the memory that is left for what the count can't know: a node's work that is not
reported yet, and replicas' allocation in blocks of some tokens."""


def memory_limit_tokens(service: Service) -> int:
    """Return what requests may take at a replica of a service; 0: nothing is told of it."""
    return int(service.memory_tokens * (1 - RESERVED_MEMORY_FRACTION))


class ReplicaMemory:
    """Tells where a request fits; everywhere, while nobody says that memory is scarce."""

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
        """Return what requests may take at a replica of a service; 0 is no limit."""
        current = self._configuration.current
        configured = None if current is None else current.services.get(service)
        if configured is None or not self._features.is_on(Feature.REPLICA_MEMORY):
            return 0
        return memory_limit_tokens(configured)

    def can_ever_fit(self, service: str, tokens: int) -> bool:
        """Whether a request fits into an empty replica of a service."""
        limit_tokens = self.limit_tokens(service)
        return limit_tokens == 0 or tokens <= limit_tokens

    def fits(self, replica: Replica, tokens: int, now: float) -> bool:
        """Whether an item fits into a replica beside all that is there.

        Work whose caller did not tell its length is taken to fit: its replica refuses it where it
        does not.
        """
        limit_tokens = self.limit_tokens(replica.service)
        if limit_tokens == 0 or tokens == 0:
            return True
        return self._load_tracker.total(replica.replica_id, now).tokens + tokens <= limit_tokens

    def with_memory_for_online(
        self, replicas: Sequence[Replica], tokens: int, now: float
    ) -> Sequence[Replica]:
        """Return the replicas into which an online request fits; items there give way to it."""
        if tokens == 0 or not self._features.is_on(Feature.REPLICA_MEMORY):
            return replicas
        return [replica for replica in replicas if self._online_fits(replica, tokens, now)]

    def _online_fits(self, replica: Replica, tokens: int, now: float) -> bool:
        limit_tokens = self.limit_tokens(replica.service)
        work = self._load_tracker.total(replica.replica_id, now)
        return limit_tokens == 0 or work.tokens - work.batch_tokens + tokens <= limit_tokens

    def items_to_preempt(self, replica: Replica, now: float) -> int:
        """Return how many items have to give way for the rest to fit into a replica."""
        work = self._load_tracker.total(replica.replica_id, now)
        limit_tokens = self.limit_tokens(replica.service)
        excess = work.tokens - limit_tokens
        if limit_tokens == 0 or excess <= 0 or work.batch <= 0 or work.batch_tokens <= 0:
            return 0
        return min(work.batch, math.ceil(excess * work.batch / work.batch_tokens))

    def preempted_tokens(self, replica_id: str, items: int, now: float) -> int:
        """Return about how much memory comes free when so many items give way."""
        work = self._load_tracker.total(replica_id, now)
        if work.batch <= 0:
            return 0
        return min(work.batch_tokens, items * work.batch_tokens // work.batch)
