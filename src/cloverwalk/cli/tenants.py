"""``cloverwalk tenants``: shows requests and quota by tenant, from the nodes' metrics."""

import re

import attrs
import click
import curio

from cloverwalk.cli.api import json_option, print_json
from cloverwalk.cli.errors import EXIT_UNREACHABLE, EXIT_USAGE, CommandError
from cloverwalk.http.client import HttpPool
from cloverwalk.http.errors import HttpError
from cloverwalk.telemetry.tenant_metrics import TenantOutcome

METRICS_TIMEOUT_S = 5.0
METRICS_PATH = "/metrics"
HEADINGS = (
    "tenant                    node                    answered  over quota  ended  rate/s  burst"
)
_ADDRESS = re.compile(r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")
_SAMPLE = re.compile(r"^cloverwalk_tenant_(\w+)\{([^}]*)\} (\S+)$")
_LABEL = re.compile(r'(\w+)="((?:[^"\\]|\\.)*)"')


@attrs.define
class TenantUse:
    """Request counts and quota of one tenant at one node."""

    tenant: str
    node: str
    counts: dict[str, int] = attrs.Factory(dict)
    rate_per_s: float | None = None
    burst: float | None = None

    @property
    def total(self) -> int:
        """Number of ended requests of all outcomes."""
        return sum(self.counts.values())


def parse_metrics(node: str, text: str) -> list[TenantUse]:
    """Return the tenants in the metrics text of a node.

    >>> text = 'cloverwalk_tenant_requests_total{tenant="quiz",outcome="answered"} 3.0'
    >>> parse_metrics("n1", text)[0].counts
    {'answered': 3}
    """
    by_tenant: dict[str, TenantUse] = {}
    for line in text.splitlines():
        sample = _SAMPLE.match(line)
        if sample is None:
            continue
        labels = dict(_LABEL.findall(sample.group(2)))
        use = by_tenant.setdefault(labels["tenant"], TenantUse(labels["tenant"], node))
        value = float(sample.group(3))
        match sample.group(1):
            case "requests_total":
                use.counts[labels["outcome"]] = round(value)
            case "rate_per_s":
                use.rate_per_s = value
            case "burst":
                use.burst = value
    return list(by_tenant.values())


@click.command()
@click.argument("addresses", nargs=-1, required=True, metavar="HOST:PORT...")
@click.option("--tenant", "wanted_tenant", help="Show only this tenant.")
@json_option
def tenants(addresses: tuple[str, ...], wanted_tenant: str | None, as_json: bool) -> None:
    """Show requests, refusals and quota by tenant and node, read from the nodes' metrics.

    A node lists its 20 largest tenants and sums up the rest. Counts start when the node starts.

    Example: cloverwalk tenants 10.1.0.10:7735 10.2.0.11:7735
    """
    for address in addresses:
        if not _ADDRESS.match(address):
            raise CommandError(f"{address!r} is not an address such as 10.1.0.10:7735", EXIT_USAGE)
    uses: list[TenantUse] = []
    unreachable: list[str] = []
    for address in addresses:
        try:
            text = curio.run(_fetch, address)
        except HttpError as error:
            unreachable.append(f"{address}: {error}")
            continue
        uses += parse_metrics(address, text)
    for problem in unreachable:
        click.echo(f"no answer from {problem}", err=True)
    if len(unreachable) == len(addresses):
        raise CommandError("no node answered", EXIT_UNREACHABLE)
    _print_uses([use for use in uses if wanted_tenant in (None, use.tenant)], as_json)


async def _fetch(address: str) -> str:
    pool = HttpPool(address)
    try:
        response = await pool.call("GET", METRICS_PATH, b"", {}, timeout_s=METRICS_TIMEOUT_S)
    finally:
        await pool.close()
    return response.body.decode()


def _print_uses(uses: list[TenantUse], as_json: bool) -> None:
    uses.sort(key=lambda use: (-use.total, use.tenant, use.node))
    if as_json:
        print_json([attrs.asdict(use) for use in uses])
        return
    click.echo(HEADINGS)
    for use in uses:
        answered, over_quota, ended = (
            use.counts.get(outcome, 0)
            for outcome in (TenantOutcome.ANSWERED, TenantOutcome.OVER_QUOTA, TenantOutcome.ENDED)
        )
        click.echo(
            f"{use.tenant:24}  {use.node:22}  {answered:8}  {over_quota:10}  {ended:5}"
            f"  {_format_limit(use.rate_per_s):>6}  {_format_limit(use.burst):>5}"
        )


def _format_limit(value: float | None) -> str:
    return "-" if value is None else f"{value:g}"
