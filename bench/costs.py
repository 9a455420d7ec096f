"""Costs of the request path, of decisions and of memory. Prints ratios inside one run.

Starts a platform, an engine and a node as processes on loopback, and a bare h11 echo server
beside them; every loop is bounded.
"""

import http.client
import json
import subprocess
import sys
import threading
import time
import tracemalloc
from pathlib import Path
from random import Random
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
for part in ("processes", "simulated"):
    sys.path.insert(0, str(ROOT / "tests" / part))

from cluster import MODEL, Process, call, wait_for  # noqa: E402

from cloverwalk.config.settings import NodeSettings  # noqa: E402
from cloverwalk.core.batch_job import BatchJob  # noqa: E402
from cloverwalk.core.membership import NodeDigest, ReplicaReport  # noqa: E402
from cloverwalk.core.types import (  # noqa: E402
    BatchItem,
    ItemResult,
    JobRow,
    Outcome,
    SessionRow,
)
from cloverwalk.node.node import Node  # noqa: E402
from cloverwalk.pipeline.parse import OnlineCall  # noqa: E402

REQUESTS = 1500
CONNECTIONS = 8
TICKS_PER_S = 100.0

BARE_SERVER = """
import curio, sys
from cloverwalk.config.settings import HttpSettings
from cloverwalk.core.events import SendReply
from cloverwalk.http.server import HttpServer
async def answer(request):
    await server.push(SendReply(request.connection, 200, [], request.body))
server = HttpServer(HttpSettings(), "127.0.0.1", 0, answer)
print(f"bare serves 127.0.0.1:{server.port}", file=sys.stderr, flush=True)
curio.run(server.serve)
"""


class BareServer(Process):
    """An echo over the same h11 and curio server, without a node behind it."""

    def start(self) -> None:
        """Start it and read its address."""
        self.popen = subprocess.Popen(
            [sys.executable, "-c", BARE_SERVER], stderr=subprocess.PIPE, text=True
        )
        assert self.popen.stderr is not None
        self.addresses = [self.popen.stderr.readline().split()[-1]]


