"""A status that says "not run" is given only if no replica started the request."""

import os
import time
from typing import Any

import curio
import h11
from fleet_world import HOST, free_port, read_answer
from hypothesis import given, settings
from hypothesis import strategies as st

from cloverwalk.emulator.platform_replica import PlatformReplica
from cloverwalk.emulator.replica_runs import Misdeed
from cloverwalk.fleet.in_flight import InFlightTracker
from cloverwalk.fleet.messages import Placement, PlacementRequest, RequestTiming
from cloverwalk.fleet.placement_client import PlacementResult
from cloverwalk.gateway.configuration import (
    ClientLimits,
    Configuration,
    ConfigurationHolder,
    Route,
    RouteKind,
    RoutePart,
)
from cloverwalk.gateway.containment import ContainmentGate
from cloverwalk.gateway.crash_detector import CrashDetector
from cloverwalk.gateway.crash_ledger import CrashLedger
from cloverwalk.gateway.draining_replicas import DrainingReplicas
from cloverwalk.gateway.registered_versions import AllVersions
from cloverwalk.gateway.relay import OnlineRelay
from cloverwalk.gateway.replica_connection import ReplicaPool
from cloverwalk.gateway.replicas import Replica, ReplicaDirectory
from cloverwalk.gateway.resumption_gate import ResumptionGate
from cloverwalk.gateway.server import GatewayServer
from cloverwalk.gateway.software_versions import Software
from cloverwalk.gateway.stop_admission import StopAdmission
from cloverwalk.gateway.stream_versions import StreamVersion, StreamVersionTable
from cloverwalk.platform import names
from cloverwalk.platform.adapter import PlatformAdapter
from cloverwalk.scheduling.admission import PlacementVerdict
from cloverwalk.serving.request_handler import RequestHandler
from cloverwalk.telemetry.log import ServingLog
from cloverwalk.telemetry.metrics import ServingMetrics
from cloverwalk.tenants.quota_refusals import QuotaRefusalCache

PROMISES = (408, 421, 429, 503)
REPLICAS = 3
UNKNOWN_REPLICA = "i-unknown"
DEAD_REPLICA = "i-dead"
DEADLINE_MS = 80
NEVER = 100
LATE = "the place comes after the deadline"

Step = PlacementVerdict | str
"""Result of a placement request: refused, sent to the named replica, or late."""

refusing = st.sampled_from(
    [
        PlacementVerdict.RETRY_LATER,
        PlacementVerdict.NO_REPLICA,
        PlacementVerdict.OVER_QUOTA,
        PlacementVerdict.QUOTA_UNKNOWN,
    ]
)
sending = st.sampled_from([*(f"i-{n}" for n in range(REPLICAS)), UNKNOWN_REPLICA, DEAD_REPLICA])
steps = st.lists(st.one_of(sending, sending, sending, refusing, st.just(LATE)), max_size=5)
misdeeds = st.lists(
    st.sampled_from(
        [
            None,
            Misdeed.CUT,
            Misdeed.GARBAGE,
            Misdeed.SECOND_ANSWER,
            Misdeed.LATE_ANSWER,
            Misdeed.REFUSE,
            Misdeed.REFUSE_AND_CUT,
            Misdeed.UNPROVED_REFUSAL,
            Misdeed.FAIL,
            Misdeed.RUN_SILENTLY,
            Misdeed.RESET_UNANSWERED,
            Misdeed.RESET,
            Misdeed.RESET_MIDWAY,
            Misdeed.UNSIGNED,
            Misdeed.PROOF_ON_SUCCESS,
        ]
    ),
    min_size=1,
    max_size=6,
)
paths = st.sampled_from(["/safe/a", "/chat/a", "/once/a"])


class ScriptedCoordinatorClient:
    """A coordinator client with scripted placements, sensible or not."""

    configuration_version = 1
    configuration_age_ms = 0

    def __init__(self, script: list[Step], loads: InFlightTracker) -> None:
        self._script = script
        self._loads = loads
        self._turn = 0

    async def request_placement(self, request: PlacementRequest, until: float) -> PlacementResult:
        """Return the next placement of the script; after that the replicas in turn."""
        await curio.sleep(0)
        self._turn += 1
        step = self._script.pop(0) if self._script else f"i-{self._turn % REPLICAS}"
        if isinstance(step, PlacementVerdict):
            return PlacementResult(Placement(0, step, retry_after_s=0.2))
        if step == LATE:
            await curio.sleep(2 * DEADLINE_MS / 1000)
            step = "i-0"
        return PlacementResult(
            Placement(0, PlacementVerdict.SEND, step), self._loads.begin(step, is_batch=False)
        )

    async def trigger_report(self) -> None:
        """Do nothing."""

    @property
    def reports(self) -> "ScriptedCoordinatorClient":
        """Return this object, which also records the timings."""
        return self

    def record_request_timing(self, served: RequestTiming) -> None:
        """Do nothing."""


class LonelyNode:
    """Stands for nodes that know no streams."""

    def share(self, record: StreamVersion) -> None:
        """Do nothing."""

    async def ask(self, stream: str) -> Software | None:
        """Return None: no node knows the stream."""
        return None

    async def only_software(self, service: str) -> Software | None:
        return None


