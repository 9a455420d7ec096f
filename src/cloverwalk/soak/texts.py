"""Checks that the events of an answer or result come from one run, or from properly resumed ones.

The data of event n of run r at an emulated replica is ``ID:n:r:v``, with the id of the request and
the replica's software version.
"""

from collections.abc import Mapping

from msgspec import Struct


class RunFact(Struct, frozen=True):
    """A run at a replica; ``last_event`` is the event after which it was asked to resume."""

    run: int
    request: str
    last_event: int | None


def version_of(text: str) -> str:
    """Return the software version that the data of an event shows.

    >>> version_of("r:1:7:v2")
    'v2'
    """
    return text.rpartition(":")[2]


def find_text_problem(
    owner: str,
    texts: list[str],
    runs: Mapping[int, RunFact],
    expected_events: int | None,
    after_event: int = 0,
) -> str:
    """Return what is wrong with the events of the request or item ``owner``, empty if nothing.

    ``expected_events`` is the number of events of a complete text, None if it may end early. The
    first event follows ``after_event``.

    >>> runs = {1: RunFact(1, "r", None), 2: RunFact(2, "r", 1), 3: RunFact(3, "r", None)}
    >>> find_text_problem("r", ["r:1:1:v1", "r:2:2:v1"], runs, 2)
    ''
    >>> find_text_problem("r", ["r:1:1:v1", "r:2:3:v1"], runs, 2)
    'event 2 is of run 3, which was not asked to resume after event 1'
    >>> find_text_problem("r", ["r:1:1:v1", "r:2:2:v2"], runs, 2)
    'event 2 is of software version v2, the one before of v1'
    >>> find_text_problem("r", ["r:1:1:v1"], runs, 2)
    'it ends as complete after 1 of 2 events'
    """
    current_run: int | None = None
    version = ""
    for number, text in enumerate(texts, after_event + 1):
        parts = text.split(":")
        if len(parts) != 4 or not parts[1].isdecimal() or not parts[2].isdecimal():
            return f"event {number} is malformed: {text[:60]!r}"
        run = runs.get(int(parts[2]))
        if parts[0] != owner or run is None or run.request != owner:
            return f"event {number} belongs to {text[:60]!r}"
        if int(parts[1]) != number:
            return f"event {parts[1]} is at position {number}"
        if run.run != current_run:
            resumed_after = run.last_event or 0
            if resumed_after != number - 1:
                return (
                    f"event {number} is of run {run.run}, which was not asked to resume after"
                    f" event {number - 1}"
                )
            current_run = run.run
        if version not in ("", parts[3]):
            return f"event {number} is of software version {parts[3]}, the one before of {version}"
        version = parts[3]
    last_event = after_event + len(texts)
    if expected_events is not None and last_event != expected_events:
        return f"it ends as complete after {last_event} of {expected_events} events"
    return ""
