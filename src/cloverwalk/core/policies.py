"""Scheduling policies of a replica: the product's own and the baselines it is measured by."""

from msgspec import Struct


class SchedulingPolicy(Struct, frozen=True):
    """What a replica owner may do; the mechanism is the same for all policies."""

    name: str
    runs_online: bool = True
    runs_batch: bool = True
    preempts: bool = True  # online work suspends batch streams when there is no slot
    controls_concurrency: bool = True  # batch follows observed step times, with a reserve
    uses_priority: bool = True  # online work has a higher priority at the engine
    shared_queue: bool = False  # one queue, first come first served
    batch_share: float | None = None  # part of the replicas given to batch, the rest to online


POLICIES: dict[str, SchedulingPolicy] = {
    policy.name: policy
    for policy in (
        SchedulingPolicy("cloverwalk"),
        SchedulingPolicy("online-only", runs_batch=False),
        SchedulingPolicy("batch-only", runs_online=False, controls_concurrency=False),
        SchedulingPolicy(
            "fifo",
            preempts=False,
            controls_concurrency=False,
            uses_priority=False,
            shared_queue=True,
        ),
        SchedulingPolicy(
            "static-partition", preempts=False, controls_concurrency=False, batch_share=0.5
        ),
        SchedulingPolicy("priority-only", preempts=False, controls_concurrency=False),
    )
}
