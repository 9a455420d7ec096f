"""Stand-ins of the platform's store, of replicas and of clients, and nodes as processes.

Standard library only. Everything listens on loopback addresses and on free ports. The store and
the replicas run in the process of the case; nodes are started with the command of the deploy file.
"""

import asyncio
import base64
import bisect
import json
import os
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[1]
FEED_INTERVAL_S = 0.005
LIMIT_S = 115.0
NODE_ADDRESSES = [f"127.0.2.{number}" for number in range(1, 8)]
CLOSED = (ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError)
ENDED = (*CLOSED, asyncio.CancelledError)


class Record:
    """What was sent, answered and run, in the order of the events; written to ``record.txt``."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._began_at = time.monotonic()

    def write(self, text):
        self._file.write(f"{time.monotonic() - self._began_at:8.3f} s  {text}\n")
        self._file.flush()


class Head:
    """Start line and headers of a message."""

    def __init__(self, start, headers):
        self.start = start
        self.headers = headers

    def get(self, name, default=None):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    """Return the head of the next message; raise IncompleteReadError at the end."""
    block = await reader.readuntil(b"\r\n\r\n")
    lines = block.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return Head(lines[0], headers)


async def read_body(reader, head):
    """Return the body of a message with a length or in chunks."""
    if head.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
        return b"".join(parts)
    return await reader.readexactly(int(head.get("content-length", "0")))


def message(start, headers, body=b""):
    lines = [start, *(f"{name}: {value}" for name, value in headers)]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def _close(writer):
    """Close a connection, also while the program ends."""
    try:
        writer.close()
    except RuntimeError:
        return


# --- the platform's store ---


class Store:
    """The metadata store: rows with versions from one counter, transactions, reads and feeds."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.log = []
        self.address = ""
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=8 << 20)
        self.address = "127.0.0.1:%d" % self._server.sockets[0].getsockname()[1]

    async def put(self, table, key, document):
        value = base64.b64encode(json.dumps(document).encode()).decode()
        await self._apply([(table, "", key, value)], [])

    async def remove(self, table, key):
        await self._apply([], [(table, "", key)])

    async def _apply(self, puts, removals):
        self.version += 1
        for table, part, key, value in puts:
            self.rows[table, part, key] = (value, self.version)
            self.log.append((self.version, table, part, key, value))
        for table, part, key in removals:
            if self.rows.pop((table, part, key), None) is not None:
                self.log.append((self.version, table, part, key, None))

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                body = await read_body(reader, head)
                method, target, _ = head.start.split(" ", 2)
                status, document = await self._answer(method, target, body)
                document.setdefault("ver", self.version)
                document["now_ms"] = time.monotonic() * 1000
                data = json.dumps(document).encode()
                headers = [("Content-Type", "application/json"), ("Content-Length", len(data))]
                writer.write(message(f"HTTP/1.1 {status} OK", headers, data))
                await writer.drain()
        except ENDED:
            pass
        finally:
            _close(writer)

    async def _answer(self, method, target, body):
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        await asyncio.sleep(0.003)
        if url.path == "/api/rows-tx":
            return await self._transaction(json.loads(body))
        if url.path == "/api/rows-get":
            return self._read(query)
        if url.path == "/api/rows-parts":
            return 200, self._parts(query)
        if url.path == "/api/rows-feed":
            return await self._feed(query)
        return 404, {}

    async def _transaction(self, wire):
        expected = wire.get("expected_revision", [])
        current = [self._row(_key(entry)) for entry in expected]
        if any(row["ver"] != entry["ver"] for row, entry in zip(current, expected)):
            return 412, {"rows": current}
        puts = [(*_key(entry), entry["value"]) for entry in wire.get("put", [])]
        await self._apply(puts, [_key(entry) for entry in wire.get("remove", [])])
        return 200, {"ver": self.version}

    def _row(self, key):
        value, version = self.rows.get(key, (None, 0))
        return {"table": key[0], "part": key[1], "key": key[2], "value": value, "ver": version}

    def _read(self, query):
        table, part = query["table"], query.get("part", "")
        start, end = query.get("from", ""), query.get("target_version")
        keys = sorted(
            key
            for key in self.rows
            if key[:2] == (table, part) and key[2] >= start and (end is None or key[2] < end)
        )
        limit = min(500, int(query.get("limit", "500")))
        return 200, {"rows": [self._row(key) for key in keys[:limit]], "more": len(keys) > limit}

    def _parts(self, query):
        parts = sorted({key[1] for key in self.rows if key[0] == query["table"]})
        after = query.get("since_revision")
        return {"parts": [part for part in parts if after is None or part > after], "more": False}

    async def _feed(self, query):
        table, since = query["table"], int(query["since_revision"])
        deadline = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while not (rows := self._changes(table, since)) and time.monotonic() < deadline:
            await asyncio.sleep(FEED_INTERVAL_S)
        return 200, {
            "rows": [
                {"table": table, "part": part, "key": key, "value": value, "ver": version}
                | ({"gone": True} if value is None else {})
                for version, table, part, key, value in rows
            ],
            "ver": self.version,
        }

    def _changes(self, table, since):
        start = bisect.bisect_right(self.log, since, key=lambda entry: entry[0])
        return [entry for entry in self.log[start:] if entry[1] == table]


