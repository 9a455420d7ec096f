"""Which parts of prompts are blamed for crashes of replicas.

Guards against blaming parts of sound requests: popular ones, rare ones beside a guilty part, and
all parts when replicas crash for other reasons.
"""

from random import Random

from hypothesis import given
from hypothesis import strategies as st

from cloverwalk.gateway.crash_keys import RequestKeys, part_key
from cloverwalk.gateway.crash_ledger import (
    CONTAINMENT_THRESHOLD,
    MAX_SHARED_RECORDS,
    TRIAL_DELAYS_S,
    Containment,
    CrashLedger,
    CrashRecord,
)
from cloverwalk.gateway.part_blame import (
    ANSWERED_PART,
    NEW_PART,
    PartCrash,
    PartEvidence,
    find_blamed,
    rounds,
)
from cloverwalk.gateway.software_versions import Software

V1, V2 = Software("model", "v1"), Software("model", "v2")


def crash(number: int, sent_before_s: float = 0.5) -> PartCrash:
    return PartCrash(float(number), number - sent_before_s, f"q{number}")


def evidence(*numbers: int, was_answered: bool = False) -> PartEvidence:
    return PartEvidence({f"r{number}": crash(number) for number in numbers}, was_answered)


def blamed(**parts: PartEvidence) -> set[str]:
    return set(find_blamed(parts).parts)


def test_part_under_which_replicas_crash_in_turn_is_blamed() -> None:
    assert blamed(guilty=evidence(1, 2)) == set()
    assert blamed(guilty=evidence(1, 2, 3)) == {"guilty"}


def test_retries_of_one_request_do_not_blame_its_parts() -> None:
    crashes = {f"r{number}": PartCrash(number, number - 0.5, "q") for number in range(6)}
    assert blamed(part=PartEvidence(crashes, False)) == set()


def test_replicas_that_crash_together_blame_no_part() -> None:
    """All replicas fail at the same time, or one after the other while requests run at all."""
    for gap_s in (0.0, 0.2):
        crashes = {
            f"r{number}": PartCrash(10.0 + gap_s * number, 9.9 + gap_s * 0.1 * number, f"q{number}")
            for number in range(12)
        }
        assert blamed(part=PartEvidence(crashes, False)) == set()


def test_neighbours_of_a_guilty_part_are_not_blamed() -> None:
    neighbour = evidence(2, 3, 4)
    popular = evidence(1, 2, 3, 4, 5, was_answered=True)
    parts = {"guilty": evidence(1, 2, 3, 4), "neighbour": neighbour, "popular": popular}
    assert blamed(**parts) == {"guilty"}


def test_two_guilty_parts_are_blamed() -> None:
    assert blamed(one=evidence(1, 3, 5, 7), other=evidence(2, 4, 6)) == {"one", "other"}


def test_parts_with_the_same_crashes_are_blamed_together() -> None:
    found = find_blamed({"one": evidence(1, 2, 3), "other": evidence(1, 2, 3)})
    assert dict(found.parts) == {"one": 2, "other": 2}


def test_answered_part_needs_more_crashes() -> None:
    few = range(ANSWERED_PART.min_crashes - 1)
    enough = range(ANSWERED_PART.min_crashes)
    assert blamed(part=evidence(*few, was_answered=True)) == set()
    assert blamed(part=evidence(*enough, was_answered=True)) == {"part"}


def test_crashes_under_a_contained_content_blame_no_neighbour() -> None:
    """One request that crashes each replica is sent again and again, beside a rare part."""
    content = {f"r{number}" for number in range(1, 6)}
    assert dict(find_blamed({"rare": evidence(1, 2, 3)}, [content]).parts) == {}


CRASHES = st.dictionaries(
    st.sampled_from([f"r{number}" for number in range(10)]),
    st.builds(
        PartCrash,
        at=st.floats(1, 20),
        sent_at=st.floats(0, 1),
        request=st.sampled_from(["q1", "q2", "q3"]),
    ),
    max_size=10,
)


