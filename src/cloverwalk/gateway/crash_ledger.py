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

CLEARED_S = 60.0
"""An answer is told to other nodes for so long, that they drop older crashes too."""

TOLD_S = 2.5
"""What a node has seen goes into its reports for so long: two or three of them, one a second."""

MOST_CASES = 4096
MOST_SHARED = 200
"""Bounds of memory (about 1 MB) and of what a node is told (about 20 KB). Cases with the fewest
crashes go first, and of these the oldest: a flood of others can't push out a contained one."""

MOST_INSTANCES = 32
"""Ended replicas that a case names; more make no difference."""

CONTENT_CHARACTERS = 20


class Containment(enum.Enum):
    """Whether a request may be sent."""

    FREE = "free"
    CONTAINED = "contained"
    TRIAL_DUE = "trial_due"
    """One run of it may show whether it still ends its replica."""


class CaseCopy(Struct, frozen=True, array_like=True):
    """A case as nodes tell it to each other, and as the store keeps it. Times are ages in ms."""

    content: str
    crash_ages_ms: dict[str, int]
    """By the replica that ended."""

    answered_age_ms: int | None = None
    """Since the last whole answer; None where none is known."""


class InvalidCaseError(ValueError):
    """A case that was told makes no sense."""


@attrs.define
class _Case:
    crashed_at: dict[str, float] = attrs.Factory(dict)
    """When replicas ended under it, by instance; since the last answer."""

    answered_at: float = float("-inf")
    trial_until: float = float("-inf")
    seen_here_at: float = float("-inf")
    """When this node itself last saw a crash or an answer."""

    @property
    def crashes(self) -> int:
        return len(self.crashed_at)

    @property
    def last_crash_at(self) -> float:
        return max(self.crashed_at.values(), default=float("-inf"))

    @property
    def is_contained(self) -> bool:
        return self.crashes >= CONTAINED_FROM

    def trial_at(self) -> float:
        step = min(self.crashes - CONTAINED_FROM, len(TRIAL_PAUSES_S) - 1)
        return self.last_crash_at + TRIAL_PAUSES_S[step]


