"""Requests at an emulated replica: faults, ends of runs, and the observer of runs."""

import enum
from typing import Protocol

from msgspec import Struct


class Misdeed(enum.Enum):
    """A fault in how a replica handles one request."""

    CUT = "break the connection after half of the events"
    GARBAGE = "send what is not an answer"
    SECOND_ANSWER = "send another answer after the whole one"
    LATE_ANSWER = "send an answer to another request first"
    LATE_REFUSAL = "say without an id that something did not run, then run it"
    PROOF_ON_SUCCESS = "run it, answer 200 and say that it did not run"
    REFUSE = "say that it did not run"
    REFUSE_AND_CUT = "say that it did not run, and break the connection within that answer"
    UNPROVED_REFUSAL = "run it and answer ``unproved_status`` without saying that it did not run"
    FAIL = "answer 500"
    IMPOSSIBLE = "answer 422"
    SILENT = "never answer"
    RUN_SILENTLY = "run it and never answer"
    RESET_UNANSWERED = "run it and break the connection"
    RESET = "run it and reset the connection before any answer"
    RESET_MIDWAY = "reset the connection after half of the events"
    UNSIGNED = "answer without a signature"
    STUTTER = "pause between events"
    BEGIN_SILENTLY = "begin the answer and send no event"
    BEGIN_CLOSED = "begin an answer that ends with its connection, send one event and no more"


class RunEnd(enum.Enum):
    """How the processing of a request at a replica ended."""

    FINISHED = "finished"
    CUT = "cut"
    LEFT = "left"
    """The caller closed the connection before the end."""

    FAILED = "failed"
    IMPOSSIBLE = "impossible"
    CRASHED = "crashed"


class Arrival(Struct):
    """A request that reached the replica."""

    request_id: str
    target: str
    headers: dict[str, str]
    raw_headers: list[tuple[bytes, bytes]]
    body: bytes
    has_run: bool = False
    is_finished: bool = False
    caller_disconnected: bool = False
    """The caller closed the connection before the end."""

    run: int = 0
    """Number of the run, assigned by the observer."""

    end: RunEnd | None = None
    method: str = "POST"


class ReplicaObserver(Protocol):
    """Is notified when a run begins, and when it ends: before the last bytes of its answer."""

    def began(self, replica_id: str, arrival: Arrival) -> None:
        """Called when the replica starts to process a request."""
        ...

    def ended(self, replica_id: str, arrival: Arrival) -> None:
        """Called when the processing has ended; ``arrival.end`` is the reason."""
        ...
