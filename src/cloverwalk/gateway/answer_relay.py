"""Relays answers of replicas to clients: streams event by event, other answers whole."""

from collections.abc import Callable

import curio

from cloverwalk.core.error_response import NOT_RUN_STATUSES
from cloverwalk.gateway.errors import TIMED_OUT, ClientGoneError, ReplicaError
from cloverwalk.gateway.event_stream import EventOrder, EventSplitter, StreamEvent
from cloverwalk.gateway.messages import ClientRequest, GatewayCodec
from cloverwalk.gateway.progress import RequestProgress
from cloverwalk.gateway.replica_connection import AnswerHead, ReplicaConnection
from cloverwalk.gateway.replicas import ReplicaDirectory
from cloverwalk.gateway.reply import Reply
from cloverwalk.telemetry.metrics import ServingMetrics

FIRST_EVENT_TIMEOUT_S = 1.2
"""Time until the first event after which a resumable stream moves to another replica."""

EVENT_TIMEOUT_S = 0.7
"""The same between events. It may take twice as long, since one timeout covers several events."""

LAST_ATTEMPT_TIMEOUT_S = 3600.0
"""The same for the last attempt: the request's own deadline ends it much sooner."""

MAX_BUFFERED_ANSWER_BYTES = 1_048_576


OnFirstEvent = Callable[[ClientRequest, RequestProgress], None]
"""Called before the first event of an answer is relayed."""


class AnswerRelay:
    """Relays answers of replicas to clients; raises ReplicaError for an unusable answer."""

    def __init__(
        self,
        codec: GatewayCodec,
        directory: ReplicaDirectory,
        metrics: ServingMetrics,
        clock: Callable[[], float],
        on_first_event: OnFirstEvent | None = None,
    ) -> None:
        self._on_first_event = on_first_event
        self._codec = codec
        self._directory = directory
        self._metrics = metrics
        self._clock = clock

    async def relay_plain(
        self,
        request: ClientRequest,
        progress: RequestProgress,
        connection: ReplicaConnection,
        head: AnswerHead,
        reply: Reply,
    ) -> None:
        """Relay an answer that is not a stream; in one piece if it fits into the buffer."""
        if reply.has_begun:
            raise ReplicaError(f"answer to the resumed run: {head.status}", True, "not_resumed")
        if head.status in NOT_RUN_STATUSES:
            # The status would promise that the request has not run, without proof.
            raise ReplicaError(
                f"{head.status} without proof that the request has not run",
                True,
                "unproved_refusal",
            )
        can_repeat = progress.route.is_retryable and head.status >= 500
        if can_repeat and progress.has_attempt_left:
            raise ReplicaError(f"the replica answered {head.status}", True, "replica_error")
        parts: list[bytes] = []
        size = 0
        while (data := await connection.read_body()) is not None:
            parts.append(data)
            size += len(data)
            if size > MAX_BUFFERED_ANSWER_BYTES:
                await self._relay_unbuffered(connection, head, parts, reply)
                break
        else:
            headers = self._codec.headers_to_client(head.headers)
            await reply.respond(head.status, headers, b"".join(parts))

    async def _relay_unbuffered(
        self, connection: ReplicaConnection, head: AnswerHead, parts: list[bytes], reply: Reply
    ) -> None:
        headers = self._codec.headers_to_client(head.headers)
        await reply.begin(head.status, headers, head.content_length)
        await reply.write(b"".join(parts))
        try:
            while (data := await connection.read_body()) is not None:
                await reply.write(data)
        except ReplicaError as error:
            # Only event streams can be resumed at another replica.
            raise ClientGoneError(f"the answer was cut off: {error}", "answer_cut") from error
        await reply.finish()

    async def relay_stream(
        self,
        request: ClientRequest,
        progress: RequestProgress,
        connection: ReplicaConnection,
        head: AnswerHead,
        reply: Reply,
    ) -> None:
        """Relay the events of a run, which continue after the last event that the client has."""
        splitter = EventSplitter()
        order = EventOrder(progress.last_event_id)
        if not reply.has_begun:
            await reply.begin(head.status, self._codec.headers_to_client(head.headers), None)
        last_received_at = self._clock()
        is_open = True
        while is_open:
            timeout_s = self._event_timeout_s(progress)
            try:
                async with curio.timeout_after(self._remaining_s(timeout_s, last_received_at)):
                    # One timeout covers many events, so this checks when the last one came.
                    while (data := await connection.read_body()) is not None:
                        last_received_at = self._clock()
                        if not self._relay_events(request, progress, splitter, order, data, reply):
                            break
                    is_open = data is not None
            except curio.TaskTimeout as error:
                if self._clock() - last_received_at >= self._event_timeout_s(progress):
                    self._directory.suspect(progress.last_replica, self._clock())
                    raise ReplicaError("no event before the timeout", True, TIMED_OUT) from error
                continue
            except ReplicaError:
                # Another run may continue after the events that were relayed.
                await reply.flush()
                raise
            await reply.flush()
        if splitter.rest:
            raise ReplicaError("the stream ended within an event", True, "answer_cut")
        await reply.finish()

    def _relay_events(
        self,
        request: ClientRequest,
        progress: RequestProgress,
        splitter: EventSplitter,
        order: EventOrder,
        data: bytes,
        reply: Reply,
    ) -> bool:
        """Relay the events completed by some bytes; return whether the client read them at once."""
        try:
            events = splitter.feed(data)
        except ValueError as error:
            raise ReplicaError(str(error), True, "invalid_stream") from error
        raw_events: list[bytes] = []
        try:
            for event in events:
                self._check(progress, order, event)
                raw_events.append(event.raw)
        except ValueError as error:
            raise ReplicaError(str(error), True, "invalid_stream") from error
        finally:
            was_read = not raw_events or self._write_events(request, progress, raw_events, reply)
            progress.last_event_id = order.last
        progress.events += len(raw_events)
        if raw_events and progress.delivery is not None and progress.delivery.begun_at is None:
            progress.delivery.begun_at = self._clock()
        progress.was_client_slow |= not was_read
        return was_read

    def _write_events(
        self,
        request: ClientRequest,
        progress: RequestProgress,
        raw_events: list[bytes],
        reply: Reply,
    ) -> bool:
        if progress.first_event_at is None:
            progress.first_event_at = self._clock()
            self._metrics.first_event(
                progress.route.name, progress.first_event_at - request.received_at
            )
            if self._on_first_event is not None:
                self._on_first_event(request, progress)
        return reply.write_now(b"".join(raw_events))

    def _event_timeout_s(self, progress: RequestProgress) -> float:
        """Return the time without an event after which the stream moves to another replica."""
        if not self._may_resume_elsewhere(progress):
            return LAST_ATTEMPT_TIMEOUT_S
        return FIRST_EVENT_TIMEOUT_S if progress.first_event_at is None else EVENT_TIMEOUT_S

    def _remaining_s(self, timeout_s: float, last_received_at: float) -> float:
        return max(0.0, last_received_at + timeout_s - self._clock())

    def _may_resume_elsewhere(self, progress: RequestProgress) -> bool:
        return progress.route.is_resumable and progress.has_attempt_left

    def _check(self, progress: RequestProgress, order: EventOrder, event: StreamEvent) -> None:
        """Raise ValueError if an event is not the next one of the stream."""
        if event.event_id is not None:
            order.check_next(event.event_id)
        elif event.data and progress.route.is_resumable:
            # Another run would repeat it, with an id.
            raise ValueError("an event has no id")
