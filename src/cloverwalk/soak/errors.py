"""Errors of a soak."""

from cloverwalk.core.errors import CloverwalkError


class SoakInputError(CloverwalkError):
    """The arguments or the schedule are invalid; nothing was started."""

    default_code = "soak_input"


class SoakStartError(CloverwalkError):
    """The nodes could not be started."""

    default_code = "soak_start"
