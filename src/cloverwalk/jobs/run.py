"""The items of one job at its owner, as a state machine without I/O.

pending > running > finished (not listed yet) > listed. A run that breaks off goes back to
pending with what it has put out, and goes on behind its last event.
"""

from enum import Enum

import msgspec
from msgspec import Struct

from cloverwalk.gateway.configuration import Route
from cloverwalk.gateway.crash_detector import Delivery
from cloverwalk.jobs.evidence import ItemEnd, attempts_used
from cloverwalk.jobs.records import ItemResult, ItemState, JobItem, JobRecord, PartialOutput

MAX_GROUP = 24
MAX_GROUP_BYTES = 400_000
SEGMENT_CHARACTERS = 20_000
"""Characters of output in one saved segment, about."""


TEXT_OVERHEAD_BYTES = 57
"""What a short text takes in memory beside its characters: the object, and its place in a list."""


class Phase(Enum):
    """Where an item is at its owner."""

    PENDING = "pending"
    RUNNING = "running"
    FINISHED = "finished"
    LISTED = "listed"


class RunTiming(Struct):
    """How a run of an item went at its replica."""

    reported_slowdown_percent: int
    """What the replica told of its pace as the answer began, 100 for its usual one; 0: nothing."""

    events: int = 0
    first_at: float = 0.0
    last_at: float = 0.0

    def note(self, events: int, now: float) -> None:
        """Events came."""
        if self.events == 0:
            self.first_at = now
        self.events += events
        self.last_at = now


class ItemRun(Struct):
    """One item."""

    index: int
    item: JobItem
    phase: Phase = Phase.PENDING
    failures: int = 0
    """Answers that say that the item failed."""

    last_event_id: int | None = None
    texts: list[str] = []
    result: ItemResult | None = None
    end: ItemEnd | None = None
    """Why the item is dead; None for one that is not."""

    not_before: float = 0.0
    replica_id: str = ""
    """Where it runs, or ran last: its prompt may still be kept there."""

    replica_started_ms: int = 0
    """Which start of that replica it was, see ``Replica``: the next one keeps no prompt."""

    content: str = ""
    """Name of its content, once somebody has asked for it; see ``gateway.content_hash``."""

    delivery: Delivery | None = None
    """How its last run was sent, once it was."""

    timing: RunTiming | None = None
    """How that run went, once it was answered."""

    saved: int = 0
    """Events of the output that the store holds."""

    first_began_at: float | None = None
    """When it was first sent to a replica by this owner (steady clock, seconds)."""

    ran_s: float = 0.0
    """Time at replicas in earlier runs of this owner."""

    last_run_s: float = 0.0
    suspensions: int = 0
    """Runs of this owner that gave way to online requests."""

    output_bytes: int = 0
    """About what its output takes in memory."""


