"""``cloverwalk table``: shows and edits the table of weights and limits."""

from pathlib import Path

import click
from msgspec import json

from cloverwalk.cli.api import call, decode, json_option, node_option, print_json
from cloverwalk.cli.errors import EXIT_USAGE, CommandError

version_option = click.option(
    "--if-version", type=int, help="Edit only this version; exit code 5 if it is not current."
)


@click.group()
def table() -> None:
    """Show and edit the table of weights and limits.

    Example: cloverwalk table set --session '*' --kind subtitles weight=5
    """


def _if_match_header(if_version: int | None) -> dict[str, str]:
    return {} if if_version is None else {"If-Match": f'"{if_version}"'}


@table.command("show")
@node_option
@json_option
def show_command(nodes: tuple[str, ...], as_json: bool) -> None:
    """Show the current table.

    Example: cloverwalk table show
    """
    if as_json:
        print_json(decode(call(nodes, "GET", "/v1/table")))
        return
    response = call(nodes, "GET", "/v1/table", headers={"Accept": "text/csv"})
    click.echo(f"# version {response.headers['etag'].strip(chr(34))}", err=True)
    click.echo(response.body.decode(), nl=False)


@table.command("set")
@click.option("--session", required=True, help="Session id, or * for any.")
@click.option("--kind", required=True, help="Kind of work, or * for any.")
@click.argument("cells", nargs=-1, required=True, metavar="COLUMN=VALUE...")
@version_option
@node_option
def set_command(
    session: str,
    kind: str,
    cells: tuple[str, ...],
    if_version: int | None,
    nodes: tuple[str, ...],
) -> None:
    """Set cells of one row; an empty value clears a cell.

    Example: cloverwalk table set --session '*' --kind archive weight=0.5 max_in_flight=20
    """
    for cell in cells:
        if "=" not in cell:
            raise CommandError(f"{cell!r} is not COLUMN=VALUE", EXIT_USAGE)
    values = dict(cell.split("=", 1) for cell in cells)
    body = json.encode({"session": session, "kind": kind, "cells": values})
    answer = decode(call(nodes, "PATCH", "/v1/table", body, _if_match_header(if_version)))
    click.echo(f"version {answer['version']} is in force")


@table.command("export")
@click.argument("path", type=click.Path(path_type=Path))
@node_option
def export_command(path: Path, nodes: tuple[str, ...]) -> None:
    """Write the table to a CSV file for a spreadsheet.

    Example: cloverwalk table export table.csv
    """
    response = call(nodes, "GET", "/v1/table", headers={"Accept": "text/csv"})
    try:
        path.write_bytes(response.body)
    except OSError as error:
        raise CommandError(f"{path}: {error.strerror}", EXIT_USAGE) from error
    click.echo(f"version {response.headers['etag'].strip(chr(34))} written to {path}")


@table.command("import")
@click.argument("path", type=click.Path(path_type=Path))
@version_option
@node_option
def import_command(path: Path, if_version: int | None, nodes: tuple[str, ...]) -> None:
    """Replace the table by a CSV file.

    Example: cloverwalk table import table.csv --if-version 12
    """
    try:
        body = path.read_bytes()
    except OSError as error:
        raise CommandError(f"{path}: {error.strerror}", EXIT_USAGE) from error
    headers = {"Content-Type": "text/csv", **_if_match_header(if_version)}
    answer = decode(call(nodes, "PUT", "/v1/table", body, headers))
    click.echo(f"version {answer['version']} is in force")


@table.command("history")
@node_option
@json_option
def history_command(nodes: tuple[str, ...], as_json: bool) -> None:
    """List accepted versions, newest first.

    Example: cloverwalk table history
    """
    answer = decode(call(nodes, "GET", "/v1/table/history"))
    if as_json:
        print_json(answer)
        return
    for version in answer["versions"]:
        click.echo(f"version {version['version']}: {version['rows']} rows")