@given(crashes=CRASHES, part_count=st.integers(1, 5), seed=st.integers(0, 999))
def test_part_with_all_crashes_is_blamed_whenever_any_is(
    crashes: dict[str, PartCrash], part_count: int, seed: int
) -> None:
    """What all crashed runs share is blamed if anything is, whatever else the requests held."""
    random = Random(seed)
    parts = {"guilty": PartEvidence(crashes, False)}
    for number in range(part_count):
        replicas = random.sample(sorted(crashes), random.randint(0, len(crashes)))
        shared = {replica: crashes[replica] for replica in replicas}
        parts[f"other{number}"] = PartEvidence(shared, False)
    found = find_blamed(parts)
    assert not found.parts or "guilty" in found.parts
    for name in found.parts:
        assert parts[name].crashes.keys() == crashes.keys()
        assert rounds(parts[name].crashes.values()) >= NEW_PART.min_rounds


# --- in the ledger ---


def note(ledger: CrashLedger, part_id: str, number: int, software: Software = V1) -> None:
    key = part_key(part_id, software)
    ledger.note_crash(key, f"r{number}", float(number), number - 0.5, f"q{number}")


def keys(*part_ids: str) -> RequestKeys:
    return RequestKeys("c" * 20, part_ids)


def test_answer_at_other_software_clears_no_crashes() -> None:
    """The part crashes replicas of one version and is answered by those of another."""
    ledger = CrashLedger()
    for number in range(1, ANSWERED_PART.min_crashes + 1):
        note(ledger, "bad", number)
        ledger.note_answer(part_key("bad", V2), number + 0.1)
    assert ledger.containing_key(keys("bad"), 7.0) == part_key("bad", V1)
    ledger.note_answer(part_key("bad", V1), 7.5)
    assert ledger.containing_key(keys("bad"), 8.0) is None


def test_crashes_at_software_that_is_gone_do_not_add_up() -> None:
    """A popular part is at each crashed replica, and the next release brings other software."""
    ledger = CrashLedger()
    for number in range(1, 2 * ANSWERED_PART.min_crashes):
        software = Software("model", f"v{number}")
        ledger.note_answer(part_key("popular", software), number - 0.8)
        note(ledger, "popular", number, software)
    assert ledger.containing_key(keys("popular"), 20.0) is None


def test_crashes_at_several_versions_add_up() -> None:
    ledger = CrashLedger()
    for number, software in enumerate((V1, V2, V1)):
        note(ledger, "bad", number + 1, software)
    assert ledger.containing_key(keys("other", "bad"), 4.0) is not None
    assert len(ledger.shared_records(4.0)) == 2


def test_contents_are_free_once_a_part_explains_their_crashes() -> None:
    ledger = CrashLedger()
    for number in range(1, CONTAINMENT_THRESHOLD + 1):
        ledger.note_crash("d" * 20, f"r{number}", float(number))
    assert ledger.containment("d" * 20, 4.0) is Containment.CONTAINED
    for number in range(1, CONTAINMENT_THRESHOLD + 2):
        note(ledger, "bad", number)
    assert ledger.containment("d" * 20, 5.0) is Containment.FREE


def test_popular_part_is_no_suspect() -> None:
    """Each crash takes requests with it along; they would all get new connections."""
    ledger = CrashLedger()
    ledger.note_answer(part_key("popular", V1), 0.5)
    note(ledger, "popular", 1)
    note(ledger, "rare", 1)
    assert ledger.suspect_key(keys("popular")) is None
    assert ledger.suspect_key(keys("popular", "rare")) == part_key("rare", V1)


def test_nodes_learn_that_a_part_was_answered_before() -> None:
    """A node that never answered the part would blame it on fewer crashes."""
    reporting, knowing, learning = CrashLedger(), CrashLedger(), CrashLedger()
    key = part_key("popular", V1)
    knowing.note_answer(key, 0.5)
    for number in range(1, 4):
        note(reporting, "popular", number)
    record = reporting.record_of(key, 4.0)
    learning.merge(record, 4.0)
    assert learning.containing_key(keys("popular"), 4.0) == key
    knowing.merge(record, 4.0)
    assert knowing.containing_key(keys("popular"), 4.0) is None
    for told in knowing.local_records(4.1):
        learning.merge(told, 4.1)
    assert learning.containing_key(keys("popular"), 4.1) is None


