"""``cloverwalk platform``: settings of a serving node on the users' platform."""

from pathlib import Path

import click
import msgspec

from cloverwalk.cli.api import json_option, print_json
from cloverwalk.cli.errors import EXIT_SETTINGS, CommandError
from cloverwalk.platform.settings import PlatformSettingsError, load_settings


@click.group()
def platform() -> None:
    """Check the settings of a serving node on the users' platform.

    Example: cloverwalk platform check local.toml
    """


@platform.command("check")
@click.argument("path", type=click.Path(path_type=Path))
@json_option
def check_command(path: Path, as_json: bool) -> None:
    """Check a settings file and show the resulting settings; exit code 4 if it is invalid.

    Example: cloverwalk platform check local.toml
    """
    try:
        settings = load_settings(path)
    except PlatformSettingsError as error:
        raise CommandError(str(error), EXIT_SETTINGS, "settings_invalid") from error
    shown = msgspec.to_builtins(settings)
    if as_json:
        print_json(shown)
        return
    for name, value in shown.items():
        click.echo(f"{name} = {value!r}")
