"""``cloverwalk batch``: submits, shows and cancels batch jobs."""

import sys
import time
from pathlib import Path

import click

from cloverwalk.cli.api import call, decode, json_option, node_option, print_json
from cloverwalk.cli.errors import EXIT_USAGE, CommandError

POLL_INTERVAL_S = 0.5


@click.group()
def batch() -> None:
    """Submit and follow batch jobs.

    Example: cloverwalk batch submit items.jsonl --session s-... --kind digest --model quizmind
    """


@batch.command("submit")
@click.argument("path", type=click.Path(path_type=Path))
@click.option("--session", required=True, help="Session id.")
@click.option("--kind", default="default", show_default=True, help="Kind of work.")
@click.option("--model", required=True, help="Model of all items.")
@click.option("--key", help="Idempotency key: a repeated submit gives the same job.")
@click.option("--deadline-s", type=float, help="Seconds until the results are needed.")
@click.option("--wait", is_flag=True, help="Wait until the job ends and show progress.")
@node_option
@json_option
def submit_command(
    path: Path,
    session: str,
    kind: str,
    model: str,
    key: str | None,
    deadline_s: float | None,
    wait: bool,
    nodes: tuple[str, ...],
    as_json: bool,
) -> None:
    """Submit a JSONL file; each line is {"custom_id", "body": {"messages", "max_tokens"}}.

    Example: cloverwalk batch submit items.jsonl --session s-... --model quizmind --wait
    """
    try:
        body = path.read_bytes()
    except OSError as error:
        raise CommandError(f"{path}: {error.strerror}", EXIT_USAGE) from error
    headers = {
        "Cloverwalk-Session": session,
        "Cloverwalk-Kind": kind,
        "Cloverwalk-Model": model,
    }
    if key:
        headers["Idempotency-Key"] = key
    if deadline_s is not None:
        headers["Cloverwalk-Deadline-Ms"] = str(max(1, int(deadline_s * 1000)))
    answer = decode(call(nodes, "POST", "/v1/batches", body, headers))
    if wait:
        answer = _wait_for_end(answer["id"], int(answer["total"]), nodes)
    if as_json:
        print_json(answer)
    else:
        click.echo(answer["id"])


def _wait_for_end(job_id: str, total: int, nodes: tuple[str, ...]) -> dict[str, object]:
    with click.progressbar(length=total, label=job_id, file=sys.stderr) as bar:
        shown = 0
        while True:
            answer = decode(call(nodes, "GET", f"/v1/batches/{job_id}"))
            bar.update(answer["completed"] - shown)
            shown = answer["completed"]
            if answer["status"] != "running":
                return answer
            time.sleep(POLL_INTERVAL_S)


@batch.command("status")
@click.argument("job_id")
@node_option
@json_option
def status_command(job_id: str, nodes: tuple[str, ...], as_json: bool) -> None:
    """Show the status and progress of a job.

    Example: cloverwalk batch status levee.3.0123abcd
    """
    answer = decode(call(nodes, "GET", f"/v1/batches/{job_id}"))
    if as_json:
        print_json(answer)
        return
    click.echo(f"{answer['id']}  {answer['status']}  {answer['completed']} of {answer['total']}")


@batch.command("results")
@click.argument("job_id")
@click.option("--out", type=click.Path(path_type=Path), help="File to write to.")
@node_option
def results_command(job_id: str, out: Path | None, nodes: tuple[str, ...]) -> None:
    """Print the committed results as JSONL.

    Example: cloverwalk batch results levee.3.0123abcd --out results.jsonl
    """
    body = call(nodes, "GET", f"/v1/batches/{job_id}/results").body
    if out is None:
        click.echo(body.decode(), nl=False)
        return
    try:
        out.write_bytes(body)
    except OSError as error:
        raise CommandError(f"{out}: {error.strerror}", EXIT_USAGE) from error
    count = len(body.splitlines())
    click.echo(f"{count} results in {out}")


@batch.command("cancel")
@click.argument("job_id")
@node_option
def cancel_command(job_id: str, nodes: tuple[str, ...]) -> None:
    """Cancel a job; once this prints "cancelled", none of its items runs.

    Example: cloverwalk batch cancel levee.3.0123abcd
    """
    answer = decode(call(nodes, "POST", f"/v1/batches/{job_id}/cancel"))
    click.echo(f"{job_id} {answer['status']}")
