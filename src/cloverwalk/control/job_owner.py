"""The owner of job shards: hands out items, commits results in segments, cancels jobs.

Only the holder of a shard's lease writes its job rows; every write checks the lease row, so
a deposed owner's segment is refused. A takeover rebuilds the done items from the committed
segments: whatever was not committed runs again, and only the first commit counts.
"""

from collections.abc import Callable

from msgspec import Struct, json, structs

from cloverwalk.control.cancel_coordinator import CancelCoordinator
from cloverwalk.control.context import Context
from cloverwalk.control.leases import LeaseKeeper, lease_key
from cloverwalk.control.store_port import StorePort, encode
from cloverwalk.core import catalogue
from cloverwalk.core.batch_job import BatchJob
from cloverwalk.core.constants import CHARS_PER_TOKEN, COMMIT_TIMEOUT_S, STORE_RETRY_S
from cloverwalk.core.membership import DemandReport
from cloverwalk.core.peer_messages import (
    ItemDone,
    ItemReturned,
    ItemsHeld,
    JobCancelReply,
    JobCancelRequest,
    JobChanged,
    Pull,
    PulledItem,
    PullReply,
)
from cloverwalk.core.store_types import (
    Check,
    CommitReply,
    CommitStatus,
    ObjectReply,
    Put,
    ReadReply,
    Row,
)
from cloverwalk.core.types import BatchItem, ItemResult, JobRow, JobState, SegmentRow

UNCONFIRMED_GRACE_S = 5.0
URGENT_SLACK_S = 30.0
SPEED_HALF_LIFE_S = 10.0


def shard_of(job_id: str) -> str:
    """Return the shard resource of a job; its id begins with zone and shard number.

    >>> shard_of("levee.3.0123abcd")
    'shard/levee/3'
    """
    zone, number, _ = job_id.split(".", 2)
    return f"shard/{zone}/{number}"


def job_key(job_id: str) -> str:
    """Return the row key of a job."""
    zone, number, _ = job_id.split(".", 2)
    return f"job/{zone}/{number}/{job_id}"


def part_name(job_id: str, part: int) -> str:
    """Return the object name of a part of a job's manifest."""
    return f"manifest/{job_id}/{part}"


def segment_prefix(job_id: str) -> str:
    """Return the row prefix of a job's segments."""
    return f"segment/{job_id}/"


class _Flush(Struct):
    """One segment on its way to the store; the same transaction is tried to the end."""

    op_id: str
    object_name: str
    results: list[ItemResult]
    checks: list[Check]
    puts: list[Put]
    row: JobRow
    stored: bool = False
    retry_at: float | None = None


class OwnedJob(Struct):
    """A job in work here."""

    job: BatchJob
    row_version: int
    segment_number: int
    oldest_finished_at: float | None = None
    flush: _Flush | None = None
    items_per_s: float = 0.0
    counted_at: float = 0.0
    counted_done: int = 0
    is_late: bool = False
    is_urgent: bool = False


