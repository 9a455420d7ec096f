"""Models are placed by demand, one change at a time, and no request is cut off by it."""

from collections import Counter

from fleet import MODEL, Fleet

from cloverwalk.core.events import LoadModel, PeerReceived
from cloverwalk.core.peer_messages import ChangeModel

OTHER = "lughah-serve"


def ask_for(fleet: Fleet, model: str, seconds: float, every_s: float = 0.25) -> None:
    """Plan requests for a model through all nodes."""
    for number in range(int(seconds / every_s)):
        node = fleet.node_ids[number % len(fleet.node_ids)]
        at = fleet.sim.now + number * every_s
        fleet.sim.at(
            at,
            lambda n=node, i=number: fleet.send(  # type: ignore[misc]
                n, None, f"{model} {i}", 30, None, False, model
            ),
        )


def held_models(fleet: Fleet) -> Counter[str]:
    """Return how many engines hold each model."""
    return Counter(engine.model.model for engine in fleet.sim.engines.values())


def test_a_model_that_nobody_holds_is_loaded_and_the_other_is_kept() -> None:
    fleet = Fleet(seed=91)
    loads: list[int] = []  # streams of the engine at the time of the order

    def watch(_: str, instruction: object) -> None:
        if isinstance(instruction, LoadModel):
            loads.append(fleet.sim.engines[instruction.replica].model.running_count)

    fleet.sim.on_instruction = watch
    ask_for(fleet, OTHER, 40.0)
    ask_for(fleet, MODEL, 40.0)
    fleet.settle()
    assert max(Counter(fleet.starts()).values()) == 1  # nothing was interrupted
    held = held_models(fleet)
    assert held[OTHER] >= 1 and held[MODEL] >= 1
    other = [told for told in fleet.history if told.prompt.startswith(OTHER)]
    first = [told for told in fleet.history if told.prompt.startswith(MODEL)]
    assert {told.status for told in other[:2]} == {503}
    assert [told.status for told in other[-20:]] == [200] * 20
    # Nothing that another model's load could have cut off.
    assert {told.status for told in first} == {200}
    assert 1 <= len(loads) <= 6
    assert set(loads) == {0}


def test_steady_demand_makes_no_model_go_to_and_fro() -> None:
    fleet = Fleet(seed=92)
    ask_for(fleet, OTHER, 90.0, every_s=0.5)
    ask_for(fleet, MODEL, 90.0, every_s=0.5)
    fleet.sim.run_until(fleet.sim.now + 45.0)
    loads: list[LoadModel] = []
    fleet.sim.on_instruction = lambda _, one: (
        loads.append(one) if isinstance(one, LoadModel) else None
    )
    fleet.settle(120.0)
    assert loads == []


def test_an_order_of_an_older_placer_is_refused() -> None:
    fleet = Fleet(seed=93)
    node, replica = next(
        (name, next(iter(one.node.replicas.owned)))
        for name, one in fleet.sim.nodes.items()
        if one.node.replicas.owned
    )
    zone = fleet.sim.zone_of(node)
    loads: list[LoadModel] = []
    fleet.sim.on_instruction = lambda _, one: (
        loads.append(one) if isinstance(one, LoadModel) else None
    )
    for epoch, model in ((7, OTHER), (6, "stale")):
        order = ChangeModel(zone, epoch, replica, model)
        fleet.sim.feed(node, PeerReceived(node, "", order))
        fleet.sim.run_until(fleet.sim.now + 6.0)
    assert [load.model for load in loads] == [OTHER]
    assert fleet.sim.engines[replica].model.model == OTHER


def test_a_busy_replica_ends_its_requests_before_it_loads() -> None:
    fleet = Fleet(seed=94, zones=("levee",), engines_per_zone=1)
    engine = fleet.sim.engines["levee-r0"]
    running: list[int] = []
    fleet.sim.on_instruction = lambda _, one: (
        running.append(engine.model.running_count) if isinstance(one, LoadModel) else None
    )
    fleet.send("levee-0", None, "a long one", 200)
    fleet.sim.run_until(fleet.sim.now + 0.5)
    order = ChangeModel("levee", 7, "levee-r0", OTHER)
    fleet.sim.feed("levee-0", PeerReceived("levee-0", "", order))
    fleet.settle()
    assert [told.status for told in fleet.history] == [200]
    assert running[:1] == [0]
    assert engine.model.model == OTHER
