"""Calls of operators and of long-lived sessions: table, fleet, sessions, health."""

from msgspec import Struct, json

from cloverwalk.control.context import Context
from cloverwalk.control.sessions import SessionDirectory
from cloverwalk.control.store_port import StorePort
from cloverwalk.control.table_sync import EditStatus, TableSync
from cloverwalk.core.errors import WeightTableError
from cloverwalk.core.events import Header, HttpRequest, SendReply
from cloverwalk.core.hashing import short_hash
from cloverwalk.core.membership import NodeDigest
from cloverwalk.core.store_types import CommitStatus, ReadReply
from cloverwalk.core.types import Outcome, SessionRow
from cloverwalk.core.weight_table import (
    TableKey,
    TableRow,
    WeightTable,
    changed_cells,
    changed_rows,
    check_rows,
    key_of,
    removed_keys,
    rows_from_csv,
    rows_to_csv,
    with_row,
)
from cloverwalk.pipeline.parse import SessionBody, decode_body, plain
from cloverwalk.pipeline.problem import (
    PipelineError,
    json_reply,
    problem_reply,
    unavailable,
)

MAX_TABLE_BYTES = 4 * 1024 * 1024


class TableBody(Struct, frozen=True, forbid_unknown_fields=True):
    """The body of PUT /v1/table as JSON."""

    rows: list[TableRow]


class CellEdit(Struct, frozen=True, forbid_unknown_fields=True):
    """The body of PATCH /v1/table: cells of one row; an empty text clears a cell."""

    session: str
    kind: str
    cells: dict[str, str]


class HistoryLine(Struct, frozen=True):
    """One accepted version."""

    version: int
    rows: int


class FleetReplica(Struct, frozen=True):
    """A replica as the fleet page shows it."""

    replica: str
    epoch: int
    model: str
    slots: int
    online: int
    batch: int
    leaving: bool


class FleetNode(Struct, frozen=True):
    """A node as the fleet page shows it."""

    node: str
    zone: str
    address: str
    live: bool
    leaving: bool
    table_version: int
    store_age_s: float
    replicas: list[FleetReplica]
    shards: list[str]


class Fleet(Struct, frozen=True):
    """What this node knows of the fleet."""

    node: str
    table_version: int
    table_stale: bool
    store_down: bool
    held_results: int
    nodes: list[FleetNode]


