"""The demo's fleet and load. What it reports is counted by the callers, not by the servers."""

import time
from collections.abc import Callable
from random import Random
from typing import Any

import curio
from hdrh.histogram import HdrHistogram
from msgspec import Struct, json

from cloverwalk.config.settings import (
    EngineEmulatorSettings,
    GossipSettings,
    NodeSettings,
    PlatformEmulatorSettings,
)
from cloverwalk.emulator.answers import whole_answer
from cloverwalk.emulator.engine_server import EngineServer
from cloverwalk.emulator.platform_server import PlatformServer
from cloverwalk.http.client import HttpPool
from cloverwalk.http.errors import HttpError
from cloverwalk.node.daemon import NodeDaemon

ZONES = ("courthouse", "levee")
NODES_PER_ZONE = 1
ENGINES_PER_ZONE = 2
MODEL = "quizmind"
ONLINE_TOKENS = 24
BATCH_TOKENS = 40
BATCH_ITEMS = 120
READY_TIMEOUT_S = 20.0
BATCH_TIMEOUT_S = 30.0


class DemoReport(Struct):
    """What the callers counted."""

    online_accepted: int = 0
    online_completed: int = 0
    online_refused: int = 0
    batch_accepted: int = 0
    batch_completed: int = 0
    duplicates: int = 0
    wrong_answers: int = 0
    online_p99_ms: float = 0.0
    online_p50_ms: float = 0.0
    batch_items_per_s: float = 0.0
    read_again_through_other_node: int = 0
    seconds: float = 0.0

    @property
    def is_good(self) -> bool:
        """Whether nothing accepted was lost, doubled or wrong."""
        return (
            self.online_accepted == self.online_completed > 0
            and self.batch_accepted == self.batch_completed > 0
            and self.duplicates == 0
            and self.wrong_answers == 0
        )

    def lines(self) -> list[str]:
        """Return the report for people."""
        return [
            f"online: {self.online_completed} of {self.online_accepted} accepted requests"
            f" completed, {self.online_refused} refused;"
            f" whole answer p50 {self.online_p50_ms:.0f} ms, p99 {self.online_p99_ms:.0f} ms",
            f"batch: {self.batch_completed} of {self.batch_accepted} accepted items completed,"
            f" {self.batch_items_per_s:.1f} items/s, {self.duplicates} duplicates",
            f"read again through the other node: {self.read_again_through_other_node} answers",
        ]

    def json(self) -> str:
        """Return the report as one line of JSON."""
        return json.encode(self).decode()


class DemoFleet:
    """Nodes of two zones, engines and a platform on one loop."""

    def __init__(self) -> None:
        self.platform = PlatformServer(PlatformEmulatorSettings(port=0))
        self.engines = [
            EngineServer(
                EngineEmulatorSettings(
                    f"{zone}-{number}",
                    zone,
                    MODEL,
                    port=0,
                    platform=self.platform.address,
                    slots=8,
                )
            )
            for zone in ZONES
            for number in range(ENGINES_PER_ZONE)
        ]
        self.nodes: list[NodeDaemon] = []
        for zone in ZONES:
            for number in range(NODES_PER_ZONE):
                self.nodes.append(self._node(f"{zone}-node-{number}", zone))

    def _node(self, node_id: str, zone: str) -> NodeDaemon:
        settings = NodeSettings(
            node_id,
            zone,
            self.platform.address,
            http_port=0,
            peer_port=0,
            peers=[node.peers.address for node in self.nodes],
            gossip=GossipSettings(interval_s=0.25),
        )
        return NodeDaemon(settings, quiet=True)

    async def start(self, tasks: Any) -> None:
        """Start every part."""
        await tasks.spawn(self.platform.run)
        for engine in self.engines:
            await tasks.spawn(engine.run)
        for node in self.nodes:
            await tasks.spawn(node.run)


