"""Batch work on the replicas of one node: how much room it gets, what starts, what goes back.

The concurrency controller leaves the room; new items are held back beside online work, since
their prefill lengthens a step for every stream of the replica.
"""

from collections.abc import Callable

from cloverwalk.control.batch_puller import BatchPuller, ClassKey
from cloverwalk.control.context import Context
from cloverwalk.control.job_cancels import JobCancels
from cloverwalk.control.leases import LeaseKeeper
from cloverwalk.control.owned_replica import OwnedReplica
from cloverwalk.control.table_sync import TableSync
from cloverwalk.core.constants import CHARS_PER_TOKEN
from cloverwalk.core.events import StartWork
from cloverwalk.core.peer_messages import ItemReturned, PulledItem
from cloverwalk.core.policies import SchedulingPolicy, takes_batch
from cloverwalk.core.replica_slots import RunningWork, SuspendedItem
from cloverwalk.core.types import Priority, Work


class BatchFiller:
    """Fills free slots of owned replicas with batch items."""

    def __init__(
        self,
        context: Context,
        leases: LeaseKeeper,
        table: TableSync,
        puller: BatchPuller,
        cancels: JobCancels,
        policy: SchedulingPolicy,
        shard_owner: Callable[[str], str | None],
    ) -> None:
        self._context = context
        self._leases = leases
        self._table = table
        self._puller = puller
        self._cancels = cancels
        self._policy = policy
        self._shard_owner = shard_owner
        self._online_quiet_s = context.settings.scheduler.online_quiet_s
        self._short_prompt_tokens = context.settings.scheduler.short_prompt_tokens
        self._attempt_count = 0

    def may_start(self) -> bool:
        """Whether this node may start batch work at all."""
        return self._policy.runs_batch and self._leases.is_valid and not self._table.is_stale

    def _batch_room(self, owned: OwnedReplica) -> int:
        slots = owned.slots
        if not takes_batch(self._policy, owned.replica):
            return 0
        if self._policy.controls_concurrency:
            online = slots.online_count + len(slots.queue)
            allowed = owned.concurrency.allowed(online)
        else:
            allowed = slots.slots - slots.online_count
        return min(slots.free, allowed - slots.batch_count) - owned.pulling

    def fill(self, owned: OwnedReplica) -> None:
        """Resume suspended items, then pull new ones, into the room that there is."""
        if owned.leaving:
            return
        if not self.may_start():
            return
        room = self._batch_room(owned)
        while room > 0 and owned.slots.suspended:
            suspended = owned.slots.suspended.popleft()
            if not suspended.resume_text and self._starts_allowed(owned) == 0:
                self.return_item(suspended.job_id, suspended.index, "")
                continue
            self._resume(owned, suspended)
            room -= 1
        room = min(room, self._starts_allowed(owned))
        if room > 0:
            longest = float("inf") if self._is_alone(owned) else self._short_prompt_tokens
            owned.pulling += self._puller.pull(owned.replica, owned.model, room, longest)

    def _is_alone(self, owned: OwnedReplica) -> bool:
        """Return whether batch work has the replica to itself, or need not care."""
        if not self._policy.controls_concurrency:
            return True
        return self._context.now - owned.online_seen_at > self._online_quiet_s

    def _starts_allowed(self, owned: OwnedReplica) -> int:
        """Return how many new items may start now without hurting online streams.

        An item's prefill lengthens a step for every stream on the replica; beside online
        work such steps must stay rare. A resumed item's prompt is still in the cache.
        """
        bucket = owned.prefill_beside_online
        if bucket is None or self._is_alone(owned):
            return 1 << 30
        return 1 if bucket.wait_s(self._context.now) == 0.0 else 0

    def _resume(self, owned: OwnedReplica, suspended: SuspendedItem) -> None:
        pulled = PulledItem(
            suspended.job_id, suspended.index, suspended.item, suspended.resume_text
        )
        self._start_item(owned, pulled)

    def _start_item(self, owned: OwnedReplica, pulled: PulledItem) -> None:
        self._attempt_count += 1
        work = Work(
            request_id=f"{pulled.job_id}/{pulled.index}",
            attempt=owned.epoch * 1_000_000 + self._attempt_count % 1_000_000,
            model=owned.model,
            prompt=pulled.item.prompt,
            max_tokens=pulled.item.max_tokens,
            priority=Priority.BATCH if self._policy.uses_priority else Priority.ONLINE,
            resume_text=pulled.resume_text,
            stream=False,
        )
        running = RunningWork(work, self._context.now, "", pulled.job_id, pulled.index, pulled.item)
        owned.slots.add(running)
        self._context.emit(StartWork(owned.replica, owned.epoch, work))

    def start_pulled(
        self, owned: OwnedReplica, sender: str, key: ClassKey, items: list[PulledItem]
    ) -> None:
        """Start pulled items; what can't start any more goes back."""
        refused = []
        for pulled in items:
            if f"{pulled.job_id}/{pulled.index}" in owned.slots.running:
                continue  # the job owner had taken it for lost; now it knows better
            if pulled.job_id in self._cancels or owned.slots.free <= 0:
                refused.append(pulled)
                continue
            self._start_item(owned, pulled)
            if owned.prefill_beside_online is not None:
                tokens = len(pulled.item.prompt) / CHARS_PER_TOKEN
                owned.prefill_beside_online.take_on_credit(self._context.now, tokens)
            self._puller.charge(key, float(pulled.item.max_tokens))
        if refused:
            # Without a pause the job owner would hand the same items out at once again.
            self._puller.pause(sender, key)
        self.give_back(sender, refused)

    def give_back(self, node: str, items: list[PulledItem]) -> None:
        """Return items to the node that handed them out."""
        for pulled in items:
            message = ItemReturned(pulled.job_id, pulled.index, pulled.resume_text)
            self._context.send(node, message)

    def return_suspended(self, owned: OwnedReplica, older_than_s: float) -> None:
        """Return items that were suspended for longer than ``older_than_s``."""
        now = self._context.now
        for suspended in list(owned.slots.suspended):
            if now - suspended.suspended_at > older_than_s:
                owned.slots.suspended.remove(suspended)
                self.return_item(suspended.job_id, suspended.index, suspended.resume_text)

    def return_item(self, job_id: str, index: int, resume_text: str) -> None:
        """Return one item to the owner of its job."""
        owner = self._shard_owner(job_id)
        if owner is not None:
            self._context.send(owner, ItemReturned(job_id, index, resume_text))
