"""Base classes of the exceptions; every error carries a stable code.

Each layer derives its own class and converts the errors of the layer below to it.
"""


class CloverwalkError(Exception):
    """An error with a stable ``code`` that callers can match."""

    default_code = "internal"

    def __init__(self, message: str, code: str | None = None) -> None:
        super().__init__(message)
        self.code = code or self.default_code


class WeightTableError(CloverwalkError):
    """A weight table or an edit of it is invalid; ``field`` names the cell or column."""

    default_code = "table_invalid"

    def __init__(self, message: str, field: str) -> None:
        super().__init__(f"{field}: {message}")
        self.field = field