def _key(entry):
    return entry["table"], entry.get("part", ""), entry["key"]


# --- replicas ---


class Run:
    """One request that a replica has begun to run."""

    def __init__(self, request_id, after, replica):
        self.request_id = request_id
        self.after = after
        self.replica = replica
        self.began_at = time.monotonic()
        self.events = 0
        self.end = ""


class Replica:
    """A replica: streams events of its service's text, and keeps its entry in the store."""

    SLOTS = 16

    def __init__(self, store, record, replica_id, service, version, zone="z1"):
        self.store, self.record = store, record
        self.replica_id, self.service, self.version, self.zone = replica_id, service, version, zone
        self.state = "ready"
        self.runs = []
        self.arrivals = []
        self.events, self.interval_s = 20, 0.1
        self.failing = {}
        """Delay in seconds before the status of a failure, by request id: (status, delay)."""

        self.born = int(time.time() * 1000)
        self._seq = 0
        self._beat = None
        self._server = None
        self._writers = set()
        self.address = ""

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=8 << 20)
        self.address = "127.0.0.1:%d" % self._server.sockets[0].getsockname()[1]
        await self.write_entry()
        self._beat = asyncio.create_task(self._write_entries())

    async def _write_entries(self):
        while True:
            await asyncio.sleep(1.2)
            await self.write_entry()

    async def write_entry(self):
        self._seq += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.SLOTS,
            "state": self.state,
            "cold_left_ms": 0,
            "seq": self._seq,
            "born": self.born,
        }
        await self.store.put("servers", self.replica_id, entry)

    async def stop(self):
        self._beat.cancel()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def text(self, number):
        """Return the data of an event: what it says depends on the service and the version."""
        return f"{self.service} {self.version} says {number}"

    def events_of(self, request_id):
        """Return how many events the answer to a request has."""
        return self.events

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                body = await read_body(reader, head)
                if not await self._handle(head, body, reader, writer):
                    break
        except ENDED:
            pass
        finally:
            self._writers.discard(writer)
            _close(writer)

    def _headers(self, request_id):
        return [
            ("X-Cloverwalk-Request-Id", request_id),
            ("X-Cloverwalk-Response-Signature", f"sig.{self.replica_id}.{request_id}"),
            ("X-Cloverwalk-Weight-Versions", "1"),
            ("X-Cloverwalk-Server-Load", f"{len(self.runs) and 1},0,{self.SLOTS}"),
        ]

    async def _handle(self, head, body, reader, writer):
        request_id = head.get("X-Cloverwalk-Request-Id", "")
        expected = head.get("X-Cloverwalk-Expect-Instance")
        if expected not in (None, self.replica_id):
            headers = [("X-Cloverwalk-Instance-Id", self.replica_id), ("Content-Length", 0)]
            headers.append(("X-Cloverwalk-Not-Executed", 1))
            writer.write(message("HTTP/1.1 421 Misdirected Request", headers))
            return True
        after = head.get("Last-Event-Id")
        self.record.write(
            f"{self.replica_id} ({self.service} {self.version}) begins {request_id}"
            + (f" after event {after}" if after is not None else "")
        )
        run = Run(request_id, None if after is None else int(after), self)
        self.runs.append(run)
        if request_id in self.failing:
            return await self._fail(run, reader, writer)
        return await self._stream(run, reader, writer)

    def _is_dropped(self, run, reader, writer):
        """Drop a run whose sender has closed the connection."""
        if not (reader.at_eof() or writer.transport.is_closing()):
            return False
        run.end = "closed by its sender"
        self.record.write(f"{self.replica_id} drops {run.request_id}: its sender has closed")
        return True

    async def _fail(self, run, reader, writer):
        status, delay_s = self.failing[run.request_id]
        ends_at = time.monotonic() + delay_s
        while time.monotonic() < ends_at:
            await asyncio.sleep(0.02)
            if self._is_dropped(run, reader, writer):
                return False
        run.end = str(status)
        headers = [*self._headers(run.request_id), ("Content-Length", 0)]
        writer.write(message(f"HTTP/1.1 {status} Failed", headers))
        await writer.drain()
        self.record.write(f"{self.replica_id} answers {run.request_id} with {status}")
        return True

    async def _stream(self, run, reader, writer):
        headers = [
            *self._headers(run.request_id),
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked"),
        ]
        writer.write(message("HTTP/1.1 200 OK", headers))
        first = 1 if run.after is None else run.after + 1
        for number in range(first, self.events_of(run.request_id) + 1):
            if number > first:
                await asyncio.sleep(self.interval_s)
            if self._is_dropped(run, reader, writer):
                return False
            event = f"id: {number}\ndata: {self.text(number)}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            run.events += 1
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        run.end = "whole"
        self.record.write(f"{self.replica_id} ends {run.request_id}, whole")
        return True


