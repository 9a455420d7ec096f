"""Errors and exit codes of the command line."""

from cloverwalk.core.errors import CloverwalkError

EXIT_REFUSED = 1
"""A node returned an error response, or the command found a failure."""

EXIT_USAGE = 2
"""An argument or an input file is invalid; click uses the same code."""

EXIT_UNREACHABLE = 3
"""No node answered."""

EXIT_SETTINGS = 4
"""A settings file is invalid."""

EXIT_CONFLICT = 5
"""The resource was changed concurrently (HTTP 412)."""


class CommandError(CloverwalkError):
    """A command failed; the process ends with ``exit_code``."""

    default_code = "command_failed"

    def __init__(self, message: str, exit_code: int, code: str | None = None) -> None:
        super().__init__(message, code)
        self.exit_code = exit_code
