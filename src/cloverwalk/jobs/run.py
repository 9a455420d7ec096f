"""The items of one job at its owner, as a state machine without I/O.

States: pending > running > finished (not listed yet) > listed. An interrupted run returns its item
to pending with the output so far; the next run continues after the last event.
"""

from enum import Enum

from msgspec import Struct

from cloverwalk.core.byte_lists import encoded_bytes
from cloverwalk.gateway.configuration import Route
from cloverwalk.gateway.crash_detector import Delivery
from cloverwalk.gateway.crash_keys import RequestKeys
from cloverwalk.gateway.software_versions import Software
from cloverwalk.jobs.evidence import ItemEnd, attempts_used
from cloverwalk.jobs.records import (
    ItemResult,
    ItemState,
    JobItem,
    JobRecord,
    JobWrite,
    PartialOutput,
    StoredJob,
    change_job,
    job_key,
    output_series,
)
from cloverwalk.store.stored import create
from cloverwalk.store.types import MAX_ROW_BYTES, CommitOutcome, CommitStatus

MAX_GROUP_ITEMS = 24
MAX_GROUP_BYTES = 400_000
SEGMENT_BYTES = 20_000
"""Encoded output after which a saved segment ends."""

MAX_SEGMENT_BYTES = MAX_ROW_BYTES - 1_000
"""Limit of the encoded output in one saved segment; the rest of the row is for its other fields."""


TEXT_OVERHEAD_BYTES = 57
"""Memory that a short text uses beside its characters: the object and its list entry."""


class Phase(Enum):
    """State of an item at its owner."""

    PENDING = "pending"
    RUNNING = "running"
    FINISHED = "finished"
    LISTED = "listed"


class RunTiming(Struct):
    """Timing of an item's run at its replica."""

    reported_slowdown_percent: int
    """Slowdown that the replica reported when its answer began: 100 is its baseline, 0 if not
    reported."""

    events: int = 0
    first_at: float = 0.0
    """When the first events were read (monotonic clock, seconds)."""

    last_at: float = 0.0
    """When the latest events were read."""

    def record_events(self, events: int, now: float) -> None:
        """Record that events have arrived."""
        if self.events == 0:
            self.first_at = now
        self.events += events
        self.last_at = now


class ItemRun(Struct):
    """An item of a job with the state of its runs at this owner."""

    index: int
    item: JobItem
    phase: Phase = Phase.PENDING
    failures: int = 0
    """Answers of replicas that report the item as failed."""

    last_event_id: int | None = None
    texts: list[str] = []
    software: Software | None = None
    """Software that produced the output, and at which it goes on; None without output."""

    restarts: int = 0
    """How often this owner dropped its output."""

    pending_since: float = 0.0
    """When it last began to wait for a replica (monotonic clock, seconds)."""

    result: ItemResult | None = None
    end: ItemEnd | None = None
    """Evidence that ended the item; None if it is not dead."""

    not_before: float = 0.0
    """The item does not start before this time (monotonic clock, seconds)."""

    replica_id: str = ""
    """Replica where it runs or ran last: its prompt may still be cached there."""

    replica_started_ms: int = 0
    """Start time of that replica's process, see ``Replica``: a restarted one has no prompt
    cached."""

    crash_keys: RequestKeys | None = None
    """What identifies it in crash records; None until it is needed."""

    delivery: Delivery | None = None
    """How its latest run was sent; None until it is sent."""

    ends_with_connection: bool = False
    """Whether the latest answer has neither a length nor chunks, so that it ends with its
    connection."""

    timing: RunTiming | None = None
    """Timing of that run; None until the replica answers."""

    saved_events: int = 0
    """Number of output events that the store holds."""

    first_started_at: float | None = None
    """When this owner first sent it to a replica (monotonic clock, seconds)."""

    ran_s: float = 0.0
    """Total time at replicas in earlier runs of this owner."""

    last_run_s: float = 0.0
    suspensions: int = 0
    """Runs of this owner that were suspended for online requests."""

    output_bytes: int = 0
    """Approximate memory of its output."""

    def fits(self, software: Software) -> bool:
        """Whether its output goes on at a replica with this software."""
        return self.software is None or (self.software.is_known and self.software == software)


