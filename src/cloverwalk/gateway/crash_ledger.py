"""Crash records: which replicas ended under which request. A policy without I/O.

A request may crash every replica that runs it, and arrive again with another id at any node. When a
replica ends, each request that it had is a suspect, and at most one of them is the cause.
Repetition tells them apart: a whole answer clears a request; one under which
``CONTAINMENT_THRESHOLD`` replicas ended without such an answer is contained. It is sent to no
replica, except for occasional trials.

Streams that go on at one replica after another may follow a crashing request. So a crash that took
along an answer which had run on for a while does not count for its content if another contained
request explains it: one that crashed replicas before it was answered for as long.

Requests that crash replicas may have only a part of their prompts in common. So each part that
requests can share has a record of its own; ``part_blame`` decides which of them are contained. See
``crash_keys`` for the keys of both kinds.

Nodes merge their records (``merge``). Crashes are a set of incarnations and an answer removes the
earlier ones, so the order of the copies makes no difference, and repeated copies have no effect.
"""

import enum
from collections.abc import Iterable
from itertools import pairwise

import attrs
import msgspec
import xxhash
from msgspec import Struct

from cloverwalk.gateway.crash_keys import (
    KEY_CHARACTERS,
    PART_PREFIX_CHARACTERS,
    REQUEST_MARK_CHARACTERS,
    RequestKeys,
    is_part_key,
    part_prefix,
)
from cloverwalk.gateway.part_blame import Blame, PartCrash, PartEvidence, find_blamed

CONTAINMENT_THRESHOLD = 3
"""Number of ended replicas from which a request is contained. One may be chance, and two happen to
requests that are retried at the same replica as the crashing one."""

SHARING_THRESHOLD = 2
"""Number of ended replicas from which a record is sent to all nodes. Each crash makes many records
with a single replica; only the coordinator needs those, to add up the reports of nodes."""

TRIAL_DELAYS_S = (3.0, 60.0, 600.0)
"""Delay before each trial of a contained request, from its last crash; the last value holds for all
further trials. The first lets a harmless request through soon after an outage of all replicas; the
later ones limit how many replicas a crashing request ends."""

TRIAL_TIMEOUT_S = 10.0
"""A trial without an outcome ends after this time, which is longer than online requests last."""

RECORD_TTL_S = 3600.0
"""A record is removed this long after its last crash; operators replace a faulty version sooner."""

ANSWER_TTL_S = 60.0
"""How long answers are kept, so that late reports of earlier crashes are ignored."""

REPORTING_TIME_S = 2.5
"""How long this node reports its own observation: in two or three reports, one a second."""

PART_ANSWER_TTL_S = 600.0
"""How long answers are kept for parts: one that was answered needs more evidence to be blamed."""

STORED_ANSWER_TTL_S = PART_ANSWER_TTL_S / 2
"""How long the store keeps that a part was answered. One that is read counts as this old, so that
it clears no later crash, whatever the store's time, and is forgotten in time."""

MAX_STORED_ANSWERS = 64
"""Parts of which the store has an answer, the last ones that were answered amid crashes."""

OBSERVATION_TTL_S = 30.0
"""For how long a node's own observations are reported again to a new coordinator, which has to add
them up with those of other nodes."""

MAX_RECORDS = 4096
MAX_SHARED_RECORDS = 120
"""Bounds of memory and of the size of messages. The records with the fewest crashes are evicted
first, the oldest among equals, so that a flood of records can't evict that of a contained request.
"""

MAX_ANSWERS = 2 * MAX_RECORDS
MAX_INCARNATIONS = 8
"""Incarnations that a record names, the last ones to end; bounded so that ``MAX_SHARED_RECORDS``
records fit into a datagram of 60,000 bytes."""

NO_BLAME = Blame({}, frozenset())


class Containment(enum.Enum):
    """Whether a request may be sent."""

    FREE = "free"
    CONTAINED = "contained"
    TRIAL_DUE = "trial_due"
    """One run may show whether the request still ends its replica."""


