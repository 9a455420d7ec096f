"""A request that crashes each replica which runs it reaches only a few replicas.

Guards against repetitions under other ids and at other nodes, each of which could crash as many
replicas as its route allows attempts. Verified by what the replicas received.
"""

from typing import Any

import curio
import pytest
from fleet_world import HOST, Answer, FleetWorld, free_port, in_world

from cloverwalk.emulator.platform_replica import PlatformReplica
from cloverwalk.emulator.replica_runs import Arrival, Misdeed
from cloverwalk.fleet.crash_record_store import CRASH_RECORD_TABLE
from cloverwalk.gateway import crash_ledger
from cloverwalk.gateway.content_hash import hash_content
from cloverwalk.jobs import runner
from cloverwalk.platform import names

CRASHING = b"ends whoever runs it"
CRASHING_ITEM = b"item 1"
HARMLESS = b"popular"
NEIGHBOUR = b"runs long"
CUT_OFF = b"its connection is reset"
MAX_CRASHES = 6
"""Three replicas, and up to three retries."""

RESTART_DELAY_S = 0.1
POLL_INTERVAL_S = 0.002


@pytest.fixture(autouse=True)
def no_trials(monkeypatch: pytest.MonkeyPatch) -> None:
    """Disable trials, which depend on the duration of a test; other tests cover them."""
    monkeypatch.setattr(crash_ledger, "TRIAL_DELAYS_S", (3600.0,))


class CrashingWorld:
    """Replicas that crash when they run the crashing request, and return as new instances."""

    def __init__(self, world: FleetWorld) -> None:
        self.world = world
        self.reached: list[str] = []
        """Replicas that the crashing request reached."""

        self.neighbour_hangs = False
        """Whether other requests run on until the crashing request arrives."""

        self._crashing: list[PlatformReplica] = []
        self._tasks: dict[str, Any] = {}
        self._count = 0

    async def start(self, replicas: int = 5, nodes: int = 3) -> None:
        await self.world.start(replicas=0, nodes=0)
        for _ in range(replicas):
            await self._add(None)
        await self.world.spawn(self._end_crashing)
        await self.add_nodes(nodes)

    async def add_nodes(self, count: int) -> None:
        for _ in range(count):
            await self.world.add_node()
        await self.world.wait_until(
            lambda: all(node.is_ready for node in self.world.nodes[-count:])
        )

    async def _add(self, address: tuple[str, int] | None) -> None:
        self._count += 1
        name = f"i-{self._count}"
        replica = PlatformReplica(name, address or ("127.0.0.1", free_port()))
        replica.choose_misdeed = lambda arrival: self._choose_misdeed(replica, arrival)
        self.world.replicas.append(replica)
        task = await curio.spawn(replica.run, daemon=True)
        self.world.tasks.append(task)
        self._tasks[name] = task
        self.world.store.put(names.REPLICA_TABLE, name, replica.document("model", "z1"))

    def _choose_misdeed(self, replica: PlatformReplica, arrival: Arrival) -> Misdeed | None:
        if arrival.body.startswith(NEIGHBOUR) and self.neighbour_hangs:
            return Misdeed.RUN_SILENTLY
        if arrival.body == CUT_OFF:
            return Misdeed.RESET
        if arrival.body not in (CRASHING, CRASHING_ITEM):
            return None
        self.reached.append(replica.replica_id)
        self.neighbour_hangs = False
        self._crashing.append(replica)
        return Misdeed.RUN_SILENTLY

    async def _end_crashing(self) -> None:
        while True:
            await curio.sleep(POLL_INTERVAL_S)
            while self._crashing:
                await self.end(self._crashing.pop(0))

    async def end(self, replica: PlatformReplica) -> None:
        """Crash a replica; it returns as another instance."""
        task = self._tasks.pop(replica.replica_id, None)
        if task is None:
            return
        await task.cancel()
        await replica.crash()
        await self.world.spawn(self._restart_later, replica)

    async def _restart_later(self, replica: PlatformReplica) -> None:
        await curio.sleep(RESTART_DELAY_S)
        self.world.store.remove(names.REPLICA_TABLE, replica.replica_id)
        await self._add(replica.address)

    async def send(self, body: bytes, node: int = 0, path: str = "/chat/a") -> Answer:
        headers = [
            (names.REQUEST_ID.decode(), self.world.new_id()),
            (names.DEADLINE_MS.decode(), "3000"),
        ]
        return await self.world.call("POST", path, body, headers, node)

    async def wait_until_back(self, replicas: int = 5) -> None:
        """Wait until all replicas are back and listed at every node."""

        def are_all_listed() -> bool:
            ids = sorted(self._tasks)
            return len(ids) == replicas and all(
                [replica.replica_id for replica in node._directory.usable("model")] == ids
                for node in self.live_nodes()
            )

        await self.world.wait_until(are_all_listed)

    def content(self, body: bytes, path: str = "/chat/a") -> str:
        """Return the content hash of what ``send`` sends."""
        return hash_content("", HOST, "POST", path, body=body)

    def stored(self) -> dict[str, bytes]:
        """Return the stored rows of contained requests."""
        return self.world.store.rows.values(CRASH_RECORD_TABLE)

    def live_nodes(self) -> list[Any]:
        tasks = zip(self.world.nodes, self.world.node_tasks, strict=True)
        return [node for node, task in tasks if not task.terminated]