class World:
    """The whole path of a node from a client's socket to the replicas."""

    def __init__(self, script: list[Step], misdeeds_by_replica: list[list[Misdeed | None]]) -> None:
        self.replicas = [
            PlatformReplica(f"i-{number}", ("127.0.0.1", free_port())) for number in range(REPLICAS)
        ]
        for replica, planned in zip(self.replicas, misdeeds_by_replica, strict=True):
            replica.misdeeds.extend(planned)
        adapter = PlatformAdapter()
        log = ServingLog("n1", time.monotonic, os.open(os.devnull, os.O_WRONLY))
        metrics = ServingMetrics()
        holder = ConfigurationHolder()
        holder.update_if_newer(Configuration(1, _routes(), {}, ClientLimits()))
        loads = InFlightTracker()
        coordinator_client: Any = ScriptedCoordinatorClient(script, loads)
        directory = self._directory()
        pool = ReplicaPool(adapter.codec, time.monotonic)
        witness = CrashDetector(CrashLedger(), directory, pool, log, metrics, time.monotonic)
        self.stop_admission = StopAdmission(time.monotonic)
        relay = OnlineRelay(
            adapter.codec,
            directory,
            loads,
            pool,
            log,
            metrics,
            time.monotonic,
            coordinator_client,
            QuotaRefusalCache(holder, log, time.monotonic),
            ContainmentGate(witness, metrics, time.monotonic),
            ResumptionGate(
                directory,
                DrainingReplicas(directory, time.monotonic),
                StreamVersionTable(time.monotonic),
                LonelyNode(),
                AllVersions(),
                LonelyNode(),
                log,
                metrics,
                time.monotonic,
            ),
            self.stop_admission,
        )
        jobs: Any = None
        calls = RequestHandler(adapter, holder, relay, jobs, log, metrics, self.stop_admission)
        self.address = ("127.0.0.1", free_port())
        self.server = GatewayServer(
            self.address,
            adapter.codec,
            ClientLimits,
            calls.handle,
            lambda answer: None,
            time.monotonic,
            8,
        )

    def _directory(self) -> ReplicaDirectory:
        directory = ReplicaDirectory()
        for replica in self.replicas:
            host, port = replica.address
            directory.put(Replica(replica.replica_id, "model", host, port, "z", 8, False, 1))
        unreachable = Replica(DEAD_REPLICA, "model", "127.0.0.1", free_port(), "z", 8, False, 1)
        directory.put(unreachable)
        return directory

    async def ask(self, path: str, request_id: str) -> int:
        """Send a request; return the status of its answer, 0 for none."""
        headers = [
            ("Host", HOST),
            (names.REQUEST_ID.decode(), request_id),
            (names.DEADLINE_MS.decode(), str(DEADLINE_MS)),
            ("Content-Length", "0"),
        ]
        http = h11.Connection(h11.CLIENT)
        data = http.send(h11.Request(method="POST", target=path, headers=headers)) or b""
        data += http.send(h11.EndOfMessage()) or b""
        sock = await curio.open_connection(*self.address)
        try:
            await sock.sendall(data)
            return (await read_answer(sock, http)).status
        finally:
            await sock.close()


def _routes() -> tuple[Route, ...]:
    part = (RoutePart("model", 1.0),)
    return (
        Route("safe", HOST, "/safe/", RouteKind.SAFE, part, 3.0, 0.2, 3),
        Route("chat", HOST, "/chat/", RouteKind.STREAM, part, 3.0, 0.2, 3, is_resumable=True),
        Route("once", HOST, "/once/", RouteKind.STREAM, part, 3.0, 0.2, 1),
    )


@settings(max_examples=120)
@given(
    st.lists(paths, min_size=2, max_size=4),
    steps,
    st.lists(misdeeds, min_size=REPLICAS, max_size=REPLICAS),
    st.sampled_from([NEVER, NEVER, NEVER, 3, 2, 1]),
)
def test_a_promise_is_given_only_where_no_replica_began(
    asked: list[str],
    script: list[Step],
    misdeeds_by_replica: list[list[Misdeed | None]],
    stops_before: int,
) -> None:
    async def main() -> None:
        world = World(list(script), misdeeds_by_replica)
        loops = [world.server.serve, *(one.run for one in world.replicas)]
        tasks = [await curio.spawn(loop, daemon=True) for loop in loops]
        statuses: dict[str, int] = {}
        for turn, path in enumerate(asked):
            if turn == stops_before:
                world.stop_admission.begin(grace_s=0.0)
            statuses[f"id-{turn}"] = await world.ask(path, f"id-{turn}")
        for task in tasks:
            await task.cancel()
        runs = {key: sum(one.runs(key) for one in world.replicas) for key in statuses}
        untrue = [key for key in statuses if statuses[key] in PROMISES and runs[key]]
        assert untrue == []
        for turn, path in enumerate(asked):
            assert runs[f"id-{turn}"] <= (1 if path == "/once/a" else 3)

    curio.run(main)
