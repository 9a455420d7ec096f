"""Scheduling policies of a replica: the default and the baselines for comparison."""

from msgspec import Struct

from cloverwalk.core.hashing import rendezvous_score


class SchedulingPolicy(Struct, frozen=True):
    """Which scheduling features a replica owner uses."""

    name: str
    runs_online: bool = True
    runs_batch: bool = True
    preempts: bool = True  # online work suspends batch streams when there is no slot
    controls_concurrency: bool = True  # limits batch by observed step times, with reserved slots
    uses_priority: bool = True  # online work has a higher priority at the engine
    slots_factor: int = 1  # above 1 the engine's own queue is filled as well
    packs_online: bool = True  # online work is packed on few replicas
    batch_share: float | None = None  # fraction of replicas for batch; the rest runs online work


def takes_batch(policy: SchedulingPolicy, replica: str) -> bool:
    """Return whether a replica is in the part of the fleet that runs batch work."""
    if policy.batch_share is None:
        return policy.runs_batch
    return rendezvous_score("partition", replica) % 1000 < policy.batch_share * 1000


def takes_online(policy: SchedulingPolicy, replica: str) -> bool:
    """Return whether a replica is in the part of the fleet that runs online work."""
    return policy.batch_share is None or not takes_batch(policy, replica)


POLICIES: dict[str, SchedulingPolicy] = {
    policy.name: policy
    for policy in (
        SchedulingPolicy("cloverwalk"),
        SchedulingPolicy("online-only", runs_batch=False, packs_online=False),
        SchedulingPolicy(
            "batch-only",
            runs_online=False,
            controls_concurrency=False,
            packs_online=False,
            slots_factor=2,
        ),
        SchedulingPolicy(
            "fifo",
            preempts=False,
            controls_concurrency=False,
            packs_online=False,
            uses_priority=False,
            slots_factor=2,
        ),
        SchedulingPolicy(
            "static-partition",
            preempts=False,
            controls_concurrency=False,
            packs_online=False,
            batch_share=0.5,
        ),
        SchedulingPolicy(
            "priority-only",
            preempts=False,
            controls_concurrency=False,
            packs_online=False,
            slots_factor=2,
        ),
    )
}
