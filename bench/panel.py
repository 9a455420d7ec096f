"""Compares policies on the same days and seeds of the users' bench.

``compare BASE CANDIDATE`` plays a panel of days in two checkouts, pairs the plays by site, day and
seed, and prints the mean differences. ``ablate CHECKOUT`` does the same for copies of a checkout in
which one mechanism each is switched off, see ``ablation.toml``. Plays are made without processor
time, so that a seed repeats. Outcomes are kept by the digest of the sources: a play that was made
once for the same sources is not made again.
"""

import hashlib
import json
import random
import shutil
import subprocess
import tempfile
import tomllib
from collections.abc import Iterable, Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import attrs
import click
import numpy
from scipy import stats

KIT = Path("../given/kit/more/system")
BENCH = KIT / "more/bench-9713e2/bin/fleetbench"
SMALL_SITES = (
    KIT / "further/licitatia-banat.toml",
    KIT / "sites/magnolia-quiz.toml",
    KIT / "sites/ndcb-cloverwalk.toml",
)
TROUBLED_SLOTS = ("trouble", "scale")
TUNING_SEEDS = (11, 12, 13, 14, 15, 16)
FRESH_SEEDS = 6
PLAY_LIMIT_S = 900.0
"""A play that takes longer counts as given up; plays take a minute on an idle machine."""

RESAMPLES = 5000
CONFIDENCE = 0.95
SOURCE_FOLDERS = ("src", "deploy")
COPIED_FOLDERS = ("src", "deploy", "docs", "README.md", "pyproject.toml", ".gitignore")
ABLATIONS = Path(__file__).with_name("ablation.toml")


class PanelError(click.ClickException):
    """A panel can't be played or compared."""


@attrs.frozen
class Play:
    """One day of a site with a seed."""

    site: Path
    day: str
    seed: int

    @property
    def name(self) -> str:
        """A name for files and tables."""
        return f"{self.site.stem}-{self.day}-{self.seed}"


@attrs.frozen
class Outcome:
    """What a play came to; ``report`` is None when it failed or was given up."""

    play: Play
    report: dict[str, Any] | None
    problem: str = ""

    @property
    def worth(self) -> float | None:
        """The day's worth, as the bench tells it."""
        return None if self.report is None else float(self.report["G"])


@attrs.frozen
class Switch:
    """A patch that switches one mechanism off."""

    name: str
    what: str
    path: str
    old: str
    new: str


def sources_digest(checkout: Path) -> str:
    """Return a digest of all that the bench builds from."""
    digest = hashlib.sha256()
    for folder in SOURCE_FOLDERS:
        for path in sorted((checkout / folder).rglob("*")):
            if path.is_file() and path.suffix != ".pyc" and "egg-info" not in str(path):
                digest.update(str(path.relative_to(checkout)).encode())
                digest.update(path.read_bytes())
    return digest.hexdigest()[:16]


class Player:
    """Plays days in a checkout and keeps the outcomes."""

    def __init__(self, results: Path, jobs: int, why: str) -> None:
        self._results = results.resolve()
        self._jobs = jobs
        self._why = why

    def play_all(self, checkouts: Sequence[Path], plays: Sequence[Play]) -> list[list[Outcome]]:
        """Return the outcomes of all plays for each checkout, in order."""
        digests = {checkout: sources_digest(checkout) for checkout in checkouts}
        with ThreadPoolExecutor(self._jobs) as pool:
            tasks = [
                [
                    pool.submit(self._play, checkout, digests[checkout], play)
                    for checkout in checkouts
                ]
                for play in plays
            ]
            outcomes = [[task.result() for task in row] for row in tasks]
        return [[row[number] for row in outcomes] for number in range(len(checkouts))]

    def _play(self, checkout: Path, digest: str, play: Play) -> Outcome:
        report = self._results / digest / f"{play.name}.json"
        if not report.exists():
            report.parent.mkdir(parents=True, exist_ok=True)
            problem = self._run(checkout, play, report)
            if problem:
                return Outcome(play, None, problem)
        return Outcome(play, json.loads(report.read_text(encoding="utf-8")))

    def _run(self, checkout: Path, play: Play, report: Path) -> str:
        part = report.with_suffix(".part")
        site, bench = (checkout / play.site).resolve(), (checkout / BENCH).resolve()
        command = [str(bench), "run", str(site), play.day, "--seed", str(play.seed)]
        command += ["--no-cpu", "--report", str(part), "--why", self._why]
        try:
            done = subprocess.run(
                command, cwd=checkout, capture_output=True, text=True, timeout=PLAY_LIMIT_S
            )
        except subprocess.TimeoutExpired:
            return f"given up after {PLAY_LIMIT_S:g} s"
        if not part.exists():
            return f"exit {done.returncode}: {(done.stderr or done.stdout).strip()[-200:]}"
        part.rename(report)
        return ""


# --- tables ---


