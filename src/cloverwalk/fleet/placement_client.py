"""Sends placement requests for online requests and keeps them until they have a result.

After ``MAX_PLACEMENT_ATTEMPTS`` attempts without an answer, each with a timeout of at most
``MAX_PLACEMENT_TIMEOUT_S``, this node decides. A queued request is sent again at intervals.
"""

from collections.abc import Callable
from typing import Protocol

import attrs
import curio
import msgspec

from cloverwalk.fleet.in_flight import InFlightEntry, InFlightTracker
from cloverwalk.fleet.messages import Contact, Placement, PlacementRequest
from cloverwalk.scheduling.admission import PlacementVerdict

MIN_PLACEMENT_TIMEOUT_S = 0.03
MAX_PLACEMENT_TIMEOUT_S = 0.12
TIMEOUT_ROUND_TRIPS = 5.0
"""Timeout of a placement request, in average round trip times."""

ROUND_TRIP_WEIGHT = 0.2
INITIAL_ROUND_TRIP_S = 0.01
QUEUED_RETRY_INTERVAL_S = 0.25
"""Interval at which a queued request is sent again, since an answer may have been lost."""

MAX_PLACEMENT_ATTEMPTS = 2
"""Attempts, at the same or different nodes, before this node decides by itself."""


@attrs.define
class PlacementResult:
    """The result of a placement request."""

    placement: Placement
    work: InFlightEntry | None = None
    """The request's entry in the work in flight, if the verdict is SEND."""

    was_queued: bool = False
    """Whether it was queued for a slot before."""

    decided_at: float = float("-inf")
    """Lower bound of the time of the decision (monotonic clock, seconds)."""

    @property
    def warmup_token_granted_at(self) -> float | None:
        """Lower bound of the time at which its warm-up token was granted; None without a token."""
        return self.decided_at if self.placement.has_warmup_token else None

    @property
    def verdict(self) -> PlacementVerdict:
        """Whether the request is sent to a replica, has to be retried later, or is refused."""
        return self.placement.verdict

    @property
    def replica_id(self) -> str:
        """The replica that it is sent to; empty for other verdicts."""
        return self.placement.replica_id


@attrs.define
class _PendingRequest:
    """A placement request without a final answer."""

    tokens: int
    event: curio.Event = attrs.Factory(curio.Event)
    result: PlacementResult | None = None
    is_queued: bool = False
    was_queued: bool = False


class PlacementRequestSender(Protocol):
    """Sends placement requests to the coordinator or a standby."""

    async def send_placement_request(self, request: PlacementRequest) -> Contact | None:
        """Send a placement request and return its receiver; None if this node has to decide."""
        ...

    async def decide_locally(self, request: PlacementRequest) -> None:
        """Answer a placement request from this node's own state."""
        ...

    def on_request_timeout(self, target: Contact, sent_at: float) -> None:
        """Handle a placement request that was sent at ``sent_at`` and not answered in time."""
        ...


def always_wanted() -> bool:
    """Return True, for requests that wait until they have a result."""
    return True


class PlacementClient:
    """Requests placements for the online requests of this node."""

    def __init__(
        self, sender: PlacementRequestSender, loads: InFlightTracker, clock: Callable[[], float]
    ) -> None:
        self._sender = sender
        self._loads = loads
        self._clock = clock
        self._last_number = 0
        self._pending: dict[int, _PendingRequest] = {}
        self._withdrawn: list[int] = []
        self._round_trip_s = INITIAL_ROUND_TRIP_S

    async def request_placement(
        self, request: PlacementRequest, until: float, may_send: Callable[[], bool] = always_wanted
    ) -> PlacementResult:
        """Return a replica for an online request, or why there is none, by ``until``.

        ``request`` gets its number here. A result with a replica is already counted as work in
        flight. A queued request is given up as contained once ``may_send`` returns False.
        """
        started_at = self._clock()
        self._last_number += 1
        request = msgspec.structs.replace(request, number=self._last_number)
        pending = self._pending[request.number] = _PendingRequest(request.tokens)
        try:
            await self._send_request(request, pending)
            while pending.result is None:
                await self._wait(pending, min(QUEUED_RETRY_INTERVAL_S, until - self._clock()))
                if pending.result is None and not may_send():
                    return PlacementResult(Placement(request.number, PlacementVerdict.CONTAINED))
                if pending.result is None:
                    waited_ms = int((self._clock() - started_at) * 1000)
                    await self._send_request(
                        _after_wait(request, waited_ms, self._clock() >= until), pending
                    )
            result, pending.result = pending.result, None
            return result
        finally:
            self._pending.pop(request.number, None)
            if pending.result is not None and pending.result.work is not None:
                # The caller was cancelled just as the result arrived.
                self._loads.end(pending.result.work)
            if pending.is_queued:
                self._withdrawn.append(request.number)

    async def _send_request(self, request: PlacementRequest, pending: _PendingRequest) -> None:
        """Send a placement request until a node has answered it or has queued the request."""
        pending.is_queued = False
        for _ in range(MAX_PLACEMENT_ATTEMPTS):
            sent_at = self._clock()
            pending.event.clear()
            target = await self._sender.send_placement_request(request)
            if target is None:
                break
            await self._wait(pending, self._timeout_s())
            if pending.result is not None or pending.is_queued:
                self._record_round_trip(self._clock() - sent_at)
                return
            self._sender.on_request_timeout(target, sent_at)
        await self._sender.decide_locally(request)
        if pending.result is None:
            # This node has queued it; from now on only a result should set the event.
            pending.event.clear()

    def _timeout_s(self) -> float:
        expected_s = TIMEOUT_ROUND_TRIPS * self._round_trip_s
        return min(MAX_PLACEMENT_TIMEOUT_S, max(MIN_PLACEMENT_TIMEOUT_S, expected_s))

    def _record_round_trip(self, took_s: float) -> None:
        self._round_trip_s += ROUND_TRIP_WEIGHT * (took_s - self._round_trip_s)

    async def _wait(self, pending: _PendingRequest, timeout_s: float) -> None:
        async with curio.ignore_after(max(0.0, timeout_s)):
            await pending.event.wait()
        pending.event.clear()

    async def handle_placement(
        self, placement: Placement, decided_at: float = float("-inf")
    ) -> None:
        """Handle the answer to a placement request; late and repeated answers are ignored.

        ``decided_at`` is a lower bound of the time of the decision.
        """
        pending = self._pending.get(placement.number)
        if pending is None or pending.result is not None:
            return
        pending.is_queued = placement.verdict is PlacementVerdict.QUEUE
        pending.was_queued = pending.was_queued or pending.is_queued
        if not pending.is_queued:
            work = None
            if placement.verdict is PlacementVerdict.SEND:
                work = self._loads.begin(placement.replica_id, False, pending.tokens)
            pending.result = PlacementResult(placement, work, pending.was_queued, decided_at)
        await pending.event.set()

    def pop_withdrawn(self) -> list[int]:
        """Return and clear the numbers of queued requests that were cancelled."""
        withdrawn, self._withdrawn = self._withdrawn, []
        return withdrawn


def _after_wait(request: PlacementRequest, waited_ms: int, must_place: bool) -> PlacementRequest:
    """Return a placement request with the remaining times after a wait."""
    return msgspec.structs.replace(
        request,
        objective_left_ms=request.objective_left_ms - waited_ms,
        time_left_ms=request.time_left_ms - waited_ms,
        must_place=request.must_place or must_place,
    )
