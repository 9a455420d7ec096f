"""``cloverwalk features``: shows which policy features are on, from the logs of nodes."""

from pathlib import Path

import click

from cloverwalk.cli.api import json_option, print_json
from cloverwalk.cli.errors import EXIT_USAGE, CommandError
from cloverwalk.core import catalogue
from cloverwalk.telemetry.request_history import LogLine, parse_line

HEADINGS = "feature           state  nodes  reason"


@click.command()
@click.argument(
    "logs", nargs=-1, required=True, type=click.Path(path_type=Path, exists=True, dir_okay=False)
)
@json_option
def features(logs: tuple[Path, ...], as_json: bool) -> None:
    """Show which policy features are on, and why, from the logs of nodes.

    Features that only the coordinator uses may be reported by fewer nodes than others.

    Example: cloverwalk features node-*.log
    """
    rows = _last_states(_lines(logs))
    if not rows:
        raise CommandError(
            "the files contain no log line about a policy feature", EXIT_USAGE, "not_logged"
        )
    if as_json:
        keys = ("feature", "is_on", "reason", "nodes")
        print_json([dict(zip(keys, row, strict=True)) for row in rows])
        return
    click.echo(HEADINGS)
    for feature, is_on, reason, nodes in rows:
        click.echo(f"{feature:16}  {'on' if is_on else 'off':5}  {nodes:5}  {reason}")


def _lines(logs: tuple[Path, ...]) -> list[LogLine]:
    lines: list[LogLine] = []
    for path in logs:
        with path.open(encoding="utf-8", errors="replace") as file:
            lines += [line for text in file if (line := parse_line(text)) is not None]
    return sorted(lines, key=lambda line: line.time_s)


def _last_states(lines: list[LogLine]) -> list[tuple[str, bool, str, int]]:
    """Return the last logged states of each feature, with the number of nodes in each state."""
    last_state_by_feature: dict[tuple[str, str], tuple[bool, str]] = {}
    for line in lines:
        if line.number == catalogue.FEATURE_CHANGED:
            feature = str(line.fields.get("feature", ""))
            state = bool(line.fields.get("is_on")), str(line.fields.get("reason", ""))
            last_state_by_feature[feature, line.node] = state
    counts: dict[tuple[str, bool, str], int] = {}
    for (feature, _node), (is_on, reason) in last_state_by_feature.items():
        counts[feature, is_on, reason] = counts.get((feature, is_on, reason), 0) + 1
    return [(*key, count) for key, count in sorted(counts.items())]