def interval(differences: Sequence[float]) -> tuple[float, float]:
    """Return the bootstrap interval of the mean of paired differences."""
    if len(set(differences)) < 2:
        mean = float(numpy.mean(differences))
        return mean, mean
    found = stats.bootstrap(
        (numpy.array(differences),),
        numpy.mean,
        n_resamples=RESAMPLES,
        confidence_level=CONFIDENCE,
        method="percentile",
        rng=numpy.random.default_rng(0),
    ).confidence_interval
    return float(found.low), float(found.high)


def compare_outcomes(base: Sequence[Outcome], other: Sequence[Outcome]) -> list[str]:
    """Return the lines of a comparison: by day, in all, kinds of request, prices, failures."""
    lines = [f"{'site and day':34} {'n':>3}  base  other  difference (95 % interval)"]
    pairs = [
        (one, two)
        for one, two in zip(base, other, strict=True)
        if one.report is not None and two.report is not None
    ]
    groups: dict[str, list[tuple[Outcome, Outcome]]] = {}
    for one, two in pairs:
        groups.setdefault(f"{one.play.site.stem} {one.play.day}", []).append((one, two))
    for one, two in pairs:
        groups.setdefault(f"{one.play.site.stem} all", []).append((one, two))
    lines += [_row(name, groups[name]) for name in sorted(groups)]
    for site in sorted({one.play.site.stem for one, _ in pairs}):
        lines += _site_lines(site, [pair for pair in pairs if pair[0].play.site.stem == site])
    for number, outcomes in enumerate((base, other)):
        lines += _problem_lines(("base", "other")[number], outcomes)
    return lines


def _row(name: str, pairs: Sequence[tuple[Outcome, Outcome]]) -> str:
    first = [one.worth or 0.0 for one, _ in pairs]
    second = [two.worth or 0.0 for _, two in pairs]
    differences = [two - one for one, two in zip(first, second, strict=True)]
    low, high = interval(differences)
    return (
        f"{name:34} {len(pairs):3}  {numpy.mean(first):.3f}  {numpy.mean(second):.3f}"
        f"  {numpy.mean(differences):+.3f} ({low:+.3f} to {high:+.3f})"
    )


def _site_lines(site: str, pairs: Sequence[tuple[Outcome, Outcome]]) -> list[str]:
    lines = [f"{site}: of 100 asked, in time / late / refused / failed; base > other"]
    sides = [[pair[side].report or {} for pair in pairs] for side in (0, 1)]
    for kind in [one["name"] for one in sides[0][0]["classes"]]:
        shares = [" / ".join(_shares(reports, kind)) for reports in sides]
        lines.append(f"  {kind:20} {shares[0]}  >  {shares[1]}")
    prices = [_mean_prices(reports) for reports in sides]
    changed = [
        f"{name} {prices[0][name]:.4f} > {prices[1].get(name, 0.0):.4f}"
        for name in prices[0]
        if max(prices[0][name], prices[1].get(name, 0.0)) >= 0.001
    ]
    return [*lines, "  prices: " + "; ".join(changed)]


def _shares(reports: Iterable[dict[str, Any]], kind: str) -> list[str]:
    rows = [row for report in reports for row in report["classes"] if row["name"] == kind]
    asked = max(1, sum(row["n"] - row["not_owed"] for row in rows))
    names = ("in_aim", "late", "refused", "failed")
    return [f"{100 * sum(row[name] for row in rows) / asked:.1f}" for name in names]


def _mean_prices(reports: Sequence[dict[str, Any]]) -> dict[str, float]:
    sums: dict[str, float] = {}
    for report in reports:
        for name, _, price in report["prices"]:
            sums[name] = sums.get(name, 0.0) + price / len(reports)
    return sums


def _problem_lines(side: str, outcomes: Sequence[Outcome]) -> list[str]:
    lines = []
    for one in outcomes:
        if one.report is None:
            lines.append(f"NOT PLAYED {side} {one.play.name}: {one.problem}")
            continue
        if one.report["breaks"]:
            lines.append(f"RULE BROKEN {side} {one.play.name}: {one.report['breaks']}")
        if one.report["fault"] or one.report["short"]:
            lines.append(
                f"FLOOR {side} {one.play.name}: {one.report['fault']} {one.report['short']}"
            )
    return lines


# --- commands ---


def _days(site: Path) -> list[str]:
    days = tomllib.loads(site.read_text(encoding="utf-8"))["day"]
    return [day["name"] for day in days if day["slot"] in TROUBLED_SLOTS]


def _plays(sites: Sequence[Path], seeds: Sequence[int], days: Sequence[str]) -> list[Play]:
    return [
        Play(site, day, seed)
        for seed in seeds
        for site in sites
        for day in _days(site)
        if not days or day in days
    ]


