"""Errors of the HTTP layer."""

from cloverwalk.core.errors import CloverwalkError


class HttpError(CloverwalkError):
    """An HTTP exchange failed."""

    default_code = "http_failed"


class NotSentError(HttpError):
    """The request never left: no connection could be made."""

    default_code = "http_not_sent"


class LostAnswerError(HttpError):
    """The request may have been received, but no whole answer came."""

    default_code = "http_lost_answer"
