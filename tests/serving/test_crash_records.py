"""Crash records of a fleet: merging, containment, and distribution despite failures of nodes."""

from random import Random

import curio
import pytest
from coordination_world import CoordinationWorld, FleetNode
from hypothesis import given, settings
from hypothesis import strategies as st

from cloverwalk.emulator.memory_store import CommitFault
from cloverwalk.fleet.datagrams import MAX_DATAGRAM_BYTES
from cloverwalk.fleet.messages import CrashCases, Report, encode_datagram
from cloverwalk.gateway.crash_keys import RequestKeys, part_key
from cloverwalk.gateway.crash_ledger import (
    CONTAINMENT_THRESHOLD,
    MAX_INCARNATIONS,
    MAX_RECORDS,
    MAX_SHARED_RECORDS,
    MAX_STORED_ANSWERS,
    OBSERVATION_TTL_S,
    RECORD_TTL_S,
    REPORTING_TIME_S,
    SHARING_THRESHOLD,
    STORED_ANSWER_TTL_S,
    TRIAL_DELAYS_S,
    TRIAL_TIMEOUT_S,
    Containment,
    CrashLedger,
    CrashRecord,
    InvalidCrashRecordError,
)
from cloverwalk.gateway.part_blame import ANSWERED_PART
from cloverwalk.gateway.software_versions import Software

GUILTY = "a" * 20
POPULAR = "b" * 20
SYNC_TIMEOUT_S = 3.0
"""Once this time has passed after the third crash, at most ``MAX_RETRIES`` more may be sent."""

MAX_RETRIES = 3
PART_CRASHES = 5
"""Crashes under a part after which at most ``MAX_RETRIES`` may follow."""

SOFTWARE = Software("model", "v1")
NODES = 5
REQUEST_INTERVAL_S = 0.5


# --- one ledger ---


@given(
    events=st.lists(
        st.tuples(st.integers(0, 5), st.integers(0, 40)).map(
            lambda drawn: (f"r{drawn[0]}" if drawn[0] else "", float(drawn[1]))
        ),
        max_size=12,
    ),
    seed=st.integers(0, 1000),
)
def test_merge_order_of_crash_records_makes_no_difference(
    events: list[tuple[str, float]], seed: int
) -> None:
    """Repeated, late and reordered records lead to the same number of crashes at all nodes."""
    now = 50.0
    records = []
    for replica_id, at in events:
        source = CrashLedger()
        if replica_id:
            source.note_crash(GUILTY, replica_id, at)
        else:
            source.note_crash(GUILTY, "none", at - 1)
            source.note_answer(GUILTY, at)
        records.append(source.record_of(GUILTY, now))
    answered_at = max((at for replica_id, at in events if not replica_id), default=-1.0)
    first_at: dict[str, float] = {}
    for replica_id, at in events:
        if replica_id and at > answered_at:
            first_at[replica_id] = at
    ledger = CrashLedger()
    Random(seed).shuffle(records)
    for record in [*records, *records]:
        ledger.merge(record, now)
    assert ledger.crashes(GUILTY) == len(first_at)


def test_trials_run_one_at_a_time_with_growing_pauses() -> None:
    ledger = CrashLedger()
    for number in range(CONTAINMENT_THRESHOLD):
        ledger.note_crash(GUILTY, f"r{number}", 10.0)
    now = 10.0
    last_s = TRIAL_DELAYS_S[-1]
    for step, pause_s in enumerate([*TRIAL_DELAYS_S, *(last_s for _ in range(MAX_INCARNATIONS))]):
        assert ledger.containment(GUILTY, now + pause_s - 0.1) is Containment.CONTAINED
        now += pause_s
        # Only the coordinator admits trials.
        assert not ledger.try_admit(GUILTY, now)
        ledger.grants_trials = True
        assert ledger.try_admit(GUILTY, now)
        assert not ledger.try_admit(GUILTY, now)
        assert ledger.containment(GUILTY, now + TRIAL_TIMEOUT_S) is Containment.TRIAL_DUE
        ledger.note_crash(GUILTY, f"t{step}", now)
        ledger.grants_trials = False