def test_records_of_a_part_come_with_its_answer_at_other_software() -> None:
    """A node that starts later would blame the part at its third crash."""
    knowing, starting = CrashLedger(), CrashLedger()
    knowing.note_answer(part_key("popular", V2), 0.5)
    for number in (200, 201):
        note(knowing, "popular", number)
    knowing.expire(202.0)
    for record in knowing.shared_records(202.0):
        starting.merge(record, 202.0)
    note(starting, "popular", 203)
    assert starting.crashes(part_key("popular", V1)) == 3
    assert starting.containing_key(keys("popular"), 203.0) is None


def test_parts_that_cannot_be_told_apart_are_tried_soon() -> None:
    """With the crashes of a certainly guilty part, the first trial would come after minutes."""
    certain, uncertain = CrashLedger(), CrashLedger()
    for number in range(1, 7):
        note(certain, "bad", number)
        note(uncertain, "bad", number)
        note(uncertain, "companion", number)
    trial_at = 6.0 + TRIAL_DELAYS_S[0]
    assert certain.containment(part_key("bad", V1), trial_at) is Containment.CONTAINED
    for part_id in ("bad", "companion"):
        assert uncertain.containment(part_key(part_id, V1), trial_at) is Containment.TRIAL_DUE


# A trial with the guilty part crashed its replica and kept the popular part contained for minutes.
def test_parts_that_cannot_be_told_apart_are_tried_one_by_one() -> None:
    ledger = CrashLedger()
    for number in range(1, 7):
        note(ledger, "bad", number)
        note(ledger, "popular", number)
    trial_at = 6.0 + TRIAL_DELAYS_S[0]
    assert ledger.containing_key(keys("popular"), trial_at) is None
    assert ledger.containing_key(keys("popular", "bad"), trial_at) is not None
    # Parts that always come together are tried in the end.
    trial_at = 6.0 + TRIAL_DELAYS_S[1]
    assert ledger.containing_key(keys("popular", "bad"), trial_at - 0.1) is not None
    assert ledger.containing_key(keys("popular", "bad"), trial_at) is None


def test_part_at_several_versions_is_tried_as_one_part() -> None:
    ledger = CrashLedger()
    for number, software in enumerate((V1, V2, V1), 1):
        note(ledger, "bad", number, software)
    assert ledger.containing_key(keys("bad"), 3.0 + TRIAL_DELAYS_S[0]) is None


@given(
    events=st.lists(st.tuples(st.integers(0, 5), st.integers(0, 40)), max_size=12),
    seed=st.integers(0, 1000),
)
def test_merge_order_of_part_records_makes_no_difference(
    events: list[tuple[int, int]], seed: int
) -> None:
    now, key = 50.0, part_key("bad", V1)
    records = []
    for replica, at in events:
        source = CrashLedger()
        source.note_crash(key, f"r{replica}", float(at), at - 1.0, f"q{at % 3}")
        records.append(source.record_of(key, now))
    ledgers = [CrashLedger(), CrashLedger()]
    for ledger in ledgers:
        for record in [*records, *records]:
            ledger.merge(record, now)
        Random(seed).shuffle(records)
    assert ledgers[0].record_of(key, now) == ledgers[1].record_of(key, now)
    assert ledgers[0].contained() == ledgers[1].contained()


def test_flood_of_invented_parts_does_not_evict_a_blamed_one() -> None:
    ledger = CrashLedger()
    for number in range(1, 7):
        note(ledger, "bad", number)
    for number in range(3 * MAX_SHARED_RECORDS):
        note(ledger, f"made-up-{number}", 100)
        note(ledger, f"made-up-{number}", 101)
    assert ledger.containing_key(keys("bad"), 102.0) is not None
    assert len(ledger.shared_records(102.0)) <= MAX_SHARED_RECORDS


def test_invalid_part_records_are_rejected() -> None:
    key = part_key("bad", V1)
    for record in (
        CrashRecord(key, {"r1": 5}),
        CrashRecord(key, {"r1": 5}, None, [5, 5], ["q1"]),
        CrashRecord(key, {"r1": 5}, None, [-5], ["q1"]),
        CrashRecord(key, {"r1": 5}, None, [5], ["much too long"]),
        CrashRecord("d" * 20, {"r1": 5}, None, [5], ["q1"]),
    ):
        ledger = CrashLedger()
        try:
            ledger.merge(record, 10.0)
        except ValueError:
            assert ledger.is_empty
        else:
            raise AssertionError(record)
