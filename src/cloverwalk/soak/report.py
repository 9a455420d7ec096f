"""Formats the result of a soak as lines of text and as a table row."""

from pathlib import Path

from cloverwalk.soak.run import SoakResult

HEADINGS = (
    "| seed | nodes | minutes | steps | requests | served | jobs | runs | verdict |\n"
    "|---|---|---|---|---|---|---|---|---|"
)
MAX_SHOWN_PROMISES = 4


def summary_lines(result: SoakResult) -> list[str]:
    """Return the result as lines of readable text."""
    went_on, resumed = result.resumed_streams
    peak_use = ", ".join(f"{name} {use:.2f}" for name, use in result.peak_quota_use.items())
    return [
        f"answers: {_format_counts(result.answers)}",
        f"runs at replicas: {_format_counts(result.runs)}; accepted jobs: {result.accepted_jobs}",
        f"resumed streams in calm times: {went_on} of {resumed} went on",
        f"streams taken up at nodes out of step: {_format_counts(result.take_ups)}",
        f"peak quota use: {peak_use or 'none'}",
        f"log events 'unexpected': {count_unexpected_lines(result.folder)}",
        f"seed {result.plan.seed}: {verdict(result)} ({result.duration_s:.0f} s)",
    ]


def _format_counts(counts: dict[str, int]) -> str:
    return ", ".join(f"{name} {count}" for name, count in counts.items()) or "none"


def verdict(result: SoakResult) -> str:
    """Return the outcome and the names of broken promises."""
    if result.violations:
        promises = sorted({violation.promise for violation in result.violations})[
            :MAX_SHOWN_PROMISES
        ]
        return f"BROKEN {len(result.violations)} ({', '.join(promises)})"
    return "stopped" if result.was_stopped else "clean"


def table_row(result: SoakResult) -> str:
    """Return the result as a row of a Markdown table."""
    plan = result.plan
    cells = [
        plan.seed,
        plan.nodes,
        f"{plan.duration_s / 60:g}",
        len(plan.actions),
        result.requests,
        result.answers.get("200", 0),
        result.accepted_jobs,
        sum(result.runs.values()),
        verdict(result),
    ]
    return "| " + " | ".join(str(cell) for cell in cells) + " |"


def count_unexpected_lines(folder: Path) -> int:
    """Return the number of ``unexpected`` events (program errors) in the nodes' logs."""
    total = 0
    for path in sorted(folder.glob("*.log")):
        with path.open() as file:
            total += sum('"event":"unexpected"' in line for line in file)
    return total
