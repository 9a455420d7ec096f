"""A simulated fleet and callers that keep a history of what they were told."""

import json
from collections.abc import Callable
from typing import Any

from msgspec import Struct

from cloverwalk.config.settings import (
    BatchSettings,
    EngineEmulatorSettings,
    LeaseSettings,
    NodeSettings,
)
from cloverwalk.emulator.answers import whole_answer
from cloverwalk.emulator.simulation import HttpAnswer, NetworkSettings, Simulation

ZONES = ("courthouse", "levee", "depot")
MODEL = "quizmind"
READY_S = 4.0


class Told(Struct):
    """One answer to a caller."""

    key: str
    prompt: str
    tokens: int
    at: float
    status: int
    outcome: str
    text: str
    at_most_once: bool = False
    deadline_passed: bool = False


class Fleet:
    """Three zones with nodes and engines, ready to serve, and one open session."""

    def __init__(
        self,
        seed: int,
        nodes_per_zone: int = 1,
        engines_per_zone: int = 2,
        slots: int = 8,
        network: NetworkSettings | None = None,
        zones: tuple[str, ...] = ZONES,
        **node_options: Any,
    ) -> None:
        self.sim = Simulation(seed, network)
        self.node_ids: list[str] = []
        self.history: list[Told] = []
        self.job_answers: list[HttpAnswer] = []
        self.pending = 0
        node_options.setdefault("batch", BatchSettings(part_items=50, segment_items=20))
        node_options.setdefault("lease", LeaseSettings(shards_per_zone=2))
        for zone in zones:
            for number in range(nodes_per_zone):
                node_id = f"{zone}-{number}"
                self.node_ids.append(node_id)
                self.sim.add_node(NodeSettings(node_id, zone, "127.0.0.1:1", **node_options))
        for zone in zones:
            for number in range(engines_per_zone):
                self.sim.add_engine(
                    EngineEmulatorSettings(f"{zone}-r{number}", zone, MODEL, slots=slots)
                )
        self.sim.run_until(READY_S)
        self.session = self.open_session()

    # --- plain calls ---

    def call(
        self,
        method: str,
        path: str,
        node: str | None = None,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        limit_s: float = 20.0,
    ) -> HttpAnswer:
        """Call a node and wait for the answer."""
        answers: list[HttpAnswer] = []
        self.sim.request(
            node or self.node_ids[0], method, path, answers.append, headers or {}, body
        )
        assert self.sim.run_while(lambda: not answers, limit_s), f"no answer to {path}"
        return answers[0]

    def json(self, method: str, path: str, **options: Any) -> Any:
        """Call and return the JSON body."""
        return json.loads(self.call(method, path, **options).body)

    def open_session(self, node: str | None = None) -> str:
        """Open a session."""
        body = b'{"tenant":"parish","name":"quiz"}'
        session: str = self.json("POST", "/v1/sessions", node=node, body=body)["session_id"]
        return session

    # --- online ---

    def online_headers(self, key: str | None, **extra: str) -> dict[str, str]:
        """Return the headers of an online request."""
        headers = {"cloverwalk-session": self.session, "cloverwalk-kind": "ruling"}
        if key is not None:
            headers["idempotency-key"] = key
        return headers | {name.replace("_", "-"): value for name, value in extra.items()}

    def send(
        self,
        node: str,
        key: str | None,
        prompt: str,
        tokens: int = 12,
        on_told: Callable[[Told], None] | None = None,
        stream: bool = False,
        model: str = MODEL,
        **extra: str,
    ) -> None:
        """Send one online request; the answer goes into the history."""
        body = {
            "model": model,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": tokens,
            "stream": stream,
        }
        once = extra.get("cloverwalk_at_most_once") == "true"
        self.pending += 1

        def told(answer: HttpAnswer) -> None:
            self.pending -= 1
            one = read_answer(answer, stream, key or "", prompt, tokens, self.sim.now, once)
            self.history.append(one)
            if on_told is not None:
                on_told(one)

        self.sim.request(
            node,
            "POST",
            "/v1/chat/completions",
            told,
            self.online_headers(key, **extra),
            json.dumps(body).encode(),
        )

    def send_until_told(self, key: str, prompt: str, tokens: int = 12, **extra: str) -> None:
        """Send, and send again with the same key as a caller would, through any node."""
        nodes = list(self.node_ids)
        tries = 40

        def told(one: Told) -> None:
            nonlocal tries
            tries -= 1
            is_final = one.outcome in ("completed", "outcome_unknown")
            if not (is_final and one.status in (200, 409)) and one.status != 422 and tries > 0:
                self.sim.after(0.5 + self.sim.random.random(), again)

        def again() -> None:
            node = self.sim.random.choice(nodes)
            self.send(node, key, prompt, tokens, told, False, MODEL, **extra)

        again()

    def settle(self, limit_s: float = 60.0) -> None:
        """Let time pass until nothing is pending and callers are done."""
        end = self.sim.now + limit_s
        quiet_since = self.sim.now
        while self.sim.now < end:
            self.sim.run_until(self.sim.now + 0.5)
            if self.pending:
                quiet_since = self.sim.now
            elif self.sim.now - quiet_since > 3.0:
                return
        raise AssertionError(f"{self.pending} requests are pending after {limit_s} s")

    # --- batch ---

    def submit(
        self, count: int, key: str, node: str | None = None, tokens: int = 20, kind: str = "heap"
    ) -> str:
        """Submit a job of ``count`` items and return its id; resends until acknowledged."""
        headers = {
            "cloverwalk-session": self.session,
            "cloverwalk-kind": kind,
            "cloverwalk-model": MODEL,
            "idempotency-key": key,
        }
        for attempt in range(40):
            target = node if node and attempt == 0 else self.sim.random.choice(self.node_ids)
            answer = self.call(
                "POST", "/v1/batches", target, headers, batch_body(key, count, tokens)
            )
            if answer.status == 202 and not answer.cut:
                job_id: str = json.loads(answer.body)["id"]
                return job_id
            self.sim.run_until(self.sim.now + 0.5)
        raise AssertionError("the job was never acknowledged")

    def job_status(self, job_id: str) -> Any:
        """Return a job's status through any node that answers."""
        for _ in range(60):
            node = self.sim.random.choice(self.node_ids)
            answer = self.call("GET", f"/v1/batches/{job_id}", node)
            if answer.status == 200 and not answer.cut:
                return json.loads(answer.body)
            self.sim.run_until(self.sim.now + 0.5)
        raise AssertionError("no node tells the job's status")

    def wait_for_job(self, job_id: str, limit_s: float = 120.0) -> Any:
        """Wait until a job is in a final state."""
        end = self.sim.now + limit_s
        while self.sim.now < end:
            status = self.job_status(job_id)
            if status["status"] != "running":
                return status
            self.sim.run_until(self.sim.now + 0.5)
        raise AssertionError(f"job {job_id} did not end: {status}")

    def results(self, job_id: str, node: str | None = None) -> list[Any]:
        """Return a job's result lines."""
        answer = self.call("GET", f"/v1/batches/{job_id}/results", node)
        assert answer.status == 200 and not answer.cut, answer
        return [json.loads(line) for line in answer.body.splitlines()]

    def starts(self) -> list[str]:
        """Return the request ids of all engines' logs of starts."""
        return [
            start.request_id
            for engine in self.sim.engines.values()
            for start in engine.model.starts
        ]


