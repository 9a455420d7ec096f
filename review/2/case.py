"""A batch job is ended at a node that does not run it, while the store is slow.

Results of the job that clients have read before must come again, from every node.
"""

import asyncio
import base64
import itertools
import json
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stand_ins import (  # noqa: E402
    Answer,
    CouldNotRunError,
    Fleet,
    Node,
    Record,
    call_once,
    configuration_of,
    route,
    run_case,
)

NODES = 4
REPLICAS = 12
JOBS_AT_A_TIME = 8
ITEMS = 24
MIN_EVENTS = 4
EVENT_INTERVAL_S = 0.1
"""Items have one event more each, so a job's items end one after the other for some seconds."""
USUAL_DELAY_S = 0.004
"""Latency of the store in the site file."""

MAX_SLOW_DELAY_S = 0.48
"""120 times the usual latency, twice the largest dose of ``platform_slow`` in the site file."""

SUBMITTING_S = 60.0
"""Jobs are submitted for this time."""

READERS_PER_NODE = 3
"""The client of a job and two clients that examine it, at each node."""

MAX_JOB_S = 1.5
"""A client ends its job at a random time up to this after its first result."""

FIRST_RESULT_TIMEOUT_S = 15.0

CALM_S = 5.0
"""Time with a fast store before the last reads; more than contact_ms and settle_ms together."""


class JobHistory:
    """What clients have read of one job."""

    def __init__(self, job_id: str, owner: Node) -> None:
        self.job_id = job_id
        self.owner = owner
        self.results: dict[int, dict[str, str]] = {}
        """Results by position, as first read."""

        self.is_over = False


