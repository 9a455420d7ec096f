"""What a soak came to, as lines and as one row of a table."""

from pathlib import Path

from cloverwalk.soak.run import SoakResult

HEADINGS = (
    "| seed | nodes | minutes | steps | requests | served | jobs | runs | verdict |\n"
    "|---|---|---|---|---|---|---|---|---|"
)
SHOWN_PROMISES = 4


def summary_lines(result: SoakResult) -> list[str]:
    """Return the result for people."""
    fullest = ", ".join(f"{name} {part:.2f}" for name, part in result.fullest_windows.items())
    return [
        f"answers: {_counts(result.answers)}",
        f"runs at replicas: {_counts(result.runs)}; jobs taken: {result.jobs}",
        f"fullest windows of quotas: {fullest or 'none'}",
        f"log lines 'unexpected': {unexpected_lines(result.folder)}",
        f"seed {result.plan.seed}: {verdict(result)} ({result.seconds:.0f} s)",
    ]


def _counts(counts: dict[str, int]) -> str:
    return ", ".join(f"{name} {count}" for name, count in counts.items()) or "none"


def verdict(result: SoakResult) -> str:
    """Return the verdict in some words."""
    if result.violations:
        promises = sorted({one.promise for one in result.violations})[:SHOWN_PROMISES]
        return f"BROKEN {len(result.violations)} ({', '.join(promises)})"
    return "stopped" if result.was_stopped else "clean"


def table_row(result: SoakResult) -> str:
    """Return the result as a row of a table."""
    plan = result.plan
    cells = [
        plan.seed,
        plan.nodes,
        f"{plan.duration_s / 60:g}",
        len(plan.actions),
        result.requests,
        result.answers.get("200", 0),
        result.jobs,
        sum(result.runs.values()),
        verdict(result),
    ]
    return "| " + " | ".join(str(one) for one in cells) + " |"


def unexpected_lines(folder: Path) -> int:
    """Return how many lines of the nodes' logs tell of a fault in the program."""
    total = 0
    for path in sorted(folder.glob("*.log")):
        with path.open() as file:
            total += sum('"event":"unexpected"' in line for line in file)
    return total
