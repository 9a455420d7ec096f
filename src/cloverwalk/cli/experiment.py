"""``cloverwalk experiment``: compares policies on a simulated fleet."""

from pathlib import Path

import click
from msgspec import structs

from cloverwalk.cli.api import json_option, print_json
from cloverwalk.cli.errors import EXIT_USAGE, CommandError
from cloverwalk.core.policies import POLICIES
from cloverwalk.experiment.report import ReportError, make_report, table_of, write_report
from cloverwalk.experiment.scenario import load_scenario, scenario_names
from cloverwalk.experiment.simulated import SimulatedRun

BASELINES = ("online-only", "batch-only")


@click.group()
def experiment() -> None:
    """Run one workload under several policies and compare them.

    Example: cloverwalk experiment run parish --policy cloverwalk --policy fifo
    """


@experiment.command("list")
def list_command() -> None:
    """List the scenarios and policies that come with the package.

    Example: cloverwalk experiment list
    """
    click.echo("scenarios: " + ", ".join(scenario_names()))
    click.echo("policies: " + ", ".join(POLICIES))


@experiment.command("run")
@click.argument("scenario_name", metavar="SCENARIO")
@click.option(
    "--policy",
    "policies",
    multiple=True,
    type=click.Choice(list(POLICIES)),
    default=("cloverwalk",),
    show_default=True,
    help="May be given several times. The two baselines always run.",
)
@click.option("--seed", default=1, show_default=True, help="First seed.")
@click.option("--seeds", default=5, show_default=True, type=click.IntRange(1, 100))
@click.option("--duration-s", type=float, help="Overrides the duration of the scenario.")
@click.option("--out", type=click.Path(path_type=Path), help="Folder for JSON, table and plot.")
@json_option
def run_command(
    scenario_name: str,
    policies: tuple[str, ...],
    seed: int,
    seeds: int,
    duration_s: float | None,
    out: Path | None,
    as_json: bool,
) -> None:
    """Run SCENARIO (a name from "experiment list" or a TOML file) on the simulated fleet.

    Example: cloverwalk experiment run channel --policy cloverwalk --policy priority-only
    --seeds 5 --out out
    """
    scenario = load_scenario(scenario_name)
    if duration_s is not None:
        if duration_s <= 0:
            raise CommandError("--duration-s: must be above 0", EXIT_USAGE)
        scenario = structs.replace(scenario, duration_s=duration_s)
    names = list(dict.fromkeys((*BASELINES, *policies)))
    runs = []
    for number in range(seed, seed + seeds):
        for name in names:
            click.echo(f"{scenario.name}: {name}, seed {number}", err=True)
            runs.append(SimulatedRun(scenario, name, number).run())
    report = make_report(scenario.name, runs)
    if out is not None:
        try:
            for path in write_report(report, out):
                click.echo(f"written: {path}", err=True)
        except ReportError as error:
            raise CommandError(f"--out: {error}", EXIT_USAGE) from error
    if as_json:
        print_json(report)
    else:
        click.echo(table_of(report))