class Case:
    """The clients, and what they saw."""

    def __init__(self, fleet: Fleet, record: Record) -> None:
        self._fleet = fleet
        self._record = record
        self._random = random.Random(7)
        self.jobs: list[JobHistory] = []
        self.broken: list[str] = []

    @property
    def job_count(self) -> int:
        """Number of accepted jobs."""
        return len(self.jobs)

    async def run_jobs(self) -> None:
        """Submit, read and end jobs, some at a time."""
        numbers = itertools.count()
        ends_at = time.monotonic() + SUBMITTING_S

        async def work() -> None:
            while time.monotonic() < ends_at:
                await self._run_job(next(numbers))

        async with asyncio.TaskGroup() as tasks:
            for _ in range(JOBS_AT_A_TIME):
                tasks.create_task(work())

    async def _run_job(self, number: int) -> None:
        job = JobHistory(f"{number:04x}c41e09b52d6a", self._fleet.nodes[number % NODES])
        if not await self._submit(job):
            return
        self.jobs.append(job)
        async with asyncio.TaskGroup() as tasks:
            for node in self._fleet.nodes * READERS_PER_NODE:
                tasks.create_task(self._watch(job, node))
            submitted_at = time.monotonic()
            while not job.results and time.monotonic() < submitted_at + FIRST_RESULT_TIMEOUT_S:
                await asyncio.sleep(0.05)
            await asyncio.sleep(self._random.uniform(0.2, MAX_JOB_S))
            others = [node for node in self._fleet.nodes if node is not job.owner]
            first, second = self._random.sample(others, 2)
            tasks.create_task(self._end(job, second, after_s=self._random.uniform(0.0, 0.4)))
            await self._end(job, first)
            await asyncio.sleep(0.3)
            job.is_over = True

    async def _submit(self, job: JobHistory) -> bool:
        requests = []
        for index in range(ITEMS):
            item_id = f"{job.job_id}{index:04x}"
            headers = {
                "X-Cloverwalk-Model": "m",
                "X-Cloverwalk-Token-Usage": f"40,{MIN_EVENTS + index}",
                "X-Cloverwalk-Prefix-Hash": f"{item_id}:40",
            }
            requests.append(
                {
                    "id": item_id,
                    "path": f"/batch/{index}",
                    "headers": headers,
                    "body": base64.b64encode(item_id.encode()).decode(),
                    "tokens": 40 + MIN_EVENTS + index,
                }
            )
        body = json.dumps({"requests": requests}).encode()
        headers = {"X-Cloverwalk-Request-Id": job.job_id, "Content-Type": "application/json"}
        target = f"/batch/{job.job_id}"
        answer = await call_once(job.owner.address, "POST", target, headers=headers, body=body)
        status = None if answer is None else answer.status
        self._record.write("job submitted", job=job.job_id, node=job.owner.name, status=status)
        return status == 202

    async def _watch(self, job: JobHistory, node: Node) -> None:
        """Read a job at one node as its client or an observer does: twice a second at most."""
        position = 0
        while not job.is_over:
            began_at = time.monotonic()
            page = await self._read(job, node, position, wait_ms=1000)
            if page is not None:
                position = page["next_token"]
            await asyncio.sleep(max(0.0, began_at + 0.5 - time.monotonic()))

    async def _read(
        self, job: JobHistory, node: Node, position: int, wait_ms: int = 0
    ) -> dict | None:
        headers = {"X-Cloverwalk-Wait-Ms": str(wait_ms)} if wait_ms else {}
        target = f"/api/lots/{job.job_id}?since_revision={position}"
        answer = await call_once(node.address, "GET", target, headers=headers)
        if answer is None or answer.status != 200 or not answer.is_complete:
            return None
        page = json.loads(answer.body)
        results = page["results"]
        if results:
            self._record.write(
                "results read",
                job=job.job_id,
                node=node.name,
                positions=f"{position}..{position + len(results) - 1}",
            )
        for offset, result in enumerate(results):
            first = job.results.setdefault(position + offset, result)
            if first != result:
                self._break(job, node, position + offset, first, result)
        return page

    async def _end(self, job: JobHistory, node: Node, after_s: float = 0.0) -> None:
        """End a job; another client resends the end a moment later."""
        await asyncio.sleep(after_s)
        answer: Answer | None = None
        for _ in range(5):
            answer = await call_once(node.address, "DELETE", f"/api/lots/{job.job_id}")
            status = None if answer is None else answer.status
            self._record.write("job ended", job=job.job_id, node=node.name, status=status)
            if status == 200:
                return

    async def read_all_again(self) -> None:
        """Read every job from the start at every node, and compare with what was read before."""
        for job in self.jobs:
            async with asyncio.TaskGroup() as tasks:
                for node in self._fleet.nodes:
                    tasks.create_task(self._read_again(job, node))

    async def _read_again(self, job: JobHistory, node: Node) -> None:
        earlier = dict(job.results)
        position = 0
        for _ in range(ITEMS + 20):
            page = await self._read(job, node, position)
            if page is None:
                await asyncio.sleep(0.1)
                continue
            if not page["results"]:
                break
            position = page["next_token"]
        else:
            self._break(job, node, position, "readable", "not readable")
            return
        for missing in sorted(key for key in earlier if key >= position):
            self._break(job, node, missing, earlier[missing], "nothing")

    def _break(
        self, job: JobHistory, node: Node, position: int, earlier: object, now: object
    ) -> None:
        def name(result: object) -> object:
            return f"{result['state']} {result['id']}" if isinstance(result, dict) else result

        self.broken.append(f"{job.job_id}/{position}")
        self._record.write(
            "BROKEN: a result that was read does not come again",
            job=job.job_id,
            node=node.name,
            position=position,
            first_read=name(earlier),
            now=name(now),
        )


async def run(record: Record, has_trouble: bool) -> bool:
    """Run the case; return whether the rule was broken."""
    fleet = Fleet(record, NODES, REPLICAS)
    store_random = random.Random(11)
    fleet.store.answer_delay_s = lambda path: USUAL_DELAY_S
    for replica in fleet.replicas:
        replica.event_s = lambda target: EVENT_INTERVAL_S
    jobs = route(
        "batch", "batch", completion_target_ms=20_000, retention_s=600, max_queued_tokens=0
    )
    try:
        await fleet.start(configuration_of(jobs))
        case = Case(fleet, record)
        await asyncio.sleep(3.0)
        if has_trouble:
            record.write("the store is slow", max_delay_s=MAX_SLOW_DELAY_S)
            fleet.store.answer_delay_s = lambda path: store_random.uniform(
                USUAL_DELAY_S, MAX_SLOW_DELAY_S
            )
        try:
            async with asyncio.timeout(85):
                await case.run_jobs()
        except TimeoutError:
            record.write("some jobs are not ended in time; the others are checked")
        fleet.store.answer_delay_s = lambda path: USUAL_DELAY_S
        record.write("the store is fast")
        await asyncio.sleep(CALM_S)
        await case.read_all_again()
        if not any(job.results for job in case.jobs):
            raise CouldNotRunError("no result was read")
        broken_jobs = {name.partition("/")[0] for name in case.broken}
        record.write("case ends", jobs=case.job_count, jobs_with_broken_results=len(broken_jobs))
        return bool(case.broken)
    finally:
        fleet.close()


run_case(FOLDER, run)
