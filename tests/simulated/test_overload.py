"""Overload: retries stay within their budget, goodput holds, refusals come at once."""

from collections import Counter

from fleet import Fleet

from cloverwalk.core.events import StartWork
from cloverwalk.core.peer_messages import Offer, OfferRefused

CAPACITY_PER_S = 15.0  # three replicas of eight slots, 100 tokens at about 15 ms
SECONDS = 20.0


def run_at(load: float, seed: int = 81) -> Fleet:
    """Offer a multiple of the capacity and let all callers be answered."""
    fleet = Fleet(seed, slots=8, engines_per_zone=1)
    count = int(CAPACITY_PER_S * load * SECONDS)
    began = fleet.sim.now
    for number in range(count):
        node = fleet.node_ids[number % 3]
        at = began + number * SECONDS / count
        fleet.sim.at(
            at,
            lambda n=node, i=number: fleet.send(  # type: ignore[misc]
                n, None, f"ask {i}", 100, None, False, "quizmind", cloverwalk_deadline_ms="5000"
            ),
        )
    fleet.settle()
    assert len(fleet.history) == count
    return fleet


def goodput(fleet: Fleet) -> int:
    """Return how many requests were answered whole."""
    return sum(told.status == 200 for told in fleet.history)


def test_goodput_at_twice_the_capacity_is_that_at_capacity() -> None:
    at_capacity = goodput(run_at(1.0))
    at_twice = goodput(run_at(2.0))
    assert at_twice >= 0.9 * at_capacity


def test_refusals_in_an_overload_are_true_and_come_at_once() -> None:
    fleet = run_at(3.0)
    refused = [told for told in fleet.history if told.status == 503]
    assert len(refused) > 100
    assert {told.outcome for told in refused} == {"not_run"}
    assert sum(told.status == 504 for told in fleet.history) <= len(fleet.history) * 0.02


def test_retries_in_a_brown_out_stay_within_the_budget() -> None:
    fleet = Fleet(seed=82, engines_per_zone=4)
    for replica in list(fleet.sim.engines):
        fleet.sim.kill_engine(replica)
    offers: Counter[str] = Counter()

    def watch(_: str, instruction: object) -> None:
        message = getattr(instruction, "message", None)
        if isinstance(message, Offer):
            offers["peer"] += 1
        elif isinstance(instruction, StartWork):
            offers["start"] += 1
        elif isinstance(message, OfferRefused):
            offers["refused"] += 1

    fleet.sim.on_instruction = watch
    for number in range(600):
        node = fleet.node_ids[number % 3]
        at = fleet.sim.now + number * 0.02
        fleet.sim.at(at, lambda n=node: fleet.send(n, None, "ask", 5))  # type: ignore[misc]
    fleet.settle()
    assert len(fleet.history) == 600
    assert {told.status for told in fleet.history} == {503}
    # Each node may spend its reserve of 20 and a tenth of its first tries.
    retries = sum(
        metric_value(one.node.context.metrics.retries) for one in fleet.sim.nodes.values()
    )
    assert retries <= 3 * 20 + 0.1 * 600


def metric_value(counter: object) -> float:
    """Return the value of a counter without labels."""
    return float(counter._value.get())  # type: ignore[attr-defined]
