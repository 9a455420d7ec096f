"""``cloverwalk demo``: two zones, emulators and a small load in one process."""

import sys

import click
import curio

from cloverwalk.cli.errors import EXIT_REFUSED, CommandError
from cloverwalk.experiment.demo import DemoReport, run_demo


@click.command()
@click.option("--seconds", default=12.0, show_default=True, help="How long the load runs.")
def demo(seconds: float) -> None:
    """Run a small fleet for some seconds and report the results of its callers.

    Example: cloverwalk demo --seconds 5
    """
    report: DemoReport = curio.run(run_demo, seconds, _print_line)
    for line in report.lines():
        click.echo(line)
    click.echo(report.json())
    if not report.is_good:
        raise CommandError("the demo lost work or ran it twice; see the report", EXIT_REFUSED)


def _print_line(line: str) -> None:
    click.echo(line)
    sys.stdout.flush()
