"""An item of a batch job fails at each run while the nodes of a fleet are restarted in turn.

The rule is broken if a node sends the item to a replica again after three times ``max_attempts``
answers of 500, at a time when every node is in touch.
"""

import asyncio
import base64
import json
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stand_ins_2 import HOST, Replica, Store, call, configuration  # noqa: E402
from stand_ins_2 import run_case, signal, start_fleet  # noqa: E402

MAX_ATTEMPTS = 3
MOST_FAILURES = 3 * MAX_ATTEMPTS
FAILS_AFTER_S = 2.8
STOP_INTERVAL_S = 7.5
ROUNDS = 3
CONTACT_S = 3.0
GRACE_S = 8.0
WATCHED_S = 16.0

JOB, ITEM = "7c41e09b52d6a3f8", "e5b2907c14da6f38"
ROUTE = {
    "name": "round-batch",
    "host": HOST,
    "path_prefix": "/batch/",
    "route_kind": "batch",
    "timeout_ms": 30_000,
    "target_latency_ms": 400,
    "priority": 2,
    "service": "quizmind",
    "max_attempts": MAX_ATTEMPTS,
    "resumable": True,
    "gap_aim_ms": 250,
    "completion_target_ms": 20_000,
    "retention_s": 120,
    "max_queued_tokens": 1_600_000,
}


def job_body():
    headers = {
        "X-Cloverwalk-Model": "m",
        "X-Cloverwalk-Token-Usage": "540,400",
        "X-Cloverwalk-Prefix-Hash": "9c2e41:300,5d07b8:240",
    }
    body = base64.b64encode(b"q" * 400).decode()
    item = {"id": ITEM, "path": "/batch/3/91c4", "headers": headers, "body": body, "tokens": 940}
    return json.dumps({"requests": [item]}).encode()


async def case(record, folder, nodes, is_troubled):
    store = Store()
    await store.start()
    await store.put("op", "config", configuration(3, [ROUTE], ["quizmind"]))
    replicas = [Replica(store, record, f"i-{n}", "quizmind", "v1") for n in range(2)]
    for replica in replicas:
        replica.failing[ITEM] = (500, FAILS_AFTER_S)
        await replica.start()
    await start_fleet(nodes, 2, store, folder)

    def failures():
        return sum(run.end == "500" for replica in replicas for run in replica.runs)

    headers = [("Host", HOST), ("X-Cloverwalk-Request-Id", JOB)]
    headers.append(("Content-Type", "application/json"))
    answer = await call(nodes[0].front, "POST", "/batch/7c41e0", headers, job_body())
    record.write(f"batch job {JOB} with one item is sent to {nodes[0].name}: {answer.status}")
    if answer.status != 202:
        return 2
    started_at = time.monotonic()
    for number in range(ROUNDS * len(nodes) if is_troubled else 0):
        if number > 0:
            await asyncio.sleep(max(0.0, stopped_at + STOP_INTERVAL_S - time.monotonic()))
        stopped_at = time.monotonic()
        started_at = await _restart(record, nodes[number % len(nodes)])
    record.write(f"the restarts are over; {failures()} answers of 500 so far")
    await asyncio.sleep(WATCHED_S)
    runs = [run for replica in replicas for run in replica.runs]
    late = [run for run in runs if run.began_at > started_at + CONTACT_S]
    late = [run for run in late if _answers_before(runs, run) >= MOST_FAILURES]
    answer = await call(nodes[1].front, "GET", f"/api/lots/{JOB}?since_revision=0", headers[:1])
    record.write(f"{nodes[1].name} reads the batch job: {answer.status} {answer.body.decode()}")
    record.write(
        f"{failures()} answers of 500; begun after {MOST_FAILURES} of them, with all nodes in touch:"
        f" {len(late)} runs"
    )
    return 1 if late else 0


def _answers_before(runs, late_run):
    """Return how many answers of 500 came before a run began."""
    return sum(
        run.end == "500" and run.began_at + FAILS_AFTER_S < late_run.began_at for run in runs
    )


async def _restart(record, node):
    """Stop a node as the platform does, start it again; return when it was started."""
    record.write(f"SIGTERM to {node.name}")
    node.signal(signal.SIGTERM)
    if await node.wait_ended(GRACE_S) is None:
        node.kill()
    node.start()
    started_at = time.monotonic()
    await node.wait_ready()
    record.write(f"{node.name} is ready again")
    return started_at


run_case(FOLDER, case)
