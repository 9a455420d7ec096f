"""A part of a prompt that crashes each replica which begins to answer it reaches few replicas.

Guards against requests that share the part and nothing else, which containment by the content of
whole requests does not recognize. Verified by what replicas received and clients got.
"""

import json
from base64 import b64encode
from random import Random
from typing import Any

import curio
import pytest
from fleet_world import Answer, FleetWorld, free_port, in_world

from cloverwalk.core.clock import monotonic_s
from cloverwalk.emulator.platform_replica import PlatformReplica
from cloverwalk.emulator.replica_runs import Arrival, Misdeed
from cloverwalk.fleet.crash_record_store import CRASH_RECORD_TABLE
from cloverwalk.fleet.leader import LeaderView
from cloverwalk.gateway.crash_keys import is_part_key
from cloverwalk.platform import names

GUILTY = "bad0"
FIRST = "f000"
TOPICS = [f"70{number:02x}" for number in range(6)]
ALLOWED_CRASHES = 5
SYNC_TIMEOUT_S = 3.0
"""Once this time has passed after the fifth crash, at most ``MAX_LATE_REQUESTS`` may be sent."""

MAX_LATE_REQUESTS = 3
MIN_SERVED_SHARE = 0.95
OBSERVED_S = 2.0
"""Duration of the observation after that."""

RESTART_DELAY_S = 1.0
CRASH_DELAY_S = 0.03
"""Time from the begin of an answer to the crash; further requests arrive meanwhile."""

MEAN_GUILTY_INTERVAL_S = 0.1
MEAN_SOUND_INTERVAL_S = 0.04
MAX_FIRST_CRASHES_S = 4.0
"""Fewer than ``ALLOWED_CRASHES`` crashes in this time are the last ones."""

MAX_CRASHES = 9
POLL_INTERVAL_S = 0.002


def is_guilty(arrival: Arrival) -> bool:
    """Whether a request has the part that crashes replicas, and not as the last one."""
    prompt = arrival.headers.get(names.PREFIX_HASH.decode().lower(), "")
    part_ids = [part.partition(":")[0] for part in prompt.split(",")]
    return GUILTY in part_ids[:-1]


def has_standbys(leader: LeaderView) -> bool:
    """Whether a node knows standbys of the coordinator."""
    return leader.current is not None and bool(leader.current.standbys)


