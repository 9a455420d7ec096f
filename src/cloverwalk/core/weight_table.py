"""The table of weights and limits that operators edit.

Each row has a (session, kind) key; ``*`` matches any. An empty cell falls back to the next
less specific row, in the order (session, kind), (session, *), (*, kind), (*, *).
"""

import csv
import io
from collections.abc import Iterable, Sequence

from msgspec import Struct, structs

from cloverwalk.core.errors import WeightTableError

ANY = "*"
COLUMNS = (
    "session",
    "kind",
    "class",
    "weight",
    "max_in_flight",
    "max_queued",
    "requests_per_s",
    "tokens_per_s",
    "deadline_s",
)
CLASSES = ("online", "batch")
_POSITIVE_COLUMNS = ("weight",)
_INTEGER_COLUMNS = ("max_in_flight", "max_queued")
_NUMERIC_COLUMNS = ("weight", "requests_per_s", "tokens_per_s", "deadline_s")


class TableRow(Struct, frozen=True, rename={"work_class": "class"}):
    """One row; None is an empty cell."""

    session: str
    kind: str
    work_class: str | None = None
    weight: float | None = None
    max_in_flight: int | None = None
    max_queued: int | None = None
    requests_per_s: float | None = None
    tokens_per_s: float | None = None
    deadline_s: float | None = None


class WeightTable(Struct, frozen=True):
    """An accepted version of the whole table. Versions only increase."""

    version: int
    rows: list[TableRow]


class TableKey(Struct, frozen=True):
    """The key of a row."""

    session: str
    kind: str


def key_of(row: TableRow) -> TableKey:
    """Return the key of a row."""
    return TableKey(row.session, row.kind)


class EffectiveRow(Struct, frozen=True):
    """The settings of one session and kind, with fallbacks applied."""

    work_class: str | None
    weight: float
    max_in_flight: int | None
    max_queued: int | None
    requests_per_s: float | None
    tokens_per_s: float | None
    deadline_s: float | None


EMPTY_TABLE = WeightTable(version=0, rows=[TableRow(ANY, ANY, None, 1.0)])


def resolve(table: WeightTable, session: str, kind: str) -> EffectiveRow:
    """Return the effective settings of one session and kind.

    >>> table = WeightTable(1, [TableRow("*", "*", weight=1.0), TableRow("quiz", "*", weight=4.0)])
    >>> resolve(table, "quiz", "ruling").weight, resolve(table, "other", "ruling").weight
    (4.0, 1.0)
    """
    by_key = {key_of(row): row for row in table.rows}
    keys = [
        TableKey(session, kind),
        TableKey(session, ANY),
        TableKey(ANY, kind),
        TableKey(ANY, ANY),
    ]
    layers = [by_key[key] for key in keys if key in by_key]

    def first(field: str) -> object:
        values = (getattr(row, field) for row in layers)
        return next((value for value in values if value is not None), None)

    fields = {name: first(name) for name in EffectiveRow.__struct_fields__}
    fields["weight"] = fields["weight"] if fields["weight"] is not None else 1.0
    return EffectiveRow(**fields)  # type: ignore[arg-type]


def parse_cell(column: str, text: str) -> object:
    """Return the value of one cell, None when empty; raise WeightTableError naming the column."""
    text = text.strip()
    if column not in COLUMNS:
        raise WeightTableError(f"unknown column; allowed are {', '.join(COLUMNS)}", column)
    if column in ("session", "kind"):
        if not text:
            raise WeightTableError("must not be empty; use * for any", column)
        return text
    if not text:
        return None
    if column == "class":
        if text not in CLASSES:
            raise WeightTableError(f"found {text!r}; expected online or batch", column)
        return text
    return _parse_number(column, text)


def _parse_number(column: str, text: str) -> float | int:
    try:
        number = int(text) if column in _INTEGER_COLUMNS else float(text)
    except ValueError:
        expected = "a whole number" if column in _INTEGER_COLUMNS else "a number"
        raise WeightTableError(f"found {text!r}; expected {expected}", column) from None
    # The comparison with infinity also rejects NaN.
    must_be_positive = column in _POSITIVE_COLUMNS
    if not number < float("inf") or number < 0 or (must_be_positive and number == 0):
        expected = "a finite number above 0" if must_be_positive else "a finite number, 0 or more"
        raise WeightTableError(f"found {text!r}; expected {expected}", column)
    return number


