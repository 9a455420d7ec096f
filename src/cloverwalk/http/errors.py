"""Errors of the HTTP layer."""

from cloverwalk.core.errors import CloverwalkError


class HttpError(CloverwalkError):
    """An HTTP exchange failed."""

    default_code = "http_failed"


class NotSentError(HttpError):
    """The request was not sent because no connection could be opened."""

    default_code = "http_not_sent"


class LostAnswerError(HttpError):
    """The server may have received the request, but no complete response arrived."""

    default_code = "http_lost_answer"
