"""Calls the HTTP interface of a node and turns errors into exit codes."""

import re
from typing import Any

import click
import curio
import msgspec
from msgspec import json

from cloverwalk.cli.errors import (
    EXIT_CONFLICT,
    EXIT_REFUSED,
    EXIT_UNREACHABLE,
    EXIT_USAGE,
    CommandError,
)
from cloverwalk.http.client import HttpPool, HttpResponse
from cloverwalk.http.errors import HttpError, NotSentError

CALL_TIMEOUT_S = 30.0
_ADDRESS = re.compile(r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")

node_option = click.option(
    "--node",
    "nodes",
    multiple=True,
    envvar="CLOVERWALK_NODES",
    default=("127.0.0.1:8080",),
    show_default=True,
    help="HTTP address of a node; may be given several times, tried in order.",
)
json_option = click.option("--json", "as_json", is_flag=True, help="Print JSON for scripts.")


def call(
    nodes: tuple[str, ...],
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
) -> HttpResponse:
    """Call the first node that can be reached.

    Raises CommandError if none can be reached, or if the node returns an error.
    """
    problem = ""
    for address in nodes:
        if not _ADDRESS.match(address):
            message = f"--node: {address!r} is not an address such as 127.0.0.1:8080"
            raise CommandError(message, EXIT_USAGE)
        try:
            response = curio.run(_call, address, method, path, body, headers or {})
        except NotSentError as error:
            problem = str(error)
            continue
        except HttpError as error:
            # The node may have processed the call; calling another node could repeat it.
            raise CommandError(str(error), EXIT_UNREACHABLE) from error
        return _raise_for_status(response)
    raise CommandError(f"no node answered; {problem}", EXIT_UNREACHABLE)


async def _call(
    address: str, method: str, path: str, body: bytes, headers: dict[str, str]
) -> HttpResponse:
    pool = HttpPool(address)
    try:
        return await pool.call(method, path, body, headers, timeout_s=CALL_TIMEOUT_S)
    finally:
        await pool.close()


def _raise_for_status(response: HttpResponse) -> HttpResponse:
    if response.status < 400:
        return response
    exit_code = EXIT_CONFLICT if response.status == 412 else EXIT_REFUSED
    problem = decode(response)
    detail = problem.get("detail", f"status {response.status}")
    field = problem.get("field")
    outcome = problem.get("outcome")
    message = f"{field}: {detail}" if field else str(detail)
    if outcome:
        message += f" (outcome: {outcome})"
    if "retry-after" in response.headers:
        message += f"; try again in {response.headers['retry-after']} s"
    raise CommandError(message, exit_code, problem.get("code"))


def decode(response: HttpResponse) -> dict[str, Any]:
    """Return the JSON object in the body, or an empty dict if there is none."""
    try:
        body = json.decode(response.body)
    except msgspec.DecodeError:
        return {}
    return body if isinstance(body, dict) else {}


def print_json(body: object) -> None:
    """Print a value as one line of JSON."""
    click.echo(json.encode(body).decode())
