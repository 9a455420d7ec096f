"""A fleet of processes among odd rows in each table that it reads, and odd datagrams."""

import json
import socket
from collections import Counter
from typing import Any

import curio
import msgspec
from fleet_world import FleetWorld, configuration, in_world, job_body, route
from node_processes import NodeProcess, node_processes
from test_fleet_processes import NODES, ProcessFleet

from cloverwalk.core.catalogue import CATALOGUE
from cloverwalk.core.events import LogLevel
from cloverwalk.fleet.datagrams import MAX_DATAGRAM_BYTES
from cloverwalk.fleet.messages import (
    Datagram,
    DirectoryUpdate,
    StreamRecord,
    StreamVersionQuery,
    StreamVersions,
    encode_datagram,
)
from cloverwalk.gateway.replicas import Replica
from cloverwalk.jobs.records import PART_COUNT, job_key
from cloverwalk.platform import names
from cloverwalk.store.types import Put, RowKey, Transaction

NESTED = b"[" * 20_000 + b"]" * 20_000
DIGITS = b"1" + 400 * b"0"
LONG = b'"' + 60_000 * b"z" + b'"'
ODD_VALUES = {
    "nested": NESTED,
    "digits": DIGITS,
    "exponent": b"1e400",
    "nan": b"NaN",
    "long": LONG,
    "nul": b'"\\u0000"',
    "surrogate": b'"\\ud800"',
    "bytes": b'"\xff"',
    "null": b"null",
    "empty": b"",
}
FIELDS = ("service", "zone", "version", "address", "slots", "born")
LATE = "late"
JOB_ITEMS = 6
INVALID_EVENTS = {"replica_invalid", "case_invalid", "version_history_invalid", "job_row_invalid"}


class OddFleet:
    """A fleet, and the odd things that are put beside what it follows."""

    def __init__(self, world: FleetWorld, nodes: list[NodeProcess]) -> None:
        self.world = world
        self.nodes = nodes
        self.odd_keys: set[str] = set()

    def put(self, table: str, part: str, key: str, value: bytes) -> None:
        """Write a row with any content."""
        rows = self.world.store.rows
        rows.apply(Transaction(puts=[Put(RowKey(table, part, key), value)]))

    def put_odd(self, table: str, part: str, key: str, value: bytes) -> None:
        self.odd_keys.add(key)
        self.put(table, part, key, value)

    def put_odd_replicas(self, run: str) -> None:
        """Write odd entries among the replicas."""
        valid = json.loads(json.dumps(self.world.replicas[0].document("model", "z1")))
        for kind, odd in ODD_VALUES.items():
            self.put_odd(names.REPLICA_TABLE, "", f"{run}-{kind}", odd)
        for field in FIELDS:
            mark = json.dumps({**valid, field: "@"}).encode()
            for kind in ("nested", "digits", "long", "nul"):
                content = mark.replace(b'"@"', ODD_VALUES[kind])
                self.put_odd(names.REPLICA_TABLE, "", f"{run}-{field}-{kind}", content)
        content = json.dumps({**valid, "address": "127.0.0.1:99999999"}).encode()
        self.put_odd(names.REPLICA_TABLE, "", f"{run}-port", content)

    def put_odd_rows(self, run: str) -> None:
        """Write odd rows into the other tables."""
        for kind in ("nested", "digits", "long", "nul", "bytes"):
            odd, key = ODD_VALUES[kind], f"{run}-{kind}"
            for table in ("stream", "software", "crash", "role", "quota"):
                self.put(table, "", key, odd)
            job = job_key(key)
            self.put_odd(job.table, job.part, job.key, odd)
            for table in ("payload", "result", "partial"):
                for part in range(PART_COUNT):
                    self.put(table, f"{part:02x}", f"{key}/000000.000", odd)
        within = b'[[["s","v",1,%s]],%s]' % (NESTED, DIGITS)
        self.put("software", "", "versions", within)
        self.put("role", "", "coordinator", b'{"holder":["n","127.0.1.1","",%s]}' % NESTED)
        self.put(names.OPERATOR_TABLE, "", f"{names.ZONE_DRAIN_KEY_PREFIX}{150 * 'z'}", NESTED)

    def send_odd_datagrams(self) -> None:
        """Send odd datagrams to all nodes."""
        odd_replica = Replica("odd", "model", "127.0.0.1", 99_999_999, "z1", 8, False, 5)
        messages: list[Datagram] = [
            DirectoryUpdate(1, 2, 1, 0, [odd_replica]),
            DirectoryUpdate(
                1, 2, 1, 0, [msgspec.structs.replace(odd_replica, port=80, zone=9_000 * "z")]
            ),
            StreamVersions([StreamRecord(9_000 * "s", "model", "v", 2**63)]),
            StreamVersionQuery(["s"], "a\0b"),
            StreamVersionQuery(["s"], 300 * "a"),
        ]
        payloads = [encode_datagram(message).partition(b":")[2][:-1] for message in messages]
        for odd in ODD_VALUES.values():
            if len(odd) < MAX_DATAGRAM_BYTES:
                payloads += [odd, b'["stream_version_query",["a"],"",%s]' % odd]
                payloads.append(b'["configuration_status",1,2,%s]' % odd)
        payloads.append(b'["configuration_status",1,%s]' % DIGITS)
        payloads.append(b'["orders",[["n","127.0.1.1"],"a",%s],%s]' % (DIGITS, NESTED))
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            for node in self.nodes:
                for payload in payloads:
                    sock.sendto(b"%d:%s," % (len(payload), payload), node.peer_address)
                    sock.sendto(payload[:1000], node.peer_address)

    async def wait_until_all(self, is_served: bool) -> None:
        """Wait until all nodes serve the service of the late replica, or none does."""
        for node in self.nodes:
            async with curio.timeout_after(20.0):
                while (await self._status(node) == 200) != is_served:
                    await curio.sleep(0.05)

    async def _status(self, node: NodeProcess) -> int:
        answer = await self.world.ask("/late/x", deadline_ms=400, address=node.client_address)
        return answer.status

    def log_lines(self, node: NodeProcess) -> list[dict[str, Any]]:
        return [json.loads(line) for line in node.log_path.read_bytes().splitlines()]