def cpu_s(process: Process) -> float:
    """Return the processor time that a process has used."""
    fields = Path(f"/proc/{process.popen.pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_mb(process: Process) -> float:
    """Return a process's resident memory in MB."""
    for line in Path(f"/proc/{process.popen.pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


def drive(address: str, path: str, body: bytes, headers: dict[str, str], count: int) -> float:
    """Send requests over kept connections; return the seconds they took."""

    def work(share: int) -> None:
        connection = http.client.HTTPConnection(address, timeout=60)
        for _ in range(share):
            connection.request("POST", path, body, headers)
            response = connection.getresponse()
            assert response.status == 200, response.read()
            response.read()
        connection.close()

    threads = [
        threading.Thread(target=work, args=(count // CONNECTIONS,)) for _ in range(CONNECTIONS)
    ]
    started = time.monotonic()
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return time.monotonic() - started


def request_path() -> None:
    """Measure requests/s and CPU a request through a node beside a bare server."""
    processes: list[Process] = []
    try:
        platform = Process("emulator", "platform", "--port", "0", "--set", "calls_per_s=100000")
        processes.append(platform)
        fast = ("--set", "step_base_s=0.0005", "--set", "step_per_stream_s=0")
        engine = Process(
            *("emulator", "engine", "--replica-id", "r", "--zone", "z", "--port", "0"),
            *("--platform", platform.address, "--set", "slots=256", *fast),
        )
        processes.append(engine)
        node = Process(
            *("node", "--node-id", "n", "--zone", "z", "--platform", platform.address),
            *("--http-port", "0", "--peer-port", "0"),
        )
        processes.append(node)
        bare = BareServer()
        processes.append(bare)

        def is_owned() -> bool:
            fleet = call(node.address, "GET", "/v1/fleet").json()
            return any(r["slots"] for one in fleet["nodes"] for r in one["replicas"])

        wait_for(is_owned, "the replica to be owned")
        opened = call(node.address, "POST", "/v1/sessions", b'{"tenant":"t","name":"n"}')
        headers = {"Cloverwalk-Session": opened.json()["session_id"]}
        _one_token(node, bare, headers)
        _tokens(node, headers)
    finally:
        for process in reversed(processes):
            process.end()


def _body(tokens: int, stream: bool) -> bytes:
    messages = [{"role": "user", "content": "is it so"}]
    return json.dumps(
        {"model": MODEL, "messages": messages, "max_tokens": tokens, "stream": stream}
    ).encode()


def _one_token(node: Process, bare: Process, headers: dict[str, str]) -> None:
    path = "/v1/chat/completions"
    body = _body(1, stream=False)
    figures = {}
    for name, process in (("bare", bare), ("node", node)):
        drive(process.address, path, body, headers, 200)
        before = cpu_s(process)
        took_s = drive(process.address, path, body, headers, REQUESTS)
        cpu_ms = 1000 * (cpu_s(process) - before) / REQUESTS
        figures[name] = cpu_ms
        print(f"{name}: {REQUESTS / took_s:6.0f} requests/s, {cpu_ms:.3f} ms CPU a request")
    print(f"node / bare CPU a request: {figures['node'] / figures['bare']:.1f}")


def _tokens(node: Process, headers: dict[str, str]) -> None:
    tokens, count = 400, 64
    body = _body(tokens, stream=True)
    before = cpu_s(node)
    took_s = drive(node.address, "/v1/chat/completions", body, headers, count)
    used_s = cpu_s(node) - before
    total = tokens * count
    print(
        f"streamed tokens through a node: {total / took_s:6.0f}/s,"
        f" {1e6 * used_s / total:.0f} us CPU a token"
    )
    print(f"node resident memory after this: {resident_mb(node):.0f} MB")


def digest(number: int, zone: str, replicas: int) -> NodeDigest:
    """Return a digest with some replicas."""
    reports = [ReplicaReport(f"r{number}-{n}", 1, MODEL, 32, n % 20, 5) for n in range(replicas)]
    return NodeDigest(
        f"n{number}", zone, "127.0.0.1:1", "i", 0.0, 1, False, 0, 0.0, reports, [], [], []
    )


def decisions() -> None:
    """Measure a placement as replicas grow, and an item as its job grows."""
    for replicas in (6, 60, 300, 3100):
        node = Node(NodeSettings("me", "z0", "127.0.0.1:1"), Random(1), 0.0)
        view = node.context.membership
        for number in range(-(-replicas // 3)):
            view.merge(digest(number, "z0", 3), 0.0, 0.0)
        call_ = OnlineCall("s", "k", None, None, False, MODEL, "prompt", 10, True)
        loops = max(3, 3000 // replicas)
        started = time.perf_counter()
        for number in range(loops):
            node.identify.accept_call(number, call_)
            node.dispatch.accept(node_request(node, number, call_))
            node.context.outbox.clear()
        took_us = 1e6 * (time.perf_counter() - started) / loops
        print(f"placement among {replicas:5d} replicas in view: {took_us:7.0f} us")
    for items in (1_000, 10_000, 78_000):
        print(f"item of a job of {items:6d}: {item_us(items):.1f} us to hand out and finish")


def node_request(node: Node, number: int, call_: OnlineCall) -> Any:
    """Return a request that is ready to be placed."""
    from cloverwalk.core.collect import Collector
    from cloverwalk.pipeline.request import OnlineRequest

    name = f"bench-{number}"
    return OnlineRequest(number, call_, name, "", 0.0, 1e9, Collector(name, 1))


def item_us(items: int) -> float:
    """Return microseconds an item from hand-out to the committed segment."""
    row = JobRow("z.0.j", "s", "k", "m", items, 500, "", 0.0)
    job = BatchJob(row)
    started = time.perf_counter()
    while job.done_count < items:
        part = job.part_to_load()
        if part is not None:
            first = part * 500
            names = range(first, min(items, first + 500))
            job.load([BatchItem(str(n), "p", 1) for n in names])
        for handout in job.take(100, "n", 0.0):
            job.finish(ItemResult(handout.index, "", Outcome.COMPLETED, "", 1))
        job.committed(job.finished[:256])
    return 1e6 * (time.perf_counter() - started) / items


def memory() -> None:
    """Measure memory a session, a request in flight and a queued item."""
    node = Node(NodeSettings("me", "z0", "127.0.0.1:1"), Random(1), 0.0)
    node.context.membership.merge(digest(1, "z0", 3), 0.0, 0.0)
    call_ = OnlineCall("s", "k", None, None, False, MODEL, "p" * 600, 10, True)
    tracemalloc.start()
    for number in range(5000):
        name = f"s-{number:024x}"
        node.sessions._remember(SessionRow(name, "tenant", "quiz night"))
    _print_each("session known to a node", 5000)
    for number in range(2000):
        request = node_request(node, number, call_)
        node.dispatch.accept(request)
        node.reply.opened(request)
        node.context.outbox.clear()
    _print_each("online request in flight (its prompt is shared here)", 2000)
    items = [BatchItem(f"item-{n}", f"{n:0600d}", 80) for n in range(500)]
    job = BatchJob(JobRow("z.0.j", "s", "k", "m", 78_000, 500, "", 0.0))
    job.load(items)
    _print_each("loaded item with a prompt of 600 characters", 500)

    tracemalloc.stop()


_last_bytes = 0


def _print_each(what: str, count: int) -> None:
    global _last_bytes
    now_bytes = tracemalloc.get_traced_memory()[0]
    print(f"memory a {what}: {(now_bytes - _last_bytes) / count:.0f} bytes")
    _last_bytes = now_bytes


def main() -> None:
    """Run every part."""
    decisions()
    memory()
    request_path()


if __name__ == "__main__":
    main()
