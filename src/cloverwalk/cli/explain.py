"""``cloverwalk explain``: prints the history of a request from logs."""

from pathlib import Path

import click

from cloverwalk.cli.api import json_option, print_json
from cloverwalk.cli.errors import EXIT_USAGE, CommandError
from cloverwalk.core.catalogue import CATALOGUE
from cloverwalk.telemetry.request_history import (
    LogLine,
    describe_work_state,
    parse_line,
    request_history,
)

NOTE_INDENT = "    "


@click.command()
@click.argument("request_id")
@click.argument(
    "logs", nargs=-1, required=True, type=click.Path(path_type=Path, exists=True, dir_okay=False)
)
@json_option
def explain(request_id: str, logs: tuple[Path, ...], as_json: bool) -> None:
    """Print the history of a request, item or job from the logs of many nodes.

    Lines are sorted by time and include changes of configuration, replicas, store and peers
    at the same nodes. A refusal is followed by the state of the work at that time.

    Example: cloverwalk explain 9c41d07be2a35f68 node-*.log
    """
    lines: list[LogLine] = []
    for path in logs:
        with path.open(encoding="utf-8", errors="replace") as file:
            lines += [line for text in file if (line := parse_line(text)) is not None]
    history = request_history(lines, request_id)
    if not history:
        message = (
            f"{request_id}: none of {len(lines)} log lines mentions it;"
            " it may not have reached a node"
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
        click.echo(_sentence(line))
        work_state = describe_work_state(line)
        if work_state:
            click.echo(f"{NOTE_INDENT}{work_state}")


def _sentence(line: LogLine) -> str:
    """Return what happened, followed by the fields of the line.

    Lines of another version may have a number that the catalogue does not contain.

    >>> _sentence(LogLine(1.5, "n1", 420, "item_started", "info", {"request": "i", "job": "j"}))
    '1.500 n1 420 item_started: An item was sent to a replica. (request=i, job=j)'
    >>> _sentence(LogLine(1.5, "n1", 9999, "new_event", "info", {}))
    '1.500 n1 9999 new_event: This event is not in the catalogue.'
    """
    event = CATALOGUE.get(line.number)
    meaning = event.meaning if event else "This event is not in the catalogue."
    values = ", ".join(f"{key}={value}" for key, value in line.fields.items())
    suffix = f" ({values})" if values else ""
    return f"{line.time_s:.3f} {line.node} {line.number} {line.event}: {meaning}{suffix}"
