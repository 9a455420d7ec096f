"""Crash records: which replicas ended under which request. A policy without I/O.

A request may crash every replica that runs it, and arrive again with another id at any node. When a
replica ends, each request that it had is a suspect, and at most one of them is the cause.
Repetition tells them apart: a whole answer clears a request; one under which
``CONTAINMENT_THRESHOLD`` replicas ended without such an answer is contained. It is sent to no
replica, except for occasional trials.

Nodes merge their records (``merge``). Crashes are a set of incarnations and an answer removes the
earlier ones, so the order of the copies makes no difference, and repeated copies have no effect.
"""

import enum

import attrs
import xxhash
from msgspec import Struct

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

MAX_RECORDS = 4096
MAX_SHARED_RECORDS = 200
"""Bounds of memory and of the size of messages. The records with the fewest crashes are evicted
first, the oldest among equals, so that a flood of records can't evict that of a contained request.
"""

MAX_INCARNATIONS = 8
"""Incarnations that a record names, the last ones to end; bounded so that ``MAX_SHARED_RECORDS``
records fit into a datagram of 60,000 bytes."""

CONTENT_CHARACTERS = 20
"""Length of a content hash, in hexadecimal digits."""


class Containment(enum.Enum):
    """Whether a request may be sent."""

    FREE = "free"
    CONTAINED = "contained"
    TRIAL_DUE = "trial_due"
    """One run may show whether the request still ends its replica."""


class CrashRecord(Struct, frozen=True, array_like=True):
    """A crash record as nodes send it and as the store keeps it. Times are ages in milliseconds."""

    content_hash: str
    crash_ages_ms: dict[str, int]
    """By the incarnation of the replica that ended."""

    answered_age_ms: int | None = None
    """Age of the last whole answer; None if none is known."""

    @property
    def newest_age_ms(self) -> int:
        """Age of the last crash, or of the answer if there is no crash."""
        return min(self.crash_ages_ms.values(), default=self.answered_age_ms or 0)


class InvalidCrashRecordError(ValueError):
    """A received crash record is invalid."""


@attrs.define
class _LedgerEntry:
    """The state of a request under which a replica has ended since its last whole answer."""

    crashed_at: dict[str, float] = attrs.Factory(dict)
    """When replicas ended under it, by incarnation."""

    trial_ends_at: float = float("-inf")
    seen_locally_at: float = float("-inf")
    """When this node itself last observed a crash."""

    @property
    def crashes(self) -> int:
        return len(self.crashed_at)

    @property
    def last_crash_at(self) -> float:
        return max(self.crashed_at.values(), default=float("-inf"))

    @property
    def is_contained(self) -> bool:
        return self.crashes >= CONTAINMENT_THRESHOLD

    def trial_due_at(self) -> float:
        index = min(self.crashes - CONTAINMENT_THRESHOLD, len(TRIAL_DELAYS_S) - 1)
        return self.last_crash_at + TRIAL_DELAYS_S[index]