# --- nodes ---


def free_ports(count):
    """Return ports that are free on all addresses of nodes."""
    held, ports = [], []
    while len(ports) < count:
        first = _bound(NODE_ADDRESSES[0], 0)
        port = first.getsockname()[1]
        held.append(first)
        try:
            held += [_bound(address, port) for address in NODE_ADDRESSES[1:]]
        except OSError:
            continue
        ports.append(port)
    for one in held:
        one.close()
    return ports


def _bound(address, port):
    """Return a socket that is bound to a port."""
    one = socket.socket()
    try:
        one.bind((address, port))
    except OSError:
        one.close()
        raise
    return one


class Node:
    """A serving node as a process, started with the command of the deploy file."""

    def __init__(self, number, ports, store_address, folder, count, bounds=None):
        self.name = f"front-z1-{number + 1}"
        self.ip = NODE_ADDRESSES[number]
        self.front = (self.ip, ports[0])
        self.ready = (self.ip, ports[1])
        self.folder = folder
        self._settings = folder / f"{self.name}.toml"
        self._log = folder / f"{self.name}.log"
        seeds = json.dumps([f"{one}:{ports[2]}" for one in NODE_ADDRESSES[: min(3, count)]])
        lines = [
            f'node = "{self.name}"',
            'role = "node"',
            'machine_class = "front"',
            'serves = ["front","control"]',
            f'ip = "{self.ip}"',
            'zone = "z1"',
            'region = "r1"',
            f"ephemeral_ports = [{ports[3]},{ports[4]}]",
            f"seeds = {seeds}",
            "bootstrap = true",
            'discovery = "platform"',
            'entry = "vip"',
            "heartbeat_ms = 1200",
            'contracts = ["base","drain","config","cost","recover","batch","stream","engine",'
            '"platform"]',
            "[zones]",
            'z1 = "r1"',
            "[listen]",
            f'front = "{self.ip}:{ports[0]}"',
            f'ready = "{self.ip}:{ports[1]}"',
            f'control = "{self.ip}:{ports[2]}"',
            "[limits]",
            "cpu_share = 0.717",
            "cpu_cores = 3",
            "memory_mb = 330",
            "max_fds = 8200",
            "link_mbps = 1000.0",
            "[tolerate]",
            "machines = 1",
            "zones = 0",
            "regions = 0",
            "[bounds]",
            "contact_ms = 3000",
            "drain_ms = 2000",
            "grace_s = 8",
            "config_apply_ms = 2000",
            "finish_s = 18",
            "status_s = 120",
            "cancel_ms = 3000",
            "settle_ms = 1000",
            "quota_overshoot = 0.1",
            "[platform]",
            f'address = "{store_address}"',
            'form = "table"',
            "row_bytes = 65536",
        ]
        self._settings.write_text("\n".join(lines) + "\n")
        self.process = None

    def start(self):
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = shlex.split(deploy["roles"]["node"]["run"])
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "CLOVERWALK_CONFIG": str(self._settings),
        }
        with open(self._log, "ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def change_seeds(self, seeds):
        """Write the settings file anew, with other seeds."""
        lines = self._settings.read_text().split("\n")
        lines = [f"seeds = {seeds}" if line.startswith("seeds = ") else line for line in lines]
        self._settings.write_text("\n".join(lines))

    def signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    async def wait_ended(self, timeout_s):
        """Return the exit code once the process has ended, None if it runs on."""
        deadline = time.monotonic() + timeout_s
        while self.process.poll() is None and time.monotonic() < deadline:
            await asyncio.sleep(0.02)
        return self.process.poll()

    async def is_ready(self):
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(*self.ready)
                writer.write(message("GET /api/ready HTTP/1.1", [("Host", "ready")]))
                head = await read_head(reader)
                writer.close()
        except (OSError, TimeoutError, *CLOSED):
            return False
        return head.start.split(" ")[1] == "200"

    async def wait_ready(self, timeout_s=20.0):
        deadline = time.monotonic() + timeout_s
        while not await self.is_ready():
            if time.monotonic() > deadline:
                raise RuntimeError(f"{self.name} is not ready after {timeout_s} s")
            await asyncio.sleep(0.05)


# --- clients ---


class Answer:
    """What a client got of one attempt."""

    def __init__(self):
        self.status = None
        self.headers = {}
        self.events = []
        """Ids and data of whole events."""

        self.is_whole = False
        self.body = b""


async def call(address, method, target, headers, body=b"", timeout_s=5.0, on_event=None):
    """Make one attempt on a new connection; return what came of its answer."""
    answer = Answer()
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address, limit=8 << 20)
            all_headers = [*headers, ("Content-Length", len(body))]
            writer.write(message(f"{method} {target} HTTP/1.1", all_headers, body))
            head = await read_head(reader)
            answer.status = int(head.start.split(" ")[1])
            answer.headers = head.headers
            if "event-stream" not in head.get("content-type", ""):
                answer.body = await read_body(reader, head)
                answer.is_whole = True
                return answer
            await _read_events(reader, answer, on_event)
    except (OSError, TimeoutError, *CLOSED):
        pass
    finally:
        if writer is not None:
            writer.close()
    return answer