def _panel_options(command: Any) -> Any:
    for option in (
        click.option("--panel", type=click.Choice(["tuning", "fresh"]), default="tuning"),
        click.option("--seeds", default=0, help="How many seeds; by default those of the panel."),
        click.option("--site", "sites", multiple=True, help="Part of a site file's name; all."),
        click.option("--day", "days", multiple=True, help="Name of a day; all with trouble."),
        click.option("--jobs", default=4, help="Plays at the same time."),
        click.option("--results", type=Path, default=Path("build/panel"), help="Kept outcomes."),
        click.option("--why", required=True, help="The reason, for the journal."),
    ):
        command = option(command)
    return command


def _chosen(panel: str, seeds: int, sites: Sequence[str], days: Sequence[str]) -> list[Play]:
    if panel == "fresh":
        numbers = [
            random.SystemRandom().randrange(1000, 10**6) for _ in range(seeds or FRESH_SEEDS)
        ]
        click.echo(f"seeds drawn: {numbers}")
    else:
        numbers = list(TUNING_SEEDS[: seeds or len(TUNING_SEEDS)])
    chosen = [one for one in SMALL_SITES if not sites or any(part in one.name for part in sites)]
    plays = _plays(chosen, numbers, days)
    if not plays:
        raise PanelError("no site or day has such a name")
    return plays


@click.group()
def panel() -> None:
    """Compare policies on the same days and seeds of the users' bench."""


@panel.command()
@click.argument("base", type=click.Path(path_type=Path, exists=True, file_okay=False))
@click.argument("candidate", type=click.Path(path_type=Path, exists=True, file_okay=False))
@_panel_options
def compare(
    base: Path,
    candidate: Path,
    panel: str,
    seeds: int,
    sites: tuple[str, ...],
    days: tuple[str, ...],
    jobs: int,
    results: Path,
    why: str,
) -> None:
    """Play a panel in two checkouts and print the differences."""
    plays = _chosen(panel, seeds, sites, days)
    player = Player(results, jobs, why)
    first, second = player.play_all([base.resolve(), candidate.resolve()], plays)
    click.echo("\n".join(compare_outcomes(first, second)))


def _switches(names: Sequence[str]) -> list[Switch]:
    entries = tomllib.loads(ABLATIONS.read_text(encoding="utf-8"))["switch"]
    switches = [Switch(**entry) for entry in entries]
    unknown = set(names) - {one.name for one in switches}
    if unknown:
        raise PanelError(f"no such switch: {', '.join(sorted(unknown))}")
    return [one for one in switches if not names or one.name in names]


def _copy_without(checkout: Path, switch: Switch, scratch: Path) -> Path:
    """Return a copy of a checkout beside it in which a mechanism is switched off."""
    copy = scratch / switch.name
    copy.mkdir()
    for name in COPIED_FOLDERS:
        source = checkout / name
        if source.is_dir():
            shutil.copytree(source, copy / name, ignore=shutil.ignore_patterns("__pycache__"))
        elif source.exists():
            shutil.copy2(source, copy / name)
    target = copy / switch.path
    text = target.read_text(encoding="utf-8")
    if text.count(switch.old) != 1:
        raise PanelError(f"{switch.name}: its text stands {text.count(switch.old)} times")
    target.write_text(text.replace(switch.old, switch.new), encoding="utf-8")
    for command in (
        ["init", "-q"],
        ["add", "-A"],
        ["commit", "-q", "-m", f"without {switch.name}"],
    ):
        subprocess.run(["git", *command], cwd=copy, check=True, capture_output=True)
    return copy


@panel.command()
@click.argument("checkout", type=click.Path(path_type=Path, exists=True, file_okay=False))
@click.argument("names", nargs=-1)
@_panel_options
def ablate(
    checkout: Path,
    names: tuple[str, ...],
    panel: str,
    seeds: int,
    sites: tuple[str, ...],
    days: tuple[str, ...],
    jobs: int,
    results: Path,
    why: str,
) -> None:
    """Switch mechanisms off, one by one, and print what each is worth.

    The copies are made beside the checkout; journal entries of their plays are moved into its
    journal folder.
    """
    checkout = checkout.resolve()
    plays = _chosen(panel, seeds, sites, days)
    player = Player(results, jobs, why)
    with tempfile.TemporaryDirectory(prefix="ablation-", dir=checkout.parent) as folder:
        # The site files are found relative to a checkout, one folder deeper here.
        scratch = Path(folder)
        (scratch / "given").symlink_to((checkout / "../given").resolve())
        switches = _switches(names)
        copies = [_copy_without(checkout, switch, scratch) for switch in switches]
        outcomes = player.play_all([checkout, *copies], plays)
        for copy in copies:
            for entry in (copy / "journal").glob("*.json"):
                shutil.copy2(entry, checkout / "journal" / entry.name)
    for switch, without in zip(switches, outcomes[1:], strict=True):
        click.echo(f"\n== without {switch.name}: {switch.what}")
        click.echo("\n".join(compare_outcomes(outcomes[0], without)))


if __name__ == "__main__":
    panel()