class PartWorld:
    """Replicas that crash when they begin to answer a request with the guilty part."""

    def __init__(self, world: FleetWorld, seed: int) -> None:
        self.world = world
        self.random = Random(seed)
        self.crashed_at: list[float] = []
        self.guilty_arrived_at: list[float] = []
        self.sound_answers: list[tuple[float, Answer]] = []
        """Answers with the times at which their requests were sent."""

        self.guilty_answers: list[tuple[float, Answer]] = []
        self.closes_answers = False
        """Whether answers have neither a length nor chunks; a crash then looks like their end."""

        self.sound_software = ""
        """Software version of replicas that the part does not crash; empty if there are none."""

        self._crashing: list[tuple[float, PlatformReplica]] = []
        """Replicas that crash, and when."""

        self._replicas: list[PlatformReplica] = []
        self._tasks: dict[str, Any] = {}
        self._count = 0

    async def start(self, replicas: int = 6, nodes: int = 3, software: str = "v1") -> None:
        """Start a fleet whose replicas have the software versions in ``software`` in turn."""
        versions = software.split()
        await self.world.start(replicas=0, nodes=0)
        for number in range(replicas):
            await self._add(None, versions[number % len(versions)])
        await self.world.spawn(self._crash_marked)
        await self.add_nodes(nodes)

    async def add_nodes(self, count: int) -> None:
        for _ in range(count):
            await self.world.add_node()
        await self.world.wait_until(
            lambda: all(node.is_ready for node in self.world.nodes[-count:])
        )

    async def _add(self, address: tuple[str, int] | None, software: str) -> None:
        self._count += 1
        name = f"i-{self._count}"
        replica = PlatformReplica(name, address or ("127.0.0.1", free_port()), event_s=0.02)
        replica.software_version = software
        replica.closes_after = lambda arrival: self.closes_answers
        replica.on_arrival = self._note_arrival
        replica.choose_misdeed = lambda arrival: self._choose_misdeed(replica, arrival)
        task = await curio.spawn(replica.run, daemon=True)
        self._tasks[name] = task
        self._replicas.append(replica)
        self.world.tasks.append(task)
        self.world.store.put(names.REPLICA_TABLE, name, replica.document("model", "z1"))

    def _note_arrival(self, arrival: Arrival) -> None:
        if is_guilty(arrival):
            self.guilty_arrived_at.append(self.now)

    def _choose_misdeed(self, replica: PlatformReplica, arrival: Arrival) -> Misdeed | None:
        if not is_guilty(arrival):
            return None
        if replica.software_version == self.sound_software:
            return None
        self._crashing.append((self.now + CRASH_DELAY_S, replica))
        return Misdeed.BEGIN_CLOSED if self.closes_answers else Misdeed.BEGIN_SILENTLY

    async def _crash_marked(self) -> None:
        while True:
            await curio.sleep(POLL_INTERVAL_S)
            due = [replica for at, replica in self._crashing if at <= self.now]
            self._crashing = [entry for entry in self._crashing if entry[0] > self.now]
            for replica in due:
                await self.crash(replica)

    async def crash(self, replica: PlatformReplica) -> None:
        """Crash a replica; another one replaces it after ``RESTART_DELAY_S``."""
        task = self._tasks.pop(replica.replica_id, None)
        if task is None:
            return
        self.crashed_at.append(self.now)
        await task.cancel()
        await replica.crash()
        await self.world.spawn(self._replace_later, replica)

    async def _replace_later(self, replica: PlatformReplica) -> None:
        await curio.sleep(RESTART_DELAY_S)
        self.world.store.remove(names.REPLICA_TABLE, replica.replica_id)
        await self._add(replica.address, replica.software_version)

    @property
    def now(self) -> float:
        return monotonic_s()

    def world_replicas(self) -> list[PlatformReplica]:
        """Return the replicas that run."""
        return [replica for replica in self._replicas if replica.replica_id in self._tasks]

    async def kill_coordinator_after_crashes(self, crashes: int) -> None:
        await self.world.wait_until(lambda: len(self.crashed_at) >= crashes)
        coordinator = self.world.coordinator()
        if coordinator is not None:
            await self.world.kill_node(self.world.nodes.index(coordinator))

    def stored(self) -> dict[str, bytes]:
        """Return the stored rows of what is contained."""
        return self.world.store.rows.values(CRASH_RECORD_TABLE)

    # --- clients ---

    async def submit(self, job_id: str, prompts: list[list[str]]) -> Answer:
        """Submit a job with an item for each prompt."""
        requests = [
            {
                "id": f"{job_id}-{number}",
                "path": f"/jobs/{number}",
                "headers": {
                    names.PREFIX_HASH.decode(): ",".join(
                        f"{part_id}:40" for part_id in [*part_ids, f"{number:08x}"]
                    )
                },
                "body": b64encode(b"item %d" % number).decode(),
                "tokens": 10,
            }
            for number, part_ids in enumerate(prompts)
        ]
        body = json.dumps({"requests": requests}).encode()
        return await self.world.call(
            "POST", "/jobs/x", body, [(names.REQUEST_ID.decode(), job_id)], 0
        )

    async def send(self, node: int, part_ids: list[str]) -> Answer:
        """Send a request like no other one; its last part is its own."""
        own_id = f"{self.random.getrandbits(32):08x}"
        prompt = ",".join(f"{part_id}:40" for part_id in [*part_ids, own_id])
        headers = [
            (names.REQUEST_ID.decode(), self.world.new_id()),
            (names.DEADLINE_MS.decode(), "1500"),
            (names.PREFIX_HASH.decode(), prompt),
        ]
        return await self.world.call("POST", f"/chat/{own_id}", own_id.encode(), headers, node)

    def guilty_parts(self) -> list[str]:
        """Return the shared parts of a guilty request, among them those of sound ones."""
        topic = self.random.choice(TOPICS)
        return self.random.choice([[FIRST, GUILTY], [FIRST, GUILTY, topic], [FIRST, topic, GUILTY]])

    async def send_guilty(self) -> None:
        """Send guilty requests to random nodes until the end of the test."""
        while True:
            await curio.sleep(self.random.expovariate(1 / MEAN_GUILTY_INTERVAL_S))
            await self.world.spawn(self._send_one, self.guilty_parts(), self.guilty_answers)

    async def send_sound(self) -> None:
        """Send sound requests to random nodes until the end of the test."""
        while True:
            await curio.sleep(self.random.expovariate(1 / MEAN_SOUND_INTERVAL_S))
            parts = [FIRST, self.random.choice(TOPICS)]
            await self.world.spawn(self._send_one, parts, self.sound_answers)

    async def _send_one(self, part_ids: list[str], answers: list[tuple[float, Answer]]) -> None:
        sent_at, node = self.now, self.random.choice(self.live_nodes)
        try:
            answers.append((sent_at, await self.send(node, part_ids)))
        except OSError:
            # The node was killed.
            return

    @property
    def live_nodes(self) -> list[int]:
        return [index for index, task in enumerate(self.world.node_tasks) if not task.terminated]

    # --- results ---

    @property
    def synchronized_at(self) -> float:
        """When at most ``MAX_LATE_REQUESTS`` more may be sent; inf before the fifth crash."""
        if len(self.crashed_at) < ALLOWED_CRASHES:
            return float("inf")
        return self.crashed_at[ALLOWED_CRASHES - 1] + SYNC_TIMEOUT_S

    def late_arrivals(self, since: float) -> int:
        """Return how many guilty requests reached a replica since a time."""
        return sum(at > since for at in self.guilty_arrived_at)

    def served_share(self, since: float) -> float:
        """Return the share of the sound requests sent since a time that were answered."""
        answers = [answer for sent_at, answer in self.sound_answers if sent_at > since]
        served = [answer for answer in answers if answer.status == 200 and answer.is_whole]
        return len(served) / len(answers)

    async def wait_until_answered(self) -> None:
        """Wait until all nodes know the standbys and have answered requests of all topics.

        Where no part was ever answered, nothing tells the guilty one from those that came with it.
        """
        nodes = self.world.nodes
        await self.world.wait_until(lambda: all(has_standbys(node._fleet.leader) for node in nodes))
        for node in self.live_nodes:
            for topic in TOPICS:
                assert (await self.send(node, [FIRST, topic])).status == 200

    async def observe(self) -> float:
        """Let clients send until ``OBSERVED_S`` after all nodes must know; return since when."""
        await self.world.spawn(self.send_guilty)
        await self.world.spawn(self.send_sound)
        began_at = self.now
        while self.now < began_at + MAX_FIRST_CRASHES_S + SYNC_TIMEOUT_S + OBSERVED_S:
            await curio.sleep(0.05)
            if self.now > self.synchronized_at + OBSERVED_S:
                break
        return min(self.synchronized_at, began_at + MAX_FIRST_CRASHES_S + SYNC_TIMEOUT_S)


