"""From a scenario and a seed to arrivals: the same ones for every policy."""

from random import Random

from msgspec import Struct

from cloverwalk.experiment.scenario import BatchLoad, OnlineLoad, Scenario

_WORDS = ("round", "answer", "table", "team", "rule", "note", "pub", "season")


class OnlineArrival(Struct, frozen=True):
    """One online request, ``at_s`` after the start of the load."""

    at_s: float
    kind: str
    prompt: str
    answer_tokens: int


class BatchArrival(Struct, frozen=True):
    """One job."""

    at_s: float
    load: BatchLoad
    prompts: list[str]
    answer_tokens: list[int]


def make_text(random: Random, tokens: int) -> str:
    """Return a text of the given number of tokens."""
    return " ".join(f"{random.choice(_WORDS)}{random.randrange(997)}" for _ in range(tokens))


def online_arrivals(scenario: Scenario, seed: int) -> list[OnlineArrival]:
    """Return all online requests in the order of time."""
    arrivals: list[OnlineArrival] = []
    for load in scenario.online:
        random = Random(f"{seed} online {load.kind}")
        prefix = make_text(random, load.shared_prefix_tokens)
        for at_s in _times(load, scenario.duration_s, random):
            own = make_text(random, max(1, load.prompt_tokens - load.shared_prefix_tokens))
            tokens = max(2, round(load.answer_tokens * random.uniform(0.5, 1.5)))
            arrivals.append(OnlineArrival(at_s, load.kind, f"{prefix} {own}", tokens))
    return sorted(arrivals, key=lambda one: one.at_s)


def _times(load: OnlineLoad, duration_s: float, random: Random) -> list[float]:
    times = []
    at_s = random.expovariate(load.requests_per_s)
    while at_s < duration_s:
        times.append(at_s)
        at_s += random.expovariate(load.requests_per_s)
    if load.burst_every_s and load.burst_requests:
        burst_at = load.burst_every_s * random.uniform(0.3, 0.9)
        while burst_at < duration_s:
            times += [burst_at + random.uniform(0, 0.5) for _ in range(load.burst_requests)]
            burst_at += load.burst_every_s * random.uniform(0.8, 1.2)
    return [at_s for at_s in times if at_s < duration_s]


def batch_arrivals(scenario: Scenario, seed: int) -> list[BatchArrival]:
    """Return all jobs in the order of time."""
    arrivals: list[BatchArrival] = []
    for load in scenario.batch:
        random = Random(f"{seed} batch {load.kind}")
        prefix = make_text(random, load.prompt_tokens // 3)
        at_s = load.first_at_s
        while at_s < scenario.duration_s:
            prompts = [
                f"{prefix} {make_text(random, load.prompt_tokens - load.prompt_tokens // 3)}"
                for _ in range(load.items)
            ]
            tokens = [
                max(2, round(load.answer_tokens * random.uniform(0.5, 1.5)))
                for _ in range(load.items)
            ]
            arrivals.append(BatchArrival(at_s, load, prompts, tokens))
            at_s += load.every_s * random.uniform(0.9, 1.1)
    return sorted(arrivals, key=lambda one: one.at_s)