class CrashLedger:
    """Crash records by content hash. Times are of the monotonic clock, in seconds."""

    def __init__(self) -> None:
        self._entries: dict[str, _LedgerEntry] = {}
        self._answered_at: dict[str, float] = {}
        """Times of the last whole answers, by content hash; the oldest first."""

        self._cleared_at: dict[str, float] = {}
        """When an answer cleared a record here, by content hash; other nodes must be sent this."""

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

    def note_crash(self, content: str, replica_id: str, at: float) -> bool:
        """Record that a replica ended while it had the request; return whether this contains it.

        ``replica_id`` names one incarnation; the replica's next incarnation counts separately.
        """
        is_contained = self._add_crashes(content, {replica_id: at})
        entry = self._entries.get(content)
        if entry is not None:
            entry.seen_locally_at = max(entry.seen_locally_at, at)
        return is_contained

    def note_answer(self, content: str, at: float) -> bool:
        """Record a whole answer to the request; return whether this ends its containment.

        Answers to requests without a record count too, since another node may have one.
        """
        if at <= self._answered_at.get(content, float("-inf")):
            return False
        self._answered_at.pop(content, None)
        self._answered_at[content] = at
        if len(self._answered_at) > MAX_RECORDS:
            del self._answered_at[next(iter(self._answered_at))]
        return self._clear(content, at)

    def was_answered_since(self, content: str, at: float) -> bool:
        """Whether a whole answer to a request was recorded that came after ``at``."""
        return self._answered_at.get(content, float("-inf")) > at

    def _add_crashes(self, content: str, crashed_at: dict[str, float]) -> bool:
        answered_at = self._answered_at.get(content, float("-inf"))
        new_crashes = {key: at for key, at in crashed_at.items() if at > answered_at}
        if len(new_crashes) < len(crashed_at):
            self._cleared_at[content] = answered_at
            self.stale_record_count += 1
        if not new_crashes:
            return False
        entry = self._entries.setdefault(content, _LedgerEntry())
        was_contained, previous = entry.is_contained, set(entry.crashed_at)
        for replica_id, at in new_crashes.items():
            entry.crashed_at[replica_id] = max(at, entry.crashed_at.get(replica_id, at))
        newest = sorted(entry.crashed_at.items(), key=lambda item: (item[1], item[0]))
        entry.crashed_at = dict(newest[-MAX_INCARNATIONS:])
        if set(entry.crashed_at) != previous:
            entry.trial_ends_at = float("-inf")
            self._record_change(entry.crashes)
            self._evict(entry.crashes)
        return entry.is_contained and not was_contained

    def _clear(self, content: str, at: float) -> bool:
        """Drop the crashes before an answer; return whether this ends the containment."""
        entry = self._entries.get(content)
        if entry is None or min(entry.crashed_at.values()) > at:
            return False
        was_contained = entry.is_contained
        self._record_change(entry.crashes)
        self._cleared_at[content] = at
        entry.crashed_at = {
            key: ended_at for key, ended_at in entry.crashed_at.items() if ended_at > at
        }
        entry.trial_ends_at = float("-inf")
        if not entry.crashed_at:
            del self._entries[content]
        return was_contained and not entry.is_contained

    def _record_change(self, crashes: int) -> None:
        if crashes >= SHARING_THRESHOLD:
            self._digest = None
            self.revision += 1

    # --- decisions ---

    def crashes(self, content: str) -> int:
        """Return how many replicas ended under a request since its last answer."""
        entry = self._entries.get(content)
        return 0 if entry is None else entry.crashes

    def containment(self, content: str, now: float) -> Containment:
        """Return whether a request may be sent.

        >>> ledger = CrashLedger()
        >>> [ledger.note_crash("c", replica, 5.0) for replica in ("r1", "r2", "r2", "r3")]
        [False, False, False, True]
        >>> ledger.containment("c", 6.0).value, ledger.containment("c", 8.0).value
        ('contained', 'trial_due')
        >>> ledger.note_answer("c", 8.5), ledger.containment("c", 8.6).value
        (True, 'free')
        """
        entry = self._entries.get(content)
        if entry is None or not entry.is_contained:
            return Containment.FREE
        if now < max(entry.trial_due_at(), entry.trial_ends_at):
            return Containment.CONTAINED
        return Containment.TRIAL_DUE

    def try_admit(self, content: str, now: float) -> bool:
        """Whether a request may be sent now; a due trial is granted and starts with this call."""
        containment = self.containment(content, now)
        if containment is Containment.TRIAL_DUE and self.grants_trials:
            self._entries[content].trial_ends_at = now + TRIAL_TIMEOUT_S
            return True
        return containment is Containment.FREE

    def contained(self) -> dict[str, int]:
        """Return the contained requests by content hash, with their numbers of ended replicas."""
        return {key: entry.crashes for key, entry in self._entries.items() if entry.is_contained}

    # --- exchange between nodes ---

    @property
    def digest(self) -> int:
        """Hash of the records that all nodes should have, 48 bits; 0 if there are none."""
        if self._digest is None:
            shared = {key: sorted(self._entries[key].crashed_at) for key in self._shared()}
            text = repr(sorted(shared.items())).encode()
            self._digest = xxhash.xxh64_intdigest(text) >> 16 if shared else 0
        return self._digest

    def _shared(self) -> list[str]:
        return [key for key, entry in self._entries.items() if entry.crashes >= SHARING_THRESHOLD]

    def shared_records(self, now: float) -> list[CrashRecord]:
        """Return the records for all nodes, with those cleared within ``ANSWER_TTL_S``."""
        return self._records({*self._shared(), *self._cleared_at}, now)

    def local_records(self, now: float) -> list[CrashRecord]:
        """Return the records that this node observed or cleared within ``REPORTING_TIME_S``."""
        contents = {
            key
            for key, entry in self._entries.items()
            if now - entry.seen_locally_at < REPORTING_TIME_S
        }
        contents |= {key for key, at in self._cleared_at.items() if now - at < REPORTING_TIME_S}
        return self._records(contents, now)

    def _records(self, contents: set[str], now: float) -> list[CrashRecord]:
        """Return records to send: those with the most crashes, the newest among equals."""
        records = [self.record_of(content, now) for content in sorted(contents)]
        records.sort(key=lambda record: (-len(record.crash_ages_ms), record.newest_age_ms))
        return records[:MAX_SHARED_RECORDS]

    def record_of(self, content: str, now: float) -> CrashRecord:
        """Return the record of a request as it is sent; one without crashes if there is none."""
        entry = self._entries.get(content, _LedgerEntry())
        ages = {key: _age_ms(at, now) for key, at in entry.crashed_at.items()}
        answered_at = self._answered_at.get(content)
        return CrashRecord(
            content, ages, None if answered_at is None else _age_ms(answered_at, now)
        )

    def merge(self, record: CrashRecord, now: float) -> bool:
        """Merge a record of another node or the store; return whether this contains the request.

        Raises InvalidCrashRecordError for an invalid record, and merges no part of it.
        """
        _check_record(record)
        if record.answered_age_ms is not None:
            self.note_answer(record.content_hash, now - record.answered_age_ms / 1000)
        crashed_at = {
            replica_id: now - age_ms / 1000
            for replica_id, age_ms in record.crash_ages_ms.items()
            if age_ms < RECORD_TTL_S * 1000
        }
        return self._add_crashes(record.content_hash, crashed_at)

    # --- bounds ---

    def expire(self, now: float) -> list[str]:
        """Remove old records; return the requests that were contained."""
        for times in (self._answered_at, self._cleared_at):
            for content in [key for key, at in times.items() if now - at >= ANSWER_TTL_S]:
                del times[content]
        ended: list[str] = []
        for content, entry in list(self._entries.items()):
            if now < entry.last_crash_at + RECORD_TTL_S:
                continue
            del self._entries[content]
            self._record_change(entry.crashes)
            if entry.is_contained:
                ended.append(content)
        return ended

    def _evict(self, crashes: int) -> None:
        """Enforce the bounds after a record got a number of crashes."""
        if len(self._entries) > MAX_RECORDS:
            # Evicts many at once, since sorting all records takes milliseconds.
            self._evict_down_to(MAX_RECORDS * 9 // 10, list(self._entries))
        if crashes >= SHARING_THRESHOLD:
            self._evict_down_to(MAX_SHARED_RECORDS, self._shared())

    def _evict_down_to(self, max_count: int, contents: list[str]) -> None:
        if len(contents) <= max_count:
            return
        entries = self._entries
        contents.sort(
            key=lambda content: (entries[content].crashes, entries[content].last_crash_at)
        )
        for content in contents[: len(contents) - max_count]:
            self._record_change(entries.pop(content).crashes)


def _age_ms(at: float, now: float) -> int:
    return max(0, round((now - at) * 1000))


def _check_record(record: CrashRecord) -> None:
    if len(record.content_hash) != CONTENT_CHARACTERS:
        raise InvalidCrashRecordError("the content hash has the wrong length")
    if len(record.crash_ages_ms) > MAX_INCARNATIONS:
        raise InvalidCrashRecordError(
            f"{len(record.crash_ages_ms)} ended replicas, more than a record may name"
        )
    ages = [*record.crash_ages_ms.values(), record.answered_age_ms or 0]
    if min(ages) < 0:
        raise InvalidCrashRecordError("an age is negative")
