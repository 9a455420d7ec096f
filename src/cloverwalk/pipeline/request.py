"""An online request on its way through the filters."""

from collections.abc import Callable
from enum import StrEnum
from typing import Protocol

import msgspec
from msgspec import Struct

from cloverwalk.core.collect import Collector
from cloverwalk.core.types import ClaimRow, Outcome, Result
from cloverwalk.pipeline.parse import OnlineCall
from cloverwalk.pipeline.problem import PipelineError


class Stage(StrEnum):
    """The filter that has the request."""

    ADMISSION = "admission"
    JOINING = "joining"
    CLAIMING = "claiming"
    DISPATCHING = "dispatching"
    RECORDING = "recording"
    ENDED = "ended"


class OnlineRequest(Struct):
    """Mutable state of one request; one owner: the filter named by ``stage``."""

    connection: int
    call: OnlineCall
    request_id: str
    fingerprint: str
    arrived_at: float
    deadline_at: float
    collector: Collector
    stage: Stage = Stage.ADMISSION
    joined_at: float = 0.0
    join_token: str = ""
    is_waiting: bool = False  # another request with this key runs
    home: str = ""  # the key's home node, which is told when this request ends
    claim: ClaimRow | None = None
    claim_version: int = 0
    replica: str = ""
    owner: str = ""
    awaits_first_token: bool = False
    heard_at: float = 0.0
    attempts: int = 0
    tried: set[str] = msgspec.field(default_factory=set)
    unaccounted_attempts: int = 0  # offered, and not proved to have been refused
    reply_started: bool = False
    client_gone: bool = False
    on_end: list[Callable[[], None]] = msgspec.field(default_factory=list)

    @property
    def outcome_if_given_up(self) -> Outcome:
        """What is true of the request if it ends now without an answer."""
        if self.unaccounted_attempts == 0:
            return Outcome.NOT_RUN
        return Outcome.OUTCOME_UNKNOWN if self.call.at_most_once else Outcome.FAILED


class OnlineFilter(Protocol):
    """One stage of the pipeline."""

    def accept(self, request: OnlineRequest) -> None:
        """Take a request from the filter before."""


class GiveUp(Protocol):
    """Ends a request with a problem answer, at once."""

    def __call__(self, request: OnlineRequest, error: PipelineError) -> None:
        """End ``request``."""


class Answer(Protocol):
    """Ends a request with the result that stands for it."""

    def __call__(self, request: OnlineRequest, result: Result) -> None:
        """End ``request``."""