def test_contained_request_survives_a_flood_of_other_records() -> None:
    ledger = CrashLedger()
    for number in range(CONTAINMENT_THRESHOLD):
        ledger.note_crash(GUILTY, f"r{number}", 1.0)
    for number in range(2 * MAX_RECORDS):
        content = f"{number:020d}"
        for crash in range(1 + number % SHARING_THRESHOLD):
            ledger.note_crash(content, f"s{crash}", 2.0)
    assert ledger.containment(GUILTY, 2.0) is Containment.CONTAINED
    assert len(ledger._entries) <= MAX_RECORDS
    assert len(ledger.shared_records(3.0)) <= MAX_SHARED_RECORDS
    for number in range(MAX_SHARED_RECORDS):
        for crash in range(2 * MAX_INCARNATIONS):
            ledger.note_crash(f"{number:020d}", f"i-{crash:010d}", 2.0 + crash)
    assert len(ledger.shared_records(3.0)) == MAX_SHARED_RECORDS
    assert len(encode_datagram(CrashCases(ledger.shared_records(3.0)))) < MAX_DATAGRAM_BYTES


def test_old_crash_records_expire() -> None:
    ledger = CrashLedger()
    for number in range(CONTAINMENT_THRESHOLD):
        ledger.note_crash(GUILTY, f"r{number}", 1.0)
    assert ledger.expire(RECORD_TTL_S) == []
    assert ledger.expire(1.0 + RECORD_TTL_S) == [GUILTY]
    assert ledger.is_empty and ledger.digest == 0


def ledger_with_stream(
    *sound_runs: bool, guilty_crashes: int = CONTAINMENT_THRESHOLD
) -> CrashLedger:
    """A stream went on at one replica after another, while a request crashed some of them."""
    ledger = CrashLedger()
    for number, was_sound in enumerate(sound_runs):
        ledger.note_crash(POPULAR, f"r{number}", 10.0 + number, was_sound=was_sound)
    for number in range(guilty_crashes):
        ledger.note_crash(GUILTY, f"r{number}", 10.0 + number)
    return ledger


# Guards against refusing a sound stream that went on at the replicas which another request crashed.
def test_stream_is_not_contained_for_crashes_that_another_content_explains() -> None:
    ledger = ledger_with_stream(True, False, False)
    assert ledger.contained() == {GUILTY: CONTAINMENT_THRESHOLD}
    # Nodes that get its record agree, and so does one that knows each crash from another node.
    receiver = CrashLedger()
    for record in [*ledger.shared_records(20.0), *ledger.shared_records(20.0)]:
        receiver.merge(record, 20.0)
    assert receiver.contained() == ledger.contained()


# Guards against a request that is sent on and on, since its answers run for a while before a crash.
def test_stream_is_contained_for_crashes_that_nothing_else_explains() -> None:
    assert POPULAR in ledger_with_stream(True, True, True, guilty_crashes=0).contained()
    assert POPULAR in ledger_with_stream(True, True, True, guilty_crashes=2).contained()
    assert POPULAR in ledger_with_stream(False, False, False).contained()
    assert POPULAR in ledger_with_stream(True, True, True, True, True, True).contained()
    both = ledger_with_stream(True, True, True, guilty_crashes=0)
    for number in range(CONTAINMENT_THRESHOLD):
        both.note_crash(GUILTY, f"r{number}", 10.0 + number, was_sound=True)
    assert both.contained().keys() == {POPULAR, GUILTY}


# Guards against evidence that depends on which of two copies of a request is reported first.
def test_crash_counts_as_in_a_sound_run_only_if_it_was_one_for_all_copies() -> None:
    for first, second in ((True, False), (False, True)):
        ledger = ledger_with_stream(True, False, False)
        copy = CrashLedger()
        copy.note_crash(POPULAR, "r0", 10.0, was_sound=first)
        copy.note_crash(POPULAR, "r0", 10.0, was_sound=second)
        ledger.merge(copy.record_of(POPULAR, 20.0), 20.0)
        assert POPULAR in ledger.contained()


