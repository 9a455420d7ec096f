"""``cloverwalk report``: prints statistics of a fleet from the logs of its nodes."""

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

TIMELINE_HEADINGS = "second  answered  first p50 ms  p95 ms  online  batch  unlisted  not answered"
LATE_HEADINGS = "second  kind     cause           count  tenant"
STARTS_HEADINGS = f"{'stage':32}  starts  p50 ms  p95 ms   max ms"


@click.command()
@click.argument(
    "logs", nargs=-1, required=True, type=click.Path(path_type=Path, exists=True, dir_okay=False)
)
@click.option(
    "--plot",
    type=click.Path(path_type=Path, dir_okay=False),
    help="Also write a plot (PNG) to this file; needs matplotlib.",
)
@click.option("--starts", is_flag=True, help="Print how long processes took to start instead.")
@click.option("--slots", is_flag=True, help="Print how replicas' slots were used instead.")
@click.option("--late", is_flag=True, help="Print why requests and items were late instead.")
@json_option
def report(
    logs: tuple[Path, ...],
    plot: Path | None,
    starts: bool,
    slots: bool,
    late: bool,
    as_json: bool,
) -> None:
    """Print statistics of a fleet for each second, from the logs of its nodes.

    Columns: answered requests, time to their first event, requests and items in flight at
    replicas, items whose results are not listed yet, and requests and jobs that were refused
    or ended without an answer, by code.

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
        print_json([_second_to_json(second) for second in seconds])
        return
    click.echo(TIMELINE_HEADINGS)
    for second in seconds:
        click.echo(_format_second(second))


def _show_slots(seconds: list[SlotSecond], as_json: bool) -> None:
    if not seconds:
        raise CommandError(
            "the files contain no slot times of a coordinator", EXIT_USAGE, "not_logged"
        )
    if as_json:
        print_json([attrs.asdict(second) for second in seconds])
        return
    uses = [use for use in SlotUse if any(use.value in second.seconds_by_use for second in seconds)]
    click.echo("second  " + "  ".join(f"{use.value:>11}" for use in uses))
    for second in seconds:
        cells = "  ".join(f"{second.seconds_by_use.get(use.value, 0.0):11.1f}" for use in uses)
        click.echo(f"{second.at_s:6}  {cells}")


def _show_late(counts: list[LateCount], as_json: bool) -> None:
    if as_json:
        print_json([attrs.asdict(late_count) for late_count in counts])
        return
    click.echo(LATE_HEADINGS)
    for late_count in counts:
        kind = "item" if late_count.is_item else "request"
        click.echo(
            f"{late_count.at_s:6}  {kind:7}  {late_count.cause:14}  {late_count.count:5}"
            f"  {late_count.tenant}".rstrip()
        )


def _show_starts(stages: list[StageTimes], as_json: bool) -> None:
    if not stages:
        raise CommandError(
            "the files contain no log line of a node start", EXIT_USAGE, "not_logged"
        )
    if as_json:
        print_json([_stage_to_json(stage_times) for stage_times in stages])
        return
    click.echo(STARTS_HEADINGS)
    for stage_times in stages:
        click.echo(
            f"{stage_times.stage:32}  {len(stage_times.after_ms):6}"
            f"  {stage_times.quantile(0.5):6.0f}  {stage_times.quantile(P95):6.0f}"
            f"  {stage_times.after_ms[-1]:7.0f}"
        )


def _stage_to_json(stage_times: StageTimes) -> dict[str, Any]:
    return {
        "stage": stage_times.stage,
        "starts": len(stage_times.after_ms),
        "p50_ms": stage_times.quantile(0.5),
        "p95_ms": stage_times.quantile(P95),
        "last_ms": stage_times.after_ms[-1],
    }


def _second_to_json(second: SecondStats) -> dict[str, Any]:
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


def _format_second(second: SecondStats) -> str:
    p50_ms, p95_ms = second.first_event_quantile_ms(0.5), second.first_event_quantile_ms(P95)
    counts_by_code = " ".join(
        f"{code}={count}" for code, count in sorted(second.given_up_by_code.items())
    )
    return (
        f"{second.at_s:6}  {second.answered:8}  {_format_ms(p50_ms):>12}  {_format_ms(p95_ms):>6}"
        f"  {second.online:6}  {second.batch:5}  {second.unlisted:8}  {counts_by_code}"
    ).rstrip()


def _format_ms(value: float | None) -> str:
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
    figure, (first_event_axes, in_flight_axes, not_answered_axes) = pyplot.subplots(
        3, 1, figsize=(9, 9), sharex=True
    )
    for fraction, label in ((0.5, "median"), (P95, "95th percentile")):
        first_event_axes.plot(
            times, [second.first_event_quantile_ms(fraction) for second in seconds], label=label
        )
    first_event_axes.set_ylabel("first event, ms")
    in_flight_axes.plot(times, [second.online for second in seconds], label="online at replicas")
    in_flight_axes.plot(times, [second.batch for second in seconds], label="items at replicas")
    in_flight_axes.plot(
        times, [second.unlisted for second in seconds], label="items with unlisted results"
    )
    in_flight_axes.set_ylabel("in flight")
    not_answered_axes.bar(
        times, [second.given_up_by_code.total() for second in seconds], label="not answered"
    )
    not_answered_axes.set_ylabel("requests per second")
    not_answered_axes.set_xlabel("time, s")
    for axes in (first_event_axes, in_flight_axes, not_answered_axes):
        axes.legend()
    try:
        figure.savefig(path, dpi=110)
    except OSError as error:
        raise CommandError(f"{path}: {error.strerror}", EXIT_USAGE, "not_written") from error
    finally:
        pyplot.close(figure)
