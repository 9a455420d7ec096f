"""Batch calls: submit, status, results, cancel. All state is read from the stores."""

from collections.abc import Callable

from msgspec import Struct, json

from cloverwalk.control.cancel_coordinator import CANCELLING
from cloverwalk.control.context import Context
from cloverwalk.control.job_owner import (
    job_key,
    part_name,
    segment_prefix,
    shard_of,
)
from cloverwalk.control.sessions import SessionDirectory, SessionFound
from cloverwalk.control.store_port import StorePort, encode
from cloverwalk.core import catalogue
from cloverwalk.core.constants import COMMIT_TIMEOUT_S
from cloverwalk.core.events import (
    BeginStream,
    EndStream,
    Header,
    HttpRequest,
    StreamData,
)
from cloverwalk.core.hashing import rendezvous_owner, rendezvous_score, short_hash
from cloverwalk.core.peer_messages import JobCancelReply, JobCancelRequest, JobChanged
from cloverwalk.core.store_types import (
    Check,
    CommitReply,
    CommitStatus,
    ObjectReply,
    Put,
    ReadReply,
    Row,
)
from cloverwalk.core.types import ItemResult, JobRow, JobState, Outcome, SegmentRow, SessionRow
from cloverwalk.pipeline.admission import session_problem
from cloverwalk.pipeline.parse import BatchCall, parse_batch
from cloverwalk.pipeline.problem import (
    PipelineError,
    json_reply,
    problem_reply,
    unavailable,
)

CANCEL_TIMEOUT_S = 4.0


class BatchStatus(Struct, frozen=True):
    """The answer to submit, status and cancel."""

    id: str
    object: str
    status: str
    session: str
    kind: str
    model: str
    total: int
    completed: int
    submitted_at: float
    deadline_at: float | None


class ResultLine(Struct, frozen=True):
    """One line of the results."""

    custom_id: str
    outcome: str
    text: str
    tokens: int


class _Submit(Struct):
    connection: int
    row: JobRow
    parts: list[str]
    stored: int = 0


class _Cancel(Struct):
    connection: int
    job_id: str
    give_up_at: float


def status_of(row: JobRow) -> BatchStatus:
    """Return a job's row as callers see it."""
    return BatchStatus(
        row.job_id,
        "batch",
        row.state.value,
        row.session_id,
        row.kind,
        row.model,
        row.item_count,
        row.done_count,
        row.submitted_at,
        row.deadline_at,
    )


def is_job_id(text: str) -> bool:
    """Return whether a text has the form of a job id: zone.shard.hash."""
    parts = text.split(".")
    return len(parts) == 3 and all(parts) and parts[1].isdigit()


