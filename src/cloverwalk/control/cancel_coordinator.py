"""The confirming of a cancelled job by the owner of every replica.

A committed cancel stops the job's owner from handing out items, but items that were handed
out may still start. So a cancel is acknowledged only when the owner of every replica on the
machine list has said that none of the job's items runs or will start there.
"""

from msgspec import Struct

from cloverwalk.control.context import Context
from cloverwalk.control.machine_directory import MachineDirectory
from cloverwalk.core import catalogue
from cloverwalk.core.constants import CANCEL_REPLY_S
from cloverwalk.core.peer_messages import CancelJob, CancelJobAck, JobCancelReply
from cloverwalk.core.types import JobState, Machine

RESEND_S = 0.5
CANCELLING = "cancelling"


class _Barrier(Struct):
    job_id: str
    barrier_id: str
    requester: str
    token: str
    started_at: float
    sent_at: float
    acked: set[str]
    replicas: set[str] | None = None  # all of the fleet, once they are listed
    answered: bool = False


class CancelCoordinator:
    """Cancels that this node, as the owner of the jobs' shards, has committed."""

    def __init__(self, context: Context, machines: MachineDirectory) -> None:
        self._context = context
        self._machines = machines
        self._barriers: dict[str, _Barrier] = {}

    def begin(self, job_id: str, requester: str, token: str) -> None:
        """Ask every replica owner; answer the requester when all have confirmed."""
        now = self._context.now
        barrier = _Barrier(job_id, self._context.new_id(), requester, token, now, now, set())
        self._barriers[barrier.barrier_id] = barrier
        self._machines.list_all(lambda machines: self._on_listed(barrier, machines))
        self._send(barrier)

    def _on_listed(self, barrier: _Barrier, machines: list[Machine] | None) -> None:
        if machines is not None:
            barrier.replicas = {machine.machine_id for machine in machines}
            self._end_if_confirmed(barrier)

    def _send(self, barrier: _Barrier) -> None:
        context = self._context
        barrier.sent_at = context.now
        for digest in context.membership.live(context.now):
            context.send(digest.node, self._message(barrier, digest.zone != context.zone))
        context.send(context.node_id, self._message(barrier, relay=False))

    def _message(self, barrier: _Barrier, relay: bool) -> CancelJob:
        context = self._context
        return CancelJob(
            barrier.job_id, barrier.barrier_id, context.node_id, context.address, relay
        )

    def on_ack(self, message: CancelJobAck) -> None:
        """Count a confirmation."""
        barrier = self._barriers.get(message.barrier_id)
        if barrier is not None:
            barrier.acked.update(message.replicas)
            self._end_if_confirmed(barrier)

    def _end_if_confirmed(self, barrier: _Barrier) -> None:
        if barrier.replicas is not None and barrier.replicas <= barrier.acked:
            self._barriers.pop(barrier.barrier_id, None)
            self._context.log(catalogue.JOB_CANCELLED, job=barrier.job_id)
            self._answer(barrier, JobState.CANCELLED.value)

    def _answer(self, barrier: _Barrier, state: str) -> None:
        if not barrier.answered:
            barrier.answered = True
            self._context.send(barrier.requester, JobCancelReply(barrier.token, state))

    def tick(self) -> None:
        """Ask again, and tell a caller who has waited long that it is under way."""
        now = self._context.now
        for barrier in list(self._barriers.values()):
            if now - barrier.sent_at >= RESEND_S:
                self._send(barrier)
            if now - barrier.started_at >= CANCEL_REPLY_S:
                self._answer(barrier, CANCELLING)
