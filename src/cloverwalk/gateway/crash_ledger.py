"""Requests under which replicas have ended, known by their content. A policy without I/O.

A request may crash whatever runs it, and come again under another id at any node. When a replica
ends, each request that was there is a suspect, and all but one are innocent. What tells them apart
is repetition: a whole answer clears a request, and one under which ``CONTAINED_FROM`` replicas have
ended without such an answer is contained. It is sent to no replica, but for a trial now and then.

Nodes merge what they know (``merge``). Crashes are a set of instances, an answer wipes out the
earlier ones, so the order in which copies arrive makes no difference, nor do repeated ones.
"""

import enum

import attrs
import xxhash
from msgspec import Struct

CONTAINED_FROM = 3
"""Ended replicas from which a request is contained. One is chance: 8 to 17 requests run at a
replica. Two happen to neighbours that are moved to the same replica as the guilty request."""

SHARED_FROM = 2
"""Ended replicas from which all nodes are told. A crash makes some 17 cases with one, which only
the coordinator has to know: it adds up what nodes tell."""

TRIAL_PAUSES_S = (3.0, 60.0, 600.0)
"""Pause before each trial of a contained request, from its last crash; the last one holds for all
further trials. An innocent one, which an outage of all replicas may have brought here, is back when
the replicas are (about 3 s). A guilty one ends two replicas in the ten minutes after the third."""

TRIAL_LIMIT_S = 10.0
"""A trial without an outcome is over after this time, longer than online requests last."""

REMEMBERED_S = 3600.0
"""A case is forgotten so long after its last crash: operators have a mended version in use then."""

ANSWER_TTL_S = 60.0
"""Answers are known for so long, so that crashes before them count nowhere."""

TOLD_S = 2.5
"""What a node has seen goes into its reports for so long: two or three of them, one a second."""

MOST_CASES = 4096
MAX_SHARED_RECORDS = 200
"""Bounds of memory (some 1.5 MB with the answers) and of what a node is told (about 20 KB). Cases
with the fewest crashes go first, and of these the oldest: a flood of others can't push out a
contained one."""

MOST_INSTANCES = 8
"""Ended replicas that a case names, the newest: more make no difference, and
``MAX_SHARED_RECORDS`` cases fit into a datagram of 60,000 bytes."""

CONTENT_CHARACTERS = 20


class Containment(enum.Enum):
    """Whether a request may be sent."""

    FREE = "free"
    CONTAINED = "contained"
    TRIAL_DUE = "trial_due"
    """One run of it may show whether it still ends its replica."""


class CrashRecord(Struct, frozen=True, array_like=True):
    """A case as nodes tell it to each other, and as the store keeps it. Times are ages in ms."""

    content_hash: str
    crash_ages_ms: dict[str, int]
    """By the replica that ended."""

    answered_age_ms: int | None = None
    """Since the last whole answer; None where none is known."""

    @property
    def newest_age_ms(self) -> int:
        """Since the last crash, or the answer where there is none."""
        return min(self.crash_ages_ms.values(), default=self.answered_age_ms or 0)


class InvalidCrashRecordError(ValueError):
    """A case that was told makes no sense."""


@attrs.define
class _LedgerEntry:
    """A request under which a replica has ended since its last whole answer."""

    crashed_at: dict[str, float] = attrs.Factory(dict)
    """When replicas ended under it, by instance."""

    trial_ends_at: float = float("-inf")
    seen_locally_at: float = float("-inf")
    """When this node itself last saw a crash."""

    @property
    def crashes(self) -> int:
        return len(self.crashed_at)

    @property
    def last_crash_at(self) -> float:
        return max(self.crashed_at.values(), default=float("-inf"))

    @property
    def is_contained(self) -> bool:
        return self.crashes >= CONTAINED_FROM

    def trial_due_at(self) -> float:
        index = min(self.crashes - CONTAINED_FROM, len(TRIAL_PAUSES_S) - 1)
        return self.last_crash_at + TRIAL_PAUSES_S[index]