class CrashRecord(Struct, frozen=True, array_like=True):
    """A crash record as nodes send it and as the store keeps it. Times are ages in milliseconds."""

    content_hash: str
    """Key of a content or part; see ``crash_keys``."""

    crash_ages_ms: dict[str, int]
    """By the incarnation of the replica that ended."""

    answered_age_ms: int | None = None
    """Age of the last whole answer; None if none is known."""

    sent_ages_ms: list[int] = []
    """For a part, in the order of ``crash_ages_ms``: age of the last request with it that was sent
    to the replica."""

    requests: list[str] = []
    """For a part, in the same order: mark of that request; see ``part_blame.PartCrash``."""

    sound_runs: list[bool] = []
    """For a content, in the same order: ``PartCrash.was_sound``. Empty if none was, and in records
    of earlier builds."""

    @property
    def newest_age_ms(self) -> int:
        """Age of the last crash, or of the answer if there is no crash."""
        return min(self.crash_ages_ms.values(), default=self.answered_age_ms or 0)


class InvalidCrashRecordError(ValueError):
    """A received crash record is invalid."""


@attrs.define
class _LedgerEntry:
    """The state of a content or part under which a replica has ended since its last answer."""

    crashed: dict[str, PartCrash] = attrs.Factory(dict)
    """The crashes, by incarnation."""

    trial_ends_at: float = float("-inf")
    seen_locally_at: float = float("-inf")
    """When this node itself last observed a crash."""

    @property
    def crashes(self) -> int:
        return len(self.crashed)

    def crashed_in_runs(self, *, sound: bool) -> set[str]:
        """Return the incarnations that crashed in a sound run of the content, or in another."""
        return {key for key, crash in self.crashed.items() if crash.was_sound is sound}

    @property
    def last_crash_at(self) -> float:
        return max((crash.at for crash in self.crashed.values()), default=float("-inf"))

    def trial_due_at(self, is_certain: bool) -> float:
        """Return when the next trial is due.

        It is later the more replicas have crashed. Without certainty only trials count, which are
        the crashes long after the one before.
        """
        earlier_trials = self.crashes - CONTAINMENT_THRESHOLD if is_certain else self._late_crashes
        index = min(max(0, earlier_trials), len(TRIAL_DELAYS_S) - 1)
        return self.last_crash_at + TRIAL_DELAYS_S[index]

    @property
    def _late_crashes(self) -> int:
        times = sorted(crash.at for crash in self.crashed.values())
        return sum(later - at >= TRIAL_DELAYS_S[0] for at, later in pairwise(times))


