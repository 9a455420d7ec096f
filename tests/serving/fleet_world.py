"""Real serving nodes, replicas and a store on loopback, in one event loop."""

import contextlib
import itertools
import json
import os
import socket
from base64 import b64encode
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import curio
import h11
from msgspec import Struct

from cloverwalk.core.kernel import run_until_ended
from cloverwalk.emulator.platform_replica import PlatformReplica
from cloverwalk.emulator.platform_store_server import PlatformStoreServer
from cloverwalk.platform import names
from cloverwalk.platform.adapter import PlatformAdapter
from cloverwalk.scheduling.quotas import QuotaBounds
from cloverwalk.serving.node import ServingNode
from cloverwalk.serving.settings import MachineLimits, ServingSettings

WAIT_TIMEOUT_S = 10.0
HOST = "site.example"
NODE_HOSTS = ("127.0.0.2", "127.0.0.3", "127.0.0.4")
FIRST_PORT = 20_000
LAST_PORT = 32_000
_PORTS = itertools.cycle(range(FIRST_PORT + os.getpid() % 100 * 100, LAST_PORT))


def free_port() -> int:
    """Return an unused port, below the range of outgoing connections."""
    while True:
        port = next(_PORTS)
        if _is_free(port):
            return port


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        for host in ("127.0.0.1", *NODE_HOSTS):
            with contextlib.closing(socket.socket(socket.AF_INET, kind)) as sock:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    sock.bind((host, port))
                except OSError:
                    return False
    return True


