"""Items that were accepted start within a bounded time once replicas are calm and have room.

The real coordinator, scheduler and runner; only the calls to replicas are scripted. No sockets.
"""

import os
from collections.abc import Awaitable, Callable
from typing import Any, cast

import curio
import pytest
from coordination_world import CoordinationWorld, FleetNode
from hypothesis import given, settings
from hypothesis import strategies as st
from job_world import stored_job

from cloverwalk.gateway.configuration import Configuration, Route, RouteKind, RoutePart
from cloverwalk.gateway.crash_detector import CrashDetector, Delivery
from cloverwalk.gateway.crash_keys import RequestKeys, part_key
from cloverwalk.gateway.errors import ReplicaError
from cloverwalk.gateway.messages import PromptPart
from cloverwalk.gateway.replica_connection import Reachability
from cloverwalk.gateway.replicas import Replica
from cloverwalk.gateway.software_versions import Software, software_of
from cloverwalk.jobs.item_call import ItemCaller
from cloverwalk.jobs.item_containment import ItemContainment
from cloverwalk.jobs.records import JobItem, JobRecord
from cloverwalk.jobs.run import ItemRun, JobRun, Phase, RunTiming
from cloverwalk.jobs.runner import BatchRunner
from cloverwalk.jobs.wait_log import WaitReason
from cloverwalk.store.clock import StoreTime
from cloverwalk.telemetry.log import ServingLog
from cloverwalk.telemetry.metrics import ServingMetrics

NODES = 3
REPLICAS = 4
ITEMS = 6
DUE_MS = 20_000.0
OUTPUT_AFTER_S = 0.1
SLOW_OUTPUT_S = 2.0
RUN_S = 1.0
"""Time that a run takes to its whole answer, at least."""

CONTAINED_S = 3.0
DECISION_S = 2.0
"""Time from the end of an item's containment until it starts: the next look of its runner, the next
report, and the next orders, of which this world sends one in 1.25 s."""

START_BOUND_S = CONTAINED_S + DECISION_S
"""An open job has an item at a replica, or has got one, at least this often while all is calm."""

TRIAL_S = 0.9
"""Time from the first output of an item that is tried alone until the next one may start."""

SHARED_PART = "shared"
PARTS = (SHARED_PART, "topic")
VERSIONS = ("v1", "v2")
CONTENT_TRIALS = 4
"""Series of trials, each twice as long, that try the contents of two jobs."""

TRIALS = len(VERSIONS) * len(PARTS) + CONTENT_TRIALS
"""Trials that follow one another until each item has started: each part is tried once at each
software version."""

ELECTION_S = 12.0


class ScriptedCaller:
    """Runs items at replicas that answer after ``RUN_S`` unless they crash before."""

    def __init__(self, world: CoordinationWorld) -> None:
        self._world = world
        self.running: dict[str, list[curio.Queue]] = {}
        self.started_at: dict[str, list[float]] = {}
        """Times of the starts, by item."""

        self.parts_of: Callable[[str], tuple[str, ...]] = lambda item_id: (SHARED_PART,)
        self.output_after_s = OUTPUT_AFTER_S
        self.run_s = RUN_S

    def prompt(self, item_run: ItemRun) -> tuple[PromptPart, ...]:
        return ()

    def crash_keys(self, job: JobRun, item_run: ItemRun) -> RequestKeys:
        content = item_run.item.item_id.encode().hex().zfill(20)
        return RequestKeys(content, self.parts_of(item_run.item.item_id))

    async def run(
        self,
        job: JobRun,
        item_run: ItemRun,
        replica: Replica,
        on_output: Callable[[], None],
        must_be_new: bool,
    ) -> None:
        started_at = self._world.now
        self.started_at.setdefault(item_run.item.item_id, []).append(started_at)
        item_run.delivery = Delivery(True, started_at)
        item_run.timing = RunTiming(0)
        ended: curio.Queue = curio.Queue()
        self.running.setdefault(replica.replica_id, []).append(ended)
        try:
            while self._world.now - started_at < self.run_s:
                async with curio.ignore_after(0.0005):
                    await ended.get()
                    raise ReplicaError("the replica crashed", True, "reset")
                if self._world.now - started_at >= self.output_after_s:
                    self._add_output(job, item_run, software_of(replica))
                    on_output()
        finally:
            self.running[replica.replica_id].remove(ended)

    def _add_output(self, job: JobRun, item_run: ItemRun, software: Software) -> None:
        timing = item_run.timing
        assert timing is not None
        if timing.events and self._world.now <= timing.last_at:
            return
        last = item_run.last_event_id
        job.add_event(item_run, 0 if last is None else last + 1, "x")
        item_run.software = item_run.software or software
        timing.record_events(1, self._world.now)

    async def crash(self, replica_id: str) -> None:
        for ended in list(self.running.get(replica_id, [])):
            await ended.put(None)


