"""Scenarios: a fleet, its online and batch load and its failures, from TOML files."""

from importlib import resources
from pathlib import Path
from typing import Annotated

from msgspec import Meta, Struct, field

from cloverwalk.config.loader import Fault, SettingsError, check, read_toml
from cloverwalk.config.settings import Count, Name, Seconds

Positive = Annotated[float, Meta(gt=0)]
NotNegative = Annotated[float, Meta(ge=0)]


class FleetShape(Struct, frozen=True, forbid_unknown_fields=True):
    """Zones, nodes and replicas. Delays are one way."""

    zones: Annotated[list[str], Meta(min_length=1)]
    nodes_per_zone: Count = 1
    replicas: Count = 6
    slots: Count = 32
    step_base_s: Positive = 0.020
    step_per_stream_s: NotNegative = 0.0001
    prefill_tokens_per_s: Positive = 20_000.0
    cache_tokens: Count = 60_000
    between_zones_s: Positive = 0.0008
    client_s: Positive = 0.003


class OnlineLoad(Struct, frozen=True, forbid_unknown_fields=True):
    """One kind of online work: Poisson arrivals, with bursts every ``burst_every_s``."""

    kind: Name
    requests_per_s: Positive
    prompt_tokens: Count = 150
    shared_prefix_tokens: Annotated[int, Meta(ge=0)] = 64
    answer_tokens: Count = 40
    burst_every_s: NotNegative = 0.0
    burst_requests: Annotated[int, Meta(ge=0)] = 0


class BatchLoad(Struct, frozen=True, forbid_unknown_fields=True):
    """One kind of batch work: a job of ``items`` items every ``every_s``."""

    kind: Name
    every_s: Positive
    items: Count
    first_at_s: NotNegative = 0.0
    prompt_tokens: Count = 120
    answer_tokens: Count = 80
    deadline_s: Positive | None = None
    weight: Positive = 1.0


class FailurePlan(Struct, frozen=True, forbid_unknown_fields=True):
    """A failure at a time: of a zone, the store or an engine."""

    at_s: NotNegative
    what: Annotated[str, Meta(pattern="^(zone_cut|store_outage|engine_loss|node_loss)$")]
    target: str = ""
    for_s: Positive = 10.0


class Scenario(Struct, frozen=True, forbid_unknown_fields=True):
    """A whole scenario. The load starts when the fleet is ready and lasts ``duration_s``."""

    name: Name
    duration_s: Seconds
    fleet: FleetShape
    model: Name = "quizmind"
    online: list[OnlineLoad] = field(default_factory=list)
    batch: list[BatchLoad] = field(default_factory=list)
    failures: list[FailurePlan] = field(default_factory=list)


def scenario_names() -> list[str]:
    """Return the names of the scenarios that come with the package."""
    folder = resources.files("cloverwalk.experiment") / "scenarios"
    return sorted(one.name.removesuffix(".toml") for one in folder.iterdir())


def load_scenario(name_or_path: str) -> Scenario:
    """Return a scenario that comes with the package, or the one of a TOML file."""
    path = Path(name_or_path)
    if path.suffix != ".toml":
        if name_or_path not in scenario_names():
            allowed = f"a path ending in .toml, or one of {', '.join(scenario_names())}"
            raise SettingsError([Fault("SCENARIO", repr(name_or_path), allowed)])
        folder = resources.files("cloverwalk.experiment") / "scenarios"
        with resources.as_file(folder / f"{name_or_path}.toml") as packaged:
            return _checked(packaged)
    return _checked(path)


def _checked(path: Path) -> Scenario:
    scenario: Scenario = check(read_toml(path), Scenario)
    return scenario
