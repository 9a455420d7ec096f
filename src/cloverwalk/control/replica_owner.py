"""The owner of engine replicas: the only place that starts work on them.

States of a replica here: adopting (the engine is told the epoch; also after it did
not answer) > active > draining,
with active > switching > active for a change of model.
Online work has its own queue and never waits for a batch item to end: when no slot is
free, the youngest batch streams are suspended first. Batch items are pulled from job
owners only into room that the concurrency controller leaves.
"""

from collections.abc import Callable

from cloverwalk.control.batch_filler import BatchFiller
from cloverwalk.control.batch_puller import BatchPuller
from cloverwalk.control.context import Context
from cloverwalk.control.job_cancels import JobCancels
from cloverwalk.control.leases import LeaseKeeper
from cloverwalk.control.owned_replica import ModelSwitch, OwnedReplica, ReplicaState
from cloverwalk.control.table_sync import TableSync
from cloverwalk.core import catalogue
from cloverwalk.core.batch_concurrency import BatchConcurrency, ConcurrencySettings
from cloverwalk.core.collect import Chunk
from cloverwalk.core.constants import CHARS_PER_TOKEN, SUSPENDED_KEEP_S
from cloverwalk.core.events import (
    AdoptEngine,
    EngineAdopted,
    EngineChunk,
    EngineCut,
    EngineLoad,
    EngineRefused,
    EngineStatus,
    LoadModel,
    ModelLoaded,
    QueryEngine,
    StartWork,
    StopWork,
)
from cloverwalk.core.membership import ReplicaReport
from cloverwalk.core.peer_messages import (
    AttemptLost,
    CancelJob,
    CancelWork,
    ChangeModel,
    ChunkMessage,
    ItemDone,
    ItemsHeld,
    LeavingNotice,
    ModelChanged,
    Offer,
    OfferRefused,
    PullReply,
    QueryWork,
    WorkStatus,
)
from cloverwalk.core.policies import POLICIES, SchedulingPolicy
from cloverwalk.core.replica_slots import (
    QueuedOffer,
    ReplicaSlots,
    RunningWork,
    SuspendedItem,
)
from cloverwalk.core.token_bucket import TokenBucket
from cloverwalk.core.types import ItemResult, Outcome, Refusal, Work

ADOPT_RETRY_S = 0.5
HELD_REPORT_S = 1.0
PREFILL_S = 0.0002
"""A generous prefill time of one token, to guess which items are still in prefill."""