@pytest.mark.parametrize(
    "record",
    [
        CrashRecord("short", {"r1": 1}),
        CrashRecord(GUILTY, {"r1": 1}, sound_runs=[True, False]),
        CrashRecord(GUILTY, {"r1": -5}),
        CrashRecord(GUILTY, {"r1": 5}, -5),
        CrashRecord(GUILTY, {f"r{number}": 5 for number in range(100)}),
    ],
)
def test_invalid_crash_record_is_rejected(record: CrashRecord) -> None:
    ledger = CrashLedger()
    with pytest.raises(InvalidCrashRecordError):
        ledger.merge(record, 10.0)
    assert ledger.is_empty


# --- a fleet ---


class Clients:
    """Clients that send a request which ends replicas, and a popular request that is answered."""

    def __init__(self, world: CoordinationWorld) -> None:
        self.world = world
        self.reached_at: list[float] = []
        """Times at which the guilty request reached a replica."""

        self.synchronized_at: list[float] = []
        """The same, only of requests sent by nodes that had contact to the others."""

        self.disturbed_at: dict[str, float] = {}
        """Time of the last restart, isolation or message loss, by node."""

        self.refused_popular = 0
        self.popular_crashes = 0
        """Number of replicas that ended while they ran the popular request."""

    def _may_send(self, node: FleetNode, content: str) -> bool:
        """Check the ledgers of the node and of the coordinator it follows, as the relay does."""
        now = self.world.now
        if node.ledger.containment(content, now) is Containment.CONTAINED:
            return False
        if not node.ledger.crashes(content):
            return True
        deciders = [
            peer
            for peer in self.world.nodes
            if peer.name == node.follows and peer.host not in self.world.wire.cut_hosts
        ]
        decider = deciders[0] if deciders and node.host not in self.world.wire.cut_hosts else node
        return decider.ledger.try_admit(content, now)

    async def send_guilty(self, node: FleetNode) -> None:
        if self._may_send(node, GUILTY):
            now = self.world.now
            self.reached_at.append(now)
            if now - self.disturbed_at.get(node.name, float("-inf")) > SYNC_TIMEOUT_S:
                self.synchronized_at.append(now)
            node.ledger.note_crash(GUILTY, f"e{len(self.reached_at)}", now)
            await self._report(node)

    async def send_popular(self, node: FleetNode, has_crashed: bool) -> None:
        if not self._may_send(node, POPULAR):
            self.refused_popular += 1
        elif has_crashed:
            self.popular_crashes += 1
            node.ledger.note_crash(POPULAR, f"p{self.popular_crashes}", self.world.now)
            await self._report(node)
        else:
            node.ledger.note_answer(POPULAR, self.world.now)
            await self._report(node)

    async def _report(self, node: FleetNode) -> None:
        """Send a report, as a node does within milliseconds of the end of a request."""
        await node.client._report()
        await self.world.deliver()

    async def pass_time(self, seconds: float) -> None:
        """Let time pass; nodes whose report was requested send it at once."""
        for _ in range(round(seconds / self.world.STEP_S)):
            await self.world.run(self.world.STEP_S)
            for node in self.world.nodes:
                if node.client._report_requested.is_set():
                    node.client._report_requested.clear()
                    await self._report(node)

    def retries(self) -> int:
        """Return how often it was sent more than ``SYNC_TIMEOUT_S`` after the third crash."""
        if len(self.reached_at) < CONTAINMENT_THRESHOLD:
            return 0
        third_at = self.reached_at[CONTAINMENT_THRESHOLD - 1]
        return sum(at > third_at + SYNC_TIMEOUT_S for at in self.synchronized_at)