def row_from_cells(cells: dict[str, str], where: str) -> TableRow:
    """Return a row from column names and texts; errors name ``where`` and the column."""
    try:
        values = {column: parse_cell(column, text) for column, text in cells.items()}
    except WeightTableError as error:
        raise WeightTableError(str(error), where) from error
    for column in ("session", "kind"):
        if column not in values:
            raise WeightTableError("is missing", f"{where}: {column}")
    values["work_class"] = values.pop("class", None)
    return TableRow(**values)  # type: ignore[arg-type]


def check_rows(rows: Sequence[TableRow]) -> None:
    """Raise WeightTableError if two rows have the same key."""
    seen: set[tuple[str, str]] = set()
    for number, row in enumerate(rows, start=1):
        key = (row.session, row.kind)
        if key in seen:
            raise WeightTableError(f"row {key} is a duplicate", f"row {number}")
        seen.add(key)


def rows_from_csv(text: str) -> list[TableRow]:
    """Return the rows of a CSV with a header line; raise WeightTableError naming the line."""
    reader = csv.DictReader(io.StringIO(text))
    rows = []
    for cells in reader:
        where = f"line {reader.line_num}"
        if None in cells or None in cells.values():
            raise WeightTableError("has more or fewer cells than the header", where)
        rows.append(row_from_cells(cells, where))
    check_rows(rows)
    return rows


def in_order(rows: Iterable[TableRow]) -> list[TableRow]:
    """Return the rows sorted by key, as tables store them."""
    return sorted(rows, key=lambda row: (row.session, row.kind))


def rows_to_csv(rows: Iterable[TableRow]) -> str:
    """Return the rows as CSV with a header line; None becomes an empty cell."""
    buffer = io.StringIO()
    writer = csv.writer(buffer, lineterminator="\n")
    writer.writerow(COLUMNS)
    for row in rows:
        writer.writerow(["" if cell is None else cell for cell in structs.astuple(row)])
    return buffer.getvalue()


def with_row(rows: Sequence[TableRow], new: TableRow) -> list[TableRow]:
    """Return the rows with ``new`` in place of the row of the same key, or added."""
    kept = [row for row in rows if key_of(row) != key_of(new)]
    return in_order([*kept, new])


def changed_rows(before: WeightTable, after: WeightTable) -> list[TableRow]:
    """Return the rows of ``after`` that are new or differ."""
    old = {key_of(row): row for row in before.rows}
    return [row for row in after.rows if old.get(key_of(row)) != row]


def removed_keys(before: WeightTable, after: WeightTable) -> list[TableKey]:
    """Return the keys of ``before`` that ``after`` does not have."""
    kept = {key_of(row) for row in after.rows}
    return [key_of(row) for row in before.rows if key_of(row) not in kept]


def patched(
    table: WeightTable, version: int, changed: Sequence[TableRow], removed: Sequence[TableKey]
) -> WeightTable:
    """Return ``table`` with a patch applied and its rows sorted by key.

    >>> old = WeightTable(1, [TableRow("*", "*", weight=1.0), TableRow("a", "*")])
    >>> new = WeightTable(2, [TableRow("*", "*", weight=2.0)])
    >>> patched(old, 2, changed_rows(old, new), removed_keys(old, new)) == new
    True
    """
    replaced = {key_of(row) for row in changed} | set(removed)
    kept = [row for row in table.rows if key_of(row) not in replaced]
    return WeightTable(version, in_order([*kept, *changed]))


def changed_cells(row: TableRow | None, cells: dict[str, str], where: str) -> TableRow:
    """Return ``row``, or a new row if it is None, with the given cells replaced."""
    before = {} if row is None else dict(zip(COLUMNS, structs.astuple(row), strict=True))
    texts = {name: "" if value is None else str(value) for name, value in before.items()}
    return row_from_cells({**texts, **cells}, where)
