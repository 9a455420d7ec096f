"""Parts of the serving node without sockets or a store."""

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
def test_events_do_not_depend_on_chunk_boundaries(texts: list[str], cuts: list[int]) -> None:
    blocks = [text.replace("\n", " ") for text in texts]
    data = "".join(f"id: {n}\ndata: {text}\n\n" for n, text in enumerate(blocks)).encode()
    splitter = EventSplitter()
    events = []
    remaining = data
    for size in [*cuts, len(data) + 1]:
        piece, remaining = remaining[:size], remaining[size:]
        events += splitter.feed(piece)
    assert b"".join(event.raw for event in events) == data
    assert [event.event_id for event in events] == list(range(len(blocks)))
    assert [event.data for event in events] == blocks
    assert splitter.rest == b""


@given(st.lists(st.integers(1, 9)))
def test_older_configuration_is_ignored(versions: list[int]) -> None:
    holder = ConfigurationHolder()
    highest = -1
    for version in versions:
        raw = b'{"version":%d}' % version
        assert holder.update_if_newer(decode_configuration(raw)) == (version > highest)
        highest = max(highest, version)
        assert holder.version == highest


@given(st.lists(st.tuples(st.integers(1, 20), st.booleans(), st.booleans()), max_size=12))
def test_newest_entry_of_replica_wins(news: list[tuple[int, bool, bool]]) -> None:
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
def test_batch_gets_every_free_slot(slots: int, online: int, batch: int) -> None:
    assert free_item_slots(slots, InFlight(online, batch)) == max(0, slots - online - batch)


@given(st.floats(0.0, 30_000.0))
def test_slots_are_reserved_only_for_online_work(arrivals_per_s: float) -> None:
    assert reserved_slots(0.0, 24.0) == 0
    reserved = reserved_slots(arrivals_per_s, 24.0)
    assert 0 <= reserved <= reserved_slots(arrivals_per_s + 10.0, 24.0)
    # With shorter prompts fewer slots are reserved, but still some.
    assert reserved_slots(arrivals_per_s, 0.0) <= reserved_slots(arrivals_per_s, 5.0) <= reserved
    assert reserved_slots(100.0, 0.0) > 0


@given(st.integers(1, 40), st.integers(0, 60), st.integers(0, 60))
def test_items_are_preempted_for_online_work(slots: int, online: int, batch: int) -> None:
    preempted = items_to_preempt(slots, InFlight(online, batch))
    assert 0 <= preempted <= batch
    remaining = batch - preempted
    assert remaining == 0 or online + remaining <= slots
    assert preempted == 0 or online + remaining >= slots


@given(st.lists(st.integers(1, 9), min_size=1, max_size=4), st.integers(1, 120))
def test_route_parts_get_requests_by_weight(weights: list[int], count: int) -> None:
    rotation = WeightedRotation()
    parts = [(f"s{number}", float(weight)) for number, weight in enumerate(weights)]
    dealt = [rotation.next("r", parts) for _ in range(count)]
    for service, weight in parts:
        assert abs(dealt.count(service) - count * weight / sum(weights)) <= len(parts)


@given(st.lists(st.tuples(st.sampled_from(["r", "s"]), st.booleans()), max_size=12))
def test_ended_work_is_removed_from_tracker(sends: list[tuple[str, bool]]) -> None:
    tracker = InFlightTracker()
    begun = [tracker.begin(replica_id, is_batch) for replica_id, is_batch in sends]
    assert sum(entry.total for entry in tracker.by_replica.values()) == len(sends)
    for work in begun:
        tracker.end(work)
    assert tracker.by_replica == {}


def test_headers_set_by_node_replace_those_of_client() -> None:
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
def test_only_platform_package_uses_platform_names(word: str) -> None:
    files = [path for path in SOURCE.rglob("*.py") if path.parent.name != "platform"]
    files_with_names = [str(path) for path in files if word in path.read_text().lower()]
    assert files_with_names == []


def test_peer_suspect_expires_and_is_not_reported_on() -> None:
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


def test_suspect_replica_without_load_is_not_preferred() -> None:
    busy = Replica("r1", "s", "h", 1, "z1", 8, False, 1)
    suspect = Replica("r2", "s", "h", 2, "z1", 8, False, 1)
    candidates = [
        Candidate(busy, InFlight(online=4), False),
        Candidate(suspect, InFlight(), False, True),
    ]
    chosen = choose(candidates, Demand("z1", 100))
    assert chosen is not None
    assert chosen.replica.replica_id == "r1"
