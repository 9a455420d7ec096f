"""Rows of a job in the store: their types, keys and encoding.

A job's record is one row, which its owner changes only at the version that it last saw: a write
after another node's change fails. So two nodes may own a job at once for a while, and each position
still has one writer.
"""

from enum import Enum

import msgspec
import xxhash
from msgspec import Struct

from cloverwalk.core.decoding import InvalidContentError, decode_content
from cloverwalk.store.stored import Stored, Write
from cloverwalk.store.types import MAX_ROW_BYTES, Put, Row, RowKey

JOB_TABLE = "job"
PAYLOAD_TABLE = "payload"
RESULT_TABLE = "result"
PARTIAL_TABLE = "partial"
QUOTA_TABLE = "quota"
PART_COUNT = 16
"""Parts of each table over which jobs are spread."""

MAX_ITEMS = 200
MAX_NUMBER = 2**53
"""Limit on the numbers in rows; up to it, floats are exact to 1."""

MAX_NAME_BYTES = 200
"""Names are parts of keys, of which the store accepts 200 bytes."""

PAYLOAD_NAME = "p"
"""Name of the rows with the items."""

END_MARK = "ended"
"""Name of the row that marks a job as ended; sorts before the names of rows with items."""


class ItemState(Enum):
    """Final state of an item."""

    SUCCEEDED = "succeeded"
    DEAD = "dead"


class JobItem(Struct):
    """An item as it was submitted."""

    item_id: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    tokens: int
    """Tokens that it counts for in its tenant's quota and in the memory of a replica."""


class ItemResult(Struct):
    """The listed result of an item."""

    item_id: str
    state: ItemState
    text: str


class PartialOutput(Struct):
    """A segment of the output of the unfinished item at ``index``: its events from ``start`` on.

    Two runs of an item may produce different text, so segments of different series are never
    joined: each owner saves its output from the first event on, and again after a restart.
    """

    index: int
    epoch: int
    """Its series, see ``output_series``; earlier builds know it as the epoch of the owner."""

    start: int
    last_event_id: int
    texts: list[str]
    failures: int = 0
    service: str = ""
    """Service of the replicas that produced it; empty from builds that don't record it."""

    software_version: str = ""
    """Their software version; empty if unknown."""


RESTART_STRIDE = 1_000_000
"""Exceeds every epoch."""


def output_series(epoch: int, restarts: int) -> int:
    """Return the series of the output that an owner saves after this many restarts of an item.

    >>> output_series(3, 0), output_series(3, 1)
    (3, 1000003)
    """
    return restarts * RESTART_STRIDE + epoch


class JobRecord(Struct, frozen=True):
    """A job's record. Times are in ms of the store's clock."""

    job_id: str
    host: str
    path: str
    accepted_ms: float
    due_ms: float
    """Time by which the items should be done; later ones count as late."""

    give_up_ms: float
    """End of the retention at acceptance; not after ``accepted_ms`` if items are kept forever."""

    max_attempts: int
    total: int
    tokens: int
    payload_rows: int
    owner: str
    epoch: int = 1
    listed: int = 0
    """Number of positions that hold a result."""

    waiting_tokens: int = 0
    """Tokens of the items that are not listed."""

    is_ended: bool = False
    tenant: str = ""
    """Tenant that submitted the job and may read and end it; empty for callers without a key."""

    configuration: int = -1
    """Version of the configuration whose route accepted the job; -1 if unknown."""

    @property
    def is_open(self) -> bool:
        """Whether items may still run."""
        return not self.is_ended and self.listed < self.total


StoredJob = Stored[JobRecord]
JobWrite = Write[JobRecord]


class QuotaRow(Struct, frozen=True):
    """Jobs of a tenant on a route that were admitted and may still be open.

    ``jobs`` maps job ids to their tokens and admission times (ms of the store's clock).
    """

    jobs: dict[str, tuple[int, float]] = {}


_record_decoder = msgspec.json.Decoder(JobRecord)
_items_decoder = msgspec.json.Decoder(list[JobItem])
_result_decoder = msgspec.json.Decoder(ItemResult)
_partial_decoder = msgspec.json.Decoder(PartialOutput)
_quota_decoder = msgspec.json.Decoder(QuotaRow)
encode = msgspec.json.encode


def part_of(job_id: str) -> str:
    """Return the part of each table that holds the rows of a job.

    >>> part_of("job-1") == part_of("job-1")
    True
    """
    return f"{xxhash.xxh64_intdigest(job_id.encode()) % PART_COUNT:02x}"


def job_key(job_id: str) -> RowKey:
    """Return the key of a job's record."""
    return RowKey(JOB_TABLE, part_of(job_id), job_id)


def quota_key(route_name: str, tenant: str = "") -> RowKey:
    """Return the key of a tenant's quota on a route; callers without a key share one.

    >>> quota_key("jobs").key, quota_key("jobs", "quiz").key
    ('jobs', 'jobs/quiz')
    """
    return RowKey(QUOTA_TABLE, "", f"{route_name}/{tenant}" if tenant else route_name)


def result_start(job_id: str, position: int) -> str:
    """Return the first key of a position's rows.

    >>> result_start("j", 12)
    'j/000012'
    """
    return f"{job_id}/{position:06d}"


def keys_end(job_id: str) -> str:
    """Return a key that sorts after all rows of a job."""
    return f"{job_id}/~"


def payload_puts(job_id: str, items: list[JobItem]) -> list[Put]:
    """Return the rows that hold a job's items."""
    return _split(PAYLOAD_TABLE, job_id, PAYLOAD_NAME, encode(items))


