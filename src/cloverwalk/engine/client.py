"""Carries instructions to one engine and brings its events back."""

import time
from collections.abc import Awaitable, Callable
from typing import TypeVar

import curio
import h11
import msgspec
from msgspec import json

from cloverwalk.core import events as ev
from cloverwalk.core.errors import CloverwalkError
from cloverwalk.engine.protocol import (
    CacheEventBody,
    CancelBody,
    LoadBody,
    OrderAnswer,
    OrderBody,
    RefusalBody,
    StartBody,
    StatusBody,
    StreamBody,
)
from cloverwalk.http.client import ClientConnection, HttpPool
from cloverwalk.http.errors import HttpError, LostAnswerError, NotSentError

CONNECT_TIMEOUT_S = 0.5
CALL_TIMEOUT_S = 1.0
STREAM_SILENCE_S = 120.0
LOAD_TIMEOUT_S = 600.0

Dispatch = Callable[[ev.Event], Awaitable[None]]
Body = TypeVar("Body")


class EngineError(CloverwalkError):
    """An engine answered what its interface does not allow."""

    default_code = "engine_answer_invalid"


class EngineClient:
    """The adapter to one engine. Other wire forms take this class's place."""

    def __init__(self, replica: str, address: str, dispatch: Dispatch) -> None:
        self.replica = replica
        self.address = address
        self._dispatch = dispatch
        self._pool = HttpPool(address)
        self._heard_at: dict[ClientConnection, float] = {}

    # --- streams ---

    async def start(self, start: ev.StartWork) -> None:
        """Start work and pass its output on to the end."""
        work = start.work
        key = (self.replica, work.request_id, work.attempt)
        try:
            connection = await ClientConnection.open(self.address, CONNECT_TIMEOUT_S)
        except NotSentError:
            await self._dispatch(ev.EngineRefused(*key, "unreachable"))
            return
        try:
            await self._run_stream(connection, start)
        except (OSError, curio.TaskTimeout, h11.ProtocolError, HttpError, EngineError):
            await self._dispatch(ev.EngineCut(*key, "lost"))
        finally:
            self._heard_at.pop(connection, None)
            await connection.close()

    async def end_silent_streams(self) -> None:
        """Break streams that brought nothing for long; cheaper than a timer for each part."""
        now = time.monotonic()
        for connection, heard_at in list(self._heard_at.items()):
            if now - heard_at > STREAM_SILENCE_S:
                await connection.shut_down()

    async def _run_stream(self, connection: ClientConnection, start: ev.StartWork) -> None:
        work = start.work
        key = (self.replica, work.request_id, work.attempt)
        body = json.encode(StartBody(start.epoch, work))
        async with curio.timeout_after(CONNECT_TIMEOUT_S + CALL_TIMEOUT_S):
            await connection.send("POST", "/v1/completions", {}, body)
            head = await connection.head()
        if head.status == 409:
            reason = _decode(await connection.read_body(), RefusalBody).reason
            await self._dispatch(ev.EngineRefused(*key, reason))
            return
        if head.status != 200:
            raise EngineError(f"status {head.status}")
        pending = b""
        while True:
            self._heard_at[connection] = time.monotonic()
            part = await connection.next_part()
            if part is None:
                raise LostAnswerError("the stream ended before its last chunk")
            pending += part
            *events, pending = pending.split(b"\n\n")
            for event in events:
                chunk = _decode(event.removeprefix(b"data: "), StreamBody)
                await self._pass_on(key, chunk)
                if chunk.finished or chunk.cut:
                    return

    async def _pass_on(self, key: tuple[str, str, int], chunk: StreamBody) -> None:
        if chunk.cut:
            await self._dispatch(ev.EngineCut(*key, chunk.cut, chunk.text, chunk.tokens))
            return
        event = ev.EngineChunk(
            *key, chunk.first, chunk.tokens, chunk.text, chunk.finished, chunk.step_s
        )
        await self._dispatch(event)

    # --- calls ---

    async def stop(self, stop: ev.StopWork) -> None:
        """Cancel a stream; its end comes over the stream."""
        body = json.encode(CancelBody(stop.request_id, stop.attempt))
        try:
            await self._pool.call("POST", "/v1/cancel", body, timeout_s=CALL_TIMEOUT_S)
        except HttpError:
            return  # the stream's own end tells

    async def adopt(self, adopt: ev.AdoptEngine) -> None:
        """Tell the engine its new owner's epoch."""
        body = json.encode(OrderBody(adopt.epoch, "adopt"))
        try:
            response = await self._pool.call("POST", "/v1/orders", body, timeout_s=CALL_TIMEOUT_S)
            answer = _decode(response.body, OrderAnswer)
        except (HttpError, EngineError):
            answer = OrderAnswer(accepted=False, slots=0, model="")
        event = ev.EngineAdopted(
            self.replica, adopt.epoch, answer.accepted, answer.slots, answer.model
        )
        await self._dispatch(event)

    async def load(self, load: ev.LoadModel) -> None:
        """Order another model; the answer comes when its weights are loaded."""
        body = json.encode(OrderBody(load.epoch, "load_model", load.model))
        try:
            response = await self._pool.call("POST", "/v1/orders", body, timeout_s=LOAD_TIMEOUT_S)
            answer = _decode(response.body, OrderAnswer)
        except (HttpError, EngineError):
            answer = OrderAnswer(accepted=False, slots=0, model="")
        event = ev.ModelLoaded(self.replica, load.epoch, answer.accepted, answer.model)
        await self._dispatch(event)

    async def query(self, query: ev.QueryEngine) -> None:
        """Ask for the status of a request."""
        try:
            response = await self._pool.call(
                "GET", f"/v1/requests/{query.request_id}", timeout_s=CALL_TIMEOUT_S
            )
            status = _decode(response.body, StatusBody)
        except (HttpError, EngineError):
            status = StatusBody("unreachable")
        await self._dispatch(
            ev.EngineStatus(
                self.replica,
                query.request_id,
                query.token,
                status.state,
                status.text,
                status.tokens,
            )
        )

    async def read_load(self) -> None:
        """Read the load report."""
        try:
            response = await self._pool.call("GET", "/v1/load", timeout_s=CALL_TIMEOUT_S)
            load = _decode(response.body, LoadBody)
        except (HttpError, EngineError):
            return
        await self._dispatch(ev.EngineLoad(self.replica, load.running, load.step_s, load.leaving))

    async def read_cache_events(self, after: int) -> list[CacheEventBody]:
        """Read the cache events after a number; none when the engine does not answer."""
        try:
            response = await self._pool.call(
                "GET", f"/v1/cache_events?after={after}", timeout_s=CALL_TIMEOUT_S
            )
            return _decode(response.body, list[CacheEventBody])
        except (HttpError, EngineError):
            return []

    async def close(self) -> None:
        """Close kept connections."""
        await self._pool.close()


def _decode(body: bytes, wanted: type[Body]) -> Body:
    try:
        return json.decode(body, type=wanted)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise EngineError(str(error)) from error
