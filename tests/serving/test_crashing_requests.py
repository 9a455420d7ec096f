"""A request that ends each replica which runs it is sent on to a few replicas only.

Seen: one request came again and again, with another id and at another node each time; each
repetition was sent to as many replicas as a route allows, and 12 of 18 replicas ended under it.
How: each node forgot with the attempt which replicas had ended, and nobody knew a repetition again.
Proved by the replicas' own count of what reached them, in these tests and on the users' record.
"""

from typing import Any

import curio
import pytest
from fleet_world import HOST, Answer, FleetWorld, free_port, in_world

from cloverwalk.emulator.platform_replica import PlatformReplica
from cloverwalk.emulator.replica_runs import Arrival, Misdeed
from cloverwalk.fleet.crash_record_store import CASE_TABLE
from cloverwalk.gateway import crash_ledger
from cloverwalk.gateway.content_hash import hash_content
from cloverwalk.jobs import runner
from cloverwalk.platform import names

GUILTY = b"ends whoever runs it"
GUILTY_ITEM = b"item 1"
INNOCENT = b"popular"
NEIGHBOUR = b"runs long"
CUT_OFF = b"its connection is reset"
MOST_ENDED = 6
"""Three replicas, and three retries more (users' rules)."""

RETURN_S = 0.1
LOOK_S = 0.002


@pytest.fixture(autouse=True)
def no_trials(monkeypatch: pytest.MonkeyPatch) -> None:
    """Trials depend on how long a test takes; tests of their own have them."""
    monkeypatch.setattr(crash_ledger, "TRIAL_PAUSES_S", (3600.0,))


class CrashingWorld:
    """Replicas that end when they run the guilty request, and come back as new instances."""

    def __init__(self, world: FleetWorld) -> None:
        self.world = world
        self.reached: list[str] = []
        """Replicas that the guilty request reached."""

        self.neighbour_hangs = False
        """Whether neighbours run for long; until the guilty request comes."""

        self._dying: list[PlatformReplica] = []
        self._tasks: dict[str, Any] = {}
        self._count = 0

    async def start(self, replicas: int = 5, nodes: int = 3) -> None:
        await self.world.start(replicas=0, nodes=0)
        for _ in range(replicas):
            await self._add(None)
        await self.world.spawn(self._bury)
        await self.add_nodes(nodes)

    async def add_nodes(self, count: int) -> None:
        for _ in range(count):
            await self.world.add_node()
        await self.world.until(lambda: all(one.is_ready for one in self.world.nodes[-count:]))

    async def _add(self, address: tuple[str, int] | None) -> None:
        self._count += 1
        name = f"i-{self._count}"
        replica = PlatformReplica(name, address or ("127.0.0.1", free_port()))
        replica.choose_misdeed = lambda arrival: self._choose(replica, arrival)
        self.world.replicas.append(replica)
        task = await curio.spawn(replica.run, daemon=True)
        self.world.tasks.append(task)
        self._tasks[name] = task
        self.world.store.put(names.REPLICA_TABLE, name, replica.document("model", "z1"))

    def _choose(self, replica: PlatformReplica, arrival: Arrival) -> Misdeed | None:
        if arrival.body.startswith(NEIGHBOUR) and self.neighbour_hangs:
            return Misdeed.RUN_SILENTLY
        if arrival.body == CUT_OFF:
            return Misdeed.RESET
        if arrival.body not in (GUILTY, GUILTY_ITEM):
            return None
        self.reached.append(replica.replica_id)
        self.neighbour_hangs = False
        self._dying.append(replica)
        return Misdeed.RUN_SILENTLY

    async def _bury(self) -> None:
        while True:
            await curio.sleep(LOOK_S)
            while self._dying:
                await self.end(self._dying.pop(0))

    async def end(self, replica: PlatformReplica) -> None:
        """End a replica as a crash does; it comes back as another instance."""
        task = self._tasks.pop(replica.replica_id, None)
        if task is None:
            return
        await task.cancel()
        await replica.crash()
        await self.world.spawn(self._come_back, replica)

    async def _come_back(self, replica: PlatformReplica) -> None:
        await curio.sleep(RETURN_S)
        self.world.store.remove(names.REPLICA_TABLE, replica.replica_id)
        await self._add(replica.address)

    async def ask(self, body: bytes, node: int = 0, path: str = "/chat/a") -> Answer:
        headers = [
            (names.REQUEST_ID.decode(), self.world.new_id()),
            (names.DEADLINE_MS.decode(), "3000"),
        ]
        return await self.world.call("POST", path, body, headers, node)

    async def until_back(self, replicas: int = 5) -> None:
        """Wait until all replicas are back and every node knows them."""

        def are_known() -> bool:
            ids = sorted(self._tasks)
            return len(ids) == replicas and all(
                [one.replica_id for one in node._directory.usable("model")] == ids
                for node in self.live_nodes()
            )

        await self.world.until(are_known)

    def content(self, body: bytes, path: str = "/chat/a") -> str:
        """Return the name of what ``ask`` sends."""
        return hash_content("", HOST, "POST", path, body=body)

    def stored(self) -> dict[str, bytes]:
        """Return the rows of contained requests."""
        return self.world.store.rows.values(CASE_TABLE)

    def live_nodes(self) -> list[Any]:
        tasks = zip(self.world.nodes, self.world.node_tasks, strict=True)
        return [node for node, task in tasks if not task.terminated]