def play(seed: int, scenario: Any) -> None:
    async def main(world: FleetWorld) -> None:
        await scenario(PartWorld(world, seed))

    in_world(main)


@pytest.mark.parametrize("seed", range(2))
def test_requests_that_share_a_crashing_part_reach_few_replicas(seed: int) -> None:
    async def scenario(parts: PartWorld) -> None:
        await parts.start()
        since = await parts.observe()
        assert parts.late_arrivals(since) <= MAX_LATE_REQUESTS
        assert len(parts.crashed_at) <= MAX_CRASHES
        assert parts.served_share(since) >= MIN_SERVED_SHARE
        # Nothing was sent, and no caller is asked to retry.
        answer = await parts.send(0, parts.guilty_parts())
        assert answer.status == 503
        assert "retry-after" not in answer.headers

    play(seed, scenario)


def test_crashed_answers_that_look_whole_clear_no_part() -> None:
    """Answers end with their connection, and so does one whose replica crashes."""

    async def scenario(parts: PartWorld) -> None:
        parts.closes_answers = True
        await parts.start()
        since = await parts.observe()
        assert parts.late_arrivals(since) <= MAX_LATE_REQUESTS
        assert parts.served_share(since) >= MIN_SERVED_SHARE

    play(3, scenario)


def test_part_is_contained_although_the_coordinator_is_killed() -> None:
    async def scenario(parts: PartWorld) -> None:
        await parts.start()
        await parts.world.spawn(parts.kill_coordinator_after_crashes, 2)
        since = await parts.observe()
        assert parts.late_arrivals(since) <= MAX_LATE_REQUESTS
        assert parts.served_share(since) >= MIN_SERVED_SHARE

    play(4, scenario)


