"""``cloverwalk soak``: serving nodes under faults, as separate processes."""

import os
import re
import shutil
import tempfile
from collections.abc import Callable
from pathlib import Path

import click

from cloverwalk.cli.errors import EXIT_REFUSED, EXIT_USAGE, CommandError
from cloverwalk.soak.build_replacer import check_earlier_source
from cloverwalk.soak.draw import draw_plan, draw_upgrade_plan
from cloverwalk.soak.errors import SoakInputError, SoakStartError
from cloverwalk.soak.plan import MAX_MINUTES, MAX_NODES, Plan, load_plan
from cloverwalk.soak.report import HEADINGS, summary_lines, table_row
from cloverwalk.soak.run import Soak, SoakResult

NODE_BYTES = 100_000_000
"""Assumed memory of a node process; under the load of a soak it uses 36 MB."""

MAX_MEMORY_FRACTION = 0.5
"""Fraction of the machine's memory that a soak may use."""

EXIT_STOPPED = 130
"""A signal ended the soak early."""


@click.command()
@click.option(
    "--minutes",
    type=click.FloatRange(0, MAX_MINUTES, min_open=True),
    default=1.0,
    show_default=True,
    help="How long faults are injected; startup and recovery take extra time.",
)
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@click.option("--seeds", "seed_range", metavar="FIRST-LAST", help="Run one soak per seed.")
@click.option("--nodes", type=click.IntRange(1), default=3, show_default=True)
@click.option(
    "--schedule",
    "schedule_path",
    type=click.Path(path_type=Path, dir_okay=False),
    help="A schedule.json of an earlier soak; replaces seed, minutes and nodes.",
)
@click.option(
    "--out",
    type=click.Path(path_type=Path, file_okay=False),
    help="Folder for logs and histories. By default only those of failed soaks are kept.",
)
@click.option(
    "--earlier-source",
    type=click.Path(path_type=Path, file_okay=False),
    help="Source folder of an earlier build: nodes are replaced by the current one, and back.",
)
@click.option("--show", is_flag=True, help="Print the schedule only.")
def soak(
    minutes: float,
    seed: int,
    seed_range: str | None,
    nodes: int,
    schedule_path: Path | None,
    out: Path | None,
    earlier_source: Path | None,
    show: bool,
) -> None:
    """Run serving nodes as processes under faults and check their guarantees.

    Exit codes: 0 no violation; 1 a guarantee was violated, logs and history are kept;
    2 invalid input; 130 stopped by a signal.

    Example: cloverwalk soak --minutes 1 --seed 7 --nodes 4
    """
    try:
        draw = draw_plan if earlier_source is None else draw_upgrade_plan
        plans = _plans(draw, minutes, seed, seed_range, nodes, schedule_path)
        for plan in plans:
            check_memory(plan.nodes)
            if plan.build_steps:
                check_earlier_source(earlier_source)
    except SoakInputError as error:
        raise CommandError(str(error), EXIT_USAGE) from error
    if show:
        for plan in plans:
            print_schedule(plan)
        return
    results: list[SoakResult] = []
    for plan in plans:
        results.append(run_soak(plan, out, earlier_source))
        if results[-1].was_stopped:
            break
    if len(plans) > 1:
        click.echo(HEADINGS)
        for result in results:
            click.echo(table_row(result))
    if any(result.violations for result in results):
        raise click.exceptions.Exit(EXIT_REFUSED)
    if any(result.was_stopped for result in results):
        raise click.exceptions.Exit(EXIT_STOPPED)


def _plans(
    draw: Callable[[int, int, float], Plan],
    minutes: float,
    seed: int,
    seed_range: str | None,
    nodes: int,
    schedule_path: Path | None,
) -> list[Plan]:
    if nodes > MAX_NODES:
        raise SoakInputError(f"--nodes: {nodes} is more than {MAX_NODES}")
    if schedule_path is not None:
        return [load_plan(schedule_path)]
    if seed_range is None:
        return [draw(seed, nodes, minutes)]
    seed_match = re.fullmatch(r"(\d+)-(\d+)", seed_range)
    if seed_match is None or int(seed_match[1]) > int(seed_match[2]):
        raise SoakInputError(f"--seeds: {seed_range!r} is not a range FIRST-LAST")
    return [
        draw(number, nodes, minutes) for number in range(int(seed_match[1]), int(seed_match[2]) + 1)
    ]


def check_memory(nodes: int) -> None:
    """Raise SoakInputError if the machine lacks memory for ``nodes`` node processes."""
    memory = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
    max_nodes = int(memory * MAX_MEMORY_FRACTION / NODE_BYTES)
    if nodes > max_nodes:
        raise SoakInputError(
            f"--nodes: this machine has memory for {max_nodes} nodes, not for {nodes}"
        )


def print_schedule(plan: Plan) -> None:
    """Print the seed and the steps of a plan."""
    click.echo(
        f"seed {plan.seed}: {plan.nodes} nodes, {plan.replicas} replicas,"
        f" {plan.duration_s:g} s, {len(plan.actions)} steps"
    )
    for action in plan.actions:
        click.echo(action.line())
    for step in plan.build_steps:
        click.echo(step.line())


def run_soak(plan: Plan, out: Path | None, earlier_source: Path | None = None) -> SoakResult:
    """Run one soak and print its summary."""
    print_schedule(plan)
    if out is None:
        folder = Path(tempfile.mkdtemp(prefix=f"cloverwalk-soak-{plan.seed}-"))
    else:
        folder = out / f"seed-{plan.seed}"
    try:
        result = Soak(plan, folder, click.echo, earlier_source).run()
    except SoakStartError as error:
        raise CommandError(f"{error}; logs are in {folder}", EXIT_REFUSED) from error
    for line in summary_lines(result):
        click.echo(line)
    if out is None and result.is_clean:
        shutil.rmtree(folder)
    else:
        click.echo(f"logs and history: {folder}")
    return result
