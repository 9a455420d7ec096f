"""Following a table of the store whose history was dropped."""

import os
import time
from random import Random

import curio
from job_world import ManualClock

from cloverwalk.core.clock import Clock
from cloverwalk.fleet.follower import TableFollower
from cloverwalk.store.health import StoreHealth
from cloverwalk.store.types import HistoryLostError, Row, RowKey, RowPage, StoreError
from cloverwalk.telemetry.log import ServingLog

TABLE = "op"
KEY = RowKey(TABLE, "", "config")
TEST_TIMEOUT_S = 5.0


def page(version: int) -> RowPage:
    return RowPage([Row(KEY, b"%d" % version, version)], version, None)


class ScriptedStore:
    """Answers full reads and change calls from two lists; calls beyond them never return."""

    def __init__(self, reads: list[RowPage], changes: list[RowPage | StoreError]) -> None:
        self._reads = reads
        self._changes = changes
        self.followed_from: list[int] = []

    async def read_table(self, table: str) -> RowPage:
        return self._reads.pop(0) if self._reads else await self._wait_forever()

    async def changes(self, table: str, since: int, wait_s: float) -> RowPage:
        self.followed_from.append(since)
        answer = self._changes.pop(0) if self._changes else await self._wait_forever()
        if isinstance(answer, StoreError):
            raise answer
        return answer

    async def _wait_forever(self) -> RowPage:
        await curio.sleep(3600)
        raise AssertionError


# Guards against an outdated full read replacing newer rows after the store dropped its history.
def test_full_read_older_than_an_earlier_answer_is_read_again() -> None:
    async def test() -> None:
        history_lost = HistoryLostError("compacted")
        store = ScriptedStore([page(5), page(4), page(4), page(9)], [page(7), history_lost])
        full_reads: list[int] = []
        confirmed: list[float] = []

        async def on_full_read(rows: RowPage) -> None:
            full_reads.append(rows.version)

        async def on_changes(rows: RowPage) -> None:
            assert rows.version == 7

        follower = TableFollower(
            TABLE,
            store,  # type: ignore[arg-type]
            StoreHealth(Clock(ManualClock())),
            on_full_read,
            on_changes,
            0.001,
            ServingLog("n1", time.monotonic, os.open(os.devnull, os.O_WRONLY)),
            time.monotonic,
            Random(1),
            on_confirmed=confirmed.append,
        )
        task = await curio.spawn(follower.run, daemon=True)
        async with curio.timeout_after(TEST_TIMEOUT_S):
            while full_reads[-1:] != [9]:
                await curio.sleep(0.01)
        await task.cancel()
        assert full_reads == [5, 9]
        assert len(confirmed) == 3

    curio.run(test)


# Guards against a needless full read after another node has sent the rows, and against following
# the changes after a version whose history is lost.
def test_rows_of_another_node_spare_a_full_read_unless_history_is_lost() -> None:
    async def test() -> None:
        store = ScriptedStore([page(9)], [page(7), HistoryLostError("compacted"), page(10)])
        confirmed: list[float] = []

        async def ignore_rows(rows: RowPage) -> None:
            return

        follower = TableFollower(
            TABLE,
            store,  # type: ignore[arg-type]
            StoreHealth(Clock(ManualClock())),
            ignore_rows,
            ignore_rows,
            0.001,
            ServingLog("n1", time.monotonic, os.open(os.devnull, os.O_WRONLY)),
            time.monotonic,
            Random(1),
            on_confirmed=confirmed.append,
            resume_version=lambda: 6,
        )
        task = await curio.spawn(follower.run, daemon=True)
        async with curio.timeout_after(TEST_TIMEOUT_S):
            while follower.version != 10:
                await curio.sleep(0.01)
        await task.cancel()
        assert store.followed_from[:3] == [6, 7, 9]
        assert len(confirmed) == 3

    curio.run(test)