class JobRun:
    """A job that this node owns, with its items."""

    def __init__(self, stored: StoredJob, items: list[JobItem]) -> None:
        self.stored = stored
        """The job's record as this owner last saw or wrote it."""

        self.items = [ItemRun(index, item) for index, item in enumerate(items)]
        self._body_bytes = sum(len(item.body) for item in items)
        self.is_dropped = False
        self.confirmed_at: float | None = None
        """Since when the store may have changed the record (monotonic clock, seconds); None if that
        is when the job was added."""

        self._by_id = {item_run.item.item_id: item_run for item_run in self.items}

    @property
    def record(self) -> JobRecord:
        """The content of the record."""
        return self.stored.content

    @property
    def job_id(self) -> str:
        """The job's id."""
        return self.record.job_id

    @property
    def buffered_bytes(self) -> int:
        """Approximate memory of its request bodies and of the outputs that are not listed."""
        outputs = sum(
            item_run.output_bytes for item_run in self.items if item_run.phase is not Phase.LISTED
        )
        return self._body_bytes + outputs

    def restore(self, listed_ids: set[str], partials: list[PartialOutput]) -> None:
        """Restore the results and outputs that earlier owners stored."""
        for item_run in self.items:
            if item_run.item.item_id in listed_ids:
                item_run.phase = Phase.LISTED
        for (index, _series), segments in _segments_by_series(partials).items():
            self._restore_output(self.items[index], segments)

    def _restore_output(self, item_run: ItemRun, segments: list[PartialOutput]) -> None:
        """Restore one series of saved output up to its first gap, if it is the longest so far."""
        texts: list[str] = []
        last_event_id = None
        for segment in segments:
            end = segment.start + len(segment.texts)
            if segment.start <= len(texts) < end:
                texts += segment.texts[len(texts) - segment.start :]
                last_event_id = segment.last_event_id
        item_run.failures = max(item_run.failures, max(segment.failures for segment in segments))
        if item_run.phase is Phase.PENDING and len(texts) > len(item_run.texts):
            item_run.texts = texts
            item_run.output_bytes = sum(len(text) + TEXT_OVERHEAD_BYTES for text in texts)
            item_run.last_event_id = last_event_id
            item_run.software = Software(segments[0].service, segments[0].software_version)

    def pending(self, now: float) -> list[ItemRun]:
        """Return the items that may start now, those with output first."""
        if self.is_dropped or self.record.is_ended:
            return []
        ready = [
            item_run
            for item_run in self.items
            if item_run.phase is Phase.PENDING and item_run.not_before <= now
        ]
        return sorted(ready, key=lambda item_run: (not item_run.texts, item_run.index))

    def begin(
        self, item_run: ItemRun, replica_id: str, now: float, replica_started_ms: int = 0
    ) -> None:
        """Mark an item as running at a replica."""
        if item_run.first_started_at is None:
            item_run.first_started_at = now
        item_run.phase = Phase.RUNNING
        item_run.replica_id = replica_id
        item_run.replica_started_ms = replica_started_ms

    def add_event(self, item_run: ItemRun, event_id: int | None, data: str) -> bool:
        """Add an event's data; return False when it does not follow the last one.

        >>> run = JobRun(_example_job(), [JobItem("a", "/", [], b"", 1)])
        >>> [run.add_event(run.items[0], number, "x") for number in (1, 2, 2, 4)]
        [True, True, True, False]
        >>> run.items[0].texts
        ['x', 'x']
        """
        last = item_run.last_event_id
        if event_id is None:
            return False
        if last is not None and event_id <= last:
            return True
        if last is not None and event_id != last + 1:
            return False
        item_run.last_event_id = event_id
        item_run.texts.append(data)
        item_run.output_bytes += len(data) + TEXT_OVERHEAD_BYTES
        return True

    def suspend(self, item_run: ItemRun, not_before: float) -> None:
        """Return an item to pending; its next run continues after the last event."""
        item_run.phase = Phase.PENDING
        item_run.not_before = item_run.pending_since = not_before

    def restart(self, item_run: ItemRun) -> None:
        """Drop an item's output: its next run begins with the first event."""
        item_run.texts = []
        item_run.output_bytes = item_run.saved_events = 0
        item_run.last_event_id = item_run.software = None
        item_run.restarts += 1

    def succeed(self, item_run: ItemRun) -> None:
        """Finish an item whose run was complete."""
        self._finish(item_run, ItemState.SUCCEEDED, "\n".join(item_run.texts))

    def fail(self, item_run: ItemRun, not_before: float, route: Route | None) -> None:
        """Count a failed run; ``route`` is the job's route in the current configuration, if any.

        Once its attempts are used, the item ends; otherwise it may start again at ``not_before``.
        """
        item_run.failures += 1
        evidence = attempts_used(item_run.replica_id, item_run.failures, self.record, route)
        if evidence is None:
            self.suspend(item_run, not_before)
        else:
            self.end(item_run, evidence)

    def end(self, item_run: ItemRun, evidence: ItemEnd) -> None:
        """Finish an item without a result, for one of the allowed reasons."""
        item_run.end = evidence
        self._finish(item_run, ItemState.DEAD, "")

    def _finish(self, item_run: ItemRun, state: ItemState, text: str) -> None:
        item_run.phase = Phase.FINISHED
        item_run.replica_id = ""
        item_run.texts = []
        item_run.result = ItemResult(item_run.item.item_id, state, text)

    def next_group(self) -> list[ItemRun]:
        """Return finished items to list in one transaction."""
        group: list[ItemRun] = []
        size = 0
        for item_run in self.items:
            if item_run.phase is not Phase.FINISHED or item_run.result is None:
                continue
            size += encoded_bytes(item_run.result.text)
            if group and (len(group) >= MAX_GROUP_ITEMS or size > MAX_GROUP_BYTES):
                break
            group.append(item_run)
        return group

    def listing_write(self, group: list[ItemRun]) -> JobWrite:
        """Return the write of the record that counts ``group`` as listed."""
        listed = {item_run.index for item_run in group}
        waiting = sum(
            item_run.item.tokens
            for item_run in self.items
            if item_run.phase is not Phase.LISTED and item_run.index not in listed
        )
        listed_count = self.record.listed + len(group)
        return change_job(self.stored, listed=listed_count, waiting_tokens=waiting)

    def mark_listed(self, group: list[ItemRun], stored: StoredJob) -> None:
        """Mark a group as listed: its transaction was committed."""
        for item_run in group:
            item_run.phase = Phase.LISTED
            item_run.result = None
        self.stored = stored

    def is_done(self) -> bool:
        """Whether every item is listed."""
        return all(item_run.phase is Phase.LISTED for item_run in self.items)

    def find(self, item_id: str) -> ItemRun | None:
        """Return an item by its id."""
        return self._by_id.get(item_id)

    def unsaved(self) -> list[PartialOutput]:
        """Return the output of unfinished items that the store does not hold yet."""
        segments: list[PartialOutput] = []
        for item_run in self.items:
            if (
                item_run.phase in (Phase.PENDING, Phase.RUNNING)
                and len(item_run.texts) > item_run.saved_events
            ):
                series = output_series(self.record.epoch, item_run.restarts)
                segments += _segments(item_run, series)
        return segments

    def mark_saved(self, segments: list[PartialOutput]) -> None:
        """Mark segments as saved: the store holds them."""
        for segment in segments:
            item_run = self.items[segment.index]
            if segment.epoch == output_series(self.record.epoch, item_run.restarts):
                saved_events = segment.start + len(segment.texts)
                item_run.saved_events = max(item_run.saved_events, saved_events)


