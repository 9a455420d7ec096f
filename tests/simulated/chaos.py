"""A concurrent run under failures that a seed chooses: alone, together and twice."""

from typing import Any

import checks
from fleet import MODEL, ZONES, Fleet, expected_answer

from cloverwalk.core.hashing import short_hash
from cloverwalk.core.weight_table import WeightTable
from cloverwalk.emulator.platform_model import Faults
from cloverwalk.emulator.simulation import NetworkSettings

RUN_S = 30.0
JOB_ITEMS = 80
JOB_TOKENS = 20
ONLINE_KEYS = 60
ONCE_KEYS = 30
EDITS = 6


class ChaosRun:
    """One run: load, failures, then quiet, then the checks."""

    def __init__(self, seed: int) -> None:
        network = NetworkSettings(loss=0.002, reorder_s=0.002)
        self.fleet = Fleet(seed, nodes_per_zone=2, engines_per_zone=2, network=network)
        self.sim = self.fleet.sim
        self.random = self.sim.random
        self.injected: list[str] = []
        self.versions: list[tuple[str, int]] = []
        self.accepted_versions: list[int] = []
        self.double_owners: list[str] = []
        self.jobs: dict[str, str] = {}

    # --- failures ---

    def _later(self, mean_s: float) -> float:
        return self.sim.now + self.random.uniform(0.2, 2 * mean_s)

    def inject(self) -> None:
        """Plan the failures of this seed."""
        kinds = [
            self._kill_node,
            self._pause_node,
            self._stop_node,
            self._cut_zones,
            self._cut_store,
            self._outage,
            self._slow_store,
            self._lost_answers,
            self._kill_engine,
        ]
        for _ in range(self.random.randint(3, 7)):
            self.sim.at(self._later(RUN_S / 3), self.random.choice(kinds))

    def _a_node(self) -> str:
        return self.random.choice(self.fleet.node_ids)

    def _note(self, what: str) -> None:
        self.injected.append(f"{self.sim.now:.1f} {what}")

    def _is_up(self, node: str) -> bool:
        simulated = self.sim.nodes[node]
        return simulated.alive and not simulated.paused and not simulated.stopped

    def _kill_node(self) -> None:
        node = self._a_node()
        if self._is_up(node):
            self._note(f"kill {node}")
            self.sim.kill(node)
            self.sim.after(self.random.uniform(0.5, 8.0), lambda: self.sim.restart(node))

    def _pause_node(self) -> None:
        node = self._a_node()
        if self._is_up(node):
            pause_s = self.random.choice([0.5, 3.0, 9.0, 14.0])
            self._note(f"pause {node} for {pause_s}")
            self.sim.pause(node)
            self.sim.after(pause_s, lambda: self.sim.resume(node))

    def _stop_node(self) -> None:
        node = self._a_node()
        if self._is_up(node):
            self._note(f"stop {node}")
            self.sim.stop(node)
            self.sim.after(12.0, lambda: self.sim.restart(node))

    def _cut_zones(self) -> None:
        one, other = self.random.sample(ZONES, 2)
        self._note(f"cut {one} from {other}")
        self.sim.cut(one, other)
        self.sim.after(self.random.uniform(1.0, 10.0), self.sim.heal)

    def _cut_store(self) -> None:
        zone = self.random.choice(ZONES)
        self._note(f"cut {zone} from the store")
        self.sim.store_cuts.add(zone)
        self.sim.after(self.random.uniform(1.0, 10.0), self.sim.heal)

    def _fault(self, faults: Faults, duration_s: float) -> None:
        self._note(f"{faults} for {duration_s:.1f}")
        self.sim.platform.faults = faults

        def clear() -> None:
            self.sim.platform.faults = Faults()

        self.sim.after(duration_s, clear)

    def _outage(self) -> None:
        self._fault(Faults(down=True), self.random.uniform(1.0, 12.0))

    def _slow_store(self) -> None:
        self._fault(Faults(slow_s=self.random.choice([0.2, 0.8, 1.5])), 4.0)

    def _lost_answers(self) -> None:
        self._fault(Faults(lose_answers=self.random.choice([0.1, 0.5])), 5.0)

    def _kill_engine(self) -> None:
        replica = self.random.choice(sorted(self.sim.engines))
        if self.sim.engines[replica].alive:
            self._note(f"kill engine {replica}")
            self.sim.kill_engine(replica)
            self.sim.after(4.0, lambda: self.sim.restart_engine(replica))

    # --- load ---

    def load(self) -> None:
        """Plan the callers and operators of this run."""
        for number in range(ONLINE_KEYS):
            at = self._later(RUN_S / 2)
            key = f"on-{number}"
            self.sim.at(at, lambda k=key: self.fleet.send_until_told(k, f"ask {k}"))  # type: ignore[misc]
            if number % 5 == 0:  # a resend that overlaps the first
                self.sim.at(
                    at + 0.05,
                    lambda k=key: self.fleet.send_until_told(k, f"ask {k}"),  # type: ignore[misc]
                )
        for number in range(ONCE_KEYS):
            self.sim.at(self._later(RUN_S / 2), lambda k=f"once-{number}": self._once(k))  # type: ignore[misc]
        for number in range(EDITS):
            weight = number + 1
            self.sim.at(self._later(RUN_S / 2), lambda w=weight: self._edit(w))  # type: ignore[misc]
        self._watch_tables()

    def _once(self, key: str) -> None:
        self.fleet.send_until_told(key, f"award {key}", cloverwalk_at_most_once="true")

    def _edit(self, weight: int) -> None:
        body = b'{"session":"*","kind":"k%d","cells":{"weight":"%d"}}' % (weight, weight)

        def told(answer: Any) -> None:
            if answer.status == 200 and not answer.cut:
                self.accepted_versions.append(int(answer.headers["etag"].strip('"')))

        self.sim.request(self._a_node(), "PATCH", "/v1/table", told, {}, body)

    def _watch_tables(self) -> None:
        for node, simulated in self.sim.nodes.items():
            name = f"{node}#{id(simulated)}"
            if simulated.alive:
                self.versions.append((name, simulated.node.context.table.version))
        self._watch_leases()
        if self.sim.now < RUN_S + 20:
            self.sim.after(0.1, self._watch_tables)

    def _watch_leases(self) -> None:
        owners: dict[str, list[str]] = {}
        for node_id, simulated in self.sim.nodes.items():
            if not simulated.alive or simulated.paused or simulated.stopped:
                continue
            simulated.node.context.now = self.sim.now
            if simulated.node.leases.is_valid:
                for lease in simulated.node.leases.held(""):
                    owners.setdefault(lease.resource, []).append(node_id)
        for resource, nodes in owners.items():
            if len(nodes) > 1:
                self.double_owners.append(f"{self.sim.now:.2f} {resource}: {nodes}")

    # --- run and checks ---

    def run(self) -> list[str]:
        """Run and return every violation."""
        self.load()
        self.inject()
        for number in range(3):
            key = f"job-{number}"
            self.jobs[key] = self.fleet.submit(JOB_ITEMS, key, tokens=JOB_TOKENS)
            self.sim.run_until(self.sim.now + 3.0)
        self.sim.run_until(max(self.sim.now, RUN_S + 10))
        self._quiet()
        self.fleet.settle(120.0)
        for job_id in self.jobs.values():
            self.fleet.wait_for_job(job_id)
        return self.violations()

    def _quiet(self) -> None:
        self.sim.heal()
        self.sim.platform.faults = Faults()
        for node in self.fleet.node_ids:
            simulated = self.sim.nodes[node]
            if simulated.paused:
                self.sim.resume(node)
            if not simulated.alive or simulated.stopped:
                self.sim.restart(node)

    def violations(self) -> list[str]:
        """Check everything that must hold."""
        fleet = self.fleet
        history = fleet.history
        ids = {
            key: short_hash(fleet.session, key)
            for key in [f"on-{n}" for n in range(ONLINE_KEYS)]
            + [f"once-{n}" for n in range(ONCE_KEYS)]
        }
        once = [request_id for key, request_id in ids.items() if key.startswith("once")]
        starts = fleet.starts()
        found = checks.one_result_per_key(history)
        found += checks.answers_are_whole_and_own(history)
        found += checks.started_at_most_once(starts, once)
        found += checks.not_run_is_true(history, starts, ids)
        found += checks.versions_never_revert(self.versions)
        found += checks.all_completed(history, ids)
        found += self.double_owners
        found += self._readers_agree(ids)
        found += self._accepted_table_is_in_force()
        for key, job_id in self.jobs.items():
            lines = fleet.results(job_id, self._a_node())
            found += checks.batch_is_exact(lines, key, JOB_ITEMS, JOB_TOKENS)
        return found

    def _readers_agree(self, ids: dict[str, str]) -> list[str]:
        """What was told as completed is readable through every node, and the same."""
        found = []
        for key in sorted({t.key for t in self.fleet.history if t.outcome == "completed"}):
            for node in self.fleet.node_ids[:3]:
                answer = self.fleet.call("GET", f"/v1/requests/{ids[key]}", node)
                prompt = ("award " if key.startswith("once") else "ask ") + key
                if answer.status != 200 or expected_answer(prompt, 12).encode() not in answer.body:
                    found.append(f"{key}: {node} answers {answer.status}")
        return found

    def _accepted_table_is_in_force(self) -> list[str]:
        highest = max(self.accepted_versions, default=0)
        tables: list[WeightTable] = [
            one.node.context.table for one in self.sim.nodes.values() if one.alive
        ]
        found = [f"table {t.version} < {highest}" for t in tables if t.version < highest]
        if len(set(self.accepted_versions)) != len(self.accepted_versions):
            found.append(f"two edits won one version: {self.accepted_versions}")
        return found


def run_seed(seed: int) -> tuple[list[str], list[str]]:
    """Run one seed; return (violations, injected failures)."""
    run = ChaosRun(seed)
    try:
        return run.run(), run.injected
    except AssertionError as error:
        return [f"run failed: {error}"], run.injected


__all__ = ["MODEL", "ChaosRun", "run_seed"]
