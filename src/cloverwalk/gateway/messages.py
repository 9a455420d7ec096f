"""Requests and answers as the gateway sees them, and the codec that reads and writes them.

The codec is the only thing that knows header names and paths; an adapter implements it.
"""

from typing import Protocol

from msgspec import Struct

RawHeaders = list[tuple[bytes, bytes]]
"""Header names in the spelling of their sender, with their values."""


class PromptPart(Struct, frozen=True):
    """A part of a prompt that other requests may share."""

    part_id: str
    tokens: int


class RequestFields(Struct):
    """What a client's headers say."""

    request_id: str
    deadline_s: float | None = None
    last_event_id: int | None = None
    prompt: tuple[PromptPart, ...] = ()
    wait_s: float = 0.0
    key_digest: str | None = None
    """Digest of the caller's key; None when it sent none."""

    prompt_tokens: int = 0
    max_output_tokens: int = 0
    """The most tokens that may come out; 0, as for ``prompt_tokens``: the caller did not say."""

    hinted_output_tokens: int = 0
    """The caller's estimate of the tokens that come out, right at the median and often far off; 0:
    none."""

    @property
    def max_total_tokens(self) -> int:
        """Tokens that the request may take of a replica's memory; 0: the caller did not say."""
        return self.prompt_tokens + self.max_output_tokens


class ReplicaLoad(Struct, frozen=True):
    """What a replica told of its load."""

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None
    """How long work takes there now, as a multiple of its usual time; None: it does not say."""

    has_invalid_slowdown: bool = False
    """Whether it told a figure for ``slowdown`` that can't be one."""


class AnswerFields(Struct):
    """What a replica's headers say."""

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
    """A whole request of a client."""

    method: str
    target: str
    headers: RawHeaders
    body: bytes
    host: str
    fields: RequestFields
    received_at: float
    """When its head had been read (steady clock, seconds)."""

    tenant: str = ""
    """Name of the tenant that sends it, once that is known; empty for callers without a key."""

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.split("?", 1)[0]


class GatewayCodec(Protocol):
    """Reads and writes the headers and calls of an outside interface."""

    def request_fields(self, headers: RawHeaders) -> RequestFields:
        """Return what a client's headers say; raise GatewayError when they are not valid."""
        ...

    def without_key(self, headers: RawHeaders) -> RawHeaders:
        """Return a caller's headers without its key."""
        ...

    def answer_fields(self, headers: RawHeaders) -> AnswerFields:
        """Return what a replica's headers say."""
        ...

    def headers_to_replica(
        self,
        request: ClientRequest,
        replica_id: str,
        remaining_s: float | None,
        last_event_id: int | None,
    ) -> RawHeaders:
        """Return the headers with which a request goes to a replica, without its length."""
        ...

    def headers_to_client(self, headers: RawHeaders) -> RawHeaders:
        """Return a replica's headers without those of its connection and without its length."""
        ...

    def local_reply_headers(self, request_id: str, retry_after_s: float | None) -> RawHeaders:
        """Return the headers of an answer that this node makes itself."""
        ...

    def job_call(self, method: str, target: str) -> JobCall | None:
        """Return the call on a job that a request is, or None when it is none."""
        ...
