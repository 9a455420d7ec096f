"""Clients that submit, read and end jobs, and read all of them once more at the end."""

import json
from base64 import b64encode
from collections.abc import Callable
from itertools import count
from random import Random

import attrs
import curio
import msgspec

from cloverwalk.platform import names
from cloverwalk.soak.connection import Answer, call_once
from cloverwalk.soak.deployment import HOST, ROUTES, Operator, RouteSpec
from cloverwalk.soak.history import History
from cloverwalk.soak.job_events import (
    ItemFact,
    ItemRead,
    JobAnswered,
    JobEndAnswered,
    JobEndSent,
    JobRead,
    JobSent,
    ResultFact,
)
from cloverwalk.soak.processes import NodeProcess
from cloverwalk.soak.replicas import FAILING_FOLDER, IMPOSSIBLE_FOLDER, digest

CALL_TIMEOUT_S = 5.0
"""Timeout of a request, after which it counts as unanswered."""

READ_INTERVAL_S = 0.5
RETRY_DELAY_S = 0.3
MAX_TRIES = 12
MAX_FOLLOW_S = 25.0
"""How long a client follows its job; later results are read after all faults."""

ENDED_JOB_SHARE = 0.15
STALL_TIMEOUT_S = 60.0
"""After all faults, a job without a new result for this time counts as stalled."""

ITEM_EVENT_RANGES = ((3, 40), (60, 200))
"""Events per item: some end before their output is first saved, others run for seconds."""

BATCH_ROUTES = [route for route in ROUTES if route.is_batch]


class _Result(msgspec.Struct):
    id: str
    state: str
    message: str


class _Page(msgspec.Struct):
    total: int
    results: list[_Result]
    next_token: int


_page_decoder = msgspec.json.Decoder(_Page)


@attrs.define
class Job:
    """A job as a client submits it, and what is known of its state."""

    job_id: str
    route: RouteSpec
    tenant: str
    items: list[ItemFact]
    bodies: dict[str, bytes]
    is_accepted: bool = False
    is_end_requested: bool = False
    listed_count: int = 0

    def body(self) -> bytes:
        """Return the request body of its submission."""
        requests = [
            {
                "id": item.item,
                "path": item.target,
                "headers": {names.TOKEN_USAGE.decode(): f"{item.tokens},{item.events}"},
                "body": b64encode(self.bodies[item.item]).decode(),
                "tokens": item.tokens,
            }
            for item in self.items
        ]
        return json.dumps({"requests": requests}).encode()


class JobMaker:
    """Generates jobs."""

    def __init__(self) -> None:
        self._numbers = count(1)

    def make(self, random: Random, tenant: str) -> Job:
        """Return the next job, with a random route and random items."""
        job_id = f"j{next(self._numbers):05d}"
        route = random.choice(BATCH_ROUTES)
        items: list[ItemFact] = []
        bodies: dict[str, bytes] = {}
        for number in range(random.randint(1, 12)):
            item = f"{job_id}-{number}"
            bodies[item] = f"body of {item}".encode() * random.randint(1, 30)
            folder = random.choices(("x", FAILING_FOLDER, IMPOSSIBLE_FOLDER), (20, 1, 1))[0]
            target = f"{route.prefix}{folder}/{number}"
            tokens, events = (
                random.randint(5, 20),
                random.randint(*random.choice(ITEM_EVENT_RANGES)),
            )
            items.append(ItemFact(item, target, digest(bodies[item]), tokens, events))
        return Job(job_id, route, tenant, items, bodies)