# Guards against one row or datagram that ends a process, or keeps the list from being followed.
def test_every_node_follows_replicas_among_odd_rows_and_datagrams() -> None:
    async def test(world: FleetWorld) -> None:
        await world.spawn(world.store.run)
        routes = configuration(1)["routes"]
        late_route = {**route("late", "/late/", "safe"), "service": LATE}
        document = configuration(1, [*routes, late_route])
        world.store.put(names.OPERATOR_TABLE, names.CONFIGURATION_KEY, document)
        for _ in range(2):
            await world.add_replica(events=10, event_s=0.01)
        with node_processes(NODES, world.store_port, keeps_logs=True) as nodes:
            odd = OddFleet(world, nodes)
            fleet = ProcessFleet(world, nodes)
            for node in nodes:
                await fleet.wait_until_ready(node)
            for run in ("first", "second"):
                odd.put_odd_replicas(run)
                odd.put_odd_rows(run)
                odd.send_odd_datagrams()
                replica = await world.add_replica()
                entry = replica.document(LATE, "z1")
                world.store.put(names.REPLICA_TABLE, replica.replica_id, entry)
                await odd.wait_until_all(True)
                odd.send_odd_datagrams()
                world.store.remove(names.REPLICA_TABLE, replica.replica_id)
                await odd.wait_until_all(False)
                assert all(node.popen.poll() is None for node in nodes)
                if run == "first":
                    await complete_job_of_killed_node(odd, fleet)
            for node in nodes:
                assert await fleet.is_served(node)
            check_logs(odd)

    in_world(test)


async def complete_job_of_killed_node(odd: OddFleet, fleet: ProcessFleet) -> None:
    """Kill a node that owns a job. The job is completed, its next process reads all odd rows."""
    # The coordinator replaces an odd row of its role.
    role = odd.world.store.rows.values
    await odd.world.wait_until(lambda: NESTED not in role("role")["coordinator"])
    coordinator = await fleet.coordinator()
    owner, other = [node for node in odd.nodes if node is not coordinator][:2]
    headers = [(names.REQUEST_ID.decode(), "j")]
    body = job_body("j", JOB_ITEMS)
    accepted = await odd.world.call("POST", "/jobs/x", body, headers, address=owner.client_address)
    assert accepted.status == 202
    owner.restart()
    target = f"{names.JOB_PREFIX}j?since_revision=0"
    async with curio.timeout_after(20.0):
        while True:
            answer = await odd.world.call("GET", target, address=other.client_address)
            if answer.status == 200 and len(json.loads(answer.body)["results"]) == JOB_ITEMS:
                break
            await curio.sleep(0.1)
    await fleet.wait_until_ready(owner)


def is_drop(line: dict[str, Any]) -> bool:
    """Whether a line tells which lines were dropped."""
    return bool(line["event"] == "lines_dropped")


def check_logs(odd: OddFleet) -> None:
    seen: set[str] = set()
    for node in odd.nodes:
        lines = odd.log_lines(node)
        assert b"Traceback" not in node.errors_path.read_bytes()
        # The rate limit drops lines of the usual course only; problems have lines in reserve.
        dropped = {int(n) for line in lines for n in line.get("counts", {}) if is_drop(line)}
        assert all(CATALOGUE[number].level is LogLevel.INFO for number in dropped), dropped
        assert not [line for line in lines if line["event"] == "unexpected"]
        restarts = sum(line["event"] == "serving_started" for line in lines)
        rows = [line for line in lines if line["event"] in INVALID_EVENTS and "version" in line]
        logged = Counter(
            (
                line["event"],
                line.get("table"),
                line.get("key", line.get("replica")),
                line["version"],
            )
            for line in rows
        )
        assert max(logged.values()) <= restarts, logged.most_common(3)
        seen |= {str(key) for _, _, key, _ in logged}
    assert odd.odd_keys <= seen, sorted(odd.odd_keys - seen)[:5]
