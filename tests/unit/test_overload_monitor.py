"""The overload monitor and the memory budget, under any load; without network or clock."""

import curio
import h11
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverwalk.fleet.messages import Report
from cloverwalk.fleet.utilization import median_by_zone
from cloverwalk.gateway.errors import ClientGoneError
from cloverwalk.gateway.memory_budget import BODY_COPIES, JOB_SHARE, MemoryBudget
from cloverwalk.gateway.overload_monitor import (
    AVERAGING_TIME_S,
    MAX_UNREADY_S,
    MAX_UNREADY_SHARE,
    MIN_STATE_DURATION_S,
    PEER_MARGIN,
    PEER_UTILIZATION_TTL_S,
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
"""Steps of time, connections, buffered bytes, lateness and peer utilization."""


@given(LOADS)
def test_state_does_not_flap_and_unready_time_is_bounded(
    steps: list[tuple[float, int, int, float, int]],
) -> None:
    monitor, now, unready_s = OverloadMonitor(SIZE, 0.0), 0.0, 0.0
    changed_at, previous = 0.0, monitor.state
    for step_s, connections, held_bytes, late_s, peers in steps:
        now += step_s
        was_ready = monitor.is_ready
        monitor.set_peer_utilization(peers, now)
        assert monitor.update(Usage(0, 0.0, connections, held_bytes, late_s), now)
        assert all(share >= 0 for share in monitor.by_resource.values())
        assert monitor.utilization == max(connections / 100, held_bytes / 1000)
        if monitor.state is not previous:
            assert now - changed_at >= MIN_STATE_DURATION_S
            changed_at, previous = now, monitor.state
        if monitor.state is OverloadState.NORMAL:
            assert monitor.is_ready
        unready_s += 0.0 if was_ready else step_s
        # A late update makes the unready time that much longer.
        assert unready_s <= MAX_UNREADY_S + MAX_UNREADY_SHARE * now + 3.0 * (1 + now / 30)


@given(LOADS)
def test_node_with_equally_full_or_unknown_peers_stays_normal(
    steps: list[tuple[float, int, int, float, int]],
) -> None:
    for are_peers_known in (True, False):
        monitor, now = OverloadMonitor(SIZE, 0.0), 0.0
        for step_s, connections, held_bytes, late_s, _ in steps:
            now += step_s
            if are_peers_known:
                monitor.set_peer_utilization(max(1, round(max(connections, held_bytes / 10))), now)
            monitor.update(Usage(0, 0.0, connections, held_bytes, late_s), now)
            assert monitor.state is OverloadState.NORMAL


def test_full_node_becomes_normal_only_below_lower_threshold() -> None:
    monitor = OverloadMonitor(SIZE, 0.0)
    was_normal = []
    for turn, connections in enumerate((80, 86, 80, 70, 66, 64)):
        now = 3.0 * (turn + 1)
        monitor.set_peer_utilization(30, now)
        monitor.update(Usage(connections=connections), now)
        was_normal.append(monitor.state is OverloadState.NORMAL)
    assert was_normal == [True, False, False, False, False, True]


@pytest.mark.parametrize(
    ("late_s", "verdict"), [(0.0, OverloadState.FULL), (0.5, OverloadState.OVERLOADED)]
)
def test_busy_processor_overloads_only_with_late_loop(
    late_s: float, verdict: OverloadState
) -> None:
    monitor = OverloadMonitor(SIZE, 0.0)
    for turn in range(1, 40):
        now = turn * 0.5
        monitor.set_peer_utilization(40, now)
        # All of 0.4 cores.
        monitor.update(Usage(processor_s=0.4 * now, late_s=late_s), now)
    assert monitor.scarcest is Resource.PROCESSOR
    assert monitor.state is verdict


def test_link_utilization_is_averaged() -> None:
    monitor = OverloadMonitor(SIZE, 0.0)
    monitor.set_peer_utilization(10, 0.1)
    monitor.update(Usage(), 0.0)
    monitor.update(Usage(sent_bytes=200_000), 0.1)
    assert monitor.by_resource[Resource.LINK] < 2 * 0.1 / AVERAGING_TIME_S
    for turn in range(1, 21):
        monitor.update(Usage(sent_bytes=200_000 + 500_000 * turn), 0.1 + 0.5 * turn)
    assert monitor.by_resource[Resource.LINK] == pytest.approx(1.0, abs=0.05)


def test_invalid_samples_are_ignored() -> None:
    monitor = OverloadMonitor(SIZE, 10.0)
    assert not monitor.set_peer_utilization(-1, 11.0)
    assert not monitor.update(Usage(connections=-5), 11.0)
    assert not monitor.update(Usage(processor_s=float("nan")), 11.0)
    assert not monitor.update(Usage(connections=99), 9.0)
    assert monitor.utilization == 0.0
    # Limits that are not set are never reached.
    unknown = OverloadMonitor(MachineCapacity(), 0.0)
    unknown.set_peer_utilization(1, 3.0)
    unknown.update(Usage(10**9, 1e6, 10**6, 10**12), 3.0)
    assert unknown.state is OverloadState.NORMAL


def test_counters_may_start_above_zero() -> None:
    # A process clock starts at any value, which must not count as usage.
    monitor = OverloadMonitor(SIZE, 0.0)
    for turn in range(1, 10):
        monitor.set_peer_utilization(5, 0.5 * turn)
        assert monitor.update(Usage(10**9, 70_000.0 + 0.01 * turn), 0.5 * turn)
        assert monitor.utilization < 0.1
    # A clock that goes back measures nothing.
    assert not monitor.update(Usage(10**9, 1.0), 6.0)
    assert monitor.update(Usage(10**9, 1.1), 6.5)
    assert monitor.by_resource[Resource.PROCESSOR] == 0.0


def test_process_clock_may_start_below_zero() -> None:
    monitor = OverloadMonitor(SIZE, 0.0)
    for turn in range(1, 5):
        now = 0.5 * turn
        assert monitor.update(Usage(processor_s=0.01 * now - 70_000.0, connections=90), now)
        assert (monitor.scarcest, monitor.utilization) == (Resource.CONNECTIONS, 0.9)


def test_process_clock_faster_than_time_is_ignored() -> None:
    # Counted as usage, such a clock would make most nodes full at once.
    monitor = OverloadMonitor(SIZE, 0.0)
    results = []
    for turn in range(1, 20):
        monitor.set_peer_utilization(5, 0.5 * turn)
        usage = Usage(processor_s=turn * (1.0 if turn < 10 else 0.2), connections=5)
        results.append(monitor.update(usage, 0.5 * turn))
        assert (monitor.scarcest, monitor.utilization) == (Resource.CONNECTIONS, 0.05)
        assert monitor.state is OverloadState.NORMAL
    # It is reported once; the other values still count.
    assert results.count(False) == 1


def test_peer_utilization_expires() -> None:
    monitor = OverloadMonitor(SIZE, 0.0)
    monitor.set_peer_utilization(round(100 * (1 - PEER_MARGIN)), 3.0)
    states = []
    for now in (3.0, 3.1 + PEER_UTILIZATION_TTL_S):
        monitor.update(Usage(connections=100), now)
        states.append((monitor.state, monitor.overloaded_for_s(now + 1.0)))
    assert states == [(OverloadState.OVERLOADED, 1.0), (OverloadState.NORMAL, 0.0)]


def test_zone_median_skips_leaving_and_unmeasured_nodes() -> None:
    def report(node: str, zone: str, percent: int, is_leaving: bool = False) -> Report:
        return Report(
            node, "r", zone, 1, 0, 0, 0, 0, is_leaving=is_leaving, utilization_percent=percent
        )

    reports = [
        report(f"a{number}", "a", percent) for number, percent in enumerate((90, 20, 30, 95))
    ]
    reports += [report("a4", "a", 1, is_leaving=True), report("b0", "b", 88), report("c0", "c", 0)]
    assert median_by_zone(reports) == {"a": 30, "b": 88}


class FakeReader:
    """A client that reads only what a test lets it read."""

    def __init__(self, budget: MemoryBudget, last_read_at: float) -> None:
        self._budget = budget
        self.last_read_at = last_read_at
        self.waiting_bytes = 0
        self.is_dropped = False

    def add(self, size: int, now: float) -> None:
        self.waiting_bytes += size
        self._budget.record_waiting(self, now)

    def read(self, size: int) -> None:
        self.waiting_bytes = max(0, self.waiting_bytes - size)
        self._budget.record_read(self)

    def drop(self) -> None:
        self.is_dropped = True
        self.waiting_bytes = 0


@given(st.lists(st.tuples(st.integers(0, 19), st.integers(1, 400)), max_size=200))
def test_buffered_bytes_stay_within_limit(
    pieces: list[tuple[int, int]],
) -> None:
    budget = MemoryBudget(2000)
    readers = [FakeReader(budget, float(number)) for number in range(20)]
    for turn, (number, size) in enumerate(pieces):
        if readers[number].is_dropped:
            continue
        waiting_readers = [
            reader for reader in readers if reader.waiting_bytes and reader is not readers[number]
        ]
        readers[number].add(size, 100.0 + turn)
        if turn % 3 == 0:
            readers[number].read(size // 2)
        assert budget.total_bytes == sum(reader.waiting_bytes for reader in readers) <= 2000
        dropped = [reader.last_read_at for reader in waiting_readers if reader.is_dropped]
        remaining = [reader.last_read_at for reader in waiting_readers if not reader.is_dropped]
        assert not dropped or not remaining or max(dropped) < min(remaining)
    assert budget.dropped_readers_total == sum(reader.is_dropped for reader in readers)


def test_slow_reader_is_dropped_only_for_body_that_fits() -> None:
    budget = MemoryBudget(1000)
    slow, quick = FakeReader(budget, 1.0), FakeReader(budget, 2.0)
    slow.add(300, 3.0)
    quick.add(300, 3.0)
    assert budget.has_capacity_for_body(300, 4.0)
    assert (slow.is_dropped, quick.is_dropped) == (True, False)
    # Nobody is dropped for a body that would not fit anyway.
    assert not budget.has_capacity_for_body(1000 // BODY_COPIES + 1, 5.0)
    assert not quick.is_dropped
    dropped = budget.pop_dropped_readers()
    assert (dropped.count, dropped.max_bytes, dropped.max_stalled_s) == (1, 300, 3.0)
    assert budget.pop_dropped_readers().count == 0


def test_jobs_leave_memory_for_online_requests() -> None:
    budget = MemoryBudget(1000)
    budget.job_bytes = 500
    assert budget.has_capacity_for_job(int(1000 * JOB_SHARE) - 500)
    assert not budget.has_capacity_for_job(int(1000 * JOB_SHARE) - 499)
    budget.job_bytes = 1000
    # No limit is set.
    assert MemoryBudget().has_capacity_for_job(10**9)
    assert MemoryBudget().has_capacity_for_body(10**9, 0.0)


def test_answer_with_discarded_bytes_is_not_finished() -> None:
    # The task was cancelled between the last write and the wait for the client.
    class FullSocket:
        """A socket that accepts no bytes."""

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
        reply._send_buffer.start = no_sender  # type: ignore[union-attr, method-assign]
        await reply.respond(200, [], b"answer")
        await reply.close()
        return reply

    async def no_sender() -> None:
        return

    assert not curio.run(answer).is_finished


# A dropped client was logged as gone if the next event came before its connection's end was seen.
def test_send_to_a_dropped_client_fails_as_stalled() -> None:
    class ClosedSocket:
        """A socket that was shut down."""

        @property
        def _socket(self) -> "ClosedSocket":
            return self

        def send(self, data: bytes) -> int:
            raise BrokenPipeError

        def shutdown(self, how: int) -> None:
            return

    sock = ClosedSocket()
    http = h11.Connection(h11.SERVER)
    http.receive_data(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
    while not isinstance(http.next_event(), h11.EndOfMessage):
        pass
    send_buffer = SendBuffer(sock, MemoryBudget(), lambda: 0.0)
    reply = Reply(sock, http, False, send_buffer)
    with pytest.raises(ClientGoneError) as gone:
        curio.run(reply.begin, 200, [], None)
    assert gone.value.code == "client_gone"
    send_buffer.drop()
    with pytest.raises(ClientGoneError) as stalled:
        reply.write_now(b"event")
    assert stalled.value.code == "client_stalled"


def test_jobs_beyond_their_share_do_not_block_online_requests() -> None:
    # A node that took over jobs, or whose items have long outputs.
    budget = MemoryBudget(1000)
    budget.job_bytes = 5000
    assert budget.has_capacity_for_body(100, 1.0)
    reader = FakeReader(budget, 1.0)
    reader.add(200, 2.0)
    assert not reader.is_dropped
    assert not budget.has_capacity_for_job(1)
