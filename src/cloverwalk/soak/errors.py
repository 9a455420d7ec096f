"""Errors of a soak."""

from cloverwalk.core.errors import CloverwalkError


class SoakInputError(CloverwalkError):
    """What was asked for can't be run; nothing was started."""

    default_code = "soak_input"


class SoakStartError(CloverwalkError):
    """The fleet did not come up."""

    default_code = "soak_start"
