"""A node is killed, the store loses answers, and clients end the jobs that other nodes take over.

No item of an ended job may start later than ``cancel_ms`` after the end was acknowledged.
"""

import asyncio
import base64
import json
import random
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stand_ins import (  # noqa: E402
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
REPLICAS = 4
JOBS_A_ROUND = 5
ITEMS = 200
SHORT_ITEM_INTERVAL = 4
"""Every fourth item is short, so that some end soon after a job was taken over."""

SHORT_EVENTS = 1
SHORT_EVENT_S = 0.1
LONG_EVENTS = 9
LONG_EVENT_S = 0.5
CANCEL_S = 3.0
CONTACT_S = 3.0
LOST_SHARE = 0.7
"""Share of the writes that are done and not answered: twice the largest dose of ``platform_lost``
in the site file (0.35)."""

LOST_FOR_S = 4.0
END_DELAY_S = 0.02
"""The client of a job ends it this long after the store lost the answer to a write of the job's
row: the end arrives while the node that wrote the row tries again."""

LAST_END_S = 3.5
"""Clients end the other jobs this long after the kill."""

WATCH_S = 3.0
"""Time in which the replicas are watched once all machines are in touch again."""

TOTAL_S = 80.0
"""No round begins later than this after the first one."""


def is_short(index: int) -> bool:
    """Whether an item of a job is a short one."""
    return index % SHORT_ITEM_INTERVAL == 0


def event_s(target: str) -> float:
    """Return the time between two events of an item."""
    return SHORT_EVENT_S if is_short(int(target.rpartition("/")[2])) else LONG_EVENT_S


class Case:
    """Clients of the jobs, and what they and the replicas saw."""

    def __init__(self, fleet: Fleet, record: Record, has_trouble: bool) -> None:
        self._fleet = fleet
        self._record = record
        self._has_trouble = has_trouble
        self._random = random.Random(3)
        self._ended_at: dict[str, float] = {}
        """When the end of each job was acknowledged."""

        self._in_touch_from = float("inf")
        """Since when all machines are in touch."""

        self.late_runs: list[str] = []
        for replica in fleet.replicas:
            replica.on_run = self._on_run

    @property
    def has_ended_jobs(self) -> bool:
        """Whether the end of any job was acknowledged."""
        return bool(self._ended_at)

    def _on_run(self, request_id: str, replica_id: str, arrived_at: float) -> None:
        ended_at = self._ended_at.get(request_id[:12])
        if ended_at is None or arrived_at <= max(ended_at + CANCEL_S, self._in_touch_from):
            return
        self.late_runs.append(request_id)
        self._record.write(
            "BROKEN: an item of an ended job runs",
            item=request_id,
            replica=replica_id,
            sent_after_end_s=round(arrived_at - ended_at, 3),
        )

    async def run_round(self, number: int) -> None:
        """Submit jobs to one node, kill it, end the jobs, and watch the replicas."""
        victim = self._fleet.nodes[number % NODES]
        others = [node for node in self._fleet.nodes if node is not victim]
        job_ids = [f"{number:04x}{index:08x}" for index in range(JOBS_A_ROUND)]
        is_accepted = await asyncio.gather(*(self._submit(job_id, victim) for job_id in job_ids))
        accepted = [job_id for job_id, was in zip(job_ids, is_accepted, strict=True) if was]
        await asyncio.sleep(0.5)
        self._in_touch_from = float("inf")
        killed_at = time.monotonic()
        if self._has_trouble:
            victim.send_signal(signal.SIGKILL)
            self._record.write("node killed", node=victim.name)
            self._fleet.store.loses_answer = lambda: self._random.random() < LOST_SHARE
            self._record.write("the store loses answers", share=LOST_SHARE)
        async with asyncio.TaskGroup() as tasks:
            ending: set[str] = set()

            def end(job_id: str, after_s: float) -> None:
                if job_id not in ending:
                    ending.add(job_id)
                    tasks.create_task(self._end(job_id, others, after_s))

            def end_after_lost_answer(keys: list[str]) -> None:
                for job_id in set(keys) & set(accepted):
                    self._record.write("the answer to a write of a job's row is lost", job=job_id)
                    end(job_id, END_DELAY_S)

            self._fleet.store.on_lost_answer = end_after_lost_answer
            await asyncio.sleep(killed_at + LAST_END_S - time.monotonic())
            for job_id in accepted:
                end(job_id, 0.0)
            await asyncio.sleep(killed_at + LOST_FOR_S - time.monotonic())
            self._fleet.store.loses_answer = lambda: False
            self._fleet.store.on_lost_answer = lambda keys: None
            self._record.write("the store answers")
        stable_at = max(time.monotonic(), killed_at + LOST_FOR_S)
        self._in_touch_from = stable_at + CONTACT_S
        await asyncio.sleep(CONTACT_S + WATCH_S)
        if self._has_trouble:
            self._in_touch_from = float("inf")
            victim.restart()
            self._record.write("node started", node=victim.name)
            while not await victim.is_ready():
                await asyncio.sleep(0.1)

    async def _submit(self, job_id: str, node: Node) -> bool:
        requests = []
        for index in range(ITEMS):
            item_id = f"{job_id}{index:04x}"
            events = SHORT_EVENTS if is_short(index) else LONG_EVENTS
            headers = {
                "X-Cloverwalk-Model": "m",
                "X-Cloverwalk-Token-Usage": f"40,{events}",
                "X-Cloverwalk-Prefix-Hash": f"{item_id}:40",
            }
            requests.append(
                {
                    "id": item_id,
                    "path": f"/batch/{index}",
                    "headers": headers,
                    "body": base64.b64encode(item_id.encode()).decode(),
                    "tokens": 40 + events,
                }
            )
        body = json.dumps({"requests": requests}).encode()
        headers = {"X-Cloverwalk-Request-Id": job_id, "Content-Type": "application/json"}
        answer = await call_once(
            node.address, "POST", f"/batch/{job_id}", headers=headers, body=body
        )
        status = None if answer is None else answer.status
        self._record.write("job submitted", job=job_id, node=node.name, status=status)
        return status == 202

    async def _end(self, job_id: str, nodes: list[Node], after_s: float) -> None:
        """End a job; without an acknowledgement the end is sent to another node."""
        await asyncio.sleep(after_s)
        for _ in range(6):
            node = self._random.choice(nodes)
            answer = await call_once(node.address, "DELETE", f"/api/lots/{job_id}")
            status = None if answer is None else answer.status
            self._record.write("job ended", job=job_id, node=node.name, status=status)
            if status == 200:
                self._ended_at[job_id] = time.monotonic()
                return
            await asyncio.sleep(0.1)


async def run(record: Record, has_trouble: bool) -> bool:
    """Run the case; return whether the rule was broken."""
    fleet = Fleet(record, NODES, REPLICAS)
    for replica in fleet.replicas:
        replica.event_s = event_s
    jobs = route(
        "batch", "batch", completion_target_ms=20_000, retention_s=600, max_queued_tokens=0
    )
    try:
        await fleet.start(configuration_of(jobs))
        await asyncio.sleep(3.0)
        case = Case(fleet, record, has_trouble)
        begun_at = time.monotonic()
        rounds = 0
        while time.monotonic() - begun_at < TOTAL_S and not case.late_runs:
            await case.run_round(rounds)
            rounds += 1
        if not case.has_ended_jobs:
            raise CouldNotRunError("no end of a job was acknowledged")
        jobs_with_late_runs = {item_id[:12] for item_id in case.late_runs}
        record.write(
            "case ends",
            rounds=rounds,
            late_runs=len(case.late_runs),
            jobs_with_late_runs=len(jobs_with_late_runs),
        )
        return bool(case.late_runs)
    finally:
        fleet.close()


run_case(FOLDER, run, "record-takeover.txt")
