"""A cluster of real processes on loopback. Every wait is for a condition, never for a time."""

import http.client
import json
import re
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from typing import Any

from fleet import batch_body
from msgspec import Struct

GIVE_UP_S = 60.0
MODEL = "quizmind"


class Answer(Struct):
    """An HTTP answer; status 0 when there was none or it was cut."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the body as JSON."""
        return json.loads(self.body)


def wait_for(condition: Callable[[], bool], what: str) -> None:
    """Wait until a condition holds; the limit is only there to end a broken run."""
    end = time.monotonic() + GIVE_UP_S
    while not condition():
        assert time.monotonic() < end, f"waited in vain for: {what}"
        time.sleep(0.02)


class Process:
    """One program of the cluster; its first line on standard error names its address."""

    def __init__(self, *arguments: str) -> None:
        self.arguments = arguments
        self.start()

    def start(self) -> None:
        """Start the program and read where it serves."""
        self.popen = subprocess.Popen(
            [sys.executable, "-m", "cloverwalk.cli.main", *self.arguments],
            stderr=subprocess.PIPE,
            text=True,
        )
        assert self.popen.stderr is not None
        line = self.popen.stderr.readline()
        self.addresses = re.findall(r"\d+\.\d+\.\d+\.\d+:\d+", line)
        assert self.addresses, line + (self.popen.stderr.read() or "")
        self.lines: list[str] = []
        threading.Thread(target=self._drain, daemon=True).start()

    def _drain(self) -> None:
        assert self.popen.stderr is not None
        for line in self.popen.stderr:
            self.lines.append(line)

    @property
    def address(self) -> str:
        """Where the program serves HTTP."""
        return str(self.addresses[0])

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to this very process."""
        self.popen.send_signal(number)

    def end(self) -> None:
        """End the process for good."""
        if self.popen.poll() is None:
            self.popen.send_signal(signal.SIGCONT)
            self.popen.kill()
        self.popen.wait()


def call(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout_s: float = 30.0,
) -> Answer:
    """Make one HTTP call."""
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        text = response.read()
        names = {name.lower(): value for name, value in response.getheaders()}
        return Answer(response.status, names, text)
    except (OSError, http.client.HTTPException):
        return Answer(0, {}, b"")
    finally:
        connection.close()


class Cluster:
    """A platform, one engine and one node a zone."""

    def __init__(self, zones: tuple[str, ...] = ("levee", "depot")) -> None:
        self.processes: list[Process] = []
        self.platform = self._add("emulator", "platform", "--port", "0")
        self.engines: dict[str, Process] = {}
        self.nodes: dict[str, Process] = {}
        for zone in zones:
            self.engines[f"{zone}-r"] = self._add(
                *("emulator", "engine", "--replica-id", f"{zone}-r", "--zone", zone),
                *("--port", "0", "--platform", self.platform.address, "--set", "slots=8"),
            )
        for zone in zones:
            self.add_node(f"{zone}-n", zone)
        wait_for(lambda: self.owned_replicas() == len(zones), "an owner for every replica")
        wait_for(
            lambda: all(self.has_own_replica(zone) for zone in zones),
            "each node to have its own zone's replica, which an earlier node took at first",
        )
        wait_for(
            lambda: all(self.has_started(node) for node in self.nodes.values()),
            "each node to have read the weight table: it refuses all calls before",
        )
        body = json.dumps({"tenant": "parish", "name": "quiz"}).encode()
        self.session = call(self.any_node(), "POST", "/v1/sessions", body).json()["session_id"]

    def _add(self, *arguments: str) -> Process:
        process = Process(*arguments)
        self.processes.append(process)
        return process

    def add_node(self, node_id: str, zone: str) -> Process:
        """Add a node that knows the present ones as peers."""
        peers = [a for node in self.nodes.values() for a in ("--peer", node.addresses[1])]
        process = self._add(
            *("node", "--node-id", node_id, "--zone", zone),
            *("--platform", self.platform.address, "--http-port", "0", "--peer-port", "0"),
            *("--set", "lease.lease_s=2", "--set", "lease.renew_s=0.5"),
            *("--set", "gossip.interval_s=0.2", "--set", "gossip.suspect_after_s=1.5"),
            *peers,
        )
        self.nodes[node_id] = process
        return process

    def any_node(self) -> str:
        """Return the address of the first node."""
        return next(iter(self.nodes.values())).address

    def owned_replicas(self, node: Process | None = None) -> int:
        """Return how many replicas a node sees owned by live nodes."""
        address = node.address if node else self.any_node()
        fleet = call(address, "GET", "/v1/fleet").json()
        return sum(
            replica["slots"] > 0 and one["live"]
            for one in fleet["nodes"]
            for replica in one["replicas"]
        )

    def online(self, address: str, prompt: str, tokens: int = 12, **headers: str) -> Answer:
        """Send an online request."""
        body = {
            "model": MODEL,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": tokens,
        }
        return call(
            address,
            "POST",
            "/v1/chat/completions",
            json.dumps(body).encode(),
            {"Cloverwalk-Session": self.session, "Cloverwalk-Kind": "ruling"}
            | {name.replace("_", "-"): value for name, value in headers.items()},
        )

    def submit(self, count: int, key: str, tokens: int = 30) -> str:
        """Submit a job."""
        headers = {
            "Cloverwalk-Session": self.session,
            "Cloverwalk-Model": MODEL,
            "Idempotency-Key": key,
        }
        answer = call(
            self.any_node(), "POST", "/v1/batches", batch_body(key, count, tokens), headers
        )
        assert answer.status == 202, answer
        job_id: str = answer.json()["id"]
        return job_id

    def completed(self, job_id: str, address: str | None = None) -> int:
        """Return how many items of a job have a committed result."""
        answer = call(address or self.any_node(), "GET", f"/v1/batches/{job_id}")
        return int(answer.json()["completed"]) if answer.status == 200 else 0

    def set_faults(self, **faults: Any) -> None:
        """Set the platform's fault switches."""
        call(self.platform.address, "PUT", "/v1/faults", json.dumps(faults).encode())

    def has_started(self, node: Process) -> bool:
        """Whether a node takes calls."""
        return call(node.address, "GET", "/v1/sessions").status == 200

    def has_own_replica(self, zone: str) -> bool:
        """Whether a zone's node has taken the zone's replica."""
        resource = f'replica/{zone}-r"'
        lines = self.nodes[f"{zone}-n"].lines
        return any("lease_taken" in line and resource in line for line in lines)

    def starts(self) -> list[str]:
        """Return the request ids of the engines' logs of starts."""
        return [
            line["request_id"]
            for engine in self.engines.values()
            for line in call(engine.address, "GET", "/v1/starts").json()
        ]

    def close(self) -> None:
        """End every process of this cluster."""
        for process in reversed(self.processes):
            process.end()
