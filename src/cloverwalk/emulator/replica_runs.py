"""Requests at a stand-in of a replica: what it does with them, and who hears of it."""

import enum
from typing import Protocol

from msgspec import Struct


class Misdeed(enum.Enum):
    """What a replica does with one answer."""

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


class RunEnd(enum.Enum):
    """How a run at a replica ended."""

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
    was_left: bool = False
    """The caller closed the connection before the end."""

    run: int = 0
    """Number of the run, as the observer gave it."""

    end: RunEnd | None = None
    method: str = "POST"


class ReplicaObserver(Protocol):
    """Hears what a replica runs. Ends are told before the last bytes of an answer go out."""

    def began(self, replica_id: str, arrival: Arrival) -> None:
        """The replica works on a request from now on."""
        ...

    def ended(self, replica_id: str, arrival: Arrival) -> None:
        """It does not any more; ``arrival.end`` tells why."""
        ...
