"""Jobs are accepted once and each item is listed at one position, whatever answers are lost."""

import os

import curio
import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from job_world import (
    ManualClock,
    OwnerNode,
    RefusedError,
    batch_route,
    exactly,
    finish,
    stored_job,
    submission,
)

from cloverwalk.core.error_response import NOTHING_SENT, error_response
from cloverwalk.emulator.memory_store import ROW_BYTES, CommitFault, MemoryStore
from cloverwalk.jobs.checkpoint import fitting_segments
from cloverwalk.jobs.errors import JobError
from cloverwalk.jobs.records import (
    JOB_TABLE,
    PAYLOAD_TABLE,
    RESULT_TABLE,
    JobRecord,
    PartialOutput,
    change_job,
    decode_record,
    partial_put,
    result_puts,
)
from cloverwalk.jobs.run import JobRun
from cloverwalk.jobs.sweeper import JobSweeper
from cloverwalk.store.stored import transaction
from cloverwalk.store.types import Row
from cloverwalk.telemetry.log import ServingLog

LOST, REFUSED, LATE = CommitFault.LOST_ANSWER, CommitFault.NOT_DONE, CommitFault.LATE


async def listed(node: OwnerNode, job_id: str) -> list[str]:
    page = await node.reader.read(job_id, 0, 0.0)
    return [result.item_id for result in page.results]


def test_accepted_job_is_complete_in_store() -> None:
    async def main() -> None:
        store = MemoryStore()
        await OwnerNode("n1", store, ManualClock()).submit(submission("j"), batch_route())
        other = OwnerNode("n2", store, ManualClock())
        record = await other.reader.find("j")
        items = await other.reader.items(record)
        assert [item.body for item in items] == [b"body 0", b"body 1", b"body 2"]

    curio.run(main)


def test_submission_reads_unknown_store_time_first() -> None:
    async def main() -> None:
        store = MemoryStore()
        store.now_ms = 50_000.0
        node = OwnerNode("n1", store, ManualClock())
        node.store_time = lambda: exactly(store.now_ms) if store.reads else None
        await node.submit(submission("j"), batch_route())
        record = await node.reader.find("j")
        assert record.accepted_ms == 50_000.0
        assert record.give_up_ms == 110_000.0

    curio.run(main)


def test_submission_is_refused_while_store_time_is_unknown() -> None:
    async def main() -> None:
        store = MemoryStore()
        node = OwnerNode("n1", store, ManualClock())
        node.store_time = lambda: None
        with pytest.raises(RefusedError) as refused:
            await node.submit(submission("j"), batch_route())
        assert refused.value.status == 503
        assert store.commits == 0

    curio.run(main)


def test_job_with_large_items_is_read_back_complete() -> None:
    async def main() -> None:
        store = MemoryStore()
        job = submission("j")
        for number, item in enumerate(job.items):
            item.body = bytes([number]) * 700_000
        await OwnerNode("n1", store, ManualClock()).submit(job, batch_route())
        other = OwnerNode("n2", store, ManualClock())
        items = await other.reader.items(await other.reader.find("j"))
        assert [item.body for item in items] == [item.body for item in job.items]

    curio.run(main)


@pytest.mark.parametrize("faults", [[LOST], [REFUSED], [LOST, LOST], [LATE], [REFUSED, LOST]])
def test_job_submitted_twice_is_accepted_once(faults: list[CommitFault]) -> None:
    async def main() -> None:
        store = MemoryStore()
        store.commit_faults.extend(faults)
        first = OwnerNode("n1", store, ManualClock())
        await first.submit(submission("j"), batch_route(1000))
        store.run_late()
        second = OwnerNode("n2", store, ManualClock())
        await second.submit(submission("j"), batch_route(1000))
        assert list(store.values(JOB_TABLE)) == ["j"]
        assert list(first.jobs) == ["j"]
        assert second.jobs == {}

    curio.run(main)


def test_resubmitted_job_is_not_restarted_after_takeover() -> None:
    """Only a takeover restores what an earlier owner listed; a submission does not read it."""

    async def main() -> None:
        store = MemoryStore()
        first = OwnerNode("n1", store, ManualClock())
        await first.submit(submission("j"), batch_route())
        job = first.jobs["j"]
        finish(job, job.items[0], "a b")
        await first.lister.list_finished(job)
        takeover = transaction(change_job(job.stored, owner="n2", epoch=2))
        await store.commit(takeover, 1.0)
        new_owner = OwnerNode("n2", store, ManualClock())
        await new_owner.submit(submission("j"), batch_route())
        assert new_owner.jobs == {}

    curio.run(main)


