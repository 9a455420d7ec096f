"""``cloverwalk session``: opens, lists and closes sessions."""

import click
from msgspec import json

from cloverwalk.cli.api import call, decode, json_option, node_option, print_json


@click.group()
def session() -> None:
    """Open, list and close sessions.

    Example: cloverwalk session open --tenant parish --name "quiz night"
    """


@session.command("open")
@click.option("--tenant", required=True, help="Tenant that owns the session.")
@click.option("--name", required=True, help="Display name.")
@click.option("--key", help="Idempotency key: a repeated open gives the same session.")
@node_option
@json_option
def open_command(
    tenant: str, name: str, key: str | None, nodes: tuple[str, ...], as_json: bool
) -> None:
    """Open a session and print its id.

    Example: cloverwalk session open --tenant parish --name "quiz night"
    """
    body = json.encode({"tenant": tenant, "name": name})
    headers = {"Idempotency-Key": key} if key else {}
    answer = decode(call(nodes, "POST", "/v1/sessions", body, headers))
    if as_json:
        print_json(answer)
    else:
        click.echo(answer["session_id"])


@session.command("list")
@click.option("--closed", is_flag=True, help="Show closed sessions as well.")
@node_option
@json_option
def list_command(closed: bool, nodes: tuple[str, ...], as_json: bool) -> None:
    """List sessions.

    Example: cloverwalk session list --closed
    """
    path = "/v1/sessions?closed=true" if closed else "/v1/sessions"
    answer = decode(call(nodes, "GET", path))
    if as_json:
        print_json(answer)
        return
    for entry in answer["sessions"]:
        state = "closed" if entry["closed"] else "open"
        click.echo(f"{entry['session_id']}  {state:6}  {entry['tenant']}  {entry['name']}")


@session.command("close")
@click.argument("session_id")
@node_option
def close_command(session_id: str, nodes: tuple[str, ...]) -> None:
    """Close a session permanently.

    Example: cloverwalk session close s-0123456789abcdef01234567
    """
    call(nodes, "DELETE", f"/v1/sessions/{session_id}")
    click.echo(f"{session_id} closed")
