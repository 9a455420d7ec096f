"""A node gets SIGTERM while clients stream over connections that they keep.

Each request that the node reads and passes on after that must get its whole answer.
"""

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stand_ins import (  # noqa: E402
    Answer,
    ClientConnection,
    CouldNotRunError,
    Fleet,
    Record,
    configuration_of,
    route,
    run_case,
)

NODES = 3
REPLICAS = 3
CLIENTS = 8
EVENTS = 16
EVENT_INTERVAL_S = 0.27
"""Below the pause that the route's ``gap_aim_ms`` allows; a stream lasts 4.3 s."""

DEADLINE_MS = 5_000
GRACE_S = 8.0
EXCUSED_S = 3.0
"""Streams that are sent later than this after the SIGTERM are not excused by the rule."""

STOP_AT_S = 4.9
"""Time from the first request to the SIGTERM: the clients' second requests are under way."""

SPREAD_S = 0.9
"""The clients start over this time."""


class Case:
    """Clients of one node, and what they saw."""

    def __init__(self, fleet: Fleet, record: Record) -> None:
        self._fleet = fleet
        self._record = record
        self._node = fleet.nodes[0]
        self._stopped_at: float | None = None
        self.complete_count = 0
        """Answers with all events."""

        self.cut: list[str] = []

    async def run_client(self, number: int, until: float) -> None:
        """Stream over one kept connection, each request as soon as the last answer is complete."""
        await asyncio.sleep(SPREAD_S * number / CLIENTS)
        connection = ClientConnection(self._node.address)
        count = 0
        while time.monotonic() < until and (count == 0 or connection.is_open):
            count += 1
            request_id = f"{number:08x}{count:08x}"
            if not await self._stream(connection, request_id):
                break
        connection.close()

    async def _stream(self, connection: ClientConnection, request_id: str) -> bool:
        """Send one request; return whether its answer is complete."""
        headers = {
            "X-Cloverwalk-Request-Id": request_id,
            "X-Cloverwalk-Model": "m",
            "X-Cloverwalk-Token-Usage": f"40,{EVENTS}",
            "X-Cloverwalk-Prefix-Hash": f"{request_id}:40",
            "X-Cloverwalk-Deadline-Ms": str(DEADLINE_MS),
        }
        sent_at = time.monotonic()
        self._record.write("request sent", request=request_id, **self._after_stop(sent_at))
        answer = await connection.call(
            "POST", "/chat/x", headers=headers, body=b"{}", timeout_s=DEADLINE_MS / 1000 + 1
        )
        now = time.monotonic()
        events = 0 if answer is None else answer.body.count(b"\n\n")
        is_complete = answer is not None and answer.is_complete
        self._record.write(
            "answer ends",
            request=request_id,
            status=None if answer is None else answer.status,
            events=events,
            is_complete=is_complete,
            took_s=round(now - sent_at, 3),
            **self._after_stop(now),
        )
        self.complete_count += is_complete and events == EVENTS
        self._check(request_id, sent_at, now, answer)
        return is_complete

    def _after_stop(self, at: float) -> dict[str, object]:
        if self._stopped_at is None:
            return {}
        return {"after_sigterm_s": round(at - self._stopped_at, 3)}

    def _check(self, request_id: str, sent_at: float, now: float, answer: Answer | None) -> None:
        """Record a request that was passed on and cut, and that the rule doesn't excuse."""
        was_passed_on = answer is not None and answer.status == 200
        if self._stopped_at is None or not was_passed_on or answer.is_complete:
            return
        is_excused = sent_at - self._stopped_at <= EXCUSED_S
        is_out_of_time = now - sent_at >= DEADLINE_MS / 1000
        if is_excused or is_out_of_time or now - self._stopped_at > GRACE_S + 1:
            return
        self.cut.append(request_id)
        self._record.write(
            "BROKEN: a request that was passed on ends without a complete answer",
            request=request_id,
            sent_after_sigterm_s=round(sent_at - self._stopped_at, 3),
            cut_after_sigterm_s=round(now - self._stopped_at, 3),
            time_left_s=round(DEADLINE_MS / 1000 - (now - sent_at), 3),
        )

    async def stop_node(self) -> None:
        """Stop the node as the platform does, and start it again."""
        self._stopped_at = time.monotonic()
        self._node.send_signal(signal.SIGTERM)
        self._record.write("SIGTERM", node=self._node.name)
        await self._node.wait_ended(GRACE_S)
        after_s = round(time.monotonic() - self._stopped_at, 3)
        self._record.write("node ended", node=self._node.name, after_sigterm_s=after_s)
        self._node.restart()


async def run(record: Record, has_trouble: bool) -> bool:
    """Run the case; return whether the rule was broken."""
    fleet = Fleet(record, NODES, REPLICAS)
    for replica in fleet.replicas:
        replica.event_s = lambda target: EVENT_INTERVAL_S
    chat = route("chat", "streaming", resumable=False, max_attempts=1)
    try:
        await fleet.start(configuration_of(chat))
        await asyncio.sleep(4.0)
        case = Case(fleet, record)
        until = time.monotonic() + 16
        async with asyncio.TaskGroup() as tasks:
            for number in range(CLIENTS):
                tasks.create_task(case.run_client(number, until))
            await asyncio.sleep(STOP_AT_S)
            if has_trouble:
                await case.stop_node()
        if not case.complete_count:
            raise CouldNotRunError("no answer was complete")
        record.write("case ends", cut_requests=len(case.cut))
        return bool(case.cut)
    finally:
        fleet.close()


run_case(FOLDER, run)