class RefusingPool:
    """Stands in for the connections: each address that is probed refuses."""

    async def probe(self, address: tuple[str, int]) -> Reachability:
        return Reachability.REFUSES


class WaitingWorld:
    """A fleet with an owner of items at each node."""

    def __init__(self) -> None:
        self.world = CoordinationWorld(NODES, replicas=0)
        self.caller = ScriptedCaller(self.world)
        self.runners: dict[str, BatchRunner] = {}
        self.owners: dict[str, str] = {}
        """Name of the node that owns a job, by job."""

        self.last_crash_at = float("-inf")
        self._count = 0

    async def start(self) -> None:
        for _ in range(REPLICAS):
            self._add_replica("v1")
        await self.world.start()
        for node in self.world.nodes:
            self._equip(node)
        self._load_replicas()

    def _add_replica(self, software: str) -> None:
        self._count += 1
        name = f"r{self._count:03d}"
        replica = Replica(
            name, "model", "h", self._count, "z1", 8, False, 1, software_version=software
        )
        self.world.replicas.append(replica)

    def _load_replicas(self) -> None:
        for node in self.world.nodes:
            node.directory.replace(self.world.replicas, version=10 + self._count)
            node.directory.confirmed_at = self.world.now

    def _equip(self, node: FleetNode) -> None:
        """Give a node a runner of items and a configuration with their route."""
        route = Route(
            "jobs", "h", "/jobs/", RouteKind.BATCH, (RoutePart("model", 1.0),), 30.0, 0.4, 3
        )
        current = node.configuration.current
        assert current is not None
        node.configuration.update_if_newer(
            Configuration(2, (*current.routes, route), {}, current.limits, current.tenants)
        )

        async def ignore(_: object) -> None:
            return

        async def list_results(job: JobRun) -> None:
            for item_run in job.items:
                if item_run.phase is Phase.FINISHED:
                    item_run.phase = Phase.LISTED

        clock: Callable[[], float] = lambda: self.world.now  # noqa: E731
        log = ServingLog(node.name, clock, os.open(os.devnull, os.O_WRONLY))
        pool, caller = cast(Any, RefusingPool()), cast(ItemCaller, self.caller)
        detector = CrashDetector(node.ledger, node.directory, pool, log, ServingMetrics(), clock)
        runner = BatchRunner(
            node.configuration,
            node.directory,
            node.loads,
            caller,
            ItemContainment(detector, caller, node.directory, clock),
            node.client,
            list_results,
            ignore,
            lambda: StoreTime(0.0, 0.0),
            clock,
            log,
            ServingMetrics(),
            clock,
        )
        node.client.batch_handler = runner
        self.runners[node.name] = runner

    # --- what happens ---

    async def submit(
        self, job_id: str, owner: str, listed: frozenset[int] = frozenset(), count: int = ITEMS
    ) -> None:
        """Have a node run a job, whose results ``listed`` an earlier owner has stored."""
        items = [JobItem(f"{job_id}-{number}", "/jobs/x", [], b"", 1) for number in range(count)]
        record = JobRecord(
            job_id, "h", "/jobs/x", 0.0, DUE_MS, 2 * DUE_MS, 3, count, count, 1, owner
        )
        job = JobRun(stored_job(record), items)
        for index in listed:
            job.items[index].phase = Phase.LISTED
        self.owners[job_id] = owner
        await self.runners[owner].add(job)

    async def take_over(self, job_id: str) -> None:
        """Move a job to the next node; output that was not stored is lost."""
        owner = self.owners[job_id]
        names = [node.name for node in self.world.nodes]
        next_owner = names[(names.index(owner) + 1) % len(names)] if owner in names else names[0]
        job = self.job(job_id)
        if job is not None:
            listed = frozenset(item.index for item in job.items if item.phase is Phase.LISTED)
            await self.runners[owner].drop(job_id)
            await self.submit(job_id, next_owner, listed)

    def job(self, job_id: str) -> JobRun | None:
        return self.runners[self.owners[job_id]].jobs.get(job_id)

    async def end(self, job_id: str) -> None:
        await self.runners[self.owners[job_id]].drop(job_id)

    async def lose_coordinator(self) -> None:
        """Kill the coordinator, unless too few nodes are left; others take over its jobs."""
        active = self.world.active
        if len(self.world.nodes) <= 2 or not active:
            return
        lost = active[0]
        jobs = [job_id for job_id, owner in self.owners.items() if owner == lost.name]
        for job_id in jobs:
            await self.take_over(job_id)
        self.world.kill(lost)
        await self.runners[lost.name].stop_all()

    async def wait_for_coordinator(self) -> None:
        for _ in range(round(ELECTION_S / self.world.STEP_S)):
            if self.world.active:
                return
            await self.run(self.world.STEP_S)
        raise AssertionError("no coordinator")

    async def crash(self, index: int, software: str = "v1") -> None:
        """Crash a replica; another one with ``software`` replaces it at once."""
        replica = self.world.replicas.pop(index % len(self.world.replicas))
        self.last_crash_at = self.world.now
        await self.caller.crash(replica.replica_id)
        await self._settle()
        self._add_replica(software)
        self._load_replicas()

    async def crash_running(self, software: str) -> None:
        """Wait until items run, and crash all replicas before their first output."""
        waited_s = 0.0
        while not any(self.caller.running.values()) and self.open_items():
            assert waited_s <= START_BOUND_S, "no item runs although no replica has crashed since"
            await self.run(self.world.STEP_S)
            waited_s += self.world.STEP_S
        for _ in range(REPLICAS):
            await self.crash(0, software)

    async def crash_online(self, node_index: int, part_id: str, replicas: int) -> None:
        """Have a node observe that online requests with a part crash replicas elsewhere."""
        node = self.world.nodes[node_index % len(self.world.nodes)]
        self.last_crash_at = self.world.now
        for _ in range(replicas):
            self._count += 1
            key, replica = part_key(part_id, Software("model", "v1")), f"x{self._count}"
            now = self.world.now
            node.ledger.note_crash(key, replica, now, now - 0.001, f"q{self._count}")
            await self.run(self.world.STEP_S)

    async def run(self, seconds: float) -> None:
        """Let time pass; owners report what waits at each step."""
        for _ in range(round(seconds / self.world.STEP_S)):
            await self.world.run(self.world.STEP_S)
            self._load_replicas()
            await self._settle()
            for name in [node.name for node in self.world.nodes]:
                await self.runners[name]._report_waiting()
            await self._settle()

    async def _settle(self) -> None:
        for _ in range(3):
            await curio.sleep(0.001)

    # --- what must hold ---

    def open_items(self) -> list[ItemRun]:
        return [
            item_run
            for node in self.world.nodes
            for job in self.runners[node.name].jobs.values()
            for item_run in job.items
            if item_run.phase is not Phase.LISTED
        ]

    def waits_alone(self) -> list[str]:
        """Return the jobs that have open items, none of which runs."""
        return [
            job.job_id
            for node in self.world.nodes
            for job in self.runners[node.name].jobs.values()
            if any(item_run.phase is Phase.PENDING for item_run in job.items)
            and not any(item_run.phase is Phase.RUNNING for item_run in job.items)
        ]

    async def expect_starts(self) -> None:
        """Check the bounds from here on, with calm replicas that have room."""
        calm_since = max(self.world.now, self.last_crash_at)
        bound_s = START_BOUND_S + TRIALS * (self.caller.output_after_s + TRIAL_S)
        waiting_since: dict[str, float] = {}
        while open_items := self.open_items():
            elapsed_s = self.world.now - calm_since
            assert elapsed_s <= bound_s + self.caller.run_s, [
                item.item.item_id for item in open_items
            ]
            await self.run(self.world.STEP_S)
            alone = self.waits_alone()
            waiting_since = {job: waiting_since.get(job, self.world.now) for job in alone}
            for job_id, since in waiting_since.items():
                assert self.world.now - since <= START_BOUND_S, f"nobody runs items of {job_id}"

    async def close(self) -> None:
        for runner in self.runners.values():
            await runner.stop_all()


