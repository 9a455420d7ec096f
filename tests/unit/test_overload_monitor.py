"""When a node is full, under any course of its load: no network, time by hand."""

import curio
import h11
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverwalk.fleet.messages import Report
from cloverwalk.fleet.utilization import median_by_zone
from cloverwalk.gateway.memory_budget import BODY_COPIES, HAND_IN_SHARE, MemoryBudget
from cloverwalk.gateway.overload_monitor import (
    AVERAGE_S,
    DWELL_S,
    MARGIN,
    MOST_UNREADY_S,
    PEERS_FRESH_S,
    UNREADY_SHARE,
    MachineCapacity,
    OverloadMonitor,
    OverloadState,
    Resource,
    Usage,
)
from cloverwalk.gateway.reply import Reply
from cloverwalk.gateway.send_buffer import SendBuffer

SIZE = MachineCapacity(connections=100, link_bytes_per_s=1e6, processor=0.4, held_bytes=1000)

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
    room, now, unready_s = OverloadMonitor(SIZE, 0.0), 0.0, 0.0
    changed_at, before = 0.0, room.state
    for step_s, connections, held, late_s, peers in steps:
        now += step_s
        was_ready = room.is_ready
        room.set_peer_utilization(peers, now)
        assert room.update(Usage(0, 0.0, connections, held, late_s), now)
        assert all(share >= 0 for share in room.by_resource.values())
        assert room.utilization == max(connections / 100, held / 1000)
        if room.state is not before:
            assert now - changed_at >= DWELL_S
            changed_at, before = now, room.state
        if room.state is OverloadState.NORMAL:
            assert room.is_ready
        unready_s += 0.0 if was_ready else step_s
        # A look that comes late ends the time in which the node is not ready that much later.
        assert unready_s <= MOST_UNREADY_S + UNREADY_SHARE * now + 3.0 * (1 + now / 30)


@given(LOADS)
def test_a_node_whose_peers_are_as_full_or_unknown_turns_nothing_away(
    steps: list[tuple[float, int, int, float, int]],
) -> None:
    for are_peers_known in (True, False):
        room, now = OverloadMonitor(SIZE, 0.0), 0.0
        for step_s, connections, held, late_s, _ in steps:
            now += step_s
            if are_peers_known:
                room.set_peer_utilization(max(1, round(max(connections, held / 10))), now)
            room.update(Usage(0, 0.0, connections, held, late_s), now)
            assert room.state is OverloadState.NORMAL


def test_a_weak_machine_that_fills_up_first_is_full_and_takes_again_only_well_below() -> None:
    room = OverloadMonitor(SIZE, 0.0)
    seen = []
    for turn, connections in enumerate((80, 86, 80, 70, 66, 64)):
        now = 3.0 * (turn + 1)
        room.set_peer_utilization(30, now)
        room.update(Usage(connections=connections), now)
        seen.append(room.state is OverloadState.NORMAL)
    assert seen == [True, False, False, False, False, True]


@pytest.mark.parametrize(
    ("late_s", "verdict"), [(0.0, OverloadState.FULL), (0.5, OverloadState.OVERLOADED)]
)
def test_a_busy_processor_refuses_requests_only_where_the_loop_is_late(
    late_s: float, verdict: OverloadState
) -> None:
    room = OverloadMonitor(SIZE, 0.0)
    for turn in range(1, 40):
        now = turn * 0.5
        room.set_peer_utilization(40, now)
        # All of 0.4 cores.
        room.update(Usage(processor_s=0.4 * now, late_s=late_s), now)
    assert room.scarcest is Resource.PROCESSOR
    assert room.state is verdict


def test_a_link_is_judged_by_its_average_not_by_one_burst() -> None:
    room = OverloadMonitor(SIZE, 0.0)
    room.set_peer_utilization(10, 0.1)
    room.update(Usage(), 0.0)
    room.update(Usage(sent_bytes=200_000), 0.1)
    assert room.by_resource[Resource.LINK] < 2 * 0.1 / AVERAGE_S
    for turn in range(1, 21):
        room.update(Usage(sent_bytes=200_000 + 500_000 * turn), 0.1 + 0.5 * turn)
    assert room.by_resource[Resource.LINK] == pytest.approx(1.0, abs=0.05)


def test_figures_that_cannot_be_true_are_left_out() -> None:
    room = OverloadMonitor(SIZE, 10.0)
    assert not room.set_peer_utilization(-1, 11.0)
    assert not room.update(Usage(connections=-5), 11.0)
    assert not room.update(Usage(processor_s=float("nan")), 11.0)
    assert not room.update(Usage(connections=99), 9.0)
    assert room.utilization == 0.0
    # Limits that are not told are never reached.
    unknown = OverloadMonitor(MachineCapacity(), 0.0)
    unknown.set_peer_utilization(1, 3.0)
    unknown.update(Usage(10**9, 1e6, 10**6, 10**12), 3.0)
    assert unknown.state is OverloadState.NORMAL


def test_counts_that_did_not_begin_at_zero_are_no_use_of_the_machine() -> None:
    # A process clock tells any figure at first; taken for use, a node that has just started was
    # full for its first ten seconds.
    room = OverloadMonitor(SIZE, 0.0)
    for turn in range(1, 10):
        room.set_peer_utilization(5, 0.5 * turn)
        assert room.update(Usage(10**9, 70_000.0 + 0.01 * turn), 0.5 * turn)
        assert room.utilization < 0.1
    # One that goes back measures nothing.
    assert not room.update(Usage(10**9, 1.0), 6.0)
    assert room.update(Usage(10**9, 1.1), 6.5)
    assert room.by_resource[Resource.PROCESSOR] == 0.0


