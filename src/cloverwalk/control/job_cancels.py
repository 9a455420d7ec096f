"""Cancelled jobs at a replica owner: remembered, and confirmed once nothing of them runs."""

from collections import OrderedDict

from msgspec import Struct, structs

from cloverwalk.control.context import Context
from cloverwalk.core.peer_messages import CancelJob, CancelJobAck

REMEMBERED_CANCELS = 10_000


class _Barrier(Struct, frozen=True):
    job_id: str
    coordinator: str


class JobCancels:
    """What a node knows of cancelled jobs."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._cancelled: OrderedDict[str, None] = OrderedDict()
        self._barriers: dict[str, _Barrier] = {}

    def __contains__(self, job_id: str) -> bool:
        return job_id in self._cancelled

    def add(self, message: CancelJob) -> None:
        """Remember a cancel, and pass it on in the zone where that is asked for."""
        context = self._context
        self._cancelled[message.job_id] = None
        if len(self._cancelled) > REMEMBERED_CANCELS:
            self._cancelled.popitem(last=False)
        if message.coordinator != context.node_id:
            context.note_address(message.coordinator, message.coordinator_address)
        self._barriers[message.barrier_id] = _Barrier(message.job_id, message.coordinator)
        if message.relay:
            for node in context.live_node_names(context.zone):
                if node not in (context.node_id, message.coordinator):
                    context.send(node, structs.replace(message, relay=False))

    @property
    def is_waiting(self) -> bool:
        """Whether a cancel has not been confirmed yet."""
        return bool(self._barriers)

    def confirm(self, running_jobs: set[str], replicas: list[str]) -> None:
        """Confirm the cancels of jobs that do not run here any more."""
        for barrier_id, barrier in list(self._barriers.items()):
            if barrier.job_id not in running_jobs:
                del self._barriers[barrier_id]
                message = CancelJobAck(barrier.job_id, barrier_id, replicas)
                self._context.send(barrier.coordinator, message)
