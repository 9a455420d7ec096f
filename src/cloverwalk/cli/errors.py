"""Errors of the command line and its exit codes."""

from cloverwalk.core.errors import CloverwalkError

EXIT_REFUSED = 1
"""The cluster answered with a problem."""

EXIT_USAGE = 2
"""The command's words or a file are wrong (click's own code)."""

EXIT_UNREACHABLE = 3
"""No node answered."""

EXIT_SETTINGS = 4
"""A settings file has faults."""

EXIT_CONFLICT = 5
"""Somebody else changed it first."""


class CommandError(CloverwalkError):
    """A command failed; ``exit_code`` is for scripts."""

    default_code = "command_failed"

    def __init__(self, message: str, exit_code: int, code: str | None = None) -> None:
        super().__init__(message, code)
        self.exit_code = exit_code