class DemoLoad:
    """Callers: rulings during a round and a batch of questions at its close."""

    def __init__(self, fleet: DemoFleet, report: DemoReport) -> None:
        self._report = report
        self._pools = [HttpPool(node.http_address) for node in fleet.nodes]
        self._latency = HdrHistogram(1, 60_000_000, 3)
        self._random = Random(7)
        self._answers: list[tuple[str, str]] = []
        self.session_id = ""

    async def open_session(self) -> None:
        """Open the session that everything belongs to."""
        body = json.encode({"tenant": "parish", "name": "quiz night"})
        response = await self._pools[0].call("POST", "/v1/sessions", body, timeout_s=5.0)
        self.session_id = json.decode(response.body)["session_id"]

    async def wait_ready(self, replica_count: int) -> None:
        """Wait until every node sees every replica owned."""
        async with curio.timeout_after(READY_TIMEOUT_S):
            for pool in self._pools:
                while await self._seen_replicas(pool) < replica_count:
                    await curio.sleep(0.1)

    async def _seen_replicas(self, pool: HttpPool) -> int:
        response = await pool.call("GET", "/v1/fleet")
        fleet = json.decode(response.body)
        return sum(r["slots"] > 0 for node in fleet["nodes"] for r in node["replicas"])

    async def rulings(self, until: float) -> None:
        """Send rulings one after the other with pauses, alternately to each node."""
        number = 0
        async with curio.TaskGroup() as tasks:
            while time.monotonic() < until:
                await tasks.spawn(self._ruling, number)
                number += 1
                await curio.sleep(self._random.expovariate(12.0))

    async def _ruling(self, number: int) -> None:
        content = f"Is the answer given at table {number} close enough to be right?"
        body = {
            "model": MODEL,
            "messages": [{"role": "user", "content": content}],
            "max_tokens": ONLINE_TOKENS,
        }
        headers = {"Cloverwalk-Session": self.session_id, "Cloverwalk-Kind": "ruling"}
        pool = self._pools[number % len(self._pools)]
        started = time.monotonic()
        try:
            response = await pool.call(
                "POST", "/v1/chat/completions", json.encode(body), headers, timeout_s=20.0
            )
        except HttpError:
            self._report.online_accepted += 1  # nothing proves that it was refused
            return
        if response.status in (429, 503):
            self._report.online_refused += 1
            return
        self._report.online_accepted += 1
        if response.status != 200:
            return
        self._report.online_completed += 1
        self._latency.record_value(int((time.monotonic() - started) * 1e6))
        answer = json.decode(response.body)
        text = answer["choices"][0]["message"]["content"]
        if text != whole_answer(f"user: {content}", ONLINE_TOKENS):
            self._report.wrong_answers += 1
        self._answers.append((answer["id"], text))

    async def questions(self) -> None:
        """Submit a batch of questions and read every result through the other node."""
        lines = [
            json.encode(
                {
                    "custom_id": f"q-{number}",
                    "body": {
                        "messages": [{"role": "user", "content": f"Write question {number}."}],
                        "max_tokens": BATCH_TOKENS,
                    },
                }
            )
            for number in range(BATCH_ITEMS)
        ]
        headers = {
            "Cloverwalk-Session": self.session_id,
            "Cloverwalk-Kind": "questions",
            "Cloverwalk-Model": MODEL,
        }
        started = time.monotonic()
        response = await self._pools[0].call(
            "POST", "/v1/batches", b"\n".join(lines), headers, timeout_s=5.0
        )
        if response.status != 202:
            return
        self._report.batch_accepted += BATCH_ITEMS
        job_id = json.decode(response.body)["id"]
        await self._wait_for(job_id)
        self._report.batch_items_per_s = BATCH_ITEMS / (time.monotonic() - started)
        await self._check_results(job_id)

    async def _wait_for(self, job_id: str) -> None:
        async with curio.ignore_after(BATCH_TIMEOUT_S):
            while True:
                response = await self._pools[0].call("GET", f"/v1/batches/{job_id}")
                if json.decode(response.body).get("status") != "running":
                    return
                await curio.sleep(0.1)

    async def _check_results(self, job_id: str) -> None:
        response = await self._pools[-1].call(
            "GET", f"/v1/batches/{job_id}/results", timeout_s=10.0
        )
        seen: set[str] = set()
        for line in response.body.splitlines():
            result = json.decode(line)
            number = result["custom_id"].removeprefix("q-")
            if result["custom_id"] in seen:
                self._report.duplicates += 1
            seen.add(result["custom_id"])
            if result["text"] != whole_answer(f"user: Write question {number}.", BATCH_TOKENS):
                self._report.wrong_answers += 1
        self._report.batch_completed += len(seen)

    async def read_again(self) -> None:
        """Read some answers later through the node that did not give them."""
        for number, (request_id, text) in enumerate(self._answers[:20]):
            pool = self._pools[(number + 1) % len(self._pools)]
            response = await pool.call("GET", f"/v1/requests/{request_id}")
            answer = json.decode(response.body)
            if response.status != 200 or answer["choices"][0]["message"]["content"] != text:
                self._report.wrong_answers += 1
            else:
                self._report.read_again_through_other_node += 1

    def summarise(self) -> None:
        """Put the latencies into the report."""
        self._report.online_p50_ms = self._latency.get_value_at_percentile(50) / 1000
        self._report.online_p99_ms = self._latency.get_value_at_percentile(99) / 1000


async def run_demo(seconds: float, say: Callable[[str], None]) -> DemoReport:
    """Run the fleet and the load; return what the callers saw."""
    report = DemoReport()
    started = time.monotonic()
    async with curio.TaskGroup(wait=None) as tasks:
        say(f"starting {len(ZONES)} nodes in zones {', '.join(ZONES)} with stand-ins")
        fleet = DemoFleet()
        await fleet.start(tasks)
        load = DemoLoad(fleet, report)
        await load.wait_ready(len(fleet.engines))
        await load.open_session()
        say(f"ready after {time.monotonic() - started:.1f} s; session {load.session_id}")
        say(f"rulings for {seconds:.0f} s, with a batch of {BATCH_ITEMS} questions in between")
        rulings = await tasks.spawn(load.rulings, time.monotonic() + seconds)
        await curio.sleep(min(1.0, seconds / 4))
        questions = await tasks.spawn(load.questions)
        await rulings.join()
        await questions.join()
        await load.read_again()
        load.summarise()
    report.seconds = round(time.monotonic() - started, 1)
    return report