def end_mark_put(job_id: str) -> Put:
    """Return the row that marks a job as ended.

    It stands beside the items, where earlier builds neither read nor write it, so the end lasts
    even if one of them stores the record as open.
    """
    return Put(RowKey(PAYLOAD_TABLE, part_of(job_id), f"{job_id}/{END_MARK}"), encode(True))


def result_puts(job_id: str, position: int, result: ItemResult) -> list[Put]:
    """Return the rows that hold one result."""
    return _split(RESULT_TABLE, job_id, f"{position:06d}", encode(result))


def partial_put(job_id: str, partial: PartialOutput) -> Put:
    """Return the row that holds a segment of an unfinished item's output."""
    name = f"{partial.index:06d}.{partial.epoch:06d}.{partial.start:06d}"
    return Put(RowKey(PARTIAL_TABLE, part_of(job_id), f"{job_id}/{name}"), encode(partial))


def _split(table: str, job_id: str, name: str, data: bytes) -> list[Put]:
    part = part_of(job_id)
    starts = range(0, max(1, len(data)), MAX_ROW_BYTES)
    return [
        Put(
            RowKey(table, part, f"{job_id}/{name}.{number:03d}"),
            data[start : start + MAX_ROW_BYTES],
        )
        for number, start in enumerate(starts)
    ]


def piece_name(key: str) -> str:
    """Return the name under which ``_split`` made a row."""
    return key.rpartition("/")[2].partition(".")[0]


def join_pieces(rows: list[tuple[str, bytes]]) -> dict[str, bytes]:
    """Return the data by name from rows that ``_split`` made.

    >>> join_pieces([("j/000001.000", b"a"), ("j/000001.001", b"b"), ("j/000002.000", b"c")])
    {'000001': b'ab', '000002': b'c'}
    """
    data_by_name: dict[str, bytes] = {}
    for key, value in rows:
        name = piece_name(key)
        data_by_name[name] = data_by_name.get(name, b"") + value
    return data_by_name


def decode_record(value: bytes | None) -> JobRecord:
    """Return a job's record; the row must exist. Raise InvalidContentError if it is invalid."""
    assert value is not None
    record = decode_content(_record_decoder, value)
    _check_record(record)
    return record


def _check_record(record: JobRecord) -> None:
    """Raise InvalidContentError if a field is out of bounds."""
    for name in ("accepted_ms", "due_ms", "give_up_ms"):
        if not abs(getattr(record, name)) <= MAX_NUMBER:
            raise InvalidContentError(f"{name}: it is not a time")
    counts = ("total", "tokens", "payload_rows", "epoch", "listed", "waiting_tokens")
    for name in counts:
        if not 0 <= getattr(record, name) <= MAX_NUMBER:
            raise InvalidContentError(f"{name}: it is not a count")
    for name in ("owner", "tenant"):
        if len(getattr(record, name).encode()) > MAX_NAME_BYTES:
            raise InvalidContentError(f"{name}: it has more than {MAX_NAME_BYTES} bytes")


def job_from_row(row: Row) -> StoredJob:
    """Return a job's record with the version of its row; the row must exist.

    Raise InvalidContentError if it is invalid.
    """
    stored = Stored.from_row(row, decode_record)
    if stored.content.job_id != row.row_key.key:
        raise InvalidContentError("job_id: it is not the key of the row")
    return stored


def with_progress_of(stored: StoredJob, earlier: StoredJob) -> StoredJob:
    """Return a record with the progress that an earlier one of the same job had.

    Listed results and the end of a job are never taken back, so a later record without them was
    written from older content. ``stored`` itself is returned if it lacks nothing.
    """
    record, known = stored.content, earlier.content
    if record.accepted_ms != known.accepted_ms:
        # The id was used again after the earlier job was removed.
        return stored
    if record.listed < known.listed:
        listed, waiting_tokens = known.listed, known.waiting_tokens
        record = msgspec.structs.replace(record, listed=listed, waiting_tokens=waiting_tokens)
    if known.is_ended and not record.is_ended:
        record = msgspec.structs.replace(record, is_ended=True)
    return stored if record is stored.content else stored.amend(record)


def change_job(job: StoredJob, **changed: object) -> JobWrite:
    """Return the write that changes some fields of a job's record."""
    return job.replace(msgspec.structs.replace(job.content, **changed))


def decode_items(value: bytes) -> list[JobItem]:
    """Return a job's items; raise InvalidContentError if they are invalid."""
    items = decode_content(_items_decoder, value)
    if not all(0 <= item.tokens <= MAX_NUMBER for item in items):
        raise InvalidContentError("tokens: it is not a count")
    return items


def decode_result(value: bytes) -> ItemResult:
    """Return a result; raise InvalidContentError if it is invalid."""
    return decode_content(_result_decoder, value)


def decode_partial(value: bytes) -> PartialOutput:
    """Return the output of an unfinished item; raise InvalidContentError if it is invalid."""
    partial = decode_content(_partial_decoder, value)
    for name in ("index", "start", "last_event_id", "failures"):
        if not 0 <= getattr(partial, name) <= MAX_NUMBER:
            raise InvalidContentError(f"{name}: it is not a count")
    for name in ("service", "software_version"):
        if len(getattr(partial, name).encode()) > MAX_NAME_BYTES:
            raise InvalidContentError(f"{name}: it has more than {MAX_NAME_BYTES} bytes")
    return partial


def decode_quota(value: bytes | None) -> QuotaRow:
    """Return a route's quota row; a missing row is empty.

    Raise InvalidContentError if it is invalid.
    """
    quota = QuotaRow() if value is None else decode_content(_quota_decoder, value)
    for tokens, admitted_ms in quota.jobs.values():
        if not (0 <= tokens <= MAX_NUMBER and abs(admitted_ms) <= MAX_NUMBER):
            raise InvalidContentError("jobs: tokens or time are out of bounds")
    return quota
