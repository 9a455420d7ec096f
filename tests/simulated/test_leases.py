"""At no moment do two nodes believe, validly, that they own one resource."""

import pytest
from fleet import Fleet

from cloverwalk.config.settings import NodeSettings
from cloverwalk.core.types import Work
from cloverwalk.emulator.platform_model import Faults


def valid_owners(fleet: Fleet) -> dict[str, list[str]]:
    """Return resource > nodes that hold it and consider their lease valid, paused or not."""
    owners: dict[str, list[str]] = {}
    for node_id, simulated in fleet.sim.nodes.items():
        if not simulated.alive or simulated.stopped:
            continue
        simulated.node.context.now = fleet.sim.now  # what it would read if it ran now
        if simulated.node.leases.is_valid:
            for lease in simulated.node.leases.held(""):
                owners.setdefault(lease.resource, []).append(node_id)
    return owners


def check_for(fleet: Fleet, seconds: float) -> None:
    """Look every 50 ms."""
    end = fleet.sim.now + seconds
    while fleet.sim.now < end:
        fleet.sim.run_until(fleet.sim.now + 0.05)
        double = {r: nodes for r, nodes in valid_owners(fleet).items() if len(nodes) > 1}
        assert not double, f"at {fleet.sim.now}: {double}"


@pytest.mark.parametrize("seed", range(6))
def test_a_paused_or_cut_off_owner_lapses_before_another_takes_over(seed: int) -> None:
    fleet = Fleet(seed, nodes_per_zone=2)
    random = fleet.sim.random
    for _ in range(4):
        node = random.choice(fleet.node_ids)
        what = random.choice(["pause", "cut", "store"])
        if what == "pause":
            fleet.sim.pause(node)
        elif what == "cut":
            fleet.sim.cut("levee", "depot")
            fleet.sim.store_cuts.add("levee")
        else:
            fleet.sim.platform.faults = Faults(down=True)
        check_for(fleet, random.choice([2.0, 11.0]))
        fleet.sim.heal()
        fleet.sim.platform.faults = Faults()
        if what == "pause":
            fleet.sim.resume(node)
        check_for(fleet, 8.0)


def test_every_resource_of_a_killed_node_has_a_new_owner_soon() -> None:
    fleet = Fleet(seed=7, nodes_per_zone=2)
    before = set(valid_owners(fleet))
    fleet.sim.kill("levee-0")
    fleet.sim.run_until(fleet.sim.now + 14.0)  # suspicion, one lease, two looks
    assert set(valid_owners(fleet)) == before


def test_a_deposed_owner_starts_nothing_on_its_engine() -> None:
    fleet = Fleet(seed=8, nodes_per_zone=2)
    node = next(n for n in fleet.node_ids if fleet.sim.nodes[n].node.replicas.owned)
    replica, owned = next(iter(fleet.sim.nodes[node].node.replicas.owned.items()))
    old_epoch = owned.epoch
    fleet.sim.pause(node)
    fleet.sim.run_until(fleet.sim.now + 15.0)
    engine = fleet.sim.engines[replica].model
    assert engine.epoch > old_epoch
    assert engine.start(Work("late", 1, "quizmind", "x", 1), old_epoch, fleet.sim.now)


def test_leases_stay_where_they_are_in_an_outage_and_after_it() -> None:
    fleet = Fleet(seed=9, nodes_per_zone=2)
    before = valid_owners(fleet)
    fleet.sim.platform.faults = Faults(down=True)
    check_for(fleet, 20.0)
    assert valid_owners(fleet) == before
    fleet.sim.platform.faults = Faults()
    check_for(fleet, 10.0)
    assert valid_owners(fleet) == before


def test_nodes_find_each_other_through_the_table_service_alone() -> None:
    fleet = Fleet(seed=10, nodes_per_zone=2)
    fleet.sim.introduces_all = False
    fleet.sim.add_node(NodeSettings("levee-new", "levee", "127.0.0.1:1"))  # knows no peer
    fleet.sim.run_until(fleet.sim.now + 3.0)
    view = fleet.sim.nodes["levee-new"].node.context.membership
    assert {one.node for one in view.live(fleet.sim.now)} == set(fleet.node_ids)