def play(test: Callable[[WaitingWorld], Awaitable[None]]) -> None:
    async def main() -> None:
        waiting = WaitingWorld()
        await waiting.start()
        try:
            await test(waiting)
        finally:
            await waiting.close()

    curio.run(main)


@pytest.mark.parametrize("crashes", [3, 4, 5, 8])
def test_sound_items_start_soon_after_chance_crashes(crashes: int) -> None:
    """Guards against items that wait for minutes since replicas crashed under them by chance."""

    async def test(waiting: WaitingWorld) -> None:
        await waiting.submit("j1", "n001")
        await waiting.run(1.0)
        for _ in range(crashes):
            await waiting.crash_running("v1")
        await waiting.expect_starts()

    play(test)


def test_log_tells_what_a_waiting_item_waits_for() -> None:
    """Guards against waits that no line explains."""

    async def test(waiting: WaitingWorld) -> None:
        runner = waiting.runners["n001"]
        await waiting.submit("j0", "n001")
        assert {wait.reason for wait in runner._waits()} == {WaitReason.SLOT}
        await waiting.end("j0")
        await waiting.crash_online(1, SHARED_PART, 4)
        await waiting.submit("j1", "n001")
        (wait, *_) = runner._waits()
        assert (wait.reason, wait.key) == (
            WaitReason.CONTAINED,
            part_key(SHARED_PART, Software("model", "v1")),
        )
        assert wait.ends_in_ms is not None and 0 < wait.ends_in_ms <= CONTAINED_S * 1000
        while not any(waiting.caller.running.values()):
            await waiting.run(waiting.world.STEP_S)
        assert {wait.reason for wait in runner._waits()} == {WaitReason.BEHIND_TRIAL}
        await runner.stop_all()
        assert {wait.reason for wait in runner._waits()} == {WaitReason.STOPPING}

    play(test)


