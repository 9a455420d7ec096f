"""HTTP server of an emulated metadata store, which keeps its rows in a ``MemoryStore``."""

import json
import time
from collections.abc import Callable
from random import Random
from typing import Any

import curio

from cloverwalk.emulator.memory_store import MemoryStore
from cloverwalk.emulator.platform_store_calls import PlatformStoreCalls
from cloverwalk.gateway.configuration import ClientLimits
from cloverwalk.gateway.errors import ClientGoneError
from cloverwalk.gateway.messages import ClientRequest
from cloverwalk.gateway.reply import Reply
from cloverwalk.gateway.server import GatewayServer
from cloverwalk.platform.codec import PlatformCodec
from cloverwalk.store.types import Put, RowKey, Transaction

MAX_CONNECTIONS = 512
LIMITS = ClientLimits(idle_timeout_s=60.0)


class PlatformStoreServer:
    """Serves the store. ``is_silent`` leaves all calls unanswered, ``is_busy`` answers 503."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.rows = MemoryStore()
        self._calls = PlatformStoreCalls(self.rows)
        self.is_silent = False
        self.is_busy = False
        self.lose_answers = 0
        """Number of next writes that are applied but not answered."""

        self.applied_error_status = 0
        """Error status with which writes are answered after they took effect; 0: normal answers."""

        self.write_delay_s = 0.0
        """Delay between a write taking effect and its answer."""

        self.delay_s = 0.0
        """Delay between a call and its effect."""

        self.answer_delay_s = 0.0
        """Delay between any call taking effect and its answer."""

        self.answer_spread_s = 0.0
        """Longest random delay between any call taking effect and its answer, so that answers
        overtake each other."""

        self.on_lost_answer: Callable[[list[str]], None] = lambda keys: None
        """Called with the keys of the rows that a write has put, if its answer is lost."""

        self.refuse_share = 0.0
        """Fraction of the calls that are answered with 503 and have no effect."""

        self.lose_share = 0.0
        """Fraction of the writes that are applied but not answered."""

        self.random = Random(0)
        self.calls = 0
        self.server = GatewayServer(
            address,
            PlatformCodec(),
            lambda: LIMITS,
            self._handle_request,
            lambda error: None,
            time.monotonic,
            MAX_CONNECTIONS,
        )

    async def run(self) -> None:
        """Serve until cancelled."""
        await self.server.serve()

    def put(self, table: str, key: str, document: Any) -> int:
        """Write a document, as an operator or a replica does; return its version."""
        put = Put(RowKey(table, "", key), json.dumps(document).encode())
        return self.rows.apply(Transaction(puts=[put])).version

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        self.rows.apply(Transaction(removals=[RowKey(table, "", key)]))

    async def _handle_request(self, request: ClientRequest, reply: Reply) -> None:
        self.calls += 1
        self.rows.now_ms = time.monotonic() * 1000
        if self.is_silent:
            await curio.sleep(3600)
        if self.is_busy or self.random.random() < self.refuse_share:
            await reply.respond(503, [], b"")
            return
        if self.delay_s > 0:
            await curio.sleep(self.delay_s)
        status, document = await self._calls.answer(request.method, request.target, request.body)
        if request.method == "POST" and self._loses_answer():
            if status == 200:
                puts = json.loads(request.body)["put"]
                self.on_lost_answer([entry["key"] for entry in puts])
            raise ClientGoneError("the answer is lost")
        if request.method == "POST" and self.applied_error_status:
            await reply.respond(self.applied_error_status, [], b"")
            return
        if request.method == "POST" and self.write_delay_s > 0:
            await curio.sleep(self.write_delay_s)
        answer_delay_s = self.answer_delay_s + self.answer_spread_s * self.random.random()
        if answer_delay_s > 0:
            await curio.sleep(answer_delay_s)
        body = json.dumps(document).encode()
        await reply.respond(status, [(b"Content-Type", b"application/json")], body)

    def _loses_answer(self) -> bool:
        if self.lose_answers > 0:
            self.lose_answers -= 1
            return True
        return self.random.random() < self.lose_share
