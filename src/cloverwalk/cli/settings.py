"""``cloverwalk settings``: checks and shows settings files."""

from pathlib import Path

import click
import msgspec

from cloverwalk.cli.api import json_option, print_json
from cloverwalk.config.loader import load_file


@click.group()
def settings() -> None:
    """Check and show settings files.

    Example: cloverwalk settings check node.toml
    """


@settings.command("check")
@click.argument("path", type=click.Path(path_type=Path))
def check_command(path: Path) -> None:
    """Check a file; if it is invalid, print every fault and exit with code 4.

    Example: cloverwalk settings check node.toml
    """
    load_file(path)
    click.echo(f"{path}: no faults")


@settings.command("show")
@click.argument("path", type=click.Path(path_type=Path))
@json_option
def show_command(path: Path, as_json: bool) -> None:
    """Show a file with every default filled in.

    Example: cloverwalk settings show node.toml
    """
    shown = msgspec.to_builtins(load_file(path))
    if as_json:
        print_json(shown)
        return
    for line in _lines(shown, ""):
        click.echo(line)


def _lines(value: object, path: str) -> list[str]:
    if isinstance(value, dict):
        return [line for key, item in value.items() for line in _lines(item, f"{path}{key}.")]
    return [] if value is None else [f"{path.rstrip('.')} = {value!r}"]
