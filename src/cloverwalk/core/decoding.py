"""Decoding of what others have written: one typed error, whatever the content is."""

import re
from typing import Any, Protocol, TypeVar

import msgspec

from cloverwalk.core.errors import CloverwalkError

Content_co = TypeVar("Content_co", covariant=True)


MAX_INTEGER = 2**64
MAX_FLOAT = 1e300
"""Beyond these, sums and conversions of times overflow."""

_LARGE_NUMBER = re.compile(rb"[\[,:\s-]\d(?:[\d.]{18}|[\d.]*[eE]\+?\d\d)")
"""Begins each number in JSON that may be beyond the limits."""


class InvalidContentError(CloverwalkError, ValueError):
    """Bytes can't be decoded as the type that their reader expects."""

    default_code = "content_invalid"


class Decoder(Protocol[Content_co]):
    """A decoder of msgspec, for JSON or MessagePack."""

    def decode(self, data: bytes, /) -> Content_co:
        """Return the decoded content."""
        ...


def decode_content(decoder: Decoder[Content_co], data: bytes) -> Content_co:
    """Return the decoded content; raise InvalidContentError if it is invalid.

    Deep nesting raises RecursionError in the decoder, also in fields that it skips.

    >>> decode_content(msgspec.json.Decoder(list[int]), b"[1]")
    [1]
    """
    try:
        return decoder.decode(data)
    except (msgspec.MsgspecError, ValueError, OverflowError, RecursionError) as error:
        raise InvalidContentError(str(error)) from error


def decode_bounded(decoder: Decoder[Content_co], data: bytes) -> Content_co:
    """Like ``decode_content``, but numbers beyond the limits are invalid as well.

    >>> try:
    ...     decode_bounded(msgspec.json.Decoder(list[int]), b"[1" + 400 * b"0" + b"]")
    ... except InvalidContentError as error:
    ...     str(error)
    'a number is out of range'
    """
    content = decode_content(decoder, data)
    if _LARGE_NUMBER.search(data):
        check_bounds(content, None)
    return content


def check_bounds(content: object, max_characters: int | None) -> None:
    """Raise InvalidContentError if a number or text in the content is beyond the limits."""
    pending: list[Any] = [msgspec.to_builtins(content, builtin_types=(bytes,))]
    while pending:
        value = pending.pop()
        if isinstance(value, dict):
            pending += [*value, *value.values()]
        elif isinstance(value, (list, tuple)):
            pending += value
        elif isinstance(value, str):
            if max_characters is not None and len(value) > max_characters:
                raise InvalidContentError(f"a text has more than {max_characters} characters")
        elif isinstance(value, (int, float)):
            limit = MAX_INTEGER if isinstance(value, int) else MAX_FLOAT
            if not -limit <= value <= limit:
                raise InvalidContentError("a number is out of range")