class JobOwner:
    """All job shards owned by one node."""

    def __init__(
        self,
        context: Context,
        store: StorePort,
        leases: LeaseKeeper,
        cancels: CancelCoordinator,
        announce: Callable[[], None],
    ) -> None:
        self._context = context
        self._store = store
        self._leases = leases
        self._cancels = cancels
        self._announce = announce
        self._shards: dict[str, int] = {}
        self._draining: set[str] = set()
        self._jobs: dict[str, OwnedJob] = {}
        self._loading: set[str] = set()
        self._rescanned_at = -1e9

    # --- shards ---

    def on_held(self, resource: str, epoch: int) -> None:
        """Take over a shard: load its jobs."""
        self._shards[resource] = epoch
        self._scan(resource)

    def on_lost(self, resource: str) -> None:
        """Forget a shard; its new owner works from what is committed."""
        self._shards.pop(resource, None)
        self._draining.discard(resource)
        for job_id in [one for one in self._jobs if shard_of(one) == resource]:
            del self._jobs[job_id]

    def on_drain(self, resource: str) -> None:
        """Hand out no more items; release when all results are committed."""
        self._draining.add(resource)
        self._release_if_flushed(resource)

    def _release_if_flushed(self, resource: str) -> None:
        jobs = [one for job_id, one in self._jobs.items() if shard_of(job_id) == resource]
        if any(owned.job.finished or owned.flush for owned in jobs):
            return
        self.on_lost(resource)
        self._leases.release(resource)

    def _scan(self, resource: str) -> None:
        prefix = "job/" + resource.removeprefix("shard/") + "/"
        self._store.read(prefix, lambda reply: self._on_scanned(resource, reply))

    def _on_scanned(self, resource: str, reply: ReadReply) -> None:
        if not reply.available or resource not in self._shards:
            return
        for row in reply.rows:
            self._take_row(row)

    def _take_row(self, row: Row) -> None:
        job = json.decode(row.value, type=JobRow)
        known = self._jobs.get(job.job_id)
        if job.state is not JobState.RUNNING:
            if known is not None:
                del self._jobs[job.job_id]
        elif known is None and job.job_id not in self._loading:
            self._load(job, row.version)

    def _load(self, row: JobRow, version: int) -> None:
        self._loading.add(row.job_id)
        self._store.read(
            segment_prefix(row.job_id),
            lambda reply: self._on_segments(row, version, reply),
        )

    def _on_segments(self, row: JobRow, version: int, reply: ReadReply) -> None:
        self._loading.discard(row.job_id)
        if not reply.available or shard_of(row.job_id) not in self._shards:
            return
        segments = [json.decode(one.value, type=SegmentRow) for one in reply.rows]
        done = [index for segment in segments for index in segment.indexes]
        if len(done) != row.done_count:
            return  # a segment was committed between the two reads; the next scan loads it
        job = BatchJob(row, done)
        now = self._context.now
        self._jobs[row.job_id] = OwnedJob(
            job, version, len(segments), counted_at=now, counted_done=job.done_count
        )
        self._load_part(row.job_id)

    def _load_part(self, job_id: str) -> None:
        owned = self._jobs[job_id]
        part = owned.job.part_to_load()
        if part is None:
            return
        owned.job.loading()
        self._store.get_object(
            part_name(job_id, part), lambda reply: self._on_part(job_id, owned, reply)
        )

    def _on_part(self, job_id: str, owned: OwnedJob, reply: ObjectReply) -> None:
        if self._jobs.get(job_id) is not owned:
            return
        if not reply.found:
            owned.job.load_failed()
            return
        had_demand = owned.job.ready_count > 0
        owned.job.load(json.decode(reply.body, type=list[BatchItem]))
        if not had_demand and owned.job.ready_count > 0:
            self._announce()
        self._load_part(job_id)

    def on_job_changed(self, message: JobChanged) -> None:
        """Read a job row that another node wrote."""
        if message.shard in self._shards:
            self._store.read(
                job_key(message.job_id),
                lambda reply: self._on_scanned(message.shard, reply),
                exact=True,
            )

    # --- handing out ---

    def _may_hand_out(self, job_id: str) -> bool:
        shard = shard_of(job_id)
        return shard in self._shards and shard not in self._draining and self._leases.is_valid

    @property
    def _unflushed_count(self) -> int:
        return sum(len(owned.job.finished) for owned in self._jobs.values())

    def _class_room(self, session: str, kind: str) -> int:
        """Items of a class that may still be handed out under max_in_flight."""
        limit = self._context.table_row(session, kind).max_in_flight
        if limit is None:
            return 1 << 30
        owners = 1 + sum(
            any((one.session, one.kind) == (session, kind) for one in digest.demand)
            for digest in self._context.membership.live(self._context.now)
        )
        running = sum(
            owned.job.running_count
            for owned in self._jobs.values()
            if (owned.job.row.session_id, owned.job.row.kind) == (session, kind)
        )
        return -(-limit // owners) - running

    def _jobs_of_class(self, session: str, kind: str, model: str) -> list[OwnedJob]:
        jobs = [
            owned
            for job_id, owned in self._jobs.items()
            if (owned.job.row.session_id, owned.job.row.kind) == (session, kind)
            and owned.job.row.model == model
            and self._may_hand_out(job_id)
        ]
        jobs.sort(key=lambda owned: (self._deadline(owned), owned.job.row.submitted_at))
        return jobs

    @staticmethod
    def _deadline(owned: OwnedJob) -> float:
        deadline_at = owned.job.row.deadline_at
        return float("inf") if deadline_at is None else deadline_at

    def on_pull(self, sender: str, pull: Pull) -> None:
        """Hand out items of a class, earliest deadline first."""
        room = min(pull.count, self._class_room(pull.session, pull.kind))
        if self._unflushed_count >= self._context.settings.batch.max_unflushed_items:
            room = 0
        items: list[PulledItem] = []
        jobs = self._jobs_of_class(pull.session, pull.kind, pull.model)
        for owned in jobs:
            job_id = owned.job.row.job_id
            for handout in owned.job.take(room - len(items), sender, self._context.now):
                items.append(PulledItem(job_id, handout.index, handout.item, handout.resume_text))
            self._load_part(job_id)
        pending = sum(owned.job.ready_count for owned in jobs) if room > 0 else 0
        self._context.send(sender, PullReply(pull.pull_id, items, pending))

    def on_item_returned(self, sender: str, message: ItemReturned) -> None:
        """Take an item back."""
        owned = self._jobs.get(message.job_id)
        if owned is not None:
            owned.job.give_back(message.index, sender, message.resume_text)

    def on_items_held(self, sender: str, message: ItemsHeld) -> None:
        """Note which items a node still has."""
        owned = self._jobs.get(message.job_id)
        if owned is not None:
            owned.job.confirm(sender, message.indexes, self._context.now)

    def on_node_lost(self, node: str) -> None:
        """Take back the items of a lost node."""
        for owned in self._jobs.values():
            owned.job.node_lost(node)

    def on_item_done(self, message: ItemDone) -> None:
        """Take a result; the first one counts."""
        owned = self._jobs.get(message.job_id)
        if owned is None or not owned.job.finish(message.result):
            return
        if owned.oldest_finished_at is None:
            owned.oldest_finished_at = self._context.now
        if (
            len(owned.job.finished) >= self._context.settings.batch.segment_items
            or owned.job.pending_count + owned.job.running_count == 0
        ):
            self._flush(owned)

    # --- committing results ---

    def _flush(self, owned: OwnedJob) -> None:
        if owned.flush is not None or not owned.job.finished:
            return
        row = owned.job.row
        shard = shard_of(row.job_id)
        fence = self._leases.fence(shard)
        if fence is None:
            return
        results = owned.job.finished[: self._context.settings.batch.segment_items]
        epoch = self._shards[shard]
        number = owned.segment_number
        # Two owners never write one name: it carries the epoch. The operation id tells a
        # second load of the shard within one epoch apart.
        op_id = self._context.new_id()
        object_name = f"segment/{row.job_id}/{epoch}-{number}-{op_id[:8]}"
        done_count = owned.job.done_count + len(results)
        state = JobState.COMPLETED if done_count == row.item_count else row.state
        new_row = structs.replace(row, done_count=done_count, state=state)
        segment = SegmentRow(object_name, [result.index for result in results])
        segment_key = f"{segment_prefix(row.job_id)}{number:08d}"
        owned.flush = _Flush(
            op_id,
            object_name,
            results,
            [fence, Check(job_key(row.job_id), owned.row_version), Check(segment_key, 0)],
            [Put(job_key(row.job_id), encode(new_row)), Put(segment_key, encode(segment))],
            new_row,
        )
        self._advance_flush(owned)

    def _advance_flush(self, owned: OwnedJob) -> None:
        flush = owned.flush
        if flush is None:
            return
        flush.retry_at = None
        if not flush.stored:
            body = json.encode(flush.results).decode()
            self._store.put_object(
                flush.object_name, body, lambda reply: self._on_segment_stored(owned, reply)
            )
        else:
            self._store.commit(
                flush.checks,
                flush.puts,
                lambda reply: self._on_segment_committed(owned, reply),
                op_id=flush.op_id,
            )

    def _on_segment_stored(self, owned: OwnedJob, reply: ObjectReply) -> None:
        if owned.flush is None or self._jobs.get(owned.job.row.job_id) is not owned:
            return
        if reply.found is None:
            owned.flush.retry_at = self._context.now + STORE_RETRY_S
            return
        owned.flush.stored = True
        self._advance_flush(owned)

    def _on_segment_committed(self, owned: OwnedJob, reply: CommitReply) -> None:
        flush = owned.flush
        job_id = owned.job.row.job_id
        if flush is None or self._jobs.get(job_id) is not owned:
            return
        if reply.status in (CommitStatus.UNAVAILABLE, CommitStatus.UNKNOWN):
            flush.retry_at = self._context.now + STORE_RETRY_S
            return
        owned.flush = None
        if reply.status is CommitStatus.CONFLICT:
            self._flush_refused(owned, reply)
            return
        owned.job.committed(flush.results)
        owned.job.row = flush.row
        owned.row_version += 1
        owned.segment_number += 1
        owned.oldest_finished_at = self._context.now if owned.job.finished else None
        self._context.metrics.batch_items.inc(len(flush.results))
        if flush.row.state is JobState.COMPLETED:
            self._context.log(catalogue.JOB_FINISHED, job=job_id)
            del self._jobs[job_id]
        self._after_flush(shard_of(job_id))

    def _flush_refused(self, owned: OwnedJob, reply: CommitReply) -> None:
        # Either the shard has another owner, or the job's row changed under us: by a
        # cancel, or by an owner before us whose late write landed first. Load it anew.
        job_id = owned.job.row.job_id
        shard = shard_of(job_id)
        del self._jobs[job_id]
        if any(row.key == lease_key(shard) for row in reply.conflicts):
            self._leases.lost(shard)
            return
        self._scan(shard)
        self._after_flush(shard)

    def _after_flush(self, shard: str) -> None:
        if shard in self._draining:
            self._release_if_flushed(shard)

    # --- cancel ---

    def on_cancel_request(self, sender: str, message: JobCancelRequest) -> None:
        """Commit the cancel, then have every replica's owner confirm that nothing runs."""
        if message.shard not in self._shards or not self._leases.is_valid:
            self._context.send(sender, JobCancelReply(message.token, ""))
            return
        self._store.read(
            job_key(message.job_id),
            lambda reply: self._on_row_to_cancel(sender, message, reply),
            exact=True,
        )

    def _on_row_to_cancel(self, sender: str, message: JobCancelRequest, reply: ReadReply) -> None:
        fence = self._leases.fence(message.shard)
        if not reply.available or not reply.rows or fence is None:
            self._context.send(sender, JobCancelReply(message.token, ""))
            return
        row = json.decode(reply.rows[0].value, type=JobRow)
        if row.state is JobState.COMPLETED:
            self._context.send(sender, JobCancelReply(message.token, row.state.value))
            return
        self._jobs.pop(message.job_id, None)
        if row.state is JobState.CANCELLED:
            self._cancels.begin(message.job_id, sender, message.token)
            return
        cancelled = structs.replace(row, state=JobState.CANCELLED)
        key = job_key(message.job_id)
        self._store.commit(
            [fence, Check(key, reply.rows[0].version)],
            [Put(key, encode(cancelled))],
            lambda answer: self._on_cancel_committed(sender, message, answer),
            timeout_s=COMMIT_TIMEOUT_S,
        )

    def _on_cancel_committed(
        self, sender: str, message: JobCancelRequest, reply: CommitReply
    ) -> None:
        if reply.status is CommitStatus.COMMITTED:
            self._cancels.begin(message.job_id, sender, message.token)
        elif reply.status is CommitStatus.CONFLICT:
            if any(row.key == lease_key(message.shard) for row in reply.conflicts):
                self._leases.lost(message.shard)
            self.on_cancel_request(sender, message)  # a segment came first: look again
        else:
            self._context.send(sender, JobCancelReply(message.token, ""))

    # --- time ---

    def tick(self) -> None:
        """Flush what is due, retry, rescan, watch deadlines."""
        now = self._context.now
        settings = self._context.settings.batch
        self._cancels.tick()
        for job_id, owned in list(self._jobs.items()):
            owned.job.take_back_unconfirmed(now, UNCONFIRMED_GRACE_S)
            self._load_part(job_id)
            self._watch_deadline(owned)
            if owned.flush is not None:
                if owned.flush.retry_at is not None and now >= owned.flush.retry_at:
                    self._advance_flush(owned)
            elif owned.oldest_finished_at is not None:
                due = now - owned.oldest_finished_at >= settings.flush_s
                if due or shard_of(job_id) in self._draining:
                    self._flush(owned)
        if now - self._rescanned_at >= settings.rescan_s:
            self._rescanned_at = now
            for resource in self._shards:
                self._scan(resource)
        for resource in list(self._draining):
            self._release_if_flushed(resource)
        self._context.metrics.unflushed_items.set(self._unflushed_count)

    def _watch_deadline(self, owned: OwnedJob) -> None:
        now = self._context.now
        elapsed_s = now - owned.counted_at
        if elapsed_s < 1.0:
            return
        done = owned.job.done_count + len(owned.job.finished)
        rate = (done - owned.counted_done) / elapsed_s
        keep = 0.5 ** (elapsed_s / SPEED_HALF_LIFE_S)
        owned.items_per_s = keep * owned.items_per_s + (1 - keep) * rate
        owned.counted_at, owned.counted_done = now, done
        slack_s = owned.job.slack_s(self._context.wall_now, owned.items_per_s)
        owned.is_urgent = slack_s < URGENT_SLACK_S
        if slack_s < 0 and not owned.is_late:
            owned.is_late = True
            self._context.log(
                catalogue.JOB_LATE, job=owned.job.row.job_id, slack_s=max(slack_s, -1e9)
            )

    # --- reports ---

    @property
    def shards(self) -> list[str]:
        """The shards this node hands out from."""
        return [shard for shard in self._shards if shard not in self._draining]

    @property
    def is_idle(self) -> bool:
        """Whether no shard is owned."""
        return not self._shards

    def demand(self) -> list[DemandReport]:
        """Return pending items by class, for gossip."""
        pending: dict[tuple[str, str, str], DemandReport] = {}
        for job_id, owned in self._jobs.items():
            if owned.job.ready_count <= 0 or not self._may_hand_out(job_id):
                continue
            row = owned.job.row
            key = (row.session_id, row.kind, row.model)
            before = pending.get(key)
            count = owned.job.pending_count + (before.pending if before else 0)
            urgent = owned.is_urgent or (before.urgent if before else False)
            tokens = int(owned.job.typical_prompt_chars / CHARS_PER_TOKEN)
            longest = max(tokens, before.prompt_tokens if before else 0)
            pending[key] = DemandReport(*key, count, urgent, longest)
        return list(pending.values())
