"""Measures how many new connections a second one node reads and serves, and what bounds it.

Three nodes run as processes. Each request comes on a connection of its own to the first node, at a
rate that rises step by step. Printed are the share that was served, the times, the processor time
of the node, and how many connections it left unread.
"""

import multiprocessing
import statistics
import sys
import time
from collections import Counter
from pathlib import Path
from typing import Any

import curio

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tests" / "serving"))

from fleet_world import HOST, configuration, free_port  # noqa: E402
from node_processes import NodeProcess, node_processes  # noqa: E402

from cloverwalk.emulator.platform_replica import PlatformReplica  # noqa: E402
from cloverwalk.emulator.platform_store_server import PlatformStoreServer  # noqa: E402
from cloverwalk.platform import names  # noqa: E402
from cloverwalk.platform.settings import MEMORY_PRESSURE  # noqa: E402

NODES = 3
REPLICAS = 8
SLOTS = 64
EVENTS = 12
EVENT_INTERVAL_S = 0.01
RATES = (50, 100, 200, 300, 400, 600)
STEP_S = 4.0
REQUEST_TIMEOUT_S = 5.0
PART_IDS = "5c1e07a2:800,91bd3f06:410"
TICKS_PER_S = 100
LIMITS = f"""
contracts = ["{MEMORY_PRESSURE}"]
[limits]
cpu_share = 1.0
cpu_cores = 1
memory_mb = 400
max_fds = 8200
link_mbps = 1000
"""


def run_replica(name: str, port: int) -> None:
    """Run an emulated replica in this process."""
    replica = PlatformReplica(name, ("127.0.0.1", port), EVENTS, EVENT_INTERVAL_S)
    curio.run(replica.run)


def processor_s(pid: int) -> float:
    """Return the processor time of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


async def send(address: tuple[str, int], number: int, outcomes: "Counter[str]", times: Any) -> None:
    """Send one request on a new connection and record its outcome."""
    head = (
        f"POST /chat/{number} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"{names.REQUEST_ID.decode()}: q{number}\r\n{names.DEADLINE_MS.decode()}: 5000\r\n"
        f"{names.PREFIX_HASH.decode()}: {PART_IDS},{number:08x}:250\r\nContent-Length: 2000\r\n\r\n"
    )
    began_at = time.monotonic()
    received = b""
    try:
        async with curio.timeout_after(REQUEST_TIMEOUT_S):
            sock = await curio.open_connection(*address)
            async with sock:
                await sock.sendall(head.encode() + bytes(2000))
                while not received.endswith(b"0\r\n\r\n"):
                    data = await sock.recv(65536)
                    if not data:
                        break
                    received += data
                    if len(received) == len(data):
                        times.append(time.monotonic() - began_at)
    except curio.TaskTimeout:
        outcomes["timed out"] += 1
        return
    except OSError:
        pass
    status = received[9:12].decode() or "unread"
    outcomes["served" if received.endswith(b"0\r\n\r\n") and status == "200" else status] += 1


async def play_step(node: NodeProcess, rate: int) -> None:
    """Send requests at a rate, and print what came of them."""
    outcomes: Counter[str] = Counter()
    times: list[float] = []
    used_s, began_at = processor_s(node.pid), time.monotonic()
    async with curio.TaskGroup() as tasks:
        for number in range(int(rate * STEP_S)):
            delay_s = began_at + number / rate - time.monotonic()
            if delay_s > 0:
                await curio.sleep(delay_s)
            await tasks.spawn(send, node.client_address, rate * 10_000 + number, outcomes, times)
    used_s, elapsed_s = processor_s(node.pid) - used_s, time.monotonic() - began_at
    quantiles = statistics.quantiles(times, n=20) if len(times) > 1 else [0.0] * 19
    print(
        f"{rate} a second: {dict(outcomes)}; first byte {1000 * statistics.median(times):.0f} ms, "
        f"95 in 100 {1000 * quantiles[18]:.0f} ms; node's processor "
        f"{used_s / elapsed_s:.2f} of a core, {1000 * used_s / (rate * STEP_S):.2f} ms each",
        flush=True,
    )


async def measure(store: PlatformStoreServer, ports: list[int], store_port: int) -> None:
    """Start the nodes and raise the rate step by step."""
    await curio.spawn(store.run, daemon=True)
    store.put(names.OPERATOR_TABLE, names.CONFIGURATION_KEY, configuration(1))
    for number, port in enumerate(ports):
        document = PlatformReplica(f"i-{number}", ("127.0.0.1", free_port())).document(
            "model", "z1"
        )
        entry = {**document, "address": f"127.0.0.1:{port}", "slots": SLOTS}
        store.put(names.REPLICA_TABLE, f"i-{number}", entry)
    with node_processes(NODES, store_port, LIMITS) as nodes:
        await curio.sleep(4.0)
        for rate in RATES:
            await play_step(nodes[0], rate)
            await curio.sleep(2.0)


def main() -> None:
    """Start replicas and a store, and measure one node."""
    ports = [free_port() for _ in range(REPLICAS)]
    replicas = [
        multiprocessing.Process(target=run_replica, args=(f"i-{number}", port), daemon=True)
        for number, port in enumerate(ports)
    ]
    for process in replicas:
        process.start()
    store = PlatformStoreServer(("127.0.0.1", free_port()))
    store_port = store.server._sock._socket.getsockname()[1]
    try:
        curio.run(measure, store, ports, store_port)
    finally:
        for process in replicas:
            process.terminate()


if __name__ == "__main__":
    main()
