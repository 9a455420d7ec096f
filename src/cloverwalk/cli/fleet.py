"""``cloverwalk fleet``: shows the fleet as one node sees it."""

import click

from cloverwalk.cli.api import call, decode, json_option, node_option, print_json


@click.group()
def fleet() -> None:
    """Show the state of the fleet.

    Example: cloverwalk fleet show
    """


@fleet.command("show")
@node_option
@json_option
def show_command(nodes: tuple[str, ...], as_json: bool) -> None:
    """Show nodes, replicas and job shards as one node sees them.

    Example: cloverwalk fleet show --node 127.0.0.1:8081
    """
    answer = decode(call(nodes, "GET", "/v1/fleet"))
    if as_json:
        print_json(answer)
        return
    flags = [name for name in ("table_stale", "store_down") if answer[name]]
    suffix = f"  [{', '.join(flags)}]" if flags else ""
    click.echo(f"as seen by {answer['node']}, table version {answer['table_version']}{suffix}")
    for node in answer["nodes"]:
        state = "leaving" if node["leaving"] else ("live" if node["live"] else "suspected")
        shards = len(node["shards"])
        click.echo(f"{node['node']:12} {node['zone']:12} {state:10} shards {shards}")
        for replica in node["replicas"]:
            mark = " leaving" if replica["leaving"] else ""
            click.echo(
                f"    {replica['replica']:12} {replica['model']:14} epoch {replica['epoch']}"
                f"  online {replica['online']} + batch {replica['batch']}"
                f" of {replica['slots']}{mark}"
            )
