"""Costs of a long configuration: lookups, and the longest step of decoding and applying one.

Indexed lookups are compared with a linear scan of all routes. Each figure is the minimum of several
repeats, except the longest step, which is the median over the repeats.
"""

import base64
import gc
import json
import sys
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from statistics import median
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "tests"))

from route_walk import longest, max_wait_by_walk, routes_by_walk  # noqa: E402

from cloverwalk.gateway.configuration import Configuration, ConfigurationHolder  # noqa: E402
from cloverwalk.gateway.configuration_encoding import decode_copy, encode_copy  # noqa: E402
from cloverwalk.gateway.steps import Steps, run_steps  # noqa: E402
from cloverwalk.platform.documents import configuration_steps, decode_configuration  # noqa: E402
from cloverwalk.platform.store_client import decode_page  # noqa: E402
from cloverwalk.scheduling.service_times import ServiceTimes  # noqa: E402
from cloverwalk.scheduling.wait_limits import WaitLimits  # noqa: E402

SIZES = (45, 1_742, 20_000)
REPEATS = 7
LOOKUPS = 200
MEASURED_ROUTES = 40
TENANTS = 81


def document(routes: int) -> bytes:
    """Return the stored form of a configuration with this number of routes."""
    wire = {
        "version": 2,
        "routes": [
            {
                "name": f"route-{number:06}",
                "host": f"host-{number % 7}.example.org",
                "path_prefix": f"/{number * 7919 % 999983:08x}/",
                "route_kind": "batch" if number % 9 == 0 else "streaming",
                "service": "model",
                "priority": number % 3,
                "timeout_ms": 5132,
                "target_latency_ms": 300 + number % 5,
                "max_attempts": 3,
                "resumable": True,
                "gap_aim_ms": 250,
            }
            for number in range(routes)
        ],
        "services": [{"name": "model", "max_connections": 480, "engine": {"slots": 8}}],
        "tenants": [{"name": f"t{n}", "api_keys": [f"key-{n}"]} for n in range(TENANTS)],
    }
    return json.dumps(wire, indent=1).encode()


def best_us(call: Callable[[], object]) -> float:
    """Return the shortest measured time of one call in microseconds."""
    times = []
    for _ in range(REPEATS):
        began = time.perf_counter()
        for _ in range(LOOKUPS):
            call()
        times.append((time.perf_counter() - began) / LOOKUPS)
    return min(times) * 1e6


def step_times(steps: Steps[Any]) -> Iterator[float]:
    """Run the steps and yield the time of each in ms."""
    result = None
    while result is None:
        began = time.perf_counter()
        try:
            next(steps)
        except StopIteration as end:
            result = end
        yield (time.perf_counter() - began) * 1000


def steps_text(create: Callable[[], Steps[Any]]) -> str:
    """Describe the longest step and the total time of a computation in steps."""
    longest_ms, totals_ms = [], []
    for _ in range(REPEATS):
        gc.collect()
        times_ms = list(step_times(create()))
        longest_ms.append(max(times_ms))
        totals_ms.append(sum(times_ms))
    return f"longest step {median(longest_ms):7.2f} ms, total {min(totals_ms):8.2f} ms"


def swap_texts(configuration: Configuration) -> Iterator[str]:
    """Describe the cost of replacing a configuration and of releasing the replaced one."""
    copy = run_steps(encode_copy(configuration))
    holders, times_ms = [], []
    for _ in range(REPEATS):
        holder = ConfigurationHolder()
        holder.update_if_newer(run_steps(decode_copy(copy)))
        newer = Configuration(3, (), {}, configuration.limits)
        began = time.perf_counter()
        holder.update_if_newer(newer)
        times_ms.append((time.perf_counter() - began) * 1000)
        holders.append(holder)
    yield f"{median(times_ms):7.2f} ms"
    yield steps_text(lambda: holders.pop().release_replaced())


def prepare_text(raw: bytes) -> str:
    """Return the cost of preparing the wait limits of a version whose routes all have timings."""
    before, after = decode_configuration(raw), decode_configuration(raw)
    times = ServiceTimes()
    for route in before.routes:
        times.record_start(route.name, 90.0)
    limits = WaitLimits(times)
    for route in before.routes[:20]:
        limits.max_wait_ms(route, max(before.index.priorities("model")), before.index)
    return steps_text(lambda: limits.prepare(after.index))


def print_costs(routes: int) -> None:
    """Print the costs of a configuration with this number of routes."""
    raw = document(routes)
    configuration = decode_configuration(raw)
    all_routes = list(configuration.routes)
    last = all_routes[-1]
    times = ServiceTimes()
    for route in all_routes[:: max(1, routes // MEASURED_ROUTES)]:
        times.record_start(route.name, 90.0)
    limits = WaitLimits(times)
    host, path = last.host, last.prefix + "item"
    rows = {"ver": 1, "rows": [{"key": "k", "ver": 1, "value": base64.b64encode(raw).decode()}]}
    answer = json.dumps(rows).encode()
    copy = run_steps(encode_copy(configuration))
    lookups = {
        "route": (
            lambda: longest(routes_by_walk(all_routes, host, path)),
            lambda: configuration.find_route(host, path),
        ),
        "route by name": (
            lambda: next(route for route in all_routes if route.name == last.name),
            lambda: configuration.index.first_named(last.name),
        ),
        "wait limit": (
            lambda: max_wait_by_walk(last, last.priority, all_routes, times),
            lambda: limits.max_wait_ms(last, last.priority, configuration.index),
        ),
    }
    print(f"{routes:,} routes: {len(raw):,} bytes stored, {len(copy):,} bytes compressed")
    for name, (walk, lookup) in lookups.items():
        print(f"  {name}: walk {best_us(walk):9.1f} us, index {best_us(lookup):6.1f} us")
    print(f"  rows of an answer: {steps_text(lambda: decode_page(answer, 't', ''))}")
    print(f"  stored document: {steps_text(lambda: configuration_steps(raw))}")
    print(f"  copy, decode: {steps_text(lambda: decode_copy(copy))}")
    print(f"  copy, encode: {steps_text(lambda: encode_copy(configuration))}")
    print(f"  limits of waits, all routes measured: {prepare_text(raw)}")
    for name, text in zip(("swap", "release"), swap_texts(configuration), strict=True):
        print(f"  {name}: {text}")


if __name__ == "__main__":
    for size in SIZES:
        print_costs(size)
