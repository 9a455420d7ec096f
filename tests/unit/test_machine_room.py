"""When a node is full, under any course of its load: no network, time by hand."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverwalk.fleet.fullness import median_by_zone
from cloverwalk.fleet.messages import Report
from cloverwalk.gateway.held_bytes import BODY_COPIES, HAND_IN_SHARE, HeldBytes
from cloverwalk.gateway.machine_room import (
    AVERAGE_S,
    DWELL_S,
    MARGIN,
    MOST_UNREADY_S,
    PEERS_FRESH_S,
    UNREADY_SHARE,
    MachineRoom,
    MachineSize,
    Resource,
    RoomVerdict,
    Usage,
)

SIZE = MachineSize(connections=100, link_bytes_per_s=1e6, processor=0.4, held_bytes=1000)

LOADS = st.lists(
    st.tuples(
        st.floats(0.01, 3.0),
        st.integers(0, 300),
        st.integers(0, 3000),
        st.floats(0.0, 1.0),
        st.integers(0, 150),
    ),
    max_size=80,
)
"""Steps of time, connections, bytes held, lateness and the peers' fullness."""


@given(LOADS)
def test_no_verdict_flaps_and_a_node_is_seldom_not_ready(
    steps: list[tuple[float, int, int, float, int]],
) -> None:
    room, now, unready_s = MachineRoom(SIZE, 0.0), 0.0, 0.0
    changed_at, before = 0.0, room.verdict
    for step_s, connections, held, late_s, peers in steps:
        now += step_s
        was_ready = room.is_ready
        room.note_peers(peers, now)
        assert room.look(Usage(0, 0.0, connections, held, late_s), now)
        assert all(share >= 0 for share in room.by_resource.values())
        assert room.fullness == max(connections / 100, held / 1000)
        if room.verdict is not before:
            assert now - changed_at >= DWELL_S
            changed_at, before = now, room.verdict
        if room.verdict is RoomVerdict.TAKES_ALL:
            assert room.is_ready
        unready_s += 0.0 if was_ready else step_s
        # A look that comes late ends the time in which the node is not ready that much later.
        assert unready_s <= MOST_UNREADY_S + UNREADY_SHARE * now + 3.0 * (1 + now / 30)


@given(LOADS)
def test_a_node_whose_peers_are_as_full_or_unknown_turns_nothing_away(
    steps: list[tuple[float, int, int, float, int]],
) -> None:
    for are_peers_known in (True, False):
        room, now = MachineRoom(SIZE, 0.0), 0.0
        for step_s, connections, held, late_s, _ in steps:
            now += step_s
            if are_peers_known:
                room.note_peers(max(1, round(max(connections, held / 10))), now)
            room.look(Usage(0, 0.0, connections, held, late_s), now)
            assert room.verdict is RoomVerdict.TAKES_ALL


def test_a_weak_machine_that_fills_up_first_is_full_and_takes_again_only_well_below() -> None:
    room = MachineRoom(SIZE, 0.0)
    seen = []
    for turn, connections in enumerate((80, 86, 80, 70, 66, 64)):
        now = 3.0 * (turn + 1)
        room.note_peers(30, now)
        room.look(Usage(connections=connections), now)
        seen.append(room.verdict is RoomVerdict.TAKES_ALL)
    assert seen == [True, False, False, False, False, True]


@pytest.mark.parametrize(
    ("late_s", "verdict"), [(0.0, RoomVerdict.TAKES_NO_NEW), (0.5, RoomVerdict.OVER)]
)
def test_a_busy_processor_refuses_requests_only_where_the_loop_is_late(
    late_s: float, verdict: RoomVerdict
) -> None:
    room = MachineRoom(SIZE, 0.0)
    for turn in range(1, 40):
        now = turn * 0.5
        room.note_peers(40, now)
        # All of 0.4 cores.
        room.look(Usage(processor_s=0.4 * now, late_s=late_s), now)
    assert room.scarcest is Resource.PROCESSOR
    assert room.verdict is verdict


def test_a_link_is_judged_by_its_average_not_by_one_burst() -> None:
    room = MachineRoom(SIZE, 0.0)
    room.note_peers(10, 0.1)
    room.look(Usage(), 0.0)
    room.look(Usage(sent_bytes=200_000), 0.1)
    assert room.by_resource[Resource.LINK] < 2 * 0.1 / AVERAGE_S
    for turn in range(1, 21):
        room.look(Usage(sent_bytes=200_000 + 500_000 * turn), 0.1 + 0.5 * turn)
    assert room.by_resource[Resource.LINK] == pytest.approx(1.0, abs=0.05)


def test_figures_that_cannot_be_true_are_left_out() -> None:
    room = MachineRoom(SIZE, 10.0)
    assert not room.note_peers(-1, 11.0)
    assert not room.look(Usage(connections=-5), 11.0)
    assert not room.look(Usage(processor_s=float("nan")), 11.0)
    assert not room.look(Usage(connections=99), 9.0)
    assert room.fullness == 0.0
    # Limits that are not told are never reached.
    unknown = MachineRoom(MachineSize(), 0.0)
    unknown.note_peers(1, 3.0)
    unknown.look(Usage(10**9, 1e6, 10**6, 10**12), 3.0)
    assert unknown.verdict is RoomVerdict.TAKES_ALL


