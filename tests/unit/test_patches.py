"""The lists of patches, of mutants and of the ablation, fit the code as it is."""

import tomllib
from pathlib import Path

import pytest
from mutants import MUTANTS, Mutant

ROOT = Path(__file__).resolve().parents[2]
SWITCHES = tomllib.loads((ROOT / "bench" / "ablation.toml").read_text())["switch"]


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda one: one.name)
def test_the_text_of_each_mutant_stands_once(mutant: Mutant) -> None:
    for file, old, _ in ((mutant.file, mutant.old, mutant.new), *mutant.more):
        assert (ROOT / "src" / "cloverwalk" / file).read_text().count(old) == 1


@pytest.mark.parametrize("switch", SWITCHES, ids=lambda one: one["name"])
def test_the_text_of_each_switch_stands_once(switch: dict[str, str]) -> None:
    assert (ROOT / switch["path"]).read_text().count(switch["old"]) == 1
    assert switch["what"]