class Answer(Struct):
    """An answer as the client got it."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool

    def event_ids(self) -> list[int]:
        lines = self.body.decode().split("\n")
        return [int(line[4:]) for line in lines if line.startswith("id: ")]


def route(name: str, prefix: str, kind: str, **more: Any) -> dict[str, Any]:
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "route_kind": kind,
        "timeout_ms": 3000,
        "target_latency_ms": 200,
        "service": "model",
        "max_attempts": 3,
        **more,
    }


def configuration(
    version: int,
    routes: list[dict[str, Any]] | None = None,
    tenants: list[dict[str, Any]] | None = None,
) -> dict[str, Any]:
    default = [
        route("chat", "/chat/", "streaming", resumable=True),
        route("once", "/once/", "streaming", resumable=False, max_attempts=1),
        route("safe", "/safe/", "safe"),
        route("jobs", "/jobs/", "batch", completion_target_ms=20000, retention_s=60),
        route("soon", "/soon/", "batch", completion_target_ms=8000, retention_s=60),
    ]
    return {
        "version": version,
        "routes": default if routes is None else routes,
        "services": [{"name": "model", "engine": {"slots": 8}}],
        "limits": {
            "max_header_bytes": 4096,
            "max_body_bytes": 200000,
            "header_timeout_ms": 500,
            "idle_timeout_ms": 5000,
        },
        **({} if tenants is None else {"tenants": tenants}),
    }


class FleetWorld:
    """A fleet that a test starts and disturbs."""

    def __init__(self) -> None:
        self.store = PlatformStoreServer(("127.0.0.1", free_port()))
        self.store_port = self.store.server._sock._socket.getsockname()[1]
        self.replicas: list[PlatformReplica] = []
        self.nodes: list[ServingNode] = []
        self.tasks: list[Any] = []
        self.node_tasks: list[Any] = []
        self._ports = [free_port() for _ in range(4)]
        self._requests = 0
        self.log_path = ""
        """File for the logs of nodes; empty for none."""

        self.scarce_memory_bytes = 0
        """Memory of each node's machine; 0 if it is not scarce."""

        self.configuration_apply_s = 60.0
        """Long, so that delays on a busy machine do not leave the configuration unconfirmed."""

        self.region_by_zone: dict[str, str] = {}
        """Zones to which nodes are assigned in turn; if empty, all nodes are in zone z1."""

    async def start(self, replicas: int = 2, nodes: int = 1, **replica_options: Any) -> None:
        await self.spawn(self.store.run)
        self.store.put(names.OPERATOR_TABLE, names.CONFIGURATION_KEY, configuration(1))
        for _ in range(replicas):
            await self.add_replica(**replica_options)
        for _ in range(nodes):
            await self.add_node()
        await self.wait_until(lambda: all(node.is_ready for node in self.nodes))

    async def spawn(self, call: Callable[..., Awaitable[Any]], *args: Any) -> None:
        self.tasks.append(await curio.spawn(call, *args, daemon=True))

    async def add_replica(self, **options: Any) -> PlatformReplica:
        name = f"i-{len(self.replicas)}"
        replica = PlatformReplica(name, ("127.0.0.1", free_port()), **options)
        self.replicas.append(replica)
        await self.spawn(replica.run)
        self.store.put(names.REPLICA_TABLE, name, replica.document("model", "z1"))
        return replica

    async def add_node(self) -> ServingNode:
        number = len(self.nodes) + 1
        host = NODE_HOSTS[number - 1]
        client, ready, peer, metrics = self._ports
        zones = list(self.region_by_zone) or ["z1"]
        settings = ServingSettings(
            f"n{number}",
            zones[(number - 1) % len(zones)],
            (host, client),
            (host, ready),
            (host, peer),
            (host, metrics),
            ("127.0.0.2",),
            f"127.0.0.1:{self.store_port}",
            4.0,
            4000,
            120.0,
            quota_bounds=QuotaBounds(slack=20.0),
            machine=MachineLimits(self.scarce_memory_bytes),
            is_memory_scarce=self.scarce_memory_bytes > 0,
            configuration_apply_s=self.configuration_apply_s,
            region_by_zone=self.region_by_zone,
        )
        descriptor = os.open(self.log_path or os.devnull, os.O_WRONLY | os.O_APPEND)
        node = ServingNode(PlatformAdapter(), settings, descriptor)
        self.nodes.append(node)
        task = await curio.spawn(node.run, daemon=True)
        self.node_tasks.append(task)
        return node

    def coordinator(self) -> ServingNode | None:
        """Return the coordinator, or None if there is none."""
        return next((node for node in self.nodes if node._fleet.coordinator.is_active), None)

    def coordinator_registry(self) -> list[str]:
        """Return the names of the nodes that reported to the coordinator."""
        node = self.coordinator()
        return [] if node is None else sorted(node._fleet.coordinator.registry.by_name)

    async def kill_node(self, index: int) -> None:
        """Kill a node: nothing is handed over or reported."""
        await self.node_tasks[index].cancel()
        for server in (self.nodes[index]._clients, self.nodes[index]._ready):
            await server._sock.close()
        await self.nodes[index]._fleet.transport.close()

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        async with curio.timeout_after(WAIT_TIMEOUT_S):
            while not condition():
                await curio.sleep(0.01)

    async def close(self) -> None:
        for task in [*self.node_tasks, *self.tasks]:
            await task.cancel()

    # --- calls ---

    def new_id(self) -> str:
        self._requests += 1
        return f"req{self._requests:04d}"

    async def connect(self, node: int = 0) -> Any:
        host, port = self.nodes[node]._settings.client_address
        return await curio.open_connection(host, port)

    async def call(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        headers: list[tuple[str, str]] | None = None,
        node: int = 0,
        address: tuple[str, int] | None = None,
    ) -> Answer:
        all_headers = [("Host", HOST), *(headers or [])]
        all_headers.append(("Content-Length", str(len(body))))
        http = h11.Connection(h11.CLIENT)
        data = http.send(h11.Request(method=method, target=target, headers=all_headers)) or b""
        if body:
            data += http.send(h11.Data(data=body)) or b""
        data += http.send(h11.EndOfMessage()) or b""
        host, port = address or self.nodes[node]._settings.client_address
        sock = await curio.open_connection(host, port)
        try:
            async with curio.timeout_after(WAIT_TIMEOUT_S):
                await sock.sendall(data)
                return await read_answer(sock, http)
        finally:
            await sock.close()

    async def ask(
        self,
        path: str,
        request_id: str = "",
        deadline_ms: int = 3000,
        key: str = "",
        **more: Any,
    ) -> Answer:
        headers = [
            (names.REQUEST_ID.decode(), request_id or self.new_id()),
            (names.DEADLINE_MS.decode(), str(deadline_ms)),
            *with_key(key),
        ]
        return await self.call("POST", path, b"prompt", headers, **more)

    async def submit_job(
        self, job_id: str, count: int = 3, node: int = 0, path: str = "/jobs/x", key: str = ""
    ) -> Answer:
        return await self.call(
            "POST",
            path,
            job_body(job_id, count),
            [(names.REQUEST_ID.decode(), job_id), *with_key(key)],
            node,
        )

    async def read_job(self, job_id: str, position: int = 0, node: int = 0, key: str = "") -> Any:
        target = f"{names.JOB_PREFIX}{job_id}?since_revision={position}"
        answer = await self.call("GET", target, headers=with_key(key), node=node)
        assert answer.status == 200, answer
        return json.loads(answer.body)

    async def until_done(self, job_id: str, count: int, node: int = 0, key: str = "") -> list[Any]:
        async with curio.timeout_after(2 * WAIT_TIMEOUT_S):
            while True:
                page = await self.read_job(job_id, node=node, key=key)
                if len(page["results"]) >= count:
                    return list(page["results"])
                await curio.sleep(0.05)


def with_key(key: str) -> list[tuple[str, str]]:
    return [(names.AUTHORIZATION.decode(), f"Bearer {key}")] if key else []


def job_body(job_id: str, count: int) -> bytes:
    requests = [
        {
            "id": f"{job_id}-{number}",
            "path": f"/jobs/{number}",
            "headers": {"X-Other": "kept"},
            "body": b64encode(b"item %d" % number).decode(),
            "tokens": 10,
        }
        for number in range(count)
    ]
    return json.dumps({"requests": requests}).encode()


async def read_answer(sock: Any, http: h11.Connection) -> Answer:
    status, body = 0, b""
    headers: dict[str, str] = {}
    while True:
        try:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await sock.recv(65536))
                continue
        except (OSError, h11.RemoteProtocolError):
            return Answer(status, headers, body, False)
        if isinstance(event, h11.Response):
            status = event.status_code
            headers = {n.decode().lower(): v.decode() for n, v in event.headers}
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            return Answer(status, headers, body, True)
        else:
            return Answer(status, headers, body, False)


World = TypeVar("World", bound=FleetWorld)


def in_world(
    test: Callable[[World], Awaitable[None]],
    new_world: type[World] = FleetWorld,  # type: ignore[assignment]
) -> None:
    """Run a test in a new world and clean up."""

    async def main() -> None:
        world = new_world()
        try:
            await test(world)
        finally:
            await world.close()

    run_until_ended(main)