class Disturbances:
    """Disturbs a fleet at random by restarts, hosts that are cut off, and lost messages."""

    def __init__(self, world: CoordinationWorld, clients: Clients, seed: int) -> None:
        self.world = world
        self.random = Random(seed)
        self._clients = clients

    async def replace(self) -> None:
        """End the current disturbance and begin a random one, or none."""
        world, random = self.world, self.random
        world.wire.cut_hosts.clear()
        world.wire.dropped_kinds.clear()
        match random.randrange(6):
            case 0:
                await self._restart(random.choice(world.active))
            case 1:
                await self._restart(random.choice(world.nodes))
            case 2:
                world.wire.cut_hosts.add(random.choice(world.nodes).host)
            case 3:
                world.wire.dropped_kinds.add(random.choice([CrashCases, Report]))
            case _:
                pass

    def record(self) -> None:
        """Record the nodes that are cut off or lose messages now."""
        for node in self.world.nodes:
            if node.host in self.world.wire.cut_hosts or self.world.wire.dropped_kinds:
                self._clients.disturbed_at[node.name] = self.world.now

    async def _restart(self, node: FleetNode) -> None:
        restarted = self.world.replace(node)
        self._clients.disturbed_at[restarted.name] = self.world.now
        self.world.load_replicas(restarted)
        await restarted.election._start()
        await restarted.crash_record_store.read()


@given(seed=st.integers(0, 10_000))
@settings(max_examples=40)
def test_crashing_request_reaches_few_replicas_despite_restarts_and_losses(seed: int) -> None:
    async def test() -> None:
        world = CoordinationWorld(NODES)
        await world.start()
        clients = Clients(world)
        disturbances = Disturbances(world, clients, seed)
        began_at = world.now
        while world.now - began_at < 20.0:
            if disturbances.random.random() < 0.15:
                await disturbances.replace()
            disturbances.record()
            node = disturbances.random.choice(world.nodes)
            await clients.send_guilty(node)
            await clients.pass_time(REQUEST_INTERVAL_S)
        assert clients.retries() <= MAX_RETRIES, clients.reached_at

    curio.run(test)


class PartClients(Clients):
    """Clients whose requests share a part that ends replicas, and nothing else."""

    GUILTY_KEYS = RequestKeys("", ("bad",))
    SOUND_KEYS = RequestKeys("", ("popular",))

    def may_send_part(self, node: FleetNode, keys: RequestKeys) -> bool:
        """Check the ledgers of the node and of the coordinator it follows, as the relay does."""
        now = self.world.now
        if node.ledger.containing_key(keys, now) is not None:
            return False
        key = node.ledger.suspect_key(keys)
        return key is None or self._may_send(node, key)

    async def send_guilty_part(self, node: FleetNode) -> None:
        """Send a request whose replica ends under it, with a sound one beside it."""
        if not self.may_send_part(node, self.GUILTY_KEYS):
            return
        now = self.world.now
        self.reached_at.append(now)
        if now - self.disturbed_at.get(node.name, float("-inf")) > SYNC_TIMEOUT_S:
            self.synchronized_at.append(now)
        replica, mark = f"e{len(self.reached_at)}", f"q{len(self.reached_at)}"
        for part_id in ("bad", "popular"):
            key = part_key(part_id, SOFTWARE)
            node.ledger.note_crash(key, replica, now, now - 0.2, mark)
        await self._report(node)

    async def send_sound_part(self, node: FleetNode) -> None:
        """Send a request with the popular part, which is answered unless it is refused."""
        if self.may_send_part(node, self.SOUND_KEYS):
            node.ledger.note_answer(part_key("popular", SOFTWARE), self.world.now)
            await self._report(node)
        else:
            self.refused_popular += 1

    def late_sends(self) -> int:
        """Return how often it was sent more than ``SYNC_TIMEOUT_S`` after the fifth crash."""
        if len(self.reached_at) < PART_CRASHES:
            return 0
        since = self.reached_at[PART_CRASHES - 1] + SYNC_TIMEOUT_S
        return sum(at > since for at in self.synchronized_at)


