"""Requests and answers in the gateway, and the codec between them and HTTP.

Only the codec knows header names and paths; a platform adapter implements it.
"""

from typing import Protocol

from msgspec import Struct

RawHeaders = list[tuple[bytes, bytes]]
"""Header names as their sender spelled them, with their values."""


class PromptPart(Struct, frozen=True):
    """A part of a prompt that other requests may share."""

    part_id: str
    tokens: int


class RequestFields(Struct):
    """Fields read from a client's headers."""

    request_id: str
    deadline_s: float | None = None
    last_event_id: int | None = None
    prompt: tuple[PromptPart, ...] = ()
    wait_s: float = 0.0
    key_digest: str | None = None
    """Digest of the caller's key; None if it sent none."""

    prompt_tokens: int = 0
    max_output_tokens: int = 0
    """Maximum tokens of the output; 0, as for ``prompt_tokens``, if the caller did not say."""

    hinted_output_tokens: int = 0
    """The caller's estimate of the output tokens, often far off; 0 if none."""

    resumed_request_id: str = ""
    """Id of the request that brought the first event of the stream that this one resumes."""

    @property
    def max_total_tokens(self) -> int:
        """Tokens that the request may use in a replica's memory; 0 if the caller did not say."""
        return self.prompt_tokens + self.max_output_tokens


class ReplicaLoad(Struct, frozen=True):
    """The load that a replica reported."""

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None
    """Current service time as a multiple of the baseline; None if not reported."""

    has_invalid_slowdown: bool = False
    """Whether an invalid value was reported for ``slowdown``."""


class AnswerFields(Struct):
    """Fields read from the headers of a replica's answer."""

    request_id: str | None
    is_signed: bool
    was_not_run: bool
    load: ReplicaLoad | None = None
    keep_alive_s: float | None = None


class ReadJob(Struct, frozen=True):
    """Read a job's results from a position on."""

    job_id: str
    position: int


class ReadItem(Struct, frozen=True):
    """Read the body of an item that is not listed yet."""

    job_id: str
    item_id: str


class EndJob(Struct, frozen=True):
    """End a job."""

    job_id: str


JobCall = ReadJob | ReadItem | EndJob


class ClientRequest(Struct):
    """A complete request of a client."""

    method: str
    target: str
    headers: RawHeaders
    body: bytes
    host: str
    fields: RequestFields
    received_at: float
    """When its head was read (monotonic clock, seconds)."""

    tenant: str = ""
    """Name of the sending tenant once it is known; empty for callers without a key."""

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.split("?", 1)[0]


class GatewayCodec(Protocol):
    """Reads and writes the headers and calls of an external interface."""

    def request_fields(self, headers: RawHeaders) -> RequestFields:
        """Return the fields of a client's headers; raise GatewayError if they are invalid."""
        ...

    def without_key(self, headers: RawHeaders) -> RawHeaders:
        """Return a caller's headers without its key."""
        ...

    def answer_fields(self, headers: RawHeaders) -> AnswerFields:
        """Return the fields of a replica's headers."""
        ...

    def headers_to_replica(
        self,
        request: ClientRequest,
        replica_id: str,
        remaining_s: float | None,
        last_event_id: int | None,
    ) -> RawHeaders:
        """Return the headers of a request to a replica, except its length."""
        ...

    def headers_to_client(self, headers: RawHeaders) -> RawHeaders:
        """Return a replica's headers without its length and those of its connection."""
        ...

    def local_reply_headers(self, request_id: str, retry_after_s: float | None) -> RawHeaders:
        """Return the headers of an error response of this node."""
        ...

    def job_call(self, method: str, target: str) -> JobCall | None:
        """Return the job call that a request makes, or None if it makes none."""
        ...
