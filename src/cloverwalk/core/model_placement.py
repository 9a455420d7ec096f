"""Plans which model each replica of a zone loads, one change at a time.

Targets follow demand. A change must bring the counts closer to the targets by a minimum gain,
so that fluctuating demand does not make replicas switch models back and forth. The last
replica of a model in use is never changed.
"""

from collections import Counter
from collections.abc import Mapping, Sequence

from msgspec import Struct

MIN_GAIN_REPLICAS = 1.5
"""Minimum gain of a change; any change that brings counts closer to targets gains over 1."""


class PlacedReplica(Struct, frozen=True):
    """A replica that may change its model."""

    replica: str
    model: str
    load: float  # share of its slots in use


class ModelChange(Struct, frozen=True):
    """Load ``model`` on ``replica``."""

    replica: str
    model: str


def targets(demand: Mapping[str, float], replica_count: int) -> dict[str, float]:
    """Return how many replicas each model should have.

    >>> targets({"a": 30.0, "b": 10.0}, 4)
    {'a': 3.0, 'b': 1.0}
    """
    total = sum(demand.values())
    if total <= 0:
        return {}
    return {model: replica_count * model_demand / total for model, model_demand in demand.items()}


def plan_change(
    replicas: Sequence[PlacedReplica], demand: Mapping[str, float]
) -> ModelChange | None:
    """Return the change with the largest gain, or None if no gain is large enough.

    A model with demand and no replica gets one regardless of the minimum gain.

    >>> replicas = [PlacedReplica("r1", "a", 0.5), PlacedReplica("r2", "a", 0.1)]
    >>> plan_change(replicas, {"a": 5.0, "b": 5.0})
    ModelChange(replica='r2', model='b')
    >>> plan_change(replicas, {"a": 6.0}) is None
    True
    """
    target_counts = targets(demand, len(replicas))
    counts = Counter(replica.model for replica in replicas)
    deficits = {model: target - counts[model] for model, target in target_counts.items()}
    underserved_model = max(deficits, key=lambda model: (deficits[model], model), default=None)
    if underserved_model is None or deficits[underserved_model] <= 0:
        return None
    donors = [
        replica
        for replica in replicas
        if _can_release(replica.model, underserved_model, counts, demand)
    ]
    if not donors:
        return None
    surpluses = {model: counts[model] - target_counts.get(model, 0.0) for model in counts}
    donor = max(
        donors, key=lambda replica: (surpluses[replica.model], -replica.load, replica.replica)
    )
    is_unserved = counts[underserved_model] == 0
    if not is_unserved and deficits[underserved_model] + surpluses[donor.model] < MIN_GAIN_REPLICAS:
        return None
    return ModelChange(donor.replica, underserved_model)


def _can_release(
    model: str, underserved_model: str, counts: Counter[str], demand: Mapping[str, float]
) -> bool:
    if model == underserved_model:
        return False
    return counts[model] > 1 or demand.get(model, 0.0) <= 0
