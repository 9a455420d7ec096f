"""One soak from start to verdict: what it is made of, and its life."""

import logging
import signal
import time
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

import attrs
import curio
import msgspec

from cloverwalk.core.once_flag import OnceFlag
from cloverwalk.emulator.platform_store_server import PlatformStoreServer
from cloverwalk.soak.addresses import SoakNetwork, find_network
from cloverwalk.soak.checker import Checker
from cloverwalk.soak.clients import OnlineClients, RequestMaker
from cloverwalk.soak.deployment import LIMITED_TENANTS, QUOTAS, Operator
from cloverwalk.soak.errors import SoakStartError
from cloverwalk.soak.events import AllQuiet, NodeSettled
from cloverwalk.soak.faults import FaultRunner
from cloverwalk.soak.history import History
from cloverwalk.soak.job_clients import JobClients
from cloverwalk.soak.plan import Plan
from cloverwalk.soak.probes import NodeProbe
from cloverwalk.soak.processes import NodeProcess
from cloverwalk.soak.proxy import FaultProxy
from cloverwalk.soak.replicas import ReplicaFleet
from cloverwalk.soak.violations import Violation

STEADY_PER_NODE = 2
MOST_STEADY = 24
LEAST_JOB_CLIENTS = 3
EAGER_SHARE = 1.5
"""Requests of an eager tenant, as a share of its rate at the start."""

START_S = 60.0
"""All nodes are ready within this time, else the soak can't begin."""

SETTLE_S = 60.0
"""The same after all faults, else it is reported. A fleet needs some seconds."""

QUIET_S = 45.0
"""Longer than any stream, so that only work that nobody ends is still there."""

LOOK_EVERY_S = 0.25
FEED_STEP_S = 0.02
HISTORY_FILE = "history.jsonl"
PLAN_FILE = "schedule.json"


@attrs.define
class SoakResult:
    """What a soak came to."""

    plan: Plan
    folder: Path
    violations: list[Violation]
    answers: dict[str, int]
    runs: dict[str, int]
    jobs: int
    fullest_windows: dict[str, float]
    seconds: float
    was_stopped: bool = False

    @property
    def requests(self) -> int:
        """Online requests that were sent."""
        return sum(self.answers.values())

    @property
    def is_clean(self) -> bool:
        """Whether every promise was kept to the end."""
        return not self.violations and not self.was_stopped