def test_counts_that_did_not_begin_at_zero_are_no_use_of_the_machine() -> None:
    # A process clock tells any figure at first; taken for use, a node that has just started was
    # full for its first ten seconds.
    room = MachineRoom(SIZE, 0.0)
    for turn in range(1, 10):
        room.note_peers(5, 0.5 * turn)
        assert room.look(Usage(10**9, 70_000.0 + 0.01 * turn), 0.5 * turn)
        assert room.fullness < 0.1
    # One that goes back measures nothing.
    assert not room.look(Usage(10**9, 1.0), 6.0)
    assert room.look(Usage(10**9, 1.1), 6.5)
    assert room.by_resource[Resource.PROCESSOR] == 0.0


def test_a_process_clock_faster_than_time_is_none_and_counts_nowhere() -> None:
    # Taken for use, all nodes but the first to be told of their peers were full at once.
    room = MachineRoom(SIZE, 0.0)
    told = []
    for turn in range(1, 20):
        room.note_peers(5, 0.5 * turn)
        usage = Usage(processor_s=turn * (1.0 if turn < 10 else 0.2), connections=5)
        told.append(room.look(usage, 0.5 * turn))
        assert (room.scarcest, room.fullness) == (Resource.CONNECTIONS, 0.05)
        assert room.verdict is RoomVerdict.TAKES_ALL
    # It is told once; the other figures go on to count.
    assert told.count(False) == 1


def test_what_was_told_of_the_peers_gets_old() -> None:
    room = MachineRoom(SIZE, 0.0)
    room.note_peers(round(100 * (1 - MARGIN)), 3.0)
    verdicts = []
    for now in (3.0, 3.1 + PEERS_FRESH_S):
        room.look(Usage(connections=100), now)
        verdicts.append((room.verdict, room.over_for_s(now + 1.0)))
    assert verdicts == [(RoomVerdict.OVER, 1.0), (RoomVerdict.TAKES_ALL, 0.0)]


def test_the_middle_of_a_zone_is_told_by_those_that_measure_and_stay() -> None:
    def report(node: str, zone: str, percent: int, is_leaving: bool = False) -> Report:
        return Report(
            node, "r", zone, 1, 0, 0, 0, 0, is_leaving=is_leaving, fullness_percent=percent
        )

    reports = [report(f"a{one}", "a", percent) for one, percent in enumerate((90, 20, 30, 95))]
    reports += [report("a4", "a", 1, is_leaving=True), report("b0", "b", 88), report("c0", "c", 0)]
    assert median_by_zone(reports) == {"a": 30, "b": 88}


class FakeReader:
    """A client that takes nothing."""

    def __init__(self, held: HeldBytes, took_at: float) -> None:
        self._held = held
        self.took_at = took_at
        self.waiting_bytes = 0
        self.is_given_up = False

    def add(self, size: int, now: float) -> None:
        self.waiting_bytes += size
        self._held.note_waiting(self, now)

    def take(self, size: int) -> None:
        self.waiting_bytes = max(0, self.waiting_bytes - size)
        self._held.note_taken(self)

    def give_up(self) -> None:
        self.is_given_up = True
        self.waiting_bytes = 0


@given(st.lists(st.tuples(st.integers(0, 19), st.integers(1, 400)), max_size=200))
def test_whatever_clients_do_not_read_the_process_holds_no_more_than_its_limit(
    pieces: list[tuple[int, int]],
) -> None:
    held = HeldBytes(2000)
    readers = [FakeReader(held, float(number)) for number in range(20)]
    for turn, (number, size) in enumerate(pieces):
        if readers[number].is_given_up:
            continue
        others = [one for one in readers if one.waiting_bytes and one is not readers[number]]
        readers[number].add(size, 100.0 + turn)
        if turn % 3 == 0:
            readers[number].take(size // 2)
        assert held.total == sum(one.waiting_bytes for one in readers) <= 2000
        given_up = [one.took_at for one in others if one.is_given_up]
        kept = [one.took_at for one in others if not one.is_given_up]
        assert not given_up or not kept or max(given_up) < min(kept)
    assert held.given_up_total == sum(one.is_given_up for one in readers)


def test_a_slow_reader_makes_room_for_a_body_and_then_no_body_is_read() -> None:
    held = HeldBytes(1000)
    slow, quick = FakeReader(held, 1.0), FakeReader(held, 2.0)
    slow.add(300, 3.0)
    quick.add(300, 3.0)
    assert held.has_room(300, 4.0)
    assert (slow.is_given_up, quick.is_given_up) == (True, False)
    # Nobody is given up for what would not fit anyway.
    assert not held.has_room(1000 // BODY_COPIES + 1, 5.0)
    assert not quick.is_given_up
    told = held.take_given_up()
    assert (told.count, told.most_bytes, told.longest_s) == (1, 300, 3.0)
    assert held.take_given_up().count == 0


def test_jobs_leave_room_for_online_requests() -> None:
    held = HeldBytes(1000)
    held.jobs = 500
    assert held.has_room_for_job(int(1000 * HAND_IN_SHARE) - 500)
    assert not held.has_room_for_job(int(1000 * HAND_IN_SHARE) - 499)
    held.jobs = 1000
    # A limit that nobody told is none.
    assert HeldBytes().has_room_for_job(10**9)
    assert HeldBytes().has_room(10**9, 0.0)
