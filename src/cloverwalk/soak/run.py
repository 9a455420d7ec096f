"""Runs one soak: builds its parts, starts them, applies the schedule and checks the fleet."""

import logging
import signal
import time
from collections.abc import Callable
from pathlib import Path
from random import Random
from signal import SIGTERM
from typing import Any

import attrs
import curio
import msgspec

from cloverwalk.core.kernel import run_until_ended
from cloverwalk.core.signals import SignalEvent
from cloverwalk.emulator.platform_store_server import PlatformStoreServer
from cloverwalk.soak.addresses import SoakNetwork, find_network
from cloverwalk.soak.build_replacer import BuildReplacer
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
from cloverwalk.soak.processes import STOP_GRACE_S, NodeProcess
from cloverwalk.soak.proxy import FaultProxy
from cloverwalk.soak.replicas import ReplicaFleet
from cloverwalk.soak.violations import Violation

STEADY_CLIENTS_PER_NODE = 2
MAX_STEADY_CLIENTS = 24
STREAM_CLIENTS_PER_NODE = 2
"""Clients that resume streams at other nodes."""

MAX_STREAM_CLIENTS = 16
PAUSED_CLIENTS_PER_REPLICA = 1.5
"""Clients that read streams of seconds on connections that they keep; they leave most slots to the
others."""

MAX_PAUSED_CLIENTS = 16
CALM_BEFORE_STOPS_S = 10.0
"""Time between the last fault and the first planned stop, in which killed nodes are back."""

CALM_STOP_INTERVAL_S = 3.0
CALM_STOP_DOWNTIME_S = 0.3
CALM_AFTER_STOPS_S = 1.0
MIN_JOB_CLIENTS = 3
OVER_QUOTA_FACTOR = 1.5
"""Request rate of a tenant over its quota, relative to its initial quota rate."""

START_TIMEOUT_S = 60.0
"""If a node is not ready within this time, the soak does not begin."""

RECOVERY_TIMEOUT_S = 60.0
"""Time for the nodes to recover after all faults; usually some seconds."""

RUNS_END_TIMEOUT_S = 45.0
"""Longer than any stream, so that a run still active after it would not end by itself."""

POLL_INTERVAL_S = 0.25
FEED_POLL_INTERVAL_S = 0.02
HISTORY_FILE = "history.jsonl"
PLAN_FILE = "schedule.json"


@attrs.define
class SoakResult:
    """The result of a soak."""

    plan: Plan
    folder: Path
    violations: list[Violation]
    answers: dict[str, int]
    runs: dict[str, int]
    accepted_jobs: int
    resumed_streams: tuple[int, int]
    """Streams that were resumed in calm times: how many went on, and of how many."""

    take_ups: dict[str, int]
    """Streams taken up at a node that was out of step, by how that ended."""

    peak_quota_use: dict[str, float]
    duration_s: float
    was_stopped: bool = False

    @property
    def requests(self) -> int:
        """Number of online requests with a recorded outcome."""
        return sum(self.answers.values())

    @property
    def is_clean(self) -> bool:
        """Whether the soak ran to its end without a violation."""
        return not self.violations and not self.was_stopped


