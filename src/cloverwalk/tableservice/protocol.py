"""Bodies of the platform's HTTP interface, shared by the client and the stand-in."""

from msgspec import Struct

from cloverwalk.core.store_types import Row
from cloverwalk.core.types import Machine


class CommitAnswer(Struct, frozen=True):
    """Answer to POST /v1/transactions: 200 committed, 409 with the conflicting rows."""

    committed: bool
    conflicts: list[Row] = []


class RowsAnswer(Struct, frozen=True):
    """Answer to GET /v1/rows?prefix=&exact=."""

    rows: list[Row]


class MachinesAnswer(Struct, frozen=True):
    """Answer to GET /v1/machines?zone=; an empty zone means all."""

    machines: list[Machine]
