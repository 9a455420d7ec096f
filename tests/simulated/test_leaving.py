"""Leaving back ends get no new work; planned stops cut nothing off."""

from collections import Counter

import checks
import pytest
from fleet import Fleet
from msgspec import structs

from cloverwalk.core.hashing import short_hash
from cloverwalk.core.types import Machine

FEW_SECONDS = 3.0


def load(fleet: Fleet, seconds: float, every_s: float = 0.05, tokens: int = 20) -> int:
    """Plan online requests at a steady pace through all nodes; return their number."""
    count = int(seconds / every_s)
    first = len(fleet.history) + fleet.pending
    for number in range(count):
        node = fleet.node_ids[number % len(fleet.node_ids)]
        at = fleet.sim.now + number * every_s
        key = f"k-{first}-{number}"
        fleet.sim.at(at, lambda n=node, k=key: fleet.send(n, k, f"ask {k}", tokens))  # type: ignore[misc]
    return count


@pytest.mark.parametrize("sign", ["machine_list", "engine_report", "engine_refusal"])
def test_a_leaving_replica_gets_no_start_after_a_few_seconds(sign: str) -> None:
    fleet = Fleet(seed=51)
    replica = "levee-r0"
    fleet.submit(300, "heap", tokens=40)
    load(fleet, 15.0)
    fleet.sim.run_until(fleet.sim.now + 3.0)
    engine = fleet.sim.engines[replica].model
    assert engine.starts
    if sign == "machine_list":
        leaving = Machine(replica, "levee", "", "quizmind", leaving=True)
        fleet.sim.platform.set_machine(leaving, fleet.sim.now)
    else:
        # The machine list never says it.
        engine.leaving = True
    first_sign_at = fleet.sim.now
    refused_before = len(engine.starts)
    fleet.sim.run_until(fleet.sim.now + 10.0)
    late = [one for one in engine.starts if one.at > first_sign_at + FEW_SECONDS]
    assert late == []
    assert len(engine.starts) >= refused_before
    for node in fleet.sim.nodes.values():
        assert replica in node.node.replicas.leaving_replicas
    fleet.settle()
    assert {told.status for told in fleet.history} == {200}


def test_a_replica_that_left_and_came_back_is_used_again() -> None:
    fleet = Fleet(seed=54, zones=("levee",), engines_per_zone=2)
    platform, replica = fleet.sim.platform, "levee-r0"
    there = Machine(replica, "levee", "", "quizmind")
    platform.set_machine(structs.replace(there, leaving=True), fleet.sim.now)
    fleet.sim.run_until(fleet.sim.now + 4.0)
    platform.remove_machine(replica, fleet.sim.now)
    fleet.sim.kill_engine(replica)
    fleet.sim.run_until(fleet.sim.now + 4.0)
    assert replica in fleet.sim.nodes["levee-0"].node.replicas.leaving_replicas
    fleet.sim.restart_engine(replica)
    platform.set_machine(there, fleet.sim.now)
    fleet.sim.run_until(fleet.sim.now + 4.0)
    before = len(fleet.sim.engines[replica].model.starts)
    fleet.submit(60, "heap", tokens=60)
    fleet.sim.run_until(fleet.sim.now + 5.0)
    assert len(fleet.sim.engines[replica].model.starts) > before
    assert replica not in fleet.sim.nodes["levee-0"].node.replicas.leaving_replicas


def test_each_node_stops_under_load_and_no_request_is_cut_off() -> None:
    fleet = Fleet(seed=52, nodes_per_zone=2)
    job_id = fleet.submit(200, "heap", tokens=40)
    count = 0
    for node in list(fleet.node_ids):
        count += load(fleet, seconds=4.0, every_s=0.1, tokens=150)
        fleet.sim.run_until(fleet.sim.now + 2.0)
        fleet.sim.stop(node)
        fleet.node_ids.remove(node)
        assert fleet.sim.run_while(lambda n=node: not fleet.sim.nodes[n].stopped, 60.0)  # type: ignore[misc]
        fleet.sim.restart(node)
        fleet.node_ids.append(node)
        fleet.sim.run_until(fleet.sim.now + 8.0)
    fleet.settle()
    assert len(fleet.history) == count
    ids = {told.key: short_hash(fleet.session, told.key) for told in fleet.history}
    online_starts = Counter(one for one in fleet.starts() if "/" not in one)
    # Whoever came after the stop began is refused, or finds nobody listening: not run.
    not_answered = [told for told in fleet.history if told.outcome != "completed"]
    assert {told.outcome for told in not_answered} <= {"not_run", ""}
    assert [told.key for told in not_answered if ids[told.key] in online_starts] == []
    assert len(not_answered) < count / 4
    # No accepted request was interrupted and run again elsewhere.
    assert set(online_starts.values()) == {1}
    assert fleet.wait_for_job(job_id)["status"] == "completed"
    assert checks.batch_is_exact(fleet.results(job_id), "heap", 200, 40) == []


def test_a_stop_hands_leases_over_without_waiting_for_their_lapse() -> None:
    fleet = Fleet(seed=53, nodes_per_zone=2)
    node = next(n for n in fleet.node_ids if fleet.sim.nodes[n].node.replicas.owned)
    replicas = set(fleet.sim.nodes[node].node.replicas.owned)
    fleet.sim.stop(node)
    assert fleet.sim.run_while(lambda: not fleet.sim.nodes[node].stopped, 5.0)
    fleet.sim.run_until(fleet.sim.now + 2.0)  # a lapse would take six seconds and more
    owned = {
        replica
        for other, one in fleet.sim.nodes.items()
        if other != node
        for replica in one.node.replicas.owned
    }
    assert replicas <= owned