class CrashLedger:
    """Cases by content. Times are of the steady clock, in seconds."""

    def __init__(self) -> None:
        self._cases: dict[str, _LedgerEntry] = {}
        self._answered_at: dict[str, float] = {}
        """The last whole answers, by content; the oldest first."""

        self._cleared_at: dict[str, float] = {}
        """When an answer proved a case wrong here, by content: other nodes have to hear of it."""

        self._digest: int | None = None
        self.revision = 0
        """Counts changes of what all nodes should know."""

        self.stale_record_count = 0
        """Counts cases that were told to this node, which has seen a later answer."""

        self.grants_trials = False
        """Whether this node decides about trials: only the coordinator does, one at a time."""

    @property
    def is_empty(self) -> bool:
        """Whether there is no case, as on most days: contents need not be looked up then."""
        return not self._cases

    @property
    def needs_sync(self) -> bool:
        """Whether other nodes may have to hear of a case, or that an answer cleared one."""
        return bool(self._cases or self._cleared_at)

    # --- what was seen ---

    def note_crash(self, content: str, replica_id: str, at: float) -> bool:
        """A replica ended while it had the request; return whether that contains it now.

        ``replica_id`` names one start of a replica: its next one counts for itself.
        """
        is_contained = self._add_crashes(content, {replica_id: at})
        entry = self._cases.get(content)
        if entry is not None:
            entry.seen_locally_at = max(entry.seen_locally_at, at)
        return is_contained

    def note_answer(self, content: str, at: float) -> bool:
        """A replica answered the request whole; return whether that ends its containment.

        Answers count for requests without a case here, too: another node may have one.
        """
        if at <= self._answered_at.get(content, float("-inf")):
            return False
        self._answered_at.pop(content, None)
        self._answered_at[content] = at
        if len(self._answered_at) > MOST_CASES:
            del self._answered_at[next(iter(self._answered_at))]
        return self._clear(content, at)

    def was_answered_since(self, content: str, at: float) -> bool:
        """Whether a whole answer to a request is known from after a time."""
        return self._answered_at.get(content, float("-inf")) > at

    def _add_crashes(self, content: str, crashed_at: dict[str, float]) -> bool:
        answered_at = self._answered_at.get(content, float("-inf"))
        new_crashes = {key: at for key, at in crashed_at.items() if at > answered_at}
        if len(new_crashes) < len(crashed_at):
            self._cleared_at[content] = answered_at
            self.stale_record_count += 1
        if not new_crashes:
            return False
        entry = self._cases.setdefault(content, _LedgerEntry())
        was_contained, previous = entry.is_contained, set(entry.crashed_at)
        for replica_id, at in new_crashes.items():
            entry.crashed_at[replica_id] = max(at, entry.crashed_at.get(replica_id, at))
        newest = sorted(entry.crashed_at.items(), key=lambda item: (item[1], item[0]))
        entry.crashed_at = dict(newest[-MOST_INSTANCES:])
        if set(entry.crashed_at) != previous:
            entry.trial_ends_at = float("-inf")
            self._record_change(entry.crashes)
            self._evict(entry.crashes)
        return entry.is_contained and not was_contained

    def _clear(self, content: str, at: float) -> bool:
        """Drop the crashes before an answer; return whether that ends the containment."""
        entry = self._cases.get(content)
        if entry is None or min(entry.crashed_at.values()) > at:
            return False
        was_contained = entry.is_contained
        self._record_change(entry.crashes)
        self._cleared_at[content] = at
        entry.crashed_at = {
            key: crashed_at for key, crashed_at in entry.crashed_at.items() if crashed_at > at
        }
        entry.trial_ends_at = float("-inf")
        if not entry.crashed_at:
            del self._cases[content]
        return was_contained and not entry.is_contained

    def _record_change(self, crashes: int) -> None:
        if crashes >= SHARED_FROM:
            self._digest = None
            self.revision += 1

    # --- what follows ---

    def crashes(self, content: str) -> int:
        """Return how many replicas ended under a request since its last answer."""
        entry = self._cases.get(content)
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
        entry = self._cases.get(content)
        if entry is None or not entry.is_contained:
            return Containment.FREE
        if now < max(entry.trial_due_at(), entry.trial_ends_at):
            return Containment.CONTAINED
        return Containment.TRIAL_DUE

    def try_admit(self, content: str, now: float) -> bool:
        """Whether a request goes to a replica now; a trial that is due begins with the answer."""
        containment = self.containment(content, now)
        if containment is Containment.TRIAL_DUE and self.grants_trials:
            self._cases[content].trial_ends_at = now + TRIAL_LIMIT_S
            return True
        return containment is Containment.FREE

    def contained(self) -> dict[str, int]:
        """Return the contained requests with the number of replicas that ended, by content."""
        return {key: entry.crashes for key, entry in self._cases.items() if entry.is_contained}

    # --- what nodes tell each other ---

    @property
    def digest(self) -> int:
        """What all nodes should know, in 48 bits; 0 where there is nothing."""
        if self._digest is None:
            shared = {key: sorted(self._cases[key].crashed_at) for key in self._shared()}
            text = repr(sorted(shared.items())).encode()
            self._digest = xxhash.xxh64_intdigest(text) >> 16 if shared else 0
        return self._digest

    def _shared(self) -> list[str]:
        return [key for key, entry in self._cases.items() if entry.crashes >= SHARED_FROM]

    def shared_records(self, now: float) -> list[CrashRecord]:
        """Return what all nodes should know, and what was cleared lately."""
        return self._records({*self._shared(), *self._cleared_at}, now)

    def local_records(self, now: float) -> list[CrashRecord]:
        """Return what this node itself has seen lately, and cases that it knows to be wrong."""
        contents = {
            key for key, entry in self._cases.items() if now - entry.seen_locally_at < TOLD_S
        }
        contents |= {key for key, at in self._cleared_at.items() if now - at < TOLD_S}
        return self._records(contents, now)

    def _records(self, contents: set[str], now: float) -> list[CrashRecord]:
        """Return cases as they are told: those with most crashes, and of these the newest."""
        records = [self.record_of(content, now) for content in sorted(contents)]
        records.sort(key=lambda record: (-len(record.crash_ages_ms), record.newest_age_ms))
        return records[:MAX_SHARED_RECORDS]

    def record_of(self, content: str, now: float) -> CrashRecord:
        """Return a case as it is told; one without crashes where there is none."""
        entry = self._cases.get(content, _LedgerEntry())
        ages = {key: _age_ms(at, now) for key, at in entry.crashed_at.items()}
        answered_at = self._answered_at.get(content)
        return CrashRecord(
            content, ages, None if answered_at is None else _age_ms(answered_at, now)
        )

    def merge(self, record: CrashRecord, now: float) -> bool:
        """Take what another node or the store knows; return whether it contains the request now.

        Raises InvalidCrashRecordError for a copy that makes no sense; nothing is taken from it.
        """
        _check_record(record)
        if record.answered_age_ms is not None:
            self.note_answer(record.content_hash, now - record.answered_age_ms / 1000)
        crashed_at = {
            replica_id: now - age_ms / 1000
            for replica_id, age_ms in record.crash_ages_ms.items()
            if age_ms < REMEMBERED_S * 1000
        }
        return self._add_crashes(record.content_hash, crashed_at)

    # --- bounds ---

    def expire(self, now: float) -> list[str]:
        """Forget what is old; return the requests that were contained."""
        for times in (self._answered_at, self._cleared_at):
            for content in [key for key, at in times.items() if now - at >= ANSWER_TTL_S]:
                del times[content]
        ended: list[str] = []
        for content, entry in list(self._cases.items()):
            if now < entry.last_crash_at + REMEMBERED_S:
                continue
            del self._cases[content]
            self._record_change(entry.crashes)
            if entry.is_contained:
                ended.append(content)
        return ended

    def _evict(self, crashes: int) -> None:
        """Keep the bounds after a case got to so many crashes."""
        if len(self._cases) > MOST_CASES:
            # A part at once: to sort all of them takes milliseconds.
            self._evict_down_to(MOST_CASES * 9 // 10, list(self._cases))
        if crashes >= SHARED_FROM:
            self._evict_down_to(MAX_SHARED_RECORDS, self._shared())

    def _evict_down_to(self, max_count: int, contents: list[str]) -> None:
        if len(contents) <= max_count:
            return
        entries = self._cases
        contents.sort(
            key=lambda content: (entries[content].crashes, entries[content].last_crash_at)
        )
        for content in contents[: len(contents) - max_count]:
            self._record_change(entries.pop(content).crashes)


def _age_ms(at: float, now: float) -> int:
    return max(0, round((now - at) * 1000))


def _check_record(record: CrashRecord) -> None:
    if len(record.content_hash) != CONTENT_CHARACTERS:
        raise InvalidCrashRecordError("the content has another form")
    if len(record.crash_ages_ms) > MOST_INSTANCES:
        raise InvalidCrashRecordError(f"{len(record.crash_ages_ms)} replicas ended")
    ages = [*record.crash_ages_ms.values(), record.answered_age_ms or 0]
    if min(ages) < 0:
        raise InvalidCrashRecordError("it is of the future")