def test_unresolved_submission_is_not_answered_as_not_run() -> None:
    async def main() -> None:
        store = MemoryStore()
        store.commit_faults.extend([LATE] * 200)
        node = OwnerNode("n1", store, ManualClock(0.05))
        with pytest.raises(RefusedError) as caught:
            await node.submit(submission("j"), batch_route())
        assert caught.value.status == 504
        store.commit_faults.clear()
        store.commit_faults.extend([REFUSED] * 200)
        with pytest.raises(RefusedError) as refused:
            await node.submit(submission("k"), batch_route())
        assert refused.value.status == 503

    curio.run(main)


@pytest.mark.parametrize("is_elsewhere", [True, False])
def test_submission_is_refused_early_while_store_serves_other_nodes(
    is_elsewhere: bool,
) -> None:
    async def main() -> None:
        store = MemoryStore()
        store.commit_faults.extend([REFUSED] * 200)
        node = OwnerNode("n1", store, ManualClock(0.01))
        node.is_served_elsewhere = is_elsewhere
        with pytest.raises(RefusedError) as refused:
            await node.submit(submission("j"), batch_route())
        assert refused.value.status == 503
        attempts = 200 - len(store.commit_faults)
        assert attempts <= 3 if is_elsewhere else attempts >= 4
        assert (refused.value.retry_after_s or 1.0) <= (0.05 if is_elsewhere else 0.3)
        await node.health.record_failure()
        faults_left = len(store.commit_faults)
        with pytest.raises(RefusedError) as again:
            await node.submit(submission("k"), batch_route())
        assert again.value.status == 503
        assert (len(store.commit_faults) == faults_left) == is_elsewhere

    curio.run(main)


def test_lost_commit_answer_does_not_list_results_twice() -> None:
    """The group must not grow while the outcome of its transaction is unknown."""

    async def main() -> None:
        store = MemoryStore()
        node = OwnerNode("n1", store, ManualClock(0.2))
        await node.submit(submission("j"), batch_route())
        job = node.jobs["j"]
        finish(job, job.items[0], "a b")
        # No answer arrives until the time limit of one commit is over.
        store.commit_faults.extend([LOST] + [REFUSED] * 30)
        listing = await curio.spawn(node.lister.list_finished, job)
        while len(store.commit_faults) > 5:
            await curio.sleep(0)
        finish(job, job.items[1], "c d")
        await listing.join()
        await node.lister.list_finished(job)
        assert await listed(node, "j") == ["j-0", "j-1"]

    curio.run(main)


def test_former_owner_lists_no_results() -> None:
    async def main() -> None:
        store = MemoryStore()
        node = OwnerNode("n1", store, ManualClock())
        await node.submit(submission("j"), batch_route())
        job = node.jobs["j"]
        store.apply(transaction(change_job(job.stored, owner="n2", epoch=2)))
        finish(job, job.items[0], "a b")
        await node.lister.list_finished(job)
        assert node.jobs == {}
        assert decode_record(store.values(JOB_TABLE)["j"]).listed == 0

    curio.run(main)


@given(
    st.lists(st.sampled_from([None, LOST, REFUSED, LATE]), max_size=14),
    st.lists(st.integers(0, 4), min_size=5, max_size=5, unique=True),
    st.integers(0, 5),
)
def test_each_item_is_listed_at_one_position(
    faults: list[CommitFault | None], order: list[int], takeover_after: int
) -> None:
    """Lost answers, late commits and a takeover change no position and list no item twice."""

    async def main() -> None:
        store = MemoryStore()
        first = OwnerNode("n1", store, ManualClock())
        await first.submit(submission("j", count=5), batch_route())
        job = first.jobs["j"]
        store.commit_faults.extend(faults)
        seen: list[str] = []
        for step, index in enumerate(order):
            if step == takeover_after:
                job = await take_over(store, job.record.epoch)
            if job.items[index].result is None:
                finish(job, job.items[index], f"text of {index}")
            owner = OwnerNode(job.record.owner, store, ManualClock())
            await owner.lister.list_finished(job)
            now_listed = await listed(OwnerNode("reader", store, ManualClock()), "j")
            assert now_listed[: len(seen)] == seen
            seen = now_listed
            store.run_late()
        assert len(set(seen)) == len(seen)
        assert sorted(seen) == [f"j-{number}" for number in range(5)]

    async def take_over(store: MemoryStore, epoch: int) -> JobRun:
        faults = list(store.commit_faults)
        store.commit_faults.clear()
        node = OwnerNode("n2", store, ManualClock())
        await node.sync_view()
        cached = node.view.find("j")
        assert cached is not None
        write = change_job(cached, owner="n2", epoch=epoch + 1)
        outcome = store.apply(transaction(write))
        job = JobRun(write.committed(outcome), await node.reader.items(write.content))
        job.restore(set(await listed(node, "j")), [])
        store.commit_faults.extend(faults)
        return job

    curio.run(main)


