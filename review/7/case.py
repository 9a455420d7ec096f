"""The last replicas of a version drain while three of five nodes are killed at once.

Streams that one of these replicas breaks off as it ends go on at another one. The rule is broken if
such a request reaches a replica later than ``drain_ms`` after the store has taken that the replica
drains, sent by a node that nothing was done to.
"""

import asyncio
import base64
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stand_ins_2 import HOST, Replica, Store, call, configuration  # noqa: E402
from stand_ins_2 import request_headers, run_case, start_fleet  # noqa: E402

NODES, KILLED = 7, 3
DRAIN_S = 2.0
HEARTBEAT_S = 1.2
RELEASE_GAP_S = 1.0
ENDS_AFTER_S = (4.03, 3.13, 5.0)
"""When each old replica ends, after the store has taken that it drains."""

NEW_REPLICAS = 9
EVENTS, INTERVAL_S = 46, 0.1
SHORT_EVENTS, SHORT_PREFIX = 3, "5a"
DEADLINE_MS = 5000
STREAMS, BEGIN_INTERVAL_S = 110, 0.012
FIRST_DRAINS_AFTER_S = 0.4
SHORT_INTERVAL_S = 0.04
ROUTE = {
    "name": "ruling",
    "host": HOST,
    "path_prefix": "/ruling/",
    "route_kind": "streaming",
    "timeout_ms": DEADLINE_MS,
    "target_latency_ms": 800,
    "priority": 0,
    "service": "quizmind",
    "max_attempts": 2,
    "resumable": True,
    "gap_aim_ms": 250,
}


class MixedReplica(Replica):
    """A replica that answers some requests with a few events only."""

    def events_of(self, request_id):
        return SHORT_EVENTS if request_id.startswith(SHORT_PREFIX) else self.events


class DrainingReplica(MixedReplica):
    """A replica that notes when requests reach it."""

    drained_at = None

    async def _handle(self, head, body, reader, writer):
        request_id = head.get("X-Cloverwalk-Request-Id", "")
        if self.drained_at is not None:
            after_s = time.monotonic() - self.drained_at
            self.arrivals.append(after_s)
            self.record.write(
                f"{request_id} reaches {self.replica_id} {after_s:.3f} s after the store took that"
                " it drains"
            )
        return await super()._handle(head, body, reader, writer)

    async def drain(self, ends_after_s):
        self.state = "draining"
        await self.write_entry()
        self.drained_at = time.monotonic()
        self.record.write(f"{self.replica_id} drains: acknowledged")
        await asyncio.sleep(ends_after_s)
        self.record.write(f"{self.replica_id} ends")
        await self.stop()
        await self.store.remove("servers", self.replica_id)


async def case(record, folder, nodes, is_troubled):
    store = Store()
    await store.start()
    await store.put("op", "config", configuration(3, [ROUTE], ["quizmind"]))
    old = [
        DrainingReplica(store, record, f"i-old-{number}", "quizmind", "v1")
        for number in range(len(ENDS_AFTER_S))
    ]
    new = [MixedReplica(store, record, f"i-new-{number}", "quizmind", "v2") for number in range(NEW_REPLICAS)]
    for replica in old + new:
        replica.events, replica.interval_s = EVENTS, INTERVAL_S
        await replica.start()
        # The replicas of a real service don't write their entries all at once.
        await asyncio.sleep(HEARTBEAT_S / len(old + new))
    await start_fleet(nodes, NODES, store, folder)
    victims = _victims(store, nodes)
    others = [node for node in nodes if node not in victims]
    record.write(f"to be killed: {[node.name for node in victims]}")

    release = asyncio.create_task(_release(old))
    streams = []
    began_at = time.monotonic()
    for number in range(STREAMS):
        stream = _stream(record, others[number % len(others)], number)
        streams.append(asyncio.create_task(stream))
        await asyncio.sleep(BEGIN_INTERVAL_S)
    last_drains_at = began_at + FIRST_DRAINS_AFTER_S + (len(old) - 1) * RELEASE_GAP_S
    traffic = asyncio.create_task(_short_requests(record, others))
    await asyncio.sleep(last_drains_at - time.monotonic() - 0.01)
    if is_troubled:
        for node in victims:
            node.process.kill()
        record.write("killed")
    await release
    traffic.cancel()
    ended = await asyncio.gather(*streams)
    record.write(f"{sum(ended)} of {STREAMS} streams are whole")
    late = [after_s for replica in old for after_s in replica.arrivals if after_s > DRAIN_S]
    record.write(f"{len(late)} requests reached a replica later than {DRAIN_S} s after that")
    return 1 if late else 0


async def _release(old):
    """Let the old replicas drain one after the other; return once all have ended."""
    await asyncio.sleep(FIRST_DRAINS_AFTER_S)
    drains = []
    for replica, ends_after_s in zip(old, ENDS_AFTER_S):
        if drains:
            await asyncio.sleep(RELEASE_GAP_S)
        drains.append(asyncio.create_task(replica.drain(ends_after_s)))
    await asyncio.gather(*drains)


def _victims(store, nodes):
    """Return the nodes that last wrote to the store under a condition, by the row they wrote."""
    value, _ = store.rows["role", "", "coordinator"]
    text = base64.b64decode(value).decode()
    named = [node for node in nodes if f'"{node.name}"' in text]
    named.sort(key=lambda node: text.index(f'"{node.name}"'))
    return named[:KILLED]


async def _short_requests(record, nodes):
    """Ask for short answers all the while, as other clients do."""
    number = 0
    while True:
        number += 1
        asyncio.create_task(_stream(record, nodes[number % len(nodes)], number, SHORT_PREFIX))
        await asyncio.sleep(SHORT_INTERVAL_S)


async def _stream(record, node, number, prefix="9c"):
    request_id = f"{prefix}41d07be2a3{number:04d}"
    headers = request_headers(request_id, DEADLINE_MS)
    answer = await call(
        node.front, "POST", "/ruling/2f", headers, b"q" * 400, DEADLINE_MS / 1000 + 0.5
    )
    record.write(
        f"{request_id} at {node.name}: {answer.status}, {len(answer.events)} events, whole:"
        f" {answer.is_whole}"
    )
    return answer.is_whole


run_case(FOLDER, case)
