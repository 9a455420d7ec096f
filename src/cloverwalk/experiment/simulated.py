"""Runs a scenario on the discrete-event model and measures it from callers' clocks."""

from collections.abc import Callable

from msgspec import json

from cloverwalk.config.settings import (
    EngineEmulatorSettings,
    LeaseSettings,
    NodeSettings,
    SchedulerSettings,
)
from cloverwalk.core.policies import POLICIES
from cloverwalk.emulator.platform_model import Faults
from cloverwalk.emulator.simulation import HttpAnswer, NetworkSettings, Simulation
from cloverwalk.experiment.measures import LatencyRecord, Measures
from cloverwalk.experiment.scenario import FailurePlan, Scenario
from cloverwalk.experiment.workload import (
    BatchArrival,
    OnlineArrival,
    batch_arrivals,
    online_arrivals,
)

READY_S = 5.0
DRAIN_S = 5.0


class SimulatedRun:
    """One scenario, one policy, one seed."""

    def __init__(self, scenario: Scenario, policy: str, seed: int) -> None:
        self.scenario = scenario
        self.policy = POLICIES[policy]
        self.seed = seed
        self.measures = Measures(policy, seed)
        self._first_token = LatencyRecord()
        self._inter_token = LatencyRecord()
        self._jobs: dict[str, BatchArrival] = {}
        self._began_at = 0.0
        self._session = ""
        fleet = scenario.fleet
        network = NetworkSettings(between_zones_s=fleet.between_zones_s, client_s=fleet.client_s)
        self.sim = Simulation(seed, network)
        self._node_ids = [
            f"{zone}-{number}" for zone in fleet.zones for number in range(fleet.nodes_per_zone)
        ]
        self._build()

    def _build(self) -> None:
        fleet = self.scenario.fleet
        for node_id in self._node_ids:
            settings = NodeSettings(
                node_id,
                node_id.rsplit("-", 1)[0],
                "127.0.0.1:1",
                lease=LeaseSettings(shards_per_zone=4),
                scheduler=SchedulerSettings(policy=self.policy.name),
            )
            self.sim.add_node(settings)
        for number in range(fleet.replicas):
            zone = fleet.zones[number % len(fleet.zones)]
            self.sim.add_engine(
                EngineEmulatorSettings(
                    f"{zone}-r{number}",
                    zone,
                    self.scenario.model,
                    slots=fleet.slots,
                    step_base_s=fleet.step_base_s,
                    step_per_stream_s=fleet.step_per_stream_s,
                    prefill_tokens_per_s=fleet.prefill_tokens_per_s,
                    cache_tokens=fleet.cache_tokens,
                )
            )

    # --- the run ---

    def run(self) -> Measures:
        """Run the scenario; return what callers measured."""
        self.sim.run_until(READY_S)
        self._prepare()
        self._began_at = self.sim.now
        self._plan_load()
        self._plan_failures()
        end = self._began_at + self.scenario.duration_s
        self.sim.run_until(end)
        self._count_batch(end)
        self.sim.run_until(end + DRAIN_S)
        self._summarise()
        return self.measures

    def _call(
        self, method: str, path: str, headers: dict[str, str] | None = None, body: bytes = b""
    ) -> HttpAnswer:
        answers: list[HttpAnswer] = []
        self.sim.request(self._live_node(), method, path, answers.append, headers, body)
        self.sim.run_while(lambda: not answers, 10.0)
        return answers[0] if answers else HttpAnswer(cut=True)

    def _live_node(self) -> str:
        return next(node for node in self._node_ids if self.sim.nodes[node].alive)

    def _prepare(self) -> None:
        body = json.encode({"tenant": self.scenario.name, "name": "experiment"})
        answer = self._call("POST", "/v1/sessions", body=body)
        self._session = json.decode(answer.body)["session_id"]
        for load in self.scenario.batch:
            cells = {"weight": str(load.weight), "class": "batch"}
            edit = {"session": "*", "kind": load.kind, "cells": cells}
            self._call("PATCH", "/v1/table", body=json.encode(edit))

    def _plan_load(self) -> None:
        if self.policy.runs_online:
            for online in online_arrivals(self.scenario, self.seed):
                self._at(online.at_s, lambda one=online: self._send_online(one))  # type: ignore[misc]
        if self.policy.runs_batch:
            for number, arrival in enumerate(batch_arrivals(self.scenario, self.seed)):
                self._at(arrival.at_s, lambda one=arrival, n=number: self._submit(one, n))  # type: ignore[misc]

    def _at(self, at_s: float, action: Callable[[], None]) -> None:
        self.sim.at(self._began_at + at_s, action)

    # --- callers ---

    def _pick_node(self) -> str:
        return self.sim.random.choice(self._node_ids)

    def _send_online(self, arrival: OnlineArrival) -> None:
        self.measures.online_sent += 1
        sent_at = self.sim.now
        body = {
            "model": self.scenario.model,
            "messages": [{"role": "user", "content": arrival.prompt}],
            "max_tokens": arrival.answer_tokens,
            "stream": True,
        }
        headers = {"cloverwalk-session": self._session, "cloverwalk-kind": arrival.kind}
        self.sim.request(
            self._pick_node(),
            "POST",
            "/v1/chat/completions",
            lambda answer: self._online_told(answer, sent_at, arrival),
            headers,
            json.encode(body),
        )

    def _online_told(self, answer: HttpAnswer, sent_at: float, arrival: OnlineArrival) -> None:
        if answer.cut or answer.status != 200:
            self.measures.online_refused += 1
            return
        self.measures.online_completed += 1
        self.measures.online_tokens += arrival.answer_tokens
        times = answer.byte_times[:-1]  # the last part has the usage, no token
        if times:
            self._first_token.add(times[0] - sent_at)
        for before, after in zip(times, times[1:], strict=False):
            self._inter_token.add(after - before)

    def _submit(self, arrival: BatchArrival, number: int) -> None:
        lines = [
            json.encode(
                {
                    "custom_id": f"i{index}",
                    "body": {
                        "messages": [{"role": "user", "content": prompt}],
                        "max_tokens": arrival.answer_tokens[index],
                    },
                }
            )
            for index, prompt in enumerate(arrival.prompts)
        ]
        headers = {
            "cloverwalk-session": self._session,
            "cloverwalk-kind": arrival.load.kind,
            "cloverwalk-model": self.scenario.model,
            "idempotency-key": f"job-{number}",
        }
        if arrival.load.deadline_s is not None:
            headers["cloverwalk-deadline-ms"] = str(int(arrival.load.deadline_s * 1000))
        self.measures.batch_items_sent += len(lines)

        def told(answer: HttpAnswer) -> None:
            if answer.status == 202 and not answer.cut:
                self._jobs[json.decode(answer.body)["id"]] = arrival
                return
            self.sim.after(1.0, again)

        def again() -> None:
            self.sim.request(
                self._pick_node(), "POST", "/v1/batches", told, headers, b"\n".join(lines)
            )

        again()

    def _count_batch(self, end: float) -> None:
        for job_id, arrival in self._jobs.items():
            answer = self._call("GET", f"/v1/batches/{job_id}/results")
            lines = [json.decode(line) for line in answer.body.splitlines()]
            self.measures.batch_items_done += len(lines)
            self.measures.batch_tokens_done += sum(line["tokens"] for line in lines)
            if arrival.load.deadline_s is None:
                continue
            due_at = self._began_at + arrival.at_s + arrival.load.deadline_s
            if due_at <= end:
                # Committed results are all from before now; what is missing is late.
                if len(lines) == len(arrival.prompts):
                    self.measures.deadlines_met += 1
                else:
                    self.measures.deadlines_missed += 1

    # --- failures ---

    def _plan_failures(self) -> None:
        for plan in self.scenario.failures:
            self._at(plan.at_s, lambda one=plan: self._fail(one))  # type: ignore[misc]

    def _fail(self, plan: FailurePlan) -> None:
        sim = self.sim
        if plan.what == "zone_cut":
            for zone in self.scenario.fleet.zones:
                if zone != plan.target:
                    sim.cut(plan.target, zone)
            sim.store_cuts.add(plan.target)
            sim.after(plan.for_s, sim.heal)
        elif plan.what == "store_outage":
            sim.platform.faults = Faults(down=True)
            sim.after(plan.for_s, lambda: setattr(sim.platform, "faults", Faults()))
        elif plan.what == "engine_loss":
            sim.kill_engine(plan.target)
            sim.after(plan.for_s, lambda: sim.restart_engine(plan.target))
        else:
            sim.kill(plan.target)
            sim.after(plan.for_s, lambda: sim.restart(plan.target))

    def _summarise(self) -> None:
        measures = self.measures
        measures.first_token_p50_s = self._first_token.percentile_s(50)
        measures.first_token_p95_s = self._first_token.percentile_s(95)
        measures.first_token_p99_s = self._first_token.percentile_s(99)
        measures.inter_token_p50_s = self._inter_token.percentile_s(50)
        measures.inter_token_p95_s = self._inter_token.percentile_s(95)
        measures.inter_token_p99_s = self._inter_token.percentile_s(99)
        measures.preemptions = sum(
            one.node.context.metrics.preemption_count for one in self.sim.nodes.values()
        )