class CrashLedger:
    """Crash records by key. Times are of the monotonic clock, in seconds."""

    def __init__(self) -> None:
        self._entries: dict[str, _LedgerEntry] = {}
        self._answered_at: dict[str, float] = {}
        """Times of the last whole answers, by key; the oldest first."""

        self._cleared_at: dict[str, float] = {}
        """When an answer cleared a record here, by key; other nodes must be sent this."""

        self._answered_parts: dict[str, str] = {}
        """The last answered key of each part in ``_answered_at``, by what the part's keys begin
        with."""

        self._answers_to_store: dict[str, tuple[str, float]] = {}
        """An answered key of each part that was answered while it had crash records, and when, by
        what the part's keys begin with."""

        self._keys_by_part: dict[str, set[str]] = {}
        """Keys of entries of parts, by what the keys of a part begin with."""

        self._blame: Blame | None = NO_BLAME
        """The blamed parts; None if crashes or answers have changed since they were found."""

        self._digest: int | None = None
        self.revision = 0
        """Counts changes of the records that all nodes should have."""

        self.stale_record_count = 0
        """Counts received records that contradict a later answer at this node."""

        self.grants_trials = False
        """Whether this node grants trials: only the coordinator does, one at a time."""

    @property
    def is_empty(self) -> bool:
        """Whether there is no record; contents need not be hashed then."""
        return not self._entries

    @property
    def needs_sync(self) -> bool:
        """Whether other nodes may need a record, or the news that an answer cleared one."""
        return bool(self._entries or self._cleared_at)

    # --- observations ---

    def note_crash(
        self,
        key: str,
        replica_id: str,
        at: float,
        sent_at: float = 0.0,
        request: str = "",
        *,
        was_sound: bool = False,
    ) -> bool:
        """Record that a replica ended while it had the request; return whether this contains it.

        ``replica_id`` names one incarnation; the replica's next incarnation counts separately. For
        a part, ``sent_at`` and ``request`` are of the last request with it at the replica. For a
        content, ``was_sound`` is that of ``PartCrash``.
        """
        crash = PartCrash(at, sent_at, request, was_sound)
        is_contained = self._add_crashes(key, {replica_id: crash}, at)
        entry = self._entries.get(key)
        if entry is not None:
            entry.seen_locally_at = max(entry.seen_locally_at, at)
        return is_contained

    def note_answer(self, key: str, at: float) -> bool:
        """Record a whole answer to the request; return whether this ends its containment.

        Answers to requests without a record count too, since another node may have one.
        """
        if at <= self._answered_at.get(key, float("-inf")):
            return False
        self._answered_at.pop(key, None)
        self._answered_at[key] = at
        if is_part_key(key):
            if not self._was_answered(key):
                self._record_first_answer(key, at)
            self._answered_parts[key[:PART_PREFIX_CHARACTERS]] = key
            self._keep_answer(key, at)
        if len(self._answered_at) > MAX_ANSWERS:
            self._forget_answer(next(iter(self._answered_at)))
        return self._clear(key, at)

    def _record_first_answer(self, key: str, at: float) -> None:
        """Tell other nodes that a part with crash records, at any software, was answered."""
        self._blame = None
        if key[:PART_PREFIX_CHARACTERS] in self._keys_by_part:
            self._cleared_at[key] = at
            self.revision += 1

    def _keep_answer(self, key: str, at: float) -> None:
        """Let the store have that a part with crash records was answered."""
        prefix, kept = key[:PART_PREFIX_CHARACTERS], self._answers_to_store
        if prefix not in self._keys_by_part:
            return
        kept[prefix] = kept.pop(prefix, (key, at))
        if len(kept) > MAX_STORED_ANSWERS:
            del kept[next(iter(kept))]

    def _forget_answer(self, key: str) -> None:
        del self._answered_at[key]
        prefix = key[:PART_PREFIX_CHARACTERS]
        if self._answered_parts.get(prefix) == key:
            del self._answered_parts[prefix]
            self._blame = None

    def _was_answered(self, key: str) -> bool:
        """Whether a request with a part was answered recently, by replicas with any software."""
        return key[:PART_PREFIX_CHARACTERS] in self._answered_parts

    def was_answered_since(self, key: str, at: float) -> bool:
        """Whether a whole answer to a request was recorded that came after ``at``."""
        return self._answered_at.get(key, float("-inf")) > at

    def _add_crashes(self, key: str, crashed: dict[str, PartCrash], now: float) -> bool:
        answered_at = self._answered_at.get(key, float("-inf"))
        new_crashes = {
            replica: crash for replica, crash in crashed.items() if crash.at > answered_at
        }
        if len(new_crashes) < len(crashed):
            self._cleared_at[key] = answered_at
            self.stale_record_count += 1
        if not new_crashes:
            return False
        was_contained = self.is_contained(key)
        entry = self._entries.setdefault(key, _LedgerEntry())
        previous = entry.crashed
        entry.crashed = _newest({**previous, **_latest(previous, new_crashes)})
        if is_part_key(key):
            self._keys_by_part.setdefault(key[:PART_PREFIX_CHARACTERS], set()).add(key)
        if entry.crashed != previous:
            self._blame = None
        if entry.crashed.keys() != previous.keys():
            entry.trial_ends_at = float("-inf")
            self._record_change(key)
            self._evict(key)
        return self.is_contained(key) and not was_contained

    def _clear(self, key: str, at: float) -> bool:
        """Drop the crashes before an answer; return whether this ends the containment."""
        entry = self._entries.get(key)
        if entry is None or min(crash.at for crash in entry.crashed.values()) > at:
            return False
        was_contained = self.is_contained(key)
        self._record_change(key)
        self._cleared_at[key] = at
        entry.crashed = {
            replica: crash for replica, crash in entry.crashed.items() if crash.at > at
        }
        entry.trial_ends_at = float("-inf")
        if not entry.crashed:
            self._remove(key)
        return was_contained and not self.is_contained(key)

    def _remove(self, key: str) -> None:
        self._record_change(key)
        del self._entries[key]
        prefix = key[:PART_PREFIX_CHARACTERS]
        if keys := self._keys_by_part.get(prefix):
            keys.discard(key)
            if not keys:
                del self._keys_by_part[prefix]

    def _record_change(self, key: str) -> None:
        self._blame = None
        if self._is_shared(key):
            self._digest = None
            self.revision += 1

    def _is_shared(self, key: str) -> bool:
        """Whether all nodes should have a record; crashes of a part at any software count."""
        prefix = key[:PART_PREFIX_CHARACTERS]
        keys = self._keys_by_part.get(prefix, ()) if is_part_key(key) else (key,)
        return self._total_crashes(keys) >= SHARING_THRESHOLD

    def _total_crashes(self, keys: Iterable[str]) -> int:
        return sum(self._entries[key].crashes for key in keys if key in self._entries)

    # --- decisions ---

    def _current_blame(self) -> Blame:
        if self._blame is None:
            evidence: dict[str, PartEvidence] = {}
            for prefix, keys in sorted(self._keys_by_part.items()):
                if self._total_crashes(keys) >= CONTAINMENT_THRESHOLD:
                    evidence.update(self._evidence(prefix, keys))
            contained = [
                entry.crashed.keys()
                for key, entry in self._entries.items()
                if entry.crashes >= CONTAINMENT_THRESHOLD and not is_part_key(key)
            ]
            self._blame = find_blamed(evidence, contained)
        return self._blame

    def _evidence(self, prefix: str, keys: set[str]) -> dict[str, PartEvidence]:
        """Return the evidence about a part.

        Its crashes at all software add up only if it was never answered: without that, the crashes
        at software that is gone, and so answers no more, would add up over time.
        """
        if prefix in self._answered_parts:
            return {key: PartEvidence(self._entries[key].crashed, True) for key in sorted(keys)}
        crashed: dict[str, PartCrash] = {}
        for key in sorted(keys):
            crashed.update(self._entries[key].crashed)
        return {prefix: PartEvidence(crashed, False)}

    def is_contained(self, key: str) -> bool:
        """Whether requests with a content or part are sent as trials only.

        A part that is blamed is contained for all software under which it has crash records.
        Crashes that a blamed part explains don't count for a content, nor do those of its sound
        runs that another content explains.
        """
        entry = self._entries.get(key)
        if entry is None:
            return False
        if is_part_key(key):
            crashes = self._total_crashes(self._keys_by_part[key[:PART_PREFIX_CHARACTERS]])
            return crashes >= CONTAINMENT_THRESHOLD and self._blamed_with(key) > 0
        if entry.crashes < CONTAINMENT_THRESHOLD:
            return False
        unexplained = entry.crashed.keys() - self._current_blame().explained
        if sound := entry.crashed_in_runs(sound=True):
            unexplained -= sound & self._explained_by_contents()
        return len(unexplained) >= CONTAINMENT_THRESHOLD

    def _explained_by_contents(self) -> set[str]:
        """Return the incarnations that contents crashed in runs that were not sound.

        Those are left out which parts explain, and contents that crashed too few.
        """
        explained: set[str] = set()
        by_parts = self._current_blame().explained
        for key, entry in self._entries.items():
            if is_part_key(key) or entry.crashes < CONTAINMENT_THRESHOLD:
                continue
            crashed = entry.crashed_in_runs(sound=False) - by_parts
            if len(crashed) >= CONTAINMENT_THRESHOLD:
                explained |= crashed
        return explained

    def _is_certain(self, key: str) -> bool:
        """Whether no other part has the same evidence, and no answer speaks for this one."""
        if not is_part_key(key):
            return True
        return self._blamed_with(key) == 1 and not self._was_answered(key)

    def _blamed_with(self, key: str) -> int:
        """Return how many parts are blamed on the same evidence as a part; 0 if it is not."""
        prefix, parts = key[:PART_PREFIX_CHARACTERS], self._current_blame().parts
        names = (prefix, *self._keys_by_part.get(prefix, ()))
        return max((parts.get(name, 0) for name in names), default=0)

    def crashed_replicas(self, key: str) -> list[str]:
        """Return the incarnations that ended under a content or part since its last answer."""
        entry = self._entries.get(key)
        return [] if entry is None else sorted(entry.crashed)

    def keys_with_crashes(self, keys: RequestKeys) -> list[str]:
        """Return the keys of a request's content and parts that have crash records.

        A part counts with the records of replicas with any software.
        """
        found = [keys.content] if keys.content in self._entries else []
        if self._keys_by_part:
            for part_id in keys.part_ids:
                found += sorted(self._keys_by_part.get(part_prefix(part_id), ()))
        return found

    def containing_key(self, keys: RequestKeys, now: float) -> str | None:
        """Return the key for which a request must not be sent, not even as a trial.

        If several of its parts are due for a trial, another request may try one of them alone. So
        it waits for the second trial delay; parts that always come together are tried then.
        """
        due: dict[str, str] = {}
        for key in self.keys_with_crashes(keys):
            containment = self.containment(key, now)
            if containment is Containment.CONTAINED:
                return key
            if containment is Containment.TRIAL_DUE and is_part_key(key):
                due[key[:PART_PREFIX_CHARACTERS]] = key
        if len(due) < 2:
            return None
        newest = max(due.values(), key=self.last_crash_at)
        return newest if now < self.last_crash_at(newest) + TRIAL_DELAYS_S[1] else None

    def suspect_key(self, keys: RequestKeys) -> str | None:
        """Return the key under which most replicas have ended, None if there is none.

        Parts that were answered recently are no suspects, unless they are contained: each crash
        takes requests with popular parts along.
        """
        suspects = [
            key
            for key in self.keys_with_crashes(keys)
            if not is_part_key(key) or not self._was_answered(key) or self.is_contained(key)
        ]
        return max(
            suspects, key=lambda key: (self.is_contained(key), self.crashes(key)), default=None
        )

    def last_crash_at(self, key: str) -> float:
        """Return when a replica last ended under a content or part, minus infinity if none did."""
        entry = self._entries.get(key)
        return float("-inf") if entry is None else entry.last_crash_at

    def crashes(self, key: str) -> int:
        """Return how many replicas ended under a request since its last answer."""
        entry = self._entries.get(key)
        return 0 if entry is None else entry.crashes

    def containment(self, key: str, now: float) -> Containment:
        """Return whether a request may be sent.

        >>> ledger = CrashLedger()
        >>> [ledger.note_crash("c", replica, 5.0) for replica in ("r1", "r2", "r2", "r3")]
        [False, False, False, True]
        >>> ledger.containment("c", 6.0).value, ledger.containment("c", 8.0).value
        ('contained', 'trial_due')
        >>> ledger.note_answer("c", 8.5), ledger.containment("c", 8.6).value
        (True, 'free')
        """
        entry = self._entries.get(key)
        if entry is None or not self.is_contained(key):
            return Containment.FREE
        trial_due_at = entry.trial_due_at(self._is_certain(key))
        if now < max(trial_due_at, entry.trial_ends_at):
            return Containment.CONTAINED
        return Containment.TRIAL_DUE

    def try_admit(self, key: str, now: float) -> bool:
        """Whether a request may be sent now; a due trial is granted and starts with this call."""
        containment = self.containment(key, now)
        if containment is Containment.TRIAL_DUE and self.grants_trials:
            self._entries[key].trial_ends_at = now + TRIAL_TIMEOUT_S
            return True
        return containment is Containment.FREE

    def contained(self) -> dict[str, int]:
        """Return the keys of what is contained, with their numbers of ended replicas."""
        return {
            key: entry.crashes for key, entry in self._entries.items() if self.is_contained(key)
        }

    def answers_to_store(self) -> list[str]:
        """Return the keys of answers that nodes which start may know from nobody else."""
        return [key for key, _at in self._answers_to_store.values()]

    def learn_stored_answer(self, record: CrashRecord, now: float) -> None:
        """Count a part as answered before, by a record of the store; this clears no crash."""
        key, age_s = record.content_hash, (record.answered_age_ms or 0) / 1000
        if not is_part_key(key) or len(key) != KEY_CHARACTERS or age_s >= STORED_ANSWER_TTL_S:
            return
        self.note_answer(key, now - STORED_ANSWER_TTL_S)
        self._answers_to_store.setdefault(key[:PART_PREFIX_CHARACTERS], (key, now - age_s))

    def record_to_store(self, key: str, now: float) -> CrashRecord:
        """Return the record of what is contained, else of an answer alone."""
        record = self.record_of(key, now)
        if self.is_contained(key):
            return record
        return CrashRecord(key, {}, record.answered_age_ms)

    # --- exchange between nodes ---

    @property
    def digest(self) -> int:
        """Hash of the records that all nodes should have, 48 bits; 0 if there are none.

        Records that are shared only together with others of their part are left out, since earlier
        builds do not have them.
        """
        if self._digest is None:
            shared = {
                key: sorted(entry.crashed)
                for key, entry in self._entries.items()
                if entry.crashes >= SHARING_THRESHOLD
            }
            text = repr(sorted(shared.items())).encode()
            self._digest = xxhash.xxh64_intdigest(text) >> 16 if shared else 0
        return self._digest

    def _shared(self) -> list[str]:
        return [key for key in self._entries if self._is_shared(key)]

    def shared_records(self, now: float) -> list[CrashRecord]:
        """Return the records for all nodes, with those cleared within ``ANSWER_TTL_S``."""
        return self._records(self._with_answers({*self._shared(), *self._cleared_at}), now)

    def local_records(self, now: float) -> list[CrashRecord]:
        """Return the records that this node observed or cleared within ``REPORTING_TIME_S``."""
        keys = {
            key
            for key, entry in self._entries.items()
            if now - entry.seen_locally_at < REPORTING_TIME_S
        }
        keys |= {key for key, at in self._cleared_at.items() if now - at < REPORTING_TIME_S}
        return self._records(self._with_answers(keys), now)

    def _with_answers(self, keys: set[str]) -> set[str]:
        """Return keys with the last answered key of each part, which may be of other software."""
        prefixes = {key[:PART_PREFIX_CHARACTERS] for key in keys}
        return keys | {
            self._answered_parts[prefix] for prefix in prefixes if prefix in self._answered_parts
        }

    def report_again(self, now: float) -> None:
        """Report the crashes that this node observed within ``OBSERVATION_TTL_S`` once more."""
        for entry in self._entries.values():
            if now - entry.seen_locally_at < OBSERVATION_TTL_S:
                entry.seen_locally_at = now

    def _records(self, keys: set[str], now: float) -> list[CrashRecord]:
        """Return records to send: those with the most crashes, the newest among equals."""
        records = [self.record_of(key, now) for key in sorted(keys)]
        records.sort(key=lambda record: (-len(record.crash_ages_ms), record.newest_age_ms))
        return records[:MAX_SHARED_RECORDS]

    def record_of(self, key: str, now: float) -> CrashRecord:
        """Return the record of a request as it is sent; one without crashes if there is none."""
        crashed = dict(sorted(self._entries.get(key, _LedgerEntry()).crashed.items()))
        ages = {replica: _age_ms(crash.at, now) for replica, crash in crashed.items()}
        answered_at = self._answered_at.get(key)
        record = CrashRecord(key, ages, None if answered_at is None else _age_ms(answered_at, now))
        if not is_part_key(key):
            sound_runs = [crash.was_sound for crash in crashed.values()]
            return msgspec.structs.replace(record, sound_runs=sound_runs if any(sound_runs) else [])
        return msgspec.structs.replace(
            record,
            sent_ages_ms=[_age_ms(crash.sent_at, now) for crash in crashed.values()],
            requests=[crash.request for crash in crashed.values()],
        )

    def merge(self, record: CrashRecord, now: float) -> bool:
        """Merge a record of another node or the store; return whether this contains the request.

        Raises InvalidCrashRecordError for an invalid record, and merges no part of it.
        """
        _check_record(record)
        key = record.content_hash
        if record.answered_age_ms is not None:
            self.note_answer(key, now - record.answered_age_ms / 1000)
        elif is_part_key(key) and self._was_answered(key):
            # The others may not know that the part was answered, even if before these crashes.
            self._cleared_at[self._answered_parts[key[:PART_PREFIX_CHARACTERS]]] = now
            self.stale_record_count += 1
        crashed = {
            replica_id: crash
            for replica_id, crash in _crashes_in(record, now).items()
            if crash.at > now - RECORD_TTL_S
        }
        return self._add_crashes(key, crashed, now)

    # --- bounds ---

    def expire(self, now: float) -> list[str]:
        """Remove old records; return the requests that were contained."""
        for key in [key for key, at in self._cleared_at.items() if now - at >= ANSWER_TTL_S]:
            del self._cleared_at[key]
        for key in [key for key, at in self._answered_at.items() if now - at >= _answer_ttl_s(key)]:
            self._forget_answer(key)
        for prefix, (_key, at) in list(self._answers_to_store.items()):
            if now - at >= STORED_ANSWER_TTL_S:
                del self._answers_to_store[prefix]
        ended: list[str] = []
        for key, entry in list(self._entries.items()):
            if now < entry.last_crash_at + RECORD_TTL_S:
                continue
            if self.is_contained(key):
                ended.append(key)
            self._remove(key)
        return ended

    def _evict(self, key: str) -> None:
        """Enforce the bounds after a record got another crash."""
        if len(self._entries) > MAX_RECORDS:
            # Evicts many at once, since sorting all records takes milliseconds.
            self._evict_down_to(MAX_RECORDS * 9 // 10, list(self._entries))
        if len(self._entries) > MAX_SHARED_RECORDS and self._is_shared(key):
            self._evict_down_to(MAX_SHARED_RECORDS, self._shared())

    def _evict_down_to(self, max_count: int, keys: list[str]) -> None:
        if len(keys) <= max_count:
            return
        entries = self._entries
        keys.sort(key=lambda key: (entries[key].crashes, entries[key].last_crash_at))
        for key in keys[: len(keys) - max_count]:
            self._remove(key)


def _age_ms(at: float, now: float) -> int:
    return max(0, round((now - at) * 1000))


def _answer_ttl_s(key: str) -> float:
    return PART_ANSWER_TTL_S if is_part_key(key) else ANSWER_TTL_S


def _latest(previous: dict[str, PartCrash], crashed: dict[str, PartCrash]) -> dict[str, PartCrash]:
    """Return crashes merged with what is known of them; several nodes may report one crash."""
    merged = {}
    for replica, crash in crashed.items():
        known = previous.get(replica, crash)
        last_sent = max(known, crash, key=lambda one: (one.sent_at, one.request))
        was_sound = known.was_sound and crash.was_sound
        merged[replica] = attrs.evolve(last_sent, at=max(known.at, crash.at), was_sound=was_sound)
    return merged


def _newest(crashed: dict[str, PartCrash]) -> dict[str, PartCrash]:
    if len(crashed) <= MAX_INCARNATIONS:
        return crashed
    newest = sorted(crashed.items(), key=lambda item: (item[1].at, item[0]))
    return dict(newest[-MAX_INCARNATIONS:])


def _crashes_in(record: CrashRecord, now: float) -> dict[str, PartCrash]:
    replica_ids = list(record.crash_ages_ms)
    sent_ages_ms = record.sent_ages_ms or [0] * len(replica_ids)
    requests = record.requests or [""] * len(replica_ids)
    sound_runs = record.sound_runs or [False] * len(replica_ids)
    return {
        replica_id: PartCrash(
            now - record.crash_ages_ms[replica_id] / 1000,
            now - sent_age_ms / 1000,
            request,
            was_sound,
        )
        for replica_id, sent_age_ms, request, was_sound in zip(
            replica_ids, sent_ages_ms, requests, sound_runs, strict=True
        )
    }


def _check_record(record: CrashRecord) -> None:
    if len(record.content_hash) != KEY_CHARACTERS:
        raise InvalidCrashRecordError("the key has the wrong length")
    expected = len(record.crash_ages_ms) if is_part_key(record.content_hash) else 0
    if len(record.sent_ages_ms) != expected or len(record.requests) != expected:
        raise InvalidCrashRecordError("the crashes don't name one request each")
    if record.sound_runs and len(record.sound_runs) != len(record.crash_ages_ms):
        raise InvalidCrashRecordError("the sound runs don't belong to one crash each")
    if any(len(request) > REQUEST_MARK_CHARACTERS for request in record.requests):
        raise InvalidCrashRecordError("the mark of a request is too long")
    if len(record.crash_ages_ms) > MAX_INCARNATIONS:
        raise InvalidCrashRecordError(
            f"{len(record.crash_ages_ms)} ended replicas, more than a record may name"
        )
    ages = [*record.crash_ages_ms.values(), *record.sent_ages_ms, record.answered_age_ms or 0]
    if min(ages) < 0:
        raise InvalidCrashRecordError("an age is negative")