# Guards against a part whose crashes are not shared after the loss of the coordinator, in a fleet
# that has answered requests before.
def test_part_is_contained_in_a_warm_fleet_although_the_coordinator_is_killed() -> None:
    async def scenario(parts: PartWorld) -> None:
        await parts.start()
        await parts.wait_until_answered()
        await parts.world.spawn(parts.kill_coordinator_after_crashes, 2)
        since = await parts.observe()
        assert parts.late_arrivals(since) <= MAX_LATE_REQUESTS
        assert len(parts.crashed_at) <= MAX_CRASHES
        assert parts.served_share(since) >= MIN_SERVED_SHARE

    play(4, scenario)


# Guards against sound requests that are contained with the part, where each part was answered.
@pytest.mark.parametrize("seed", [1, 2])
def test_crashing_part_reaches_few_replicas_of_a_warm_fleet(seed: int) -> None:
    async def scenario(parts: PartWorld) -> None:
        await parts.start()
        await parts.wait_until_answered()
        since = await parts.observe()
        assert parts.late_arrivals(since) <= MAX_LATE_REQUESTS
        assert len(parts.crashed_at) <= MAX_CRASHES
        assert parts.served_share(since) >= MIN_SERVED_SHARE

    play(seed, scenario)


def test_part_stays_contained_when_all_nodes_are_restarted() -> None:
    async def scenario(parts: PartWorld) -> None:
        await parts.start(nodes=1)
        await parts.observe()
        await parts.world.wait_until(lambda: bool(parts.stored()))
        arrived = len(parts.guilty_arrived_at)
        await parts.world.kill_node(0)
        parts.world.nodes.clear()
        parts.world.node_tasks.clear()
        await parts.add_nodes(1)
        await parts.world.wait_until(lambda: parts.world.nodes[0]._crash_record_store.is_read)
        answers = [await parts.send(0, parts.guilty_parts()) for _ in range(5)]
        assert {answer.status for answer in answers} == {503}
        assert (await parts.send(0, [FIRST, TOPICS[0]])).status == 200
        # The clients of the observation go on meanwhile.
        assert len(parts.guilty_arrived_at) - arrived <= MAX_LATE_REQUESTS

    play(5, scenario)


def test_answers_of_another_software_version_do_not_clear_a_part() -> None:
    """Half of the replicas answer requests with the part that crashes the others."""

    async def scenario(parts: PartWorld) -> None:
        parts.sound_software = "v2"
        await parts.start(software="v1 v2")
        since = await parts.observe()
        assert parts.late_arrivals(since) <= MAX_LATE_REQUESTS
        assert parts.served_share(since) >= MIN_SERVED_SHARE

    play(6, scenario)


@pytest.mark.parametrize("gap_s", [0.0, 0.2])
def test_no_part_is_blamed_for_crashes_of_all_replicas(gap_s: float) -> None:
    """Replicas crash for other reasons, all at once or one after the other, three times."""

    async def scenario(parts: PartWorld) -> None:
        await parts.start()
        await parts.world.spawn(parts.send_sound)
        for _ in range(3):
            await curio.sleep(1.0)
            for replica in list(parts.world_replicas()):
                await parts.crash(replica)
                await curio.sleep(gap_s)
            await curio.sleep(RESTART_DELAY_S)
        await curio.sleep(1.0)
        ledgers = [node._fleet_state.crash_ledger for node in parts.world.nodes]
        assert [key for ledger in ledgers for key in ledger.contained() if is_part_key(key)] == []
        answers = [await parts.send(node, [FIRST, topic]) for node in range(3) for topic in TOPICS]
        assert {answer.status for answer in answers} == {200}

    play(7, scenario)


def test_items_with_a_crashing_part_wait_while_others_go_on() -> None:
    """Eight items of a job share the part; each would crash a replica, again and again."""

    async def scenario(parts: PartWorld) -> None:
        await parts.start(nodes=2)
        guilty = [[FIRST, GUILTY]] * 8
        sound = [[FIRST, TOPICS[number % 2]] for number in range(12)]
        assert (await parts.submit("j1", [*guilty, *sound])).status == 202
        results = await parts.world.until_done("j1", len(sound))
        assert sorted(result["id"] for result in results) == sorted(
            f"j1-{number}" for number in range(len(guilty), len(guilty) + len(sound))
        )
        await curio.sleep(SYNC_TIMEOUT_S)
        crashes = len(parts.crashed_at)
        assert crashes <= MAX_CRASHES
        await curio.sleep(OBSERVED_S)
        assert len(parts.crashed_at) - crashes <= 1

    play(8, scenario)