class BatchCalls:
    """Handles /v1/batches at the node that the caller reached."""

    def __init__(
        self,
        context: Context,
        store: StorePort,
        sessions: SessionDirectory,
        shard_owner: Callable[[str], str | None],
    ) -> None:
        self._context = context
        self._store = store
        self._sessions = sessions
        self._shard_owner = shard_owner
        self._cancels: dict[str, _Cancel] = {}
        self._open_submits = 0

    @property
    def open_count(self) -> int:
        """Calls that a planned stop waits for."""
        return self._open_submits + len(self._cancels)

    # --- submit ---

    def submit(self, request: HttpRequest) -> None:
        """Take a job: it is acknowledged when its manifest and its row are stored."""
        call = parse_batch(request, self._context.settings.batch.max_items)
        row = self._context.table_row(call.session_id, call.kind)
        if row.work_class == "online":
            message = f"the table gives kind {call.kind!r} to online"
            raise PipelineError(422, "wrong_class", message, "cloverwalk-kind")
        if row.max_queued is not None and len(call.items) > row.max_queued:
            message = f"{len(call.items)} items; the row's max_queued is {row.max_queued}"
            raise PipelineError(429, "max_queued", message, "body", retry_after_s=60)

        def looked_up(found: SessionFound, session: SessionRow | None) -> None:
            del session
            error = session_problem(found, call.session_id)
            if error is not None:
                self._context.emit(problem_reply(request.connection, error))
                return
            self._store_manifest(request.connection, call, row.deadline_s)

        self._sessions.lookup(call.session_id, looked_up)

    def _store_manifest(
        self, connection: int, call: BatchCall, row_deadline_s: float | None
    ) -> None:
        context = self._context
        name = short_hash(call.session_id, call.key) if call.key else context.new_id()
        shard = rendezvous_score(name, "shard") % context.settings.lease.shards_per_zone
        # A resend may reach another zone; then its id differs, so keyed jobs carry the zone
        # that the key hashes to, not the zone of the node.
        zone = self._zone_of(name) if call.key else context.zone
        job_id = f"{zone}.{shard}.{name}"
        deadline_s = call.deadline_ms / 1000 if call.deadline_ms else row_deadline_s
        size = context.settings.batch.part_items
        items = call.items
        parts = [
            json.encode(items[first : first + size]).decode()
            for first in range(0, len(items), size)
        ]
        row = JobRow(
            job_id,
            call.session_id,
            call.kind,
            call.model,
            len(items),
            size,
            short_hash(call.kind, call.model, *parts),
            context.wall_now,
            context.wall_now + deadline_s if deadline_s is not None else None,
        )
        self._open_submits += 1
        submit = _Submit(connection, row, parts)
        if call.key:
            # A resend finds the job, in whichever zone it was accepted.
            self._store.read(
                job_key(job_id), lambda reply: self._on_checked(submit, reply), exact=True
            )
        else:
            self._put_parts(submit)

    def _zone_of(self, name: str) -> str:
        zones = {digest.zone for digest in self._context.membership.known()}
        zones.add(self._context.zone)
        return rendezvous_owner(name, zones) or self._context.zone

    def _on_checked(self, submit: _Submit, reply: ReadReply) -> None:
        if not reply.available:
            self._end_submit(submit, unavailable())
        elif reply.rows:
            self._answer_known(submit, reply.rows[0])
        else:
            self._put_parts(submit)

    def _put_parts(self, submit: _Submit) -> None:
        for number, body in enumerate(submit.parts):
            # The content's hash is part of the job, so a resend writes the same objects.
            name = part_name(submit.row.job_id, number)
            self._store.put_object(name, body, lambda reply: self._on_part(submit, reply))

    def _on_part(self, submit: _Submit, reply: ObjectReply) -> None:
        if submit.stored < 0:
            return
        if reply.found is None:
            submit.stored = -1
            self._end_submit(submit, unavailable())  # no job row was written: not run
            return
        submit.stored += 1
        if submit.stored == len(submit.parts):
            key = job_key(submit.row.job_id)
            self._store.commit(
                [Check(key, 0)],
                [Put(key, encode(submit.row))],
                lambda answer: self._on_committed(submit, answer),
                timeout_s=COMMIT_TIMEOUT_S,
            )

    def _on_committed(self, submit: _Submit, reply: CommitReply) -> None:
        row = submit.row
        if reply.status is CommitStatus.COMMITTED:
            self._context.log(catalogue.JOB_ACCEPTED, job=row.job_id, items=row.item_count)
            self._context.metrics.admitted.labels("batch").inc()
            self.notify_owner(row.job_id)
            self._end_submit(submit, None)
        elif reply.status is CommitStatus.CONFLICT:
            self._answer_known(submit, reply.conflicts[0])
        elif reply.status is CommitStatus.UNKNOWN:
            self._end_submit(submit, unavailable(Outcome.OUTCOME_UNKNOWN))
        else:
            self._end_submit(submit, unavailable())

    def _answer_known(self, submit: _Submit, row: Row) -> None:
        known = json.decode(row.value, type=JobRow)
        if known.body_hash != submit.row.body_hash:
            message = "this key was used for another batch"
            self._end_submit(submit, PipelineError(422, "key_reused", message, "idempotency-key"))
            return
        submit.row = known
        self._end_submit(submit, None)

    def _end_submit(self, submit: _Submit, error: PipelineError | None) -> None:
        self._open_submits -= 1
        if error is not None:
            self._context.emit(problem_reply(submit.connection, error))
            return
        self._context.emit(json_reply(submit.connection, 202, status_of(submit.row)))

    def notify_owner(self, job_id: str) -> None:
        """Tell the shard's owner to read the job's row."""
        shard = shard_of(job_id)
        owner = self._shard_owner(job_id)
        if owner is not None:
            self._context.send(owner, JobChanged(job_id, shard))

    # --- status and results ---

    def _with_row(self, connection: int, job_id: str, then: Callable[[JobRow], None]) -> None:
        missing = PipelineError(404, "unknown_batch", f"there is no batch {job_id}", "id")
        if not is_job_id(job_id):
            self._context.emit(problem_reply(connection, missing))
            return

        def was_read(reply: ReadReply) -> None:
            if not reply.available:
                self._context.emit(problem_reply(connection, unavailable()))
            elif not reply.rows:
                self._context.emit(problem_reply(connection, missing))
            else:
                then(json.decode(reply.rows[0].value, type=JobRow))

        self._store.read(job_key(job_id), was_read, exact=True)

    def status(self, connection: int, job_id: str) -> None:
        """Answer with the job's state."""
        self._with_row(
            connection,
            job_id,
            lambda row: self._context.emit(json_reply(connection, 200, status_of(row))),
        )

    def results(self, connection: int, job_id: str) -> None:
        """Stream the committed results as JSONL, in the order of their commits."""

        def was_read(reply: ReadReply) -> None:
            if not reply.available:
                self._context.emit(problem_reply(connection, unavailable()))
                return
            segments = [json.decode(row.value, type=SegmentRow) for row in reply.rows]
            headers = [Header("Content-Type", "application/jsonl")]
            self._context.emit(BeginStream(connection, 200, headers))
            self._next_segment(connection, segments)

        self._with_row(
            connection, job_id, lambda row: self._store.read(segment_prefix(job_id), was_read)
        )

    def _next_segment(self, connection: int, segments: list[SegmentRow]) -> None:
        if not segments:
            self._context.emit(EndStream(connection))
            return

        def fetched(reply: ObjectReply) -> None:
            if not reply.found:
                # Cut, so that the caller does not take a part for the whole.
                self._context.emit(EndStream(connection, whole=False))
                return
            results = json.decode(reply.body, type=list[ItemResult])
            lines = [
                json.encode(ResultLine(one.custom_id, one.outcome.value, one.text, one.tokens))
                for one in results
            ]
            self._context.emit(StreamData(connection, b"\n".join(lines) + b"\n"))
            self._next_segment(connection, segments[1:])

        self._store.get_object(segments[0].object_name, fetched)

    # --- cancel ---

    def cancel(self, connection: int, job_id: str) -> None:
        """Cancel a job; 200 once nothing of it runs and nothing will start."""

        def with_row(row: JobRow) -> None:
            if row.state is JobState.COMPLETED:
                self._context.emit(json_reply(connection, 200, status_of(row)))
                return
            token = self._context.new_id()
            give_up_at = self._context.now + CANCEL_TIMEOUT_S
            self._cancels[token] = _Cancel(connection, job_id, give_up_at)
            owner = self._shard_owner(job_id)
            if owner is None:
                self.on_cancel_reply(JobCancelReply(token, ""))
                return
            message = JobCancelRequest(job_id, shard_of(job_id), token)
            self._context.send(owner, message)

        self._with_row(connection, job_id, with_row)

    def on_cancel_reply(self, message: JobCancelReply) -> None:
        """Answer the caller."""
        cancel = self._cancels.pop(message.token, None)
        if cancel is None:
            return
        if not message.state:
            error = PipelineError(
                503,
                "no_owner",
                "the job's shard has no owner at this moment; ask again",
                outcome=Outcome.OUTCOME_UNKNOWN,
                retry_after_s=2,
            )
            self._context.emit(problem_reply(cancel.connection, error))
        elif message.state == CANCELLING:
            headers = [Header("Retry-After", "2")]
            body = CancelStatus(cancel.job_id, "batch", message.state)
            self._context.emit(json_reply(cancel.connection, 202, body, headers))
        else:
            self.status(cancel.connection, cancel.job_id)

    def tick(self) -> None:
        """Answer cancels whose owner is silent."""
        for token, cancel in list(self._cancels.items()):
            if self._context.now >= cancel.give_up_at:
                self.on_cancel_reply(JobCancelReply(token, ""))


class CancelStatus(Struct, frozen=True):
    """The answer to a cancel that is still under way."""

    id: str
    object: str
    status: str
