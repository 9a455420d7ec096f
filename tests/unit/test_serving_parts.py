"""Parts of the serving node that need neither sockets nor a store."""

from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverwalk.fleet.in_flight import InFlight, InFlightTracker
from cloverwalk.gateway.configuration import ConfigurationHolder
from cloverwalk.gateway.event_stream import EventSplitter
from cloverwalk.gateway.messages import ClientRequest
from cloverwalk.gateway.replicas import Replica, ReplicaDirectory
from cloverwalk.gateway.rotation import WeightedRotation
from cloverwalk.platform import names
from cloverwalk.platform.codec import PlatformCodec
from cloverwalk.platform.documents import decode_configuration
from cloverwalk.scheduling.batch_limits import free_item_slots, items_to_preempt, reserved_slots
from cloverwalk.scheduling.selection import Candidate, Demand, choose

SOURCE = Path(__file__).resolve().parents[2] / "src" / "cloverwalk"


@given(st.lists(st.text("ab:\n 1", max_size=9), max_size=8), st.lists(st.integers(1, 7)))
def test_events_do_not_depend_on_how_bytes_are_cut(texts: list[str], cuts: list[int]) -> None:
    blocks = [one.replace("\n", " ") for one in texts]
    data = "".join(f"id: {n}\ndata: {one}\n\n" for n, one in enumerate(blocks)).encode()
    splitter = EventSplitter()
    events = []
    rest = data
    for size in [*cuts, len(data) + 1]:
        piece, rest = rest[:size], rest[size:]
        events += splitter.feed(piece)
    assert b"".join(one.raw for one in events) == data
    assert [one.event_id for one in events] == list(range(len(blocks)))
    assert [one.data for one in events] == blocks
    assert splitter.rest == b""


@given(st.lists(st.integers(1, 9)))
def test_a_configuration_never_goes_back(versions: list[int]) -> None:
    holder = ConfigurationHolder()
    highest = -1
    for version in versions:
        raw = b'{"version":%d}' % version
        assert holder.update_if_newer(decode_configuration(raw)) == (version > highest)
        highest = max(highest, version)
        assert holder.version == highest


@given(st.lists(st.tuples(st.integers(1, 20), st.booleans(), st.booleans()), max_size=12))
def test_the_newest_entry_of_a_replica_wins(news: list[tuple[int, bool, bool]]) -> None:
    directory = ReplicaDirectory()
    for version, is_removed, is_draining in news:
        if is_removed:
            directory.remove("r", version)
        else:
            directory.put(Replica("r", "s", "h", 1, "z", 4, is_draining, version))
    newest = max((version for version, _, _ in news), default=0)
    states = {
        "gone" if is_removed else "draining" if is_draining else "ready"
        for version, is_removed, is_draining in news
        if version == newest
    }
    if len(states) == 1:
        assert (directory.find("r") is not None) == (states == {"ready"})


@given(st.integers(1, 40), st.integers(0, 60), st.integers(0, 60))
def test_batch_takes_every_free_slot(slots: int, online: int, batch: int) -> None:
    assert free_item_slots(slots, InFlight(online, batch)) == max(0, slots - online - batch)


@given(st.floats(0.0, 30_000.0))
def test_slots_are_kept_for_online_work_only(arrivals_per_s: float) -> None:
    assert reserved_slots(0.0, 24.0) == 0
    kept = reserved_slots(arrivals_per_s, 24.0)
    assert 0 <= kept <= reserved_slots(arrivals_per_s + 10.0, 24.0)
    # Shorter prompts pay their start sooner, and never at once.
    assert reserved_slots(arrivals_per_s, 0.0) <= reserved_slots(arrivals_per_s, 5.0) <= kept
    assert reserved_slots(100.0, 0.0) > 0


@given(st.integers(1, 40), st.integers(0, 60), st.integers(0, 60))
def test_no_item_stands_before_online_work_that_has_a_slot(
    slots: int, online: int, batch: int
) -> None:
    yielding = items_to_preempt(slots, InFlight(online, batch))
    assert 0 <= yielding <= batch
    left = batch - yielding
    assert left == 0 or online + left <= slots
    assert yielding == 0 or online + left >= slots


@given(st.lists(st.integers(1, 9), min_size=1, max_size=4), st.integers(1, 120))
def test_parts_of_a_route_keep_their_shares(weights: list[int], count: int) -> None:
    rotation = WeightedRotation()
    parts = [(f"s{number}", float(weight)) for number, weight in enumerate(weights)]
    dealt = [rotation.next("r", parts) for _ in range(count)]
    for service, weight in parts:
        assert abs(dealt.count(service) - count * weight / sum(weights)) <= len(parts)


@given(st.lists(st.tuples(st.sampled_from(["r", "s"]), st.booleans()), max_size=12))
def test_work_that_has_ended_leaves_nothing_behind(sends: list[tuple[str, bool]]) -> None:
    book = InFlightTracker()
    begun = [book.begin(replica_id, is_batch) for replica_id, is_batch in sends]
    assert sum(one.total for one in book.by_replica.values()) == len(sends)
    for work in begun:
        book.end(work)
    assert book.by_replica == {}


def test_headers_set_on_the_way_replace_the_clients() -> None:
    codec = PlatformCodec()
    headers = [
        (b"Host", b"h"),
        (names.REQUEST_ID, b"r1"),
        (names.DEADLINE_MS, b"5000"),
        (names.EXPECT_INSTANCE, b"forged"),
        (names.LAST_EVENT_ID, b"4"),
        (b"Transfer-Encoding", b"chunked"),
    ]
    request = ClientRequest("POST", "/x", headers, b"", "h", codec.request_fields(headers), 0.0)
    sent = codec.headers_to_replica(request, "i-1", 1.25, 9)
    assert sent == [
        (b"Host", b"h"),
        (names.REQUEST_ID, b"r1"),
        (names.DEADLINE_MS, b"1250"),
        (names.LAST_EVENT_ID, b"9"),
        (names.EXPECT_INSTANCE, b"i-1"),
    ]


@pytest.mark.parametrize("word", ["x-cloverwalk", "rows-", "api/lots", "kv-events", "op/config"])
def test_only_the_adapter_knows_the_platforms_names(word: str) -> None:
    files = [one for one in SOURCE.rglob("*.py") if one.parent.name != "platform"]
    knowing = [str(one) for one in files if word in one.read_text().lower()]
    assert knowing == []


def test_a_replica_that_failed_at_another_node_is_doubted_for_a_moment_and_not_told_on() -> None:
    directory = ReplicaDirectory()
    directory.add_peer_suspects(["r"], 10.0)
    assert directory.is_peer_suspect("r", 10.5)
    assert not directory.is_suspect("r", 10.5)
    assert directory.suspects(10.5) == []
    assert not directory.is_peer_suspect("r", 11.3)
    directory.add_peer_suspects(["r"], 11.3)
    directory.clear_suspicion("r")
    assert not directory.is_peer_suspect("r", 11.4)
    directory.suspect("r", 12.0)
    assert directory.suspects(12.1) == ["r"]


def test_a_dead_replica_that_looks_empty_is_not_chosen_first() -> None:
    busy = Replica("r1", "s", "h", 1, "z1", 8, False, 1)
    dead = Replica("r2", "s", "h", 2, "z1", 8, False, 1)
    candidates = [
        Candidate(busy, InFlight(online=4), False),
        Candidate(dead, InFlight(), False, True),
    ]
    chosen = choose(candidates, Demand("z1", 100))
    assert chosen is not None
    assert chosen.replica.replica_id == "r1"
