"""Decodes rows that may be invalid: each invalid version of a row is logged once."""

from collections.abc import Callable
from typing import Generic, TypeVar

from cloverwalk.core.decoding import Decoder, InvalidContentError, check_bounds, decode_content
from cloverwalk.store.stored import Stored
from cloverwalk.store.types import Row, RowKey
from cloverwalk.telemetry.log import ServingLog

Content = TypeVar("Content")

MAX_KEPT_VERSIONS = 4096
"""Invalid rows whose versions are kept; bounds their memory."""

MAX_LOGGED_CHARACTERS = 200
MAX_TEXT_CHARACTERS = 400
"""Longest text in a row: two names, each a key or part of a key, which has at most 200 bytes."""


class InvalidRows:
    """The versions of rows that were found invalid; each is logged once."""

    def __init__(self, log: ServingLog, event: int) -> None:
        self._log = log
        self._event = event
        self._versions: dict[RowKey, int] = {}

    def record(self, row: Row, error: Exception) -> None:
        """Log an invalid row unless this version has been logged."""
        if self._versions.get(row.row_key) == row.version:
            return
        self._versions.pop(row.row_key, None)
        self._versions[row.row_key] = row.version
        if len(self._versions) > MAX_KEPT_VERSIONS:
            del self._versions[next(iter(self._versions))]
        self._log.write(
            self._event,
            table=row.row_key.table,
            key=row.row_key.key[:MAX_LOGGED_CHARACTERS],
            version=row.version,
            error=str(error)[:MAX_LOGGED_CHARACTERS],
        )

    def forget(self, row_key: RowKey) -> None:
        """Forget a row that is valid or was removed."""
        self._versions.pop(row_key, None)


class RowDecoder(Generic[Content]):
    """Decodes the rows of one type; an invalid row has the content of a missing one."""

    def __init__(
        self, decoder: Decoder[Content], missing: Callable[[], Content], invalid_rows: InvalidRows
    ) -> None:
        self._decoder = decoder
        self._missing = missing
        self._invalid_rows = invalid_rows

    def stored(self, row: Row) -> Stored[Content]:
        """Return the content of a row with its version."""
        return Stored.from_row(row, lambda value: self._decode(row, value))

    def _decode(self, row: Row, value: bytes | None) -> Content:
        if value is None:
            self._invalid_rows.forget(row.row_key)
            return self._missing()
        try:
            content = decode_content(self._decoder, value)
            check_bounds(content, MAX_TEXT_CHARACTERS)
        except InvalidContentError as error:
            self._invalid_rows.record(row, error)
            return self._missing()
        self._invalid_rows.forget(row.row_key)
        return content
