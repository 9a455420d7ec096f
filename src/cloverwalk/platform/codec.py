"""Converts headers and job calls of the platform to and from messages of the gateway."""

from urllib.parse import parse_qs, unquote, urlsplit

from cloverwalk.core.error_response import Reason
from cloverwalk.gateway.errors import GatewayError
from cloverwalk.gateway.messages import (
    AnswerFields,
    ClientRequest,
    EndJob,
    JobCall,
    PromptPart,
    RawHeaders,
    ReadItem,
    ReadJob,
    ReplicaLoad,
    RequestFields,
)
from cloverwalk.platform import names
from cloverwalk.tenants.directory import digest_of

CONNECTION_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
    }
)
REPLACED_HEADERS = frozenset(
    {
        names.DEADLINE_MS.lower(),
        names.EXPECT_INSTANCE.lower(),
        names.LAST_EVENT_ID.lower(),
        names.TENANT.lower(),
    }
)
MAX_SLOWDOWN_PERCENT = 10_000
"""100 times slower than the baseline; a larger value is treated as an error."""

MAX_DIGITS = 9
"""Longer numbers are no valid counts, and converting very long ones would be slow."""

MALFORMED_KEY_DIGEST = ""
"""The digest of a malformed credential; it belongs to no tenant."""


def _find(headers: RawHeaders, name: bytes) -> str | None:
    wanted = name.lower()
    for key, value in headers:
        if key.lower() == wanted:
            return value.decode("latin-1").strip()
    return None


def _find_all(headers: RawHeaders, name: bytes) -> list[str]:
    wanted = name.lower()
    return [value.decode("latin-1").strip() for key, value in headers if key.lower() == wanted]


def _key_digest(headers: RawHeaders) -> str | None:
    """Return the digest of the caller's key, None if the request has no key."""
    wanted = names.AUTHORIZATION.lower()
    values = [value for name, value in headers if name.lower() == wanted]
    if not values:
        return None
    scheme, _, key = values[0].decode("latin-1").strip().partition(" ")
    if len(values) > 1 or scheme.lower() != names.KEY_SCHEME or not key.strip():
        return MALFORMED_KEY_DIGEST
    return digest_of(key.strip())


def _number(headers: RawHeaders, name: bytes) -> float | None:
    text = _find(headers, name)
    if text is None:
        return None
    try:
        return float(text)
    except ValueError:
        message = f"{name.decode()} is not a number"
        raise GatewayError(Reason.INVALID, "header_invalid", message) from None


def _prompt(text: str | None) -> tuple[PromptPart, ...]:
    parts: list[PromptPart] = []
    for entry in (text or "").split(","):
        part_id, _, tokens = entry.partition(":")
        if part_id and tokens.strip().isdecimal():
            parts.append(PromptPart(part_id.strip(), int(tokens)))
    return tuple(parts)


def _load(text: str | None) -> ReplicaLoad | None:
    fields = [field.strip() for field in (text or "").split(",")]
    counts = fields[:3]
    if len(counts) != 3 or not all(_is_count(count) for count in counts):
        return None
    running, waiting, slots = (int(count) for count in counts)
    if len(fields) == 3:
        return ReplicaLoad(running, waiting, slots)
    percent = int(fields[3]) if _is_count(fields[3]) else 0
    if len(fields) > 4 or not 0 < percent <= MAX_SLOWDOWN_PERCENT:
        return ReplicaLoad(running, waiting, slots, has_invalid_slowdown=True)
    return ReplicaLoad(running, waiting, slots, percent / 100)


def _is_count(text: str) -> bool:
    return text.isascii() and text.isdecimal() and len(text) <= MAX_DIGITS


def _token_usage(text: str | None) -> tuple[int, int]:
    """Return the prompt tokens and the maximum of output tokens; zeros if not given."""
    fields = [field.strip() for field in (text or "").split(",")]
    if len(fields) != 2 or not all(_is_count(field) for field in fields):
        return 0, 0
    return int(fields[0]), int(fields[1])


def _length_hint(text: str | None) -> int:
    """Return the expected number of output tokens, 0 without a valid hint."""
    return int(text) if text is not None and _is_count(text) else 0


def _without_connection_headers(headers: RawHeaders) -> RawHeaders:
    dropped = set(CONNECTION_HEADERS)
    for name, value in headers:
        if name.lower() == b"connection":
            dropped.update(token.strip().lower() for token in value.split(b","))
    return [(name, value) for name, value in headers if name.lower() not in dropped]


