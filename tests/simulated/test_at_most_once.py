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


def check_once(fleet: Fleet, key: str) -> None:
    """One start at the most, one outcome for all."""
    request_id = short_hash(fleet.session, key)
    assert checks.started_at_most_once(fleet.starts(), [request_id]) == []
    assert checks.one_result_per_key(fleet.history) == []
    assert checks.all_completed(fleet.history, [key]) == []


def test_a_marked_request_needs_a_key() -> None:
    fleet = Fleet(seed=41)
    fleet.send("levee-0", None, "award", 5, None, False, **ONCE)
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
    fleet = Fleet(seed=43)
    started: list[str] = []
    fleet.sim.on_instruction = lambda node, one: (
        started.append(node) if isinstance(one, StartWork) else None
    )
    fleet.send_until_told("award", "award a point", 300, cloverwalk_at_most_once="true")
    fleet.sim.run_until(fleet.sim.now + 0.5)
    fleet.sim.kill(started[0])
    fleet.settle(120)
    check_once(fleet, "award")


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
    fleet.send("levee-0", "award", "award a point", 5, None, False, **ONCE)
    fleet.settle()
    told = fleet.history[0]
    assert (told.status, told.outcome) == (503, "not_run")
    assert told.at - began < 1.5  # at once, not near its deadline
    assert fleet.starts() == []