class Soak:
    """A fleet of node processes with emulated store and replicas, clients and faults."""

    def __init__(
        self,
        plan: Plan,
        folder: Path,
        report: Callable[[str], None],
        earlier_source: Path | None = None,
    ) -> None:
        self._plan = plan
        self._folder = folder
        self._report = report
        self._stop = SignalEvent()
        self._ends_at = float("inf")
        """When clients stop, on the clock of the history."""

        self._clients: list[Any] = []
        self._supervisors: list[Any] = []
        self._services: list[Any] = []
        self._random = Random(f"soak-load/{plan.seed}")
        folder.mkdir(parents=True, exist_ok=True)
        (folder / PLAN_FILE).write_bytes(msgspec.json.format(msgspec.json.encode(plan)))
        self._history = History(folder / HISTORY_FILE, time.monotonic)
        self._checker = Checker()
        self._history.add_listener(self._check)
        self._build(find_network())
        self._replacer = BuildReplacer(plan.build_steps, self._nodes, earlier_source, self._history)

    def _build(self, network: SoakNetwork) -> None:
        plan, history = self._plan, self._history
        self._store = PlatformStoreServer((network.store_host, network.port))
        self._store.rows.feed_poll_interval_s = FEED_POLL_INTERVAL_S
        self._store.random = Random(f"soak-store/{plan.seed}")
        self._operator = Operator(self._store, history)
        replica_random = Random(f"soak-replicas/{plan.seed}")
        self._replicas = ReplicaFleet(
            plan.replicas,
            network,
            self._store,
            history,
            replica_random,
            plan.software_versions,
            plan.closing_replica_interval,
        )
        self._nodes = [
            NodeProcess(number, network, self._folder, history) for number in range(plan.nodes)
        ]
        self._proxies = {
            "clients": [
                FaultProxy(node.proxied_address, node.client_address) for node in self._nodes
            ],
            "store": [
                FaultProxy(node.store_address, (network.store_host, network.port))
                for node in self._nodes
            ],
            "replicas": [host.proxy for host in self._replicas.hosts],
        }
        self._probes = [NodeProbe(node, history) for node in self._nodes]
        self._request_maker = RequestMaker(self._operator)
        self._online = OnlineClients(self._nodes, self._request_maker, history, self._is_over)
        self._jobs = JobClients(self._nodes, self._operator, history, self._is_over)
        self._store.on_lost_answer = self._jobs.record_lost_answer
        self._faults = FaultRunner(
            plan,
            self._nodes,
            self._proxies,
            self._store,
            self._replicas,
            self._operator,
            self._online,
            self._jobs,
            history,
            Random(f"soak-herds/{plan.seed}"),
        )

    def _is_over(self) -> bool:
        """Whether clients must stop."""
        return self._history.now() >= self._ends_at

    def _check(self, event: object) -> None:
        for violation in self._checker.handle(event):
            self._report(f"BROKEN {violation.line()}")

    # --- phases ---

    def run(self) -> SoakResult:
        """Run to the end, or until SIGINT or SIGTERM; all processes are killed in any case."""
        started_at = time.monotonic()
        # Otherwise curio logs a warning for each timeout that a busy event loop handles late.
        logging.getLogger("curio").setLevel(logging.ERROR)
        earlier_handlers = {
            number: signal.signal(number, lambda *_: self._stop.set())
            for number in (signal.SIGINT, signal.SIGTERM)
        }
        try:
            was_stopped = not run_until_ended(self._main)
        finally:
            for node in self._nodes:
                node.kill_and_wait()
            self._history.close()
            for number, handler in earlier_handlers.items():
                signal.signal(number, handler)
        checker = self._checker
        return SoakResult(
            self._plan,
            self._folder,
            checker.violations,
            checker.answers,
            dict(sorted(checker.run_ends.items())),
            checker.accepted_jobs,
            checker.resumed_streams,
            checker.take_ups,
            checker.peak_quota_use,
            time.monotonic() - started_at,
            was_stopped,
        )

    async def _main(self) -> bool:
        """Return whether the soak ran to its end, rather than being stopped."""
        try:
            phases = await curio.spawn(self._run_phases)
            stop_wait = await curio.spawn(self._stop.wait)
            async with curio.TaskGroup([phases, stop_wait], wait=any) as first_done:
                pass
            return first_done.completed is phases and phases.result is None
        finally:
            await self._close()

    async def _close(self) -> None:
        """Stop clients and supervisors, then nodes, then what they use; so nothing restarts."""
        for task in (*self._clients, *self._supervisors):
            await task.cancel()
        for node in self._nodes:
            node.kill_and_wait()
        for task in reversed(self._services):
            await task.cancel()
        await self._replicas.close()

    async def _spawn_service(self, call: Callable[..., Any]) -> None:
        self._services.append(await curio.spawn(call, daemon=True))

    async def _run_phases(self) -> None:
        await self._start()
        calm_stops_s = self._calm_stops_s()
        self._ends_at = self._history.now() + self._plan.duration_s + calm_stops_s
        await self._start_clients()
        replacements = await curio.spawn(self._replacer.run)
        self._supervisors.append(replacements)
        await self._faults.run()
        await replacements.join()
        self._report(f"{self._history.now():8.3f} all faults have ended")
        await self._stop_calmly()
        for client in self._clients:
            await client.join()
        await self._check_recovery()

    def _calm_stops_s(self) -> float:
        """Return the length of the phase with planned stops; 0 if the schedule has none."""
        if self._plan.calm_stops == 0:
            return 0.0
        stops_s = (self._plan.calm_stops - 1) * CALM_STOP_INTERVAL_S
        return CALM_BEFORE_STOPS_S + stops_s + STOP_GRACE_S + CALM_AFTER_STOPS_S

    async def _stop_calmly(self) -> None:
        """Stop nodes as planned while clients go on and nothing else is disturbed."""
        if self._plan.calm_stops == 0:
            return
        await curio.sleep(CALM_BEFORE_STOPS_S)
        for node in self._random.sample(self._nodes, self._plan.calm_stops):
            node.end(SIGTERM, CALM_STOP_DOWNTIME_S)
            await curio.sleep(CALM_STOP_INTERVAL_S)
        await curio.sleep(STOP_GRACE_S)

    async def _start(self) -> None:
        await self._spawn_service(self._store.run)
        self._operator.write()
        await self._replicas.start()
        for proxy in (*self._proxies["clients"], *self._proxies["store"]):
            await self._spawn_service(proxy.run)
        for node, probe in zip(self._nodes, self._probes, strict=True):
            self._supervisors.append(await curio.spawn(node.supervise, daemon=True))
            await self._spawn_service(probe.watch_readiness)
            await self._spawn_service(probe.watch_version)
        if not await self._wait_until(
            lambda: all(probe.is_ready for probe in self._probes), START_TIMEOUT_S
        ):
            raise SoakStartError(f"not all nodes became ready within {START_TIMEOUT_S:g} s")
        self._report(f"{self._history.now():8.3f} {len(self._nodes)} nodes are ready")

    async def _wait_until(self, condition: Callable[[], bool], timeout_s: float) -> bool:
        deadline = self._history.now() + timeout_s
        while not condition():
            if self._history.now() > deadline:
                return False
            await curio.sleep(POLL_INTERVAL_S)
        return True

    async def _start_clients(self) -> None:
        for number in range(min(MAX_STEADY_CLIENTS, STEADY_CLIENTS_PER_NODE * len(self._nodes))):
            node = self._nodes[number % len(self._nodes)]
            random = Random(f"soak-client/{self._plan.seed}/{number}")
            self._clients.append(await curio.spawn(self._online.run_steady, node, random))
        for tenant in LIMITED_TENANTS:
            rate_per_s = OVER_QUOTA_FACTOR * QUOTAS[tenant][0]
            random = Random(f"soak-eager/{self._plan.seed}/{tenant}")
            self._clients.append(
                await curio.spawn(self._online.run_over_quota, tenant, rate_per_s, random)
            )
        await self._start_paused_clients()
        for number in range(min(MAX_STREAM_CLIENTS, STREAM_CLIENTS_PER_NODE * len(self._nodes))):
            random = Random(f"soak-streams/{self._plan.seed}/{number}")
            self._clients.append(await curio.spawn(self._online.run_streams, random))
        random = Random(f"soak-crashing/{self._plan.seed}")
        self._clients.append(await curio.spawn(self._online.run_crashing, random))
        for number in range(max(MIN_JOB_CLIENTS, len(self._nodes) // 2)):
            random = Random(f"soak-job-client/{self._plan.seed}/{number}")
            self._clients.append(await curio.spawn(self._jobs.run_sequential, random))

    async def _start_paused_clients(self) -> None:
        """Start clients with streams of seconds, which planned stops of earlier builds cut."""
        if self._plan.build_steps:
            return
        total = int(PAUSED_CLIENTS_PER_REPLICA * self._plan.replicas)
        for number in range(min(MAX_PAUSED_CLIENTS, total)):
            node = self._nodes[number % len(self._nodes)]
            random = Random(f"soak-paused/{self._plan.seed}/{number}")
            self._clients.append(await curio.spawn(self._online.run_paused, node, random))

    # --- after the faults ---

    async def _check_recovery(self) -> None:
        """Wait until the fleet recovers, then check all nodes, jobs and runs once more."""
        newest = self._operator.version
        await self._wait_until(
            lambda: all(probe.is_ready and probe.version == newest for probe in self._probes),
            RECOVERY_TIMEOUT_S,
        )
        for node, probe in zip(self._nodes, self._probes, strict=True):
            is_serving = await self._is_serving(node)
            settled = NodeSettled(
                node=node.name,
                is_ready=probe.is_ready,
                is_serving=is_serving,
                version=probe.version,
            )
            self._history.record(settled)
        await self._jobs.read_all_jobs(self._random)
        running = self._replicas.run_recorder.running
        await self._wait_until(lambda: not running, RUNS_END_TIMEOUT_S)
        self._history.record(AllQuiet(running=sorted(running)))
        for violation in self._checker.finish():
            self._report(f"BROKEN {violation.line()}")

    async def _is_serving(self, node: NodeProcess) -> bool:
        """Whether a node serves a request of a tenant without a quota, after retries."""
        deadline = self._history.now() + RECOVERY_TIMEOUT_S
        while self._history.now() < deadline:
            request = self._request_maker.make(self._random, "hall")
            if await self._online.send_on_new_connection(node, request):
                return True
            await curio.sleep(POLL_INTERVAL_S)
        return False
