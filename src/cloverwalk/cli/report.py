"""``cloverwalk report``: prints from logs what a fleet did in each second."""

from pathlib import Path
from typing import Any

import attrs
import click

from cloverwalk.cli.api import json_option, print_json
from cloverwalk.cli.errors import EXIT_USAGE, CommandError
from cloverwalk.scheduling.slot_time import SlotUse
from cloverwalk.telemetry.load_report import (
    LateCount,
    SlotSecond,
    late_counts_of,
    slot_seconds_of,
)
from cloverwalk.telemetry.request_history import LogLine, parse_line
from cloverwalk.telemetry.startup_report import StageTimes, startup_stages
from cloverwalk.telemetry.timeline import P95, SecondStats, timeline_of


@click.command()
@click.argument(
    "logs", nargs=-1, required=True, type=click.Path(path_type=Path, exists=True, dir_okay=False)
)
@click.option(
    "--plot",
    type=click.Path(path_type=Path, dir_okay=False),
    help="Also write a plot (PNG) to this file; needs matplotlib.",
)
@click.option("--starts", is_flag=True, help="Show how long process starts took instead.")
@click.option("--slots", is_flag=True, help="Show the use of the replicas' slots instead.")
@click.option("--late", is_flag=True, help="Show why requests and items were late instead.")
@json_option
def report(
    logs: tuple[Path, ...],
    plot: Path | None,
    starts: bool,
    slots: bool,
    late: bool,
    as_json: bool,
) -> None:
    """Show what a fleet did in each second, from the logs of its nodes.

    Each second has the answered requests with their times to the first event, the work in flight
    at replicas, the items whose results are not listed yet, and, by code, the requests
    that ended without an answer.

    Example: cloverwalk report node-*.log --plot day.png
    """
    lines: list[LogLine] = []
    for path in logs:
        with path.open(encoding="utf-8", errors="replace") as file:
            lines += [line for text in file if (line := parse_line(text)) is not None]
    if starts:
        _show_starts(startup_stages(lines), as_json)
        return
    if slots:
        _show_slots(slot_seconds_of(lines), as_json)
        return
    if late:
        _show_late(late_counts_of(lines), as_json)
        return
    seconds = timeline_of(lines)
    if not seconds:
        raise CommandError("the files contain no log line of a node", EXIT_USAGE, "not_logged")
    if plot is not None:
        _plot(seconds, plot)
    if as_json:
        print_json([_document(second) for second in seconds])
        return
    for second in seconds:
        click.echo(_sentence(second))


def _show_slots(seconds: list[SlotSecond], as_json: bool) -> None:
    if not seconds:
        raise CommandError(
            "the files contain no log line of a coordinator", EXIT_USAGE, "not_logged"
        )
    if as_json:
        print_json([attrs.asdict(second) for second in seconds])
        return
    uses = [use for use in SlotUse if any(use.value in second.seconds_by_use for second in seconds)]
    for second in seconds:
        times = ", ".join(
            f"{use.value} {second.seconds_by_use.get(use.value, 0.0):.1f} s" for use in uses
        )
        click.echo(f"second {second.at_s}: slot time was {times}")


def _show_late(counts: list[LateCount], as_json: bool) -> None:
    if as_json:
        print_json([attrs.asdict(count) for count in counts])
        return
    for late_count in counts:
        kind = "item" if late_count.is_item else "request"
        tenant = f" of tenant {late_count.tenant}" if late_count.tenant else ""
        click.echo(
            f"second {late_count.at_s}: {late_count.count} {kind}(s){tenant} late,"
            f" cause {late_count.cause}"
        )


def _show_starts(stages: list[StageTimes], as_json: bool) -> None:
    if not stages:
        raise CommandError("the files contain no start of a node", EXIT_USAGE, "not_logged")
    if as_json:
        print_json([_stage_document(stage) for stage in stages])
        return
    for stage in stages:
        click.echo(
            f"{stage.stage}: reached in {len(stage.after_ms)} start(s) after"
            f" {stage.quantile(0.5):.0f} ms (p50), {stage.quantile(P95):.0f} ms (p95),"
            f" {stage.after_ms[-1]:.0f} ms (slowest)"
        )


def _stage_document(stage: StageTimes) -> dict[str, Any]:
    return {
        "stage": stage.stage,
        "starts": len(stage.after_ms),
        "p50_ms": stage.quantile(0.5),
        "p95_ms": stage.quantile(P95),
        "last_ms": stage.after_ms[-1],
    }


def _document(second: SecondStats) -> dict[str, Any]:
    return {
        "at_s": second.at_s,
        "answered": second.answered,
        "first_p50_ms": second.first_event_quantile_ms(0.5),
        "first_p95_ms": second.first_event_quantile_ms(P95),
        "online": second.online,
        "batch": second.batch,
        "unlisted": second.unlisted,
        "given_up": dict(sorted(second.given_up_by_code.items())),
    }


def _sentence(second: SecondStats) -> str:
    """Return the statistics of a second as text.

    >>> _sentence(SecondStats(3, answered=1, first_ms=[9.0], online=1))
    'second 3: 1 answered, first event p50 9 ms, p95 9 ms; 1 online, 0 batch in flight; 0 unlisted'
    """
    median, high = second.first_event_quantile_ms(0.5), second.first_event_quantile_ms(P95)
    given_up = ", ".join(
        f"{count} {code}" for code, count in sorted(second.given_up_by_code.items())
    )
    suffix = f"; ended without an answer: {given_up}" if given_up else ""
    return (
        f"second {second.at_s}: {second.answered} answered,"
        f" first event p50 {_milliseconds(median)}, p95 {_milliseconds(high)};"
        f" {second.online} online, {second.batch} batch in flight;"
        f" {second.unlisted} unlisted{suffix}"
    )


def _milliseconds(value: float | None) -> str:
    return "none" if value is None else f"{value:.0f} ms"


def _plot(seconds: list[SecondStats], path: Path) -> None:
    try:
        import matplotlib
    except ImportError as error:
        message = "matplotlib is not installed: pip install 'cloverwalk[plots]'"
        raise CommandError(message, EXIT_USAGE, "no_matplotlib") from error
    matplotlib.use("Agg")
    from matplotlib import pyplot

    times = [second.at_s for second in seconds]
    figure, (first_event_axes, work_axes, ended_axes) = pyplot.subplots(
        3, 1, figsize=(9, 9), sharex=True
    )
    for quantile, label in ((0.5, "median"), (P95, "95th percentile")):
        first_event_axes.plot(
            times, [second.first_event_quantile_ms(quantile) for second in seconds], label=label
        )
    first_event_axes.set_ylabel("first event, ms")
    work_axes.plot(times, [second.online for second in seconds], label="online at replicas")
    work_axes.plot(times, [second.batch for second in seconds], label="items at replicas")
    work_axes.plot(times, [second.unlisted for second in seconds], label="items not listed")
    work_axes.set_ylabel("in flight")
    ended_axes.bar(
        times,
        [second.given_up_by_code.total() for second in seconds],
        label="ended without an answer",
    )
    ended_axes.set_ylabel("requests a second")
    ended_axes.set_xlabel("time, s")
    for axes in (first_event_axes, work_axes, ended_axes):
        axes.legend()
    try:
        figure.savefig(path, dpi=110)
    except OSError as error:
        raise CommandError(f"{path}: {error.strerror}", EXIT_USAGE, "not_written") from error
    finally:
        pyplot.close(figure)
