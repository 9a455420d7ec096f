"""HTTP server of the emulated platform, with an endpoint that sets its faults."""

import time
from random import Random

import curio
import msgspec
from msgspec import json

from cloverwalk.config.settings import HttpSettings, PlatformEmulatorSettings
from cloverwalk.core.events import Header, HttpRequest, SendReply
from cloverwalk.core.store_types import CommitStatus, Transaction
from cloverwalk.core.types import Machine
from cloverwalk.emulator.platform_model import Faults, PlatformModel
from cloverwalk.http.server import HttpServer, ReplyPart
from cloverwalk.pipeline.problem import PipelineError, json_reply, problem_reply
from cloverwalk.tableservice.protocol import CommitAnswer, MachinesAnswer, RowsAnswer


class PlatformServer:
    """Serves the platform model. Faults do not affect PUT /v1/faults and PUT /v1/machines."""

    def __init__(self, settings: PlatformEmulatorSettings) -> None:
        self.settings = settings
        self.model = PlatformModel(settings, Random("platform"))
        self.server = HttpServer(HttpSettings(), settings.host, settings.port, self._on_request)

    @property
    def address(self) -> str:
        """Host and port on which the platform listens."""
        return f"{self.settings.host}:{self.server.port}"

    async def run(self) -> None:
        """Serve until cancelled."""
        await self.server.serve()

    async def _on_request(self, request: HttpRequest) -> None:
        try:
            if request.path in ("/v1/faults", "/v1/machines") and request.method == "PUT":
                reply = self._control(request)
                await self.server.push(reply)
            else:
                await self._serve(request)
        except msgspec.DecodeError as error:
            problem = PipelineError(400, "invalid_json", str(error), "body")
            await self.server.push(problem_reply(request.connection, problem))

    def _control(self, request: HttpRequest) -> ReplyPart:
        if request.path == "/v1/faults":
            self.model.faults = json.decode(request.body, type=Faults)
            return json_reply(request.connection, 200, self.model.faults)
        machine = json.decode(request.body, type=Machine)
        self.model.set_machine(machine, time.monotonic())
        return json_reply(request.connection, 200, machine)

    async def _serve(self, request: HttpRequest) -> None:
        if not self.model.admits(time.monotonic()):
            problem = PipelineError(503, "unavailable", "down or above the rate limit")
            await self.server.push(problem_reply(request.connection, problem))
            return
        reply = self._apply(request)
        if self.model.loses_answer():
            return  # the caller times out, although the call took effect
        if self.model.faults.slow_s > 0:
            await curio.spawn(self._push_delayed(reply), daemon=True)
            return
        await self.server.push(reply)

    async def _push_delayed(self, reply: ReplyPart) -> None:
        await curio.sleep(self.model.faults.slow_s)
        await self.server.push(reply)

    def _apply(self, request: HttpRequest) -> ReplyPart:
        connection = request.connection
        name = request.path.removeprefix("/v1/objects/")
        match (request.method, request.path.split("/")[2:3]):
            case ("POST", ["transactions"]):
                transaction = json.decode(request.body, type=Transaction)
                answer = self.model.commit(transaction)
                committed = answer.status is CommitStatus.COMMITTED
                body = CommitAnswer(committed, answer.conflicts)
                return json_reply(connection, 200 if committed else 409, body)
            case ("GET", ["rows"]):
                exact = request.query.get("exact") == "true"
                read = self.model.read(request.query.get("prefix", ""), exact)
                return json_reply(connection, 200, RowsAnswer(read.rows))
            case ("PUT", ["objects"]):
                self.model.put_object(name, request.body.decode())
                return json_reply(connection, 200, {"name": name})
            case ("GET", ["objects"]):
                object_reply = self.model.get_object(name)
                headers = [Header("Content-Type", "application/octet-stream")]
                status = 200 if object_reply.found else 404
                return SendReply(connection, status, headers, object_reply.body.encode())
            case ("GET", ["machines"]):
                zone = request.query.get("zone", "")
                machines = self.model.machines(time.monotonic(), zone)
                return json_reply(connection, 200, MachinesAnswer(machines))
            case ("GET", ["weights"]):
                size = float(request.query.get("bytes", "0") or "0")
                wait_s = self.model.weight_wait_s(size, time.monotonic())
                return json_reply(connection, 200, {"seconds": wait_s})
            case _:
                problem = PipelineError(404, "unknown_path", request.path, "path")
                return problem_reply(connection, problem)
