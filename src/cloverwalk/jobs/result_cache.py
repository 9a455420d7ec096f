"""Cache of listed results. They never change, so a cached copy is always valid."""

from collections import OrderedDict

from cloverwalk.jobs.records import ItemResult

MAX_BYTES = 6_000_000


class ResultCache:
    """Results by job and position; the least recently used jobs are evicted first.

    >>> from cloverwalk.jobs.records import ItemState
    >>> cache = ResultCache(max_bytes=8)
    >>> cache.put("j", 0, ItemResult("a", ItemState.SUCCEEDED, "12345"))
    >>> cache.put("k", 0, ItemResult("b", ItemState.SUCCEEDED, "12345"))
    >>> cache.get("j", 0) is None, cache.get("k", 0).item_id
    (True, 'b')
    """

    def __init__(self, max_bytes: int = MAX_BYTES) -> None:
        self._max_bytes = max_bytes
        self._jobs: OrderedDict[str, dict[int, ItemResult]] = OrderedDict()
        self._bytes = 0

    def put(self, job_id: str, position: int, result: ItemResult) -> None:
        """Cache a result that the store holds."""
        results = self._jobs.setdefault(job_id, {})
        if position not in results:
            results[position] = result
            self._bytes += len(result.text)
        self._jobs.move_to_end(job_id)
        while self._bytes > self._max_bytes and len(self._jobs) > 1:
            _, evicted = self._jobs.popitem(last=False)
            self._bytes -= sum(len(cached.text) for cached in evicted.values())

    def get(self, job_id: str, position: int) -> ItemResult | None:
        """Return a result if it is cached."""
        results = self._jobs.get(job_id)
        if results is None:
            return None
        self._jobs.move_to_end(job_id)
        return results.get(position)