class Soak:
    """A fleet of processes, its stand-ins, its clients and its faults."""

    def __init__(self, plan: Plan, folder: Path, report: Callable[[str], None]) -> None:
        self._plan = plan
        self._folder = folder
        self._report = report
        self._stop = curio.UniversalEvent()
        self._stop_flag = OnceFlag()
        self._ends_at = float("inf")
        """When clients stop, in the history's time."""

        self._clients: list[Any] = []
        self._supervisors: list[Any] = []
        self._services: list[Any] = []
        self._random = Random(f"soak-load/{plan.seed}")
        folder.mkdir(parents=True, exist_ok=True)
        (folder / PLAN_FILE).write_bytes(msgspec.json.format(msgspec.json.encode(plan)))
        self._history = History(folder / HISTORY_FILE, time.monotonic)
        self._checker = Checker()
        self._history.listen(self._check)
        self._build(find_network())

    def _build(self, network: SoakNetwork) -> None:
        plan, history = self._plan, self._history
        self._store = PlatformStoreServer((network.store, network.port))
        self._store.rows.wait_step_s = FEED_STEP_S
        self._store.random = Random(f"soak-store/{plan.seed}")
        self._operator = Operator(self._store, history)
        misdeeds = Random(f"soak-replicas/{plan.seed}")
        self._replicas = ReplicaFleet(plan.replicas, network, self._store, history, misdeeds)
        self._nodes = [
            NodeProcess(number, network, self._folder, history) for number in range(plan.nodes)
        ]
        self._links = {
            "clients": [FaultProxy(one.proxied_address, one.client_address) for one in self._nodes],
            "store": [
                FaultProxy(one.store_address, (network.store, network.port)) for one in self._nodes
            ],
            "replicas": [one.proxy for one in self._replicas.places],
        }
        self._probes = [NodeProbe(one, history) for one in self._nodes]
        self._maker = RequestMaker(self._operator)
        self._online = OnlineClients(self._nodes, self._maker, history, self._is_over)
        self._jobs = JobClients(self._nodes, self._operator, history, self._is_over)
        self._faults = FaultRunner(
            plan,
            self._nodes,
            self._links,
            self._store,
            self._replicas,
            self._operator,
            self._online,
            self._jobs,
            history,
            Random(f"soak-herds/{plan.seed}"),
        )

    def _is_over(self) -> bool:
        """Whether clients stop."""
        return self._history.now() >= self._ends_at

    def _check(self, event: object) -> None:
        for violation in self._checker.take(event):
            self._report(f"BROKEN {violation.line()}")

    # --- life ---

    def run(self) -> SoakResult:
        """Run to the end, or to SIGINT or SIGTERM; end what was started in any case."""
        began_at = time.monotonic()
        # A warning of its own for each timeout that a busy loop sees late.
        logging.getLogger("curio").setLevel(logging.ERROR)
        earlier = {
            number: signal.signal(number, lambda *_: self._request_stop())
            for number in (signal.SIGINT, signal.SIGTERM)
        }
        try:
            was_stopped = not curio.run(self._main)
        finally:
            for node in self._nodes:
                node.kill_for_good()
            self._history.close()
            for number, handler in earlier.items():
                signal.signal(number, handler)
        checker = self._checker
        return SoakResult(
            self._plan,
            self._folder,
            checker.violations,
            checker.answers,
            dict(sorted(checker.ends.items())),
            checker.jobs,
            checker.fullest_windows,
            time.monotonic() - began_at,
            was_stopped,
        )

    def _request_stop(self) -> None:
        """End the soak; safe to call from a signal handler."""
        if self._stop_flag.take():
            self._stop.set()

    async def _main(self) -> bool:
        """Return whether the soak came to its end."""
        try:
            life = await curio.spawn(self._live)
            stopper = await curio.spawn(self._stop.wait)
            async with curio.TaskGroup([life, stopper], wait=any) as either:
                pass
            return either.completed is life and life.result is None
        finally:
            await self._end()

    async def _end(self) -> None:
        """End clients, then processes, then what they talk to: nothing begins anew meanwhile."""
        for task in (*self._clients, *self._supervisors):
            await task.cancel()
        for node in self._nodes:
            node.kill_for_good()
        for task in reversed(self._services):
            await task.cancel()
        await self._replicas.close()

    async def _serve(self, call: Callable[..., Any]) -> None:
        self._services.append(await curio.spawn(call, daemon=True))

    async def _live(self) -> None:
        await self._start()
        self._ends_at = self._history.now() + self._plan.duration_s
        await self._start_clients()
        await self._faults.run()
        self._report(f"{self._history.now():8.3f} all faults are over")
        for client in self._clients:
            await client.join()
        await self._settle()

    async def _start(self) -> None:
        await self._serve(self._store.run)
        self._operator.write()
        await self._replicas.start()
        for proxy in (*self._links["clients"], *self._links["store"]):
            await self._serve(proxy.run)
        for node, probe in zip(self._nodes, self._probes, strict=True):
            self._supervisors.append(await curio.spawn(node.supervise, daemon=True))
            await self._serve(probe.watch_readiness)
            await self._serve(probe.watch_version)
        if not await self._until(lambda: all(one.is_ready for one in self._probes), START_S):
            raise SoakStartError(f"not all nodes are ready after {START_S:g} s")
        self._report(f"{self._history.now():8.3f} {len(self._nodes)} nodes are ready")

    async def _until(self, condition: Callable[[], bool], limit_s: float) -> bool:
        end = self._history.now() + limit_s
        while not condition():
            if self._history.now() > end:
                return False
            await curio.sleep(LOOK_EVERY_S)
        return True

    async def _start_clients(self) -> None:
        for number in range(min(MOST_STEADY, STEADY_PER_NODE * len(self._nodes))):
            node = self._nodes[number % len(self._nodes)]
            random = Random(f"soak-client/{self._plan.seed}/{number}")
            self._clients.append(await curio.spawn(self._online.run_steady, node, random))
        for tenant in LIMITED_TENANTS:
            rate_per_s = EAGER_SHARE * QUOTAS[tenant][0]
            random = Random(f"soak-eager/{self._plan.seed}/{tenant}")
            self._clients.append(
                await curio.spawn(self._online.run_eager, tenant, rate_per_s, random)
            )
        random = Random(f"soak-crashing/{self._plan.seed}")
        self._clients.append(await curio.spawn(self._online.run_crashing, random))
        for number in range(max(LEAST_JOB_CLIENTS, len(self._nodes) // 2)):
            random = Random(f"soak-job-client/{self._plan.seed}/{number}")
            self._clients.append(await curio.spawn(self._jobs.run_steady, random))

    # --- after the faults ---

    async def _settle(self) -> None:
        """Let the fleet heal, then look at everything once more."""
        newest = self._operator.version
        await self._until(
            lambda: all(one.is_ready and one.version == newest for one in self._probes), SETTLE_S
        )
        for node, probe in zip(self._nodes, self._probes, strict=True):
            is_serving = await self._serves(node)
            settled = NodeSettled(
                node=node.name,
                is_ready=probe.is_ready,
                is_serving=is_serving,
                version=probe.version,
            )
            self._history.note(settled)
        await self._jobs.settle(self._random)
        running = self._replicas.notes.running
        await self._until(lambda: not running, QUIET_S)
        self._history.note(AllQuiet(running=sorted(running)))
        for violation in self._checker.finish():
            self._report(f"BROKEN {violation.line()}")

    async def _serves(self, node: NodeProcess) -> bool:
        """Whether a node serves a request of a tenant without a quota."""
        end = self._history.now() + SETTLE_S
        while self._history.now() < end:
            request = self._maker.make(self._random, "hall")
            if await self._online.send_one(node, request):
                return True
            await curio.sleep(LOOK_EVERY_S)
        return False