def _segments_by_series(
    partials: list[PartialOutput],
) -> dict[tuple[int, int], list[PartialOutput]]:
    by_series: dict[tuple[int, int], list[PartialOutput]] = {}
    for partial in sorted(partials, key=lambda output: (output.index, output.epoch, output.start)):
        by_series.setdefault((partial.index, partial.epoch), []).append(partial)
    return by_series


def _segments(item_run: ItemRun, series: int) -> list[PartialOutput]:
    """Return an item's unsaved output in segments that each fit into a row."""
    assert item_run.last_event_id is not None
    software = item_run.software or Software("", "")
    segments: list[PartialOutput] = []
    start = item_run.saved_events
    while start < len(item_run.texts):
        end, size = start, 0
        while end < len(item_run.texts) and size < SEGMENT_BYTES:
            size += encoded_bytes(item_run.texts[end])
            if size > MAX_SEGMENT_BYTES:
                break
            end += 1
        if end == start:
            # This event fits no row, and those after it can't be joined to what is saved.
            break
        last_event_id = item_run.last_event_id - (len(item_run.texts) - end)
        texts = item_run.texts[start:end]
        segments.append(
            PartialOutput(
                item_run.index,
                series,
                start,
                last_event_id,
                texts,
                item_run.failures,
                software.service,
                software.version,
            )
        )
        start = end
    return segments


def _example_job() -> StoredJob:
    record = JobRecord("j", "h", "/", 0.0, 0.0, 0.0, 3, 1, 1, 1, "n1")
    return create(job_key("j"), record).committed(CommitOutcome(CommitStatus.COMMITTED, 1))
