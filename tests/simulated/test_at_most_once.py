"""A request marked as not to be repeated runs at most once, and not_run is true."""

import checks
import pytest
from fleet import Fleet

from cloverwalk.core.events import StartWork
from cloverwalk.core.hashing import short_hash
from cloverwalk.emulator.platform_model import Faults

ONCE = {"cloverwalk_at_most_once": "true"}


def holder_of(fleet: Fleet, key: str) -> str | None:
    """Return the node that has a request in flight."""
    request_id = short_hash(fleet.session, key)
    nodes = fleet.sim.nodes.items()
    return next((n for n, one in nodes if one.alive and one.node.dispatch.has(request_id)), None)


def node_without_replicas(fleet: Fleet) -> str:
    """Return a node that owns no replica, so that its requests run at another's."""
    nodes = fleet.sim.nodes.items()
    return next(node for node, one in nodes if not one.node.replicas.owned)


def check_once(fleet: Fleet, key: str) -> None:
    """One start at the most, one outcome for all."""
    request_id = short_hash(fleet.session, key)
    assert checks.started_at_most_once(fleet.starts(), [request_id]) == []
    assert checks.one_result_per_key(fleet.history) == []
    assert checks.all_completed(fleet.history, [key]) == []


def test_a_marked_request_needs_a_key() -> None:
    fleet = Fleet(seed=41)
    fleet.send("levee-0", None, "award", 5, None, False, "quizmind", **ONCE)
    fleet.settle()
    assert fleet.history[0].status == 400


def test_the_holder_dies_while_the_engine_runs() -> None:
    fleet = Fleet(seed=42)
    fleet.send_until_told("award", "award a point", 200, cloverwalk_at_most_once="true")
    fleet.sim.run_until(fleet.sim.now + 0.5)
    holder = holder_of(fleet, "award")
    assert holder is not None
    fleet.sim.kill(holder)
    fleet.node_ids.remove(holder)
    fleet.settle(120)
    check_once(fleet, "award")


def test_the_replica_owner_dies_while_the_engine_runs() -> None:
    fleet = Fleet(seed=43, nodes_per_zone=2)
    started: list[str] = []
    fleet.sim.on_instruction = lambda node, one: (
        started.append(node) if isinstance(one, StartWork) else None
    )
    caller = node_without_replicas(fleet)
    fleet.send(caller, "award", "award a point", 300, None, False, "quizmind", **ONCE)
    fleet.sim.run_until(fleet.sim.now + 0.5)
    assert started[0] != caller
    fleet.sim.kill(started[0])
    fleet.settle(120)
    check_once(fleet, "award")


def test_a_holder_that_wakes_up_tells_what_was_recorded_meanwhile() -> None:
    fleet = Fleet(seed=47, nodes_per_zone=2)
    holder = node_without_replicas(fleet)
    fleet.send(holder, "award", "award a point", 20, None, False, "quizmind", **ONCE)
    fleet.sim.run_until(fleet.sim.now + 0.1)
    assert len(fleet.starts()) == 1
    fleet.sim.pause(holder)  # the chunks arrive, and wait
    fleet.sim.run_until(fleet.sim.now + 2.0)
    for replica in list(fleet.sim.engines):  # the engines forget what they finished
        fleet.sim.kill_engine(replica)
        fleet.sim.restart_engine(replica)
    fleet.node_ids.remove(holder)
    fleet.send_until_told("award", "award a point", 20, cloverwalk_at_most_once="true")
    fleet.sim.run_until(fleet.sim.now + 20.0)
    assert [told.outcome for told in fleet.history][-1] == "outcome_unknown"
    fleet.sim.resume(holder)
    fleet.settle()
    check_once(fleet, "award")


def test_a_request_that_started_is_never_told_to_be_not_run() -> None:
    fleet = Fleet(seed=48, zones=("levee",), engines_per_zone=1)
    fleet.send("levee-0", "k", "ask", 300)
    fleet.sim.run_until(fleet.sim.now + 0.5)
    assert len(fleet.starts()) == 1
    fleet.sim.kill_engine("levee-r0")
    fleet.settle()
    # 503 would promise that it has not run.
    assert fleet.history[0].status == 502
    assert fleet.history[0].outcome == "failed"


@pytest.mark.parametrize("pause_s", [3.0, 12.0])
def test_the_replica_owner_is_paused_and_wakes_up(pause_s: float) -> None:
    fleet = Fleet(seed=44)
    owners = {node: one.node.replicas.owned for node, one in fleet.sim.nodes.items()}
    paused = next(node for node, owned in owners.items() if owned)
    others = [node for node in fleet.node_ids if node != paused]
    fleet.sim.pause(paused)
    fleet.node_ids.remove(paused)
    for number in range(12):
        fleet.send_until_told(
            f"award-{number}", "award a point", 20, cloverwalk_at_most_once="true"
        )
    fleet.sim.run_until(fleet.sim.now + pause_s)
    fleet.sim.resume(paused)
    fleet.settle(120)
    assert others == fleet.node_ids
    for number in range(12):
        check_once(fleet, f"award-{number}")


def test_answers_of_the_store_are_lost() -> None:
    fleet = Fleet(seed=45)
    fleet.sim.platform.faults = Faults(lose_answers=0.4)
    for number in range(20):
        fleet.send_until_told(f"award-{number}", "award a point", 5, cloverwalk_at_most_once="true")
    fleet.sim.run_until(fleet.sim.now + 10)
    fleet.sim.platform.faults = Faults()
    fleet.settle(200)
    for number in range(20):
        check_once(fleet, f"award-{number}")


def test_in_an_outage_it_is_refused_and_truly_not_run() -> None:
    fleet = Fleet(seed=46)
    fleet.sim.platform.faults = Faults(down=True)
    fleet.sim.run_until(fleet.sim.now + 3.0)
    began = fleet.sim.now
    fleet.send("levee-0", "award", "award a point", 5, None, False, "quizmind", **ONCE)
    fleet.settle()
    told = fleet.history[0]
    assert (told.status, told.outcome) == (503, "not_run")
    assert told.at - began < 1.5  # at once, not near its deadline
    assert fleet.starts() == []