def in_crashing_world(test: Any) -> None:
    async def main(world: FleetWorld) -> None:
        await test(CrashingWorld(world))

    in_world(main)


def test_crashing_request_is_contained_across_nodes() -> None:
    async def test(crashing: CrashingWorld) -> None:
        await crashing.start()
        answers = []
        for turn in range(6):
            answers.append(await crashing.send(CRASHING, node=turn % 3))
            await crashing.wait_until_back()
        assert len(crashing.reached) <= MAX_CRASHES
        # Nothing was sent, and no caller is asked to retry.
        assert answers[-1].status == 503
        assert "retry-after" not in answers[-1].headers
        for node in range(3):
            assert (await crashing.send(HARMLESS, node=node)).status == 200

    in_crashing_world(test)


def test_restarted_fleet_loads_crash_records_from_store() -> None:
    async def test(crashing: CrashingWorld) -> None:
        await crashing.start(nodes=1)
        await crashing.send(CRASHING)
        await crashing.wait_until_back()
        await crashing.world.wait_until(lambda: bool(crashing.stored()))
        before = len(crashing.reached)
        for index in range(len(crashing.world.nodes)):
            await crashing.world.kill_node(index)
        crashing.world.nodes.clear()
        crashing.world.node_tasks.clear()
        await crashing.add_nodes(1)
        await crashing.world.wait_until(lambda: crashing.world.nodes[0]._crash_record_store.is_read)
        for _ in range(4):
            await crashing.send(CRASHING)
            await crashing.wait_until_back()
        assert len(crashing.reached) == before <= MAX_CRASHES

    in_crashing_world(test)


def test_reset_connection_is_no_evidence() -> None:
    async def test(crashing: CrashingWorld) -> None:
        await crashing.start(nodes=1)
        for _ in range(4):
            answer = await crashing.send(CUT_OFF)
            # Each attempt may have run, so the status does not say "not run".
            assert answer.status == 502
        node = crashing.world.nodes[0]
        await crashing.world.wait_until(lambda: not node._crash_detector._probes)
        assert node._fleet_state.crash_ledger.is_empty
        assert sum(replica.runs(f"req{4:04d}") for replica in crashing.world.replicas) == 3

    in_crashing_world(test)


def test_requests_beside_crashing_one_are_not_contained() -> None:
    """They run at a replica that crashes; being answered elsewhere clears them."""

    async def test(crashing: CrashingWorld) -> None:
        await crashing.start(nodes=1)
        world = crashing.world
        ledger = world.nodes[0]._fleet_state.crash_ledger
        bodies = [NEIGHBOUR + b" %d" % number for number in range(8)]
        crashing.neighbour_hangs = True
        neighbours = [await curio.spawn(crashing.send, body) for body in bodies]
        await world.wait_until(
            lambda: sum(replica.running for replica in world.replicas) == len(bodies)
        )
        await crashing.send(CRASHING)
        for neighbour_task in neighbours:
            await neighbour_task.join()
        await crashing.wait_until_back()
        for body in bodies:
            assert (await crashing.send(body)).status == 200
        assert list(ledger.contained()) == [crashing.content(CRASHING)]

    in_crashing_world(test)


def test_requests_sent_to_ended_replicas_are_no_suspects() -> None:
    """Replicas end one by one for other reasons, and requests are retried at the next one."""

    async def test(crashing: CrashingWorld) -> None:
        await crashing.start(nodes=1)
        world = crashing.world
        for number in range(20):
            # Gives each replica an idle connection.
            await crashing.send(b"warm %d" % number)
        for replica in list(world.replicas):
            await crashing.end(replica)
        ledger = world.nodes[0]._fleet_state.crash_ledger
        answers = [await crashing.send(b"sent late %d" % number) for number in range(8)]
        assert {answer.status for answer in answers} <= {200, 502, 503}
        assert ledger.is_empty
        await crashing.wait_until_back()
        assert (await crashing.send(b"sent late 0")).status == 200

    in_crashing_world(test)


def test_crashing_item_does_not_delay_other_items(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The item would be retried this soon, several times while the second job runs.
    monkeypatch.setattr(runner, "RETRY_DELAY_S", 0.05)

    async def test(crashing: CrashingWorld) -> None:
        await crashing.start(nodes=2)
        assert (await crashing.world.submit_job("j1", count=6)).status == 202
        results = await crashing.world.until_done("j1", 5)
        assert sorted(result["id"] for result in results) == [
            f"j1-{number}" for number in (0, 2, 3, 4, 5)
        ]
        await crashing.world.wait_until(lambda: bool(crashing.stored()))
        await crashing.wait_until_back()
        # The second job contains the same item again.
        assert (await crashing.world.submit_job("j2", count=30)).status == 202
        await crashing.world.until_done("j2", 29)
        assert len(crashing.reached) == crash_ledger.CONTAINMENT_THRESHOLD
        # The item stays open, since nothing proved that it can never succeed.
        assert len((await crashing.world.read_job("j1"))["results"]) == 5

    in_crashing_world(test)
