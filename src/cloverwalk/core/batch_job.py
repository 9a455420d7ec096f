"""The state of one batch job at its owner: which items are pending, running or done.

An item is done when the segment with its result is committed. An item that is lost before
that is run again.
"""

from collections import deque
from collections.abc import Iterable
from enum import IntEnum

from msgspec import Struct

from cloverwalk.core.types import BatchItem, ItemResult, JobRow


class ItemState(IntEnum):
    """States of an item at the job's owner."""

    PENDING = 0
    RUNNING = 1
    FINISHED = 2  # has a result that is not in a committed segment yet
    DONE = 3


class Handout(Struct, frozen=True):
    """An item assigned to a replica owner, with the output of an earlier run to resume from."""

    index: int
    item: BatchItem
    resume_text: str


class _Assignment(Struct, frozen=True):
    node: str
    confirmed_at: float


class BatchJob:
    """The items of a job. Parts of the manifest are loaded as they are needed.

    >>> row = JobRow("j", "s", "k", "m", item_count=3, part_size=2, body_hash="", submitted_at=0.0)
    >>> job = BatchJob(row, done=[0])
    >>> job.part_to_load(), job.pending_count
    (0, 2)
    >>> job.load([BatchItem("a", "x", 1), BatchItem("b", "y", 1)])
    >>> [handout.index for handout in job.take(5, node="n1", now=0.0)]
    [1]
    """

    def __init__(self, row: JobRow, done: Iterable[int] = ()) -> None:
        self.row = row
        self._state = bytearray(row.item_count)
        for index in done:
            self._state[index] = ItemState.DONE
        self.done_count = self._state.count(ItemState.DONE)
        self.pending_count = row.item_count - self.done_count
        self._queue: deque[int] = deque()
        self._loaded: dict[int, BatchItem] = {}
        self._next_part = 0
        self._prompt_chars = 0
        self._prompt_count = 0
        self._loading = False
        self._holders: dict[int, _Assignment] = {}
        self._resume_text: dict[int, str] = {}
        self.finished: list[ItemResult] = []

    @property
    def running_count(self) -> int:
        """Items that are assigned to a replica owner and have no result."""
        return len(self._holders)

    @property
    def part_count(self) -> int:
        """The number of parts of the manifest."""
        return -(-self.row.item_count // self.row.part_size)

    @property
    def ready_count(self) -> int:
        """Pending items whose part of the manifest is loaded.

        This is an upper bound, because the queue may contain items that have a result by now.
        """
        return min(self.pending_count, len(self._queue))

    @property
    def typical_prompt_chars(self) -> float:
        """The mean length of the prompts loaded so far."""
        return self._prompt_chars / max(1, self._prompt_count)

    def part_to_load(self) -> int | None:
        """Return the next part to fetch; None if none is left or needed, or during a fetch."""
        if self._loading or self._next_part >= self.part_count:
            return None
        if len(self._queue) > self.row.part_size // 2:
            return None
        return self._next_part

    def loading(self) -> None:
        """Mark the part from :meth:`part_to_load` as being fetched."""
        self._loading = True

    def load_failed(self) -> None:
        """Record that the fetch failed; :meth:`part_to_load` returns the part again."""
        self._loading = False

    def load(self, items: list[BatchItem]) -> None:
        """Add the items of the next part to the queue."""
        first = self._next_part * self.row.part_size
        self._next_part += 1
        self._loading = False
        for index, item in enumerate(items, start=first):
            self._prompt_chars += len(item.prompt)
            self._prompt_count += 1
            if self._state[index] == ItemState.PENDING:
                self._loaded[index] = item
                self._queue.append(index)

    def take(self, count: int, node: str, now: float) -> list[Handout]:
        """Assign up to ``count`` items to ``node``, the owner of a replica."""
        handouts: list[Handout] = []
        while self._queue and len(handouts) < count:
            index = self._queue.popleft()
            if self._state[index] != ItemState.PENDING:
                continue  # a node that had the item before sent its result
            self._state[index] = ItemState.RUNNING
            self.pending_count -= 1
            self._holders[index] = _Assignment(node, now)
            resume_text = self._resume_text.get(index, "")
            handouts.append(Handout(index, self._loaded[index], resume_text))
        return handouts

    def give_back(self, index: int, node: str, resume_text: str = "") -> None:
        """Return an unfinished item to the front of the queue, to resume from ``resume_text``."""
        assignment = self._holders.get(index)
        if assignment is None or assignment.node != node:
            return  # the item is no longer assigned to this node
        del self._holders[index]
        self._state[index] = ItemState.PENDING
        self.pending_count += 1
        if resume_text:
            self._resume_text[index] = resume_text
        self._queue.appendleft(index)

    def confirm(self, node: str, indexes: Iterable[int], now: float) -> None:
        """Record that ``node`` confirmed that it has these items."""
        for index in indexes:
            assignment = self._holders.get(index)
            if assignment is not None and assignment.node == node:
                self._holders[index] = _Assignment(node, now)

    def take_back_unconfirmed(self, now: float, grace_s: float) -> None:
        """Return to the queue all items whose last confirmation is older than ``grace_s``."""
        for index, assignment in list(self._holders.items()):
            if now - assignment.confirmed_at > grace_s:
                self.give_back(index, assignment.node)

    def node_lost(self, node: str) -> None:
        """Return all items of a lost node to the queue."""
        for index, assignment in list(self._holders.items()):
            if assignment.node == node:
                self.give_back(index, node)

    def finish(self, result: ItemResult) -> bool:
        """Record a result; return False for a duplicate."""
        index = result.index
        state = self._state[index]
        if state not in (ItemState.PENDING, ItemState.RUNNING):
            return False
        if state == ItemState.PENDING:
            self.pending_count -= 1
        self._state[index] = ItemState.FINISHED
        self._holders.pop(index, None)
        self._resume_text.pop(index, None)
        self._loaded.pop(index, None)
        self.finished.append(result)
        return True

    def committed(self, results: list[ItemResult]) -> None:
        """Mark the items of a committed segment as done; they must be the first of ``finished``."""
        for result in results:
            self._state[result.index] = ItemState.DONE
        self.done_count += len(results)
        self.finished = self.finished[len(results) :]

    def slack_s(self, wall_now: float, items_per_s: float) -> float:
        """Return the seconds left between the expected end at ``items_per_s`` and the deadline."""
        if self.row.deadline_at is None:
            return float("inf")
        remaining_items = self.pending_count + self.running_count
        return self.row.deadline_at - wall_now - remaining_items / max(items_per_s, 1e-9)
