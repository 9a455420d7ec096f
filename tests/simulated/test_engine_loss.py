"""A lost engine costs the requests around its loss a retry, and later ones nothing."""

from fleet import Fleet

from cloverwalk.core.events import StartWork
from cloverwalk.core.placement import Candidate, choose_packed


def test_requests_go_on_while_an_engine_is_lost_and_after_it_is_back() -> None:
    fleet = Fleet(seed=101)
    candidates = [Candidate(replica, "", True, 0.0) for replica in fleet.sim.engines]
    first = choose_packed(candidates, "quizmind", fleet.sim.random)
    assert first is not None
    lost = first.replica  # the one that online work is gathered on
    for number in range(400):
        node = fleet.node_ids[number % 3]
        at = fleet.sim.now + number * 0.05
        fleet.sim.at(at, lambda n=node, i=number: fleet.send(n, None, f"ask {i}", 20))  # type: ignore[misc]
    fleet.sim.run_until(fleet.sim.now + 3.0)
    fleet.sim.kill_engine(lost)
    tries: list[float] = []
    fleet.sim.on_instruction = lambda _, one: (
        tries.append(fleet.sim.now) if isinstance(one, StartWork) and one.replica == lost else None
    )
    fleet.sim.run_until(fleet.sim.now + 10.0)
    assert len(tries) <= 10  # the requests of the moment, not every later one
    fleet.sim.restart_engine(lost)
    fleet.sim.run_until(fleet.sim.now + 4.0)
    assert len(tries) > 20  # it is used again
    fleet.settle()
    assert [told.status for told in fleet.history] == [200] * 400
