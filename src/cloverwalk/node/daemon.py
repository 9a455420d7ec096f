"""The daemon around a node: one curio loop that feeds events in and carries orders out."""

import time
import traceback
from collections import deque
from random import Random, SystemRandom
from typing import Any

import curio

from cloverwalk.config.settings import NodeSettings
from cloverwalk.core import catalogue
from cloverwalk.core import events as ev
from cloverwalk.core.constants import TICK_S
from cloverwalk.core.peer_messages import Envelope
from cloverwalk.core.signals import SignalEvent
from cloverwalk.engine.client import EngineClient
from cloverwalk.http.server import HttpServer
from cloverwalk.node.logs import EventLog
from cloverwalk.node.node import Node
from cloverwalk.peer.transport import PeerTransport
from cloverwalk.tableservice.client import PlatformClient

LOAD_POLL_S = 0.25
HELLO_EVERY_S = 1.0
FLUSH_TIMEOUT_S = 5.0
FLUSH_POLL_S = 0.01

EngineInstruction = ev.StartWork | ev.StopWork | ev.AdoptEngine | ev.LoadModel | ev.QueryEngine


class NodeDaemon:
    """One node as a process, or as one of several in a process."""

    def __init__(self, settings: NodeSettings, quiet: bool = False) -> None:
        self.settings = settings
        self.log = EventLog(settings.node_id, quiet)
        self.http = HttpServer(
            settings.http, settings.host, settings.http_port, self._on_http_request
        )
        self.peers = PeerTransport(
            settings.node_id,
            settings.host,
            settings.peer_port,
            self._on_peer_message,
            self._on_peer_unreachable,
            self._on_bad_message,
        )
        self.platform = PlatformClient(settings.platform, self.dispatch)
        wall_offset_s = time.time() - time.monotonic()
        random = Random(SystemRandom().getrandbits(128))
        self.node = Node(settings, random, time.monotonic(), wall_offset_s)
        self.node.context.address = self.peers.address
        self._engines: dict[str, EngineClient] = {}
        self._instructions: deque[ev.Instruction] = deque()
        self._is_carrying_out = False
        self._stop = SignalEvent()
        self._stopped = curio.Event()

    @property
    def http_address(self) -> str:
        """Where callers connect."""
        return f"{self.settings.host}:{self.http.port}"

    # --- life ---

    def request_stop(self) -> None:
        """Begin a planned stop; safe to call from a signal handler."""
        self._stop.set()

    async def run(self) -> None:
        """Serve until a planned stop is complete."""
        async with curio.TaskGroup(wait=None) as tasks:
            for loop in (
                self.http.serve,
                self.peers.serve,
                self._tick_loop,
                self._hello_loop,
                self._engine_loop,
                self._await_stop,
            ):
                await tasks.spawn(self._guard, loop)
            await self._stopped.wait()
            # The node is done, but its last answers may still be on their way out.
            async with curio.ignore_after(FLUSH_TIMEOUT_S):
                while self.http.answering_count:
                    await curio.sleep(FLUSH_POLL_S)

    async def _guard(self, loop: Any) -> None:
        try:
            await loop()
        except curio.CancelledError:
            raise
        except Exception as error:
            self._report(error)
            await self._stopped.set()

    def _report(self, error: Exception) -> None:
        where = traceback.format_exc(limit=-3)
        fields: dict[str, str | int | float | bool] = {"error": repr(error), "where": where}
        self.log.write(ev.WriteLog(catalogue.UNEXPECTED, fields))

    async def _await_stop(self) -> None:
        await self._stop.wait()
        self.http.is_closing = True
        await self.dispatch(ev.StopRequested())

    async def _tick_loop(self) -> None:
        while True:
            await self.dispatch(ev.Tick())
            await curio.sleep(TICK_S)

    async def _hello_loop(self) -> None:
        """Greet the peers of the settings that are not known yet."""
        while True:
            known = {one.address for one in self.node.context.membership.known()}
            for address in self.settings.peers:
                if address not in known and address != self.peers.address:
                    await self.peers.send("", address, self.node.hello())
            await curio.sleep(HELLO_EVERY_S)

    async def _engine_loop(self) -> None:
        """Read load reports and cache events of the owned replicas."""
        after: dict[str, int] = {}
        while True:
            await curio.sleep(LOAD_POLL_S)
            for engine in list(self._engines.values()):
                await engine.end_silent_streams()
            for replica in list(self.node.replicas.owned):
                client = self._engine(replica)
                if client is not None:
                    await curio.spawn(client.read_load(), daemon=True)
                    await curio.spawn(self._read_cache(client, after), daemon=True)

    async def _read_cache(self, engine: EngineClient, after: dict[str, int]) -> None:
        last = after.get(engine.replica, 0)
        for event in await engine.read_cache_events(last):
            after[engine.replica] = max(after.get(engine.replica, 0), event.number)
            await self.dispatch(
                ev.CacheChanged(engine.replica, event.number, event.added, event.removed)
            )

    # --- events in ---

    async def _on_http_request(self, request: ev.HttpRequest) -> None:
        await self.dispatch(ev.ClientRequest(request))

    async def _on_peer_message(self, envelope: Envelope) -> None:
        event = ev.PeerReceived(envelope.sender, envelope.address, envelope.message)
        await self.dispatch(event)

    async def _on_peer_unreachable(self, node: str) -> None:
        await self.dispatch(ev.PeerUnreachable(node))

    async def _on_bad_message(self, problem: str) -> None:
        self.log.write(ev.WriteLog(catalogue.BAD_PEER_MESSAGE, {"problem": problem[:500]}))

    async def dispatch(self, event: ev.Event) -> None:
        """Feed an event to the node and carry out its instructions."""
        try:
            instructions = self.node.handle(event, time.monotonic())
        except Exception as error:  # one bad event must not end the node
            self._report(error)
            instructions = self.node.take_outbox()
        # Carrying out may let other tasks run; the queue keeps the order of events.
        self._instructions.extend(instructions)
        if self._is_carrying_out:
            return
        self._is_carrying_out = True
        try:
            while self._instructions:
                await self._carry_out(self._instructions.popleft())
        finally:
            self._is_carrying_out = False

    # --- instructions out ---

    def _engine(self, replica: str) -> EngineClient | None:
        machine = self.node.machines.find(replica)
        if machine is None:
            return self._engines.get(replica)
        engine = self._engines.get(replica)
        if engine is None or engine.address != machine.address:
            engine = EngineClient(replica, machine.address, self.dispatch)
            self._engines[replica] = engine
        return engine

    async def _carry_out(self, instruction: ev.Instruction) -> None:
        match instruction:
            case ev.SendReply() | ev.BeginStream() | ev.StreamData() | ev.EndStream():
                await self.http.push(instruction)
            case ev.SendToPeer():
                await self.peers.send(instruction.node, instruction.address, instruction.message)
            case ev.WriteLog():
                self.log.write(instruction)
            case ev.Stopped():
                await self._stopped.set()
            case (
                ev.StartWork()
                | ev.StopWork()
                | ev.AdoptEngine()
                | ev.LoadModel()
                | ev.QueryEngine()
            ):
                await self._to_engine(instruction)
            case _:
                await self._to_platform(instruction)

    async def _to_platform(self, instruction: ev.Instruction) -> None:
        match instruction:
            case ev.CommitToStore():
                await curio.spawn(self.platform.commit(instruction), daemon=True)
            case ev.ReadStore():
                await curio.spawn(self.platform.read(instruction), daemon=True)
            case ev.PutObject():
                await curio.spawn(self.platform.put_object(instruction), daemon=True)
            case ev.GetObject():
                await curio.spawn(self.platform.get_object(instruction), daemon=True)
            case ev.ListMachines():
                await curio.spawn(self.platform.list_machines(instruction), daemon=True)

    async def _to_engine(self, instruction: EngineInstruction) -> None:
        engine = self._engine(instruction.replica)
        if engine is None:
            await self._no_engine(instruction)
            return
        match instruction:
            case ev.StartWork():
                await curio.spawn(engine.start(instruction), daemon=True)
            case ev.StopWork():
                await curio.spawn(engine.stop(instruction), daemon=True)
            case ev.AdoptEngine():
                await curio.spawn(engine.adopt(instruction), daemon=True)
            case ev.LoadModel():
                await curio.spawn(engine.load(instruction), daemon=True)
            case ev.QueryEngine():
                await curio.spawn(engine.query(instruction), daemon=True)

    async def _no_engine(self, instruction: EngineInstruction) -> None:
        if isinstance(instruction, ev.StartWork):
            work = instruction.work
            event = ev.EngineRefused(
                instruction.replica, work.request_id, work.attempt, "unreachable"
            )
            await self.dispatch(event)
