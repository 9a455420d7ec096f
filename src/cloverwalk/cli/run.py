"""``cloverwalk node`` and ``cloverwalk emulator``: the long-running programs."""

import signal
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import click

from cloverwalk.cli.errors import EXIT_USAGE, CommandError
from cloverwalk.config.loader import check, read_toml
from cloverwalk.config.settings import (
    EngineEmulatorSettings,
    NodeSettings,
    PlatformEmulatorSettings,
)
from cloverwalk.core.kernel import run_until_ended
from cloverwalk.emulator.engine_server import EngineServer
from cloverwalk.emulator.platform_server import PlatformServer
from cloverwalk.node.daemon import NodeDaemon

settings_option = click.option(
    "--settings",
    "path",
    type=click.Path(path_type=Path),
    help="A TOML settings file; flags override it.",
)
set_option = click.option(
    "--set",
    "assignments",
    multiple=True,
    metavar="KEY=VALUE",
    help="Any other setting, such as --set lease.lease_s=4.",
)


def merge_settings(
    path: Path | None, part: str, flags: dict[str, Any], assignments: tuple[str, ...]
) -> dict[str, Any]:
    """Return one part of a settings file, overridden by flags and ``--set`` assignments."""
    raw = read_toml(path).get(part, {}) if path else {}
    if not isinstance(raw, dict):
        raise CommandError(f"[{part}] must be a table", EXIT_USAGE)
    raw.update({key: value for key, value in flags.items() if value not in (None, ())})
    for assignment in assignments:
        _assign(raw, assignment)
    return raw


def _assign(raw: dict[str, Any], assignment: str) -> None:
    key, separator, text = assignment.partition("=")
    if not separator:
        raise CommandError(f"--set: {assignment!r} is not KEY=VALUE", EXIT_USAGE)
    target = raw
    *tables, last = key.split(".")
    for table in tables:
        target = target.setdefault(table, {})
        if not isinstance(target, dict):
            raise CommandError(f"--set: {table!r} in {key!r} is not a table", EXIT_USAGE)
    target[last] = _parse_value(text)


def _parse_value(text: str) -> Any:
    for convert in (int, float):
        try:
            return convert(text)
        except ValueError:
            continue
    return {"true": True, "false": False}.get(text, text)


def run_loop(main: Callable[[], Awaitable[None]]) -> None:
    """Run a curio program; raise CommandError on an OSError such as a port in use."""
    try:
        run_until_ended(main)
    except OSError as error:
        raise CommandError(f"can't serve: {error}", EXIT_USAGE) from error


def _listen_or_fail(build: Callable[[], Any]) -> Any:
    try:
        return build()
    except OSError as error:
        raise CommandError(f"can't listen: {error}", EXIT_USAGE) from error


@click.command()
@settings_option
@set_option
@click.option("--node-id", help="Name of this node; must differ from all others.")
@click.option("--zone", help="Zone of this node.")
@click.option("--platform", help="Address of the platform's services.")
@click.option("--host", help="IP address to listen on.")
@click.option("--http-port", type=int, help="Port for callers and operators.")
@click.option("--peer-port", type=int, help="Port for other nodes.")
@click.option("--peer", "peers", multiple=True, help="Peer address of another node.")
def node(path: Path | None, assignments: tuple[str, ...], **flags: Any) -> None:
    """Run a node. SIGTERM stops it without aborting requests.

    Example: cloverwalk node --settings node.toml --http-port 8081
    """
    flags["peers"] = list(flags["peers"]) or None
    settings: NodeSettings = check(merge_settings(path, "node", flags, assignments), NodeSettings)
    daemon = _listen_or_fail(lambda: NodeDaemon(settings))
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: daemon.request_stop())
    click.echo(
        f"node {settings.node_id} serves {daemon.http_address}, peers {daemon.peers.address}",
        err=True,
    )
    run_loop(daemon.run)


@click.group()
def emulator() -> None:
    """Run emulators of the model engine and the platform.

    Example: cloverwalk emulator platform --port 9100
    """


@emulator.command()
@settings_option
@set_option
@click.option("--replica-id", help="Name of the replica.")
@click.option("--zone", help="Zone of the replica.")
@click.option("--model", help="Model that the replica has loaded.")
@click.option("--host", help="IP address to listen on.")
@click.option("--port", type=int, help="Port to listen on.")
@click.option("--platform", help="Address of the platform emulator to register with.")
def engine(path: Path | None, assignments: tuple[str, ...], **flags: Any) -> None:
    """Run a model engine emulator.

    Example: cloverwalk emulator engine --replica-id r1 --zone levee --port 9201
    --platform 127.0.0.1:9100
    """
    raw = merge_settings(path, "engine", flags, assignments)
    settings: EngineEmulatorSettings = check(raw, EngineEmulatorSettings)
    server = _listen_or_fail(lambda: EngineServer(settings))
    click.echo(f"engine {settings.replica_id} serves {server.address}", err=True)
    run_loop(server.run)


@emulator.command()
@settings_option
@set_option
@click.option("--host", help="IP address to listen on.")
@click.option("--port", type=int, help="Port to listen on.")
def platform(path: Path | None, assignments: tuple[str, ...], **flags: Any) -> None:
    """Run a platform emulator: tables, objects, weights, machine list.

    Example: cloverwalk emulator platform --port 9100
    """
    raw = merge_settings(path, "platform", flags, assignments)
    settings: PlatformEmulatorSettings = check(raw, PlatformEmulatorSettings)
    server = _listen_or_fail(lambda: PlatformServer(settings))
    click.echo(f"platform serves {server.address}", err=True)
    run_loop(server.run)
