"""Finds the parts of prompts that crash replicas. Pure functions.

A crash takes all requests of its replica along, so it names many parts, and only one of them may be
the cause. A part is blamed if each request with it has crashed its replica since the part was last
answered, and this is more than chance:

- ``min_crashes`` replicas crashed under it that no part explains which is blamed on more evidence;
- ``min_rounds`` of these crashes followed each other: the request was sent after the replica of the
  round before had crashed. Replicas that crash together, or one after the other while requests run
  at all of them, make one round;
- ``min_requests`` different requests were at these replicas. One request that is retried is
  contained by its content.

A part that was answered before needs more of each: it was harmless then.
"""

from collections.abc import Collection, Iterable, Mapping

import attrs


@attrs.frozen
class PartCrash:
    """A replica that crashed while it had requests with a part. Times in seconds of one clock."""

    at: float
    sent_at: float
    """When the last of these requests was sent to the replica."""

    request: str
    """Mark of that request; equal for its retries."""

    was_sound: bool = False
    """For a content, whether its answer had run on for ``MIN_SOUND_RUN_S`` at this replica."""


@attrs.frozen
class PartEvidence:
    """The crashes under a part since it was last answered."""

    crashes: Mapping[str, PartCrash]
    """By the incarnation of the replica."""

    was_answered: bool
    """Whether a request with the part was answered before these crashes."""


@attrs.frozen
class BlameThresholds:
    """Least evidence for blaming a part; see the module."""

    min_crashes: int
    min_rounds: int
    min_requests: int


NEW_PART = BlameThresholds(min_crashes=3, min_rounds=3, min_requests=2)
ANSWERED_PART = BlameThresholds(min_crashes=6, min_rounds=4, min_requests=4)


def thresholds(evidence: PartEvidence) -> BlameThresholds:
    """Return the thresholds that apply to a part."""
    return ANSWERED_PART if evidence.was_answered else NEW_PART


def rounds(crashes: Iterable[PartCrash]) -> int:
    """Return the most crashes of which each request was sent after the crash before.

    >>> rounds([PartCrash(1.0, 0.5, "a"), PartCrash(1.1, 0.6, "b"), PartCrash(2.0, 1.5, "c")])
    2
    """
    count, last_at = 0, float("-inf")
    for crash in sorted(crashes, key=lambda crash: crash.at):
        if crash.sent_at > last_at:
            count, last_at = count + 1, crash.at
    return count


def _is_enough(crashes: list[PartCrash], needed: BlameThresholds) -> bool:
    return (
        len(crashes) >= needed.min_crashes
        and len({crash.request for crash in crashes}) >= needed.min_requests
        and rounds(crashes) >= needed.min_rounds
    )


@attrs.frozen
class Blame:
    """The blamed parts."""

    parts: Mapping[str, int]
    """Blamed parts, each with the number of parts that have the same evidence."""

    explained: frozenset[str]
    """Incarnations of replicas whose crashes the blamed parts explain."""


def find_blamed(
    evidence_by_part: Mapping[str, PartEvidence], contained: Iterable[Collection[str]] = ()
) -> Blame:
    """Return the blamed parts.

    ``contained`` has the incarnations that crashed under each contained content, which explains
    them as well. Parts and contents explain crashes in the order of their evidence. Parts with the
    same crashes can't be told apart and are blamed together.

    >>> crashes = {f"r{n}": PartCrash(n, n - 0.5, f"q{n}") for n in range(4)}
    >>> neighbour = {key: crashes[key] for key in ("r0", "r1", "r2")}
    >>> parts = {"a": PartEvidence(crashes, False), "b": PartEvidence(neighbour, False)}
    >>> find_blamed(parts).parts
    {'a': 1}
    """
    open_parts = {
        part: evidence
        for part, evidence in evidence_by_part.items()
        if len(evidence.crashes) >= thresholds(evidence).min_crashes
    }
    contents = [set(replicas) for replicas in contained]
    blamed: dict[str, int] = {}
    blamed_replicas: set[str] = set()
    explained: set[str] = set()
    while True:
        unexplained = {
            part: [crash for replica, crash in evidence.crashes.items() if replica not in explained]
            for part, evidence in open_parts.items()
        }
        enough = [
            part
            for part, crashes in unexplained.items()
            if _is_enough(crashes, thresholds(open_parts[part]))
        ]
        if not enough:
            return Blame(blamed, frozenset(blamed_replicas))
        best = max(
            enough, key=lambda part: (not open_parts[part].was_answered, len(unexplained[part]))
        )
        content = max(contents, key=lambda replicas: len(replicas - explained), default=set())
        if len(content - explained) >= len(unexplained[best]):
            explained |= content
            continue
        replicas = open_parts[best].crashes.keys()
        equal = [
            part
            for part in enough
            if open_parts[part].crashes.keys() == replicas
            and open_parts[part].was_answered == open_parts[best].was_answered
        ]
        blamed.update((part, len(equal)) for part in equal)
        blamed_replicas.update(replicas)
        explained.update(replicas)
        for part in equal:
            del open_parts[part]
