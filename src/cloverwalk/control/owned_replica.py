"""One replica as its owner sees it."""

from enum import StrEnum

from msgspec import Struct

from cloverwalk.core.batch_concurrency import BatchConcurrency
from cloverwalk.core.membership import ReplicaReport
from cloverwalk.core.replica_slots import ReplicaSlots
from cloverwalk.core.token_bucket import TokenBucket


class ReplicaState(StrEnum):
    """Where a replica stands at its owner."""

    ADOPTING = "adopting"
    ACTIVE = "active"
    SWITCHING = "switching"
    DRAINING = "draining"


class ModelSwitch(Struct):
    """An order to load another model; it goes to the engine once nothing runs."""

    model: str
    placer: str
    is_sent: bool = False


class OwnedReplica(Struct):
    """One replica this node owns."""

    replica: str
    epoch: int
    state: ReplicaState
    slots: ReplicaSlots
    concurrency: BatchConcurrency
    model: str = ""
    leaving: bool = False
    adopt_at: float = 0.0
    pulling: int = 0
    online_seen_at: float = -1e9
    prefill_beside_online: TokenBucket | None = None
    switch: "ModelSwitch | None" = None

    def report(self) -> ReplicaReport:
        """Return what gossip says of the replica."""
        return ReplicaReport(
            self.replica,
            self.epoch,
            self.model,
            self.slots.slots,
            self.slots.online_count + len(self.slots.queue),
            self.slots.batch_count,
            self.leaving or self.state is not ReplicaState.ACTIVE,
        )
