"""Model placement keeps the last replica of a model in use and converges under steady demand."""

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from cloverwalk.core.model_placement import PlacedReplica, plan_change

MODELS = ["a", "b", "c"]
FLEETS = st.lists(st.sampled_from(MODELS), min_size=1, max_size=12)
DEMANDS = st.dictionaries(st.sampled_from(MODELS), st.floats(0, 100), max_size=3)


@given(FLEETS, DEMANDS)
def test_a_model_in_use_keeps_its_last_replica(models: list[str], demand: dict[str, float]) -> None:
    replicas = [PlacedReplica(f"r{n}", model, 0.0) for n, model in enumerate(models)]
    change = plan_change(replicas, demand)
    if change is None:
        return
    before = next(one.model for one in replicas if one.replica == change.replica)
    assert before != change.model
    assert demand.get(before, 0.0) <= 0 or models.count(before) > 1
    assert demand[change.model] > 0


@given(FLEETS, DEMANDS)
def test_steady_demand_comes_to_rest(models: list[str], demand: dict[str, float]) -> None:
    placed = {f"r{n}": model for n, model in enumerate(models)}
    seen = set()
    for _ in range(4 * len(models) + 1):
        replicas = [PlacedReplica(name, model, 0.0) for name, model in placed.items()]
        change = plan_change(replicas, demand)
        if change is None:
            return
        state = tuple(sorted(Counter(placed.values()).items()))
        assert state not in seen
        seen.add(state)
        placed[change.replica] = change.model
    raise AssertionError("it never comes to rest")
