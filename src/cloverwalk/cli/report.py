"""``cloverwalk report``."""

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

SECOND_HEADINGS = "second  answered  first p50 ms  p95 ms  online  batch  unlisted  given up"
LATE_HEADINGS = "second  kind     cause           count  tenant"
START_HEADINGS = f"{'stage':32}  starts  p50 ms  p95 ms  last ms"


@click.command()
@click.argument(
    "logs", nargs=-1, required=True, type=click.Path(path_type=Path, exists=True, dir_okay=False)
)
@click.option(
    "--plot",
    type=click.Path(path_type=Path, dir_okay=False),
    help="Also write a picture (PNG) here; needs matplotlib.",
)
@click.option("--starts", is_flag=True, help="Tell how long starts of processes took instead.")
@click.option("--slots", is_flag=True, help="Tell what replicas' slots were used for instead.")
@click.option("--late", is_flag=True, help="Tell why requests and items were late instead.")
@json_option
def report(
    logs: tuple[Path, ...],
    plot: Path | None,
    starts: bool,
    slots: bool,
    late: bool,
    as_json: bool,
) -> None:
    """Tell second by second what a fleet did, from the logs of its nodes.

    Answers and their first events, work in flight at replicas, items that wait for their
    results to be listed, and what was given up, by code.

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
        raise CommandError("the files hold no log line of a node", EXIT_USAGE, "not_logged")
    if plot is not None:
        _plot(seconds, plot)
    if as_json:
        print_json([_document(second) for second in seconds])
        return
    click.echo(SECOND_HEADINGS)
    for second in seconds:
        click.echo(_row(second))


def _show_slots(seconds: list[SlotSecond], as_json: bool) -> None:
    if not seconds:
        raise CommandError("the files hold no line of a coordinator", EXIT_USAGE, "not_logged")
    if as_json:
        print_json([attrs.asdict(second) for second in seconds])
        return
    uses = [use for use in SlotUse if any(use.value in second.seconds_by_use for second in seconds)]
    click.echo("second  " + "  ".join(f"{use.value:>11}" for use in uses))
    for second in seconds:
        times = "  ".join(f"{second.seconds_by_use.get(use.value, 0.0):11.1f}" for use in uses)
        click.echo(f"{second.at_s:6}  {times}")


def _show_late(counts: list[LateCount], as_json: bool) -> None:
    if as_json:
        print_json([attrs.asdict(count) for count in counts])
        return
    click.echo(LATE_HEADINGS)
    for late_count in counts:
        kind = "item" if late_count.is_item else "request"
        click.echo(
            f"{late_count.at_s:6}  {kind:7}  {late_count.cause:14}  {late_count.count:5}  {late_count.tenant}".rstrip()
        )


def _show_starts(stages: list[StageTimes], as_json: bool) -> None:
    if not stages:
        raise CommandError("the files hold no start of a node", EXIT_USAGE, "not_logged")
    if as_json:
        print_json([_stage_document(stage) for stage in stages])
        return
    click.echo(START_HEADINGS)
    for stage in stages:
        click.echo(
            f"{stage.stage:32}  {len(stage.after_ms):6}  {stage.quantile(0.5):6.0f}"
            f"  {stage.quantile(P95):6.0f}  {stage.after_ms[-1]:7.0f}"
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


def _row(second: SecondStats) -> str:
    median, high = second.first_event_quantile_ms(0.5), second.first_event_quantile_ms(P95)
    given_up = " ".join(
        f"{code}={count}" for code, count in sorted(second.given_up_by_code.items())
    )
    return (
        f"{second.at_s:6}  {second.answered:8}  {_number(median):>12}  {_number(high):>6}"
        f"  {second.online:6}  {second.batch:5}  {second.unlisted:8}  {given_up}"
    ).rstrip()


def _number(value: float | None) -> str:
    return "-" if value is None else f"{value:.0f}"


def _plot(seconds: list[SecondStats], path: Path) -> None:
    try:
        import matplotlib
    except ImportError as error:
        message = "matplotlib is not installed: pip install 'cloverwalk[plots]'"
        raise CommandError(message, EXIT_USAGE, "no_matplotlib") from error
    matplotlib.use("Agg")
    from matplotlib import pyplot

    times = [second.at_s for second in seconds]
    figure, (first, work, lost) = pyplot.subplots(3, 1, figsize=(9, 9), sharex=True)
    for share, label in ((0.5, "median"), (P95, "95 in 100")):
        first.plot(times, [one.first_event_quantile_ms(share) for one in seconds], label=label)
    first.set_ylabel("first event, ms")
    work.plot(times, [second.online for second in seconds], label="online at replicas")
    work.plot(times, [second.batch for second in seconds], label="items at replicas")
    work.plot(times, [second.unlisted for second in seconds], label="items not listed")
    work.set_ylabel("in flight")
    lost.bar(times, [second.given_up_by_code.total() for second in seconds], label="given up")
    lost.set_ylabel("requests a second")
    lost.set_xlabel("time, s")
    for axes in (first, work, lost):
        axes.legend()
    try:
        figure.savefig(path, dpi=110)
    except OSError as error:
        raise CommandError(f"{path}: {error.strerror}", EXIT_USAGE, "not_written") from error
    finally:
        pyplot.close(figure)
