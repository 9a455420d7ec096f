"""Clients of jobs: hand in, read, ask for bodies, end, and look at everything at last."""

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
from cloverwalk.soak.replicas import FAILING, IMPOSSIBLE, digest

CALL_S = 5.0
"""A call without an answer is given up after so long."""

READ_EVERY_S = 0.5
RETRY_S = 0.3
MOST_HAND_INS = 12
WATCH_S = 25.0
"""A client follows its job for so long; the last reading looks at the rest."""

END_SHARE = 0.15
STALL_S = 60.0
"""A job of which nothing new is listed for so long, after all faults, does not complete."""

ITEM_EVENTS = ((3, 40), (60, 200))
"""Events of items: some end before their output is saved once, some run for seconds."""

BATCH_ROUTES = [one for one in ROUTES if one.is_batch]


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
    """A job that a client hands in."""

    job_id: str
    route: RouteSpec
    tenant: str
    items: list[ItemFact]
    bodies: dict[str, bytes]
    is_taken: bool = False
    is_end_asked: bool = False
    listed: int = 0

    def body(self) -> bytes:
        """Return the body of its hand-in."""
        requests = [
            {
                "id": one.item,
                "path": one.target,
                "headers": {names.TOKEN_USAGE.decode(): f"{one.tokens},{one.events}"},
                "body": b64encode(self.bodies[one.item]).decode(),
                "tokens": one.tokens,
            }
            for one in self.items
        ]
        return json.dumps({"requests": requests}).encode()


class JobMaker:
    """Makes up jobs."""

    def __init__(self) -> None:
        self._numbers = count(1)

    def make(self, random: Random, tenant: str) -> Job:
        """Return the next job."""
        job_id = f"j{next(self._numbers):05d}"
        route = random.choice(BATCH_ROUTES)
        items: list[ItemFact] = []
        bodies: dict[str, bytes] = {}
        for number in range(random.randint(1, 12)):
            item = f"{job_id}-{number}"
            bodies[item] = f"body of {item}".encode() * random.randint(1, 30)
            folder = random.choices(("x", FAILING, IMPOSSIBLE), (20, 1, 1))[0]
            target = f"{route.prefix}{folder}/{number}"
            tokens, events = random.randint(5, 20), random.randint(*random.choice(ITEM_EVENTS))
            items.append(ItemFact(item, target, digest(bodies[item]), tokens, events))
        return Job(job_id, route, tenant, items, bodies)


class JobClients:
    """Drives jobs and notes what came of them."""

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

    async def run_steady(self, random: Random) -> None:
        """Hand one job in after the other."""
        while not self._is_over():
            await curio.sleep(random.uniform(0.2, 1.5))
            tenant = random.choice(sorted(self._operator.tenants))
            await self.drive(self._maker.make(random, tenant), random)

    async def herd(self, total: int, tenant: str, random: Random) -> None:
        """Hand many jobs in at once."""
        async with curio.TaskGroup() as tasks:
            for _ in range(total):
                await tasks.spawn(self.drive, self._maker.make(random, tenant), random)

    async def drive(self, job: Job, random: Random) -> None:
        """Hand a job in and follow it."""
        self.jobs.append(job)
        await self._hand_in(job, random)
        if not job.is_taken:
            return
        ends_after = random.randint(1, 6) if random.random() < END_SHARE else None
        for looks in range(int(WATCH_S / READ_EVERY_S)):
            if self._is_over() or job.listed >= len(job.items):
                return
            if looks == ends_after:
                await self.end(job, random)
                return
            await self._look(job, random)
            await curio.sleep(READ_EVERY_S)

    async def _look(self, job: Job, random: Random) -> None:
        position = job.listed if random.random() < 0.8 else random.randint(0, job.listed)
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
        more: list[tuple[str, str]] | None = None,
        body: bytes = b"",
    ) -> Answer:
        headers = [*self._headers(job), *(more or [])]
        answer = await call_once(node.proxied_address, method, target, headers, body, CALL_S)
        return answer if answer.is_whole else Answer()

    async def _hand_in(self, job: Job, random: Random) -> None:
        for _ in range(MOST_HAND_INS):
            self._history.note(
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
            self._history.note(JobAnswered(job=job.job_id, status=answer.status))
            job.is_taken = answer.status == 202
            if job.is_taken or answer.status in (400, 404, 409, 413) or self._is_over():
                return
            await curio.sleep(RETRY_S)

    async def read(
        self, job: Job, node: NodeProcess, position: int, is_last: bool = False
    ) -> Answer:
        """Read results from a position on."""
        target = f"{names.JOB_PREFIX}{job.job_id}?since_revision={position}"
        wait = [] if is_last else [(names.WAIT_MS.decode(), "1000")]
        answer = await self._call(job, node, "GET", target, wait)
        page = _Page(0, [], 0)
        if answer.status == 200:
            page = _page_decoder.decode(answer.body)
            job.listed = max(job.listed, position + len(page.results))
        self._history.note(
            JobRead(
                job=job.job_id,
                node=node.name,
                position=position,
                status=answer.status,
                total=page.total,
                results=[ResultFact(one.id, one.state, one.message) for one in page.results],
                is_last=is_last,
            )
        )
        return answer

    async def _read_item(self, job: Job, item: str, random: Random) -> None:
        target = f"{names.ITEM_PREFIX}{job.job_id}?id={item}"
        answer = await self._call(job, random.choice(self._nodes), "GET", target)
        body = digest(answer.body) if answer.status == 200 else ""
        self._history.note(ItemRead(job=job.job_id, item=item, status=answer.status, body=body))

    async def end(self, job: Job, random: Random) -> None:
        """End a job; ask again until there is an answer."""
        job.is_end_asked = True
        for _ in range(MOST_HAND_INS):
            self._history.note(JobEndSent(job=job.job_id))
            node = random.choice(self._nodes)
            answer = await self._call(job, node, "DELETE", f"{names.JOB_PREFIX}{job.job_id}")
            self._history.note(JobEndAnswered(job=job.job_id, status=answer.status))
            if answer.status in (200, 404):
                return
            await curio.sleep(RETRY_S)

    # --- the last reading ---

    async def settle(self, random: Random) -> None:
        """Read every taken job at every node, once it is complete or does not get on any more."""
        taken = [one for one in self.jobs if one.is_taken]
        async with curio.TaskGroup() as tasks:
            for job in taken:
                await tasks.spawn(self._until_listed, job, random)
        for job in taken:
            for node in random.sample(self._nodes, min(3, len(self._nodes))):
                await self._read_whole(job, node)

    async def _until_listed(self, job: Job, random: Random) -> None:
        waited_s, listed = 0.0, job.listed
        while job.listed < len(job.items) and not job.is_end_asked and waited_s < STALL_S:
            await self.read(job, random.choice(self._nodes), job.listed)
            waited_s = 0.0 if job.listed > listed else waited_s + READ_EVERY_S
            listed = job.listed
            await curio.sleep(READ_EVERY_S)

    async def _read_whole(self, job: Job, node: NodeProcess) -> None:
        position, failures = 0, 0
        while position < len(job.items) and failures < MOST_HAND_INS:
            answer = await self.read(job, node, position, is_last=True)
            if answer.status != 200:
                failures += 1
                await curio.sleep(RETRY_S)
                continue
            next_position = _page_decoder.decode(answer.body).next_token
            if next_position <= position:
                return
            position = next_position
