"""Each text that a mutant or an ablation switch replaces occurs once in its file."""

import tomllib
from pathlib import Path

import pytest
from mutants import MUTANTS, Mutant

ROOT = Path(__file__).resolve().parents[2]
SWITCHES = tomllib.loads((ROOT / "bench" / "ablation.toml").read_text())["switch"]


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: mutant.name)
def test_mutant_text_occurs_once(mutant: Mutant) -> None:
    for file, old, _ in ((mutant.file, mutant.old, mutant.new), *mutant.more):
        assert (ROOT / "src" / "cloverwalk" / file).read_text().count(old) == 1


@pytest.mark.parametrize("switch", SWITCHES, ids=lambda switch: switch["name"])
def test_switch_text_occurs_once(switch: dict[str, str]) -> None:
    assert (ROOT / switch["path"]).read_text().count(switch["old"]) == 1
    assert switch["what"]