def test_a_process_clock_that_starts_below_zero_hides_no_other_figure() -> None:
    room = OverloadMonitor(SIZE, 0.0)
    for turn in range(1, 5):
        now = 0.5 * turn
        assert room.update(Usage(processor_s=0.01 * now - 70_000.0, connections=90), now)
        assert (room.scarcest, room.utilization) == (Resource.CONNECTIONS, 0.9)


def test_a_process_clock_faster_than_time_is_none_and_counts_nowhere() -> None:
    # Taken for use, all nodes but the first to be told of their peers were full at once.
    room = OverloadMonitor(SIZE, 0.0)
    told = []
    for turn in range(1, 20):
        room.set_peer_utilization(5, 0.5 * turn)
        usage = Usage(processor_s=turn * (1.0 if turn < 10 else 0.2), connections=5)
        told.append(room.update(usage, 0.5 * turn))
        assert (room.scarcest, room.utilization) == (Resource.CONNECTIONS, 0.05)
        assert room.state is OverloadState.NORMAL
    # It is told once; the other figures go on to count.
    assert told.count(False) == 1


def test_what_was_told_of_the_peers_gets_old() -> None:
    room = OverloadMonitor(SIZE, 0.0)
    room.set_peer_utilization(round(100 * (1 - MARGIN)), 3.0)
    verdicts = []
    for now in (3.0, 3.1 + PEERS_FRESH_S):
        room.update(Usage(connections=100), now)
        verdicts.append((room.state, room.overloaded_for_s(now + 1.0)))
    assert verdicts == [(OverloadState.OVERLOADED, 1.0), (OverloadState.NORMAL, 0.0)]


def test_the_middle_of_a_zone_is_told_by_those_that_measure_and_stay() -> None:
    def report(node: str, zone: str, percent: int, is_leaving: bool = False) -> Report:
        return Report(
            node, "r", zone, 1, 0, 0, 0, 0, is_leaving=is_leaving, utilization_percent=percent
        )

    reports = [report(f"a{one}", "a", percent) for one, percent in enumerate((90, 20, 30, 95))]
    reports += [report("a4", "a", 1, is_leaving=True), report("b0", "b", 88), report("c0", "c", 0)]
    assert median_by_zone(reports) == {"a": 30, "b": 88}


class FakeReader:
    """A client that takes nothing."""

    def __init__(self, held: MemoryBudget, took_at: float) -> None:
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
    held = MemoryBudget(2000)
    readers = [FakeReader(held, float(number)) for number in range(20)]
    for turn, (number, size) in enumerate(pieces):
        if readers[number].is_given_up:
            continue
        others = [one for one in readers if one.waiting_bytes and one is not readers[number]]
        readers[number].add(size, 100.0 + turn)
        if turn % 3 == 0:
            readers[number].take(size // 2)
        assert held.total_bytes == sum(one.waiting_bytes for one in readers) <= 2000
        given_up = [one.took_at for one in others if one.is_given_up]
        kept = [one.took_at for one in others if not one.is_given_up]
        assert not given_up or not kept or max(given_up) < min(kept)
    assert held.dropped_readers_total == sum(one.is_given_up for one in readers)


def test_a_slow_reader_makes_room_for_a_body_and_then_no_body_is_read() -> None:
    held = MemoryBudget(1000)
    slow, quick = FakeReader(held, 1.0), FakeReader(held, 2.0)
    slow.add(300, 3.0)
    quick.add(300, 3.0)
    assert held.has_room(300, 4.0)
    assert (slow.is_given_up, quick.is_given_up) == (True, False)
    # Nobody is given up for what would not fit anyway.
    assert not held.has_room(1000 // BODY_COPIES + 1, 5.0)
    assert not quick.is_given_up
    told = held.pop_dropped_readers()
    assert (told.count, told.max_bytes, told.max_stalled_s) == (1, 300, 3.0)
    assert held.pop_dropped_readers().count == 0


def test_jobs_leave_room_for_online_requests() -> None:
    held = MemoryBudget(1000)
    held.job_bytes = 500
    assert held.has_capacity_for_job(int(1000 * HAND_IN_SHARE) - 500)
    assert not held.has_capacity_for_job(int(1000 * HAND_IN_SHARE) - 499)
    held.job_bytes = 1000
    # A limit that nobody told is none.
    assert MemoryBudget().has_capacity_for_job(10**9)
    assert MemoryBudget().has_room(10**9, 0.0)


def test_an_answer_of_which_a_part_was_dropped_is_not_finished() -> None:
    # Its task was cancelled between the last write and the wait for the client.
    class FullSocket:
        """Takes nothing."""

        @property
        def _socket(self) -> "FullSocket":
            return self

        def send(self, data: bytes) -> int:
            raise BlockingIOError

    async def answer() -> Reply:
        sock = FullSocket()
        http = h11.Connection(h11.SERVER)
        http.receive_data(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        while not isinstance(http.next_event(), h11.EndOfMessage):
            pass
        reply = Reply(sock, http, False, SendBuffer(sock, MemoryBudget(), lambda: 0.0))
        reply._outbox.start = no_sender  # type: ignore[union-attr, method-assign]
        await reply.respond(200, [], b"answer")
        await reply.close()
        return reply

    async def no_sender() -> None:
        return

    assert not curio.run(answer).is_finished


def test_jobs_that_outgrew_their_share_keep_no_online_body_or_answer_out() -> None:
    # A node that took over the jobs of lost ones, or whose items have long outputs.
    held = MemoryBudget(1000)
    held.job_bytes = 5000
    assert held.has_room(100, 1.0)
    reader = FakeReader(held, 1.0)
    reader.add(200, 2.0)
    assert not reader.is_given_up
    assert not held.has_capacity_for_job(1)