def batch_body(key: str, count: int, tokens: int) -> bytes:
    """Return the JSONL of a job with ``count`` items."""
    lines = [
        json.dumps(
            {
                "custom_id": f"{key}-{number}",
                "body": {
                    "messages": [{"role": "user", "content": f"{key} item {number}"}],
                    "max_tokens": tokens,
                },
            }
        )
        for number in range(count)
    ]
    return "\n".join(lines).encode()


def read_answer(
    answer: HttpAnswer,
    stream: bool,
    key: str,
    prompt: str,
    tokens: int,
    at: float,
    at_most_once: bool,
) -> Told:
    """Return what a caller makes of an answer. A cut answer has status 0."""
    told = Told(key, prompt, tokens, at, 0 if answer.cut else answer.status, "", "", at_most_once)
    if answer.cut or not answer.body:
        told.status = 0
        return told
    if stream and answer.status == 200:
        told.text, told.outcome = _read_stream(answer.body)
        return told
    body = json.loads(answer.body)
    told.outcome = body.get("outcome", "")
    if answer.status == 200:
        told.text = body["choices"][0]["message"]["content"]
    return told


def _read_stream(body: bytes) -> tuple[str, str]:
    text = ""
    outcome = "cut"
    for event in body.decode().split("\n\n"):
        data = event.removeprefix("data: ")
        if data == "[DONE]":
            outcome = "completed"
        elif data:
            parsed = json.loads(data)
            if "choices" in parsed:
                text += parsed["choices"][0]["delta"].get("content", "")
    return text, outcome


def expected_answer(prompt: str, tokens: int) -> str:
    """Return the one right answer to a prompt."""
    return whole_answer(f"user: {prompt}", tokens)