class ReplicaOwner:
    """All replicas owned by one node."""

    def __init__(
        self,
        context: Context,
        leases: LeaseKeeper,
        table: TableSync,
        puller: BatchPuller,
        shard_owner: Callable[[str], str | None],
    ) -> None:
        self._context = context
        self._leases = leases
        self._puller = puller
        self._shard_owner = shard_owner
        self._policy: SchedulingPolicy = POLICIES[context.settings.scheduler.policy]
        self._replicas: dict[str, OwnedReplica] = {}
        self._cancels = JobCancels(context)
        self._batch = BatchFiller(
            context, leases, table, puller, self._cancels, self._policy, shard_owner
        )
        self._placer_epochs: dict[str, int] = {}
        self._queries: dict[str, str] = {}
        self._held_report_at = -1e9
        self.leaving_replicas: set[str] = set()

    # --- ownership ---

    def on_held(self, resource: str, epoch: int) -> None:
        """Take over a replica: tell its engine the new epoch first."""
        replica = resource.removeprefix("replica/")
        self._replicas[replica] = OwnedReplica(
            replica,
            epoch,
            ReplicaState.ADOPTING,
            ReplicaSlots(0),
            BatchConcurrency(ConcurrencySettings(), slots=1),
            leaving=replica in self.leaving_replicas,
        )
        self._adopt(self._replicas[replica])

    def _adopt(self, owned: OwnedReplica) -> None:
        owned.adopt_at = self._context.now + ADOPT_RETRY_S
        self._context.emit(AdoptEngine(owned.replica, owned.epoch))

    def on_adopted(self, event: EngineAdopted) -> None:
        """The engine answered: start to serve, or learn that another node owns it."""
        owned = self._replicas.get(event.replica)
        if owned is None or owned.epoch != event.epoch:
            return
        if not event.accepted:
            if event.slots:  # it answered: it knows a higher epoch
                self._leases.lost(f"replica/{event.replica}")
            return
        if owned.state is not ReplicaState.ADOPTING:
            return
        scheduler = self._context.settings.scheduler
        owned.state = ReplicaState.ACTIVE
        owned.model = event.model
        owned.slots.slots = event.slots * self._policy.slots_factor
        settings = ConcurrencySettings(
            step_goal_s=scheduler.step_goal_s,
            reserve_min_slots=scheduler.reserve_min_slots,
            peak_half_life_s=scheduler.peak_half_life_s,
        )
        owned.concurrency = BatchConcurrency(settings, event.slots)
        rate = scheduler.batch_prefill_tokens_per_s_beside_online
        owned.prefill_beside_online = TokenBucket(rate, 1.0, self._context.now)
        self._fill(owned)

    def _engine_lost(self, owned: OwnedReplica) -> None:
        """Take no work for an engine that does not answer, until it takes the epoch again."""
        if owned.state is not ReplicaState.ACTIVE:
            return
        owned.state = ReplicaState.ADOPTING
        owned.adopt_at = self._context.now + ADOPT_RETRY_S
        self._empty_queues(owned, Refusal.UNREACHABLE)

    def on_lost(self, resource: str) -> None:
        """Another node owns the replica; its engine aborts what this node started."""
        owned = self._replicas.pop(resource.removeprefix("replica/"), None)
        if owned is None:
            return
        for running in list(owned.slots.running.values()):
            owned.slots.remove(running.work.request_id, running.work.attempt)
            self._ended_without_answer(owned, running, "lease_lost", "")
        self._empty_queues(owned, Refusal.NOT_OWNER)

    def on_drain(self, resource: str) -> None:
        """Take no new work; the lease is released when nothing runs."""
        owned = self._replicas.get(resource.removeprefix("replica/"))
        if owned is None:
            self._leases.release(resource)
            return
        owned.state = ReplicaState.DRAINING
        self._stop_batch(owned)
        self._batch.return_suspended(owned, older_than_s=-1.0)
        self._release_if_idle(owned)

    def _release_if_idle(self, owned: OwnedReplica) -> None:
        if owned.state is not ReplicaState.DRAINING:
            return
        if owned.slots.running or owned.slots.queue:
            return
        if self._replicas.pop(owned.replica, None) is not None:
            self._leases.release(f"replica/{owned.replica}")

    def _empty_queues(self, owned: OwnedReplica, reason: Refusal) -> None:
        while owned.slots.queue:
            offer = owned.slots.queue.popleft()
            self._refuse(owned.replica, offer.work, offer.reply_to, reason)
        self._batch.return_suspended(owned, older_than_s=-1.0)

    # --- change of model ---

    def on_change_model(self, sender: str, message: ChangeModel) -> None:
        """Empty a replica and have its engine load another model."""
        owned = self._replicas.get(message.replica)
        highest = self._placer_epochs.get(message.zone, 0)
        is_stale = message.placer_epoch < highest
        if is_stale or owned is None or owned.state is not ReplicaState.ACTIVE:
            model = owned.model if owned else ""
            self._context.send(sender, ModelChanged(message.replica, model))
            return
        self._placer_epochs[message.zone] = message.placer_epoch
        owned.state = ReplicaState.SWITCHING
        owned.switch = ModelSwitch(message.model, sender)
        self._stop_batch(owned)
        self._batch.return_suspended(owned, older_than_s=-1.0)
        self._load_if_idle(owned)

    def _load_if_idle(self, owned: OwnedReplica) -> None:
        switch = owned.switch
        if owned.state is not ReplicaState.SWITCHING or switch is None or switch.is_sent:
            return
        if not owned.slots.running and not owned.slots.queue:
            switch.is_sent = True
            self._context.emit(LoadModel(owned.replica, owned.epoch, switch.model))

    def on_model_loaded(self, event: ModelLoaded) -> None:
        """Serve again, with the new model or, if the engine refused, the old one."""
        owned = self._replicas.get(event.replica)
        if owned is None or owned.epoch != event.epoch or owned.switch is None:
            return
        if event.model:
            owned.model = event.model
        self._context.log(catalogue.MODEL_LOADED, replica=event.replica, model=owned.model)
        self._context.send(owned.switch.placer, ModelChanged(event.replica, owned.model))
        owned.switch = None
        if owned.state is ReplicaState.SWITCHING:
            owned.state = ReplicaState.ACTIVE
        self._fill(owned)

    # --- online work ---

    def on_offer(self, sender: str, offer: Offer) -> None:
        """Start online work, queue it for a slot that is being freed, or refuse at once."""
        owned = self._replicas.get(offer.replica)
        reason = self._refusal(owned, offer.work)
        if owned is None or reason is not None:
            self._refuse(offer.replica, offer.work, sender, reason or Refusal.NOT_OWNER)
            return
        owned.slots.queue.append(QueuedOffer(offer.work, sender, self._context.now))
        self._note_online(owned)
        self._fill(owned)

    def _refusal(self, owned: OwnedReplica | None, work: Work) -> Refusal | None:
        if owned is None or owned.state is ReplicaState.ADOPTING:
            return Refusal.NOT_OWNER
        if owned.state is ReplicaState.SWITCHING:
            return Refusal.WRONG_MODEL
        if owned.leaving or owned.state is ReplicaState.DRAINING:
            return Refusal.LEAVING
        if owned.model != work.model:
            return Refusal.WRONG_MODEL
        if work.request_id in owned.slots.running:
            return Refusal.BUSY
        slots = owned.slots
        if not self._policy.preempts:
            return None  # a baseline's callers wait in the one queue there is
        waiting = len(slots.queue)
        can_free = slots.free + slots.batch_count
        if waiting >= can_free + self._context.settings.online.max_queue_per_replica:
            return Refusal.BUSY
        return None

    def _refuse(self, replica: str, work: Work, reply_to: str, reason: Refusal) -> None:
        owned = self._replicas.get(replica)
        online = owned.slots.online_count if owned else 0
        message = OfferRefused(replica, work.request_id, work.attempt, reason, online)
        self._context.send(reply_to, message)

    def _note_online(self, owned: OwnedReplica) -> None:
        online = owned.slots.online_count + len(owned.slots.queue)
        if online:
            owned.online_seen_at = self._context.now
        owned.concurrency.observe_online(online, self._context.now)

    def on_cancel(self, message: CancelWork) -> None:
        """Stop an online attempt."""
        owned = self._replicas.get(message.replica)
        if owned is None:
            return
        for offer in list(owned.slots.queue):
            if (offer.work.request_id, offer.work.attempt) == (
                message.request_id,
                message.attempt,
            ):
                owned.slots.queue.remove(offer)
                return
        running = owned.slots.running.get(message.request_id)
        if running is not None and running.work.attempt == message.attempt:
            self._context.emit(StopWork(owned.replica, message.request_id, message.attempt))

    # --- filling slots ---

    def _fill(self, owned: OwnedReplica) -> None:
        """Give free slots to online work, then to batch; make room for waiting online work."""
        if owned.state is ReplicaState.ADOPTING:
            return
        slots = owned.slots
        while slots.queue and slots.free > 0:
            offer = slots.queue.popleft()
            self._start_online(owned, offer)
        if slots.queue and self._policy.preempts:
            self._suspend(owned, len(slots.queue) - slots.stopping_count)
        elif not slots.queue and owned.state is ReplicaState.ACTIVE:
            self._batch.fill(owned)
        self._load_if_idle(owned)
        self._release_if_idle(owned)

    def _start_online(self, owned: OwnedReplica, offer: QueuedOffer) -> None:
        context = self._context
        waited_s = context.now - offer.queued_at
        context.metrics.queue_time.labels("online").observe(waited_s)
        if self._policy.controls_concurrency:
            self._stop_batch_in_prefill(owned)
        owned.slots.add(RunningWork(offer.work, context.now, reply_to=offer.reply_to))
        self._note_online(owned)
        context.emit(StartWork(owned.replica, owned.epoch, offer.work))

    def _stop_batch_in_prefill(self, owned: OwnedReplica) -> None:
        """Stop items that are probably still in prefill: their steps would be long ones."""
        now = self._context.now
        for running in list(owned.slots.running.values()):
            is_new = running.is_batch and not running.work.resume_text
            tokens = len(running.work.prompt) / CHARS_PER_TOKEN
            if is_new and not running.stopping and now - running.started_at < tokens * PREFILL_S:
                self._stop_batch_stream(owned, running)

    def _suspend(self, owned: OwnedReplica, count: int) -> None:
        for _ in range(count):
            victim = owned.slots.youngest_batch()
            if victim is None:
                return
            self._stop_batch_stream(owned, victim)
            self._context.metrics.count_preemption()
            self._context.log(
                catalogue.BATCH_SUSPENDED, replica=owned.replica, request=victim.work.request_id
            )

    def _stop_batch_stream(self, owned: OwnedReplica, running: RunningWork) -> None:
        owned.slots.mark_stopping(running)
        work = running.work
        self._context.emit(StopWork(owned.replica, work.request_id, work.attempt))

    def _stop_batch(self, owned: OwnedReplica, job_id: str | None = None) -> None:
        for running in list(owned.slots.running.values()):
            if running.is_batch and not running.stopping and job_id in (None, running.job_id):
                self._stop_batch_stream(owned, running)

    # --- batch work ---

    def on_pull_reply(self, sender: str, reply: PullReply) -> None:
        """Start the pulled items; what can't start any more goes back at once."""
        pull = self._puller.accept(sender, reply)
        if pull is None:
            self._batch.give_back(sender, reply.items)
            return
        owned = self._replicas.get(pull.replica)
        if owned is not None:
            owned.pulling -= pull.count
        if owned is None or owned.state is not ReplicaState.ACTIVE or not self._batch.may_start():
            self._batch.give_back(sender, reply.items)
            return
        self._batch.start_pulled(owned, sender, pull.class_key, reply.items)
        self._fill(owned)

    def demand_changed(self) -> None:
        """Look for batch work now: a job owner announced new items."""
        for owned in list(self._replicas.values()):
            self._fill(owned)

    # --- what engines say ---

    def on_chunk(self, event: EngineChunk) -> None:
        """Pass output on; the last chunk frees the slot."""
        owned = self._replicas.get(event.replica)
        if owned is None:
            return
        running = owned.slots.running.get(event.request_id)
        if running is None or running.work.attempt != event.attempt:
            return
        if event.step_s > 0:
            owned.concurrency.observe_step(event.step_s, self._context.now)
        if event.finished:
            owned.slots.remove(event.request_id, event.attempt)
        if running.is_batch:
            if event.finished:
                self._item_done(running, event)
        else:
            total = event.first + event.tokens if event.finished else None
            chunk = Chunk(
                event.request_id, event.attempt, event.first, event.tokens, event.text, total
            )
            self._context.send(running.reply_to, ChunkMessage(chunk))
        if event.finished:
            self._after_end(owned)

    def _item_done(self, running: RunningWork, event: EngineChunk) -> None:
        custom_id = running.item.custom_id if running.item else ""
        text = running.work.resume_text + event.text
        tokens = event.first + event.tokens
        result = ItemResult(running.index, custom_id, Outcome.COMPLETED, text, tokens)
        owner = self._shard_owner(running.job_id)
        if owner is not None:
            self._context.send(owner, ItemDone(running.job_id, running.index, result))

    def on_refused(self, event: EngineRefused) -> None:
        """The engine did not start the work; say so truthfully."""
        owned = self._replicas.get(event.replica)
        if owned is None:
            return
        running = owned.slots.remove(event.request_id, event.attempt)
        reason = _refusal_of(event.reason)
        if reason is Refusal.LEAVING:
            self.note_leaving(event.replica)
        elif reason is Refusal.WRONG_MODEL and owned.state is ReplicaState.ACTIVE:
            owned.state = ReplicaState.ADOPTING  # asks the engine what it holds
        elif reason is Refusal.UNREACHABLE:
            self._engine_lost(owned)
        if running is not None:
            self._refused_by_engine(owned, running, reason)
        if reason is Refusal.STALE_EPOCH:
            self._leases.lost(f"replica/{event.replica}")
            return
        self._after_end(owned)

    def _refused_by_engine(
        self, owned: OwnedReplica, running: RunningWork, reason: Refusal
    ) -> None:
        if running.is_batch:
            self._batch.return_item(running.job_id, running.index, running.work.resume_text)
        else:
            self._refuse(owned.replica, running.work, running.reply_to, reason)

    def on_cut(self, event: EngineCut) -> None:
        """A stream ended early; a suspended item is kept here for a while."""
        owned = self._replicas.get(event.replica)
        if owned is None:
            return
        running = owned.slots.remove(event.request_id, event.attempt)
        if running is None:
            return
        if event.reason == "lost":
            self._engine_lost(owned)
        self._ended_without_answer(owned, running, event.reason, event.text)
        self._after_end(owned)

    def _ended_without_answer(
        self, owned: OwnedReplica, running: RunningWork, reason: str, text: str
    ) -> None:
        work = running.work
        if not running.is_batch:
            message = AttemptLost(work.request_id, work.attempt, reason)
            self._context.send(running.reply_to, message)
            return
        resume_text = text or work.resume_text
        if running.job_id in self._cancels:
            return
        keeps = owned.state is ReplicaState.ACTIVE and not owned.leaving
        if reason == "cancelled" and keeps and running.item is not None:
            owned.slots.suspended.append(
                SuspendedItem(
                    running.job_id,
                    running.index,
                    running.item,
                    resume_text,
                    self._context.now,
                    owned.model,
                )
            )
            return
        self._batch.return_item(running.job_id, running.index, resume_text)

    def _after_end(self, owned: OwnedReplica) -> None:
        self._note_online(owned)
        self._confirm_cancels()
        self._fill(owned)

    def on_load(self, event: EngineLoad) -> None:
        """Take a lagging load report: only its step time and leaving sign are used."""
        if event.leaving:
            self.note_leaving(event.replica)
        owned = self._replicas.get(event.replica)
        if owned is not None and event.step_s > 0:
            owned.concurrency.observe_step(event.step_s, self._context.now)

    def note_leaving(self, replica: str) -> None:
        """Start nothing more on a replica, and pass the first sign on."""
        if replica in self.leaving_replicas:
            return
        self.leaving_replicas.add(replica)
        self._context.log(catalogue.REPLICA_LEAVING, replica=replica)
        for node in self._context.live_node_names():
            if node != self._context.node_id:
                self._context.send(node, LeavingNotice(replica))
        owned = self._replicas.get(replica)
        if owned is not None:
            owned.leaving = True
            self._empty_queues(owned, Refusal.LEAVING)

    def note_returned(self, replica: str) -> None:
        """Use a replica again that had left and is a new machine now."""
        self.leaving_replicas.discard(replica)
        owned = self._replicas.get(replica)
        if owned is not None:
            owned.leaving = False

    # --- cancelled jobs ---

    def on_cancel_job(self, message: CancelJob) -> None:
        """Stop a job's items; it is confirmed when none runs on this node's replicas."""
        self._cancels.add(message)
        for owned in self._replicas.values():
            self._stop_batch(owned, message.job_id)
            kept = [one for one in owned.slots.suspended if one.job_id != message.job_id]
            owned.slots.suspended.clear()
            owned.slots.suspended.extend(kept)
        self._confirm_cancels()

    def _confirm_cancels(self) -> None:
        if not self._cancels.is_waiting:
            return
        running_jobs = {
            running.job_id
            for owned in self._replicas.values()
            for running in owned.slots.running.values()
            if running.is_batch
        }
        is_ready = [
            one for one in self._replicas.values() if one.state is not ReplicaState.ADOPTING
        ]
        self._cancels.confirm(running_jobs, [owned.replica for owned in is_ready])

    # --- queries ---

    def on_query(self, sender: str, message: QueryWork) -> None:
        """Ask the engine what became of a request."""
        if message.replica not in self._replicas:
            reply = WorkStatus(message.request_id, message.token, "unreachable")
            self._context.send(sender, reply)
            return
        self._queries[message.token] = sender
        self._context.emit(QueryEngine(message.replica, message.request_id, message.token))

    def on_status(self, event: EngineStatus) -> None:
        """Pass the engine's answer on."""
        sender = self._queries.pop(event.token, None)
        if sender is not None:
            status = WorkStatus(
                event.request_id, event.token, event.state, event.text, event.tokens
            )
            self._context.send(sender, status)

    # --- time ---

    def tick(self) -> None:
        """Retry adoption, expire pulls, return suspended items, report what is held."""
        now = self._context.now
        self._expire_pulls()
        for owned in list(self._replicas.values()):
            if owned.state is ReplicaState.ADOPTING and now >= owned.adopt_at:
                self._adopt(owned)
            self._batch.return_suspended(owned, SUSPENDED_KEEP_S)
            self._note_online(owned)
            self._fill(owned)
        if now - self._held_report_at >= HELD_REPORT_S:
            self._held_report_at = now
            self._report_held()

    def _expire_pulls(self) -> None:
        for pull in self._puller.expire():
            owned = self._replicas.get(pull.replica)
            if owned is not None:
                owned.pulling -= pull.count

    def _report_held(self) -> None:
        by_job: dict[str, list[int]] = {}
        for owned in self._replicas.values():
            for running in owned.slots.running.values():
                if running.is_batch:
                    by_job.setdefault(running.job_id, []).append(running.index)
            for suspended in owned.slots.suspended:
                by_job.setdefault(suspended.job_id, []).append(suspended.index)
        for job_id, indexes in by_job.items():
            owner = self._shard_owner(job_id)
            if owner is not None:
                self._context.send(owner, ItemsHeld(job_id, indexes))

    # --- reports ---

    @property
    def is_idle(self) -> bool:
        """Whether nothing runs and no replica is owned."""
        return not self._replicas

    @property
    def owned(self) -> dict[str, OwnedReplica]:
        """The owned replicas by name."""
        return self._replicas

    def reports(self) -> list[ReplicaReport]:
        """Return what gossip says of the owned replicas."""
        return [owned.report() for owned in self._replicas.values()]


def _refusal_of(reason: str) -> Refusal:
    try:
        return Refusal(reason)
    except ValueError:
        return Refusal.BUSY
