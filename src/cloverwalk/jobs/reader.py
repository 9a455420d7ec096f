"""Reads jobs at any node: records from the store, results from the cache or the store."""

from collections.abc import Callable

import curio
from msgspec import Struct

from cloverwalk.core.decoding import InvalidContentError
from cloverwalk.core.error_response import Reason
from cloverwalk.jobs.errors import JobError
from cloverwalk.jobs.records import (
    END_MARK,
    PAYLOAD_NAME,
    PAYLOAD_TABLE,
    RESULT_TABLE,
    ItemResult,
    JobItem,
    JobRecord,
    StoredJob,
    decode_items,
    decode_result,
    job_key,
    join_pieces,
    keys_end,
    part_of,
    piece_name,
    result_start,
)
from cloverwalk.jobs.result_cache import ResultCache
from cloverwalk.jobs.view import JobView
from cloverwalk.store.types import Row, RowKey, RowPage, Store, StoreError

MAX_RESULT_BYTES = 700_000
MAX_RESULTS = 100
RETRY_AFTER_S = 0.3
POLL_INTERVAL_S = 0.3
"""Interval at which the record of another node's job is read while a caller waits for a result."""


class ResultPage(Struct):
    """Results from a position on."""

    total: int
    next_position: int
    results: list[ItemResult]


class Payload(Struct):
    """What is stored beside a job's record."""

    items: list[JobItem]
    is_ended: bool
    """Whether a caller has ended the job."""


class JobReader:
    """Reads the records, results and items of jobs."""

    def __init__(
        self,
        store: Store,
        view: JobView,
        is_run_here: Callable[[str], bool],
        cache: ResultCache,
        clock: Callable[[], float],
    ) -> None:
        self._store = store
        self._view = view
        self._is_run_here = is_run_here
        self._cache = cache
        self._clock = clock

    async def read(self, job_id: str, position: int, wait_s: float) -> ResultPage:
        """Return results from ``position`` on; wait for one up to ``wait_s`` seconds."""
        record = await self.find(job_id)
        deadline = self._clock() + wait_s
        while position >= record.listed and record.is_open and self._clock() < deadline:
            await self._wait_for_change(job_id, deadline)
            record = await self.find(job_id)
        results = await self._results(record, position)
        return ResultPage(record.total, position + len(results), results)

    async def _wait_for_change(self, job_id: str, deadline: float) -> None:
        remaining_s = max(0.0, deadline - self._clock())
        if self._is_run_here(job_id):
            await self._view.wait_for_change(job_id, remaining_s)
        else:
            await curio.sleep(min(POLL_INTERVAL_S, remaining_s))

    async def find(self, job_id: str) -> JobRecord:
        """Return a job's record; raise JobError 404 only if the store confirms that it has none."""
        return (await self.find_stored(job_id)).content

    async def find_stored(self, job_id: str) -> StoredJob:
        """Return what ``find`` returns, with its version."""
        cached = self._view.find(job_id)
        if cached is not None and self._is_run_here(job_id):
            return cached
        stored = await self.read_stored(job_id)
        if stored is None:
            raise JobError(Reason.NOT_FOUND, "no_such_job", "no such job")
        return stored

    async def read_stored(self, job_id: str) -> StoredJob | None:
        """Return a job's record from the store, None if it has none; raise JobError.

        It is the newest record that this node knows, if that is newer than the one that was read.
        """
        key = job_key(job_id)
        page = await self._page(key.table, key.part, key.key, key.key + "\x01")
        for row in page.rows:
            if row.row_key.key == job_id and row.value is not None:
                return await self._view.put_row(row)
        return None

    async def _page(self, table: str, part: str, start: str, end: str) -> RowPage:
        try:
            return await self._store.read(table, part, start, end)
        except StoreError as error:
            raise JobError(Reason.UNAVAILABLE, error.code, str(error), RETRY_AFTER_S) from error

    async def _results(self, record: JobRecord, position: int) -> list[ItemResult]:
        end = min(record.listed, position + MAX_RESULTS)
        results: list[ItemResult] = []
        size = 0
        next_position = position
        while next_position < end and size < MAX_RESULT_BYTES:
            result = self._cache.get(record.job_id, next_position)
            if result is None:
                if not await self._cache_results(record, next_position, end):
                    break
                continue
            results.append(result)
            size += len(result.text)
            next_position += 1
        if not results and position < record.listed:
            message = "the result could not be read"
            raise JobError(Reason.UNAVAILABLE, "result_not_read", message, RETRY_AFTER_S)
        return results

    async def _cache_results(self, record: JobRecord, position: int, end: int) -> bool:
        """Load results into the cache; return whether the one at ``position`` is among them."""
        job_id = record.job_id
        page = await self._page(
            RESULT_TABLE, part_of(job_id), result_start(job_id, position), result_start(job_id, end)
        )
        pieces = [(row.row_key.key, row.value) for row in page.rows if row.value is not None]
        rows_by_name = {piece_name(row.row_key.key): row for row in page.rows}
        values_by_position = join_pieces(pieces)
        if page.has_more and values_by_position:
            # The last position may be incomplete in this page.
            values_by_position.pop(max(values_by_position))
        found = False
        for name, value in values_by_position.items():
            try:
                self._cache.put(job_id, int(name), decode_result(value))
            except ValueError as error:
                self._view.on_invalid(rows_by_name[name], error)
            else:
                found = found or int(name) == position
        return found

    async def items(self, record: JobRecord) -> list[JobItem]:
        """Return a job's items from the store."""
        return (await self.payload(record)).items

    async def payload(self, record: JobRecord) -> Payload:
        """Return a job's items from the store, and whether it is marked as ended."""
        job_id = record.job_id
        rows: list[tuple[str, bytes]] = []
        start = f"{job_id}/"
        while True:
            page = await self._page(PAYLOAD_TABLE, part_of(job_id), start, keys_end(job_id))
            rows += [(row.row_key.key, row.value) for row in page.rows if row.value is not None]
            if not page.has_more or not page.rows:
                break
            start = page.rows[-1].row_key.key + "\x01"
        is_ended = bool(rows) and rows[0][0] == f"{job_id}/{END_MARK}"
        if len(rows) - is_ended < record.payload_rows:
            message = "the items could not be read"
            raise JobError(Reason.UNAVAILABLE, "payload_not_read", message, RETRY_AFTER_S)
        return Payload(self._decode_items(record, rows), is_ended)

    def _decode_items(self, record: JobRecord, rows: list[tuple[str, bytes]]) -> list[JobItem]:
        try:
            items = decode_items(join_pieces(rows).get(PAYLOAD_NAME, b""))
            if len(items) != record.total:
                raise InvalidContentError(f"{len(items)} items instead of {record.total}")
        except InvalidContentError as error:
            key = RowKey(PAYLOAD_TABLE, part_of(record.job_id), record.job_id)
            # All rows of the items are invalid together; they are written once.
            self._view.on_invalid(Row(key, None, 1), error)
            message = "the items of the job are invalid"
            raise JobError(Reason.UNAVAILABLE, "job_row_invalid", message) from error
        return items