def in_crashing_world(test: Any) -> None:
    async def main(world: FleetWorld) -> None:
        await test(CrashingWorld(world))

    in_world(main)


def test_a_request_that_comes_again_elsewhere_is_known_again() -> None:
    async def test(crashing: CrashingWorld) -> None:
        await crashing.start()
        answers = []
        for turn in range(6):
            answers.append(await crashing.ask(GUILTY, node=turn % 3))
            await crashing.until_back()
        assert len(crashing.reached) <= MOST_ENDED
        # Nothing was sent, and nobody is told to come back with it.
        assert answers[-1].status == 503
        assert "retry-after" not in answers[-1].headers
        for node in range(3):
            assert (await crashing.ask(INNOCENT, node=node)).status == 200

    in_crashing_world(test)


def test_a_restarted_fleet_knows_it_from_the_store() -> None:
    async def test(crashing: CrashingWorld) -> None:
        await crashing.start(nodes=1)
        await crashing.ask(GUILTY)
        await crashing.until_back()
        await crashing.world.until(lambda: bool(crashing.stored()))
        before = len(crashing.reached)
        for index in range(len(crashing.world.nodes)):
            await crashing.world.kill_node(index)
        crashing.world.nodes.clear()
        crashing.world.node_tasks.clear()
        await crashing.add_nodes(1)
        await crashing.world.until(lambda: crashing.world.nodes[0]._crash_record_store.is_read)
        for _ in range(4):
            await crashing.ask(GUILTY)
            await crashing.until_back()
        assert len(crashing.reached) == before <= MOST_ENDED

    in_crashing_world(test)


def test_a_reset_connection_is_no_evidence() -> None:
    async def test(crashing: CrashingWorld) -> None:
        await crashing.start(nodes=1)
        for _ in range(4):
            answer = await crashing.ask(CUT_OFF)
            # Each attempt may have run, so nothing is promised.
            assert answer.status == 502
        node = crashing.world.nodes[0]
        await crashing.world.until(lambda: not node._crash_detector._looks)
        assert node._fleet_state.crash_ledger.is_empty
        assert sum(one.runs(f"req{4:04d}") for one in crashing.world.replicas) == 3

    in_crashing_world(test)


def test_neighbours_are_told_apart_from_the_guilty_request() -> None:
    """They run at a replica that ends; they are answered elsewhere, and that clears them."""

    async def test(crashing: CrashingWorld) -> None:
        await crashing.start(nodes=1)
        world = crashing.world
        ledger = world.nodes[0]._fleet_state.crash_ledger
        bodies = [NEIGHBOUR + b" %d" % number for number in range(8)]
        crashing.neighbour_hangs = True
        neighbours = [await curio.spawn(crashing.ask, body) for body in bodies]
        await world.until(lambda: sum(one.running for one in world.replicas) == len(bodies))
        await crashing.ask(GUILTY)
        for one in neighbours:
            await one.join()
        await crashing.until_back()
        for body in bodies:
            assert (await crashing.ask(body)).status == 200
        assert list(ledger.contained()) == [crashing.content(GUILTY)]

    in_crashing_world(test)


def test_a_request_that_was_sent_to_an_ended_replica_is_no_suspect() -> None:
    """Replicas end one after the other by themselves; requests go on to the next one."""

    async def test(crashing: CrashingWorld) -> None:
        await crashing.start(nodes=1)
        world = crashing.world
        for number in range(20):
            # Each replica has a kept connection.
            await crashing.ask(b"warm %d" % number)
        for replica in list(world.replicas):
            await crashing.end(replica)
        ledger = world.nodes[0]._fleet_state.crash_ledger
        answers = [await crashing.ask(b"sent late %d" % number) for number in range(8)]
        assert {one.status for one in answers} <= {200, 502, 503}
        assert ledger.is_empty
        await crashing.until_back()
        assert (await crashing.ask(b"sent late 0")).status == 200

    in_crashing_world(test)


def test_an_item_that_ends_its_replicas_keeps_nothing_back(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # It would be sent again this soon, several times while the second job runs.
    monkeypatch.setattr(runner, "RETRY_S", 0.05)

    async def test(crashing: CrashingWorld) -> None:
        await crashing.start(nodes=2)
        assert (await crashing.world.hand_in("j1", count=6)).status == 202
        results = await crashing.world.until_done("j1", 5)
        assert sorted(one["id"] for one in results) == [f"j1-{one}" for one in (0, 2, 3, 4, 5)]
        await crashing.world.until(lambda: bool(crashing.stored()))
        await crashing.until_back()
        # The second job has the same item once more.
        assert (await crashing.world.hand_in("j2", count=30)).status == 202
        await crashing.world.until_done("j2", 29)
        assert len(crashing.reached) == crash_ledger.CONTAINED_FROM
        # It is not given up: nothing has shown that it can never be done.
        assert len((await crashing.world.read_job("j1"))["results"]) == 5

    in_crashing_world(test)
