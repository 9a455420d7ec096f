"""From HTTP requests to typed calls; faults name the header, field or line."""

import re
from typing import Annotated, Any, TypeVar

import msgspec
from msgspec import Meta, Struct, json

from cloverwalk.core.events import HttpRequest
from cloverwalk.core.types import BatchItem
from cloverwalk.pipeline.problem import PipelineError

MAX_PROMPT_CHARS = 400_000
MAX_TOKENS = 32_768
_NAME = re.compile(r"^[A-Za-z0-9_.:-]{1,128}$")
_KEY = re.compile(r"^[\x21-\x7e]{1,255}$")

MaxTokens = Annotated[int, Meta(ge=1, le=MAX_TOKENS)]
Called = TypeVar("Called")


class ChatMessage(Struct, frozen=True):
    """One message of a conversation."""

    role: str
    content: Annotated[str, Meta(max_length=MAX_PROMPT_CHARS)]


class ChatBody(Struct, frozen=True):
    """The body of POST /v1/chat/completions; unknown fields are ignored, as clients expect."""

    model: Annotated[str, Meta(min_length=1, max_length=128)]
    messages: Annotated[list[ChatMessage], Meta(min_length=1, max_length=1000)]
    max_tokens: MaxTokens = 256
    stream: bool = False


class BatchLineBody(Struct, frozen=True):
    """The ``body`` of one JSONL line."""

    messages: Annotated[list[ChatMessage], Meta(min_length=1, max_length=1000)]
    max_tokens: MaxTokens = 256
    model: str | None = None


class BatchLine(Struct, frozen=True):
    """One line of POST /v1/batches."""

    custom_id: Annotated[str, Meta(min_length=1, max_length=128)]
    body: BatchLineBody


class SessionBody(Struct, frozen=True, forbid_unknown_fields=True):
    """The body of POST /v1/sessions."""

    tenant: Annotated[str, Meta(pattern=r"^[A-Za-z0-9_.:-]{1,64}$")]
    name: Annotated[str, Meta(min_length=1, max_length=200)]


class OnlineCall(Struct, frozen=True):
    """A parsed online request."""

    session_id: str
    kind: str
    key: str | None
    deadline_ms: int | None
    at_most_once: bool
    model: str
    prompt: str
    max_tokens: int
    stream: bool


class BatchCall(Struct, frozen=True):
    """A parsed batch submission."""

    session_id: str
    kind: str
    key: str | None
    deadline_ms: int | None
    model: str
    items: list[BatchItem]


def decode_body(body: bytes, wanted: type[Called], where: str = "") -> Called:
    """Decode JSON as ``wanted``; raise PipelineError naming the field."""
    try:
        return json.decode(body, type=wanted)
    except msgspec.ValidationError as error:
        message, _, path = str(error).partition(" - at `$")
        field = path.rstrip("`").removeprefix(".") or "body"
        raise PipelineError(400, "invalid_field", message, where + field) from error
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise PipelineError(400, "invalid_json", str(error), where + "body") from error


def _name_header(request: HttpRequest, name: str, default: str | None = None) -> str:
    value = request.headers.get(name, default)
    if value is None:
        raise PipelineError(400, "missing_header", f"the header {name} is required", name)
    if not _NAME.match(value):
        raise PipelineError(400, "invalid_header", "1 to 128 of A-Z a-z 0-9 _ . : -", name)
    return value


def _key_header(request: HttpRequest) -> str | None:
    value = request.headers.get("idempotency-key")
    if value is not None and not _KEY.match(value):
        message = "1 to 255 printable ASCII characters without spaces"
        raise PipelineError(400, "invalid_header", message, "idempotency-key")
    return value


def _whole_header(request: HttpRequest, name: str, highest: int) -> int | None:
    value = request.headers.get(name)
    if value is None:
        return None
    if not value.isascii() or not value.isdigit() or not 1 <= int(value[:12]) <= highest:
        raise PipelineError(400, "invalid_header", f"a whole number from 1 to {highest}", name)
    return int(value)


def _flag_header(request: HttpRequest, name: str) -> bool:
    value = request.headers.get(name, "false").lower()
    if value not in ("true", "false"):
        raise PipelineError(400, "invalid_header", "true or false", name)
    return value == "true"


def prompt_of(messages: list[ChatMessage]) -> str:
    """Return the messages as one prompt, with their roles."""
    return "\n".join(f"{message.role}: {message.content}" for message in messages)


def parse_online(request: HttpRequest, max_deadline_s: float) -> OnlineCall:
    """Parse POST /v1/chat/completions."""
    body = decode_body(request.body, ChatBody)
    deadline_name = "cloverwalk-deadline-ms"
    call = OnlineCall(
        session_id=_name_header(request, "cloverwalk-session"),
        kind=_name_header(request, "cloverwalk-kind", "default"),
        key=_key_header(request),
        deadline_ms=_whole_header(request, deadline_name, int(max_deadline_s * 1000)),
        at_most_once=_flag_header(request, "cloverwalk-at-most-once"),
        model=body.model,
        prompt=prompt_of(body.messages),
        max_tokens=body.max_tokens,
        stream=body.stream,
    )
    if call.at_most_once and call.key is None:
        message = "required with Cloverwalk-At-Most-Once, so that a resend is known as one"
        raise PipelineError(400, "missing_header", message, "idempotency-key")
    return call


def parse_batch(request: HttpRequest, max_items: int) -> BatchCall:
    """Parse POST /v1/batches: JSONL, one item a line; blank lines are skipped."""
    model = _name_header(request, "cloverwalk-model")
    items: list[BatchItem] = []
    seen: set[str] = set()
    for number, line in enumerate(request.body.split(b"\n"), start=1):
        if not line.strip():
            continue
        items.append(_parse_line(line, number, model, seen))
        if len(items) > max_items:
            message = f"more than {max_items} items"
            raise PipelineError(413, "too_many_items", message, f"line {number}")
    if not items:
        raise PipelineError(400, "empty_batch", "the body has no items", "body")
    return BatchCall(
        session_id=_name_header(request, "cloverwalk-session"),
        kind=_name_header(request, "cloverwalk-kind", "default"),
        key=_key_header(request),
        deadline_ms=_whole_header(request, "cloverwalk-deadline-ms", 14 * 86_400_000),
        model=model,
        items=items,
    )


def _parse_line(line: bytes, number: int, model: str, seen: set[str]) -> BatchItem:
    parsed = decode_body(line, BatchLine, f"line {number}: ")
    if parsed.custom_id in seen:
        message = f"{parsed.custom_id!r} stands twice"
        raise PipelineError(400, "invalid_field", message, f"line {number}: custom_id")
    seen.add(parsed.custom_id)
    if parsed.body.model not in (None, model):
        message = f"found {parsed.body.model!r}; one job has one model, here {model!r}"
        raise PipelineError(400, "invalid_field", message, f"line {number}: body.model")
    return BatchItem(parsed.custom_id, prompt_of(parsed.body.messages), parsed.body.max_tokens)


def plain(value: Any) -> Any:
    """Return a struct as JSON-ready maps and lists."""
    return msgspec.to_builtins(value)
