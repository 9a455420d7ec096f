"""Reports: JSON for scripts, a table for people, plots where matplotlib is installed."""

import statistics
from pathlib import Path

from msgspec import Struct, json

from cloverwalk.core.errors import CloverwalkError
from cloverwalk.experiment.measures import Measures, Ratios, ratios_of


class ReportError(CloverwalkError):
    """A report can't be written."""

    default_code = "report_failed"


class Spread(Struct):
    """The median over seeds with the lowest and highest."""

    median: float
    low: float
    high: float

    def __str__(self) -> str:
        return f"{self.median:.3f} ({self.low:.3f} to {self.high:.3f})"


class PolicyLine(Struct):
    """One policy over all seeds."""

    policy: str
    first_token_harm: Spread
    inter_token_harm: Spread
    harvest: Spread
    first_token_p95_ms: Spread
    inter_token_p95_ms: Spread
    online_completed_share: Spread
    deadlines_missed: int
    preemptions: int


class Report(Struct):
    """A whole experiment."""

    scenario: str
    seeds: list[int]
    lines: list[PolicyLine]
    runs: list[Measures]
    ratios: list[Ratios]


def spread(values: list[float]) -> Spread:
    """Return the spread of values."""
    return Spread(round(statistics.median(values), 4), round(min(values), 4), round(max(values), 4))


def make_report(scenario: str, runs: list[Measures]) -> Report:
    """Put runs together; ``online-only`` and ``batch-only`` must be among them."""
    by_key = {(run.policy, run.seed): run for run in runs}
    seeds = sorted({run.seed for run in runs})
    policies = list(dict.fromkeys(run.policy for run in runs))
    ratios = [
        ratios_of(run, by_key["online-only", run.seed], by_key["batch-only", run.seed])
        for run in runs
    ]
    lines = [_line(policy, runs, ratios) for policy in policies]
    return Report(scenario, seeds, lines, runs, ratios)


def _line(policy: str, all_runs: list[Measures], all_ratios: list[Ratios]) -> PolicyLine:
    runs = [run for run in all_runs if run.policy == policy]
    ratios = [one for one in all_ratios if one.policy == policy]
    return PolicyLine(
        policy,
        spread([one.first_token_harm for one in ratios]),
        spread([one.inter_token_harm for one in ratios]),
        spread([one.harvest for one in ratios]),
        spread([run.first_token_p95_s * 1000 for run in runs]),
        spread([run.inter_token_p95_s * 1000 for run in runs]),
        spread([run.online_completed / max(1, run.online_sent) for run in runs]),
        sum(run.deadlines_missed for run in runs),
        sum(run.preemptions for run in runs),
    )


def table_of(report: Report) -> str:
    """Return the report as a Markdown table."""
    head = (
        "| policy | first-token harm | inter-token harm | harvest | first token p95 ms |"
        " inter token p95 ms | online completed | deadlines missed | preemptions |"
    )
    rule = "|---|---|---|---|---|---|---|---|---|"
    rows = [
        f"| {one.policy} | {one.first_token_harm} | {one.inter_token_harm} | {one.harvest} |"
        f" {one.first_token_p95_ms.median:.0f} | {one.inter_token_p95_ms.median:.1f} |"
        f" {one.online_completed_share.median:.3f} | {one.deadlines_missed} |"
        f" {one.preemptions} |"
        for one in report.lines
    ]
    title = f"Scenario {report.scenario}, {len(report.seeds)} seeds: median (lowest to highest)"
    return "\n".join([title, "", head, rule, *rows, ""])


def write_report(report: Report, folder: Path) -> list[Path]:
    """Write JSON, table and plots; return the files."""
    try:
        folder.mkdir(parents=True, exist_ok=True)
        as_json = folder / f"{report.scenario}.json"
        as_json.write_bytes(json.format(json.encode(report), indent=2))
        as_table = folder / f"{report.scenario}.md"
        as_table.write_text(table_of(report), "utf-8")
    except OSError as error:
        raise ReportError(f"{folder}: {error.strerror}") from error
    return [as_json, as_table, *_plot(report, folder)]


def _plot(report: Report, folder: Path) -> list[Path]:
    try:
        import matplotlib
    except ImportError:
        return []  # the optional extra "plots" is not installed
    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 5))
    for line in report.lines:
        if line.policy in ("online-only", "batch-only"):
            continue
        points = [one for one in report.ratios if one.policy == line.policy]
        axes.scatter([p.harm for p in points], [p.harvest for p in points], label=line.policy)
    axes.axvline(1.05, linestyle="--", linewidth=0.8)
    axes.axhline(0.95, linestyle="--", linewidth=0.8)
    axes.set_xscale("log")
    axes.set_xlabel("harm: p99 with batch / online-only (lower is better)")
    axes.set_ylabel("harvest: batch tokens / spare capacity (higher is better)")
    axes.set_title(f"{report.scenario}: one point a seed; dashed lines are the goals")
    axes.legend()
    path = folder / f"{report.scenario}.png"
    figure.savefig(path, dpi=110)
    pyplot.close(figure)
    return [path]
