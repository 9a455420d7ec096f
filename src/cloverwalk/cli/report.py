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

HEAD = "second  answered  first p50 ms  p95 ms  online  batch  unlisted  given up"
LATE_HEAD = "second  kind     cause           count  tenant"
STARTS_HEAD = f"{'stage':32}  starts  p50 ms  p95 ms  last ms"


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
        print_json([_document(one) for one in seconds])
        return
    click.echo(HEAD)
    for one in seconds:
        click.echo(_row(one))


def _show_slots(seconds: list[SlotSecond], as_json: bool) -> None:
    if not seconds:
        raise CommandError("the files hold no line of a coordinator", EXIT_USAGE, "not_logged")
    if as_json:
        print_json([attrs.asdict(one) for one in seconds])
        return
    uses = [use for use in SlotUse if any(use.value in one.seconds_by_use for one in seconds)]
    click.echo("second  " + "  ".join(f"{use.value:>11}" for use in uses))
    for one in seconds:
        told = "  ".join(f"{one.seconds_by_use.get(use.value, 0.0):11.1f}" for use in uses)
        click.echo(f"{one.at_s:6}  {told}")


def _show_late(counts: list[LateCount], as_json: bool) -> None:
    if as_json:
        print_json([attrs.asdict(one) for one in counts])
        return
    click.echo(LATE_HEAD)
    for one in counts:
        kind = "item" if one.is_item else "request"
        click.echo(f"{one.at_s:6}  {kind:7}  {one.cause:14}  {one.count:5}  {one.tenant}".rstrip())


def _show_starts(stages: list[StageTimes], as_json: bool) -> None:
    if not stages:
        raise CommandError("the files hold no start of a node", EXIT_USAGE, "not_logged")
    if as_json:
        print_json([_stage_document(one) for one in stages])
        return
    click.echo(STARTS_HEAD)
    for one in stages:
        click.echo(
            f"{one.stage:32}  {len(one.after_ms):6}  {one.quantile(0.5):6.0f}"
            f"  {one.quantile(P95):6.0f}  {one.after_ms[-1]:7.0f}"
        )


def _stage_document(one: StageTimes) -> dict[str, Any]:
    return {
        "stage": one.stage,
        "starts": len(one.after_ms),
        "p50_ms": one.quantile(0.5),
        "p95_ms": one.quantile(P95),
        "last_ms": one.after_ms[-1],
    }


def _document(one: SecondStats) -> dict[str, Any]:
    return {
        "at_s": one.at_s,
        "answered": one.answered,
        "first_p50_ms": one.first_event_quantile_ms(0.5),
        "first_p95_ms": one.first_event_quantile_ms(P95),
        "online": one.online,
        "batch": one.batch,
        "unlisted": one.unlisted,
        "given_up": dict(sorted(one.given_up_by_code.items())),
    }


def _row(one: SecondStats) -> str:
    median, high = one.first_event_quantile_ms(0.5), one.first_event_quantile_ms(P95)
    given_up = " ".join(f"{code}={count}" for code, count in sorted(one.given_up_by_code.items()))
    return (
        f"{one.at_s:6}  {one.answered:8}  {_number(median):>12}  {_number(high):>6}"
        f"  {one.online:6}  {one.batch:5}  {one.unlisted:8}  {given_up}"
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

    times = [one.at_s for one in seconds]
    figure, (first, work, lost) = pyplot.subplots(3, 1, figsize=(9, 9), sharex=True)
    for share, label in ((0.5, "median"), (P95, "95 in 100")):
        first.plot(times, [one.first_event_quantile_ms(share) for one in seconds], label=label)
    first.set_ylabel("first event, ms")
    work.plot(times, [one.online for one in seconds], label="online at replicas")
    work.plot(times, [one.batch for one in seconds], label="items at replicas")
    work.plot(times, [one.unlisted for one in seconds], label="items not listed")
    work.set_ylabel("in flight")
    lost.bar(times, [one.given_up_by_code.total() for one in seconds], label="given up")
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