class OperatorCalls:
    """Handles /v1/table, /v1/sessions and /v1/fleet."""

    def __init__(
        self,
        context: Context,
        store: StorePort,
        table: TableSync,
        sessions: SessionDirectory,
    ) -> None:
        self._context = context
        self._store = store
        self._table = table
        self._sessions = sessions

    # --- table ---

    def show_table(self, request: HttpRequest) -> None:
        """Answer with the table in force, as CSV or JSON, and its version as ETag."""
        self._reply_table(request, self._context.table)

    def _reply_table(self, request: HttpRequest, table: WeightTable) -> None:
        etag = Header("ETag", f'"{table.version}"')
        if "text/csv" in request.headers.get("accept", ""):
            body = rows_to_csv(table.rows).encode()
            headers = [Header("Content-Type", "text/csv"), etag]
            self._context.emit(SendReply(request.connection, 200, headers, body))
            return
        body_json = {"version": table.version, "rows": plain(table.rows)}
        self._context.emit(json_reply(request.connection, 200, body_json, [etag]))

    def put_table(self, request: HttpRequest) -> None:
        """Replace the whole table."""
        if len(request.body) > MAX_TABLE_BYTES:
            message = f"more than {MAX_TABLE_BYTES} bytes"
            raise PipelineError(413, "too_large", message, "body")
        try:
            if "text/csv" in request.headers.get("content-type", ""):
                rows = rows_from_csv(request.body.decode("utf-8"))
            else:
                given = decode_body(request.body, TableBody).rows
                rows = [_checked(row, f"rows[{n}]") for n, row in enumerate(given)]
                check_rows(rows)
        except WeightTableError as error:
            raise PipelineError(400, error.code, str(error), error.field) from error
        except UnicodeDecodeError as error:
            raise PipelineError(400, "table_invalid", "must be UTF-8", "body") from error
        self._edit(request, rows)

    def patch_table(self, request: HttpRequest) -> None:
        """Edit cells of one row."""
        edit = decode_body(request.body, CellEdit)
        rows = self._context.table.rows
        key = TableKey(edit.session, edit.kind)
        before = next((row for row in rows if key_of(row) == key), None)
        cells = {"session": edit.session, "kind": edit.kind, **edit.cells}
        try:
            row = changed_cells(before, cells, f"row ({edit.session}, {edit.kind})")
        except WeightTableError as error:
            raise PipelineError(400, error.code, str(error), error.field) from error
        self._edit(request, with_row(rows, row))

    def _edit(self, request: HttpRequest, rows: list[TableRow]) -> None:
        in_force = self._context.table
        expected = _if_match(request, in_force.version)

        def edited(status: EditStatus) -> None:
            if status is EditStatus.ACCEPTED:
                # Not the table in force: a later edit may have come on top by now.
                self._reply_table(request, WeightTable(expected + 1, rows))
            elif status is EditStatus.CONFLICT:
                error = self._lost_race(in_force, expected)
                self._context.emit(problem_reply(request.connection, error))
            else:
                unknown = status is EditStatus.UNKNOWN
                error = unavailable(Outcome.OUTCOME_UNKNOWN if unknown else Outcome.NOT_RUN)
                self._context.emit(problem_reply(request.connection, error))

        self._table.edit(expected, rows, edited)

    def _lost_race(self, before: WeightTable, expected: int) -> PipelineError:
        now = self._context.table
        changed = {key_of(row) for row in changed_rows(before, now)}
        changed.update(removed_keys(before, now))
        in_key_order = sorted(changed, key=lambda key: (key.session, key.kind))
        names = ", ".join(f"({key.session}, {key.kind})" for key in in_key_order[:5])
        detail = f"the table is at version {now.version}, not {expected}; changed rows: {names}"
        return PipelineError(412, "version_changed", detail, "if-match")

    def table_history(self, request: HttpRequest) -> None:
        """List accepted versions, newest first."""

        def was_read(reply: ReadReply) -> None:
            if not reply.available:
                self._context.emit(problem_reply(request.connection, unavailable()))
                return
            tables = [json.decode(row.value, type=WeightTable) for row in reply.rows]
            lines = [HistoryLine(one.version, len(one.rows)) for one in reversed(tables)]
            self._context.emit(json_reply(request.connection, 200, {"versions": lines}))

        self._store.read("table/history/", was_read)

    # --- sessions ---

    def open_session(self, request: HttpRequest) -> None:
        """Open a session. With an Idempotency-Key a resend opens no second one."""
        body = decode_body(request.body, SessionBody)
        key = request.headers.get("idempotency-key")
        name = short_hash(body.tenant, key)[:24] if key else self._context.new_id()
        session = SessionRow(f"s-{name}", body.tenant, body.name)

        def opened(status: CommitStatus) -> None:
            if status is CommitStatus.COMMITTED:
                reply = json_reply(request.connection, 201, session)
            elif status is CommitStatus.CONFLICT:
                message = "this key opened another session"
                error = PipelineError(422, "key_reused", message, "idempotency-key")
                reply = problem_reply(request.connection, error)
            else:
                unknown = status is CommitStatus.UNKNOWN
                outcome = Outcome.OUTCOME_UNKNOWN if unknown else Outcome.NOT_RUN
                reply = problem_reply(request.connection, unavailable(outcome))
            self._context.emit(reply)

        self._sessions.open(session, opened)

    def list_sessions(self, request: HttpRequest) -> None:
        """List sessions; closed ones with ?closed=true."""
        with_closed = request.query.get("closed") == "true"

        def listed(available: bool, rows: list[SessionRow]) -> None:
            if not available:
                self._context.emit(problem_reply(request.connection, unavailable()))
                return
            shown = [row for row in rows if with_closed or not row.closed]
            self._context.emit(json_reply(request.connection, 200, {"sessions": shown}))

        self._sessions.list_all(listed)

    def close_session(self, request: HttpRequest, session_id: str) -> None:
        """Close a session for good."""

        def closed(status: CommitStatus, row: SessionRow | None) -> None:
            if status is CommitStatus.COMMITTED:
                reply = json_reply(request.connection, 200, row)
            elif row is None and status is CommitStatus.CONFLICT:
                message = f"there is no session {session_id}"
                error = PipelineError(404, "unknown_session", message, "id")
                reply = problem_reply(request.connection, error)
            else:
                reply = problem_reply(request.connection, unavailable(Outcome.OUTCOME_UNKNOWN))
            self._context.emit(reply)

        self._sessions.close(session_id, closed)

    # --- fleet ---

    def show_fleet(self, request: HttpRequest, own: NodeDigest, held_results: int) -> None:
        """Answer with what this node knows of the fleet."""
        context = self._context
        digests = sorted([own, *context.membership.known()], key=lambda one: one.node)
        fleet = Fleet(
            context.node_id,
            context.table.version,
            self._table.is_stale,
            self._store.is_down,
            held_results,
            [self._fleet_node(digest) for digest in digests],
        )
        context.emit(json_reply(request.connection, 200, fleet))

    def _fleet_node(self, digest: NodeDigest) -> FleetNode:
        replicas = [FleetReplica(*(plain(report))) for report in digest.replicas]
        return FleetNode(
            digest.node,
            digest.zone,
            digest.address,
            self._context.membership.is_live(digest.node, self._context.now),
            digest.leaving,
            digest.table_version,
            round(min(digest.store_age_s, 1e9), 1),
            replicas,
            digest.shards,
        )


def _checked(row: TableRow, where: str) -> TableRow:
    cells: dict[str, str] = {
        name: "" if value is None else str(value) for name, value in plain(row).items()
    }
    return changed_cells(None, cells, where)


def _if_match(request: HttpRequest, in_force: int) -> int:
    value = request.headers.get("if-match")
    if value is None or value == "*":
        return in_force
    text = value.strip().strip('"')
    if not text.isascii() or not text.isdigit() or len(text) > 15:
        raise PipelineError(400, "invalid_header", 'the version in quotes, as "3"', "if-match")
    return int(text)