class CrashLedger:
    """Cases by content. Times are of the steady clock, in seconds."""

    def __init__(self) -> None:
        self._cases: dict[str, _Case] = {}
        self._digest: int | None = None
        self.changes = 0
        """Counts changes of what all nodes should know."""

        self.grants_trials = False
        """Whether this node decides about trials: only the coordinator does, one at a time."""

    @property
    def is_empty(self) -> bool:
        """Whether there is no case, as on most days: contents need not be looked up then."""
        return not self._cases

    # --- what was seen ---

    def note_crash(self, content: str, replica_id: str, at: float) -> bool:
        """A replica ended while it had the request; return whether that contains it now."""
        case = self._cases.setdefault(content, _Case())
        case.seen_here_at = max(case.seen_here_at, at)
        return self._add_crashes(case, {replica_id: at})

    def note_answer(self, content: str, at: float) -> bool:
        """A replica answered the request whole; return whether that ends its containment."""
        case = self._cases.get(content)
        if case is None:
            return False
        case.seen_here_at = max(case.seen_here_at, at)
        return self._clear(case, at)

    def _add_crashes(self, case: _Case, crashed_at: dict[str, float]) -> bool:
        was_contained, before = case.is_contained, case.crashes
        for replica_id, at in crashed_at.items():
            is_room = case.crashes < MOST_INSTANCES
            if at > case.answered_at and replica_id not in case.crashed_at and is_room:
                case.crashed_at[replica_id] = at
        if case.crashes != before:
            case.trial_until = float("-inf")
            self._note_change(case.crashes)
            self._evict()
        return case.is_contained and not was_contained

    def _clear(self, case: _Case, at: float) -> bool:
        if at <= case.answered_at:
            return False
        was_contained, before = case.is_contained, case.crashes
        case.answered_at = at
        case.crashed_at = {key: one for key, one in case.crashed_at.items() if one > at}
        if case.crashes != before:
            case.trial_until = float("-inf")
            self._note_change(before)
        return was_contained and not case.is_contained

    def _note_change(self, crashes: int) -> None:
        if crashes >= SHARED_FROM:
            self._digest = None
            self.changes += 1

    # --- what follows ---

    def crashes(self, content: str) -> int:
        """Return how many replicas ended under a request since its last answer."""
        case = self._cases.get(content)
        return 0 if case is None else case.crashes

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
        case = self._cases.get(content)
        if case is None or not case.is_contained:
            return Containment.FREE
        if now < max(case.trial_at(), case.trial_until):
            return Containment.CONTAINED
        return Containment.TRIAL_DUE

    def may_place(self, content: str, now: float) -> bool:
        """Whether a request goes to a replica now; a trial that is due begins with the answer."""
        containment = self.containment(content, now)
        if containment is Containment.TRIAL_DUE and self.grants_trials:
            self.begin_trial(content, now)
            return True
        return containment is Containment.FREE

    def begin_trial(self, content: str, now: float) -> None:
        """A contained request is sent once; others wait for the outcome."""
        self._cases[content].trial_until = now + TRIAL_LIMIT_S

    def contained(self) -> dict[str, int]:
        """Return the contained requests with the number of replicas that ended, by content."""
        return {key: one.crashes for key, one in self._cases.items() if one.is_contained}

    # --- what nodes tell each other ---

    @property
    def digest(self) -> int:
        """What all nodes should know, in 48 bits; 0 where there is nothing."""
        if self._digest is None:
            shared = {key: sorted(one.crashed_at) for key, one in self._shared()}
            described = repr(sorted(shared.items())).encode()
            self._digest = xxhash.xxh64_intdigest(described) >> 16 if shared else 0
        return self._digest

    def _shared(self) -> list[tuple[str, _Case]]:
        return [(key, one) for key, one in self._cases.items() if one.crashes >= SHARED_FROM]

    def shared(self, now: float) -> list[CaseCopy]:
        """Return what all nodes should know, and what was cleared lately."""
        known = [
            (key, one)
            for key, one in self._cases.items()
            if one.crashes >= SHARED_FROM or now - one.answered_at < CLEARED_S
        ]
        known.sort(key=lambda entry: (-entry[1].crashes, -entry[1].last_crash_at))
        return [_copy(key, one, now) for key, one in known[:MOST_SHARED]]

    def seen_here(self, now: float) -> list[CaseCopy]:
        """Return what this node itself has seen lately."""
        known = [(key, one) for key, one in self._cases.items() if now - one.seen_here_at < TOLD_S]
        known.sort(key=lambda entry: (-entry[1].crashes, -entry[1].seen_here_at))
        return [_copy(key, one, now) for key, one in known[:MOST_SHARED]]

    def copy_of(self, content: str, now: float) -> CaseCopy | None:
        """Return a case as it is told, or None where there is none."""
        case = self._cases.get(content)
        return None if case is None else _copy(content, case, now)

    def merge(self, copy: CaseCopy, now: float) -> bool:
        """Take what another node or the store knows; return whether it contains the request now.

        Raises InvalidCaseError for a copy that makes no sense; nothing is taken from it.
        """
        _check(copy)
        crashed_at = {
            replica_id: now - age_ms / 1000
            for replica_id, age_ms in copy.crash_ages_ms.items()
            if age_ms < REMEMBERED_S * 1000
        }
        if copy.content not in self._cases and not crashed_at:
            return False
        case = self._cases.setdefault(copy.content, _Case())
        if copy.answered_age_ms is not None:
            self._clear(case, now - copy.answered_age_ms / 1000)
        return self._add_crashes(case, crashed_at)

    # --- bounds ---

    def expire(self, now: float) -> list[str]:
        """Forget old cases; return those that were contained."""
        ended: list[str] = []
        for content, case in list(self._cases.items()):
            since = max(case.last_crash_at + REMEMBERED_S, case.answered_at + CLEARED_S)
            if now < since:
                continue
            del self._cases[content]
            self._note_change(case.crashes)
            if case.is_contained:
                ended.append(content)
        return ended

    def _evict(self) -> None:
        self._keep(MOST_CASES, list(self._cases.items()))
        self._keep(MOST_SHARED, self._shared())

    def _keep(self, most: int, among: list[tuple[str, _Case]]) -> None:
        if len(among) <= most:
            return
        among.sort(key=lambda entry: (entry[1].crashes, entry[1].last_crash_at))
        for content, case in among[: len(among) - most]:
            del self._cases[content]
            self._note_change(case.crashes)


def _copy(content: str, case: _Case, now: float) -> CaseCopy:
    ages = {key: max(0, round((now - at) * 1000)) for key, at in case.crashed_at.items()}
    is_answered = case.answered_at > float("-inf")
    answered = max(0, round((now - case.answered_at) * 1000)) if is_answered else None
    return CaseCopy(content, ages, answered)


def _check(copy: CaseCopy) -> None:
    if len(copy.content) != CONTENT_CHARACTERS:
        raise InvalidCaseError("the content has another form")
    if len(copy.crash_ages_ms) > MOST_INSTANCES:
        raise InvalidCaseError(f"{len(copy.crash_ages_ms)} replicas ended")
    ages = [*copy.crash_ages_ms.values(), copy.answered_age_ms or 0]
    if min(ages) < 0:
        raise InvalidCaseError("it is of the future")
