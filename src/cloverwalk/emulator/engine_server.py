"""HTTP server of an emulated engine."""

import time
from random import Random

import curio
import msgspec
from msgspec import Struct, json

from cloverwalk.config.settings import EngineEmulatorSettings, HttpSettings
from cloverwalk.core.events import (
    BeginStream,
    EndStream,
    Header,
    HttpRequest,
    StreamData,
)
from cloverwalk.core.types import Machine
from cloverwalk.emulator.engine_model import MODEL_BYTES, EngineModel, StreamEnd
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
from cloverwalk.http.client import HttpPool
from cloverwalk.http.errors import HttpError
from cloverwalk.http.server import HttpServer
from cloverwalk.pipeline.problem import PipelineError, json_reply, problem_reply

REGISTER_RETRY_DELAY_S = 0.5
WEIGHTS_RETRY_DELAY_S = 2.0
StreamKey = tuple[str, int]  # request id, attempt


class KvBody(Struct, frozen=True):
    """Cached blocks of a prompt: body of POST /v1/kv/export and /v1/kv/import."""

    prompt: str
    blocks: list[int] = []


class StartLine(Struct, frozen=True):
    """An entry of the response to GET /v1/starts."""

    request_id: str
    attempt: int
    epoch: int
    at: float


class EngineServer:
    """Serves one engine model over HTTP and runs its steps."""

    def __init__(self, settings: EngineEmulatorSettings) -> None:
        self.settings = settings
        self.model = EngineModel(settings, Random(settings.replica_id))
        self.server = HttpServer(
            HttpSettings(), settings.host, settings.port, self._on_request, self._on_disconnect
        )
        self._streams: dict[StreamKey, int] = {}  # connection number
        self._work_available = curio.Event()

    @property
    def address(self) -> str:
        """Host and port on which the engine listens."""
        return f"{self.settings.host}:{self.server.port}"

    async def run(self) -> None:
        """Serve until cancelled."""
        async with curio.TaskGroup() as tasks:
            await tasks.spawn(self.server.serve())
            await tasks.spawn(self._step_loop())
            if self.settings.platform:
                await tasks.spawn(self._register())

    async def _register(self) -> None:
        pool = HttpPool(self.settings.platform)
        machine = Machine(
            self.settings.replica_id, self.settings.zone, self.address, self.settings.model
        )
        while True:
            try:
                await pool.call("PUT", "/v1/machines", json.encode(machine))
                return
            except HttpError:
                await curio.sleep(REGISTER_RETRY_DELAY_S)

    async def _step_loop(self) -> None:
        while True:
            ends_at = self.model.next_step_at(time.monotonic())
            if ends_at is None:
                self._work_available.clear()
                await self._work_available.wait()
                continue
            await curio.sleep(max(0.0, ends_at - time.monotonic()))
            for emission in self.model.step(time.monotonic()):
                key = (emission.request_id, emission.attempt)
                body = StreamBody(
                    emission.first,
                    emission.tokens,
                    emission.text,
                    emission.finished,
                    emission.step_s,
                )
                await self._send(key, body, is_last=emission.finished)

    async def _send(self, key: StreamKey, body: StreamBody, is_last: bool) -> None:
        connection = self._streams.get(key)
        if connection is None:
            return
        data = b"data: " + json.encode(body) + b"\n\n"
        await self.server.push(StreamData(connection, data))
        if is_last:
            del self._streams[key]
            await self.server.push(EndStream(connection))

    async def _send_cut(self, end: StreamEnd, reason: str) -> None:
        body = StreamBody(0, end.tokens, end.text, finished=False, cut=reason)
        await self._send((end.request_id, end.attempt), body, is_last=True)

    async def _on_disconnect(self, connection: int) -> None:
        for key, number in list(self._streams.items()):
            if number == connection:
                del self._streams[key]
                self.model.cancel(*key)

    async def _on_request(self, request: HttpRequest) -> None:
        try:
            await self._route(request)
        except msgspec.DecodeError as error:
            problem = PipelineError(400, "invalid_json", str(error), "body")
            await self.server.push(problem_reply(request.connection, problem))

    async def _route(self, request: HttpRequest) -> None:
        path = request.path
        match (request.method, path.split("/")[2] if path.count("/") >= 2 else ""):
            case ("POST", "completions"):
                await self._start(request)
            case ("POST", "cancel"):
                body = json.decode(request.body, type=CancelBody)
                end = self.model.cancel(body.request_id, body.attempt)
                if end is not None:
                    await self._send_cut(end, "cancelled")
                await self._reply(request, {"cancelled": end is not None})
            case ("POST", "orders"):
                await self._order(request)
            case ("GET", "requests"):
                status = self.model.status(path.split("/", 3)[3])
                await self._reply(request, StatusBody(status.state, status.text, status.tokens))
            case ("GET", "load"):
                load = self.model.load(time.monotonic())
                load_body = LoadBody(load.running, load.waiting, load.step_s, load.leaving)
                await self._reply(request, load_body)
            case ("GET", "cache_events"):
                await self._cache_events(request)
            case ("GET", "starts"):
                lines = [
                    StartLine(start.request_id, start.attempt, start.epoch, start.at)
                    for start in self.model.starts
                ]
                await self._reply(request, lines)
            case ("POST", "kv"):
                await self._kv(request)
            case _:
                problem = PipelineError(404, "unknown_path", path, "path")
                await self.server.push(problem_reply(request.connection, problem))

    async def _reply(self, request: HttpRequest, body: object, status: int = 200) -> None:
        await self.server.push(json_reply(request.connection, status, body))

    async def _start(self, request: HttpRequest) -> None:
        body = json.decode(request.body, type=StartBody)
        reason = self.model.start(body.work, body.epoch, time.monotonic())
        if reason is not None:
            await self._reply(request, RefusalBody(reason.value), 409)
            return
        self._streams[(body.work.request_id, body.work.attempt)] = request.connection
        headers = [Header("Content-Type", "text/event-stream")]
        await self.server.push(BeginStream(request.connection, 200, headers))
        await self._work_available.set()

    async def _order(self, request: HttpRequest) -> None:
        order = json.decode(request.body, type=OrderBody)
        accepted = order.epoch >= self.model.epoch
        if order.order == "adopt":
            ended = self.model.adopt(order.epoch)
            for end in ended or []:
                await self._send_cut(end, "aborted")
        elif order.order == "load_model":
            accepted = await self._load(order)
        elif order.order == "leave":
            self.model.leaving = True
        answer = OrderAnswer(accepted, self.settings.slots, self.model.model)
        await self._reply(request, answer)

    async def _load(self, order: OrderBody) -> bool:
        if not self.model.begin_load(order.epoch):
            return False
        await curio.sleep(await self._weights_load_time_s())
        self.model.finish_load(order.model)
        return True

    async def _weights_load_time_s(self) -> float:
        """Return how long the weights take to load.

        It is 0 without a platform, and ``WEIGHTS_RETRY_DELAY_S`` if the platform does not answer.
        """
        if not self.settings.platform:
            return 0.0
        try:
            path = f"/v1/weights?bytes={MODEL_BYTES:.0f}"
            response = await HttpPool(self.settings.platform).call("GET", path)
            return float(json.decode(response.body)["seconds"])
        except (HttpError, KeyError, msgspec.DecodeError):
            return WEIGHTS_RETRY_DELAY_S

    async def _cache_events(self, request: HttpRequest) -> None:
        after = int(request.query.get("after", "0") or "0")
        before = time.monotonic() - self.settings.event_lag_s
        events = self.model.cache.events(after, before)
        await self._reply(
            request, [CacheEventBody(event.number, event.added, event.removed) for event in events]
        )

    async def _kv(self, request: HttpRequest) -> None:
        body = json.decode(request.body, type=KvBody)
        if request.path.endswith("/export"):
            blocks = self.model.cache.export_blocks(body.prompt)
            await self._reply(request, KvBody(body.prompt, blocks))
            return
        self.model.cache.import_blocks(body.prompt, body.blocks, time.monotonic())
        await self._reply(request, {"imported": len(body.blocks)})