def test_items_of_a_contained_part_do_not_start_together() -> None:
    """Guards against one crash for each free slot when the wait of a job's items ends."""

    async def test(waiting: WaitingWorld) -> None:
        await waiting.crash_online(1, SHARED_PART, 4)
        await waiting.submit("j1", "n001")
        while not any(waiting.caller.running.values()):
            await waiting.run(waiting.world.STEP_S)
        assert sum(len(runs) for runs in waiting.caller.running.values()) == 1
        await waiting.expect_starts()

    play(test)


def test_items_start_at_the_version_with_room_after_a_sound_trial_there() -> None:
    """Guards against items that are tried one by one since the other version has no free slot."""

    async def test(waiting: WaitingWorld) -> None:
        for _ in range(REPLICAS // 2):
            await waiting.crash(0, "v2")
        for replica in waiting.world.replicas:
            if replica.software_version == "v1":
                for _ in range(replica.slots):
                    waiting.world.nodes[2].loads.begin(replica.replica_id, is_batch=False)
        await waiting.crash_online(1, SHARED_PART, 8)
        await waiting.submit("j1", "n001", count=2 * ITEMS)
        await waiting.run(START_BOUND_S + OUTPUT_AFTER_S + TRIAL_S)
        started = len(waiting.caller.started_at)
        assert started == 2 * ITEMS, f"{started} items have started"

    play(test)


def test_each_job_of_an_owner_runs_an_item_within_bound_although_trials_are_slow() -> None:
    """Guards against jobs that wait for one another's trials while replicas have room."""

    async def test(waiting: WaitingWorld) -> None:
        waiting.caller.output_after_s, waiting.caller.run_s = SLOW_OUTPUT_S, 6.0
        await waiting.crash_online(1, SHARED_PART, 4)
        jobs = [f"j{number}" for number in range(5)]
        for job_id in jobs:
            await waiting.submit(job_id, "n001")
        while waiting.world.now - waiting.last_crash_at < START_BOUND_S:
            await waiting.run(waiting.world.STEP_S)
        started = {item_id.partition("-")[0] for item_id in waiting.caller.started_at}
        assert started == set(jobs)

    play(test)


ACTIONS = st.one_of(
    st.tuples(st.just("pass"), st.sampled_from([0.25, 0.5, 1.0, 3.25])),
    st.tuples(st.just("crash"), st.integers(0, REPLICAS - 1), st.sampled_from(["v1", "v1", "v2"])),
    st.tuples(st.just("crash running"), st.sampled_from(["v1", "v2"]), st.integers(1, 4)),
    st.tuples(
        st.just("crash online"),
        st.integers(0, NODES - 1),
        st.sampled_from(PARTS),
        st.integers(1, 4),
    ),
    st.tuples(st.just("take over"), st.sampled_from(["j1", "j2"])),
    st.tuples(st.just("end"), st.sampled_from(["j1", "j2"])),
    st.tuples(st.just("lose coordinator")),
)


async def perform(waiting: WaitingWorld, action: tuple[Any, ...]) -> None:
    match action:
        case ("pass", seconds):
            await waiting.run(seconds)
        case ("crash", index, software):
            await waiting.crash(index, software)
            await waiting.run(waiting.world.STEP_S)
        case ("crash running", software, times):
            await waiting.wait_for_coordinator()
            for _ in range(times):
                await waiting.crash_running(software)
        case ("crash online", node, part_id, replicas):
            await waiting.crash_online(node, part_id, replicas)
        case ("take over", job_id):
            await waiting.take_over(job_id)
        case ("end", job_id):
            await waiting.end(job_id)
        case ("lose coordinator",):
            await waiting.lose_coordinator()


@settings(max_examples=40)
@given(st.lists(ACTIONS, min_size=4, max_size=16), st.sampled_from([OUTPUT_AFTER_S, SLOW_OUTPUT_S]))
def test_items_start_within_bound_after_any_series_of_events(
    actions: list[tuple[Any, ...]], output_after_s: float
) -> None:
    """Guards against any order of events that leaves an accepted item waiting without end."""

    async def test(waiting: WaitingWorld) -> None:
        waiting.caller.output_after_s = output_after_s
        waiting.caller.run_s = output_after_s + RUN_S
        waiting.caller.parts_of = lambda item_id: PARTS if item_id[-1] in "135" else PARTS[:1]
        await waiting.submit("j1", "n001")
        await waiting.submit("j2", "n002")
        await waiting.run(1.0)
        for action in actions:
            await perform(waiting, action)
        await waiting.wait_for_coordinator()
        await waiting.expect_starts()

    play(test)