def test_quota_holds_for_concurrent_submissions() -> None:
    async def main() -> None:
        store = MemoryStore()
        nodes = [OwnerNode(f"n{number}", store, ManualClock()) for number in range(6)]
        refused = 0
        tasks = [
            await curio.spawn(node.submit, submission(f"j{number}", 3, 100), batch_route(1000))
            for number, node in enumerate(nodes)
        ]
        for task in tasks:
            await task.wait()
            refused += isinstance(task.exception, RefusedError) and task.exception.status == 429
        assert refused == 3
        assert len(store.values(JOB_TABLE)) == 3

    curio.run(main)


def test_listed_items_free_quota() -> None:
    async def main() -> None:
        store = MemoryStore()
        node = OwnerNode("n1", store, ManualClock())
        await node.submit(submission("j", 3, 100), batch_route(400))
        with pytest.raises(RefusedError):
            await node.submit(submission("k", 3, 100), batch_route(400))
        job = node.jobs["j"]
        for item_run in job.items[:2]:
            finish(job, item_run, "text")
        await node.lister.list_finished(job)
        await node.submit(submission("k", 3, 100), batch_route(400))

    curio.run(main)


def test_missing_job_is_404_only_when_store_confirms_it() -> None:
    """The store is linearizable: only an answered read without the row proves a missing job."""

    async def main() -> None:
        store = MemoryStore()
        node = OwnerNode("n1", store, ManualClock())
        with pytest.raises(JobError) as missing:
            await node.reader.read("nothing", 0, 0.0)
        await OwnerNode("n2", store, ManualClock()).submit(submission("nothing"), batch_route())
        assert (await node.reader.read("nothing", 0, 0.0)).total == 3
        store.is_down = True
        with pytest.raises(JobError) as unavailable:
            await node.reader.read("nothing", 0, 0.0)
        with pytest.raises(JobError) as unavailable_uncached:
            await node.reader.read("other", 0, 0.0)
        statuses = [
            error_response(raised.value, NOTHING_SENT).status
            for raised in (missing, unavailable, unavailable_uncached)
        ]
        assert statuses == [404, 503, 503]

    curio.run(main)


@given(st.lists(st.tuples(st.integers(1, 3), st.integers(0, 12), st.integers(1, 6)), max_size=14))
def test_restored_output_is_a_prefix_saved_by_one_owner(cuts: list[tuple[int, int, int]]) -> None:
    """Output of two owners' runs must not be joined.

    Segments may overlap, be missing and come from owners that overlapped in time: the longest
    output that one owner saved without a gap is restored.
    """
    texts = {epoch: [f"{epoch}:{number}" for number in range(18)] for epoch in (1, 2, 3)}
    segments = [
        PartialOutput(0, epoch, start, start + count - 1, texts[epoch][start : start + count])
        for epoch, start, count in cuts
    ]
    record = JobRecord("j", "h", "/", 0.0, 0.0, 0.0, 3, 1, 10, 1, "n1", epoch=4)
    job = JobRun(stored_job(record), submission("j", count=1).items)
    job.restore(set(), segments)
    item = job.items[0]
    longest = 0
    for epoch in (1, 2, 3):
        covered = {n for e, start, count in cuts if e == epoch for n in range(start, start + count)}
        longest = max(longest, min(set(range(19)) - covered))
    assert len(item.texts) == longest
    assert item.texts in [texts[epoch][:longest] for epoch in (1, 2, 3)]
    assert item.last_event_id == (longest - 1 if longest else None)
    assert len(job.unsaved()) == (1 if longest else 0)


def test_each_output_segment_is_saved_once() -> None:
    record = JobRecord("j", "h", "/", 0.0, 0.0, 0.0, 3, 1, 10, 1, "n1")
    job = JobRun(stored_job(record), submission("j", count=1).items)
    item = job.items[0]
    job.begin(item, "r1", 0.0)
    saved: list[PartialOutput] = []
    for number in range(1, 10):
        assert job.add_event(item, number, "x" * 9000)
        if number % 3 == 0:
            new = job.unsaved()
            job.mark_saved(new)
            saved += new
            assert job.unsaved() == []
    fresh = JobRun(stored_job(record), submission("j", count=1).items)
    fresh.restore(set(), saved)
    assert fresh.items[0].texts == item.texts
    assert fresh.items[0].last_event_id == 9


