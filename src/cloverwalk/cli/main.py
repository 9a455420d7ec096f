"""The ``cloverwalk`` command.

Exit codes: 0 done; 1 refused or failed; 2 invalid argument or input file; 3 no node answered;
4 invalid settings file; 5 the resource was changed concurrently.
"""

import sys
from typing import Any

import click

from cloverwalk import __version__
from cloverwalk.cli.batch import batch
from cloverwalk.cli.demo import demo
from cloverwalk.cli.errors import EXIT_SETTINGS, CommandError
from cloverwalk.cli.experiment import experiment
from cloverwalk.cli.explain import explain
from cloverwalk.cli.features import features
from cloverwalk.cli.fleet import fleet
from cloverwalk.cli.platform import platform
from cloverwalk.cli.report import report
from cloverwalk.cli.run import emulator, node
from cloverwalk.cli.session import session
from cloverwalk.cli.settings import settings
from cloverwalk.cli.soak import soak
from cloverwalk.cli.table import table
from cloverwalk.cli.tenants import tenants
from cloverwalk.config.loader import SettingsError


class _Group(click.Group):
    """Prints errors of commands and exits with their codes."""

    def invoke(self, ctx: click.Context) -> Any:
        try:
            return super().invoke(ctx)
        except CommandError as error:
            click.echo(f"Error: {error}", err=True)
            ctx.exit(error.exit_code)
        except SettingsError as error:
            click.echo(f"Error: the settings have {len(error.faults)} fault(s)", err=True)
            click.echo(str(error), err=True)
            ctx.exit(EXIT_SETTINGS)


@click.group(cls=_Group, epilog=__doc__)
@click.version_option(__version__)
def cli() -> None:
    """Online and batch inference on one shared fleet.

    Example: cloverwalk demo
    """


COMMANDS = (
    node,
    emulator,
    demo,
    table,
    session,
    batch,
    fleet,
    settings,
    platform,
    experiment,
    explain,
    report,
    features,
    tenants,
    soak,
)
for command in COMMANDS:
    cli.add_command(command)


def main() -> None:
    """Run the command line."""
    try:
        cli()
    except KeyboardInterrupt:
        sys.exit(130)


if __name__ == "__main__":
    main()
