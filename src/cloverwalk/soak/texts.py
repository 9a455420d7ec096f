"""Whether the events of an answer or result are one run's, or joined as the platform allows.

A stand-in replica's event n of run r of a request is ``ID:n:r``.
"""

from collections.abc import Mapping

from msgspec import Struct


class RunFact(Struct, frozen=True):
    """One run at a replica."""

    run: int
    request: str
    last_event: int | None


def text_problem(
    owner: str, texts: list[str], runs: Mapping[int, RunFact], wanted: int | None
) -> str:
    """Return what is wrong with the events of ``owner``, empty for nothing.

    ``wanted`` is the number of events of a whole text, None for one that may end early.

    >>> runs = {1: RunFact(1, "r", None), 2: RunFact(2, "r", 1), 3: RunFact(3, "r", None)}
    >>> text_problem("r", ["r:1:1", "r:2:2"], runs, 2)
    ''
    >>> text_problem("r", ["r:1:1", "r:2:3"], runs, 2)
    'event 2 is of run 3, which was not asked to go on after event 1'
    >>> text_problem("r", ["r:1:1"], runs, 2)
    'it ends as whole after 1 of 2 events'
    """
    present: int | None = None
    for number, text in enumerate(texts, 1):
        parts = text.split(":")
        if len(parts) != 3 or not parts[1].isdecimal() or not parts[2].isdecimal():
            return f"event {number} is {text[:60]!r}"
        run = runs.get(int(parts[2]))
        if parts[0] != owner or run is None or run.request != owner:
            return f"event {number} belongs to {text[:60]!r}"
        if int(parts[1]) != number:
            return f"event {parts[1]} stands where {number} is due"
        if run.run != present:
            after = run.last_event or 0
            if after != number - 1:
                return (
                    f"event {number} is of run {run.run}, which was not asked to go on after"
                    f" event {number - 1}"
                )
            present = run.run
    if wanted is not None and len(texts) != wanted:
        return f"it ends as whole after {len(texts)} of {wanted} events"
    return ""