@given(seed=st.integers(0, 10_000))
@settings(max_examples=40)
def test_crashing_part_reaches_few_replicas_despite_restarts_and_losses(seed: int) -> None:
    async def test() -> None:
        world = CoordinationWorld(NODES)
        await world.start()
        clients = PartClients(world)
        disturbances = Disturbances(world, clients, seed)
        began_at = world.now
        while world.now - began_at < 20.0:
            if disturbances.random.random() < 0.15:
                await disturbances.replace()
            disturbances.record()
            await clients.send_guilty_part(disturbances.random.choice(world.nodes))
            await clients.send_sound_part(disturbances.random.choice(world.nodes))
            await clients.pass_time(REQUEST_INTERVAL_S)
        assert clients.late_sends() <= MAX_RETRIES, clients.reached_at
        assert clients.refused_popular == 0

    curio.run(test)


RUNS = 4
ROUNDS = 20


@pytest.mark.parametrize(
    ("crashed", "max_refused"),
    [(1, 0), (2, ROUNDS * RUNS // 20)],
    ids=["quarter of runs crash: never refused", "half of runs crash: at most 5 % refused"],
)
@given(seed=st.integers(0, 10_000))
@settings(max_examples=50)
def test_popular_request_is_rarely_contained_for_crashes_of_another(
    crashed: int, max_refused: int, seed: int
) -> None:
    """Each crash is of another replica, as if a guilty request ran beside it each time."""

    async def test() -> None:
        world = CoordinationWorld(NODES)
        await world.start()
        random = Random(seed)
        clients = Clients(world)
        for _ in range(ROUNDS):
            await clients.send_guilty(random.choice(world.nodes))
            for number, node in enumerate(random.sample(world.nodes, RUNS)):
                await clients.send_popular(node, has_crashed=number < crashed)
            await clients.pass_time(REQUEST_INTERVAL_S)
        assert clients.refused_popular <= max_refused

    curio.run(test)


def test_crash_records_are_reported_until_the_coordinator_has_them() -> None:
    async def test() -> None:
        world = CoordinationWorld(NODES)
        await world.start()
        node = next(candidate for candidate in world.nodes if not candidate.coordinator.is_active)
        world.wire.dropped_kinds.add(Report)
        for number in range(CONTAINMENT_THRESHOLD):
            node.ledger.note_crash(GUILTY, f"r{number}", world.now)
        await world.run(REPORTING_TIME_S - 1.0)
        assert world.coordinator.ledger.is_empty
        world.wire.dropped_kinds.clear()
        await world.run(2.0)
        assert [member.ledger.crashes(GUILTY) for member in world.nodes] == [
            CONTAINMENT_THRESHOLD
        ] * NODES

    curio.run(test)


def test_new_coordinator_adds_up_what_single_nodes_have_seen() -> None:
    """Each node has one crash of a part, and only the lost coordinator had all of them."""

    async def test() -> None:
        world = CoordinationWorld(NODES)
        await world.start()
        key = part_key("bad", SOFTWARE)
        lost = world.coordinator
        others = [node for node in world.nodes if node is not lost]
        world.wire.dropped_kinds.add(CrashCases)
        for number, node in enumerate(others):
            at = world.now - 4.0 + number
            node.ledger.note_crash(key, f"r{number}", at, at - 0.5, f"q{number}")
        await world.run(2 * REPORTING_TIME_S)
        assert lost.ledger.crashes(key) == len(others)
        assert [node.ledger.crashes(key) for node in others] == [1] * len(others)
        world.wire.dropped_kinds.clear()
        restarted = world.replace(lost)
        world.load_replicas(restarted)
        await restarted.election._start()
        await world.run(OBSERVATION_TTL_S / 2)
        assert [node.ledger.crashes(key) for node in world.nodes] == [len(others)] * NODES

    curio.run(test)


def test_answer_that_clears_the_only_crash_record_is_broadcast() -> None:
    """The node's ledger is empty then, while the coordinator and the others have the record."""

    async def test() -> None:
        world = CoordinationWorld(NODES)
        await world.start()
        for number in range(CONTAINMENT_THRESHOLD):
            world.coordinator.ledger.note_crash(POPULAR, f"r{number}", world.now)
        await world.run(2.0)
        assert [member.ledger.crashes(POPULAR) for member in world.nodes] == [
            CONTAINMENT_THRESHOLD
        ] * NODES
        node = next(candidate for candidate in world.nodes if not candidate.coordinator.is_active)
        node.ledger.note_answer(POPULAR, world.now)
        await world.run(2.0)
        assert [member.ledger.crashes(POPULAR) for member in world.nodes] == [0] * NODES

    curio.run(test)


OTHER_SOFTWARE = Software("other", "v1")
SOUND_PART = "popular"


def note_crash_of_part(world: CoordinationWorld, node: FleetNode, number: int) -> None:
    """Let a node see that a replica crashed under a request with the sound part."""
    key, at = part_key(SOUND_PART, SOFTWARE), world.now
    node.ledger.note_crash(key, f"r{number}", at, at - 0.2, f"q{number}")


def nodes_that_refuse(world: CoordinationWorld) -> list[str]:
    """Return the nodes that contain requests with the sound part."""
    keys = RequestKeys("", (SOUND_PART,))
    return [node.name for node in world.nodes if node.ledger.containing_key(keys, world.now)]


# All nodes but the one that had answered the part blamed it at the third crash. That node had told
# the coordinator, which told the others only when it merged the next crash.
@pytest.mark.parametrize("software", [SOFTWARE, OTHER_SOFTWARE])
def test_nodes_know_before_the_third_crash_that_a_part_was_answered(software: Software) -> None:
    async def test() -> None:
        world = CoordinationWorld(NODES)
        await world.start()
        answering, *others = [node for node in world.nodes if node is not world.coordinator]
        answering.ledger.note_answer(part_key(SOUND_PART, software), world.now)
        for number, node in enumerate(others):
            await world.run(2.0)
            note_crash_of_part(world, node, number)
            assert nodes_that_refuse(world) == []
        await world.run(2.0)
        assert nodes_that_refuse(world) == []
        assert answering.ledger.crashes(part_key(SOUND_PART, SOFTWARE)) == len(others)

    curio.run(test)


# The only node that had answered a part with one crash was killed and had told nobody.
def test_answer_at_other_software_outlasts_its_node() -> None:
    async def test() -> None:
        world = CoordinationWorld(NODES)
        await world.start()
        answering, *others = [node for node in world.nodes if node is not world.coordinator]
        note_crash_of_part(world, answering, 0)
        await world.run(0.5)
        answering.ledger.note_answer(part_key(SOUND_PART, OTHER_SOFTWARE), world.now)
        await world.run(2.0)
        world.kill(answering)
        for number, node in enumerate(others[:2], 1):
            await world.run(2.0)
            note_crash_of_part(world, node, number)
            assert nodes_that_refuse(world) == []
        await world.run(2.0)
        assert nodes_that_refuse(world) == []

    curio.run(test)


# After all nodes were killed, popular parts were blamed for three crashes of others.
def test_killed_fleet_knows_which_parts_were_answered_amid_crashes() -> None:
    async def test() -> None:
        world = CoordinationWorld(NODES)
        await world.start()
        other = next(node for node in world.nodes if node is not world.coordinator)
        note_crash_of_part(world, other, 0)
        await world.run(1.0)
        other.ledger.note_answer(part_key(SOUND_PART, SOFTWARE), world.now)
        await world.run(2.0)
        for kill in range(2):
            for node in list(world.nodes):
                world.replace(node)
            await world.start()
            for number in range(ANSWERED_PART.min_crashes - 1):
                await world.run(1.0)
                note_crash_of_part(world, world.nodes[number], 10 * kill + number)
                assert nodes_that_refuse(world) == []
            await world.run(2.0)
            assert nodes_that_refuse(world) == []
        # A guilty part is contained as without the kill.
        note_crash_of_part(world, world.nodes[0], 20)
        await world.run(2.0)
        assert nodes_that_refuse(world) == [node.name for node in world.nodes]

    curio.run(test)


def test_stored_answers_clear_no_crash_and_expire() -> None:
    key, now = part_key(SOUND_PART, SOFTWARE), 1000.0
    ledger = CrashLedger()
    for number in range(CONTAINMENT_THRESHOLD):
        ledger.note_crash(key, f"r{number}", 990.0 + number, 989.5 + number, f"q{number}")
    ledger.learn_stored_answer(CrashRecord(key, {}, 0), now)
    assert ledger.crashes(key) == CONTAINMENT_THRESHOLD
    assert not ledger.is_contained(key)
    assert ledger.answers_to_store() == [key]
    ledger.expire(now + STORED_ANSWER_TTL_S)
    assert ledger.answers_to_store() == []
    assert ledger.is_contained(key)
    old = CrashRecord(key, {}, round(STORED_ANSWER_TTL_S * 1000))
    ledger.learn_stored_answer(old, now + STORED_ANSWER_TTL_S)
    assert ledger.is_contained(key)


def test_stored_answers_are_few_and_only_of_parts_that_had_crashes() -> None:
    ledger = CrashLedger()
    for number in range(2 * MAX_STORED_ANSWERS):
        key = part_key(f"part{number}", SOFTWARE)
        ledger.note_answer(key, 1.0)
        assert key not in ledger.answers_to_store()
        ledger.note_crash(key, "r1", 2.0, 1.5, "q1")
        ledger.note_answer(key, 3.0)
        assert ledger.answers_to_store()[-1] == key
    assert len(ledger.answers_to_store()) == MAX_STORED_ANSWERS


def test_unchanged_crash_records_are_not_sent_again() -> None:
    async def test() -> None:
        world = CoordinationWorld(NODES)
        await world.start()
        for number in range(CONTAINMENT_THRESHOLD):
            world.coordinator.ledger.note_crash(GUILTY, f"r{number}", world.now)
        await world.run(5.0)
        sent = world.wire.bytes_by_kind[CrashCases]
        assert sent > 0
        await world.run(5.0)
        assert world.wire.bytes_by_kind[CrashCases] == sent

    curio.run(test)


# A write without an answer that the store does later overwrote the row of a newer one.
def test_late_write_of_a_crash_record_does_not_replace_a_newer_one() -> None:
    async def test() -> None:
        world = CoordinationWorld(NODES)
        await world.start()
        coordinator = world.coordinator
        for number in range(CONTAINMENT_THRESHOLD):
            coordinator.ledger.note_crash(GUILTY, f"r{number}", world.now)
        world.store.commit_faults.append(CommitFault.LATE)
        await coordinator.crash_record_store.write_due()
        coordinator.ledger.note_crash(GUILTY, "r-next", world.now)
        while not await coordinator.crash_record_store.write_due():
            pass
        world.store.run_late()
        restarted = world.replace(coordinator)
        await restarted.crash_record_store.read()
        assert restarted.ledger.crashes(GUILTY) == CONTAINMENT_THRESHOLD + 1

    curio.run(test)


# After a lost answer the rows were merged again, later than they were, and undid an answer.
def test_rows_that_are_read_again_do_not_undo_an_answer() -> None:
    async def test() -> None:
        world = CoordinationWorld(NODES)
        await world.start()
        coordinator = world.coordinator
        for number in range(CONTAINMENT_THRESHOLD):
            coordinator.ledger.note_crash(POPULAR, f"r{number}", world.now)
        assert await coordinator.crash_record_store.write_due()
        coordinator.ledger.note_answer(POPULAR, world.now)
        # The store's time stands still, so the ages of its rows are too low.
        world.now += 0.5
        world.store.commit_faults.append(CommitFault.LATE)
        while not await coordinator.crash_record_store.write_due():
            pass
        assert coordinator.ledger.crashes(POPULAR) == 0
        assert world.store.values("crash") == {}

    curio.run(test)