class JobRun:
    """A job that this node owns."""

    def __init__(self, record: JobRecord, version: int, items: list[JobItem]) -> None:
        self.record = record
        self.version = version
        self.items = [ItemRun(index, item) for index, item in enumerate(items)]
        self._body_bytes = sum(len(item.body) for item in items)
        self.is_dropped = False
        self._by_id = {one.item.item_id: one for one in self.items}

    @property
    def job_id(self) -> str:
        """The job's id."""
        return self.record.job_id

    @property
    def buffered_bytes(self) -> int:
        """About what its bodies, and the outputs that are not listed, take in memory."""
        outputs = sum(one.output_bytes for one in self.items if one.phase is not Phase.LISTED)
        return self._body_bytes + outputs

    def restore(self, listed_ids: set[str], partials: list[PartialOutput]) -> None:
        """Take over what an earlier owner left."""
        for one in self.items:
            if one.item.item_id in listed_ids:
                one.phase = Phase.LISTED
        for (index, _epoch), segments in _by_owner(partials).items():
            self._restore_output(self.items[index], segments)

    def _restore_output(self, one: ItemRun, segments: list[PartialOutput]) -> None:
        """Take what one owner saved, up to the first gap, if it is more than is there."""
        texts: list[str] = []
        last_event_id = None
        for segment in segments:
            end = segment.start + len(segment.texts)
            if segment.start <= len(texts) < end:
                texts += segment.texts[len(texts) - segment.start :]
                last_event_id = segment.last_event_id
        one.failures = max(one.failures, max(segment.failures for segment in segments))
        if one.phase is Phase.PENDING and len(texts) > len(one.texts):
            one.texts = texts
            one.output_bytes = sum(len(text) + TEXT_OVERHEAD_BYTES for text in texts)
            one.last_event_id = last_event_id

    def pending(self, now: float) -> list[ItemRun]:
        """Return the items that may start now, those with output first."""
        if self.is_dropped or self.record.is_ended:
            return []
        ready = [one for one in self.items if one.phase is Phase.PENDING and one.not_before <= now]
        return sorted(ready, key=lambda one: (not one.texts, one.index))

    def begin(self, one: ItemRun, replica_id: str, now: float, born_ms: int = 0) -> None:
        """An item was sent to a replica."""
        if one.first_began_at is None:
            one.first_began_at = now
        one.phase = Phase.RUNNING
        one.replica_id = replica_id
        one.replica_started_ms = born_ms

    def take_event(self, one: ItemRun, event_id: int | None, data: str) -> bool:
        """Add an event's data; return False when it does not follow the last one.

        >>> run = JobRun(_example_record(), 1, [JobItem("a", "/", [], b"", 1)])
        >>> [run.take_event(run.items[0], number, "x") for number in (1, 2, 2, 4)]
        [True, True, True, False]
        >>> run.items[0].texts
        ['x', 'x']
        """
        last = one.last_event_id
        if event_id is None:
            return False
        if last is not None and event_id <= last:
            return True
        if last is not None and event_id != last + 1:
            return False
        one.last_event_id = event_id
        one.texts.append(data)
        one.output_bytes += len(data) + TEXT_OVERHEAD_BYTES
        return True

    def suspend(self, one: ItemRun, not_before: float) -> None:
        """A run broke off or gave way; it goes on later behind its last event."""
        one.phase = Phase.PENDING
        one.not_before = not_before

    def succeed(self, one: ItemRun) -> None:
        """A run came to its proper end."""
        self._finish(one, ItemState.SUCCEEDED, "\n".join(one.texts))

    def fail(self, one: ItemRun, not_before: float, route: Route | None) -> None:
        """A run failed by its own fault; ``route`` takes the job's items now."""
        one.failures += 1
        evidence = attempts_used(one.replica_id, one.failures, self.record, route)
        if evidence is None:
            self.suspend(one, not_before)
        else:
            self.end(one, evidence)

    def end(self, one: ItemRun, evidence: ItemEnd) -> None:
        """An item is ended without a result, for a reason that is allowed."""
        one.end = evidence
        self._finish(one, ItemState.DEAD, "")

    def _finish(self, one: ItemRun, state: ItemState, text: str) -> None:
        one.phase = Phase.FINISHED
        one.replica_id = ""
        one.texts = []
        one.result = ItemResult(one.item.item_id, state, text)

    def next_group(self) -> list[ItemRun]:
        """Return finished items to be listed in one transaction."""
        group: list[ItemRun] = []
        size = 0
        for one in self.items:
            if one.phase is not Phase.FINISHED or one.result is None:
                continue
            size += len(one.result.text)
            if group and (len(group) >= MAX_GROUP or size > MAX_GROUP_BYTES):
                break
            group.append(one)
        return group

    def record_after(self, group: list[ItemRun]) -> JobRecord:
        """Return the record once ``group`` is listed."""
        listed = {one.index for one in group}
        waiting = sum(
            one.item.tokens
            for one in self.items
            if one.phase is not Phase.LISTED and one.index not in listed
        )
        listed_count = self.record.listed + len(group)
        return replace_record(self.record, listed=listed_count, waiting_tokens=waiting)

    def mark_listed(self, group: list[ItemRun], record: JobRecord, version: int) -> None:
        """The transaction of a group was committed."""
        for one in group:
            one.phase = Phase.LISTED
            one.result = None
        self.record = record
        self.version = version

    def is_done(self) -> bool:
        """Whether every item is listed."""
        return all(one.phase is Phase.LISTED for one in self.items)

    def find(self, item_id: str) -> ItemRun | None:
        """Return an item by its id."""
        return self._by_id.get(item_id)

    def unsaved(self) -> list[PartialOutput]:
        """Return the output of unfinished items that the store does not hold yet."""
        segments: list[PartialOutput] = []
        for one in self.items:
            if one.phase in (Phase.PENDING, Phase.RUNNING) and len(one.texts) > one.saved:
                segments += _segments(one, self.record.epoch)
        return segments

    def mark_saved(self, segments: list[PartialOutput]) -> None:
        """The store holds these segments."""
        for segment in segments:
            one = self.items[segment.index]
            one.saved = max(one.saved, segment.start + len(segment.texts))


def _by_owner(partials: list[PartialOutput]) -> dict[tuple[int, int], list[PartialOutput]]:
    owners: dict[tuple[int, int], list[PartialOutput]] = {}
    for partial in sorted(partials, key=lambda one: (one.index, one.epoch, one.start)):
        owners.setdefault((partial.index, partial.epoch), []).append(partial)
    return owners


def _segments(one: ItemRun, epoch: int) -> list[PartialOutput]:
    """Return an item's unsaved output in segments that fit into a row each."""
    assert one.last_event_id is not None
    segments: list[PartialOutput] = []
    start = one.saved
    while start < len(one.texts):
        end, size = start, 0
        while end < len(one.texts) and (end == start or size < SEGMENT_CHARACTERS):
            size += len(one.texts[end])
            end += 1
        last_event_id = one.last_event_id - (len(one.texts) - end)
        texts = one.texts[start:end]
        segments.append(PartialOutput(one.index, epoch, start, last_event_id, texts, one.failures))
        start = end
    return segments


def replace_record(record: JobRecord, **changed: object) -> JobRecord:
    """Return a copy of a record with some fields changed."""
    return msgspec.structs.replace(record, **changed)


def _example_record() -> JobRecord:
    return JobRecord("j", "h", "/", 0.0, 0.0, 0.0, 3, 1, 1, 1, "n1")