# Guards against a job whose output and results are never stored: the store refuses long rows, and
# transactions of more than a megabyte with values in base64.
@pytest.mark.parametrize("text", ["x", "\u8a9e", "\0", "\U0001f340"])
@pytest.mark.parametrize("length", [100, 9_000, 19_900])
def test_output_of_any_characters_is_saved_in_rows_that_the_store_takes(
    text: str, length: int
) -> None:
    record = JobRecord("j", "h", "/", 0.0, 0.0, 0.0, 3, 12, 10, 1, "n1")
    job = JobRun(stored_job(record), submission("j", count=12).items)
    event = text * (length if len(msgspec.json.encode(length * text)) < 45_000 else length // 8)
    for item in job.items:
        job.begin(item, "r1", 0.0)
        for number in range(1, 13):
            assert job.add_event(item, number, event)
    saved: list[PartialOutput] = []
    for _ in range(60):
        segments = fitting_segments(job.unsaved())
        puts = [partial_put("j", segment) for segment in segments]
        assert all(len(put.value) <= ROW_BYTES for put in puts)
        assert sum(len(put.value) for put in puts) * 4 / 3 < 1_000_000
        job.mark_saved(segments)
        saved += segments
    fresh = JobRun(stored_job(record), submission("j", count=12).items)
    fresh.restore(set(), saved)
    assert [item.texts for item in fresh.items] == [item.texts for item in job.items]


def test_event_that_fits_no_row_does_not_keep_other_output_from_being_saved() -> None:
    record = JobRecord("j", "h", "/", 0.0, 0.0, 0.0, 3, 2, 10, 1, "n1")
    job = JobRun(stored_job(record), submission("j", count=2).items)
    for item, middle in zip(job.items, (100_000 * "x", "b"), strict=True):
        job.begin(item, "r1", 0.0)
        for number, text in enumerate(["a", middle, "c"], 1):
            assert job.add_event(item, number, text)
    saved = fitting_segments(job.unsaved())
    assert all(len(partial_put("j", segment).value) <= ROW_BYTES for segment in saved)
    fresh = JobRun(stored_job(record), submission("j", count=2).items)
    fresh.restore(set(), saved)
    assert [item.texts for item in fresh.items] == [["a"], ["a", "b", "c"]]
    assert [item.last_event_id for item in fresh.items] == [1, 3]


def test_results_of_any_characters_are_listed_in_transactions_that_the_store_takes() -> None:
    record = JobRecord("j", "h", "/", 0.0, 0.0, 0.0, 3, 20, 10, 1, "n1")
    job = JobRun(stored_job(record), submission("j", count=20).items)
    for item in job.items:
        job.begin(item, "r1", 0.0)
        assert job.add_event(item, 1, 30_000 * "\u8a9e")
        job.succeed(item)
    group = job.next_group()
    results = [item.result for item in group if item.result is not None]
    puts = [put for n, result in enumerate(results) for put in result_puts("j", n, result)]
    assert 0 < sum(len(put.value) for put in puts) * 4 / 3 < 1_000_000


def test_outdated_read_does_not_restore_removed_job() -> None:
    async def main() -> None:
        store = MemoryStore()
        node = OwnerNode("n1", store, ManualClock())
        await node.submit(submission("j"), batch_route())
        lagging = await store.read_table(JOB_TABLE)
        row = lagging.rows[0]
        await node.view.apply_row(Row(row.row_key, None, row.version + 1))
        await node.view.apply_page(lagging)
        assert node.view.find("j") is None

    curio.run(main)


def test_sweep_removes_old_jobs_and_keeps_open_ones() -> None:
    async def main() -> None:
        store = MemoryStore()
        node = OwnerNode("n1", store, ManualClock())
        await node.submit(submission("old"), batch_route())
        await node.submit(submission("open"), batch_route())
        job = node.jobs["old"]
        for item_run in job.items:
            finish(job, item_run, "a b")
        await node.lister.list_finished(job)
        log = ServingLog("n1", node.clock, os.open(os.devnull, os.O_WRONLY))
        now = exactly(0.0)
        sweeper = JobSweeper(
            "n1",
            lambda: ["n1"],
            node.view,
            store,
            node.committer,
            lambda: now,
            120.0,
            log,
        )
        await sweeper.sweep()
        assert sorted(store.values(JOB_TABLE)) == ["old", "open"]
        now = exactly(181_000.0)
        await sweeper.sweep()
        assert sorted(store.values(JOB_TABLE)) == ["open"]
        assert store.values(RESULT_TABLE) == {}
        assert len(store.values(PAYLOAD_TABLE)) == 1

    curio.run(main)
