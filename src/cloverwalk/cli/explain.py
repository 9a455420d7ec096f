"""``cloverwalk explain``: prints the history of a request, item or job."""

from pathlib import Path

import click

from cloverwalk.cli.api import json_option, print_json
from cloverwalk.cli.errors import EXIT_USAGE, CommandError
from cloverwalk.telemetry.request_history import (
    LogLine,
    describe_work_state,
    parse_line,
    request_history,
)

WORK_STATE_INDENT = "    "


@click.command()
@click.argument("request_id")
@click.argument(
    "logs", nargs=-1, required=True, type=click.Path(path_type=Path, exists=True, dir_okay=False)
)
@json_option
def explain(request_id: str, logs: tuple[Path, ...], as_json: bool) -> None:
    """Print the history of a request, item or job from the logs of many nodes.

    Lines are sorted by time. They include lines about configuration, replicas, store and peers
    that the same nodes logged shortly before or meanwhile. Each refusal is followed by the
    state of the work.

    Example: cloverwalk explain 9c41d07be2a35f68 node-*.log
    """
    lines: list[LogLine] = []
    for path in logs:
        with path.open(encoding="utf-8", errors="replace") as file:
            lines += [line for text in file if (line := parse_line(text)) is not None]
    history = request_history(lines, request_id)
    if not history:
        message = (
            f"{request_id}: none of {len(lines)} log lines mentions it; it may have reached no node"
        )
        raise CommandError(message, EXIT_USAGE, "not_logged")
    if as_json:
        print_json(
            [
                {
                    "time_s": line.time_s,
                    "node": line.node,
                    "number": line.number,
                    "event": line.event,
                    **line.fields,
                }
                for line in history
            ]
        )
        return
    for line in history:
        click.echo(line.text())
        work_state = describe_work_state(line)
        if work_state:
            click.echo(f"{WORK_STATE_INDENT}{work_state}")