class JobClients:
    """Submits jobs, follows them and records every answer in the history."""

    def __init__(
        self,
        nodes: list[NodeProcess],
        operator: Operator,
        history: History,
        is_over: Callable[[], bool],
    ) -> None:
        self._nodes = nodes
        self._operator = operator
        self._history = history
        self._is_over = is_over
        self._maker = JobMaker()
        self.jobs: list[Job] = []

    async def run_sequential(self, random: Random) -> None:
        """Submit jobs one after another."""
        while not self._is_over():
            await curio.sleep(random.uniform(0.2, 1.5))
            tenant = random.choice(sorted(self._operator.tenants))
            await self.submit_and_follow(self._maker.make(random, tenant), random)

    async def submit_herd(self, total: int, tenant: str, random: Random) -> None:
        """Submit many jobs at once."""
        async with curio.TaskGroup() as tasks:
            for _ in range(total):
                await tasks.spawn(self.submit_and_follow, self._maker.make(random, tenant), random)

    async def submit_and_follow(self, job: Job, random: Random) -> None:
        """Submit a job and read its results until it is listed whole or ended.

        It is followed for ``MAX_FOLLOW_S`` at most, and no longer than clients run.
        """
        self.jobs.append(job)
        await self._submit(job, random)
        if not job.is_accepted:
            return
        end_after_reads = random.randint(1, 6) if random.random() < ENDED_JOB_SHARE else None
        for reads in range(int(MAX_FOLLOW_S / READ_INTERVAL_S)):
            if self._is_over() or job.listed_count >= len(job.items):
                return
            if reads == end_after_reads:
                await self.end(job, random)
                return
            await self._read_some(job, random)
            await curio.sleep(READ_INTERVAL_S)

    async def _read_some(self, job: Job, random: Random) -> None:
        position = (
            job.listed_count if random.random() < 0.8 else random.randint(0, job.listed_count)
        )
        await self.read(job, random.choice(self._nodes), position)
        if random.random() < 0.2:
            await self._read_item(job, random.choice(job.items).item, random)

    # --- calls ---

    def _headers(self, job: Job) -> list[tuple[str, str]]:
        key = self._operator.tenants[job.tenant].keys[-1]
        return [("Host", HOST), (names.AUTHORIZATION.decode(), f"Bearer {key}")]

    async def _call(
        self,
        job: Job,
        node: NodeProcess,
        method: str,
        target: str,
        extra_headers: list[tuple[str, str]] | None = None,
        body: bytes = b"",
    ) -> Answer:
        headers = [*self._headers(job), *(extra_headers or [])]
        answer = await call_once(
            node.proxied_address, method, target, headers, body, CALL_TIMEOUT_S
        )
        return answer if answer.is_whole else Answer()

    async def _submit(self, job: Job, random: Random) -> None:
        for _ in range(MAX_TRIES):
            self._history.record(
                JobSent(
                    job=job.job_id,
                    route=job.route.name,
                    tenant=job.tenant,
                    key=self._operator.tenants[job.tenant].keys[-1],
                    items=job.items,
                    max_attempts=job.route.max_attempts,
                    retention_s=job.route.retention_s,
                    max_queued_tokens=job.route.max_queued_tokens,
                )
            )
            node = random.choice(self._nodes)
            headers = [(names.REQUEST_ID.decode(), job.job_id)]
            target = f"{job.route.prefix}{job.job_id}"
            answer = await self._call(job, node, "POST", target, headers, job.body())
            self._history.record(JobAnswered(job=job.job_id, status=answer.status))
            job.is_accepted = answer.status == 202
            if job.is_accepted or answer.status in (400, 404, 409, 413) or self._is_over():
                return
            await curio.sleep(RETRY_DELAY_S)

    async def read(
        self, job: Job, node: NodeProcess, position: int, is_last: bool = False
    ) -> Answer:
        """Read the results of a job from a position on."""
        target = f"{names.JOB_PREFIX}{job.job_id}?since_revision={position}"
        wait_headers = [] if is_last else [(names.WAIT_MS.decode(), "1000")]
        answer = await self._call(job, node, "GET", target, wait_headers)
        page = _Page(0, [], 0)
        if answer.status == 200:
            page = _page_decoder.decode(answer.body)
            job.listed_count = max(job.listed_count, position + len(page.results))
        self._history.record(
            JobRead(
                job=job.job_id,
                node=node.name,
                position=position,
                status=answer.status,
                total=page.total,
                results=[
                    ResultFact(result.id, result.state, result.message) for result in page.results
                ],
                is_last=is_last,
            )
        )
        return answer

    async def _read_item(self, job: Job, item: str, random: Random) -> None:
        target = f"{names.ITEM_PREFIX}{job.job_id}?id={item}"
        answer = await self._call(job, random.choice(self._nodes), "GET", target)
        body = digest(answer.body) if answer.status == 200 else ""
        self._history.record(ItemRead(job=job.job_id, item=item, status=answer.status, body=body))

    async def end(self, job: Job, random: Random) -> None:
        """End a job; retry up to ``MAX_TRIES`` times until it is answered 200 or 404."""
        job.is_end_requested = True
        for _ in range(MAX_TRIES):
            self._history.record(JobEndSent(job=job.job_id))
            node = random.choice(self._nodes)
            answer = await self._call(job, node, "DELETE", f"{names.JOB_PREFIX}{job.job_id}")
            self._history.record(JobEndAnswered(job=job.job_id, status=answer.status))
            if answer.status in (200, 404):
                return
            await curio.sleep(RETRY_DELAY_S)

    # --- after the faults ---

    async def read_all_jobs(self, random: Random) -> None:
        """Read every accepted job at up to three nodes once it is complete or stalled."""
        accepted = [job for job in self.jobs if job.is_accepted]
        async with curio.TaskGroup() as tasks:
            for job in accepted:
                await tasks.spawn(self._wait_until_listed, job, random)
        for job in accepted:
            for node in random.sample(self._nodes, min(3, len(self._nodes))):
                await self._read_whole(job, node)

    async def _wait_until_listed(self, job: Job, random: Random) -> None:
        waited_s, listed = 0.0, job.listed_count
        while (
            job.listed_count < len(job.items)
            and not job.is_end_requested
            and waited_s < STALL_TIMEOUT_S
        ):
            await self.read(job, random.choice(self._nodes), job.listed_count)
            waited_s = 0.0 if job.listed_count > listed else waited_s + READ_INTERVAL_S
            listed = job.listed_count
            await curio.sleep(READ_INTERVAL_S)

    async def _read_whole(self, job: Job, node: NodeProcess) -> None:
        position, failures = 0, 0
        while position < len(job.items) and failures < MAX_TRIES:
            answer = await self.read(job, node, position, is_last=True)
            if answer.status != 200:
                failures += 1
                await curio.sleep(RETRY_DELAY_S)
                continue
            next_position = _page_decoder.decode(answer.body).next_token
            if next_position <= position:
                return
            position = next_position
