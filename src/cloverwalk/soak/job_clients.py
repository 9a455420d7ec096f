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

CONTESTED_TENANT = "archive"
"""A tenant without a quota, other than that of crowds."""

READERS_PER_NODE = {"listed": 2, "unanswered": 0}
"""Readers of a contested job at each node, by the way in which it is ended."""

CONTESTED_READ_INTERVAL_S = 0.25
CONTESTED_EVENTS = {"listed": (4, 160), "unanswered": (2, 200)}
"""Fewest and most events of the items of a contested job, by the way in which it is ended. The
items end one after the other, so that results are listed all the time."""

CONTESTED_ITEMS = {"listed": 20, "unanswered": 120}
MAX_FIRST_RESULT_WAIT_S = 8.0
END_DELAY_RANGE_S = (0.1, 1.2)
"""Time from the first result of a contested job to its end."""

LOST_ANSWER_END_DELAY_S = 0.005
"""The end arrives while the node whose answer was lost tries again."""

MAX_LOST_ANSWER_WAIT_S = 6.0
POLL_INTERVAL_S = 0.005

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

    def make_contested(self, random: Random, way: str) -> Job:
        """Return the next job for clients that end it early, with items of different lengths."""
        job_id = f"j{next(self._numbers):05d}"
        route = next(route for route in BATCH_ROUTES if route.name == "jobs")
        total = CONTESTED_ITEMS[way]
        fewest, most = CONTESTED_EVENTS[way]
        items: list[ItemFact] = []
        bodies: dict[str, bytes] = {}
        for number in range(total):
            item = f"{job_id}-{number}"
            bodies[item] = f"body of {item}".encode()
            is_short = way == "unanswered" and number % 4 == 0
            events = fewest if is_short else fewest + (most - fewest) * (number + 1) // total
            target = f"{route.prefix}x/{number}"
            items.append(ItemFact(item, target, digest(bodies[item]), 10, events))
        return Job(job_id, route, CONTESTED_TENANT, items, bodies)


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
        self._lost_answer_ids: set[str] = set()
        """Keys of the rows for which the store has lost the answer to a write."""

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

    # --- contested jobs ---

    def record_lost_answer(self, keys: list[str]) -> None:
        """Record that the store has lost the answer to a write of rows with these keys."""
        self._lost_answer_ids.update(keys)

    async def run_contested(self, owner: NodeProcess, total: int, way: str, random: Random) -> None:
        """Submit jobs to a node, read them at all nodes, and end them at nodes other than it."""
        async with curio.TaskGroup() as tasks:
            for _ in range(total):
                job = self._maker.make_contested(random, way)
                await tasks.spawn(self._contest, job, owner, way, Random(random.random()))
                await curio.sleep(random.uniform(0.0, 0.3))

    async def _contest(self, job: Job, owner: NodeProcess, way: str, random: Random) -> None:
        self.jobs.append(job)
        await self._submit(job, random, owner)
        if not job.is_accepted:
            return
        readers = [
            await curio.spawn(self._watch, job, node, Random(random.random()))
            for node in self._nodes * READERS_PER_NODE[way]
        ]
        try:
            if way == "listed":
                await self._wait(lambda: job.listed_count > 0, MAX_FIRST_RESULT_WAIT_S)
                await curio.sleep(random.uniform(*END_DELAY_RANGE_S))
            else:
                self._lost_answer_ids.discard(job.job_id)
                is_lost = await self._wait(
                    lambda: job.job_id in self._lost_answer_ids, MAX_LOST_ANSWER_WAIT_S
                )
                await curio.sleep(LOST_ANSWER_END_DELAY_S if is_lost else 0.0)
            others = [node for node in self._nodes if node is not owner] or [owner]
            async with curio.TaskGroup() as ends:
                await ends.spawn(self.end, job, random, random.choice(others))
                await curio.sleep(random.uniform(0.0, 0.4))
                await ends.spawn(self.end, job, random, random.choice(others))
            await curio.sleep(CONTESTED_READ_INTERVAL_S)
        finally:
            for reader in readers:
                await reader.cancel()

    async def _wait(self, condition: Callable[[], bool], timeout_s: float) -> bool:
        """Wait until a condition holds; return whether it did in time."""
        deadline = self._history.now() + timeout_s
        while not condition() and self._history.now() < deadline:
            await curio.sleep(POLL_INTERVAL_S)
        return condition()

    async def _watch(self, job: Job, node: NodeProcess, random: Random) -> None:
        """Read a job at one node again and again, mostly from where the last read ended."""
        position = 0
        while True:
            start = position if random.random() < 0.7 else 0
            answer = await self.read(job, node, start)
            if answer.status == 200:
                position = max(position, _page_decoder.decode(answer.body).next_token)
            await curio.sleep(CONTESTED_READ_INTERVAL_S)

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

    async def _submit(
        self, job: Job, random: Random, first_node: NodeProcess | None = None
    ) -> None:
        """Submit a job, first to ``first_node`` if it is given, until it is accepted or refused."""
        for attempt in range(MAX_TRIES):
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
            is_first = attempt == 0 and first_node is not None
            node = first_node if first_node and is_first else random.choice(self._nodes)
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
        asked_at = self._history.now()
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
                asked_at=asked_at,
                is_last=is_last,
            )
        )
        return answer

    async def _read_item(self, job: Job, item: str, random: Random) -> None:
        target = f"{names.ITEM_PREFIX}{job.job_id}?id={item}"
        answer = await self._call(job, random.choice(self._nodes), "GET", target)
        body = digest(answer.body) if answer.status == 200 else ""
        self._history.record(ItemRead(job=job.job_id, item=item, status=answer.status, body=body))

    async def end(self, job: Job, random: Random, first_node: NodeProcess | None = None) -> None:
        """End a job; retry up to ``MAX_TRIES`` times until it is answered 200 or 404."""
        job.is_end_requested = True
        for attempt in range(MAX_TRIES):
            self._history.record(JobEndSent(job=job.job_id))
            is_first = attempt == 0 and first_node is not None
            node = first_node if first_node and is_first else random.choice(self._nodes)
            answer = await self._call(job, node, "DELETE", f"{names.JOB_PREFIX}{job.job_id}")
            self._history.record(JobEndAnswered(job=job.job_id, status=answer.status))
            if answer.status in (200, 404):
                return
            await curio.sleep(RETRY_DELAY_S)

    # --- after the faults ---

    async def read_all_jobs(self, random: Random) -> None:
        """Read every accepted job at all nodes once it is complete or stalled."""
        accepted = [job for job in self.jobs if job.is_accepted]
        async with curio.TaskGroup() as tasks:
            for job in accepted:
                await tasks.spawn(self._wait_until_listed, job, random)
        for job in accepted:
            async with curio.TaskGroup() as tasks:
                for node in self._nodes:
                    await tasks.spawn(self._read_whole, job, node)

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