async def _read_events(reader, answer, on_event):
    rest = b""
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        rest += await reader.readexactly(size)
        await reader.readexactly(2)
        *blocks, rest = rest.split(b"\n\n")
        for block in blocks:
            fields = dict(line.split(": ", 1) for line in block.decode().split("\n"))
            answer.events.append((int(fields["id"]), fields["data"]))
            if on_event is not None:
                on_event(answer)
    await reader.readuntil(b"\r\n")
    answer.is_whole = not rest


# --- configuration and jobs ---

HOST = "quiz.example"


def configuration(version, routes, services):
    """Return a configuration as the operator writes it."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "max_connections": 370,
                "health_path": "/healthz",
                "engine": {"slots": Replica.SLOTS, "kv_cache_tokens": 153_000, "stride": 6},
            }
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15_000,
        },
    }


def request_headers(request_id, deadline_ms, last_event_id=None):
    """Return the headers of an attempt of a client."""
    headers = [
        ("Host", HOST),
        ("X-Cloverwalk-Request-Id", request_id),
        ("X-Cloverwalk-Model", "m"),
        ("X-Cloverwalk-Token-Usage", "200,96"),
        ("X-Cloverwalk-Prefix-Hash", f"5c1e07a2:100,{request_id[-8:]}:100"),
        ("X-Cloverwalk-Deadline-Ms", str(deadline_ms)),
    ]
    if last_event_id is not None:
        headers.append(("Last-Event-Id", str(last_event_id)))
    return headers


async def start_fleet(nodes, count, store, folder):
    """Start nodes and wait until all are ready and in touch."""
    ports = free_ports(5)
    for number in range(count):
        nodes.append(Node(number, ports, store.address, folder, count))
        nodes[-1].start()
    for node in nodes:
        await node.wait_ready()
    await asyncio.sleep(3.5)


# --- running a case ---


def run_case(folder, case):
    """Run ``case(record, folder of its settings, whether the disruption comes)``, then exit."""
    is_troubled = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(folder) / "record.txt")
    nodes = []
    code = 2
    watchdog = threading.Timer(LIMIT_S + 3.0, _give_up, [record, nodes])
    watchdog.daemon = True
    watchdog.start()
    with tempfile.TemporaryDirectory() as settings_folder:
        try:
            code = asyncio.run(_with_limit(case(record, Path(settings_folder), nodes, is_troubled)))
        except Exception as error:
            record.write(f"the case could not run: {error!r}")
            code = 2
        finally:
            for node in nodes:
                node.kill()
        if keep := os.environ.get("KEEP_LOGS"):
            for log in Path(settings_folder).glob("*.log"):
                (Path(keep) / log.name).write_bytes(log.read_bytes())
    outcome = {0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}[code]
    record.write(outcome)
    print(outcome)
    sys.exit(code)


def _give_up(record, nodes):
    """End a run that takes too long."""
    record.write("the case takes too long")
    for node in nodes:
        node.kill()
    os._exit(2)


async def _with_limit(coroutine):
    async with asyncio.timeout(LIMIT_S):
        return await coroutine


__all__ = [
    "HOST",
    "Node",
    "Record",
    "Replica",
    "Store",
    "call",
    "configuration",
    "free_ports",
    "message",
    "read_head",
    "request_headers",
    "run_case",
    "signal",
    "start_fleet",
]