class PlatformCodec:
    """The gateway's codec for this platform."""

    def request_fields(self, headers: RawHeaders) -> RequestFields:
        """Return the fields in the headers of a client's request."""
        deadline_ms = _number(headers, names.DEADLINE_MS)
        last_event = _number(headers, names.LAST_EVENT_ID)
        wait_ms = _number(headers, names.WAIT_MS)
        usage = _token_usage(_find(headers, names.TOKEN_USAGE))
        prompt_tokens, max_output_tokens = usage
        return RequestFields(
            _find(headers, names.REQUEST_ID) or "",
            None if deadline_ms is None else deadline_ms / 1000,
            None if last_event is None else int(last_event),
            _prompt(_find(headers, names.PREFIX_HASH)),
            wait_s=0.0 if wait_ms is None else wait_ms / 1000,
            key_digest=_key_digest(headers),
            prompt_tokens=prompt_tokens,
            max_output_tokens=max_output_tokens,
            hinted_output_tokens=_length_hint(_find(headers, names.LENGTH_HINT)),
            resumed_request_id=_find(headers, names.RESUMES) or "",
        )

    def without_key(self, headers: RawHeaders) -> RawHeaders:
        """Return the headers of a request without the key."""
        wanted = names.AUTHORIZATION.lower()
        return [(name, value) for name, value in headers if name.lower() != wanted]

    def answer_fields(self, headers: RawHeaders) -> AnswerFields:
        """Return the fields in the headers of a replica's answer."""
        # Repeated headers form one list, so an answer with two ids matches no request.
        request_ids = _find_all(headers, names.REQUEST_ID)
        signatures = _find_all(headers, names.SIGNATURE)
        return AnswerFields(
            ", ".join(request_ids) if request_ids else None,
            len(signatures) == 1 and bool(signatures[0]),
            _find(headers, names.NOT_EXECUTED) is not None,
            _load(_find(headers, names.SERVER_LOAD)),
            _keep_alive_s(headers),
        )

    def headers_to_replica(
        self,
        request: ClientRequest,
        replica_id: str,
        remaining_s: float | None,
        last_event_id: int | None,
    ) -> RawHeaders:
        """Return the headers of a request to a replica, without the content length."""
        forwarded = [
            (name, value)
            for name, value in _without_connection_headers(request.headers)
            if name.lower() not in REPLACED_HEADERS
        ]
        if _find(forwarded, names.REQUEST_ID) is None:
            forwarded.append((names.REQUEST_ID, request.fields.request_id.encode("latin-1")))
        if request.tenant:
            forwarded.append((names.TENANT, request.tenant.encode()))
        if remaining_s is not None:
            remaining_ms = max(1, int(remaining_s * 1000))
            forwarded.append((names.DEADLINE_MS, str(remaining_ms).encode()))
        if last_event_id is not None:
            forwarded.append((names.LAST_EVENT_ID, str(last_event_id).encode()))
        forwarded.append((names.EXPECT_INSTANCE, replica_id.encode("latin-1")))
        return forwarded

    def headers_to_client(self, headers: RawHeaders) -> RawHeaders:
        """Return a replica's headers without connection headers and the content length."""
        return _without_connection_headers(headers)

    def local_reply_headers(self, request_id: str, retry_after_s: float | None) -> RawHeaders:
        """Return the headers of a response that this node creates itself."""
        headers: RawHeaders = []
        if request_id:
            headers.append((names.REQUEST_ID, request_id.encode("latin-1")))
        if retry_after_s is not None:
            headers.append((b"Retry-After", f"{retry_after_s:g}".encode()))
        return headers

    def job_call(self, method: str, target: str) -> JobCall | None:
        """Return the job call that a request makes, None if it is not a job call."""
        url = urlsplit(target)
        if url.path.startswith(names.JOB_PREFIX):
            job_id = unquote(url.path[len(names.JOB_PREFIX) :])
            if method == "DELETE":
                return EndJob(job_id)
            if method == "GET":
                # The position of the first result to return, despite the name of the parameter.
                position = parse_qs(url.query).get("since_revision", ["0"])[0]
                if not position.isdecimal():
                    message = "since_revision must be a number"
                    raise GatewayError(Reason.INVALID, "position_invalid", message)
                return ReadJob(job_id, int(position))
        if url.path.startswith(names.ITEM_PREFIX) and method == "GET":
            job_id = unquote(url.path[len(names.ITEM_PREFIX) :])
            item_id = parse_qs(url.query).get("id", [""])[0]
            return ReadItem(job_id, item_id)
        return None


def _keep_alive_s(headers: RawHeaders) -> float | None:
    text = _find(headers, b"Keep-Alive")
    if text is None:
        return None
    for entry in text.split(","):
        name, _, value = entry.strip().partition("=")
        if name.lower() == "timeout" and value.strip().isdecimal():
            return float(value)
    return None
