"""Asks the coordinator for places of online requests, and keeps what was asked.

Two nodes are asked at the most, each for ``ASK_TIMEOUT_MAX_S`` or less; then this node decides.
"""

from collections.abc import Callable
from typing import Protocol

import attrs
import curio
import msgspec

from cloverwalk.fleet.in_flight import InFlightEntry, InFlightTracker
from cloverwalk.fleet.messages import Contact, Placement, PlacementRequest
from cloverwalk.scheduling.admission import PlacementVerdict

ASK_TIMEOUT_LEAST_S = 0.03
ASK_TIMEOUT_MAX_S = 0.12
ROUND_TRIPS = 5.0
"""An answer that takes so many times the usual one will not come."""

ROUND_TRIP_WEIGHT = 0.2
FIRST_ROUND_TRIP_S = 0.01
ASK_AGAIN_S = 0.25
"""A held request asks again after this time: an order may have been lost."""

MOST_ASKED = 2
"""Nodes that are asked, or times that one is, before this node decides alone."""


@attrs.define
class PlacementResult:
    """The answer to a request that asked for a place."""

    placement: Placement
    work: InFlightEntry | None = None
    """The request as the load of its replica counts it, where the verdict is SEND."""

    was_queued: bool = False
    """Whether it was held for a slot before."""

    @property
    def verdict(self) -> PlacementVerdict:
        """Whether the request goes to a replica, has to come back, or goes nowhere."""
        return self.placement.verdict

    @property
    def replica_id(self) -> str:
        """The replica that it goes to."""
        return self.placement.replica_id


@attrs.define
class _Pending:
    """An ask without its final answer."""

    tokens: int
    event: curio.Event = attrs.Factory(curio.Event)
    place: PlacementResult | None = None
    is_held: bool = False
    was_held: bool = False


class AskSender(Protocol):
    """Sends asks to whoever coordinates."""

    async def send_ask(self, ask: PlacementRequest) -> Contact | None:
        """Send an ask; None: this node has to decide."""
        ...

    async def decide_alone(self, ask: PlacementRequest) -> None:
        """Answer an ask by what this node knows."""
        ...

    def note_no_answer(self, target: Contact, asked_at: float) -> None:
        """An ask had no answer."""
        ...


class PlacementClient:
    """Places for the online requests of this node."""

    def __init__(
        self, sender: AskSender, loads: InFlightTracker, clock: Callable[[], float]
    ) -> None:
        self._sender = sender
        self._loads = loads
        self._clock = clock
        self._number = 0
        self._pending: dict[int, _Pending] = {}
        self._withdrawn: list[int] = []
        self._round_trip_s = FIRST_ROUND_TRIP_S

    async def place(self, ask: PlacementRequest, until: float) -> PlacementResult:
        """Return where a request goes, or why it goes nowhere, before ``until``.

        ``ask`` gets its number here. A place that was found counts as work in flight already.
        """
        began_at = self._clock()
        self._number += 1
        ask = msgspec.structs.replace(ask, number=self._number)
        pending = self._pending[ask.number] = _Pending(ask.tokens)
        try:
            await self._ask(ask, pending)
            while pending.place is None:
                await self._wait(pending, min(ASK_AGAIN_S, until - self._clock()))
                if pending.place is None:
                    waited_ms = int((self._clock() - began_at) * 1000)
                    await self._ask(_later(ask, waited_ms, self._clock() >= until), pending)
            place, pending.place = pending.place, None
            return place
        finally:
            self._pending.pop(ask.number, None)
            if pending.place is not None and pending.place.work is not None:
                # The request left in the moment in which it got its place.
                self._loads.end(pending.place.work)
            if pending.is_held:
                self._withdrawn.append(ask.number)

    async def _ask(self, ask: PlacementRequest, pending: _Pending) -> None:
        """Ask until somebody has answered, if only that the request is held."""
        pending.is_held = False
        for _ in range(MOST_ASKED):
            asked_at = self._clock()
            pending.event.clear()
            target = await self._sender.send_ask(ask)
            if target is None:
                break
            await self._wait(pending, self._timeout_s())
            if pending.place is not None or pending.is_held:
                self._note_round_trip(self._clock() - asked_at)
                return
            self._sender.note_no_answer(target, asked_at)
        await self._sender.decide_alone(ask)
        if pending.place is None:
            # It is held here, and that is known: only a place is waited for now.
            pending.event.clear()

    def _timeout_s(self) -> float:
        expected_s = ROUND_TRIPS * self._round_trip_s
        return min(ASK_TIMEOUT_MAX_S, max(ASK_TIMEOUT_LEAST_S, expected_s))

    def _note_round_trip(self, took_s: float) -> None:
        self._round_trip_s += ROUND_TRIP_WEIGHT * (took_s - self._round_trip_s)

    async def _wait(self, pending: _Pending, timeout_s: float) -> None:
        async with curio.ignore_after(max(0.0, timeout_s)):
            await pending.event.wait()
        pending.event.clear()

    async def handle_placement(self, placement: Placement) -> None:
        """Take the answer to an ask; late and repeated ones are of no use any more."""
        pending = self._pending.get(placement.number)
        if pending is None or pending.place is not None:
            return
        pending.is_held = placement.verdict is PlacementVerdict.QUEUE
        pending.was_held = pending.was_held or pending.is_held
        if not pending.is_held:
            work = None
            if placement.verdict is PlacementVerdict.SEND:
                work = self._loads.begin(placement.replica_id, False, pending.tokens)
            pending.place = PlacementResult(placement, work, pending.was_held)
        await pending.event.set()

    def take_withdrawn(self) -> list[int]:
        """Return the held asks whose requests have left since the last call."""
        withdrawn, self._withdrawn = self._withdrawn, []
        return withdrawn


def _later(ask: PlacementRequest, waited_ms: int, must_place: bool) -> PlacementRequest:
    """Return an ask as it is after a wait."""
    return msgspec.structs.replace(
        ask,
        objective_left_ms=ask.objective_left_ms - waited_ms,
        time_left_ms=ask.time_left_ms - waited_ms,
        must_place=ask.must_place or must_place,
    )
