"""The docs agree with the code."""

import ast
import pkgutil
import re
from collections.abc import Iterator
from pathlib import Path

from cloverwalk.core.catalogue import CATALOGUE
from cloverwalk.core.types import Outcome
from cloverwalk.experiment.scenario import load_scenario, scenario_names

ROOT = Path(__file__).resolve().parents[2]
DOCS = ROOT / "docs"
PACKAGE = ROOT / "src" / "cloverwalk"
FOLDERS = "|".join(sorted(init.parent.name for init in PACKAGE.glob("*/__init__.py")))
SOURCE_PATH = re.compile(
    rf"(?<![\w./-])(?:(?:src|tests|bench|deploy)/[\w*./-]*|(?:{FOLDERS})/[\w*/]+\.py)"
)
DOTTED_NAME = re.compile(rf"(?<![\w./-])(?:cloverwalk|{FOLDERS})\.(?!toml\b)\w+(?:\.\w+)*")


def test_the_events_page_is_the_catalogue() -> None:
    rows = re.findall(
        r"^\| (\d+) \| `(\w+)` \| (\w+) \| (.+) \|$", (DOCS / "EVENTS.md").read_text(), re.M
    )
    told = {int(number): (name, level, meaning) for number, name, level, meaning in rows}
    assert told == {
        one.number: (one.name, one.level.value, one.meaning) for one in CATALOGUE.values()
    }


def test_every_proof_that_is_listed_exists() -> None:
    listed = re.findall(r"`(tests/[\w/]+\.py)`::`(\w+)`", (DOCS / "PROOFS.md").read_text())
    assert len(listed) > 20
    for file, name in listed:
        tree = ast.parse((ROOT / file).read_text())
        names = {node.name for node in ast.walk(tree) if isinstance(node, ast.FunctionDef)}
        names |= {
            target.id
            for node in ast.walk(tree)
            if isinstance(node, ast.Assign)
            for target in node.targets
            if isinstance(target, ast.Name)
        }
        assert name in names, f"{file}::{name}"


def test_every_mutant_that_is_listed_exists() -> None:
    mutants = (ROOT / "tests" / "mutants.py").read_text()
    listed = re.findall(r"mutant \"([^\"]+)\"", (DOCS / "PROOFS.md").read_text())
    assert listed
    assert [name for name in listed if f'"{name}"' not in mutants] == []


def test_the_api_page_names_every_path_and_outcome() -> None:
    page = (DOCS / "API.md").read_text()
    source = (ROOT / "src" / "cloverwalk" / "node" / "node.py").read_text()
    paths = set(re.findall(r'"((?:/v1)?/[a-z0-9/{}_]+)"', source))
    assert len(paths) >= 10
    assert [path for path in sorted(paths) if path not in page] == []
    assert [outcome.value for outcome in Outcome if outcome.value not in page] == []


def test_links_between_pages_lead_somewhere() -> None:
    pages = [
        ROOT / "README.md",
        ROOT / "CONTRIBUTING.md",
        ROOT / "DEVELOPERS.md",
        *DOCS.glob("*.md"),
    ]
    for page in pages:
        for target in re.findall(r"\]\(([^)#:]+)\)", page.read_text()):
            assert (page.parent / target).exists(), f"{page.name}: {target}"


def test_names_of_the_code_on_the_pages_exist() -> None:
    named = sorted(set(_code_names()))
    assert len(named) > 100
    assert [f"{page}: {name}" for page, name in named if not _exists(name)] == []


def _code_names() -> Iterator[tuple[str, str]]:
    """Yield the source paths and dotted names in backticks, each with its page."""
    for page in [*DOCS.rglob("*.md"), *ROOT.glob("*.md")]:
        text = re.sub(r"^```.*?^```$", "", page.read_text("utf-8"), flags=re.M | re.S)
        for span in re.findall(r"`([^`]+)`", text):
            for name in [*SOURCE_PATH.findall(span), *DOTTED_NAME.findall(span)]:
                yield str(page.relative_to(ROOT)), name.rstrip(".")


def _exists(name: str) -> bool:
    if "/" in name:
        return any(any(folder.glob(name)) for folder in (ROOT, PACKAGE))
    try:
        pkgutil.resolve_name(f"cloverwalk.{name.removeprefix('cloverwalk.')}")
    except (ImportError, AttributeError):
        return False
    return True


def test_every_packaged_scenario_loads() -> None:
    assert {"parish", "channel", "overload", "zone-cut", "store-outage", "engine-loss"} <= set(
        scenario_names()
    )
    for name in scenario_names():
        assert load_scenario(name).name == name
