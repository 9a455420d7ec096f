"""``cloverwalk demo``: two zones, stand-ins and a small load in one process on one loop."""

import sys

import click
import curio

from cloverwalk.cli.errors import EXIT_REFUSED, CommandError
from cloverwalk.experiment.demo import DemoReport, run_demo


@click.command()
@click.option("--seconds", default=12.0, show_default=True, help="How long the load runs.")
def demo(seconds: float) -> None:
    """Run a small fleet for a quarter of a minute and report what its callers saw.

    Example: cloverwalk demo --seconds 5
    """
    report: DemoReport = curio.run(run_demo, seconds, _print_line)
    for line in report.lines():
        click.echo(line)
    click.echo(report.json())
    if not report.is_good:
        raise CommandError("the demo lost or doubled work; see the report", EXIT_REFUSED)


def _print_line(line: str) -> None:
    click.echo(line)
    sys.stdout.flush()
